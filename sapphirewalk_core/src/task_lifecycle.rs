//! The state machine of a task: its row, the conditional writes to it, and the attempt on a worker.
//!
//! A start command is sent only after the write that records the attempt is known to have taken
//! effect. An attempt counts as over only when its worker reports its end, the worker is gone for
//! good, or the worker's lease ended long enough ago. One conditional write records the next
//! attempt together with the checkpoint that it resumes from. Every write also has the version of
//! the shard's row as a condition, which the scheduler process adds.

use crate::key::WorkerKey;
use crate::placement::ParkReason;
use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Attempts in a row that end with their worker, after which a task is parked: it may be what ends
/// the workers.
const LOSS_LIMIT: u32 = 5;
/// Time after which the end of an attempt's worker no longer counts towards [`LOSS_LIMIT`].
const LOSS_SPAN: TimeSpan = TimeSpan::from_secs(60);

/// Identifies the write that recorded an attempt; drawn at random. Distinguishes it from a write of
/// the same attempt by another scheduler.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptToken(pub u128);

/// The state of a task in its row.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RecordPhase {
    /// Waits for a worker.
    #[default]
    Pending,
    /// An attempt is recorded and may run.
    Running,
    /// Final: the task is complete.
    Finished,
    /// Final: cancelled by its caller.
    Cancelled,
    /// Final: never started again, since no attempt is expected to succeed.
    Parked,
}

/// The part of a task's row that changes after submission.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskRecord {
    /// The state of the task.
    pub phase: RecordPhase,
    /// The number of the last attempt recorded; 0 before the first.
    pub attempt: u64,
    /// The token of the last attempt.
    pub token: AttemptToken,
    /// The worker of the last attempt; `None` before the first.
    pub worker: Option<WorkerKey>,
    /// The resource limits of the last attempt.
    pub granted: ResourceVector,
    /// The checkpoint that the last attempt resumed from, or that the next one will.
    pub checkpoint: Option<String>,
    /// How often the task was evicted.
    pub evictions: u32,
    /// How often an attempt failed through no action of the scheduler.
    pub failures: u32,
    /// Attempts in a row that ended with their worker soon after their start.
    pub losses: u32,
    /// Whether its caller requested its cancellation; never reset.
    pub cancel_requested: bool,
    /// Why it is parked; `None` in every other phase.
    pub park_reason: Option<ParkReason>,
}

/// A conditional write of a task's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskWrite {
    /// The version that the row must have.
    pub version: u64,
    /// The value to write.
    pub record: TaskRecord,
}

/// The content of a start command.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRequest {
    /// The worker that receives the command.
    pub worker: WorkerKey,
    /// The attempt's number. The worker starts each attempt at most once.
    pub attempt: u64,
    /// The resource limits of the attempt.
    pub granted: ResourceVector,
    /// The checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<String>,
}

/// What the scheduler process does next for a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LifecycleStep {
    /// Nothing until the next event.
    NoAction,
    /// Add the task to the queue of pending tasks.
    Enqueue,
    /// Send a conditional write.
    Write(TaskWrite),
    /// Read the row.
    Read,
    /// Send a start command.
    Start(StartRequest),
    /// Query the worker for its attempts by a lease renewal under the own epoch.
    QueryWorker {
        /// The worker of the last attempt.
        worker: WorkerKey,
        /// The earliest time to send the query; an earlier answer would not be conclusive.
        not_before: TimePoint,
    },
    /// Send a command to take a checkpoint and stop.
    Evict {
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The number of the attempt to evict.
        attempt: u64,
    },
    /// Send a command to stop at once.
    Stop {
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The number of the attempt to stop.
        attempt: u64,
    },
    /// The row is in this final phase. The worker may drop its record of the last attempt from
    /// [`TaskLifecycle::droppable_from`] on.
    Done(RecordPhase),
    /// Another scheduler holds the shard: stop acting for it.
    StepDown,
}

