//! Admission state of one kind of requests: queue, slots in use by user, and run-time statistics.

use std::cmp;
use std::collections::VecDeque;

use crate::admission::AdmissionRequest;
use crate::admission::KindPolicy;
use crate::admission::KindSummary;
use crate::deadline::RequestDeadline;
use crate::key::UserKey;
use crate::latency_histogram::LatencyHistogram;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Weight of a new sample in the moving averages of run time and of its deviation.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Quantile of recent run times that serves as the run-time bound, in thousandths.
const RUN_TIME_QUANTILE_PERMILLE: u32 = 999;
/// Samples needed before the quantile is used.
const QUANTILE_SAMPLES_MIN: u32 = 100;
/// Cap on the run-time bound, in multiples of the mean. Without it, a few runs on a slow endpoint
/// would raise the quantile until all other requests are refused.
const RUN_TIME_MEANS_MAX: f64 = 6.0;
/// Safety factor on the expected queue wait.
const WAIT_MARGIN: f64 = 1.3;
/// Mean absolute deviations added to the mean to bound a run, while samples are too few for the
/// quantile.
const EARLY_DEVIATIONS: f64 = 2.0;

/// One kind of requests: policy, slots in use and queue.
#[derive(Clone, Debug)]
pub struct KindState {
    /// Limits from the bundle. Weight, floor and queue limit are zero if the bundle no longer
    /// names the kind.
    pub policy: KindPolicy,
    /// Slots that the kind is entitled to; recomputed when capacity or policies change.
    pub share_slots: f64,
    /// Slots in use by all users of the kind.
    in_use: u32,
    mean_run_micros: f64,
    /// Mean absolute deviation of run times from the mean.
    deviation_micros: f64,
    run_times: LatencyHistogram,
    /// Queued requests of all users.
    pub waiting: usize,
    /// Sorted by user.
    users: Vec<UserState>,
}

/// Slots and queue of one user within a kind; dropped when both are empty.
#[derive(Clone, Debug)]
struct UserState {
    user: UserKey,
    in_use: u32,
    waiting: VecDeque<AdmissionRequest>,
}

impl KindState {
    /// A kind without requests, whose mean run time starts at the policy's initial value.
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

    /// Order in which kinds are served; `Less` is served first.
    ///
    /// Kinds below their share precede the others and are ordered by used fraction of the share,
    /// then by urgency. Kinds at or above their share are ordered by urgency, then by used
    /// fraction.
    pub fn serve_order(&self, other: &Self) -> cmp::Ordering {
        let both_above = !self.is_below_share() && !other.is_below_share();
        other
            .is_below_share()
            .cmp(&self.is_below_share())
            .then_with(|| match both_above {
                true => other.policy.urgency.cmp(&self.policy.urgency),
                false => cmp::Ordering::Equal,
            })
            .then_with(|| self.used_fraction().total_cmp(&other.used_fraction()))
            .then_with(|| other.policy.urgency.cmp(&self.policy.urgency))
    }

    fn is_below_share(&self) -> bool {
        f64::from(self.in_use) < self.share_slots
    }

    fn used_fraction(&self) -> f64 {
        f64::from(self.in_use) / self.share_slots.max(f64::MIN_POSITIVE)
    }

    /// Upper estimate of the wait of a request that joins the queue now.
    ///
    /// Only the slots of the share count, since borrowed slots may be reclaimed at any time.
    pub fn expected_wait(&self) -> TimeSpan {
        let servers = self.share_slots.max(1.0);
        let runs_ahead = (self.waiting as f64 + 1.0) / servers;
        TimeSpan::from_micros((runs_ahead * self.mean_run_micros * WAIT_MARGIN) as u64)
    }

    /// Expected upper bound on the time of one run.
    pub fn run_time_bound(&self) -> TimeSpan {
        let cap = TimeSpan::from_micros((self.mean_run_micros * RUN_TIME_MEANS_MAX) as u64);
        match self
            .run_times
            .quantile(RUN_TIME_QUANTILE_PERMILLE, QUANTILE_SAMPLES_MIN)
        {
            Some(run_time) => run_time.min(cap),
            None => self.early_run_time_bound(),
        }
    }

