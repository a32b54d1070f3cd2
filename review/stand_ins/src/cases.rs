//! The cases: set-up, disruption and check.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::fleet;
use crate::fleet::Fleet;
use crate::record::Record;
use crate::store::Store;
use crate::worker::JobPlan;
use crate::worker::Ledger;
use crate::worker::Worker;

/// Capacity of a worker of the small site: 16 cores, 64,000 MB.
const WORKER_CAPACITY: (u64, u64) = (16_000, 64_000);
/// `status_s` of the small deployments.
const STATUS_S: u64 = 120;
const WORKERS: usize = 10;
const ENTRIES: usize = 4;

/// What every case gets.
pub struct Scene {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub record: Record,
    pub trouble: bool,
}

/// A small deployment in operation.
struct Deployment {
    store: Arc<Store>,
    workers: Vec<Arc<Worker>>,
    ledger: Arc<Mutex<Ledger>>,
    fleet: Fleet,
}

impl Scene {
    fn deploy(
        &self,
        retention_s: u64,
        routes: &[(&str, u64, u64)],
        guards: bool,
    ) -> std::io::Result<Deployment> {
        let store = Store::start()?;
        let ledger = Arc::new(Mutex::new(Ledger::default()));
        fleet::put_config(&store, &self.record, 1, routes, guards);
        let mut workers = Vec::new();
        for number in 0..WORKERS {
            let id = format!("i-{number:02}");
            let labels = ["a", "r1-1"];
            let worker = Worker::start(
                &id,
                WORKER_CAPACITY,
                &labels,
                guards,
                &store,
                &self.record,
                &ledger,
            )?;
            workers.push(worker);
        }
        let fleet = Fleet::start(
            &self.root,
            &self.folder,
            ENTRIES,
            retention_s,
            &store,
            &self.record,
            &ledger,
        )?;
        // The leader has to have heard of all workers.
        thread::sleep(Duration::from_millis(1_500));
        Ok(Deployment {
            store,
            workers,
            ledger,
            fleet,
        })
    }
}

impl Deployment {
    /// Tasks that run on all workers.
    fn running(&self) -> Vec<String> {
        let running = self.workers.iter().flat_map(|worker| worker.running());
        running.collect()
    }
}

