//! The baseline scheduler: first come, first served, by declared sizes.

use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::task_failure::FailureKind;

use crate::replay::batch::fleet::SimulatedEnd;
use crate::replay::batch::scheduler::FleetCommand;
use crate::replay::batch::trace::BatchTrace;
use crate::replay::batch::trace::TraceTask;

/// The number of attempts after which a task that fails is parked.
const ATTEMPTS_MAX: u32 = 10;
/// Factor by which a task's memory is raised after an attempt ran out of memory.
const MEMORY_ESCALATION: u64 = 2;

/// Pending tasks in order of submission, and the free resources of each worker.
///
/// A task starts on the first worker with room for its declared size. A task that no worker has
/// room for stays in the queue and does not block later ones. Declared processor time and memory
/// are limited to the most that any worker has.
#[derive(Debug)]
pub struct FirstComeQueue<'a> {
    trace: &'a BatchTrace,
    largest_capacity: ResourceVector,
    /// Indexed by worker.
    free: Vec<ResourceVector>,
    /// Sorted by key, which is the order of submission.
    waiting: Vec<TaskKey>,
    /// Indexed by task.
    tasks: Vec<TaskEntry>,
    /// Whether a task may have become startable since the last decision.
    dirty: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct TaskEntry {
    /// Resources reserved for the next attempt.
    size: ResourceVector,
    attempts: u32,
    cancelled: bool,
}

impl<'a> FirstComeQueue<'a> {
    /// Creates an empty queue over the idle workers of `trace`.
    pub fn new(trace: &'a BatchTrace) -> Self {
        Self {
            trace,
            largest_capacity: trace.largest_capacity(),
            free: trace.workers.iter().map(|worker| worker.capacity).collect(),
            waiting: Vec::new(),
            tasks: vec![TaskEntry::default(); trace.tasks.len()],
            dirty: false,
        }
    }

    /// Adds a submitted task to the end of the queue.
    pub fn submit(&mut self, task: TaskKey, traced: &TraceTask) {
        self.tasks[task.index()].size = ResourceVector {
            cpu_millis: traced
                .declared
                .cpu_millis
                .min(self.largest_capacity.cpu_millis),
            memory_mib: traced
                .declared
                .memory_mib
                .min(self.largest_capacity.memory_mib),
            accelerators: traced.declared.accelerators,
        };
        self.waiting.push(task);
        self.dirty = true;
    }

    /// Cancels tasks and returns those that were in the queue; running ones are not stopped.
    pub fn cancel(&mut self, tasks: &[TaskKey]) -> Vec<TaskKey> {
        for task in tasks {
            self.tasks[task.index()].cancelled = true;
        }
        let tasks = &self.tasks;
        let cancelled = self
            .waiting
            .iter()
            .copied()
            .filter(|task| tasks[task.index()].cancelled)
            .collect();
        self.waiting.retain(|task| !tasks[task.index()].cancelled);
        cancelled
    }

    /// Handles the end of an attempt.
    ///
    /// Unless the task finished or is cancelled, it returns to its position in the queue; after
    /// [`ATTEMPTS_MAX`] attempts a failed one is parked.
    pub fn on_end(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        end: SimulatedEnd,
    ) -> Option<FleetCommand> {
        let entry = &mut self.tasks[task.index()];
        if end != SimulatedEnd::WorkerGone {
            self.free[worker.index()] = self.free[worker.index()] + entry.size;
        }
        self.dirty = true;
        if end == SimulatedEnd::Finished || entry.cancelled {
            return None;
        }
        if matches!(end, SimulatedEnd::Failed(_)) && entry.attempts >= ATTEMPTS_MAX {
            return Some(FleetCommand::Park { task });
        }
        if end == SimulatedEnd::Failed(FailureKind::OutOfMemory) {
            let raised = entry.size.memory_mib * MEMORY_ESCALATION;
            entry.size.memory_mib = raised.min(self.largest_capacity.memory_mib);
        }
        let position = self.waiting.partition_point(|other| *other < task);
        self.waiting.insert(position, task);
        None
    }

    /// Removes a worker that is lost for good, so that no task starts on it.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        self.free[worker.index()] = ResourceVector::ZERO;
    }

    /// Returns a start command for each waiting task that fits, in order of submission.
    pub fn decide(&mut self) -> Vec<FleetCommand> {
        let mut commands = Vec::new();
        if !self.dirty {
            return commands;
        }
        self.dirty = false;
        let free = &mut self.free;
        let tasks = &mut self.tasks;
        self.waiting.retain(|task| {
            let entry = &mut tasks[task.index()];
            let Some(position) = free.iter().position(|free| entry.size.fits(*free)) else {
                return true;
            };
            free[position] = free[position].saturating_sub(entry.size);
            entry.attempts += 1;
            commands.push(FleetCommand::Start {
                worker: WorkerKey::from_index(position),
                task: *task,
                granted: entry.size,
            });
            false
        });
        debug_assert!(self.waiting.len() <= self.trace.tasks.len());
        commands
    }
}
