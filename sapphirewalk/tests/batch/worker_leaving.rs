//! From 3 s after its leaving notice a worker gets no new task from any scheduler.
//!
//! The VM list lags by 30 s, so schedulers have to use the signal of the worker itself, or the
//! missing answer when it is cut off.

use std::time;

use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::worker::TaskPayload;

use crate::support;

/// Time after the leaving notice from which a worker gets no new task.
const NOTICE: time::Duration = time::Duration::from_secs(3);
/// Lag of the VM list, in milliseconds.
const LIST_LAG_MS: u64 = 30_000;

/// The number of attempts that a worker has started.
fn starts_on(fleet: &Fleet, worker: &str) -> usize {
    fleet
        .attempt_ledger()
        .records()
        .iter()
        .filter(|record| record.worker == worker)
        .count()
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_worker_gets_nothing_new_from_any_scheduler() {
    let mut plan = support::plan(2, 2);
    support::set_scheduler_millis(&mut plan, "worker_renew_ms", 1_500);
    support::set_scheduler_millis(&mut plan, "worker_lease_ms", 6_000);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let holder = support::holder(&fleet).await;
    let payload = TaskPayload::default();
    let ids = support::submit_many(&fleet, "before", 20, &payload).await;
    support::await_finished_once(&fleet, &ids).await;
    fleet.platform().set_vm_list_lag_ms(LIST_LAG_MS);
    let name = fleet.workers()[0].plan().name.clone();
    fleet.workers()[0].set_leaving(true);
    tokio::time::sleep(NOTICE).await;
    let started = starts_on(&fleet, &name);
    let ids = support::submit_many(&fleet, "after", 30, &payload).await;
    support::await_finished_once(&fleet, &ids).await;
    assert_eq!(starts_on(&fleet, &name), started);

    // For the next holder, too, the VM list shows the worker as live.
    fleet.kill(holder);
    support::await_other_holder(&fleet, holder).await;
    let ids: Vec<String> = {
        let other = support::holder(&fleet).await;
        let mut ids = Vec::new();
        for index in 0..30 {
            let key = format!("next-{index}");
            ids.push(support::submit(&fleet, other.vm.0, &key, &payload).await);
        }
        ids
    };
    support::await_finished_once(&fleet, &ids).await;
    assert_eq!(starts_on(&fleet, &name), started);
}

#[tokio::test(flavor = "multi_thread")]
async fn worker_that_left_without_a_notice_gets_nothing_new() {
    let fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    support::holder(&fleet).await;
    fleet.platform().set_vm_list_lag_ms(LIST_LAG_MS);
    let name = fleet.workers()[0].plan().name.clone();
    fleet.workers()[0].set_unreachable(true);
    tokio::time::sleep(NOTICE).await;
    let ids = support::submit_many(&fleet, "after", 30, &TaskPayload::default()).await;
    support::await_finished_once(&fleet, &ids).await;
    assert_eq!(starts_on(&fleet, &name), 0);
    for id in &ids {
        assert_eq!(support::task_row(&fleet, id).attempt, 1);
    }
}
