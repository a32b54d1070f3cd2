//! The actor of one shard: a task that watches the shard's row, acquires the shard, runs it and
//! releases it.

mod lease;
mod review;
mod row_io;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use slog::info;
use slog::warn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use sapphirewalk_core::key::NameArena;
use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::shard_lease::LeaseTiming;
use sapphirewalk_core::shard_lease::ShardLease;
use sapphirewalk_core::shard_lease::ShardWrite;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::write_pace::WritePace;
use sapphirewalk_wire::platform::VmList;
use sapphirewalk_wire::row::ShardRow;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::platform::PlatformError;
use crate::scheduler::context::SchedulerContext;
use crate::scheduler::effect::ShardEvent;
use crate::scheduler::effect::ShardMessage;
use crate::scheduler::held::HeldShard;
use crate::scheduler::held::HoldGrant;
use crate::scheduler::held::ShardView;
use crate::scheduler::io::ShardIo;
use crate::scheduler::name::ShardName;
use crate::scheduler::shard_row;

/// Interval of the checks for renewals, reads and reviews that are due.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// How long changes of task rows are gathered for one transaction.
const GATHER_SPAN: TimeSpan = TimeSpan::from_millis(5);
/// Delay before the next call after the table did not answer.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Capacity of the actor's message queue.
const MESSAGES_MAX: usize = 4_096;

/// Access to a shard's actor for the rest of the process.
#[derive(Clone, Debug)]
pub struct ShardHandle {
    /// The name of the shard that the actor watches.
    pub name: ShardName,
    /// The actor's message queue.
    pub messages: mpsc::Sender<ShardMessage>,
    /// The state of the shard as of the last review; `None` while the shard is not held.
    pub view: Arc<Mutex<Option<ShardView>>>,
}

impl ShardHandle {
    /// Whether this process holds the shard.
    pub fn is_held(&self) -> bool {
        self.view
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .is_some()
    }
}

/// Whether I/O on task rows or quota rows is in flight. There is never more than one such
/// operation, so that the version of the shard's own row is always known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RowIo {
    Idle,
    Busy,
}

/// The state of I/O on the shard's own row.
#[derive(Clone, Copy, Debug)]
enum LeaseIo {
    /// None is due before this time.
    Wait(TimePoint),
    /// A read is due.
    Read,
    /// This write is due.
    Write(ShardWrite),
    /// A read or write is in flight.
    Busy,
}

/// The inputs that were last applied to the held shard.
#[derive(Debug)]
struct AppliedInputs {
    /// Sequence number of the rollout whose bundle was applied.
    sequence: u64,
    /// The VM list that was applied.
    list: Arc<VmList>,
}

/// The state of a shard's actor. Times of [`TimePoint::EPOCH`] mean that the action is due at once.
struct ShardActor {
    context: Arc<SchedulerContext>,
    io: ShardIo,
    name: ShardName,
    /// Keys of the VMs in the shard's row.
    vms: NameArena<VmKey>,
    timing: LeaseTiming,
    lease: ShardLease,
    lease_io: LeaseIo,
    row_io: RowIo,
    /// No row is read or written before this time, since the table did not answer.
    retry_at: TimePoint,
    /// When the gathering of changes for the next transaction ends; `None` while no change waits.
    gather_until: Option<TimePoint>,
    /// Limits the task rows written per second to this shard's part of the platform's budget.
    pace: WritePace,
    /// Earliest time of the next transaction of task rows, unless a full one is queued.
    next_write_at: TimePoint,
    /// When the next scan of the task rows is due.
    scan_at: TimePoint,
    /// Whether a scan was begun since the shard was acquired.
    scanned: bool,
    /// When the answer to the last read of the shard's row arrived.
    shard_read_at: TimePoint,
    /// When the next review is due.
    review_at: TimePoint,
    /// When waiting tasks are next checked for a move to another shard.
    move_at: TimePoint,
    /// When the quota rows are next read.
    quota_at: TimePoint,
    /// `None` until the first bundle and VM list since the shard was acquired.
    applied_inputs: Option<AppliedInputs>,
    /// No worker's lease from a former holder ends after this time.
    former_until: TimePoint,
    /// The shard's row as last read while the shard was not held.
    last_row: Option<ShardRow>,
    /// When the row was first read without a holder that may be alive; `None` if it has one.
    vacant_since: Option<TimePoint>,
    /// Why the shard may be acquired, for the audit record.
    acquisition_reason: &'static str,
    /// Increases each time the shard is acquired or lost. A result of I/O begun in another
    /// generation is dropped.
    generation: u64,
    /// `None` while the shard is not held.
    held: Option<Box<HeldShard>>,
    /// Shared with the [`ShardHandle`].
    view: Arc<Mutex<Option<ShardView>>>,
    /// Set once the shard is to be released; signalled when the release is over.
    releasing: Option<oneshot::Sender<()>>,
}

