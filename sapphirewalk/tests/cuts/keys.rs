//! A request whose idempotency key reaches both sides of a partition runs at most once, and each
//! side gives the correct outcome.

use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_wire::endpoint;
use sapphirewalk_wire::row;

use crate::support;

/// The failure domain that is cut off.
const CUT: u32 = 0;
const CUT_VM: EntryKey = EntryKey(0);
const OTHER_VM: EntryKey = EntryKey(2);
const KEYS: usize = 5;
/// Duration of each call of the platform while answers are lost.
const CALL_MS: u64 = 250;

#[tokio::test(flavor = "multi_thread")]
async fn same_key_to_both_sides_runs_at_most_once() {
    let fleet = support::start(support::plan(2)).await;
    let inside = fleet.request_address(CUT_VM.gateway());
    let outside = fleet.request_address(OTHER_VM.gateway());

    let mut request = support::charge("before");
    request.service_ms = 1_000;
    let running = tokio::spawn(async move { request.send(inside).await });
    await_until(seconds_from_now(5), "the first request runs", async || {
        fleet.request_ledger().key_count("before") == 1
    })
    .await
    .unwrap();
    fleet.partition_domain(CUT);
    let repeat = support::charge("before").send(outside).await.unwrap();
    assert_eq!(support::outcome(&repeat), endpoint::OUTCOME_DUPLICATE);
    let first = running.await.unwrap().unwrap();
    assert_eq!(support::outcome(&first), endpoint::OUTCOME_ANSWERED);

    for index in 0..KEYS {
        let key = format!("during-{index}");
        let (request, same) = (support::charge(&key), support::charge(&key));
        let (cut_off, served) = tokio::join!(request.send(inside), same.send(outside));
        let cut_off = cut_off.unwrap();
        assert_eq!(support::outcome(&cut_off), endpoint::OUTCOME_NOT_RUN);
        let text = cut_off.text();
        assert!(text.contains("when the platform is up"), "{text}");
        let served = served.unwrap();
        assert_eq!(support::outcome(&served), endpoint::OUTCOME_ANSWERED);
        assert_eq!(fleet.request_ledger().key_count(&key), 1, "{key}");
    }
    fleet.heal_domain(CUT);
    for index in 0..KEYS {
        let repeat = support::charge(&format!("during-{index}"));
        let repeat = repeat.send(inside).await.unwrap();
        assert_eq!(support::outcome(&repeat), endpoint::OUTCOME_DUPLICATE);
    }
    support::assert_request_invariants(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_recorded_just_before_the_cut_gets_the_correct_outcome() {
    let fleet = support::start(support::plan(2)).await;
    let inside = fleet.request_address(CUT_VM.gateway());
    let outside = fleet.request_address(OTHER_VM.gateway());
    let key_row = row::idempotency_key("shop", "lost");
    fleet.platform().lose_answers(u32::MAX);
    fleet.platform().set_delay_ms(CALL_MS);
    let request = support::charge("lost");
    let call = tokio::spawn(async move { request.send(inside).await });
    await_until(seconds_from_now(5), "the key is recorded", async || {
        fleet.platform().row(&key_row).is_some()
    })
    .await
    .unwrap();
    // The answer to the write is lost, and the read that would show whether the key was recorded is
    // still in flight.
    fleet.partition_domain(CUT);
    fleet.platform().lose_answers(0);
    fleet.platform().set_delay_ms(0);
    let answer = call.await.unwrap().unwrap();
    assert_eq!(support::outcome(&answer), endpoint::OUTCOME_NOT_RUN);
    let repeat = support::charge("lost").send(outside).await.unwrap();
    assert_eq!(support::outcome(&repeat), endpoint::OUTCOME_DUPLICATE);
    assert_eq!(fleet.request_ledger().key_count("lost"), 0);
    fleet.heal_domain(CUT);
    support::await_true(&fleet, "the key that did not run is free", async || {
        fleet.platform().row(&key_row).is_none()
    })
    .await;
    let repeat = support::charge("lost").send(outside).await.unwrap();
    assert_eq!(support::outcome(&repeat), endpoint::OUTCOME_ANSWERED);
    assert_eq!(fleet.request_ledger().key_count("lost"), 1);
    support::assert_request_invariants(&fleet);
}