/// The answer to a start command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The attempt runs.
    Started,
    /// The worker has received a command with a higher epoch.
    Fenced,
    /// The worker will not run the attempt: no room, or the command's lease has ended.
    Refused,
    /// The worker received this attempt before; only a report shows its state.
    Duplicate,
    /// No answer came, so the command may still arrive.
    Lost {
        /// The worker refuses the command from then on, since its lease has ended.
        refused_at: TimePoint,
    },
}

/// Whether a task whose attempt failed is started again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureAction {
    /// Make the task pending again.
    Retry,
    /// Park the task.
    Park(ParkReason),
}

/// The state of an attempt in a worker's report under the scheduler's own epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptStatus {
    /// It runs.
    Running {
        /// Its last complete checkpoint; `None` if it took none.
        checkpoint: Option<String>,
    },
    /// It completed the task.
    Finished,
    /// It ended with an error.
    Failed {
        /// Its last complete checkpoint; `None` if it took none.
        checkpoint: Option<String>,
        /// The scheduler's decision on the failure.
        action: FailureAction,
    },
    /// It ended on a stop or evict command, or with its lease.
    Stopped {
        /// Its last complete checkpoint; `None` if it took none.
        checkpoint: Option<String>,
    },
    /// The worker has no record of it.
    Unknown,
}

/// An event that concerns one task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LifecycleEvent {
    /// A worker was chosen for the next attempt.
    Placed {
        /// The worker that is to run the attempt.
        worker: WorkerKey,
        /// The resource limits of the attempt.
        granted: ResourceVector,
        /// A new random token.
        token: AttemptToken,
    },
    /// No attempt is expected to succeed; the task is to be parked before it starts.
    Parked(ParkReason),
    /// The write in flight took effect.
    Committed {
        /// The row's new version.
        version: u64,
    },
    /// The write's answer was lost, or one of its conditions failed.
    Unconfirmed,
    /// The row was read back, with any change that a caller made to it.
    RowRead {
        /// The row's version.
        version: u64,
        /// The row's value.
        record: TaskRecord,
    },
    /// The start command was answered, or its answer was lost.
    StartReplied(StartReply),
    /// A worker reported the state of an attempt.
    Reported {
        /// The worker that sent the report.
        worker: WorkerKey,
        /// The attempt's number; a report of another than the last attempt is ignored.
        attempt: u64,
        /// When the query was sent that the report answers.
        queried_at: TimePoint,
        /// The state of the attempt.
        status: AttemptStatus,
    },
    /// The last attempt cannot run any more: its worker is gone for good, or the worker's lease
    /// ended and the bounds on clock drift and stopping have passed.
    AttemptOver {
        /// The worker of the attempt; an event for another worker is ignored.
        worker: WorkerKey,
        /// Whether the worker is gone for good; it may be unreachable otherwise.
        is_gone: bool,
    },
    /// The caller cancelled the task.
    Cancel,
    /// The attempt is to be evicted.
    Evict,
    /// Some time has passed and no request about the task is open: repeats the request that is due.
    Tick,
}

/// The state of a task in the scheduler that holds its shard.
#[derive(Clone, Debug)]
pub struct TaskLifecycle {
    version: u64,
    record: TaskRecord,
    checkpoint: Option<String>,
    /// As in the row, which it may be ahead of.
    losses: u32,
    /// When the worker first confirmed the last attempt; `None` before.
    running_since: Option<TimePoint>,
    stage: LifecycleStage,
    /// From then on the worker refuses every start command of the last attempt that may still
    /// arrive; `None` while none may.
    refused_at: Option<TimePoint>,
    /// Set from the event or the loaded row; may be ahead of the row.
    cancel_requested: bool,
    evict_requested: bool,
}

#[derive(Clone, Debug)]
enum LifecycleStage {
    /// No attempt runs; a placement may start the next.
    Ready,
    /// A write is in flight, or its answer was lost.
    Writing(TaskWrite),
    /// The attempt is recorded, and its start command is not confirmed yet.
    Starting,
    /// The worker ran the attempt when last queried.
    Running { confirmed_at: TimePoint },
    /// The row records an attempt that the worker has not confirmed. An answer to a query from
    /// before `not_before` does not prove that the attempt never runs.
    Confirming { not_before: TimePoint },
    /// The row is final.
    Ended,
}

