//! Progress of a run as its worker reports it, and the decision whether a restart elsewhere would
//! finish sooner.
//!
//! It answers loads in which estimates are far too low and some workers hang or are slow. A run is
//! only compared with runs of the same step on other workers, and only on its worker's clock, so
//! that a wrong estimate or a late report doesn't make it look slow.

use crate::time::TimeSpan;

/// Time without progress after which a run counts as stalled. It is longer than a restart from a
/// checkpoint and than the time between two polls. Doubles with each restart of the task.
const STALL_SPAN: TimeSpan = TimeSpan::from_millis(1_400);
/// Most doublings of [`STALL_SPAN`].
const MAX_STALL_DOUBLINGS: u32 = 4;
/// Minimum time for which a run must have been observed before its speed is known.
const MIN_SPEED_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Time that a run counts with if it took less, since reports are some milliseconds late.
const SHORTEST_SPAN: TimeSpan = TimeSpan::from_millis(100);
/// Progress of a run that is done, in percent.
pub const DONE_PERCENT: u32 = 100;
/// Share of the speed of its siblings below which a run counts as slow.
const SLOW_SHARE: f64 = 0.35;
/// A slow run is restarted if its remaining time exceeds this multiple of the whole time that its
/// siblings take.
const RESTART_FACTOR: f64 = 1.3;
/// Time in seconds until a restarted run makes progress.
const RESTART_OVERHEAD_S: f64 = 0.3;
/// Most restarts of a task because it is slow. A task that is slow on each worker is slow itself.
const MAX_SLOW_RESTARTS: u8 = 2;

/// Progress of a run on its worker's clock.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RunProgress {
    /// Clock of the first report in ms; 0 before it.
    first_ms: u64,
    /// Time in ms from the first report to the last change of the progress.
    changed_after_ms: u32,
    /// Time in ms from the first report to the last one.
    reported_after_ms: u32,
    /// Progress in the first report.
    first_percent: u8,
    /// Progress in the last report; 100 for a service task that serves.
    percent: u8,
}

/// Assessment of a run's progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgressVerdict {
    /// Progress is as expected, or can't be judged yet.
    Normal,
    /// The run is slower than its siblings, but a restart elsewhere would not finish sooner.
    Slow,
    /// The run is slower than its siblings, and a restart elsewhere is expected to finish sooner.
    RestartSlow,
    /// The run has made no progress for too long.
    RestartStalled,
}

impl RunProgress {
    /// Begins with the first report of a run.
    pub fn begin(clock_ms: u64, percent: u32) -> Self {
        let percent = to_percent(percent);
        Self {
            first_ms: clock_ms.max(1),
            changed_after_ms: 0,
            reported_after_ms: 0,
            first_percent: percent,
            percent,
        }
    }

    /// Records a further report. Reports that were overtaken by later ones have no effect.
    pub fn report(&mut self, clock_ms: u64, percent: u32) {
        if self.first_ms == 0 {
            *self = Self::begin(clock_ms, percent);
            return;
        }
        let after_ms = clock_ms.saturating_sub(self.first_ms);
        let after_ms = u32::try_from(after_ms).unwrap_or(u32::MAX);
        if after_ms < self.reported_after_ms {
            return;
        }
        self.reported_after_ms = after_ms;
        let percent = to_percent(percent);
        if percent != self.percent {
            self.percent = percent;
            self.changed_after_ms = after_ms;
        }
    }

    /// Restarts the measurement, because the run's speed limit changed.
    pub fn restart_measurement(&mut self) {
        *self = Self::begin(
            self.first_ms + u64::from(self.reported_after_ms),
            self.percent(),
        );
    }

    /// Progress in percent.
    pub fn percent(&self) -> u32 {
        u32::from(self.percent)
    }

    /// Speed in whole runs per second; `None` if the run was observed for too short a time. The
    /// speed of a run that is done is always known.
    pub fn speed(&self) -> Option<f64> {
        let span = TimeSpan::from_millis(u64::from(self.reported_after_ms));
        if span < MIN_SPEED_SPAN && self.percent() < DONE_PERCENT {
            return None;
        }
        let gained = f64::from(self.percent.saturating_sub(self.first_percent)) / 100.0;
        Some(gained / span.max(SHORTEST_SPAN).as_secs_f64())
    }

    /// Whether the run has made no progress for so long that it counts as stalled. `restarts` is
    /// how often the task was restarted for its progress before.
    pub fn is_stalled(&self, restarts: u8) -> bool {
        let doublings = u32::from(restarts).min(MAX_STALL_DOUBLINGS);
        let unchanged_ms = self.reported_after_ms - self.changed_after_ms;
        u64::from(unchanged_ms) >= STALL_SPAN.as_millis() << doublings
    }

    /// Compares the run's speed with the `usual` speed of its siblings, in whole runs per second.
    pub fn compare(&self, usual: f64, restarts: u8) -> ProgressVerdict {
        let Some(speed) = self.speed() else {
            return ProgressVerdict::Normal;
        };
        if usual <= 0.0 || speed >= usual * SLOW_SHARE {
            return ProgressVerdict::Normal;
        }
        let remaining = 1.0 - f64::from(self.percent) / 100.0;
        let remaining_s = remaining / speed.max(f64::MIN_POSITIVE);
        let restart_s = RESTART_FACTOR / usual + RESTART_OVERHEAD_S;
        if remaining_s > restart_s && restarts < MAX_SLOW_RESTARTS {
            ProgressVerdict::RestartSlow
        } else {
            ProgressVerdict::Slow
        }
    }
}

/// The median of speeds; `None` if there are none. Sorts `speeds`.
pub fn median_speed(speeds: &mut [f64]) -> Option<f64> {
    speeds.sort_unstable_by(f64::total_cmp);
    speeds.get(speeds.len() / 2).copied()
}

fn to_percent(percent: u32) -> u8 {
    percent.min(DONE_PERCENT) as u8
}
