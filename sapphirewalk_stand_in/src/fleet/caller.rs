//! HTTP calls to an entry VM: requests to a gateway, and the task interface of a scheduler.

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

/// A request that a caller sends to a gateway.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The kind of the request; the bundle defines its urgency and service.
    pub kind: String,
    /// The user, an organisation that the bundle names.
    pub user: String,
    /// The team of the user.
    pub team: String,
    /// The request's ID; `None` to let the gateway choose one.
    pub request_id: Option<String>,
    /// Identifies a non-idempotent request in all its retries; `None` to send no key.
    pub idempotency_key: Option<String>,
    /// The time until the deadline, in milliseconds; `None` to send no deadline.
    pub deadline_ms: Option<u64>,
    /// How long the stand-in of the endpoint runs the request, in milliseconds.
    pub service_ms: u64,
    /// The size of the answer's body after its first line, in bytes.
    pub answer_bytes: usize,
    /// The path of the URL, which starts with a slash.
    pub path: String,
    /// The body of the request; the stand-in reads and ignores it.
    pub body: Bytes,
}

impl CallerRequest {
    /// A request of team `front` that takes 2 ms, with the user of the generated bundle and no
    /// optional headers.
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
    /// When the gateway does not answer completely.
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

/// A task of the team `stock` for the stand-in workers. Its declared resources and run time are
/// those of `payload`.
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
/// When the scheduler does not answer completely.
pub async fn submit_task(
    scheduler: net::SocketAddr,
    submission: &task::TaskSubmission,
) -> Result<HttpAnswer, CallError> {
    client::post_json(scheduler, task::TASKS_PATH, submission).await
}

/// Gets the state of a task from a scheduler.
///
/// # Errors
///
/// When the scheduler does not answer completely.
pub async fn show_task(scheduler: net::SocketAddr, id: &str) -> Result<HttpAnswer, CallError> {
    client::get(scheduler, &format!("{}/{id}", task::TASKS_PATH)).await
}

/// Requests the cancellation of a task from a scheduler.
///
/// # Errors
///
/// When the scheduler does not answer completely.
pub async fn cancel_task(scheduler: net::SocketAddr, id: &str) -> Result<HttpAnswer, CallError> {
    let path = format!("{}/{id}/cancel", task::TASKS_PATH);
    client::call(scheduler, Method::POST, &path, &[], Bytes::new()).await
}
