//! Partitions, slow links, lost answers, restarts and rollouts in a pseudo-random order, under
//! load.
//!
//! `SAPPHIREWALK_STORM_SEED` and `SAPPHIREWALK_STORM_STEPS` set the seed and the number of faults.

use std::env;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;
use sapphirewalk_wire::task::TaskAnswer;
use sapphirewalk_wire::task::TaskState;

use crate::support;
use crate::support::TestFleet;

/// Seed of the run in CI.
const SEED: u64 = 7;
/// Number of faults of the run in CI.
const STEPS: u64 = 24;
/// Seed of the longer run.
const LONGER_SEED: u64 = 5;
/// Number of faults of the longer run.
const LONGER_STEPS: u64 = 50;
/// Prefix of the keys of task rows.
const TASK_ROW_PREFIX: &str = "task/";
/// Time between two faults.
const STEP_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// Number of kinds of fault.
const FAULT_KINDS: u32 = 10;

/// A fleet under random faults.
struct StormRun {
    fleet: TestFleet,
    plan: FleetPlan,
    rng: ChaCha8Rng,
    /// IDs of the tasks whose submission was accepted.
    accepted: Vec<String>,
    /// Number of rollouts that were accepted after the first.
    rollouts: u64,
}

impl StormRun {
    /// Injects one fault and submits one task.
    async fn step(&mut self, step: u64) {
        let (one, other) = (self.random_vm(), self.random_vm());
        let domain = self.rng.random_range(0..2);
        match self.rng.random_range(0..FAULT_KINDS) {
            0 if one != other => self.fleet.partition(one, other),
            1 if one != other => self.fleet.partition_one_way(one, other),
            2 if one != other => self.fleet.heal(one, other),
            3 => self.fleet.partition_domain(domain),
            4 | 5 => self.fleet.heal_domain(domain),
            6 if one != other => self.fleet.set_link_delay_ms(one, other, 20),
            7 => self.fleet.platform().lose_answers(3),
            8 => self.restart(one),
            9 => self.roll_out(step).await,
            _ => {}
        }
        self.submit(step).await;
    }

    fn random_vm(&mut self) -> EntryKey {
        EntryKey(self.rng.random_range(0..4))
    }

    fn restart(&mut self, vm: EntryKey) {
        let key = if self.rng.random_bool(0.5) {
            vm.gateway()
        } else {
            vm.scheduler()
        };
        self.fleet.start_daemon(key).expect("the daemon starts");
    }

    async fn roll_out(&mut self, step: u64) {
        let bundle = support::bundle(&self.plan, &format!("step-{step}"));
        let rolled_out = self.fleet.roll_out_bundle(&bundle, "storm").await;
        self.rollouts += u64::from(rolled_out.is_ok());
    }

    async fn submit(&mut self, step: u64) {
        let vm = self.random_vm();
        let key = format!("storm-{step}");
        let submission = fleet::task_submission(&key, "stock-plan", &support::task(1_000));
        let address = self.fleet.request_address(vm.scheduler());
        // A scheduler that was just killed sends no answer.
        if let Ok(answer) = fleet::submit_task(address, &submission).await
            && answer.status.is_success()
        {
            let task: TaskAnswer = answer.json().expect("a valid task answer");
            self.accepted.push(task.id);
        }
    }

    /// Removes all faults, and waits until the last rollout is in force at all daemons.
    async fn clear_faults(&mut self) {
        for one in self.fleet.vms() {
            for other in self.fleet.vms().filter(|other| *other != one) {
                self.fleet.heal(one, other);
                self.fleet.set_link_delay_ms(one, other, 0);
            }
        }
        self.fleet.heal_domain(0);
        self.fleet.heal_domain(1);
        self.fleet.platform().lose_answers(0);
        let daemons: Vec<DaemonKey> = self.fleet.daemons().collect();
        support::await_in_force(&self.fleet, &daemons, 1 + self.rollouts).await;
    }

    async fn await_accepted_finished(&self) {
        let address = self.fleet.request_address(EntryKey(0).scheduler());
        for id in &self.accepted {
            let condition = format!("{id} is shown as finished");
            support::await_true(&self.fleet, &condition, async || {
                let shown = fleet::show_task(address, id).await;
                let shown = shown.and_then(|answer| answer.json::<TaskAnswer>());
                shown.is_ok_and(|task| task.state == TaskState::Finished)
            })
            .await;
            self.assert_finished_once(id);
        }
    }
}

impl StormRun {
    /// Asserts that a task finished once; otherwise prints the task rows and the log lines about
    /// it.
    fn assert_finished_once(&self, id: &str) {
        let records = self.fleet.attempt_ledger().records_of(id);
        let finished = self.fleet.attempt_ledger().finish_count(id);
        if finished != 1 {
            for row in self.fleet.platform().rows(TASK_ROW_PREFIX) {
                eprintln!("{row:?}");
            }
            for key in self.fleet.daemons() {
                print_task_log(&self.fleet.log(key), key, id);
            }
        }
        assert_eq!(finished, 1, "{id} {records:?}");
    }
}

/// Prints the log lines of a daemon about the task, changes of shard holders and process starts.
fn print_task_log(log: &str, key: DaemonKey, id: &str) {
    let relevant = ["shard_changed", "process_started", id];
    let lines = log.lines();
    for line in lines.filter(|line| relevant.iter().any(|word| line.contains(word))) {
        eprintln!("{key:?} {line}");
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_violate_no_guarantee() {
    let seed = env_number("SAPPHIREWALK_STORM_SEED", SEED);
    let steps = env_number("SAPPHIREWALK_STORM_STEPS", STEPS);
    run_faults(seed, steps).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn longer_run_of_random_faults_violates_no_guarantee() {
    run_faults(LONGER_SEED, LONGER_STEPS).await;
}

async fn run_faults(seed: u64, steps: u64) {
    let plan = support::plan(2);
    let mut run = StormRun {
        fleet: support::start(plan.clone()).await,
        plan,
        rng: ChaCha8Rng::seed_from_u64(seed),
        accepted: Vec::new(),
        rollouts: 0,
    };
    let gateways = load::gateways(&run.fleet);
    let mut request = CallerRequest::new("order");
    request.service_ms = 50;
    let mut charge = support::charge("each");
    charge.service_ms = 20;
    let crowds = [
        CallerGroup::start(&gateways, 64, &request),
        CallerGroup::start(&gateways, 16, &charge),
    ];
    for step in 0..steps {
        run.step(step).await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    run.clear_faults().await;
    for crowd in crowds {
        let records = crowd.stop().await;
        support::assert_not_run_outcomes(&run.fleet, &records);
        assert!(support::count(&records, endpoint::OUTCOME_ANSWERED) > 0);
    }
    support::assert_request_invariants(&run.fleet);
    run.await_accepted_finished().await;
    support::assert_task_invariants(&run.fleet);
}
