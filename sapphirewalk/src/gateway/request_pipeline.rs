//! Stages of a request: parse, admit, claim its idempotency key, dispatch or forward, record.

use std::sync::Arc;

use bytes::Bytes;
use slog::debug;
use tokio::sync::oneshot;

use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::endpoint;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::gateway::dispatch;
use crate::gateway::forward;
use crate::gateway::forward::ForwardStep;
use crate::gateway::guard::RequestGrant;
use crate::gateway::idempotency;
use crate::gateway::idempotency::KeyStep;
use crate::gateway::outcome::NotRunReason;
use crate::gateway::outcome::RequestEnd;
use crate::gateway::request::GatewayRequest;
use crate::gateway::request::RequestHead;
use crate::gateway::service::WaitEnd;
use crate::gateway::state::AdmitStep;
use crate::gateway::state::Gateway;
use crate::gateway::state::QueuedRequest;

/// Outcome of a request, and the VM that it was sent to.
#[derive(Debug)]
pub struct RequestSummary {
    /// Outcome for the caller or the forwarding peer.
    pub end: RequestEnd,
    /// Endpoint that answered or was tried last; `None` if this gateway tried none.
    pub endpoint: Option<String>,
    /// Peer that accepted it, or may have; `None` if it was not forwarded.
    pub forwarded_to: Option<String>,
}

/// Result of admission: a grant to run here, or the outcome of a request that does not.
enum Placement {
    Run(RequestGrant),
    End(RequestSummary),
}

/// Event that ended a wait in the queue.
enum WaitStep {
    Ended(WaitEnd),
    Deadline,
    CallerGone,
}

/// Runs a caller's request to its outcome. `answer` is closed when the caller disconnects.
pub async fn run<T>(
    gateway: &Arc<Gateway>,
    head: RequestHead,
    body: Bytes,
    answer: &mut oneshot::Sender<T>,
) -> RequestEnd {
    let request = match parse_request(gateway, &head, body) {
        Ok(request) => Arc::new(request),
        Err(reason) => return refuse(gateway, &head, reason),
    };
    let summary = match place_request(gateway, &request, answer).await {
        Placement::Run(grant) => run_locally(gateway, &request, grant).await,
        Placement::End(summary) => summary,
    };
    record(gateway, &request, &summary);
    summary.end
}

/// Runs a peer's request if this gateway's share has a free slot. It is neither queued nor
/// forwarded.
pub async fn run_forwarded(gateway: &Arc<Gateway>, head: RequestHead, body: Bytes) -> RequestEnd {
    let Some(_in_flight) = gateway.drain.enter() else {
        return RequestEnd::NotRun(NotRunReason::ShuttingDown);
    };
    let request = match parse_request(gateway, &head, body) {
        Ok(request) => Arc::new(request),
        Err(reason) => return refuse(gateway, &head, reason),
    };
    let summary = match gateway.admit(&request) {
        AdmitStep::Run(grant) => run_locally(gateway, &request, grant).await,
        AdmitStep::Refuse(reason) => summarize(RequestEnd::NotRun(reason.into())),
        AdmitStep::Wait(queued) => {
            gateway.cancel(&request.service, queued.claim);
            summarize(RequestEnd::NotRun(NotRunReason::NoCapacity))
        }
    };
    record(gateway, &request, &summary);
    summary.end
}

fn parse_request(
    gateway: &Gateway,
    head: &RequestHead,
    body: Bytes,
) -> Result<GatewayRequest, NotRunReason> {
    let bundle = gateway.process.rollout.current();
    let bundle = bundle.ok_or(NotRunReason::NoBundle)?;
    head.parse(body, &bundle.document, gateway.now())
        .map_err(NotRunReason::Fault)
}

/// Refuses and records a request that is invalid or arrives before the first bundle.
pub fn refuse(gateway: &Gateway, head: &RequestHead, reason: NotRunReason) -> RequestEnd {
    let summary = summarize(RequestEnd::NotRun(reason));
    let now = gateway.now();
    if head.origin == RequestOrigin::Caller {
        count(gateway, &summary.end, TimeSpan::ZERO);
    }
    let decision = AuditDecision::RequestEnded {
        request_id: head.id().to_owned(),
        kind: head.text(endpoint::KIND_HEADER).unwrap_or_default(),
        user: head.text(endpoint::USER_HEADER).unwrap_or_default(),
        endpoint: None,
        forwarded_to: None,
        outcome: summary.end.outcome().to_owned(),
        reason: summary.end.reason().to_owned(),
        sequence: gateway.process.rollout.sequence(),
        elapsed_us: 0,
    };
    gateway.process.audit.record(now, decision);
    summary.end
}

