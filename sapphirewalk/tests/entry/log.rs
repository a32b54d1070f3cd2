//! A full log pipe must not block the process.
//!
//! When no reader drains the pipe behind standard output, a blocking write would stop the thread
//! that logs, and its requests with it.

use crate::fleet::EntryFleet;

/// Number of jobs: their log lines are several times the capacity of a pipe.
const JOBS: u64 = 300;

#[tokio::test(flavor = "multi_thread")]
async fn a_full_log_pipe_blocks_no_request() {
    let mut fleet = EntryFleet::start("unread", 1).await;
    fleet.entries[0].restart_with_unread_log();
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
