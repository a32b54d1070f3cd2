//! Simulates the workers of a trace: attempts, reports, checkpoints and faults.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sapphirewalk_core::batch_policy::AttemptUsage;
use sapphirewalk_core::interference::LoadBand;
use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::task_failure::FailureKind;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::batch::trace::BatchTrace;
use crate::replay::batch::trace::FaultKind;
use crate::replay::batch::trace::PairInterference;

/// Processor limit of an attempt without a throttle, in thousandths of what it was granted.
const FULL_PERMILLE: u32 = 1_000;
/// Fraction of the run time at which memory use peaks and an attempt with too little fails.
const OUT_OF_MEMORY_FRACTION: f64 = 0.3;
/// How long an attempt runs on a worker with [`FaultKind::FailsAll`] until it fails.
const FAULTY_RUN_TIME: TimeSpan = TimeSpan::from_secs(2);
/// Seed of the random errors in reported speeds.
const NOISE_SEED: u64 = 77;

/// A report of a simulated worker to the scheduler.
#[derive(Clone, Copy, Debug)]
pub enum FleetEvent {
    /// An attempt ended.
    Ended {
        /// The worker that ran the attempt.
        worker: WorkerKey,
        /// The task that the attempt belongs to.
        task: TaskKey,
        /// The cause of the end.
        end: SimulatedEnd,
    },
    /// A measurement of a running attempt, delayed by `report_lag_ms`.
    Usage(AttemptUsage),
    /// An attempt took a periodic checkpoint.
    Checkpoint {
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The task that the attempt belongs to.
        task: TaskKey,
    },
}

/// How a simulated attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SimulatedEnd {
    /// The task is complete.
    Finished,
    /// The task failed or ran out of memory, or its worker fails every attempt.
    Failed(FailureKind),
    /// It was evicted, or its task was cancelled.
    Stopped,
    /// Its worker was lost.
    WorkerGone,
}

#[derive(Clone, Debug)]
struct SimulatedWorker {
    capacity: ResourceVector,
    attempts: Vec<SimulatedAttempt>,
    /// Whether a [`FaultKind::FailsAll`] is active.
    fails_all: bool,
}

#[derive(Clone, Debug)]
struct SimulatedAttempt {
    task: TaskKey,
    granted: ResourceVector,
    cpu_permille: u32,
    started_at: TimePoint,
    /// When progress starts; later than `started_at` after a restart from a checkpoint.
    progress_from: TimePoint,
    /// Work done, in seconds of running alone, including that of earlier attempts.
    work_secs: f64,
    /// When an eviction under way stops the attempt.
    evicted_at: Option<TimePoint>,
    /// Speed relative to running alone, from 0 to 1.
    speed: f64,
    checkpoint_due: TimePoint,
    /// Since when its worker fails every attempt; `None` while the worker has no such fault.
    failing_since: Option<TimePoint>,
}

/// The simulated workers of a trace.
#[derive(Debug)]
pub struct WorkerFleet<'a> {
    trace: &'a BatchTrace,
    /// Indexed by worker.
    workers: Vec<SimulatedWorker>,
    /// Seconds of work in the last complete checkpoint, indexed by task.
    checkpointed_secs: Vec<f64>,
    /// The pairs in effect, at most one for each ordered pair of kinds.
    pair_interferences: Vec<PairInterference>,
    /// Position in the trace of the next pair to take effect.
    next_pair: usize,
    noise: ChaCha8Rng,
    report_due: TimePoint,
    /// Measurements not yet reported, oldest first.
    delayed_reports: Vec<AttemptUsage>,
    peak_over_commit: f64,
    cpu_use_sum: CpuUse,
}

/// Processor time of all workers, as fractions of their capacity.
#[derive(Clone, Copy, Debug, Default)]
pub struct CpuUse {
    /// Granted to running attempts.
    pub granted: f64,
    /// Used by running attempts, within grants and throttles.
    pub used: f64,
    /// Turned into progress; less than `used` by the slowdown from interference.
    pub progress: f64,
}

impl<'a> WorkerFleet<'a> {
    /// Creates the workers of `trace`, all idle and without faults.
    pub fn new(trace: &'a BatchTrace) -> Self {
        let workers = trace
            .workers
            .iter()
            .map(|profile| SimulatedWorker {
                capacity: profile.capacity,
                attempts: Vec::new(),
                fails_all: false,
            })
            .collect();
        Self {
            trace,
            workers,
            checkpointed_secs: vec![0.0; trace.tasks.len()],
            pair_interferences: Vec::new(),
            next_pair: 0,
            noise: ChaCha8Rng::seed_from_u64(NOISE_SEED),
            report_due: TimePoint::EPOCH,
            delayed_reports: Vec::new(),
            peak_over_commit: 0.0,
            cpu_use_sum: CpuUse::default(),
        }
    }

