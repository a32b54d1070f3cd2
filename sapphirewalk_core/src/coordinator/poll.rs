//! Polls of workers: granting leases, and handling their lists of running and ended runs.

use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::coordinator::ListedEnd;
use crate::coordinator::ListedRun;
use crate::coordinator::PollAnswer;
use crate::coordinator::RunEnd;
use crate::coordinator::crash::LossCause;
use crate::coordinator::preempt;
use crate::job_registry::JobSlot;
use crate::job_registry::JobState;
use crate::job_registry::PauseCause;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::RunName;
use crate::resource::ResourceVector;
use crate::run_progress;
use crate::run_progress::RunProgress;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry;
use crate::worker_registry::ClockReading;
use crate::worker_registry::TaskGauge;
use crate::worker_registry::UnwrittenEnd;
use crate::worker_registry::WorkerSlot;

/// Length of the lease that a poll or start grants. It is long enough for a successor to take over
/// and poll the worker, and for network cuts of a failure domain, which last 5 to 6.5 s. It is
/// short enough that runs of a lost worker are repeated before callers time out.
pub const LEASE_SPAN: TimeSpan = TimeSpan::from_millis(8_000);
/// Time without an answer after which a worker gets no new tasks: twice the usual wait of a poll
/// plus a margin.
pub const SILENCE_LIMIT: TimeSpan = TimeSpan::from_millis(2_200);
/// Time for an answer, after which the worker may have restarted before it is read. Workers answer
/// within a few ms, but a leader that is short of processor time reads answers late.
const OVERDUE_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Least delay of a poll that acknowledges no ends, since the worker then answers without a wait.
const UNACKNOWLEDGED_DELAY: TimeSpan = TimeSpan::from_millis(50);
/// How long another worker must answer at an address before the previous worker counts as ended.
/// The list of workers is read every 0.7 s, so by then it would show a worker that only changed its
/// address.
const REPLACED_SPAN: TimeSpan = TimeSpan::from_millis(1_500);
/// A run of a service that fails within this time of its start counts as one of a crash loop.
const QUICK_FAILURE_SPAN: TimeSpan = TimeSpan::from_millis(2_000);
/// Such failures in a row from which the next run is delayed.
const QUICK_FAILURE_LIMIT: u32 = 3;
/// Delay of the next run in a crash loop. Restarts precede other work, and would take its room over
/// and over; callers are guaranteed that a sound task is back within 6 s.
const CRASH_LOOP_DELAY: TimeSpan = TimeSpan::from_millis(2_000);
/// Consecutive failed runs after which a worker is quarantined.
const FAILURE_LIMIT: u32 = 2;
/// Time after which a failed run no longer counts. A worker that runs nothing but services has no
/// runs that are done, and each of its tasks may fail now and then. It exceeds
/// [`LONGEST_QUARANTINE`], so that a worker on which everything fails is quarantined again at its
/// next failure.
const FAILURE_MEMORY: TimeSpan = TimeSpan::from_millis(10_000);
/// Duration of the first quarantine for failed runs; it doubles with each further failure.
const FAILURE_QUARANTINE: TimeSpan = TimeSpan::from_millis(2_500);
/// Longest quarantine for failed runs. A service task must be back after 6 s, and in a full pool
/// the only room for it may be on the worker where it failed.
const LONGEST_QUARANTINE: TimeSpan = TimeSpan::from_millis(5_000);

