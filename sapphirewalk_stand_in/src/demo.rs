//! The demonstration: a small fleet that serves some requests and runs some tasks.

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

/// The bundle that is rolled out.
const EXAMPLE_BUNDLE: &str = include_str!("../../extra/example/bundle.json");
/// Requests sent to each gateway.
const REQUESTS_PER_GATEWAY: u32 = 3;
/// Tasks submitted to each scheduler.
const TASKS_PER_SCHEDULER: u32 = 2;
/// How long a task runs, in milliseconds.
const TASK_RUN_MS: u64 = 300;
/// The longest that all tasks may take.
const TASKS_TIMEOUT_SECS: u64 = 30;
/// The longest that a daemon may take to shut down.
const SHUTDOWN_TIMEOUT_SECS: u64 = 30;

/// Counts what did not go well.
#[derive(Debug, Default)]
struct DemoTally {
    faults: u32,
}

/// A task that was submitted.
#[derive(Debug)]
struct SubmittedTask {
    scheduler: fleet::DaemonKey,
    id: String,
}

impl DemoTally {
    fn note(&mut self, is_good: bool, line: fmt::Arguments<'_>) {
        let mark = if is_good { "ok   " } else { "FAULT" };
        println!("{mark} {line}");
        self.faults += u32::from(!is_good);
    }
}

