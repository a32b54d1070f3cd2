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
use crate::gateway::forward::ForwardResult;
use crate::gateway::guard::RequestGrant;
use crate::gateway::idempotency;
use crate::gateway::idempotency::ClaimResult;
use crate::gateway::outcome::NotRunReason;
use crate::gateway::outcome::RequestOutcome;
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
    pub end: RequestOutcome,
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
enum WaitResult {
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
) -> RequestOutcome {
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
pub async fn run_forwarded(
    gateway: &Arc<Gateway>,
    head: RequestHead,
    body: Bytes,
) -> RequestOutcome {
    let Some(_in_flight) = gateway.drain.enter() else {
        return RequestOutcome::NotRun(NotRunReason::ShuttingDown);
    };
    let request = match parse_request(gateway, &head, body) {
        Ok(request) => Arc::new(request),
        Err(reason) => return refuse(gateway, &head, reason),
    };
    let summary = match gateway.admit(&request) {
        AdmitStep::Run(grant) => run_locally(gateway, &request, grant).await,
        AdmitStep::Refuse(reason) => summarize(RequestOutcome::NotRun(reason.into())),
        AdmitStep::Wait(queued) => {
            gateway.cancel(&request.service, queued.admission_request);
            summarize(RequestOutcome::NotRun(NotRunReason::NoCapacity))
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
    let rollout = gateway.process.rollout.current();
    let rollout = rollout.ok_or(NotRunReason::NoBundle)?;
    head.parse(body, &rollout.document, gateway.now())
        .map_err(NotRunReason::Fault)
}

/// Refuses and records a request that is invalid or arrives before the first bundle.
pub fn refuse(gateway: &Gateway, head: &RequestHead, reason: NotRunReason) -> RequestOutcome {
    let summary = summarize(RequestOutcome::NotRun(reason));
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
        outcome: summary.end.outcome_name().to_owned(),
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
        let admission_request = queued.admission_request;
        let peer = match wait_for_slot(gateway, request, queued, answer).await {
            WaitResult::Ended(WaitEnd::Granted(grant)) => return Placement::Run(grant),
            WaitResult::Ended(WaitEnd::Refused(reason)) => return not_run(reason.into()),
            WaitResult::Ended(WaitEnd::Forward(peer)) => peer,
            WaitResult::Deadline => return not_run(NotRunReason::DeadlineTooShort),
            WaitResult::CallerGone => return not_run(NotRunReason::CallerGone),
        };
        match forward::forward_to(gateway, request, peer).await {
            ForwardResult::Ended { end, peer } => {
                return Placement::End(forward_summary(end, peer));
            }
            ForwardResult::NotTaken => step = gateway.requeue(request, admission_request),
        }
    }
}

async fn try_peers(
    gateway: &Arc<Gateway>,
    request: &Arc<GatewayRequest>,
) -> Option<RequestSummary> {
    match forward::forward(gateway, request).await {
        ForwardResult::Ended { end, peer } => Some(forward_summary(end, peer)),
        ForwardResult::NotTaken => None,
    }
}

async fn wait_for_slot<T>(
    gateway: &Arc<Gateway>,
    request: &Arc<GatewayRequest>,
    mut queued: QueuedRequest,
    answer: &mut oneshot::Sender<T>,
) -> WaitResult {
    let remaining = request.deadline.remaining(gateway.now()).into();
    let step = tokio::select! {
        biased;
        end = &mut queued.receiver => return wait_result(end),
        () = answer.closed() => WaitResult::CallerGone,
        () = tokio::time::sleep(remaining) => WaitResult::Deadline,
    };
    if gateway.cancel(&request.service, queued.admission_request) {
        return step;
    }
    // Another task has removed the request from the queue and sends the end of its wait.
    wait_result(queued.receiver.await)
}

fn wait_result(end: Result<WaitEnd, oneshot::error::RecvError>) -> WaitResult {
    match end {
        Ok(end) => WaitResult::Ended(end),
        Err(_) => WaitResult::Deadline,
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
        ClaimResult::Run => {}
        ClaimResult::Duplicate => return summarize(RequestOutcome::Duplicate),
        ClaimResult::Unavailable => {
            return summarize(RequestOutcome::NotRun(NotRunReason::PlatformDown));
        }
    }
    let started_at = gateway.now();
    let report = dispatch::run(Arc::clone(gateway), Arc::clone(request), slot).await;
    match &report.end {
        RequestOutcome::Answered(_) | RequestOutcome::Unknown(_) => {
            let run_time = gateway.now().since(started_at);
            admission.set_run_time(run_time.min(run_time_limit(request)));
        }
        RequestOutcome::NotRun(_) => idempotency::remove_record(gateway, request).await,
        RequestOutcome::Duplicate => {}
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
    Placement::End(summarize(RequestOutcome::NotRun(reason)))
}

const fn forward_summary(end: RequestOutcome, peer: String) -> RequestSummary {
    RequestSummary {
        end,
        endpoint: None,
        forwarded_to: Some(peer),
    }
}

const fn summarize(end: RequestOutcome) -> RequestSummary {
    RequestSummary {
        end,
        endpoint: None,
        forwarded_to: None,
    }
}

fn count(gateway: &Gateway, end: &RequestOutcome, elapsed: TimeSpan) {
    let metrics = &gateway.process.metrics;
    gateway
        .counters
        .count_end(end.outcome_name(), elapsed, metrics);
}

fn record(gateway: &Gateway, request: &GatewayRequest, summary: &RequestSummary) {
    let now = gateway.now();
    let elapsed = now.since(request.arrived_at);
    let end = &summary.end;
    if request.origin == RequestOrigin::Caller {
        count(gateway, end, elapsed);
    }
    debug!(gateway.process.logger, "{}", EventName::RequestEnded; "request" => &request.id,
        "kind" => &request.kind, "outcome" => end.outcome_name(), "reason" => end.reason());
    let decision = AuditDecision::RequestEnded {
        request_id: request.id.clone(),
        kind: request.kind.clone(),
        user: request.user.clone(),
        endpoint: summary.endpoint.clone(),
        forwarded_to: summary.forwarded_to.clone(),
        outcome: end.outcome_name().to_owned(),
        reason: end.reason().to_owned(),
        sequence: gateway.process.rollout.sequence(),
        elapsed_us: elapsed.as_micros(),
    };
    gateway.process.audit.record(now, decision);
}
