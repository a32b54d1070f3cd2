//! The life of a task: its row, the writes that change it, and the attempt on a worker.
//!
//! A start command is sent only after the write that records the attempt is known to have taken
//! effect. An attempt counts as over only when its worker said so, the worker is gone for good, or
//! the worker's lease ended long enough ago. The next attempt and the checkpoint that it resumes
//! from are one conditional write. Every write also has the shard row's version as a condition,
//! which the caller adds.

use crate::key::WorkerKey;
use crate::placement::ParkReason;
use crate::resource::ResourceVector;
use crate::time::TimePoint;

/// Identifies the write that started an attempt; drawn at random.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptToken(pub u128);

/// Where a task is in its life, as its row says.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TaskPhase {
    /// Waits for a worker.
    #[default]
    Pending,
    /// An attempt was recorded.
    Running,
    /// Ended with success.
    Finished,
    /// Cancelled by its caller.
    Cancelled,
    /// Given up.
    Parked,
}

/// The part of a task's row that its life changes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TaskRecord {
    /// Where the task is in its life.
    pub phase: TaskPhase,
    /// The last attempt recorded; zero before the first.
    pub attempt: u64,
    /// The token of the last attempt.
    pub token: AttemptToken,
    /// The worker of the last attempt.
    pub worker: Option<WorkerKey>,
    /// What the last attempt may use.
    pub granted: ResourceVector,
    /// The checkpoint that the last attempt resumed from, or that the next one will.
    pub checkpoint: Option<String>,
    /// How often the task was evicted.
    pub evictions: u32,
    /// How often the task failed of its own.
    pub failures: u32,
    /// Whether its caller asked to cancel it.
    pub cancel_requested: bool,
    /// Why it was given up.
    pub park_reason: Option<ParkReason>,
}

/// A conditional write of a task's row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TaskWrite {
    /// The version that the row must have.
    pub version: u64,
    /// The new value.
    pub record: TaskRecord,
}

/// An attempt to start on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartRequest {
    /// The worker.
    pub worker: WorkerKey,
    /// The attempt, which the worker takes once.
    pub attempt: u64,
    /// What it may use.
    pub granted: ResourceVector,
    /// The checkpoint to resume from.
    pub checkpoint: Option<String>,
}

/// What to do next about a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LifecycleStep {
    /// Nothing until something happens.
    NoAction,
    /// Puts the task in the queue of those that want a worker.
    Enqueue,
    /// Sends a conditional write.
    Write(TaskWrite),
    /// Reads the row.
    Read,
    /// Sends a start command.
    Start(StartRequest),
    /// Asks the worker what it runs, by a renewal under the own epoch, not before a time.
    QueryWorker {
        /// The worker.
        worker: WorkerKey,
        /// When the question proves something.
        not_before: TimePoint,
    },
    /// Sends a command to take a checkpoint and stop.
    Evict {
        /// The worker.
        worker: WorkerKey,
        /// The attempt.
        attempt: u64,
    },
    /// Sends a command to stop at once.
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// The attempt.
        attempt: u64,
    },
    /// The task ended as its row says; the worker may forget its last attempt.
    Done(TaskPhase),
    /// Another scheduler has the shard.
    StepDown,
}

/// The answer to a start command.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartReply {
    /// The attempt runs.
    Started,
    /// The worker has seen a higher epoch.
    Fenced,
    /// The worker will not run the attempt: no room, or the command's lease ended.
    Refused,
    /// The worker knows the attempt already; a report says what became of it.
    Duplicate,
    /// No answer came.
    Lost {
        /// The worker refuses the command from then on.
        refused_at: TimePoint,
    },
}

/// What to do about a task that failed of its own.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailureAction {
    /// Try again.
    Retry,
    /// Give it up.
    Park(ParkReason),
}

/// What a worker says of an attempt, under the scheduler's own epoch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptStatus {
    /// It runs.
    Running {
        /// Its last whole checkpoint.
        checkpoint: Option<String>,
    },
    /// It ended with success.
    Finished,
    /// It ended with an error.
    Failed {
        /// Its last whole checkpoint.
        checkpoint: Option<String>,
        /// What to do about it.
        action: FailureAction,
    },
    /// It was stopped.
    Stopped {
        /// Its last whole checkpoint.
        checkpoint: Option<String>,
    },
    /// The worker does not know it.
    Unknown,
}

