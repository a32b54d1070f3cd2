//! Runs the attempts of one request: the first one, retries and hedges.

use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::mpsc;

use sapphirewalk_core::endpoint_health::HealthSample;
use sapphirewalk_core::hedge;
use sapphirewalk_core::hedge::HedgeParams;
use sapphirewalk_core::hedge::HedgePlan;
use sapphirewalk_core::hedge::HedgeStep;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::request_outcome::AttemptKey;
use sapphirewalk_core::request_outcome::FailedOutcome;
use sapphirewalk_core::request_outcome::OutcomeStep;
use sapphirewalk_core::request_outcome::RequestState;
use sapphirewalk_core::time::TimePoint;

use crate::gateway::attempt;
use crate::gateway::attempt::AttemptPlan;
use crate::gateway::attempt::AttemptResult;
use crate::gateway::attempt::SharedState;
use crate::gateway::guard::SlotGrant;
use crate::gateway::outcome::EndpointAnswer;
use crate::gateway::outcome::NotRunReason;
use crate::gateway::outcome::RequestOutcome;
use crate::gateway::outcome::UnknownReason;
use crate::gateway::request::GatewayRequest;
use crate::gateway::state::Gateway;

/// Result of a dispatched request.
#[derive(Debug)]
pub struct DispatchResult {
    /// Outcome for the caller.
    pub end: RequestOutcome,
    /// Name of the endpoint that answered, or else of the one that was tried last.
    pub endpoint: Option<String>,
}

/// A request whose attempts are running.
struct RequestDispatch {
    gateway: Arc<Gateway>,
    request: Arc<GatewayRequest>,
    state: SharedState,
    records: Vec<AttemptRecord>,
    hedge_decisions: u32,
    sender: mpsc::UnboundedSender<AttemptResult>,
}

/// An attempt with its endpoint, and its answer once that is complete.
struct AttemptRecord {
    key: AttemptKey,
    endpoint: EndpointKey,
    answer: Option<EndpointAnswer>,
}

/// Event that the dispatch loop handles next.
enum DispatchEvent {
    Ended(Box<AttemptResult>),
    Hedge,
    Deadline,
}

/// Runs a request to its outcome. The first attempt uses `slot`.
pub async fn run(
    gateway: Arc<Gateway>,
    request: Arc<GatewayRequest>,
    grant: SlotGrant,
) -> DispatchResult {
    let (sender, mut events) = mpsc::unbounded_channel();
    let state = RequestState::new(request.is_idempotent, request.deadline);
    let mut dispatch = RequestDispatch {
        gateway,
        request,
        state: Arc::new(Mutex::new(state)),
        records: Vec::new(),
        hedge_decisions: 0,
        sender,
    };
    let mut hedge_at = dispatch.plan_hedge();
    let mut step = dispatch.start_attempt(grant);
    loop {
        step = match step {
            OutcomeStep::Wait | OutcomeStep::Drop => {
                match dispatch.next_event(&mut events, hedge_at).await {
                    DispatchEvent::Ended(end) => dispatch.record_end(*end),
                    DispatchEvent::Hedge => {
                        dispatch.record_overdue();
                        let step = dispatch.hedge();
                        hedge_at = dispatch.plan_hedge();
                        step
                    }
                    DispatchEvent::Deadline => attempt::lock(&dispatch.state).abort(),
                }
            }
            OutcomeStep::Retry => dispatch.retry(),
            OutcomeStep::Answer(key) => return dispatch.end_answered(key),
            OutcomeStep::Fail(outcome) => return dispatch.end_failed(outcome),
        };
    }
}

impl RequestDispatch {
    fn start_attempt(&mut self, grant: SlotGrant) -> OutcomeStep {
        let Some(key) = attempt::lock(&self.state).begin_attempt() else {
            return OutcomeStep::Wait;
        };
        self.records.push(AttemptRecord {
            key,
            endpoint: grant.slot.endpoint,
            answer: None,
        });
        let plan = AttemptPlan {
            request: Arc::clone(&self.request),
            state: Arc::clone(&self.state),
            key,
            grant,
        };
        let gateway = Arc::clone(&self.gateway);
        let sender = self.sender.clone();
        // An attempt may outlive its request: its slot stays in use until the endpoint has
        // answered.
        tokio::spawn(async move {
            if let Some(end) = attempt::run(gateway, plan).await {
                let _ = sender.send(end);
            }
        });
        OutcomeStep::Wait
    }

    async fn next_event(
        &self,
        events: &mut mpsc::UnboundedReceiver<AttemptResult>,
        hedge_at: Option<TimePoint>,
    ) -> DispatchEvent {
        let now = self.gateway.now();
        let deadline = self.request.deadline.point();
        let next = hedge_at.map_or(deadline, |point| point.min(deadline));
        tokio::select! {
            biased;
            Some(end) = events.recv() => DispatchEvent::Ended(Box::new(end)),
            () = tokio::time::sleep(next.since(now).into()) => {
                if next < deadline { DispatchEvent::Hedge } else { DispatchEvent::Deadline }
            }
        }
    }

