//! The tasks of services that have had a run and wait for the next one.
//!
//! Users of a service lose a share of it for each task that is missing, whatever else the pool
//! does. While few restarts wait, they precede all other work: most of these runs failed and left
//! the very room that their successors need. After the loss of many workers the room is gone, and
//! urgent work has objectives of about a second: restarts keep the rank of their step at first.
//! Those that have waited for longer get half of what becomes free, so that they are back in time.

use crate::job_registry::TaskSlot;
use crate::room_reservation::StepKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Wait from which a restart is reported: half of the 6 s within which callers are guaranteed that
/// a task of a service is back.
const REPORT_WAIT: TimeSpan = TimeSpan::from_millis(3_000);

/// Number of waiting restarts up to which all of them precede other work.
pub const FEW_RESTARTS: usize = 8;
/// Wait from which restarts precede other work although many wait: a third of the 6 s within which
/// callers are guaranteed that a task of a service is back.
const PATIENCE: TimeSpan = TimeSpan::from_millis(2_000);
/// Minimum interval between rounds that reserve room for restarts, since each looks at all workers.
const RESERVE_INTERVAL: TimeSpan = TimeSpan::from_millis(50);

/// How long restarts for which no room could be reserved let others pass. Those that fit nowhere
/// would use up the attempts of each round otherwise.
const PASS_SPAN: TimeSpan = TimeSpan::from_millis(500);

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
    /// Processor time in thousandths of a core that restarts have taken ahead of other work, less
    /// what that has got since.
    lead_cpu_millis: u64,
    next_reserve: TimePoint,
    /// Steps for which no room could be reserved, and until when they let others pass; sorted.
    passed_over: Vec<(StepKey, TimePoint)>,
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

    /// Whether so few tasks wait that all of them precede other work.
    pub const fn are_few(&self) -> bool {
        self.waits.len() <= FEW_RESTARTS
    }

    /// Whether a restart that waits since `since` precedes other work.
    pub fn has_precedence(&self, since: TimePoint, now: TimePoint) -> bool {
        self.are_few() || (self.lead_cpu_millis == 0 && now.since(since) >= PATIENCE)
    }

    /// Whether room may be reserved for a restart that waits since `since` and for which other
    /// steps would wait for `min_wait`.
    pub fn may_reserve(&self, since: TimePoint, min_wait: TimeSpan, now: TimePoint) -> bool {
        let wait = if self.are_few() { min_wait } else { PATIENCE };
        now.since(since) >= wait
    }

    /// Records room, in thousandths of a core, that restarts got ahead of other work.
    pub const fn record_restarts(&mut self, cpu_millis: u64) {
        if !self.are_few() {
            self.lead_cpu_millis += cpu_millis;
        }
    }

    /// Records room, in thousandths of a core, that other work got.
    pub const fn record_others(&mut self, cpu_millis: u64) {
        self.lead_cpu_millis = self.lead_cpu_millis.saturating_sub(cpu_millis);
    }

    /// Lets other restarts pass those of a step, for which no room can be reserved.
    pub fn pass_over(&mut self, step: StepKey, now: TimePoint) {
        let until = now + PASS_SPAN;
        self.passed_over.retain(|(_, until)| *until > now);
        match self
            .passed_over
            .binary_search_by_key(&step, |entry| entry.0)
        {
            Ok(place) => self.passed_over[place].1 = until,
            Err(place) => self.passed_over.insert(place, (step, until)),
        }
    }

    /// Whether other restarts pass those of a step.
    pub fn is_passed_over(&self, step: StepKey, now: TimePoint) -> bool {
        let found = self
            .passed_over
            .binary_search_by_key(&step, |entry| entry.0);
        found.is_ok_and(|place| self.passed_over[place].1 > now)
    }

    /// Whether a round may reserve room now. It may not again at once.
    pub fn begin_reserving(&mut self, now: TimePoint) -> bool {
        let is_due = now >= self.next_reserve;
        if is_due {
            self.next_reserve = now + RESERVE_INTERVAL;
        }
        is_due
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