impl TaskLifecycle {
    /// Loads a task from its row, after the shard was acquired or when the task was submitted.
    pub fn load(version: u64, record: TaskRecord) -> (Self, LifecycleStep) {
        let mut lifecycle = Self {
            version,
            checkpoint: record.checkpoint.clone(),
            losses: record.losses,
            running_since: None,
            cancel_requested: record.cancel_requested,
            evict_requested: false,
            stage: LifecycleStage::Ready,
            refused_at: None,
            record,
        };
        let step = lifecycle.initial_step();
        (lifecycle, step)
    }

    /// The row's value as last known to have taken effect.
    pub const fn record(&self) -> &TaskRecord {
        &self.record
    }

    /// The version of the row whose value is [`Self::record`].
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The last complete checkpoint reported, which may be later than the row's; `None` if there is
    /// none.
    pub fn checkpoint(&self) -> Option<&str> {
        self.checkpoint.as_deref()
    }

    /// Whether a placement may start the next attempt.
    pub const fn is_ready(&self) -> bool {
        matches!(self.stage, LifecycleStage::Ready)
    }

    /// Whether the task's worker may be running an attempt.
    pub const fn may_run(&self) -> bool {
        matches!(
            self.stage,
            LifecycleStage::Starting
                | LifecycleStage::Running { .. }
                | LifecycleStage::Confirming { .. }
        )
    }

    /// When the worker may be ordered to drop its record of the last attempt. Without the record,
    /// an unanswered start command that arrives before then would run the attempt again.
    pub fn droppable_from(&self) -> TimePoint {
        self.refused_at.unwrap_or(TimePoint::EPOCH)
    }

    /// Handles an event and returns the next step.
    pub fn on_event(&mut self, event: LifecycleEvent, now: TimePoint) -> LifecycleStep {
        match event {
            LifecycleEvent::Placed {
                worker,
                granted,
                token,
            } => self.place(worker, granted, token),
            LifecycleEvent::Parked(reason) => self.park_ready(reason),
            LifecycleEvent::Committed { version } => self.on_committed(version),
            LifecycleEvent::Unconfirmed => self.on_unconfirmed(),
            LifecycleEvent::RowRead { version, record } => self.on_row(version, record),
            LifecycleEvent::StartReplied(reply) => self.on_start_reply(reply, now),
            LifecycleEvent::Reported {
                worker,
                attempt,
                queried_at,
                status,
            } => {
                if self.record.worker != Some(worker) || self.record.attempt != attempt {
                    return LifecycleStep::NoAction;
                }
                self.on_report(queried_at, status, now)
            }
            LifecycleEvent::AttemptOver { worker, is_gone } => {
                self.on_attempt_over(worker, is_gone, now)
            }
            LifecycleEvent::Cancel => self.on_cancel(),
            LifecycleEvent::Evict => self.on_evict(),
            LifecycleEvent::Tick => self.on_tick(),
        }
    }

    /// The step that the phase of the loaded row calls for.
    fn initial_step(&mut self) -> LifecycleStep {
        match self.record.phase {
            RecordPhase::Pending => self.become_ready(),
            RecordPhase::Running => {
                self.stage = LifecycleStage::Confirming {
                    not_before: TimePoint::EPOCH,
                };
                self.repeat_request()
            }
            RecordPhase::Finished | RecordPhase::Cancelled | RecordPhase::Parked => {
                self.stage = LifecycleStage::Ended;
                LifecycleStep::Done(self.record.phase)
            }
        }
    }

    fn place(
        &mut self,
        worker: WorkerKey,
        granted: ResourceVector,
        token: AttemptToken,
    ) -> LifecycleStep {
        if !self.is_ready() || self.cancel_requested {
            return LifecycleStep::NoAction;
        }
        self.write(TaskRecord {
            phase: RecordPhase::Running,
            attempt: self.record.attempt + 1,
            token,
            worker: Some(worker),
            granted,
            checkpoint: self.checkpoint.clone(),
            ..self.record.clone()
        })
    }

