//! Runs a trace: steps the simulated time, the workers and a scheduler, and records each task.

use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::batch::fleet::CpuUse;
use crate::replay::batch::fleet::FleetEvent;
use crate::replay::batch::fleet::SimulatedEnd;
use crate::replay::batch::fleet::WorkerFleet;
use crate::replay::batch::scheduler::FleetCommand;
use crate::replay::batch::scheduler::TaskScheduler;
use crate::replay::batch::trace::BatchTrace;
use crate::replay::batch::trace::FaultKind;

/// Simulated time between two decisions of the scheduler.
const TICK: TimeSpan = TimeSpan::from_millis(250);

/// The history of one task in a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRecord {
    /// Whether its submission lies before the end of the trace.
    pub submitted: bool,
    /// When its first attempt started; `None` if none did.
    pub started_at: Option<TimePoint>,
    /// When it last finished; `None` if it did not.
    pub finished_at: Option<TimePoint>,
    /// How often it finished; more than once is a fault of the scheduler.
    pub finishes: u32,
    /// Whether the scheduler parked it, so that it never starts again.
    pub parked: bool,
    /// Whether it was cancelled before it finished.
    pub cancelled: bool,
    /// Attempts started after it was cancelled; more than 0 is a fault of the scheduler.
    pub starts_after_cancel: u32,
    /// The worker that runs its attempt; `None` while no attempt runs.
    pub running_on: Option<WorkerKey>,
    /// Whether it is in the scheduler's queue.
    pub waiting: bool,
    /// Attempts started.
    pub attempts: u32,
    /// Attempts that an eviction stopped.
    pub evictions: u32,
    /// Attempts that failed.
    pub failures: u32,
}

/// The result of one run of a trace.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// Indexed by task.
    pub tasks: Vec<TaskRecord>,
    /// The highest over-commit of any worker and resource, as a fraction of capacity.
    pub peak_over_commit: f64,
    /// The most workers in quarantine at once that had had no fault until then.
    pub healthy_quarantined: usize,
    /// Throttle commands, including those that lift a limit.
    pub throttles: u32,
    /// Processor use of all workers, as the mean over the run.
    pub mean_cpu_use: CpuUse,
}

struct RunState<'a> {
    trace: &'a BatchTrace,
    scheduler: TaskScheduler<'a>,
    fleet: WorkerFleet<'a>,
    record: RunRecord,
    /// Position in the trace of the next task to submit.
    next_task: usize,
    /// Position in the trace of the next cancellation.
    next_cancel: usize,
}

/// Replays a trace against a scheduler, from time zero to the trace's end.
pub fn run<'a>(trace: &'a BatchTrace, scheduler: TaskScheduler<'a>) -> RunRecord {
    let mut state = RunState {
        trace,
        scheduler,
        fleet: WorkerFleet::new(trace),
        record: RunRecord {
            tasks: vec![TaskRecord::default(); trace.tasks.len()],
            ..RunRecord::default()
        },
        next_task: 0,
        next_cancel: 0,
    };
    let end = TimePoint::from_millis(trace.settings.end_ms);
    let mut now = TimePoint::EPOCH;
    let mut ticks = 0.0;
    while now < end {
        state.step(now);
        now = now + TICK;
        ticks += 1.0;
    }
    let sum = state.fleet.cpu_use_sum();
    state.record.mean_cpu_use = CpuUse {
        granted: sum.granted / ticks,
        used: sum.used / ticks,
        progress: sum.progress / ticks,
    };
    state.record.peak_over_commit = state.fleet.peak_over_commit();
    state.record
}

