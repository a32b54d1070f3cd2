//! Interface of the platform's workers: attempts of tasks under leases, with fencing.
//!
//! A worker stores the highest epoch that it has received and refuses commands of a lower one
//! (409). Times are Unix milliseconds; the clocks of workers differ from those of schedulers by at
//! most the setting `scheduler.clock_drift_ms`.

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::resource::ResourceVector;

/// `POST`: takes a [`StartCommand`], returns a [`CommandReply`].
pub const START_PATH: &str = "/worker/start";
/// `POST`: takes a [`RenewCommand`], returns a [`WorkerReport`].
pub const RENEW_PATH: &str = "/worker/renew";
/// `POST`: takes a [`TaskCommand`] to checkpoint, throttle, evict or stop; returns a
/// [`CommandReply`].
pub const TASK_PATH: &str = "/worker/task";

/// Command to start an attempt of a task.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StartCommand {
    /// Epoch of the holder of the shard that the worker belongs to.
    pub epoch: u64,
    /// Incarnation of the worker that the command is for; any other one refuses it.
    pub incarnation: u64,
    /// ID of the task.
    pub task: String,
    /// Number of the attempt. It is the fencing token of the task: the worker refuses a number not
    /// above the highest that it has started.
    pub attempt: u64,
    /// Resources granted to the attempt.
    pub resources: ResourceVector,
    /// Checkpoint to resume from; `None` to start from the beginning.
    pub checkpoint: Option<String>,
    /// Program of the task, opaque to the scheduler.
    pub payload: String,
    /// End of the lease: the worker stops the attempt at this time unless the lease is renewed.
    pub lease_until_ms: u64,
}

/// Command to renew the lease of all attempts on a worker and to report them.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RenewCommand {
    /// Epoch of the holder of the shard; a higher one than before fences off the former holder.
    pub epoch: u64,
    /// Incarnation of the worker that the command is for; any other one refuses it.
    pub incarnation: u64,
    /// New end of the lease of all running attempts.
    pub lease_until_ms: u64,
    /// Ended attempts that the scheduler has recorded; the worker drops them from its reports.
    #[serde(default)]
    pub forget: Vec<AttemptName>,
    /// Whether running attempts may be reported without usage, progress and speed.
    #[serde(default)]
    pub brief: bool,
}

/// Identity of one attempt of a task.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct AttemptName {
    /// ID of the task.
    pub task: String,
    /// Number of the attempt.
    pub attempt: u64,
}

/// Action of a [`TaskCommand`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum TaskAction {
    /// Takes a checkpoint now.
    Checkpoint,
    /// Limits the processor time of the attempt until the next such command.
    Throttle {
        /// Limit in thousandths of the processor time granted to the attempt.
        cpu_permille: u32,
    },
    /// Takes a checkpoint, then stops the attempt.
    Evict,
    /// Stops the attempt at once.
    Stop,
}

/// Command for one running attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskCommand {
    /// Epoch of the holder of the shard.
    pub epoch: u64,
    /// Attempt that the command is for.
    pub attempt: AttemptName,
    /// Action on the attempt.
    pub action: TaskAction,
}

/// Result of a command.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "reply", rename_all = "snake_case")]
pub enum CommandReply {
    /// The command took effect.
    Done,
    /// Refused: the epoch or the attempt is out of date, or the incarnation is another one.
    Fenced,
    /// Refused: the worker runs no such attempt.
    NotRunning,
    /// Refused: the lease in the command has already ended.
    LeaseEnded,
    /// Refused by the worker's own check: its free resources are insufficient.
    NoRoom,
}

/// The state of an attempt on a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum AttemptState {
    /// The attempt is running.
    Running,
    /// The attempt ended successfully.
    Finished,
    /// The attempt ended with an error of its own.
    Failed {
        /// Error in one word: `out_of_memory` or `error`.
        reason: String,
    },
    /// The attempt was stopped by a command or by the end of its lease.
    Stopped,
}

/// Full report on one attempt.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AttemptReport {
    /// Attempt that the report is about.
    pub name: AttemptName,
    /// Whether the attempt is running, or how it ended.
    pub state: AttemptState,
    /// Last complete checkpoint; `None` if there is none.
    pub checkpoint: Option<String>,
    /// Completed fraction of the work, from 0 to 1.
    pub progress: f64,
    /// Resources in use at the time of measurement.
    pub usage: ResourceVector,
    /// Speed relative to an attempt that runs alone, from 0 to 1, at the time of measurement.
    pub speed: f64,
    /// Time of the measurement of usage and speed, in Unix milliseconds; earlier than the report.
    pub measured_at_ms: u64,
}

/// Report on the attempts that a worker runs, and on ended ones that are not yet recorded.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerReport {
    /// Whether the renewal was refused: the worker has received a higher epoch, or it is another
    /// incarnation.
    pub fenced: bool,
    /// Highest epoch that the worker has received.
    pub epoch: u64,
    /// Incarnation of the worker.
    pub incarnation: u64,
    /// Whether the worker is shutting down and must get no new attempts.
    pub leaving: bool,
    /// Attempts sorted by name; in a brief report only those that ended.
    pub attempts: Vec<AttemptReport>,
    /// Running attempts sorted by name; empty unless the report is brief.
    #[serde(default)]
    pub running: Vec<BriefReport>,
}

/// Report on one running attempt without measurements.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct BriefReport {
    /// Attempt that the report is about.
    pub name: AttemptName,
    /// Last complete checkpoint; `None` if there is none.
    pub checkpoint: Option<String>,
}
