//! A leaving endpoint gets nothing new after 3 s on any entry VM, while the VM list lags.

mod support;

use std::time;

use sapphirewalk_stand_in::clock;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::RequestOrder;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::platform::VmState;

const NOTICE_MS: u64 = 3_000;
const LIST_LAG_MS: u64 = 30_000;
const LEAVING: &str = "p0-0";

/// Sends steady requests through both gateways for a while, and checks that the leaving endpoint
/// began none after `since_ms`.
async fn check_no_start_after(fleet: &Fleet, since_ms: u64) {
    let before = fleet.requests().runs().len();
    let crowd = CallerGroup::start(&load::gateways(fleet), 8, &RequestOrder::new("order"));
    crowd.run_for(1_000).await;
    crowd.stop().await;
    assert!(fleet.requests().runs().len() > before + 50);
    let last = fleet.requests().last_start_ms(LEAVING).unwrap_or(0);
    assert!(last <= since_ms, "began {} ms late", last - since_ms);
}

async fn pass(millis: u64) {
    tokio::time::sleep(time::Duration::from_millis(millis)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn under_load() {
    let mut fleet = support::start_fleet(1_000).await;
    fleet.platform().set_vm_list_lag_ms(LIST_LAG_MS);
    let crowd = CallerGroup::start(&load::gateways(&fleet), 8, &RequestOrder::new("order"));
    crowd.run_for(500).await;
    let since_ms = clock::unix_ms();
    fleet.endpoints()[0].set_leaving(true);
    fleet.platform().mark_vm(LEAVING, VmState::Leaving);
    crowd.run_for(NOTICE_MS + 500).await;
    crowd.stop().await;
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    // The endpoint says nothing more and the list still names it as live: the mark stays.
    fleet.endpoints()[0].set_leaving(false);
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    // A gateway that starts now learns the mark from its peer.
    fleet.restart(EntryKey(0).gateway()).await.unwrap();
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn without_load_and_seen_by_one_gateway_only() {
    let mut fleet = support::start_fleet(1_000).await;
    fleet.platform().set_vm_list_lag_ms(LIST_LAG_MS);
    // The second gateway can't see the endpoint's signal itself; the first one tells it.
    fleet.freeze(EntryKey(1).gateway()).unwrap();
    fleet.endpoints()[0].set_leaving(true);
    let since_ms = clock::unix_ms();
    pass(NOTICE_MS).await;
    fleet.endpoints()[0].set_leaving(false);
    fleet.thaw(EntryKey(1).gateway()).unwrap();
    pass(NOTICE_MS).await;
    check_no_start_after(&fleet, since_ms).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn list_says_so_first_and_is_then_replaced() {
    let mut fleet = support::start_fleet(1_000).await;
    fleet.platform().mark_vm(LEAVING, VmState::Leaving);
    let since_ms = clock::unix_ms();
    pass(NOTICE_MS).await;
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    // The list takes it back: the mark stays for this incarnation.
    fleet.platform().mark_vm(LEAVING, VmState::Live);
    pass(NOTICE_MS).await;
    check_no_start_after(&fleet, since_ms + NOTICE_MS).await;
    fleet.replace_endpoint(0).await.unwrap();
    pass(NOTICE_MS).await;
    let crowd = CallerGroup::start(&load::gateways(&fleet), 8, &RequestOrder::new("order"));
    crowd.run_for(500).await;
    crowd.stop().await;
    let last = fleet.requests().last_start_ms(LEAVING).unwrap_or(0);
    assert!(last > since_ms + NOTICE_MS, "the replacement serves");
}
