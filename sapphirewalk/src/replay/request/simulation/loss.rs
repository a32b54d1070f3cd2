//! Lost gateways and cuts between domains.

use sapphirewalk_core::time::TimePoint;

use crate::replay::request::fleet;
use crate::replay::request::measure::CallerOutcome;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::AttemptTarget;

impl Simulation<'_> {
    /// Plans the losses of the trace; a process that stands for all seats of a domain is kept.
    pub(super) fn schedule_losses(&mut self) {
        if self.variant.merges_seats {
            return;
        }
        for loss in &self.trace.losses {
            let gateway = loss.gateway;
            let at = TimePoint::from_millis(loss.at_ms);
            self.schedule(at, SimulationEvent::GatewayLoss { gateway });
        }
    }

    /// The gateway is silent from now on. Its callers see their connections break.
    pub(super) fn on_gateway_loss(&mut self, gateway: usize) {
        self.lost_gateways.push(gateway);
        for hop in &mut self.hops {
            if hop.gateway != gateway || hop.has_ended {
                continue;
            }
            hop.has_ended = true;
            if hop.forwarded_by.is_none() {
                let request = &self.requests[hop.request];
                let spent = self.now.since(request.at);
                self.measures.count(request, CallerOutcome::Lost, spent);
            }
        }
    }

    /// Whether something would happen at a gateway that is lost.
    pub(super) fn is_at_lost_gateway(&self, event: SimulationEvent) -> bool {
        !self.lost_gateways.is_empty()
            && self
                .gateway_at(event)
                .is_some_and(|gateway| self.lost_gateways.contains(&gateway))
    }

    /// Whether messages from one gateway reach another.
    pub(super) fn can_reach(&self, gateway: usize, peer: usize) -> bool {
        let domain = self.gateways[gateway].spec.domain;
        let other = self.gateways[peer].spec.domain;
        let mut cuts = self.trace.cuts.iter();
        !cuts.any(|cut| cut.separates(domain, other, self.now))
    }

    fn gateway_at(&self, event: SimulationEvent) -> Option<usize> {
        match event {
            SimulationEvent::RequestArrival { request } => {
                let recorded = self.requests[request].gateway;
                Some(fleet::gateway_of(self.trace, self.variant, recorded))
            }
            SimulationEvent::ForwardArrival { attempt }
            | SimulationEvent::ReserveRequest { attempt } => match self.attempts[attempt].target {
                AttemptTarget::Peer(peer) => Some(peer),
                AttemptTarget::Endpoint(_) => None,
            },
            SimulationEvent::PeerReply { attempt, .. }
            | SimulationEvent::ReserveGrant { attempt, .. }
            | SimulationEvent::ReserveTimeout { attempt }
            | SimulationEvent::EndpointArrival { attempt }
            | SimulationEvent::AttemptEnd { attempt, .. }
            | SimulationEvent::OverdueCheck { attempt } => {
                Some(self.hops[self.attempts[attempt].hop].gateway)
            }
            SimulationEvent::HedgeCheck { hop }
            | SimulationEvent::Deadline { hop }
            | SimulationEvent::ReservedArrival { hop }
            | SimulationEvent::GrantExpiry { hop } => Some(self.hops[hop].gateway),
            SimulationEvent::SendReports { gateway }
            | SimulationEvent::ReportArrival { gateway, .. } => Some(gateway),
            SimulationEvent::RunEnd { .. }
            | SimulationEvent::GatewayLoss { .. }
            | SimulationEvent::ConnectionBreak { .. } => None,
        }
    }
}
