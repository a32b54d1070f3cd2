//! Cancels tasks: the request is written into the task's row, and the shard's holder carries it
//! out.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;

use sapphirewalk_wire::row;

use crate::scheduler::api::answer;
use crate::scheduler::api::answer::ApiError;
use crate::scheduler::api::show;
use crate::scheduler::api::show::FoundTask;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::commit::RowWrite;
use crate::scheduler::context::SchedulerContext;
use crate::scheduler::name;
use crate::scheduler::task_row;

/// Maximum number of attempts to write a row that is changed concurrently.
const CANCEL_TRIES: u32 = 10;

/// Requests the cancellation of a task. If the task has ended, the answer shows its final state.
///
/// # Errors
///
/// If no task has this ID, the table does not answer, or the row changes at each attempt.
pub async fn cancel(
    context: &SchedulerContext,
    id: &str,
) -> Result<Response<Full<Bytes>>, ApiError> {
    for _ in 0..CANCEL_TRIES {
        let mut found = show::find(context, id).await?;
        if task_row::is_final(found.row.state) {
            found
                .row
                .reason
                .get_or_insert_with(|| "it has already ended".to_owned());
            return Ok(answer::task_answer(StatusCode::OK, id, &found.row));
        }
        if request_cancellation(context, &mut found).await? {
            if let Some(rollout) = context.process.rollout.current()
                && let Some(shard) = name::shard_of_id(&found.id, &rollout.document.domains)
            {
                context.notify(&shard, &found.id).await;
            }
            found.row.reason = Some("cancellation requested".to_owned());
            return Ok(answer::task_answer(StatusCode::ACCEPTED, id, &found.row));
        }
    }
    Err(ApiError::OutcomeUnknown)
}

/// Writes the request into the row. Returns false if it may not be there: the row was changed
/// concurrently, or the write's answer was lost.
async fn request_cancellation(
    context: &SchedulerContext,
    found: &mut FoundTask,
) -> Result<bool, ApiError> {
    if found.row.cancel_requested {
        return Ok(true);
    }
    found.row.cancel_requested = true;
    let write = RowWrite {
        key: row::task_key(&found.id),
        version: Some(found.version),
        value: serde_json::to_string(&found.row).unwrap_or_default(),
        companion: None,
    };
    match context.writes.commit(write).await {
        Some(RowOutcome::Committed { .. }) => Ok(true),
        Some(RowOutcome::NotWritten(error) | RowOutcome::Unknown(error)) => {
            Err(ApiError::TableDown {
                cause: error.to_string(),
            })
        }
        Some(RowOutcome::Read(_) | RowOutcome::GuardFailed) | None => Ok(false),
    }
}