    fn park_ready(&mut self, reason: ParkReason) -> LifecycleStep {
        if !self.is_ready() {
            return LifecycleStep::NoAction;
        }
        self.write(self.parked_record(reason))
    }

    fn on_committed(&mut self, version: u64) -> LifecycleStep {
        let LifecycleStage::Writing(write) = &self.stage else {
            return LifecycleStep::NoAction;
        };
        let record = write.record.clone();
        self.apply_write(version, record)
    }

    fn on_unconfirmed(&self) -> LifecycleStep {
        match self.stage {
            LifecycleStage::Writing(_) => LifecycleStep::Read,
            _ => LifecycleStep::NoAction,
        }
    }

    /// Compares a row read back with the write in flight: the write took effect, may still take
    /// effect, or cannot any more.
    fn on_row(&mut self, version: u64, record: TaskRecord) -> LifecycleStep {
        let LifecycleStage::Writing(write) = &self.stage else {
            return self.apply_caller_cancel(version, &record);
        };
        if record == write.record {
            return self.apply_write(version, record);
        }
        if version <= write.version {
            return LifecycleStep::Write(write.clone());
        }
        let (lifecycle, step) = Self::load(version, record);
        *self = lifecycle;
        step
    }

    /// Takes over a caller's request to cancel. Callers change a row in no other way, and the next
    /// write is conditional on their version.
    fn apply_caller_cancel(&mut self, version: u64, record: &TaskRecord) -> LifecycleStep {
        let requested = TaskRecord {
            cancel_requested: true,
            ..self.record.clone()
        };
        if version <= self.version || *record != requested {
            return LifecycleStep::NoAction;
        }
        self.version = version;
        self.record = requested;
        LifecycleStep::NoAction
    }

    /// Applies a write of this scheduler that is known to have taken effect.
    fn apply_write(&mut self, version: u64, record: TaskRecord) -> LifecycleStep {
        self.version = version;
        self.checkpoint.clone_from(&record.checkpoint);
        self.record = record;
        match self.record.phase {
            RecordPhase::Running if self.cancel_requested => {
                // No start command was sent for this attempt, so it never runs.
                self.stage = LifecycleStage::Ready;
                self.write_cancelled()
            }
            RecordPhase::Running => {
                self.evict_requested = false;
                self.refused_at = None;
                self.running_since = None;
                self.stage = LifecycleStage::Starting;
                self.start_step()
            }
            RecordPhase::Pending => self.become_ready(),
            RecordPhase::Finished | RecordPhase::Cancelled | RecordPhase::Parked => {
                self.stage = LifecycleStage::Ended;
                LifecycleStep::Done(self.record.phase)
            }
        }
    }

    fn on_start_reply(&mut self, reply: StartReply, now: TimePoint) -> LifecycleStep {
        if !matches!(self.stage, LifecycleStage::Starting) {
            return LifecycleStep::NoAction;
        }
        match (reply, self.refused_at) {
            (StartReply::Started, _) => {
                self.running_since = Some(now);
                self.stage = LifecycleStage::Running { confirmed_at: now };
                self.repeat_request()
            }
            (StartReply::Fenced, _) => LifecycleStep::StepDown,
            (StartReply::Refused, None) => self.become_ready(),
            (StartReply::Refused, Some(not_before)) => self.await_expiry(not_before),
            (StartReply::Duplicate, previous) => {
                // The worker received this attempt before, so it refuses every further start of it
                // from now on.
                self.refused_at = previous.or(Some(now));
                self.query_worker(now)
            }
            (StartReply::Lost { refused_at }, previous) => {
                self.refused_at = previous.max(Some(refused_at));
                self.query_worker(now)
            }
        }
    }

    /// Queries the worker after the time from which no command can start the attempt any more.
    fn await_expiry(&mut self, not_before: TimePoint) -> LifecycleStep {
        self.stage = LifecycleStage::Confirming { not_before };
        self.query_worker(not_before)
    }

