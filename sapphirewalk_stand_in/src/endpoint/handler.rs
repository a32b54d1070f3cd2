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

/// The service time of a request that names none, in milliseconds.
const DEFAULT_SERVICE_MS: u64 = 2;
/// The ID in an answer of another request.
const OTHER_REQUEST_ID: &str = "another-request";
/// Time between the two halves of an answer that breaks off.
const BREAK_DELAY: time::Duration = time::Duration::from_millis(5);

/// What a request asks of the endpoint.
#[derive(Clone, Debug)]
struct WorkOrder {
    request_id: String,
    idempotency_key: Option<String>,
    service_ms: u64,
    answer_bytes: usize,
}

impl WorkOrder {
    fn read(headers: &HeaderMap) -> Self {
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
    let order = WorkOrder::read(&parts.headers);
    if server::read_bytes(body).await.is_none() {
        return HandlerAction::Close;
    }
    let fault = endpoint.state().faults.take();
    let action = match fault {
        EndpointFault::RefuseBeforeStart => HandlerAction::Answer(refusal()),
        EndpointFault::CloseAfterRead => HandlerAction::Close,
        fault => run(&endpoint, order, fault).await,
    };
    mark_leaving(&endpoint, action)
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

fn refusal() -> Response<AnswerBody> {
    let mut answer = server::empty_answer(StatusCode::SERVICE_UNAVAILABLE);
    let value = header::HeaderValue::from_static("1");
    answer.headers_mut().insert(wire::NOT_STARTED_HEADER, value);
    answer
}

fn mark_leaving(endpoint: &SharedEndpoint, action: HandlerAction) -> HandlerAction {
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

/// Runs the request to its end, also when its caller goes away meanwhile.
async fn run(endpoint: &SharedEndpoint, order: WorkOrder, fault: EndpointFault) -> HandlerAction {
    let (done, waiting) = oneshot::channel();
    let work = work(endpoint.clone(), order.clone(), fault, done);
    endpoint.spawn_run(work);
    if waiting.await.is_err() {
        return HandlerAction::Close;
    }
    match fault {
        EndpointFault::Error => {
            HandlerAction::Answer(server::empty_answer(StatusCode::INTERNAL_SERVER_ERROR))
        }
        EndpointFault::CloseMidAnswer => HandlerAction::Answer(broken_answer(&order)),
        EndpointFault::CloseAfterRun => HandlerAction::Close,
        EndpointFault::WrongRequestId => {
            HandlerAction::Answer(whole_answer(&order, OTHER_REQUEST_ID))
        }
        _ => HandlerAction::Answer(whole_answer(&order, &order.request_id)),
    }
}

/// Holds a slot for the service time.
async fn work(
    endpoint: SharedEndpoint,
    order: WorkOrder,
    fault: EndpointFault,
    done: oneshot::Sender<()>,
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
    endpoint.state().slots.rise();
    let run_key = endpoint.ledger.record_start(RequestRun {
        endpoint: endpoint.name.to_string(),
        request_id: order.request_id,
        idempotency_key: order.idempotency_key,
        started_ms: clock::unix_ms(),
        ended_ms: None,
    });
    let extra_ms = match fault {
        EndpointFault::Slow { extra_ms } => extra_ms,
        _ => 0,
    };
    let service_ms = order.service_ms.saturating_add(extra_ms);
    tokio::time::sleep(time::Duration::from_millis(service_ms)).await;
    if fault != EndpointFault::CloseMidAnswer {
        endpoint.ledger.record_end(run_key, clock::unix_ms());
    }
    endpoint.state().slots.fall();
    drop(permit);
    // The caller may have gone.
    let _ = done.send(());
}

fn body_bytes(order: &WorkOrder, request_id: &str) -> Bytes {
    let mut body = request_id.as_bytes().to_vec();
    body.push(b'\n');
    body.resize(body.len() + order.answer_bytes, b'x');
    body.into()
}

fn whole_answer(order: &WorkOrder, request_id: &str) -> Response<AnswerBody> {
    let body = body_bytes(order, request_id);
    let mut answer = server::bytes_answer(StatusCode::OK, body);
    set_request_id(&mut answer, request_id);
    answer
}

/// An answer whose connection breaks after half of the body.
fn broken_answer(order: &WorkOrder) -> Response<AnswerBody> {
    let mut body = body_bytes(order, &order.request_id);
    let length = body.len();
    body.truncate(length / 2);
    let first = stream::once(async move { Ok(Frame::data(body)) });
    let second = stream::once(async {
        tokio::time::sleep(BREAK_DELAY).await;
        Err(io::Error::from(io::ErrorKind::ConnectionAborted))
    });
    let halves = stream::StreamExt::chain(first, second);
    let mut answer = Response::new(StreamBody::new(halves).boxed_unsync());
    let length = header::HeaderValue::from(length);
    answer.headers_mut().insert(header::CONTENT_LENGTH, length);
    set_request_id(&mut answer, &order.request_id);
    answer
}

fn set_request_id(answer: &mut Response<AnswerBody>, request_id: &str) {
    if let Ok(value) = header::HeaderValue::from_str(request_id) {
        answer.headers_mut().insert(wire::REQUEST_ID_HEADER, value);
    }
}
