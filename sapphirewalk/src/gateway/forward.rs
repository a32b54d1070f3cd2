//! Forwards requests to peers with free slots, and runs the requests that peers forward.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_core::retry_budget::BudgetCharge;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::endpoint;

use crate::gateway::attempt;
use crate::gateway::outcome::EndpointAnswer;
use crate::gateway::outcome::RequestOutcome;
use crate::gateway::outcome::UnknownReason;
use crate::gateway::peer_chooser::PeerChooser;
use crate::gateway::request::GatewayRequest;
use crate::gateway::request::RequestHead;
use crate::gateway::request_pipeline;
use crate::gateway::state::Gateway;
use crate::peer::ForwardAnswer;
use crate::peer::ForwardOutcome;
use crate::peer::ForwardRequest;
use crate::peer::HeaderEntry;
use crate::peer::PeerAddress;
use crate::peer::PeerCall;
use crate::peer::PeerError;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Round trip that is assumed to fit into the remaining time of any queued request. The peer is
/// chosen before the request, whose own remaining time is not known then.
const ROUND_TRIP_LIMIT: TimeSpan = TimeSpan::from_millis(10);
/// Maximum number of peers that are tried for one request before it is queued or refused here.
const FORWARD_ATTEMPTS_MAX: u32 = 3;

/// Result of forwarding a request to one peer.
enum ForwardCallResult {
    /// The peer accepted the request and reported its outcome.
    Ended(RequestOutcome),
    /// The request did not run at the peer.
    NotTaken,
    /// No answer arrived, but the request may have run at the peer.
    Lost(UnknownReason),
}

/// Result of forwarding a request to a peer.
#[derive(Debug)]
pub enum ForwardResult {
    /// A peer accepted the request, or may have accepted it.
    Ended {
        /// Outcome of the request.
        end: RequestOutcome,
        /// Name of the peer's VM.
        peer: String,
    },
    /// No peer accepted the request. It has not run, or it is idempotent and a retry was charged to
    /// the budget of its service.
    NotTaken,
}

/// Copies the free slots that peers last reported to the peer chooser.
pub fn update_peers(gateway: &Gateway) {
    let domain = &gateway.process.settings.vm.domain;
    for view in gateway.process.gossip.peers() {
        let peer = gateway.process.find_peer(&view.status.vm);
        let is_same_domain = peer.is_some_and(|peer| peer.domain == *domain);
        lock(gateway).update(&view, is_same_domain);
    }
}

/// Forwards queued requests to peers with free slots, in the order in which they would run here.
pub fn forward_waiting(gateway: &Gateway, service: &str) {
    let now = gateway.now();
    let has_waiting = || {
        let table = gateway.table();
        let state = table.service(service);
        state.is_some_and(|state| state.admission.waiting() > 0)
    };
    while has_waiting() {
        let Some(peer) = lock(gateway).choose(service, ROUND_TRIP_LIMIT, now) else {
            return;
        };
        gateway.forward_next(service, peer);
    }
}

/// Forwards a request to a peer with a free slot, and to another one if it is not accepted.
pub async fn forward(gateway: &Gateway, request: &GatewayRequest) -> ForwardResult {
    for _ in 0..FORWARD_ATTEMPTS_MAX {
        let now = gateway.now();
        let remaining = request.deadline.remaining(now);
        let chosen = lock(gateway).choose(&request.service, remaining, now);
        let Some(name) = chosen else {
            return ForwardResult::NotTaken;
        };
        if let ForwardResult::Ended { end, peer } = forward_to(gateway, request, name).await {
            return ForwardResult::Ended { end, peer };
        }
    }
    ForwardResult::NotTaken
}

/// Forwards a request to the peer `name`, which was chosen for it. Has no effect if the deadline
/// has passed or the peer is unknown.
pub async fn forward_to(
    gateway: &Gateway,
    request: &GatewayRequest,
    name: String,
) -> ForwardResult {
    let is_late = gateway.now() >= request.deadline.point();
    let Some(peer) = gateway.process.find_peer(&name).filter(|_| !is_late) else {
        lock(gateway).mark_full(&request.service, &name);
        return ForwardResult::NotTaken;
    };
    let end = match call(gateway, request, &peer).await {
        ForwardCallResult::Ended(end) => end,
        ForwardCallResult::NotTaken => return ForwardResult::NotTaken,
        ForwardCallResult::Lost(_) if spend_retry(gateway, request) => {
            lock(gateway).mark_full(&request.service, &name);
            return ForwardResult::NotTaken;
        }
        ForwardCallResult::Lost(reason) => RequestOutcome::Unknown(reason),
    };
    gateway.counters.count_forward();
    ForwardResult::Ended { end, peer: name }
}

