//! Follows how long the tail latencies of a worker's service tasks have been over their targets.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Log ratio above which a violation starts: 0.97 of the target.
const START_LOG: f64 = -0.03;
/// Log ratio below which a violation ends: 0.88 of the target. The distance to [`START_LOG`] is
/// hysteresis, since samples are noisy.
pub const END_LOG: f64 = -0.13;

/// The violation of one worker, sample by sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct TailViolation {
    since: Option<TimePoint>,
    sampled_at: Option<TimePoint>,
    /// Highest log ratio of the present violation.
    peak: f64,
}

/// What a sample changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ViolationChange {
    /// There is no violation.
    Calm,
    /// A violation begins.
    Begun,
    /// The violation has lasted for this time.
    Lasts(TimeSpan),
    /// The violation is over.
    Ended {
        /// How long it lasted.
        duration: TimeSpan,
        /// Its highest log ratio.
        peak: f64,
    },
}

impl TailViolation {
    /// Time since the last sample; `None` before the first.
    pub fn sample_age(&self, now: TimePoint) -> Option<TimeSpan> {
        self.sampled_at.map(|sampled_at| now.since(sampled_at))
    }

    /// Adds a sample. `worst` is the logarithm of the worst tail on the worker divided by its
    /// target.
    pub fn observe(&mut self, worst: f64, now: TimePoint) -> ViolationChange {
        self.sampled_at = Some(now);
        match self.since {
            Some(since) if worst > END_LOG => {
                self.peak = self.peak.max(worst);
                ViolationChange::Lasts(now.since(since))
            }
            Some(since) => {
                self.since = None;
                ViolationChange::Ended {
                    duration: now.since(since),
                    peak: self.peak,
                }
            }
            None if worst > START_LOG => {
                self.since = Some(now);
                self.peak = worst;
                ViolationChange::Begun
            }
            None => ViolationChange::Calm,
        }
    }
}

impl ViolationChange {
    /// How long a violation has lasted that isn't over; zero if there is none.
    pub const fn lasting(self) -> TimeSpan {
        match self {
            Self::Lasts(duration) => duration,
            Self::Calm | Self::Begun | Self::Ended { .. } => TimeSpan::ZERO,
        }
    }
}