/// Something that happened to a task.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LifecycleEvent {
    /// A worker was chosen.
    Placed {
        /// The worker.
        worker: WorkerKey,
        /// What the attempt may use.
        granted: ResourceVector,
        /// A fresh token.
        token: AttemptToken,
    },
    /// The task was given up before it started.
    Parked(ParkReason),
    /// The write in flight took effect with this version.
    Committed {
        /// The row's new version.
        version: u64,
    },
    /// The write's answer was lost, or it failed a condition.
    Unconfirmed,
    /// The row as read.
    RowRead {
        /// The row's version.
        version: u64,
        /// The row's value.
        record: TaskRecord,
    },
    /// The start command was answered or not.
    StartReplied(StartReply),
    /// A worker reported.
    Reported {
        /// The worker.
        worker: WorkerKey,
        /// The attempt.
        attempt: u64,
        /// When the question was sent.
        queried_at: TimePoint,
        /// What it said.
        status: AttemptStatus,
    },
    /// The attempt is over for sure: its worker is gone for good, or the worker's lease ended
    /// and the bounds on drift and stopping have passed.
    AttemptOver {
        /// The worker.
        worker: WorkerKey,
    },
    /// The caller cancelled the task.
    Cancel,
    /// The attempt is to make room.
    Evict,
    /// Some time has passed and no request about the task is open: repeats what is due.
    Tick,
}

/// A task in the hands of the shard's holder.
#[derive(Clone, Debug)]
pub struct TaskLifecycle {
    version: u64,
    record: TaskRecord,
    /// The last whole checkpoint known, which may be later than the row's.
    checkpoint: Option<String>,
    stage: LifecycleStage,
    /// From then on the worker refuses every unanswered start command of the last attempt.
    refused_at: Option<TimePoint>,
    cancel: bool,
    evict: bool,
}

#[derive(Clone, Debug)]
enum LifecycleStage {
    /// No attempt runs; a placement may start the next.
    Ready,
    /// A write is in flight, or its answer was lost.
    Writing(TaskWrite),
    /// The attempt's write took effect, the start command is not answered yet.
    Starting,
    /// The worker ran the attempt when last asked.
    Running { confirmed_at: TimePoint },
    /// The row says running; the worker has not confirmed it.
    Confirming { not_before: TimePoint },
    /// The row is final.
    Ended,
}

impl TaskLifecycle {
    /// A task as its row was read, after the shard was taken or when it was submitted.
    pub fn load(version: u64, record: TaskRecord) -> (Self, LifecycleStep) {
        let mut life = Self {
            version,
            checkpoint: record.checkpoint.clone(),
            cancel: record.cancel_requested,
            evict: false,
            stage: LifecycleStage::Ready,
            refused_at: None,
            record,
        };
        let step = life.resume();
        (life, step)
    }

    /// The row as last known to have taken effect.
    pub const fn record(&self) -> &TaskRecord {
        &self.record
    }

    /// The row's version.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The last whole checkpoint known, which may be later than the row's.
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

    /// When the worker may be told to forget the last attempt: before, an unanswered start
    /// command could run it again.
    pub fn forget_from(&self) -> TimePoint {
        self.refused_at.unwrap_or(TimePoint::EPOCH)
    }

    /// Takes in an event and says what to do next.
    pub fn on_event(&mut self, event: LifecycleEvent, now: TimePoint) -> LifecycleStep {
        match event {
            LifecycleEvent::Placed {
                worker,
                granted,
                token,
            } => self.place(worker, granted, token),
            LifecycleEvent::Parked(reason) => self.park_ready(reason),
            LifecycleEvent::Committed { version } => self.on_committed(version),
            LifecycleEvent::Unconfirmed => self.on_unsure(),
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
            LifecycleEvent::AttemptOver { worker } => self.on_surely_over(worker),
            LifecycleEvent::Cancel => self.on_cancel(),
            LifecycleEvent::Evict => self.on_evict(),
            LifecycleEvent::Tick => self.on_idle(),
        }
    }

