//! Outcomes of requests against what truly ran, under lost, late and repeated messages.

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

/// What truly happens to an attempt whose bytes were sent.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(TypeGenerator)]
enum Truth {
    Lost,
    Refused,
    Ran,
    RanWithError,
}

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Operation {
    Begin,
    Send { attempt: u8, truth: Truth },
    NotSent { attempt: u8 },
    Reply { attempt: u8 },
    Break { attempt: u8, is_timeout: bool },
    Advance { millis: u8 },
    GiveUp,
    NoEndpoint,
}

struct Attempt {
    key: AttemptKey,
    truth: Option<Truth>,
}

struct Gateway {
    is_idempotent: bool,
    request: RequestState,
    budget: RetryBudget,
    attempts: Vec<Attempt>,
    now: TimePoint,
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
                    let truth = None;
                    self.attempts.push(Attempt { key, truth });
                }
            }
            Operation::Send { attempt, truth } => self.send(attempt, truth),
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
                    self.event(index, event);
                }
            }
            Operation::Advance { millis } => {
                self.now = TimePoint::from_millis(self.now.as_millis() + u64::from(millis));
            }
            Operation::GiveUp => {
                let step = self.request.abort();
                self.take_in(step);
            }
            Operation::NoEndpoint => {
                let step = self.request.on_no_endpoint();
                self.take_in(step);
            }
        }
    }

    fn index(&self, attempt: u8) -> Option<usize> {
        (attempt as usize).checked_rem(self.attempts.len())
    }

    fn send(&mut self, attempt: u8, truth: Truth) {
        let Some(index) = self.index(attempt) else {
            return;
        };
        let is_sent = self.attempts[index].truth.is_some();
        if !is_sent && self.event(index, AttemptEvent::FirstByteSent) == OutcomeStep::Wait {
            self.attempts[index].truth = Some(truth);
        }
    }

    fn not_sent(&mut self, attempt: u8) {
        if let Some(index) = self.index(attempt)
            && self.attempts[index].truth.is_none()
        {
            self.event(index, AttemptEvent::NotSent);
        }
    }

    fn reply(&mut self, attempt: u8) {
        let Some(index) = self.index(attempt) else {
            return;
        };
        let event = match self.attempts[index].truth {
            None | Some(Truth::Lost) => return,
            Some(Truth::Refused) => AttemptEvent::NotStarted,
            Some(Truth::Ran) => AttemptEvent::Answered,
            Some(Truth::RanWithError) => AttemptEvent::AnsweredError,
        };
        self.event(index, event);
    }

    fn event(&mut self, index: usize, event: AttemptEvent) -> OutcomeStep {
        let key = self.attempts[index].key;
        let step = self
            .request
            .on_event(key, event, &mut self.budget, self.now);
        self.take_in(step);
        step
    }

    fn take_in(&mut self, step: OutcomeStep) {
        if !matches!(step, OutcomeStep::Answer(_) | OutcomeStep::Fail(_)) {
            return;
        }
        assert_eq!(self.outcome, None, "a request has one outcome");
        self.outcome = Some(step);
    }

    fn ran(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.ran()).count()
    }

    fn assert_promises(&self) {
        if !self.is_idempotent {
            assert!(self.ran() <= 1, "ran {} times", self.ran());
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
        matches!(self.truth, Some(Truth::Ran | Truth::RanWithError))
    }
}

#[test]
fn outcomes_agree_with_what_ran() {
    check!()
        .with_iterations(ITERATIONS)
        .with_max_len(1_024)
        .with_type::<(bool, Vec<Operation>)>()
        .for_each(|(is_idempotent, operations)| {
            let mut gateway = Gateway::new(*is_idempotent);
            for operation in operations {
                gateway.apply(*operation);
                gateway.assert_promises();
            }
        });
}

#[test]
fn a_broken_answer_is_unknown_for_a_request_that_is_not_idempotent() {
    for (event, wanted) in [
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
        gateway.event(0, AttemptEvent::FirstByteSent);
        assert_eq!(gateway.event(0, event), wanted);
    }
}

#[test]
fn an_idempotent_request_is_retried_while_time_and_budget_last() {
    let mut gateway = Gateway::new(true);
    gateway.apply(Operation::Begin);
    gateway.event(0, AttemptEvent::FirstByteSent);
    assert_eq!(
        gateway.event(0, AttemptEvent::AnsweredError),
        OutcomeStep::Retry
    );
    gateway.apply(Operation::Begin);
    gateway.event(1, AttemptEvent::FirstByteSent);
    gateway.now = DEADLINE;
    let answer = OutcomeStep::Answer(gateway.attempts[0].key);
    assert_eq!(gateway.event(1, AttemptEvent::Broken), answer);
    assert_eq!(gateway.event(1, AttemptEvent::Answered), OutcomeStep::Drop);
}
