//! Answers to callers, and the errors with which a call is refused.

use std::fmt;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use serde::Serialize;

use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::task::TaskAnswer;

/// `Retry-After` value of an answer for lack of memory, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";

/// The error with which a call is refused. It concerns this call only: an earlier call with the
/// same key may have been accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ApiError {
    /// The body is not the JSON text of a submission.
    Body {
        /// The parser's message, with the path of the field.
        cause: String,
    },
    /// A field has an invalid value.
    Field {
        /// The field's path, such as `resources.cpu_millis`.
        path: &'static str,
        /// The fault and how to correct it.
        remedy: String,
    },
    /// A submission with different content has the same key.
    KeyTaken {
        /// The ID of the task with this key.
        id: String,
    },
    /// Too many tasks of the team wait in the task's shard.
    TeamFull {
        /// The team's name as submitted.
        team: String,
    },
    /// Too many tasks wait in the task's shard.
    QueueFull,
    /// No bundle is in force, the bundle in force has no shards, or the process is shutting down.
    NotReady,
    /// The table did not answer, and nothing was written.
    TableDown {
        /// The platform client's message.
        cause: String,
    },
    /// The table's answer was lost, so the call may have taken effect.
    OutcomeUnknown,
    /// No task has this ID, its row can't be read as a task, or it is behind too many pointers.
    NoTask,
    /// The method and path match no call of the interface.
    NoPath,
    /// There is no memory for the body at present.
    NoMemory,
    /// The body exceeds the limit, or it could not be received.
    BodyTooLarge,
}

/// The body of an answer that refuses a call.
#[derive(Debug)]
#[derive(Serialize)]
struct ErrorAnswer {
    error: String,
    accepted: &'static str,
}

impl ApiError {
    const fn status(&self) -> StatusCode {
        match self {
            Self::Body { .. } | Self::Field { .. } => StatusCode::BAD_REQUEST,
            Self::KeyTaken { .. } => StatusCode::CONFLICT,
            Self::TeamFull { .. } => StatusCode::TOO_MANY_REQUESTS,
            Self::QueueFull
            | Self::NotReady
            | Self::NoMemory
            | Self::TableDown { .. }
            | Self::OutcomeUnknown => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoTask | Self::NoPath => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        }
    }

    const fn accepted(&self) -> &'static str {
        match self {
            Self::OutcomeUnknown => "unknown",
            _ => "not_by_this_call",
        }
    }
}

impl fmt::Display for ApiError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Body { cause } => write!(formatter, "{cause}; correct the body"),
            Self::Field { path, remedy } => write!(formatter, "{path}: {remedy}"),
            Self::KeyTaken { id } => write!(
                formatter,
                "key: task {id} has it with another content; choose another key"
            ),
            Self::TeamFull { team } => write!(
                formatter,
                "team: too many tasks of {team} wait; submit again when some have started"
            ),
            Self::QueueFull => write!(formatter, "too many tasks wait; submit again later"),
            Self::NotReady => write!(
                formatter,
                "this process takes no tasks now; use another entry VM"
            ),
            Self::TableDown { cause } => write!(
                formatter,
                "not accepted, since an accepted task is never lost or doubled and the table gives \
                 no answer ({cause}); submit again with the same key"
            ),
            Self::OutcomeUnknown => write!(
                formatter,
                "the table's answer was lost; submit again with the same key, it is the same task"
            ),
            Self::NoTask => write!(formatter, "no such task; check the ID"),
            Self::NoPath => write!(formatter, "no such path; use /v1/tasks"),
            Self::NoMemory => write!(
                formatter,
                "no memory for the body at present; submit again later"
            ),
            Self::BodyTooLarge => write!(formatter, "body too large; shorten the payload"),
        }
    }
}

/// The answer that shows a task under the ID that the caller used.
pub fn task_answer(status: StatusCode, id: &str, row: &TaskRow) -> Response<Full<Bytes>> {
    let answer = TaskAnswer {
        id: id.to_owned(),
        state: row.state,
        attempts: row.attempt,
        worker: row.worker.as_ref().map(|name| name.name.clone()),
        reason: row.reason.clone(),
    };
    json_answer(status, &answer)
}

/// The answer that refuses a call, with the status code that belongs to the error.
pub fn error_answer(error: &ApiError) -> Response<Full<Bytes>> {
    let answer = ErrorAnswer {
        error: error.to_string(),
        accepted: error.accepted(),
    };
    let mut response = json_answer(error.status(), &answer);
    if matches!(error, ApiError::NoMemory | ApiError::BodyTooLarge) {
        // The rest of the body stays unread, so the connection can't be reused.
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    if *error == ApiError::NoMemory {
        let seconds = header::HeaderValue::from_static(RETRY_AFTER_SECONDS);
        response.headers_mut().insert(header::RETRY_AFTER, seconds);
    }
    response
}

fn json_answer<A: Serialize>(status: StatusCode, answer: &A) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(answer).unwrap_or_default();
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    let json = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
