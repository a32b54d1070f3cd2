//! Interface for callers that submit, cancel and show batch tasks.

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::resource::ResourceVector;

/// `POST` submits a [`TaskSubmission`] and returns a [`TaskAnswer`].
/// `GET /v1/tasks/ID` shows a task; `POST /v1/tasks/ID/cancel` cancels it.
pub const TASKS_PATH: &str = "/v1/tasks";

/// Batch task as submitted by its caller.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TaskSubmission {
    /// Identifier chosen by the caller; a repeated submission with the same key is the same task.
    /// At most 64 letters, digits, `-`, `_` and `.`.
    pub key: String,
    /// Kind of work, by its name in the bundle.
    pub kind: String,
    /// Team whose quota the task counts against.
    pub team: String,
    /// Caller's estimate of the resources that the task uses.
    pub resources: ResourceVector,
    /// Caller's estimate of the run time, in milliseconds.
    pub expected_run_ms: u64,
    /// Program of the task, opaque to the scheduler.
    pub payload: String,
}

/// State in the lifecycle of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskState {
    /// Waiting for a worker, for the first attempt or for another one.
    Pending,
    /// An attempt has been started and has not ended.
    Running,
    /// Ended successfully; final.
    Finished,
    /// Cancelled by its caller; final.
    Cancelled,
    /// Stopped for good because it cannot succeed; the row states the reason.
    Parked,
}

/// Answer to a caller about a task.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskAnswer {
    /// ID of the task.
    pub id: String,
    /// State as last written to the table service.
    pub state: TaskState,
    /// Number of attempts started.
    pub attempts: u64,
    /// Name of the VM of the last attempt; absent before the first.
    pub worker: Option<String>,
    /// Reason for the state, in one line; absent if the state needs none.
    pub reason: Option<String>,
}