/// Runs the demonstration with the product binary at `binary`.
pub async fn run(binary: path::PathBuf) -> process::ExitCode {
    match demonstrate(binary).await {
        Ok(tally) if tally.faults == 0 => process::ExitCode::SUCCESS,
        Ok(tally) => {
            eprintln!("{} of the steps above went wrong", tally.faults);
            process::ExitCode::FAILURE
        }
        Err(error) => {
            eprintln!("{error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn demonstrate(binary: path::PathBuf) -> Result<DemoTally, FleetError> {
    let mut plan = FleetPlan::new(binary);
    plan.bundle = Some(EXAMPLE_BUNDLE.to_owned());
    let mut fleet = Fleet::start(plan).await?;
    let mut tally = DemoTally::default();
    send_requests(&fleet, &mut tally).await;
    run_tasks(&fleet, &mut tally).await;
    show_versions(&fleet, &mut tally).await?;
    check_ledgers(&fleet, &mut tally);
    shut_down(&mut fleet, &mut tally).await?;
    if tally.faults > 0 {
        fleet.print_log_tails();
    }
    Ok(tally)
}

async fn send_requests(fleet: &Fleet, tally: &mut DemoTally) {
    for vm in fleet.vms() {
        let address = fleet.request_address(vm.gateway());
        for index in 0..REQUESTS_PER_GATEWAY {
            let id = format!("{}-request-{index}", fleet.vm_name(vm));
            let order = match index {
                0 => CallerRequest {
                    idempotency_key: Some(format!("{id}-key")),
                    ..CallerRequest::new("charge")
                },
                1 => CallerRequest::new("report"),
                _ => CallerRequest::new("order"),
            };
            let order = CallerRequest {
                request_id: Some(id.clone()),
                ..order
            };
            match order.send(address).await {
                Ok(answer) => {
                    let outcome = answer.header(endpoint_wire::OUTCOME_HEADER);
                    let is_own = answer.text().lines().next() == Some(id.as_str());
                    let is_good = answer.status == StatusCode::OK && is_own;
                    let status = answer.status;
                    let kind = &order.kind;
                    tally.note(
                        is_good,
                        format_args!("request {id} kind={kind} status={status} outcome={outcome}"),
                    );
                }
                Err(error) => tally.note(false, format_args!("request {id}: {error}")),
            }
        }
    }
}

async fn run_tasks(fleet: &Fleet, tally: &mut DemoTally) {
    let mut submitted = Vec::new();
    for vm in fleet.vms() {
        for index in 0..TASKS_PER_SCHEDULER {
            let key = format!("{}-task-{index}", fleet.vm_name(vm));
            match submit(fleet, vm.scheduler(), &key).await {
                Ok(answer) => submitted.push(SubmittedTask {
                    scheduler: vm.scheduler(),
                    id: answer.id,
                }),
                Err(error) => tally.note(false, format_args!("task {key}: {error}")),
            }
        }
    }
    let deadline = fleet::seconds_from_now(TASKS_TIMEOUT_SECS);
    for task in &submitted {
        show_task(fleet, task, deadline, tally).await;
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

/// Waits until the scheduler knows that the task has ended, and prints what it says.
async fn show_task(
    fleet: &Fleet,
    task: &SubmittedTask,
    deadline: time::Instant,
    tally: &mut DemoTally,
) {
    let address = fleet.request_address(task.scheduler);
    let mut shown: Option<task::TaskAnswer> = None;
    let id = &task.id;
    let waited = fleet::await_until(deadline, "the task has ended", async || {
        let answer = fleet::show_task(address, id).await;
        shown = answer.and_then(|answer| answer.json()).ok();
        shown.as_ref().is_some_and(has_ended)
    })
    .await;
    match shown {
        Some(answer) => {
            let is_good =
                answer.state == task::TaskState::Finished && fleet.runs().finish_count(id) == 1;
            let worker = answer.worker.unwrap_or_default();
            let (state, attempts) = (answer.state, answer.attempts);
            tally.note(
                is_good,
                format_args!("task {id} state={state:?} attempts={attempts} worker={worker}"),
            );
        }
        None => tally.note(false, format_args!("task {id}: {waited:?}")),
    }
}

const fn has_ended(answer: &task::TaskAnswer) -> bool {
    match answer.state {
        task::TaskState::Pending | task::TaskState::Running => false,
        task::TaskState::Finished | task::TaskState::Cancelled | task::TaskState::Parked => true,
    }
}

async fn show_versions(fleet: &Fleet, tally: &mut DemoTally) -> Result<(), FleetError> {
    for key in fleet.daemons() {
        let in_force = fleet.bundle_in_force(key).await?;
        let vm = fleet.vm_name(key.vm);
        let daemon = key.daemon.name();
        match in_force {
            Some(bundle) => {
                let (sequence, version) = (bundle.sequence, bundle.version);
                tally.note(
                    true,
                    format_args!("process {vm} {daemon} rollout={sequence} bundle={version}"),
                );
            }
            None => tally.note(false, format_args!("process {vm} {daemon} has no bundle")),
        }
    }
    Ok(())
}

fn check_ledgers(fleet: &Fleet, tally: &mut DemoTally) {
    let doubled = fleet.runs().overlapping_tasks();
    tally.note(
        doubled.is_empty(),
        format_args!("tasks in two places at once: {doubled:?}"),
    );
    let doubled = fleet.requests().duplicate_keys();
    tally.note(
        doubled.is_empty(),
        format_args!("idempotency keys that ran twice: {doubled:?}"),
    );
    let over_commits: u64 = fleet
        .endpoints()
        .iter()
        .map(|endpoint| endpoint.counters().over_commits)
        .sum();
    tally.note(
        over_commits == 0,
        format_args!("requests beyond an endpoint's slots: {over_commits}"),
    );
}

async fn shut_down(fleet: &mut Fleet, tally: &mut DemoTally) -> Result<(), FleetError> {
    for key in fleet.daemons() {
        fleet.terminate(key)?;
    }
    for key in fleet.daemons() {
        let deadline = fleet::seconds_from_now(SHUTDOWN_TIMEOUT_SECS);
        let status = fleet.await_exit(key, deadline).await?;
        if !status.success() {
            let vm = fleet.vm_name(key.vm);
            let daemon = key.daemon.name();
            tally.note(
                false,
                format_args!("process {vm} {daemon} ended with {status}"),
            );
        }
    }
    Ok(())
}
