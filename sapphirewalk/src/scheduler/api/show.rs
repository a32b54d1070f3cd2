//! Shows tasks. A row that points to another shard is followed.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;

use sapphirewalk_wire::row;
use sapphirewalk_wire::row::TaskRow;

use crate::scheduler::api::answer;
use crate::scheduler::api::answer::ApiError;
use crate::scheduler::context::SchedulerContext;

/// Maximum number of rows that are read to find a task that has moved; guards against a cycle of
/// pointers.
const POINTER_READS_MAX: u32 = 64;

/// A task's row in the shard where the task is now.
#[derive(Clone, Debug)]
pub struct FoundTask {
    /// The task's present ID, which differs from the caller's if the task has moved.
    pub id: String,
    /// The row's version, for a conditional write.
    pub version: u64,
    /// The row's value.
    pub row: TaskRow,
}

/// Answers with the state of a task.
///
/// # Errors
///
/// If no task has this ID or the table does not answer.
pub async fn show(context: &SchedulerContext, id: &str) -> Result<Response<Full<Bytes>>, ApiError> {
    let found = find(context, id).await?;
    Ok(answer::task_answer(StatusCode::OK, id, &found.row))
}

/// Finds the row of a task in the shard to which it has moved.
///
/// # Errors
///
/// If no task has this ID or the table does not answer.
pub async fn find(context: &SchedulerContext, id: &str) -> Result<FoundTask, ApiError> {
    let mut id = id.to_owned();
    for _ in 0..POINTER_READS_MAX {
        let read = context.process.platform.read_row(&row::task_key(&id)).await;
        let found = read.map_err(|error| ApiError::TableDown {
            cause: error.to_string(),
        })?;
        let found = found.ok_or(ApiError::NoTask)?;
        let row: TaskRow = serde_json::from_str(&found.value).map_err(|_| ApiError::NoTask)?;
        match &row.moved_to {
            Some(next) => id = next.clone(),
            None => {
                return Ok(FoundTask {
                    id,
                    version: found.version,
                    row,
                });
            }
        }
    }
    Err(ApiError::NoTask)
}
