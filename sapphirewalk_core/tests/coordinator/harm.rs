//! Best-effort tasks that interfere with a service in a way that the leader hasn't learned.

use sapphirewalk_core::time::TimeSpan;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

/// Longest time for which a service task may be over its target because of best-effort tasks,
/// `impact_ms` of the platform.
const HARM_BOUND_MS: u64 = 4_000;
/// Time at which interference begins that didn't exist before.
const CHANGE_MS: u64 = 12_000;
/// Longest time between two answers of a worker to polls.
const POLL_MS: u64 = 1_000;

/// Runs a service beside best-effort tasks that outlast the trial, of which one image begins to
/// interfere at `change_ms`. Returns the longest time over the target.
fn longest_over_target_ms(seed: u64, change_ms: u64, images: u64, tasks: u16) -> u64 {
    let mut simulation = ClusterSimulation::new(seed, 1, FaultPlan::default());
    simulation.harm_tolerance_ms = HARM_BOUND_MS;
    let mut service = simulation::step(1, 3_000, 1_000, &[]);
    service.service = true;
    service.image = "s0".to_owned();
    service.tail_target = TimeSpan::from_millis(18);
    simulation.submit(500, 1, "service", vec![service]);
    for image in 0..images {
        let mut step = simulation::step(tasks, 400, 60_000, &[]);
        step.best_effort = true;
        step.image = format!("f{image}");
        simulation.submit(1_000 + image * 400, 100 + image, "bulk", vec![step]);
    }
    simulation.run_until(change_ms);
    let pair = ("f0".to_owned(), "s0".to_owned());
    simulation.interfering_images.push(pair);
    simulation.run_until(change_ms + 12_000);
    assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    simulation.longest_over_target_ms
}

/// Guards against reviews that come only when a run ends or a poll has waited for its whole time.
#[test]
fn unexpected_interference_ends_in_time_wherever_between_two_polls_it_begins() {
    for images in 2..5 {
        for offset_ms in (0..POLL_MS).step_by(50) {
            let change_ms = CHANGE_MS + offset_ms;
            let longest_ms = longest_over_target_ms(images, change_ms, images, 6);
            assert!(longest_ms > 0, "the tasks don't interfere");
            assert!(
                longest_ms < HARM_BOUND_MS,
                "{longest_ms} ms, {images} images, from {change_ms} ms"
            );
        }
    }
}
