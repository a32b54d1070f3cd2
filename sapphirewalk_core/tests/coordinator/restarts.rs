//! Restarts of service tasks on pools that urgent work fills.

use sapphirewalk_core::job_spec::StepSpec;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

/// Time within which callers are guaranteed that a task of a service is back after its last run, in
/// milliseconds.
const BACK_WITHIN_MS: u64 = 6_000;
/// Workers in the pools, of 16 cores.
const WORKERS: usize = 10;
/// Identifier of the service.
const SERVICE: u64 = 90_000;
/// When urgent tasks begin to arrive, and when they end, in milliseconds.
const URGENT_MS: std::ops::Range<u64> = 2_000..30_000;

/// A service step of tasks of `cpu_millis` thousandths of a core each.
fn service_step(count: u16, cpu_millis: u64) -> StepSpec {
    let mut step = simulation::step(count, cpu_millis, 1_000, &[]);
    step.service = true;
    step
}

/// A pool in which a service of a queue has tasks of 12 cores on `count` workers, and urgent tasks
/// of 4 cores and 600 ms, 80 a second, press for the rest without end. Reservations are off.
fn pressed_pool(seed: u64, queue: &str, count: u16, plan: FaultPlan) -> ClusterSimulation {
    let mut simulation = ClusterSimulation::new(seed, WORKERS, plan);
    simulation.without_reservations = true;
    simulation.submit(500, SERVICE, queue, vec![service_step(count, 12_000)]);
    for (id, at_ms) in (0..).zip(URGENT_MS.step_by(100)) {
        let steps = vec![simulation::step(8, 4_000, 600, &[])];
        simulation.submit(at_ms, id, "urgent", steps);
    }
    simulation
}

/// Plays a pressed pool in which two tasks of a service of `queue` fail.
fn play_failures(seed: u64, queue: &str, lag_ms: u64) -> ClusterSimulation {
    let plan = FaultPlan {
        failing_services: vec![(SERVICE, 3, 8_000), (SERVICE, 7, 15_000)],
        ..FaultPlan::default()
    };
    let mut simulation = pressed_pool(seed, queue, 10, plan);
    simulation.leader_lag_ms = lag_ms;
    simulation.run_until(URGENT_MS.end);
    assert_eq!(simulation.violations, Vec::<String>::new());
    simulation
}

/// Guards against a service task that waits until urgent work ebbs: each gap went to that.
#[test]
fn a_failed_service_task_is_back_beside_urgent_work_that_takes_each_gap() {
    for seed in 0..3 {
        let simulation = play_failures(seed, "service", 0);
        let longest_ms = simulation.longest_restart_ms();
        assert!(
            longest_ms <= BACK_WITHIN_MS,
            "seed {seed}: {longest_ms} ms without a run"
        );
        assert_eq!(simulation.restart_waits.len(), 2);
    }
}

/// Guards against a service task of a less urgent queue that waits behind all more urgent queues,
/// and for a leader that limits its starts.
#[test]
fn a_failed_service_task_of_a_less_urgent_queue_is_back_as_soon() {
    for (seed, lag_ms) in [(0, 0), (1, 800)] {
        let simulation = play_failures(seed, "bulk", lag_ms);
        let longest_ms = simulation.longest_restart_ms();
        assert!(
            longest_ms <= BACK_WITHIN_MS,
            "seed {seed}: {longest_ms} ms without a run"
        );
        assert_eq!(simulation.restart_waits.len(), 2);
    }
}

/// Guards against a service task that is larger than each gap that urgent tasks leave.
#[test]
fn a_service_task_of_a_leaving_worker_is_back_although_no_gap_is_large_enough() {
    for queue in ["service", "bulk"] {
        let mut simulation = pressed_pool(5, queue, 9, FaultPlan::default());
        simulation.run_until(8_000);
        let worker = (0..WORKERS).find(|worker| simulation.running_tasks_on(*worker, SERVICE) == 1);
        simulation.leaving_workers = vec![worker.unwrap()];
        simulation.run_until(URGENT_MS.end);
        assert_eq!(simulation.violations, Vec::<String>::new());
        let longest_ms = simulation.longest_restart_ms();
        assert!(
            longest_ms <= BACK_WITHIN_MS,
            "{queue}: {longest_ms} ms without a run"
        );
        assert_eq!(simulation.restart_waits.len(), 1);
    }
}