impl JobCoordinator {
    /// Polls the workers that are due, and extends their leases.
    pub(super) fn poll_due_workers(&mut self, now: TimePoint) {
        if !self.has_authority(now) {
            return;
        }
        while let Some(slot) = self.poll_queue.pop_due(now) {
            let entry = self.workers.get(slot);
            if !entry.needs_polling() || entry.polling || entry.next_poll > now {
                continue;
            }
            let deadline_ms = self.lease_deadline(slot, now);
            let target = self.order_target(slot);
            let timing = self.poll_timing(slot, now);
            let is_late = now.since(entry.next_poll) > OVERDUE_SPAN;
            let may_have_restarted = is_late || self.may_have_restarted(slot, now);
            let entry = self.workers.get_mut(slot);
            entry.polling = true;
            entry.polled_at = now;
            entry.poll_wait = timing.wait();
            entry.lease_end_ms = entry.lease_end_ms.max(deadline_ms);
            // After a restart the worker numbers its ends anew and would discard ends that it has
            // not listed.
            let acked = if may_have_restarted {
                0
            } else {
                entry.acked_end
            };
            self.effects.push(Effect::Poll {
                target,
                deadline_ms,
                acked,
                wait_ms: timing.wait().as_millis(),
                timeout_ms: timing.timeout().as_millis(),
            });
        }
    }

    /// Sets the earliest time of a worker's next poll.
    pub(super) fn schedule_poll(&mut self, worker: WorkerSlot, at: TimePoint) {
        self.workers.get_mut(worker).next_poll = at;
        self.poll_queue.schedule(worker, at);
    }

    /// Whether a worker may have restarted since it listed its runs last: a poll has failed, its clock
    /// has gone back, or an answer was or is overdue.
    fn may_have_restarted(&self, worker: WorkerSlot, now: TimePoint) -> bool {
        let entry = self.workers.get(worker);
        let is_overdue = |task: &TaskEntry| {
            let waits = task.phase == TaskPhase::Starting;
            task.start_unconfirmed || (waits && now.since(task.phase_since) > OVERDUE_SPAN)
        };
        let mut tasks = entry.tasks.iter().filter_map(|slot| self.jobs.task(*slot));
        entry.failed_polls > 0 || entry.restart_suspected_at.is_some() || tasks.any(is_overdue)
    }

    /// Delay of a worker's next poll under the present lag.
    pub(super) fn poll_delay(&self, worker: WorkerSlot) -> TimeSpan {
        let tasks = &self.workers.get(worker).tasks;
        let is_urgent = |slot: &TaskSlot| {
            let job = self.jobs.get(slot.job);
            let is_service = self.jobs.step(*slot).is_some_and(|step| step.service);
            !is_service && job.is_some_and(|job| job.priority <= self.top_priority)
        };
        self.leader_lag.poll_delay(tasks.iter().any(is_urgent))
    }

    /// End of the lease to grant to a worker now, on its clock. 0 if its clock is unknown or if it
    /// is silent, so that its leases expire.
    fn lease_deadline(&self, slot: WorkerSlot, now: TimePoint) -> u64 {
        let entry = self.workers.get(slot);
        if entry.failed_polls > 0 || entry.recorded_silent {
            return 0;
        }
        let span = LEASE_SPAN.min(self.limits.longest_lease);
        entry
            .clock_at(now)
            .map_or(0, |clock| clock + span.as_millis())
    }

    /// Handles the outcome of a poll. A worker counts as lost from the first poll that returns no
    /// lists; a fenced poll makes this coordinator step down instead.
    pub(super) fn on_polled(
        &mut self,
        worker: WorkerSlot,
        deadline_ms: u64,
        answer: PollAnswer,
        now: TimePoint,
    ) {
        let entry = self.workers.get_mut(worker);
        entry.polling = false;
        entry.lease_end_ms = entry.lease_end_ms.max(deadline_ms);
        match answer {
            PollAnswer::Fenced => self.step_down("poll", worker),
            PollAnswer::Lists {
                clock_ms,
                born_ms,
                running,
                ended,
                complete,
            } => {
                entry.lists_all_ends = complete;
                self.on_poll_lists(worker, clock_ms, born_ms, &running, ended, now);
            }
            PollAnswer::Missing | PollAnswer::Refused(_) | PollAnswer::OtherIncarnation => {
                entry.failed_polls += 1;
                if answer == PollAnswer::OtherIncarnation {
                    self.on_replaced(worker, now);
                }
                let retry_delay = self.poll_timing(worker, now).retry_delay();
                self.schedule_poll(worker, now + retry_delay);
                if self.workers.get(worker).failed_polls == 1 {
                    self.record_loss(worker, now);
                    let entry = self.workers.get(worker);
                    let id = entry.listing.id.clone();
                    let age = now.since(entry.answered_at);
                    let tasks = entry.tasks.len();
                    let detail =
                        format!("worker={id} answer={answer:?} heard_ago={age} tasks={tasks}");
                    self.log("worker_lost", None, detail);
                }
            }
        }
    }

