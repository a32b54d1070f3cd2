//! Second looks at attempts that take long: overdue marks and hedges.

use sapphirewalk_core::hedge;
use sapphirewalk_core::hedge::HedgeParams;
use sapphirewalk_core::hedge::HedgePlan;
use sapphirewalk_core::hedge::HedgeStep;

use crate::replay::request::fake_gateway::AttemptEnd;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::AttemptTarget;

impl Simulation<'_> {
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
                gateway.record_attempt(slot.endpoint, kind, AttemptEnd::Overdue, self.now);
            }
            AttemptTarget::Peer(peer) => self.on_peer_overdue(state.hop, peer),
        }
    }

    /// A peer has not replied: it gets no more until it reports, and the request is offered here.
    fn on_peer_overdue(&mut self, hop: usize, peer: usize) {
        let vm = self.gateways[peer].spec.vm;
        let state = &self.hops[hop];
        self.gateways[state.gateway].peers.mark_full(vm);
        if !state.has_ended && !state.is_queued && !state.is_admitted && self.is_idempotent(hop) {
            self.offer(hop);
        }
    }

    pub(super) fn schedule_hedge_check(&mut self, hop: usize) {
        let state = &self.hops[hop];
        let latencies = &self.gateways[state.gateway].latencies[self.requests[state.request].kind];
        let plan = hedge::plan(
            HedgeParams::default(),
            self.is_idempotent(hop),
            latencies,
            state.claim.deadline,
            self.now,
        );
        if let HedgePlan::DecideAt(at) = plan {
            self.schedule(at, SimulationEvent::HedgeCheck { hop });
        }
    }

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
