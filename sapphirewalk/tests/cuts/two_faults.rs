//! Two faults at a time: no endpoint is overcommitted, no key runs twice, no task finishes twice,
//! and no request that ran has the outcome "not run".

use std::time;

use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::fleet::LIVE_PATH;
use sapphirewalk_stand_in::fleet::READY_PATH;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;

use crate::support;

const FIRST: EntryKey = EntryKey(0);
const SECOND: EntryKey = EntryKey(1);
/// Service time of a request that still runs when its gateway has been killed.
const LONG_SERVICE_MS: u64 = 1_800;
/// Deadline of such requests: late enough that each ends before it, as endpoints have to ensure.
const LONG_DEADLINE_MS: u64 = 4_000;
/// Callers that keep the 16 slots of a failure domain in use.
const CALLERS: usize = 16;
/// Duration of the outage: longer than a shard's lease with all margins.
const OUTAGE: time::Duration = time::Duration::from_secs(5);
/// Longest time until a restarted gateway uses its share again.
const TAKEOVER_MS: u64 = 5_500;

fn plan_of_long_requests(domains: u32) -> FleetPlan {
    let mut plan = support::plan(domains);
    let bundle = support::bundle_with_deadline(&plan, "plan-1", LONG_DEADLINE_MS);
    plan.bundle = Some(bundle);
    plan
}

/// Waits until `more` further requests have started on the endpoints.
async fn await_more_runs(fleet: &Fleet, more: usize) {
    let before = fleet.request_ledger().runs().len();
    support::await_true(fleet, "the endpoints start more requests", async || {
        fleet.request_ledger().runs().len() >= before + more
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_of_the_platform_are_lost_while_a_gateway_is_killed() {
    let mut fleet = support::start(plan_of_long_requests(1)).await;
    let mut request = support::charge("each");
    request.service_ms = LONG_SERVICE_MS;
    let crowd = CallerGroup::start(&load::gateways(&fleet), CALLERS, &request);
    await_more_runs(&fleet, CALLERS).await;
    fleet.platform().lose_answers(5);
    fleet.platform().lose_requests(5);
    await_more_runs(&fleet, CALLERS).await;
    fleet.platform().lose_answers(3);
    fleet.start_daemon(FIRST.gateway()).unwrap();
    crowd.run_for(TAKEOVER_MS).await;
    let records = crowd.stop().await;
    assert!(support::count(&records, endpoint::OUTCOME_ANSWERED) > 20);
    support::assert_request_invariants(&fleet);
    support::assert_not_run_outcomes(&fleet, &records);
}

#[tokio::test(flavor = "multi_thread")]
async fn scheduler_frozen_past_its_lease_while_its_peer_is_killed() {
    let mut plan = support::plan(1);
    support::set_scheduler_millis(&mut plan, "shard_lease_ms", 3_000);
    support::set_scheduler_millis(&mut plan, "worker_lease_ms", 1_500);
    let mut fleet = support::start(plan).await;
    let frozen = support::await_holder(&fleet, "d0", None).await;
    let mut ids = support::submit_many(&fleet, FIRST, "before", 8, &support::task(6_000)).await;
    support::await_started(&fleet, &ids).await;
    fleet.freeze(frozen).unwrap();
    let killed = support::await_holder(&fleet, "d0", Some(frozen)).await;
    let more = support::submit_many(&fleet, killed.vm, "more", 8, &support::task(3_000)).await;
    support::await_started(&fleet, &more).await;
    ids.extend(more);
    fleet.kill(killed);
    fleet.thaw(frozen).unwrap();
    support::await_holder(&fleet, "d0", Some(killed)).await;
    fleet.start_daemon(killed).unwrap();
    support::await_finished_once(&fleet, &ids).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_replaced_while_its_domain_is_cut_off() {
    let mut fleet = support::start(plan_of_long_requests(2)).await;
    let ids = support::submit_many(&fleet, FIRST, "long", 6, &support::task(4_000)).await;
    support::await_started(&fleet, &ids).await;
    let mut request = CallerRequest::new("order");
    request.service_ms = LONG_SERVICE_MS;
    let crowd = CallerGroup::start(&support::gateways_of(&fleet, 0), CALLERS, &request);
    await_more_runs(&fleet, CALLERS).await;
    fleet.partition_domain(0);
    await_more_runs(&fleet, CALLERS).await;
    fleet.replace_vm(FIRST).unwrap();
    let deadline = seconds_from_now(support::WAIT_SECS);
    fleet
        .await_admin(FIRST.gateway(), LIVE_PATH, deadline)
        .await
        .unwrap();
    // Requests of the former incarnation still run when the new one connects to the platform.
    fleet.heal_domain(0);
    for key in [FIRST.gateway(), FIRST.scheduler(), SECOND.gateway()] {
        fleet.await_admin(key, READY_PATH, deadline).await.unwrap();
    }
    crowd.run_for(TAKEOVER_MS).await;
    let records = crowd.stop().await;
    support::assert_request_invariants(&fleet);
    support::assert_not_run_outcomes(&fleet, &records);
    support::await_finished_once(&fleet, &ids).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn gateway_restarted_while_the_platform_is_down() {
    let mut fleet = support::start(plan_of_long_requests(1)).await;
    let mut request = CallerRequest::new("order");
    request.service_ms = LONG_SERVICE_MS;
    let crowd = CallerGroup::start(&load::gateways(&fleet), CALLERS, &request);
    await_more_runs(&fleet, CALLERS).await;
    fleet.platform().set_down(true);
    await_more_runs(&fleet, CALLERS).await;
    fleet.start_daemon(FIRST.gateway()).unwrap();
    let deadline = seconds_from_now(support::WAIT_SECS);
    fleet
        .await_admin(FIRST.gateway(), LIVE_PATH, deadline)
        .await
        .unwrap();
    fleet.platform().set_down(false);
    fleet
        .await_admin(FIRST.gateway(), READY_PATH, deadline)
        .await
        .unwrap();
    crowd.run_for(TAKEOVER_MS).await;
    let records = crowd.stop().await;
    support::assert_request_invariants(&fleet);
    support::assert_not_run_outcomes(&fleet, &records);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_killed_while_the_platform_is_down_and_its_tasks_end() {
    let mut plan = support::plan(1);
    support::set_scheduler_millis(&mut plan, "shard_lease_ms", 3_000);
    support::set_scheduler_millis(&mut plan, "worker_lease_ms", 1_500);
    let mut fleet = support::start(plan).await;
    let holder = support::await_holder(&fleet, "d0", None).await;
    let ids = support::submit_many(&fleet, FIRST, "ends", 40, &support::task(1_000)).await;
    support::await_started(&fleet, &ids).await;
    fleet.platform().set_down(true);
    let outage_end = tokio::time::sleep(OUTAGE);
    support::await_true(&fleet, "all tasks have ended", async || {
        fleet.attempt_ledger().finished_count() == ids.len()
    })
    .await;
    fleet.kill(holder);
    outage_end.await;
    fleet.platform().set_down(false);
    support::await_finished_once(&fleet, &ids).await;
    assert_eq!(
        fleet.attempt_ledger().started_count(),
        ids.len(),
        "a task was started again"
    );
}