    /// Handles a worker's lists: updates its clock and incarnation, then its ends, runs and gauges.
    fn on_poll_lists(
        &mut self,
        worker: WorkerSlot,
        clock_ms: u64,
        born_ms: u64,
        running: &[ListedRun],
        ended: Vec<ListedEnd>,
        now: TimePoint,
    ) {
        let entry = self.workers.get_mut(worker);
        let was_lost = entry.failed_polls > 0;
        let restarted = entry.born_ms != born_ms && entry.born_ms != 0;
        if restarted && !was_lost {
            self.record_loss(worker, now);
        }
        let entry = self.workers.get_mut(worker);
        if entry.fence_confirmed {
            let gap = now.since(entry.answered_at);
            self.load_report.longest_poll_gap = self.load_report.longest_poll_gap.max(gap);
        }
        entry.failed_polls = 0;
        entry.replaced_since = None;
        let suspected_at = entry.restart_suspected_at;
        entry.restart_suspected_at = suspected_at.filter(|at| *at > entry.polled_at);
        if now.since(entry.polled_at) > entry.poll_wait + OVERDUE_SPAN {
            // The answer was read late.
            entry.restart_suspected_at = Some(now);
        }
        entry.answered_at = now;
        let other_incarnation = entry.born_ms != born_ms;
        if restarted {
            let listed = running.iter().map(|listed| listed.run);
            let listed: Vec<RunName> = listed.chain(ended.iter().map(|end| end.run)).collect();
            self.on_new_incarnation(worker, born_ms, clock_ms, &listed, now);
        }
        if other_incarnation && (restarted || self.has_runs_of_others(worker, born_ms)) {
            let longest_lease = self.limits.longest_lease;
            let lease_span = longest_lease.scale(worker_registry::SLOW_CLOCK_FACTOR);
            let entry = self.workers.get_mut(worker);
            entry.late_leases_until = now + lease_span + worker_registry::LEASE_MARGIN;
        }
        let entry = self.workers.get_mut(worker);
        if other_incarnation {
            entry.born_ms = born_ms;
            entry.handled_end = 0;
            entry.acked_end = 0;
            entry.unwritten_ends.clear();
            entry.clock = None;
            entry.alive_ms = 0;
            // All deadlines so far were on the clock of the former incarnation, and none has reached
            // this one.
            entry.lease_end_ms = 0;
        }
        let reading = ClockReading {
            worker_ms: clock_ms,
            at: now,
        };
        if entry.clock.is_none_or(|known| known.worker_ms <= clock_ms) {
            entry.clock = Some(reading);
        }
        entry.alive_ms = entry.alive_ms.max(clock_ms);
        if was_lost && !other_incarnation {
            entry.loss = None;
        }
        let newly_adopted = !entry.fence_confirmed;
        entry.fence_confirmed = true;
        let poll_delay = self.poll_timing(worker, now).answered_delay();
        let mut poll_delay = poll_delay.max(self.poll_delay(worker));
        if self.workers.get(worker).acked_end > 0 && self.may_have_restarted(worker, now) {
            poll_delay = poll_delay.max(UNACKNOWLEDGED_DELAY);
        }
        self.schedule_poll(worker, now + poll_delay);
        if newly_adopted || was_lost {
            self.place_due = true;
            self.commit.send_early |= self.workers.get(worker).recorded_silent;
            let detail = format!(
                "worker={} runs={} ends={} clock_ms={clock_ms} born_ms={born_ms}",
                self.workers.get(worker).listing.id,
                running.len(),
                ended.len()
            );
            self.log("worker_heard", None, detail);
        }
        for end in ended {
            if end.number > self.workers.get(worker).handled_end {
                self.workers.get_mut(worker).handled_end = end.number;
                self.on_ended(worker, end, clock_ms, now);
            }
        }
        self.reconcile_runs(worker, clock_ms, running, now);
        self.pace_worker(worker, now);
        self.check_progress(worker, now);
        self.acknowledge_ends(worker, now);
    }

