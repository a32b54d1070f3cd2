//! Jobs from submission to their final state, and invalid requests.

use hyper::Method;
use sapphirewalk_platform::store;

use crate::fleet;
use crate::fleet::EntryFleet;

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_accepted_run_in_order_and_completed_at_every_entry_vm() {
    let fleet = EntryFleet::start("order", 3).await;
    assert_eq!(fleet.submit(0, 7, 150, &[3, 2]).await, 200);
    for number in 0..3 {
        fleet.until_state(number, 7, "completed").await;
    }
    assert_eq!(fleet.starts(7), 5);
    fleet.assert_no_duplicate_runs();
    // A repeated submission at another entry VM starts nothing.
    assert_eq!(fleet.submit(1, 7, 150, &[3, 2]).await, 200);
    assert_eq!(fleet.state(2, 7).await, "completed");
    assert_eq!(fleet.starts(7), 5);
    let metrics = fleet.metrics(0).await;
    assert!(
        metrics.contains("sapphirewalk_jobs_accepted_total 1"),
        "{metrics}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cancelled_job_is_stopped() {
    let fleet = EntryFleet::start("cancel", 2).await;
    assert_eq!(fleet.submit(0, 8, 60_000, &[4]).await, 200);
    fleet
        .until("the job is running", async |fleet| fleet.running(8) == 4)
        .await;
    let path = format!("/bulk/{:016x}", 8);
    let (status, ..) = fleet.call(1, Method::DELETE, &path, String::new()).await;
    assert_eq!(status, 200);
    fleet
        .until("the job is stopped", async |fleet| fleet.running(8) == 0)
        .await;
    assert_eq!(fleet.state(0, 8).await, "cancelled");
    let (status, ..) = fleet
        .call(1, Method::DELETE, "/bulk/00000000000000ff", String::new())
        .await;
    assert_eq!(status, 410);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_task_keeps_failing_ends_as_failed() {
    let fleet = EntryFleet::start("failing", 1).await;
    // The stand-in fails each run whose specification is "0".
    assert_eq!(fleet.submit(0, 9, 0, &[1]).await, 200);
    fleet.until_state(0, 9, "failed").await;
    assert_eq!(fleet.starts(9), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_requests_are_refused_and_a_later_valid_job_completes() {
    let fleet = EntryFleet::start("bad", 1).await;
    let long = "x".repeat(4_001);
    let cycle = r#"{"spec":"1","phases":[{"count":1,"cpu":1,"depends_on":[0]}]}"#;
    let cases = [
        (
            Method::POST,
            "/bulk/0000000000000001",
            "{".to_owned(),
            400,
            "unreadable",
        ),
        (
            Method::POST,
            "/bulk/0000000000000001",
            "{}".to_owned(),
            400,
            "no steps",
        ),
        (
            Method::POST,
            "/bulk/0000000000000001",
            cycle.to_owned(),
            400,
            "waits for itself",
        ),
        (
            Method::POST,
            "/bulk/0000000000000001",
            format!(r#"{{"spec":"{long}","phases":[{{"count":1}}]}}"#),
            400,
            "over 4000 bytes",
        ),
        (
            Method::POST,
            "/bulk/0000000000000001",
            r#"{"spec":"1","phases":[{"count":0}]}"#.to_owned(),
            400,
            "no tasks",
        ),
        (
            Method::POST,
            "/bulk/xyz",
            fleet::job(1, &[1]).to_string(),
            400,
            "16 hexadecimal",
        ),
        (
            Method::PUT,
            "/bulk/0000000000000001",
            String::new(),
            400,
            "POST, GET or DELETE",
        ),
        (
            Method::POST,
            "/nowhere/0000000000000001",
            String::new(),
            404,
            "",
        ),
        (
            Method::POST,
            "/bulk/0000000000000001",
            "x".repeat(300_000),
            413,
            "",
        ),
        (
            Method::GET,
            "/bulk/0000000000000001",
            String::new(),
            410,
            "",
        ),
    ];
    for (method, path, body, expected, text) in cases {
        let (status, value, _) = fleet.call(0, method.clone(), path, body).await;
        assert_eq!(status, expected, "{method} {path}: {value}");
        let error = value["error"].as_str().unwrap_or_default();
        assert!(error.contains(text), "{method} {path}: {error}");
    }
    assert_eq!(fleet.submit(0, 1, 50, &[1]).await, 200);
    fleet.until_state(0, 1, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_start_whose_answer_is_lost_is_not_run_twice() {
    let fleet = EntryFleet::start("lost-start", 1).await;
    for worker in &fleet.workers {
        worker.lose_starts(2);
    }
    assert_eq!(fleet.submit(0, 10, 1_500, &[6]).await, 200);
    fleet.until_state(0, 10, "completed").await;
    assert_eq!(fleet.starts(10), 6);
    fleet.assert_no_duplicate_runs();
}

#[tokio::test(flavor = "multi_thread")]
async fn pending_jobs_are_counted_where_there_is_no_room() {
    let fleet = EntryFleet::start("pending", 2).await;
    // 4 workers of 8 cores have room for 64 tasks of half a core.
    assert_eq!(fleet.submit(0, 11, 3_000, &[64]).await, 200);
    fleet
        .until("all workers are full", async |fleet| {
            fleet.running(11) == 64
        })
        .await;
    assert_eq!(fleet.submit(1, 12, 100, &[2]).await, 200);
    for number in 0..2 {
        fleet
            .until("the waiting job is counted", async |fleet| {
                let (_, value, _) = fleet
                    .call(number, Method::GET, "/bulk/", String::new())
                    .await;
                value["pending"] == 1
            })
            .await;
    }
    fleet.until_state(0, 12, "completed").await;
}

/// Guards against a job that gets other attempts than its queue allows, because its leader has never
/// known the queue.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_never_knew_a_queue_grants_its_attempts() {
    let mut fleet = EntryFleet::start("dropped", 1).await;
    for number in 0..fleet.workers.len() {
        fleet
            .store
            .remove(store::WORKER_TABLE, &format!("w{number}"));
    }
    fleet
        .store
        .put_rules_with_limit(2, &[("bulk", 2), ("urgent", 0)], 2);
    fleet.restart_leader(0).await;
    // A run of 0 ms fails.
    assert_eq!(fleet.submit(0, 610, 0, &[1]).await, 200);
    fleet.store.put_rules_with_limit(3, &[("urgent", 0)], 2);
    fleet.restart_leader(0).await;
    for worker in &fleet.workers {
        worker.register(&fleet.store, "ready");
    }
    fleet
        .until("both attempts have started", async |fleet| {
            fleet.starts(610) >= 2
        })
        .await;
    tokio::time::sleep(std::time::Duration::from_millis(1_500)).await;
    assert_eq!(fleet.starts(610), 2);
    fleet
        .store
        .put_rules_with_limit(4, &[("bulk", 2), ("urgent", 0)], 2);
    fleet.until_state(0, 610, "failed").await;
}
