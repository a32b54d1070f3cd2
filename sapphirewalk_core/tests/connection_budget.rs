//! Connections and body memory stay within their limits in any order of events, and who makes
//! progress isn't closed.

#![allow(missing_docs)]

use bolero::TypeGenerator;
use bolero::check;
use sapphirewalk_core::connection_budget;
use sapphirewalk_core::connection_budget::BudgetLimits;
use sapphirewalk_core::connection_budget::ConnectionBudget;
use sapphirewalk_core::connection_budget::ConnectionKey;
use sapphirewalk_core::connection_budget::ConnectionPhase;
use sapphirewalk_core::connection_budget::OpenStep;
use sapphirewalk_core::connection_budget::ProgressStep;
use sapphirewalk_core::connection_budget::ReserveStep;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const OPERATIONS: std::ops::RangeInclusive<usize> = 0..=200;
const LIMITS: BudgetLimits = BudgetLimits {
    connections: 4,
    body_bytes: 1_000,
    head_timeout: TimeSpan::from_millis(3_000),
    body_timeout: TimeSpan::from_millis(5_000),
    answer_timeout: TimeSpan::from_millis(8_000),
    min_rate: 100,
    usual_rate: 1_000,
};

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(1_000_000 + millis)
}

fn opened(budget: &mut ConnectionBudget, now: TimePoint) -> ConnectionKey {
    match budget.open(now) {
        OpenStep::Opened(key) => key,
        step => panic!("{step:?} where there is room"),
    }
}

/// Opens a connection and receives the head of a request with a body.
fn opened_with_body(budget: &mut ConnectionBudget, now: TimePoint) -> ConnectionKey {
    let key = opened(budget, now);
    budget.record_received(key, now);
    budget.begin_request(key, true, now);
    key
}

fn reserve(budget: &mut ConnectionBudget, key: ConnectionKey, bytes: usize, now: TimePoint) {
    assert_eq!(budget.reserve(key, bytes, now), ReserveStep::Reserved);
    budget.record_body(key, bytes, now);
}

#[test]
fn the_connection_that_waits_longest_makes_room() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let keys: Vec<ConnectionKey> = (0..4).map(|n| opened(&mut budget, at(n))).collect();
    // The first one has begun a request since, so the second one has made the least progress.
    budget.record_received(keys[0], at(10));
    assert_eq!(budget.open(at(20)), OpenStep::CloseFirst(keys[1]));
    assert_eq!(budget.open(at(20)), OpenStep::Wait);
    budget.close(keys[1]);
    assert!(matches!(budget.open(at(20)), OpenStep::Opened(_)));
}

#[test]
fn a_request_that_was_received_completely_keeps_its_connection() {
    let mut budget = ConnectionBudget::new(LIMITS);
    for n in 0..4 {
        let key = opened(&mut budget, at(n));
        budget.record_received(key, at(n));
        budget.begin_request(key, false, at(n));
    }
    assert_eq!(budget.open(at(60_000)), OpenStep::Reject);
}

#[test]
fn a_new_request_gets_the_memory_of_stalled_ones() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let stalled: Vec<ConnectionKey> = (0..3)
        .map(|n| opened_with_body(&mut budget, at(n)))
        .collect();
    for key in &stalled {
        reserve(&mut budget, *key, 300, at(10));
    }
    let ordinary = opened_with_body(&mut budget, at(9_000));
    let step = budget.reserve(ordinary, 200, at(9_000));
    assert_eq!(step, ReserveStep::CloseFirst(stalled[0]));
    assert_eq!(budget.reserve(ordinary, 200, at(9_000)), ReserveStep::Wait);
    budget.release(stalled[0], 300);
    budget.close(stalled[0]);
    reserve(&mut budget, ordinary, 200, at(9_000));
}

#[test]
fn a_stalled_request_that_is_almost_complete_makes_room() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let stalled = opened_with_body(&mut budget, at(0));
    reserve(&mut budget, stalled, 999, at(0));
    let ordinary = opened_with_body(&mut budget, at(500));
    let step = budget.reserve(ordinary, 10, at(500));
    assert_eq!(step, ReserveStep::CloseFirst(stalled));
}

#[test]
fn a_request_that_arrives_byte_by_byte_makes_room() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let slow = opened_with_body(&mut budget, at(0));
    reserve(&mut budget, slow, 950, at(0));
    budget.record_body(slow, 1, at(2_000));
    let ordinary = opened_with_body(&mut budget, at(2_000));
    let step = budget.reserve(ordinary, 100, at(2_000));
    assert_eq!(step, ReserveStep::CloseFirst(slow));
}

#[test]
fn a_stalled_request_gets_no_memory_of_one_that_makes_progress() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let stalled = opened_with_body(&mut budget, at(0));
    reserve(&mut budget, stalled, 100, at(0));
    let fast = opened_with_body(&mut budget, at(0));
    reserve(&mut budget, fast, 850, at(100));
    assert_eq!(budget.reserve(stalled, 100, at(5_000)), ReserveStep::Refuse);
    // More than the whole budget is refused, whatever others do.
    assert_eq!(budget.reserve(fast, 200, at(5_000)), ReserveStep::Refuse);
}

