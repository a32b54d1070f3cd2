//! Cuts, slow links, lost answers, kills and rollouts in a random order that follows from a seed.
//!
//! `SAPPHIREWALK_STORM_SEED` and `SAPPHIREWALK_STORM_STEPS` choose another run.

use std::env;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::fleet::RequestOrder;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;
use sapphirewalk_wire::task::TaskAnswer;
use sapphirewalk_wire::task::TaskState;

use crate::support;
use crate::support::TestFleet;

/// The seed of the run in CI.
const SEED: u64 = 7;
/// Faults of the run in CI.
const STEPS: u64 = 24;
/// The seed of the longer run.
const LONGER_SEED: u64 = 5;
/// Faults of the longer run.
const LONGER_STEPS: u64 = 50;
/// Keys of task rows begin so.
const TASK_ROWS: &str = "task/";
/// Time between two faults.
const STEP_SPAN: time::Duration = time::Duration::from_millis(300);
/// Kinds of fault.
const FAULTS: u32 = 10;

/// A fleet in a storm.
struct StormRun {
    fleet: TestFleet,
    plan: FleetPlan,
    rng: ChaCha8Rng,
    /// Tasks that were accepted.
    accepted: Vec<String>,
    rollouts: u64,
}

impl StormRun {
    async fn step(&mut self, step: u64) {
        let (one, other) = (self.any_vm(), self.any_vm());
        let domain = self.rng.random_range(0..2);
        match self.rng.random_range(0..FAULTS) {
            0 if one != other => self.fleet.cut(one, other),
            1 if one != other => self.fleet.cut_one_way(one, other),
            2 if one != other => self.fleet.heal(one, other),
            3 => self.fleet.cut_domain(domain),
            4 | 5 => self.fleet.heal_domain(domain),
            6 if one != other => self.fleet.set_link_delay_ms(one, other, 20),
            7 => self.fleet.platform().lose_answers(3),
            8 => self.restart(one),
            9 => self.roll_out(step).await,
            _ => {}
        }
        self.submit(step).await;
    }

    fn any_vm(&mut self) -> EntryKey {
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
        let vm = self.any_vm();
        let key = format!("storm-{step}");
        let submission = fleet::task_submission(&key, "stock-plan", &support::task(1_000));
        let address = self.fleet.request_address(vm.scheduler());
        // A scheduler that was just killed answers nothing.
        if let Ok(answer) = fleet::submit_task(address, &submission).await
            && answer.status.is_success()
        {
            let task: TaskAnswer = answer.json().expect("a task's answer");
            self.accepted.push(task.id);
        }
    }

    async fn calm(&mut self) {
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
    /// Shows the rows and what the daemons logged of a task that did not finish just once.
    fn assert_finished_once(&self, id: &str) {
        let records = self.fleet.runs().records_of(id);
        let finished = self.fleet.runs().finish_count(id);
        if finished != 1 {
            for row in self.fleet.platform().rows(TASK_ROWS) {
                eprintln!("{row:?}");
            }
            for key in self.fleet.daemons() {
                print_log_of(&self.fleet.log(key), key, id);
            }
        }
        assert_eq!(finished, 1, "{id} {records:?}");
    }
}

fn print_log_of(log: &str, key: DaemonKey, id: &str) {
    let told = ["shard_changed", "process_started", id];
    let lines = log.lines();
    for line in lines.filter(|line| told.iter().any(|word| line.contains(word))) {
        eprintln!("{key:?} {line}");
    }
}

fn number(name: &str, default: u64) -> u64 {
    let text = env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_promise() {
    let seed = number("SAPPHIREWALK_STORM_SEED", SEED);
    let steps = number("SAPPHIREWALK_STORM_STEPS", STEPS);
    outlast(seed, steps).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn longer_run_of_random_faults_breaks_no_promise() {
    outlast(LONGER_SEED, LONGER_STEPS).await;
}

async fn outlast(seed: u64, steps: u64) {
    let plan = support::plan(2);
    let mut run = StormRun {
        fleet: support::start(plan.clone()).await,
        plan,
        rng: ChaCha8Rng::seed_from_u64(seed),
        accepted: Vec::new(),
        rollouts: 0,
    };
    let gateways = load::gateways(&run.fleet);
    let mut order = RequestOrder::new("order");
    order.service_ms = 50;
    let mut charge = support::charge("each");
    charge.service_ms = 20;
    let crowds = [
        CallerGroup::start(&gateways, 64, &order),
        CallerGroup::start(&gateways, 16, &charge),
    ];
    for step in 0..steps {
        run.step(step).await;
        tokio::time::sleep(STEP_SPAN).await;
    }
    run.calm().await;
    for crowd in crowds {
        let records = crowd.stop().await;
        support::assert_not_run_honest(&run.fleet, &records);
        assert!(support::count(&records, endpoint::OUTCOME_ANSWERED) > 0);
    }
    support::assert_requests_sound(&run.fleet);
    run.await_accepted_finished().await;
    support::assert_tasks_sound(&run.fleet);
}
