//! A graceful shutdown of a gateway completes all requests in flight and releases its seat at once.
//!
//! Requests still arrive after SIGTERM: from callers whose load balancer has not noticed it yet,
//! and from the peer gateway, which forwards until it learns of the shutdown.

mod support;

use std::net;
use std::sync;
use std::sync::atomic;

use tokio::task;

use sapphirewalk_stand_in::client;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::READY_PATH;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_stand_in::load::CallRecord;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;
use sapphirewalk_wire::row::SeatRow;

/// A request that takes 3 s.
fn slow_request(name: &str, kind: &str) -> CallerRequest {
    let mut request = CallerRequest::new(kind);
    request.service_ms = 3_000;
    request.request_id = Some(name.to_owned());
    request.idempotency_key = Some(format!("key-{name}"));
    request
}

fn seats(fleet: &Fleet) -> Vec<SeatRow> {
    let rows = fleet.platform().rows("seat/");
    rows.iter()
        .map(|row| serde_json::from_str(&row.value).expect("a seat row"))
        .collect()
}

async fn shut_down(fleet: &mut Fleet, key: DaemonKey) {
    fleet.terminate(key).expect("the gateway is running");
    await_exit(fleet, key).await;
}

async fn await_exit(fleet: &mut Fleet, key: DaemonKey) {
    let status = fleet.await_exit(key, seconds_from_now(20)).await;
    let status = status.expect("the gateway exits");
    assert!(status.success(), "{status}");
}

fn assert_answered(record: &CallRecord) {
    assert_eq!(
        record.header(endpoint::OUTCOME_HEADER),
        endpoint::OUTCOME_ANSWERED,
        "{record:?}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_several_seconds_under_load() {
    let mut fleet = support::start_fleet(5_000).await;
    let first = EntryKey(0).gateway();
    let gateway = fleet.request_address(first);
    let mut calls = task::JoinSet::new();
    for index in 0..6 {
        let kind = if index % 2 == 0 { "order" } else { "charge" };
        let request = slow_request(&format!("slow-{index}"), kind);
        calls.spawn(async move {
            let answer = request.send(gateway).await;
            CallRecord { request, answer }
        });
    }
    // Sent to the other gateway, which forwards to this one until it learns of the shutdown.
    let request = CallerRequest::new("order");
    let other = fleet.request_address(EntryKey(1).gateway());
    let crowd = CallerGroup::start(&[other], 40, &request);
    crowd.run_for(300).await;
    fleet.terminate(first).expect("the gateway is running");
    // Sent to the stopping gateway, as by a load balancer that has not noticed the shutdown yet.
    let late = CallerGroup::start(&[gateway], 4, &request);
    late.run_for(1_500).await;
    for record in late.stop().await {
        assert_answered(&record);
    }
    await_exit(&mut fleet, first).await;
    for record in calls.join_all().await {
        assert_answered(&record);
    }
    for record in crowd.stop().await {
        assert_answered(&record);
    }
    let released = seats(&fleet)
        .iter()
        .filter(|row| row.holder.is_none())
        .count();
    assert_eq!(released, 1);
    assert!(seats(&fleet).iter().any(|row| row.holder.is_some()));
    fleet.restart(first).await.unwrap();
    await_until(
        seconds_from_now(4),
        "the released seat is usable",
        async || {
            let state = fleet.state(first).await.unwrap();
            let usable_from_ms = state["sections"]["seat"]["usable_from_ms"].as_u64();
            usable_from_ms.is_some_and(|from_ms| from_ms <= state["now_ms"].as_u64().unwrap())
        },
    )
    .await
    .unwrap();
}

/// The address of a gateway's readiness probe, and the address at which it serves requests.
type GatewayAddress = (net::SocketAddr, net::SocketAddr);

/// Sends requests one after the other, each to a gateway whose readiness probe succeeds, as the
/// platform's load balancer does. Ends when `stop` is set.
async fn call_ready(
    gateways: Vec<GatewayAddress>,
    caller: usize,
    stop: sync::Arc<atomic::AtomicBool>,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !stop.load(atomic::Ordering::Acquire) {
        let first = records.len() % gateways.len();
        let in_turn = gateways.iter().cycle().skip(first).take(gateways.len());
        for (admin, gateway) in in_turn {
            let ready = client::get(*admin, READY_PATH).await;
            if ready.is_ok_and(|answer| answer.status.is_success()) {
                records.push(call(*gateway, caller, records.len()).await);
                break;
            }
        }
    }
    records
}

async fn call(gateway: net::SocketAddr, caller: usize, count: usize) -> CallRecord {
    let kind = if count.is_multiple_of(2) {
        "order"
    } else {
        "charge"
    };
    let mut request = slow_request(&format!("rolling-{caller}-{count}"), kind);
    request.service_ms = 300;
    let answer = request.send(gateway).await;
    CallRecord { request, answer }
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_under_load() {
    let mut fleet = support::start_fleet(5_000).await;
    let gateways: Vec<GatewayAddress> = fleet
        .vms()
        .map(|vm| {
            let key = vm.gateway();
            (fleet.admin_address(key), fleet.request_address(key))
        })
        .collect();
    let stop = sync::Arc::new(atomic::AtomicBool::new(false));
    let mut callers = task::JoinSet::new();
    for caller in 0..6 {
        callers.spawn(call_ready(gateways.clone(), caller, stop.clone()));
    }
    for vm in fleet.vms() {
        shut_down(&mut fleet, vm.gateway()).await;
        fleet.restart(vm.gateway()).await.unwrap();
    }
    stop.store(true, atomic::Ordering::Release);
    let records: Vec<CallRecord> = callers.join_all().await.into_iter().flatten().collect();
    assert!(records.len() > 20, "{}", records.len());
    for record in &records {
        assert_answered(record);
    }
    assert!(fleet.request_ledger().duplicate_keys().is_empty());
}
