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

/// When the leader of the restarts takes over.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TakeoverMoment {
    /// Long before.
    Never,
    /// Just before, and it learns of its predecessor's end after.
    BeforeRestarts,
    /// Just after, so that its first lists are those of the next incarnations.
    AfterRestarts,
}

/// Restarts the workers of a failure domain while orders are carried out late, also by the next
/// incarnation, and cuts them off after they have answered again. Returns the violated invariants.
fn run_crossing_trial(seed: u64, moment: TakeoverMoment) -> Vec<String> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut plan = FaultPlan {
        late_orders: 0.4,
        crossing_span: Some((30, 900)),
        ..FaultPlan::default()
    };
    let cut_ms = CRASH_MS + rng.random_range(1_600..2_600);
    for worker in (0..WORKERS).step_by(simulation::DOMAINS) {
        let crashed_ms = CRASH_MS + rng.random_range(0..50);
        let down_ms = rng.random_range(20..300);
        plan.crashes
            .push((worker, crashed_ms, crashed_ms + down_ms));
        plan.partitions.push((worker, cut_ms, cut_ms + CUT_SPAN_MS));
    }
    let takeover_ms = match moment {
        TakeoverMoment::Never | TakeoverMoment::BeforeRestarts => {
            rng.random_range(CRASH_MS - 600..CRASH_MS - 10)
        }
        TakeoverMoment::AfterRestarts => rng.random_range(CRASH_MS + 20..CRASH_MS + 400),
    };
    let ended_ms = takeover_ms + rng.random_range(50..1_500);
    if moment != TakeoverMoment::Never {
        plan.takeovers.push(takeover_ms);
    }
    let mut simulation = ClusterSimulation::new(seed, WORKERS, plan);
    for id in 0..170 {
        let steps = vec![simulation::step(1, 600, 60_000, &[])];
        simulation.submit(500 + id * 25, id, "bulk", steps);
    }
    if moment != TakeoverMoment::Never {
        simulation.run_until(ended_ms);
        simulation.predecessor_ended();
    }
    simulation.run_until(cut_ms + CUT_SPAN_MS + 3_000);
    simulation.violations
}

/// Guards against a second run of a task after a late order has given the longest lease to the next
/// incarnation of its worker.
#[test]
fn late_orders_to_a_restarted_worker_let_no_task_run_twice() {
    for seed in 0..SEEDS {
        let violations = run_crossing_trial(seed, TakeoverMoment::Never);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a successor that shortens its wait for the leases of restarted workers once it
/// learns that its predecessor has ended.
#[test]
fn the_end_of_a_predecessor_ends_no_wait_for_leases_of_restarted_workers() {
    for seed in 0..SEEDS {
        let violations = run_crossing_trial(seed, TakeoverMoment::BeforeRestarts);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against a successor that doesn't know of a restart that its predecessor may have missed.
#[test]
fn late_orders_of_a_predecessor_to_a_restarted_worker_let_no_task_run_twice() {
    for seed in 0..SEEDS {
        let violations = run_crossing_trial(seed, TakeoverMoment::AfterRestarts);
        assert_eq!(violations, Vec::<String>::new(), "seed {seed}");
    }
}