    /// Whether runs are recorded on other incarnations of a worker than the one that began at `born_ms`.
    fn has_runs_of_others(&self, worker: WorkerSlot, born_ms: u64) -> bool {
        let tasks = self.workers.get(worker).tasks.iter();
        let mut tasks = tasks.filter_map(|slot| self.jobs.task(*slot));
        tasks.any(|task| task.worker_born_ms != 0 && task.worker_born_ms != born_ms)
    }

    /// Handles a new incarnation of a worker: runs that it does not list have ended with the old
    /// one, unless they were confirmed since the list was requested.
    fn on_new_incarnation(
        &mut self,
        worker: WorkerSlot,
        born_ms: u64,
        clock_ms: u64,
        listed: &[RunName],
        now: TimePoint,
    ) {
        let entry = self.workers.get(worker);
        let starts = entry.tasks.iter().filter_map(|slot| self.jobs.task(*slot));
        let starts = starts.filter(|task| task.phase == TaskPhase::Starting);
        let detail = format!(
            "worker={} was_born_ms={} born_ms={born_ms} tasks={} starts={} was_clock_ms={} \
             clock_ms={clock_ms} lease_end_ms={}",
            entry.listing.id,
            entry.born_ms,
            entry.tasks.len(),
            starts.count(),
            entry.alive_ms,
            entry.lease_end_ms
        );
        self.log("worker_reborn", None, detail);
        let entry = self.workers.get(worker);
        let (polled_at, complete) = (entry.polled_at, entry.lists_all_ends);
        let (mut revoked, mut lost) = (Vec::new(), Vec::new());
        for slot in self.workers.get(worker).tasks.clone() {
            if self
                .jobs
                .run_name(slot)
                .is_some_and(|run| listed.contains(&run))
            {
                continue;
            }
            let Some(task) = self.jobs.task(slot) else {
                continue;
            };
            match task.phase {
                // The start is answered, or counts as unanswered, later.
                TaskPhase::Starting if !task.start_unanswered => {}
                TaskPhase::Recording => {}
                // A late copy of the start may still reach the new incarnation, so the run is
                // stopped there first.
                TaskPhase::Starting | TaskPhase::Running if task.start_unanswered => {
                    revoked.push(slot);
                }
                // The new incarnation may have accepted the start after it had listed its runs, or
                // may not list its end yet. A later list shows it.
                TaskPhase::Running if !complete || !task.is_confirmed_before(polled_at) => {}
                _ => lost.push(slot),
            }
        }
        let reports = self.crash_reports(worker, &revoked, LossCause::Reborn);
        self.lose_runs(worker, &lost, LossCause::Reborn, now);
        let entry = self.workers.get_mut(worker);
        entry.former_leases_until = TimePoint::EPOCH;
        entry.ended_incarnations += 1;
        // Stops are meant for the present incarnation.
        entry.born_ms = born_ms;
        self.revoke_starts(&reports, born_ms, now);
    }

    /// Handles answers of another worker at the address. The previous worker has ended, and its
    /// runs with it. Orders name the worker that they are meant for, so those in flight have no
    /// effect.
    fn on_replaced(&mut self, worker: WorkerSlot, now: TimePoint) {
        let entry = self.workers.get_mut(worker);
        let since = *entry.replaced_since.get_or_insert(now);
        if now.since(since) < REPLACED_SPAN || entry.tasks.is_empty() {
            return;
        }
        entry.former_leases_until = TimePoint::EPOCH;
        entry.lease_end_ms = 0;
        self.lose_tasks(worker, LossCause::Replaced, now);
    }

