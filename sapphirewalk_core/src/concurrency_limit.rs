//! Adaptive concurrency limit for one endpoint.
//!
//! The limit falls when latency rises above its long-term average or a request fails. It grows by
//! small steps while it is fully used. It never exceeds the share of this entry VM.

use crate::time::TimeSpan;

/// Weight of a new sample in the short-term average.
const SHORT_WEIGHT: f64 = 0.2;
/// Weight of a new sample in the long-term average.
const LONG_WEIGHT: f64 = 0.01;
/// Ratio of the short-term to the long-term average above which the limit falls.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Increase of the limit per sample within tolerance, while the limit is fully used.
const INCREASE_SLOTS: f64 = 0.2;
/// Factor applied to the limit after a failure.
const FAILURE_FACTOR: f64 = 0.8;
/// Smallest factor applied to the limit after one slow sample.
const GRADIENT_MIN: f64 = 0.9;
/// Lower bound of the limit, in slots.
const LIMIT_MIN_SLOTS: f64 = 1.0;

/// Result of one request at the endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSample {
    /// The endpoint answered.
    Answered {
        /// Time from dispatch to the complete answer.
        latency: TimeSpan,
        /// Typical latency of requests of the same kind.
        expected: TimeSpan,
    },
    /// The request failed or timed out.
    Failed,
}

/// Current limit of one endpoint and the latency averages that it follows.
#[derive(Clone, Debug)]
pub struct ConcurrencyLimit {
    /// Slots; fractional so that small increases add up.
    limit: f64,
    /// Short-term average of latency divided by expected latency.
    short_average: f64,
    /// Long-term average of latency divided by expected latency.
    long_average: f64,
}

impl ConcurrencyLimit {
    /// A limit that starts at `share` slots.
    pub fn new(share: u32) -> Self {
        Self {
            limit: f64::from(share).max(LIMIT_MIN_SLOTS),
            short_average: 1.0,
            long_average: 1.0,
        }
    }

    /// Adapts the limit to a finished request.
    ///
    /// `in_use` is the number of slots that were in use, including the one of this request.
    pub fn record(&mut self, sample: LimitSample, in_use: u32, share: u32) {
        match sample {
            LimitSample::Answered { latency, expected } => {
                self.record_latency(latency_ratio(latency, expected), in_use);
            }
            LimitSample::Failed => self.limit *= FAILURE_FACTOR,
        }
        let limit_max = f64::from(share).max(LIMIT_MIN_SLOTS);
        self.limit = self.limit.clamp(LIMIT_MIN_SLOTS, limit_max);
    }

    /// Number of slots that may be used, at most `share`.
    pub fn slots(&self, share: u32) -> u32 {
        (self.limit.round() as u32).min(share)
    }

    fn record_latency(&mut self, latency_ratio: f64, in_use: u32) {
        self.short_average += (latency_ratio - self.short_average) * SHORT_WEIGHT;
        self.long_average += (latency_ratio - self.long_average) * LONG_WEIGHT;
        let gradient = LATENCY_TOLERANCE * self.long_average.max(1.0)
            / self.short_average.max(f64::MIN_POSITIVE);
        if gradient < 1.0 {
            self.limit *= gradient.max(GRADIENT_MIN);
        } else if f64::from(in_use) + 1.0 >= self.limit {
            self.limit += INCREASE_SLOTS;
        }
    }
}

fn latency_ratio(latency: TimeSpan, expected: TimeSpan) -> f64 {
    latency.as_micros() as f64 / expected.as_micros().max(1) as f64
}
