//! Discrete-event simulation of a request trace.
//!
//! Events are handled in order of simulated time; each handler may schedule further events. Two
//! runs of the same trace and policy give the same results.

mod admit;
mod attempt;
mod event;
mod hop;
mod loss;
mod outcome;
mod peer;
mod reservation;
mod slow_attempt;

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::arrival::TraceRequest;
use crate::replay::request::fake_endpoint::FakeEndpoint;
use crate::replay::request::fake_gateway::FakeGateway;
use crate::replay::request::fleet;
use crate::replay::request::measure::RunMeasures;
use crate::replay::request::simulation::event::ScheduledEvent;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::HopAttempt;
use crate::replay::request::simulation::hop::RequestHop;
use crate::replay::request::trace::EndpointCondition;
use crate::replay::request::trace::RequestTrace;
use crate::replay::request::variant::PolicyVariant;

/// Simulates `requests` on the fleet of `trace` with the decisions of `variant`.
pub fn run(trace: &RequestTrace, requests: &[TraceRequest], variant: PolicyVariant) -> RunMeasures {
    let mut simulation = Simulation::new(trace, requests, variant);
    while let Some(Reverse(entry)) = simulation.event_queue.pop() {
        simulation.now = entry.at;
        simulation.handle(entry.event);
    }
    simulation.finish()
}

/// State of a run. Requests, gateways, endpoints, hops and attempts refer to each other by index.
struct Simulation<'a> {
    trace: &'a RequestTrace,
    requests: &'a [TraceRequest],
    variant: PolicyVariant,
    now: TimePoint,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    last_sequence: u64,
    gateways: Vec<FakeGateway>,
    /// Indices of gateways that are lost; no event takes place at them.
    lost_gateways: Vec<usize>,
    endpoints: Vec<FakeEndpoint>,
    /// All requests at all gateways, ended ones included.
    hops: Vec<RequestHop>,
    attempts: Vec<HopAttempt>,
    measures: RunMeasures,
}

impl<'a> Simulation<'a> {
    fn new(trace: &'a RequestTrace, requests: &'a [TraceRequest], variant: PolicyVariant) -> Self {
        let mut simulation = Self {
            trace,
            requests,
            variant,
            now: TimePoint::EPOCH,
            event_queue: BinaryHeap::new(),
            last_sequence: 0,
            gateways: fleet::gateways(trace, variant),
            lost_gateways: Vec::new(),
            endpoints: fleet::endpoints(trace),
            hops: Vec::new(),
            attempts: Vec::new(),
            measures: RunMeasures::new(trace),
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for request in 0..self.requests.len() {
            self.schedule(
                self.requests[request].at,
                SimulationEvent::RequestArrival { request },
            );
        }
        for gateway in 0..self.gateways.len() {
            self.schedule(TimePoint::EPOCH, SimulationEvent::SendReports { gateway });
        }
        for line in &self.trace.conditions {
            if matches!(line.condition, EndpointCondition::Dead) {
                let endpoint = line.endpoint as usize;
                let at = TimePoint::from_millis(line.from_ms);
                self.schedule(at, SimulationEvent::ConnectionBreak { endpoint });
            }
        }
        self.schedule_losses();
    }

    fn schedule(&mut self, at: TimePoint, event: SimulationEvent) {
        self.last_sequence += 1;
        self.event_queue.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    fn handle(&mut self, event: SimulationEvent) {
        if self.is_at_lost_gateway(event) {
            return;
        }
        match event {
            SimulationEvent::RequestArrival { request } => self.on_request_arrival(request),
            SimulationEvent::ForwardArrival { attempt } => self.on_forward_arrival(attempt),
            SimulationEvent::ReserveRequest { attempt } => self.on_reserve_request(attempt),
            SimulationEvent::ReserveGrant { attempt, hop } => self.on_reserve_grant(attempt, hop),
            SimulationEvent::ReservedArrival { hop } => self.on_reserved_arrival(hop),
            SimulationEvent::ReserveTimeout { attempt } => self.on_reserve_timeout(attempt),
            SimulationEvent::GrantExpiry { hop } => self.on_grant_expiry(hop),
            SimulationEvent::PeerReply {
                attempt,
                reply,
                free_slots,
            } => self.on_peer_reply(attempt, reply, free_slots),
            SimulationEvent::EndpointArrival { attempt } => self.on_endpoint_arrival(attempt),
            SimulationEvent::RunEnd { attempt, is_error } => self.on_run_end(attempt, is_error),
            SimulationEvent::AttemptEnd { attempt, reply } => self.on_attempt_end(attempt, reply),
            SimulationEvent::OverdueCheck { attempt } => self.on_overdue_check(attempt),
            SimulationEvent::HedgeCheck { hop } => self.on_hedge_check(hop),
            SimulationEvent::Deadline { hop } => self.on_deadline(hop),
            SimulationEvent::SendReports { gateway } => self.send_reports(gateway),
            SimulationEvent::ReportArrival {
                gateway,
                peer,
                free_slots,
            } => self.on_report_arrival(gateway, peer, free_slots),
            SimulationEvent::GatewayLoss { gateway } => self.on_gateway_loss(gateway),
            SimulationEvent::ConnectionBreak { endpoint } => self.on_connection_break(endpoint),
        }
    }

    /// Whether the kind of a request permits it to run more than once.
    fn is_idempotent(&self, hop: usize) -> bool {
        let kind = self.requests[self.hops[hop].request].kind;
        self.trace.kinds[kind].idempotent
    }

    /// One-way network delay between VMs of one domain.
    fn within_domain(&self) -> TimeSpan {
        TimeSpan::from_micros(self.trace.fleet.within_domain_us)
    }

    fn finish(mut self) -> RunMeasures {
        let slots = self.endpoints.len() as f64 * f64::from(self.trace.fleet.slots);
        let length = TimeSpan::from_millis(self.trace.fleet.length_ms).as_secs_f64();
        let busy_time = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.busy_time().as_secs_f64());
        self.measures.used_fraction = busy_time.sum::<f64>() / (slots * length);
        let max_in_use = self.endpoints.iter().map(FakeEndpoint::max_in_use).max();
        self.measures.max_at_endpoint = max_in_use.unwrap_or(0);
        self.measures
    }
}
