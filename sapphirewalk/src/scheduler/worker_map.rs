//! The workers of a held shard: their addresses, leases and renewals.

use std::net;

use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_lease::WorkerLease;
use sapphirewalk_wire::platform::VmState;
use sapphirewalk_wire::row::VmIncarnation;
use sapphirewalk_wire::worker::AttemptName;

/// Value of [`WorkerNode::unanswered`] from which renewals no longer extend the lease.
const UNANSWERED_MAX: u32 = 2;

/// Why no new tasks are started on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosedReason {
    /// It has not answered a renewal under the present epoch yet.
    Unconfirmed,
    /// It did not answer the last renewal, or the last start command did not reach it.
    Silent,
    /// It, a peer or the VM list reports that it is leaving.
    Leaving,
    /// It runs attempts that no row of the shard accounts for, so its free resources are not known.
    Unaccounted,
    /// The VM list shows that this incarnation is gone for good.
    Gone,
    /// A task's row names it, but the VM list does not list it as a worker of this shard.
    Unlisted,
}

/// The state of one incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerNode {
    /// The worker's name and incarnation.
    pub name: VmIncarnation,
    /// The address for commands; `None` if the VM list lacks the worker or its address is
    /// malformed.
    pub address: Option<net::SocketAddr>,
    /// The state in the VM list; `None` if the list lacks the worker. Once gone, it stays gone.
    pub listed: Option<VmState>,
    /// Whether the worker or a peer reported that it is leaving. Never reset.
    pub leaving: bool,
    /// Whether it runs attempts that no row accounts for, by its last report or a refused start.
    pub unaccounted: bool,
    /// The latest lease end that it may have received, from this or a former holder.
    pub lease: WorkerLease,
    /// The latest lease end sent under the present epoch; [`TimePoint::EPOCH`] before the first.
    pub sent_until: TimePoint,
    /// When the last renewal that it answered was sent; `None` if it answered none under the
    /// present epoch.
    pub confirmed_at: Option<TimePoint>,
    /// When the next renewal is due.
    pub renew_at: TimePoint,
    /// From when the next renewal requests a full report instead of a brief one.
    pub report_at: TimePoint,
    /// Whether a renewal is in flight.
    pub renewing: bool,
    /// Renewals without an answer and start commands that did not reach the worker, since the last
    /// answered renewal.
    pub unanswered: u32,
    /// Attempts whose end is recorded, so that the worker may drop its records of them.
    pub forget: Vec<AttemptName>,
}

/// The workers of a held shard, including incarnations that are gone.
#[derive(Debug, Default)]
pub struct WorkerMap {
    /// By key.
    nodes: Vec<WorkerNode>,
    /// Sorted by name and incarnation.
    sorted_keys: Vec<WorkerKey>,
}

impl ClosedReason {
    /// The word for the reason in the state dump.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Unconfirmed => "unconfirmed",
            Self::Silent => "silent",
            Self::Leaving => "leaving",
            Self::Unaccounted => "unaccounted",
            Self::Gone => "gone",
            Self::Unlisted => "unlisted",
        }
    }
}

impl WorkerNode {
    /// Whether the VM list shows that this incarnation is gone for good.
    pub fn is_gone(&self) -> bool {
        self.listed == Some(VmState::Gone)
    }

    /// Whether the worker has an address, has not answered a renewal under the present epoch, and
    /// [`Self::unanswered`] is 0.
    pub const fn awaits_first_answer(&self) -> bool {
        self.address.is_some() && self.confirmed_at.is_none() && self.unanswered == 0
    }

    /// Whether a brief report suffices for the renewal at `now`.
    pub fn is_brief(&self, now: TimePoint) -> bool {
        self.confirmed_at.is_some() && self.unanswered == 0 && now < self.report_at
    }

    /// Whether the next renewal may extend the lease. While the worker does not answer, the lease
    /// must be allowed to end.
    pub const fn may_extend(&self) -> bool {
        self.unanswered < UNANSWERED_MAX
    }

    /// Why no new tasks are started on the worker; `None` if they may be.
    pub fn closed_reason(&self) -> Option<ClosedReason> {
        match self.listed {
            None => return Some(ClosedReason::Unlisted),
            Some(VmState::Gone) => return Some(ClosedReason::Gone),
            Some(VmState::Leaving) => return Some(ClosedReason::Leaving),
            Some(VmState::Live) => {}
        }
        if self.leaving {
            return Some(ClosedReason::Leaving);
        }
        if self.confirmed_at.is_none() {
            return Some(ClosedReason::Unconfirmed);
        }
        if self.unanswered > 0 {
            return Some(ClosedReason::Silent);
        }
        self.unaccounted.then_some(ClosedReason::Unaccounted)
    }
}

impl WorkerMap {
    /// The keys of all workers, in ascending order.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..self.nodes.len()).map(WorkerKey::from_index)
    }

    /// The worker with this key, which must be one of the map's.
    pub fn node(&self, worker: WorkerKey) -> &WorkerNode {
        &self.nodes[worker.index()]
    }

    /// The worker with this key, mutable. Its name must not be changed.
    pub fn node_mut(&mut self, worker: WorkerKey) -> &mut WorkerNode {
        &mut self.nodes[worker.index()]
    }

    /// The key of the worker with this name and incarnation.
    pub fn find(&self, incarnation: &VmIncarnation) -> Option<WorkerKey> {
        self.search(incarnation)
            .ok()
            .map(|position| self.sorted_keys[position])
    }

    /// Adds a worker under the key that the policy assigned, which must be the next index. No
    /// former holder granted it a lease beyond `former_until`.
    pub fn add(&mut self, worker: WorkerKey, incarnation: &VmIncarnation, former_until: TimePoint) {
        let position = self.search(incarnation).unwrap_or_else(|position| position);
        self.nodes.push(WorkerNode {
            name: incarnation.clone(),
            address: None,
            listed: None,
            leaving: false,
            unaccounted: false,
            lease: WorkerLease::new(former_until),
            sent_until: TimePoint::EPOCH,
            confirmed_at: None,
            renew_at: TimePoint::EPOCH,
            report_at: TimePoint::EPOCH,
            renewing: false,
            unanswered: 0,
            forget: Vec::new(),
        });
        self.sorted_keys.insert(position, worker);
    }

    /// The latest lease end sent to any worker under the present epoch; [`TimePoint::EPOCH`] if
    /// none was sent.
    pub fn last_lease_end(&self) -> TimePoint {
        let ends = self.nodes.iter().map(|node| node.sent_until);
        ends.max().unwrap_or(TimePoint::EPOCH)
    }

    fn search(&self, incarnation: &VmIncarnation) -> Result<usize, usize> {
        self.sorted_keys
            .binary_search_by(|key| self.nodes[key.index()].name.cmp(incarnation))
    }
}
