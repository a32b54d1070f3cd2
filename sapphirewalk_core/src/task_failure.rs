//! Finds out tasks that can never run, from failures on several workers.

use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::placement::ParkReason;
use crate::size_estimate::SizeEstimator;

/// Distinct workers on which a task fails before it is given up.
const DISTINCT_WORKERS_MAX: usize = 3;
/// Failures after which a task is given up wherever they were.
const FAILURES_MAX: usize = 10;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// It needed more memory than it was granted.
    OutOfMemory,
    /// It ended with another error.
    Error,
}

/// What to do with a task that failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Try again, with at least this much memory in MiB.
    Retry {
        /// The least memory of the next attempt.
        memory_floor_mib: u64,
    },
    /// Give it up.
    Park(ParkReason),
}

/// A failure of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskFailure {
    /// The task.
    pub task: TaskKey,
    /// Where it failed.
    pub worker: WorkerKey,
    /// How it failed.
    pub kind: FailureKind,
    /// The memory that it was granted, in MiB.
    pub granted_mib: u64,
}

/// The failures of tasks that have not ended.
#[derive(Clone, Debug, Default)]
pub struct FailureLedger {
    /// Sorted by task.
    trials: Vec<FailureHistory>,
}

#[derive(Clone, Debug)]
struct FailureHistory {
    task: TaskKey,
    /// Where it failed of its own; sorted.
    failed_on: Vec<WorkerKey>,
    failures: usize,
    memory_floor_mib: u64,
}

impl FailureLedger {
    /// No failures.
    pub const fn new() -> Self {
        Self { trials: Vec::new() }
    }

    /// Counts a failure and judges the task; `largest_mib` is the most memory of any worker.
    ///
    /// Failures on workers that are `suspect` now do not count against the task.
    pub fn on_failure(
        &mut self,
        failure: TaskFailure,
        largest_mib: u64,
        suspect: impl Fn(WorkerKey) -> bool,
    ) -> RetryDecision {
        let trial = self.trial_mut(failure.task);
        match failure.kind {
            FailureKind::OutOfMemory => trial.on_out_of_memory(failure.granted_mib, largest_mib),
            FailureKind::Error => trial.on_error(failure.worker, suspect),
        }
    }

    /// The workers on which a task failed, sorted.
    pub fn failed_on(&self, task: TaskKey) -> &[WorkerKey] {
        self.search(task)
            .map_or(&[], |position| &self.trials[position].failed_on)
    }

    /// Forgets a task that ended.
    pub fn forget(&mut self, task: TaskKey) {
        if let Ok(position) = self.search(task) {
            self.trials.remove(position);
        }
    }

    fn search(&self, task: TaskKey) -> Result<usize, usize> {
        self.trials.binary_search_by_key(&task, |trial| trial.task)
    }

    fn trial_mut(&mut self, task: TaskKey) -> &mut FailureHistory {
        let position = self.search(task).unwrap_or_else(|position| {
            let trial = FailureHistory {
                task,
                failed_on: Vec::new(),
                failures: 0,
                memory_floor_mib: 0,
            };
            self.trials.insert(position, trial);
            position
        });
        &mut self.trials[position]
    }
}

impl FailureHistory {
    fn on_out_of_memory(&mut self, granted_mib: u64, largest_mib: u64) -> RetryDecision {
        match SizeEstimator::escalate_memory(granted_mib, largest_mib) {
            None => RetryDecision::Park(ParkReason::OutOfMemory),
            Some(memory_mib) => {
                self.memory_floor_mib = self.memory_floor_mib.max(memory_mib);
                self.retry()
            }
        }
    }

    fn on_error(
        &mut self,
        worker: WorkerKey,
        suspect: impl Fn(WorkerKey) -> bool,
    ) -> RetryDecision {
        if let Err(position) = self.failed_on.binary_search(&worker) {
            self.failed_on.insert(position, worker);
        }
        self.failures += 1;
        let counted = self
            .failed_on
            .iter()
            .filter(|worker| !suspect(**worker))
            .count();
        if counted >= DISTINCT_WORKERS_MAX || self.failures >= FAILURES_MAX {
            RetryDecision::Park(ParkReason::FailsEverywhere)
        } else {
            self.retry()
        }
    }

    const fn retry(&self) -> RetryDecision {
        RetryDecision::Retry {
            memory_floor_mib: self.memory_floor_mib,
        }
    }
}
