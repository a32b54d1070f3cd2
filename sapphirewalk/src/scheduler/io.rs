//! I/O operations of a shard. Each runs in its own task and sends its result to the shard's actor.

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

/// Starts I/O operations of a shard. `generation` is the actor's, returned with the result.
#[derive(Clone, Debug)]
pub struct ShardIo {
    context: Arc<SchedulerContext>,
    messages: mpsc::Sender<ShardMessage>,
}

impl ShardIo {
    /// Results are sent over `messages`.
    pub const fn new(context: Arc<SchedulerContext>, messages: mpsc::Sender<ShardMessage>) -> Self {
        Self { context, messages }
    }

    /// Sends a command to a worker; `now` is recorded as the time of sending.
    pub fn send(&self, generation: u64, effect: ShardEffect, now: TimePoint) {
        let io = self.clone();
        tokio::spawn(async move {
            let event = io.perform(effect, now).await;
            io.finish(generation, event).await;
        });
    }

    /// Reads the row that records the shard's holder.
    pub fn read_shard(&self, generation: u64, key: String) {
        let io = self.clone();
        tokio::spawn(async move {
            let read = io.context.process.platform.read_row(&key).await;
            io.finish(generation, ShardEvent::ShardRead(read)).await;
        });
    }

    /// Writes the shard's row if it has this version, or is absent for `None`.
    pub fn write_shard(
        &self,
        generation: u64,
        key: String,
        version: Option<u64>,
        value: &ShardRow,
    ) {
        let io = self.clone();
        let transaction = shard_transaction(key, version, value);
        tokio::spawn(async move {
            let reply = io.context.process.platform.transact(&transaction).await;
            io.finish(generation, ShardEvent::ShardWritten(reply)).await;
        });
    }

    /// Writes the shard's row without a holder, and signals `done` once the write is over, whether
    /// it took effect or not.
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
            // If the write has no effect, another scheduler acquires the shard after a silence.
            let _ = io.context.process.platform.transact(&transaction).await;
            // An error means that the receiver was dropped: no task waits for the release.
            let _ = done.send(());
        });
    }

    /// Reads all rows whose keys have this prefix.
    pub fn scan(&self, generation: u64, prefix: String) {
        let io = self.clone();
        tokio::spawn(async move {
            let rows = io.context.process.platform.scan_all(&prefix).await;
            io.finish(generation, ShardEvent::Scanned(rows)).await;
        });
    }

    /// Reads the rows of the tasks with these IDs.
    pub fn read_tasks(&self, generation: u64, ids: Vec<String>) {
        let io = self.clone();
        tokio::spawn(async move {
            let keys: Vec<String> = ids.iter().map(|id| row::task_key(id)).collect();
            let outcomes = commit::read_group(&io.context.process.platform, &keys).await;
            io.finish(generation, rows_done(ids, outcomes)).await;
        });
    }

    /// Commits changes of task rows, given by task ID, if the guard row has its version.
    pub fn commit_tasks(
        &self,
        generation: u64,
        guard: RowCondition,
        writes: Vec<(String, RowWrite)>,
    ) {
        let io = self.clone();
        tokio::spawn(async move {
            let (ids, writes): (Vec<String>, Vec<RowWrite>) = writes.into_iter().unzip();
            let platform = &io.context.process.platform;
            let outcomes = commit::commit_group(platform, Some(guard), &writes).await;
            io.finish(generation, rows_done(ids, outcomes)).await;
        });
    }

    /// Reads the rows that divide all teams' quotas among shards.
    pub fn read_quota(&self, generation: u64) {
        let io = self.clone();
        tokio::spawn(async move {
            let rows = io
                .context
                .process
                .platform
                .scan_all(&row::quota_key(""))
                .await;
            io.finish(generation, ShardEvent::QuotaRead(rows)).await;
        });
    }

    /// Commits quota transfers, given by team name, if the guard row has its version.
    pub fn commit_quota(
        &self,
        generation: u64,
        guard: RowCondition,
        writes: Vec<(String, RowWrite)>,
    ) {
        let io = self.clone();
        tokio::spawn(async move {
            let (teams, writes): (Vec<String>, Vec<RowWrite>) = writes.into_iter().unzip();
            let platform = &io.context.process.platform;
            let outcomes = commit::commit_group(platform, Some(guard), &writes).await;
            let done = teams.into_iter().zip(outcomes);
            let done = done.map(|(team, outcome)| QuotaOutcome { team, outcome });
            io.finish(generation, ShardEvent::QuotaDone(done.collect()))
                .await;
        });
    }

    /// Removes rows of ended tasks in one transaction, if the guard row has its version. If it
    /// fails, the next scan finds the rows again.
    pub fn remove_tasks(&self, generation: u64, guard: RowCondition, removals: Vec<TaskRemoval>) {
        let io = self.clone();
        tokio::spawn(async move {
            let transaction = removal_transaction(guard, removals);
            let _ = io.context.process.platform.transact(&transaction).await;
            io.finish(generation, ShardEvent::Removed).await;
        });
    }

    /// Sends the command and waits for its answer.
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
                // The worker's next report shows whether the command took effect.
                let _ = client.command(address, &command).await;
                ShardEvent::Commanded { worker }
            }
        }
    }

    async fn finish(&self, generation: u64, event: ShardEvent) {
        let event = Box::new(event);
        // An error means that the shard's actor has ended.
        let _ = self
            .messages
            .send(ShardMessage::Event { generation, event })
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
