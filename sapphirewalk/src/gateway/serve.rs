//! A request's way through the gateway: read, admit, claim its key, dispatch or forward, record.

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
use crate::gateway::request::PlainRequest;
use crate::gateway::request::RequestHead;
use crate::gateway::service::WaitEnd;
use crate::gateway::shared::AdmitStep;
use crate::gateway::shared::Gateway;
use crate::gateway::shared::QueueTicket;

/// How a request ended, and who was concerned.
#[derive(Debug)]
pub struct RequestTrace {
    /// How it ended.
    pub end: RequestEnd,
    /// The endpoint that it was last sent to from here.
    pub endpoint: Option<String>,
    /// The peer that took it.
    pub forwarded_to: Option<String>,
}

/// What a request that asked to run came to.
enum Placement {
    Run(RequestGrant),
    End(RequestTrace),
}

/// What ended a wait.
enum WaitStep {
    Told(WaitEnd),
    Deadline,
    CallerGone,
}

/// Runs a caller's request to its end. `answer` is closed when the caller has gone.
pub async fn run<T>(
    gateway: &Arc<Gateway>,
    head: RequestHead,
    body: Bytes,
    answer: &mut oneshot::Sender<T>,
) -> RequestEnd {
    let request = match read(gateway, &head, body) {
        Ok(request) => Arc::new(request),
        Err(reason) => return refuse(gateway, &head, reason),
    };
    let trace = match place(gateway, &request, answer).await {
        Placement::Run(grant) => run_here(gateway, &request, grant).await,
        Placement::End(trace) => trace,
    };
    record(gateway, &request, &trace);
    trace.end
}

/// Runs a peer's request with the own share, or not at all.
pub async fn run_forwarded(gateway: &Arc<Gateway>, head: RequestHead, body: Bytes) -> RequestEnd {
    let Some(_in_flight) = gateway.drain.enter() else {
        return RequestEnd::NotRun(NotRunReason::ShuttingDown);
    };
    let request = match read(gateway, &head, body) {
        Ok(request) => Arc::new(request),
        Err(reason) => return refuse(gateway, &head, reason),
    };
    let trace = match gateway.admit(&request) {
        AdmitStep::Run(grant) => run_here(gateway, &request, grant).await,
        AdmitStep::Refuse(reason) => ended(RequestEnd::NotRun(reason.into())),
        AdmitStep::Wait(ticket) => {
            gateway.cancel(&request.service, ticket.claim);
            ended(RequestEnd::NotRun(NotRunReason::NoCapacity))
        }
    };
    record(gateway, &request, &trace);
    trace.end
}

fn read(gateway: &Gateway, head: &RequestHead, body: Bytes) -> Result<PlainRequest, NotRunReason> {
    let bundle = gateway.process.rollout.current();
    let bundle = bundle.ok_or(NotRunReason::NoBundle)?;
    head.read(body, &bundle.document, gateway.now())
        .map_err(NotRunReason::Fault)
}

/// Refuses a request that is in error, or that came before any bundle.
pub fn refuse(gateway: &Gateway, head: &RequestHead, reason: NotRunReason) -> RequestEnd {
    let trace = ended(RequestEnd::NotRun(reason));
    let now = gateway.now();
    if head.origin == RequestOrigin::Caller {
        count(gateway, &trace.end, TimeSpan::ZERO);
    }
    let decision = AuditDecision::RequestEnded {
        request_id: head.id().to_owned(),
        kind: head.text(endpoint::KIND_HEADER).unwrap_or_default(),
        user: head.text(endpoint::USER_HEADER).unwrap_or_default(),
        endpoint: None,
        forwarded_to: None,
        outcome: trace.end.outcome().to_owned(),
        reason: trace.end.reason().to_owned(),
        sequence: gateway.process.rollout.sequence(),
        elapsed_us: 0,
    };
    gateway.process.audit.record(now, decision);
    trace.end
}

async fn place<T>(
    gateway: &Arc<Gateway>,
    request: &Arc<PlainRequest>,
    answer: &mut oneshot::Sender<T>,
) -> Placement {
    if !gateway.has_free_slot(&request.service)
        && let Some(trace) = try_peers(gateway, request).await
    {
        return Placement::End(trace);
    }
    let mut step = gateway.admit(request);
    loop {
        let ticket = match step {
            AdmitStep::Run(grant) => return Placement::Run(grant),
            AdmitStep::Refuse(reason) => return not_run(reason.into()),
            AdmitStep::Wait(ticket) => ticket,
        };
        let claim = ticket.claim;
        let peer = match wait(gateway, request, ticket, answer).await {
            WaitStep::Told(WaitEnd::Granted(grant)) => return Placement::Run(grant),
            WaitStep::Told(WaitEnd::Refused(reason)) => return not_run(reason.into()),
            WaitStep::Told(WaitEnd::Forward(peer)) => peer,
            WaitStep::Deadline => return not_run(NotRunReason::DeadlineTooShort),
            WaitStep::CallerGone => return not_run(NotRunReason::CallerGone),
        };
        match forward::forward_to(gateway, request, peer).await {
            ForwardStep::Ended { end, peer } => return Placement::End(forwarded(end, peer)),
            ForwardStep::NotTaken => step = gateway.wait_again(request, claim),
        }
    }
}

