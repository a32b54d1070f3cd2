//! Jobs past their retention, whose rows can't be deleted at once.

use std::time;

use crate::fleet::EntryFleet;

/// Retention of ended jobs in these tests, in seconds.
const RETENTION_S: f64 = 1.0;
/// Time after which a leader has tried several times to delete jobs that have ended.
const EXPIRY_TIME: time::Duration = time::Duration::from_millis(4_000);
/// Identifiers of the jobs, which are in different partitions.
const JOBS: [u64; 4] = [600, 601, 602, 603];

/// Starts an entry VM that keeps ended jobs for a short time, and lets it complete all jobs.
async fn complete_jobs(test: &str, retention_s: f64) -> EntryFleet {
    let mut fleet = EntryFleet::start(test, 1).await;
    fleet.set_retention(0, retention_s);
    fleet.restart_leader(0).await;
    for id in JOBS {
        assert_eq!(fleet.submit(0, id, 100, &[2]).await, 200);
    }
    for id in JOBS {
        fleet.until_state(0, id, "completed").await;
    }
    fleet
}

/// Waits until the store has no row of a job, and asserts that no task was started again.
async fn assert_forgotten(fleet: &EntryFleet) {
    fleet
        .until("all rows are deleted", async |fleet| {
            let tables = ["jobs", "progress"].into_iter();
            tables
                .map(|table| fleet.store.keys(table).len())
                .sum::<usize>()
                == 0
        })
        .await;
    for id in JOBS {
        assert_eq!(fleet.starts(id), 2, "job {id}");
    }
}

/// Guards against done jobs that run again, because a deletion of their rows had failed after that
/// of their progress.
#[tokio::test(flavor = "multi_thread")]
async fn done_jobs_whose_rows_cannot_be_deleted_do_not_run_again() {
    let mut fleet = complete_jobs("undeleted", RETENTION_S).await;
    fleet.store.set_read_only(Some("jobs"));
    tokio::time::sleep(EXPIRY_TIME).await;
    fleet.store.set_read_only(None);
    fleet.restart_leader(0).await;
    tokio::time::sleep(EXPIRY_TIME).await;
    assert_forgotten(&fleet).await;
}

/// Guards against rows of progress that stay for good, because their leader ended before it deleted
/// them.
#[tokio::test(flavor = "multi_thread")]
async fn progress_of_deleted_jobs_is_deleted_by_a_later_leader() {
    let mut fleet = complete_jobs("orphaned", 60.0).await;
    fleet.store.delete_table("jobs");
    fleet.restart_leader(0).await;
    assert_forgotten(&fleet).await;
}

/// Guards against the loss of the progress of a job whose row only a later version can read.
#[tokio::test(flavor = "multi_thread")]
async fn progress_of_an_unreadable_job_is_kept() {
    let mut fleet = complete_jobs("unreadable", 60.0).await;
    for id in JOBS {
        let part = (id % 16).to_string();
        let value = b"\xffunreadable".to_vec();
        fleet
            .store
            .put_in("jobs", &part, &format!("{id:016x}"), value);
    }
    fleet.restart_leader(0).await;
    tokio::time::sleep(EXPIRY_TIME).await;
    assert_eq!(fleet.store.keys("progress").len(), JOBS.len());
}