    /// Handles an end that a worker lists. Ends of runs that are not current are only logged.
    fn on_ended(&mut self, worker: WorkerSlot, end: ListedEnd, clock_ms: u64, now: TimePoint) {
        let run = end.run;
        let slot = self.jobs.find_task(run.task);
        let current = slot.filter(|slot| {
            self.jobs.task(*slot).is_some_and(|task| {
                task.worker == Some(worker)
                    && task.attempt == run.attempt
                    && task.phase.is_placed()
                    && task.phase != TaskPhase::Recording
            })
        });
        let id = self.workers.get(worker).listing.id.clone();
        let number = end.number;
        let Some(slot) = current else {
            self.log(
                "run_ended",
                Some(run.task.job),
                format!(
                    "run={run} worker={id} number={number} end={} taken=false",
                    end.end
                ),
            );
            return;
        };
        let stopped = end.end == RunEnd::Stopped;
        self.forecaster.observe_end(slot, run.attempt, stopped, now);
        let service = self.jobs.step(slot).is_some_and(|step| step.service);
        let started = self.jobs.task(slot).map_or(now, |task| task.phase_since);
        self.log(
            "run_ended",
            Some(run.task.job),
            format!(
                "run={run} worker={id} number={number} end={} ran={}",
                end.end,
                now.since(started)
            ),
        );
        self.mark_job_running(slot);
        if let Some(task) = self.jobs.task_mut(slot) {
            task.record_end(pause_cause(end.end), now);
            if !end.checkpoint.is_empty() {
                task.checkpoint = end.checkpoint;
            }
        }
        match end.end {
            RunEnd::Done if !service => {
                self.workers.get_mut(worker).failures = 0;
                if let Some(task) = self.jobs.task_mut(slot) {
                    task.progress.report(clock_ms, run_progress::DONE_PERCENT);
                }
                self.record_done_run(worker, slot);
                self.finish_task(slot, now);
            }
            RunEnd::Failed => self.fail_task(slot, worker, service, now),
            RunEnd::Done
            | RunEnd::Stopped
            | RunEnd::Lapsed
            | RunEnd::GangBroken
            | RunEnd::GangAlone => {
                let preempted = self.jobs.task(slot).is_some_and(|task| task.preempted);
                let delay = if preempted {
                    preempt::PREEMPTED_DELAY
                } else {
                    TimeSpan::ZERO
                };
                self.requeue_task(slot, now, delay);
            }
        }
        self.mark_dirty(slot.job);
        if let Some(job) = self.jobs.get(slot.job)
            && job.dirty
        {
            let end = UnwrittenEnd {
                number,
                job: slot.job,
            };
            self.workers.get_mut(worker).unwritten_ends.push(end);
        }
    }

    /// Marks a job as running once the first of its tasks has started.
    pub(super) fn mark_job_running(&mut self, slot: TaskSlot) {
        if let Some(job) = self.jobs.get_mut(slot.job)
            && job.state == JobState::Queued
        {
            job.state = JobState::Running;
            if job.reported_state == JobState::Queued {
                job.reported_state = JobState::Running;
            }
        }
    }

