//! The outcome "not run" is given only for requests that no endpoint ran, by the run records of the
//! endpoints.
//!
//! The outcome is wrong when a gateway takes a lost answer, a broken connection or a lost peer for
//! proof that the request was not started.

mod support;

use sapphirewalk_stand_in::endpoint::EndpointFault;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallRecord;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;

const CALLERS: usize = 100;
const SERVICE_MS: u64 = 50;
const DEADLINE_MS: u64 = 400;
/// Slots of one seat: half of the 16 slots of two endpoints.
const OWN_SLOTS: u32 = 8;
const FAULTS: [EndpointFault; 6] = [
    EndpointFault::CloseAfterRead,
    EndpointFault::RefuseBeforeStart,
    EndpointFault::CloseAfterRun,
    EndpointFault::CloseMidAnswer,
    EndpointFault::Slow { extra_ms: 600 },
    EndpointFault::Error,
];

fn crowd(fleet: &Fleet, kind: &str) -> CallerGroup {
    let mut request = CallerRequest::new(kind);
    request.service_ms = SERVICE_MS;
    request.idempotency_key = Some("chosen by each caller".to_owned());
    CallerGroup::start(&load::gateways(fleet), CALLERS, &request)
}

/// Checks that no request with the outcome "not run" ran, and returns the number of them.
fn check_not_run(fleet: &Fleet, records: &[CallRecord]) -> usize {
    let is_not_run =
        |record: &&CallRecord| record.header(endpoint::OUTCOME_HEADER) == endpoint::OUTCOME_NOT_RUN;
    let mut count = 0;
    for record in records.iter().filter(is_not_run) {
        assert_eq!(
            fleet.request_ledger().run_count(record.id()),
            0,
            "{record:?}"
        );
        count += 1;
    }
    count
}

async fn run_faults(fleet: &Fleet, kind: &str) -> usize {
    let crowd = crowd(fleet, kind);
    for fault in FAULTS {
        for endpoint in fleet.endpoints() {
            endpoint.set_next_fault(fault, 4);
        }
        crowd.run_for(400).await;
    }
    check_not_run(fleet, &crowd.stop().await)
}

#[tokio::test(flavor = "multi_thread")]
async fn flood_with_faults_at_every_step() {
    let fleet = support::start_fleet(DEADLINE_MS).await;
    assert!(run_faults(&fleet, "order").await > 0);
    assert!(run_faults(&fleet, "charge").await > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_and_platform_go_and_come() {
    let mut fleet = support::start_fleet(DEADLINE_MS).await;
    for kind in ["order", "charge"] {
        let crowd = crowd(&fleet, kind);
        crowd.run_for(300).await;
        fleet.endpoint_mut(0).kill();
        crowd.run_for(500).await;
        fleet.platform().set_down(true);
        crowd.run_for(500).await;
        fleet.platform().set_down(false);
        fleet.platform().lose_answers(100);
        crowd.run_for(500).await;
        fleet.replace_endpoint(0).await.unwrap();
        crowd.run_for(500).await;
        assert!(check_not_run(&fleet, &crowd.stop().await) > 0);
        assert_repeats_are_allowed(&fleet);
    }
}

/// Fewer callers than slots, so that a retry finds a free slot whenever it is permitted.
#[tokio::test(flavor = "multi_thread")]
async fn endpoint_is_killed_while_another_has_free_slots() {
    let mut fleet = support::start_fleet(DEADLINE_MS).await;
    for kind in ["order", "charge"] {
        let mut request = CallerRequest::new(kind);
        request.service_ms = SERVICE_MS;
        request.idempotency_key = Some("chosen by each caller".to_owned());
        let crowd = CallerGroup::start(&load::gateways(&fleet), 6, &request);
        for _ in 0..4 {
            crowd.run_for(200).await;
            fleet.endpoint_mut(0).kill();
            crowd.run_for(200).await;
            fleet.replace_endpoint(0).await.unwrap();
        }
        check_not_run(&fleet, &crowd.stop().await);
        assert_repeats_are_allowed(&fleet);
    }
}

/// Checks that no request of a kind that is not idempotent ran twice, and that an idempotent one
/// only ran again while its first run had not ended: the endpoint was killed, or the second run is
/// a hedge.
fn assert_repeats_are_allowed(fleet: &Fleet) {
    let runs = fleet.request_ledger().runs();
    for key in fleet.request_ledger().duplicate_keys() {
        assert!(!key.starts_with("key-charge-"), "{key} ran twice");
        let mut runs = runs
            .iter()
            .filter(|run| run.idempotency_key.as_ref() == Some(&key));
        let first = runs.next().expect("a repeated key has runs");
        for later in runs {
            let had_ended = first.ended_ms.is_some_and(|ended| ended < later.started_ms);
            assert!(!had_ended, "{later:?} repeats {first:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_is_killed_with_forwarded_requests() {
    let mut fleet = support::start_fleet(DEADLINE_MS).await;
    let first = fleet.request_address(EntryKey(0).gateway());
    for kind in ["order", "charge"] {
        let mut request = CallerRequest::new(kind);
        request.service_ms = SERVICE_MS;
        request.idempotency_key = Some("chosen by each caller".to_owned());
        // All callers use one gateway, so that it has to forward to the other.
        let crowd = CallerGroup::start(&[first], CALLERS, &request);
        crowd.run_for(800).await;
        fleet.kill(EntryKey(1).gateway());
        crowd.run_for(800).await;
        assert!(check_not_run(&fleet, &crowd.stop().await) > 0);
        fleet.restart(EntryKey(1).gateway()).await.unwrap();
    }
    let state = fleet.state(EntryKey(0).gateway()).await.unwrap();
    let forwarded = &state["sections"]["counters"]["forwarded"];
    assert!(forwarded.as_u64().unwrap() > 0, "{state}");
}

#[tokio::test(flavor = "multi_thread")]
async fn peer_is_killed_and_its_answers_are_lost_before_the_deadline() {
    let mut fleet = support::start_fleet(8_000).await;
    let first = fleet.request_address(EntryKey(0).gateway());
    let mut request = CallerRequest::new("charge");
    request.service_ms = 700;
    request.idempotency_key = Some("chosen by each caller".to_owned());
    // More callers than the gateway's own share has slots, so that the peer runs the others.
    let crowd = CallerGroup::start(&[first], 14, &request);
    let in_use = |fleet: &Fleet| -> u32 {
        let endpoints = fleet.endpoints().iter();
        endpoints.map(|end| end.counters().slots.current).sum()
    };
    await_until(seconds_from_now(10), "the peer is used", async || {
        in_use(&fleet) > OWN_SLOTS
    })
    .await
    .expect("requests are forwarded");
    fleet.kill(EntryKey(1).gateway());
    crowd.run_for(100).await;
    let records = crowd.stop().await;
    check_not_run(&fleet, &records);
    let is_lost = |record: &&CallRecord| record.header(endpoint::REASON_HEADER) == "peer-lost";
    assert!(records.iter().filter(is_lost).count() > 0);
    assert!(fleet.request_ledger().duplicate_keys().is_empty());
}
