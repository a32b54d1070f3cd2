//! Transitions of requests to their outcomes.

use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::request_outcome::AttemptKey;
use sapphirewalk_core::request_outcome::FailedOutcome;
use sapphirewalk_core::request_outcome::OutcomeStep;

use crate::replay::request::fake_gateway::AttemptSample;
use crate::replay::request::measure::CallerOutcome;
use crate::replay::request::simulation::Simulation;
use crate::replay::request::simulation::hop::AttemptTarget;
use crate::replay::request::variant::AdmissionRule;

impl Simulation<'_> {
    /// Applies an event to the request's state machine and returns the next action.
    pub(super) fn record_event(&mut self, attempt: usize, event: AttemptEvent) -> OutcomeStep {
        let state = &self.attempts[attempt];
        let hop = &mut self.hops[state.hop];
        let budget = &mut self.gateways[hop.gateway].budget;
        hop.state.on_event(state.key, event, budget, self.now)
    }

    /// Carries out the next action of a request.
    ///
    /// A retry uses the slot of the request if it is still admitted. Else the request returns to
    /// the front of its queue or, if it was never queued, is offered to admission again.
    pub(super) fn apply_step(&mut self, hop: usize, step: OutcomeStep) {
        match step {
            OutcomeStep::Wait | OutcomeStep::Drop => {}
            OutcomeStep::Retry if self.hops[hop].is_queued => {}
            OutcomeStep::Retry if !self.variant.retries => self.refuse(hop),
            OutcomeStep::Retry if self.hops[hop].is_admitted => self.send(hop),
            OutcomeStep::Retry if self.hops[hop].was_queued => self.return_to_queue(hop),
            OutcomeStep::Retry => self.offer(hop),
            OutcomeStep::Answer(key) => self.end_hop(hop, self.answer_outcome(hop, key)),
            OutcomeStep::Fail(FailedOutcome::NotRun) => self.end_hop(hop, CallerOutcome::NotRun),
            OutcomeStep::Fail(FailedOutcome::Unknown) => self.end_hop(hop, CallerOutcome::Unknown),
        }
    }

    /// Outcome for the caller when the answer of this attempt is passed on.
    pub(super) fn answer_outcome(&self, hop: usize, key: AttemptKey) -> CallerOutcome {
        let mut attempts = self.hops[hop].attempts.iter();
        let is_error = attempts.any(|attempt| {
            let state = &self.attempts[*attempt];
            state.key == key && state.is_error
        });
        match is_error {
            true => CallerOutcome::Error,
            false => CallerOutcome::Answered,
        }
    }

    /// Ends a request at a gateway: updates admission, then replies to the caller or the origin.
    pub(super) fn end_hop(&mut self, hop: usize, outcome: CallerOutcome) {
        self.abandon_attempts(hop);
        let state = &mut self.hops[hop];
        state.has_ended = true;
        let is_answered = outcome == CallerOutcome::Answered;
        let records_run_time = is_answered && self.variant.admission == AdmissionRule::KindShares;
        let run_time = records_run_time.then(|| self.now.since(state.dispatched_at));
        let gateway = &mut self.gateways[state.gateway];
        if state.is_queued {
            state.is_queued = false;
            gateway.admission.cancel(state.admission_request);
        }
        if state.is_admitted {
            state.is_admitted = false;
            gateway.admission.finish(
                state.admission_request.kind,
                state.admission_request.user,
                run_time,
            );
        }
        if is_answered {
            gateway.budget.earn();
        }
        match state.forwarded_by {
            None => {
                let request = &self.requests[state.request];
                let spent = self.now.since(request.at);
                self.measures.count(request, outcome, spent);
            }
            Some(attempt) => self.reply_to_origin(hop, attempt, outcome),
        }
    }

    /// Records attempts without a reply as abandoned in the statistics of their endpoints.
    ///
    /// Each occupies its slot until its reply arrives.
    pub(super) fn abandon_attempts(&mut self, hop: usize) {
        let gateway = self.hops[hop].gateway;
        let kind = self.requests[self.hops[hop].request].kind;
        for attempt in &self.hops[hop].attempts {
            let state = &self.attempts[*attempt];
            let AttemptTarget::Endpoint(slot) = state.target else {
                continue;
            };
            if !state.is_closed {
                let sample = AttemptSample::Abandoned(self.now.since(state.sent_at));
                self.gateways[gateway].record_sample(slot.endpoint, kind, sample, self.now);
            }
        }
    }
}
