//! Tests of the worker stand-in: leases, fencing, the capacity check, checkpoints and pauses.

use std::time;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_stand_in::client;
use sapphirewalk_stand_in::clock;
use sapphirewalk_stand_in::worker::AttemptLedger;
use sapphirewalk_stand_in::worker::AttemptOutcome;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_stand_in::worker::Worker;
use sapphirewalk_stand_in::worker::WorkerPlan;
use sapphirewalk_wire::worker as wire;

const CAPACITY: ResourceVector = ResourceVector {
    cpu_millis: 4_000,
    memory_mib: 4_096,
    accelerators: 0,
};
const HALF: ResourceVector = ResourceVector {
    cpu_millis: 2_000,
    memory_mib: 2_048,
    accelerators: 0,
};
const LONG_MS: u64 = 60_000;

async fn start_worker(ledger: &AttemptLedger) -> Worker {
    let plan = WorkerPlan {
        name: "w0".to_owned(),
        incarnation: 1,
        capacity: CAPACITY,
        capacity_check: true,
        report_lag_ms: 0,
        address: None,
    };
    Worker::start(plan, ledger.clone())
        .await
        .expect("a port of loopback is free")
}

fn start_command(task: &str, attempt: u64, run_ms: u64, lease_ms: u64) -> wire::StartCommand {
    let payload = TaskPayload {
        run_ms,
        checkpoint_every_ms: 20,
        ..TaskPayload::default()
    };
    wire::StartCommand {
        epoch: 1,
        incarnation: 1,
        task: task.to_owned(),
        attempt,
        resources: HALF,
        checkpoint: None,
        payload: payload.to_text(),
        lease_until_ms: clock::unix_ms() + lease_ms,
    }
}

async fn start(worker: &Worker, command: &wire::StartCommand) -> wire::CommandReply {
    let answer = client::post_json(worker.address(), wire::START_PATH, command).await;
    let answer = answer.expect("the worker answers");
    answer.json().expect("the reply is a CommandReply")
}

async fn renew(worker: &Worker, epoch: u64) -> wire::WorkerReport {
    let command = wire::RenewCommand {
        epoch,
        incarnation: 1,
        lease_until_ms: clock::unix_ms() + LONG_MS,
        forget: Vec::new(),
        brief: false,
    };
    let answer = client::post_json(worker.address(), wire::RENEW_PATH, &command).await;
    let answer = answer.expect("the worker answers");
    answer.json().expect("the reply is a WorkerReport")
}

