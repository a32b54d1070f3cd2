//! Parses and validates submissions.

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::task::TaskState;
use sapphirewalk_wire::task::TaskSubmission;

use crate::scheduler::api::answer::ApiError;

/// The greatest length of a key in characters.
const KEY_CHARS_MAX: usize = 64;

/// Parses a submission and validates it against the bundle.
///
/// # Errors
///
/// If the submission is invalid; the error names the field of the first fault and its remedy.
pub fn parse(body: &[u8], document: &BundleDocument) -> Result<TaskSubmission, ApiError> {
    let mut json = serde_json::Deserializer::from_slice(body);
    let submission: TaskSubmission =
        serde_path_to_error::deserialize(&mut json).map_err(|error| ApiError::Body {
            cause: error.to_string(),
        })?;
    check_key(&submission.key)?;
    check_names(&submission, document)?;
    check_resources(submission.resources)?;
    if submission.expected_run_ms == 0 {
        field_error("expected_run_ms", "is 0; state at least 1 ms")?;
    }
    Ok(submission)
}

/// The row of a new task that was submitted at `now`.
pub fn new_row(submission: &TaskSubmission, now: TimePoint) -> TaskRow {
    TaskRow {
        kind: submission.kind.clone(),
        team: submission.team.clone(),
        resources: submission.resources,
        expected_run_ms: submission.expected_run_ms,
        payload: submission.payload.clone(),
        submitted_at_ms: now.as_millis(),
        state: TaskState::Pending,
        attempt: 0,
        attempt_token: String::new(),
        worker: None,
        granted: ResourceVector::ZERO,
        checkpoint: None,
        evictions: 0,
        failures: 0,
        losses: 0,
        cancel_requested: false,
        reason: None,
        moved_to: None,
        moved_from: None,
        ended_at_ms: None,
    }
}

/// Whether the row's task was submitted with the same content. Keys are not compared.
pub fn is_same(row: &TaskRow, submission: &TaskSubmission) -> bool {
    row.kind == submission.kind
        && row.team == submission.team
        && row.resources == submission.resources
        && row.expected_run_ms == submission.expected_run_ms
        && row.payload == submission.payload
}

fn check_key(key: &str) -> Result<(), ApiError> {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if key.is_empty() || key.len() > KEY_CHARS_MAX {
        return field_error("key", "has not 1 to 64 characters; choose another");
    }
    if !key.bytes().all(is_allowed) {
        return field_error(
            "key",
            "holds other than letters, digits, -, _ and .; choose another",
        );
    }
    Ok(())
}

fn check_names(submission: &TaskSubmission, document: &BundleDocument) -> Result<(), ApiError> {
    let kind = document
        .kinds
        .iter()
        .find(|entry| entry.name == submission.kind);
    match kind {
        None => return field_error("kind", "is not in the bundle; use a kind that it names"),
        Some(entry) if entry.service.is_some() => {
            return field_error("kind", "is of a service; use a kind of batch tasks");
        }
        Some(_) => {}
    }
    if !document
        .teams
        .iter()
        .any(|entry| entry.name == submission.team)
    {
        return field_error("team", "is not in the bundle; use a team that it names");
    }
    Ok(())
}

fn check_resources(resources: ResourceVector) -> Result<(), ApiError> {
    if resources.cpu_millis == 0 {
        return field_error("resources.cpu_millis", "is 0; state at least 1");
    }
    if resources.memory_mib == 0 {
        return field_error("resources.memory_mib", "is 0; state at least 1");
    }
    Ok(())
}

fn field_error(path: &'static str, remedy: &str) -> Result<(), ApiError> {
    Err(ApiError::Field {
        path,
        remedy: remedy.to_owned(),
    })
}
