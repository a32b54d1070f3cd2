//! Admission control for requests: a share of slots per kind, bounded queues and early refusal.
//!
//! Kinds that use less than their share are served before all others. Slots that a kind leaves
//! unused are lent to the most urgent kinds with queued requests; the owner gets them back as
//! slots are released.

mod kind_state;

use crate::admission::kind_state::KindState;
use crate::deadline::RequestDeadline;
use crate::key::KindKey;
use crate::key::RequestKey;
use crate::key::UserKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Largest expected wait, as a fraction of the time remaining until the deadline. A longer queue
/// would only delay the requests of the same kind that arrive after a burst.
const EXPECTED_WAIT_FRACTION_MAX: f64 = 0.15;
const PERMILLE: u64 = 1_000;

/// Limits that the bundle sets for a kind of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KindPolicy {
    /// Kind that the limits apply to; a table has one policy per kind.
    pub kind: KindKey,
    /// Priority for slots that other kinds leave unused; the highest is served first.
    pub urgency: u8,
    /// Weight by which the capacity above all floors is divided among kinds.
    pub weight: u32,
    /// Minimum share of the capacity, in thousandths.
    pub floor_permille: u32,
    /// Maximum number of queued requests.
    pub queue_limit: usize,
    /// Mean run time assumed until runs have been recorded.
    pub initial_run_time: TimeSpan,
}

/// Sender of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOrigin {
    /// A caller; its request may be queued.
    Caller,
    /// A peer entry VM that forwarded the request. It can queue the request itself, so the request
    /// is dispatched here at once or refused.
    Peer,
}

/// A request to be admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRequest {
    /// Key that identifies the request in its queue.
    pub request: RequestKey,
    /// Kind whose share and queue the request uses.
    pub kind: KindKey,
    /// User that the request is counted for; the users of a kind share its queue and slots evenly.
    pub user: UserKey,
    /// Point after which the answer is of no use.
    pub deadline: RequestDeadline,
    /// Whether the request may be queued here.
    pub origin: RequestOrigin,
}

/// Reason why a request was refused without being run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefuseReason {
    /// The bundle names no such kind.
    UnknownKind,
    /// The kind's queue, or the user's part of it, is full.
    QueueFull,
    /// The expected wait and run would end after the deadline.
    DeadlineTooShort,
    /// The expected wait exceeds the permitted fraction of the remaining time.
    WaitTooLong,
    /// No slot is free and the request may not wait for one, for example since a peer forwarded it.
    NoFreeSlot,
}

/// Decision on an arriving request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionStep {
    /// Send it to an endpoint now. Its slot is in use until [`AdmissionTable::finish`].
    Dispatch,
    /// Hold it until [`AdmissionTable::next`] returns it or [`AdmissionTable::cancel`] removes it.
    Queue,
    /// Answer now that it was not run.
    Refuse(RefuseReason),
}

/// Decision on the queued requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueStep {
    /// Send this request to an endpoint now.
    Dispatch(AdmissionRequest),
    /// Answer this request now that it was not run, since its deadline can no longer be met.
    Refuse(AdmissionRequest, RefuseReason),
    /// No slot is free or no request is queued.
    Idle,
}

/// Slots in use and queued requests, by kind.
#[derive(Clone, Debug)]
pub struct AdmissionTable {
    /// Slots that may be in use at once.
    capacity: u32,
    /// Slots in use by all kinds.
    in_use: u32,
    /// Sorted by kind.
    kinds: Vec<KindState>,
}

/// State of one kind, for the state dump and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindSummary {
    /// Kind that the figures belong to.
    pub kind: KindKey,
    /// Slots that the kind is entitled to; may be fractional.
    pub share_slots: f64,
    /// Slots in use, lent ones included.
    pub in_use: u32,
    /// Queued requests.
    pub waiting: usize,
    /// Expected upper bound on the time of one run.
    pub run_time: TimeSpan,
}

impl AdmissionTable {
    /// A table of zero capacity with the given kinds.
    pub fn new(policies: &[KindPolicy]) -> Self {
        let mut table = Self {
            capacity: 0,
            in_use: 0,
            kinds: Vec::new(),
        };
        table.set_policies(policies);
        table
    }

