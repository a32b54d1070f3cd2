//! Checks of slow attempts: overdue attempts and hedged requests.

use sapphirewalk_core::hedge;
use sapphirewalk_core::hedge::HedgeParams;
use sapphirewalk_core::hedge::HedgePlan;
use sapphirewalk_core::hedge::HedgeStep;

use crate::replay::request::fake_gateway::AttemptSample;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::AttemptTarget;

impl Simulation<'_> {
    /// Schedules the overdue check of an attempt, unless there are too few latency samples.
    ///
    /// An attempt at a peer is checked after twice the delay of an attempt at an endpoint.
    pub(super) fn schedule_overdue_check(&mut self, attempt: usize) {
        let hop = &self.hops[self.attempts[attempt].hop];
        let latencies = &self.gateways[hop.gateway].latencies[self.requests[hop.request].kind];
        let Some(delay) = hedge::overdue_after(HedgeParams::default(), latencies) else {
            return;
        };
        let at = match self.attempts[attempt].target {
            AttemptTarget::Endpoint(_) => self.now + delay,
            AttemptTarget::Peer(_) => self.now + delay + delay,
        };
        self.schedule(at, SimulationEvent::OverdueCheck { attempt });
    }

    /// Records an attempt that has not ended as overdue.
    pub(super) fn on_overdue_check(&mut self, attempt: usize) {
        let state = &self.attempts[attempt];
        if state.is_closed {
            return;
        }
        match state.target {
            AttemptTarget::Endpoint(slot) => {
                let hop = &self.hops[state.hop];
                let kind = self.requests[hop.request].kind;
                let gateway = &mut self.gateways[hop.gateway];
                gateway.record_sample(slot.endpoint, kind, AttemptSample::Overdue, self.now);
            }
            AttemptTarget::Peer(peer) => self.on_peer_overdue(state.hop, peer),
        }
    }

    /// Handles that a peer has not replied in time.
    ///
    /// The peer counts as full until its next report. An idempotent request is offered to
    /// admission at its own gateway as well.
    fn on_peer_overdue(&mut self, hop: usize, peer: usize) {
        let vm = self.gateways[peer].spec.vm;
        let state = &self.hops[hop];
        self.gateways[state.gateway].peers.mark_full(vm);
        if !state.has_ended && !state.is_queued && !state.is_admitted && self.is_idempotent(hop) {
            self.offer(hop);
        }
    }

    /// Schedules the next hedging decision on a request, if it may be hedged.
    pub(super) fn schedule_hedge_check(&mut self, hop: usize) {
        let state = &self.hops[hop];
        let latencies = &self.gateways[state.gateway].latencies[self.requests[state.request].kind];
        let plan = hedge::plan(
            HedgeParams::default(),
            self.is_idempotent(hop),
            latencies,
            state.admission_request.deadline,
            self.now,
        );
        if let HedgePlan::DecideAt(at) = plan {
            self.schedule(at, SimulationEvent::HedgeCheck { hop });
        }
    }

    /// Sends a second attempt if the hedging decision is positive and a slot is free.
    pub(super) fn on_hedge_check(&mut self, hop: usize) {
        let state = &self.hops[hop];
        if state.has_ended || !state.is_admitted || state.state.attempt_count() != 1 {
            return;
        }
        let used = self.used_endpoints(hop);
        let now = self.now;
        let earlier_decisions = self.hops[hop].hedge_decisions;
        self.hops[hop].hedge_decisions += 1;
        let gateway = &mut self.gateways[self.hops[hop].gateway];
        let context = gateway.hedge_context(&used, earlier_decisions, now);
        match hedge::decide(HedgeParams::default(), context, &mut gateway.budget) {
            HedgeStep::Send => {
                if let Some(slot) = gateway.take_slot(true, &used, now) {
                    self.send_to(hop, slot);
                }
            }
            HedgeStep::Wait => self.schedule_hedge_check(hop),
        }
    }
}
