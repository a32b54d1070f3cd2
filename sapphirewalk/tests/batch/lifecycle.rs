//! The states of a batch task from submission to its end, the answers to callers, and the number of
//! transactions that many tasks take.

use std::io::Read;
use std::process;

use flate2::read::GzDecoder;
use hyper::StatusCode;
use serde_json::json;

use sapphirewalk_stand_in::client;
use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::worker::AttemptOutcome;
use sapphirewalk_stand_in::worker::FailMode;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_wire::task::TASKS_PATH;
use sapphirewalk_wire::task::TaskAnswer;
use sapphirewalk_wire::task::TaskState;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn task_is_accepted_run_and_finished() {
    let fleet = Fleet::start(support::plan(2, 2)).await.unwrap();
    let id = support::submit(&fleet, 0, "first", &TaskPayload::default()).await;
    support::await_state(&fleet, &id, TaskState::Finished).await;
    assert_eq!(fleet.attempt_ledger().finish_count(&id), 1);

    let again = support::submit(&fleet, 1, "first", &TaskPayload::default()).await;
    assert_eq!(
        again, id,
        "a repeated submission at another entry VM made a new task"
    );
    assert_eq!(fleet.attempt_ledger().records_of(&id).len(), 1);

    let address = fleet.request_address(EntryKey(1).scheduler());
    let answer = fleet::show_task(address, &id).await.unwrap();
    let answer: TaskAnswer = answer.json().unwrap();
    assert_eq!(answer.state, TaskState::Finished);
    assert_eq!(answer.attempts, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn submissions_in_error_are_refused_with_path_and_remedy() {
    let fleet = Fleet::start(support::plan(1, 1)).await.unwrap();
    let address = fleet.request_address(EntryKey(0).scheduler());
    let good = fleet::task_submission("good", "stock-plan", &TaskPayload::default());
    let faults = [
        ("key", json!("a/b"), "key: holds other than letters"),
        ("key", json!(""), "key: has not 1 to 64 characters"),
        ("kind", json!("nothing"), "kind: is not in the bundle"),
        ("kind", json!("order"), "kind: is of a service"),
        ("team", json!("nobody"), "team: is not in the bundle"),
        ("expected_run_ms", json!(0), "expected_run_ms: is 0"),
        (
            "resources",
            json!({"cpu_millis": 0, "memory_mib": 1}),
            "resources.cpu_millis: is 0",
        ),
        ("resources", json!({"cpus": 1}), "resources"),
        ("colour", json!("blue"), "unknown field `colour`"),
    ];
    for (name, value, expected) in faults {
        let mut body = serde_json::to_value(&good).unwrap();
        body[name] = value;
        let answer = client::post_json(address, TASKS_PATH, &body).await.unwrap();
        assert_eq!(answer.status, StatusCode::BAD_REQUEST, "{body}");
        assert!(answer.text().contains(expected), "{}", answer.text());
    }
    assert_eq!(fleet.platform().rows("task/").len(), 0);
    support::submit(&fleet, 0, "good", &TaskPayload::default()).await;
    let mut other = good.clone();
    other.payload.push(' ');
    let answer = fleet::submit_task(address, &other).await.unwrap();
    assert_eq!(answer.status, StatusCode::CONFLICT, "{}", answer.text());
    let answer = fleet::show_task(address, "d0.000.absent").await.unwrap();
    assert_eq!(answer.status, StatusCode::NOT_FOUND);
}

#[tokio::test(flavor = "multi_thread")]
async fn cancellation_stops_waiting_and_running_tasks() {
    let fleet = Fleet::start(support::plan(2, 1)).await.unwrap();
    let long = support::long_task(60_000);
    let running = support::submit_many(&fleet, "running", 8, &long).await;
    for id in &running {
        support::await_running(&fleet, id).await;
    }
    let waiting = support::submit_many(&fleet, "waiting", 8, &long).await;
    fleet.platform().lose_answers(2);
    let address = fleet.request_address(EntryKey(1).scheduler());
    for id in waiting.iter().chain(&running) {
        let answer = fleet::cancel_task(address, id).await.unwrap();
        assert_eq!(answer.status, StatusCode::ACCEPTED, "{}", answer.text());
    }
    for id in running.iter().chain(&waiting) {
        support::await_state(&fleet, id, TaskState::Cancelled).await;
    }
    for id in &waiting {
        assert_eq!(fleet.attempt_ledger().records_of(id).len(), 0);
    }
    for id in &running {
        let records = fleet.attempt_ledger().records_of(id);
        assert_eq!(records.len(), 1);
        assert_eq!(records[0].outcome, AttemptOutcome::Stopped);
    }
    let ended = support::submit(&fleet, 0, "short", &TaskPayload::default()).await;
    support::await_state(&fleet, &ended, TaskState::Finished).await;
    let answer = fleet::cancel_task(address, &ended).await.unwrap();
    let answer: TaskAnswer = answer.json().unwrap();
    assert_eq!(answer.state, TaskState::Finished);
    assert_eq!(answer.reason.as_deref(), Some("it has already ended"));
}

#[tokio::test(flavor = "multi_thread")]
async fn task_larger_than_any_worker_and_failing_task_are_parked() {
    let fleet = Fleet::start(support::plan(1, 4)).await.unwrap();
    let mut huge = fleet::task_submission("huge", "stock-plan", &TaskPayload::default());
    huge.resources.accelerators = 1;
    let huge = support::submit_as(&fleet, 0, &huge).await;
    support::await_state(&fleet, &huge, TaskState::Parked).await;
    let reason = support::task_row(&fleet, &huge).reason.unwrap();
    assert!(reason.starts_with("larger than any worker"), "{reason}");
    let failing = TaskPayload {
        fail: FailMode::Always,
        ..TaskPayload::default()
    };
    let failing = support::submit(&fleet, 0, "failing", &failing).await;
    support::await_state(&fleet, &failing, TaskState::Parked).await;
    let row = support::task_row(&fleet, &failing);
    assert!(row.attempt < 12, "{row:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn commands_submit_show_and_cancel() {
    let fleet = Fleet::start(support::plan(1, 1)).await.unwrap();
    let address = fleet.request_address(EntryKey(0).scheduler()).to_string();
    let task = fleet::task_submission("command", "stock-plan", &support::long_task(60_000));
    let text = serde_json::to_string(&task).unwrap();
    let file = fleet.directory().write("task.json", &text).unwrap();
    let run = |arguments: &[&str]| {
        let mut command = process::Command::new(env!("CARGO_BIN_EXE_sapphirewalk"));
        let output = command.args(arguments).output().unwrap();
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        (output.status.success(), output.stdout, error)
    };
    let file = file.to_str().unwrap();
    let (accepted, output, error) = run(&["submit", "--address", &address, "--file", file]);
    assert!(accepted, "{error}");
    let answer: TaskAnswer = serde_json::from_slice(&output).unwrap();
    support::await_running(&fleet, &answer.id).await;
    let (shown, output, error) = run(&["show", "--address", &address, &answer.id]);
    assert!(shown, "{error}");
    let shown: TaskAnswer = serde_json::from_slice(&output).unwrap();
    assert_eq!(shown.state, TaskState::Running);
    let (cancelled, _, error) = run(&["cancel", "--address", &address, &answer.id]);
    assert!(cancelled, "{error}");
    support::await_state(&fleet, &answer.id, TaskState::Cancelled).await;
    let (found, _, error) = run(&["show", "--address", &address, "d0.000.absent"]);
    assert!(!found);
    assert!(error.contains("no such task"), "{error}");
}

#[tokio::test(flavor = "multi_thread")]
async fn decisions_are_in_the_audit_trail() {
    let fleet = Fleet::start(support::plan(1, 1)).await.unwrap();
    let id = support::submit(&fleet, 0, "audited", &TaskPayload::default()).await;
    support::await_state(&fleet, &id, TaskState::Finished).await;
    let expected = [
        r#""decision":"shard_changed""#.to_owned(),
        format!(r#""decision":"task_submitted","task":"{id}""#),
        format!(r#""decision":"task_placed","task":"{id}","attempt":1"#),
        format!(r#""decision":"task_changed","task":"{id}","attempt":1,"change":"finished""#),
    ];
    support::await_true(&fleet, "the decisions are stored", async || {
        let trail = audit_text(&fleet);
        expected.iter().all(|text| trail.contains(text))
    })
    .await;
}

fn audit_text(fleet: &Fleet) -> String {
    let names = fleet.platform().object_names();
    let stored = names
        .iter()
        .filter(|name| name.starts_with("audit/"))
        .filter_map(|name| fleet.platform().object(name));
    let mut text = String::new();
    for bytes in stored {
        GzDecoder::new(bytes.as_ref())
            .read_to_string(&mut text)
            .unwrap();
    }
    text
}

#[tokio::test(flavor = "multi_thread")]
async fn burst_of_starts_takes_few_transactions() {
    let fleet = Fleet::start(support::plan(2, 4)).await.unwrap();
    support::holder(&fleet).await;
    let payload = TaskPayload {
        run_ms: 3_000,
        ..TaskPayload::default()
    };
    let before = fleet.platform().counters();
    let ids = support::submit_at_once(&fleet, "burst", 300, &payload).await;
    support::await_true(&fleet, "all tasks were started", async || {
        fleet.attempt_ledger().records().len() >= ids.len()
    })
    .await;
    let after = fleet.platform().counters();
    let transactions = after.transactions.total - before.transactions.total;
    let rows = after.rows_written.total - before.rows_written.total;
    println!(
        "{} tasks accepted and started: {transactions} transactions, {rows} rows",
        ids.len()
    );
    assert!(transactions < 150, "{transactions} transactions");
    support::await_finished_once(&fleet, &ids).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn wave_of_cancellations_takes_few_transactions() {
    let fleet = Fleet::start(support::plan(2, 1)).await.unwrap();
    let long = support::long_task(60_000);
    let ids = support::submit_at_once(&fleet, "wave", 200, &long).await;
    let before = fleet.platform().counters();
    let address = fleet.request_address(EntryKey(0).scheduler());
    let calls = ids.iter().map(|id| fleet::cancel_task(address, id));
    for answer in futures::future::join_all(calls).await {
        assert!(answer.unwrap().status.is_success());
    }
    for id in &ids {
        support::await_state(&fleet, id, TaskState::Cancelled).await;
    }
    let after = fleet.platform().counters();
    let transactions = after.transactions.total - before.transactions.total;
    let conflicts = after.conflicts.total - before.conflicts.total;
    println!(
        "{} cancelled: {transactions} transactions, {conflicts} conflicts",
        ids.len()
    );
    assert!(
        transactions + conflicts < 100,
        "{transactions} + {conflicts}"
    );
}
