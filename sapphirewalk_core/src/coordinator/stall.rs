//! Workers on which tasks stand still or crawl while their polls are answered.
//!
//! Answers workers that hang or have turned slow: they get nothing new, and what would be done sooner
//! elsewhere is stopped there and started again.

use crate::coordinator::JobCoordinator;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// A task whose progress has not changed for this long stands still: longer than a restart from a
/// checkpoint takes, and than the time between two polls.
const STALL_SPAN: TimeSpan = TimeSpan::from_millis(1_400);
/// A rate is judged after this long at the least.
const RATE_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Share of the stated rate below which a worker counts as slow: estimates of urgent work are off
/// by a fifth or so.
const SLOW_RATE: f64 = 0.35;
/// A task moves if it would take this many times as long to go on as to begin anew.
const MOVE_FACTOR: f64 = 1.3;
/// A worker on which tasks stand still or crawl gets nothing new for this long.
const STALL_QUARANTINE: TimeSpan = TimeSpan::from_millis(2_000);
/// A best-effort task that is paced below this may crawl by our own doing.
const JUDGED_PACE: u32 = 50;

/// How a task gets on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TaskProgress {
    /// As it should, or it can't be told yet.
    Fine,
    /// Its worker is slow, but it is best left there.
    Slow,
    /// It is better begun anew elsewhere.
    Lost,
}

impl JobCoordinator {
    /// Reviews how the tasks of a worker get on that has just been polled.
    pub(super) fn review_progress(&mut self, worker: WorkerSlot, now: TimePoint) {
        let mut lost = Vec::new();
        let mut slow = 0usize;
        for slot in &self.workers.get(worker).tasks {
            match self.progress_of(*slot, now) {
                TaskProgress::Fine => {}
                TaskProgress::Slow => slow += 1,
                TaskProgress::Lost => lost.push(*slot),
            }
        }
        if slow == 0 && lost.is_empty() {
            return;
        }
        self.quarantine(worker, STALL_QUARANTINE, "tasks_crawl", now);
        for slot in lost {
            if let Some(task) = self.jobs.task_mut(slot) {
                task.avoided_worker = Some(worker);
            }
            self.order_stop(slot, "stalled");
        }
    }

    fn progress_of(&self, slot: TaskSlot, now: TimePoint) -> TaskProgress {
        let (Some(step), Some(task)) = (self.jobs.step(slot), self.jobs.task(slot)) else {
            return TaskProgress::Fine;
        };
        let judged = task.phase == TaskPhase::Running && !task.stop_ordered && !step.service;
        if !judged || (step.best_effort && task.pace < JUDGED_PACE) {
            return TaskProgress::Fine;
        }
        if now.since(task.progressed_at) >= STALL_SPAN {
            return TaskProgress::Lost;
        }
        let ran = now.since(task.phase_since);
        let resumed = !task.checkpoint.is_empty();
        if step.best_effort || resumed || ran < RATE_SPAN {
            return TaskProgress::Fine;
        }
        let whole = step.estimate.as_secs_f64();
        let done = f64::from(task.percent) / 100.0;
        let rate = done * whole / ran.as_secs_f64();
        if rate >= SLOW_RATE {
            return TaskProgress::Fine;
        }
        let to_go = (1.0 - done) * whole / rate.max(f64::MIN_POSITIVE);
        if to_go > whole * MOVE_FACTOR {
            TaskProgress::Lost
        } else {
            TaskProgress::Slow
        }
    }
}
