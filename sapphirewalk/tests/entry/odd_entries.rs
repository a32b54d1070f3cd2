//! Odd rows of other writers, against real processes.

use std::time;

use hyper::Method;
use sapphirewalk_platform::stand_in::WorkerStandIn;
use serde_json::Value;
use serde_json::json;

use crate::fleet::EntryFleet;
use crate::odd_generator::OddGenerator;

const WORKER_TABLE: &str = "servers";
const OPERATOR_TABLE: &str = "op";
/// Tables of the system that hold a row for each job.
const JOB_TABLES: [&str; 2] = ["jobs", "progress"];
/// Entries drawn for the worker list.
const ODD_ENTRIES: u64 = 60;

/// The entry of a worker that listens nowhere and has more room than all others.
fn absent_worker() -> Value {
    json!({"service": "pool", "address": "127.0.0.1:9", "zone": "domain", "version": "v1",
        "slots": 8, "state": "ready", "cold_remaining_ms": 0,
        "capacity": {"cpu": 4_000_000, "mem_mb": 60_000_000, "gpu": 8}, "labels": ["a", "r1"],
        "clock_ms": 1_000, "born": 1_000, "sequence": 4})
}

/// Leaves odd rows in every table that the processes read.
fn leave_odd_rows(fleet: &EntryFleet) {
    let store = &fleet.store;
    for seed in 0..ODD_ENTRIES {
        let bytes = OddGenerator::new(seed).spoil(&absent_worker());
        store.put_bytes(WORKER_TABLE, &format!("odd-{seed}"), bytes);
    }
    store.put(WORKER_TABLE, "absent", &absent_worker());
    let mut endless = absent_worker();
    endless["capacity"] = json!({"cpu": u64::MAX, "mem_mb": u64::MAX, "gpu": u64::MAX});
    store.put(WORKER_TABLE, "endless", &endless);
    let mut entry_vm = absent_worker();
    entry_vm["address"] = json!(fleet.entries[0].callers.to_string());
    store.put(WORKER_TABLE, "entry-vm", &entry_vm);
    for table in [WORKER_TABLE, OPERATOR_TABLE].into_iter().chain(JOB_TABLES) {
        for odd in [
            json!({"table": table, "part": "", "key": "odd", "value": "no base64!", "ver": 1}),
            json!({"table": table, "part": [], "key": 7, "value": {}, "ver": "1"}),
            json!([null]),
        ] {
            store.put_odd_row(table, &odd);
        }
    }
}

/// Guards against processes that end or no longer follow a list because of odd rows in it.
#[tokio::test(flavor = "multi_thread")]
async fn odd_rows_end_no_process_and_stop_no_list() {
    let mut fleet = EntryFleet::start("odd", 2).await;
    assert_eq!(fleet.submit(0, 900, 50, &[4, 2]).await, 200);
    fleet.until_state(1, 900, "completed").await;
    leave_odd_rows(&fleet);
    assert_eq!(fleet.submit(1, 901, 100, &[12, 4]).await, 200);
    fleet.until_state(0, 901, "completed").await;
    // Only a worker that is listed from now on has room for these tasks.
    for worker in &fleet.workers {
        worker.register(&fleet.store, "draining");
    }
    let late = WorkerStandIn::start("late").await.unwrap();
    late.register(&fleet.store, "ready");
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    assert_eq!(fleet.submit(0, 902, 100, &[3]).await, 200);
    fleet.until_state(1, 902, "completed").await;
    assert_eq!(late.started_runs().len(), 3);
    fleet.workers.push(late);
    fleet.store.put_rules(2, &[("bulk", 2), ("late", 1)]);
    for number in 0..2 {
        fleet
            .until("the new queue is served", async |fleet| {
                let answer = fleet.call(number, Method::GET, "/late/", String::new());
                answer.await.0 == 200
            })
            .await;
    }
    // A successor reads the same rows.
    let leader = fleet.leader().unwrap();
    fleet.entries[leader].kill();
    let successor = 1 - leader;
    assert_eq!(fleet.submit(successor, 903, 100, &[3]).await, 200);
    fleet.until_state(successor, 903, "completed").await;
    fleet.assert_no_duplicate_runs();
    for entry in &fleet.entries {
        let log = entry.log();
        assert!(!log.contains("leader_task_failed"));
        assert!(!log.contains("panicked"));
        // Each change of the list is logged once, not each reading of it.
        let lines = log
            .lines()
            .filter(|line| line.contains("workers_unreadable"));
        assert!(lines.count() <= usize::try_from(ODD_ENTRIES).unwrap() + 5);
    }
}

