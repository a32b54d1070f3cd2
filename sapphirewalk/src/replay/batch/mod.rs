//! Replays traces of batch tasks.
//!
//! Simulated workers run the tasks of a trace, with the sizes, faults and interference that the
//! trace states. The scheduler's decision code places the tasks; first come, first served and the
//! same code with one feature off are the baselines.

mod baseline;
mod fleet;
mod measure;
mod run;
mod scheduler;
mod trace;

use std::ops;

use sapphirewalk_core::batch_policy::PolicyFeatures;

use crate::replay::batch::baseline::FirstComeQueue;
use crate::replay::batch::measure::RunSet;
use crate::replay::batch::run::RunRecord;
use crate::replay::batch::scheduler::PolicyDriver;
use crate::replay::batch::scheduler::TaskScheduler;
use crate::replay::batch::trace::BatchTrace;
use crate::replay::error::ReplayError;
use crate::replay::table::MeasureRow;

/// Seeds of the policy's random samples; each seed is a run, and a measure combines all runs.
const POLICY_SEEDS: ops::Range<u64> = 0..5;

/// Replays the event lines of a trace and returns its measures.
///
/// `events` is the trace without its header line. A trace with a flood (see
/// [`trace::TraceTask::flood`]) is also replayed without it, to measure how much less work the
/// other kinds finish.
///
/// # Errors
///
/// When a line does not match the trace format.
pub fn replay(events: &str) -> Result<Vec<MeasureRow>, ReplayError> {
    let trace = BatchTrace::parse(events)?;
    let unflooded = trace.without_flood();
    let runs = run_all(&trace);
    let unflooded_runs = trace.has_flood().then(|| run_all(&unflooded));
    Ok(measure::rows(&trace, &runs, unflooded_runs.as_ref()))
}

fn run_all(trace: &BatchTrace) -> RunSet {
    let all = PolicyFeatures::default();
    let no_pairs = PolicyFeatures {
        interference: false,
        ..all
    };
    let no_shares = PolicyFeatures {
        shares: false,
        ..all
    };
    let first_come = TaskScheduler::FirstCome(FirstComeQueue::new(trace));
    RunSet {
        ours: run_policy(trace, all),
        first_come: vec![run::run(trace, first_come)],
        no_pairs: run_policy(trace, no_pairs),
        no_shares: run_policy(trace, no_shares),
    }
}

/// Replays the trace against the policy, once for each of [`POLICY_SEEDS`].
fn run_policy(trace: &BatchTrace, features: PolicyFeatures) -> Vec<RunRecord> {
    POLICY_SEEDS
        .map(|seed| {
            let driver = PolicyDriver::new(trace, features, seed);
            run::run(trace, TaskScheduler::Policy(Box::new(driver)))
        })
        .collect()
}