#[test]
fn memory_of_complete_requests_is_not_taken_away() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let complete = opened_with_body(&mut budget, at(0));
    reserve(&mut budget, complete, 900, at(0));
    budget.complete_request(complete, at(0));
    let other = opened_with_body(&mut budget, at(50_000));
    assert_eq!(budget.reserve(other, 200, at(50_000)), ReserveStep::Refuse);
    // It stays reserved until it is released, also after the end of the connection.
    budget.close(complete);
    assert_eq!(budget.reserve(other, 200, at(50_000)), ReserveStep::Refuse);
    budget.release(complete, 900);
    reserve(&mut budget, other, 200, at(50_000));
}

#[test]
fn a_head_that_does_not_end_is_closed() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let key = opened(&mut budget, at(0));
    assert_eq!(budget.check_progress(key, at(0)), ProgressStep::Continue);
    budget.record_received(key, at(0));
    let deadline = at(0) + LIMITS.head_timeout;
    for now in [0, 1_000, 2_999] {
        // Further bytes don't extend the time for a head.
        budget.record_received(key, at(now));
        let step = budget.check_progress(key, at(now));
        assert_eq!(step, ProgressStep::CheckAt(deadline));
    }
    let close_at = deadline + connection_budget::OVERDUE_GRACE;
    let step = budget.check_progress(key, deadline);
    assert_eq!(step, ProgressStep::CheckAt(close_at));
    let step = budget.check_progress(key, close_at);
    assert_eq!(step, ProgressStep::Close);
}

#[test]
fn a_slow_body_is_read_to_its_end() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let key = opened_with_body(&mut budget, at(0));
    // 9 s at a little more than the lowest rate, beyond the time for a body alone.
    for second in 1..10 {
        reserve(&mut budget, key, 101, at(second * 1_000));
        let step = budget.check_progress(key, at(second * 1_000));
        assert!(matches!(step, ProgressStep::CheckAt(_)), "{step:?}");
    }
    budget.complete_request(key, at(10_000));
    assert_eq!(
        budget.check_progress(key, at(90_000)),
        ProgressStep::Continue
    );
}

#[test]
fn a_body_whose_bytes_waited_through_a_pause_is_not_closed() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let key = opened_with_body(&mut budget, at(0));
    reserve(&mut budget, key, 10, at(0));
    // The process was paused: its timer is due before the bytes can be read.
    let step = budget.check_progress(key, at(6_000));
    assert_eq!(step, ProgressStep::CheckAt(at(7_000)));
    reserve(&mut budget, key, 900, at(6_001));
    let step = budget.check_progress(key, at(7_000));
    assert!(matches!(step, ProgressStep::CheckAt(_)), "{step:?}");
}

#[test]
fn an_answer_that_is_not_read_ends_the_connection_late() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let key = opened(&mut budget, at(0));
    budget.begin_request(key, false, at(0));
    budget.begin_answer(key, at(1_000));
    budget.record_sent(key, at(2_000));
    let step = budget.check_progress(key, at(2_500));
    assert_eq!(step, ProgressStep::CheckAt(at(10_000)));
    assert!(matches!(
        budget.check_progress(key, at(10_000)),
        ProgressStep::CheckAt(_)
    ));
    assert_eq!(budget.check_progress(key, at(11_000)), ProgressStep::Close);
}

#[test]
fn an_idle_connection_has_no_deadline() {
    let mut budget = ConnectionBudget::new(LIMITS);
    let key = opened(&mut budget, at(0));
    budget.begin_request(key, false, at(0));
    budget.begin_answer(key, at(10));
    budget.complete_answer(key, at(11));
    assert_eq!(budget.phase(key), Some(ConnectionPhase::Idle));
    let step = budget.check_progress(key, at(1_000_000));
    assert_eq!(step, ProgressStep::Continue);
}

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Operation {
    Open,
    Receive(u8),
    BeginRequest(u8, bool),
    Reserve(u8, u16),
    Complete(u8),
    BeginAnswer(u8),
    Sent(u8),
    CompleteAnswer(u8),
    Check(u8),
    Close(u8),
    Release(u8),
    Wait(u16),
    SetLimits(u8, u16),
}

/// A connection that was opened, and the memory that it has reserved.
#[derive(Clone, Copy, Debug)]
struct ModelConnection {
    key: ConnectionKey,
    is_open: bool,
    reserved: usize,
}

#[derive(Debug, Default)]
struct BudgetModel {
    connections: Vec<ModelConnection>,
}

impl BudgetModel {
    fn pick(&mut self, choice: u8) -> Option<&mut ModelConnection> {
        let count = self.connections.len();
        let index = usize::from(choice).checked_rem(count)?;
        self.connections.get_mut(index)
    }