/// Guards against urgent steps that nothing can make room for and that use up all attempts to
/// preempt bulk tasks, so that a restart gets none.
#[test]
fn a_restart_preempts_bulk_tasks_beside_urgent_steps_that_fit_nowhere() {
    let with_memory = |mut step: StepSpec, memory_mib: u64| {
        step.demand.memory_mib = memory_mib;
        vec![step]
    };
    let mut simulation = ClusterSimulation::new(8, WORKERS, FaultPlan::default());
    simulation.without_reservations = true;
    let service = with_memory(service_step(9, 1_000), 40_000);
    simulation.submit(500, SERVICE, "service", service);
    // One beside each task of the service, and two on the worker without any.
    let bulk = with_memory(simulation::step(11, 1_000, 60_000, &[]), 24_000);
    simulation.submit(2_000, SERVICE + 1, "bulk", bulk);
    for id in 0..60 {
        let urgent = with_memory(simulation::step(1, 1_000, 600, &[]), 65_000);
        simulation.submit(4_000 + id * 300, id, "urgent", urgent);
    }
    simulation.run_until(8_000);
    let worker = (0..WORKERS).find(|worker| simulation.running_tasks_on(*worker, SERVICE) == 1);
    simulation.leaving_workers = vec![worker.unwrap()];
    simulation.run_until(20_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    let longest_ms = simulation.longest_restart_ms();
    assert!(
        longest_ms <= BACK_WITHIN_MS,
        "{longest_ms} ms without a run"
    );
    assert_eq!(simulation.restart_waits.len(), 1);
}

/// Guards against a successor that takes a restart for a first run.
#[test]
fn a_restart_that_waits_is_known_to_the_successor() {
    let plan = FaultPlan {
        failing_services: vec![(SERVICE, 3, 8_000)],
        takeovers: vec![8_030],
        ..FaultPlan::default()
    };
    let mut simulation = pressed_pool(6, "service", 10, plan);
    simulation.run_until(8_200);
    simulation.predecessor_ended();
    simulation.run_until(URGENT_MS.end);
    assert_eq!(simulation.violations, Vec::<String>::new());
    let longest_ms = simulation.longest_restart_ms();
    assert!(
        longest_ms <= BACK_WITHIN_MS,
        "{longest_ms} ms without a run"
    );
}

/// Guards against restarts of a lost failure domain that keep urgent work waiting, or wait for it.
#[test]
fn many_restarts_and_urgent_work_share_the_room() {
    // Worker 0 and every third after it are in domain 0, and don't come back.
    let crashes = (0..30).step_by(simulation::DOMAINS);
    let plan = FaultPlan {
        crashes: crashes.map(|worker| (worker, 10_000, 90_000)).collect(),
        ..FaultPlan::default()
    };
    let mut simulation = ClusterSimulation::new(7, 30, plan);
    simulation.without_reservations = true;
    let services: Vec<u64> = (SERVICE..SERVICE + 10).collect();
    for id in &services {
        simulation.submit(500, *id, "service", vec![service_step(8, 3_000)]);
    }
    for (id, at_ms) in (0..).zip(URGENT_MS.step_by(50)) {
        let steps = vec![simulation::step(20, 2_000, 500, &[])];
        simulation.submit(at_ms, id, "urgent", steps);
    }
    let urgent_starts = |simulation: &ClusterSimulation| {
        let starts = (0..560).map(|id| simulation.start_count(id));
        starts.sum::<u32>()
    };
    simulation.run_until(10_000);
    let is_lost = |simulation: &ClusterSimulation| simulation.events.contains_key("run_lost");
    let mut at_ms = 10_000;
    while !is_lost(&simulation) {
        at_ms += 100;
        simulation.run_until(at_ms);
    }
    // Workers are found lost within a second of each other.
    let lost_ms = at_ms + 1_000;
    let running = |simulation: &ClusterSimulation| {
        let running = services.iter().map(|id| simulation.running_tasks(*id));
        running.sum::<usize>()
    };
    let mut starts = urgent_starts(&simulation);
    while running(&simulation) < 80 && at_ms <= lost_ms + BACK_WITHIN_MS {
        at_ms += 1_000;
        simulation.run_until(at_ms);
        let new_starts = urgent_starts(&simulation) - starts;
        starts += new_starts;
        // 80 cores beside the services take 40 tasks of 500 ms; half of that goes to urgent tasks.
        assert!(
            new_starts >= 40,
            "{new_starts} urgent starts in 1 s to {at_ms} ms"
        );
    }
    println!("lost at {lost_ms} ms, back at {at_ms} ms");
    assert!(at_ms <= lost_ms + BACK_WITHIN_MS, "not back at {at_ms} ms");
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Guards against waits of service tasks that no line or metric shows, after a takeover too.
#[test]
fn restarts_that_wait_for_long_are_counted_and_reported() {
    let plan = FaultPlan {
        crashes: vec![(1, 5_000, 90_000)],
        takeovers: vec![24_000],
        ..FaultPlan::default()
    };
    let mut simulation = ClusterSimulation::new(1, 4, plan);
    // Four tasks on four workers leave no room for a fifth, and one first run waits all the time.
    simulation.submit(500, SERVICE, "service", vec![service_step(5, 12_000)]);
    simulation.run_until(4_900);
    let waiting = |simulation: &ClusterSimulation| {
        let coordinator = simulation.leading_coordinator();
        coordinator.waiting_restarts(simulation.now())
    };
    assert_eq!(waiting(&simulation).0, 0);
    simulation.run_until(23_900);
    assert_eq!(waiting(&simulation).0, 1);
    assert!(waiting(&simulation).1.as_millis() >= 3_000);
    assert_eq!(simulation.events["restart_waits"], 1);
    simulation.run_until(24_500);
    simulation.predecessor_ended();
    simulation.run_until(40_000);
    assert!(waiting(&simulation).0 >= 1);
    assert!(simulation.events["restart_waits"] >= 2);
    assert!(simulation.longest_restart_ms() >= 30_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
}

/// Time in ms after which a task of a service is back whose worker left, beside `services` that
/// have a task each that fits on no worker; `None` if it isn't back at the end.
fn back_beside_stuck_restarts(services: u64) -> Option<u64> {
    const MORE_WORKERS: usize = WORKERS + 1;
    let mut simulation = ClusterSimulation::new(5, MORE_WORKERS, FaultPlan::default());
    simulation.without_reservations = true;
    for id in 1..=services {
        let mut step = service_step(11, 100);
        step.per_worker = 1;
        simulation.submit(400, SERVICE + id, "service", vec![step]);
    }
    simulation.submit(500, SERVICE, "service", vec![service_step(9, 12_000)]);
    for (id, at_ms) in (0..).zip(URGENT_MS.step_by(50)) {
        let steps = vec![simulation::step(8, 3_700, 600, &[])];
        simulation.submit(at_ms, id, "urgent", steps);
    }
    simulation.run_until(8_000);
    let tasks = |simulation: &ClusterSimulation, worker: &usize| {
        simulation.running_tasks_on(*worker, SERVICE)
    };
    let free = (0..MORE_WORKERS).find(|worker| tasks(&simulation, worker) == 0);
    let free = free.unwrap();
    simulation.leaving_workers = vec![free];
    simulation.run_until(14_000);
    let used = (0..MORE_WORKERS).find(|worker| *worker != free && tasks(&simulation, worker) == 1);
    simulation.leaving_workers = vec![free, used.unwrap()];
    let mut gone_ms = None;
    for at_ms in (14_000..URGENT_MS.end).step_by(100) {
        simulation.run_until(at_ms);
        let running = simulation.running_tasks(SERVICE);
        match gone_ms {
            None if running < 9 => gone_ms = Some(at_ms),
            Some(gone_ms) if running == 9 => return Some(at_ms - gone_ms),
            _ => {}
        }
    }
    None
}

/// Guards against restarts that fit nowhere and use up what others could have.
#[test]
fn restarts_that_fit_nowhere_keep_no_other_one_waiting() {
    for services in [0, 3, 4, 6] {
        let back_ms = back_beside_stuck_restarts(services);
        assert!(
            back_ms.is_some_and(|back_ms| back_ms <= BACK_WITHIN_MS),
            "{services} services: back after {back_ms:?} ms"
        );
    }
}

/// Number of urgent tasks that start in 12 s, in which so many tasks of a service fail every 50 ms.
fn urgent_starts_beside_crash_loop(tasks: u16) -> u32 {
    let mut failing = Vec::new();
    for at_ms in (8_000..20_000).step_by(50) {
        failing.extend((0..tasks).map(|task| (SERVICE, task, at_ms)));
    }
    let plan = FaultPlan {
        failing_services: failing,
        ..FaultPlan::default()
    };
    let mut simulation = pressed_pool(3, "service", 10, plan);
    let starts = |simulation: &ClusterSimulation| {
        let starts = (0..280).map(|id| simulation.start_count(id));
        starts.sum::<u32>()
    };
    simulation.run_until(8_000);
    let before = starts(&simulation);
    simulation.run_until(20_000);
    starts(&simulation) - before
}

/// Guards against a service that fails at each start and takes the first place over and over.
#[test]
fn urgent_work_gets_no_less_room_beside_a_service_that_fails_at_each_start() {
    let sound = urgent_starts_beside_crash_loop(0);
    for tasks in [1, 4, 10] {
        let starts = urgent_starts_beside_crash_loop(tasks);
        assert!(
            starts >= sound,
            "{tasks} tasks fail: {starts} urgent starts, {sound} otherwise"
        );
    }
}