async fn place_request<T>(
    gateway: &Arc<Gateway>,
    request: &Arc<GatewayRequest>,
    answer: &mut oneshot::Sender<T>,
) -> Placement {
    if !gateway.has_free_slot(&request.service)
        && let Some(summary) = try_peers(gateway, request).await
    {
        return Placement::End(summary);
    }
    let mut step = gateway.admit(request);
    loop {
        let queued = match step {
            AdmitStep::Run(grant) => return Placement::Run(grant),
            AdmitStep::Refuse(reason) => return not_run(reason.into()),
            AdmitStep::Wait(queued) => queued,
        };
        let claim = queued.claim;
        let peer = match wait_for_slot(gateway, request, queued, answer).await {
            WaitStep::Ended(WaitEnd::Granted(grant)) => return Placement::Run(grant),
            WaitStep::Ended(WaitEnd::Refused(reason)) => return not_run(reason.into()),
            WaitStep::Ended(WaitEnd::Forward(peer)) => peer,
            WaitStep::Deadline => return not_run(NotRunReason::DeadlineTooShort),
            WaitStep::CallerGone => return not_run(NotRunReason::CallerGone),
        };
        match forward::forward_to(gateway, request, peer).await {
            ForwardStep::Ended { end, peer } => return Placement::End(forward_summary(end, peer)),
            ForwardStep::NotTaken => step = gateway.requeue(request, claim),
        }
    }
}

async fn try_peers(
    gateway: &Arc<Gateway>,
    request: &Arc<GatewayRequest>,
) -> Option<RequestSummary> {
    match forward::forward(gateway, request).await {
        ForwardStep::Ended { end, peer } => Some(forward_summary(end, peer)),
        ForwardStep::NotTaken => None,
    }
}

async fn wait_for_slot<T>(
    gateway: &Arc<Gateway>,
    request: &Arc<GatewayRequest>,
    mut queued: QueuedRequest,
    answer: &mut oneshot::Sender<T>,
) -> WaitStep {
    let remaining = request.deadline.remaining(gateway.now()).into();
    let step = tokio::select! {
        biased;
        end = &mut queued.receiver => return wait_step(end),
        () = answer.closed() => WaitStep::CallerGone,
        () = tokio::time::sleep(remaining) => WaitStep::Deadline,
    };
    if gateway.cancel(&request.service, queued.claim) {
        return step;
    }
    // Another task has removed the request from the queue and sends the end of its wait.
    wait_step(queued.receiver.await)
}

fn wait_step(end: Result<WaitEnd, oneshot::error::RecvError>) -> WaitStep {
    match end {
        Ok(end) => WaitStep::Ended(end),
        Err(_) => WaitStep::Deadline,
    }
}

/// Claims the idempotency key of a request and dispatches it with a slot of this gateway's share.
async fn run_locally(
    gateway: &Arc<Gateway>,
    request: &Arc<GatewayRequest>,
    grant: RequestGrant,
) -> RequestSummary {
    let RequestGrant {
        mut admission,
        slot,
    } = grant;
    match idempotency::claim(gateway, request).await {
        KeyStep::Run => {}
        KeyStep::Duplicate => return summarize(RequestEnd::Duplicate),
        KeyStep::Unavailable => return summarize(RequestEnd::NotRun(NotRunReason::PlatformDown)),
    }
    let started_at = gateway.now();
    let report = dispatch::run(Arc::clone(gateway), Arc::clone(request), slot).await;
    match &report.end {
        RequestEnd::Answered(_) | RequestEnd::Unknown(_) => {
            let run_time = gateway.now().since(started_at);
            admission.set_run_time(run_time.min(run_time_limit(request)));
        }
        RequestEnd::NotRun(_) => idempotency::remove_record(gateway, request).await,
        RequestEnd::Duplicate => {}
    }
    RequestSummary {
        end: report.end,
        endpoint: report.endpoint,
        forwarded_to: None,
    }
}

/// Limit of the run time that enters admission's estimate. With a higher estimate, no request of
/// the kind could meet its deadline.
fn run_time_limit(request: &GatewayRequest) -> TimeSpan {
    request.longest_deadline.scale(0.5)
}

fn not_run(reason: NotRunReason) -> Placement {
    Placement::End(summarize(RequestEnd::NotRun(reason)))
}

const fn forward_summary(end: RequestEnd, peer: String) -> RequestSummary {
    RequestSummary {
        end,
        endpoint: None,
        forwarded_to: Some(peer),
    }
}

const fn summarize(end: RequestEnd) -> RequestSummary {
    RequestSummary {
        end,
        endpoint: None,
        forwarded_to: None,
    }
}

fn count(gateway: &Gateway, end: &RequestEnd, elapsed: TimeSpan) {
    let metrics = &gateway.process.metrics;
    gateway.counters.count_end(end.outcome(), elapsed, metrics);
}

fn record(gateway: &Gateway, request: &GatewayRequest, summary: &RequestSummary) {
    let now = gateway.now();
    let elapsed = now.since(request.arrived_at);
    let end = &summary.end;
    if request.origin == RequestOrigin::Caller {
        count(gateway, end, elapsed);
    }
    debug!(gateway.process.logger, "{}", EventName::RequestEnded; "request" => &request.id,
        "kind" => &request.kind, "outcome" => end.outcome(), "reason" => end.reason());
    let decision = AuditDecision::RequestEnded {
        request_id: request.id.clone(),
        kind: request.kind.clone(),
        user: request.user.clone(),
        endpoint: summary.endpoint.clone(),
        forwarded_to: summary.forwarded_to.clone(),
        outcome: end.outcome().to_owned(),
        reason: end.reason().to_owned(),
        sequence: gateway.process.rollout.sequence(),
        elapsed_us: elapsed.as_micros(),
    };
    gateway.process.audit.record(now, decision);
}
