//! Start and stop orders: sending, handling of the workers' answers, and resending.

use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::coordinator::OrderAnswer;
use crate::coordinator::RunStage;
use crate::coordinator::crash::LossCause;
use crate::coordinator::evacuation::StartObstacle;
use crate::coordinator::poll;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::RunName;
use crate::run_progress::RunProgress;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// Time for which a worker that did not answer an order gets no new tasks.
const MISSING_QUARANTINE: TimeSpan = TimeSpan::from_millis(1_000);
/// Time for which a worker that rejected an order because it is unhealthy gets no new tasks.
const UNWELL_QUARANTINE: TimeSpan = TimeSpan::from_millis(1_500);
/// Delay before an unanswered order is sent again.
const RESEND_DELAY: TimeSpan = TimeSpan::from_millis(150);
/// Delay before a task whose start was rejected is placed again.
const REJECTED_DELAY: TimeSpan = TimeSpan::from_millis(20);

/// An unanswered order that is to be sent again at `at`.
#[derive(Clone, Copy, Debug)]
pub struct ResendEntry {
    at: TimePoint,
    worker: WorkerSlot,
    run: RunName,
    kind: ResendKind,
}

/// The kind of order to resend.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ResendKind {
    Start,
    Stop,
}

impl JobCoordinator {
    /// Handles the answer to a start: the run is now running, is started again, or is placed
    /// elsewhere.
    pub(super) fn on_started(
        &mut self,
        worker: WorkerSlot,
        run: RunName,
        answer: OrderAnswer,
        now: TimePoint,
    ) {
        if answer == OrderAnswer::Fenced {
            self.step_down("start", worker);
            return;
        }
        let Some(slot) = self.placed_run(worker, run) else {
            return;
        };
        let job_ended = self.has_job_ended(slot.job);
        let priority = self.jobs.get(slot.job).map_or(0, |job| job.priority);
        let born_ms = self.workers.get(worker).born_ms;
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        if task.phase != TaskPhase::Starting {
            return;
        }
        let restarted = task.worker_born_ms != born_ms;
        let unsure = task.start_unconfirmed;
        self.load_report
            .record_delay(RunStage::Start, priority, now.since(task.phase_since));
        match answer {
            OrderAnswer::Accepted { clock_ms } => {
                let entry = self.workers.get_mut(worker);
                entry.observe_clock(clock_ms, task.phase_since, now);
                entry.alive_ms = entry.alive_ms.max(clock_ms);
                task.phase = TaskPhase::Running;
                task.phase_since = now;
                task.progress = RunProgress::begin(clock_ms, 0);
                task.confirm_run(clock_ms, now);
                task.worker_born_ms = born_ms;
                if restarted {
                    self.mark_dirty(slot.job);
                }
                if job_ended {
                    self.order_stop(slot, "job_over");
                }
                self.mark_job_running(slot);
                return;
            }
            OrderAnswer::Superseded => {
                // The run is over on the worker. The next poll lists its end; if not, the run
                // counts as lost.
                task.phase = TaskPhase::Running;
                task.start_unconfirmed = false;
                task.confirmed_at = now;
                return;
            }
            OrderAnswer::Missing => {
                task.start_unconfirmed = true;
                task.start_unanswered = true;
                if restarted {
                    let reports = self.crash_reports(worker, &[slot], LossCause::Reborn);
                    self.revoke_starts(&reports, born_ms, now);
                    return;
                }
                self.quarantine(worker, MISSING_QUARANTINE, "start_missing", now);
                self.schedule_resend(worker, run, ResendKind::Start, now);
                return;
            }
            OrderAnswer::NoRoom
            | OrderAnswer::Unwell
            | OrderAnswer::Expired
            | OrderAnswer::BadTicket
            | OrderAnswer::OtherIncarnation
            | OrderAnswer::Unsent
            | OrderAnswer::Malformed
            | OrderAnswer::Fenced => {}
        }
        if unsure && !self.may_interrupt(slot, "start_unsure", now) {
            // The run may exist. A list after the deadline of its start shows it.
            self.schedule_resend(worker, run, ResendKind::Start, now);
            return;
        }
        let id = self.workers.get(worker).listing.id.clone();
        self.log(
            "run_turned_away",
            Some(run.task.job),
            format!("run={run} worker={id} answer={answer:?} unsure={unsure}"),
        );
        match answer {
            OrderAnswer::Unwell => self.quarantine(worker, UNWELL_QUARANTINE, "unwell", now),
            OrderAnswer::Unsent => self.quarantine(worker, MISSING_QUARANTINE, "unreachable", now),
            // The present incarnation has answered since, so it may take the run.
            OrderAnswer::OtherIncarnation if restarted => {}
            OrderAnswer::OtherIncarnation => {
                self.quarantine(worker, MISSING_QUARANTINE, "other_incarnation", now);
            }
            _ => {}
        }
        if unsure {
            // The worker may still carry out an earlier send of this start; only a stop rules that
            // out.
            self.order_stop(slot, "start_unsure");
            if let Some(task) = self.jobs.task_mut(slot) {
                task.phase = TaskPhase::Running;
            }
            return;
        }
        if let Some(task) = self.jobs.task_mut(slot) {
            task.avoided_worker = Some(worker);
        }
        self.requeue_task(slot, now, REJECTED_DELAY);
        self.mark_dirty(slot.job);
    }

