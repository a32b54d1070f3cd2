//! The workers of a shard: where they are and what their leases are.

use std::net;

use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_lease::WorkerLease;
use sapphirewalk_wire::platform::VmState;
use sapphirewalk_wire::row::VmName;
use sapphirewalk_wire::worker::AttemptName;

/// Unanswered renewals after which the end of the lease is no longer moved.
const SILENT_RENEWALS_MAX: u32 = 2;

/// Why a worker gets no new tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClosedReason {
    /// It has not reported under the present epoch yet.
    Unconfirmed,
    /// Its last renewals were not answered.
    Silent,
    /// It is about to leave.
    Leaving,
    /// It runs attempts that no row of the shard accounts for.
    Unaccounted,
    /// It is gone for good.
    Gone,
    /// It is on no list of this shard.
    Unlisted,
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct WorkerNode {
    /// Its name.
    pub name: VmName,
    /// Where it listens.
    pub address: Option<net::SocketAddr>,
    /// Whether the VM list has it, and how.
    pub listed: Option<VmState>,
    /// Whether it said itself, or a peer said, that it is leaving. Never taken back.
    pub leaving: bool,
    /// Whether it runs attempts that no row accounts for.
    pub unaccounted: bool,
    /// The lease as last sent.
    pub lease: WorkerLease,
    /// The end of the lease as last sent under the present epoch.
    pub sent_until: TimePoint,
    /// When the last renewal that it answered was sent.
    pub confirmed_at: Option<TimePoint>,
    /// When it is to be asked next.
    pub renew_at: TimePoint,
    /// From when a renewal asks for a full report.
    pub report_at: TimePoint,
    /// Whether a renewal is under way.
    pub renewing: bool,
    /// Renewals since the last answer.
    pub unanswered: u32,
    /// Recorded attempts that it may forget.
    pub forget: Vec<AttemptName>,
}

/// The workers of a shard.
#[derive(Debug, Default)]
pub struct WorkerMap {
    nodes: Vec<WorkerNode>,
    /// Sorted by name.
    sorted_keys: Vec<WorkerKey>,
}

impl ClosedReason {
    /// One word for the state dump.
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
    /// Whether the node is gone for good.
    pub fn is_gone(&self) -> bool {
        self.listed == Some(VmState::Gone)
    }

    /// Whether the node can be asked what it runs and has not been, under the present epoch.
    pub const fn is_unqueried(&self) -> bool {
        self.address.is_some() && self.confirmed_at.is_none() && self.unanswered == 0
    }

    /// Whether the next renewal needs no full report.
    pub fn is_brief(&self, now: TimePoint) -> bool {
        self.confirmed_at.is_some() && self.unanswered == 0 && now < self.report_at
    }

    /// Whether the next renewal may move the end of the lease.
    pub const fn may_extend(&self) -> bool {
        self.unanswered < SILENT_RENEWALS_MAX
    }

    /// Why the node gets no new tasks, if it gets none.
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
    /// The keys of all workers.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..self.nodes.len()).map(WorkerKey::from_index)
    }

    /// A worker.
    pub fn node(&self, worker: WorkerKey) -> &WorkerNode {
        &self.nodes[worker.index()]
    }

    /// A worker, to change.
    pub fn node_mut(&mut self, worker: WorkerKey) -> &mut WorkerNode {
        &mut self.nodes[worker.index()]
    }

    /// The key of a worker by name and incarnation.
    pub fn find(&self, name: &VmName) -> Option<WorkerKey> {
        self.search(name)
            .ok()
            .map(|position| self.sorted_keys[position])
    }

    /// Adds a worker under the key that the policy gave it, which is the next one. No former
    /// holder gave it a lease beyond `former_until`.
    pub fn add(&mut self, worker: WorkerKey, name: &VmName, former_until: TimePoint) {
        let position = self.search(name).unwrap_or_else(|position| position);
        self.nodes.push(WorkerNode {
            name: name.clone(),
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

    /// The latest end of a lease that was sent to any worker.
    pub fn last_lease_end(&self) -> TimePoint {
        let ends = self.nodes.iter().map(|node| node.sent_until);
        ends.max().unwrap_or(TimePoint::EPOCH)
    }

    fn search(&self, name: &VmName) -> Result<usize, usize> {
        self.sorted_keys
            .binary_search_by(|key| self.nodes[key.index()].name.cmp(name))
    }
}
