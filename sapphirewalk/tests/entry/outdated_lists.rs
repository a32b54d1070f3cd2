//! Workers that read their clock some time after they have listed their runs.

use std::time;

use crate::fleet::EntryFleet;

const JOBS: u64 = 40;
const FIRST_JOB: u64 = 700;
const TASKS: u32 = 4;

/// Guards against a second run of a task after a list that is older than the first run.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_missing_from_outdated_lists_run_once() {
    let fleet = EntryFleet::start("outdated", 1).await;
    for worker in &fleet.workers {
        worker.set_list_lag(time::Duration::from_millis(30));
    }
    for id in FIRST_JOB..FIRST_JOB + JOBS {
        assert_eq!(fleet.submit(0, id, 300, &[TASKS]).await, 200);
        tokio::time::sleep(time::Duration::from_millis(40)).await;
    }
    for id in FIRST_JOB..FIRST_JOB + JOBS {
        fleet.until_state(0, id, "completed").await;
        assert_eq!(fleet.starts(id), TASKS as usize, "job {id}");
    }
    fleet.assert_no_duplicate_runs();
}
