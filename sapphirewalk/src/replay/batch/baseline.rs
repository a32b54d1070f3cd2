//! First come, first served: each task goes to the first worker on which its declared size fits.

use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::task_failure::FailureKind;

use crate::replay::batch::fleet::SimulatedEnd;
use crate::replay::batch::scheduler::FleetCommand;
use crate::replay::batch::trace::BatchTrace;
use crate::replay::batch::trace::TraceTask;

/// How often a task that fails is tried.
const ATTEMPTS_MAX: u32 = 10;
/// How much more memory a task gets after it ran out.
const MEMORY_ESCALATION: u64 = 2;

/// Pending tasks in the order in which they came, and what is free.
///
/// Tasks that do not fit are passed over, and declared sizes above any worker are cut to it.
#[derive(Debug)]
pub struct FirstComeQueue<'a> {
    trace: &'a BatchTrace,
    largest_capacity: ResourceVector,
    free: Vec<ResourceVector>,
    waiting: Vec<TaskKey>,
    tasks: Vec<TaskEntry>,
    dirty: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct TaskEntry {
    size: ResourceVector,
    attempts: u32,
    cancelled: bool,
}

impl<'a> FirstComeQueue<'a> {
    /// An empty queue, all workers free.
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

    /// A task arrives.
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

    /// Takes tasks out of the queue and returns those that waited.
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

    /// An attempt ended; it is tried again a number of times if it failed.
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

    /// A worker is gone.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        self.free[worker.index()] = ResourceVector::ZERO;
    }

    /// Starts what fits, oldest first.
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
