//! Service tasks whose runs end, on pools that leave them little room.

use sapphirewalk_core::job_spec::StepSpec;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

/// Longest time for which a service task may be without a run, in milliseconds.
const LONGEST_GAP_MS: u64 = 6_000;
/// Number of workers in one trial.
const WORKERS: usize = 2;
/// Number of service tasks that fill a worker.
const TASKS_PER_WORKER: u16 = 4;

/// A service step that fills the given number of workers.
fn filling_step(workers: usize) -> StepSpec {
    let count = TASKS_PER_WORKER * u16::try_from(workers).unwrap();
    let mut step = simulation::step(count, 4_000, 1_000, &[]);
    step.service = true;
    step
}

/// Plays a service that fills all workers, of which the first task fails at the given times.
fn play_failures(times_ms: &[u64]) -> ClusterSimulation {
    let plan = FaultPlan {
        failing_services: times_ms.iter().map(|at| (1, 0, *at)).collect(),
        ..FaultPlan::default()
    };
    let mut simulation = ClusterSimulation::new(1, WORKERS, plan);
    simulation.submit(500, 1, "service", vec![filling_step(WORKERS)]);
    simulation.run_until(times_ms[times_ms.len() - 1] + 20_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.running_tasks(1), WORKERS * 4);
    simulation
}

/// Guards against a quarantine that outlasts the time within which a service task must be back.
#[test]
fn a_service_task_that_fails_again_and_again_on_a_full_pool_is_back_within_6_s() {
    let simulation = play_failures(&[12_000, 14_000, 20_000, 30_000, 45_000]);
    let gap_ms = simulation.longest_restart_ms();
    assert!(gap_ms < LONGEST_GAP_MS, "{gap_ms} ms without a run");
}

/// Guards against failures that are added up for as long as a worker runs nothing but services.
#[test]
fn failures_of_service_tasks_far_apart_quarantine_no_worker() {
    let simulation = play_failures(&[12_000, 32_000, 52_000, 72_000]);
    assert!(!simulation.events.contains_key("worker_quarantined"));
}

/// Guards against a worker that is closed for as long as an inherently long task runs there.
#[test]
fn a_service_task_beside_a_task_that_takes_long_is_back_within_6_s() {
    /// Its first task is inherently long.
    const BULK: u64 = 30;
    let plan = FaultPlan {
        long_factor: 15.0,
        ..FaultPlan::default()
    };
    let workers = 4;
    let mut simulation = ClusterSimulation::new(1, workers, plan);
    let mut step = filling_step(workers);
    step.count -= 4;
    simulation.submit(500, 1, "service", vec![step]);
    let bulk = simulation::step(4, 4_000, 3_000, &[]);
    simulation.submit(2_000, BULK, "bulk", vec![bulk]);
    simulation.run_until(20_000);
    // The others are done, and services take their room.
    let mut step = filling_step(1);
    step.count = 3;
    simulation.submit(20_000, 2, "service", vec![step]);
    simulation.run_until(23_000);
    let mut numbers = 0..workers;
    let number = numbers.find(|number| simulation.running_tasks_on(*number, BULK) > 0);
    simulation.fail_service_on(number.expect("the long task runs"));
    simulation.run_until(23_000 + LONGEST_GAP_MS);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.running_tasks(BULK), 1);
    assert_eq!(
        simulation.running_tasks(1) + simulation.running_tasks(2),
        15
    );
}
