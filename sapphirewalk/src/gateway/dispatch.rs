//! The attempts of one request: the first, retries, and hedges.

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
use crate::gateway::attempt::AttemptEnd;
use crate::gateway::attempt::AttemptPlan;
use crate::gateway::attempt::SharedState;
use crate::gateway::guard::SlotGrant;
use crate::gateway::outcome::NotRunReason;
use crate::gateway::outcome::RequestEnd;
use crate::gateway::outcome::UnknownReason;
use crate::gateway::outcome::WholeAnswer;
use crate::gateway::request::PlainRequest;
use crate::gateway::shared::Gateway;

/// How a request ended, and where it was last sent.
#[derive(Debug)]
pub struct DispatchEnd {
    /// How it ended.
    pub end: RequestEnd,
    /// The endpoint that it was last sent to.
    pub endpoint: Option<String>,
}

/// A request on its way through its attempts.
struct Dispatch {
    gateway: Arc<Gateway>,
    request: Arc<PlainRequest>,
    state: SharedState,
    tried: Vec<TriedEndpoint>,
    hedge_looks: u32,
    sender: mpsc::UnboundedSender<AttemptEnd>,
}

/// An endpoint that an attempt was sent to, and its answer.
struct TriedEndpoint {
    key: AttemptKey,
    endpoint: EndpointKey,
    answer: Option<WholeAnswer>,
}

/// What woke the dispatch.
enum DispatchWake {
    Ended(Box<AttemptEnd>),
    Hedge,
    Deadline,
}

/// Runs a request, beginning with the slot it was granted.
pub async fn run(
    gateway: Arc<Gateway>,
    request: Arc<PlainRequest>,
    slot: SlotGrant,
) -> DispatchEnd {
    let (sender, mut events) = mpsc::unbounded_channel();
    let state = RequestState::new(request.is_idempotent, request.deadline);
    let mut dispatch = Dispatch {
        gateway,
        request,
        state: Arc::new(Mutex::new(state)),
        tried: Vec::new(),
        hedge_looks: 0,
        sender,
    };
    let mut hedge_at = dispatch.plan_hedge();
    let mut step = dispatch.begin(slot);
    loop {
        step = match step {
            OutcomeStep::Wait | OutcomeStep::Drop => {
                match dispatch.wait(&mut events, hedge_at).await {
                    DispatchWake::Ended(end) => dispatch.take_end(*end),
                    DispatchWake::Hedge => {
                        dispatch.note_overdue();
                        let step = dispatch.hedge();
                        hedge_at = dispatch.plan_hedge();
                        step
                    }
                    DispatchWake::Deadline => attempt::lock(&dispatch.state).abort(),
                }
            }
            OutcomeStep::Retry => dispatch.retry(),
            OutcomeStep::Answer(key) => return dispatch.answered(key),
            OutcomeStep::Fail(outcome) => return dispatch.failed(outcome),
        };
    }
}

impl Dispatch {
    fn begin(&mut self, slot: SlotGrant) -> OutcomeStep {
        let Some(key) = attempt::lock(&self.state).begin_attempt() else {
            return OutcomeStep::Wait;
        };
        self.tried.push(TriedEndpoint {
            key,
            endpoint: slot.slot.endpoint,
            answer: None,
        });
        let plan = AttemptPlan {
            request: Arc::clone(&self.request),
            state: Arc::clone(&self.state),
            key,
            slot,
        };
        let gateway = Arc::clone(&self.gateway);
        let sender = self.sender.clone();
        // An attempt outlives its request: its slot is in use until the endpoint has answered.
        tokio::spawn(async move {
            if let Some(end) = attempt::run(gateway, plan).await {
                let _ = sender.send(end);
            }
        });
        OutcomeStep::Wait
    }

    async fn wait(
        &self,
        events: &mut mpsc::UnboundedReceiver<AttemptEnd>,
        hedge_at: Option<TimePoint>,
    ) -> DispatchWake {
        let now = self.gateway.now();
        let deadline = self.request.deadline.point();
        let next = hedge_at.map_or(deadline, |point| point.min(deadline));
        tokio::select! {
            biased;
            Some(end) = events.recv() => DispatchWake::Ended(Box::new(end)),
            () = tokio::time::sleep(next.since(now).into()) => {
                if next < deadline { DispatchWake::Hedge } else { DispatchWake::Deadline }
            }
        }
    }