    fn on_report(
        &mut self,
        queried_at: TimePoint,
        status: AttemptStatus,
        now: TimePoint,
    ) -> LifecycleStep {
        if !self.may_run() {
            return LifecycleStep::NoAction;
        }
        if !matches!(
            status,
            AttemptStatus::Running { .. } | AttemptStatus::Unknown
        ) {
            self.losses = 0;
        }
        match status {
            AttemptStatus::Running { checkpoint } => self.confirm_running(checkpoint, now),
            AttemptStatus::Finished => self.write(TaskRecord {
                phase: RecordPhase::Finished,
                ..self.record.clone()
            }),
            AttemptStatus::Failed { checkpoint, action } => self.on_failed(checkpoint, action),
            AttemptStatus::Stopped { checkpoint } => self.on_stopped(checkpoint),
            AttemptStatus::Unknown => self.on_unknown(queried_at),
        }
    }

    fn confirm_running(&mut self, checkpoint: Option<String>, now: TimePoint) -> LifecycleStep {
        if checkpoint.is_some() {
            self.checkpoint = checkpoint;
        }
        self.running_since.get_or_insert(now);
        self.stage = LifecycleStage::Running { confirmed_at: now };
        self.repeat_request()
    }

    fn on_failed(&mut self, checkpoint: Option<String>, action: FailureAction) -> LifecycleStep {
        if self.cancel_requested {
            return self.write_cancelled();
        }
        let record = match action {
            FailureAction::Retry => TaskRecord {
                phase: RecordPhase::Pending,
                checkpoint: checkpoint.or_else(|| self.checkpoint.clone()),
                ..self.record.clone()
            },
            FailureAction::Park(reason) => self.parked_record(reason),
        };
        self.write(TaskRecord {
            failures: self.record.failures + 1,
            ..record
        })
    }

    fn on_stopped(&mut self, checkpoint: Option<String>) -> LifecycleStep {
        if self.cancel_requested {
            return self.write_cancelled();
        }
        let evictions = self.record.evictions + u32::from(self.evict_requested);
        self.write(TaskRecord {
            phase: RecordPhase::Pending,
            checkpoint: checkpoint.or_else(|| self.checkpoint.clone()),
            evictions,
            ..self.record.clone()
        })
    }

    /// Handles a worker without a record of the attempt. This proves that the attempt never runs
    /// only if no start command can still arrive.
    fn on_unknown(&mut self, queried_at: TimePoint) -> LifecycleStep {
        match self.stage {
            LifecycleStage::Starting => self.resend_start(),
            LifecycleStage::Running { confirmed_at } if queried_at > confirmed_at => {
                self.become_ready()
            }
            LifecycleStage::Confirming { not_before } if queried_at >= not_before => {
                self.become_ready()
            }
            LifecycleStage::Confirming { not_before } => self.query_worker(not_before),
            LifecycleStage::Running { .. }
            | LifecycleStage::Ready
            | LifecycleStage::Writing(_)
            | LifecycleStage::Ended => LifecycleStep::NoAction,
        }
    }

    /// Sends the start command again. The worker starts an attempt at most once, so an earlier
    /// command that still arrives does no harm.
    fn resend_start(&mut self) -> LifecycleStep {
        match self.refused_at {
            None => LifecycleStep::NoAction,
            Some(not_before) if self.cancel_requested => self.await_expiry(not_before),
            Some(_) => self.start_step(),
        }
    }

    /// Handles the end of an attempt without a report. A task that has lost too many workers in a
    /// row is parked.
    fn on_attempt_over(
        &mut self,
        worker: WorkerKey,
        is_gone: bool,
        now: TimePoint,
    ) -> LifecycleStep {
        if self.record.worker != Some(worker) || !self.may_run() {
            return LifecycleStep::NoAction;
        }
        let settled = self
            .running_since
            .is_some_and(|since| now.since(since) >= LOSS_SPAN);
        if settled {
            self.losses = 0;
        } else if is_gone {
            self.losses += 1;
        }
        if self.losses >= LOSS_LIMIT && !self.cancel_requested {
            return self.write(self.parked_record(ParkReason::LosesWorkers));
        }
        self.become_ready()
    }

