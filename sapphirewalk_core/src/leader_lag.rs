//! Own lag of a leader that is short of processor time, and what it slows down.
//!
//! It answers loads that take more processor time than the leader's VM has. Polls cost much and can
//! wait: a worker lists its ends until they are read. If they were sent at the usual rate, answers
//! would wait longer than their timeouts, connections would be closed and opened again, and all
//! workers would seem silent at once. Polls of workers with urgent runs are delayed least, since the
//! next steps of urgent jobs wait for these ends.

use crate::time::TimeSpan;

/// Lag from which polls are slowed.
const SHED_LAG: TimeSpan = TimeSpan::from_millis(60);
/// Lag below which they no longer are.
const RECOVERED_LAG: TimeSpan = TimeSpan::from_millis(20);
/// Multiple of the lag by which a poll is delayed.
const DELAY_FACTOR: f64 = 4.0;
/// Like [`DELAY_FACTOR`], for a worker with urgent runs.
const URGENT_DELAY_FACTOR: f64 = 1.0;
/// Multiple of the lag between rounds that place work that can wait.
const ROUND_FACTOR: f64 = 6.0;
/// Longest interval between these rounds.
const LONGEST_ROUND_INTERVAL: TimeSpan = TimeSpan::from_millis(250);
/// Longest delay of a poll. With the wait of a poll it stays well below the time after which a
/// worker counts as silent.
const LONGEST_DELAY: TimeSpan = TimeSpan::from_millis(800);
/// Share of the last lag that a lower sample leaves.
const DECAY: f64 = 0.8;

/// Recent lag of the leader's event loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeaderLag {
    lag: TimeSpan,
    shedding: bool,
}

/// Whether a sample changed what the leader does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LagStep {
    /// Nothing changed.
    Unchanged,
    /// The leader lags; polls are slowed.
    Shed,
    /// The leader keeps up again.
    Recover,
}

impl LeaderLag {
    /// Records how late the event loop handled a timer.
    pub fn observe(&mut self, sample: TimeSpan) -> LagStep {
        self.lag = sample.max(self.lag.scale(DECAY));
        if !self.shedding && self.lag >= SHED_LAG {
            self.shedding = true;
            return LagStep::Shed;
        }
        if self.shedding && self.lag < RECOVERED_LAG {
            self.shedding = false;
            return LagStep::Recover;
        }
        LagStep::Unchanged
    }

    /// Recent lag.
    pub const fn lag(&self) -> TimeSpan {
        self.lag
    }

    /// Delay between the answer of a worker and its next poll; `urgent` tells whether it has urgent
    /// runs.
    pub fn poll_delay(&self, urgent: bool) -> TimeSpan {
        if !self.shedding {
            return TimeSpan::ZERO;
        }
        let factor = if urgent {
            URGENT_DELAY_FACTOR
        } else {
            DELAY_FACTOR
        };
        self.lag.scale(factor).min(LONGEST_DELAY)
    }

    /// Least interval between rounds that place work that can wait. A round takes part of the lag, so
    /// it leaves most of the time to other work.
    pub fn round_interval(&self) -> TimeSpan {
        self.lag.scale(ROUND_FACTOR).min(LONGEST_ROUND_INTERVAL)
    }
}
