//! Tasks and quotas move to the shards and failure domains whose workers have room, and shards move
//! to running schedulers.

use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::worker::AttemptOutcome;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_wire::platform::VmState;
use sapphirewalk_wire::task::TaskState;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn task_of_a_shard_without_workers_runs_in_another() {
    // All workers of a failure domain are in one rack, so some shards have no worker.
    let mut plan = support::with_shards(support::plan(2, 2), 3);
    support::set_scheduler_millis(&mut plan, "move_wait_ms", 200);
    let fleet = Fleet::start(plan).await.unwrap();
    let payload = TaskPayload::default();
    let ids = support::submit_many(&fleet, "any", 12, &payload).await;
    fleet.platform().lose_answers(3);
    for id in &ids {
        support::await_shown(&fleet, 1, id, TaskState::Finished).await;
    }
    assert_eq!(
        fleet.attempt_ledger().finished_twice(),
        Vec::<String>::new()
    );
    assert_eq!(fleet.attempt_ledger().records().len(), ids.len());
    let moved = ids
        .iter()
        .filter(|id| support::task_row(&fleet, id).moved_to.is_some());
    assert!(
        moved.count() > 0,
        "no task was moved from a shard without workers"
    );
    let again = support::submit_many(&fleet, "any", 12, &payload).await;
    assert_eq!(again, ids);
    assert_eq!(fleet.attempt_ledger().records().len(), ids.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn quota_of_one_task_reaches_the_shard_that_needs_it() {
    let mut plan = support::plan(1, 1);
    plan.domains = 2;
    let mut plan = support::with_shards(plan, 1);
    support::set_scheduler_millis(&mut plan, "quota_ms", 300);
    support::edit_bundle(&mut plan, |document| {
        for team in &mut document.teams {
            team.tasks = 1;
        }
    });
    let fleet = Fleet::start(plan).await.unwrap();
    let ids = support::submit_many(&fleet, "narrow", 6, &support::long_task(300)).await;
    for id in &ids {
        support::await_shown(&fleet, 0, id, TaskState::Finished).await;
    }
    assert_eq!(fleet.attempt_ledger().records().len(), ids.len());
    assert_eq!(
        peak_concurrency(&fleet),
        1,
        "the team's quota is one task at a time"
    );
}

/// The largest number of attempts that ran at the same time on all workers.
fn peak_concurrency(fleet: &Fleet) -> usize {
    let records = fleet.attempt_ledger().records();
    let spans: Vec<_> = records
        .iter()
        .flat_map(|record| record.spans.clone())
        .collect();
    let running_at = |at_ms: u64| {
        spans
            .iter()
            .filter(|span| {
                span.started_ms <= at_ms && span.ended_ms.is_none_or(|end_ms| at_ms < end_ms)
            })
            .count()
    };
    spans
        .iter()
        .map(|span| running_at(span.started_ms))
        .max()
        .unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn shards_of_a_failure_domain_without_entry_vms_are_taken_over() {
    let mut plan = support::plan(1, 2);
    plan.domains = 2;
    let mut fleet = Fleet::start(support::with_shards(plan, 1)).await.unwrap();
    let long = support::submit_many(&fleet, "long", 8, &support::long_task(6_000)).await;
    for id in &long {
        support::await_running(&fleet, id).await;
    }
    let lost = EntryKey(1);
    fleet.kill(lost.gateway());
    fleet.kill(lost.scheduler());
    let name = fleet.vm_name(lost).to_owned();
    fleet.platform().set_vm_state(&name, VmState::Gone);
    let mut ids = Vec::new();
    for index in 0..12 {
        let key = format!("after-{index}");
        ids.push(support::submit(&fleet, 0, &key, &TaskPayload::default()).await);
    }
    ids.extend(long);
    assert!(ids.iter().any(|id| id.starts_with("d1.")));
    support::await_finished_once(&fleet, &ids).await;
    for id in &ids {
        assert_eq!(fleet.attempt_ledger().records_of(id).len(), 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_a_lost_failure_domain_finish_in_another() {
    let mut plan = support::plan(1, 2);
    plan.domains = 2;
    let mut plan = support::with_shards(plan, 1);
    support::set_scheduler_millis(&mut plan, "move_wait_ms", 300);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let ids = support::submit_many(&fleet, "long", 12, &support::long_task(3_000)).await;
    for id in &ids {
        support::await_running(&fleet, id).await;
    }
    assert!(ids.iter().any(|id| id.starts_with("d1.")));
    let lost = EntryKey(1);
    fleet.kill(lost.gateway());
    fleet.kill(lost.scheduler());
    for index in [2, 3] {
        // The attempts on a replaced worker are lost.
        fleet.replace_worker(index).await.unwrap();
    }
    for name in [fleet.vm_name(lost), "w1-0", "w1-1"] {
        fleet.platform().set_vm_state(name, VmState::Gone);
    }
    for id in &ids {
        support::await_shown(&fleet, 0, id, TaskState::Finished).await;
    }
    assert_eq!(
        fleet.attempt_ledger().finished_twice(),
        Vec::<String>::new()
    );
    let finished = fleet
        .attempt_ledger()
        .records()
        .iter()
        .filter(|record| record.outcome == AttemptOutcome::Finished)
        .count();
    assert_eq!(finished, ids.len());
}

#[tokio::test(flavor = "multi_thread")]
async fn shards_are_spread_evenly_again_after_a_restart() {
    let mut plan = support::with_shards(support::plan(2, 2), 4);
    support::set_scheduler_millis(&mut plan, "rebalance_ms", 500);
    let mut fleet = Fleet::start(plan).await.unwrap();
    support::await_true(&fleet, "each scheduler holds two shards", async || {
        support::held_shards(&fleet) == [2, 2]
    })
    .await;
    fleet.kill(EntryKey(0).scheduler());
    support::await_true(&fleet, "one scheduler holds four shards", async || {
        support::held_shards(&fleet) == [0, 4]
    })
    .await;
    fleet.restart(EntryKey(0).scheduler()).await.unwrap();
    support::await_true(&fleet, "each holds two shards again", async || {
        support::held_shards(&fleet) == [2, 2]
    })
    .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn moved_task_comes_back_when_its_new_failure_domain_is_lost() {
    let mut plan = support::plan(1, 1);
    plan.domains = 2;
    let mut plan = support::with_shards(plan, 1);
    support::set_scheduler_millis(&mut plan, "move_wait_ms", 300);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let mut ids = Vec::new();
    while moved_rows(&fleet, "~1").is_empty() {
        assert!(
            ids.len() < 16,
            "no task was moved before both failure domains were full"
        );
        let key = format!("back-{}", ids.len());
        ids.push(support::submit(&fleet, 0, &key, &support::long_task(4_000)).await);
        support::await_true(&fleet, "the task is running", async || {
            fleet.attempt_ledger().records().len() == ids.len()
        })
        .await;
    }
    let moved = moved_rows(&fleet, "~1").remove(0);
    let lost = u32::from(moved.starts_with("task/d1."));
    fleet.kill(EntryKey(lost).gateway());
    fleet.kill(EntryKey(lost).scheduler());
    let worker = format!("w{lost}-0");
    fleet.replace_worker(lost as usize).await.unwrap();
    for name in [fleet.vm_name(EntryKey(lost)), &worker] {
        fleet.platform().set_vm_state(name, VmState::Gone);
    }
    for id in &ids {
        support::await_shown(&fleet, 1 - lost, id, TaskState::Finished).await;
    }
    assert!(
        !moved_rows(&fleet, "~2").is_empty(),
        "the task did not return"
    );
    assert_eq!(
        fleet.attempt_ledger().overlapping_tasks(),
        Vec::<String>::new()
    );
}

/// The keys of task rows with this suffix: `~` and the number of moves.
fn moved_rows(fleet: &Fleet, suffix: &str) -> Vec<String> {
    let rows = fleet.platform().rows("task/").into_iter();
    rows.map(|row| row.key)
        .filter(|key| key.ends_with(suffix))
        .collect()
}
