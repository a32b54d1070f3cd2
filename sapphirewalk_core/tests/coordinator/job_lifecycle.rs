//! Order of steps, cancellation, attempts and capacity, without faults except failing runs.

use sapphirewalk_core::job_registry::JobState;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut simulation = ClusterSimulation::new(1, 4, FaultPlan::default());
    let steps = vec![
        simulation::step(4, 1_000, 500, &[]),
        simulation::step(2, 1_000, 400, &[0]),
        simulation::step(3, 1_000, 300, &[0, 1]),
    ];
    simulation.submit(1_000, 7, "urgent", steps);
    simulation.run_until(6_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.committed_state(7), Some(JobState::Completed));
    let completion_ms = simulation.completed[&sapphirewalk_core::job_spec::JobId(7)];
    // The steps take 1200 ms in all; commits, orders and polls add some 30 ms to each.
    assert!(completion_ms < 1_400, "job 7 took {completion_ms} ms");
}

#[test]
fn a_cancelled_job_is_stopped_and_not_started_again() {
    let mut simulation = ClusterSimulation::new(2, 4, FaultPlan::default());
    simulation.submit(
        1_000,
        7,
        "bulk",
        vec![simulation::step(4, 1_000, 60_000, &[])],
    );
    simulation.cancel(3_000, 7);
    simulation.run_until(2_900);
    assert_eq!(simulation.running_tasks(7), 4);
    simulation.run_until(4_000);
    assert_eq!(simulation.committed_state(7), Some(JobState::Cancelled));
    assert_eq!(simulation.running_tasks(7), 0);
    simulation.run_until(10_000);
    assert_eq!(simulation.running_tasks(7), 0);
    assert!(simulation.starts.values().all(|starts| *starts == 1));
}

#[test]
fn a_task_that_always_fails_fails_its_job_after_max_attempts() {
    let plan = FaultPlan {
        failing_runs: 1.0,
        ..FaultPlan::default()
    };
    let mut simulation = ClusterSimulation::new(3, 4, plan);
    simulation.submit(1_000, 7, "bulk", vec![simulation::step(1, 1_000, 100, &[])]);
    simulation.run_until(30_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.committed_state(7), Some(JobState::Failed));
    assert_eq!(simulation.starts.values().copied().collect::<Vec<_>>(), [3]);
}

#[test]
fn a_step_keeps_its_limit_of_tasks_per_worker() {
    let mut simulation = ClusterSimulation::new(4, 4, FaultPlan::default());
    let mut step = simulation::step(8, 500, 1_000, &[]);
    step.per_worker = 1;
    simulation.submit(1_000, 7, "urgent", vec![step]);
    simulation.run_until(1_500);
    assert_eq!(simulation.running_tasks(7), 4);
    simulation.run_until(8_000);
    assert_eq!(simulation.committed_state(7), Some(JobState::Completed));
}

#[test]
fn no_start_exceeds_the_capacity_of_its_worker() {
    let mut simulation = ClusterSimulation::new(5, 3, FaultPlan::default());
    for id in 0..30 {
        simulation.submit(
            1_000,
            id,
            "bulk",
            vec![simulation::step(4, 3_000, 700, &[])],
        );
    }
    simulation.run_until(30_000);
    assert_eq!(simulation.no_room_answers, 0);
    assert_eq!(simulation.completed.len(), 30);
}

#[test]
fn tasks_move_off_a_leaving_worker_unless_they_end_in_time() {
    let mut simulation = ClusterSimulation::new(6, 4, FaultPlan::default());
    let mut service = simulation::step(8, 1_000, 1_000, &[]);
    service.service = true;
    simulation.submit(1_000, 7, "service", vec![service]);
    simulation.submit(
        1_000,
        8,
        "bulk",
        vec![simulation::step(8, 500, 60_000, &[])],
    );
    simulation.submit(2_500, 9, "bulk", vec![simulation::step(8, 500, 800, &[])]);
    simulation.run_until(2_900);
    assert!(simulation.running_tasks_on(1, 7) > 0 && simulation.running_tasks_on(1, 8) > 0);
    let short_tasks = simulation.running_tasks_on(1, 9);
    assert!(short_tasks > 0);
    simulation.leaving_workers = vec![1];
    simulation.run_until(5_000);
    // Job 9 ends before the worker leaves and isn't moved; the tasks of jobs 7 and 8 are.
    assert_eq!(
        (
            simulation.running_tasks_on(1, 7),
            simulation.running_tasks_on(1, 8)
        ),
        (0, 0)
    );
    assert_eq!(
        (simulation.running_tasks(7), simulation.running_tasks(8)),
        (8, 8)
    );
    let job = sapphirewalk_core::job_spec::JobId(9);
    assert!(
        simulation
            .starts
            .iter()
            .all(|(task, starts)| task.job != job || *starts == 1)
    );
    assert_eq!(simulation.violations, Vec::<String>::new());
}
