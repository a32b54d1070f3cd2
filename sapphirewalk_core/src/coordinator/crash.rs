//! Runs that are lost with their worker, and trials of tasks that may have crashed it.

use crate::coordinator::JobCoordinator;
use crate::coordinator::place::PlaceCandidate;
use crate::crash_history;
use crate::crash_history::CrashReport;
use crate::crash_history::CrashVerdict;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerEntry;
use crate::worker_registry::WorkerLoss;
use crate::worker_registry::WorkerSlot;

/// Longest time for which a task waits for a worker on which a trial is possible. Service tasks
/// must be back within seconds, however full the pool is.
const TRIAL_PATIENCE: TimeSpan = TimeSpan::from_millis(1_000);
/// Score penalty of a worker for each task there that a crash during the trial would end.
const TRIAL_RISK_PENALTY: f64 = 1.0;

/// Time within which losses of workers count as simultaneous: a worker that ends without closing
/// its connections is noticed up to this much later than others.
const COMMON_SPAN: TimeSpan = TimeSpan::from_millis(1_000);
/// Losses at the same time, without a task that may be the cause, that don't count as common yet.
const COMMON_LOSSES: usize = 2;
/// Share of the workers that is added to [`COMMON_LOSSES`].
const COMMON_SHARE: f64 = 0.02;

/// Why a run no longer exists although its worker has listed no end of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LossCause {
    /// The worker has started another incarnation.
    Reborn,
    /// Another worker answers at the worker's address.
    Replaced,
    /// The worker is silent, and its leases have expired.
    LeaseOver,
    /// The worker answers and doesn't list the run.
    NotListed,
}

/// Where a task gets its trial.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum TrialChoice {
    /// The task needs none, or has waited for it for too long.
    Unneeded,
    /// On the candidate with this index, where nothing else may start meanwhile.
    Trial(usize),
    /// No trial, but on the candidate with this index, where nothing else is new.
    Apart(usize),
    /// Nowhere at present.
    Postpone,
}

impl LossCause {
    /// Name of the cause in logs.
    const fn as_str(self) -> &'static str {
        match self {
            Self::Reborn => "reborn",
            Self::Replaced => "replaced",
            Self::LeaseOver => "lease_over",
            Self::NotListed => "not_listed",
        }
    }
}

impl JobCoordinator {
    /// Makes the tasks on a worker wait for another run, except those whose start was never sent.
    pub(super) fn lose_tasks(&mut self, worker: WorkerSlot, cause: LossCause, now: TimePoint) {
        let tasks = self.workers.get(worker).tasks.iter();
        let sent = tasks.filter(|slot| {
            let task = self.jobs.task(**slot);
            task.is_some_and(|task| task.phase != TaskPhase::Recording)
        });
        let sent: Vec<TaskSlot> = sent.copied().collect();
        self.lose_runs(worker, &sent, cause, now);
    }

    /// Records that runs on a worker no longer exist, although no end was reported, and requeues
    /// their tasks. A task that crashes its workers is given up instead.
    pub(super) fn lose_runs(
        &mut self,
        worker: WorkerSlot,
        slots: &[TaskSlot],
        cause: LossCause,
        now: TimePoint,
    ) {
        let reports = self.crash_reports(worker, slots);
        for (slot, report) in slots.iter().zip(reports) {
            let verdict = self.lose_run(*slot, worker, cause, report, now);
            self.requeue_task(*slot, now, TimeSpan::ZERO);
            self.mark_dirty(slot.job);
            self.apply_verdict(*slot, verdict, now);
        }
    }

    /// Logs a lost run, and records the crash of its worker if there was one.
    fn lose_run(
        &mut self,
        slot: TaskSlot,
        worker: WorkerSlot,
        cause: LossCause,
        report: CrashReport,
        now: TimePoint,
    ) -> CrashVerdict {
        let is_crash = self.is_crash(slot, worker, cause);
        let (Some(run), Some(task)) = (self.jobs.run_name(slot), self.jobs.task_mut(slot)) else {
            return CrashVerdict::Retry;
        };
        let verdict = if is_crash {
            task.crash_history.record_crash(report)
        } else {
            CrashVerdict::Retry
        };
        task.record_loss(now);
        let detail = format!(
            "run={run} worker={} was={:?} cause={} survived={} new_beside={} common={} \
             crashes={} blamed={}",
            self.workers.get(worker).listing.id,
            task.phase,
            cause.as_str(),
            report.survived,
            report.new_beside,
            report.common,
            task.crash_history.crashes(),
            task.crash_history.blamed()
        );
        self.log("run_lost", Some(run.task.job), detail);
        verdict
    }

