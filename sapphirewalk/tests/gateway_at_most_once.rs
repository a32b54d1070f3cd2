//! A request that is not idempotent runs at most once, by the run records of the endpoints.
//!
//! A second run is possible when a key reaches two gateways at once, when an answer of the table or
//! of an endpoint is lost, or when a gateway is killed and the caller repeats its request.

mod support;

use std::net;

use hyper::StatusCode;
use tokio::task;

use sapphirewalk_stand_in::client::HttpAnswer;
use sapphirewalk_stand_in::endpoint::EndpointFault;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_stand_in::load;
use sapphirewalk_wire::endpoint;

const KEYS: usize = 60;

fn charge(key: &str) -> CallerRequest {
    let mut request = CallerRequest::new("charge");
    request.idempotency_key = Some(key.to_owned());
    request
}

async fn send(gateway: net::SocketAddr, key: &str) -> HttpAnswer {
    charge(key)
        .send(gateway)
        .await
        .expect("the gateway sends an answer")
}

fn outcome(answer: &HttpAnswer) -> &str {
    answer.header(endpoint::OUTCOME_HEADER)
}

/// Sends each key to both gateways at once, twice to each.
async fn send_to_all(fleet: &Fleet, keys: &[String]) -> Vec<HttpAnswer> {
    let gateways = load::gateways(fleet);
    let mut calls = task::JoinSet::new();
    for key in keys {
        for gateway in gateways.iter().chain(&gateways) {
            let (gateway, key) = (*gateway, key.clone());
            calls.spawn(async move { send(gateway, &key).await });
        }
    }
    calls.join_all().await
}

fn keys(prefix: &str) -> Vec<String> {
    (0..KEYS).map(|index| format!("{prefix}-{index}")).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn same_key_to_two_gateways_at_once() {
    let fleet = support::start_fleet(3_000).await;
    let keys = keys("both");
    let answers = send_to_all(&fleet, &keys).await;
    let answered = answers
        .iter()
        .filter(|answer| outcome(answer) == endpoint::OUTCOME_ANSWERED);
    assert_eq!(answered.count(), KEYS);
    let others = answers
        .iter()
        .filter(|answer| outcome(answer) == endpoint::OUTCOME_DUPLICATE);
    assert_eq!(others.count(), 3 * KEYS);
    for key in &keys {
        assert_eq!(fleet.request_ledger().key_count(key), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_the_table_are_lost() {
    let fleet = support::start_fleet(3_000).await;
    let gateway = fleet.request_address(EntryKey(0).gateway());
    for (count, key) in keys("lost").iter().enumerate().take(8) {
        fleet.platform().lose_answers(1 + count as u32 % 2);
        assert_eq!(
            outcome(&send(gateway, key).await),
            endpoint::OUTCOME_ANSWERED
        );
        assert_eq!(fleet.request_ledger().key_count(key), 1);
    }
    fleet.platform().lose_answers(KEYS as u32);
    send_to_all(&fleet, &keys("lost-both")).await;
    assert!(fleet.request_ledger().duplicate_keys().is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn first_gateway_is_killed() {
    let mut fleet = support::start_fleet(3_000).await;
    let gateways = load::gateways(&fleet);
    let mut request = charge("killed");
    request.service_ms = 500;
    let first = gateways[0];
    let call = tokio::spawn(async move { request.send(first).await });
    await_until(seconds_from_now(5), "the request is running", async || {
        fleet.request_ledger().key_count("killed") == 1
    })
    .await
    .unwrap();
    fleet.kill(EntryKey(0).gateway());
    assert!(call.await.unwrap().is_err());
    let repeat = send(gateways[1], "killed").await;
    assert_eq!(repeat.status, StatusCode::CONFLICT);
    assert_eq!(outcome(&repeat), endpoint::OUTCOME_DUPLICATE);
    assert_eq!(fleet.request_ledger().key_count("killed"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn connection_breaks_after_the_request_was_sent() {
    let fleet = support::start_fleet(1_000).await;
    let gateways = load::gateways(&fleet);
    for endpoint in fleet.endpoints() {
        endpoint.set_next_fault(EndpointFault::CloseAfterRun, 1);
    }
    let answer = send(gateways[0], "broken").await;
    assert_eq!(outcome(&answer), endpoint::OUTCOME_UNKNOWN);
    let repeat = send(gateways[1], "broken").await;
    assert_eq!(outcome(&repeat), endpoint::OUTCOME_DUPLICATE);
    assert_eq!(fleet.request_ledger().key_count("broken"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn platform_is_down() {
    let fleet = support::start_fleet(1_000).await;
    let gateways = load::gateways(&fleet);
    fleet.platform().set_down(true);
    let refused = send(gateways[0], "down").await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(outcome(&refused), endpoint::OUTCOME_NOT_RUN);
    assert_eq!(fleet.request_ledger().key_count("down"), 0);
    let idempotent = CallerRequest::new("order").send(gateways[0]).await.unwrap();
    assert_eq!(outcome(&idempotent), endpoint::OUTCOME_ANSWERED);
    fleet.platform().set_down(false);
    let repeat = send(gateways[1], "down").await;
    assert_eq!(outcome(&repeat), endpoint::OUTCOME_ANSWERED);
    assert_eq!(fleet.request_ledger().key_count("down"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn one_gateway_is_cut_off_from_the_platform() {
    let fleet = support::start_fleet(2_000).await;
    let gateways = load::gateways(&fleet);
    let cut = fleet.vm_name(EntryKey(0)).to_owned();
    fleet.platform().block_vm(&cut);
    let refused = send(gateways[0], "cut").await;
    assert_eq!(outcome(&refused), endpoint::OUTCOME_NOT_RUN);
    let repeat = send(gateways[1], "cut").await;
    assert_eq!(outcome(&repeat), endpoint::OUTCOME_ANSWERED);
    let refused = send(gateways[0], "cut").await;
    assert_eq!(outcome(&refused), endpoint::OUTCOME_NOT_RUN);
    fleet.platform().unblock_vm(&cut);
    let again = send(gateways[0], "cut").await;
    assert_eq!(outcome(&again), endpoint::OUTCOME_DUPLICATE);
    assert_eq!(fleet.request_ledger().key_count("cut"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn key_of_a_request_that_did_not_run_may_be_used_again() {
    let fleet = support::start_fleet(1_000).await;
    let gateways = load::gateways(&fleet);
    for endpoint in fleet.endpoints() {
        endpoint.set_fault(EndpointFault::RefuseBeforeStart);
    }
    let refused = send(gateways[0], "refused").await;
    assert_eq!(outcome(&refused), endpoint::OUTCOME_NOT_RUN);
    for endpoint in fleet.endpoints() {
        endpoint.set_fault(EndpointFault::None);
    }
    let repeat = send(gateways[1], "refused").await;
    assert_eq!(outcome(&repeat), endpoint::OUTCOME_ANSWERED);
    assert_eq!(fleet.request_ledger().key_count("refused"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_key_is_refused() {
    let fleet = support::start_fleet(1_000).await;
    let gateway = fleet.request_address(EntryKey(0).gateway());
    let answer = CallerRequest::new("charge").send(gateway).await.unwrap();
    assert_eq!(answer.status, StatusCode::BAD_REQUEST);
    assert_eq!(outcome(&answer), endpoint::OUTCOME_NOT_RUN);
    assert!(
        answer.text().contains("idempotency-key"),
        "{}",
        answer.text()
    );
    let unknown = CallerRequest::new("no-such-kind").send(gateway).await;
    assert_eq!(unknown.unwrap().status, StatusCode::BAD_REQUEST);
}
