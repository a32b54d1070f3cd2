//! The state of one kind: its queue, its users and what its runs take.

use std::cmp;
use std::collections::VecDeque;

use crate::admission::KindPolicy;
use crate::admission::KindSummary;
use crate::admission::RequestClaim;
use crate::deadline::RequestDeadline;
use crate::key::UserKey;
use crate::latency_histogram::LatencyHistogram;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Weight of a new sample in the averages of run time and of slots in use.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Quantile of run times that a run is expected to take at most, in thousandths.
const RUN_TIME_PERMILLE: u32 = 999;
/// Samples needed before the quantile is used.
const LEAST_SAMPLES: u32 = 100;
/// Most times the mean that a run is expected to take, so that a few runs on a slow endpoint do
/// not refuse all others.
const MOST_MEANS: f64 = 6.0;
/// Times the expected wait that a request is assumed to wait at most.
const WAIT_MARGIN: f64 = 1.3;
/// Deviations above the mean that a run is expected to take at most, while samples are few.
const DEVIATIONS: f64 = 2.0;

/// A kind: its policy, the slots that it uses and its requests that wait.
#[derive(Clone, Debug)]
pub struct KindState {
    /// What the bundle grants.
    pub policy: KindPolicy,
    /// The kind's share of the slots.
    pub share_slots: f64,
    in_use: u32,
    mean_run_micros: f64,
    deviation_micros: f64,
    run_times: LatencyHistogram,
    /// Requests that wait.
    pub waiting: usize,
    /// Sorted by user.
    users: Vec<UserState>,
}

/// A user of a kind.
#[derive(Clone, Debug)]
struct UserState {
    user: UserKey,
    in_use: u32,
    waiting: VecDeque<RequestClaim>,
}

impl KindState {
    /// A kind that uses nothing.
    pub fn new(policy: KindPolicy) -> Self {
        Self {
            policy,
            share_slots: 0.0,
            in_use: 0,
            mean_run_micros: policy.initial_run_time.as_micros() as f64,
            deviation_micros: 0.0,
            run_times: LatencyHistogram::new(),
            waiting: 0,
            users: Vec::new(),
        }
    }

    /// Kinds below their share go first, the one with the least part of its share first; then the
    /// most urgent.
    pub fn serve_order(&self, other: &Self) -> cmp::Ordering {
        let both_above = !self.is_below_share() && !other.is_below_share();
        other
            .is_below_share()
            .cmp(&self.is_below_share())
            .then_with(|| match both_above {
                true => other.policy.urgency.cmp(&self.policy.urgency),
                false => cmp::Ordering::Equal,
            })
            .then_with(|| self.used_part().total_cmp(&other.used_part()))
            .then_with(|| other.policy.urgency.cmp(&self.policy.urgency))
    }

    fn is_below_share(&self) -> bool {
        f64::from(self.in_use) < self.share_slots
    }

    fn used_part(&self) -> f64 {
        f64::from(self.in_use) / self.share_slots.max(f64::MIN_POSITIVE)
    }

    /// The longest wait to assume for a request that joins the queue, if the kind has its share and
    /// no more: what it has borrowed may be taken back at any time.
    pub fn assumed_wait(&self) -> TimeSpan {
        let servers = self.share_slots.max(1.0);
        let rounds = (self.waiting as f64 + 1.0) / servers;
        TimeSpan::from_micros((rounds * self.mean_run_micros * WAIT_MARGIN) as u64)
    }

    /// What a run is expected to take at most.
    pub fn run_time(&self) -> TimeSpan {
        let most = TimeSpan::from_micros((self.mean_run_micros * MOST_MEANS) as u64);
        match self.run_times.quantile(RUN_TIME_PERMILLE, LEAST_SAMPLES) {
            Some(run_time) => run_time.min(most),
            None => self.early_run_time(),
        }
    }

    fn early_run_time(&self) -> TimeSpan {
        let micros = self.mean_run_micros + DEVIATIONS * self.deviation_micros;
        TimeSpan::from_micros(micros as u64)
    }

