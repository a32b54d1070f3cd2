//! Sends one attempt of a request to an endpoint and classifies the result.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;

use sapphirewalk_core::endpoint_health::HealthSample;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::request_outcome::AttemptKey;
use sapphirewalk_core::request_outcome::OutcomeStep;
use sapphirewalk_core::request_outcome::RequestState;
use sapphirewalk_core::slot_hold::SendStep;
use sapphirewalk_core::slot_hold::SlotHold;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::endpoint;

use crate::gateway::connection;
use crate::gateway::connection::ConnectResult;
use crate::gateway::connection::EndpointConnection;
use crate::gateway::guard::SlotGrant;
use crate::gateway::leaving;
use crate::gateway::outcome::EndpointAnswer;
use crate::gateway::request;
use crate::gateway::request::GatewayRequest;
use crate::gateway::state::Gateway;

/// State machine of a request; locked by the dispatch and by each of its attempts.
pub type SharedState = Arc<Mutex<RequestState>>;

/// Input of an attempt that has not been sent yet.
#[derive(Debug)]
pub struct AttemptPlan {
    /// Request to send; shared by its attempts.
    pub request: Arc<GatewayRequest>,
    /// Decides whether this attempt may still be sent.
    pub state: SharedState,
    /// Identifies the attempt within its request.
    pub key: AttemptKey,
    /// Slot at the endpoint to send to; replaced if that endpoint can't be reached.
    pub grant: SlotGrant,
}

/// How an attempt ended, also if it couldn't be sent. The dispatch applies `event` to the state of
/// the request, which decides between an answer, a retry and a failure.
#[derive(Debug)]
pub struct AttemptResult {
    /// Identifies the attempt within its request.
    pub key: AttemptKey,
    /// Endpoint of the last slot; not that of the first slot if that endpoint couldn't be reached.
    pub endpoint: EndpointKey,
    /// Event for the state machine of the request.
    pub event: AttemptEvent,
    /// Complete answer; `None` unless the endpoint sent one.
    pub answer: Option<EndpointAnswer>,
}

/// Result of sending a request over a connection.
enum ExchangeResult {
    /// Complete answer, and its connection for reuse.
    Answered(EndpointAnswer, EndpointConnection),
    /// The request was not written to the connection.
    NotWritten,
    /// The connection broke before the answer was complete, or truncation can't be detected.
    Broken,
    /// The time limit passed before the answer was complete.
    TimedOut,
}

/// Runs an attempt. `None` if the request ended before anything was sent.
pub async fn run(gateway: Arc<Gateway>, mut plan: AttemptPlan) -> Option<AttemptResult> {
    let Some(connection) = open(&gateway, &mut plan).await else {
        return Some(attempt_result(&plan, AttemptEvent::NotSent, None));
    };
    let margin = TimeSpan::from_millis(gateway.process.settings.gateway.slot_margin_ms);
    let deadline = plan.request.deadline;
    let SendStep::Send(hold) = SlotHold::begin(deadline, margin, gateway.now()) else {
        gateway.pool.put(connection);
        return Some(attempt_result(&plan, AttemptEvent::NotSent, None));
    };
    if record_first_byte(&gateway, &plan) != OutcomeStep::Wait {
        gateway.pool.put(connection);
        return None;
    }
    // The attempt outlasts the deadline, so that its slot stays in use while the endpoint works.
    let limit = deadline.point() + margin + plan.request.longest_deadline;
    let limit = limit.since(hold.sent_at()).into();
    let exchange = exchange(&gateway, &plan.request, connection);
    let end = match tokio::time::timeout(limit, exchange).await {
        Ok(end) => end,
        Err(_) => ExchangeResult::TimedOut,
    };
    Some(conclude(&gateway, plan, end, hold))
}

/// Opens a connection to the endpoint of the slot. If that fails, takes a slot at another endpoint.
async fn open(gateway: &Arc<Gateway>, plan: &mut AttemptPlan) -> Option<EndpointConnection> {
    let mut excluded = Vec::new();
    loop {
        let endpoint = plan.grant.slot.endpoint;
        if let ConnectResult::Open(connection) = connection::acquire(gateway, endpoint).await {
            return Some(connection);
        }
        excluded.push(endpoint);
        plan.grant = gateway.take_slot(&plan.request, &excluded)?;
    }
}

/// Locks the state of a request. A lock that is poisoned by a panic is used nevertheless.
pub fn lock(state: &SharedState) -> std::sync::MutexGuard<'_, RequestState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Applies an event of an attempt to the state of its request and returns the next action. A retry
/// is charged to the budget of the service.
pub fn record_event(
    gateway: &Gateway,
    request: &GatewayRequest,
    state: &SharedState,
    key: AttemptKey,
    event: AttemptEvent,
) -> OutcomeStep {
    let now = gateway.now();
    let mut state = lock(state);
    let mut table = gateway.table();
    match table.service_mut(&request.service) {
        Some(service) => state.on_event(key, event, &mut service.budget, now),
        None => OutcomeStep::Drop,
    }
}

fn record_first_byte(gateway: &Gateway, plan: &AttemptPlan) -> OutcomeStep {
    let event = AttemptEvent::FirstByteSent;
    record_event(gateway, &plan.request, &plan.state, plan.key, event)
}

