//! Workers that answer as the trace says.

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
use crate::replay::batch::trace::PairHarm;

/// Thousandths of the granted processor time of an attempt that is not throttled.
const FULL_PERMILLE: u32 = 1_000;
/// The share of a run after which an attempt with too little memory fails.
const OUT_OF_MEMORY_AT: f64 = 0.3;
/// How long a worker that fails everything takes to do so.
const FAULT_FAILS_AFTER: TimeSpan = TimeSpan::from_secs(2);
/// The seed of errors in reported speeds.
const NOISE_SEED: u64 = 77;

/// Something that a worker tells.
#[derive(Clone, Copy, Debug)]
pub enum FleetEvent {
    /// An attempt ended.
    Ended {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// How.
        end: FleetEnd,
    },
    /// A measurement, which arrives late.
    Usage(AttemptUsage),
    /// An attempt took a checkpoint.
    Checkpoint {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FleetEnd {
    /// With success.
    Finished,
    /// With an error.
    Failed(FailureKind),
    /// By an eviction or a cancellation.
    Stopped,
    /// With its worker.
    WorkerGone,
}

#[derive(Clone, Debug)]
struct FleetWorker {
    capacity: ResourceVector,
    attempts: Vec<FleetAttempt>,
    fails_all: bool,
}

#[derive(Clone, Debug)]
struct FleetAttempt {
    task: TaskKey,
    granted: ResourceVector,
    cpu_permille: u32,
    started_at: TimePoint,
    /// Progress starts then.
    works_from: TimePoint,
    done: f64,
    stops_at: Option<TimePoint>,
    speed: f64,
    checkpoint_due: TimePoint,
    failing_since: Option<TimePoint>,
}

/// The workers of a trace.
#[derive(Debug)]
pub struct WorkerFleet<'a> {
    trace: &'a BatchTrace,
    workers: Vec<FleetWorker>,
    /// Seconds of work in the last whole checkpoint, by task.
    saved: Vec<f64>,
    matrix: Vec<PairHarm>,
    next_pair: usize,
    noise: ChaCha8Rng,
    report_due: TimePoint,
    delayed: Vec<AttemptUsage>,
    over_commit: f64,
    use_sum: FleetUse,
}

/// Processor time over all workers and ticks, as shares of what they have.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetUse {
    /// Granted.
    pub granted: f64,
    /// Used.
    pub used: f64,
    /// Turned into progress.
    pub progress: f64,
}

impl<'a> WorkerFleet<'a> {
    /// Idle workers.
    pub fn new(trace: &'a BatchTrace) -> Self {
        let workers = trace
            .workers
            .iter()
            .map(|profile| FleetWorker {
                capacity: profile.capacity,
                attempts: Vec::new(),
                fails_all: false,
            })
            .collect();
        Self {
            trace,
            workers,
            saved: vec![0.0; trace.tasks.len()],
            matrix: Vec::new(),
            next_pair: 0,
            noise: ChaCha8Rng::seed_from_u64(NOISE_SEED),
            report_due: TimePoint::EPOCH,
            delayed: Vec::new(),
            over_commit: 0.0,
            use_sum: FleetUse::default(),
        }
    }

    /// The sum of what was used at each tick.
    pub const fn use_sum(&self) -> FleetUse {
        self.use_sum
    }

    /// The most that any worker was given beyond what it has, as a share of that.
    pub const fn over_commit(&self) -> f64 {
        self.over_commit
    }

    /// Starts an attempt, from the last whole checkpoint.
    pub fn start(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        granted: ResourceVector,
        now: TimePoint,
    ) {
        let settings = &self.trace.settings;
        let saved = self.saved[task.index()];
        let restart = if saved > 0.0 {
            TimeSpan::from_millis(settings.restart_ms)
        } else {
            TimeSpan::ZERO
        };
        self.workers[worker.index()].attempts.push(FleetAttempt {
            task,
            granted,
            cpu_permille: FULL_PERMILLE,
            started_at: now,
            works_from: now + restart,
            done: saved,
            stops_at: None,
            speed: 1.0,
            checkpoint_due: now + TimeSpan::from_millis(settings.checkpoint_every_ms),
            failing_since: None,
        });
        self.count_over_commit(worker);
        self.update_speeds(worker);
    }

