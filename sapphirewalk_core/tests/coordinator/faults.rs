//! Jobs while orders are late, answers are lost, workers and coordinators come and go.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphirewalk_core::job_registry::JobState;

use crate::world;
use crate::world::FaultPlan;
use crate::world::World;

/// Jobs of one trial.
const JOBS: u64 = 40;
/// Workers of one trial.
const WORKERS: usize = 10;

fn play(seed: u64, plan: FaultPlan) -> World {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut world = World::new(seed, WORKERS, plan);
    for id in 0..JOBS {
        let at = rng.random_range(500..14_000);
        let first = world::step(
            rng.random_range(1..8),
            1_500,
            rng.random_range(100..2_500),
            &[],
        );
        let second = world::step(
            rng.random_range(1..5),
            2_000,
            rng.random_range(100..1_500),
            &[0],
        );
        let queue = if id % 2 == 0 { "urgent" } else { "bulk" };
        world.submit(at, id, queue, vec![first, second]);
    }
    world.run_until(70_000);
    world
}

fn assert_kept(seed: u64, world: &World) {
    assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
    for id in 0..JOBS {
        let shown = world.shown(id);
        let over = matches!(shown, Some(JobState::Completed | JobState::Failed));
        assert!(over, "seed {seed}: job {id} is {shown:?}");
    }
}

#[test]
fn orders_that_come_late_start_nothing_twice() {
    for seed in 0..30 {
        let plan = FaultPlan {
            late_orders: 0.08,
            lost_answers: 0.05,
            ..FaultPlan::default()
        };
        assert_kept(seed, &play(seed, plan));
    }
}

#[test]
fn a_successor_takes_over_while_its_predecessor_goes_on() {
    for seed in 100..130 {
        let plan = FaultPlan {
            late_orders: 0.03,
            takeovers: vec![4_000 + seed, 9_000, 9_300, 12_000],
            ..FaultPlan::default()
        };
        assert_kept(seed, &play(seed, plan));
    }
}

#[test]
fn a_successor_waits_for_runs_on_workers_out_of_reach() {
    for seed in 200..230 {
        let plan = FaultPlan {
            takeovers: vec![6_000, 13_000],
            cuts: vec![(1, 5_500, 9_000), (2, 5_900, 16_000), (3, 12_900, 14_000)],
            ..FaultPlan::default()
        };
        assert_kept(seed, &play(seed, plan));
    }
}

#[test]
fn crashed_workers_lose_nothing_for_good() {
    for seed in 300..330 {
        let plan = FaultPlan {
            crashes: vec![(0, 4_000, 6_500), (4, 8_000, 8_400), (4, 11_000, 20_000)],
            failing_runs: 0.02,
            ..FaultPlan::default()
        };
        assert_kept(seed, &play(seed, plan));
    }
}

#[test]
fn all_at_once() {
    for seed in 400..440 {
        let plan = FaultPlan {
            late_orders: 0.05,
            lost_answers: 0.04,
            lost_records: 0.2,
            takeovers: vec![5_000, 10_500],
            cuts: vec![(1, 4_800, 9_000), (2, 9_900, 16_000)],
            crashes: vec![(5, 7_000, 9_500)],
            outages: vec![(7_000, 11_500)],
            slow: vec![(6, 5_000, 12_000, 0.0), (7, 8_000, 14_000, 0.2)],
            failing_runs: 0.02,
            renamed: seed % 2 == 0,
        };
        assert_kept(seed, &play(seed, plan));
    }
}

#[test]
fn runs_on_lost_workers_are_repeated_soon_after_a_takeover() {
    for seed in 500..505 {
        // Two workers go for good; before their leases are over, another coordinator takes the leadership.
        let plan = FaultPlan {
            crashes: vec![(1, 4_000, 600_000), (2, 4_000, 600_000)],
            takeovers: vec![8_500],
            ..FaultPlan::default()
        };
        let mut world = World::new(seed, WORKERS, plan);
        let mut service = world::step(20, 1_000, 1_000, &[]);
        service.service = true;
        world.submit(1_000, 1, "service", vec![service]);
        world.run_until(8_400);
        assert!(world.running(1) < 20);
        // Calm again 3 s after the takeover; a service task may then be down for 7 s.
        world.run_until(8_500 + 3_000 + 7_000 + 2_000);
        assert_eq!(world.running(1), 20, "seed {seed}");
        assert_eq!(world.breaches, Vec::<String>::new(), "seed {seed}");
    }
}

#[test]
fn a_successor_of_an_ended_process_waits_for_its_leases_only() {
    let plan = FaultPlan {
        crashes: vec![(1, 4_000, 600_000)],
        takeovers: vec![5_000],
        ..FaultPlan::default()
    };
    let mut world = World::new(1, WORKERS, plan);
    let mut service = world::step(20, 1_000, 1_000, &[]);
    service.service = true;
    world.submit(1_000, 1, "service", vec![service]);
    world.run_until(5_100);
    world.predecessor_ended();
    // The last lease of 8 s, 2% for slow clocks, and a restart.
    world.run_until(5_100 + 8_160 + 200);
    assert_eq!(world.running(1), 20);
    assert_eq!(world.breaches, Vec::<String>::new());
}

/// A job of 20 service tasks on workers of which one goes.
fn service_world(plan: FaultPlan) -> World {
    let mut world = World::new(1, WORKERS, plan);
    let mut service = world::step(20, 1_000, 1_000, &[]);
    service.service = true;
    world.submit(1_000, 1, "service", vec![service]);
    world
}

#[test]
fn runs_end_with_a_worker_whose_address_another_one_has_taken() {
    // It crashes while it is cut off, and is back under another name when a successor leads.
    let plan = FaultPlan {
        crashes: vec![(1, 4_000, 6_000)],
        takeovers: vec![7_000],
        renamed: true,
        ..FaultPlan::default()
    };
    let mut world = service_world(plan);
    world.run_until(10_000);
    assert_eq!(world.running(1), 20);
    assert_eq!(world.breaches, Vec::<String>::new());
}

#[test]
fn takeovers_in_a_row_wait_for_a_silent_workers_leases_once() {
    let plan = FaultPlan {
        crashes: vec![(1, 4_000, 600_000), (2, 4_100, 600_000)],
        takeovers: vec![7_000, 9_000, 9_200, 11_000],
        ..FaultPlan::default()
    };
    let mut world = service_world(plan);
    // The last lease of 8 s, 2% for slow clocks, and at each takeover the age of the record.
    world.run_until(4_100 + 8_160 + 4 * 400 + 300);
    assert_eq!(world.running(1), 20);
    assert_eq!(world.breaches, Vec::<String>::new());
}

#[test]
fn a_silent_worker_that_is_heard_again_gets_leases_and_work() {
    for seed in 600..620 {
        let plan = FaultPlan {
            cuts: vec![(1, 3_000, 5_500), (2, 3_100, 6_200), (3, 7_000, 9_900)],
            takeovers: vec![5_000, 8_000, 9_000],
            late_orders: 0.03,
            lost_answers: 0.03,
            lost_records: 0.1,
            ..FaultPlan::default()
        };
        assert_kept(seed, &play(seed, plan));
    }
}