impl RunState<'_> {
    fn step(&mut self, now: TimePoint) {
        for event in self.fleet.advance(TICK, now) {
            self.on_event(event, now);
        }
        self.apply_faults(now);
        self.submit_due(now);
        self.cancel_due(now);
        for command in self.scheduler.decide(now) {
            self.apply_command(command, now);
        }
        self.update_quarantined(now);
    }

    fn on_event(&mut self, event: FleetEvent, now: TimePoint) {
        match event {
            FleetEvent::Ended { worker, task, end } => self.on_ended(worker, task, end, now),
            FleetEvent::Usage(usage) => {
                for command in self.scheduler.on_usage(usage, now) {
                    self.apply_command(command, now);
                }
            }
            FleetEvent::Checkpoint { worker, task } => {
                self.scheduler.on_checkpoint(worker, task, now);
            }
        }
    }

    fn on_ended(&mut self, worker: WorkerKey, task: TaskKey, end: SimulatedEnd, now: TimePoint) {
        let record = &mut self.record.tasks[task.index()];
        record.running_on = None;
        record.waiting = !record.cancelled;
        match end {
            SimulatedEnd::Finished => {
                record.finished_at = Some(now);
                record.finishes += 1;
                record.waiting = false;
            }
            SimulatedEnd::Failed(_) => record.failures += 1,
            SimulatedEnd::Stopped => record.evictions += u32::from(!record.cancelled),
            SimulatedEnd::WorkerGone => {}
        }
        let command = self.scheduler.on_end(worker, task, end, now);
        if let Some(command) = command {
            self.apply_command(command, now);
        }
    }

    fn apply_faults(&mut self, now: TimePoint) {
        for fault in &self.trace.faults {
            let begins = fault.from <= now && now < fault.from + TICK;
            let ends = fault.until <= now && now < fault.until + TICK;
            if !begins && !ends {
                continue;
            }
            for event in self.fleet.set_fault(fault.worker, fault.kind, begins) {
                self.on_event(event, now);
            }
            if begins && fault.kind == FaultKind::Gone {
                self.scheduler.remove_worker(fault.worker);
            }
        }
    }

    fn submit_due(&mut self, now: TimePoint) {
        while let Some(traced) = self.trace.tasks.get(self.next_task)
            && traced.submitted_at <= now
        {
            let task = TaskKey::from_index(self.next_task);
            let record = &mut self.record.tasks[self.next_task];
            record.submitted = true;
            record.waiting = true;
            self.scheduler.submit(task, traced);
            self.next_task += 1;
        }
    }

    fn cancel_due(&mut self, now: TimePoint) {
        while let Some(batch) = self.trace.cancellations.get(self.next_cancel)
            && batch.at <= now
        {
            self.next_cancel += 1;
            let unfinished: Vec<TaskKey> = batch
                .tasks
                .iter()
                .map(|task| TaskKey(*task))
                .filter(|task| {
                    let record = &self.record.tasks[task.index()];
                    record.finishes == 0 && !record.parked
                })
                .collect();
            self.cancel(&unfinished, now);
        }
    }

    fn cancel(&mut self, tasks: &[TaskKey], now: TimePoint) {
        for task in self.scheduler.cancel(tasks) {
            self.record.tasks[task.index()].waiting = false;
        }
        for task in tasks {
            let record = &mut self.record.tasks[task.index()];
            record.cancelled = true;
            if let Some(worker) = record.running_on {
                self.fleet.stop(worker, *task);
                self.on_ended(worker, *task, SimulatedEnd::Stopped, now);
            }
        }
    }

    fn apply_command(&mut self, command: FleetCommand, now: TimePoint) {
        match command {
            FleetCommand::Start {
                worker,
                task,
                granted,
            } => {
                let record = &mut self.record.tasks[task.index()];
                record.started_at.get_or_insert(now);
                record.waiting = false;
                record.running_on = Some(worker);
                record.attempts += 1;
                record.starts_after_cancel += u32::from(record.cancelled);
                self.fleet.start(worker, task, granted, now);
            }
            FleetCommand::Evict { worker, task } => self.fleet.evict(worker, task, now),
            FleetCommand::Throttle {
                worker,
                task,
                cpu_permille,
            } => {
                self.record.throttles += 1;
                self.fleet.throttle(worker, task, cpu_permille);
            }
            FleetCommand::Park { task } => {
                let record = &mut self.record.tasks[task.index()];
                record.parked = true;
                record.waiting = false;
            }
        }
    }

    /// Updates the largest number of quarantined workers without a fault.
    fn update_quarantined(&mut self, now: TimePoint) {
        let healthy = self
            .scheduler
            .quarantined()
            .into_iter()
            .filter(|worker| {
                !self
                    .trace
                    .faults
                    .iter()
                    .any(|fault| fault.worker == *worker && fault.from <= now)
            })
            .count();
        self.record.healthy_quarantined = self.record.healthy_quarantined.max(healthy);
    }
}
