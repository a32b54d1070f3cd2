//! The endpoint's HTTP interface.

use std::io;
use std::sync;
use std::time;

use bytes::Bytes;
use futures::stream;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header;
use tokio::sync::oneshot;

use sapphirewalk_wire::endpoint as wire;

use crate::clock;
use crate::endpoint::ANSWER_BYTES_HEADER;
use crate::endpoint::SERVICE_MS_HEADER;
use crate::endpoint::SharedEndpoint;
use crate::endpoint::fault::EndpointFault;
use crate::endpoint::ledger::RequestRun;
use crate::server;
use crate::server::AnswerBody;
use crate::server::HandlerAction;

/// The service time of a request without a service time header, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 2;
/// The request ID that [`EndpointFault::WrongRequestId`] puts into an answer.
const OTHER_REQUEST_ID: &str = "another-request";
/// Time between the first half of a truncated answer and the end of its connection.
const ABORT_DELAY: time::Duration = time::Duration::from_millis(5);

/// The headers of a request that decide how the endpoint runs it.
#[derive(Clone, Debug)]
struct RequestParameters {
    request_id: String,
    idempotency_key: Option<String>,
    service_ms: u64,
    answer_bytes: usize,
}

impl RequestParameters {
    fn from_headers(headers: &HeaderMap) -> Self {
        let text = |name: &str| {
            let value = headers.get(name)?.to_str().ok()?;
            Some(value.to_owned())
        };
        let number = |name: &str| text(name)?.parse::<u64>().ok();
        Self {
            request_id: text(wire::REQUEST_ID_HEADER).unwrap_or_default(),
            idempotency_key: text(wire::IDEMPOTENCY_KEY_HEADER),
            service_ms: number(SERVICE_MS_HEADER).unwrap_or(DEFAULT_SERVICE_MS),
            answer_bytes: number(ANSWER_BYTES_HEADER).unwrap_or(0) as usize,
        }
    }
}

/// Serves one request.
pub(super) async fn handle(endpoint: SharedEndpoint, request: Request<Incoming>) -> HandlerAction {
    let (parts, body) = request.into_parts();
    if parts.uri.path() == wire::HEALTH_PATH {
        return HandlerAction::Answer(health(&endpoint));
    }
    let parameters = RequestParameters::from_headers(&parts.headers);
    if server::read_bytes(body).await.is_none() {
        return HandlerAction::Close;
    }
    let fault = endpoint.state().faults.take_fault();
    let action = match fault {
        EndpointFault::RefuseBeforeStart => HandlerAction::Answer(not_started_answer()),
        EndpointFault::CloseAfterRead => HandlerAction::Close,
        fault => run_request(&endpoint, parameters, fault).await,
    };
    add_leaving_headers(&endpoint, action)
}

