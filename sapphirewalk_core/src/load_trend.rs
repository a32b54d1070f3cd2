//! Short-term forecast of a service job's load, from the residuals of the interference model.
//!
//! The load of a service varies by half or more within 10 to 14 s. The tasks of one job vary
//! together; tasks of different jobs don't, even if they run the same image. This variation
//! accounts for two thirds of the residual of the interference model, so it is tracked per job:
//! best-effort tasks are placed beside services whose load is low, and not where it is about to
//! rise.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Time constant of the fast average; each task of a job delivers a few samples within it.
const FAST_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(400);
/// Time constant of the slow average, whose distance from the fast one is the trend; best-effort
/// tasks run for about 2 s.
const SLOW_TIME_CONSTANT: TimeSpan = TimeSpan::from_millis(1_200);
/// Least time counted between samples; the tasks of a job are polled shortly after one another.
const MIN_SAMPLE_SPAN: TimeSpan = TimeSpan::from_millis(40);
/// Limit of a sample's absolute value, so that one stalled task doesn't dominate its job.
const SAMPLE_BOUND: f64 = 1.2;

/// Load of one service job relative to its average, as a logarithm; 0 without samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadTrend {
    fast_average: f64,
    slow_average: f64,
    observed_at: Option<TimePoint>,
}

impl LoadTrend {
    /// Adds a sample of one of the job's tasks: the logarithm of its tail latency divided by its
    /// target, less the prediction of the interference model.
    pub fn observe(&mut self, residual: f64, now: TimePoint) {
        let sample = residual.clamp(-SAMPLE_BOUND, SAMPLE_BOUND);
        let Some(before) = self.observed_at.replace(now) else {
            self.fast_average = sample;
            self.slow_average = sample;
            return;
        };
        let span = now.since(before).max(MIN_SAMPLE_SPAN);
        self.fast_average += (sample - self.fast_average) * sample_weight(span, FAST_TIME_CONSTANT);
        self.slow_average += (sample - self.slow_average) * sample_weight(span, SLOW_TIME_CONSTANT);
    }

    /// The relative load expected about a second ahead.
    pub fn forecast(&self) -> f64 {
        self.fast_average + (self.fast_average - self.slow_average)
    }
}

/// Weight of a sample in an exponential moving average, `span` after the last sample.
fn sample_weight(span: TimeSpan, time_constant: TimeSpan) -> f64 {
    1.0 - (-span.as_secs_f64() / time_constant.as_secs_f64()).exp()
}
