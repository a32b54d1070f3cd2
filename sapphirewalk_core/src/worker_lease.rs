//! The lease that the holder of a shard grants a worker, and when it has safely expired.

use crate::shard_lease::LeaseTiming;
use crate::time::TimePoint;

/// The latest lease end that a worker may have received, as tracked by the holder of its shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerLease {
    /// Latest end that this or the former holder may have sent.
    sent_until: TimePoint,
}

impl WorkerLease {
    /// The lease of a worker taken over from a holder that granted none beyond `former_until`.
    pub const fn new(former_until: TimePoint) -> Self {
        Self {
            sent_until: former_until,
        }
    }

    /// Records the lease end in a command. Call it before the command is sent, since the command
    /// may arrive even if the send fails.
    pub fn note_sent(&mut self, lease_until: TimePoint) {
        self.sent_until = self.sent_until.max(lease_until);
    }

    /// Time from which the worker runs no attempt that was started or renewed so far, even if it
    /// can't be reached. Includes clock drift and the time to stop an attempt.
    pub fn stopped_by(&self, timing: &LeaseTiming) -> TimePoint {
        self.sent_until + timing.drift_max + timing.stop_delay_max
    }

    /// Time from which the worker refuses every start command sent so far; includes clock drift.
    pub fn starts_refused_at(&self, timing: &LeaseTiming) -> TimePoint {
        self.sent_until + timing.drift_max
    }
}
