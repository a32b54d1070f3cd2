//! Draining of workers that are about to leave: tasks that would not end in time are stopped
//! early.

use crate::coordinator::JobCoordinator;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// Share of the time left within which a task must be expected to end so that it may stay. Callers'
/// estimates are rough, so the rest is a margin.
const FINISH_SHARE: f64 = 0.6;

impl JobCoordinator {
    /// Stops the tasks that would outlast a draining worker, so that they run again elsewhere.
    pub(super) fn drain_worker(&mut self, worker: WorkerSlot) {
        let entry = self.workers.get(worker);
        let time_left = entry.listing.leaves_in;
        let detail = format!(
            "worker={} leaves_in={time_left} tasks={}",
            entry.listing.id,
            entry.tasks.len()
        );
        self.log("worker_leaving", None, detail);
        for slot in self.workers.get(worker).tasks.clone() {
            if self.outlasts(slot, time_left) {
                self.order_stop(slot, "worker_leaving");
            }
        }
    }

    /// Whether a running task is not expected to end within `time_left`; always true for a running
    /// service task.
    fn outlasts(&self, slot: TaskSlot, time_left: TimeSpan) -> bool {
        let (Some(step), Some(task)) = (self.jobs.step(slot), self.jobs.task(slot)) else {
            return false;
        };
        if task.phase != TaskPhase::Running || task.stop_ordered {
            return false;
        }
        let remaining = f64::from(100u32.saturating_sub(task.progress.percent())) / 100.0;
        step.service || step.estimate.scale(remaining) > time_left.scale(FINISH_SHARE)
    }
}
