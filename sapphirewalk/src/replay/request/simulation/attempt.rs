//! Attempts at endpoints, from dispatch to what becomes known of them.

use rand::RngExt;

use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::request_outcome::OutcomeStep;

use crate::replay::request::fake_endpoint::ArriveStep;
use crate::replay::request::fake_endpoint::EndpointWork;
use crate::replay::request::fake_endpoint::RunEnd;
use crate::replay::request::fake_gateway::AttemptEnd;
use crate::replay::request::fake_gateway::TakenSlot;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::happening::AttemptReply;
use crate::replay::request::simulation::happening::Happening;
use crate::replay::request::simulation::visit::AttemptTarget;
use crate::replay::request::simulation::visit::VisitAttempt;

/// Thousandths in a whole.
const WHOLE_PERMILLE: u32 = 1_000;

impl Simulation<'_> {
    /// Sends the next attempt of an admitted request, or puts the request back into its queue.
    pub(super) fn send(&mut self, visit: usize) {
        let used = self.used_endpoints(visit);
        let is_idempotent = self.is_idempotent(visit);
        let gateway = self.visits[visit].gateway;
        match self.gateways[gateway].take_slot(is_idempotent, &used, self.now) {
            Some(slot) => self.send_to(visit, slot),
            None => self.put_back(visit),
        }
    }

    pub(super) fn send_to(&mut self, visit: usize, slot: TakenSlot) {
        let Some(attempt) = self.add_attempt(visit, AttemptTarget::Endpoint(slot)) else {
            let gateway = self.visits[visit].gateway;
            self.gateways[gateway].release_slot(slot);
            return;
        };
        let arrives_at = self.now + self.within_domain();
        self.schedule(arrives_at, Happening::EndpointArrive { attempt });
        self.plan_overdue_check(attempt);
        if self.variant.hedges && self.visits[visit].state.attempt_count() == 1 {
            self.plan_hedge(visit);
        }
    }

    pub(super) fn add_attempt(&mut self, visit: usize, target: AttemptTarget) -> Option<usize> {
        let key = self.visits[visit].state.begin_attempt()?;
        let attempt = self.attempts.len();
        self.attempts.push(VisitAttempt {
            visit,
            key,
            target,
            sent_at: self.now,
            is_granted: false,
            is_known: false,
            is_error: false,
        });
        self.visits[visit].attempts.push(attempt);
        if let AttemptTarget::Endpoint(_) = target {
            self.measures.attempts += 1;
            self.measures.second_attempts += u64::from(self.used_endpoints(visit).len() > 1);
        }
        Some(attempt)
    }

    pub(super) fn endpoint_arrive(&mut self, attempt: usize) {
        let visit = self.attempts[attempt].visit;
        let AttemptTarget::Endpoint(slot) = self.attempts[attempt].target else {
            return;
        };
        let gateway = self.visits[visit].gateway;
        if self.endpoints[slot.endpoint.0 as usize].refuses(self.now) {
            self.schedule_reply(attempt, AttemptReply::Refused);
            return;
        }
        let draw_permille = self.gateways[gateway].rng.random_range(0..WHOLE_PERMILLE);
        if self.on_event(attempt, AttemptEvent::FirstByteSent) == OutcomeStep::Drop {
            self.attempts[attempt].is_known = true;
            self.gateways[gateway].release_slot(slot);
            self.drain(gateway);
            return;
        }
        let work = EndpointWork {
            attempt,
            run_time: self.requests[self.visits[visit].request].run_time,
            draw_permille,
        };
        match self.endpoints[slot.endpoint.0 as usize].arrive(work, self.now) {
            ArriveStep::Run(end) => self.schedule_run_end(end),
            ArriveStep::Wait => {}
        }
    }

    pub(super) fn schedule_run_end(&mut self, end: RunEnd) {
        let RunEnd {
            attempt, is_error, ..
        } = end;
        self.schedule(end.at, Happening::RunEnd { attempt, is_error });
    }

    pub(super) fn schedule_reply(&mut self, attempt: usize, end: AttemptReply) {
        let at = self.now + self.within_domain();
        self.schedule(at, Happening::AttemptEnd { attempt, end });
    }

    pub(super) fn run_end(&mut self, attempt: usize, is_error: bool) {
        let AttemptTarget::Endpoint(slot) = self.attempts[attempt].target else {
            return;
        };
        let endpoint = &mut self.endpoints[slot.endpoint.0 as usize];
        if !endpoint.runs(attempt) {
            return;
        }
        if let Some(until) = endpoint.stalled_until(self.now) {
            self.schedule(until, Happening::RunEnd { attempt, is_error });
            return;
        }
        if let Some(next) = endpoint.end(attempt, self.now) {
            self.schedule_run_end(next);
        }
        let reply = match is_error {
            true => AttemptReply::Error,
            false => AttemptReply::Answered,
        };
        self.schedule_reply(attempt, reply);
    }

    pub(super) fn break_endpoint(&mut self, endpoint: usize) {
        for attempt in self.endpoints[endpoint].break_connections() {
            self.schedule_reply(attempt, AttemptReply::Broken);
        }
    }

    pub(super) fn attempt_end(&mut self, attempt: usize, reply: AttemptReply) {
        let state = &mut self.attempts[attempt];
        state.is_known = true;
        state.is_error = reply == AttemptReply::Error;
        let AttemptTarget::Endpoint(slot) = state.target else {
            return;
        };
        let latency = self.now.since(state.sent_at);
        let visit = state.visit;
        let gateway = self.visits[visit].gateway;
        let kind = self.requests[self.visits[visit].request].kind;
        let end = match reply {
            AttemptReply::Answered => AttemptEnd::Answered(latency),
            AttemptReply::Error | AttemptReply::Refused | AttemptReply::Broken => {
                AttemptEnd::Failed
            }
        };
        self.gateways[gateway].learn(slot.endpoint, kind, end, self.now);
        self.gateways[gateway].release_slot(slot);
        let step = self.on_event(attempt, reply.event());
        self.apply(visit, step);
        self.drain(gateway);
    }

    pub(super) fn used_endpoints(&self, visit: usize) -> Vec<EndpointKey> {
        let attempts = self.visits[visit].attempts.iter();
        attempts
            .filter_map(|attempt| match self.attempts[*attempt].target {
                AttemptTarget::Endpoint(slot) => Some(slot.endpoint),
                AttemptTarget::Peer(_) => None,
            })
            .collect()
    }
}
