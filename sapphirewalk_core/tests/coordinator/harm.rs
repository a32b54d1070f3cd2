//! Best-effort tasks that interfere with a service in a way that the leader hasn't learned.

use sapphirewalk_core::job_spec::JobId;
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

/// A service beside best-effort tasks that outlast the trial, of which one image begins to interfere
/// at `change_ms`, where the trial stands then.
fn begin_trial(seed: u64, change_ms: u64, images: u64, tasks: u16) -> ClusterSimulation {
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
    simulation
}

/// The longest time over the target in a trial.
fn longest_over_target_ms(seed: u64, change_ms: u64, images: u64, tasks: u16) -> u64 {
    let mut simulation = begin_trial(seed, change_ms, images, tasks);
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

/// Guards against tasks that are evicted and start again on the same worker, or others in their
/// place, while the service task is still over its target.
#[test]
fn no_best_effort_task_starts_where_others_are_being_evicted() {
    for images in 2..6 {
        let mut simulation = begin_trial(images, CHANGE_MS, images, 6);
        let mut now_ms = CHANGE_MS;
        let evictions = |simulation: &ClusterSimulation| {
            let reasons = simulation.stop_reasons.iter();
            reasons.filter(|reason| *reason == "harm").count()
        };
        while evictions(&simulation) == 0 && now_ms < CHANGE_MS + HARM_BOUND_MS {
            now_ms += 5;
            simulation.run_until(now_ms);
        }
        let starts_of = |simulation: &ClusterSimulation, image: u64| {
            let starts = simulation.starts.iter();
            let of_image = starts.filter(|(task, _)| task.job == JobId(100 + image));
            of_image.map(|(_, count)| count).sum::<u32>()
        };
        let before: Vec<u32> = (0..images)
            .map(|image| starts_of(&simulation, image))
            .collect();
        let mut over_target_ms = 0;
        while simulation.over_target_ms > over_target_ms {
            over_target_ms = simulation.over_target_ms;
            for (image, starts) in (0..images).zip(&before) {
                let new_starts = starts_of(&simulation, image) - starts;
                assert_eq!(new_starts, 0, "{images} images");
            }
            now_ms += 5;
            simulation.run_until(now_ms);
        }
    }
}
