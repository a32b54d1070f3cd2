//! The reported outcome of a request agrees with the attempts that ran, with lost, delayed and
//! repeated messages.

use bolero::TypeGenerator;
use bolero::check;

use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::request_outcome::AttemptKey;
use sapphirewalk_core::request_outcome::FailedOutcome;
use sapphirewalk_core::request_outcome::OutcomeStep;
use sapphirewalk_core::request_outcome::RequestState;
use sapphirewalk_core::retry_budget::BudgetParams;
use sapphirewalk_core::retry_budget::RetryBudget;
use sapphirewalk_core::time::TimePoint;

const ITERATIONS: usize = 5_000;
const DEADLINE: TimePoint = TimePoint::from_millis(200);

/// Outcome at the endpoint of an attempt whose bytes were sent; the gateway may never learn it.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(TypeGenerator)]
enum ActualOutcome {
    Lost,
    Refused,
    Ran,
    RanWithError,
}

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Operation {
    Begin,
    Send { attempt: u8, actual: ActualOutcome },
    NotSent { attempt: u8 },
    Reply { attempt: u8 },
    Break { attempt: u8, is_timeout: bool },
    Advance { millis: u8 },
    Abort,
    NoEndpoint,
}

struct Attempt {
    key: AttemptKey,
    /// `None` until the first byte was sent.
    actual: Option<ActualOutcome>,
}

struct Gateway {
    is_idempotent: bool,
    request: RequestState,
    budget: RetryBudget,
    attempts: Vec<Attempt>,
    now: TimePoint,
    /// The answer or failure reported to the caller; `None` before.
    outcome: Option<OutcomeStep>,
}

impl Gateway {
    fn new(is_idempotent: bool) -> Self {
        Self {
            is_idempotent,
            request: RequestState::new(is_idempotent, RequestDeadline::at(DEADLINE)),
            budget: RetryBudget::new(BudgetParams::default()),
            attempts: Vec::new(),
            now: TimePoint::EPOCH,
            outcome: None,
        }
    }

    fn apply(&mut self, operation: Operation) {
        match operation {
            Operation::Begin => {
                if let Some(key) = self.request.begin_attempt() {
                    let actual = None;
                    self.attempts.push(Attempt { key, actual });
                }
            }
            Operation::Send { attempt, actual } => self.send(attempt, actual),
            Operation::NotSent { attempt } => self.not_sent(attempt),
            Operation::Reply { attempt } => self.reply(attempt),
            Operation::Break {
                attempt,
                is_timeout,
            } => {
                let event = match is_timeout {
                    true => AttemptEvent::TimedOut,
                    false => AttemptEvent::Broken,
                };
                if let Some(index) = self.index(attempt) {
                    self.apply_event(index, event);
                }
            }
            Operation::Advance { millis } => {
                self.now = TimePoint::from_millis(self.now.as_millis() + u64::from(millis));
            }
            Operation::Abort => {
                let step = self.request.abort();
                self.record_outcome(step);
            }
            Operation::NoEndpoint => {
                let step = self.request.on_no_endpoint();
                self.record_outcome(step);
            }
        }
    }

    fn index(&self, attempt: u8) -> Option<usize> {
        (attempt as usize).checked_rem(self.attempts.len())
    }

    fn send(&mut self, attempt: u8, actual: ActualOutcome) {
        let Some(index) = self.index(attempt) else {
            return;
        };
        let is_sent = self.attempts[index].actual.is_some();
        if !is_sent && self.apply_event(index, AttemptEvent::FirstByteSent) == OutcomeStep::Wait {
            self.attempts[index].actual = Some(actual);
        }
    }

    fn not_sent(&mut self, attempt: u8) {
        if let Some(index) = self.index(attempt)
            && self.attempts[index].actual.is_none()
        {
            self.apply_event(index, AttemptEvent::NotSent);
        }
    }

    fn reply(&mut self, attempt: u8) {
        let Some(index) = self.index(attempt) else {
            return;
        };
        let event = match self.attempts[index].actual {
            None | Some(ActualOutcome::Lost) => return,
            Some(ActualOutcome::Refused) => AttemptEvent::NotStarted,
            Some(ActualOutcome::Ran) => AttemptEvent::Answered,
            Some(ActualOutcome::RanWithError) => AttemptEvent::AnsweredError,
        };
        self.apply_event(index, event);
    }

