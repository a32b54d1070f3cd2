//! Admission of requests at a gateway.

use sapphirewalk_core::admission::AdmissionStep;
use sapphirewalk_core::admission::QueueStep;
use sapphirewalk_core::admission::RequestClaim;
use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::key::RequestKey;
use sapphirewalk_core::request_outcome::OutcomeStep;
use sapphirewalk_core::request_outcome::RequestState;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::fleet;
use crate::replay::request::measure::CallerOutcome;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::happening::Happening;
use crate::replay::request::simulation::visit::GatewayVisit;
use crate::replay::request::variant::AdmissionRule;

impl Simulation<'_> {
    pub(super) fn arrive(&mut self, request: usize) {
        let gateway = fleet::gateway_of(self.trace, self.variant, self.requests[request].gateway);
        let kind = &self.trace.kinds[self.requests[request].kind];
        let deadline = self.now + TimeSpan::from_millis(kind.deadline_ms);
        let visit = self.add_visit(request, gateway, None, RequestDeadline::at(deadline));
        self.schedule(deadline, Happening::Deadline { visit });
        self.offer(visit);
    }

    pub(super) fn add_visit(
        &mut self,
        request: usize,
        gateway: usize,
        forwarded_by: Option<usize>,
        deadline: RequestDeadline,
    ) -> usize {
        let visit = self.visits.len();
        let kind = self.requests[request].kind;
        let origin = match forwarded_by {
            None => RequestOrigin::Caller,
            Some(_) => RequestOrigin::Peer,
        };
        let claim = RequestClaim {
            request: RequestKey(u32::try_from(visit).unwrap_or(u32::MAX)),
            kind: self.gateways[gateway].admission_kind(kind),
            user: self.gateways[gateway].admission_user(),
            deadline,
            origin,
        };
        self.visits.push(GatewayVisit {
            request,
            gateway,
            forwarded_by,
            claim,
            state: RequestState::new(self.trace.kinds[kind].idempotent, deadline),
            held_slot: None,
            awaits_request: false,
            attempts: Vec::new(),
            is_admitted: false,
            is_queued: false,
            is_over: false,
            has_waited: false,
            forwards: 0,
            hedge_looks: 0,
            dispatched_at: self.now,
        });
        visit
    }

    pub(super) fn offer(&mut self, visit: usize) {
        if self.variant.admission == AdmissionRule::SendAtOnce {
            self.dispatch(visit);
            return;
        }
        let claim = self.visits[visit].claim;
        let gateway = &mut self.gateways[self.visits[visit].gateway];
        gateway.sync_admission(self.now);
        match gateway.admission.offer(claim, self.now) {
            AdmissionStep::Dispatch => self.dispatch(visit),
            AdmissionStep::Queue => {
                self.visits[visit].has_waited = true;
                self.visits[visit].is_queued = true;
                if let Some(peer) = self.choose_peer(visit) {
                    self.visits[visit].is_queued = false;
                    let gateway = self.visits[visit].gateway;
                    self.gateways[gateway].admission.cancel(claim);
                    self.forward(visit, peer);
                }
            }
            AdmissionStep::Refuse(_) => match self.choose_peer(visit) {
                Some(peer) => self.forward(visit, peer),
                None => self.refuse(visit),
            },
        }
    }

    /// Returns a request that a peer declined to its place in the queue.
    pub(super) fn wait_again(&mut self, visit: usize) {
        let claim = self.visits[visit].claim;
        let gateway = self.visits[visit].gateway;
        self.visits[visit].is_queued = true;
        self.gateways[gateway].admission.return_waiting(claim);
        self.drain(gateway);
    }

    pub(super) fn refuse(&mut self, visit: usize) {
        let step = self.visits[visit].state.on_no_endpoint();
        self.apply(visit, step);
    }

    pub(super) fn dispatch(&mut self, visit: usize) {
        self.visits[visit].is_queued = false;
        self.visits[visit].is_admitted = true;
        self.visits[visit].dispatched_at = self.now;
        if self.visits[visit].awaits_request {
            self.grant(visit);
        } else {
            self.send(visit);
        }
    }

    pub(super) fn put_back(&mut self, visit: usize) {
        let claim = self.visits[visit].claim;
        let gateway = self.visits[visit].gateway;
        self.visits[visit].is_admitted = false;
        match self.gateways[gateway].admission.requeue(claim, self.now) {
            AdmissionStep::Dispatch | AdmissionStep::Queue => self.visits[visit].is_queued = true,
            AdmissionStep::Refuse(_) => self.refuse(visit),
        }
    }

    pub(super) fn deadline(&mut self, visit: usize) {
        if self.visits[visit].is_over {
            return;
        }
        let claim = self.visits[visit].claim;
        let gateway = self.visits[visit].gateway;
        self.gateways[gateway].admission.cancel(claim);
        if self.visits[visit].state.abort() != OutcomeStep::Drop {
            self.end(visit, CallerOutcome::Late);
        }
        self.drain(gateway);
    }

    /// Serves the requests that wait at a gateway.
    pub(super) fn drain(&mut self, gateway: usize) {
        if self.variant.admission == AdmissionRule::SendAtOnce {
            return;
        }
        loop {
            self.gateways[gateway].sync_admission(self.now);
            match self.gateways[gateway].admission.next(self.now) {
                QueueStep::Dispatch(claim) => self.dispatch(claim.request.0 as usize),
                QueueStep::Refuse(claim, _) => {
                    let visit = claim.request.0 as usize;
                    self.visits[visit].is_queued = false;
                    self.refuse(visit);
                }
                QueueStep::Idle => return,
            }
        }
    }
}
