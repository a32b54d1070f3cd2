//! The I/O of a shard: each call runs in a task of its own and ends in a message.

use std::sync::Arc;

use tokio::sync::mpsc;
use tokio::sync::oneshot;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::platform::RowChange;
use sapphirewalk_wire::platform::RowCondition;
use sapphirewalk_wire::platform::TransactionRequest;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::ShardRow;

use crate::scheduler::commit;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::commit::RowWrite;
use crate::scheduler::context::SchedulerContext;
use crate::scheduler::effect::QuotaOutcome;
use crate::scheduler::effect::ShardEffect;
use crate::scheduler::effect::ShardEvent;
use crate::scheduler::effect::ShardMessage;
use crate::scheduler::effect::TaskOutcome;
use crate::scheduler::effect::TaskRemoval;

/// Begins the I/O of a shard.
#[derive(Clone, Debug)]
pub struct ShardIo {
    context: Arc<SchedulerContext>,
    messages: mpsc::Sender<ShardMessage>,
}

impl ShardIo {
    /// I/O whose results arrive as messages.
    pub const fn new(context: Arc<SchedulerContext>, messages: mpsc::Sender<ShardMessage>) -> Self {
        Self { context, messages }
    }

    /// Sends a command to a worker.
    pub fn send(&self, hold: u64, effect: ShardEffect, now: TimePoint) {
        let io = self.clone();
        tokio::spawn(async move {
            let event = io.perform(effect, now).await;
            io.finish(hold, event).await;
        });
    }

    /// Reads the shard's row.
    pub fn read_shard(&self, hold: u64, key: String) {
        let io = self.clone();
        tokio::spawn(async move {
            let read = io.context.kit.platform.read_row(&key).await;
            io.finish(hold, ShardEvent::ShardRead(read)).await;
        });
    }

    /// Writes the shard's row, if it has this version.
    pub fn write_shard(&self, hold: u64, key: String, version: Option<u64>, value: &ShardRow) {
        let io = self.clone();
        let transaction = shard_transaction(key, version, value);
        tokio::spawn(async move {
            let reply = io.context.kit.platform.transact(&transaction).await;
            io.finish(hold, ShardEvent::ShardWritten(reply)).await;
        });
    }

    /// Writes the shard's row once more, and says when that was answered or not.
    pub fn release_shard(
        &self,
        key: String,
        version: Option<u64>,
        value: &ShardRow,
        done: oneshot::Sender<()>,
    ) {
        let io = self.clone();
        let transaction = shard_transaction(key, version, value);
        tokio::spawn(async move {
            // A lost answer leaves the row to the next holder's judgement.
            let _ = io.context.kit.platform.transact(&transaction).await;
            // An error means that nobody waits.
            let _ = done.send(());
        });
    }

    /// Reads all rows of the shard.
    pub fn scan(&self, hold: u64, prefix: String) {
        let io = self.clone();
        tokio::spawn(async move {
            let rows = io.context.kit.platform.scan_all(&prefix).await;
            io.finish(hold, ShardEvent::Scanned(rows)).await;
        });
    }

    /// Reads task rows by ID.
    pub fn read_tasks(&self, hold: u64, ids: Vec<String>) {
        let io = self.clone();
        tokio::spawn(async move {
            let keys: Vec<String> = ids.iter().map(|id| row::task_key(id)).collect();
            let outcomes = commit::read_group(&io.context.kit.platform, &keys).await;
            io.finish(hold, rows_done(ids, outcomes)).await;
        });
    }

    /// Commits changes of task rows, if the guard's row has its version.
    pub fn commit_tasks(&self, hold: u64, guard: RowCondition, writes: Vec<(String, RowWrite)>) {
        let io = self.clone();
        tokio::spawn(async move {
            let (ids, writes): (Vec<String>, Vec<RowWrite>) = writes.into_iter().unzip();
            let platform = &io.context.kit.platform;
            let outcomes = commit::commit_group(platform, Some(guard), &writes).await;
            io.finish(hold, rows_done(ids, outcomes)).await;
        });
    }

