//! All faults of the simulation at once, at random, with answers that overtake each other.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

const WORKERS: usize = 10;
const JOBS: u64 = 40;
const SEEDS: u64 = 60;

/// A span within the time in which jobs arrive, of at most `longest_ms`.
fn random_span(rng: &mut ChaCha8Rng, longest_ms: u64) -> (u64, u64) {
    let from = rng.random_range(1_000..16_000);
    (from, from + rng.random_range(10..longest_ms))
}

/// Faults of each kind with a probability of 0.6.
fn random_plan(rng: &mut ChaCha8Rng) -> FaultPlan {
    let mut plan = FaultPlan {
        list_lag_ms: 3,
        failing_runs: 0.02,
        ..FaultPlan::default()
    };
    if rng.random_bool(0.6) {
        plan.slow_answers = 0.2;
    }
    if rng.random_bool(0.6) {
        for _ in 0..rng.random_range(1..6) {
            let worker = rng.random_range(0..WORKERS);
            let longest_ms = if rng.random_bool(0.7) { 700 } else { 4_000 };
            let (from, to) = random_span(rng, longest_ms);
            plan.crashes.push((worker, from, to));
        }
    }
    if rng.random_bool(0.6) {
        for _ in 0..rng.random_range(1..4) {
            plan.takeovers.push(rng.random_range(2_000..18_000));
        }
    }
    if rng.random_bool(0.6) {
        for _ in 0..rng.random_range(1..4) {
            let worker = rng.random_range(0..WORKERS);
            let (from, to) = random_span(rng, 9_000);
            plan.partitions.push((worker, from, to));
        }
    }
    if rng.random_bool(0.6) {
        plan.lost_commit_answers = 0.3;
    }
    if rng.random_bool(0.6) {
        plan.late_orders = 0.05;
        plan.lost_answers = 0.05;
    }
    if rng.random_bool(0.6) {
        for _ in 0..rng.random_range(1..3) {
            plan.freezes.push(random_span(rng, 6_000));
        }
    }
    if rng.random_bool(0.6) {
        plan.store_outages.push(random_span(rng, 4_000));
    }
    plan
}

/// Runs random jobs of all kinds, and returns the violated invariants.
fn run_trial(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let plan = random_plan(&mut rng);
    let mut simulation = ClusterSimulation::new(seed, WORKERS, plan);
    simulation.fences_on_arrival = seed.is_multiple_of(2);
    simulation.stop_delay_ms = rng.random_range(5..900);
    for id in 0..JOBS {
        let at = rng.random_range(500..14_000);
        let count = rng.random_range(1..8);
        let mut first = simulation::step(count, 1_500, rng.random_range(100..2_500), &[]);
        if id % 8 == 3 {
            first.service = true;
            simulation.submit(at, id, "service", vec![first]);
            continue;
        }
        if id % 2 == 1 && rng.random_bool(0.5) {
            first.best_effort = true;
            first.checkpoints = true;
        }
        let count = rng.random_range(1..5);
        let second = simulation::step(count, 2_000, rng.random_range(100..1_500), &[0]);
        let queue = if id % 2 == 0 { "urgent" } else { "bulk" };
        simulation.submit(at, id, queue, vec![first, second]);
    }
    simulation.run_until(40_000);
    simulation.violations
}

#[test]
fn no_task_has_two_runs_at_once_under_crossed_faults() {
    for seed in 0..SEEDS {
        let mut violations = run_trial(seed);
        violations.retain(|violation| violation.contains("runs twice"));
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against done tasks that run again because an acknowledgement reached the next incarnation
/// of their worker.
#[test]
fn no_done_task_runs_again_under_crossed_faults() {
    for seed in 0..SEEDS {
        assert_eq!(run_trial(seed), Vec::<String>::new(), "seed {seed}");
    }
}
