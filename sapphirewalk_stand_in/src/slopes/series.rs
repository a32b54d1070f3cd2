//! Runs the fleets of each series and takes their measurements.

use std::path;
use std::time;

use futures::future;

use crate::fleet;
use crate::fleet::CallerRequest;
use crate::fleet::DaemonKey;
use crate::fleet::EntryKey;
use crate::fleet::Fleet;
use crate::fleet::FleetPlan;
use crate::slopes::error::SlopeError;
use crate::slopes::sample;
use crate::slopes::sample::UsageRate;
use crate::slopes::table::SizeFigure;
use crate::slopes::table::SizePoint;
use crate::slopes::table::SlopeSeries;
use crate::worker::TaskPayload;

/// Series of an idle gateway by the number of endpoints in its failure domain.
pub const GATEWAY_ENDPOINTS: &str = "gateway-endpoints";
/// Series of a gateway by requests per second.
pub const GATEWAY_REQUESTS: &str = "gateway-requests";
/// Series of an idle scheduler by the number of workers in its shard.
pub const SCHEDULER_WORKERS: &str = "scheduler-workers";
/// Series of a scheduler by the number of running tasks.
pub const SCHEDULER_TASKS: &str = "scheduler-tasks";
/// Series of a scheduler by task starts per second.
pub const SCHEDULER_STARTS: &str = "scheduler-starts";
/// Series of idle daemons by the number of entry VMs in their failure domain.
pub const ENTRY_VMS: &str = "entry-vms";
/// Series of rollouts by the number of teams in the bundle.
pub const ROLLOUT_TEAMS: &str = "rollout-teams";
/// Names of all series, in the order of measurement.
pub const NAMES: [&str; 7] = [
    GATEWAY_ENDPOINTS,
    GATEWAY_REQUESTS,
    SCHEDULER_WORKERS,
    SCHEDULER_TASKS,
    SCHEDULER_STARTS,
    ENTRY_VMS,
    ROLLOUT_TEAMS,
];

/// Time that a fleet runs before it is measured, so that start-up does not count.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(4);
/// Time between the two samples of a measurement, and duration of a load.
const MEASURE_TIME: time::Duration = time::Duration::from_secs(10);
/// Name prefix of the objects that hold audit records.
const AUDIT_PREFIX: &str = "audit/";
/// Number of rollouts that are measured at each size.
const ROLLOUTS: u32 = 10;
/// Processor limit of each task, in thousandths of a core.
const TASK_CPU_MILLIS: u64 = 100;
/// Run time of a task that does not end during a measurement.
const LONG_RUN_MS: u64 = 600_000;
/// Run time of a task that ends during a measurement.
const SHORT_RUN_MS: u64 = 500;

/// The plan that each series starts from: one entry VM and no workers.
fn plan(binary: &path::Path) -> FleetPlan {
    let mut plan = FleetPlan::new(binary.to_owned());
    plan.domains = 1;
    plan.entry_vms = 1;
    plan.endpoints = 4;
    plan.workers = 0;
    plan
}

fn gateway(index: u32) -> DaemonKey {
    EntryKey(index).gateway()
}

fn scheduler(index: u32) -> DaemonKey {
    EntryKey(index).scheduler()
}

/// Measures an idle gateway with 4, 16 and 64 endpoints.
///
/// # Errors
///
/// When the fleet or a dump fails.
pub async fn gateway_by_endpoints(binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for endpoints in [4, 16, 64] {
        let mut plan = plan(binary);
        plan.endpoints = endpoints;
        let rate = measure_idle(plan, gateway(0)).await?;
        points.push(SizePoint {
            size: f64::from(endpoints),
            figures: idle_figures(&rate),
        });
    }
    Ok(SlopeSeries {
        name: GATEWAY_ENDPOINTS,
        size_name: "endpoints",
        points,
    })
}

