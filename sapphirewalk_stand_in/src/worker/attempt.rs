//! One simulated attempt of a task on a worker.

use std::collections;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::worker as wire;

use crate::worker::ledger::RecordKey;
use crate::worker::ledger::RunOutcome;
use crate::worker::payload;
use crate::worker::payload::FailMode;
use crate::worker::payload::TaskPayload;

/// Time between two measurements of usage, in milliseconds.
const SAMPLE_PERIOD_MS: u64 = 50;
/// Most measurements kept per attempt.
const SAMPLES_MAX: usize = 1_000;
/// Thousandths in a whole.
const PERMILLE: f64 = 1_000.0;
/// The share of its work that a task of a failing kind does before it fails.
const FAIL_SHARE: f64 = 0.5;
/// The share of its work that a task does before it runs out of memory.
const OUT_OF_MEMORY_SHARE: f64 = 0.1;
/// Reason of an attempt that needed more memory than it was given.
const OUT_OF_MEMORY: &str = "out_of_memory";
/// Reason of an attempt that failed of its own.
const TASK_ERROR: &str = "error";

/// A measurement of an attempt.
#[derive(Clone, Copy, Debug)]
struct UsageSample {
    usage: ResourceVector,
    speed: f64,
    measured_at_ms: u64,
}

/// Where an attempt fails.
#[derive(Clone, Copy, Debug)]
struct FailPoint {
    done_ms: f64,
    reason: &'static str,
}

/// What makes an attempt fail, besides its payload.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum WorkerHealth {
    /// Attempts run as their payloads say.
    Healthy,
    /// Every attempt fails at once.
    FailsEverything,
}

/// An attempt and its simulated progress.
#[derive(Debug)]
pub(super) struct SimulatedAttempt {
    pub name: wire::AttemptName,
    pub state: wire::AttemptState,
    pub granted: ResourceVector,
    pub lease_until_ms: u64,
    pub record: RecordKey,
    payload: TaskPayload,
    cpu_permille: u32,
    done_ms: f64,
    advanced_to_ms: u64,
    checkpoint: Option<String>,
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
            cpu_permille: PERMILLE as u32,
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

    /// The processor time that the attempt uses if the worker has it, in thousandths of a core.
    pub fn wanted_cpu_millis(&self) -> f64 {
        let granted = self.granted.cpu_millis as f64 * f64::from(self.cpu_permille) / PERMILLE;
        granted.min(self.payload.cpu_millis as f64)
    }

    /// The speed relative to running alone, when the worker gives `worker_share` of the
    /// processor time wanted.
    pub fn speed(&self, worker_share: f64) -> f64 {
        let alone = self.payload.cpu_millis.max(1) as f64;
        (self.wanted_cpu_millis().max(1.0) * worker_share / alone).min(1.0)
    }

    /// Runs the attempt up to `now_ms` at `speed`. Returns how it ended and when, if it did.
    pub fn advance(&mut self, speed: f64, now_ms: u64) -> Option<(RunOutcome, u64)> {
        if !self.is_running() {
            return None;
        }
        let work_end_ms = self.work_end_ms(speed);
        let end_ms = work_end_ms
            .min(self.lease_until_ms)
            .max(self.advanced_to_ms);
        let reached_ms = end_ms.min(now_ms);
        self.work_until(reached_ms, speed);
        if end_ms > now_ms {
            return None;
        }
        let outcome = if work_end_ms <= self.lease_until_ms {
            self.end_work()
        } else {
            self.state = wire::AttemptState::Stopped;
            RunOutcome::Stopped
        };
        Some((outcome, end_ms))
    }

    /// Leaves out the time up to `now_ms`, in which the worker was paused.
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

    pub fn report(&self, lag_ms: u64, now_ms: u64) -> wire::AttemptReport {
        let horizon_ms = now_ms.saturating_sub(lag_ms);
        let sample = self
            .samples
            .iter()
            .rev()
            .find(|sample| sample.measured_at_ms <= horizon_ms);
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

    /// When the work ends at `speed`, by success or failure.
    fn work_end_ms(&self, speed: f64) -> u64 {
        let target_ms = match self.fail_point {
            Some(point) => point.done_ms,
            None => self.payload.run_ms as f64,
        };
        let left_ms = ((target_ms - self.done_ms) / speed).max(0.0).ceil();
        self.advanced_to_ms.saturating_add(left_ms as u64)
    }

    fn work_until(&mut self, until_ms: u64, speed: f64) {
        let elapsed_ms = until_ms.saturating_sub(self.advanced_to_ms);
        self.done_ms += elapsed_ms as f64 * speed;
        self.done_ms = self.done_ms.min(self.payload.run_ms as f64);
        self.advanced_to_ms = until_ms.max(self.advanced_to_ms);
        self.checkpoint_periodically();
        self.sample(speed);
    }

    fn checkpoint_periodically(&mut self) {
        let every_ms = self.payload.checkpoint_every_ms;
        if every_ms == 0 {
            return;
        }
        let whole_ms = self.done_ms as u64 / every_ms * every_ms;
        if whole_ms > self.checkpoint_done_ms {
            self.checkpoint_done_ms = whole_ms;
            let id = payload::checkpoint_id(&self.name.task, self.name.attempt, whole_ms);
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

    fn end_work(&mut self) -> RunOutcome {
        match self.fail_point {
            None => {
                self.done_ms = self.payload.run_ms as f64;
                self.state = wire::AttemptState::Finished;
                RunOutcome::Finished
            }
            Some(point) => {
                self.state = wire::AttemptState::Failed {
                    reason: point.reason.to_owned(),
                };
                RunOutcome::Failed
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
    if health == WorkerHealth::FailsEverything {
        return Some(FailPoint {
            done_ms: 0.0,
            reason: TASK_ERROR,
        });
    }
    if payload.memory_mib > granted.memory_mib {
        return Some(FailPoint {
            done_ms: run_ms * OUT_OF_MEMORY_SHARE,
            reason: OUT_OF_MEMORY,
        });
    }
    let fails = match payload.fail {
        FailMode::Never => false,
        FailMode::Always => true,
        FailMode::Once => !has_failed,
    };
    fails.then_some(FailPoint {
        done_ms: run_ms * FAIL_SHARE,
        reason: TASK_ERROR,
    })
}