fn seconds(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

fn unexpected(what: &str) -> std::io::Error {
    std::io::Error::other(what.to_owned())
}

/// Done jobs run again: a part of the store is unavailable while their rows are removed, and later
/// the leader is restarted.
pub fn forgotten(scene: &Scene) -> std::io::Result<bool> {
    const RETENTION_S: u64 = 75;
    const JOBS: u64 = 60;
    // `for_s` and `share` of the site's `platform_down`: 5 of the 17 partitions of the system.
    const OUTAGE_S: f64 = 4.5;
    const PARTS: u64 = 5;
    let routes = [("mould-preview", 0, 2), ("casting-run", 2, 3)];
    let mut deployment = scene.deploy(RETENTION_S, &routes, true)?;
    let plan = fleet::one_step(
        "pour",
        json!({"count": 2, "cpu": 1_000, "mem_mb": 1_000, "estimate_ms": 300}),
        300,
    );
    let first_id = 0x5c0e_7a21_d94b_3600;
    let begun = scene.record.seconds();
    for number in 0..JOBS {
        let entry = (number % ENTRIES as u64) as usize;
        if !deployment
            .fleet
            .submit(entry, "casting-run", first_id + number, &plan)
        {
            return Err(unexpected("a job was not accepted"));
        }
    }
    for number in 0..JOBS {
        let wait = Duration::from_secs(10);
        let state =
            deployment
                .fleet
                .await_state(0, "casting-run", first_id + number, &["completed"], wait);
        if state != "completed" {
            return Err(unexpected("a job was not completed"));
        }
    }
    let ended = scene.record.seconds();
    scene.record.line(&format!(
        "all {JOBS} jobs are completed, {:.1} s after the first was sent; their retention ends \
         {RETENTION_S} s after their ends",
        ended - begun
    ));
    if ended - begun > 2.8 {
        return Err(unexpected("the jobs ended too far apart for the outage"));
    }
    seconds(begun + RETENTION_S as f64 - 0.8 - scene.record.seconds());
    if scene.trouble {
        let parts: Vec<String> = (0..PARTS).map(|part| part.to_string()).collect();
        scene.record.line(&format!(
            "partitions {parts:?} of the table `jobs` are unavailable"
        ));
        deployment.store.set_unavailable("jobs", &parts);
    }
    seconds(OUTAGE_S);
    deployment.store.set_unavailable("jobs", &[]);
    let refused = deployment.store.refused();
    scene.record.line(&format!(
        "all partitions are available; {refused} calls were answered with 503"
    ));
    seconds(3.0);
    let leader = deployment
        .fleet
        .leader()
        .ok_or_else(|| unexpected("no leader"))?;
    deployment.fleet.restart_gracefully(leader)?;
    seconds(6.0);
    for number in 0..JOBS {
        let other = (leader + 1) % deployment.fleet.len();
        deployment
            .fleet
            .state(other, "casting-run", first_id + number);
    }
    let ledger = deployment.ledger.lock().unwrap();
    let again = ledger.starts.iter().filter(|start| start.after_noted_end);
    let again: Vec<&str> = again.map(|start| start.task.as_str()).collect();
    scene.record.line(&format!(
        "{} starts of tasks whose end `done` had been taken note of: {again:?}",
        again.len()
    ));
    Ok(again.is_empty())
}

/// Jobs that last are shown as failed although none of their runs ended `failed`: one worker goes
/// down and up by turns.
pub fn flapping(scene: &Scene) -> std::io::Result<bool> {
    // `gap_s` and `for_s` of the sites' `srv_flap`; one worker of ten is its share of 0.1.
    const PERIOD_S: f64 = 1.4;
    const FLAPPING_S: f64 = 6.5;
    const JOBS: u64 = 5;
    const TASKS: u64 = 10;
    let routes = [("anneal-watch", 0, 4), ("casting-run", 2, 3)];
    let deployment = scene.deploy(STATUS_S, &routes, true)?;
    let plan = fleet::one_step(
        "watch",
        json!({"count": TASKS, "cpu": 3_200, "mem_mb": 6_400, "long_running": true}),
        u64::MAX / 1_000,
    );
    let first_id = 0x7d1f_0000_0000_0100;
    for number in 0..JOBS {
        if !deployment.fleet.submit(
            (number % 4) as usize,
            "anneal-watch",
            first_id + number,
            &plan,
        ) {
            return Err(unexpected("a job was not accepted"));
        }
    }
    seconds(3.0);
    if deployment.running().len() != (JOBS * TASKS) as usize {
        return Err(unexpected("not all tasks run"));
    }
    let worker = &deployment.workers[0];
    let begun = scene.record.seconds();
    while scene.trouble && scene.record.seconds() - begun < FLAPPING_S - PERIOD_S / 2.0 {
        worker.crash();
        seconds(PERIOD_S / 2.0);
        worker.begin_life(WORKER_CAPACITY, &["a", "r1-1"])?;
        seconds(PERIOD_S / 2.0);
    }
    seconds(6.0);
    let mut failed = Vec::new();
    for number in 0..JOBS {
        let id = first_id + number;
        let state = deployment.fleet.state(1, "anneal-watch", id);
        if state == "failed" || state == "cancelled" {
            failed.push(format!("{id:016x} {state}"));
        }
    }
    let running = deployment.running().len();
    let ledger = deployment.ledger.lock().unwrap();
    let failed_ends = ledger.ends.iter().filter(|end| end.how == "failed").count();
    scene.record.line(&format!(
        "jobs shown as failed or cancelled: {failed:?}; runs that ended `failed`: {failed_ends}; \
         {running} of {} tasks run",
        JOBS * TASKS
    ));
    Ok(failed.is_empty() || failed_ends > 0)
}

/// A job is shown as failed after three failed runs although its route allows four: the operator
/// removes the route for some seconds.
pub fn dropped_route(scene: &Scene) -> std::io::Result<bool> {
    const MAX_ATTEMPTS: u64 = 4;
    const FAILING_RUNS: usize = 3;
    let other = ("mould-preview", 0, 2);
    let route = ("anneal-plan", 2, MAX_ATTEMPTS);
    let deployment = scene.deploy(STATUS_S, &[other, route], true)?;
    let plan = JobPlan {
        failing_runs: FAILING_RUNS,
        ..fleet::one_step(
            "anneal",
            json!({"count": 1, "cpu": 1_800, "mem_mb": 3_200, "estimate_ms": 1_500}),
            1_500,
        )
    };
    let id = 0x21d9_4b36_0000_0042;
    let task = format!("{id:016x}.0.0.0");
    if !deployment.fleet.submit(0, route.0, id, &plan) {
        return Err(unexpected("the job was not accepted"));
    }
    seconds(0.7);
    let second: &[(&str, u64, u64)] = if scene.trouble {
        &[other]
    } else {
        &[other, route]
    };
    fleet::put_config(&deployment.store, &scene.record, 2, second, true);
    let failed_ends = || deployment.ledger.lock().unwrap().failed_ends(&task);
    for _ in 0..200 {
        if failed_ends() >= FAILING_RUNS {
            break;
        }
        seconds(0.1);
    }
    if failed_ends() < FAILING_RUNS {
        return Err(unexpected("the task has not failed often enough"));
    }
    seconds(1.0);
    fleet::put_config(&deployment.store, &scene.record, 5, &[other, route], true);
    seconds(2.5);
    let ends = ["completed", "failed", "cancelled"];
    let wait = Duration::from_secs(15);
    let state = deployment.fleet.await_state(1, route.0, id, &ends, wait);
    scene.record.line(&format!(
        "the job is shown as {state} after {} failed runs of its only task; its route allows \
         {MAX_ATTEMPTS}",
        failed_ends()
    ));
    Ok(state != "failed" || failed_ends() >= MAX_ATTEMPTS as usize)
}

/// Workers that don't guard their capacity get more than they have: they crash and come back
/// smaller, under the same identifier and address.
pub fn reborn(scene: &Scene) -> std::io::Result<bool> {
    const CRASHES: usize = 3;
    const DOWN_S: f64 = 1.0;
    const SMALLER: (u64, u64) = (8_000, 32_000);
    let routes = [("mould-preview", 0, 2), ("casting-run", 2, 3)];
    let deployment = scene.deploy(STATUS_S, &routes, false)?;
    let plan = fleet::one_step(
        "pour",
        json!({"count": 35, "cpu": 2_000, "mem_mb": 3_200, "estimate_ms": 20_000}),
        20_000,
    );
    for number in 0..2 {
        if !deployment.fleet.submit(
            number,
            "casting-run",
            0x3300_0000_0000_0001 + number as u64,
            &plan,
        ) {
            return Err(unexpected("a job was not accepted"));
        }
    }
    seconds(2.0);
    if deployment.running().len() != 70 {
        return Err(unexpected("not all tasks run"));
    }
    for worker in deployment.workers.iter().take(CRASHES) {
        if scene.trouble {
            worker.crash();
            seconds(DOWN_S);
            worker.begin_life(SMALLER, &["b", "r1-1"])?;
        }
        seconds(4.0);
    }
    let ledger = deployment.ledger.lock().unwrap();
    let over: Vec<&str> = ledger
        .starts
        .iter()
        .filter(|start| start.over_capacity)
        .map(|start| start.worker.as_str())
        .collect();
    scene.record.line(&format!(
        "{} starts brought a worker over its capacity: {over:?}",
        over.len()
    ));
    Ok(over.is_empty())
}

/// Jobs are refused with 404 on a route that the configuration has: the open connections to the store have
/// gone silent just before the change.
pub fn silent(scene: &Scene) -> std::io::Result<bool> {
    // `config_apply_ms` and `contact_ms` of the site.
    const APPLY_S: f64 = 2.0;
    const CONTACT_S: f64 = 3.0;
    const CALLERS: u64 = 12;
    let routes = [("mould-preview", 0, 2), ("casting-run", 2, 3)];
    let deployment = scene.deploy(STATUS_S, &routes, true)?;
    let plan = fleet::one_step(
        "pour",
        json!({"count": 1, "cpu": 1_000, "mem_mb": 1_000, "estimate_ms": 200}),
        200,
    );
    // Some jobs at the same time at each entry VM, as in any burst.
    let fleet = &deployment.fleet;
    thread::scope(|scope| {
        for number in 0..CALLERS * ENTRIES as u64 {
            let plan = &plan;
            let entry = (number % ENTRIES as u64) as usize;
            scope.spawn(move || fleet.submit(entry, "casting-run", 0x4400_0000 + number, plan));
        }
    });
    seconds(3.0);
    if scene.trouble {
        scene
            .record
            .line("the open connections to the store go silent");
        deployment.store.silence();
    }
    let silent_at = scene.record.seconds();
    seconds(0.5);
    let added = ("glaze-check", 0, 2);
    fleet::put_config(
        &deployment.store,
        &scene.record,
        2,
        &[routes[0], routes[1], added],
        true,
    );
    let written_at = scene.record.seconds();
    let from = (silent_at + CONTACT_S).max(written_at + APPLY_S) + 0.1;
    seconds(from - scene.record.seconds());
    let mut late = 0;
    for number in 0..24 * ENTRIES {
        let id = 0x5500_0000 + number as u64;
        let entry = number % ENTRIES;
        late += usize::from(deployment.fleet.submit_once(entry, added.0, id, &plan) == 404);
        if entry + 1 == ENTRIES {
            seconds(0.5);
        }
    }
    scene.record.line(&format!(
        "{late} jobs were refused with 404 later than both bounds"
    ));
    Ok(late == 0)
}
