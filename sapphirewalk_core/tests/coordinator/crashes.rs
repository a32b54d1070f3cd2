//! Tasks that crash the workers that start them, beside tasks that only happen to be there.

use sapphirewalk_core::job_registry::JobState;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;
use crate::simulation::KillerTask;

/// Number of workers in one trial.
const WORKERS: usize = 12;
/// First of the jobs with a task that crashes its workers.
const FIRST_KILLER: u64 = 900;

/// Plan in which the first task of each of `killers` jobs crashes its workers after `after_ms`.
fn killer_plan(killers: u64, after_ms: u64, new_ids: bool) -> FaultPlan {
    let killer_tasks = (0..killers).map(|number| KillerTask {
        job: FIRST_KILLER + number,
        step: 0,
        index: 0,
        after_ms,
    });
    FaultPlan {
        killer_tasks: killer_tasks.collect(),
        new_ids_after_crash: new_ids,
        ..FaultPlan::default()
    }
}

/// Runs `killers` jobs with a task that crashes its workers beside 40 harmless jobs and a service.
fn run_trial(seed: u64, killers: u64, plan: FaultPlan) -> ClusterSimulation {
    let mut simulation = ClusterSimulation::new(seed, WORKERS, plan);
    for id in 0..40 {
        let queue = if id % 2 == 0 { "urgent" } else { "bulk" };
        let first = simulation::step(6, 1_000, 700 + id * 30, &[]);
        let second = simulation::step(4, 1_500, 900, &[0]);
        simulation.submit(800 + id * 400, id, queue, vec![first, second]);
    }
    let mut service = simulation::step(12, 500, 1_000, &[]);
    service.service = true;
    simulation.submit(600, 500, "service", vec![service]);
    for number in 0..killers {
        let step = simulation::step(6, 1_000, 800, &[]);
        simulation.submit(
            4_000 + number * 700,
            FIRST_KILLER + number,
            "urgent",
            vec![step],
        );
    }
    simulation.run_until(90_000);
    // Where answers are lost all the time, leases of service tasks run out now and then.
    for at in (90_500..100_000).step_by(500) {
        if simulation.running_tasks(500) < 12 {
            simulation.run_until(at);
        }
    }
    simulation
}

/// Asserts that each job with a crashing task failed, that all others are done, and that no
/// invariant was violated.
fn assert_only_killers_failed(seed: u64, killers: u64, simulation: &ClusterSimulation) {
    assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    for id in 0..40 {
        let state = simulation.committed_state(id);
        assert_eq!(state, Some(JobState::Completed), "seed {seed}: job {id}");
    }
    assert_eq!(simulation.running_tasks(500), 12, "seed {seed}");
    for number in 0..killers {
        let id = FIRST_KILLER + number;
        let state = simulation.committed_state(id);
        assert_eq!(state, Some(JobState::Failed), "seed {seed}: job {id}");
        assert_eq!(simulation.running_tasks(id), 0, "seed {seed}: job {id}");
    }
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    for seed in 0..10 {
        let simulation = run_trial(seed, 1, killer_plan(1, 10, true));
        assert_only_killers_failed(seed, 1, &simulation);
    }
}

#[test]
fn a_task_that_crashes_workers_which_return_under_their_identifier_is_given_up() {
    for seed in 100..110 {
        let simulation = run_trial(seed, 1, killer_plan(1, 10, false));
        assert_only_killers_failed(seed, 1, &simulation);
    }
}

#[test]
fn a_task_that_crashes_its_workers_some_seconds_after_its_start_is_given_up() {
    for seed in 200..205 {
        let mut plan = killer_plan(1, 2_500, seed % 2 == 0);
        plan.wrong_estimates = vec![(FIRST_KILLER, 5.0)];
        let simulation = run_trial(seed, 1, plan);
        assert_only_killers_failed(seed, 1, &simulation);
    }
}

#[test]
fn several_crashing_tasks_at_once_fail_no_task_beside_them() {
    for seed in 300..310 {
        let simulation = run_trial(seed, 4, killer_plan(4, 10, seed % 2 == 0));
        assert_only_killers_failed(seed, 4, &simulation);
    }
}

#[test]
fn crashes_under_a_task_are_counted_across_takeovers() {
    for seed in 400..420 {
        let plan = FaultPlan {
            takeovers: vec![
                4_020 + seed % 7 * 40,
                6_000,
                9_500,
                12_000,
                14_300,
                17_000,
                20_000,
            ],
            ..killer_plan(2, 10, seed % 2 == 0)
        };
        let simulation = run_trial(seed, 2, plan);
        assert_only_killers_failed(seed, 2, &simulation);
    }
}

#[test]
fn crashes_by_a_start_without_an_answer_are_counted() {
    for seed in 500..510 {
        let plan = FaultPlan {
            lost_answers: 0.3,
            late_orders: 0.05,
            ..killer_plan(2, 10, seed % 2 == 0)
        };
        let simulation = run_trial(seed, 2, plan);
        assert_only_killers_failed(seed, 2, &simulation);
    }
}

#[test]
fn a_start_that_crashed_its_worker_is_not_sent_to_the_next_incarnation() {
    for seed in 700..720 {
        let plan = FaultPlan {
            lost_answers: 0.3,
            ..killer_plan(3, 10, false)
        };
        let simulation = run_trial(seed, 3, plan);
        assert_only_killers_failed(seed, 3, &simulation);
    }
}

#[test]
fn a_task_that_crashes_its_workers_while_many_others_crash_is_given_up() {
    for seed in 800..815 {
        let crashes = (0..6u64).flat_map(|round| {
            (0..4).map(move |worker| {
                let worker = (worker * 3 + usize::try_from(round).unwrap()) % WORKERS;
                let from = 4_015 + round * 5_000;
                (worker, from, from + 3_000)
            })
        });
        let plan = FaultPlan {
            crashes: crashes.collect(),
            takeovers: vec![9_200, 14_300],
            ..killer_plan(2, 10, true)
        };
        let simulation = run_trial(seed, 2, plan);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn tasks_on_workers_that_crash_for_other_causes_are_not_given_up() {
    for seed in 600..620 {
        let crashes = (0..6u64).flat_map(|round| {
            (0..5).map(move |worker| {
                let worker = (worker * 2 + usize::try_from(round).unwrap()) % WORKERS;
                let from = 2_000 + round * 2_500;
                (worker, from, from + 1_800)
            })
        });
        let plan = FaultPlan {
            crashes: crashes.collect(),
            takeovers: vec![5_000, 11_000],
            new_ids_after_crash: seed % 2 == 0,
            ..FaultPlan::default()
        };
        let simulation = run_trial(seed, 0, plan);
        assert_only_killers_failed(seed, 0, &simulation);
    }
}