async fn try_peers(gateway: &Arc<Gateway>, request: &Arc<PlainRequest>) -> Option<RequestTrace> {
    match forward::forward(gateway, request).await {
        ForwardStep::Ended { end, peer } => Some(forwarded(end, peer)),
        ForwardStep::NotTaken => None,
    }
}

async fn wait<T>(
    gateway: &Arc<Gateway>,
    request: &Arc<PlainRequest>,
    mut ticket: QueueTicket,
    answer: &mut oneshot::Sender<T>,
) -> WaitStep {
    let left = request.deadline.remaining(gateway.now()).into();
    let step = tokio::select! {
        biased;
        end = &mut ticket.receiver => return told(end),
        () = answer.closed() => WaitStep::CallerGone,
        () = tokio::time::sleep(left) => WaitStep::Deadline,
    };
    if gateway.cancel(&request.service, ticket.claim) {
        return step;
    }
    // The end of the wait is on its way.
    told(ticket.receiver.await)
}

fn told(end: Result<WaitEnd, oneshot::error::RecvError>) -> WaitStep {
    match end {
        Ok(end) => WaitStep::Told(end),
        Err(_) => WaitStep::Deadline,
    }
}

/// Runs a request with a slot of the own share.
async fn run_here(
    gateway: &Arc<Gateway>,
    request: &Arc<PlainRequest>,
    grant: RequestGrant,
) -> RequestTrace {
    let RequestGrant {
        mut admission,
        slot,
    } = grant;
    match idempotency::claim(gateway, request).await {
        KeyStep::Run => {}
        KeyStep::Duplicate => return ended(RequestEnd::Duplicate),
        KeyStep::Unavailable => return ended(RequestEnd::NotRun(NotRunReason::PlatformDown)),
    }
    let began_at = gateway.now();
    let report = dispatch::run(Arc::clone(gateway), Arc::clone(request), slot).await;
    match &report.end {
        RequestEnd::Answered(_) | RequestEnd::Unknown(_) => {
            let run_time = gateway.now().since(began_at);
            admission.set_run_time(run_time.min(longest_learned(request)));
        }
        RequestEnd::NotRun(_) => idempotency::forget(gateway, request).await,
        RequestEnd::Duplicate => {}
    }
    RequestTrace {
        end: report.end,
        endpoint: report.endpoint,
        forwarded_to: None,
    }
}

/// Run times beyond this are not learned: they would leave no request time to run at all.
fn longest_learned(request: &PlainRequest) -> TimeSpan {
    request.longest.scale(0.5)
}

fn not_run(reason: NotRunReason) -> Placement {
    Placement::End(ended(RequestEnd::NotRun(reason)))
}

const fn forwarded(end: RequestEnd, peer: String) -> RequestTrace {
    RequestTrace {
        end,
        endpoint: None,
        forwarded_to: Some(peer),
    }
}

const fn ended(end: RequestEnd) -> RequestTrace {
    RequestTrace {
        end,
        endpoint: None,
        forwarded_to: None,
    }
}

fn count(gateway: &Gateway, end: &RequestEnd, elapsed: TimeSpan) {
    let metrics = &gateway.process.metrics;
    gateway.counters.ended(end.outcome(), elapsed, metrics);
}

fn record(gateway: &Gateway, request: &PlainRequest, trace: &RequestTrace) {
    let now = gateway.now();
    let elapsed = now.since(request.arrived_at);
    let end = &trace.end;
    if request.origin == RequestOrigin::Caller {
        count(gateway, end, elapsed);
    }
    debug!(gateway.process.logger, "{}", EventName::RequestEnded; "request" => &request.id,
        "kind" => &request.kind, "outcome" => end.outcome(), "reason" => end.reason());
    let decision = AuditDecision::RequestEnded {
        request_id: request.id.clone(),
        kind: request.kind.clone(),
        user: request.user.clone(),
        endpoint: trace.endpoint.clone(),
        forwarded_to: trace.forwarded_to.clone(),
        outcome: end.outcome().to_owned(),
        reason: end.reason().to_owned(),
        sequence: gateway.process.rollout.sequence(),
        elapsed_us: elapsed.as_micros(),
    };
    gateway.process.audit.record(now, decision);
}
