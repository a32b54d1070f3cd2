//! Detection of workers on which tasks stall or run slowly although polls are answered.
//!
//! It handles workers that hang or have become slow. They get no new tasks, and a task that would
//! finish sooner elsewhere is stopped and restarted there. A task that is slow on all workers has a
//! wrong estimate and is left alone. So is a task that is slow while the runs beside it keep the
//! speed of their siblings: on the build farm one task in thirty takes seven times as long as the
//! others, and was stopped on two workers before it was left to run on a third.

use crate::coordinator::JobCoordinator;
use crate::job_registry::JobEntry;
use crate::job_registry::OccurrenceEntry;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::StepSpec;
use crate::room_reservation::StepKey;
use crate::run_progress;
use crate::run_progress::ProgressVerdict;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::DoneRun;
use crate::worker_registry::WorkerSlot;

/// Time for which a worker with stalled or slow tasks gets no new tasks.
const STALL_QUARANTINE: TimeSpan = TimeSpan::from_millis(2_000);
/// Time for which the quarantine is renewed while slow tasks are left to finish. They may take
/// long, and service tasks must be back after 6 s, however full the pool is.
const SLOW_RENEWAL_SPAN: TimeSpan = TimeSpan::from_millis(2_000);
/// Speed limit in percent of full speed below which the progress of a best-effort task is not
/// judged, since the limit may be what slows it.
pub(super) const MIN_JUDGED_PACE: u32 = 50;
/// Share of the speed by its estimate below which a task may be slow, and is compared with its
/// siblings.
const SUSPECT_SHARE: f64 = 0.35;
/// Share of the speed of its siblings above which a run shows that its worker is not slow.
const HEALTHY_SHARE: f64 = 0.7;
/// How much earlier than a slow run another one may have begun to be compared with it. The speed of
/// an older run is an average that hides that its worker has become slow.
const NEIGHBOUR_SPAN: TimeSpan = TimeSpan::from_millis(500);

/// Assessment of a task, and what it was compared with.
#[derive(Clone, Copy, Debug)]
struct TaskAssessment {
    slot: TaskSlot,
    verdict: ProgressVerdict,
    /// Speed of the task's siblings in whole runs per second; 0 if it was not compared.
    usual: f64,
}

impl JobCoordinator {
    /// Checks the progress of a worker's tasks after a poll. Stalled or slow tasks quarantine the
    /// worker; those worth restarting are stopped.
    pub(super) fn check_progress(&mut self, worker: WorkerSlot, now: TimePoint) {
        let tasks = self.workers.get(worker).tasks.iter();
        let assessed: Vec<TaskAssessment> = tasks
            .map(|slot| self.assess_progress(*slot))
            .filter(|assessed| assessed.verdict != ProgressVerdict::Normal)
            .filter(|assessed| !self.is_inherently_long(worker, assessed))
            .collect();
        if assessed.is_empty() {
            self.workers.get_mut(worker).slow_since = None;
            return;
        }
        if !self.is_closed_for_long(worker, &assessed, now) {
            self.quarantine(worker, STALL_QUARANTINE, "tasks_crawl", now);
        }
        for assessment in assessed {
            match assessment.verdict {
                ProgressVerdict::Normal | ProgressVerdict::Slow => {}
                ProgressVerdict::RestartSlow => self.restart_task(worker, assessment, "slow", now),
                ProgressVerdict::RestartStalled => {
                    self.restart_task(worker, assessment, "stalled", now);
                }
            }
        }
    }

    /// Whether a worker has been quarantined for long because of slow tasks, and those that crawl
    /// there now are left to finish.
    fn is_closed_for_long(
        &mut self,
        worker: WorkerSlot,
        assessed: &[TaskAssessment],
        now: TimePoint,
    ) -> bool {
        let mut verdicts = assessed.iter().map(|assessment| assessment.verdict);
        let left_to_finish = verdicts.all(|verdict| verdict == ProgressVerdict::Slow);
        let entry = self.workers.get_mut(worker);
        if !left_to_finish {
            entry.slow_since = None;
            return false;
        }
        let since = *entry.slow_since.get_or_insert(now);
        now.since(since) > SLOW_RENEWAL_SPAN
    }

    /// Keeps a run that is done as evidence of its worker's speed.
    pub(super) fn record_done_run(&mut self, worker: WorkerSlot, slot: TaskSlot) {
        let Some(task) = self.jobs.task(slot) else {
            return;
        };
        if let Some(speed) = task.progress.speed() {
            let begun_at = task.phase_since;
            self.workers.get_mut(worker).record_done(DoneRun {
                slot,
                begun_at,
                speed,
            });
        }
    }

    /// Number of runs that were recently done on a worker, that began at `from` or later and that
    /// can be compared, and of those that kept the speed of their siblings.
    fn done_runs_since(&self, worker: WorkerSlot, from: TimePoint) -> (usize, usize) {
        let done = self.workers.get(worker).done_runs.iter();
        let (mut compared, mut healthy) = (0, 0);
        for run in done.filter(|run| run.begun_at >= from) {
            let Some(job) = self.jobs.get(run.slot.job) else {
                continue;
            };
            let key = StepKey {
                job: run.slot.job,
                occurrence: run.slot.occurrence,
                step: job.step_of(run.slot.task),
            };
            if let Some(usual) = self.step_speed(key) {
                compared += 1;
                healthy += usize::from(run.speed >= usual * HEALTHY_SHARE);
            }
        }
        (compared, healthy)
    }