    fn take_end(&mut self, end: AttemptEnd) -> OutcomeStep {
        let tried = self.tried.iter_mut().find(|tried| tried.key == end.key);
        if let Some(tried) = tried {
            tried.answer = end.answer;
            tried.endpoint = end.endpoint;
        }
        attempt::on_event(
            &self.gateway,
            &self.request,
            &self.state,
            end.key,
            end.event,
        )
    }

    fn retry(&mut self) -> OutcomeStep {
        self.gateway.counters.retried();
        match self.gateway.take_slot(&self.request, &self.excluded()) {
            Some(slot) => self.begin(slot),
            None => {
                self.refund();
                attempt::lock(&self.state).on_no_endpoint()
            }
        }
    }

    /// Plans the next look at a request that has had one attempt.
    fn plan_hedge(&self) -> Option<TimePoint> {
        if self.tried.len() > 1 {
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

    /// Tells the health of the endpoint that its answer takes longer than nearly all others.
    fn note_overdue(&self) {
        let Some(tried) = self.tried.first().filter(|_| self.hedge_looks == 0) else {
            return;
        };
        let now = self.gateway.now();
        let mut table = self.gateway.table();
        if let Some(service) = table.service_mut(&self.request.service) {
            let sample = HealthSample::Overdue;
            service.health.record(tried.endpoint, sample, now);
        }
    }

    fn hedge(&mut self) -> OutcomeStep {
        if self.tried.len() > 1 || self.decide_hedge() == HedgeStep::Wait {
            return OutcomeStep::Wait;
        }
        match self.gateway.take_slot(&self.request, &self.excluded()) {
            Some(slot) => {
                self.gateway.counters.hedged();
                self.begin(slot)
            }
            None => {
                self.refund();
                OutcomeStep::Wait
            }
        }
    }

    fn decide_hedge(&mut self) -> HedgeStep {
        let now = self.gateway.now();
        let earlier_decisions = self.hedge_looks;
        self.hedge_looks += 1;
        let used = self.excluded();
        let mut table = self.gateway.table();
        let view = table.hedge_view(&self.request.service, &used, earlier_decisions, now);
        match table.service_mut(&self.request.service) {
            Some(service) => hedge::decide(HedgeParams::default(), view, &mut service.budget),
            None => HedgeStep::Wait,
        }
    }

    fn refund(&self) {
        let mut table = self.gateway.table();
        if let Some(service) = table.service_mut(&self.request.service) {
            service.budget.refund();
        }
    }

    fn excluded(&self) -> Vec<EndpointKey> {
        self.tried.iter().map(|tried| tried.endpoint).collect()
    }

    fn answered(mut self, key: AttemptKey) -> DispatchEnd {
        let position = self.tried.iter().position(|tried| tried.key == key);
        let tried = position.map(|position| self.tried.swap_remove(position));
        let endpoint = tried.as_ref().map(|tried| self.name_of(tried.endpoint));
        let end = match tried.and_then(|tried| tried.answer) {
            Some(answer) => RequestEnd::Answered(answer),
            None => RequestEnd::Unknown(UnknownReason::Broken),
        };
        DispatchEnd { end, endpoint }
    }

    fn failed(&self, outcome: FailedOutcome) -> DispatchEnd {
        let is_late = self.gateway.now() >= self.request.deadline.point();
        let end = match outcome {
            FailedOutcome::NotRun => RequestEnd::NotRun(NotRunReason::NoEndpoint),
            FailedOutcome::Unknown if is_late => RequestEnd::Unknown(UnknownReason::TimedOut),
            FailedOutcome::Unknown => RequestEnd::Unknown(UnknownReason::Broken),
        };
        let endpoint = self.tried.last().map(|tried| self.name_of(tried.endpoint));
        DispatchEnd { end, endpoint }
    }

    fn name_of(&self, endpoint: EndpointKey) -> String {
        self.gateway.table().entry(endpoint).name.clone()
    }
}
