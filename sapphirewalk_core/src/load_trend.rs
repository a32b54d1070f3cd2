//! How far the tails of a service job stand from what its image and its neighbours explain.
//!
//! The load of a service swings within 10 to 14 s by half or more. All tasks of a job swing
//! together, while jobs of one image don't; two thirds of what the weights of images leave
//! unexplained is this swing. It is followed for each job, so that best-effort work joins services
//! while their load is low and keeps away where it is about to rise.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Time constant of the present swing: some samples of each of a job's tasks.
const FAST_SPAN: TimeSpan = TimeSpan::from_millis(400);
/// Time constant of the trail behind it, from which the trend is taken: best-effort tasks run for
/// about 2 s.
const TRAIL_SPAN: TimeSpan = TimeSpan::from_millis(1_200);
/// Samples closer together count as this far apart: a job's tasks are polled one after another.
const LEAST_SPAN: TimeSpan = TimeSpan::from_millis(40);
/// Bound of a sample, so that a stalled task doesn't stand for its job.
const SAMPLE_BOUND: f64 = 1.2;

/// The swing of one service job, as a logarithm.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTrend {
    present: f64,
    trail: f64,
    observed_at: Option<TimePoint>,
}

impl LoadTrend {
    /// Takes a sample of one of the job's tasks: the logarithm of its tail less what is explained.
    pub fn observe(&mut self, unexplained: f64, now: TimePoint) {
        let sample = unexplained.clamp(-SAMPLE_BOUND, SAMPLE_BOUND);
        let Some(before) = self.observed_at.replace(now) else {
            self.present = sample;
            self.trail = sample;
            return;
        };
        let span = now.since(before).max(LEAST_SPAN);
        self.present += (sample - self.present) * sample_share(span, FAST_SPAN);
        self.trail += (sample - self.trail) * sample_share(span, TRAIL_SPAN);
    }

    /// Where it will stand within the next second or so.
    pub fn forecast(&self) -> f64 {
        self.present + (self.present - self.trail)
    }
}

/// The weight of a sample that comes a span after the one before, for a time constant.
fn sample_share(span: TimeSpan, constant: TimeSpan) -> f64 {
    1.0 - (-span.as_secs_f64() / constant.as_secs_f64()).exp()
}
