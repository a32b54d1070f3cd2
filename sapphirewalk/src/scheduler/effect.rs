//! Messages of a shard's actor: commands to workers, results of its I/O, and requests to it.

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

/// A command to send to a worker. `worker` is the key in the shard's worker map.
#[derive(Clone, Debug)]
pub enum ShardEffect {
    /// Starts an attempt.
    Start {
        /// The worker's command address from the VM list.
        address: net::SocketAddr,
        /// The worker that is to run the attempt.
        worker: WorkerKey,
        /// The attempt, its resources and the end of the worker's lease.
        command: StartCommand,
    },
    /// Renews a worker's lease and queries its attempts.
    Renew {
        /// The worker's command address from the VM list.
        address: net::SocketAddr,
        /// The worker whose lease is renewed.
        worker: WorkerKey,
        /// The new end of the lease and the attempts whose records the worker may drop.
        command: RenewCommand,
    },
    /// Stops, evicts or throttles a running attempt.
    Command {
        /// The worker's command address from the VM list.
        address: net::SocketAddr,
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The attempt and the action.
        command: TaskCommand,
    },
}

/// The result of an I/O operation of a shard's actor.
#[derive(Debug)]
pub enum ShardEvent {
    /// The shard's row was read; `None` if it is absent.
    ShardRead(Result<Option<TableRow>, PlatformError>),
    /// The shard's row was written, or the write failed.
    ShardWritten(Result<TransactionReply, PlatformError>),
    /// Task rows were written or read; one outcome for each.
    RowsDone(Vec<TaskOutcome>),
    /// All task rows of the shard were read by a scan.
    Scanned(Result<Vec<TableRow>, PlatformError>),
    /// The rows that divide teams' quotas among shards were read.
    QuotaRead(Result<Vec<TableRow>, PlatformError>),
    /// Quota transfers were written; one outcome for each team.
    QuotaDone(Vec<QuotaOutcome>),
    /// The transaction that removes rows of ended tasks is over, whether it took effect or not.
    Removed,
    /// A start command was answered, or its answer was lost.
    Started {
        /// The worker to which the command was sent.
        worker: WorkerKey,
        /// The command as sent.
        command: StartCommand,
        /// The worker's answer.
        reply: Result<CommandReply, CommandError>,
    },
    /// A renewal was answered, or its answer was lost.
    Renewed {
        /// The worker to which the renewal was sent.
        worker: WorkerKey,
        /// When the renewal was sent.
        queried_at: TimePoint,
        /// The renewal as sent.
        command: RenewCommand,
        /// The worker's report on its attempts.
        reply: Result<WorkerReport, CommandError>,
    },
    /// A command for a running attempt is over. Its answer is not kept, since the worker's next
    /// report shows the effect.
    Commanded {
        /// The worker to which the command was sent.
        worker: WorkerKey,
    },
}

/// The outcome of a quota transfer.
#[derive(Debug)]
pub struct QuotaOutcome {
    /// The name of the team whose quota is divided by the row.
    pub team: String,
    /// The outcome of the row's write.
    pub outcome: RowOutcome,
}

/// The row of an ended task whose retention period is over.
#[derive(Clone, Debug)]
pub struct TaskRemoval {
    /// The row's key in the table.
    pub key: String,
    /// The version that the row must still have to be removed.
    pub version: u64,
    /// The key of the row of the task's first shard, which points to this one; `None` if the task
    /// never moved.
    pub pointer: Option<String>,
}

/// The outcome of a read or write of a task's row.
#[derive(Debug)]
pub struct TaskOutcome {
    /// The task's ID in this shard.
    pub id: String,
    /// The outcome for the row.
    pub outcome: RowOutcome,
}

/// A message to the actor of a shard.
#[derive(Debug)]
pub enum ShardMessage {
    /// An I/O operation is over.
    Event {
        /// The actor's generation when the operation began; a result of an earlier generation is
        /// dropped.
        generation: u64,
        /// The result of the operation.
        event: Box<ShardEvent>,
    },
    /// The row of the task with this ID is new or has changed.
    TaskChanged(String),
    /// Releases the shard and ends the actor, then answers over the channel.
    Release(oneshot::Sender<()>),
}
