//! What a held shard wants done outside, and what comes of it.

use std::net;

use tokio::sync::oneshot;

use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::worker::CommandReply;
use sapphirewalk_wire::worker::RenewCommand;
use sapphirewalk_wire::worker::StartCommand;
use sapphirewalk_wire::worker::TaskCommand;
use sapphirewalk_wire::worker::WorkerReport;

use crate::platform::PlatformError;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::worker_client::CommandError;

/// A command to send to a worker.
#[derive(Clone, Debug)]
pub enum ShardEffect {
    /// Sends a start command.
    Start {
        /// Where.
        address: net::SocketAddr,
        /// The worker.
        worker: WorkerKey,
        /// The command.
        command: StartCommand,
    },
    /// Sends a renewal.
    Renew {
        /// Where.
        address: net::SocketAddr,
        /// The worker.
        worker: WorkerKey,
        /// The command.
        command: RenewCommand,
    },
    /// Sends a command for a running attempt.
    Command {
        /// Where.
        address: net::SocketAddr,
        /// The worker.
        worker: WorkerKey,
        /// The command.
        command: TaskCommand,
    },
}

/// Something that happened outside, for the task that runs a shard.
#[derive(Debug)]
pub enum ShardEvent {
    /// The shard's row was read.
    ShardRead(Result<Option<TableRow>, PlatformError>),
    /// A write of the shard's row was answered.
    ShardWritten(Result<TransactionReply, PlatformError>),
    /// Task rows were written or read; the outcomes are by ID.
    RowsDone(Vec<TaskOutcome>),
    /// All task rows of the shard were read.
    Scanned(Result<Vec<TableRow>, PlatformError>),
    /// The division of teams' quotas was read.
    QuotaRead(Result<Vec<TableRow>, PlatformError>),
    /// Gifts of quota were written; the outcomes are by team.
    QuotaDone(Vec<QuotaOutcome>),
    /// Rows of tasks that ended long ago were removed, or some of them were not.
    Removed,
    /// A start command was answered or not.
    Started {
        /// The worker.
        worker: WorkerKey,
        /// The command.
        command: StartCommand,
        /// The answer.
        reply: Result<CommandReply, CommandError>,
    },
    /// A renewal was answered or not.
    Renewed {
        /// The worker.
        worker: WorkerKey,
        /// When it was sent.
        queried_at: TimePoint,
        /// The command.
        command: RenewCommand,
        /// The answer.
        reply: Result<WorkerReport, CommandError>,
    },
    /// A command for a running attempt was answered or not.
    Commanded {
        /// The worker.
        worker: WorkerKey,
    },
}

/// What became of the row that divides a team's quota.
#[derive(Debug)]
pub struct QuotaOutcome {
    /// The team.
    pub team: String,
    /// What became of the row.
    pub outcome: RowOutcome,
}

/// A row of a task that ended long ago.
#[derive(Clone, Debug)]
pub struct TaskRemoval {
    /// The row's key.
    pub key: String,
    /// Its version.
    pub version: u64,
    /// The key of the row that points to it.
    pub pointer: Option<String>,
}

/// What became of a task's row.
#[derive(Debug)]
pub struct TaskOutcome {
    /// The task's ID.
    pub id: String,
    /// What became of the row.
    pub outcome: RowOutcome,
}

/// What reaches the task that runs a shard.
#[derive(Debug)]
pub enum ShardMessage {
    /// The result of I/O that was begun under a hold of the shard.
    Event {
        /// The hold.
        hold: u64,
        /// What happened.
        event: Box<ShardEvent>,
    },
    /// A task's row is new or has changed.
    TaskChanged(String),
    /// Releases the shard and ends.
    Release(oneshot::Sender<()>),
}