    /// Processor use summed over all ticks so far; divide by their number for the mean.
    pub const fn cpu_use_sum(&self) -> CpuUse {
        self.cpu_use_sum
    }

    /// The highest over-commit of any worker and resource so far, as a fraction of capacity.
    pub const fn peak_over_commit(&self) -> f64 {
        self.peak_over_commit
    }

    /// Starts an attempt, which resumes from the task's last complete checkpoint.
    pub fn start(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        granted: ResourceVector,
        now: TimePoint,
    ) {
        let settings = &self.trace.settings;
        let checkpointed_secs = self.checkpointed_secs[task.index()];
        let restart = if checkpointed_secs > 0.0 {
            TimeSpan::from_millis(settings.restart_ms)
        } else {
            TimeSpan::ZERO
        };
        self.workers[worker.index()]
            .attempts
            .push(SimulatedAttempt {
                task,
                granted,
                cpu_permille: FULL_PERMILLE,
                started_at: now,
                progress_from: now + restart,
                work_secs: checkpointed_secs,
                evicted_at: None,
                speed: 1.0,
                checkpoint_due: now + TimeSpan::from_millis(settings.checkpoint_every_ms),
                failing_since: None,
            });
        self.update_over_commit(worker);
        self.update_speeds(worker);
    }

    /// Begins an eviction: the attempt runs on for `evict_ms`, then takes a checkpoint and stops.
    ///
    /// Has no effect if the attempt does not run or is being evicted already.
    pub fn evict(&mut self, worker: WorkerKey, task: TaskKey, now: TimePoint) {
        let evicted_at = now + TimeSpan::from_millis(self.trace.settings.evict_ms);
        if let Some(attempt) = self.attempt_mut(worker, task) {
            attempt.evicted_at.get_or_insert(evicted_at);
        }
    }

    /// Stops an attempt at once without a checkpoint, if it runs; sends no event.
    pub fn stop(&mut self, worker: WorkerKey, task: TaskKey) {
        let slot = &mut self.workers[worker.index()];
        slot.attempts.retain(|attempt| attempt.task != task);
        self.update_speeds(worker);
    }

    /// Limits an attempt's processor time to a part of what it was granted, in thousandths.
    pub fn throttle(&mut self, worker: WorkerKey, task: TaskKey, cpu_permille: u32) {
        if let Some(attempt) = self.attempt_mut(worker, task) {
            attempt.cpu_permille = cpu_permille;
        }
        self.update_speeds(worker);
    }

    /// Begins or ends a fault of a worker.
    ///
    /// [`FaultKind::Gone`] ends the worker's attempts; the events returned report them.
    pub fn set_fault(
        &mut self,
        worker: WorkerKey,
        kind: FaultKind,
        is_active: bool,
    ) -> Vec<FleetEvent> {
        let slot = &mut self.workers[worker.index()];
        match kind {
            FaultKind::FailsAll => {
                slot.fails_all = is_active;
                Vec::new()
            }
            FaultKind::Gone => slot
                .attempts
                .drain(..)
                .map(|attempt| FleetEvent::Ended {
                    worker,
                    task: attempt.task,
                    end: SimulatedEnd::WorkerGone,
                })
                .collect(),
        }
    }

    /// Simulates the `span` up to `now` and returns the workers' events.
    pub fn advance(&mut self, span: TimeSpan, now: TimePoint) -> Vec<FleetEvent> {
        self.apply_pair_interferences(now);
        let mut events = Vec::new();
        for index in 0..self.workers.len() {
            self.advance_worker(WorkerKey::from_index(index), span, now, &mut events);
        }
        self.sum_cpu_use();
        self.report(now, &mut events);
        events
    }

    fn sum_cpu_use(&mut self) {
        let mut sum = CpuUse::default();
        let mut capacity = 0.0;
        for slot in &self.workers {
            capacity += slot.capacity.cpu_millis as f64;
            for attempt in &slot.attempts {
                let actual = self.trace.tasks[attempt.task.index()].actual;
                sum.granted += attempt.granted.cpu_millis as f64;
                sum.used += attempt.used(self.trace).cpu_millis as f64;
                sum.progress += attempt.speed * actual.cpu_millis as f64;
            }
        }
        self.cpu_use_sum.granted += sum.granted / capacity;
        self.cpu_use_sum.used += sum.used / capacity;
        self.cpu_use_sum.progress += sum.progress / capacity;
    }

