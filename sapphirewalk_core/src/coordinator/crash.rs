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
/// Longest time for which a task that may crash its worker waits for one that has been up for some
/// time, if only others have room.
const SETTLED_PATIENCE: TimeSpan = crash_history::PROBATION_SPAN;
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
    /// No trial, but on the candidate with this index: one where nothing else is new, if there is
    /// any.
    Placed(usize),
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
        for (slot, report) in self.crash_reports(worker, slots, cause) {
            let verdict = self.lose_run(slot, worker, cause, report, now);
            self.requeue_task(slot, now, TimeSpan::ZERO);
            self.mark_dirty(slot.job);
            self.apply_verdict(slot, verdict, now);
        }
    }

    /// Logs a lost run, and records the loss of its worker unless that is alive or was leaving.
    fn lose_run(
        &mut self,
        slot: TaskSlot,
        worker: WorkerSlot,
        cause: LossCause,
        report: CrashReport,
        now: TimePoint,
    ) -> CrashVerdict {
        let is_draining = self.workers.get(worker).listing.draining;
        let is_alive = cause == LossCause::NotListed && !report.proven;
        let (Some(run), Some(task)) = (self.jobs.run_name(slot), self.jobs.task_mut(slot)) else {
            return CrashVerdict::Retry;
        };
        let verdict = if is_draining || is_alive {
            CrashVerdict::Retry
        } else {
            task.crash_history.record_crash(report)
        };
        task.record_loss(now);
        let confirmed_ago = age_of(task.confirmed_at, now);
        let entry = self.workers.get(worker);
        let survived = report
            .survived
            .map_or_else(|| "unknown".to_owned(), |span| span.to_string());
        let detail = format!(
            "run={run} worker={} was={:?} cause={} confirmed_ago={confirmed_ago} polled_ago={} \
             clock_ms={} read_ago={} lease_end_ms={} former_leases_ended_ago={} survived={survived} \
             new_beside={} common={} proven={} settled={} crashes={} blamed={}",
            entry.listing.id,
            task.phase,
            cause.as_str(),
            now.since(entry.polled_at),
            entry.clock.map_or(0, |clock| clock.worker_ms),
            entry
                .clock
                .map_or(TimeSpan::ZERO, |clock| now.since(clock.at)),
            entry.lease_end_ms,
            age_of(entry.former_leases_until.max(entry.late_leases_until), now),
            report.new_beside,
            report.common,
            report.proven,
            report.settled,
            task.crash_history.crashes(),
            task.crash_history.blamed()
        );
        self.log("run_lost", Some(run.task.job), detail);
        verdict
    }

    /// Revokes starts without an answer on a worker that has restarted since they were sent: the
    /// start may have crashed it, and a late copy may still reach the new incarnation.
    pub(super) fn revoke_starts(
        &mut self,
        reports: &[(TaskSlot, CrashReport)],
        born_ms: u64,
        now: TimePoint,
    ) {
        for (slot, report) in reports.iter().copied() {
            let Some(task) = self.jobs.task_mut(slot) else {
                continue;
            };
            // Only the incarnation that the start was meant for can have crashed because of it.
            let verdict = if task.start_revoked {
                CrashVerdict::Retry
            } else {
                task.crash_history.record_crash(report)
            };
            task.phase = TaskPhase::Running;
            task.start_unconfirmed = true;
            task.start_revoked = true;
            task.worker_born_ms = born_ms;
            self.mark_dirty(slot.job);
            self.order_stop(slot, "reborn");
            self.apply_verdict(slot, verdict, now);
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

    /// Some of the runs on a worker, and what is known about its loss for each of them.
    pub(super) fn crash_reports(
        &self,
        worker: WorkerSlot,
        slots: &[TaskSlot],
        cause: LossCause,
    ) -> Vec<(TaskSlot, CrashReport)> {
        let entry = self.workers.get(worker);
        let tasks = entry.tasks.iter().filter_map(|slot| self.jobs.task(*slot));
        let new_runs = tasks.filter(|task| is_new_run(task, entry)).count();
        let common = self.is_common_loss(worker);
        let reports = slots.iter().filter_map(|slot| {
            let task = self.jobs.task(*slot)?;
            let step = self.jobs.step(*slot);
            let report = CrashReport {
                survived: known_span(task, entry),
                new_beside: new_runs - usize::from(is_new_run(task, entry)),
                common,
                proven: is_proven(task, entry, cause),
                settled: was_settled(task, entry),
                service: step.is_some_and(|step| step.service),
            };
            Some((*slot, report))
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
        let settled =
            |candidate: &PlaceCandidate| is_settled(self.workers.get(candidate.worker), now);
        let apart = highest(candidates, |candidate| {
            let is_apart = settled(candidate) && !self.has_new_task(candidate.worker);
            let at_risk = self.workers.get(candidate.worker).tasks.len() as f64;
            is_apart.then_some(candidate.score - at_risk * TRIAL_RISK_PENALTY)
        });
        let beside = highest(candidates, |candidate| {
            settled(candidate).then_some(candidate.score)
        });
        let waited = now.since(task.phase_since);
        match (apart, beside) {
            (Some(index), _) if history.needs_trial() => TrialChoice::Trial(index),
            (Some(index), _) => TrialChoice::Placed(index),
            (None, Some(_)) if history.needs_trial() && waited < TRIAL_PATIENCE => {
                TrialChoice::Postpone
            }
            (None, Some(index)) => TrialChoice::Placed(index),
            (None, None) if !candidates.is_empty() && waited < SETTLED_PATIENCE => {
                TrialChoice::Postpone
            }
            (None, None) => TrialChoice::Unneeded,
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

/// Time since `at` for the log; `never` for the epoch.
fn age_of(at: TimePoint, now: TimePoint) -> String {
    if at == TimePoint::EPOCH {
        return "never".to_owned();
    }
    now.since(at).to_string()
}

/// Whether a loss proves that the worker has ended. A silent worker whose leases are over may be cut
/// off, whether or not the platform lists it.
const fn is_proven(task: &TaskEntry, entry: &WorkerEntry, cause: LossCause) -> bool {
    match cause {
        LossCause::Reborn | LossCause::Replaced => true,
        LossCause::LeaseOver => false,
        LossCause::NotListed => task.worker_born_ms != 0 && task.worker_born_ms != entry.born_ms,
    }
}

/// Whether the worker had been up for some time when the run began; true if that isn't known, for
/// runs of a former coordinator and once the worker has answered in its next life.
fn was_settled(task: &TaskEntry, entry: &WorkerEntry) -> bool {
    if task.worker_born_ms != entry.born_ms {
        return true;
    }
    begin_clock(task, entry).is_none_or(is_past_probation)
}

/// Whether the worker has been up for some time. Its clock counts from its start.
fn is_settled(entry: &WorkerEntry, now: TimePoint) -> bool {
    entry.clock_at(now).is_some_and(is_past_probation)
}

fn is_past_probation(clock_ms: u64) -> bool {
    TimeSpan::from_millis(clock_ms) >= crash_history::PROBATION_SPAN
}

/// Index of the candidate with the highest score among those that have one.
fn highest(
    candidates: &[PlaceCandidate],
    score: impl Fn(&PlaceCandidate) -> Option<f64>,
) -> Option<usize> {
    let mut best: Option<(f64, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        if let Some(score) = score(candidate)
            && best.is_none_or(|(highest, _)| score > highest)
        {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
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

/// Time from the start of a run to the last answer of its worker, also of a run that no answer has
/// confirmed: if its start is carried out late, it isn't the cause of what happens before. None for
/// a run of a former coordinator that the worker hasn't confirmed.
fn known_span(task: &TaskEntry, entry: &WorkerEntry) -> Option<TimeSpan> {
    if task.phase != TaskPhase::Unverified && task.worker_born_ms != entry.born_ms {
        return Some(survived_span(task, entry));
    }
    let survived_ms = entry.alive_ms.saturating_sub(begin_clock(task, entry)?);
    Some(TimeSpan::from_millis(survived_ms))
}

/// Reading of the worker's clock when a run began there, or when its start was sent if no answer
/// has confirmed the run; none for a run of a former coordinator.
fn begin_clock(task: &TaskEntry, entry: &WorkerEntry) -> Option<u64> {
    match task.phase {
        TaskPhase::Unverified => None,
        _ if task.begun_ms != 0 => Some(task.begun_ms),
        _ => entry.clock_then(task.phase_since),
    }
}

/// Time from the start of a run to the last answer of its worker.
const fn survived_span(task: &TaskEntry, entry: &WorkerEntry) -> TimeSpan {
    if task.begun_ms == 0 {
        return TimeSpan::ZERO;
    }
    TimeSpan::from_millis(entry.alive_ms.saturating_sub(task.begun_ms))
}