    /// Marks a task, and the other members of its gang, as done. Completes the job after its last
    /// task.
    fn finish_task(&mut self, slot: TaskSlot, now: TimePoint) {
        let Some(job) = self.jobs.get(slot.job) else {
            return;
        };
        let number = usize::from(job.step_of(slot.task));
        let step = job.spec.steps[number].clone();
        let first = job.first_tasks[number];
        let members = if step.gang {
            first..first + u32::from(step.count)
        } else {
            slot.task..slot.task + 1
        };
        for task in members {
            let member = TaskSlot { task, ..slot };
            self.unplace(member);
            let Some(job) = self.jobs.get_mut(slot.job) else {
                return;
            };
            let Some(occurrence) = job.occurrence_mut(slot.occurrence) else {
                return;
            };
            let entry = &mut occurrence.tasks[task as usize];
            if entry.phase != TaskPhase::Done {
                entry.phase = TaskPhase::Done;
                entry.phase_since = now;
                occurrence.remaining_tasks[number] =
                    occurrence.remaining_tasks[number].saturating_sub(1);
            }
        }
        self.place_due = true;
        let Some(job) = self.jobs.get_mut(slot.job) else {
            return;
        };
        if job.state.is_final() {
            self.clear_ended_job(slot.job);
        } else if job.drop_done_occurrences() {
            job.state = JobState::Completed;
            job.ended_at = now;
            let id = job.id;
            let took = now.since(job.accepted_at);
            self.log("job_completed", Some(id), format!("took={took}"));
        }
    }

    /// Requeues a task whose run failed. Repeated failures quarantine the worker, and end the job
    /// once the queue's limit is reached; service tasks are retried without limit.
    fn fail_task(&mut self, slot: TaskSlot, worker: WorkerSlot, service: bool, now: TimePoint) {
        let repeated = service && self.record_quick_failure(slot, worker, now);
        let quick_failures = self.jobs.task(slot).map_or(0, |task| task.quick_failures);
        let entry = self.workers.get_mut(worker);
        if now.since(entry.failed_at) > FAILURE_MEMORY {
            entry.failures = 0;
        }
        if !repeated {
            entry.failed_at = now;
            entry.failures += 1;
        }
        if !repeated && entry.failures >= FAILURE_LIMIT {
            let doublings = (entry.failures - FAILURE_LIMIT).min(4);
            let quarantine = FAILURE_QUARANTINE
                .scale(f64::from(1u32 << doublings))
                .min(LONGEST_QUARANTINE);
            entry.quarantined_until = now + quarantine;
            let detail = format!(
                "worker={} failures={} for={quarantine}",
                entry.listing.id, entry.failures
            );
            self.log("worker_quarantined", None, detail);
        }
        let delay = if service && quick_failures >= QUICK_FAILURE_LIMIT {
            CRASH_LOOP_DELAY
        } else {
            TimeSpan::ZERO
        };
        self.requeue_task(slot, now, delay);
        let Some(job) = self.jobs.get(slot.job) else {
            return;
        };
        let limit = self.queue_rule(job).max_attempts.max(1);
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        task.failures += 1;
        task.avoided_worker = Some(worker);
        let failures = task.failures;
        if !service && failures >= limit {
            let detail = format!("cause=failures failures={failures} limit={limit}");
            self.fail_job(slot.job, detail, now);
        }
    }

    /// Counts the failures in a row of a service task soon after its starts. Returns whether the
    /// task has failed so on another worker just before, so that this one isn't the cause.
    fn record_quick_failure(&mut self, slot: TaskSlot, worker: WorkerSlot, now: TimePoint) -> bool {
        let Some(task) = self.jobs.task_mut(slot) else {
            return false;
        };
        if now.since(task.phase_since) >= QUICK_FAILURE_SPAN {
            task.quick_failures = 0;
            return false;
        }
        let elsewhere = task.avoided_worker.is_some_and(|avoided| avoided != worker);
        let repeated = task.quick_failures > 0 && elsewhere;
        task.quick_failures = task.quick_failures.saturating_add(1);
        repeated
    }

    /// Ends a job as failed, unless it has ended already.
    pub(super) fn fail_job(&mut self, slot: JobSlot, detail: String, now: TimePoint) {
        if self.has_job_ended(slot) {
            return;
        }
        let id = self.jobs.get(slot).map(|job| job.id);
        self.end_job(slot, JobState::Failed, now);
        self.log("job_failed", id, detail);
        self.clear_ended_job(slot);
    }