    fn advance_worker(
        &mut self,
        worker: WorkerKey,
        span: TimeSpan,
        now: TimePoint,
        events: &mut Vec<FleetEvent>,
    ) {
        let trace = self.trace;
        let settings = &trace.settings;
        let slot = &mut self.workers[worker.index()];
        let fails_all = slot.fails_all;
        let before = slot.attempts.len();
        let checkpointed_secs = &mut self.checkpointed_secs;
        slot.attempts.retain_mut(|attempt| {
            if now > attempt.progress_from {
                attempt.work_secs += attempt.speed * span.as_secs_f64();
            }
            let task = attempt.task;
            if let Some(end) = attempt.end(trace, fails_all, now) {
                if end == SimulatedEnd::Stopped {
                    checkpointed_secs[task.index()] = attempt.work_secs;
                }
                events.push(FleetEvent::Ended { worker, task, end });
                return false;
            }
            if now >= attempt.checkpoint_due {
                attempt.checkpoint_due = now + TimeSpan::from_millis(settings.checkpoint_every_ms);
                checkpointed_secs[task.index()] = attempt.work_secs;
                events.push(FleetEvent::Checkpoint { worker, task });
            }
            true
        });
        if slot.attempts.len() != before {
            self.update_speeds(worker);
        }
    }

    /// Measures every attempt when due, and adds measurements to `events` once they are old enough.
    fn report(&mut self, now: TimePoint, events: &mut Vec<FleetEvent>) {
        let settings = &self.trace.settings;
        if now >= self.report_due {
            self.report_due = now + TimeSpan::from_millis(settings.report_every_ms);
            self.measure(now);
        }
        let lag = TimeSpan::from_millis(settings.report_lag_ms);
        let due = self
            .delayed_reports
            .partition_point(|usage| usage.measured_at + lag <= now);
        events.extend(self.delayed_reports.drain(..due).map(FleetEvent::Usage));
    }

    fn measure(&mut self, now: TimePoint) {
        let noise = self.trace.settings.report_noise_permille as f64 / 1_000.0;
        for (index, slot) in self.workers.iter().enumerate() {
            for attempt in &slot.attempts {
                let uniform = f64::from(self.noise.next_u32()) / f64::from(u32::MAX);
                let error_factor = 1.0 + noise * (2.0 * uniform - 1.0);
                self.delayed_reports.push(AttemptUsage {
                    worker: WorkerKey::from_index(index),
                    task: attempt.task,
                    used: attempt.reported_use(self.trace),
                    progress: attempt.progress(self.trace),
                    speed: (attempt.speed * error_factor).clamp(0.0, 1.0),
                    measured_at: now,
                });
            }
        }
    }

    fn apply_pair_interferences(&mut self, now: TimePoint) {
        let before = self.next_pair;
        while let Some(pair) = self.trace.pairs.get(self.next_pair)
            && pair.at <= now
        {
            self.pair_interferences
                .retain(|old| old.kind != pair.kind || old.other != pair.other);
            self.pair_interferences.push(*pair);
            self.next_pair += 1;
        }
        if self.next_pair != before {
            for index in 0..self.workers.len() {
                self.update_speeds(WorkerKey::from_index(index));
            }
        }
    }

    /// Sets the speed of each attempt on a worker.
    ///
    /// Every other attempt slows it by `exp(-coefficient * share)`, where `share` is the other's
    /// part of the worker's processor time; throttles and small grants slow it in proportion.
    fn update_speeds(&mut self, worker: WorkerKey) {
        let trace = self.trace;
        let pair_interferences = &self.pair_interferences;
        let slot = &mut self.workers[worker.index()];
        let capacity = slot.capacity.cpu_millis.max(1) as f64;
        let used: Vec<(TaskKey, f64)> = slot
            .attempts
            .iter()
            .map(|attempt| {
                let share = attempt.used(trace).cpu_millis as f64 / capacity;
                (attempt.task, share)
            })
            .collect();
        let load: f64 = used.iter().map(|(_, share)| share).sum();
        let band = LoadBand::of(load) as usize;
        for attempt in &mut slot.attempts {
            let kind = trace.tasks[attempt.task.index()].kind;
            let total_interference: f64 = used
                .iter()
                .filter(|(task, _)| *task != attempt.task)
                .map(|(task, share)| {
                    let other = trace.tasks[task.index()].kind;
                    let pair = pair_interferences
                        .iter()
                        .find(|pair| pair.kind == kind && pair.other == other);
                    pair.map_or(0.0, |pair| pair.coefficients[band]) * share
                })
                .sum();
            attempt.speed = (-total_interference).exp() * attempt.cpu_factor(trace);
        }
    }

