//! Attribution of worker crashes to the tasks that ran there.

use crate::coordinator::JobCoordinator;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// Time for which a run must have been alive before it is no longer suspected of having crashed its
/// worker by its start. About as long as a poll, which shows that it is alive.
const TRIAL_SPAN: TimeSpan = TimeSpan::from_millis(1_000);

impl JobCoordinator {
    /// Number of runs on a worker, other than the task's own, that began too recently to be ruled
    /// out as the cause of a crash.
    pub(super) fn others_on_trial(&self, worker: WorkerSlot, slot: TaskSlot) -> usize {
        let others = self.workers.get(worker).tasks.iter();
        others
            .filter(|other| **other != slot)
            .filter_map(|other| self.jobs.task(*other))
            .filter(|task| is_on_trial(task))
            .count()
    }
}

/// Whether the run of a task may have begun less than [`TRIAL_SPAN`] ago.
fn is_on_trial(task: &TaskEntry) -> bool {
    match task.phase {
        TaskPhase::Waiting | TaskPhase::Recording | TaskPhase::Done => false,
        TaskPhase::Starting | TaskPhase::Running | TaskPhase::Unverified => {
            task.alive_for() < TRIAL_SPAN
        }
    }
}
