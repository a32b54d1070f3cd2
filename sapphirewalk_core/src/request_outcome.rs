//! State machine of a request and its attempts, and the outcome that the caller gets.
//!
//! A request is reported as not run only if none of its attempts can have run. A request that is
//! not idempotent gets no further attempt once one may have run.

use crate::deadline::RequestDeadline;
use crate::retry_budget::BudgetCharge;
use crate::retry_budget::RetryBudget;
use crate::time::TimePoint;

/// Attempts of a request whose connections may break after it was sent. The request may be what ends
/// the endpoints, so no further one gets it, however many retries the budget still permits.
const BROKEN_ATTEMPTS: u32 = 2;

/// Number of an attempt within its request, in order of dispatch.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct AttemptKey(u32);

/// What was observed of an attempt: progress of its connection, or its end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEvent {
    /// The first byte of the request is about to be sent. Must be recorded before the byte is
    /// written, which is permitted only if the step is [`OutcomeStep::Wait`].
    FirstByteSent,
    /// The connection could not be opened, or broke before a byte was sent.
    NotSent,
    /// The endpoint answered that it did not start the request, or the peer that it did not run it.
    NotStarted,
    /// The peer that the request was forwarded to had no free slot and did not run it.
    Declined,
    /// The complete answer to this attempt arrived.
    Answered,
    /// A complete answer arrived that reports a failure of the endpoint.
    AnsweredError,
    /// The connection broke, or the answer was truncated or belonged to another request.
    Broken,
    /// No answer arrived in time, and the connection was closed.
    TimedOut,
}

/// Outcome of a request that got no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FailedOutcome {
    /// No endpoint has run the request, and none will.
    NotRun,
    /// An endpoint may have run the request or may still be running it.
    Unknown,
}

/// Next action on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeStep {
    /// Wait for the attempts in progress.
    Wait,
    /// Send another attempt to another endpoint. It has been charged to the retry budget, except
    /// after [`AttemptEvent::Declined`]; the request is then not forwarded again.
    Retry,
    /// Send the answer of this attempt to the caller and abandon the other attempts.
    Answer(AttemptKey),
    /// Report this outcome to the caller.
    Fail(FailedOutcome),
    /// Discard the event, since the request or the attempt has ended already.
    Drop,
}

/// A request: its attempts and, once it has ended, its outcome.
#[derive(Clone, Debug)]
pub struct RequestState {
    is_idempotent: bool,
    deadline: RequestDeadline,
    attempts: Vec<AttemptState>,
    /// Attempts whose connection broke after a byte was sent.
    broken: u32,
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
    /// An endpoint was chosen; no byte was sent.
    Prepared,
    /// A byte may have been sent.
    Sent,
    /// Ended, and certainly did not run.
    DidNotRun,
    /// Ended without an answer, and may have run or may still be running.
    MayHaveRun,
    /// Ended with an answer.
    Answered,
    /// Ended with an answer that reports a failure of the endpoint.
    AnsweredError,
}

impl RequestState {
    /// An open request without attempts.
    pub const fn new(is_idempotent: bool, deadline: RequestDeadline) -> Self {
        Self {
            is_idempotent,
            deadline,
            attempts: Vec::new(),
            broken: 0,
            end: RequestEnd::Open,
        }
    }

    /// Adds an attempt that is about to be sent.
    ///
    /// `None` if no further attempt is permitted: the request has ended, or it is not idempotent
    /// and an attempt is in progress or may have run.
    pub fn begin_attempt(&mut self) -> Option<AttemptKey> {
        if self.end != RequestEnd::Open || !self.may_begin() {
            return None;
        }
        let key = AttemptKey(u32::try_from(self.attempts.len()).ok()?);
        self.attempts.push(AttemptState::Prepared);
        Some(key)
    }

    /// Applies an event of an attempt and returns the next action.
    ///
    /// A retry is charged to `budget`, unless the peer declined the attempt.
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
        if !state.is_in_progress() || self.end != RequestEnd::Open {
            return OutcomeStep::Drop;
        }
        let is_broken = *state == AttemptState::Sent && event == AttemptEvent::Broken;
        self.broken += u32::from(is_broken);
        *state = state.after(event);
        match self.attempts[attempt.0 as usize] {
            AttemptState::Answered => self.answer(attempt),
            AttemptState::Prepared | AttemptState::Sent => OutcomeStep::Wait,
            _ => self.after_attempt(event, budget, now),
        }
    }

    /// Ends the request without an answer, at its deadline or because its caller disconnected.
    pub fn abort(&mut self) -> OutcomeStep {
        if self.end != RequestEnd::Open {
            return OutcomeStep::Drop;
        }
        for state in &mut self.attempts {
            if state.is_in_progress() {
                *state = state.after(AttemptEvent::TimedOut);
            }
        }
        self.fail()
    }

    /// Handles that no endpoint is available for another attempt.
    ///
    /// If no attempt is in progress, the request ends with the last error answer, if there is one.
    pub fn on_no_endpoint(&mut self) -> OutcomeStep {
        if self.end != RequestEnd::Open {
            return OutcomeStep::Drop;
        }
        if self.attempts.iter().any(|state| state.is_in_progress()) {
            return OutcomeStep::Wait;
        }
        match self.last_error() {
            Some(key) => self.answer(key),
            None => self.fail(),
        }
    }

    /// Whether an attempt may have run or may still be running.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|state| state.may_have_run())
    }

    /// Number of attempts begun, whatever their state.
    pub const fn attempt_count(&self) -> usize {
        self.attempts.len()
    }

    fn after_attempt(
        &mut self,
        event: AttemptEvent,
        budget: &mut RetryBudget,
        now: TimePoint,
    ) -> OutcomeStep {
        if self.attempts.iter().any(|state| state.is_in_progress()) {
            return OutcomeStep::Wait;
        }
        let has_time = now < self.deadline.point();
        if !has_time || !self.may_begin() {
            return self.on_no_endpoint();
        }
        let is_free = event == AttemptEvent::Declined;
        if is_free || budget.spend() == BudgetCharge::Charged {
            return OutcomeStep::Retry;
        }
        self.on_no_endpoint()
    }

    /// Whether a further attempt cannot make a request that is not idempotent run twice, and the
    /// request has not broken so many connections that it may be the cause.
    fn may_begin(&self) -> bool {
        self.is_idempotent && self.broken < BROKEN_ATTEMPTS
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
    const fn is_in_progress(self) -> bool {
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
