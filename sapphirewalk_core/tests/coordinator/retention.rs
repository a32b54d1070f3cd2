//! Jobs past their retention: deletions that fail, leaders that end in between, and readers of
//! outdated lists.

use sapphirewalk_core::job_spec::JobId;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

/// How long ended jobs remain available.
const RETENTION_MS: u64 = 3_000;
/// Time after the start at which all jobs have expired.
const EXPIRED_AT_MS: u64 = 5_000 + RETENTION_MS;
/// Number of tasks of all jobs.
const TASKS: u32 = 10;

/// Runs five jobs, of which one is cancelled, until `until_ms` after the start.
fn run_trial(plan: FaultPlan, until_ms: u64) -> ClusterSimulation {
    let mut simulation = ClusterSimulation::new(1, 4, plan);
    simulation.retention_ms = RETENTION_MS;
    for id in 0..5 {
        let step = simulation::step(2, 1_000, 500, &[]);
        simulation.submit(1_000 + id * 100, id, "bulk", vec![step]);
    }
    simulation.cancel(1_600, 4);
    simulation.run_until(until_ms);
    simulation
}

/// Asserts that no task ran twice and that the store holds no row of a job any more.
fn assert_forgotten(simulation: &ClusterSimulation) {
    assert_eq!(simulation.starts.values().sum::<u32>(), TASKS);
    assert_eq!(simulation.violations, Vec::<String>::new());
    assert_eq!(simulation.stored_rows(), (0, 0));
}

/// Guards against done jobs that run again, because their progress was deleted and their own rows
/// were not.
#[test]
fn a_done_job_whose_deletion_fails_does_not_run_again() {
    let plan = FaultPlan {
        job_table_outages: vec![(2_500, EXPIRED_AT_MS + 5_000)],
        takeovers: vec![EXPIRED_AT_MS + 2_000, EXPIRED_AT_MS + 8_000],
        ..FaultPlan::default()
    };
    let simulation = run_trial(plan, EXPIRED_AT_MS + 15_000);
    assert_forgotten(&simulation);
}

/// Guards against done jobs that run again after a leader was replaced between the deletion of
/// their rows and that of their progress, and against progress that nobody deletes.
#[test]
fn a_takeover_during_a_deletion_completes_it() {
    for delay_ms in (0..4_000).step_by(50) {
        let plan = FaultPlan {
            deletion_ms: 150,
            takeovers: vec![EXPIRED_AT_MS - 4_000 + delay_ms],
            ..FaultPlan::default()
        };
        let simulation = run_trial(plan, EXPIRED_AT_MS + RETENTION_MS + 5_000);
        assert_forgotten(&simulation);
    }
}

/// Guards against the loss of a job that a leader deletes although only it knows of the job's end.
#[test]
fn a_job_whose_end_is_not_committed_is_not_deleted() {
    for from in (1_500..1_600).step_by(3) {
        let plan = FaultPlan {
            store_outages: vec![(from, 9_000)],
            takeovers: vec![8_000],
            ..FaultPlan::default()
        };
        let simulation = run_trial(plan, 20_000);
        assert_eq!(simulation.violations, Vec::<String>::new());
        for id in 0..4 {
            let job = JobId(id);
            assert!(
                simulation.completed.contains_key(&job),
                "job {id}, {from} ms"
            );
        }
    }
}

/// Guards against a done job that runs again because a read of the job table that began before its
/// deletion lists it.
#[test]
fn a_deleted_job_that_an_outdated_list_contains_does_not_run_again() {
    let mut simulation = run_trial(FaultPlan::default(), 3_000);
    for id in 0..5 {
        let record = simulation.job_record(id);
        simulation.repeat_submission(EXPIRED_AT_MS + 3_000, record);
    }
    simulation.run_until(EXPIRED_AT_MS + 10_000);
    assert_forgotten(&simulation);
}