/// Measures a gateway under requests at a steady rate that does not depend on the answers.
///
/// # Errors
///
/// When the fleet or a dump fails, or requests are refused.
pub async fn gateway_by_requests(binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for per_second in [50, 200, 800] {
        let mut plan = plan(binary);
        plan.endpoints = 16;
        let fleet = Fleet::start(plan.with_generated_bundle()).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let bytes_before = audit_bytes(&fleet);
        let before = sample::read(&fleet, gateway(0)).await?;
        let failed = send_requests(&fleet, per_second).await;
        let after = sample::read(&fleet, gateway(0)).await?;
        if failed > 0 {
            return Err(SlopeError::LoadRefused(failed));
        }
        tokio::time::sleep(SETTLE_TIME).await;
        let requests = f64::from(per_second) * MEASURE_TIME.as_secs_f64();
        let rate = before.until(&after);
        let mut figures = idle_figures(&rate);
        figures.push(SizeFigure {
            name: "cpu_us_per_request",
            value: rate.cpu_us / requests,
        });
        figures.push(SizeFigure {
            name: "audit_bytes_per_request",
            value: (audit_bytes(&fleet) - bytes_before) as f64 / requests,
        });
        points.push(SizePoint {
            size: f64::from(per_second),
            figures,
        });
    }
    Ok(SlopeSeries {
        name: GATEWAY_REQUESTS,
        size_name: "requests per second",
        points,
    })
}

/// Measures an idle scheduler with 8, 32 and 128 workers.
///
/// # Errors
///
/// When the fleet or a dump fails.
pub async fn scheduler_by_workers(binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for workers in [8, 32, 128] {
        let mut plan = plan(binary);
        plan.workers = workers;
        let rate = measure_idle(plan, scheduler(0)).await?;
        points.push(SizePoint {
            size: f64::from(workers),
            figures: idle_figures(&rate),
        });
    }
    Ok(SlopeSeries {
        name: SCHEDULER_WORKERS,
        size_name: "workers",
        points,
    })
}

/// Measures a scheduler while a fixed number of tasks runs and none starts or ends.
///
/// # Errors
///
/// When the fleet or a dump fails, or submissions are refused.
pub async fn scheduler_by_tasks(binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for tasks in [50, 200, 800] {
        let mut plan = plan(binary);
        plan.workers = 16;
        let fleet = Fleet::start(plan.with_generated_bundle()).await?;
        submit_all(&fleet, tasks, LONG_RUN_MS, time::Duration::from_millis(10)).await?;
        await_started(&fleet, tasks as usize).await?;
        let rate = measure(&fleet, scheduler(0)).await?;
        points.push(SizePoint {
            size: f64::from(tasks),
            figures: idle_figures(&rate),
        });
    }
    Ok(SlopeSeries {
        name: SCHEDULER_TASKS,
        size_name: "running tasks",
        points,
    })
}

/// Measures a scheduler under short tasks at a steady rate, and its load on the table.
///
/// # Errors
///
/// When the fleet or a dump fails, or submissions are refused.
pub async fn scheduler_by_starts(binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for per_second in [5, 20, 80] {
        let mut plan = plan(binary);
        plan.workers = 32;
        let fleet = Fleet::start(plan.with_generated_bundle()).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let counters_before = fleet.platform().counters();
        let before = sample::read(&fleet, scheduler(0)).await?;
        let count = per_second * MEASURE_TIME.as_secs() as u32;
        let interval = time::Duration::from_secs(1) / per_second;
        submit_all(&fleet, count, SHORT_RUN_MS, interval).await?;
        await_finished(&fleet, count as usize).await?;
        let after = sample::read(&fleet, scheduler(0)).await?;
        let counters_after = fleet.platform().counters();
        let starts = f64::from(count);
        let per_start = |before: u64, after: u64| (after - before) as f64 / starts;
        let mut figures = idle_figures(&before.until(&after));
        figures.push(SizeFigure {
            name: "cpu_us_per_start",
            value: before.until(&after).cpu_us / starts,
        });
        figures.push(SizeFigure {
            name: "transactions_per_start",
            value: per_start(
                counters_before.transactions.total,
                counters_after.transactions.total,
            ),
        });
        figures.push(SizeFigure {
            name: "rows_written_per_start",
            value: per_start(
                counters_before.rows_written.total,
                counters_after.rows_written.total,
            ),
        });
        figures.push(SizeFigure {
            name: "table_reads_per_start",
            value: per_start(counters_before.reads.total, counters_after.reads.total),
        });
        points.push(SizePoint {
            size: f64::from(per_second),
            figures,
        });
    }
    Ok(SlopeSeries {
        name: SCHEDULER_STARTS,
        size_name: "starts per second",
        points,
    })
}