/// Guards against a caller's job that ends the leader and each of its successors.
#[tokio::test(flavor = "multi_thread")]
async fn absurd_jobs_are_refused_or_wait_and_end_no_leader() {
    let mut fleet = EntryFleet::start("absurd", 2).await;
    let largest = u64::MAX;
    let step = json!({"count": 1, "cpu": largest, "mem_mb": largest, "gpu": largest,
        "estimate_ms": largest, "target_ms": largest});
    let mut best_effort = step.clone();
    best_effort["mem_mb"] = json!(1);
    best_effort["gpu"] = json!(0);
    best_effort["fill_count"] = json!(true);
    best_effort["image"] = json!("x");
    best_effort["count"] = json!(4);
    let small = json!({"count": 1, "cpu": 1, "mem_mb": 1, "estimate_ms": 1});
    let jobs = [
        json!({"spec": "1", "phases": [step, step]}),
        json!({"spec": "1", "phases": [best_effort]}),
        json!({"spec": "1", "phases": [small], "start_at_ms": 0, "interval_ms": 0,
            "repeat_count": u32::MAX}),
        json!({"spec": "1", "phases": [small], "start_at_ms": largest, "interval_ms": largest,
            "repeat_count": u32::MAX}),
    ];
    for (job, id) in jobs.iter().zip(910u64..) {
        let path = format!("/bulk/{id:016x}");
        let (status, ..) = fleet.call(0, Method::POST, &path, job.to_string()).await;
        assert_eq!(status, 200, "{job}");
    }
    let nested = "[".repeat(50_000) + &"]".repeat(50_000);
    for body in [
        format!("{{\"spec\":{nested}}}"),
        format!("{{\"phases\":[{{\"count\":1,\"fill_count\":{nested}}}]}}"),
        nested.clone(),
    ] {
        let path = "/bulk/0000000000000999";
        let (status, ..) = fleet.call(0, Method::POST, path, body).await;
        assert_eq!(status, 400);
    }
    assert_eq!(fleet.submit(0, 920, 100, &[3]).await, 200);
    fleet.until_state(1, 920, "completed").await;
    let leader = fleet.leader().unwrap();
    fleet.entries[leader].kill();
    let successor = 1 - leader;
    assert_eq!(fleet.submit(successor, 921, 100, &[3, 1]).await, 200);
    fleet.until_state(successor, 921, "completed").await;
    let log = fleet.entries[successor].log();
    assert!(!log.contains("leader_task_failed") && !log.contains("panicked"));
}

/// Guards against a fleet that never has a leader again.
#[tokio::test(flavor = "multi_thread")]
async fn an_unreadable_leader_row_is_replaced() {
    let fleet = EntryFleet::start("leader-row", 2).await;
    // Version of the encoding, no name, incarnation 1, the largest fencing token, an IPv4 address,
    // batch 0, released, no processor share.
    let mut largest_fence = vec![1, 0, 1];
    largest_fence.extend([0xff; 9]);
    largest_fence.extend([1, 0, 127, 0, 0, 1, 9, 0, 1, 0]);
    for (odd, id) in [b"odd".to_vec(), Vec::new(), largest_fence]
        .into_iter()
        .zip(930u64..)
    {
        assert_eq!(fleet.submit(0, id, 300, &[4, 1]).await, 200);
        fleet.store.put_in("leader", "leader", "coordinator", odd);
        for number in 0..2 {
            fleet.until_state(number, id, "completed").await;
        }
    }
    fleet.assert_no_duplicate_runs();
}