fn health(endpoint: &SharedEndpoint) -> Response<AnswerBody> {
    let mut state = endpoint.state();
    state.health_probes += 1;
    let status = if state.leaving {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    drop(state);
    server::empty_answer(status)
}

fn not_started_answer() -> Response<AnswerBody> {
    let mut answer = server::empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    let value = header::HeaderValue::from_static("1");
    answer.headers_mut().insert(wire::NOT_STARTED_HEADER, value);
    answer
}

fn add_leaving_headers(endpoint: &SharedEndpoint, action: HandlerAction) -> HandlerAction {
    if !endpoint.state().leaving {
        return action;
    }
    match action {
        HandlerAction::Close => HandlerAction::Close,
        HandlerAction::Answer(mut answer) => {
            let headers = answer.headers_mut();
            headers.insert(wire::LEAVING_HEADER, header::HeaderValue::from_static("1"));
            headers.insert(
                header::CONNECTION,
                header::HeaderValue::from_static("close"),
            );
            HandlerAction::Answer(answer)
        }
    }
}

/// Runs the request to its end, also when its caller closes the connection meanwhile.
async fn run_request(
    endpoint: &SharedEndpoint,
    parameters: RequestParameters,
    fault: EndpointFault,
) -> HandlerAction {
    let (done_sender, done_receiver) = oneshot::channel();
    let run = run_in_slot(endpoint.clone(), parameters.clone(), fault, done_sender);
    endpoint.spawn_run(run);
    if done_receiver.await.is_err() {
        return HandlerAction::Close;
    }
    match fault {
        EndpointFault::Error => {
            HandlerAction::Answer(server::empty_answer(StatusCode::INTERNAL_SERVER_ERROR))
        }
        EndpointFault::CloseMidAnswer => HandlerAction::Answer(truncated_answer(&parameters)),
        EndpointFault::CloseAfterRun => HandlerAction::Close,
        EndpointFault::WrongRequestId => {
            HandlerAction::Answer(full_answer(&parameters, OTHER_REQUEST_ID))
        }
        _ => HandlerAction::Answer(full_answer(&parameters, &parameters.request_id)),
    }
}

/// Waits for a slot, holds it for the service time and records the run in the ledger.
async fn run_in_slot(
    endpoint: SharedEndpoint,
    parameters: RequestParameters,
    fault: EndpointFault,
    done_sender: oneshot::Sender<()>,
) {
    let slots = sync::Arc::clone(&endpoint.slots);
    let permit = match slots.try_acquire() {
        Ok(permit) => permit,
        Err(_) => {
            endpoint.state().over_commits += 1;
            let Ok(permit) = slots.acquire().await else {
                return;
            };
            permit
        }
    };
    endpoint.state().slots.increment();
    let run_key = endpoint.ledger.record_start(RequestRun {
        endpoint: endpoint.name.to_string(),
        request_id: parameters.request_id,
        idempotency_key: parameters.idempotency_key,
        started_ms: clock::unix_ms(),
        ended_ms: None,
    });
    let extra_ms = match fault {
        EndpointFault::Slow { extra_ms } => extra_ms,
        _ => 0,
    };
    let service_ms = parameters.service_ms.saturating_add(extra_ms);
    tokio::time::sleep(time::Duration::from_millis(service_ms)).await;
    if fault != EndpointFault::CloseMidAnswer {
        endpoint.ledger.record_end(run_key, clock::unix_ms());
    }
    endpoint.state().slots.decrement();
    drop(permit);
    // The receiver is dropped when the caller has closed its connection.
    let _ = done_sender.send(());
}

fn body_bytes(parameters: &RequestParameters, request_id: &str) -> Bytes {
    let mut body = request_id.as_bytes().to_vec();
    body.push(b'\n');
    body.resize(body.len() + parameters.answer_bytes, b'x');
    body.into()
}

fn full_answer(parameters: &RequestParameters, request_id: &str) -> Response<AnswerBody> {
    let body = body_bytes(parameters, request_id);
    let mut answer = server::bytes_answer(StatusCode::OK, body);
    set_request_id(&mut answer, request_id);
    answer
}

/// An answer whose connection closes after half of the body.
fn truncated_answer(parameters: &RequestParameters) -> Response<AnswerBody> {
    let mut body = body_bytes(parameters, &parameters.request_id);
    let length = body.len();
    body.truncate(length / 2);
    let first = stream::once(async move { Ok(Frame::data(body)) });
    let second = stream::once(async {
        tokio::time::sleep(ABORT_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    let halves = stream::StreamExt::chain(first, second);
    let mut answer = Response::new(StreamBody::new(halves).boxed_unsync());
    let length = header::HeaderValue::from(length);
    answer.headers_mut().insert(header::CONTENT_LENGTH, length);
    set_request_id(&mut answer, &parameters.request_id);
    answer
}

fn set_request_id(answer: &mut Response<AnswerBody>, request_id: &str) {
    if let Ok(value) = header::HeaderValue::from_str(request_id) {
        answer.headers_mut().insert(wire::REQUEST_ID_HEADER, value);
    }
}
