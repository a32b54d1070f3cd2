//! The worker's HTTP interface.

use std::sync;

use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::watch;

use sapphirewalk_wire::worker as wire;

use crate::clock;
use crate::server;
use crate::server::HandlerAction;
use crate::worker::state::ProcessState;
use crate::worker::state::WorkerState;

/// The part of a worker that [`Worker`](crate::worker::Worker) and its HTTP handler share.
#[derive(Clone, Debug)]
pub(super) struct SharedWorker {
    pub state: sync::Arc<sync::Mutex<WorkerState>>,
    pub process: watch::Receiver<ProcessState>,
}

impl SharedWorker {
    /// Waits until the process is not paused. Returns false when the worker was dropped.
    async fn wait_running(&mut self) -> bool {
        self.process
            .wait_for(|process| *process == ProcessState::Running)
            .await
            .is_ok()
    }

    /// Applies `command` to the state once the process is not paused. `None` when the connection
    /// must be closed without an answer.
    async fn apply<C, R, F>(&mut self, command: &C, apply_to_state: F) -> Option<R>
    where
        F: Fn(&mut WorkerState, &C, u64) -> R,
    {
        while self.wait_running().await {
            let mut state = clock::lock(&self.state);
            if state.process == ProcessState::Paused {
                continue;
            }
            if state.unreachable {
                return None;
            }
            let reply = apply_to_state(&mut state, command, clock::unix_ms());
            return (!state.take_answer_loss()).then_some(reply);
        }
        None
    }
}

/// Serves one request.
pub(super) async fn handle(worker: SharedWorker, request: Request<Incoming>) -> HandlerAction {
    if request.method() != Method::POST {
        return HandlerAction::Answer(server::empty_answer(StatusCode::METHOD_NOT_ALLOWED));
    }
    let (parts, body) = request.into_parts();
    match parts.uri.path() {
        wire::START_PATH => apply_command(worker, body, WorkerState::start, reply_status).await,
        wire::RENEW_PATH => apply_command(worker, body, WorkerState::renew, report_status).await,
        wire::TASK_PATH => apply_command(worker, body, WorkerState::command, reply_status).await,
        _ => HandlerAction::Answer(server::empty_answer(StatusCode::NOT_FOUND)),
    }
}

async fn apply_command<C, R, F>(
    mut worker: SharedWorker,
    body: Incoming,
    apply_to_state: F,
    status: fn(&R) -> StatusCode,
) -> HandlerAction
where
    C: DeserializeOwned,
    R: Serialize,
    F: Fn(&mut WorkerState, &C, u64) -> R,
{
    let Some(command) = server::read_json::<C>(body).await else {
        return HandlerAction::Answer(server::empty_answer(StatusCode::BAD_REQUEST));
    };
    match worker.apply(&command, apply_to_state).await {
        Some(reply) => HandlerAction::Answer(server::json_answer(status(&reply), &reply)),
        None => HandlerAction::Close,
    }
}

const fn reply_status(reply: &wire::CommandReply) -> StatusCode {
    match reply {
        wire::CommandReply::Fenced => StatusCode::CONFLICT,
        wire::CommandReply::Done
        | wire::CommandReply::NotRunning
        | wire::CommandReply::LeaseEnded
        | wire::CommandReply::NoRoom => StatusCode::OK,
    }
}

const fn report_status(report: &wire::WorkerReport) -> StatusCode {
    if report.fenced {
        StatusCode::CONFLICT
    } else {
        StatusCode::OK
    }
}