    /// Whether a slow task is slow by itself: most runs beside it that began at about the same time
    /// or later keep the speed of their siblings, those included that are done. False if there are
    /// none to compare with.
    fn is_inherently_long(&self, worker: WorkerSlot, assessment: &TaskAssessment) -> bool {
        match assessment.verdict {
            ProgressVerdict::Slow | ProgressVerdict::RestartSlow => {}
            ProgressVerdict::Normal | ProgressVerdict::RestartStalled => return false,
        }
        let Some(slow) = self.jobs.task(assessment.slot) else {
            return false;
        };
        let tasks = self.workers.get(worker).tasks.iter();
        let neighbours = tasks.filter(|slot| **slot != assessment.slot);
        let from = slow.phase_since - NEIGHBOUR_SPAN;
        let (mut compared, mut healthy) = self.done_runs_since(worker, from);
        for slot in neighbours {
            let (Some(step), Some(task)) = (self.jobs.step(*slot), self.jobs.task(*slot)) else {
                continue;
            };
            let comparable = task.phase == TaskPhase::Running
                && !task.stop_ordered
                && !step.service
                && !step.best_effort
                && task.phase_since >= from;
            let Some(speed) = task.progress.speed().filter(|_| comparable) else {
                continue;
            };
            if let Some(usual) = self.sibling_speed(*slot, step, task) {
                compared += 1;
                healthy += usize::from(speed >= usual * HEALTHY_SHARE);
            }
        }
        healthy * 2 > compared
    }

    /// Stops a task so that it is placed on another worker.
    fn restart_task(
        &mut self,
        worker: WorkerSlot,
        assessment: TaskAssessment,
        reason: &'static str,
        now: TimePoint,
    ) {
        let slot = assessment.slot;
        if !self.may_interrupt(slot, reason, now) {
            return;
        }
        let run = self.jobs.run_name(slot);
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        let detail = format!(
            "run={} percent={} speed={:.2} usual={:.2} restarts={} cause={reason}",
            run.map_or_else(String::new, |run| run.to_string()),
            task.progress.percent(),
            task.progress.speed().unwrap_or(0.0),
            assessment.usual,
            task.restarts
        );
        task.avoided_worker = Some(worker);
        task.restarts = task.restarts.saturating_add(1);
        self.log("run_crawls", run.map(|run| run.task.job), detail);
        self.order_stop(slot, reason);
    }

    /// Assesses the progress of a running task; service tasks are not judged.
    fn assess_progress(&self, slot: TaskSlot) -> TaskAssessment {
        let normal = TaskAssessment {
            slot,
            verdict: ProgressVerdict::Normal,
            usual: 0.0,
        };
        let (Some(step), Some(task)) = (self.jobs.step(slot), self.jobs.task(slot)) else {
            return normal;
        };
        let judged = task.phase == TaskPhase::Running && !task.stop_ordered && !step.service;
        if !judged || (step.best_effort && task.pace < MIN_JUDGED_PACE) {
            return normal;
        }
        if task.progress.is_stalled(task.restarts) {
            let verdict = ProgressVerdict::RestartStalled;
            return TaskAssessment { verdict, ..normal };
        }
        if step.best_effort || !is_suspect(step, task) {
            return normal;
        }
        let Some(usual) = self.sibling_speed(slot, step, task) else {
            return normal;
        };
        TaskAssessment {
            slot,
            verdict: task.progress.compare(usual, task.restarts),
            usual,
        }
    }

    /// Median speed of a step's other tasks on other workers, in whole runs per second. Tasks in
    /// the rack of the step's data are compared with each other only. `None` if there are none.
    fn sibling_speed(&self, slot: TaskSlot, step: &StepSpec, task: &TaskEntry) -> Option<f64> {
        let job = self.jobs.get(slot.job)?;
        let occurrence = job.occurrence(slot.occurrence)?;
        let is_near = |task: &TaskEntry| {
            let rack = task
                .worker
                .map(|worker| &self.workers.get(worker).listing.rack);
            step.data_rack.is_none() || step.data_rack.as_ref() == rack
        };
        let near = is_near(task);
        let mut speeds: Vec<f64> = step_siblings(job, occurrence, slot)
            .iter()
            .filter(|sibling| sibling.worker != task.worker && is_near(sibling) == near)
            .filter(|sibling| {
                sibling.phase == TaskPhase::Running || sibling.phase == TaskPhase::Done
            })
            .filter_map(|sibling| sibling.progress.speed())
            .collect();
        run_progress::median_speed(&mut speeds)
    }
}

/// Whether a task is slower than its estimate suggests.
fn is_suspect(step: &StepSpec, task: &TaskEntry) -> bool {
    let estimated = 1.0 / step.estimate.as_secs_f64().max(f64::MIN_POSITIVE);
    let speed = task.progress.speed();
    speed.is_some_and(|speed| speed < estimated * SUSPECT_SHARE)
}

/// All tasks of a task's step, itself included.
fn step_siblings<'a>(
    job: &JobEntry,
    occurrence: &'a OccurrenceEntry,
    slot: TaskSlot,
) -> &'a [TaskEntry] {
    let step = usize::from(job.step_of(slot.task));
    let first = job.first_tasks[step] as usize;
    &occurrence.tasks[first..first + usize::from(job.spec.steps[step].count)]
}
