//! Runs whose leases end because their workers are cut off from entry VMs and store.

use std::time;

use sapphirewalk_platform::stand_in::WorkerStandIn;
use sapphirewalk_platform::store;

use crate::fleet::EntryFleet;

/// Job with one task, which runs for longer than the test.
const JOB: u64 = 620;

/// The worker that runs the task of [`JOB`].
fn busy_worker(fleet: &EntryFleet) -> Option<usize> {
    let runs = |worker: &WorkerStandIn| !worker.running().is_empty();
    fleet.workers.iter().position(runs)
}

/// Guards against a job that is shown as failed without a failed run, because its workers were cut
/// off, and left out of the platform's list, until its leases had ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_workers_are_cut_off_time_and_again_is_not_given_up() {
    let fleet = EntryFleet::start("cut", 2).await;
    assert_eq!(fleet.submit(0, JOB, 600_000, &[1]).await, 200);
    for round in 0..4 {
        fleet
            .until("the task runs", async |fleet| {
                fleet.starts(JOB) > round && busy_worker(fleet).is_some()
            })
            .await;
        let number = busy_worker(&fleet).expect("a worker runs the task");
        let worker = &fleet.workers[number];
        worker.set_cut_off(true);
        fleet
            .store
            .remove(store::WORKER_TABLE, &format!("w{number}"));
        // The stand-in notices the end of its lease at the next call.
        tokio::time::sleep(time::Duration::from_millis(8_500)).await;
        worker.set_cut_off(false);
        worker.register(&fleet.store, "ready");
        fleet
            .until("the run has lapsed", async |fleet| {
                fleet.workers[number].running().is_empty()
            })
            .await;
        assert_eq!(fleet.state(1, JOB).await, "running", "round {round}");
    }
    let lapsed = fleet.workers.iter().map(WorkerStandIn::lapsed_runs);
    assert_eq!(lapsed.map(|runs| runs.len()).sum::<usize>(), 4);
    fleet.assert_no_duplicate_runs();
}
