//! Workers that restart under their identifiers and are cut off soon after, while starts are ordered.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

const WORKERS: usize = 12;
/// Jobs of one task each that run for longer than the trial, and the interval between them.
const JOBS: u64 = 300;
const SUBMIT_INTERVAL_MS: u64 = 20;
const CRASH_MS: u64 = 4_000;
const CUT_SPAN_MS: u64 = 11_000;
const SEEDS: u64 = 110;

/// Restarts the workers of a failure domain and cuts them off, in most trials with a takeover in
/// between. Returns the violated invariants.
fn run_trial(seed: u64) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let cut_ms = CRASH_MS + rng.random_range(500..3_000);
    let mut plan = FaultPlan::default();
    for worker in (0..WORKERS).step_by(simulation::DOMAINS) {
        let crashed_ms = CRASH_MS + rng.random_range(0..50);
        let down_ms = rng.random_range(20..450);
        let crash = (worker, crashed_ms, crashed_ms + down_ms);
        plan.crashes.push(crash);
        plan.partitions.push((worker, cut_ms, cut_ms + CUT_SPAN_MS));
    }
    let takeover_ms = rng.random_range(CRASH_MS..cut_ms + 100);
    let takes_over = rng.random_bool(0.7);
    let has_ended = rng.random_bool(0.7);
    if takes_over {
        plan.takeovers.push(takeover_ms);
    }
    let mut simulation = ClusterSimulation::new(seed, WORKERS, plan);
    for id in 0..JOBS {
        let steps = vec![simulation::step(1, 600, 60_000, &[])];
        simulation.submit(500 + id * SUBMIT_INTERVAL_MS, id, "bulk", steps);
    }
    simulation.run_until(takeover_ms + 400);
    if takes_over && has_ended {
        simulation.predecessor_ended();
    }
    simulation.run_until(cut_ms + CUT_SPAN_MS + 3_000);
    simulation.violations
}

/// Guards against a second run of a task after a start for a worker's former incarnation has reached
/// the next one, whose lease then outlasts the one that the leader counts with.
#[test]
fn runs_of_a_restarted_worker_that_is_cut_off_are_not_repeated_before_its_lease_ends() {
    for seed in 0..SEEDS {
        assert_eq!(run_trial(seed), Vec::<String>::new(), "seed {seed}");
    }
}
