//! The simulation of one attempt of a task on a worker.

use std::collections;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::worker as wire;

use crate::worker::ledger::AttemptOutcome;
use crate::worker::ledger::RecordKey;
use crate::worker::payload;
use crate::worker::payload::FailMode;
use crate::worker::payload::TaskPayload;

/// Time between two measurements of usage, in milliseconds.
const SAMPLE_PERIOD_MS: u64 = 50;
/// Most measurements kept per attempt; older ones are dropped.
const SAMPLES_MAX: usize = 1_000;
/// Converts thousandths to a fraction.
const PERMILLE_PER_ONE: f64 = 1_000.0;
/// The fraction of its work that a task does before it fails by its [`FailMode`].
const FAIL_FRACTION: f64 = 0.5;
/// The fraction of its work that a task does before it runs out of memory.
const OUT_OF_MEMORY_FRACTION: f64 = 0.1;
/// The failure reason of an attempt that needs more memory than it was granted.
const OUT_OF_MEMORY: &str = "out_of_memory";
/// The failure reason of every other failed attempt.
const TASK_ERROR: &str = "error";

/// The measured usage and speed of an attempt at one time.
#[derive(Clone, Copy, Debug)]
struct UsageSample {
    usage: ResourceVector,
    /// Relative to running alone with all processor time that the task can use.
    speed: f64,
    measured_at_ms: u64,
}

/// The progress at which an attempt fails, and why.
#[derive(Clone, Copy, Debug)]
struct FailPoint {
    /// Work done, in milliseconds of running at full speed.
    done_ms: f64,
    reason: &'static str,
}

/// Whether the worker makes attempts fail, independent of their payloads.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerHealth {
    /// Attempts fail only as their payloads say.
    Healthy,
    /// Every new attempt fails at once.
    FailsAll,
}

/// An attempt, its lease and its simulated progress.
#[derive(Debug)]
pub(super) struct SimulatedAttempt {
    pub name: wire::AttemptName,
    pub state: wire::AttemptState,
    pub granted: ResourceVector,
    pub lease_until_ms: u64,
    pub record: RecordKey,
    payload: TaskPayload,
    /// The throttle: the part of the granted processor time that may be used, in thousandths.
    cpu_permille: u32,
    /// Work done, in milliseconds of running at full speed.
    done_ms: f64,
    /// The time up to which the attempt is simulated, in Unix milliseconds.
    advanced_to_ms: u64,
    /// The ID of the latest checkpoint.
    checkpoint: Option<String>,
    /// The work that the latest checkpoint covers, in milliseconds.
    checkpoint_done_ms: u64,
    fail_point: Option<FailPoint>,
    /// Oldest first.
    samples: collections::VecDeque<UsageSample>,
}

impl SimulatedAttempt {
    pub fn new(
        command: &wire::StartCommand,
        record: RecordKey,
        health: WorkerHealth,
        has_failed: bool,
        now_ms: u64,
    ) -> Self {
        let payload = TaskPayload::parse(&command.payload);
        let resumed_ms = command
            .checkpoint
            .as_deref()
            .and_then(|id| payload::checkpoint_done_ms(&command.task, id))
            .unwrap_or(0);
        let fail_point = find_fail_point(&payload, command.resources, health, has_failed);
        Self {
            name: wire::AttemptName {
                task: command.task.clone(),
                attempt: command.attempt,
            },
            state: wire::AttemptState::Running,
            granted: command.resources,
            lease_until_ms: command.lease_until_ms,
            record,
            payload,
            cpu_permille: PERMILLE_PER_ONE as u32,
            done_ms: resumed_ms as f64,
            advanced_to_ms: now_ms,
            checkpoint: command.checkpoint.clone(),
            checkpoint_done_ms: resumed_ms,
            fail_point,
            samples: collections::VecDeque::new(),
        }
    }

    pub fn is_running(&self) -> bool {
        self.state == wire::AttemptState::Running
    }

    /// The processor time that the attempt uses when the worker is not overloaded, in thousandths
    /// of a core: limited by the grant, the throttle and the task itself.
    pub fn wanted_cpu_millis(&self) -> f64 {
        let granted =
            self.granted.cpu_millis as f64 * f64::from(self.cpu_permille) / PERMILLE_PER_ONE;
        granted.min(self.payload.cpu_millis as f64)
    }

    /// The speed relative to running alone, when the worker can give `worker_share`, from 0 to 1,
    /// of the processor time that all its attempts demand.
    pub fn speed(&self, worker_share: f64) -> f64 {
        let alone = self.payload.cpu_millis.max(1) as f64;
        (self.wanted_cpu_millis().max(1.0) * worker_share / alone).min(1.0)
    }

    /// Simulates the attempt up to `now_ms` at `speed`. Returns its outcome and end time, in Unix
    /// milliseconds, when it ends in this time by its work or its lease; else `None`.
    pub fn advance(&mut self, speed: f64, now_ms: u64) -> Option<(AttemptOutcome, u64)> {
        if !self.is_running() {
            return None;
        }
        let work_end_ms = self.work_end_ms(speed);
        let end_ms = work_end_ms
            .min(self.lease_until_ms)
            .max(self.advanced_to_ms);
        let reached_ms = end_ms.min(now_ms);
        self.simulate_until(reached_ms, speed);
        if end_ms > now_ms {
            return None;
        }
        let outcome = if work_end_ms <= self.lease_until_ms {
            self.end_work()
        } else {
            self.state = wire::AttemptState::Stopped;
            AttemptOutcome::Stopped
        };
        Some((outcome, end_ms))
    }

