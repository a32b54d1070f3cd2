//! Admission of requests: guaranteed shares under a flood, bounded queues and early refusals.

use sapphirewalk_core::admission::AdmissionRequest;
use sapphirewalk_core::admission::AdmissionStep;
use sapphirewalk_core::admission::AdmissionTable;
use sapphirewalk_core::admission::KindPolicy;
use sapphirewalk_core::admission::QueueStep;
use sapphirewalk_core::admission::RefuseReason;
use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::RequestKey;
use sapphirewalk_core::key::UserKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const NOW: TimePoint = TimePoint::from_millis(1_000);
const RUN_TIME: TimeSpan = TimeSpan::from_millis(10);
const CAPACITY: u32 = 10;
const QUEUE_LIMIT: usize = 8;

fn table() -> AdmissionTable {
    let policy = |kind: u8| KindPolicy {
        kind: KindKey(kind.into()),
        urgency: kind,
        weight: 1,
        floor_permille: 200,
        queue_limit: QUEUE_LIMIT,
        initial_run_time: RUN_TIME,
    };
    let mut table = AdmissionTable::new(&[policy(0), policy(1)]);
    table.set_capacity(CAPACITY);
    table
}

fn admission_request(request: u32, kind: u32, user: u32) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestKey(request),
        kind: KindKey(kind),
        user: UserKey(user),
        deadline: RequestDeadline::at(NOW + TimeSpan::from_millis(400)),
        origin: RequestOrigin::Caller,
    }
}

fn fill(table: &mut AdmissionTable, kind: u32) {
    for request in 0..CAPACITY {
        let step = table.offer(admission_request(request, kind, 0), NOW);
        assert_eq!(step, AdmissionStep::Dispatch);
    }
}

fn next_dispatched(table: &mut AdmissionTable) -> u32 {
    match table.next(NOW) {
        QueueStep::Dispatch(admission_request) => admission_request.request.0,
        step => panic!("expected a dispatch, got {step:?}"),
    }
}

#[test]
fn released_slots_of_a_flooding_kind_go_to_the_other_kind_up_to_its_share() {
    for flood in [0, 1] {
        let other = 1 - flood;
        let mut table = table();
        fill(&mut table, flood);
        for request in 0..QUEUE_LIMIT as u32 {
            assert_eq!(
                table.offer(admission_request(100 + request, flood, 0), NOW),
                AdmissionStep::Queue
            );
        }
        let step = table.offer(admission_request(200, flood, 0), NOW);
        assert_eq!(step, AdmissionStep::Refuse(RefuseReason::QueueFull));
        for request in 0..6 {
            assert_eq!(
                table.offer(admission_request(300 + request, other, 0), NOW),
                AdmissionStep::Queue
            );
        }
        assert_eq!(table.next(NOW), QueueStep::Idle);
        for request in 0..5 {
            table.finish(KindKey(flood), UserKey(0), Some(RUN_TIME));
            assert_eq!(next_dispatched(&mut table), 300 + request);
        }
        table.finish(KindKey(flood), UserKey(0), Some(RUN_TIME));
        assert_eq!(next_dispatched(&mut table), 100);
    }
}

#[test]
fn capacity_beyond_all_shares_goes_to_the_most_urgent_kind() {
    let mut table = table();
    for request in 0..CAPACITY / 2 {
        table.offer(admission_request(request, 0, 0), NOW);
        table.offer(admission_request(50 + request, 1, 0), NOW);
    }
    assert_eq!(
        table.offer(admission_request(20, 0, 0), NOW),
        AdmissionStep::Queue
    );
    assert_eq!(
        table.offer(admission_request(70, 1, 0), NOW),
        AdmissionStep::Queue
    );
    table.set_capacity(CAPACITY + 1);
    assert_eq!(next_dispatched(&mut table), 70);
}

