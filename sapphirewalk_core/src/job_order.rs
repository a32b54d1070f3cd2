//! The order in which waiting steps get capacity.
//!
//! During a burst, work that can still meet its objective precedes work that can't. Then queue
//! priority decides, then the size of the remaining work, then the latest start time.
//! Restarts of service tasks precede this order, see [`crate::restart_queue`].
//!
//! Two rules bound the wait of work that misses its objective while the pool is full. A step that
//! was partly placed in time keeps its rank: on the build farm an urgent step of 17 wide tasks got
//! 4 of them within a second and the other 13 after 8.5 s, behind a stream of bulk tasks in time.
//! Work that has been overdue for long gets a share of the starts, see [`OverdueShare`].

use crate::job_registry::JobEntry;
use crate::job_registry::OccurrenceEntry;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::work_rule::QueueRule;

/// A job that takes longer than this multiple of its objective has no value left to its caller.
const LATE_FACTOR: f64 = 3.0;
/// A partly placed step keeps its rank until this multiple of its objective.
const KEPT_RANK_FACTOR: f64 = 3.0;
/// Time for which a step must have been overdue to get a share of the starts. Bursts last 3 to 6 s,
/// and work that still has value goes first meanwhile.
const OVERDUE_WAIT: TimeSpan = TimeSpan::from_millis(5_000);
/// Starts of other work for each start of overdue work that waits: one start in eight is overdue.
const STARTS_PER_OVERDUE: usize = 7;

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
    /// Whether the objective can be met; a partly placed step counts as in time for longer.
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

/// The outlook of a waiting step, and where it stands among others.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StepStanding {
    /// Whether the objective can be met.
    pub outlook: ObjectiveOutlook,
    /// Sort key.
    pub rank: StepRank,
    /// The step has been overdue for so long that it gets a share of the starts. False for
    /// best-effort steps, which get room that others leave.
    pub shares_starts: bool,
}

/// The share of the starts that goes to overdue work while other work takes all room. It answers
/// a load that fills the pool for minutes: jobs that have missed their objective once would
/// otherwise wait until its end.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OverdueShare {
    /// Starts of other work since the last start of overdue work, while some waited.
    other_starts: usize,
}

/// The time from an occurrence's due time within which it should be done.
pub fn objective(job: &JobEntry, rule: &QueueRule) -> TimeSpan {
    let longest_path = job.critical_paths.iter().max().copied().unwrap_or_default();
    longest_path.scale(rule.slowdown_factor) + rule.target_latency
}

/// The outlook and the rank of a step of an occurrence at `now`.
pub fn standing(
    job: &JobEntry,
    occurrence: &OccurrenceEntry,
    step: u16,
    rule: &QueueRule,
    now: TimePoint,
) -> StepStanding {
    let index = usize::from(step);
    let objective = objective(job, rule);
    let critical_path = job.critical_paths[index];
    let start_by = occurrence.due_at + objective - critical_path;
    let overdue_at = occurrence.due_at + objective.scale(LATE_FACTOR) - critical_path;
    let spec = &job.spec.steps[index];
    let service = spec.service;
    let outlook = if service || now <= start_by {
        ObjectiveOutlook::InTime
    } else if now <= overdue_at {
        ObjectiveOutlook::Late
    } else {
        ObjectiveOutlook::Overdue
    };
    let begun_in_time = occurrence.first_placed[index].is_some_and(|at| at <= start_by);
    let keeps_rank = begun_in_time
        && now <= occurrence.due_at + objective.scale(KEPT_RANK_FACTOR)
        && is_partly_placed(job, occurrence, index);
    let rank = StepRank {
        outlook: if keeps_rank {
            ObjectiveOutlook::InTime
        } else {
            outlook
        },
        priority: rule.priority,
        service,
        size_class: remaining_work(job, occurrence).max(1).ilog2(),
        start_by,
    };
    StepStanding {
        outlook,
        rank,
        shares_starts: outlook == ObjectiveOutlook::Overdue
            && now > overdue_at + OVERDUE_WAIT
            && !spec.best_effort,
    }
}

/// Whether some task of a step is done or has a worker.
fn is_partly_placed(job: &JobEntry, occurrence: &OccurrenceEntry, step: usize) -> bool {
    let count = u32::from(job.spec.steps[step].count);
    let first = job.first_tasks[step] as usize;
    let tasks = &occurrence.tasks[first..first + count as usize];
    occurrence.remaining_tasks[step] < count || tasks.iter().any(|task| task.phase.is_placed())
}

impl OverdueShare {
    /// Number of tasks that the overdue step with the earliest latest start may place before other
    /// work.
    pub const fn due_starts(&self) -> usize {
        self.other_starts / STARTS_PER_OVERDUE
    }

    /// Records a round: the number of tasks that it placed, and how many of those were placed as
    /// [`Self::due_starts`]. `waiting` tells whether overdue work that shares the starts still
    /// waits.
    pub const fn record_round(&mut self, placed: usize, as_due: usize, waiting: bool) {
        if !waiting {
            self.other_starts = 0;
            return;
        }
        let starts = self.other_starts + placed.saturating_sub(as_due);
        let starts = starts.saturating_sub(as_due * STARTS_PER_OVERDUE);
        // Starts that overdue work has no room for are not saved up for a burst of its own.
        self.other_starts = if starts > MAX_OTHER_STARTS {
            MAX_OTHER_STARTS
        } else {
            starts
        };
    }
}

/// Processor time of the unfinished tasks in core-ms, by the caller's estimates; saturates.
fn remaining_work(job: &JobEntry, occurrence: &OccurrenceEntry) -> u64 {
    let steps = job.spec.steps.iter().zip(&occurrence.remaining_tasks);
    steps
        .map(|(step, count)| {
            let work = step.demand.cpu_millis;
            let work = work.saturating_mul(step.estimate.as_millis()) / CPU_MILLIS_PER_CORE;
            work.saturating_mul(u64::from(*count))
        })
        .fold(0, u64::saturating_add)
}

/// Bound on the starts that [`OverdueShare`] counts: four starts of overdue work.
const MAX_OTHER_STARTS: usize = 4 * STARTS_PER_OVERDUE;
const CPU_MILLIS_PER_CORE: u64 = 1_000;