    fn open_count(&self) -> usize {
        self.connections.iter().filter(|one| one.is_open).count()
    }

    fn reserved(&self) -> usize {
        self.connections.iter().map(|one| one.reserved).sum()
    }
}

/// Asserts that a connection may be closed to make room.
fn assert_closable(before: &ConnectionBudget, after: &ConnectionBudget, key: ConnectionKey) {
    let phase = before.phase(key);
    assert!(
        matches!(
            phase,
            Some(ConnectionPhase::Idle | ConnectionPhase::Head | ConnectionPhase::Body)
        ),
        "{phase:?} is closed to make room"
    );
    assert_eq!(after.phase(key), Some(ConnectionPhase::Closing));
}

fn apply(
    operation: Operation,
    budget: &mut ConnectionBudget,
    model: &mut BudgetModel,
    now: &mut TimePoint,
) {
    let before = budget.clone();
    match operation {
        Operation::Open => match budget.open(*now) {
            OpenStep::Opened(key) => {
                assert!(before.open_connections() < before.limits().connections);
                assert!(model.connections.iter().all(|one| one.key != key));
                model.connections.push(ModelConnection {
                    key,
                    is_open: true,
                    reserved: 0,
                });
            }
            OpenStep::CloseFirst(other) => assert_closable(&before, budget, other),
            OpenStep::Wait | OpenStep::Reject => {
                assert!(before.open_connections() >= before.limits().connections);
            }
        },
        Operation::Reserve(choice, bytes) => {
            let Some(one) = model.pick(choice) else {
                return;
            };
            let bytes = usize::from(bytes) % 1_200;
            match budget.reserve(one.key, bytes, *now) {
                ReserveStep::Reserved => {
                    one.reserved += bytes;
                    budget.record_body(one.key, bytes, *now);
                    assert!(budget.reserved_bytes() <= budget.limits().body_bytes);
                }
                ReserveStep::CloseFirst(other) => {
                    assert_ne!(other, one.key);
                    assert_closable(&before, budget, other);
                }
                ReserveStep::Wait | ReserveStep::Refuse => {}
            }
        }
        Operation::Receive(choice) => with(model, choice, |one| {
            budget.record_received(one.key, *now);
        }),
        Operation::BeginRequest(choice, has_body) => with(model, choice, |one| {
            budget.begin_request(one.key, has_body, *now);
        }),
        Operation::Complete(choice) => with(model, choice, |one| {
            budget.complete_request(one.key, *now);
        }),
        Operation::BeginAnswer(choice) => with(model, choice, |one| {
            budget.begin_answer(one.key, *now);
        }),
        Operation::Sent(choice) => with(model, choice, |one| budget.record_sent(one.key, *now)),
        Operation::CompleteAnswer(choice) => with(model, choice, |one| {
            budget.complete_answer(one.key, *now);
        }),
        Operation::Check(choice) => with(model, choice, |one| {
            let step = budget.check_progress(one.key, *now);
            if step == ProgressStep::Close {
                let phase = before.phase(one.key);
                assert_ne!(phase, Some(ConnectionPhase::Idle));
                assert_ne!(phase, Some(ConnectionPhase::Serving));
            }
        }),
        Operation::Close(choice) => with(model, choice, |one| {
            budget.close(one.key);
            one.is_open = false;
        }),
        Operation::Release(choice) => with(model, choice, |one| {
            budget.release(one.key, one.reserved);
            one.reserved = 0;
        }),
        Operation::Wait(millis) => *now = *now + TimeSpan::from_millis(u64::from(millis) % 4_000),
        Operation::SetLimits(connections, body_bytes) => {
            budget.set_limits(BudgetLimits {
                connections: usize::from(connections % 8),
                body_bytes: usize::from(body_bytes) % 2_000,
                ..LIMITS
            });
        }
    }
}

fn with(model: &mut BudgetModel, choice: u8, change: impl FnOnce(&mut ModelConnection)) {
    if let Some(one) = model.pick(choice) {
        change(one);
    }
}

#[test]
fn limits_hold_in_any_order_of_events() {
    check!()
        .with_generator(bolero::produce::<Vec<Operation>>().with().len(OPERATIONS))
        .for_each(|operations| {
            let mut budget = ConnectionBudget::new(LIMITS);
            let mut model = BudgetModel::default();
            let mut now = at(0);
            for operation in operations {
                apply(*operation, &mut budget, &mut model, &mut now);
                assert_eq!(budget.open_connections(), model.open_count());
                assert_eq!(budget.reserved_bytes(), model.reserved());
                for one in &model.connections {
                    assert_eq!(budget.phase(one.key).is_some(), one.is_open);
                }
            }
            for one in &model.connections {
                budget.close(one.key);
                budget.release(one.key, one.reserved);
            }
            assert_eq!(budget.open_connections(), 0);
            assert_eq!(budget.reserved_bytes(), 0);
        });
}