    /// Compares the runs that a worker lists with the tasks placed there. Unwanted runs are
    /// stopped, and placed runs that are missing from the list count as lost.
    fn reconcile_runs(
        &mut self,
        worker: WorkerSlot,
        clock_ms: u64,
        running: &[ListedRun],
        now: TimePoint,
    ) {
        let mut running_names: Vec<RunName> = running.iter().map(|listed| listed.run).collect();
        running_names.sort_unstable();
        let mut gauges = Vec::with_capacity(running.len());
        let mut unowned = ResourceVector::ZERO;
        for listed in running {
            let slot = self.jobs.find_task(listed.run.task);
            let wanted = slot.filter(|slot| {
                self.jobs.task(*slot).is_some_and(|task| {
                    task.worker == Some(worker)
                        && task.attempt == listed.run.attempt
                        && task.phase.is_placed()
                })
            });
            let Some(slot) = wanted else {
                unowned = unowned + self.run_demand(listed.run);
                if self.may_stop_unwanted(listed.run, now) {
                    self.stop_run(worker, listed.run, "not_wanted");
                }
                continue;
            };
            if let Some(value) = listed.gauge {
                gauges.push(TaskGauge { slot, value });
            }
            self.log_crossed_start(worker, slot, listed.run);
            let job_ended = self.has_job_ended(slot.job);
            let Some(task) = self.jobs.task_mut(slot) else {
                continue;
            };
            let newly_running = task.phase != TaskPhase::Running;
            if newly_running {
                task.phase = TaskPhase::Running;
                task.phase_since = now;
            }
            if newly_running {
                task.progress = RunProgress::begin(clock_ms, listed.percent);
            } else {
                task.progress.report(clock_ms, listed.percent);
            }
            task.record_work(now);
            task.confirm_run(clock_ms, now);
            let cleared = task.record_alive();
            if !listed.checkpoint.is_empty() && task.checkpoint != listed.checkpoint {
                task.checkpoint.clone_from(&listed.checkpoint);
            }
            if job_ended && !task.stop_ordered {
                self.order_stop(slot, "job_over");
            }
            if newly_running {
                self.mark_job_running(slot);
            }
            if cleared {
                self.mark_dirty(slot.job);
            }
        }
        if self.workers.get(worker).unowned != unowned {
            self.workers.set_unowned(worker, unowned);
            self.place_due = true;
        }
        self.end_trial(worker);
        self.workers.get_mut(worker).gauges = gauges;
        if !self.workers.get(worker).lists_all_ends {
            // Runs that are missing may have ended.
            return;
        }
        let polled_at = self.workers.get(worker).polled_at;
        let (mut unlisted, mut recorded) = (Vec::new(), Vec::new());
        for slot in self.workers.get(worker).tasks.clone() {
            let Some(run) = self.jobs.run_name(slot) else {
                continue;
            };
            if running_names.binary_search(&run).is_ok() {
                continue;
            }
            let Some(task) = self.jobs.task(slot) else {
                continue;
            };
            match task.phase {
                TaskPhase::Unverified if self.may_resume(slot, worker, now) => recorded.push(slot),
                TaskPhase::Unverified => unlisted.push(slot),
                TaskPhase::Running
                    if !task.start_unconfirmed && task.is_confirmed_before(polled_at) =>
                {
                    unlisted.push(slot);
                }
                TaskPhase::Running
                | TaskPhase::Waiting
                | TaskPhase::Recording
                | TaskPhase::Starting
                | TaskPhase::Done => {}
            }
        }
        self.lose_runs(worker, &unlisted, LossCause::NotListed, now);
        for slot in recorded {
            self.resume_run(slot, worker, now);
        }
    }

    /// Logs a run that a worker lists although its start was meant for another incarnation.
    fn log_crossed_start(&mut self, worker: WorkerSlot, slot: TaskSlot, run: RunName) {
        let entry = self.workers.get(worker);
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        if task.worker_born_ms == 0 || task.worker_born_ms == entry.born_ms {
            return;
        }
        let detail = format!(
            "run={run} worker={} was={:?} meant_for_born_ms={} born_ms={} deadline_ms={} clock_ms={}",
            entry.listing.id,
            task.phase,
            task.worker_born_ms,
            entry.born_ms,
            task.deadline_ms,
            entry.alive_ms
        );
        task.worker_born_ms = entry.born_ms;
        self.warn("start_crossed", Some(run.task.job), detail);
    }

