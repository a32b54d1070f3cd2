//! Retry budget, hedging, deadlines, concurrency limit, and selection of endpoints and peers.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sapphirewalk_core::concurrency_limit::ConcurrencyLimit;
use sapphirewalk_core::concurrency_limit::LimitSample;
use sapphirewalk_core::deadline::DeadlineStep;
use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::endpoint_choice;
use sapphirewalk_core::endpoint_choice::ChoiceStep;
use sapphirewalk_core::endpoint_choice::EndpointCandidate;
use sapphirewalk_core::hedge;
use sapphirewalk_core::hedge::HedgeContext;
use sapphirewalk_core::hedge::HedgeParams;
use sapphirewalk_core::hedge::HedgePlan;
use sapphirewalk_core::hedge::HedgeStep;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::latency_histogram::LatencyHistogram;
use sapphirewalk_core::peer_choice;
use sapphirewalk_core::peer_choice::ForwardMode;
use sapphirewalk_core::peer_choice::PeerReport;
use sapphirewalk_core::peer_choice::PeerStep;
use sapphirewalk_core::peer_choice::PeerTable;
use sapphirewalk_core::retry_budget::BudgetCharge;
use sapphirewalk_core::retry_budget::BudgetParams;
use sapphirewalk_core::retry_budget::RetryBudget;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const NOW: TimePoint = TimePoint::from_millis(1_000);
const SHARE_SLOTS: u32 = 4;

const fn millis(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

#[test]
fn retries_stay_within_a_fixed_ratio_of_successes() {
    let mut budget = RetryBudget::new(BudgetParams {
        earned_permille: 100,
        max_retries: 2,
    });
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        retries += u32::from(budget.spend() == BudgetCharge::Charged);
    }
    assert!(
        (100..=102).contains(&retries),
        "{retries} retries for 1,000 successes"
    );
}

#[test]
fn only_idempotent_requests_are_hedged_and_only_within_the_retry_budget() {
    let mut latencies = LatencyHistogram::new();
    (1..=100).for_each(|sample| latencies.record(millis(sample)));
    let deadline = RequestDeadline::at(NOW + millis(500));
    let plan = |is_idempotent| {
        hedge::plan(
            HedgeParams::default(),
            is_idempotent,
            &latencies,
            deadline,
            NOW,
        )
    };
    assert_eq!(plan(false), HedgePlan::Never);
    let HedgePlan::DecideAt(point) = plan(true) else {
        panic!("an idempotent request gets no hedge");
    };
    assert!((95..=107).contains(&point.since(NOW).as_millis()));
    let mut budget = RetryBudget::new(BudgetParams {
        earned_permille: 0,
        max_retries: 1,
    });
    let params = HedgeParams {
        min_free_permille: 200,
        ..HedgeParams::default()
    };
    let mut decide = |free_slots, is_suspect, earlier_decisions| {
        let context = HedgeContext {
            free_slots,
            share_slots: 40,
            is_suspect,
            earlier_decisions,
        };
        hedge::decide(params, context, &mut budget)
    };
    assert_eq!(decide(0, true, 1), HedgeStep::Wait);
    assert_eq!(decide(7, true, 1), HedgeStep::Wait);
    assert_eq!(decide(8, false, 0), HedgeStep::Wait);
    assert_eq!(decide(8, true, 0), HedgeStep::Send);
    assert_eq!(decide(8, false, 1), HedgeStep::Wait);
    budget.refund();
    let context = HedgeContext {
        free_slots: 8,
        share_slots: 40,
        is_suspect: false,
        earlier_decisions: 1,
    };
    assert_eq!(hedge::decide(params, context, &mut budget), HedgeStep::Send);
}

#[test]
fn the_remaining_time_decreases_at_each_hop() {
    let deadline = RequestDeadline::on_arrival(Some(millis(900)), millis(50), NOW);
    assert_eq!(deadline.remaining(NOW), millis(50));
    let step = deadline.step(millis(20), millis(3), NOW + millis(10));
    assert_eq!(step, DeadlineStep::Proceed(millis(37)));
    let step = deadline.step(millis(20), millis(3), NOW + millis(30));
    assert_eq!(step, DeadlineStep::TooLate);
}

#[test]
fn the_concurrency_limit_falls_with_high_latency_and_never_exceeds_the_share() {
    let mut limit = ConcurrencyLimit::new(SHARE_SLOTS);
    let sample = |latency| LimitSample::Answered {
        latency: millis(latency),
        expected: millis(10),
    };
    (0..20).for_each(|_| limit.record(sample(80), SHARE_SLOTS, SHARE_SLOTS));
    assert!(limit.slots(SHARE_SLOTS) < SHARE_SLOTS);
    for _ in 0..500 {
        let in_use = limit.slots(SHARE_SLOTS);
        limit.record(sample(10), in_use, SHARE_SLOTS);
    }
    assert_eq!(limit.slots(SHARE_SLOTS), SHARE_SLOTS);
    (0..50).for_each(|_| limit.record(LimitSample::Failed, SHARE_SLOTS, SHARE_SLOTS));
    assert_eq!(limit.slots(SHARE_SLOTS), 1);
    assert_eq!(limit.slots(0), 0);
}

#[test]
fn the_faster_of_two_endpoints_with_free_slots_is_chosen() {
    let candidate = |endpoint, free_slots, latency| EndpointCandidate {
        endpoint: EndpointKey(endpoint),
        free_slots,
        share_slots: SHARE_SLOTS,
        latency: millis(latency),
        round_trip: millis(1),
    };
    let candidates = [candidate(0, 0, 1), candidate(1, 2, 30), candidate(2, 2, 10)];
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20 {
        let step = endpoint_choice::choose(&candidates, &[], &mut rng);
        assert_eq!(step, ChoiceStep::Send(EndpointKey(2)));
    }
    let excluded = [EndpointKey(1), EndpointKey(2)];
    let step = endpoint_choice::choose(&candidates, &excluded, &mut rng);
    assert_eq!(step, ChoiceStep::NoneFree);
}

#[test]
fn a_request_that_is_not_idempotent_reserves_a_slot_before_it_is_forwarded() {
    let mode = peer_choice::forward_mode(true, millis(3), NOW);
    assert_eq!(mode, ForwardMode::SendNow);
    let mode = peer_choice::forward_mode(false, millis(3), NOW);
    let until = NOW + millis(23);
    assert_eq!(mode, ForwardMode::ReserveFirst { until });
}

#[test]
fn a_peer_gets_no_more_requests_than_the_free_slots_that_it_reported() {
    let mut table = PeerTable::new();
    let report = |peer, round_trip| PeerReport {
        peer: VmKey(peer),
        free_slots: 2,
        round_trip: millis(round_trip),
        reported_at: NOW,
    };
    table.report(report(1, 1));
    table.report(report(2, 3));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut choose = |remaining, at| table.choose(millis(remaining), at, &mut rng);
    assert_eq!(choose(10, NOW + millis(600)), PeerStep::NoneFree);
    assert_eq!(choose(10, NOW), PeerStep::Forward(VmKey(1)));
    assert_eq!(choose(10, NOW), PeerStep::Forward(VmKey(1)));
    assert_eq!(choose(2, NOW), PeerStep::NoneFree);
    assert_eq!(choose(10, NOW), PeerStep::Forward(VmKey(2)));
}