    /// Takes a checkpoint of an attempt and stops it, some time later.
    pub fn evict(&mut self, worker: WorkerKey, task: TaskKey, now: TimePoint) {
        let stops_at = now + TimeSpan::from_millis(self.trace.settings.evict_ms);
        if let Some(attempt) = self.attempt_mut(worker, task) {
            attempt.stops_at.get_or_insert(stops_at);
        }
    }

    /// Stops an attempt at once, if it runs.
    pub fn stop(&mut self, worker: WorkerKey, task: TaskKey) {
        let slot = &mut self.workers[worker.index()];
        slot.attempts.retain(|attempt| attempt.task != task);
        self.update_speeds(worker);
    }

    /// Limits an attempt's processor time.
    pub fn throttle(&mut self, worker: WorkerKey, task: TaskKey, cpu_permille: u32) {
        if let Some(attempt) = self.attempt_mut(worker, task) {
            attempt.cpu_permille = cpu_permille;
        }
        self.update_speeds(worker);
    }

    /// Begins or ends a fault; the attempts of a worker that is gone end.
    pub fn set_fault(&mut self, worker: WorkerKey, kind: FaultKind, on: bool) -> Vec<FleetEvent> {
        let slot = &mut self.workers[worker.index()];
        match kind {
            FaultKind::FailsAll => {
                slot.fails_all = on;
                Vec::new()
            }
            FaultKind::Gone => slot
                .attempts
                .drain(..)
                .map(|attempt| FleetEvent::Ended {
                    worker,
                    task: attempt.task,
                    end: FleetEnd::WorkerGone,
                })
                .collect(),
        }
    }

    /// Lets `span` pass until `now`, and returns what the workers tell.
    pub fn advance(&mut self, span: TimeSpan, now: TimePoint) -> Vec<FleetEvent> {
        self.shift_matrix(now);
        let mut events = Vec::new();
        for index in 0..self.workers.len() {
            self.advance_worker(WorkerKey::from_index(index), span, now, &mut events);
        }
        self.count_use();
        self.report(now, &mut events);
        events
    }

    fn count_use(&mut self) {
        let mut sum = FleetUse::default();
        let mut has = 0.0;
        for slot in &self.workers {
            has += slot.capacity.cpu_millis as f64;
            for attempt in &slot.attempts {
                let actual = self.trace.tasks[attempt.task.index()].actual;
                sum.granted += attempt.granted.cpu_millis as f64;
                sum.used += attempt.used(self.trace).cpu_millis as f64;
                sum.progress += attempt.speed * actual.cpu_millis as f64;
            }
        }
        self.use_sum.granted += sum.granted / has;
        self.use_sum.used += sum.used / has;
        self.use_sum.progress += sum.progress / has;
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
        let saved = &mut self.saved;
        slot.attempts.retain_mut(|attempt| {
            if now > attempt.works_from {
                attempt.done += attempt.speed * span.as_secs_f64();
            }
            let task = attempt.task;
            if let Some(end) = attempt.end(trace, fails_all, now) {
                if end == FleetEnd::Stopped {
                    saved[task.index()] = attempt.done;
                }
                events.push(FleetEvent::Ended { worker, task, end });
                return false;
            }
            if now >= attempt.checkpoint_due {
                attempt.checkpoint_due = now + TimeSpan::from_millis(settings.checkpoint_every_ms);
                saved[task.index()] = attempt.done;
                events.push(FleetEvent::Checkpoint { worker, task });
            }
            true
        });
        if slot.attempts.len() != before {
            self.update_speeds(worker);
        }
    }

    /// Measures every attempt when due, and hands on what was measured long enough ago.
    fn report(&mut self, now: TimePoint, events: &mut Vec<FleetEvent>) {
        let settings = &self.trace.settings;
        if now >= self.report_due {
            self.report_due = now + TimeSpan::from_millis(settings.report_every_ms);
            self.measure(now);
        }
        let lag = TimeSpan::from_millis(settings.report_lag_ms);
        let due = self
            .delayed
            .partition_point(|usage| usage.measured_at + lag <= now);
        events.extend(self.delayed.drain(..due).map(FleetEvent::Usage));
    }

    fn measure(&mut self, now: TimePoint) {
        let noise = self.trace.settings.report_noise_permille as f64 / 1_000.0;
        for (index, slot) in self.workers.iter().enumerate() {
            for attempt in &slot.attempts {
                let unit = f64::from(self.noise.next_u32()) / f64::from(u32::MAX);
                let error = 1.0 + noise * (2.0 * unit - 1.0);
                self.delayed.push(AttemptUsage {
                    worker: WorkerKey::from_index(index),
                    task: attempt.task,
                    used: attempt.measured(self.trace),
                    progress: attempt.progress(self.trace),
                    speed: (attempt.speed * error).clamp(0.0, 1.0),
                    measured_at: now,
                });
            }
        }
    }

