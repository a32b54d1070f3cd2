//! A task never runs on two workers at once.
//!
//! A second attempt could start while the first still runs when the holder of the shard is killed,
//! frozen or cut off, when a worker can't be reached, or when answers are lost.

use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::worker::AttemptOutcome;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::ShardRow;
use sapphirewalk_wire::task::TaskState;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_is_replaced_and_its_running_tasks_continue() {
    let mut fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let ids = support::submit_many(&fleet, "long", 4, &support::long_task(5_000)).await;
    for id in &ids {
        support::await_running(&fleet, id).await;
    }
    let holder = support::holder(&fleet).await;
    fleet.kill(holder);
    support::await_other_holder(&fleet, holder).await;
    support::await_finished_once(&fleet, &ids).await;
    for id in &ids {
        let records = fleet.attempt_ledger().records_of(id);
        assert_eq!(
            records.len(),
            1,
            "{id} was started again instead of taken over"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_does_nothing_after_its_replacement() {
    let mut fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let payload = TaskPayload::default();
    let mut ids = support::submit_many(&fleet, "before", 10, &payload).await;
    let holder = support::holder(&fleet).await;
    fleet.freeze(holder).unwrap();
    let other = support::await_other_holder(&fleet, holder).await;
    for index in 0..20 {
        let key = format!("meanwhile-{index}");
        ids.push(support::submit(&fleet, other.vm.0, &key, &payload).await);
    }
    fleet.thaw(holder).unwrap();
    ids.extend(support::submit_many(&fleet, "after", 20, &payload).await);
    support::await_finished_once(&fleet, &ids).await;
    assert_ne!(support::holder(&fleet).await, holder);
}

#[tokio::test(flavor = "multi_thread")]
async fn holder_cut_off_from_the_platform_is_fenced_at_the_workers() {
    let fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let ids = support::submit_many(&fleet, "long", 6, &support::long_task(4_000)).await;
    for id in &ids {
        support::await_running(&fleet, id).await;
    }
    let holder = support::holder(&fleet).await;
    let name = fleet.vm_name(holder.vm).to_owned();
    fleet.platform().block_vm(&name);
    let other = support::await_other_holder(&fleet, holder).await;
    for worker in fleet.workers() {
        support::await_true(&fleet, "the workers have the higher epoch", async || {
            worker.epoch() == 2
        })
        .await;
    }
    let more = support::submit(&fleet, other.vm.0, "more", &support::long_task(500)).await;
    support::await_finished_once(&fleet, &[more]).await;
    fleet.platform().unblock_vm(&name);
    support::await_finished_once(&fleet, &ids).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_worker_keeps_its_tasks_until_its_lease_has_ended() {
    let mut fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let id = support::submit(&fleet, 0, "long", &support::long_task(60_000)).await;
    support::await_running(&fleet, &id).await;
    let first = fleet.attempt_ledger().records_of(&id)[0].clone();
    let index = support::worker_index(&fleet, &first.worker);
    let holder = support::holder(&fleet).await;
    fleet.workers()[index].set_unreachable(true);
    fleet.kill(holder);
    support::await_true(&fleet, "a second attempt runs", async || {
        fleet.attempt_ledger().records_of(&id).len() > 1
    })
    .await;
    assert_eq!(
        fleet.attempt_ledger().overlapping_tasks(),
        Vec::<String>::new()
    );
    let first = fleet.attempt_ledger().records_of(&id)[0].clone();
    assert_eq!(first.outcome, AttemptOutcome::Stopped);
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_paused_across_its_lease_end_stops_its_tasks() {
    let fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let id = support::submit(&fleet, 0, "long", &support::long_task(3_000)).await;
    support::await_running(&fleet, &id).await;
    let first = fleet.attempt_ledger().records_of(&id)[0].clone();
    let index = support::worker_index(&fleet, &first.worker);
    fleet.workers()[index].pause();
    support::await_true(&fleet, "a second attempt runs", async || {
        fleet.attempt_ledger().records_of(&id).len() > 1
    })
    .await;
    fleet.workers()[index].resume();
    support::await_finished_once(&fleet, &[id]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_start_nothing_twice() {
    let fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    support::holder(&fleet).await;
    let mut ids = Vec::new();
    for round in 0..10 {
        fleet.platform().lose_answers(2);
        let prefix = format!("answers-{round}");
        ids.extend(support::submit_many(&fleet, &prefix, 3, &TaskPayload::default()).await);
        fleet.platform().lose_requests(1);
        let prefix = format!("requests-{round}");
        ids.extend(support::submit_many(&fleet, &prefix, 3, &TaskPayload::default()).await);
        for worker in fleet.workers() {
            worker.lose_answers(1);
        }
    }
    support::await_finished_once(&fleet, &ids).await;
    for id in &ids {
        assert_eq!(support::task_row(&fleet, id).attempt, 1, "{id}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn schedulers_racing_for_a_shard_start_nothing_twice() {
    let fleet = Fleet::start(support::plan(3, 3)).await.unwrap();
    support::holder(&fleet).await;
    let mut ids = Vec::new();
    for round in 0..6 {
        let prefix = format!("race-{round}");
        ids.extend(support::submit_many(&fleet, &prefix, 10, &support::long_task(300)).await);
        clear_shard_holder(&fleet);
    }
    support::await_finished_once(&fleet, &ids).await;
    for id in &ids {
        assert_eq!(support::task_row(&fleet, id).state, TaskState::Finished);
    }
}

/// Removes the holder from the row of the shard without its knowledge, so that it competes for the
/// shard with the other schedulers.
fn clear_shard_holder(fleet: &Fleet) {
    let key = row::shard_key("d0", 0);
    let found = fleet.platform().row(&key).expect("the shard has a row");
    let mut shard: ShardRow = serde_json::from_str(&found.value).expect("a valid shard row");
    shard.holder = None;
    let value = serde_json::to_string(&shard).expect("a row serializes to JSON");
    fleet.platform().put_row(&key, &value);
}