/// Measures idle daemons; each figure is the sum of the two daemons of an entry VM.
///
/// # Errors
///
/// When the fleet or a dump fails.
pub async fn both_by_entry_vms(binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for entry_vms in [2, 4, 8] {
        let mut plan = plan(binary);
        plan.entry_vms = entry_vms;
        plan.workers = 8;
        let fleet = Fleet::start(plan.with_generated_bundle()).await?;
        let (first, second) =
            future::try_join(measure(&fleet, gateway(0)), measure(&fleet, scheduler(0))).await?;
        let figures = idle_figures(&first)
            .iter()
            .zip(idle_figures(&second))
            .map(|(left, right)| SizeFigure {
                name: left.name,
                value: left.value + right.value,
            })
            .collect();
        points.push(SizePoint {
            size: f64::from(entry_vms),
            figures,
        });
    }
    Ok(SlopeSeries {
        name: ENTRY_VMS,
        size_name: "entry VMs of a failure domain",
        points,
    })
}

/// Measures consecutive rollouts: the time until each is in force everywhere, and the use of a
/// gateway for each.
///
/// # Errors
///
/// When the fleet, a dump or a rollout fails.
pub async fn rollout_by_teams(binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    let mut points = Vec::new();
    for teams in [10_u32, 180] {
        let mut plan = plan(binary);
        plan.domains = 2;
        plan.entry_vms = 4;
        let fleet = Fleet::start(plan.clone().with_generated_bundle()).await?;
        tokio::time::sleep(SETTLE_TIME).await;
        let before = sample::read(&fleet, gateway(0)).await?;
        let mut slowest = 0.0_f64;
        for number in 0..ROLLOUTS {
            slowest = slowest.max(time_rollout(&fleet, &plan, teams, number).await?);
        }
        let after = sample::read(&fleet, gateway(0)).await?;
        let rate = before.until(&after);
        let figures = vec![
            SizeFigure {
                name: "slowest_in_force_s",
                value: slowest,
            },
            SizeFigure {
                name: "gateway_cpu_us_per_rollout",
                value: rate.cpu_us / f64::from(ROLLOUTS),
            },
            SizeFigure {
                name: "resident_mib",
                value: rate.resident_mib,
            },
        ];
        points.push(SizePoint {
            size: f64::from(teams),
            figures,
        });
    }
    Ok(SlopeSeries {
        name: ROLLOUT_TEAMS,
        size_name: "teams in the bundle",
        points,
    })
}

/// Total size of all audit objects in bytes.
fn audit_bytes(fleet: &Fleet) -> usize {
    let names = fleet.platform().object_names();
    let objects = names.iter().filter(|name| name.starts_with(AUDIT_PREFIX));
    objects
        .filter_map(|name| fleet.platform().object(name))
        .map(|body| body.len())
        .sum()
}

/// Rolls out a bundle with this many teams, and returns the seconds from the end of the rollout
/// command until all daemons report it in force.
async fn time_rollout(
    fleet: &Fleet,
    plan: &FleetPlan,
    teams: u32,
    number: u32,
) -> Result<f64, SlopeError> {
    let mut document = plan.bundle_document(&format!("slope-{number}"));
    let Some(first) = document.teams.first().cloned() else {
        return Err(SlopeError::NoUsage);
    };
    for team in document.teams.len() as u32..teams {
        let mut entry = first.clone();
        entry.name = format!("team-{team}");
        document.teams.push(entry);
    }
    let text = serde_json::to_string(&document).unwrap_or_default();
    fleet.roll_out_bundle(&text, "slope").await?;
    let accepted = time::Instant::now();
    let sequence = u64::from(number) + 2;
    for key in fleet.daemons() {
        let condition = format!("rollout {sequence} is in force");
        fleet::await_until(fleet::seconds_from_now(20), &condition, async || {
            let bundle = fleet.rollout_in_force(key).await;
            matches!(bundle, Ok(Some(bundle)) if bundle.sequence == sequence)
        })
        .await?;
    }
    Ok(accepted.elapsed().as_secs_f64())
}

