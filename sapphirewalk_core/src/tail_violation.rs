//! Follows how long the tail latencies of a worker's service tasks have been over their targets.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Log ratio above which a violation starts: 0.97 of the target.
const START_LOG: f64 = -0.03;
/// Log ratio below which two samples in a row end a violation: 0.88 of the target. It is lower than the
/// one that starts a violation, since samples are noisy.
pub const END_LOG: f64 = -0.13;
/// Log ratio below which one sample ends a violation: 0.7 of the target.
const CLEAR_LOG: f64 = -0.35;

/// The violation of one worker, sample by sample.
#[derive(Clone, Copy, Debug, Default)]
pub struct TailViolation {
    sampled_at: Option<TimePoint>,
    course: Option<ViolationCourse>,
}

/// A violation that isn't over.
#[derive(Clone, Copy, Debug)]
struct ViolationCourse {
    /// Time of the last sample without a violation: it may have begun right after.
    possible_since: TimePoint,
    /// Time of the first sample that showed it.
    seen_at: TimePoint,
    /// Highest log ratio.
    peak: f64,
    /// The last sample was below [`END_LOG`].
    is_fading: bool,
}

/// What a sample changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ViolationChange {
    /// There is no violation.
    Calm,
    /// A violation begins.
    Begun,
    /// The violation lasts.
    Lasts {
        /// For how long.
        span: ViolationSpan,
        /// The tail is above its target now, not only near it.
        is_over: bool,
    },
    /// One sample is below [`END_LOG`], which may be noise.
    Fades,
    /// The violation is over.
    Ended {
        /// How long it has lasted at most.
        duration: TimeSpan,
        /// Its highest log ratio.
        peak: f64,
    },
}

/// How long a violation has lasted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ViolationSpan {
    /// Since the first sample that showed it.
    pub seen: TimeSpan,
    /// Since the last sample without it: at most so long.
    pub possible: TimeSpan,
}

impl TailViolation {
    /// Time since the last sample; `None` before the first.
    pub fn sample_age(&self, now: TimePoint) -> Option<TimeSpan> {
        self.sampled_at.map(|sampled_at| now.since(sampled_at))
    }

    /// Whether a violation has begun and isn't over.
    pub const fn is_active(&self) -> bool {
        self.course.is_some()
    }

    /// Adds a sample. `worst` is the logarithm of the worst tail on the worker divided by its
    /// target.
    pub fn observe(&mut self, worst: f64, now: TimePoint) -> ViolationChange {
        let sampled_at = self.sampled_at.replace(now);
        let Some(course) = &mut self.course else {
            if worst <= START_LOG {
                return ViolationChange::Calm;
            }
            self.course = Some(ViolationCourse {
                possible_since: sampled_at.unwrap_or(now),
                seen_at: now,
                peak: worst,
                is_fading: false,
            });
            return ViolationChange::Begun;
        };
        if worst > END_LOG {
            course.peak = course.peak.max(worst);
            course.is_fading = false;
            return ViolationChange::Lasts {
                span: course.span(now),
                is_over: worst > START_LOG,
            };
        }
        if !course.is_fading && worst > CLEAR_LOG {
            course.is_fading = true;
            return ViolationChange::Fades;
        }
        let ended = ViolationChange::Ended {
            duration: course.span(now).possible,
            peak: course.peak,
        };
        self.course = None;
        ended
    }
}

impl ViolationCourse {
    fn span(&self, now: TimePoint) -> ViolationSpan {
        ViolationSpan {
            seen: now.since(self.seen_at),
            possible: now.since(self.possible_since),
        }
    }
}

impl ViolationChange {
    /// Whether the sample shows a tail above its target in a violation that had begun before.
    pub const fn is_over(self) -> bool {
        matches!(self, Self::Lasts { is_over: true, .. })
    }

    /// How long a violation has lasted that the sample shows; zero if it shows none.
    pub fn lasting(self) -> ViolationSpan {
        match self {
            Self::Lasts { span, .. } => span,
            Self::Calm | Self::Begun | Self::Fades | Self::Ended { .. } => ViolationSpan::default(),
        }
    }
}
