//! No worker gets more tasks than its resources allow. The workers' own check of their capacity is
//! off, so that only the scheduler's accounting prevents overcommitment.

use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::worker::TaskPayload;

use crate::support;

fn small_task() -> TaskPayload {
    TaskPayload {
        run_ms: 150,
        cpu_millis: 1_000,
        memory_mib: 64,
        ..TaskPayload::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn flood_of_ten_times_the_capacity_overcommits_no_worker() {
    let mut fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    for worker in fleet.workers() {
        worker.set_capacity_check(false);
    }
    let holder = support::holder(&fleet).await;
    let mut ids = support::submit_many(&fleet, "flood", 80, &small_task()).await;
    fleet.platform().lose_answers(3);
    for worker in fleet.workers() {
        worker.lose_answers(3);
    }
    ids.extend(support::submit_many(&fleet, "more", 80, &small_task()).await);
    fleet.kill(holder);
    support::await_finished_once(&fleet, &ids).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_and_its_replacement_overcommit_no_worker() {
    let mut fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    for worker in fleet.workers() {
        worker.set_capacity_check(false);
    }
    let holder = support::holder(&fleet).await;
    // These still run when the other scheduler takes over, and count against the workers' capacity.
    let mut ids = support::submit_many(&fleet, "long", 10, &support::long_task(6_000)).await;
    for id in &ids {
        support::await_running(&fleet, id).await;
    }
    ids.extend(support::submit_many(&fleet, "flood", 100, &small_task()).await);
    fleet.freeze(holder).unwrap();
    support::await_other_holder(&fleet, holder).await;
    fleet.thaw(holder).unwrap();
    support::await_finished_once(&fleet, &ids).await;
}
