//! Rate limit for writes to a table that accepts a limited number of rows per second.
//!
//! Holders write independently of each other, so each has a token bucket with a fixed part of the
//! total rate. A failure empties the bucket, so that rows queued during an outage are written at
//! the steady rate rather than as a burst.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Part of the budget that refills the bucket, in thousandths.
const STEADY_PERMILLE: u32 = 800;
/// Size of the bucket as a part of the budget per second, in thousandths. Together with the steady
/// part it stays below the budget in any second.
const BURST_PERMILLE: u32 = 150;
const PERMILLE: f64 = 1_000.0;

/// Decision on rows that are queued for writing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PaceStep {
    /// Write at most this many rows now.
    Write(usize),
    /// Write no row before this point.
    WaitUntil(TimePoint),
}

/// Token bucket of one holder; a token permits the write of one row.
#[derive(Clone, Debug)]
pub struct WritePace {
    rows_per_second: f64,
    tokens_max: f64,
    /// Tokens in the bucket; negative if more rows were written than permitted.
    tokens: f64,
    /// Point in time up to which the bucket was refilled.
    refilled_at: TimePoint,
}

impl WritePace {
    /// A full bucket of one of `holders` holders that share `budget` rows per second.
    pub fn new(budget: u32, holders: u32, now: TimePoint) -> Self {
        let part = f64::from(budget) / f64::from(holders.max(1));
        let tokens_max = (part * f64::from(BURST_PERMILLE) / PERMILLE).max(1.0);
        Self {
            rows_per_second: part * f64::from(STEADY_PERMILLE) / PERMILLE,
            tokens_max,
            tokens: tokens_max,
            refilled_at: now,
        }
    }

    /// Decides how many of `waiting` rows may be written at `now`.
    ///
    /// Rows may be written once there are tokens for all of them, or once the bucket is full.
    pub fn decide(&mut self, waiting: usize, now: TimePoint) -> PaceStep {
        self.refill(now);
        let wanted = (waiting as f64).min(self.tokens_max).floor().max(1.0);
        if self.tokens >= wanted {
            return PaceStep::Write(self.tokens as usize);
        }
        let lacking = (wanted - self.tokens) / self.rows_per_second.max(f64::MIN_POSITIVE);
        let wait = TimeSpan::from_secs(1).scale(lacking) + TimeSpan::from_millis(1);
        PaceStep::WaitUntil(now + wait)
    }

    /// Takes the tokens of rows that were written out of the bucket.
    pub fn spend(&mut self, rows: usize) {
        self.tokens -= rows as f64;
    }

    /// Empties the bucket, since the table did not answer.
    pub fn drain(&mut self, now: TimePoint) {
        self.tokens = self.tokens.min(0.0);
        self.refilled_at = now;
    }

    fn refill(&mut self, now: TimePoint) {
        let refilled = now.since(self.refilled_at).as_secs_f64() * self.rows_per_second;
        self.tokens = (self.tokens + refilled).min(self.tokens_max);
        self.refilled_at = self.refilled_at.max(now);
    }
}