    /// Whether a run after `wait` would end after the deadline.
    pub fn is_too_late(&self, claim: RequestClaim, now: TimePoint, wait: TimeSpan) -> bool {
        now + wait + self.run_time() > claim.deadline.point()
    }

    /// Learns from a run that ended.
    pub fn learn(&mut self, run_time: TimeSpan) {
        self.run_times.record(run_time);
        let error = run_time.as_micros() as f64 - self.mean_run_micros;
        self.mean_run_micros += error * SAMPLE_WEIGHT;
        self.deviation_micros += (error.abs() - self.deviation_micros) * SAMPLE_WEIGHT;
    }

    /// Whether the queue, or the even part of it that the user has, is full.
    pub fn is_full_for(&self, user: UserKey) -> bool {
        if self.waiting >= self.policy.queue_limit {
            return true;
        }
        let Ok(position) = self.search(user) else {
            return false;
        };
        let others = self.users.iter().filter(|state| state.user != user);
        let active = 1 + others.filter(|state| !state.is_idle()).count();
        let part = self.policy.queue_limit.div_ceil(active);
        self.users[position].waiting.len() >= part
    }

    /// Puts a request behind the others of its user.
    pub fn push(&mut self, claim: RequestClaim) {
        self.user_mut(claim.user).waiting.push_back(claim);
        self.waiting += 1;
    }

    /// Puts a request before the others of its user.
    pub fn push_front(&mut self, claim: RequestClaim) {
        self.user_mut(claim.user).waiting.push_front(claim);
        self.waiting += 1;
    }

    /// Takes the oldest request of the user with the fewest slots in use.
    pub fn pop_fairest(&mut self) -> Option<RequestClaim> {
        let user = self
            .users
            .iter_mut()
            .filter(|state| !state.waiting.is_empty())
            .min_by_key(|state| (state.in_use, state.oldest_deadline()))?;
        let claim = user.waiting.pop_front();
        self.waiting -= usize::from(claim.is_some());
        claim
    }

    /// Removes a request that waits; false if it does not wait.
    pub fn cancel(&mut self, claim: RequestClaim) -> bool {
        let Ok(position) = self.search(claim.user) else {
            return false;
        };
        let waiting = &mut self.users[position].waiting;
        let Some(index) = waiting
            .iter()
            .position(|other| other.request == claim.request)
        else {
            return false;
        };
        waiting.remove(index);
        self.waiting -= 1;
        self.drop_if_idle(position);
        true
    }

    /// A slot is used for a user.
    pub fn begin(&mut self, user: UserKey) {
        self.in_use += 1;
        self.user_mut(user).in_use += 1;
    }

    /// A slot of a user is free.
    pub fn end(&mut self, user: UserKey) {
        self.in_use = self.in_use.saturating_sub(1);
        if let Ok(position) = self.search(user) {
            let state = &mut self.users[position];
            state.in_use = state.in_use.saturating_sub(1);
            self.drop_if_idle(position);
        }
    }

    fn user_mut(&mut self, user: UserKey) -> &mut UserState {
        match self.search(user) {
            Ok(position) => &mut self.users[position],
            Err(position) => {
                self.users.insert(position, UserState::new(user));
                &mut self.users[position]
            }
        }
    }

    fn drop_if_idle(&mut self, position: usize) {
        if self.users[position].is_idle() {
            self.users.remove(position);
        }
    }

    fn search(&self, user: UserKey) -> Result<usize, usize> {
        self.users.binary_search_by_key(&user, |state| state.user)
    }

    /// The state for dumps and metrics.
    pub fn summary(&self) -> KindSummary {
        KindSummary {
            kind: self.policy.kind,
            share_slots: self.share_slots,
            in_use: self.in_use,
            waiting: self.waiting,
            run_time: self.run_time(),
        }
    }
}

impl UserState {
    const fn new(user: UserKey) -> Self {
        Self {
            user,
            in_use: 0,
            waiting: VecDeque::new(),
        }
    }

    fn is_idle(&self) -> bool {
        self.in_use == 0 && self.waiting.is_empty()
    }

    fn oldest_deadline(&self) -> Option<RequestDeadline> {
        self.waiting.front().map(|claim| claim.deadline)
    }
}
