//! Counts the unavailable tasks of a service step, and decides whether another may be interrupted.
//!
//! It addresses service jobs whose callers limit how many tasks may be unavailable at once, while
//! evictions, moves, crashes and takeovers hit the same step.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// What the scheduler knows about whether a task is at work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TaskAvailability {
    /// Each report of the present run since then showed it at work, the last one recently.
    AtWork {
        /// Time of the first of these reports.
        since: TimePoint,
    },
    /// A stop of the run was ordered, and its end has not been reported.
    Stopping,
    /// No run exists, or its last report shows that it does not serve.
    Absent,
    /// A former coordinator recorded a run, or the worker does not answer.
    Unknown,
}

/// The budget of one step of one occurrence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnavailabilityBudget {
    /// Most tasks that may be unavailable at once; at least 1.
    pub limit: u16,
    /// Time for which a task that is at work again still counts as unavailable. It is longer than a
    /// stop takes, so that a successor counts tasks whose stop its predecessor has ordered although
    /// their runs still report that they are at work.
    pub notice: TimeSpan,
}

/// Whether a task may be interrupted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum InterruptionVerdict {
    /// The budget leaves room for the task.
    Allowed,
    /// The budget is used up.
    Withheld {
        /// Number of the other tasks of the step that are unavailable.
        unavailable: usize,
    },
}

impl UnavailabilityBudget {
    /// Decides whether a task may be interrupted, given what is known of the other tasks of its
    /// step.
    pub fn judge(
        self,
        others: impl IntoIterator<Item = TaskAvailability>,
        now: TimePoint,
    ) -> InterruptionVerdict {
        let others = others.into_iter();
        let unavailable = others
            .filter(|other| self.counts_as_unavailable(*other, now))
            .count();
        if unavailable < usize::from(self.limit) {
            InterruptionVerdict::Allowed
        } else {
            InterruptionVerdict::Withheld { unavailable }
        }
    }

    /// Whether a task counts as unavailable.
    pub fn counts_as_unavailable(self, task: TaskAvailability, now: TimePoint) -> bool {
        match task {
            TaskAvailability::AtWork { since } => now < since + self.notice,
            TaskAvailability::Stopping | TaskAvailability::Absent | TaskAvailability::Unknown => {
                true
            }
        }
    }
}
