//! Logs that nobody reads hold nothing up.

use crate::fleet::EntryFleet;

/// Jobs of the flood: their lines are several times what a pipe holds.
const JOBS: u64 = 300;

#[tokio::test(flavor = "multi_thread")]
async fn a_log_that_nobody_reads_holds_up_no_request() {
    let mut fleet = EntryFleet::start("unread", 1).await;
    fleet.entries[0].restart_unread();
    fleet
        .until("the entry VM is ready", async |fleet| {
            fleet.is_ready(0).await
        })
        .await;
    for id in 0..JOBS {
        assert_eq!(fleet.submit(0, 1_000 + id, 20, &[2, 1]).await, 200);
    }
    for id in 0..JOBS {
        fleet.until_state(0, 1_000 + id, "completed").await;
    }
    let metrics = fleet.metrics(0).await;
    assert!(
        metrics.contains("sapphirewalk_jobs_accepted_total 300"),
        "{metrics}"
    );
}
