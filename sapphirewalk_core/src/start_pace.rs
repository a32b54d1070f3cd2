//! How many starts of work that can wait a leader allows itself.
//!
//! It answers loads that take more processor time than the leader's VM has. Each start costs the
//! leader calls and rows long after it is placed. If a leader that lags placed whatever there is room
//! for, urgent work would wait behind bulk work in each of its queues. The rate falls while the leader
//! lags and rises while it keeps up, so that the leader does as much bulk work as it can and its
//! queues stay short.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Mean lag from which the rate falls. A step of an urgent job passes the event loop about six
/// times, and the most urgent objectives leave 250 ms for delays.
const HIGH_LAG: TimeSpan = TimeSpan::from_millis(30);
/// Mean lag up to which the rate rises.
const LOW_LAG: TimeSpan = TimeSpan::from_millis(20);
/// Weight of a new sample in the mean lag.
const LAG_WEIGHT: f64 = 0.2;
/// Interval between rises of the rate.
const RISE_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Interval between falls of the rate. Runs go on to cost time for about as long after their start.
const FALL_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Factor of a fall.
const FALL: f64 = 0.85;
/// Factor of a rise well below the rate at which the leader lagged last.
const FAST_RISE: f64 = 1.2;
/// Factor of any other rise.
const RISE: f64 = 1.04;
/// Share of the rate at which the leader lagged last up to which rises are fast.
const FAST_SHARE: f64 = 0.85;
/// Weight of the last interval in the rate in use.
const USE_WEIGHT: f64 = 0.25;
/// Multiple of the rate in use above which the rate no longer rises.
const MAX_UNUSED: f64 = 1.5;
/// Time without lag in which less must be placed than is allowed before the limit is lifted.
const LIFT_SPAN: TimeSpan = TimeSpan::from_millis(5_000);
/// Lowest rate, in starts per second: what the smallest VMs can do. Bulk work goes on however short the
/// leader is.
const MIN_RATE: f64 = 200.0;
/// Rate with which a successor begins, in starts per second.
const FIRST_RATE: f64 = 1_000.0;
/// Starts that may be saved up, as a span at the present rate. It exceeds the longest interval between
/// rounds that place such work.
const BURST: TimeSpan = TimeSpan::from_millis(300);

/// The rate of starts of work that can wait.
#[derive(Clone, Copy, Debug, Default)]
pub struct StartPace {
    /// Mean lag in seconds, recent samples weighing most.
    mean_lag_s: f64,
    /// Starts per second; none while the rate is unlimited.
    rate: Option<f64>,
    /// Rate at which the leader lagged last.
    lagged_rate: f64,
    /// Starts per second that were made, recent intervals weighing most.
    used_rate: f64,
    /// Starts that are allowed now.
    allowance: f64,
    refilled_at: TimePoint,
    adjusted_at: TimePoint,
    fell_at: TimePoint,
    /// Last time that the leader lagged or used its rate.
    bound_at: TimePoint,
    /// Starts since the last adjustment.
    starts: usize,
}

/// Whether an observation changed what the leader does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PaceStep {
    /// The rate is limited or unlimited, as before.
    Unchanged,
    /// The rate becomes limited, to this many starts per second.
    Limit(f64),
    /// The rate is no longer limited.
    Lift,
}

impl StartPace {
    /// The pace of a leader that takes over waiting work. It doesn't know yet what it can do, so the
    /// rate begins low and rises fast until the leader lags or nothing waits.
    pub fn slow_start(now: TimePoint) -> Self {
        Self {
            rate: Some(FIRST_RATE),
            lagged_rate: f64::INFINITY,
            used_rate: FIRST_RATE,
            refilled_at: now,
            adjusted_at: now,
            bound_at: now,
            ..Self::default()
        }
    }

    /// Adjusts the rate to a sample of the leader's lag.
    pub fn observe(&mut self, sample: TimeSpan, now: TimePoint) -> PaceStep {
        self.mean_lag_s += LAG_WEIGHT * (sample.as_secs_f64() - self.mean_lag_s);
        let elapsed = now.since(self.adjusted_at);
        if elapsed < RISE_INTERVAL {
            return PaceStep::Unchanged;
        }
        let last_rate = self.starts as f64 / elapsed.as_secs_f64();
        self.used_rate += USE_WEIGHT * (last_rate - self.used_rate);
        self.adjusted_at = now;
        self.starts = 0;
        let lags = self.mean_lag_s >= HIGH_LAG.as_secs_f64();
        match self.rate {
            None if lags => {
                let rate = (self.used_rate * FALL).max(MIN_RATE);
                self.fall(rate, now);
                self.allowance = 0.0;
                self.refilled_at = now;
                PaceStep::Limit(rate)
            }
            Some(rate) if lags => {
                if now.since(self.fell_at) >= FALL_INTERVAL {
                    self.fall((rate * FALL).max(MIN_RATE), now);
                }
                PaceStep::Unchanged
            }
            Some(rate) => {
                let is_used = self.used_rate * MAX_UNUSED >= rate;
                if is_used {
                    self.bound_at = now;
                } else if now.since(self.bound_at) >= LIFT_SPAN {
                    self.rate = None;
                    return PaceStep::Lift;
                }
                if is_used && !self.is_lagging() {
                    let is_far = rate < self.lagged_rate * FAST_SHARE;
                    self.rate = Some(rate * if is_far { FAST_RISE } else { RISE });
                }
                PaceStep::Unchanged
            }
            None => PaceStep::Unchanged,
        }
    }

    fn fall(&mut self, rate: f64, now: TimePoint) {
        self.lagged_rate = self.rate.unwrap_or(self.used_rate);
        self.rate = Some(rate);
        self.fell_at = now;
        self.bound_at = now;
    }

    /// Number of starts that are allowed now; none if there is no limit.
    pub fn allowance(&mut self, now: TimePoint) -> Option<usize> {
        let rate = self.rate?;
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let most = (rate * BURST.as_secs_f64()).max(1.0);
        self.allowance = (self.allowance + rate * elapsed).min(most);
        Some(self.allowance as usize)
    }

    /// Records starts of work that can wait.
    pub fn record(&mut self, starts: usize) {
        self.starts += starts;
        if self.rate.is_some() {
            self.allowance -= starts as f64;
        }
    }

    /// Starts per second; none while the rate is unlimited.
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Whether the leader lags by so much that its rate doesn't rise.
    pub fn is_lagging(&self) -> bool {
        self.mean_lag_s > LOW_LAG.as_secs_f64()
    }

    /// Mean lag of the leader, recent samples weighing most.
    pub fn mean_lag(&self) -> TimeSpan {
        TimeSpan::from_micros((self.mean_lag_s * 1e6) as u64)
    }
}