    /// Whether a run that a former coordinator recorded, and that its worker doesn't list, may start
    /// there.
    fn may_resume(&self, slot: TaskSlot, worker: WorkerSlot, now: TimePoint) -> bool {
        let (Some(job), Some(task)) = (self.jobs.get(slot.job), self.jobs.task(slot)) else {
            return false;
        };
        let entry = self.workers.get(worker);
        task.worker_born_ms == entry.born_ms
            && !job.state.is_final()
            && !task.crash_history.is_suspect()
            && self.workers.pool(worker) == job.pool_key
            && entry.is_usable(now, SILENCE_LIMIT)
            && !entry.is_over_capacity()
            && self.start_obstacle(slot, now).is_none()
    }

    /// Sends the start of a run that a former coordinator recorded. The run keeps its worker and its
    /// number: the former coordinator may still send the start, and a worker that has restarted
    /// since knows no fencing token that rejects it.
    fn resume_run(&mut self, slot: TaskSlot, worker: WorkerSlot, now: TimePoint) {
        let Some(run) = self.jobs.run_name(slot) else {
            return;
        };
        let id = &self.workers.get(worker).listing.id;
        let detail = format!("run={run} worker={id}");
        self.log("run_resumed", Some(run.task.job), detail);
        if let Some(task) = self.jobs.task_mut(slot) {
            task.pace = worker_registry::FULL_PACE;
        }
        self.send_start(slot, now);
    }

    /// The resources that a run reserves on its worker; none if its job is unknown.
    fn run_demand(&self, run: RunName) -> ResourceVector {
        let job = self.jobs.find(run.task.job);
        let job = job.and_then(|slot| self.jobs.get(slot));
        let step = job.and_then(|job| job.spec.steps.get(usize::from(run.task.step)));
        step.map_or(ResourceVector::ZERO, worker_registry::reserved_demand)
    }

    /// Gives a worker no new tasks for at least this span.
    pub(super) fn quarantine(
        &mut self,
        worker: WorkerSlot,
        span: TimeSpan,
        cause: &'static str,
        now: TimePoint,
    ) {
        let entry = self.workers.get_mut(worker);
        entry.quarantined_until = entry.quarantined_until.max(now + span);
        let detail = format!("worker={} cause={cause} for={span}", entry.listing.id);
        self.log("worker_quarantined", None, detail);
    }

    /// Reacts to a worker that rejected the fencing token: another coordinator leads.
    pub(super) fn step_down(&mut self, order: &'static str, worker: WorkerSlot) {
        let detail = format!(
            "order={order} worker={} fence={}",
            self.workers.get(worker).listing.id,
            self.fence
        );
        self.log("fenced", None, detail);
        self.effects.push(Effect::StepDown);
    }

    /// Requeues the tasks on workers whose leases have all expired.
    pub(super) fn expire_leases(&mut self, now: TimePoint) {
        for slot in self.workers.slots() {
            let entry = self.workers.get(slot);
            if !entry.tasks.is_empty() && entry.leases_expired_at() <= now {
                self.lose_tasks(slot, LossCause::LeaseOver, now);
            }
        }
    }
}

/// How a run ended, for the pause of its task.
const fn pause_cause(end: RunEnd) -> PauseCause {
    match end {
        RunEnd::Done => PauseCause::Done,
        RunEnd::Failed => PauseCause::Failed,
        RunEnd::Stopped => PauseCause::Stopped,
        RunEnd::Lapsed => PauseCause::Lapsed,
        RunEnd::GangBroken | RunEnd::GangAlone => PauseCause::Gang,
    }
}
