//! Admission of requests: shares for each kind, bounded queues, and refusals made early.
//!
//! A kind that asks for less than its share is served before every kind that has its share. What
//! shares leave free goes to the most urgent kinds that wait, and returns to its owner with the
//! next slot that is released.

mod kind_state;

use crate::admission::kind_state::KindState;
use crate::deadline::RequestDeadline;
use crate::key::KindKey;
use crate::key::RequestKey;
use crate::key::UserKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Most of the deadline left that a request may be assumed to wait. What waits longer only delays
/// the requests of the same kind that come after a flood.
const MOST_WAIT_PART: f64 = 0.15;
/// Thousandths in a whole.
const WHOLE_PERMILLE: u64 = 1_000;

/// What the bundle grants to a kind of requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KindPolicy {
    /// The kind.
    pub kind: KindKey,
    /// Orders kinds within what shares leave free; the highest goes first.
    pub urgency: u8,
    /// The weight of the kind in what the floors leave of the capacity.
    pub weight: u32,
    /// The part of the capacity kept for the kind, in thousandths.
    pub floor_permille: u32,
    /// Most requests that wait.
    pub queue_limit: usize,
    /// The run time to expect before any request has ended.
    pub initial_run_time: TimeSpan,
}

/// Where a request comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestOrigin {
    /// A caller; it may wait here.
    Caller,
    /// A peer entry VM, where the request can wait; it runs here at once or not at all.
    Peer,
}

/// A request that asks to be run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestClaim {
    /// The request.
    pub request: RequestKey,
    /// Its kind.
    pub kind: KindKey,
    /// Its user; the users of a kind share the kind's queue and slots evenly.
    pub user: UserKey,
    /// When its answer is no longer wanted.
    pub deadline: RequestDeadline,
    /// Where it comes from.
    pub origin: RequestOrigin,
}

/// Why a request is refused. Nothing of it has run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefuseReason {
    /// The bundle names no such kind.
    UnknownKind,
    /// The kind's queue, or the user's part of it, is full.
    QueueFull,
    /// The wait and the run would end after the deadline.
    DeadlineTooShort,
    /// The wait would use up more of the deadline than a request may wait.
    WaitTooLong,
    /// It came from a peer and no slot is free for it at once.
    NoFreeShare,
}

/// What to do with a request that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionStep {
    /// Send it to an endpoint now; report its end with [`AdmissionTable::finish`].
    Dispatch,
    /// Hold it until [`AdmissionTable::next`] names it, or cancel it.
    Queue,
    /// Answer at once that it was not run.
    Refuse(RefuseReason),
}

/// What to do with the requests that wait.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueStep {
    /// Send this request to an endpoint now.
    Dispatch(RequestClaim),
    /// Answer this request that it was not run: its deadline can no longer be met.
    Refuse(RequestClaim, RefuseReason),
    /// Nothing can be done until a slot is released.
    Idle,
}

/// The slots in use and the requests that wait, by kind.
#[derive(Clone, Debug)]
pub struct AdmissionTable {
    capacity: u32,
    in_use: u32,
    /// Sorted by kind.
    kinds: Vec<KindState>,
}

/// The state of a kind, for dumps and metrics.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindSummary {
    /// The kind.
    pub kind: KindKey,
    /// Its share of the slots.
    pub share_slots: f64,
    /// Slots in use.
    pub in_use: u32,
    /// Requests that wait.
    pub waiting: usize,
    /// What a run is expected to take at most.
    pub run_time: TimeSpan,
}

impl AdmissionTable {
    /// A table without capacity.
    pub fn new(policies: &[KindPolicy]) -> Self {
        let mut table = Self {
            capacity: 0,
            in_use: 0,
            kinds: Vec::new(),
        };
        table.set_policies(policies);
        table
    }

    /// Takes in the kinds of a bundle.
    ///
    /// A kind that the bundle no longer names takes no new request; those that wait are still
    /// served from what shares leave free.
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

    /// Sets the slots that may be in use at once.
    pub fn set_capacity(&mut self, slots: u32) {
        if slots != self.capacity {
            self.capacity = slots;
            self.divide_capacity();
        }
    }

    /// Sets the slots that are free now, beside those in use by admitted requests.
    ///
    /// To be called before [`AdmissionTable::offer`] and [`AdmissionTable::next`] where the slots
    /// of endpoints come and go, or are held by second attempts.
    pub fn set_free_slots(&mut self, slots: u32) {
        self.set_capacity(self.in_use.saturating_add(slots));
    }

    /// Decides on a request that arrives.
    pub fn offer(&mut self, claim: RequestClaim, now: TimePoint) -> AdmissionStep {
        let Ok(position) = self.search(claim.kind) else {
            return AdmissionStep::Refuse(RefuseReason::UnknownKind);
        };
        let state = &self.kinds[position];
        if state.policy.weight == 0 && state.policy.floor_permille == 0 {
            return AdmissionStep::Refuse(RefuseReason::UnknownKind);
        }
        if state.is_too_late(claim, now, TimeSpan::ZERO) {
            return AdmissionStep::Refuse(RefuseReason::DeadlineTooShort);
        }
        if self.has_free_slot() && state.waiting == 0 {
            self.begin(position, claim.user);
            return AdmissionStep::Dispatch;
        }
        self.offer_to_queue(position, claim, now)
    }