    fn update_over_commit(&mut self, worker: WorkerKey) {
        let slot = &self.workers[worker.index()];
        let granted = slot
            .attempts
            .iter()
            .fold(ResourceVector::ZERO, |sum, attempt| sum + attempt.granted);
        let excesses = [
            excess(granted.cpu_millis, slot.capacity.cpu_millis),
            excess(granted.memory_mib, slot.capacity.memory_mib),
            excess(granted.accelerators, slot.capacity.accelerators),
        ];
        self.peak_over_commit = excesses.into_iter().fold(self.peak_over_commit, f64::max);
    }

    fn attempt_mut(&mut self, worker: WorkerKey, task: TaskKey) -> Option<&mut SimulatedAttempt> {
        self.workers[worker.index()]
            .attempts
            .iter_mut()
            .find(|attempt| attempt.task == task)
    }
}

impl SimulatedAttempt {
    /// Returns how the attempt ends at `now`, or `None` if it runs on.
    fn end(&mut self, trace: &BatchTrace, fails_all: bool, now: TimePoint) -> Option<SimulatedEnd> {
        let task = &trace.tasks[self.task.index()];
        let run_secs = task.actual_run.as_secs_f64();
        if fails_all {
            let since = *self.failing_since.get_or_insert(now);
            return (now.since(since) >= FAULTY_RUN_TIME)
                .then_some(SimulatedEnd::Failed(FailureKind::Error));
        }
        self.failing_since = None;
        let failed = task
            .fails_after
            .is_some_and(|span| now.since(self.started_at) >= span);
        if failed {
            return Some(SimulatedEnd::Failed(FailureKind::Error));
        }
        if task.actual.memory_mib > self.granted.memory_mib
            && self.work_secs >= run_secs * OUT_OF_MEMORY_FRACTION
        {
            return Some(SimulatedEnd::Failed(FailureKind::OutOfMemory));
        }
        if self.work_secs >= run_secs {
            return Some(SimulatedEnd::Finished);
        }
        let is_evicted = self.evicted_at.is_some_and(|at| at <= now);
        is_evicted.then_some(SimulatedEnd::Stopped)
    }

    fn used(&self, trace: &BatchTrace) -> ResourceVector {
        let actual = trace.tasks[self.task.index()].actual;
        let limit =
            self.granted.cpu_millis * u64::from(self.cpu_permille) / u64::from(FULL_PERMILLE);
        ResourceVector {
            cpu_millis: actual.cpu_millis.min(limit),
            memory_mib: actual.memory_mib.min(self.granted.memory_mib),
            accelerators: actual.accelerators,
        }
    }

    /// The resource use that the worker reports.
    ///
    /// Memory starts at half of its peak and reaches it at [`OUT_OF_MEMORY_FRACTION`] of the run.
    fn reported_use(&self, trace: &BatchTrace) -> ResourceVector {
        let used = self.used(trace);
        let memory_rise = (self.progress(trace) / OUT_OF_MEMORY_FRACTION).min(1.0);
        ResourceVector {
            memory_mib: (used.memory_mib as f64 * (1.0 + memory_rise) / 2.0) as u64,
            ..used
        }
    }

    /// The completed part of the task, from 0 to 1.
    fn progress(&self, trace: &BatchTrace) -> f64 {
        let run = trace.tasks[self.task.index()].actual_run;
        (self.work_secs / run.as_secs_f64().max(1.0)).min(1.0)
    }

    /// Processor time used, as a fraction of what the task would use without limits.
    fn cpu_factor(&self, trace: &BatchTrace) -> f64 {
        let actual = trace.tasks[self.task.index()].actual;
        self.used(trace).cpu_millis as f64 / actual.cpu_millis.max(1) as f64
    }
}

fn excess(granted: u64, capacity: u64) -> f64 {
    granted.saturating_sub(capacity) as f64 / capacity.max(1) as f64
}
