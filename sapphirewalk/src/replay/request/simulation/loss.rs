//! Loss of gateways and network partitions between domains.

use sapphirewalk_core::time::TimePoint;

use crate::replay::request::fleet;
use crate::replay::request::measure::CallerOutcome;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::AttemptTarget;

impl Simulation<'_> {
    /// Schedules the losses of the trace.
    ///
    /// There are none with merged seats, where a loss would leave a domain without a gateway.
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

    /// Ends all requests at a gateway and excludes it from the rest of the run.
    ///
    /// Requests from callers count as lost. Gateways that forwarded requests here get no reply.
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

    /// Whether an event takes place at a lost gateway and must be discarded.
    pub(super) fn is_at_lost_gateway(&self, event: SimulationEvent) -> bool {
        !self.lost_gateways.is_empty()
            && self
                .gateway_at(event)
                .is_some_and(|gateway| self.lost_gateways.contains(&gateway))
    }

    /// Whether no partition separates the domains of two gateways.
    pub(super) fn can_reach(&self, gateway: usize, peer: usize) -> bool {
        let domain = self.gateways[gateway].spec.domain;
        let other = self.gateways[peer].spec.domain;
        let mut cuts = self.trace.cuts.iter();
        !cuts.any(|cut| cut.separates(domain, other, self.now))
    }

    /// Gateway at which an event takes place; `None` for an event elsewhere.
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