#[test]
fn a_request_of_a_kind_without_a_policy_is_refused() {
    let mut table = table();
    table.set_policies(&[]);
    let step = table.offer(admission_request(1, 0, 0), NOW);
    assert_eq!(step, AdmissionStep::Refuse(RefuseReason::UnknownKind));
}

#[test]
fn a_request_that_cannot_end_before_its_deadline_is_refused() {
    let mut table = table();
    let mut late = admission_request(1, 0, 0);
    late.deadline = RequestDeadline::at(NOW + TimeSpan::from_millis(9));
    let refused = AdmissionStep::Refuse(RefuseReason::DeadlineTooShort);
    assert_eq!(table.offer(late, NOW), refused);
    fill(&mut table, 0);
    late.deadline = RequestDeadline::at(NOW + RUN_TIME);
    assert_eq!(table.offer(late, NOW), refused);
    late.deadline = RequestDeadline::at(NOW + TimeSpan::from_millis(30));
    assert_eq!(table.offer(late, NOW), AdmissionStep::Queue);
    table.finish(KindKey(0), UserKey(0), Some(RUN_TIME));
    let step = table.next(NOW + TimeSpan::from_millis(21));
    assert_eq!(
        step,
        QueueStep::Refuse(late, RefuseReason::DeadlineTooShort)
    );
}

#[test]
fn a_kind_queues_only_what_its_share_serves_within_a_fraction_of_the_deadline() {
    let mut table = table();
    fill(&mut table, 0);
    let request_of_user = |request| AdmissionRequest {
        deadline: RequestDeadline::at(NOW + TimeSpan::from_millis(90)),
        ..admission_request(request, 0, request)
    };
    let steps: Vec<AdmissionStep> = (0..8)
        .map(|request| table.offer(request_of_user(request), NOW))
        .collect();
    let queued = steps.iter().filter(|step| **step == AdmissionStep::Queue);
    assert_eq!(queued.count(), 5);
    let refused = AdmissionStep::Refuse(RefuseReason::WaitTooLong);
    assert_eq!(steps[7], refused);
}

#[test]
fn a_forwarded_request_without_a_free_slot_is_refused_and_not_queued() {
    let mut table = table();
    fill(&mut table, 0);
    let mut forwarded = admission_request(50, 1, 0);
    forwarded.origin = RequestOrigin::Peer;
    let step = table.offer(forwarded, NOW);
    assert_eq!(step, AdmissionStep::Refuse(RefuseReason::NoFreeSlot));
}

#[test]
fn a_queued_request_that_a_peer_declined_keeps_its_queue_position() {
    let mut table = table();
    fill(&mut table, 0);
    table.offer(admission_request(20, 0, 0), NOW);
    table.offer(admission_request(21, 0, 0), NOW);
    let taken = table.take_waiting();
    assert_eq!(taken, Some(admission_request(20, 0, 0)));
    table.return_waiting(admission_request(20, 0, 0));
    assert_eq!(table.waiting(), 2);
    table.set_free_slots(1);
    assert_eq!(next_dispatched(&mut table), 20);
}

#[test]
fn a_released_slot_goes_to_the_user_of_the_kind_with_the_fewest_slots() {
    let mut table = table();
    fill(&mut table, 0);
    for request in 0..QUEUE_LIMIT as u32 - 1 {
        assert_eq!(
            table.offer(admission_request(20 + request, 0, 0), NOW),
            AdmissionStep::Queue
        );
    }
    assert_eq!(
        table.offer(admission_request(40, 0, 1), NOW),
        AdmissionStep::Queue
    );
    table.finish(KindKey(0), UserKey(0), None);
    assert_eq!(next_dispatched(&mut table), 40);
    assert!(table.cancel(admission_request(20, 0, 0)));
    assert!(!table.cancel(admission_request(20, 0, 0)));
    table.finish(KindKey(0), UserKey(0), None);
    assert_eq!(next_dispatched(&mut table), 21);
}
