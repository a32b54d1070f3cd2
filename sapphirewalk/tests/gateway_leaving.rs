//! From 3 s after its leaving notice an endpoint gets no new request from any entry VM.
//!
//! The VM list lags by 30 s, so gateways have to use the signal of the endpoint itself and pass it
//! on to their peers.

mod support;

use std::time;

use sapphirewalk_stand_in::clock;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::platform::VmState;

/// Time after the leaving notice from which an endpoint gets no new request.
const NOTICE_MS: u64 = 3_000;
const LIST_LAG_MS: u64 = 30_000;
/// Name of the first endpoint, which leaves.
const LEAVING: &str = "p0-0";

/// Sends requests through both gateways for a second, and checks that the leaving endpoint started
/// none after `since_ms`.
async fn check_no_start_after(fleet: &Fleet, since_ms: u64) {
    let before = fleet.request_ledger().runs().len();
    let crowd = CallerGroup::start(&load::gateways(fleet), 8, &CallerRequest::new("order"));
    crowd.run_for(1_000).await;
    crowd.stop().await;
    assert!(fleet.request_ledger().runs().len() > before + 50);
    let last = fleet.request_ledger().last_start_ms(LEAVING).unwrap_or(0);
    assert!(
        last <= since_ms,
        "a request started {} ms late",
        last - since_ms
    );
}

async fn sleep_ms(millis: u64) {
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn under_load() {
    let mut fleet = support::start_fleet(1_000).await;
    fleet.platform().set_vm_list_lag_ms(LIST_LAG_MS);
    let crowd = CallerGroup::start(&load::gateways(&fleet), 8, &CallerRequest::new("order"));
    crowd.run_for(500).await;
    let since_ms = clock::unix_ms();
    fleet.endpoints()[0].set_leaving(true);
    fleet.platform().set_vm_state(LEAVING, VmState::Leaving);
    crowd.run_for(NOTICE_MS + 500).await;
    crowd.stop().await;
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    // The endpoint no longer signals that it leaves, and the VM list still shows it as live: it
    // stays excluded.
    fleet.endpoints()[0].set_leaving(false);
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    // A gateway that starts now gets the leaving state from its peer.
    fleet.restart(EntryKey(0).gateway()).await.unwrap();
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_load_and_seen_by_one_gateway_only() {
    let mut fleet = support::start_fleet(1_000).await;
    fleet.platform().set_vm_list_lag_ms(LIST_LAG_MS);
    // The second gateway is frozen during the endpoint's signal, and gets it from the first one.
    fleet.freeze(EntryKey(1).gateway()).unwrap();
    fleet.endpoints()[0].set_leaving(true);
    let since_ms = clock::unix_ms();
    sleep_ms(NOTICE_MS).await;
    fleet.endpoints()[0].set_leaving(false);
    fleet.thaw(EntryKey(1).gateway()).unwrap();
    sleep_ms(NOTICE_MS).await;
    check_no_start_after(&fleet, since_ms).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_leaving_by_the_vm_list_gets_nothing_new_until_it_is_replaced() {
    let mut fleet = support::start_fleet(1_000).await;
    fleet.platform().set_vm_state(LEAVING, VmState::Leaving);
    let since_ms = clock::unix_ms();
    sleep_ms(NOTICE_MS).await;
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    // The list shows it as live again: this incarnation stays excluded.
    fleet.platform().set_vm_state(LEAVING, VmState::Live);
    sleep_ms(NOTICE_MS).await;
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    fleet.replace_endpoint(0).await.unwrap();
    sleep_ms(NOTICE_MS).await;
    let crowd = CallerGroup::start(&load::gateways(&fleet), 8, &CallerRequest::new("order"));
    crowd.run_for(500).await;
    crowd.stop().await;
    let last = fleet.request_ledger().last_start_ms(LEAVING).unwrap_or(0);
    assert!(
        last > since_ms + NOTICE_MS,
        "the replacement gets no request"
    );
}
