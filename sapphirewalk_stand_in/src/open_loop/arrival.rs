//! Arrival times of a Poisson process with a fixed seed.

use std::time;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

use crate::open_loop::LoadPlan;

/// Iterator over the arrivals of a run, as offsets from its start.
#[derive(Debug)]
pub struct ArrivalTimes {
    rng: ChaCha8Rng,
    /// Mean seconds between two arrivals.
    mean_gap: f64,
    /// Seconds from the start to the last arrival.
    at: f64,
    /// Seconds from the start to the end of the run.
    end: f64,
}

impl ArrivalTimes {
    /// Creates the arrivals of a plan; the plan's seed makes them the same for each path.
    pub fn new(plan: &LoadPlan) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            mean_gap: 1.0 / f64::from(plan.per_second.max(1)),
            at: 0.0,
            end: f64::from(plan.seconds),
        }
    }
}

impl Iterator for ArrivalTimes {
    type Item = time::Duration;

    fn next(&mut self) -> Option<time::Duration> {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.at -= uniform.ln() * self.mean_gap;
        (self.at < self.end).then(|| time::Duration::from_secs_f64(self.at))
    }
}
