//! Shows tasks, following rows that point to another shard.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;

use sapphirewalk_wire::row;
use sapphirewalk_wire::row::TaskRow;

use crate::scheduler::api::answer;
use crate::scheduler::api::answer::ApiError;
use crate::scheduler::context::SchedulerContext;

/// Most rows that are followed from one to the next.
const MOVES_MAX: u32 = 64;

/// A task's row.
#[derive(Clone, Debug)]
pub struct FoundTask {
    /// The ID of the row.
    pub id: String,
    /// Its version.
    pub version: u64,
    /// Its value.
    pub row: TaskRow,
}

/// Shows a task.
///
/// # Errors
///
/// When there is none of this ID or the table gives no answer.
pub async fn show(context: &SchedulerContext, id: &str) -> Result<Response<Full<Bytes>>, ApiError> {
    let found = find(context, id).await?;
    Ok(answer::task_answer(StatusCode::OK, id, &found.row))
}

/// Finds the row of a task, wherever it has moved.
///
/// # Errors
///
/// When there is none of this ID or the table gives no answer.
pub async fn find(context: &SchedulerContext, id: &str) -> Result<FoundTask, ApiError> {
    let mut id = id.to_owned();
    for _ in 0..MOVES_MAX {
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