    fn record_end(&mut self, end: AttemptResult) -> OutcomeStep {
        let record = self.records.iter_mut().find(|record| record.key == end.key);
        if let Some(record) = record {
            record.answer = end.answer;
            record.endpoint = end.endpoint;
        }
        attempt::record_event(
            &self.gateway,
            &self.request,
            &self.state,
            end.key,
            end.event,
        )
    }

    fn retry(&mut self) -> OutcomeStep {
        self.gateway.counters.count_retry();
        match self
            .gateway
            .take_slot(&self.request, &self.used_endpoints())
        {
            Some(grant) => self.start_attempt(grant),
            None => {
                self.refund();
                attempt::lock(&self.state).on_no_endpoint()
            }
        }
    }

    /// Returns the point of the next hedging decision; `None` if no further one is to be made.
    fn plan_hedge(&self) -> Option<TimePoint> {
        if self.records.len() > 1 {
            return None;
        }
        let now = self.gateway.now();
        let table = self.gateway.table();
        let service = table.service(&self.request.service)?;
        let kind = table.kinds.find(&self.request.kind)?;
        let plan = hedge::plan(
            HedgeParams::default(),
            self.request.is_idempotent,
            service.latencies(kind)?,
            self.request.deadline,
            now,
        );
        match plan {
            HedgePlan::DecideAt(point) => Some(point),
            HedgePlan::Never => None,
        }
    }

    /// Records a health sample against the endpoint of the first attempt, since its answer takes
    /// longer than nearly all others. Has an effect only at the first hedging decision.
    fn record_overdue(&self) {
        let Some(record) = self.records.first().filter(|_| self.hedge_decisions == 0) else {
            return;
        };
        let now = self.gateway.now();
        let mut table = self.gateway.table();
        if let Some(service) = table.service_mut(&self.request.service) {
            let sample = HealthSample::Overdue;
            service.health.record(record.endpoint, sample, now);
        }
    }

    fn hedge(&mut self) -> OutcomeStep {
        if self.records.len() > 1 || self.decide_hedge() == HedgeStep::Wait {
            return OutcomeStep::Wait;
        }
        match self
            .gateway
            .take_slot(&self.request, &self.used_endpoints())
        {
            Some(grant) => {
                self.gateway.counters.count_hedge();
                self.start_attempt(grant)
            }
            None => {
                self.refund();
                OutcomeStep::Wait
            }
        }
    }

    fn decide_hedge(&mut self) -> HedgeStep {
        let now = self.gateway.now();
        let earlier_decisions = self.hedge_decisions;
        self.hedge_decisions += 1;
        let used = self.used_endpoints();
        let mut table = self.gateway.table();
        let context = table.hedge_context(&self.request.service, &used, earlier_decisions, now);
        match table.service_mut(&self.request.service) {
            Some(service) => hedge::decide(HedgeParams::default(), context, &mut service.budget),
            None => HedgeStep::Wait,
        }
    }

    fn refund(&self) {
        let mut table = self.gateway.table();
        if let Some(service) = table.service_mut(&self.request.service) {
            service.budget.refund();
        }
    }

    fn used_endpoints(&self) -> Vec<EndpointKey> {
        self.records.iter().map(|record| record.endpoint).collect()
    }

    fn end_answered(mut self, key: AttemptKey) -> DispatchResult {
        let position = self.records.iter().position(|record| record.key == key);
        let record = position.map(|position| self.records.swap_remove(position));
        let endpoint = record
            .as_ref()
            .map(|record| self.endpoint_name(record.endpoint));
        let end = match record.and_then(|record| record.answer) {
            Some(answer) => RequestOutcome::Answered(answer),
            None => RequestOutcome::Unknown(UnknownReason::Broken),
        };
        DispatchResult { end, endpoint }
    }

    fn end_failed(&self, outcome: FailedOutcome) -> DispatchResult {
        let is_late = self.gateway.now() >= self.request.deadline.point();
        let end = match outcome {
            FailedOutcome::NotRun => RequestOutcome::NotRun(NotRunReason::NoEndpoint),
            FailedOutcome::Unknown if is_late => RequestOutcome::Unknown(UnknownReason::TimedOut),
            FailedOutcome::Unknown => RequestOutcome::Unknown(UnknownReason::Broken),
        };
        let endpoint = self
            .records
            .last()
            .map(|record| self.endpoint_name(record.endpoint));
        DispatchResult { end, endpoint }
    }

    fn endpoint_name(&self, endpoint: EndpointKey) -> String {
        self.gateway.table().entry(endpoint).name.clone()
    }
}