    /// Revokes starts without an answer on a worker that has restarted since they were sent: the
    /// start may have crashed it, and a late copy may still reach the new incarnation.
    pub(super) fn revoke_starts(&mut self, slots: &[TaskSlot], born_ms: u64, now: TimePoint) {
        let Some(worker) = slots.first().and_then(|slot| self.jobs.task(*slot)?.worker) else {
            return;
        };
        let reports = self.crash_reports(worker, slots);
        for (slot, report) in slots.iter().zip(reports) {
            let Some(task) = self.jobs.task_mut(*slot) else {
                continue;
            };
            let verdict = task.crash_history.record_crash(report);
            task.phase = TaskPhase::Running;
            task.start_unconfirmed = true;
            task.worker_born_ms = born_ms;
            self.mark_dirty(slot.job);
            self.order_stop(*slot, "reborn");
            self.apply_verdict(*slot, verdict, now);
        }
    }

    /// Fails the job of a task that is given up.
    fn apply_verdict(&mut self, slot: TaskSlot, verdict: CrashVerdict, now: TimePoint) {
        match verdict {
            CrashVerdict::Retry => {}
            CrashVerdict::GiveUp => {
                let (Some(run), Some(task)) = (self.jobs.run_name(slot), self.jobs.task(slot))
                else {
                    return;
                };
                let history = task.crash_history;
                let detail = format!(
                    "cause=crashes task={} crashes={} blamed={}",
                    run.task,
                    history.crashes(),
                    history.blamed()
                );
                self.fail_job(slot.job, detail, now);
            }
        }
    }

    /// Whether a lost run was lost by a crash of its worker. A silent worker that the platform
    /// still lists counts as unreachable, and one that was leaving as having left.
    fn is_crash(&self, slot: TaskSlot, worker: WorkerSlot, cause: LossCause) -> bool {
        let entry = self.workers.get(worker);
        if entry.listing.draining {
            return false;
        }
        match cause {
            LossCause::Reborn | LossCause::Replaced => true,
            LossCause::LeaseOver => !entry.listed,
            LossCause::NotListed => self.jobs.task(slot).is_some_and(|task| {
                task.worker_born_ms != 0 && task.worker_born_ms != entry.born_ms
            }),
        }
    }

    /// What is known about a crash of the worker, for each of some of its runs.
    fn crash_reports(&self, worker: WorkerSlot, slots: &[TaskSlot]) -> Vec<CrashReport> {
        let entry = self.workers.get(worker);
        let tasks = entry.tasks.iter().filter_map(|slot| self.jobs.task(*slot));
        let new_runs = tasks.filter(|task| is_new_run(task, entry)).count();
        let common = self.is_common_loss(worker);
        let reports = slots.iter().map(|slot| {
            let task = self.jobs.task(*slot);
            let is_new = task.is_some_and(|task| is_new_run(task, entry));
            CrashReport {
                survived: task.map_or(TimeSpan::ZERO, |task| survived_span(task, entry)),
                new_beside: new_runs - usize::from(is_new),
                common,
            }
        });
        reports.collect()
    }

    /// Records that a worker has stopped answering.
    pub(super) fn record_loss(&mut self, worker: WorkerSlot, now: TimePoint) {
        let entry = self.workers.get(worker);
        let trial = entry.trial.and_then(|slot| self.jobs.task(slot));
        // How long a run had been there before a takeover is unknown.
        let during_trial = trial.is_some_and(|task| {
            let survived = survived_span(task, entry);
            task.phase != TaskPhase::Unverified && survived < crash_history::NEW_SPAN
        });
        self.workers.get_mut(worker).loss = Some(WorkerLoss {
            at: now,
            during_trial,
        });
    }

