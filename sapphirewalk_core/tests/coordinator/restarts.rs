//! Restarts of service tasks on full pools.

use sapphirewalk_core::job_spec::StepSpec;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

/// Identifier of the service.
const SERVICE: u64 = 90_000;

/// A service step of tasks of `cpu_millis` thousandths of a core each.
fn service_step(count: u16, cpu_millis: u64) -> StepSpec {
    let mut step = simulation::step(count, cpu_millis, 1_000, &[]);
    step.service = true;
    step
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
