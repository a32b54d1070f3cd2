//! Accepts tasks. Each is a row whose key contains the submission's key, so that a repeated
//! submission finds the same task.

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;

use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::task::TaskState;
use sapphirewalk_wire::task::TaskSubmission;

use crate::audit::AuditDecision;
use crate::rollout::VerifiedRollout;
use crate::scheduler::api::answer;
use crate::scheduler::api::answer::ApiError;
use crate::scheduler::api::show;
use crate::scheduler::api::submission;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::commit::RowWrite;
use crate::scheduler::context::SchedulerContext;
use crate::scheduler::name;
use crate::scheduler::name::ShardName;

/// Maximum number of attempts to insert a row while answers are lost.
const INSERT_TRIES: u32 = 3;

/// Accepts a submission, or answers a repeated one with the state of its task.
///
/// # Errors
///
/// If the submission is invalid or can't be accepted now.
pub async fn submit(
    context: &SchedulerContext,
    body: &[u8],
) -> Result<Response<Full<Bytes>>, ApiError> {
    let process = &context.process;
    let rollout = process.rollout.current().filter(|_| process.is_ready());
    let rollout = rollout.ok_or(ApiError::NotReady)?;
    let submission = submission::parse(body, &rollout.document)?;
    let shard =
        name::home_shard(&submission.key, &rollout.document.domains).ok_or(ApiError::NotReady)?;
    let outcome = match check_waiting(context, &submission, &shard) {
        Ok(()) => accept(context, &submission, &shard).await,
        Err(error) => show_earlier(context, &submission, &shard, error).await,
    };
    record(
        context,
        &rollout,
        &submission,
        &shard,
        outcome.as_ref().err(),
    );
    outcome
}

/// Refuses the submission if the shard's holder reports too many waiting tasks, in all or of the
/// team. Without a report the submission is admitted.
fn check_waiting(
    context: &SchedulerContext,
    submission: &TaskSubmission,
    shard: &ShardName,
) -> Result<(), ApiError> {
    let statuses = context.shard_statuses();
    let found = statuses
        .iter()
        .find(|status| status.domain == shard.domain && status.index == shard.index);
    let Some(status) = found else {
        return Ok(());
    };
    if status.pending >= context.settings.waiting_max {
        return Err(ApiError::QueueFull);
    }
    if status.full_teams.contains(&submission.team) {
        return Err(ApiError::TeamFull {
            team: submission.team.clone(),
        });
    }
    Ok(())
}

/// Answers a submission that is refused with `error` as a new one: if it was accepted before, the
/// answer shows its task.
async fn show_earlier(
    context: &SchedulerContext,
    submission: &TaskSubmission,
    shard: &ShardName,
    error: ApiError,
) -> Result<Response<Full<Bytes>>, ApiError> {
    let id = shard.task_id(&submission.key);
    match context.process.platform.read_row(&row::task_key(&id)).await {
        Ok(Some(found)) => answer_repeat(context, submission, &id, &found).await,
        Ok(None) => Err(error),
        Err(_) => Err(ApiError::OutcomeUnknown),
    }
}

/// Inserts the row of a new task and notifies the shard's holder.
async fn accept(
    context: &SchedulerContext,
    submission: &TaskSubmission,
    shard: &ShardName,
) -> Result<Response<Full<Bytes>>, ApiError> {
    let id = shard.task_id(&submission.key);
    let row = submission::new_row(submission, context.process.clock.now());
    let write = RowWrite {
        key: row::task_key(&id),
        version: None,
        value: serde_json::to_string(&row).unwrap_or_default(),
        companion: None,
    };
    for _ in 0..INSERT_TRIES {
        match insert(context, &write).await? {
            InsertOutcome::Inserted => {
                context.notify(shard, &id).await;
                return Ok(answer::task_answer(StatusCode::CREATED, &id, &row));
            }
            InsertOutcome::Present(found) => {
                return answer_repeat(context, submission, &id, &found).await;
            }
            InsertOutcome::Absent => {}
        }
    }
    Err(ApiError::OutcomeUnknown)
}

/// The outcome of an attempt to insert a row.
enum InsertOutcome {
    Inserted,
    /// The row exists: either from an earlier call, or from this insert, whose answer was lost.
    Present(TableRow),
    /// The row is absent. The insert may still take effect later; a repeated insert is safe, since
    /// the row must be absent for it.
    Absent,
}

async fn insert(context: &SchedulerContext, write: &RowWrite) -> Result<InsertOutcome, ApiError> {
    match context.writes.commit(write.clone()).await {
        Some(RowOutcome::Committed { .. }) => Ok(InsertOutcome::Inserted),
        Some(RowOutcome::Read(Some(found))) => Ok(InsertOutcome::Present(found)),
        Some(RowOutcome::Read(None)) => Ok(InsertOutcome::Absent),
        Some(RowOutcome::NotWritten(error)) => Err(ApiError::TableDown {
            cause: error.to_string(),
        }),
        Some(RowOutcome::Unknown(_) | RowOutcome::GuardFailed) | None => {
            Err(ApiError::OutcomeUnknown)
        }
    }
}

/// Answers a submission whose key exists: with the task's state if the content is the same, else
/// with an error.
async fn answer_repeat(
    context: &SchedulerContext,
    submission: &TaskSubmission,
    id: &str,
    found: &TableRow,
) -> Result<Response<Full<Bytes>>, ApiError> {
    let row: TaskRow = serde_json::from_str(&found.value).map_err(|_| ApiError::OutcomeUnknown)?;
    if !submission::is_same(&row, submission) {
        return Err(ApiError::KeyTaken { id: id.to_owned() });
    }
    if row.moved_to.is_some() {
        return show::show(context, id).await;
    }
    // The process that accepted it may have ended before it notified the holder.
    if row.state == TaskState::Pending
        && let Some(rollout) = context.process.rollout.current()
        && let Some(shard) = name::shard_of_id(id, &rollout.document.domains)
    {
        context.notify(&shard, id).await;
    }
    Ok(answer::task_answer(StatusCode::OK, id, &row))
}

/// Counts the submission and writes it to the audit trail.
fn record(
    context: &SchedulerContext,
    rollout: &VerifiedRollout,
    submission: &TaskSubmission,
    shard: &ShardName,
    error: Option<&ApiError>,
) {
    match error {
        None => context.metrics.submitted(),
        Some(_) => context.metrics.refused(),
    }
    context.process.audit.record(
        context.process.clock.now(),
        AuditDecision::TaskSubmitted {
            task: shard.task_id(&submission.key),
            team: submission.team.clone(),
            accepted: error.is_none(),
            reason: error.map_or_else(String::new, ToString::to_string),
            sequence: rollout.rollout.sequence,
        },
    );
}
