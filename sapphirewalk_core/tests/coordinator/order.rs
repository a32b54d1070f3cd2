//! Jobs on a calm day.

use sapphirewalk_core::job_registry::JobState;

use crate::world;
use crate::world::FaultPlan;
use crate::world::World;

#[test]
fn steps_run_in_order_and_the_job_completes() {
    let mut world = World::new(1, 4, FaultPlan::default());
    let steps = vec![
        world::step(4, 1_000, 500, &[]),
        world::step(2, 1_000, 400, &[0]),
        world::step(3, 1_000, 300, &[0, 1]),
    ];
    world.submit(1_000, 7, "urgent", steps);
    world.run_until(6_000);
    assert_eq!(world.breaches, Vec::<String>::new());
    assert_eq!(world.shown(7), Some(JobState::Completed));
    let took = world.completed[&sapphirewalk_core::job_spec::JobId(7)];
    // The chain takes 1200 ms; records, orders and polls add some 30 ms to each step.
    assert!(took < 1_400, "took {took} ms");
}

#[test]
fn a_cancelled_job_is_stopped_and_not_started_again() {
    let mut world = World::new(2, 4, FaultPlan::default());
    world.submit(1_000, 7, "bulk", vec![world::step(4, 1_000, 60_000, &[])]);
    world.cancel(3_000, 7);
    world.run_until(2_900);
    assert_eq!(world.running(7), 4);
    world.run_until(4_000);
    assert_eq!(world.shown(7), Some(JobState::Cancelled));
    assert_eq!(world.running(7), 0);
    world.run_until(10_000);
    assert_eq!(world.running(7), 0);
    assert!(world.starts.values().all(|starts| *starts == 1));
}

#[test]
fn a_task_that_always_fails_ends_its_job_after_the_allowed_attempts() {
    let plan = FaultPlan {
        failing_runs: 1.0,
        ..FaultPlan::default()
    };
    let mut world = World::new(3, 4, plan);
    world.submit(1_000, 7, "bulk", vec![world::step(1, 1_000, 100, &[])]);
    world.run_until(30_000);
    assert_eq!(world.breaches, Vec::<String>::new());
    assert_eq!(world.shown(7), Some(JobState::Failed));
    assert_eq!(world.starts.values().copied().collect::<Vec<_>>(), [3]);
}

#[test]
fn a_step_stays_within_its_bound_on_one_worker() {
    let mut world = World::new(4, 4, FaultPlan::default());
    let mut step = world::step(8, 500, 1_000, &[]);
    step.per_worker = 1;
    world.submit(1_000, 7, "urgent", vec![step]);
    world.run_until(1_500);
    assert_eq!(world.running(7), 4);
    world.run_until(8_000);
    assert_eq!(world.shown(7), Some(JobState::Completed));
}

#[test]
fn no_worker_is_given_more_than_it_has() {
    let mut world = World::new(5, 3, FaultPlan::default());
    for id in 0..30 {
        world.submit(1_000, id, "bulk", vec![world::step(4, 3_000, 700, &[])]);
    }
    world.run_until(30_000);
    assert_eq!(world.no_room, 0);
    assert_eq!(world.completed.len(), 30);
}

#[test]
fn tasks_move_off_a_worker_that_is_about_to_leave() {
    let mut world = World::new(6, 4, FaultPlan::default());
    let mut service = world::step(8, 1_000, 1_000, &[]);
    service.service = true;
    world.submit(1_000, 7, "service", vec![service]);
    world.submit(1_000, 8, "bulk", vec![world::step(8, 500, 60_000, &[])]);
    world.submit(2_500, 9, "bulk", vec![world::step(8, 500, 800, &[])]);
    world.run_until(2_900);
    assert!(world.running_on(1, 7) > 0 && world.running_on(1, 8) > 0);
    let short = world.running_on(1, 9);
    assert!(short > 0);
    world.leaving = vec![1];
    world.run_until(5_000);
    // What ends in time is left alone; the rest goes on elsewhere, well before the worker leaves.
    assert_eq!((world.running_on(1, 7), world.running_on(1, 8)), (0, 0));
    assert_eq!((world.running(7), world.running(8)), (8, 8));
    let job = sapphirewalk_core::job_spec::JobId(9);
    assert!(
        world
            .starts
            .iter()
            .all(|(task, starts)| task.job != job || *starts == 1)
    );
    assert_eq!(world.breaches, Vec::<String>::new());
}
