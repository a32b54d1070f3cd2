//! Budgets of unavailability of service steps: whether the scheduler may take a task from work.
//!
//! A step has one account for each occurrence, computed from its tasks whenever it is needed. Steps
//! without a limit are never counted.

use crate::coordinator::JobCoordinator;
use crate::coordinator::poll;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::RunName;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::unavailability_budget::InterruptionVerdict;
use crate::unavailability_budget::TaskAvailability;
use crate::unavailability_budget::UnavailabilityBudget;
use crate::worker_registry::WorkerEntry;

/// Minimum interval between log lines about withheld interruptions. A violation of a service's
/// target asks for an eviction at each sample of each worker.
const WITHHELD_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Delay of the next run of a task while a worker still has an unwanted run of it at work. Workers
/// are polled each second.
const UNWANTED_DELAY: TimeSpan = TimeSpan::from_millis(2_500);

/// Limits the log lines about withheld interruptions.
#[derive(Debug)]
pub(super) struct WithheldLog {
    next_at: TimePoint,
    /// Number of interruptions withheld since the last line.
    left_out: u32,
}

impl WithheldLog {
    pub(super) const fn new() -> Self {
        Self {
            next_at: TimePoint::EPOCH,
            left_out: 0,
        }
    }
}

impl JobCoordinator {
    /// Whether the budget of a task's step allows to stop the task now. Always true for a step
    /// without a limit, for a job that has ended, for a task on a draining worker, and for a start
    /// that the lists of its worker rule out.
    pub fn allows_interruption(&self, slot: TaskSlot, now: TimePoint) -> bool {
        self.judge_interruption(slot, now) == InterruptionVerdict::Allowed
    }

    /// Like [`Self::allows_interruption`], for a decision that is carried out at once: an
    /// interruption that is not allowed is logged with its `reason`.
    pub(super) fn may_interrupt(
        &mut self,
        slot: TaskSlot,
        reason: &'static str,
        now: TimePoint,
    ) -> bool {
        match self.judge_interruption(slot, now) {
            InterruptionVerdict::Allowed => true,
            InterruptionVerdict::Withheld { unavailable } => {
                self.log_withheld(slot, reason, unavailable, now);
                false
            }
        }
    }

    /// Whether to stop a run that its worker lists and that is not the present one of its task. If
    /// that is not allowed, the task's next run waits, so that the task does not run twice.
    pub(super) fn may_stop_unwanted(&mut self, run: RunName, now: TimePoint) -> bool {
        let Some(slot) = self.jobs.find_task(run.task) else {
            return true;
        };
        let waits = self
            .jobs
            .task(slot)
            .is_some_and(|task| task.phase == TaskPhase::Waiting && task.attempt == run.attempt);
        if !waits || self.may_interrupt(slot, "not_wanted", now) {
            return true;
        }
        if let Some(task) = self.jobs.task_mut(slot) {
            task.not_before = task.not_before.max(now + UNWANTED_DELAY);
        }
        false
    }

    fn judge_interruption(&self, slot: TaskSlot, now: TimePoint) -> InterruptionVerdict {
        let allowed = InterruptionVerdict::Allowed;
        let Some(job) = self.jobs.get(slot.job) else {
            return allowed;
        };
        let step_index = usize::from(job.step_of(slot.task));
        let Some(step) = job.spec.steps.get(step_index) else {
            return allowed;
        };
        if step.max_unavailable == 0 || !step.service || job.state.is_final() {
            return allowed;
        }
        let Some(occurrence) = job.occurrence(slot.occurrence) else {
            return allowed;
        };
        let first = job.first_tasks[step_index] as usize;
        let place = (slot.task as usize).saturating_sub(first);
        let tasks = &occurrence.tasks[first..first + usize::from(step.count)];
        let Some(task) = tasks.get(place) else {
            return allowed;
        };
        let worker = task.worker.map(|worker| self.workers.get(worker));
        if worker.is_some_and(|entry| entry.listing.draining || is_ruled_out(task, entry)) {
            return allowed;
        }
        let budget = UnavailabilityBudget {
            limit: step.max_unavailable,
            notice: self.limits.unavailability_notice,
        };
        let others = tasks.iter().zip(0usize..);
        let others = others
            .filter(|(_, other)| *other != place)
            .map(|(other, _)| self.availability(other, now));
        budget.judge(others, now)
    }

    /// What is known about whether a task is at work.
    fn availability(&self, task: &TaskEntry, now: TimePoint) -> TaskAvailability {
        if task.stop_ordered {
            return TaskAvailability::Stopping;
        }
        match task.phase {
            TaskPhase::Unverified => TaskAvailability::Unknown,
            TaskPhase::Waiting | TaskPhase::Recording | TaskPhase::Starting | TaskPhase::Done => {
                TaskAvailability::Absent
            }
            TaskPhase::Running => {
                let worker = task.worker.map(|worker| self.workers.get(worker));
                let is_heard = worker.is_some_and(|entry| {
                    entry.failed_polls == 0 && now.since(entry.answered_at) <= poll::SILENCE_LIMIT
                });
                match task.at_work_since {
                    Some(since) if is_heard => TaskAvailability::AtWork { since },
                    Some(_) => TaskAvailability::Unknown,
                    None => TaskAvailability::Absent,
                }
            }
        }
    }

    fn log_withheld(
        &mut self,
        slot: TaskSlot,
        reason: &'static str,
        unavailable: usize,
        now: TimePoint,
    ) {
        if now < self.withheld_log.next_at {
            self.withheld_log.left_out = self.withheld_log.left_out.saturating_add(1);
            return;
        }
        let left_out = std::mem::take(&mut self.withheld_log.left_out);
        self.withheld_log.next_at = now + WITHHELD_INTERVAL;
        let run = self.jobs.run_name(slot);
        let limit = self.jobs.step(slot).map_or(0, |step| step.max_unavailable);
        let detail = format!(
            "run={} reason={reason} unavailable={unavailable} max_unavailable={limit} \
             left_out={left_out}",
            run.map_or_else(String::new, |run| run.to_string())
        );
        self.log("interruption_withheld", run.map(|run| run.task.job), detail);
    }
}

/// Whether the worker has listed its runs without this one after the deadline of its start, so that
/// it can't be at work.
fn is_ruled_out(task: &TaskEntry, entry: &WorkerEntry) -> bool {
    let listed_at = entry.clock.map_or(0, |reading| reading.worker_ms);
    task.phase == TaskPhase::Starting && task.deadline_ms > 0 && listed_at > task.deadline_ms
}
