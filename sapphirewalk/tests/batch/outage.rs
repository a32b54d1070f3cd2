//! While the platform is down, running tasks continue and submissions, which need a row, are
//! refused.

use std::time;

use hyper::StatusCode;

use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::worker::AttemptOutcome;
use sapphirewalk_stand_in::worker::TaskPayload;

use crate::support;

/// Duration of the outage: longer than a worker's lease, shorter than a shard's.
const OUTAGE: time::Duration = time::Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn running_tasks_go_on_and_submissions_are_refused() {
    let fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let ids = support::submit_many(&fleet, "long", 4, &support::long_task(4_500)).await;
    for id in &ids {
        support::await_running(&fleet, id).await;
    }
    fleet.platform().set_down(true);
    let until = time::Instant::now() + OUTAGE;
    let submission = fleet::task_submission("refused", "stock-plan", &TaskPayload::default());
    for vm in [0, 1] {
        let address = fleet.request_address(EntryKey(vm).scheduler());
        let answer = fleet::submit_task(address, &submission).await.unwrap();
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let text = answer.text();
        assert!(text.contains("never lost or doubled"), "{text}");
        assert!(text.contains(r#""accepted":"not_by_this_call""#), "{text}");
    }
    tokio::time::sleep_until(until.into()).await;
    let started = fleet.attempt_ledger().records().len();
    assert_eq!(started, 4, "a task was started during the outage");
    for id in &ids {
        let records = fleet.attempt_ledger().records_of(id);
        assert_eq!(records.len(), 1);
        assert_ne!(
            records[0].outcome,
            AttemptOutcome::Stopped,
            "{id} was stopped"
        );
    }
    fleet.platform().set_down(false);
    support::await_finished_once(&fleet, &ids).await;
    assert_eq!(fleet.attempt_ledger().records().len(), 4);
    assert!(
        fleet.platform().rows("task/").len() == 4,
        "the refused submission left a row"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn recovery_takes_few_transactions_after_a_restart_of_the_holder() {
    let mut fleet = Fleet::start(support::plan(2, 4)).await.unwrap();
    let holder = support::holder(&fleet).await;
    let ids = support::submit_many(&fleet, "short", 30, &support::long_task(2_500)).await;
    support::await_true(&fleet, "all tasks are running", async || {
        fleet.attempt_ledger().records().len() == ids.len()
    })
    .await;
    fleet.platform().set_down(true);
    tokio::time::sleep(time::Duration::from_millis(1_000)).await;
    fleet.kill(holder);
    fleet.start_daemon(holder).unwrap();
    tokio::time::sleep(time::Duration::from_secs(4)).await;
    let before = fleet.platform().counters();
    fleet.platform().set_down(false);
    support::await_finished_once(&fleet, &ids).await;
    let after = fleet.platform().counters();
    let transactions = after.transactions.total - before.transactions.total;
    println!("{} ends recorded in {transactions} transactions", ids.len());
    assert!(transactions < 60, "{transactions}");
    assert_eq!(fleet.attempt_ledger().records().len(), ids.len());
}
