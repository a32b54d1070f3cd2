//! The tasks of services that have had a run and wait for the next one.
//!
//! Users of a service lose a share of it for each task that is missing, whatever else the pool does.

use crate::job_registry::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Wait from which a restart is reported: half of the 6 s within which callers are guaranteed that a
/// task of a service is back.
const REPORT_WAIT: TimeSpan = TimeSpan::from_millis(3_000);

/// A task of a service that waits for its next run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RestartWait {
    /// The task.
    pub task: TaskSlot,
    /// When its last run ended, or when this coordinator took over if that is unknown.
    pub since: TimePoint,
    reported: bool,
}

/// All tasks of services that wait for a restart.
#[derive(Clone, Debug, Default)]
pub struct RestartQueue {
    /// Sorted by task.
    waits: Vec<RestartWait>,
}

impl RestartQueue {
    /// Adds a task; does nothing if it waits already.
    pub fn insert(&mut self, task: TaskSlot, since: TimePoint) {
        if let Err(place) = self.waits.binary_search_by_key(&task, |wait| wait.task) {
            let wait = RestartWait {
                task,
                since,
                reported: false,
            };
            self.waits.insert(place, wait);
        }
    }

    /// Removes the tasks that no longer wait.
    pub fn retain(&mut self, mut waits: impl FnMut(TaskSlot) -> bool) {
        self.waits.retain(|wait| waits(wait.task));
    }

    /// The tasks that wait, sorted.
    pub fn waits(&self) -> &[RestartWait] {
        &self.waits
    }

    /// When the last run of the task that has waited longest ended; `None` if no task waits.
    pub fn longest_since(&self) -> Option<TimePoint> {
        self.waits.iter().map(|wait| wait.since).min()
    }

    /// The tasks whose wait is to be reported now. Each wait is reported once.
    pub fn take_reports(&mut self, now: TimePoint) -> Vec<RestartWait> {
        let mut reports = Vec::new();
        for wait in &mut self.waits {
            if !wait.reported && now.since(wait.since) >= REPORT_WAIT {
                wait.reported = true;
                reports.push(*wait);
            }
        }
        reports
    }
}
