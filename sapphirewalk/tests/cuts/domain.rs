//! A failure domain that is cut off and the others each continue with their own endpoints and
//! workers. After the partition heals, all have the same rollout, no endpoint was overcommitted,
//! and each task finished once.

use std::net;

use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_stand_in::worker::AttemptOutcome;
use sapphirewalk_wire::endpoint;

use crate::support;

/// The failure domain that is cut off.
const CUT: u32 = 0;
const OTHER: u32 = 1;
/// Concurrent callers, far more than the 16 slots of a failure domain.
const FLOOD_CALLERS: usize = 96;
const CUT_VM: EntryKey = EntryKey(0);
const OTHER_VM: EntryKey = EntryKey(2);

fn crowd(gateways: &[net::SocketAddr], callers: usize, service_ms: u64) -> CallerGroup {
    let mut request = CallerRequest::new("order");
    request.service_ms = service_ms;
    CallerGroup::start(gateways, callers, &request)
}

/// The number of requests that ended on the endpoints of a failure domain.
fn ended_count(fleet: &Fleet, domain: u32) -> usize {
    let prefix = format!("p{domain}-");
    let runs = fleet.request_ledger().runs();
    runs.iter()
        .filter(|run| run.endpoint.starts_with(&prefix) && run.ended_ms.is_some())
        .count()
}

/// The tasks that run on the workers of a failure domain; panics when there are none.
fn running_in(fleet: &Fleet, domain: u32) -> Vec<String> {
    let prefix = format!("w{domain}-");
    let records = fleet.attempt_ledger().records();
    let ids: Vec<String> = records
        .into_iter()
        .filter(|record| record.worker.starts_with(&prefix))
        .filter(|record| record.outcome == AttemptOutcome::Running)
        .map(|record| record.task)
        .collect();
    assert!(!ids.is_empty(), "no task runs on the workers {prefix}*");
    ids
}

async fn await_more_ended(fleet: &Fleet, domain: u32, more: usize) {
    let before = ended_count(fleet, domain);
    support::await_true(fleet, "its endpoints end more requests", async || {
        ended_count(fleet, domain) >= before + more
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_off_domain_continues_and_converges_after_the_heal() {
    let plan = support::plan(2);
    let fleet = support::start(plan.clone()).await;
    let ids = support::submit_many(&fleet, CUT_VM, "long", 12, &support::task(5_000)).await;
    support::await_started(&fleet, &ids).await;
    running_in(&fleet, CUT);
    running_in(&fleet, OTHER);

    let inside = crowd(&support::gateways_of(&fleet, CUT), 8, 20);
    let outside = crowd(&support::gateways_of(&fleet, OTHER), 8, 20);
    fleet.partition_domain(CUT);
    await_more_ended(&fleet, CUT, 200).await;
    await_more_ended(&fleet, OTHER, 200).await;

    let second = support::bundle(&plan, "plan-2");
    fleet.roll_out_bundle(&second, "second").await.unwrap();
    support::await_in_force(&fleet, &support::daemons_of(&fleet, OTHER), 2).await;
    for key in support::daemons_of(&fleet, CUT) {
        assert_eq!(support::sequence_at(&fleet, key).await, 1, "{key:?}");
    }
    let more = support::submit(&fleet, OTHER_VM, "meanwhile", &support::task(200)).await;
    support::await_finished_once(&fleet, &[more]).await;
    await_more_ended(&fleet, CUT, 200).await;

    for crowd in [inside, outside] {
        let records = crowd.stop().await;
        let answered = support::count(&records, endpoint::OUTCOME_ANSWERED);
        assert_eq!(answered, records.len(), "a request was not answered");
    }
    assert_no_attempt_stopped(&fleet);

    fleet.heal_domain(CUT);
    let daemons: Vec<_> = fleet.daemons().collect();
    support::await_in_force(&fleet, &daemons, 2).await;
    support::await_finished_once(&fleet, &ids).await;
    for id in &ids {
        assert_eq!(
            fleet.attempt_ledger().records_of(id).len(),
            1,
            "{id} was started again"
        );
    }
    support::assert_request_invariants(&fleet);
}

fn assert_no_attempt_stopped(fleet: &Fleet) {
    for record in fleet.attempt_ledger().records() {
        assert_ne!(record.outcome, AttemptOutcome::Stopped, "{record:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn flood_of_a_cut_off_domain_overcommits_no_endpoint() {
    let fleet = support::start(support::plan(2)).await;
    let flood = crowd(&support::gateways_of(&fleet, CUT), FLOOD_CALLERS, 50);
    await_more_ended(&fleet, CUT, 100).await;
    await_more_ended(&fleet, OTHER, 50).await;
    fleet.partition_domain(CUT);
    // Reports of peers that are cut off expire after a few seconds; the flood lasts longer.
    flood.run_for(4_000).await;
    await_more_ended(&fleet, CUT, 200).await;
    fleet.heal_domain(CUT);
    await_more_ended(&fleet, OTHER, 50).await;
    let records = flood.stop().await;
    support::assert_request_invariants(&fleet);
    support::assert_not_run_outcomes(&fleet, &records);
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_vms_of_one_domain_cut_off_from_each_other_overcommit_no_endpoint() {
    let fleet = support::start(support::plan(1)).await;
    let flood = crowd(&support::gateways_of(&fleet, CUT), FLOOD_CALLERS, 50);
    await_more_ended(&fleet, CUT, 100).await;
    fleet.partition_one_way(EntryKey(0), EntryKey(1));
    await_more_ended(&fleet, CUT, 400).await;
    fleet.partition(EntryKey(0), EntryKey(1));
    await_more_ended(&fleet, CUT, 400).await;
    fleet.heal(EntryKey(0), EntryKey(1));
    fleet.set_link_delay_ms(EntryKey(0), EntryKey(1), 50);
    await_more_ended(&fleet, CUT, 400).await;
    let records = flood.stop().await;
    support::assert_request_invariants(&fleet);
    support::assert_not_run_outcomes(&fleet, &records);
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_longer_than_the_leases_resumes_each_task_once() {
    let mut plan = support::plan(2);
    support::set_scheduler_millis(&mut plan, "shard_lease_ms", 3_000);
    support::set_scheduler_millis(&mut plan, "worker_lease_ms", 1_500);
    let fleet = support::start(plan).await;
    let ids = support::submit_many(&fleet, CUT_VM, "long", 12, &support::task(7_000)).await;
    support::await_started(&fleet, &ids).await;
    let cut_off = running_in(&fleet, CUT);
    fleet.partition_domain(CUT);
    support::await_true(&fleet, "the leases have expired", async || {
        let records = cut_off
            .iter()
            .map(|id| fleet.attempt_ledger().records_of(id));
        records
            .flatten()
            .all(|record| record.outcome == AttemptOutcome::Stopped)
    })
    .await;
    assert_eq!(fleet.attempt_ledger().started_count(), ids.len());
    fleet.heal_domain(CUT);
    support::await_finished_once(&fleet, &ids).await;
    for id in &cut_off {
        let records = fleet.attempt_ledger().records_of(id);
        assert_eq!(records.len(), 2, "{id} was not resumed just once");
        assert!(records[1].resumed_from.is_some(), "{id}");
    }
}
