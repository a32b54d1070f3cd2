//! Timing of polls: how long answers may be delayed, and when a worker is polled again.
//!
//! It answers cuts of a failure domain for 5 s where leases last 6 s: the runs there survive if
//! little of a lease is used up when the cut begins, and if the worker gets a new lease soon after
//! the cut. Deployments whose leases last [`poll::LEASE_SPAN`] have time for both and are polled at
//! the usual rate.
//!
//! It also answers service tasks that are over their targets beside best-effort tasks: reviews of a
//! worker need figures at a known interval, however rarely runs end there.

use crate::coordinator::JobCoordinator;
use crate::coordinator::pace;
use crate::coordinator::poll;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerEntry;
use crate::worker_registry::WorkerSlot;

/// Longest time for which a worker may delay its answer to a poll until a run ends.
const USUAL_WAIT: TimeSpan = TimeSpan::from_millis(1_000);
/// Like [`USUAL_WAIT`], on a worker whose lease is to be renewed often. Half of it, so that at most
/// twice as many polls are sent; at least 5.4 s are then left of a lease of 6 s.
const RENEWAL_WAIT: TimeSpan = TimeSpan::from_millis(500);
/// Like [`RENEWAL_WAIT`], while the leader is short of processor time. At least 5.1 s are then left of
/// a lease of 6 s.
const LAGGING_RENEWAL_WAIT: TimeSpan = TimeSpan::from_millis(800);
/// Like [`USUAL_WAIT`], on a worker with a task on trial: the answers show that it has survived the
/// start.
const TRIAL_WAIT: TimeSpan = TimeSpan::from_millis(300);
/// Time for an answer beyond the wait. Workers answer within a few ms.
const USUAL_TIMEOUT: TimeSpan = TimeSpan::from_millis(500);
/// Delay before a worker that did not answer is polled again.
const USUAL_RETRY: TimeSpan = TimeSpan::from_millis(300);
/// Like [`USUAL_TIMEOUT`], while the lease of a silent worker is about to end.
const ENDING_TIMEOUT: TimeSpan = TimeSpan::from_millis(150);
/// Like [`USUAL_RETRY`], while the lease of a silent worker is about to end.
const ENDING_RETRY: TimeSpan = TimeSpan::from_millis(50);
/// Delay of the next poll of a worker that answers again but is still recorded as silent. The commit
/// of the record without it shortens the delay.
const RECORDED_DELAY: TimeSpan = TimeSpan::from_millis(100);
/// Time left of a lease below which it is about to end. A cut of 5 s ends within it.
const ENDING_SPAN: TimeSpan = TimeSpan::from_millis(1_800);
/// Number of tasks from which a worker's lease is renewed often even if none is a service task.
const MANY_TASKS: usize = 4;

/// How a worker is polled now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PollTiming {
    /// It answers, and may delay its answer by the usual time.
    Usual,
    /// It answers, and its lease is too short for the usual delay.
    Renewal,
    /// Like [`Self::Renewal`], while the leader is short of processor time.
    LaggingRenewal,
    /// A task is on trial there.
    Trial,
    /// The figures of its service tasks, which best-effort tasks run beside, are due after this time.
    Sample(TimeSpan),
    /// Nothing is known of it, or it did not answer the last poll: it is to answer at once.
    Silent,
    /// It did not answer the last poll, and its lease is about to end.
    LeaseEnding,
    /// It answers again, and gets a lease once the record of silent workers without it is
    /// committed. A poll that waits there then would delay the lease.
    RecordedSilent,
}

impl PollTiming {
    /// Longest time for which the worker may delay its answer.
    pub const fn wait(self) -> TimeSpan {
        match self {
            Self::Usual => USUAL_WAIT,
            Self::Renewal => RENEWAL_WAIT,
            Self::LaggingRenewal => LAGGING_RENEWAL_WAIT,
            Self::Trial => TRIAL_WAIT,
            Self::Sample(due_in) => due_in,
            Self::Silent | Self::LeaseEnding | Self::RecordedSilent => TimeSpan::ZERO,
        }
    }

    /// Time beyond the wait after which the poll counts as unanswered.
    pub const fn timeout(self) -> TimeSpan {
        match self {
            Self::LeaseEnding => ENDING_TIMEOUT,
            _ => USUAL_TIMEOUT,
        }
    }

    /// Delay of the next poll after one without an answer.
    pub const fn retry_delay(self) -> TimeSpan {
        match self {
            Self::LeaseEnding => ENDING_RETRY,
            _ => USUAL_RETRY,
        }
    }

    /// Least delay of the next poll after an answer.
    pub const fn answered_delay(self) -> TimeSpan {
        match self {
            Self::RecordedSilent => RECORDED_DELAY,
            _ => TimeSpan::ZERO,
        }
    }
}

impl JobCoordinator {
    /// How a worker is to be polled now.
    pub(super) fn poll_timing(&self, worker: WorkerSlot, now: TimePoint) -> PollTiming {
        let entry = self.workers.get(worker);
        let short_lease = self.limits.longest_lease < poll::LEASE_SPAN;
        let renewed_often = short_lease && holds_many_runs(entry);
        if entry.failed_polls > 0 && renewed_often && is_lease_ending(entry, now) {
            PollTiming::LeaseEnding
        } else if !entry.fence_confirmed || entry.failed_polls > 0 {
            PollTiming::Silent
        } else if entry.recorded_silent && renewed_often {
            PollTiming::RecordedSilent
        } else if entry.trial.is_some() {
            PollTiming::Trial
        } else {
            let timing = if renewed_often && self.start_pace.is_lagging() {
                PollTiming::LaggingRenewal
            } else if renewed_often {
                PollTiming::Renewal
            } else {
                PollTiming::Usual
            };
            match sample_due_in(entry, now) {
                Some(due_in) if due_in < timing.wait() => PollTiming::Sample(due_in),
                Some(_) | None => timing,
            }
        }
    }
}

/// When the next figures of a worker's service tasks are due; `None` where no best-effort tasks run
/// beside them. An answer that a run's end brings early doesn't delay them.
fn sample_due_in(entry: &WorkerEntry, now: TimePoint) -> Option<TimeSpan> {
    let demands = &entry.demands;
    if demands.service_images.is_empty() || demands.best_effort_images.is_empty() {
        return None;
    }
    let sampled_at = now - entry.violation.sample_age(now)?;
    let interval = if entry.violation.is_active() {
        pace::SAMPLE_INTERVAL
    } else {
        USUAL_WAIT
    };
    Some((sampled_at + interval).since(now))
}

/// Whether the end of a worker's lease would end a service task or many other runs.
fn holds_many_runs(entry: &WorkerEntry) -> bool {
    entry.demands.service_cpu_millis > 0 || entry.tasks.len() >= MANY_TASKS
}

/// Whether the lease of a silent worker may end soon. The end of leases of a former coordinator is
/// only known as the latest possible one, so they may end at any time before.
fn is_lease_ending(entry: &WorkerEntry, now: TimePoint) -> bool {
    let own_leases = entry.own_leases_expired_at();
    let own_left = own_leases.map_or(TimeSpan::ZERO, |own_leases| own_leases.since(now));
    entry.leases_expired_at() > now && own_left < ENDING_SPAN
}
