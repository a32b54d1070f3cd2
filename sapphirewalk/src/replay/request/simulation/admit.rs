//! Admission, queueing and refusal of requests at a gateway.

use sapphirewalk_core::admission::AdmissionRequest;
use sapphirewalk_core::admission::AdmissionStep;
use sapphirewalk_core::admission::QueueStep;
use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::key::RequestKey;
use sapphirewalk_core::request_outcome::OutcomeStep;
use sapphirewalk_core::request_outcome::RequestState;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::fleet;
use crate::replay::request::measure::CallerOutcome;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::RequestHop;
use crate::replay::request::variant::AdmissionRule;

impl Simulation<'_> {
    /// Admits a request from its caller; its deadline starts now.
    pub(super) fn on_request_arrival(&mut self, request: usize) {
        let gateway = fleet::gateway_of(self.trace, self.variant, self.requests[request].gateway);
        let kind = &self.trace.kinds[self.requests[request].kind];
        let deadline = self.now + TimeSpan::from_millis(kind.deadline_ms);
        let hop = self.add_hop(request, gateway, None, RequestDeadline::at(deadline));
        self.schedule(deadline, SimulationEvent::Deadline { hop });
        self.offer(hop);
    }

    /// Adds a request at a gateway and returns its index; it is not offered to admission yet.
    pub(super) fn add_hop(
        &mut self,
        request: usize,
        gateway: usize,
        forwarded_by: Option<usize>,
        deadline: RequestDeadline,
    ) -> usize {
        let hop = self.hops.len();
        let kind = self.requests[request].kind;
        let origin = match forwarded_by {
            None => RequestOrigin::Caller,
            Some(_) => RequestOrigin::Peer,
        };
        let admission_request = AdmissionRequest {
            request: RequestKey(u32::try_from(hop).unwrap_or(u32::MAX)),
            kind: self.gateways[gateway].admission_kind(kind),
            user: self.gateways[gateway].admission_user(),
            deadline,
            origin,
        };
        self.hops.push(RequestHop {
            request,
            gateway,
            forwarded_by,
            admission_request,
            state: RequestState::new(self.trace.kinds[kind].idempotent, deadline),
            reserved_slot: None,
            awaits_request: false,
            attempts: Vec::new(),
            is_admitted: false,
            is_queued: false,
            has_ended: false,
            was_queued: false,
            forwards: 0,
            hedge_decisions: 0,
            dispatched_at: self.now,
        });
        hop
    }

    /// Offers a request to admission.
    ///
    /// A request that cannot run at once is forwarded if a peer has a free slot; else it is queued
    /// or refused, as admission decided.
    pub(super) fn offer(&mut self, hop: usize) {
        if self.variant.admission == AdmissionRule::SendAtOnce {
            self.dispatch(hop);
            return;
        }
        let admission_request = self.hops[hop].admission_request;
        let gateway = &mut self.gateways[self.hops[hop].gateway];
        gateway.update_admission(self.now);
        match gateway.admission.offer(admission_request, self.now) {
            AdmissionStep::Dispatch => self.dispatch(hop),
            AdmissionStep::Queue => {
                self.hops[hop].was_queued = true;
                self.hops[hop].is_queued = true;
                if let Some(peer) = self.choose_peer(hop) {
                    self.hops[hop].is_queued = false;
                    let gateway = self.hops[hop].gateway;
                    self.gateways[gateway].admission.cancel(admission_request);
                    self.forward(hop, peer);
                }
            }
            AdmissionStep::Refuse(_) => match self.choose_peer(hop) {
                Some(peer) => self.forward(hop, peer),
                None => self.refuse(hop),
            },
        }
    }

    /// Returns a queued request that a peer declined to the front of its queue.
    pub(super) fn return_to_queue(&mut self, hop: usize) {
        let admission_request = self.hops[hop].admission_request;
        let gateway = self.hops[hop].gateway;
        self.hops[hop].is_queued = true;
        self.gateways[gateway]
            .admission
            .return_waiting(admission_request);
        self.serve_queue(gateway);
    }

    /// Ends a request for which no endpoint is available, unless an attempt is in progress.
    pub(super) fn refuse(&mut self, hop: usize) {
        let step = self.hops[hop].state.on_no_endpoint();
        self.apply_step(hop, step);
    }

    /// Sends an admitted request. A reservation has no request to send yet; its slot is granted to
    /// the forwarding gateway instead.
    pub(super) fn dispatch(&mut self, hop: usize) {
        self.hops[hop].is_queued = false;
        self.hops[hop].is_admitted = true;
        self.hops[hop].dispatched_at = self.now;
        if self.hops[hop].awaits_request {
            self.grant_slot(hop);
        } else {
            self.send(hop);
        }
    }

    /// Frees the slot of an admitted request that no endpoint can take, and queues it again.
    pub(super) fn requeue(&mut self, hop: usize) {
        let admission_request = self.hops[hop].admission_request;
        let gateway = self.hops[hop].gateway;
        self.hops[hop].is_admitted = false;
        match self.gateways[gateway]
            .admission
            .requeue(admission_request, self.now)
        {
            AdmissionStep::Dispatch | AdmissionStep::Queue => self.hops[hop].is_queued = true,
            AdmissionStep::Refuse(_) => self.refuse(hop),
        }
    }

    /// Aborts a request that has no outcome at its deadline.
    pub(super) fn on_deadline(&mut self, hop: usize) {
        if self.hops[hop].has_ended {
            return;
        }
        let admission_request = self.hops[hop].admission_request;
        let gateway = self.hops[hop].gateway;
        self.gateways[gateway].admission.cancel(admission_request);
        if self.hops[hop].state.abort() != OutcomeStep::Drop {
            self.end_hop(hop, CallerOutcome::Late);
        }
        self.serve_queue(gateway);
    }

    /// Dispatches or refuses queued requests until no slot is free or the queue is empty.
    pub(super) fn serve_queue(&mut self, gateway: usize) {
        if self.variant.admission == AdmissionRule::SendAtOnce {
            return;
        }
        loop {
            self.gateways[gateway].update_admission(self.now);
            match self.gateways[gateway].admission.next(self.now) {
                QueueStep::Dispatch(admitted) => self.dispatch(admitted.request.0 as usize),
                QueueStep::Refuse(refused, _) => {
                    let hop = refused.request.0 as usize;
                    self.hops[hop].is_queued = false;
                    self.refuse(hop);
                }
                QueueStep::Idle => return,
            }
        }
    }
}