    /// Records the loss of workers that have tasks of a former coordinator and aren't listed any
    /// more. Their addresses are unknown, so they aren't polled.
    pub(super) fn record_unlisted(&mut self, now: TimePoint) {
        for slot in self.workers.slots() {
            let entry = self.workers.get(slot);
            let is_gone = !entry.listed && !entry.tasks.is_empty();
            if is_gone && !entry.fence_confirmed && entry.loss.is_none() {
                self.record_loss(slot, now);
            }
        }
    }

    /// Whether a worker was lost together with many others, for which no task can be the cause.
    fn is_common_loss(&self, worker: WorkerSlot) -> bool {
        let Some(loss) = self.workers.get(worker).loss else {
            return false;
        };
        let others = self.workers.iter().filter(|(slot, entry)| {
            let other = entry.loss.filter(|other| !other.during_trial);
            *slot != worker
                && other.is_some_and(|other| {
                    other.at <= loss.at + COMMON_SPAN && loss.at <= other.at + COMMON_SPAN
                })
        });
        let listed = self.workers.iter().filter(|(_, entry)| entry.listed);
        let usual = COMMON_LOSSES as f64 + listed.count() as f64 * COMMON_SHARE;
        others.count() as f64 > usual
    }

    /// Chooses the candidate for the next run of a task that may crash its worker: one on which
    /// nothing else is new, and on which a crash would end little.
    pub(super) fn choose_trial(
        &self,
        slot: TaskSlot,
        candidates: &[PlaceCandidate],
        now: TimePoint,
    ) -> TrialChoice {
        let Some(task) = self.jobs.task(slot) else {
            return TrialChoice::Unneeded;
        };
        let history = task.crash_history;
        if !history.is_suspect() {
            return TrialChoice::Unneeded;
        }
        let mut best: Option<(f64, usize)> = None;
        for (index, candidate) in candidates.iter().enumerate() {
            if self.has_new_task(candidate.worker) {
                continue;
            }
            let at_risk = self.workers.get(candidate.worker).tasks.len() as f64;
            let score = candidate.score - at_risk * TRIAL_RISK_PENALTY;
            if best.is_none_or(|(highest, _)| score > highest) {
                best = Some((score, index));
            }
        }
        match best {
            Some((_, index)) if history.needs_trial() => TrialChoice::Trial(index),
            Some((_, index)) => TrialChoice::Apart(index),
            None if history.needs_trial() && now.since(task.phase_since) < TRIAL_PATIENCE => {
                TrialChoice::Postpone
            }
            None => TrialChoice::Unneeded,
        }
    }

    /// Lets other tasks start again on a worker once the run on trial there is no longer new.
    pub(super) fn end_trial(&mut self, worker: WorkerSlot) {
        let entry = self.workers.get(worker);
        let task = entry.trial.and_then(|slot| self.jobs.task(slot));
        if task.is_some_and(|task| !is_about_to_start(task) && !is_new_run(task, entry)) {
            self.workers.get_mut(worker).trial = None;
            self.place_due = true;
        }
    }

    /// Whether a task on the worker is about to start or has just started.
    fn has_new_task(&self, worker: WorkerSlot) -> bool {
        let entry = self.workers.get(worker);
        let mut tasks = entry.tasks.iter().filter_map(|slot| self.jobs.task(*slot));
        tasks.any(|task| is_about_to_start(task) || is_new_run(task, entry))
    }
}

/// Whether a task is placed, and no start of it was sent. Tasks that the present round has placed
/// are still waiting.
const fn is_about_to_start(task: &TaskEntry) -> bool {
    matches!(task.phase, TaskPhase::Waiting | TaskPhase::Recording)
}

/// Whether a task's run may be the cause if its worker crashes.
fn is_new_run(task: &TaskEntry, entry: &WorkerEntry) -> bool {
    match task.phase {
        TaskPhase::Waiting | TaskPhase::Recording | TaskPhase::Done => false,
        TaskPhase::Starting | TaskPhase::Running | TaskPhase::Unverified => {
            task.crash_history.is_new(survived_span(task, entry))
        }
    }
}

/// Time from the start of a run to the last answer of its worker.
const fn survived_span(task: &TaskEntry, entry: &WorkerEntry) -> TimeSpan {
    if task.begun_ms == 0 {
        return TimeSpan::ZERO;
    }
    TimeSpan::from_millis(entry.alive_ms.saturating_sub(task.begun_ms))
}