    fn on_cancel(&mut self) -> LifecycleStep {
        self.cancel_requested = true;
        match self.stage {
            LifecycleStage::Ready => self.write_cancelled(),
            LifecycleStage::Ended => LifecycleStep::Done(self.record.phase),
            LifecycleStage::Writing(_) => LifecycleStep::NoAction,
            LifecycleStage::Starting
            | LifecycleStage::Running { .. }
            | LifecycleStage::Confirming { .. } => self.repeat_request(),
        }
    }

    fn on_evict(&mut self) -> LifecycleStep {
        if !matches!(self.stage, LifecycleStage::Running { .. }) {
            return LifecycleStep::NoAction;
        }
        self.evict_requested = true;
        self.repeat_request()
    }

    /// Repeats the request that is due. A start command that was neither answered nor lost was
    /// never sent: it is sent, or the task is cancelled instead.
    fn on_tick(&mut self) -> LifecycleStep {
        match self.stage {
            LifecycleStage::Starting if self.refused_at.is_none() && self.cancel_requested => {
                self.write_cancelled()
            }
            LifecycleStage::Starting if self.refused_at.is_none() => self.start_step(),
            _ => self.repeat_request(),
        }
    }

    /// Repeats the command or query that the stage waits for.
    fn repeat_request(&mut self) -> LifecycleStep {
        let Some(worker) = self.record.worker else {
            return self.repeat_write();
        };
        let attempt = self.record.attempt;
        match self.stage {
            LifecycleStage::Starting if self.refused_at.is_some() => {
                self.query_worker(TimePoint::EPOCH)
            }
            LifecycleStage::Running { .. } if self.cancel_requested => {
                LifecycleStep::Stop { worker, attempt }
            }
            LifecycleStage::Running { .. } if self.evict_requested => {
                LifecycleStep::Evict { worker, attempt }
            }
            LifecycleStage::Confirming { not_before } => self.query_worker(not_before),
            LifecycleStage::Starting | LifecycleStage::Running { .. } => LifecycleStep::NoAction,
            LifecycleStage::Ready | LifecycleStage::Writing(_) | LifecycleStage::Ended => {
                self.repeat_write()
            }
        }
    }

    fn repeat_write(&self) -> LifecycleStep {
        match self.stage {
            LifecycleStage::Writing(_) => LifecycleStep::Read,
            _ => LifecycleStep::NoAction,
        }
    }

    fn become_ready(&mut self) -> LifecycleStep {
        self.stage = LifecycleStage::Ready;
        self.evict_requested = false;
        if self.cancel_requested {
            self.write_cancelled()
        } else {
            LifecycleStep::Enqueue
        }
    }

    fn start_step(&self) -> LifecycleStep {
        match self.record.worker {
            Some(worker) => LifecycleStep::Start(StartRequest {
                worker,
                attempt: self.record.attempt,
                granted: self.record.granted,
                checkpoint: self.record.checkpoint.clone(),
            }),
            None => LifecycleStep::NoAction,
        }
    }

    fn query_worker(&self, not_before: TimePoint) -> LifecycleStep {
        match self.record.worker {
            Some(worker) => LifecycleStep::QueryWorker { worker, not_before },
            None => LifecycleStep::NoAction,
        }
    }

    fn write_cancelled(&mut self) -> LifecycleStep {
        self.write(TaskRecord {
            phase: RecordPhase::Cancelled,
            cancel_requested: true,
            ..self.record.clone()
        })
    }

    fn parked_record(&self, reason: ParkReason) -> TaskRecord {
        TaskRecord {
            phase: RecordPhase::Parked,
            park_reason: Some(reason),
            ..self.record.clone()
        }
    }

    fn write(&mut self, record: TaskRecord) -> LifecycleStep {
        let record = TaskRecord {
            losses: self.losses,
            ..record
        };
        let write = TaskWrite {
            version: self.version,
            record,
        };
        self.stage = LifecycleStage::Writing(write.clone());
        LifecycleStep::Write(write)
    }
}