    /// Reads how all teams' quotas are divided.
    pub fn read_quota(&self, hold: u64) {
        let io = self.clone();
        tokio::spawn(async move {
            let rows = io.context.kit.platform.scan_all(&row::quota_key("")).await;
            io.finish(hold, ShardEvent::QuotaRead(rows)).await;
        });
    }

    /// Commits gifts of quota, if the guard's row has its version.
    pub fn commit_quota(&self, hold: u64, guard: RowCondition, writes: Vec<(String, RowWrite)>) {
        let io = self.clone();
        tokio::spawn(async move {
            let (teams, writes): (Vec<String>, Vec<RowWrite>) = writes.into_iter().unzip();
            let platform = &io.context.kit.platform;
            let outcomes = commit::commit_group(platform, Some(guard), &writes).await;
            let done = teams.into_iter().zip(outcomes);
            let done = done.map(|(team, outcome)| QuotaOutcome { team, outcome });
            io.finish(hold, ShardEvent::QuotaDone(done.collect())).await;
        });
    }

    /// Removes rows of tasks that ended long ago. What fails is tried again after a scan.
    pub fn remove_tasks(&self, hold: u64, guard: RowCondition, removals: Vec<TaskRemoval>) {
        let io = self.clone();
        tokio::spawn(async move {
            let transaction = removal_transaction(guard, removals);
            // The next scan shows what is left.
            let _ = io.context.kit.platform.transact(&transaction).await;
            io.finish(hold, ShardEvent::Removed).await;
        });
    }

    async fn perform(&self, effect: ShardEffect, now: TimePoint) -> ShardEvent {
        let client = &self.context.worker_client;
        match effect {
            ShardEffect::Start {
                address,
                worker,
                command,
            } => {
                let reply = client.start(address, &command).await;
                ShardEvent::Started {
                    worker,
                    command,
                    reply,
                }
            }
            ShardEffect::Renew {
                address,
                worker,
                command,
            } => {
                let reply = client.renew(address, &command).await;
                ShardEvent::Renewed {
                    worker,
                    queried_at: now,
                    command,
                    reply,
                }
            }
            ShardEffect::Command {
                address,
                worker,
                command,
            } => {
                // Answered or not, what came of it shows in the worker's next report.
                let _ = client.command(address, &command).await;
                ShardEvent::Commanded { worker }
            }
        }
    }

    async fn finish(&self, hold: u64, event: ShardEvent) {
        let event = Box::new(event);
        // An error means that the shard's task has ended.
        let _ = self
            .messages
            .send(ShardMessage::Event { hold, event })
            .await;
    }
}

fn removal_transaction(guard: RowCondition, removals: Vec<TaskRemoval>) -> TransactionRequest {
    let mut transaction = TransactionRequest {
        conditions: vec![guard],
        changes: Vec::new(),
    };
    for removal in removals {
        transaction.conditions.push(RowCondition {
            key: removal.key.clone(),
            version: Some(removal.version),
        });
        let keys = std::iter::once(removal.key).chain(removal.pointer);
        transaction
            .changes
            .extend(keys.map(|key| RowChange::Delete { key }));
    }
    transaction
}

fn rows_done(ids: Vec<String>, outcomes: Vec<RowOutcome>) -> ShardEvent {
    let outcomes = ids.into_iter().zip(outcomes);
    ShardEvent::RowsDone(
        outcomes
            .map(|(id, outcome)| TaskOutcome { id, outcome })
            .collect(),
    )
}

fn shard_transaction(key: String, version: Option<u64>, value: &ShardRow) -> TransactionRequest {
    TransactionRequest {
        conditions: vec![RowCondition {
            key: key.clone(),
            version,
        }],
        changes: vec![RowChange::Put {
            key,
            value: serde_json::to_string(value).unwrap_or_default(),
        }],
    }
}
