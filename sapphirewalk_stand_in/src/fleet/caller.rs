//! What callers and operators say to an entry VM over HTTP.

use std::net;

use bytes::Bytes;
use hyper::Method;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::endpoint as endpoint_wire;
use sapphirewalk_wire::task;

use crate::client;
use crate::client::CallError;
use crate::client::HttpAnswer;
use crate::endpoint;
use crate::fleet::plan;
use crate::worker::TaskPayload;

/// A request as a caller sends it to a gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The kind of work.
    pub kind: String,
    /// The user.
    pub user: String,
    /// The team.
    pub team: String,
    /// The request's ID; the gateway chooses one when it is `None`.
    pub request_id: Option<String>,
    /// Identifies a non-idempotent request across repeats.
    pub idempotency_key: Option<String>,
    /// The time left to answer, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// How long the endpoint runs it, in milliseconds.
    pub service_ms: u64,
    /// Bytes of the answer's body after its first line.
    pub answer_bytes: usize,
    /// The path.
    pub path: String,
    /// The body.
    pub body: Bytes,
}

impl CallerRequest {
    /// A short request of a kind of the plan's bundle.
    pub fn new(kind: &str) -> Self {
        Self {
            kind: kind.to_owned(),
            user: plan::USER_NAME.to_owned(),
            team: "front".to_owned(),
            request_id: None,
            idempotency_key: None,
            deadline_ms: None,
            service_ms: 2,
            answer_bytes: 100,
            path: "/".to_owned(),
            body: Bytes::from_static(b"order"),
        }
    }

    /// Sends the request to a gateway and reads the whole answer.
    ///
    /// # Errors
    ///
    /// When no whole answer comes.
    pub async fn send(&self, gateway: net::SocketAddr) -> Result<HttpAnswer, CallError> {
        let service_ms = self.service_ms.to_string();
        let answer_bytes = self.answer_bytes.to_string();
        let deadline_ms = self.deadline_ms.map(|deadline_ms| deadline_ms.to_string());
        let mut headers = vec![
            (endpoint_wire::KIND_HEADER, self.kind.as_str()),
            (endpoint_wire::USER_HEADER, self.user.as_str()),
            (endpoint_wire::TEAM_HEADER, self.team.as_str()),
            (endpoint::SERVICE_MS_HEADER, service_ms.as_str()),
            (endpoint::ANSWER_BYTES_HEADER, answer_bytes.as_str()),
        ];
        let optional = [
            (endpoint_wire::REQUEST_ID_HEADER, &self.request_id),
            (endpoint_wire::IDEMPOTENCY_KEY_HEADER, &self.idempotency_key),
            (endpoint_wire::DEADLINE_HEADER, &deadline_ms),
        ];
        for (name, value) in optional {
            headers.extend(value.as_deref().map(|text| (name, text)));
        }
        let body = self.body.clone();
        client::call(gateway, Method::POST, &self.path, &headers, body).await
    }
}

/// A task of the team `stock` that the stand-in workers simulate, declared as it is.
pub fn task_submission(key: &str, kind: &str, payload: &TaskPayload) -> task::TaskSubmission {
    task::TaskSubmission {
        key: key.to_owned(),
        kind: kind.to_owned(),
        team: "stock".to_owned(),
        resources: ResourceVector {
            cpu_millis: payload.cpu_millis,
            memory_mib: payload.memory_mib,
            accelerators: 0,
        },
        expected_run_ms: payload.run_ms,
        payload: payload.to_text(),
    }
}

/// Submits a task to a scheduler.
///
/// # Errors
///
/// When no whole answer comes.
pub async fn submit_task(
    scheduler: net::SocketAddr,
    submission: &task::TaskSubmission,
) -> Result<HttpAnswer, CallError> {
    client::post_json(scheduler, task::TASKS_PATH, submission).await
}

/// Asks a scheduler for a task.
///
/// # Errors
///
/// When no whole answer comes.
pub async fn show_task(scheduler: net::SocketAddr, id: &str) -> Result<HttpAnswer, CallError> {
    client::get(scheduler, &format!("{}/{id}", task::TASKS_PATH)).await
}

/// Asks a scheduler to cancel a task.
///
/// # Errors
///
/// When no whole answer comes.
pub async fn cancel_task(scheduler: net::SocketAddr, id: &str) -> Result<HttpAnswer, CallError> {
    let path = format!("{}/{id}/cancel", task::TASKS_PATH);
    client::call(scheduler, Method::POST, &path, &[], Bytes::new()).await
}
