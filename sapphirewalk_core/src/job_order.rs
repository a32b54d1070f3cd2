//! The order in which waiting steps get capacity.
//!
//! During a burst, work that can still meet its objective precedes work that can't. Then queue
//! priority decides, then the size of the remaining work, then the latest start time.

use crate::job_registry::JobEntry;
use crate::job_registry::OccurrenceEntry;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::work_rule::QueueRule;

/// A job that takes longer than this multiple of its objective has no value left to its caller.
const LATE_FACTOR: f64 = 3.0;

/// Whether an occurrence can still meet the objective of its job.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ObjectiveOutlook {
    /// The objective can be met.
    InTime,
    /// The objective can't be met, but the result still has value to the caller.
    Late,
    /// The result has no value left to the caller.
    Overdue,
}

/// Sort key of a waiting step; the lowest gets capacity first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepRank {
    /// Whether the objective can be met.
    pub outlook: ObjectiveOutlook,
    /// Priority of the queue; 0 comes first.
    pub priority: u32,
    /// Service steps come after steps that end.
    pub service: bool,
    /// Base-2 logarithm of the remaining work in core-ms. When capacity is short, more jobs meet
    /// their objectives if small ones go first.
    pub size_class: u32,
    /// Latest start of the step that meets the objective, by the caller's estimates.
    pub start_by: TimePoint,
}

/// The time from an occurrence's due time within which it should be done.
pub fn objective(job: &JobEntry, rule: &QueueRule) -> TimeSpan {
    let longest_path = job.critical_paths.iter().max().copied().unwrap_or_default();
    longest_path.scale(rule.slowdown_factor) + rule.target_latency
}

/// The rank of a step of an occurrence at `now`.
pub fn rank(
    job: &JobEntry,
    occurrence: &OccurrenceEntry,
    step: u16,
    rule: &QueueRule,
    now: TimePoint,
) -> StepRank {
    let objective = objective(job, rule);
    let critical_path = job.critical_paths[usize::from(step)];
    let start_by = occurrence.due_at + objective - critical_path;
    let service = job.spec.steps[usize::from(step)].service;
    let outlook = if service || now <= start_by {
        ObjectiveOutlook::InTime
    } else if now + critical_path <= occurrence.due_at + objective.scale(LATE_FACTOR) {
        ObjectiveOutlook::Late
    } else {
        ObjectiveOutlook::Overdue
    };
    StepRank {
        outlook,
        priority: rule.priority,
        service,
        size_class: remaining_work(job, occurrence).max(1).ilog2(),
        start_by,
    }
}

/// Processor time of the unfinished tasks in core-ms, by the caller's estimates.
fn remaining_work(job: &JobEntry, occurrence: &OccurrenceEntry) -> u64 {
    let steps = job.spec.steps.iter().zip(&occurrence.remaining_tasks);
    steps
        .map(|(step, count)| {
            let task = step.demand.cpu_millis * step.estimate.as_millis() / CPU_MILLIS_PER_CORE;
            task * u64::from(*count)
        })
        .sum()
}

const CPU_MILLIS_PER_CORE: u64 = 1_000;