/// Runs a request that a peer forwarded, if this gateway's share has a free slot, and replies with
/// its outcome.
pub async fn answer(gateway: Arc<Gateway>, call: PeerCall) {
    let PeerRequest::Forward(forwarded) = &call.request else {
        call.answer(PeerReply::NotServed);
        return;
    };
    let head = RequestHead {
        token: gateway.next_token(),
        method: forwarded.method.parse().unwrap_or(Method::GET),
        path: forwarded.path.clone(),
        headers: parse_headers(&forwarded.headers),
        origin: RequestOrigin::Peer,
    };
    let body = call.body.clone();
    let end = request_pipeline::run_forwarded(&gateway, head, body).await;
    let service = gateway.service_of_kind(&forwarded.kind).unwrap_or_default();
    let free_slots = gateway.table().free_slots(&service, gateway.now());
    let reason = end.reason().to_owned();
    let status = end.status().as_u16();
    let (outcome, headers, body) = match end {
        RequestOutcome::Answered(answer) => (
            ForwardOutcome::Answered,
            header_entries(&answer.headers),
            answer.body,
        ),
        RequestOutcome::NotRun(_) => (ForwardOutcome::NotRun, Vec::new(), Bytes::new()),
        RequestOutcome::Unknown(_) => (ForwardOutcome::Unknown, Vec::new(), Bytes::new()),
        RequestOutcome::Duplicate => (ForwardOutcome::Duplicate, Vec::new(), Bytes::new()),
    };
    let answer = ForwardAnswer {
        outcome,
        status,
        headers,
        reason,
        free_slots,
    };
    call.answer_with_body(PeerReply::Forwarded(answer), body);
}

/// Whether a request that may have run at a peer can be sent again. If so, a retry is charged to
/// the budget.
fn spend_retry(gateway: &Gateway, request: &GatewayRequest) -> bool {
    if !request.is_idempotent || gateway.now() >= request.deadline.point() {
        return false;
    }
    let mut table = gateway.table();
    let service = table.service_mut(&request.service);
    service.is_some_and(|service| service.budget.spend() == BudgetCharge::Charged)
}

async fn call(
    gateway: &Gateway,
    request: &GatewayRequest,
    peer: &PeerAddress,
) -> ForwardCallResult {
    let message = PeerRequest::Forward(build_message(gateway, request));
    let limit = request.deadline.remaining(gateway.now()).into();
    let call = gateway
        .process
        .transport
        .call(peer, &message, request.body.clone());
    match tokio::time::timeout(limit, call).await {
        Ok(Ok((PeerReply::Forwarded(answer), body))) => {
            let now = gateway.now();
            lock(gateway).update_from_answer(&request.service, &peer.name, answer.free_slots, now);
            forward_waiting(gateway, &request.service);
            parse_answer(&answer, body)
        }
        Ok(Ok(_) | Err(PeerError::Unreachable(_))) => {
            lock(gateway).mark_full(&request.service, &peer.name);
            ForwardCallResult::NotTaken
        }
        Ok(Err(_)) => ForwardCallResult::Lost(UnknownReason::PeerLost),
        Err(_) => ForwardCallResult::Lost(UnknownReason::TimedOut),
    }
}

fn build_message(gateway: &Gateway, request: &GatewayRequest) -> ForwardRequest {
    let remaining = request.deadline.remaining(gateway.now()).as_millis();
    let mut headers = request.headers.clone();
    attempt::set_header(&mut headers, endpoint::REQUEST_ID_HEADER, &request.id);
    attempt::set_header(
        &mut headers,
        endpoint::DEADLINE_HEADER,
        &remaining.to_string(),
    );
    ForwardRequest {
        method: request.method.to_string(),
        path: request.path.clone(),
        headers: header_entries(&headers),
        kind: request.kind.clone(),
        user: request.user.clone(),
        request_id: request.id.clone(),
        deadline_ms: remaining,
        hops: 1,
    }
}

fn parse_answer(answer: &ForwardAnswer, body: Bytes) -> ForwardCallResult {
    match answer.outcome {
        ForwardOutcome::NotRun => ForwardCallResult::NotTaken,
        ForwardOutcome::Unknown => {
            ForwardCallResult::Ended(RequestOutcome::Unknown(UnknownReason::Broken))
        }
        ForwardOutcome::Duplicate => ForwardCallResult::Ended(RequestOutcome::Duplicate),
        ForwardOutcome::Answered => {
            ForwardCallResult::Ended(RequestOutcome::Answered(EndpointAnswer {
                status: StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY),
                headers: parse_headers(&answer.headers),
                body,
            }))
        }
    }
}

fn header_entries(headers: &HeaderMap) -> Vec<HeaderEntry> {
    headers
        .iter()
        .map(|(name, value)| HeaderEntry {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
        .collect()
}

fn parse_headers(entries: &[HeaderEntry]) -> HeaderMap {
    entries
        .iter()
        .filter_map(|entry| {
            let name = HeaderName::from_bytes(entry.name.as_bytes()).ok()?;
            let value = HeaderValue::from_bytes(&entry.value).ok()?;
            Some((name, value))
        })
        .collect()
}

fn lock(gateway: &Gateway) -> MutexGuard<'_, PeerChooser> {
    gateway.peers.lock().unwrap_or_else(PoisonError::into_inner)
}