    fn apply_event(&mut self, index: usize, event: AttemptEvent) -> OutcomeStep {
        let key = self.attempts[index].key;
        let step = self
            .request
            .on_event(key, event, &mut self.budget, self.now);
        self.record_outcome(step);
        step
    }

    fn record_outcome(&mut self, step: OutcomeStep) {
        if !matches!(step, OutcomeStep::Answer(_) | OutcomeStep::Fail(_)) {
            return;
        }
        assert_eq!(self.outcome, None, "a second outcome of one request");
        self.outcome = Some(step);
    }

    fn ran(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.ran()).count()
    }

    fn assert_outcome_is_true(&self) {
        if !self.is_idempotent {
            assert!(
                self.ran() <= 1,
                "a request that is not idempotent ran {} times",
                self.ran()
            );
        }
        match self.outcome {
            Some(OutcomeStep::Fail(FailedOutcome::NotRun)) => assert_eq!(self.ran(), 0),
            Some(OutcomeStep::Answer(key)) => {
                let attempt = self.attempts.iter().find(|attempt| attempt.key == key);
                assert!(attempt.is_some_and(Attempt::ran));
            }
            _ => {}
        }
    }
}

impl Attempt {
    fn ran(&self) -> bool {
        matches!(
            self.actual,
            Some(ActualOutcome::Ran | ActualOutcome::RanWithError)
        )
    }
}

#[test]
fn reported_outcomes_agree_with_the_attempts_that_ran() {
    check!()
        .with_iterations(ITERATIONS)
        .with_max_len(1_024)
        .with_type::<(bool, Vec<Operation>)>()
        .for_each(|(is_idempotent, operations)| {
            let mut gateway = Gateway::new(*is_idempotent);
            for operation in operations {
                gateway.apply(*operation);
                gateway.assert_outcome_is_true();
            }
        });
}

#[test]
fn a_request_that_is_not_idempotent_fails_as_unknown_if_it_may_have_run() {
    for (event, expected) in [
        (
            AttemptEvent::Broken,
            OutcomeStep::Fail(FailedOutcome::Unknown),
        ),
        (
            AttemptEvent::TimedOut,
            OutcomeStep::Fail(FailedOutcome::Unknown),
        ),
        (AttemptEvent::NotStarted, OutcomeStep::Retry),
    ] {
        let mut gateway = Gateway::new(false);
        gateway.apply(Operation::Begin);
        assert_eq!(gateway.request.begin_attempt(), None);
        gateway.apply_event(0, AttemptEvent::FirstByteSent);
        assert_eq!(gateway.apply_event(0, event), expected);
    }
}

#[test]
fn an_idempotent_request_is_retried_only_before_its_deadline() {
    let mut gateway = Gateway::new(true);
    gateway.apply(Operation::Begin);
    gateway.apply_event(0, AttemptEvent::FirstByteSent);
    assert_eq!(
        gateway.apply_event(0, AttemptEvent::AnsweredError),
        OutcomeStep::Retry
    );
    gateway.apply(Operation::Begin);
    gateway.apply_event(1, AttemptEvent::FirstByteSent);
    gateway.now = DEADLINE;
    let answer = OutcomeStep::Answer(gateway.attempts[0].key);
    assert_eq!(gateway.apply_event(1, AttemptEvent::Broken), answer);
    assert_eq!(
        gateway.apply_event(1, AttemptEvent::Answered),
        OutcomeStep::Drop
    );
}

#[test]
fn a_request_that_breaks_its_endpoints_is_not_sent_to_a_third() {
    let mut gateway = Gateway::new(true);
    for (attempt, expected) in [
        (0, OutcomeStep::Retry),
        (1, OutcomeStep::Fail(FailedOutcome::Unknown)),
    ] {
        gateway.apply(Operation::Begin);
        gateway.apply_event(attempt, AttemptEvent::FirstByteSent);
        let step = gateway.apply_event(attempt, AttemptEvent::Broken);
        assert_eq!(step, expected, "attempt {attempt}");
    }
    assert_eq!(gateway.request.begin_attempt(), None);
}

#[test]
fn connections_that_break_before_a_byte_is_sent_are_not_held_against_a_request() {
    let mut gateway = Gateway::new(true);
    for attempt in 0..5 {
        gateway.apply(Operation::Begin);
        let step = gateway.apply_event(attempt, AttemptEvent::Broken);
        assert_eq!(step, OutcomeStep::Retry, "attempt {attempt}");
    }
}
