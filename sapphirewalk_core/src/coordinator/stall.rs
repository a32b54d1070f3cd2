//! Workers on which tasks stand still or crawl while their polls are answered.
//!
//! Answers workers that hang or have turned slow: they get nothing new, and what would be done sooner
//! elsewhere is stopped there and started again.

use crate::coordinator::JobCoordinator;
use crate::job_book::TaskPhase;
use crate::job_book::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_book::WorkerSlot;

/// A task whose progress has not changed for this long stands still: longer than a restart from a
/// checkpoint takes, and than the time between two polls.
const STALL_SPAN: TimeSpan = TimeSpan::from_millis(1_400);
/// A rate is judged after this long at the least.
const MIN_RATE_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Share of the stated rate below which a worker counts as slow: estimates of urgent work are off
/// by a fifth or so.
const SLOW_RATE: f64 = 0.35;
/// A task moves if it would take this many times as long to go on as to begin anew.
const RESTART_FACTOR: f64 = 1.3;
/// A worker on which tasks stand still or crawl gets nothing new for this long.
const STALL_QUARANTINE: TimeSpan = TimeSpan::from_millis(2_000);
/// A best-effort task that is paced below this may crawl by our own doing.
const MIN_JUDGED_PACE: u32 = 50;

/// How a task gets on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProgressVerdict {
    /// As it should, or it can't be told yet.
    Normal,
    /// Its worker is slow, but it is best left there.
    Slow,
    /// It is better begun anew elsewhere.
    Restart,
}

impl JobCoordinator {
    /// Reviews how the tasks of a worker get on that has just been polled.
    pub(super) fn check_progress(&mut self, worker: WorkerSlot, now: TimePoint) {
        let mut restarts = Vec::new();
        let mut slow = 0usize;
        for slot in &self.workers.get(worker).tasks {
            match self.assess_progress(*slot, now) {
                ProgressVerdict::Normal => {}
                ProgressVerdict::Slow => slow += 1,
                ProgressVerdict::Restart => restarts.push(*slot),
            }
        }
        if slow == 0 && restarts.is_empty() {
            return;
        }
        self.quarantine(worker, STALL_QUARANTINE, "tasks_crawl", now);
        for slot in restarts {
            if let Some(task) = self.jobs.task_mut(slot) {
                task.avoid = Some(worker);
            }
            self.order_stop(slot, "stalled");
        }
    }

    fn assess_progress(&self, slot: TaskSlot, now: TimePoint) -> ProgressVerdict {
        let (Some(step), Some(task)) = (self.jobs.step(slot), self.jobs.task(slot)) else {
            return ProgressVerdict::Normal;
        };
        let judged = task.phase == TaskPhase::Running && !task.stopping && !step.service;
        if !judged || (step.best_effort && task.pace < MIN_JUDGED_PACE) {
            return ProgressVerdict::Normal;
        }
        if now.since(task.moved_at) >= STALL_SPAN {
            return ProgressVerdict::Restart;
        }
        let elapsed = now.since(task.since);
        let resumed = !task.checkpoint.is_empty();
        if step.best_effort || resumed || elapsed < MIN_RATE_SPAN {
            return ProgressVerdict::Normal;
        }
        let estimate_s = step.estimate.as_secs_f64();
        let done = f64::from(task.percent) / 100.0;
        let rate = done * estimate_s / elapsed.as_secs_f64();
        if rate >= SLOW_RATE {
            return ProgressVerdict::Normal;
        }
        let remaining_s = (1.0 - done) * estimate_s / rate.max(f64::MIN_POSITIVE);
        if remaining_s > estimate_s * RESTART_FACTOR {
            ProgressVerdict::Restart
        } else {
            ProgressVerdict::Slow
        }
    }
}
