//! Forwarding of requests between gateways, and reports of free slots.

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
use crate::replay::request::simulation::event::PeerReply;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::AttemptTarget;

/// Interval at which each gateway reports its free slots to all peers.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(200);
/// Maximum number of times that a request is forwarded.
const MAX_FORWARDS: u32 = 1;

impl Simulation<'_> {
    /// Chooses a peer for a request; `None` if it must not be forwarded or no peer is suitable.
    ///
    /// The round trip to the peer must leave enough time for a run before the deadline.
    pub(super) fn choose_peer(&mut self, hop: usize) -> Option<usize> {
        let state = &self.hops[hop];
        let is_forwarded = state.forwarded_by.is_some();
        if !self.variant.forwards || is_forwarded || state.forwards >= MAX_FORWARDS {
            return None;
        }
        let gateway = &mut self.gateways[state.gateway];
        let needed = gateway
            .admission
            .run_time_bound(state.admission_request.kind);
        let remaining = state.admission_request.deadline.remaining(self.now);
        let slack = TimeSpan::from_micros(remaining.as_micros().saturating_sub(needed.as_micros()));
        match gateway.peers.choose(slack, self.now, &mut gateway.rng) {
            PeerStep::Forward(VmKey(peer)) => Some(peer as usize),
            PeerStep::NoneFree => None,
        }
    }

    /// Forwards a request: sends it at once, or requests a slot first if it is not idempotent.
    pub(super) fn forward(&mut self, hop: usize, peer: usize) {
        self.hops[hop].forwards += 1;
        self.measures.forwards += 1;
        let Some(attempt) = self.add_attempt(hop, AttemptTarget::Peer(peer)) else {
            return;
        };
        let gateway = self.hops[hop].gateway;
        let one_way = self.one_way(gateway, peer);
        let is_idempotent = self.is_idempotent(hop);
        match peer_choice::forward_mode(is_idempotent, one_way + one_way, self.now) {
            ForwardMode::SendNow => {
                self.record_event(attempt, AttemptEvent::FirstByteSent);
                self.schedule_overdue_check(attempt);
                self.schedule_between(gateway, peer, SimulationEvent::ForwardArrival { attempt });
            }
            ForwardMode::ReserveFirst { until } => {
                self.schedule(until, SimulationEvent::ReserveTimeout { attempt });
                self.schedule_between(gateway, peer, SimulationEvent::ReserveRequest { attempt });
            }
        }
    }

    /// Schedules the arrival of a message between gateways; a partition drops the message.
    pub(super) fn schedule_between(&mut self, from: usize, to: usize, event: SimulationEvent) {
        if self.can_reach(from, to) {
            let at = self.now + self.one_way(from, to);
            self.schedule(at, event);
        }
    }

    /// Forwards queued requests while peers have free slots.
    pub(super) fn forward_waiting(&mut self, gateway: usize) {
        while self.variant.forwards && self.gateways[gateway].peers.has_free(self.now) {
            let Some(admission_request) = self.gateways[gateway].admission.take_waiting() else {
                return;
            };
            let hop = admission_request.request.0 as usize;
            match self.choose_peer(hop) {
                Some(peer) => {
                    self.hops[hop].is_queued = false;
                    self.forward(hop, peer);
                }
                None => {
                    self.gateways[gateway]
                        .admission
                        .return_waiting(admission_request);
                    return;
                }
            }
        }
    }

    /// Offers a forwarded request to admission at the peer.
    pub(super) fn on_forward_arrival(&mut self, attempt: usize) {
        if let Some(hop) = self.add_peer_hop(attempt) {
            self.offer(hop);
        }
    }

    /// Adds the hop of a forwarded request at the peer and returns its index.
    ///
    /// Its deadline is earlier by one network delay, so that the reply arrives in time.
    pub(super) fn add_peer_hop(&mut self, attempt: usize) -> Option<usize> {
        let AttemptTarget::Peer(peer) = self.attempts[attempt].target else {
            return None;
        };
        let origin = &self.hops[self.attempts[attempt].hop];
        let one_way = self.one_way(origin.gateway, peer);
        let deadline = RequestDeadline::at(origin.admission_request.deadline.point() - one_way);
        let hop = self.add_hop(origin.request, peer, Some(attempt), deadline);
        self.schedule(deadline.point(), SimulationEvent::Deadline { hop });
        Some(hop)
    }

    /// Sends the outcome at a peer to the gateway that forwarded the request, with the peer's free
    /// slots.
    pub(super) fn reply_to_origin(&mut self, hop: usize, attempt: usize, outcome: CallerOutcome) {
        let peer = self.hops[hop].gateway;
        let origin = self.hops[self.attempts[attempt].hop].gateway;
        let was_tried = !self.hops[hop].attempts.is_empty();
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
        let reply = SimulationEvent::PeerReply {
            attempt,
            reply,
            free_slots,
        };
        self.schedule_between(peer, origin, reply);
    }

    /// Handles the reply of a peer at the gateway that forwarded the request.
    pub(super) fn on_peer_reply(&mut self, attempt: usize, reply: PeerReply, free_slots: u32) {
        self.attempts[attempt].is_closed = true;
        self.attempts[attempt].is_error = reply == PeerReply::Error;
        let hop = self.attempts[attempt].hop;
        let gateway = self.hops[hop].gateway;
        if let AttemptTarget::Peer(peer) = self.attempts[attempt].target {
            self.on_report_arrival(gateway, peer, free_slots);
        }
        self.measures.declined_forwards += u64::from(reply == PeerReply::Declined);
        let step = self.record_event(attempt, reply.attempt_event());
        self.apply_step(hop, step);
    }

    /// Sends the free slots of a gateway to all peers, and schedules the next report.
    pub(super) fn send_reports(&mut self, gateway: usize) {
        let free_slots = self.spare_slots(gateway);
        for peer in (0..self.gateways.len()).filter(|peer| *peer != gateway) {
            let report = SimulationEvent::ReportArrival {
                gateway: peer,
                peer: gateway,
                free_slots,
            };
            self.schedule_between(gateway, peer, report);
        }
        let next = self.now + REPORT_INTERVAL;
        if next < TimePoint::from_millis(self.trace.fleet.length_ms) {
            self.schedule(next, SimulationEvent::SendReports { gateway });
        }
    }

    /// Stores a report of free slots and forwards queued requests to use them.
    pub(super) fn on_report_arrival(&mut self, gateway: usize, peer: usize, free_slots: u32) {
        let one_way = self.one_way(gateway, peer);
        let report = PeerReport {
            peer: self.gateways[peer].spec.vm,
            free_slots,
            round_trip: one_way + one_way,
            reported_at: self.now,
        };
        self.gateways[gateway].peers.report(report);
        self.forward_waiting(gateway);
    }

    /// Free slots of a gateway, less its queued requests.
    pub(super) fn spare_slots(&self, gateway: usize) -> u32 {
        let gateway = &self.gateways[gateway];
        let waiting = u32::try_from(gateway.admission.waiting()).unwrap_or(u32::MAX);
        gateway.free_slots(self.now).saturating_sub(waiting)
    }

    /// One-way network delay between two gateways.
    pub(super) fn one_way(&self, gateway: usize, peer: usize) -> TimeSpan {
        if self.gateways[gateway].spec.domain == self.gateways[peer].spec.domain {
            self.within_domain()
        } else {
            TimeSpan::from_micros(self.trace.fleet.between_domains_us)
        }
    }
}