    /// Applies the kinds of a bundle.
    ///
    /// A kind that is not in `policies` accepts no new request. Its queued requests are still
    /// served, from slots that other kinds leave unused.
    pub fn set_policies(&mut self, policies: &[KindPolicy]) {
        for state in &mut self.kinds {
            state.policy.weight = 0;
            state.policy.floor_permille = 0;
            state.policy.queue_limit = 0;
        }
        for policy in policies {
            match self.search(policy.kind) {
                Ok(position) => self.kinds[position].policy = *policy,
                Err(position) => self.kinds.insert(position, KindState::new(*policy)),
            }
        }
        self.divide_capacity();
    }

    /// Sets the number of slots that may be in use at once.
    pub fn set_capacity(&mut self, slots: u32) {
        if slots != self.capacity {
            self.capacity = slots;
            self.divide_capacity();
        }
    }

    /// Sets the number of free slots, in addition to those in use by admitted requests.
    ///
    /// Must be called before [`AdmissionTable::offer`] and [`AdmissionTable::next`] if the number
    /// of slots varies, or if second attempts use slots as well.
    pub fn set_free_slots(&mut self, slots: u32) {
        self.set_capacity(self.in_use.saturating_add(slots));
    }

    /// Decides whether an arriving request is dispatched, queued or refused.
    pub fn offer(&mut self, admission_request: AdmissionRequest, now: TimePoint) -> AdmissionStep {
        let Ok(position) = self.search(admission_request.kind) else {
            return AdmissionStep::Refuse(RefuseReason::UnknownKind);
        };
        let state = &self.kinds[position];
        if state.policy.weight == 0 && state.policy.floor_permille == 0 {
            return AdmissionStep::Refuse(RefuseReason::UnknownKind);
        }
        if state.misses_deadline(admission_request, now, TimeSpan::ZERO) {
            return AdmissionStep::Refuse(RefuseReason::DeadlineTooShort);
        }
        if self.has_free_slot() && state.waiting == 0 {
            self.occupy_slot(position, admission_request.user);
            return AdmissionStep::Dispatch;
        }
        self.offer_to_queue(position, admission_request, now)
    }

    /// Takes the next queued request for which a slot is free.
    ///
    /// Must be called until it returns [`QueueStep::Idle`] whenever a slot is released or the
    /// capacity changes.
    pub fn next(&mut self, now: TimePoint) -> QueueStep {
        if !self.has_free_slot() {
            return QueueStep::Idle;
        }
        let Some(position) = self.next_kind() else {
            return QueueStep::Idle;
        };
        let Some(admission_request) = self.kinds[position].pop_fairest() else {
            return QueueStep::Idle;
        };
        if self.kinds[position].misses_deadline(admission_request, now, TimeSpan::ZERO) {
            return QueueStep::Refuse(admission_request, RefuseReason::DeadlineTooShort);
        }
        self.occupy_slot(position, admission_request.user);
        QueueStep::Dispatch(admission_request)
    }

    /// Removes the next queued request, to forward it to a peer that has a free slot.
    pub fn take_waiting(&mut self) -> Option<AdmissionRequest> {
        let position = self.next_kind()?;
        self.kinds[position].pop_fairest()
    }

    /// Returns a request that no peer accepted to the front of its queue.
    pub fn return_waiting(&mut self, admission_request: AdmissionRequest) {
        if let Ok(position) = self.search(admission_request.kind) {
            self.kinds[position].push_front(admission_request);
        }
    }