fn conclude(
    gateway: &Arc<Gateway>,
    plan: AttemptPlan,
    end: ExchangeResult,
    hold: SlotHold,
) -> AttemptResult {
    let now = gateway.now();
    let endpoint = plan.grant.slot.endpoint;
    let (event, answer) = match end {
        ExchangeResult::Answered(answer, connection) => {
            let event = classify(&answer, &plan.request.id);
            if answer.headers.contains_key(endpoint::LEAVING_HEADER) {
                leaving::announce(gateway, endpoint, "leaving_header");
            } else if event != AttemptEvent::Broken {
                gateway.pool.put(connection);
            }
            (event, Some(answer))
        }
        ExchangeResult::NotWritten => (AttemptEvent::NotSent, None),
        ExchangeResult::Broken => (AttemptEvent::Broken, None),
        ExchangeResult::TimedOut => (AttemptEvent::TimedOut, None),
    };
    record_sample(gateway, &plan, event, now.since(hold.sent_at()));
    let end = attempt_result(&plan, event, answer);
    if matches!(event, AttemptEvent::Broken | AttemptEvent::TimedOut) {
        // The endpoint may still work on the request.
        plan.grant.guard.hold_until(hold.release_at(now));
    }
    end
}

fn attempt_result(
    plan: &AttemptPlan,
    event: AttemptEvent,
    answer: Option<EndpointAnswer>,
) -> AttemptResult {
    AttemptResult {
        key: plan.key,
        endpoint: plan.grant.slot.endpoint,
        event,
        answer,
    }
}

async fn exchange(
    gateway: &Gateway,
    request: &GatewayRequest,
    mut connection: EndpointConnection,
) -> ExchangeResult {
    let now = gateway.now();
    let Ok(message) = build_message(request, now) else {
        return ExchangeResult::NotWritten;
    };
    let response = match connection.sender.try_send_request(message).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => ExchangeResult::NotWritten,
                None => ExchangeResult::Broken,
            };
        }
    };
    if !has_framed_body(&response) {
        return ExchangeResult::Broken;
    }
    let (parts, body) = response.into_parts();
    let bounded = Limited::new(body, gateway.process.settings.gateway.body_bytes_max);
    let Ok(collected) = bounded.collect().await else {
        return ExchangeResult::Broken;
    };
    let mut headers = parts.headers;
    request::strip_hop_headers(&mut headers);
    let answer = EndpointAnswer {
        status: parts.status,
        headers,
        body: collected.to_bytes(),
    };
    ExchangeResult::Answered(answer, connection)
}

/// Whether the response frames its body, so that truncation is detectable.
fn has_framed_body(response: &Response<Incoming>) -> bool {
    let headers = response.headers();
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
        || response.body().is_end_stream()
}

fn build_message(
    request: &GatewayRequest,
    now: TimePoint,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let remaining = request.deadline.remaining(now).as_millis();
    let mut message = Request::builder()
        .method(request.method.clone())
        .uri(&request.path)
        .body(Full::new(request.body.clone()))?;
    let mut headers = request.headers.clone();
    set_header(&mut headers, endpoint::REQUEST_ID_HEADER, &request.id);
    set_header(
        &mut headers,
        endpoint::DEADLINE_HEADER,
        &remaining.to_string(),
    );
    headers.insert(header::HOST, HeaderValue::from_static("endpoint"));
    *message.headers_mut() = headers;
    Ok(message)
}

/// Sets a header. Has no effect if `value` contains characters that a header can't carry.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(name, value);
    }
}

fn classify(answer: &EndpointAnswer, request_id: &str) -> AttemptEvent {
    let is_refusal = answer.status == StatusCode::SERVICE_UNAVAILABLE
        && answer.headers.contains_key(endpoint::NOT_STARTED_HEADER);
    if is_refusal {
        return AttemptEvent::NotStarted;
    }
    let echoed = answer.headers.get(endpoint::REQUEST_ID_HEADER);
    if echoed.is_none_or(|value| value.as_bytes() != request_id.as_bytes()) {
        return AttemptEvent::Broken;
    }
    if answer.status.is_server_error() {
        AttemptEvent::AnsweredError
    } else {
        AttemptEvent::Answered
    }
}

fn record_sample(gateway: &Gateway, plan: &AttemptPlan, event: AttemptEvent, latency: TimeSpan) {
    let now = gateway.now();
    let key: EndpointKey = plan.grant.slot.endpoint;
    let mut table = gateway.table();
    let kind = table.kinds.find(&plan.request.kind);
    let is_answer = event == AttemptEvent::Answered;
    let Some(service) = table.service_mut(&plan.request.service) else {
        return;
    };
    let expected = kind.map_or(latency, |kind| service.median_latency(kind));
    let sample = match event {
        AttemptEvent::Answered => HealthSample::Answered { latency, expected },
        AttemptEvent::TimedOut => HealthSample::Abandoned {
            waited: latency,
            expected,
        },
        _ => HealthSample::Failed,
    };
    service.health.record(key, sample, now);
    if let Some(kind) = kind.filter(|_| is_answer) {
        service.record_latency(kind, latency);
        service.budget.earn();
        table.record_answer(key, latency, now);
    }
}
