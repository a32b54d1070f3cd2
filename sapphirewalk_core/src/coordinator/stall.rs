//! Detection of workers on which tasks stall or run slowly although polls are answered.
//!
//! It handles workers that hang or have become slow. They get no new tasks, and a task that would
//! finish sooner elsewhere is stopped and restarted there.

use crate::coordinator::JobCoordinator;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// Time without a change of progress after which a task counts as stalled. It is longer than a
/// restart from a checkpoint and than the time between two polls.
const STALL_SPAN: TimeSpan = TimeSpan::from_millis(1_400);
/// Minimum time for which a task must have run before its rate is judged.
const MIN_RATE_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Share of the expected rate below which a task counts as slow. Estimates of urgent work are off
/// by a fifth or so.
const SLOW_RATE: f64 = 0.35;
/// A task is restarted elsewhere if its remaining time exceeds this multiple of its whole estimate.
const RESTART_FACTOR: f64 = 1.3;
/// Time for which a worker with stalled or slow tasks gets no new tasks.
const STALL_QUARANTINE: TimeSpan = TimeSpan::from_millis(2_000);
/// Speed limit in percent of full speed below which the progress of a best-effort task is not
/// judged, since the limit may be what slows it.
const MIN_JUDGED_PACE: u32 = 50;

/// Assessment of a task's progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProgressVerdict {
    /// Progress is as expected, or can't be judged yet.
    Normal,
    /// The task is slow, but a restart elsewhere would not finish sooner.
    Slow,
    /// A restart elsewhere is expected to finish sooner, or the task has stalled.
    Restart,
}

impl JobCoordinator {
    /// Checks the progress of a worker's tasks after a poll. Stalled or slow tasks quarantine the
    /// worker; those worth restarting are stopped.
    pub(super) fn check_progress(&mut self, worker: WorkerSlot, now: TimePoint) {
        let mut restarts = Vec::new();
        let mut slow = 0usize;
        for slot in &self.workers.get(worker).tasks {
            match self.assess_progress(*slot, now) {
                ProgressVerdict::Normal => {}
                ProgressVerdict::Slow => slow += 1,
                ProgressVerdict::Restart => restarts.push(*slot),
            }
        }
        if slow == 0 && restarts.is_empty() {
            return;
        }
        self.quarantine(worker, STALL_QUARANTINE, "tasks_crawl", now);
        for slot in restarts {
            if let Some(task) = self.jobs.task_mut(slot) {
                task.avoided_worker = Some(worker);
            }
            self.order_stop(slot, "stalled");
        }
    }

    /// Assesses the progress of a running task; service tasks are not judged.
    fn assess_progress(&self, slot: TaskSlot, now: TimePoint) -> ProgressVerdict {
        let (Some(step), Some(task)) = (self.jobs.step(slot), self.jobs.task(slot)) else {
            return ProgressVerdict::Normal;
        };
        let judged = task.phase == TaskPhase::Running && !task.stop_ordered && !step.service;
        if !judged || (step.best_effort && task.pace < MIN_JUDGED_PACE) {
            return ProgressVerdict::Normal;
        }
        if now.since(task.progressed_at) >= STALL_SPAN {
            return ProgressVerdict::Restart;
        }
        let elapsed = now.since(task.phase_since);
        let resumed = !task.checkpoint.is_empty();
        if step.best_effort || resumed || elapsed < MIN_RATE_SPAN {
            return ProgressVerdict::Normal;
        }
        let estimate_s = step.estimate.as_secs_f64();
        let done = f64::from(task.percent) / 100.0;
        let rate = done * estimate_s / elapsed.as_secs_f64();
        if rate >= SLOW_RATE {
            return ProgressVerdict::Normal;
        }
        let remaining_s = (1.0 - done) * estimate_s / rate.max(f64::MIN_POSITIVE);
        if remaining_s > estimate_s * RESTART_FACTOR {
            ProgressVerdict::Restart
        } else {
            ProgressVerdict::Slow
        }
    }
}
