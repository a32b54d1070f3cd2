//! Rows in the platform's table service: their keys and values.

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::resource::ResourceVector;

use crate::task::TaskState;

/// Key of the rollout in force, a [`crate::bundle::SignedRollout`].
pub const ROLLOUT_KEY: &str = "rollout/current";

/// Key of the seat `index` of a failure domain, a [`SeatRow`].
pub fn seat_key(domain: &str, index: u32) -> String {
    format!("seat/{domain}/{index:03}")
}

/// Key of the shard `index` of a failure domain, a [`ShardRow`].
pub fn shard_key(domain: &str, index: u32) -> String {
    format!("shard/{domain}/{index:03}")
}

/// Key under which the rollout `sequence` is kept for good, a [`crate::bundle::SignedRollout`].
pub fn rollout_history_key(sequence: u64) -> String {
    format!("rollout/history/{sequence:012}")
}

/// Key of a task, a [`TaskRow`]. The ID has the form of [`task_id`].
pub fn task_key(id: &str) -> String {
    format!("task/{id}")
}

/// ID of a task, `DOMAIN.SHARD.KEY`; `key` is that of the submission.
///
/// With an empty `key`, the prefix of the IDs of all tasks of the shard.
pub fn task_id(domain: &str, shard: u32, key: &str) -> String {
    format!("{domain}.{shard:03}.{key}")
}

/// Key of the row that divides the quota of a team among shards.
///
/// With an empty name, the prefix of these keys for all teams.
pub fn quota_key(team: &str) -> String {
    format!("quota/{team}")
}

/// Key of an idempotency record, an [`IdempotencyRow`]; `key` is chosen by the caller.
pub fn idempotency_key(user: &str, key: &str) -> String {
    format!("idempotency/{user}/{key}")
}

/// Identity of one incarnation of a VM.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct VmIncarnation {
    /// Name of the VM, shared by all incarnations.
    pub name: String,
    /// Number of the incarnation.
    pub incarnation: u64,
}

/// Holder of a seat, which may use the seat's share of each endpoint of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SeatRow {
    /// Entry VM that holds the seat; `None` after a clean release.
    pub holder: Option<VmIncarnation>,
    /// Identifier of the holder's process. A process whose write got no reply finds its own
    /// identifier here if the write was applied, and another one if it lost a race.
    pub process: String,
    /// Number that rises with each change of holder.
    pub epoch: u64,
    /// Time before which the holder uses no slot, in Unix milliseconds: requests of the former
    /// holder may still run until then.
    pub usable_from_ms: u64,
    /// Numbers of seats by which the slots of an endpoint are divided, sorted. While the number of
    /// seats changes there are several, and the holder uses the smallest of its shares under them.
    #[serde(default)]
    pub divisions: Vec<u32>,
}

/// Lease of a shard, whose holder schedules the workers and tasks of the shard.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ShardRow {
    /// Entry VM that holds the shard; `None` after a clean release.
    pub holder: Option<VmIncarnation>,
    /// Identifier of the holder's process; differs after a restart on the same VM.
    pub process: String,
    /// Fencing token: rises with each change of holder; workers refuse commands of a lower epoch.
    pub epoch: u64,
    /// Upper bound on the end of all leases that the holder gives to workers, in Unix milliseconds.
    pub lease_until_ms: u64,
    /// Upper bound on the end of all leases given by former holders, in Unix milliseconds.
    #[serde(default)]
    pub former_until_ms: u64,
}

/// State of a batch task.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskRow {
    /// Kind of work, by its name in the bundle.
    pub kind: String,
    /// Team whose quota the task counts against.
    pub team: String,
    /// Resources declared by the caller.
    pub resources: ResourceVector,
    /// Run time declared by the caller, in milliseconds.
    pub expected_run_ms: u64,
    /// Program of the task, opaque to the scheduler.
    pub payload: String,
    /// Time at which the task was accepted, in Unix milliseconds.
    pub submitted_at_ms: u64,
    /// State as last written; [`TaskState::Pending`] once the task was moved to another shard.
    pub state: TaskState,
    /// Number of the last attempt started; zero before the first.
    pub attempt: u64,
    /// Random identifier of the write that started the last attempt.
    pub attempt_token: String,
    /// Worker of the last attempt; absent before the first, and after a move from another shard.
    pub worker: Option<VmIncarnation>,
    /// Resources granted to the last attempt.
    pub granted: ResourceVector,
    /// Checkpoint that the last attempt resumed from, or that the next one is to resume from.
    pub checkpoint: Option<String>,
    /// Number of evictions.
    pub evictions: u32,
    /// Number of attempts that failed by a fault of the task.
    pub failures: u32,
    /// Number of attempts in a row that ended with their worker soon after their start.
    #[serde(default)]
    pub losses: u32,
    /// Whether the caller has requested the cancellation.
    pub cancel_requested: bool,
    /// Reason for the state, with a remedy; absent if the state needs none.
    pub reason: Option<String>,
    /// ID of the task in the shard that it was moved to; this row is then only a pointer.
    #[serde(default)]
    pub moved_to: Option<String>,
    /// ID under which another shard accepted the task; absent if the task was not moved.
    #[serde(default)]
    pub moved_from: Option<String>,
    /// Time at which the task reached a final state, in Unix milliseconds.
    #[serde(default)]
    pub ended_at_ms: Option<u64>,
}

/// Record of an idempotency key, written before the request is sent to an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct IdempotencyRow {
    /// Identifier of the request that claimed the key; any other request with it is a duplicate.
    pub request_id: String,
    /// Entry VM that wrote the record.
    pub gateway: VmIncarnation,
    /// Time of the write, in Unix milliseconds.
    pub taken_at_ms: u64,
}
