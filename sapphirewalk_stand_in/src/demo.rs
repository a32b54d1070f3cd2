//! The `demo` command: starts a small fleet, sends requests, runs tasks and checks the results.

use std::fmt;
use std::path;
use std::process;
use std::time;

use hyper::StatusCode;

use sapphirewalk_stand_in::client::CallError;
use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::FleetError;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_wire::endpoint as endpoint_wire;
use sapphirewalk_wire::task;

/// The bundle that the fleet starts with.
const EXAMPLE_BUNDLE: &str = include_str!("../../extra/example/bundle.json");
/// Requests sent to each gateway.
const REQUESTS_PER_GATEWAY: u32 = 3;
/// Tasks submitted to each scheduler.
const TASKS_PER_SCHEDULER: u32 = 2;
/// Run time of each task, in milliseconds.
const TASK_RUN_MS: u64 = 300;
/// Time limit for all tasks together, from the last submission on.
const TASKS_TIMEOUT_SECS: u64 = 30;
/// Time limit for the shutdown of each daemon.
const SHUTDOWN_TIMEOUT_SECS: u64 = 30;

/// Prints a line for each step and counts the steps that failed.
#[derive(Debug, Default)]
struct DemoReport {
    failures: u32,
}

/// A task that a scheduler accepted.
#[derive(Debug)]
struct SubmittedTask {
    scheduler: fleet::DaemonKey,
    id: String,
}

impl DemoReport {
    fn record_step(&mut self, is_ok: bool, line: fmt::Arguments<'_>) {
        let label = if is_ok { "ok   " } else { "FAULT" };
        println!("{label} {line}");
        self.failures += u32::from(!is_ok);
    }
}