async fn await_outcome(ledger: &AttemptLedger, task: &str, outcome: AttemptOutcome) {
    let deadline = time::Instant::now() + time::Duration::from_secs(10);
    let is_reached = || {
        let records = ledger.records_of(task);
        records
            .last()
            .is_some_and(|record| record.outcome == outcome)
    };
    while !is_reached() {
        assert!(
            time::Instant::now() < deadline,
            "{:?}",
            ledger.records_of(task)
        );
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn finished_attempts_and_old_epochs_are_fenced() {
    let ledger = AttemptLedger::new();
    let worker = start_worker(&ledger).await;
    let command = start_command("t", 1, 30, LONG_MS);
    assert_eq!(start(&worker, &command).await, wire::CommandReply::Done);
    await_outcome(&ledger, "t", AttemptOutcome::Finished).await;
    assert_eq!(start(&worker, &command).await, wire::CommandReply::Fenced);
    let report = renew(&worker, 2).await;
    assert_eq!(report.attempts[0].state, wire::AttemptState::Finished);
    let command = start_command("u", 1, 30, LONG_MS);
    assert_eq!(start(&worker, &command).await, wire::CommandReply::Fenced);
    assert!(renew(&worker, 1).await.fenced);
    assert_eq!(ledger.finish_count("t"), 1);
}

#[tokio::test]
async fn the_capacity_check_refuses_what_does_not_fit() {
    let ledger = AttemptLedger::new();
    let worker = start_worker(&ledger).await;
    for (task, reply) in [
        ("a", wire::CommandReply::Done),
        ("b", wire::CommandReply::Done),
        ("c", wire::CommandReply::NoRoom),
    ] {
        let command = start_command(task, 1, LONG_MS, LONG_MS);
        assert_eq!(start(&worker, &command).await, reply);
    }
    assert!(ledger.over_committed().is_empty());
    worker.set_capacity_check(false);
    let command = start_command("c", 1, LONG_MS, LONG_MS);
    assert_eq!(start(&worker, &command).await, wire::CommandReply::Done);
    assert_eq!(ledger.over_committed().len(), 1);
}

#[tokio::test]
async fn an_attempt_ends_with_its_lease() {
    let ledger = AttemptLedger::new();
    let worker = start_worker(&ledger).await;
    let command = start_command("t", 1, LONG_MS, 50);
    start(&worker, &command).await;
    await_outcome(&ledger, "t", AttemptOutcome::Stopped).await;
    let span = ledger.records_of("t")[0].spans[0];
    assert_eq!(span.ended_ms, Some(command.lease_until_ms));
}

#[tokio::test]
async fn a_resumed_worker_stops_attempts_whose_leases_ended() {
    let ledger = AttemptLedger::new();
    let worker = start_worker(&ledger).await;
    start(&worker, &start_command("lapses", 1, LONG_MS, 50)).await;
    start(&worker, &start_command("lasts", 1, LONG_MS, LONG_MS)).await;
    worker.pause();
    let paused = time::Duration::from_millis(100);
    let answer = tokio::time::timeout(paused, renew(&worker, 1)).await;
    assert!(answer.is_err());
    assert_eq!(
        ledger.records_of("lapses")[0].outcome,
        AttemptOutcome::Running
    );
    worker.resume();
    assert_eq!(
        ledger.records_of("lapses")[0].outcome,
        AttemptOutcome::Stopped
    );
    let report = renew(&worker, 1).await;
    assert_eq!(report.attempts[0].state, wire::AttemptState::Stopped);
    assert_eq!(report.attempts[1].state, wire::AttemptState::Running);
    assert_eq!(ledger.records_of("lasts")[0].spans.len(), 2);
}

#[tokio::test]
async fn evicted_work_resumes_from_its_checkpoint() {
    let ledger = AttemptLedger::new();
    let worker = start_worker(&ledger).await;
    start(&worker, &start_command("t", 1, 200, LONG_MS)).await;
    let deadline = time::Instant::now() + time::Duration::from_secs(10);
    while renew(&worker, 1).await.attempts[0].progress < 0.5 {
        assert!(time::Instant::now() < deadline);
    }
    let command = wire::TaskCommand {
        epoch: 1,
        attempt: wire::AttemptName {
            task: "t".to_owned(),
            attempt: 1,
        },
        action: wire::TaskAction::Evict,
    };
    let answer = client::post_json(worker.address(), wire::TASK_PATH, &command).await;
    let reply: wire::CommandReply = answer.unwrap().json().unwrap();
    assert_eq!(reply, wire::CommandReply::Done);
    let mut next = start_command("t", 2, 200, LONG_MS);
    next.checkpoint = renew(&worker, 1).await.attempts[0].checkpoint.clone();
    assert!(next.checkpoint.is_some());
    assert_eq!(start(&worker, &next).await, wire::CommandReply::Done);
    assert!(renew(&worker, 1).await.attempts[1].progress >= 0.5);
    await_outcome(&ledger, "t", AttemptOutcome::Finished).await;
    assert!(ledger.overlapping_tasks().is_empty());
    assert_eq!(ledger.foreign_checkpoints(), 0);
}

#[tokio::test]
async fn the_ledger_reports_overlapping_attempts() {
    let ledger = AttemptLedger::new();
    let first = start_worker(&ledger).await;
    let second = start_worker(&ledger).await;
    start(&first, &start_command("t", 1, LONG_MS, LONG_MS)).await;
    tokio::time::sleep(time::Duration::from_millis(2)).await;
    start(&second, &start_command("t", 2, LONG_MS, LONG_MS)).await;
    assert_eq!(ledger.overlapping_tasks(), ["t"]);
}

#[tokio::test]
async fn the_ledger_identifies_a_task_across_shards() {
    let ledger = AttemptLedger::new();
    let first = start_worker(&ledger).await;
    let second = start_worker(&ledger).await;
    start(&first, &start_command("d0.000.t.1", 1, LONG_MS, LONG_MS)).await;
    tokio::time::sleep(time::Duration::from_millis(2)).await;
    start(&second, &start_command("d1.000.t.1", 1, LONG_MS, LONG_MS)).await;
    start(&second, &start_command("d1.000.t.2", 1, LONG_MS, LONG_MS)).await;
    assert_eq!(ledger.overlapping_tasks(), ["t.1"]);
    assert_eq!(ledger.records_of("d0.001.t.1").len(), 2);
}