    fn shift_matrix(&mut self, now: TimePoint) {
        let before = self.next_pair;
        while let Some(pair) = self.trace.pairs.get(self.next_pair)
            && pair.at <= now
        {
            self.matrix
                .retain(|known| known.kind != pair.kind || known.other != pair.other);
            self.matrix.push(*pair);
            self.next_pair += 1;
        }
        if self.next_pair != before {
            for index in 0..self.workers.len() {
                self.update_speeds(WorkerKey::from_index(index));
            }
        }
    }

    /// Each co-resident slows an attempt by a factor that follows from its own use.
    fn update_speeds(&mut self, worker: WorkerKey) {
        let trace = self.trace;
        let matrix = &self.matrix;
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
            let harm: f64 = used
                .iter()
                .filter(|(task, _)| *task != attempt.task)
                .map(|(task, share)| {
                    let other = trace.tasks[task.index()].kind;
                    let pair = matrix
                        .iter()
                        .find(|pair| pair.kind == kind && pair.other == other);
                    pair.map_or(0.0, |pair| pair.harm[band]) * share
                })
                .sum();
            attempt.speed = (-harm).exp() * attempt.cpu_factor(trace);
        }
    }

    fn count_over_commit(&mut self, worker: WorkerKey) {
        let slot = &self.workers[worker.index()];
        let given = slot
            .attempts
            .iter()
            .fold(ResourceVector::ZERO, |sum, attempt| sum + attempt.granted);
        let over = [
            excess(given.cpu_millis, slot.capacity.cpu_millis),
            excess(given.memory_mib, slot.capacity.memory_mib),
            excess(given.accelerators, slot.capacity.accelerators),
        ];
        self.over_commit = over.into_iter().fold(self.over_commit, f64::max);
    }

    fn attempt_mut(&mut self, worker: WorkerKey, task: TaskKey) -> Option<&mut FleetAttempt> {
        self.workers[worker.index()]
            .attempts
            .iter_mut()
            .find(|attempt| attempt.task == task)
    }
}

impl FleetAttempt {
    fn end(&mut self, trace: &BatchTrace, fails_all: bool, now: TimePoint) -> Option<FleetEnd> {
        let task = &trace.tasks[self.task.index()];
        let run_secs = task.actual_run.as_secs_f64();
        if fails_all {
            let since = *self.failing_since.get_or_insert(now);
            return (now.since(since) >= FAULT_FAILS_AFTER)
                .then_some(FleetEnd::Failed(FailureKind::Error));
        }
        self.failing_since = None;
        let failed = task
            .fails_after
            .is_some_and(|span| now.since(self.started_at) >= span);
        if failed {
            return Some(FleetEnd::Failed(FailureKind::Error));
        }
        if task.actual.memory_mib > self.granted.memory_mib
            && self.done >= run_secs * OUT_OF_MEMORY_AT
        {
            return Some(FleetEnd::Failed(FailureKind::OutOfMemory));
        }
        if self.done >= run_secs {
            return Some(FleetEnd::Finished);
        }
        let stops = self.stops_at.is_some_and(|at| at <= now);
        stops.then_some(FleetEnd::Stopped)
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

    /// Memory rises from half of its peak until the point at which too little would show.
    fn measured(&self, trace: &BatchTrace) -> ResourceVector {
        let used = self.used(trace);
        let risen = (self.progress(trace) / OUT_OF_MEMORY_AT).min(1.0);
        ResourceVector {
            memory_mib: (used.memory_mib as f64 * (1.0 + risen) / 2.0) as u64,
            ..used
        }
    }

    fn progress(&self, trace: &BatchTrace) -> f64 {
        let run = trace.tasks[self.task.index()].actual_run;
        (self.done / run.as_secs_f64().max(1.0)).min(1.0)
    }

    fn cpu_factor(&self, trace: &BatchTrace) -> f64 {
        let actual = trace.tasks[self.task.index()].actual;
        self.used(trace).cpu_millis as f64 / actual.cpu_millis.max(1) as f64
    }
}

fn excess(given: u64, has: u64) -> f64 {
    given.saturating_sub(has) as f64 / has.max(1) as f64
}
