//! Counts the failures of each task and decides whether to retry or park it.

use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::placement::ParkReason;
use crate::size_estimate::SizeEstimator;

/// Distinct workers on which a task fails before it is parked.
const DISTINCT_WORKERS_MAX: usize = 3;
/// Errors after which a task is parked, whichever workers they were on.
const FAILURES_MAX: usize = 10;

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureKind {
    /// It needed more memory than it was granted.
    OutOfMemory,
    /// It ended with any other error.
    Error,
}

/// Whether a task that failed is started again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Queue the task again.
    Retry {
        /// The least memory in MiB to grant to the next attempt; 0 if the task never ran out.
        memory_floor_mib: u64,
    },
    /// Never start the task again.
    Park(ParkReason),
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskFailure {
    /// The task whose attempt failed.
    pub task: TaskKey,
    /// The worker that ran the attempt.
    pub worker: WorkerKey,
    /// The cause, as the worker reported it.
    pub kind: FailureKind,
    /// The memory in MiB that the attempt was granted.
    pub granted_mib: u64,
}

/// The failures of each task that has not ended.
#[derive(Clone, Debug, Default)]
pub struct FailureLedger {
    /// Sorted by task.
    histories: Vec<FailureHistory>,
}

#[derive(Clone, Debug)]
struct FailureHistory {
    task: TaskKey,
    /// The workers on which it ended with an error; sorted. Running out of memory does not count.
    failed_on: Vec<WorkerKey>,
    failures: usize,
    memory_floor_mib: u64,
}

impl FailureLedger {
    /// A ledger without failures.
    pub const fn new() -> Self {
        Self {
            histories: Vec::new(),
        }
    }

    /// Counts a failure and decides whether to retry. `largest_mib` is the memory in MiB of the
    /// largest worker.
    ///
    /// A worker for which `is_suspect` holds now does not count as one on which the task failed,
    /// since the worker may be at fault.
    pub fn on_failure(
        &mut self,
        failure: TaskFailure,
        largest_mib: u64,
        is_suspect: impl Fn(WorkerKey) -> bool,
    ) -> RetryDecision {
        let history = self.history_mut(failure.task);
        match failure.kind {
            FailureKind::OutOfMemory => history.on_out_of_memory(failure.granted_mib, largest_mib),
            FailureKind::Error => history.on_error(failure.worker, is_suspect),
        }
    }

    /// The workers on which a task ended with an error, sorted; empty if there are none.
    pub fn failed_on(&self, task: TaskKey) -> &[WorkerKey] {
        self.search(task)
            .map_or(&[], |position| &self.histories[position].failed_on)
    }

    /// Drops the failures of a task that has ended.
    pub fn forget(&mut self, task: TaskKey) {
        if let Ok(position) = self.search(task) {
            self.histories.remove(position);
        }
    }

    fn search(&self, task: TaskKey) -> Result<usize, usize> {
        self.histories
            .binary_search_by_key(&task, |history| history.task)
    }

    fn history_mut(&mut self, task: TaskKey) -> &mut FailureHistory {
        let position = self.search(task).unwrap_or_else(|position| {
            let history = FailureHistory {
                task,
                failed_on: Vec::new(),
                failures: 0,
                memory_floor_mib: 0,
            };
            self.histories.insert(position, history);
            position
        });
        &mut self.histories[position]
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
        is_suspect: impl Fn(WorkerKey) -> bool,
    ) -> RetryDecision {
        if let Err(position) = self.failed_on.binary_search(&worker) {
            self.failed_on.insert(position, worker);
        }
        self.failures += 1;
        let counted = self
            .failed_on
            .iter()
            .filter(|worker| !is_suspect(**worker))
            .count();
        if counted >= DISTINCT_WORKERS_MAX || self.failures >= FAILURES_MAX {
            RetryDecision::Park(ParkReason::FailsRepeatedly)
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