/// Starts the actor of a shard. It ends after a [`ShardMessage::Release`].
pub fn spawn(context: Arc<SchedulerContext>, name: ShardName) -> ShardHandle {
    let (messages, receiver) = mpsc::channel(MESSAGES_MAX);
    let view = Arc::new(Mutex::new(None));
    let handle = ShardHandle {
        name: name.clone(),
        messages: messages.clone(),
        view: Arc::clone(&view),
    };
    let actor = ShardActor::new(context, name, messages, view);
    tokio::spawn(actor.run(receiver));
    handle
}

impl ShardActor {
    fn new(
        context: Arc<SchedulerContext>,
        name: ShardName,
        messages: mpsc::Sender<ShardMessage>,
        view: Arc<Mutex<Option<ShardView>>>,
    ) -> Self {
        let mut vms = NameArena::new();
        let own = shard_row::to_holder(&context.process.vm_incarnation(), &mut vms);
        let process = shard_row::to_token(&context.process.process_token);
        let timing = context.timing;
        let io = ShardIo::new(Arc::clone(&context), messages);
        Self {
            lease: ShardLease::new(own, process, timing),
            lease_io: LeaseIo::Wait(TimePoint::EPOCH),
            row_io: RowIo::Idle,
            retry_at: TimePoint::EPOCH,
            gather_until: None,
            pace: WritePace::new(context.settings.rows_per_s, 1, TimePoint::EPOCH),
            next_write_at: TimePoint::EPOCH,
            scan_at: TimePoint::EPOCH,
            scanned: false,
            shard_read_at: TimePoint::EPOCH,
            review_at: TimePoint::EPOCH,
            move_at: TimePoint::EPOCH,
            quota_at: TimePoint::EPOCH,
            applied_inputs: None,
            former_until: TimePoint::EPOCH,
            last_row: None,
            vacant_since: None,
            acquisition_reason: "",
            generation: 0,
            held: None,
            releasing: None,
            context,
            io,
            name,
            vms,
            timing,
            view,
        }
    }

