//! Accepts connections from callers and answers their requests.

use std::pin;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;

use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_wire::endpoint;

use crate::caller_server::BodyFault;
use crate::caller_server::ConnectionHandle;
use crate::gateway::attempt;
use crate::gateway::outcome::NotRunReason;
use crate::gateway::outcome::RequestFault;
use crate::gateway::outcome::RequestOutcome;
use crate::gateway::request::RequestHead;
use crate::gateway::request_pipeline;
use crate::gateway::state::Gateway;

/// `Retry-After` value of answers to requests that did not run, in seconds.
const RETRY_AFTER_SECONDS: &str = "1";
/// Copies of a body that exist while its request runs: the body itself and that in the call to a
/// peer.
const REQUEST_COPIES: usize = 2;
/// Time for which connections in the listen backlog are still accepted.
const BACKLOG_TIMEOUT: time::Duration = time::Duration::from_millis(50);

/// Accepts connections until `stop` is sent, then those in the backlog, and closes the listener.
pub async fn accept_all(gateway: Arc<Gateway>, listener: TcpListener, stop: oneshot::Receiver<()>) {
    let mut stop = pin::pin!(stop);
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => spawn_connection(&gateway, stream).await,
                // For example, no file descriptor is free: lets other tasks close some.
                Err(_) => tokio::task::yield_now().await,
            },
            _ = &mut stop => break,
        }
    }
    let backlog = async {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_connection(&gateway, stream).await;
        }
    };
    let _ = tokio::time::timeout(BACKLOG_TIMEOUT, backlog).await;
}

async fn spawn_connection(gateway: &Arc<Gateway>, stream: TcpStream) {
    if let Some(connection) = gateway.process.callers.admit().await {
        tokio::spawn(serve_connection(Arc::clone(gateway), stream, connection));
    }
}

async fn serve_connection(
    gateway: Arc<Gateway>,
    stream: TcpStream,
    connection: Arc<ConnectionHandle>,
) {
    let Some(_in_flight) = gateway.drain.enter() else {
        return;
    };
    let serve = |request, connection| answer(Arc::clone(&gateway), connection, request);
    connection
        .serve(stream, serve, gateway.drain.wait_closed())
        .await;
}

async fn answer(
    gateway: Arc<Gateway>,
    connection: Arc<ConnectionHandle>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = split(gateway.next_token(), request);
    let id = head.id().to_owned();
    let is_draining = gateway.process.shutdown.has_begun();
    let (sender, receiver) = oneshot::channel();
    // Uses a task of its own: a request that was sent to an endpoint continues to its outcome even
    // if the caller disconnects.
    tokio::spawn(run_request(gateway, connection, head, body, sender));
    let end = receiver
        .await
        .unwrap_or(RequestOutcome::NotRun(NotRunReason::CallerGone));
    let closes = is_draining || end.leaves_body_unread();
    let mut response = build_response(end, &id);
    if closes {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

fn split(token: String, request: Request<Incoming>) -> (RequestHead, Incoming) {
    let (parts, body) = request.into_parts();
    let path = parts.uri.path_and_query();
    let head = RequestHead {
        token,
        method: parts.method,
        path: path.map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: parts.headers,
        origin: RequestOrigin::Caller,
    };
    (head, body)
}

async fn run_request(
    gateway: Arc<Gateway>,
    connection: Arc<ConnectionHandle>,
    head: RequestHead,
    body: Incoming,
    mut answer: oneshot::Sender<RequestOutcome>,
) {
    let limit = gateway.process.settings.gateway.body_bytes_max;
    let received = connection.read_body(body, limit, REQUEST_COPIES).await;
    // The request may outlast the connection, whose place is free then.
    drop(connection);
    let end = match received {
        Ok(received) => {
            let (body, _reservation) = received.into_parts();
            request_pipeline::run(&gateway, head, body.into(), &mut answer).await
        }
        Err(fault) => request_pipeline::refuse(&gateway, &head, fault.into()),
    };
    // An error means that the caller has disconnected.
    let _ = answer.send(end);
}

impl From<BodyFault> for NotRunReason {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::TooLong => Self::Fault(RequestFault::BodyTooLarge),
            BodyFault::Broken => Self::Fault(RequestFault::BodyBroken),
            BodyFault::NoMemory => Self::NoMemory,
        }
    }
}

fn build_response(end: RequestOutcome, id: &str) -> Response<Full<Bytes>> {
    let (outcome, reason) = (end.outcome_name(), end.reason());
    let status = end.status();
    let (headers, body) = match end {
        RequestOutcome::Answered(answer) => (answer.headers, answer.body),
        other => (
            hyper::HeaderMap::new(),
            Bytes::from_static(other.remedy().as_bytes()),
        ),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    let headers = response.headers_mut();
    attempt::set_header(headers, endpoint::REQUEST_ID_HEADER, id);
    attempt::set_header(headers, endpoint::OUTCOME_HEADER, outcome);
    if outcome != endpoint::OUTCOME_ANSWERED {
        attempt::set_header(headers, endpoint::REASON_HEADER, reason);
    }
    if outcome == endpoint::OUTCOME_NOT_RUN {
        attempt::set_header(headers, header::RETRY_AFTER.as_str(), RETRY_AFTER_SECONDS);
    }
    response
}
