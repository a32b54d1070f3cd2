//! Jobs whose queue is left out of the configuration for some time.

use sapphirewalk_core::job_registry::JobState;

use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

/// Span in which the queue is left out, in milliseconds after the start.
const DROPPED: (&str, u64, u64) = ("bulk", 1_200, 8_000);

/// Runs a job of one task on a queue that allows `max_attempts` and is left out meanwhile. The first
/// `failing` attempts fail. Returns the state of the job and the number of its starts.
fn run_job(max_attempts: u32, failing: u32, takeovers: Vec<u64>) -> (Option<JobState>, u32) {
    let plan = FaultPlan {
        failing_attempts: failing,
        dropped_queues: vec![DROPPED],
        takeovers,
        ..FaultPlan::default()
    };
    let mut simulation = ClusterSimulation::new(1, 4, plan);
    simulation.set_max_attempts("bulk", max_attempts);
    simulation.submit(1_000, 7, "bulk", vec![simulation::step(1, 1_000, 400, &[])]);
    simulation.run_until(20_000);
    assert_eq!(simulation.violations, Vec::<String>::new());
    (simulation.committed_state(7), simulation.start_count(7))
}

/// Guards against jobs that fail before they have used up the runs that their queue allows.
#[test]
fn a_job_keeps_its_attempts_while_its_queue_is_left_out() {
    let takeovers = [vec![], vec![1_300], vec![1_300, 1_700], vec![9_000]];
    for takeovers in takeovers {
        let outcome = run_job(5, 4, takeovers);
        assert_eq!(outcome, (Some(JobState::Completed), 5));
    }
}

/// Guards against runs beyond those that the queue allows.
#[test]
fn a_job_gets_no_attempt_too_many_while_its_queue_is_left_out() {
    for takeovers in [vec![], vec![1_300], vec![1_300, 1_700]] {
        let outcome = run_job(2, 9, takeovers);
        assert_eq!(outcome, (Some(JobState::Failed), 2));
    }
}
