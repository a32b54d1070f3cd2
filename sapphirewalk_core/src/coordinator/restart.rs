//! Restarts: the next runs of service tasks whose last run has ended.

use crate::coordinator::JobCoordinator;
use crate::job_registry::JobSlot;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;

impl JobCoordinator {
    /// Number of service tasks that wait for a restart, and the longest time for which one has.
    pub fn waiting_restarts(&self, now: TimePoint) -> (usize, TimeSpan) {
        let since = self.restarts.longest_since();
        let longest = since.map_or(TimeSpan::ZERO, |since| now.since(since));
        (self.restarts.waits().len(), longest)
    }

    /// Counts a waiting task as a restart if it is one of a service and has had a run.
    pub(super) fn await_restart(&mut self, slot: TaskSlot) {
        let service = self.jobs.step(slot).is_some_and(|step| step.service);
        let task = self.jobs.task(slot);
        let pause = task
            .filter(|task| task.phase == TaskPhase::Waiting)
            .and_then(|task| task.pause);
        if let Some(pause) = pause.filter(|_| service) {
            self.restarts.insert(slot, pause.since);
        }
    }

    /// Counts the tasks of a restored job that are restarts.
    pub(super) fn await_job_restarts(&mut self, slot: JobSlot) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        if job.state.is_final() || !job.spec.steps.iter().any(|step| step.service) {
            return;
        }
        let mut tasks = Vec::new();
        for occurrence in &job.occurrences {
            let paused = occurrence.tasks.iter().zip(0u32..);
            let paused = paused.filter(|(task, _)| task.pause.is_some());
            tasks.extend(paused.map(|(_, task)| TaskSlot {
                job: slot,
                occurrence: occurrence.number,
                task,
            }));
        }
        for task in tasks {
            self.await_restart(task);
        }
    }

    /// Records that a task was placed, which ends its wait if it was a restart.
    pub(super) fn end_restart_wait(&mut self, slot: TaskSlot, now: TimePoint) {
        let waits = self.restarts.waits();
        if let Ok(place) = waits.binary_search_by_key(&slot, |wait| wait.task) {
            let waited = now.since(waits[place].since);
            self.load_report.restart_waits.push(waited);
            self.restarts.retain(|task| task != slot);
        }
    }

    /// Forgets restarts of jobs that have ended, and warns of those that have waited for long.
    pub(super) fn report_restarts(&mut self, now: TimePoint) {
        let jobs = &self.jobs;
        self.restarts.retain(|slot| {
            let is_open = jobs.get(slot.job).is_some_and(|job| !job.state.is_final());
            let task = jobs.task(slot);
            is_open && task.is_some_and(|task| task.phase == TaskPhase::Waiting)
        });
        for wait in self.restarts.take_reports(now) {
            let (Some(run), Some(step)) =
                (self.jobs.run_name(wait.task), self.jobs.step(wait.task))
            else {
                continue;
            };
            let task = self.jobs.task(wait.task);
            let after = task.and_then(|task| task.pause).map(|pause| pause.cause);
            let detail = format!(
                "last_run={run} waited={} after={} cpu={} mem={} waiting_restarts={}",
                now.since(wait.since),
                after.map_or("unknown", |cause| cause.as_str()),
                step.demand.cpu_millis,
                step.demand.memory_mib,
                self.restarts.waits().len()
            );
            self.warn("restart_waits", Some(run.task.job), detail);
        }
    }
}