    async fn run(mut self, mut messages: mpsc::Receiver<ShardMessage>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let gather = self.gather_timeout();
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.on_message(message),
                    None => return,
                },
                _ = ticks.tick() => self.on_tick(),
                () = tokio::time::sleep(gather.unwrap_or(TICK_INTERVAL)), if gather.is_some() => {}
            }
            while let Ok(message) = messages.try_recv() {
                self.on_message(message);
            }
            self.advance();
            if self.try_release() {
                return;
            }
        }
    }

    fn now(&self) -> TimePoint {
        self.context.process.clock.now()
    }

    fn on_message(&mut self, message: ShardMessage) {
        match message {
            ShardMessage::Event { generation, event } => self.on_event(generation, *event),
            ShardMessage::TaskChanged(id) => {
                if let Some(held) = &mut self.held {
                    held.read_row(&id);
                }
            }
            ShardMessage::Release(done) => self.releasing = Some(done),
        }
    }

    fn on_event(&mut self, generation: u64, event: ShardEvent) {
        let now = self.now();
        match event {
            ShardEvent::ShardRead(read) => return self.on_shard_read(read, now),
            ShardEvent::ShardWritten(reply) => return self.on_shard_written(reply, now),
            ShardEvent::RowsDone(_) | ShardEvent::QuotaDone(_) | ShardEvent::Removed => {
                self.row_io = RowIo::Idle;
            }
            _ => {}
        }
        let grant = self.grant(now);
        let Some(held) = self.held.as_mut().filter(|_| generation == self.generation) else {
            return;
        };
        held.set_grant(grant);
        match event {
            ShardEvent::ShardRead(_) | ShardEvent::ShardWritten(_) | ShardEvent::Removed => {}
            ShardEvent::RowsDone(outcomes) => {
                if outcomes.iter().any(|done| done.outcome.is_unanswered()) {
                    self.retry_at = now + RETRY_DELAY;
                    self.pace.drain(now);
                }
                held.on_outcomes(outcomes, now);
            }
            ShardEvent::Scanned(Ok(rows)) => held.on_scan(rows, now),
            ShardEvent::Scanned(Err(error)) => {
                self.scan_at = now + RETRY_DELAY;
                log_failure(&self.context, "scan", &error);
            }
            ShardEvent::QuotaRead(Ok(rows)) => held.on_quota_rows(&rows),
            ShardEvent::QuotaRead(Err(error)) => {
                self.quota_at = now + RETRY_DELAY;
                log_failure(&self.context, "quota", &error);
            }
            ShardEvent::QuotaDone(outcomes) => held.on_quota_outcomes(outcomes),
            ShardEvent::Started {
                worker,
                command,
                reply,
            } => held.on_started(worker, &command, &reply, now),
            ShardEvent::Renewed {
                worker,
                queried_at,
                command,
                reply,
            } => held.on_renewed(worker, queried_at, &command, reply, now),
            ShardEvent::Commanded { worker } => held.on_commanded(worker, now),
        }
    }

    /// Places pending tasks, sends the commands that result, and starts the next row I/O.
    fn advance(&mut self) {
        let now = self.now();
        let grant = self.grant(now);
        let is_releasing = self.releasing.is_some();
        if let Some(held) = &mut self.held {
            held.set_grant(grant);
            if !is_releasing {
                held.place(now);
            }
            for effect in held.take_effects() {
                self.io.send(self.generation, effect, now);
            }
            for name in held.take_leaving() {
                self.context.announce_leaving(&name);
            }
            for moved in held.take_moved() {
                let context = Arc::clone(&self.context);
                tokio::spawn(async move { context.notify(&moved.shard, &moved.id).await });
            }
            if held.take_fenced() && matches!(self.lease_io, LeaseIo::Wait(_)) {
                self.lease_io = LeaseIo::Read;
            }
        }
        self.begin_row_io(now);
    }

    /// What the shard's lease permits now. The clock includes time during which the VM was
    /// suspended.
    fn grant(&self, now: TimePoint) -> HoldGrant {
        HoldGrant {
            authority: self.lease.authority(now),
            worker_lease_until: self.lease.worker_lease_until(now),
        }
    }

    /// Writes a change of the shard's holder to the log and the audit trail.
    fn record_change(&self, change: &'static str, reason: &str, epoch: u64, now: TimePoint) {
        let process = &self.context.process;
        info!(process.logger, "{}", EventName::ShardChanged; "shard" => %self.name,
            "epoch" => epoch, "change" => change, "reason" => reason);
        process.audit.record(
            now,
            AuditDecision::ShardChanged {
                domain: self.name.domain.clone(),
                index: self.name.index,
                epoch,
                change: change.to_owned(),
                reason: reason.to_owned(),
            },
        );
    }
}

fn log_failure(context: &SchedulerContext, call: &'static str, error: &PlatformError) {
    warn!(context.process.logger, "{}", EventName::PlatformFailed; "call" => call,
        "error" => %error);
}