    fn early_run_time_bound(&self) -> TimeSpan {
        let micros = self.mean_run_micros + EARLY_DEVIATIONS * self.deviation_micros;
        TimeSpan::from_micros(micros as u64)
    }

    /// Whether a run that starts after `wait` may end after the deadline.
    pub fn misses_deadline(
        &self,
        admission_request: AdmissionRequest,
        now: TimePoint,
        wait: TimeSpan,
    ) -> bool {
        now + wait + self.run_time_bound() > admission_request.deadline.point()
    }

    /// Adds the time of a completed run to the statistics.
    pub fn record_run_time(&mut self, run_time: TimeSpan) {
        self.run_times.record(run_time);
        let error = run_time.as_micros() as f64 - self.mean_run_micros;
        self.mean_run_micros += error * SAMPLE_WEIGHT;
        self.deviation_micros += (error.abs() - self.deviation_micros) * SAMPLE_WEIGHT;
    }

    /// Whether the queue accepts no further request of the user.
    ///
    /// Each user with queued or running requests may fill an equal part of the queue.
    pub fn is_full_for(&self, user: UserKey) -> bool {
        if self.waiting >= self.policy.queue_limit {
            return true;
        }
        let Ok(position) = self.search(user) else {
            return false;
        };
        let others = self.users.iter().filter(|state| state.user != user);
        let active = 1 + others.filter(|state| !state.is_idle()).count();
        let user_limit = self.policy.queue_limit.div_ceil(active);
        self.users[position].waiting.len() >= user_limit
    }

    /// Appends a request to its user's queue.
    pub fn push(&mut self, admission_request: AdmissionRequest) {
        self.user_mut(admission_request.user)
            .waiting
            .push_back(admission_request);
        self.waiting += 1;
    }

    /// Prepends a request to its user's queue.
    pub fn push_front(&mut self, admission_request: AdmissionRequest) {
        self.user_mut(admission_request.user)
            .waiting
            .push_front(admission_request);
        self.waiting += 1;
    }

    /// Takes the first queued request of the user with the fewest slots in use.
    ///
    /// Between equal users, the earlier deadline of the first request decides.
    pub fn pop_fairest(&mut self) -> Option<AdmissionRequest> {
        let user = self
            .users
            .iter_mut()
            .filter(|state| !state.waiting.is_empty())
            .min_by_key(|state| (state.in_use, state.first_deadline()))?;
        let admission_request = user.waiting.pop_front();
        self.waiting -= usize::from(admission_request.is_some());
        admission_request
    }

    /// Removes a queued request; false if it is not queued.
    pub fn cancel(&mut self, admission_request: AdmissionRequest) -> bool {
        let Ok(position) = self.search(admission_request.user) else {
            return false;
        };
        let waiting = &mut self.users[position].waiting;
        let Some(index) = waiting
            .iter()
            .position(|other| other.request == admission_request.request)
        else {
            return false;
        };
        waiting.remove(index);
        self.waiting -= 1;
        self.drop_if_idle(position);
        true
    }

    /// Counts a slot as used by `user`.
    pub fn occupy_slot(&mut self, user: UserKey) {
        self.in_use += 1;
        self.user_mut(user).in_use += 1;
    }

    /// Counts a slot of `user` as free again.
    pub fn release_slot(&mut self, user: UserKey) {
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

    /// Figures for the state dump and metrics.
    pub fn summary(&self) -> KindSummary {
        KindSummary {
            kind: self.policy.kind,
            share_slots: self.share_slots,
            in_use: self.in_use,
            waiting: self.waiting,
            run_time: self.run_time_bound(),
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

    fn first_deadline(&self) -> Option<RequestDeadline> {
        self.waiting
            .front()
            .map(|admission_request| admission_request.deadline)
    }
}
