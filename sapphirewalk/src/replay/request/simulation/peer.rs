//! Forwarding between gateways.

use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::peer_choice;
use sapphirewalk_core::peer_choice::ForwardMode;
use sapphirewalk_core::peer_choice::PeerReport;
use sapphirewalk_core::peer_choice::PeerStep;
use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::measure::CallerOutcome;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::happening::Happening;
use crate::replay::request::simulation::happening::PeerReply;
use crate::replay::request::simulation::visit::AttemptTarget;

/// Time between two reports of free slots to the peers.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Times that a request may be forwarded.
const MOST_FORWARDS: u32 = 1;

impl Simulation<'_> {
    pub(super) fn choose_peer(&mut self, visit: usize) -> Option<usize> {
        let state = &self.visits[visit];
        let is_foreign = state.forwarded_by.is_some();
        if !self.variant.forwards || is_foreign || state.forwards >= MOST_FORWARDS {
            return None;
        }
        let gateway = &mut self.gateways[state.gateway];
        let needed = gateway.admission.run_time_bound(state.claim.kind);
        let left = state.claim.deadline.remaining(self.now);
        let spare = TimeSpan::from_micros(left.as_micros().saturating_sub(needed.as_micros()));
        match gateway.peers.choose(spare, self.now, &mut gateway.rng) {
            PeerStep::Forward(VmKey(peer)) => Some(peer as usize),
            PeerStep::NoneFree => None,
        }
    }

    pub(super) fn forward(&mut self, visit: usize, peer: usize) {
        self.visits[visit].forwards += 1;
        self.measures.forwards += 1;
        let Some(attempt) = self.add_attempt(visit, AttemptTarget::Peer(peer)) else {
            return;
        };
        let gateway = self.visits[visit].gateway;
        let one_way = self.one_way(gateway, peer);
        let is_idempotent = self.is_idempotent(visit);
        match peer_choice::forward_mode(is_idempotent, one_way + one_way, self.now) {
            ForwardMode::SendNow => {
                self.on_event(attempt, AttemptEvent::FirstByteSent);
                self.plan_overdue_check(attempt);
                self.schedule_between(gateway, peer, Happening::PeerArrive { attempt });
            }
            ForwardMode::ReserveFirst { until } => {
                self.schedule(until, Happening::AskTimeout { attempt });
                self.schedule_between(gateway, peer, Happening::PeerAsk { attempt });
            }
        }
    }

    /// Schedules the arrival of a message between gateways, unless it is cut off.
    pub(super) fn schedule_between(&mut self, from: usize, to: usize, happening: Happening) {
        if self.reaches(from, to) {
            let at = self.now + self.one_way(from, to);
            self.schedule(at, happening);
        }
    }

    /// Forwards requests that wait while peers have free slots.
    pub(super) fn forward_waiting(&mut self, gateway: usize) {
        while self.variant.forwards && self.gateways[gateway].peers.has_free(self.now) {
            let Some(claim) = self.gateways[gateway].admission.take_waiting() else {
                return;
            };
            let visit = claim.request.0 as usize;
            match self.choose_peer(visit) {
                Some(peer) => {
                    self.visits[visit].is_queued = false;
                    self.forward(visit, peer);
                }
                None => {
                    self.gateways[gateway].admission.return_waiting(claim);
                    return;
                }
            }
        }
    }

    pub(super) fn peer_arrive(&mut self, attempt: usize) {
        if let Some(visit) = self.add_peer_visit(attempt) {
            self.offer(visit);
        }
    }

    pub(super) fn add_peer_visit(&mut self, attempt: usize) -> Option<usize> {
        let AttemptTarget::Peer(peer) = self.attempts[attempt].target else {
            return None;
        };
        let origin = &self.visits[self.attempts[attempt].visit];
        let one_way = self.one_way(origin.gateway, peer);
        let deadline = RequestDeadline::at(origin.claim.deadline.point() - one_way);
        let visit = self.add_visit(origin.request, peer, Some(attempt), deadline);
        self.schedule(deadline.point(), Happening::Deadline { visit });
        Some(visit)
    }

    pub(super) fn reply_to_origin(&mut self, visit: usize, attempt: usize, outcome: CallerOutcome) {
        let peer = self.visits[visit].gateway;
        let origin = self.visits[self.attempts[attempt].visit].gateway;
        let was_tried = !self.visits[visit].attempts.is_empty();
        let reply = match outcome {
            CallerOutcome::Answered => PeerReply::Answered,
            CallerOutcome::Error => PeerReply::Error,
            CallerOutcome::NotRun if was_tried => PeerReply::NotRun,
            CallerOutcome::NotRun => PeerReply::Declined,
            CallerOutcome::Unknown | CallerOutcome::Late | CallerOutcome::Lost => {
                PeerReply::Unknown
            }
        };
        let free_slots = self.spare_slots(peer);
        let reply = Happening::PeerReply {
            attempt,
            reply,
            free_slots,
        };
        self.schedule_between(peer, origin, reply);
    }

    pub(super) fn peer_reply(&mut self, attempt: usize, reply: PeerReply, free_slots: u32) {
        self.attempts[attempt].is_known = true;
        self.attempts[attempt].is_error = reply == PeerReply::Error;
        let visit = self.attempts[attempt].visit;
        let gateway = self.visits[visit].gateway;
        if let AttemptTarget::Peer(peer) = self.attempts[attempt].target {
            self.take_report(gateway, peer, free_slots);
        }
        self.measures.declined_forwards += u64::from(reply == PeerReply::Declined);
        let step = self.on_event(attempt, reply.event());
        self.apply(visit, step);
    }

    pub(super) fn send_reports(&mut self, gateway: usize) {
        let free_slots = self.spare_slots(gateway);
        for peer in (0..self.gateways.len()).filter(|peer| *peer != gateway) {
            let report = Happening::TakeReport {
                gateway: peer,
                peer: gateway,
                free_slots,
            };
            self.schedule_between(gateway, peer, report);
        }
        let next = self.now + REPORT_INTERVAL;
        if next < TimePoint::from_millis(self.trace.fleet.length_ms) {
            self.schedule(next, Happening::SendReports { gateway });
        }
    }

    pub(super) fn take_report(&mut self, gateway: usize, peer: usize, free_slots: u32) {
        let one_way = self.one_way(gateway, peer);
        let report = PeerReport {
            peer: self.gateways[peer].place.vm,
            free_slots,
            round_trip: one_way + one_way,
            reported_at: self.now,
        };
        self.gateways[gateway].peers.report(report);
        self.forward_waiting(gateway);
    }

    /// Free slots of a gateway that no request of its own waits for.
    pub(super) fn spare_slots(&self, gateway: usize) -> u32 {
        let gateway = &self.gateways[gateway];
        let waiting = u32::try_from(gateway.admission.waiting()).unwrap_or(u32::MAX);
        gateway.free_slots(self.now).saturating_sub(waiting)
    }

    pub(super) fn one_way(&self, gateway: usize, peer: usize) -> TimeSpan {
        if self.gateways[gateway].place.domain == self.gateways[peer].place.domain {
            self.within_domain()
        } else {
            TimeSpan::from_micros(self.trace.fleet.between_domains_us)
        }
    }
}