/// Runs the demonstration with the `sapphirewalk` binary at `binary`; fails if any step does.
pub async fn run(binary: path::PathBuf) -> process::ExitCode {
    match demonstrate(binary).await {
        Ok(report) if report.failures == 0 => process::ExitCode::SUCCESS,
        Ok(report) => {
            eprintln!(
                "sapphirewalk_stand_in: {} of the steps above failed; see the lines marked FAULT",
                report.failures
            );
            process::ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("sapphirewalk_stand_in: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn demonstrate(binary: path::PathBuf) -> Result<DemoReport, FleetError> {
    let mut plan = FleetPlan::new(binary);
    plan.bundle = Some(EXAMPLE_BUNDLE.to_owned());
    let mut fleet = Fleet::start(plan).await?;
    let mut report = DemoReport::default();
    send_requests(&fleet, &mut report).await;
    run_tasks(&fleet, &mut report).await;
    show_versions(&fleet, &mut report).await?;
    check_ledgers(&fleet, &mut report);
    shut_down(&mut fleet, &mut report).await?;
    if report.failures > 0 {
        fleet.print_log_tails();
    }
    Ok(report)
}

async fn send_requests(fleet: &Fleet, report: &mut DemoReport) {
    for vm in fleet.vms() {
        let address = fleet.request_address(vm.gateway());
        for index in 0..REQUESTS_PER_GATEWAY {
            let id = format!("{}-request-{index}", fleet.vm_name(vm));
            let request = match index {
                0 => CallerRequest {
                    idempotency_key: Some(format!("{id}-key")),
                    ..CallerRequest::new("charge")
                },
                1 => CallerRequest::new("report"),
                _ => CallerRequest::new("order"),
            };
            let request = CallerRequest {
                request_id: Some(id.clone()),
                ..request
            };
            match request.send(address).await {
                Ok(answer) => {
                    let outcome = answer.header(endpoint_wire::OUTCOME_HEADER);
                    let is_own = answer.text().lines().next() == Some(id.as_str());
                    let is_ok = answer.status == StatusCode::OK && is_own;
                    let status = answer.status;
                    let kind = &request.kind;
                    report.record_step(
                        is_ok,
                        format_args!("request {id} kind={kind} status={status} outcome={outcome}"),
                    );
                }
                Err(error) => report.record_step(false, format_args!("request {id}: {error}")),
            }
        }
    }
}

async fn run_tasks(fleet: &Fleet, report: &mut DemoReport) {
    let mut submitted = Vec::new();
    for vm in fleet.vms() {
        for index in 0..TASKS_PER_SCHEDULER {
            let key = format!("{}-task-{index}", fleet.vm_name(vm));
            match submit(fleet, vm.scheduler(), &key).await {
                Ok(answer) => submitted.push(SubmittedTask {
                    scheduler: vm.scheduler(),
                    id: answer.id,
                }),
                Err(error) => report.record_step(false, format_args!("task {key}: {error}")),
            }
        }
    }
    let deadline = fleet::seconds_from_now(TASKS_TIMEOUT_SECS);
    for task in &submitted {
        show_task(fleet, task, deadline, report).await;
    }
}

async fn submit(
    fleet: &Fleet,
    scheduler: fleet::DaemonKey,
    key: &str,
) -> Result<task::TaskAnswer, CallError> {
    let payload = TaskPayload {
        run_ms: TASK_RUN_MS,
        ..TaskPayload::default()
    };
    let submission = fleet::task_submission(key, "stock-plan", &payload);
    let address = fleet.request_address(scheduler);
    fleet::submit_task(address, &submission).await?.json()
}

/// Waits until the scheduler reports the end of the task, and prints the state it reports.
async fn show_task(
    fleet: &Fleet,
    task: &SubmittedTask,
    deadline: time::Instant,
    report: &mut DemoReport,
) {
    let address = fleet.request_address(task.scheduler);
    let mut last_answer: Option<task::TaskAnswer> = None;
    let id = &task.id;
    let waited = fleet::await_until(deadline, "the task has ended", async || {
        let answer = fleet::show_task(address, id).await;
        last_answer = answer.and_then(|answer| answer.json()).ok();
        last_answer.as_ref().is_some_and(has_ended)
    })
    .await;
    match last_answer {
        Some(answer) => {
            let is_ok = answer.state == task::TaskState::Finished
                && fleet.attempt_ledger().finish_count(id) == 1;
            let worker = answer.worker.unwrap_or_default();
            let (state, attempts) = (answer.state, answer.attempts);
            report.record_step(
                is_ok,
                format_args!("task {id} state={state:?} attempts={attempts} worker={worker}"),
            );
        }
        None => report.record_step(false, format_args!("task {id}: {waited:?}")),
    }
}

const fn has_ended(answer: &task::TaskAnswer) -> bool {
    match answer.state {
        task::TaskState::Pending | task::TaskState::Running => false,
        task::TaskState::Finished | task::TaskState::Cancelled | task::TaskState::Parked => true,
    }
}

async fn show_versions(fleet: &Fleet, report: &mut DemoReport) -> Result<(), FleetError> {
    for key in fleet.daemons() {
        let in_force = fleet.rollout_in_force(key).await?;
        let vm = fleet.vm_name(key.vm);
        let daemon = key.daemon.name();
        match in_force {
            Some(bundle) => {
                let (sequence, version) = (bundle.sequence, bundle.version);
                report.record_step(
                    true,
                    format_args!("process {vm} {daemon} rollout={sequence} bundle={version}"),
                );
            }
            None => report.record_step(false, format_args!("process {vm} {daemon} has no bundle")),
        }
    }
    Ok(())
}

fn check_ledgers(fleet: &Fleet, report: &mut DemoReport) {
    let doubled = fleet.attempt_ledger().overlapping_tasks();
    report.record_step(
        doubled.is_empty(),
        format_args!("tasks in two places at once: {doubled:?}"),
    );
    let doubled = fleet.request_ledger().duplicate_keys();
    report.record_step(
        doubled.is_empty(),
        format_args!("idempotency keys that ran twice: {doubled:?}"),
    );
    let over_commits: u64 = fleet
        .endpoints()
        .iter()
        .map(|endpoint| endpoint.counters().over_commits)
        .sum();
    report.record_step(
        over_commits == 0,
        format_args!("requests beyond an endpoint's slots: {over_commits}"),
    );
}

async fn shut_down(fleet: &mut Fleet, report: &mut DemoReport) -> Result<(), FleetError> {
    for key in fleet.daemons() {
        fleet.terminate(key)?;
    }
    for key in fleet.daemons() {
        let deadline = fleet::seconds_from_now(SHUTDOWN_TIMEOUT_SECS);
        let status = fleet.await_exit(key, deadline).await?;
        if !status.success() {
            let vm = fleet.vm_name(key.vm);
            let daemon = key.daemon.name();
            report.record_step(
                false,
                format_args!("process {vm} {daemon} ended with {status}"),
            );
        }
    }
    Ok(())
}
