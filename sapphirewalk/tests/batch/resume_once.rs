//! A task that was evicted or whose worker was lost resumes exactly once, from its last checkpoint.
//!
//! A second resume is possible when the holder of the shard is killed while it resumes the task.

use std::time;

use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::worker::AttemptOutcome;
use sapphirewalk_stand_in::worker::LedgerAttempt;
use sapphirewalk_wire::task::TaskState;

use crate::support;

/// Time that an attempt runs before it may be evicted.
const MIN_RESIDENCE: time::Duration = time::Duration::from_secs(20);

/// The progress, in milliseconds, in the name of the checkpoint from which an attempt resumed; 0
/// for an attempt without one.
fn checkpoint_ms(record: &LedgerAttempt) -> u64 {
    let name = record.resumed_from.as_deref().unwrap_or_default();
    name.rsplit('@')
        .next()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

#[tokio::test(flavor = "multi_thread")]
async fn task_of_a_lost_worker_resumes_once_from_its_checkpoint() {
    let mut fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let id = support::submit(&fleet, 0, "long", &support::long_task(2_000)).await;
    support::await_running(&fleet, &id).await;
    tokio::time::sleep(time::Duration::from_millis(1_200)).await;
    let first = fleet.attempt_ledger().records_of(&id)[0].clone();
    let index = support::worker_index(&fleet, &first.worker);
    fleet.replace_worker(index).await.unwrap();
    support::await_finished_once(&fleet, std::slice::from_ref(&id)).await;
    let records = fleet.attempt_ledger().records_of(&id);
    assert_eq!(records.len(), 2);
    assert_eq!(records[0].outcome, AttemptOutcome::WorkerLost);
    assert!(checkpoint_ms(&records[1]) >= 500, "{records:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn task_resumes_once_when_the_holder_is_killed_during_the_resume() {
    for delay_ms in [0, 50, 150, 300, 600, 1_000] {
        let mut fleet = Fleet::start(support::plan(2, 3)).await.unwrap();
        let ids = support::submit_many(&fleet, "long", 3, &support::long_task(1_500)).await;
        for id in &ids {
            support::await_running(&fleet, id).await;
        }
        let holder = support::holder(&fleet).await;
        let first = fleet.attempt_ledger().records_of(&ids[0])[0].clone();
        let index = support::worker_index(&fleet, &first.worker);
        fleet.replace_worker(index).await.unwrap();
        tokio::time::sleep(time::Duration::from_millis(delay_ms)).await;
        fleet.kill(holder);
        support::await_finished_once(&fleet, &ids).await;
        let records = fleet.attempt_ledger().records_of(&ids[0]);
        let vanished = records
            .iter()
            .filter(|record| record.outcome == AttemptOutcome::WorkerLost);
        assert_eq!(vanished.count(), 1, "{records:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn evicted_tasks_resume_once_from_their_checkpoints() {
    let plan = support::with_urgent_kind(support::plan(2, 2));
    let fleet = Fleet::start(plan).await.unwrap();
    let ids = support::submit_many(&fleet, "fill", 16, &support::long_task(26_000)).await;
    for id in &ids {
        support::await_running(&fleet, id).await;
    }
    tokio::time::sleep(MIN_RESIDENCE).await;
    fleet.platform().lose_answers(2);
    let urgent = fleet::task_submission("urgent", "pour", &support::long_task(500));
    let urgent = support::submit_as(&fleet, 0, &urgent).await;
    support::await_state(&fleet, &urgent, TaskState::Finished).await;
    support::await_finished_once(&fleet, &ids).await;
    let rows: Vec<_> = ids.iter().map(|id| support::task_row(&fleet, id)).collect();
    let evicted: Vec<_> = rows.iter().filter(|row| row.evictions > 0).collect();
    assert!(
        !evicted.is_empty(),
        "no task was evicted for the urgent one"
    );
    for id in &ids {
        let records = fleet.attempt_ledger().records_of(id);
        let row = support::task_row(&fleet, id);
        assert_eq!(records.len() as u64, row.attempt, "{records:?}");
        if row.evictions > 0 {
            assert_eq!(records.len() as u32, row.evictions + 1, "{records:?}");
            assert!(checkpoint_ms(&records[1]) >= 500, "{records:?}");
        }
    }
}
