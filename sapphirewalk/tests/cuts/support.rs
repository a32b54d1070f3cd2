//! A fleet with relays and short leases, and conditions on its tasks, requests and rollouts.

use std::ops;
use std::path;
use std::time;

use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use sapphirewalk_stand_in::client::HttpAnswer;
use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::load::CallRecord;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_wire::endpoint;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::task::TaskAnswer;
use sapphirewalk_wire::task::TaskState;

/// Longest wait for a condition, in seconds.
pub const WAIT_SECS: u64 = 30;
/// Longest time from the acceptance of a rollout until it is in force.
const IN_FORCE_TIMEOUT: time::Duration = time::Duration::from_secs(6);
/// Deadline of requests, in milliseconds.
const DEADLINE_MS: u64 = 1_500;
/// Largest number of fleets that run at once.
const FLEETS_MAX: usize = 3;

static FLEETS: Semaphore = Semaphore::const_new(FLEETS_MAX);

/// A fleet with its permit of the semaphore that limits the number of running fleets.
pub struct TestFleet {
    fleet: Fleet,
    _permit: SemaphorePermit<'static>,
}

impl ops::Deref for TestFleet {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl ops::DerefMut for TestFleet {
    fn deref_mut(&mut self) -> &mut Fleet {
        &mut self.fleet
    }
}

/// Waits for a permit, starts a fleet, and waits until each gateway has a seat.
pub async fn start(plan: FleetPlan) -> TestFleet {
    let permit = FLEETS.acquire().await.expect("the semaphore stays open");
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    // A gateway without a seat is ready when a peer has one, and forwards all requests to it.
    await_true(&fleet, "every gateway has a seat", async || {
        every_seat_is_held(&fleet).await
    })
    .await;
    TestFleet {
        fleet,
        _permit: permit,
    }
}

async fn every_seat_is_held(fleet: &Fleet) -> bool {
    for vm in fleet.vms() {
        let state = fleet.state(vm.gateway()).await;
        if !state.is_ok_and(|state| state["sections"]["seat"].is_object()) {
            return false;
        }
    }
    true
}

/// A plan with relays and with leases short enough for tests. Each failure domain has two entry
/// VMs, two endpoints, two workers and one shard.
pub fn plan(domains: u32) -> FleetPlan {
    let binary = path::PathBuf::from(env!("CARGO_BIN_EXE_sapphirewalk"));
    let mut plan = FleetPlan::new(binary);
    plan.domains = domains;
    plan.relays = true;
    plan.scheduler = Some(fleet::short_leases());
    plan.bundle = Some(bundle(&plan, "plan-1"));
    plan
}

/// Sets a field of the settings of all schedulers to a time in milliseconds.
pub fn set_scheduler_millis(plan: &mut FleetPlan, name: &str, value_ms: u64) {
    if let Some(settings) = &mut plan.scheduler {
        settings[name] = value_ms.into();
    }
}

/// The bundle of a plan: one shard in each failure domain, deadlines of 1.5 s.
pub fn bundle(plan: &FleetPlan, version: &str) -> String {
    bundle_with_deadline(plan, version, DEADLINE_MS)
}

/// The bundle of a plan: one shard in each failure domain, and this deadline for all kinds.
pub fn bundle_with_deadline(plan: &FleetPlan, version: &str, deadline_ms: u64) -> String {
    let mut document = plan.bundle_document(version);
    for domain in &mut document.domains {
        domain.shards = 1;
    }
    for kind in &mut document.kinds {
        kind.deadline_ms = deadline_ms;
    }
    serde_json::to_string(&document).expect("a bundle serializes to JSON")
}

/// Waits until a condition holds; after `WAIT_SECS` prints the ends of the logs and panics.
pub async fn await_true<F: AsyncFnMut() -> bool>(fleet: &Fleet, condition: &str, is_met: F) {
    let deadline = fleet::seconds_from_now(WAIT_SECS);
    if let Err(error) = fleet::await_until(deadline, condition, is_met).await {
        fleet.print_log_tails();
        panic!("{error}");
    }
}

/// The number of the rollout in force at a daemon; 0 when there is none or no answer.
pub async fn sequence_at(fleet: &Fleet, key: DaemonKey) -> u64 {
    match fleet.rollout_in_force(key).await {
        Ok(Some(bundle)) => bundle.sequence,
        _ => 0,
    }
}

/// Waits until a rollout is in force at all these daemons; panics after the guaranteed time of 6 s.
pub async fn await_in_force(fleet: &Fleet, keys: &[DaemonKey], sequence: u64) {
    let deadline = time::Instant::now() + IN_FORCE_TIMEOUT;
    for key in keys {
        let condition = format!("rollout {sequence} is in force at {key:?}");
        fleet::await_until(deadline, &condition, async || {
            sequence_at(fleet, *key).await == sequence
        })
        .await
        .unwrap();
    }
}

/// Both daemons of the entry VMs of a failure domain.
pub fn daemons_of(fleet: &Fleet, domain: u32) -> Vec<DaemonKey> {
    fleet
        .domain_vms(domain)
        .flat_map(|vm| [vm.gateway(), vm.scheduler()])
        .collect()
}

/// The addresses at which the gateways of a failure domain serve callers.
pub fn gateways_of(fleet: &Fleet, domain: u32) -> Vec<std::net::SocketAddr> {
    fleet
        .domain_vms(domain)
        .map(|vm| fleet.request_address(vm.gateway()))
        .collect()
}

/// A task that runs for `run_ms` on a tenth of a processor.
pub fn task(run_ms: u64) -> TaskPayload {
    TaskPayload {
        run_ms,
        cpu_millis: 100,
        memory_mib: 64,
        checkpoint_every_ms: 100,
        ..TaskPayload::default()
    }
}

/// Submits a task to an entry VM and returns the answer, which may be a refusal.
pub async fn submit_raw(
    fleet: &Fleet,
    vm: EntryKey,
    key: &str,
    payload: &TaskPayload,
) -> HttpAnswer {
    let submission = fleet::task_submission(key, "stock-plan", payload);
    let address = fleet.request_address(vm.scheduler());
    fleet::submit_task(address, &submission)
        .await
        .expect("a complete answer")
}

/// Submits a task to an entry VM and returns its ID.
pub async fn submit(fleet: &Fleet, vm: EntryKey, key: &str, payload: &TaskPayload) -> String {
    let answer = submit_raw(fleet, vm, key, payload).await;
    assert!(answer.status.is_success(), "{}", answer.text());
    answer.json::<TaskAnswer>().expect("a valid task answer").id
}

/// Submits `count` tasks to an entry VM, 50 at a time, and returns their IDs.
pub async fn submit_many(
    fleet: &Fleet,
    vm: EntryKey,
    prefix: &str,
    count: u32,
    payload: &TaskPayload,
) -> Vec<String> {
    let keys: Vec<String> = (0..count)
        .map(|index| format!("{prefix}-{index}"))
        .collect();
    let mut ids = Vec::new();
    for chunk in keys.chunks(50) {
        let calls = chunk.iter().map(|key| submit(fleet, vm, key, payload));
        ids.extend(futures::future::join_all(calls).await);
    }
    ids
}

/// Waits until workers have started an attempt of each task.
pub async fn await_started(fleet: &Fleet, ids: &[String]) {
    await_true(fleet, "all tasks have started", async || {
        ids.iter()
            .all(|id| !fleet.attempt_ledger().records_of(id).is_empty())
    })
    .await;
}

/// The row of a task; panics when there is none.
pub fn task_row(fleet: &Fleet, id: &str) -> TaskRow {
    let row = fleet
        .platform()
        .row(&row::task_key(id))
        .expect("the task has a row");
    serde_json::from_str(&row.value).expect("a valid task row")
}

/// Waits until all tasks are recorded as finished, and checks that none ran on two workers at once
/// and each finished once.
pub async fn await_finished_once(fleet: &Fleet, ids: &[String]) {
    await_true(fleet, "all tasks are recorded as finished", async || {
        ids.iter()
            .all(|id| task_row(fleet, id).state == TaskState::Finished)
    })
    .await;
    assert_task_invariants(fleet);
    for id in ids {
        assert_eq!(fleet.attempt_ledger().finish_count(id), 1, "{id}");
    }
}

/// Checks that no task ran on two workers at once, finished twice or resumed from the checkpoint of
/// another, and that no worker was overcommitted.
pub fn assert_task_invariants(fleet: &Fleet) {
    assert_eq!(
        fleet.attempt_ledger().overlapping_tasks(),
        Vec::<String>::new()
    );
    assert_eq!(
        fleet.attempt_ledger().finished_twice(),
        Vec::<String>::new()
    );
    assert_eq!(fleet.attempt_ledger().over_committed(), Vec::new());
    assert_eq!(fleet.attempt_ledger().foreign_checkpoints(), 0);
}

/// Checks that no endpoint was overcommitted and no idempotency key ran twice.
pub fn assert_request_invariants(fleet: &Fleet) {
    for endpoint in fleet.endpoints() {
        let counters = endpoint.counters();
        assert_eq!(counters.over_commits, 0, "{counters:?}");
        assert!(counters.slots.peak <= endpoint.plan().slots, "{counters:?}");
        assert!(!counters.connections_exceeded, "{counters:?}");
    }
    assert_eq!(
        fleet.request_ledger().duplicate_keys(),
        Vec::<String>::new()
    );
}

/// Checks that no request with the outcome "not run" ran.
pub fn assert_not_run_outcomes(fleet: &Fleet, records: &[CallRecord]) {
    let refused = records
        .iter()
        .filter(|record| record.header(endpoint::OUTCOME_HEADER) == endpoint::OUTCOME_NOT_RUN);
    for record in refused {
        assert_eq!(
            fleet.request_ledger().run_count(record.id()),
            0,
            "{record:?}"
        );
    }
}

/// The number of answers with this outcome.
pub fn count(records: &[CallRecord], outcome: &str) -> usize {
    records
        .iter()
        .filter(|record| record.header(endpoint::OUTCOME_HEADER) == outcome)
        .count()
}

/// A request that is not idempotent, with this idempotency key.
pub fn charge(key: &str) -> CallerRequest {
    let mut request = CallerRequest::new("charge");
    request.idempotency_key = Some(key.to_owned());
    request
}

/// The outcome that an answer states.
pub fn outcome(answer: &HttpAnswer) -> &str {
    answer.header(endpoint::OUTCOME_HEADER)
}

/// The scheduler that the row of the only shard of a failure domain has as holder; none while the
/// shard is released or the holder's VM was replaced.
pub fn holder_now(fleet: &Fleet, domain: &str) -> Option<DaemonKey> {
    let row = fleet.platform().row(&row::shard_key(domain, 0))?;
    let row: row::ShardRow = serde_json::from_str(&row.value).ok()?;
    let holder = row.holder?;
    let vm = fleet.vms().find(|vm| {
        fleet.vm_name(*vm) == holder.name && fleet.vm_incarnation(*vm) == holder.incarnation
    })?;
    Some(vm.scheduler())
}

/// Waits until a scheduler other than `former` holds the only shard of a failure domain, and
/// returns it.
pub async fn await_holder(fleet: &Fleet, domain: &str, former: Option<DaemonKey>) -> DaemonKey {
    let mut found = None;
    await_true(fleet, "the shard has a new holder", async || {
        found = holder_now(fleet, domain).filter(|holder| Some(*holder) != former);
        found.is_some()
    })
    .await;
    found.expect("a holder")
}
