//! The lease that a holder gives a worker, and when the worker has surely stopped.

use crate::shard_lease::LeaseRules;
use crate::time::TimePoint;

/// What a holder knows of a worker's lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerLease {
    sent_until: TimePoint,
}

impl WorkerLease {
    /// A worker taken over, whose former holder gave no lease beyond `former_until`.
    pub const fn new(former_until: TimePoint) -> Self {
        Self {
            sent_until: former_until,
        }
    }

    /// A command with this end of the lease is about to be sent, whether it arrives or not.
    pub fn note_sent(&mut self, lease_until: TimePoint) {
        self.sent_until = self.sent_until.max(lease_until);
    }

    /// From then on the worker runs nothing that was started or renewed so far, even if it cannot
    /// be asked.
    pub fn stopped_by(&self, rules: &LeaseRules) -> TimePoint {
        self.sent_until + rules.drift_max + rules.stop_delay_max
    }

    /// From then on the worker refuses every start command sent so far.
    pub fn starts_refused_at(&self, rules: &LeaseRules) -> TimePoint {
        self.sent_until + rules.drift_max
    }
}
