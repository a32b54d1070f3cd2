//! Attempts at endpoints, from dispatch to the reply.

use rand::RngExt;

use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::request_outcome::OutcomeStep;

use crate::replay::request::fake_endpoint::ArrivalStep;
use crate::replay::request::fake_endpoint::EndpointWork;
use crate::replay::request::fake_endpoint::RunEnd;
use crate::replay::request::fake_gateway::AttemptSample;
use crate::replay::request::fake_gateway::TakenSlot;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::event::AttemptReply;
use crate::replay::request::simulation::event::SimulationEvent;
use crate::replay::request::simulation::hop::AttemptTarget;
use crate::replay::request::simulation::hop::HopAttempt;

const WHOLE_PERMILLE: u32 = 1_000;

impl Simulation<'_> {
    /// Sends the next attempt of an admitted request; queues the request again if no slot is free.
    pub(super) fn send(&mut self, hop: usize) {
        let used = self.used_endpoints(hop);
        let is_idempotent = self.is_idempotent(hop);
        let gateway = self.hops[hop].gateway;
        match self.gateways[gateway].take_slot(is_idempotent, &used, self.now) {
            Some(slot) => self.send_to(hop, slot),
            None => self.requeue(hop),
        }
    }

    /// Sends an attempt that occupies `slot`; releases the slot if no attempt is permitted.
    pub(super) fn send_to(&mut self, hop: usize, slot: TakenSlot) {
        let Some(attempt) = self.add_attempt(hop, AttemptTarget::Endpoint(slot)) else {
            let gateway = self.hops[hop].gateway;
            self.gateways[gateway].release_slot(slot);
            return;
        };
        let arrives_at = self.now + self.within_domain();
        self.schedule(arrives_at, SimulationEvent::EndpointArrival { attempt });
        self.schedule_overdue_check(attempt);
        if self.variant.hedges && self.hops[hop].state.attempt_count() == 1 {
            self.schedule_hedge_check(hop);
        }
    }

    /// Adds an attempt and returns its index; `None` if the request may have no further one.
    pub(super) fn add_attempt(&mut self, hop: usize, target: AttemptTarget) -> Option<usize> {
        let key = self.hops[hop].state.begin_attempt()?;
        let attempt = self.attempts.len();
        self.attempts.push(HopAttempt {
            hop,
            key,
            target,
            sent_at: self.now,
            is_granted: false,
            is_closed: false,
            is_error: false,
        });
        self.hops[hop].attempts.push(attempt);
        if let AttemptTarget::Endpoint(_) = target {
            self.measures.attempts += 1;
            self.measures.second_attempts += u64::from(self.used_endpoints(hop).len() > 1);
        }
        Some(attempt)
    }

    /// Handles an attempt at its endpoint: refused, cancelled before the first byte, or accepted.
    pub(super) fn on_endpoint_arrival(&mut self, attempt: usize) {
        let hop = self.attempts[attempt].hop;
        let AttemptTarget::Endpoint(slot) = self.attempts[attempt].target else {
            return;
        };
        let gateway = self.hops[hop].gateway;
        if self.endpoints[slot.endpoint.0 as usize].refuses_connection(self.now) {
            self.schedule_reply(attempt, AttemptReply::Refused);
            return;
        }
        let failure_draw_permille = self.gateways[gateway].rng.random_range(0..WHOLE_PERMILLE);
        if self.record_event(attempt, AttemptEvent::FirstByteSent) == OutcomeStep::Drop {
            self.attempts[attempt].is_closed = true;
            self.gateways[gateway].release_slot(slot);
            self.serve_queue(gateway);
            return;
        }
        let work = EndpointWork {
            attempt,
            run_time: self.requests[self.hops[hop].request].run_time,
            failure_draw_permille,
        };
        match self.endpoints[slot.endpoint.0 as usize].accept(work, self.now) {
            ArrivalStep::Run(end) => self.schedule_run_end(end),
            ArrivalStep::Wait => {}
        }
    }

    pub(super) fn schedule_run_end(&mut self, end: RunEnd) {
        let RunEnd {
            attempt, is_error, ..
        } = end;
        self.schedule(end.at, SimulationEvent::RunEnd { attempt, is_error });
    }

    /// Schedules the arrival of a reply at the gateway, after the network delay.
    pub(super) fn schedule_reply(&mut self, attempt: usize, reply: AttemptReply) {
        let at = self.now + self.within_domain();
        self.schedule(at, SimulationEvent::AttemptEnd { attempt, reply });
    }

    /// Ends a run and sends its reply, or delays both until the end of a stall.
    pub(super) fn on_run_end(&mut self, attempt: usize, is_error: bool) {
        let AttemptTarget::Endpoint(slot) = self.attempts[attempt].target else {
            return;
        };
        let endpoint = &mut self.endpoints[slot.endpoint.0 as usize];
        if !endpoint.is_running(attempt) {
            return;
        }
        if let Some(until) = endpoint.stall_end(self.now) {
            self.schedule(until, SimulationEvent::RunEnd { attempt, is_error });
            return;
        }
        if let Some(next) = endpoint.end_run(attempt, self.now) {
            self.schedule_run_end(next);
        }
        let reply = match is_error {
            true => AttemptReply::Error,
            false => AttemptReply::Answered,
        };
        self.schedule_reply(attempt, reply);
    }

    pub(super) fn on_connection_break(&mut self, endpoint: usize) {
        for attempt in self.endpoints[endpoint].break_connections() {
            self.schedule_reply(attempt, AttemptReply::Broken);
        }
    }

    /// Handles the end of an attempt at its gateway: statistics, slot, outcome, then the queue.
    pub(super) fn on_attempt_end(&mut self, attempt: usize, reply: AttemptReply) {
        let state = &mut self.attempts[attempt];
        state.is_closed = true;
        state.is_error = reply == AttemptReply::Error;
        let AttemptTarget::Endpoint(slot) = state.target else {
            return;
        };
        let latency = self.now.since(state.sent_at);
        let hop = state.hop;
        let gateway = self.hops[hop].gateway;
        let kind = self.requests[self.hops[hop].request].kind;
        let sample = match reply {
            AttemptReply::Answered => AttemptSample::Answered(latency),
            AttemptReply::Error | AttemptReply::Refused | AttemptReply::Broken => {
                AttemptSample::Failed
            }
        };
        self.gateways[gateway].record_sample(slot.endpoint, kind, sample, self.now);
        self.gateways[gateway].release_slot(slot);
        let step = self.record_event(attempt, reply.attempt_event());
        self.apply_step(hop, step);
        self.serve_queue(gateway);
    }

    /// Endpoints of all attempts of a request, in order of dispatch.
    pub(super) fn used_endpoints(&self, hop: usize) -> Vec<EndpointKey> {
        let attempts = self.hops[hop].attempts.iter();
        attempts
            .filter_map(|attempt| match self.attempts[*attempt].target {
                AttemptTarget::Endpoint(slot) => Some(slot.endpoint),
                AttemptTarget::Peer(_) => None,
            })
            .collect()
    }
}
