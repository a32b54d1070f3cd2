//! A small fleet with short leases, and conditions on its tasks and shards.

use std::path;

use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::bundle::KindUrgency;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::task::TaskAnswer;
use sapphirewalk_wire::task::TaskState;
use sapphirewalk_wire::task::TaskSubmission;

/// Longest wait for a condition, in seconds.
pub const WAIT_SECS: u64 = 30;

/// A plan with leases short enough for tests: one failure domain, one shard.
pub fn plan(entry_vms: u32, workers: u32) -> FleetPlan {
    let binary = path::PathBuf::from(env!("CARGO_BIN_EXE_sapphirewalk"));
    let mut plan = FleetPlan::new(binary);
    plan.domains = 1;
    plan.entry_vms = entry_vms;
    plan.endpoints = 1;
    plan.workers = workers;
    plan.scheduler = Some(fleet::short_leases());
    with_shards(plan, 1)
}

/// The plan with `shards` shards in each failure domain.
pub fn with_shards(mut plan: FleetPlan, shards: u32) -> FleetPlan {
    plan = plan.with_generated_bundle();
    edit_bundle(&mut plan, |document| {
        for domain in &mut document.domains {
            domain.shards = shards;
        }
    });
    plan
}

/// Applies `edit` to the bundle of the plan; panics when the plan has none.
pub fn edit_bundle(plan: &mut FleetPlan, edit: impl FnOnce(&mut BundleDocument)) {
    let text = plan.bundle.as_deref().expect("the plan has a bundle");
    let mut document: BundleDocument = serde_json::from_str(text).expect("a valid bundle");
    edit(&mut document);
    plan.bundle = serde_json::to_string(&document).ok();
}

/// A task that runs for `run_ms` on one processor, with a checkpoint every 100 ms.
pub fn long_task(run_ms: u64) -> TaskPayload {
    TaskPayload {
        run_ms,
        cpu_millis: 1_000,
        memory_mib: 64,
        checkpoint_every_ms: 100,
        ..TaskPayload::default()
    }
}

/// Submits `count` tasks to the entry VMs in turn, one after the other, and returns their IDs.
pub async fn submit_many(
    fleet: &Fleet,
    prefix: &str,
    count: u32,
    payload: &TaskPayload,
) -> Vec<String> {
    let vms = u32::try_from(fleet.vms().count()).expect("few VMs");
    let mut ids = Vec::new();
    for index in 0..count {
        let key = format!("{prefix}-{index}");
        ids.push(submit(fleet, index % vms, &key, payload).await);
    }
    ids
}

/// Submits `count` tasks to the entry VMs in turn, all at once, and returns their IDs.
pub async fn submit_at_once(
    fleet: &Fleet,
    prefix: &str,
    count: u32,
    payload: &TaskPayload,
) -> Vec<String> {
    let vms = u32::try_from(fleet.vms().count()).expect("few VMs");
    let submissions = (0..count).map(|index| async move {
        let key = format!("{prefix}-{index}");
        submit(fleet, index % vms, &key, payload).await
    });
    futures::future::join_all(submissions).await
}

/// The index of a worker in the fleet's list.
pub fn worker_index(fleet: &Fleet, name: &str) -> usize {
    let mut workers = fleet.workers().iter();
    let found = workers.position(|worker| worker.plan().name == name);
    found.expect("a worker of this name")
}

/// Waits until all tasks are recorded as finished, and checks that none ran on two workers at once,
/// each finished once and no worker was overcommitted.
pub async fn await_finished_once(fleet: &Fleet, ids: &[String]) {
    for id in ids {
        await_state(fleet, id, TaskState::Finished).await;
    }
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
    for id in ids {
        assert_eq!(fleet.attempt_ledger().finish_count(id), 1, "{id}");
    }
}

/// Submits a task of the kind `stock-plan` to an entry VM and returns its ID.
pub async fn submit(fleet: &Fleet, vm: u32, key: &str, payload: &TaskPayload) -> String {
    submit_as(
        fleet,
        vm,
        &fleet::task_submission(key, "stock-plan", payload),
    )
    .await
}

/// Sends a submission to an entry VM, which has to accept it, and returns the task's ID.
pub async fn submit_as(fleet: &Fleet, vm: u32, submission: &TaskSubmission) -> String {
    let address = fleet.request_address(EntryKey(vm).scheduler());
    let answer = fleet::submit_task(address, submission)
        .await
        .expect("a complete answer");
    assert!(answer.status.is_success(), "{}", answer.text());
    answer.json::<TaskAnswer>().expect("a valid task answer").id
}