    /// Frees the slot of a dispatched request that ended; `run_time` is `None` if it did not run.
    pub fn finish(&mut self, kind: KindKey, user: UserKey, run_time: Option<TimeSpan>) {
        let Ok(position) = self.search(kind) else {
            return;
        };
        let state = &mut self.kinds[position];
        state.release_slot(user);
        if let Some(run_time) = run_time {
            state.record_run_time(run_time);
        }
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Frees the slot of a dispatched request and returns it to the front of its queue.
    ///
    /// For a request whose attempt did not run while no endpoint is free for another attempt. It is
    /// refused if its deadline can no longer be met.
    pub fn requeue(
        &mut self,
        admission_request: AdmissionRequest,
        now: TimePoint,
    ) -> AdmissionStep {
        self.finish(admission_request.kind, admission_request.user, None);
        let Ok(position) = self.search(admission_request.kind) else {
            return AdmissionStep::Refuse(RefuseReason::UnknownKind);
        };
        let state = &mut self.kinds[position];
        if state.misses_deadline(admission_request, now, TimeSpan::ZERO) {
            return AdmissionStep::Refuse(RefuseReason::DeadlineTooShort);
        }
        state.push_front(admission_request);
        AdmissionStep::Queue
    }

    /// Removes a queued request whose caller disconnected; false if it is not queued.
    pub fn cancel(&mut self, admission_request: AdmissionRequest) -> bool {
        self.search(admission_request.kind)
            .is_ok_and(|position| self.kinds[position].cancel(admission_request))
    }

    /// Number of free slots, for any kind.
    pub const fn free_slots(&self) -> u32 {
        self.capacity.saturating_sub(self.in_use)
    }

    /// Number of queued requests of all kinds.
    pub fn waiting(&self) -> usize {
        self.kinds.iter().map(|state| state.waiting).sum()
    }

    /// Expected upper bound on a run of `kind`; zero for an unknown kind.
    pub fn run_time_bound(&self, kind: KindKey) -> TimeSpan {
        self.search(kind).map_or(TimeSpan::ZERO, |position| {
            self.kinds[position].run_time_bound()
        })
    }

    /// State of each kind, sorted by kind.
    pub fn summaries(&self) -> impl Iterator<Item = KindSummary> + '_ {
        self.kinds.iter().map(KindState::summary)
    }

    fn offer_to_queue(
        &mut self,
        position: usize,
        admission_request: AdmissionRequest,
        now: TimePoint,
    ) -> AdmissionStep {
        if admission_request.origin == RequestOrigin::Peer {
            return AdmissionStep::Refuse(RefuseReason::NoFreeSlot);
        }
        let state = &mut self.kinds[position];
        if state.is_full_for(admission_request.user) {
            return AdmissionStep::Refuse(RefuseReason::QueueFull);
        }
        let wait = state.expected_wait();
        if state.misses_deadline(admission_request, now, wait) {
            return AdmissionStep::Refuse(RefuseReason::DeadlineTooShort);
        }
        if wait
            > admission_request
                .deadline
                .remaining(now)
                .scale(EXPECTED_WAIT_FRACTION_MAX)
        {
            return AdmissionStep::Refuse(RefuseReason::WaitTooLong);
        }
        state.push(admission_request);
        AdmissionStep::Queue
    }

    fn occupy_slot(&mut self, position: usize, user: UserKey) {
        self.kinds[position].occupy_slot(user);
        self.in_use += 1;
    }

    const fn has_free_slot(&self) -> bool {
        self.in_use < self.capacity
    }

    /// Position of the kind to serve next; `None` if no request is queued.
    fn next_kind(&self) -> Option<usize> {
        (0..self.kinds.len())
            .filter(|position| self.kinds[*position].waiting > 0)
            .min_by(|first, second| self.kinds[*first].serve_order(&self.kinds[*second]))
    }

    fn divide_capacity(&mut self) {
        let floors: u64 = self
            .kinds
            .iter()
            .map(|state| u64::from(state.policy.floor_permille))
            .sum();
        let weights: u64 = self
            .kinds
            .iter()
            .map(|state| u64::from(state.policy.weight))
            .sum();
        let total = floors.max(PERMILLE) as f64;
        let unreserved = total - floors as f64;
        let capacity = f64::from(self.capacity);
        for state in &mut self.kinds {
            let floor = f64::from(state.policy.floor_permille);
            let fraction = f64::from(state.policy.weight) / weights.max(1) as f64;
            state.share_slots = capacity * (floor + unreserved * fraction) / total;
        }
    }

    fn search(&self, kind: KindKey) -> Result<usize, usize> {
        self.kinds
            .binary_search_by_key(&kind, |state| state.policy.kind)
    }
}