    /// Moves the simulation to `now_ms` without progress, after a pause of the worker.
    pub const fn skip_to(&mut self, now_ms: u64) {
        self.advanced_to_ms = now_ms;
    }

    pub fn take_checkpoint(&mut self) {
        let done_ms = self.done_ms as u64;
        if self.checkpoint.is_none() || done_ms > self.checkpoint_done_ms {
            self.checkpoint_done_ms = done_ms;
            let id = payload::checkpoint_id(&self.name.task, self.name.attempt, done_ms);
            self.checkpoint = Some(id);
        }
    }

    pub const fn throttle(&mut self, cpu_permille: u32) {
        self.cpu_permille = cpu_permille;
    }

    /// The report at `now_ms`, with the latest measurement that is at least `lag_ms` old. Without
    /// one, the usage is zero, the speed 1 and the time of measurement zero.
    pub fn report(&self, lag_ms: u64, now_ms: u64) -> wire::AttemptReport {
        let newest_ms = now_ms.saturating_sub(lag_ms);
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.measured_at_ms <= newest_ms);
        let sample = sample.copied().unwrap_or(UsageSample {
            usage: ResourceVector::ZERO,
            speed: 1.0,
            measured_at_ms: 0,
        });
        let run_ms = self.payload.run_ms.max(1) as f64;
        wire::AttemptReport {
            name: self.name.clone(),
            state: self.state.clone(),
            checkpoint: self.checkpoint.clone(),
            progress: (self.done_ms / run_ms).min(1.0),
            usage: sample.usage,
            speed: sample.speed,
            measured_at_ms: sample.measured_at_ms,
        }
    }

    pub fn brief_report(&self) -> wire::BriefReport {
        wire::BriefReport {
            name: self.name.clone(),
            checkpoint: self.checkpoint.clone(),
        }
    }

    /// When the work ends at `speed` by success or failure, in Unix milliseconds.
    fn work_end_ms(&self, speed: f64) -> u64 {
        let target_ms = match self.fail_point {
            Some(point) => point.done_ms,
            None => self.payload.run_ms as f64,
        };
        let remaining_ms = ((target_ms - self.done_ms) / speed).max(0.0).ceil();
        self.advanced_to_ms.saturating_add(remaining_ms as u64)
    }

    fn simulate_until(&mut self, until_ms: u64, speed: f64) {
        let elapsed_ms = until_ms.saturating_sub(self.advanced_to_ms);
        self.done_ms += elapsed_ms as f64 * speed;
        self.done_ms = self.done_ms.min(self.payload.run_ms as f64);
        self.advanced_to_ms = until_ms.max(self.advanced_to_ms);
        self.write_due_checkpoint();
        self.sample(speed);
    }

    fn write_due_checkpoint(&mut self) {
        let every_ms = self.payload.checkpoint_every_ms;
        if every_ms == 0 {
            return;
        }
        let due_done_ms = self.done_ms as u64 / every_ms * every_ms;
        if due_done_ms > self.checkpoint_done_ms {
            self.checkpoint_done_ms = due_done_ms;
            let id = payload::checkpoint_id(&self.name.task, self.name.attempt, due_done_ms);
            self.checkpoint = Some(id);
        }
    }

    fn sample(&mut self, speed: f64) {
        let due_ms = self
            .samples
            .back()
            .map_or(0, |sample| sample.measured_at_ms + SAMPLE_PERIOD_MS);
        if self.advanced_to_ms < due_ms {
            return;
        }
        if self.samples.len() == SAMPLES_MAX {
            self.samples.pop_front();
        }
        self.samples.push_back(UsageSample {
            usage: ResourceVector {
                cpu_millis: (self.payload.cpu_millis as f64 * speed) as u64,
                memory_mib: self.payload.memory_mib.min(self.granted.memory_mib),
                accelerators: self.granted.accelerators,
            },
            speed,
            measured_at_ms: self.advanced_to_ms,
        });
    }

    fn end_work(&mut self) -> AttemptOutcome {
        match self.fail_point {
            None => {
                self.done_ms = self.payload.run_ms as f64;
                self.state = wire::AttemptState::Finished;
                AttemptOutcome::Finished
            }
            Some(point) => {
                self.state = wire::AttemptState::Failed {
                    reason: point.reason.to_owned(),
                };
                AttemptOutcome::Failed
            }
        }
    }
}

fn find_fail_point(
    payload: &TaskPayload,
    granted: ResourceVector,
    health: WorkerHealth,
    has_failed: bool,
) -> Option<FailPoint> {
    let run_ms = payload.run_ms as f64;
    if health == WorkerHealth::FailsAll {
        return Some(FailPoint {
            done_ms: 0.0,
            reason: TASK_ERROR,
        });
    }
    if payload.memory_mib > granted.memory_mib {
        return Some(FailPoint {
            done_ms: run_ms * OUT_OF_MEMORY_FRACTION,
            reason: OUT_OF_MEMORY,
        });
    }
    let fails = match payload.fail {
        FailMode::Never => false,
        FailMode::Always => true,
        FailMode::Once => !has_failed,
    };
    fails.then_some(FailPoint {
        done_ms: run_ms * FAIL_FRACTION,
        reason: TASK_ERROR,
    })
}