    /// Handles the answer to a stop; an unanswered stop is sent again while the run is placed.
    pub(super) fn on_stopped(
        &mut self,
        worker: WorkerSlot,
        run: RunName,
        answer: OrderAnswer,
        now: TimePoint,
    ) {
        match answer {
            OrderAnswer::Fenced => self.step_down("stop", worker),
            OrderAnswer::Accepted { clock_ms } => {
                if let Some(slot) = self.placed_run(worker, run)
                    && let Some(task) = self.jobs.task_mut(slot)
                {
                    task.start_unconfirmed = false;
                    task.confirmed_ms = task.confirmed_ms.max(clock_ms);
                    task.confirmed_at = now;
                    if task.phase == TaskPhase::Starting {
                        task.phase = TaskPhase::Running;
                    }
                }
            }
            OrderAnswer::Missing | OrderAnswer::Unwell | OrderAnswer::Unsent => {
                if self.placed_run(worker, run).is_some() {
                    self.schedule_resend(worker, run, ResendKind::Stop, now);
                }
            }
            OrderAnswer::Superseded
            | OrderAnswer::Expired
            | OrderAnswer::NoRoom
            | OrderAnswer::BadTicket
            | OrderAnswer::OtherIncarnation
            | OrderAnswer::Malformed => {}
        }
    }

    /// Looks up the task of a run; `None` unless the run is the task's current one on this worker.
    pub(super) fn placed_run(&self, worker: WorkerSlot, run: RunName) -> Option<TaskSlot> {
        let slot = self.jobs.find_task(run.task)?;
        let task = self.jobs.task(slot)?;
        let placed =
            task.worker == Some(worker) && task.attempt == run.attempt && task.phase.is_placed();
        placed.then_some(slot)
    }

    fn schedule_resend(
        &mut self,
        worker: WorkerSlot,
        run: RunName,
        kind: ResendKind,
        now: TimePoint,
    ) {
        self.resends.push(ResendEntry {
            at: now + RESEND_DELAY,
            worker,
            run,
            kind,
        });
    }

    /// Resends unanswered orders whose delay has passed and which are still needed.
    pub(super) fn resend_due(&mut self, now: TimePoint) {
        if !self.has_authority(now) {
            return;
        }
        let due: Vec<ResendEntry> = self
            .resends
            .iter()
            .filter(|entry| entry.at <= now)
            .copied()
            .collect();
        self.resends.retain(|entry| entry.at > now);
        for entry in due {
            let Some(slot) = self.placed_run(entry.worker, entry.run) else {
                continue;
            };
            let job_ended = self.has_job_ended(slot.job);
            let Some(task) = self.jobs.task(slot) else {
                continue;
            };
            if entry.kind == ResendKind::Stop || job_ended {
                // Other tasks of the step may have become unavailable since the first stop.
                if self.may_interrupt(slot, "again", now) {
                    self.order_stop(slot, "again");
                } else {
                    self.schedule_resend(entry.worker, entry.run, entry.kind, now);
                }
            } else if task.phase == TaskPhase::Starting
                && self.workers.get(entry.worker).is_over_capacity()
            {
                if !self.may_interrupt(slot, "shrunk", now) {
                    self.schedule_resend(entry.worker, entry.run, entry.kind, now);
                    continue;
                }
                // An earlier send may still be carried out, so the run is stopped first.
                self.order_stop(slot, "shrunk");
                if let Some(task) = self.jobs.task_mut(slot) {
                    task.phase = TaskPhase::Running;
                }
            } else if task.phase == TaskPhase::Starting
                && let Some(obstacle) = self.start_obstacle(slot, now)
            {
                // The run may exist and be at work, so its stop is subject to the budget too.
                if obstacle == StartObstacle::Evacuated
                    && self.may_interrupt(slot, obstacle.as_str(), now)
                {
                    self.rule_out_start(slot);
                } else {
                    self.schedule_resend(entry.worker, entry.run, ResendKind::Start, now);
                }
            } else if task.phase == TaskPhase::Starting {
                // The start may have crashed its worker, and would crash the next incarnation too.
                if self.workers.get(entry.worker).answered_at > task.phase_since {
                    self.send_start(slot, now);
                } else {
                    self.schedule_resend(entry.worker, entry.run, ResendKind::Start, now);
                }
            }
        }
    }

    /// Sends the start of a committed run, for the first time or again.
    pub(super) fn send_start(&mut self, slot: TaskSlot, now: TimePoint) {
        let Some(run) = self.jobs.run_name(slot) else {
            return;
        };
        let Some(worker) = self.jobs.task(slot).and_then(|task| task.worker) else {
            return;
        };
        let span = poll::LEASE_SPAN.min(self.limits.longest_lease);
        let span = self.start_validity(span, now);
        let entry = self.workers.get(worker);
        let new_deadline = entry
            .clock_at(now)
            .map_or(0, |clock| clock + span.as_millis());
        // A resent start keeps its deadline, so that the wait for a silent worker's leases is
        // bounded.
        let sent_deadline = self.jobs.task(slot).map_or(0, |task| task.deadline_ms);
        let deadline_ms = if sent_deadline > 0 {
            sent_deadline
        } else {
            new_deadline
        };
        let entry = self.workers.get_mut(worker);
        entry.lease_end_ms = entry.lease_end_ms.max(deadline_ms);
        let target = self.order_target(worker);
        let Some(job) = self.jobs.get(slot.job) else {
            return;
        };
        let spec = job.spec.clone();
        let priority = job.priority;
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        if task.phase == TaskPhase::Recording {
            let delay = now.since(task.phase_since);
            self.load_report
                .record_delay(RunStage::Record, priority, delay);
        }
        task.phase = TaskPhase::Starting;
        task.phase_since = now;
        task.deadline_ms = deadline_ms;
        let checkpoint = task.checkpoint.clone();
        self.effects.push(Effect::Start {
            target,
            run,
            spec,
            deadline_ms,
            checkpoint,
        });
    }
}