    /// The step that the row as loaded calls for.
    fn resume(&mut self) -> LifecycleStep {
        match self.record.phase {
            TaskPhase::Pending => self.become_ready(),
            TaskPhase::Running => {
                self.stage = LifecycleStage::Confirming {
                    not_before: TimePoint::EPOCH,
                };
                self.on_tick()
            }
            TaskPhase::Finished | TaskPhase::Cancelled | TaskPhase::Parked => {
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
        if !self.is_ready() || self.cancel {
            return LifecycleStep::NoAction;
        }
        self.write(TaskRecord {
            phase: TaskPhase::Running,
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
        self.write(self.parked(reason))
    }

    fn on_committed(&mut self, version: u64) -> LifecycleStep {
        let LifecycleStage::Writing(write) = &self.stage else {
            return LifecycleStep::NoAction;
        };
        let record = write.record.clone();
        self.settle(version, record)
    }

    fn on_unsure(&self) -> LifecycleStep {
        match self.stage {
            LifecycleStage::Writing(_) => LifecycleStep::Read,
            _ => LifecycleStep::NoAction,
        }
    }

    /// A row read back decides the write in flight: it took effect, it may still, or it cannot.
    fn on_row(&mut self, version: u64, record: TaskRecord) -> LifecycleStep {
        let LifecycleStage::Writing(write) = &self.stage else {
            return self.learn_cancel(version, &record);
        };
        if record == write.record {
            return self.settle(version, record);
        }
        if version <= write.version {
            return LifecycleStep::Write(write.clone());
        }
        let (life, step) = Self::load(version, record);
        *self = life;
        step
    }

    /// Callers change a row only to cancel the task; the next write is conditional on theirs.
    fn learn_cancel(&mut self, version: u64, record: &TaskRecord) -> LifecycleStep {
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

    /// The row has this value now, and this scheduler wrote it.
    fn settle(&mut self, version: u64, record: TaskRecord) -> LifecycleStep {
        self.version = version;
        self.checkpoint.clone_from(&record.checkpoint);
        self.record = record;
        match self.record.phase {
            TaskPhase::Running if self.cancel => {
                // No start command was sent for this attempt, so it never runs.
                self.stage = LifecycleStage::Ready;
                self.write_cancelled()
            }
            TaskPhase::Running => {
                self.evict = false;
                self.refused_at = None;
                self.stage = LifecycleStage::Starting;
                self.start()
            }
            TaskPhase::Pending => self.become_ready(),
            TaskPhase::Finished | TaskPhase::Cancelled | TaskPhase::Parked => {
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
                self.stage = LifecycleStage::Running { confirmed_at: now };
                self.on_tick()
            }
            (StartReply::Fenced, _) => LifecycleStep::StepDown,
            (StartReply::Refused, None) => self.become_ready(),
            (StartReply::Refused, Some(not_before)) => self.await_refusal(not_before),
            (StartReply::Duplicate, known) => {
                self.refused_at = known.or(Some(now));
                self.ask(now)
            }
            (StartReply::Lost { refused_at }, known) => {
                self.refused_at = known.max(Some(refused_at));
                self.ask(now)
            }
        }
    }

    /// Waits until no command can start the attempt any more, then asks once more.
    fn await_refusal(&mut self, not_before: TimePoint) -> LifecycleStep {
        self.stage = LifecycleStage::Confirming { not_before };
        self.ask(not_before)
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
        match status {
            AttemptStatus::Running { checkpoint } => self.adopt(checkpoint, now),
            AttemptStatus::Finished => self.write(TaskRecord {
                phase: TaskPhase::Finished,
                ..self.record.clone()
            }),
            AttemptStatus::Failed { checkpoint, action } => self.on_failed(checkpoint, action),
            AttemptStatus::Stopped { checkpoint } => self.on_stopped(checkpoint),
            AttemptStatus::Unknown => self.on_unknown(queried_at),
        }
    }

    fn adopt(&mut self, checkpoint: Option<String>, now: TimePoint) -> LifecycleStep {
        if checkpoint.is_some() {
            self.checkpoint = checkpoint;
        }
        self.stage = LifecycleStage::Running { confirmed_at: now };
        self.on_tick()
    }

    fn on_failed(&mut self, checkpoint: Option<String>, action: FailureAction) -> LifecycleStep {
        if self.cancel {
            return self.write_cancelled();
        }
        let record = match action {
            FailureAction::Retry => TaskRecord {
                phase: TaskPhase::Pending,
                checkpoint: checkpoint.or_else(|| self.checkpoint.clone()),
                ..self.record.clone()
            },
            FailureAction::Park(reason) => self.parked(reason),
        };
        self.write(TaskRecord {
            failures: self.record.failures + 1,
            ..record
        })
    }

    fn on_stopped(&mut self, checkpoint: Option<String>) -> LifecycleStep {
        if self.cancel {
            return self.write_cancelled();
        }
        let evictions = self.record.evictions + u32::from(self.evict);
        self.write(TaskRecord {
            phase: TaskPhase::Pending,
            checkpoint: checkpoint.or_else(|| self.checkpoint.clone()),
            evictions,
            ..self.record.clone()
        })
    }

    /// The worker does not know the attempt: proof only if it cannot learn of it any more.
    fn on_unknown(&mut self, queried_at: TimePoint) -> LifecycleStep {
        match self.stage {
            LifecycleStage::Starting => self.start_again(),
            LifecycleStage::Running { confirmed_at } if queried_at > confirmed_at => {
                self.become_ready()
            }
            LifecycleStage::Confirming { not_before } if queried_at >= not_before => {
                self.become_ready()
            }
            LifecycleStage::Confirming { not_before } => self.ask(not_before),
            LifecycleStage::Running { .. }
            | LifecycleStage::Ready
            | LifecycleStage::Writing(_)
            | LifecycleStage::Ended => LifecycleStep::NoAction,
        }
    }

    /// The worker takes an attempt once, so a command that may still arrive does no harm.
    fn start_again(&mut self) -> LifecycleStep {
        match self.refused_at {
            None => LifecycleStep::NoAction,
            Some(not_before) if self.cancel => self.await_refusal(not_before),
            Some(_) => self.start(),
        }
    }

    fn on_surely_over(&mut self, worker: WorkerKey) -> LifecycleStep {
        if self.record.worker != Some(worker) || !self.may_run() {
            return LifecycleStep::NoAction;
        }
        self.become_ready()
    }

    fn on_cancel(&mut self) -> LifecycleStep {
        self.cancel = true;
        match self.stage {
            LifecycleStage::Ready => self.write_cancelled(),
            LifecycleStage::Ended => LifecycleStep::Done(self.record.phase),
            LifecycleStage::Writing(_) => LifecycleStep::NoAction,
            LifecycleStage::Starting
            | LifecycleStage::Running { .. }
            | LifecycleStage::Confirming { .. } => self.on_tick(),
        }
    }

    fn on_evict(&mut self) -> LifecycleStep {
        if !matches!(self.stage, LifecycleStage::Running { .. }) {
            return LifecycleStep::NoAction;
        }
        self.evict = true;
        self.on_tick()
    }

    /// A start command without an answer was never sent, or its loss would have been told.
    fn on_idle(&mut self) -> LifecycleStep {
        match self.stage {
            LifecycleStage::Starting if self.refused_at.is_none() && self.cancel => {
                self.write_cancelled()
            }
            LifecycleStage::Starting if self.refused_at.is_none() => self.start(),
            _ => self.on_tick(),
        }
    }

    /// Repeats the command or question that the stage waits for.
    fn on_tick(&mut self) -> LifecycleStep {
        let Some(worker) = self.record.worker else {
            return self.repeat_write();
        };
        let attempt = self.record.attempt;
        match self.stage {
            LifecycleStage::Starting if self.refused_at.is_some() => self.ask(TimePoint::EPOCH),
            LifecycleStage::Running { .. } if self.cancel => {
                LifecycleStep::Stop { worker, attempt }
            }
            LifecycleStage::Running { .. } if self.evict => {
                LifecycleStep::Evict { worker, attempt }
            }
            LifecycleStage::Confirming { not_before } => self.ask(not_before),
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
        self.evict = false;
        if self.cancel {
            self.write_cancelled()
        } else {
            LifecycleStep::Enqueue
        }
    }

    fn start(&self) -> LifecycleStep {
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

    fn ask(&self, not_before: TimePoint) -> LifecycleStep {
        match self.record.worker {
            Some(worker) => LifecycleStep::QueryWorker { worker, not_before },
            None => LifecycleStep::NoAction,
        }
    }

    fn write_cancelled(&mut self) -> LifecycleStep {
        self.write(TaskRecord {
            phase: TaskPhase::Cancelled,
            cancel_requested: true,
            ..self.record.clone()
        })
    }

    fn parked(&self, reason: ParkReason) -> TaskRecord {
        TaskRecord {
            phase: TaskPhase::Parked,
            park_reason: Some(reason),
            ..self.record.clone()
        }
    }

    fn write(&mut self, record: TaskRecord) -> LifecycleStep {
        let write = TaskWrite {
            version: self.version,
            record,
        };
        self.stage = LifecycleStage::Writing(write.clone());
        LifecycleStep::Write(write)
    }
}
