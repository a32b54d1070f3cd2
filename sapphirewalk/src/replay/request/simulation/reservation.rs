//! Reservation of a slot at a peer.
//!
//! A request that is not idempotent is sent to a peer only after the peer has granted a slot. If
//! the peer is lost or cut off before that, the request has certainly not run.

use sapphirewalk_core::peer_choice;
use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::request_outcome::OutcomeStep;

use crate::replay::request::measure::CallerOutcome;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::AttemptTarget;

impl Simulation<'_> {
    /// Offers the requested slot to admission at the peer, which grants it at once or declines.
    pub(super) fn on_reserve_request(&mut self, attempt: usize) {
        if let Some(hop) = self.add_peer_hop(attempt) {
            self.hops[hop].awaits_request = true;
            self.offer(hop);
        }
    }

    /// Reserves a slot and sends the grant to the gateway that requested it.
    pub(super) fn grant_slot(&mut self, hop: usize) {
        let gateway = self.hops[hop].gateway;
        let is_idempotent = self.is_idempotent(hop);
        let slot = self.gateways[gateway].take_slot(is_idempotent, &[], self.now);
        let (Some(slot), Some(attempt)) = (slot, self.hops[hop].forwarded_by) else {
            self.refuse(hop);
            return;
        };
        self.hops[hop].reserved_slot = Some(slot);
        let until = self.now + peer_choice::GRANT_LIFETIME;
        self.schedule(until, SimulationEvent::GrantExpiry { hop });
        let origin = self.hops[self.attempts[attempt].hop].gateway;
        self.schedule_between(
            gateway,
            origin,
            SimulationEvent::ReserveGrant { attempt, hop },
        );
    }

    /// Sends the request to the peer, unless the request or the attempt has ended.
    pub(super) fn on_reserve_grant(&mut self, attempt: usize, hop: usize) {
        if self.record_event(attempt, AttemptEvent::FirstByteSent) == OutcomeStep::Drop {
            return;
        }
        self.attempts[attempt].is_granted = true;
        let origin = self.hops[self.attempts[attempt].hop].gateway;
        let peer = self.hops[hop].gateway;
        self.schedule_between(origin, peer, SimulationEvent::ReservedArrival { hop });
    }

    /// Sends the request to the endpoint of the reserved slot; declines it if the grant expired.
    pub(super) fn on_reserved_arrival(&mut self, hop: usize) {
        match self.hops[hop].reserved_slot.take() {
            Some(slot) => {
                self.hops[hop].awaits_request = false;
                self.send_to(hop, slot);
            }
            None => {
                if let Some(attempt) = self.hops[hop].forwarded_by {
                    self.reply_to_origin(hop, attempt, CallerOutcome::NotRun);
                }
            }
        }
    }

    /// Ends an attempt for which no grant arrived in time.
    ///
    /// The peer counts as full until its next report. No byte of the request was sent to it.
    pub(super) fn on_reserve_timeout(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        if state.is_closed || state.is_granted {
            return;
        }
        state.is_closed = true;
        let hop = state.hop;
        if let AttemptTarget::Peer(peer) = state.target {
            let vm = self.gateways[peer].spec.vm;
            self.gateways[self.hops[hop].gateway].peers.mark_full(vm);
        }
        let step = self.record_event(attempt, AttemptEvent::Declined);
        self.apply_step(hop, step);
    }

    /// Releases a reserved slot whose request has not arrived.
    pub(super) fn on_grant_expiry(&mut self, hop: usize) {
        let Some(slot) = self.hops[hop].reserved_slot.take() else {
            return;
        };
        let gateway = self.hops[hop].gateway;
        self.gateways[gateway].release_slot(slot);
        let admission_request = self.hops[hop].admission_request;
        if self.hops[hop].is_admitted {
            self.gateways[gateway].admission.finish(
                admission_request.kind,
                admission_request.user,
                None,
            );
        }
        self.hops[hop].is_admitted = false;
        self.hops[hop].has_ended = true;
        self.serve_queue(gateway);
    }
}