    /// Decides on the requests that wait; called until it returns [`QueueStep::Idle`].
    ///
    /// To be called after a slot was released or the capacity changed.
    pub fn next(&mut self, now: TimePoint) -> QueueStep {
        if !self.has_free_slot() {
            return QueueStep::Idle;
        }
        let Some(position) = self.first_in_order() else {
            return QueueStep::Idle;
        };
        let Some(claim) = self.kinds[position].pop_fairest() else {
            return QueueStep::Idle;
        };
        if self.kinds[position].is_too_late(claim, now, TimeSpan::ZERO) {
            return QueueStep::Refuse(claim, RefuseReason::DeadlineTooShort);
        }
        self.begin(position, claim.user);
        QueueStep::Dispatch(claim)
    }

    /// Takes the request that is next in order out of its queue, to forward it to a peer that has a
    /// free slot.
    pub fn take_waiting(&mut self) -> Option<RequestClaim> {
        let position = self.first_in_order()?;
        self.kinds[position].pop_fairest()
    }

    /// Returns a request to the front of its queue, since no peer took it.
    pub fn return_waiting(&mut self, claim: RequestClaim) {
        if let Ok(position) = self.search(claim.kind) {
            self.kinds[position].push_front(claim);
        }
    }

    /// A dispatched request ended and its slot is free; `run_time` is absent if it did not run.
    pub fn finish(&mut self, kind: KindKey, user: UserKey, run_time: Option<TimeSpan>) {
        let Ok(position) = self.search(kind) else {
            return;
        };
        let state = &mut self.kinds[position];
        state.end(user);
        if let Some(run_time) = run_time {
            state.learn(run_time);
        }
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Puts a dispatched request back before the others of its user: its attempt did not run and
    /// no endpoint is free for another.
    pub fn requeue(&mut self, claim: RequestClaim, now: TimePoint) -> AdmissionStep {
        self.finish(claim.kind, claim.user, None);
        let Ok(position) = self.search(claim.kind) else {
            return AdmissionStep::Refuse(RefuseReason::UnknownKind);
        };
        let state = &mut self.kinds[position];
        if state.is_too_late(claim, now, TimeSpan::ZERO) {
            return AdmissionStep::Refuse(RefuseReason::DeadlineTooShort);
        }
        state.push_front(claim);
        AdmissionStep::Queue
    }

    /// Forgets a request that waits, because its caller has gone; false if it does not wait.
    pub fn cancel(&mut self, claim: RequestClaim) -> bool {
        self.search(claim.kind)
            .is_ok_and(|position| self.kinds[position].cancel(claim))
    }

    /// Slots that are free.
    pub const fn free_slots(&self) -> u32 {
        self.capacity.saturating_sub(self.in_use)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.kinds.iter().map(|state| state.waiting).sum()
    }

    /// What a run of `kind` is expected to take at most.
    pub fn run_time(&self, kind: KindKey) -> TimeSpan {
        self.search(kind)
            .map_or(TimeSpan::ZERO, |position| self.kinds[position].run_time())
    }

    /// The state of each kind, in order of their keys.
    pub fn summaries(&self) -> impl Iterator<Item = KindSummary> + '_ {
        self.kinds.iter().map(KindState::summary)
    }

    fn offer_to_queue(
        &mut self,
        position: usize,
        claim: RequestClaim,
        now: TimePoint,
    ) -> AdmissionStep {
        if claim.origin == RequestOrigin::Peer {
            return AdmissionStep::Refuse(RefuseReason::NoFreeShare);
        }
        let state = &mut self.kinds[position];
        if state.is_full_for(claim.user) {
            return AdmissionStep::Refuse(RefuseReason::QueueFull);
        }
        let wait = state.assumed_wait();
        if state.is_too_late(claim, now, wait) {
            return AdmissionStep::Refuse(RefuseReason::DeadlineTooShort);
        }
        if wait > claim.deadline.remaining(now).scale(MOST_WAIT_PART) {
            return AdmissionStep::Refuse(RefuseReason::WaitTooLong);
        }
        state.push(claim);
        AdmissionStep::Queue
    }

    fn begin(&mut self, position: usize, user: UserKey) {
        self.kinds[position].begin(user);
        self.in_use += 1;
    }

    const fn has_free_slot(&self) -> bool {
        self.in_use < self.capacity
    }

    /// The kind to serve next among those with requests that wait.
    fn first_in_order(&self) -> Option<usize> {
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
        let whole = floors.max(WHOLE_PERMILLE) as f64;
        let rest = whole - floors as f64;
        let capacity = f64::from(self.capacity);
        for state in &mut self.kinds {
            let floor = f64::from(state.policy.floor_permille);
            let part = f64::from(state.policy.weight) / weights.max(1) as f64;
            state.share_slots = capacity * (floor + rest * part) / whole;
        }
    }

    fn search(&self, kind: KindKey) -> Result<usize, usize> {
        self.kinds
            .binary_search_by_key(&kind, |state| state.policy.kind)
    }
}
