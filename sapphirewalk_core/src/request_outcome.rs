//! The outcome of a request: its attempts, what is known of each, and what to do next.
//!
//! "Not run" is only ever said when no attempt can have run. A request that is not idempotent has
//! no second attempt once one may have run.

use crate::deadline::RequestDeadline;
use crate::retry_budget::BudgetStep;
use crate::retry_budget::RetryBudget;
use crate::time::TimePoint;

/// An attempt of a request, in order of dispatch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptKey(u32);

/// What became known of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The first byte of the request is about to leave; recorded before it is written. It may be
    /// written only if the step is [`OutcomeStep::Wait`].
    FirstByteSent,
    /// The connection could not be opened, or broke before a byte was sent.
    NotSent,
    /// The endpoint said that it did not start, or the peer that it did not run the request.
    NotStarted,
    /// The peer that the request was forwarded to had no free share and did not run it.
    Declined,
    /// The whole answer arrived and belongs to this attempt.
    Answered,
    /// A whole answer arrived that says that the endpoint failed.
    AnsweredError,
    /// The connection broke, or the answer was short or belonged to another request.
    Broken,
    /// No answer came in time, and the connection was closed.
    TimedOut,
}

/// How a request ended without an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailedOutcome {
    /// No endpoint ran it, and none will.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What to do next with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeStep {
    /// Wait for the attempts that are under way.
    Wait,
    /// Send another attempt, to another endpoint; it is paid for. After [`AttemptEvent::Declined`]
    /// it costs nothing, and the request is not forwarded again.
    Retry,
    /// Hand the answer of this attempt to the caller and abandon the others.
    Answer(AttemptKey),
    /// Tell the caller that the request failed.
    Fail(FailedOutcome),
    /// Drop what arrived: the request has its outcome, or the attempt had ended.
    Drop,
}

/// The attempts of one request.
#[derive(Clone, Debug)]
pub struct RequestState {
    is_idempotent: bool,
    deadline: RequestDeadline,
    attempts: Vec<AttemptState>,
    end: RequestEnd,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RequestEnd {
    Open,
    Answered,
    Failed(FailedOutcome),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AttemptState {
    /// Chosen an endpoint; no byte was sent.
    Prepared,
    /// A byte may have been sent.
    Sent,
    /// Ended, and surely did not run.
    DidNotRun,
    /// Ended without an answer, and may have run or run still.
    MayHaveRun,
    /// Ended with an answer.
    Answered,
    /// Ended with an answer that says that the endpoint failed.
    AnsweredError,
}

impl RequestState {
    /// A request without attempts.
    pub const fn new(is_idempotent: bool, deadline: RequestDeadline) -> Self {
        Self {
            is_idempotent,
            deadline,
            attempts: Vec::new(),
            end: RequestEnd::Open,
        }
    }

    /// Adds an attempt that is about to be sent.
    ///
    /// Absent when the request must have no further attempt: it has its outcome, or it is not
    /// idempotent and an attempt is under way or may have run.
    pub fn begin_attempt(&mut self) -> Option<AttemptKey> {
        if self.end != RequestEnd::Open || !self.may_begin() {
            return None;
        }
        let key = AttemptKey(u32::try_from(self.attempts.len()).ok()?);
        self.attempts.push(AttemptState::Prepared);
        Some(key)
    }

    /// Takes in what became known of an attempt, and decides what to do next.
    ///
    /// Each further attempt is paid for from `budget`.
    pub fn on_event(
        &mut self,
        attempt: AttemptKey,
        event: AttemptEvent,
        budget: &mut RetryBudget,
        now: TimePoint,
    ) -> OutcomeStep {
        let Some(state) = self.attempts.get_mut(attempt.0 as usize) else {
            return OutcomeStep::Drop;
        };
        if !state.is_under_way() || self.end != RequestEnd::Open {
            return OutcomeStep::Drop;
        }
        *state = state.after(event);
        match self.attempts[attempt.0 as usize] {
            AttemptState::Answered => self.answer(attempt),
            AttemptState::Prepared | AttemptState::Sent => OutcomeStep::Wait,
            _ => self.after_attempt(event, budget, now),
        }
    }

    /// Ends the request at its deadline, or because its caller has gone.
    pub fn abort(&mut self) -> OutcomeStep {
        if self.end != RequestEnd::Open {
            return OutcomeStep::Drop;
        }
        for state in &mut self.attempts {
            if state.is_under_way() {
                *state = state.after(AttemptEvent::TimedOut);
            }
        }
        self.fail()
    }

    /// No endpoint was found for an attempt that the last step asked for.
    pub fn on_no_endpoint(&mut self) -> OutcomeStep {
        if self.end != RequestEnd::Open {
            return OutcomeStep::Drop;
        }
        if self.attempts.iter().any(|state| state.is_under_way()) {
            return OutcomeStep::Wait;
        }
        match self.last_error() {
            Some(key) => self.answer(key),
            None => self.fail(),
        }
    }

    /// Whether an attempt may have run or may run still.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|state| state.may_have_run())
    }

    /// Attempts begun.
    pub const fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    fn after_attempt(
        &mut self,
        event: AttemptEvent,
        budget: &mut RetryBudget,
        now: TimePoint,
    ) -> OutcomeStep {
        if self.attempts.iter().any(|state| state.is_under_way()) {
            return OutcomeStep::Wait;
        }
        let has_time = now < self.deadline.point();
        if !has_time || !self.may_begin() {
            return self.on_no_endpoint();
        }
        let is_free = event == AttemptEvent::Declined;
        if is_free || budget.spend() == BudgetStep::Spend {
            return OutcomeStep::Retry;
        }
        self.on_no_endpoint()
    }

    /// Whether a further attempt keeps what a request that is not idempotent was promised.
    fn may_begin(&self) -> bool {
        self.is_idempotent
            || self
                .attempts
                .iter()
                .all(|state| *state == AttemptState::DidNotRun)
    }

    fn answer(&mut self, attempt: AttemptKey) -> OutcomeStep {
        self.end = RequestEnd::Answered;
        OutcomeStep::Answer(attempt)
    }

    fn fail(&mut self) -> OutcomeStep {
        let outcome = if self.may_have_run() {
            FailedOutcome::Unknown
        } else {
            FailedOutcome::NotRun
        };
        self.end = RequestEnd::Failed(outcome);
        OutcomeStep::Fail(outcome)
    }

    fn last_error(&self) -> Option<AttemptKey> {
        let index = self
            .attempts
            .iter()
            .rposition(|state| *state == AttemptState::AnsweredError)?;
        u32::try_from(index).ok().map(AttemptKey)
    }
}

impl AttemptState {
    const fn is_under_way(self) -> bool {
        matches!(self, Self::Prepared | Self::Sent)
    }

    const fn may_have_run(self) -> bool {
        !matches!(self, Self::Prepared | Self::DidNotRun)
    }

    const fn after(self, event: AttemptEvent) -> Self {
        match (self, event) {
            (_, AttemptEvent::FirstByteSent) => Self::Sent,
            (_, AttemptEvent::NotStarted | AttemptEvent::Declined) => Self::DidNotRun,
            (Self::Prepared, AttemptEvent::NotSent | AttemptEvent::Broken) => Self::DidNotRun,
            (Self::Prepared, AttemptEvent::TimedOut) => Self::DidNotRun,
            (_, AttemptEvent::Answered) => Self::Answered,
            (_, AttemptEvent::AnsweredError) => Self::AnsweredError,
            _ => Self::MayHaveRun,
        }
    }
}