/// The row of a task; panics when there is none.
pub fn task_row(fleet: &Fleet, id: &str) -> TaskRow {
    let row = fleet
        .platform()
        .row(&row::task_key(id))
        .expect("the task has a row");
    serde_json::from_str(&row.value).expect("a valid task row")
}

/// Waits until the row of a task has this state.
pub async fn await_state(fleet: &Fleet, id: &str, state: TaskState) {
    let condition = format!("{id} is {state:?}");
    await_true(fleet, &condition, async || {
        task_row(fleet, id).state == state
    })
    .await;
}

/// Waits until a worker has started an attempt of a task.
pub async fn await_running(fleet: &Fleet, id: &str) {
    let condition = format!("{id} was started on a worker");
    await_true(fleet, &condition, async || {
        !fleet.attempt_ledger().records_of(id).is_empty()
    })
    .await;
}

/// Waits until a condition holds; after `WAIT_SECS` prints the ends of the logs and panics.
pub async fn await_true<F: AsyncFnMut() -> bool>(fleet: &Fleet, condition: &str, is_met: F) {
    let deadline = fleet::seconds_from_now(WAIT_SECS);
    if let Err(error) = fleet::await_until(deadline, condition, is_met).await {
        fleet.print_log_tails();
        panic!("{error}");
    }
}

/// Waits until a scheduler holds the only shard, and returns it.
pub async fn holder(fleet: &Fleet) -> DaemonKey {
    let mut found = None;
    await_true(fleet, "the shard has a holder", async || {
        found = holder_now(fleet);
        found.is_some()
    })
    .await;
    found.expect("a holder")
}

/// Waits until a scheduler other than `former` holds the only shard, and returns it.
pub async fn await_other_holder(fleet: &Fleet, former: DaemonKey) -> DaemonKey {
    await_true(fleet, "another scheduler holds the shard", async || {
        holder_now(fleet).is_some_and(|holder| holder != former)
    })
    .await;
    holder(fleet).await
}

/// The scheduler that the row of the only shard has as holder; none while the shard is released or
/// the holder's VM was replaced.
pub fn holder_now(fleet: &Fleet) -> Option<DaemonKey> {
    let row = fleet.platform().row(&row::shard_key("d0", 0))?;
    let row: row::ShardRow = serde_json::from_str(&row.value).ok()?;
    let holder = row.holder?;
    let vm = fleet.vms().find(|vm| {
        fleet.vm_name(*vm) == holder.name && fleet.vm_incarnation(*vm) == holder.incarnation
    })?;
    Some(vm.scheduler())
}

/// Sets a field of the settings of all schedulers to a time in milliseconds.
pub fn set_scheduler_millis(plan: &mut FleetPlan, name: &str, value_ms: u64) {
    if let Some(settings) = &mut plan.scheduler {
        settings[name] = value_ms.into();
    }
}

/// The plan with an additional kind `pour` of urgent batch tasks.
pub fn with_urgent_kind(mut plan: FleetPlan) -> FleetPlan {
    edit_bundle(&mut plan, |document| {
        let found = document.kinds.iter().find(|kind| kind.name == "stock-plan");
        let mut kind = found.expect("the plan has this kind").clone();
        kind.name = "pour".to_owned();
        kind.urgency = KindUrgency::Urgent;
        document.kinds.push(kind);
    });
    plan
}

/// The number of shards that each entry VM holds, by the shard rows.
pub fn held_shards(fleet: &Fleet) -> Vec<usize> {
    let rows = fleet.platform().rows("shard/");
    let holders: Vec<String> = rows
        .iter()
        .filter_map(|found| {
            let row: row::ShardRow = serde_json::from_str(&found.value).ok()?;
            Some(row.holder?.name)
        })
        .collect();
    fleet
        .vms()
        .map(|vm| {
            let own = holders.iter().filter(|name| *name == fleet.vm_name(vm));
            own.count()
        })
        .collect()
}

/// Waits until an entry VM answers that a task has this state.
pub async fn await_shown(fleet: &Fleet, vm: u32, id: &str, state: TaskState) {
    let address = fleet.request_address(EntryKey(vm).scheduler());
    let condition = format!("{id} is shown as {state:?}");
    await_true(fleet, &condition, async || {
        let answer = fleet::show_task(address, id).await;
        let shown = answer.and_then(|answer| answer.json::<TaskAnswer>());
        shown.is_ok_and(|task| task.state == state)
    })
    .await;
}
