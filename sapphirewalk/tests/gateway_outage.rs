//! Requests are answered while endpoints, the platform or all endpoints of a failure domain fail.

mod support;

use std::time;

use hyper::StatusCode;

use sapphirewalk_stand_in::client::HttpAnswer;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::LIVE_PATH;
use sapphirewalk_stand_in::fleet::READY_PATH;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_wire::endpoint;

const FIRST: DaemonKey = EntryKey(0).gateway();
const SECOND: DaemonKey = EntryKey(1).gateway();

async fn send(fleet: &Fleet, key: DaemonKey) -> HttpAnswer {
    let request = CallerRequest::new("order");
    request.send(fleet.request_address(key)).await.unwrap()
}

async fn assert_answered(fleet: &Fleet, key: DaemonKey, count: usize) {
    for _ in 0..count {
        let answer = send(fleet, key).await;
        let outcome = answer.header(endpoint::OUTCOME_HEADER);
        assert_eq!(outcome, endpoint::OUTCOME_ANSWERED, "{answer:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_fails_before_the_vm_list_shows_it() {
    let mut fleet = support::start_fleet(2_000).await;
    assert_answered(&fleet, FIRST, 20).await;
    fleet.endpoint_mut(0).kill();
    assert_answered(&fleet, FIRST, 100).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_starts_while_the_platform_is_down() {
    let mut fleet = support::start_fleet(2_000).await;
    fleet.platform().set_down(true);
    // It gets no seat, and forwards to the gateway that still has its share.
    fleet.start_daemon(FIRST).unwrap();
    let deadline = seconds_from_now(20);
    fleet
        .await_admin(FIRST, READY_PATH, deadline)
        .await
        .unwrap();
    assert_answered(&fleet, FIRST, 50).await;
    let state = fleet.state(FIRST).await.unwrap();
    assert!(state["sections"]["seat"].is_null(), "{state}");
    // Without a peer it refuses requests as not run.
    fleet.kill(SECOND);
    tokio::time::sleep(time::Duration::from_secs(6)).await;
    let answer = send(&fleet, FIRST).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    let outcome = answer.header(endpoint::OUTCOME_HEADER);
    assert_eq!(outcome, endpoint::OUTCOME_NOT_RUN);
    let ready = fleet.admin(FIRST, READY_PATH).await.unwrap();
    assert!(!ready.status.is_success());
    let live = fleet.admin(FIRST, LIVE_PATH).await.unwrap();
    assert!(live.status.is_success());
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_of_a_failure_domain_are_gone() {
    let mut fleet = support::start_with(2, 2, 2, 2_000).await;
    assert_answered(&fleet, FIRST, 20).await;
    let own = fleet
        .endpoints()
        .iter()
        .filter(|end| end.plan().name.starts_with("p0-"))
        .count();
    for index in 0..own {
        fleet.endpoint_mut(index).kill();
    }
    // Requests are forwarded to the other failure domain.
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    assert_answered(&fleet, FIRST, 50).await;
}
