//! The order in which steps get room when there is too little.
//!
//! Answers bursts: work that can still meet its objective goes before work that can't, urgent
//! queues before others, and among equals the one that must start soonest.

use crate::job_registry::JobEntry;
use crate::job_registry::OccurrenceEntry;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::work_rule::QueueRule;

/// A job that takes more than this many times its objective is worth nothing more to its caller.
const LATE_FACTOR: f64 = 3.0;

/// How a job stands against its objective.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectiveOutlook {
    /// It can be met.
    InTime,
    /// It can't be met, but the job is still worth something.
    Late,
    /// Even that is over.
    Overdue,
}

/// The place of a step among those that want room; less goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepRank {
    /// Against the objective.
    pub outlook: ObjectiveOutlook,
    /// The queue's priority.
    pub priority: u32,
    /// Service work comes after work that ends.
    pub service: bool,
    /// Size class of the work that the occurrence still takes: each is twice the one below.
    /// Where there is too little room, more jobs get done in time if small ones go first.
    pub size_class: u32,
    /// When the step must start at the latest.
    pub start_by: TimePoint,
}

/// The time within which a job should be completed.
pub fn objective(job: &JobEntry, rule: &QueueRule) -> TimeSpan {
    let chain = job.critical_paths.iter().max().copied().unwrap_or_default();
    chain.scale(rule.slowdown_factor) + rule.target_latency
}

/// The rank of a step of an occurrence.
pub fn rank(
    job: &JobEntry,
    occurrence: &OccurrenceEntry,
    step: u16,
    rule: &QueueRule,
    now: TimePoint,
) -> StepRank {
    let span = objective(job, rule);
    let chain = job.critical_paths[usize::from(step)];
    let start_by = occurrence.due_at + span - chain;
    let service = job.spec.steps[usize::from(step)].service;
    let outlook = if service || now <= start_by {
        ObjectiveOutlook::InTime
    } else if now + chain <= occurrence.due_at + span.scale(LATE_FACTOR) {
        ObjectiveOutlook::Late
    } else {
        ObjectiveOutlook::Overdue
    };
    StepRank {
        outlook,
        priority: rule.priority,
        service,
        size_class: work_left(job, occurrence).max(1).ilog2(),
        start_by,
    }
}

/// Processor time that an occurrence still takes, in core-ms, by its caller's estimates.
fn work_left(job: &JobEntry, occurrence: &OccurrenceEntry) -> u64 {
    let steps = job.spec.steps.iter().zip(&occurrence.remaining_tasks);
    steps
        .map(|(step, left)| {
            let task = step.demand.cpu_millis * step.estimate.as_millis() / MILLIS;
            task * u64::from(*left)
        })
        .sum()
}

/// Thousandths of a core in a core.
const MILLIS: u64 = 1_000;
