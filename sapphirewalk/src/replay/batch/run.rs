//! Drives a scheduler and the workers of a trace with the trace's time.

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

/// How often the scheduler decides.
const TICK: TimeSpan = TimeSpan::from_millis(250);

/// What became of a task.
#[derive(Clone, Copy, Debug, Default)]
pub struct TaskRecord {
    /// Whether it was submitted before the end.
    pub submitted: bool,
    /// When its first attempt started.
    pub started_at: Option<TimePoint>,
    /// When it finished.
    pub finished_at: Option<TimePoint>,
    /// How often it finished.
    pub finishes: u32,
    /// Whether it was given up.
    pub parked: bool,
    /// Whether it was cancelled before it finished.
    pub cancelled: bool,
    /// How often it started after it was cancelled.
    pub starts_after_cancel: u32,
    /// The attempt that runs.
    pub running_on: Option<WorkerKey>,
    /// Whether it waits.
    pub waiting: bool,
    /// How often it started.
    pub attempts: u32,
    /// How often it was evicted.
    pub evictions: u32,
    /// How often it failed.
    pub failures: u32,
}

/// What became of all tasks.
#[derive(Clone, Debug, Default)]
pub struct RunRecord {
    /// By task.
    pub tasks: Vec<TaskRecord>,
    /// The most that a worker was given beyond what it has, as a share of that.
    pub peak_over_commit: f64,
    /// The most workers at once in quarantine that had no fault.
    pub healthy_quarantined: usize,
    /// How often an attempt was throttled.
    pub throttles: u32,
    /// Mean use of the workers' processor time.
    pub mean_cpu_use: CpuUse,
}

struct RunState<'a> {
    trace: &'a BatchTrace,
    scheduler: TaskScheduler<'a>,
    fleet: WorkerFleet<'a>,
    record: RunRecord,
    next_task: usize,
    next_cancel: usize,
}

/// Replays a trace against a scheduler.
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
