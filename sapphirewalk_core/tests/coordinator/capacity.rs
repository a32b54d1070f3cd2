//! Workers whose capacity shrinks and grows, and that don't guard it themselves.

use sapphirewalk_core::job_registry::JobState;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

/// Plan in which the capacity of four of six workers shrinks to a quarter and grows again.
fn shrinking_plan() -> FaultPlan {
    let changes = (0..4).flat_map(|worker| {
        let at = 3_000 + worker as u64 * 500;
        [(worker, at, 0.25), (worker, at + 12_000, 1.0)]
    });
    FaultPlan {
        capacity_changes: changes.collect(),
        unguarded: true,
        ..FaultPlan::default()
    }
}

/// Runs jobs that fill six workers for 30 s.
fn run_trial(seed: u64, plan: FaultPlan) -> ClusterSimulation {
    let mut simulation = ClusterSimulation::new(seed, 6, plan);
    for id in 0..60 {
        let queue = if id % 3 == 0 { "urgent" } else { "bulk" };
        let step = simulation::step(6, 2_000 + id % 3 * 1_000, 600 + id * 20, &[]);
        simulation.submit(800 + id * 350, id, queue, vec![step]);
    }
    simulation.run_until(60_000);
    simulation
}

fn assert_all_completed(seed: u64, simulation: &ClusterSimulation) {
    assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    for id in 0..60 {
        let state = simulation.committed_state(id);
        assert_eq!(state, Some(JobState::Completed), "seed {seed}: job {id}");
    }
}

#[test]
fn no_start_exceeds_a_capacity_that_has_shrunk() {
    for seed in 0..10 {
        assert_all_completed(seed, &run_trial(seed, shrinking_plan()));
    }
}

#[test]
fn no_late_or_repeated_start_exceeds_a_capacity_that_has_shrunk() {
    for seed in 100..115 {
        let plan = FaultPlan {
            lost_answers: 0.1,
            lost_commit_answers: 0.2,
            takeovers: vec![12_000],
            store_outages: vec![(3_010, 9_500)],
            ..shrinking_plan()
        };
        assert_all_completed(seed, &run_trial(seed, plan));
    }
}

#[test]
fn a_capacity_that_has_grown_again_is_used() {
    let plan = FaultPlan {
        capacity_changes: (0..2)
            .flat_map(|worker| [(worker, 500, 0.0), (worker, 6_000, 1.0)])
            .collect(),
        unguarded: true,
        ..FaultPlan::default()
    };
    let mut simulation = ClusterSimulation::new(1, 2, plan);
    simulation.submit(
        2_000,
        7,
        "bulk",
        vec![simulation::step(8, 3_000, 1_000, &[])],
    );
    simulation.run_until(5_900);
    assert_eq!(simulation.running_tasks(7), 0);
    simulation.run_until(8_000);
    assert_eq!(simulation.start_count(7), 8);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

#[test]
fn urgent_tasks_stop_nothing_on_a_worker_that_is_over_its_capacity() {
    let plan = FaultPlan {
        capacity_changes: vec![(0, 3_000, 0.25)],
        unguarded: true,
        ..FaultPlan::default()
    };
    let mut simulation = ClusterSimulation::new(1, 1, plan);
    simulation.submit(
        1_000,
        7,
        "bulk",
        vec![simulation::step(16, 1_000, 20_000, &[])],
    );
    simulation.submit(
        8_000,
        8,
        "urgent",
        vec![simulation::step(1, 5_000, 30_000, &[])],
    );
    simulation.run_until(12_000);
    // The urgent task needs more than the worker has left, however many others stop.
    assert_eq!(simulation.stop_reasons, Vec::<String>::new());
    assert_eq!(simulation.running_tasks(7), 16);
}

#[test]
fn runs_that_are_being_stopped_count_after_a_takeover() {
    for seed in 200..220 {
        // The cancelled jobs have no place in the memory of the successor, but their runs go on.
        let plan = FaultPlan {
            takeovers: vec![4_000 + seed % 10 * 20],
            unguarded: true,
            ..FaultPlan::default()
        };
        let mut simulation = ClusterSimulation::new(seed, 3, plan);
        for id in 0..3 {
            simulation.submit(
                1_000,
                id,
                "bulk",
                vec![simulation::step(5, 3_000, 30_000, &[])],
            );
            simulation.cancel(3_760 + seed % 10 * 42, id);
        }
        simulation.submit(
            2_000,
            9,
            "bulk",
            vec![simulation::step(12, 3_000, 1_000, &[])],
        );
        simulation.run_until(10_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
        assert_eq!(
            simulation.committed_state(9),
            Some(JobState::Completed),
            "seed {seed}"
        );
    }
}