async fn measure_idle(plan: FleetPlan, key: DaemonKey) -> Result<UsageRate, SlopeError> {
    let fleet = Fleet::start(plan.with_generated_bundle()).await?;
    measure(&fleet, key).await
}

/// Samples the daemon around [`MEASURE_TIME`], after the fleet has settled.
async fn measure(fleet: &Fleet, key: DaemonKey) -> Result<UsageRate, SlopeError> {
    tokio::time::sleep(SETTLE_TIME).await;
    let before = sample::read(fleet, key).await?;
    tokio::time::sleep(MEASURE_TIME).await;
    let after = sample::read(fleet, key).await?;
    Ok(before.until(&after))
}

/// Sends requests at a steady rate for [`MEASURE_TIME`] and returns how many failed.
async fn send_requests(fleet: &Fleet, per_second: u32) -> usize {
    let address = fleet.request_address(gateway(0));
    let mut ticks = tokio::time::interval(time::Duration::from_secs(1) / per_second);
    let mut requests = Vec::new();
    for _ in 0..per_second * MEASURE_TIME.as_secs() as u32 {
        ticks.tick().await;
        requests.push(tokio::spawn(async move {
            let answer = CallerRequest::new("order").send(address).await;
            answer.is_ok_and(|answer| answer.status.is_success())
        }));
    }
    let answers = future::join_all(requests).await;
    answers
        .into_iter()
        .filter(|outcome| !matches!(outcome, Ok(true)))
        .count()
}

/// Submits `count` tasks that run for `run_ms`, one each `interval`; fails if any is refused.
async fn submit_all(
    fleet: &Fleet,
    count: u32,
    run_ms: u64,
    interval: time::Duration,
) -> Result<(), SlopeError> {
    let address = fleet.request_address(scheduler(0));
    let payload = TaskPayload {
        run_ms,
        cpu_millis: TASK_CPU_MILLIS,
        memory_mib: 64,
        ..TaskPayload::default()
    };
    let mut ticks = tokio::time::interval(interval);
    let mut calls = Vec::new();
    for number in 0..count {
        ticks.tick().await;
        let submission = fleet::task_submission(&format!("slope-{number}"), "stock-plan", &payload);
        calls.push(tokio::spawn(async move {
            let answer = fleet::submit_task(address, &submission).await;
            answer.is_ok_and(|answer| answer.status.is_success())
        }));
    }
    let answers = future::join_all(calls).await;
    let failed = answers
        .into_iter()
        .filter(|outcome| !matches!(outcome, Ok(true)))
        .count();
    if failed > 0 {
        Err(SlopeError::LoadRefused(failed))
    } else {
        Ok(())
    }
}

async fn await_started(fleet: &Fleet, count: usize) -> Result<(), SlopeError> {
    let condition = format!("{count} attempts have started");
    fleet::await_until(fleet::seconds_from_now(60), &condition, async || {
        fleet.attempt_ledger().started_count() >= count
    })
    .await?;
    Ok(())
}

async fn await_finished(fleet: &Fleet, count: usize) -> Result<(), SlopeError> {
    let condition = format!("{count} tasks have finished");
    fleet::await_until(fleet::seconds_from_now(60), &condition, async || {
        fleet.attempt_ledger().finished_count() >= count
    })
    .await?;
    Ok(())
}

/// The figures that every series of daemons reports.
fn idle_figures(rate: &UsageRate) -> Vec<SizeFigure> {
    vec![
        SizeFigure {
            name: "cpu_permille",
            value: rate.cpu_permille,
        },
        SizeFigure {
            name: "resident_mib",
            value: rate.resident_mib,
        },
        SizeFigure {
            name: "platform_bytes_per_s",
            value: rate.platform_bytes,
        },
        SizeFigure {
            name: "platform_calls_per_s",
            value: rate.platform_calls,
        },
        SizeFigure {
            name: "peer_bytes_per_s",
            value: rate.peer_bytes,
        },
        SizeFigure {
            name: "link_bytes_per_s",
            value: rate.link_bytes,
        },
    ]
}
