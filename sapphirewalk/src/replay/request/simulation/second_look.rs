//! Second looks at attempts that take long: overdue marks and hedges.

use sapphirewalk_core::hedge;
use sapphirewalk_core::hedge::HedgeParams;
use sapphirewalk_core::hedge::HedgePlan;
use sapphirewalk_core::hedge::HedgeStep;

use crate::replay::request::fake_gateway::AttemptEnd;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::happening::Happening;
use crate::replay::request::simulation::visit::AttemptTarget;

impl Simulation<'_> {
    pub(super) fn plan_overdue_check(&mut self, attempt: usize) {
        let visit = &self.visits[self.attempts[attempt].visit];
        let latencies = &self.gateways[visit.gateway].latencies[self.requests[visit.request].kind];
        let Some(delay) = hedge::overdue_after(HedgeParams::default(), latencies) else {
            return;
        };
        let at = match self.attempts[attempt].target {
            AttemptTarget::Endpoint(_) => self.now + delay,
            AttemptTarget::Peer(_) => self.now + delay + delay,
        };
        self.schedule(at, Happening::OverdueCheck { attempt });
    }

    pub(super) fn overdue_check(&mut self, attempt: usize) {
        let state = &self.attempts[attempt];
        if state.is_known {
            return;
        }
        match state.target {
            AttemptTarget::Endpoint(slot) => {
                let visit = &self.visits[state.visit];
                let kind = self.requests[visit.request].kind;
                let gateway = &mut self.gateways[visit.gateway];
                gateway.learn(slot.endpoint, kind, AttemptEnd::Overdue, self.now);
            }
            AttemptTarget::Peer(peer) => self.peer_overdue(state.visit, peer),
        }
    }

    /// A peer has not replied: it gets no more until it reports, and the request is offered here.
    fn peer_overdue(&mut self, visit: usize, peer: usize) {
        let vm = self.gateways[peer].place.vm;
        let state = &self.visits[visit];
        self.gateways[state.gateway].peers.mark_full(vm);
        if !state.is_over && !state.is_queued && !state.is_admitted && self.is_idempotent(visit) {
            self.offer(visit);
        }
    }

    pub(super) fn plan_hedge(&mut self, visit: usize) {
        let state = &self.visits[visit];
        let latencies = &self.gateways[state.gateway].latencies[self.requests[state.request].kind];
        let plan = hedge::plan(
            HedgeParams::default(),
            self.is_idempotent(visit),
            latencies,
            state.claim.deadline,
            self.now,
        );
        if let HedgePlan::DecideAt(at) = plan {
            self.schedule(at, Happening::HedgeCheck { visit });
        }
    }

    pub(super) fn hedge_check(&mut self, visit: usize) {
        let state = &self.visits[visit];
        if state.is_over || !state.is_admitted || state.state.attempt_count() != 1 {
            return;
        }
        let used = self.used_endpoints(visit);
        let now = self.now;
        let earlier_decisions = self.visits[visit].hedge_looks;
        self.visits[visit].hedge_looks += 1;
        let gateway = &mut self.gateways[self.visits[visit].gateway];
        let view = gateway.hedge_view(&used, earlier_decisions, now);
        match hedge::decide(HedgeParams::default(), view, &mut gateway.budget) {
            HedgeStep::Send => {
                if let Some(slot) = gateway.take_slot(true, &used, now) {
                    self.send_to(visit, slot);
                }
            }
            HedgeStep::Wait => self.plan_hedge(visit),
        }
    }
}
