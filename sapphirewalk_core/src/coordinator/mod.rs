//! The job coordinator: a deployment's single leader, which assigns tasks of jobs to workers,
//! orders starts and stops, and records how runs end.
//!
//! A run is committed to the platform's store before its start is sent. Its end is committed before
//! the worker may discard the report of it. A successor reads the store and polls every worker
//! under a higher fencing token. The answers show for each run whether it exists; only runs on
//! unreachable workers have to be waited out until their leases expire.

mod availability;
mod commands;
mod commit;
mod crash;
mod drain;
mod evacuation;
mod event;
mod load_report;
mod pace;
mod place;
mod poll;
mod poll_queue;
mod poll_timing;
mod preempt;
mod recover;
mod relocate;
mod reserve;
mod restart;
mod retention;
mod stall;

pub use event::CommitBatch;
pub use event::DecisionLevel;
pub use event::DecisionRecord;
pub use event::Effect;
pub use event::Event;
pub use event::ListedEnd;
pub use event::ListedRun;
pub use event::OrderAnswer;
pub use event::OrderTarget;
pub use event::PollAnswer;
pub use event::RunEnd;
pub use event::SilentWorker;
pub use load_report::LoadReport;
pub use load_report::RunStage;
pub use load_report::StageDelay;
pub use recover::RecoveryRecords;

pub use crate::job_registry::JobRecord;

use std::borrow::Cow;

use crate::image_interference::InterferenceModel;
use crate::job_order::OverdueShare;
use crate::job_registry::JobEntry;
use crate::job_registry::JobRegistry;
use crate::job_registry::JobSlot;
use crate::job_registry::JobState;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::JobId;
use crate::job_spec::JobSpec;
use crate::job_spec::RunName;
use crate::leader_lag::LagStep;
use crate::leader_lag::LeaderLag;
use crate::restart_queue::RestartQueue;
use crate::room_forecast::RoomForecaster;
use crate::room_reservation::ReservationBook;
use crate::run_progress::RunProgress;
use crate::start_pace::PaceStep;
use crate::start_pace::StartPace;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::work_rule::QueueRule;
use crate::work_rule::QueueTerms;
use crate::work_rule::WorkRules;
use crate::worker_registry::WorkerListing;
use crate::worker_registry::WorkerRegistry;
use crate::worker_registry::WorkerSlot;
use crate::write_queue::WriteQueue;

/// Limits from the deployment's settings.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorLimits {
    /// Longest lease that workers accept.
    pub longest_lease: TimeSpan,
    /// How long an ended job remains available to callers' queries.
    pub retention: TimeSpan,
    /// Longest time for which the tail latency of a service task may exceed its target. Best-effort
    /// tasks that cause the violation are evicted earlier.
    pub harm_tolerance: TimeSpan,
    /// Whether decisions about best-effort tasks beside service tasks look ahead by the learned
    /// cycles of service loads. Otherwise they use the load trend alone.
    pub service_lookahead: bool,
    /// Time from an operator's request to evacuate a failure domain after which no task may start
    /// there; absent if the deployment states none.
    pub evacuation_bound: Option<TimeSpan>,
    /// Time without work after which a task of a service counts as unavailable, whatever the cause.
    pub unavailability_notice: TimeSpan,
    /// Longest value of a row that the store takes, in bytes.
    pub longest_row: usize,
}

/// State of a deployment's jobs and workers. It does no I/O: `handle` takes events, and `run`
/// returns the effects to carry out.
#[derive(Debug)]
pub struct JobCoordinator {
    limits: CoordinatorLimits,
    fence: u64,
    rules: WorkRules,
    evacuation: evacuation::EvacuationState,
    /// Tasks that were stopped to run outside their evacuated domain, until they do.
    pending_moves: Vec<relocate::PendingMove>,
    jobs: JobRegistry,
    workers: WorkerRegistry,
    interference: InterferenceModel,
    dirty: WriteQueue,
    retention: retention::RetentionState,
    commit: commit::CommitState,
    poll_queue: poll_queue::PollQueue,
    leader_lag: LeaderLag,
    start_pace: StartPace,
    load_report: LoadReport,
    withheld_log: availability::WithheldLog,
    /// Something changed that may let waiting tasks be placed.
    place_due: bool,
    next_place: TimePoint,
    /// Worker from which the next sampled scan for candidates starts.
    next_candidate: WorkerSlot,
    /// Next round that places work that can wait.
    next_full_place: TimePoint,
    /// The last round has left out work that can wait.
    place_was_partial: bool,
    /// Overdue work that shares the starts waited in the last round that wasn't partial.
    overdue_waits: bool,
    /// Lowest priority number of the configured queues.
    top_priority: u32,
    /// Last round that made room for urgent tasks.
    preempted_at: TimePoint,
    overdue_share: OverdueShare,
    reservations: ReservationBook,
    restarts: RestartQueue,
    forecaster: RoomForecaster,
    next_sweep: TimePoint,
    resends: Vec<commands::ResendEntry>,
    /// Latest possible end of leases granted by a former coordinator, over all workers.
    former_leases_until: TimePoint,
    /// Effects collected for the next return of `run`.
    effects: Vec<Effect>,
}

/// A part of the work that [`JobCoordinator::run`] performs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunPhase {
    /// Scans jobs and workers for what time alone makes due.
    Sweep,
    /// Assigns waiting tasks to workers.
    Place,
    /// Polls workers.
    Poll,
    /// Writes progress to the store.
    Record,
}

impl RunPhase {
    /// All phases, in the order in which they are to be performed.
    pub const ALL: [Self; 4] = [Self::Sweep, Self::Place, Self::Poll, Self::Record];
}

/// Interval between scans of waiting jobs, leases and ended jobs.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

impl JobCoordinator {
    /// Creates the state of a coordinator that has acquired the leadership under this fencing
    /// token.
    pub fn new(limits: CoordinatorLimits, fence: u64, now: TimePoint) -> Self {
        Self {
            limits,
            fence,
            rules: WorkRules::default(),
            evacuation: evacuation::EvacuationState::default(),
            pending_moves: Vec::new(),
            jobs: JobRegistry::default(),
            workers: WorkerRegistry::default(),
            interference: InterferenceModel::default(),
            dirty: WriteQueue::default(),
            retention: retention::RetentionState::new(now),
            commit: commit::CommitState::new(limits.longest_row, now),
            poll_queue: poll_queue::PollQueue::default(),
            leader_lag: LeaderLag::default(),
            start_pace: StartPace::default(),
            load_report: LoadReport::default(),
            withheld_log: availability::WithheldLog::new(),
            place_due: false,
            next_place: now,
            next_candidate: WorkerSlot::default(),
            next_full_place: now,
            place_was_partial: false,
            overdue_waits: false,
            top_priority: 0,
            preempted_at: TimePoint::EPOCH,
            overdue_share: OverdueShare::default(),
            reservations: ReservationBook::default(),
            restarts: RestartQueue::default(),
            forecaster: RoomForecaster::default(),
            next_sweep: now,
            resends: Vec::new(),
            former_leases_until: TimePoint::EPOCH,
            effects: Vec::new(),
        }
    }

    /// Replaces the operators' rules if these are newer by version.
    pub fn set_rules(&mut self, rules: WorkRules) {
        if rules.version > self.rules.version {
            let priorities = rules.queues.iter().map(|rule| rule.priority);
            self.top_priority = priorities.min().unwrap_or(0);
            self.rules = rules;
            let slots: Vec<JobSlot> = self.jobs.iter().map(|(slot, _)| slot).collect();
            for slot in slots {
                self.apply_rule(slot);
            }
            self.place_due = true;
        }
    }

    /// Like `set_rules`, but clones the rules only if they are newer.
    pub fn set_rules_if_newer(&mut self, rules: &WorkRules) {
        if rules.version > self.rules.version {
            self.set_rules(rules.clone());
        }
    }

    /// Replaces the platform's list of workers. Workers that are missing from it get no new tasks.
    pub fn set_workers(&mut self, listings: Vec<WorkerListing>, now: TimePoint) {
        let slots: Vec<WorkerSlot> = self.workers.slots().collect();
        for slot in slots {
            self.workers.get_mut(slot).listed = false;
        }
        for listing in listings {
            let slot = self.intern_worker(&listing.id);
            let fence = self.fence;
            let next_poll = self.workers.get(slot).next_poll;
            self.schedule_poll(slot, next_poll);
            let entry = self.workers.get_mut(slot);
            entry.listed = true;
            if entry.listing == listing {
                continue;
            }
            let address_changed = entry.listing.address != listing.address;
            if entry.listing.draining != listing.draining || address_changed {
                self.effects.push(Effect::Log(DecisionRecord {
                    level: DecisionLevel::Info,
                    event: "worker_listed",
                    job: None,
                    detail: format!(
                        "worker={} address={} domain={} draining={} born_ms={} fence={fence}",
                        listing.id,
                        listing.address,
                        listing.domain,
                        listing.draining,
                        listing.born_ms
                    ),
                }));
            }
            let starts_draining = listing.draining && !entry.listing.draining;
            self.workers.set_listing(slot, listing);
            self.mark_evacuated(slot);
            if address_changed {
                self.schedule_poll(slot, now);
            }
            if starts_draining {
                self.drain_worker(slot);
            }
        }
        self.record_unlisted(now);
        self.log_unknown_domains();
        self.place_due = true;
    }

    /// Applies an event; its effects are returned by the next `run`.
    pub fn handle(&mut self, event: Event, now: TimePoint) {
        match event {
            Event::Stored(record) => self.on_stored(record, now),
            Event::Cancelled(id) => self.on_cancelled(id, now),
            Event::Committed(number) => self.on_committed(number, now),
            Event::Rejected(number) => self.on_rejected(number, now),
            Event::RowsDeleted(ids) => self.on_rows_deleted(&ids, now),
            Event::Polled {
                worker,
                deadline_ms,
                answer,
            } => self.on_polled(worker, deadline_ms, answer.checked(), now),
            Event::Started {
                worker,
                fence,
                run,
                answer,
            } => {
                let answer = self.fenced_answer(worker, fence, answer.checked());
                self.on_started(worker, run, answer, now);
            }
            Event::Stopped {
                worker,
                fence,
                run,
                answer,
            } => {
                let answer = self.fenced_answer(worker, fence, answer.checked());
                self.on_stopped(worker, run, answer, now);
            }
            Event::Paced {
                worker,
                fence,
                run,
                percent,
                answer,
            } => {
                let answer = self.fenced_answer(worker, fence, answer.checked());
                self.on_paced(worker, run, percent, answer);
            }
        }
    }

    /// Records how late the process handled a timer. A process that lags polls less often, and
    /// starts less of the work that can wait.
    pub fn observe_lag(&mut self, sample: TimeSpan, now: TimePoint) {
        let event = match self.leader_lag.observe(sample) {
            LagStep::Unchanged => None,
            LagStep::Shed => Some("leader_lagging"),
            LagStep::Recover => Some("leader_keeping_up"),
        };
        let lag = self.leader_lag.lag();
        if let Some(event) = event {
            self.log(event, None, format!("lag={lag}"));
        }
        match self.start_pace.observe(sample, now) {
            PaceStep::Unchanged => {}
            PaceStep::Limit(rate) => {
                let lag = self.start_pace.mean_lag();
                let detail = format!("mean_lag={lag} starts_per_s={rate:.0}");
                self.log("starts_limited", None, detail);
            }
            PaceStep::Lift => {
                let lag = self.start_pace.mean_lag();
                self.log("starts_unlimited", None, format!("mean_lag={lag}"));
            }
        }
    }

    /// Performs the work that is due and returns the effects; to be called after events and at
    /// `next_wake`.
    pub fn run(&mut self, now: TimePoint) -> Vec<Effect> {
        for phase in RunPhase::ALL {
            self.run_phase(phase, now);
        }
        self.take_effects()
    }

    /// Performs the work of one phase that is due. A caller that doesn't use [`Self::run`] performs
    /// all phases in their order, and then takes the effects.
    pub fn run_phase(&mut self, phase: RunPhase, now: TimePoint) {
        match phase {
            RunPhase::Sweep => {
                self.observe_evacuation_view(now);
                if now >= self.next_sweep {
                    self.next_sweep = now + SWEEP_INTERVAL;
                    self.sweep(now);
                }
            }
            RunPhase::Place => {
                let is_due = self.place_due && now >= self.next_place;
                if is_due || (self.place_was_partial && now >= self.next_full_place) {
                    self.place_due = false;
                    self.place(now);
                }
            }
            RunPhase::Poll => self.poll_due_workers(now),
            RunPhase::Record => self.send_due_batch(now),
        }
    }

    /// Effects collected since they were last taken.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Time at which `run` must be called next if no event arrives before.
    pub fn next_wake(&self, now: TimePoint) -> TimePoint {
        let mut wake = self.next_sweep;
        if let Some(batch_at) = self.next_batch_at() {
            wake = wake.min(batch_at);
        }
        if self.place_due {
            wake = wake.min(self.next_place);
        }
        if self.place_was_partial {
            wake = wake.min(self.next_full_place);
        }
        if self.has_authority(now) {
            wake = self.poll_queue.next_due().map_or(wake, |due| wake.min(due));
        }
        wake
    }

    /// The state that callers may see: the one last committed. `None` for an unknown job.
    pub fn committed_state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some(job.reported_state)
    }

    /// Number of accepted jobs of a queue of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        self.jobs
            .iter()
            .filter(|(_, job)| job.queue == queue && job.state == JobState::Queued)
            .count()
    }

    /// The rule of a job's queue. If the queue isn't configured, the job's terms, with the pool that
    /// was stored with the job.
    fn queue_rule(&self, job: &JobEntry) -> Cow<'_, QueueRule> {
        if let Some(rule) = self.rules.queue(&job.queue) {
            return Cow::Borrowed(rule);
        }
        let terms = job.terms.unwrap_or(FALLBACK_TERMS);
        Cow::Owned(QueueRule {
            name: job.queue.clone(),
            pool: job.pool.clone(),
            priority: terms.priority,
            max_attempts: terms.max_attempts,
            slowdown_factor: terms.slowdown_factor,
            target_latency: terms.target_latency,
            ..QueueRule::default()
        })
    }

    fn log(&mut self, event: &'static str, job: Option<JobId>, detail: String) {
        self.log_at(DecisionLevel::Info, event, job, detail);
    }

    fn warn(&mut self, event: &'static str, job: Option<JobId>, detail: String) {
        self.log_at(DecisionLevel::Warning, event, job, detail);
    }

    fn log_at(
        &mut self,
        level: DecisionLevel,
        event: &'static str,
        job: Option<JobId>,
        detail: String,
    ) {
        self.effects.push(Effect::Log(DecisionRecord {
            level,
            event,
            job,
            detail,
        }));
    }

    /// Whether a job has ended or is unknown.
    fn has_job_ended(&self, slot: JobSlot) -> bool {
        self.jobs.get(slot).is_none_or(|job| job.state.is_final())
    }

    /// Queues a job's progress for the next batch.
    fn mark_dirty(&mut self, slot: JobSlot) {
        if let Some(job) = self.jobs.get_mut(slot)
            && !job.dirty
        {
            job.dirty = true;
            self.dirty.push(slot, job.priority);
        }
    }

    fn on_stored(&mut self, record: JobRecord, now: TimePoint) {
        let id = record.id;
        if self.was_forgotten(id) {
            self.log("job_repeated", Some(id), "cause=forgotten".to_owned());
            return;
        }
        if self.jobs.find(id).is_some() {
            self.complete_terms(&record);
            return;
        }
        if let Err(fault) = record.spec.check() {
            self.log("job_invalid", Some(id), format!("cause={fault:?}"));
            return;
        }
        let mut job = self.new_job(record, now);
        let accepted_at = job.accepted_at;
        job.begin_due(now);
        let steps = job.spec.steps.len();
        let tasks = job.spec.task_count();
        let queue = job.queue.clone();
        let images = image_list(&job.spec);
        if self.jobs.insert(job).is_ok() {
            self.place_due = true;
            let age = now.since(accepted_at);
            self.log(
                "job_known",
                Some(id),
                format!("queue={queue} steps={steps} tasks={tasks} images={images} age={age}"),
            );
        }
    }

    /// An entry for a job of which nothing has run.
    fn new_job(&mut self, record: JobRecord, now: TimePoint) -> JobEntry {
        let mut job = JobEntry::new(record, now, |name| self.interference.intern(name));
        let (terms, pool) = self.rule_of(&job);
        job.terms = terms;
        job.priority = terms.unwrap_or(FALLBACK_TERMS).priority;
        job.pool_key = self.workers.intern_pool(&pool);
        job
    }

    /// The terms by which a job runs, if they are known, and the pool of its queue.
    fn rule_of(&self, job: &JobEntry) -> (Option<QueueTerms>, String) {
        match self.rules.queue(&job.queue) {
            Some(rule) => (Some(rule.into()), rule.pool.clone()),
            None => (job.terms, job.pool.clone()),
        }
    }

    /// Sets a job's terms, priority and pool from the rule of its queue.
    fn apply_rule(&mut self, slot: JobSlot) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        let (terms, pool) = self.rule_of(job);
        let pool_key = self.workers.intern_pool(&pool);
        if let Some(job) = self.jobs.get_mut(slot) {
            job.terms = terms;
            job.priority = terms.unwrap_or(FALLBACK_TERMS).priority;
            job.pool_key = pool_key;
        }
    }

    /// Completes a known job by a record of it: a peer reports a job without its terms, and the
    /// store's feed delivers them.
    fn complete_terms(&mut self, record: &JobRecord) {
        let Some(slot) = self.jobs.find(record.id) else {
            return;
        };
        let job = self.jobs.get_mut(slot);
        if let Some(job) = job.filter(|job| job.terms.is_none()) {
            job.terms = record.terms;
            self.apply_rule(slot);
        }
    }

    fn on_cancelled(&mut self, id: JobId, now: TimePoint) {
        let Some(slot) = self.jobs.find(id) else {
            return;
        };
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        if job.state.is_final() {
            return;
        }
        let before = job.state;
        self.end_job(slot, JobState::Cancelled, now);
        if let Some(job) = self.jobs.get_mut(slot) {
            // The cancellation itself is already committed.
            job.reported_state = JobState::Cancelled;
        }
        self.log("job_cancelled", Some(id), format!("was={before:?}"));
    }

    /// Ends a job and orders its remaining runs to stop.
    fn end_job(&mut self, slot: JobSlot, state: JobState, now: TimePoint) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        job.state = state;
        job.ended_at = now;
        let mut running = Vec::new();
        for occurrence in &mut job.occurrences {
            let number = occurrence.number;
            for (task, index) in occurrence.tasks.iter_mut().zip(0u32..) {
                if task.phase.is_placed() && task.phase != TaskPhase::Recording {
                    running.push(TaskSlot {
                        job: slot,
                        occurrence: number,
                        task: index,
                    });
                }
            }
        }
        self.mark_dirty(slot);
        for task in running {
            self.order_stop(task, "job_over");
        }
    }

    /// Orders the current run of a task to stop. [`Self::may_interrupt`] comes first unless the job
    /// has ended or the worker is draining.
    fn order_stop(&mut self, slot: TaskSlot, reason: &'static str) {
        let Some(run) = self.jobs.run_name(slot) else {
            return;
        };
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        let Some(worker) = task.worker else {
            return;
        };
        task.stop_ordered = true;
        self.stop_run(worker, run, reason);
    }

    /// Orders a worker to stop a run, whether or not it belongs to a known task.
    fn stop_run(&mut self, worker: WorkerSlot, run: RunName, reason: &'static str) {
        let target = self.order_target(worker);
        let detail = format!("run={run} worker={} reason={reason}", target.id);
        self.log("run_stop", Some(run.task.job), detail);
        self.effects.push(Effect::Stop { target, run });
    }

    /// The fencing token of orders to the present incarnation of a worker.
    fn worker_fence(&self, worker: WorkerSlot) -> u64 {
        (self.fence << INCARNATION_BITS) + self.workers.get(worker).ended_incarnations
    }

    /// The answer to an order that was sent with the token `fence`. A rejection counts as lost if
    /// this coordinator has since sent a higher token to a new incarnation of the worker: the
    /// worker may have rejected the order because of that token, not of another coordinator's. The
    /// order is then sent again with the higher token, so another coordinator's token is still
    /// noticed.
    fn fenced_answer(&self, worker: WorkerSlot, fence: u64, answer: OrderAnswer) -> OrderAnswer {
        match answer {
            OrderAnswer::Fenced if fence < self.worker_fence(worker) => OrderAnswer::Missing,
            answer => answer,
        }
    }

    fn order_target(&self, worker: WorkerSlot) -> OrderTarget {
        let entry = self.workers.get(worker);
        OrderTarget {
            worker,
            id: entry.listing.id.clone(),
            address: entry.listing.address,
            born_ms: entry.born_ms,
            fence: self.worker_fence(worker),
        }
    }

    /// Removes a task from its worker and makes it wait for another run, for `delay` at least.
    fn requeue_task(&mut self, slot: TaskSlot, now: TimePoint, delay: TimeSpan) {
        self.unplace(slot);
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        task.phase_since = now;
        task.not_before = now + delay;
        task.stop_ordered = false;
        task.start_unconfirmed = false;
        task.start_revoked = false;
        task.progress = RunProgress::default();
        task.at_work_since = None;
        if let Some(job) = self.jobs.get_mut(slot.job) {
            let step = usize::from(job.step_of(slot.task));
            if let Some(occurrence) = job.occurrence_mut(slot.occurrence) {
                occurrence.may_wait[step] = true;
            }
        }
        self.place_due = true;
        self.await_restart(slot);
        self.clear_ended_job(slot.job);
    }

    /// Removes a task from its worker and frees the resources there.
    fn unplace(&mut self, slot: TaskSlot) {
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        let worker = task.worker.take();
        let (Some(step), Some(image)) = (self.jobs.step(slot), self.jobs.image(slot)) else {
            return;
        };
        if let Some(worker) = worker {
            self.workers.remove_task(worker, slot, step, image);
        }
    }

    /// Drops the tasks of an ended job once none of them can have a run.
    fn clear_ended_job(&mut self, slot: JobSlot) {
        let Some(job) = self.jobs.get_mut(slot) else {
            return;
        };
        if !job.state.is_final() {
            return;
        }
        let mut tasks = job.occurrences.iter().flat_map(|entry| &entry.tasks);
        if tasks.all(|task| !task.phase.is_placed()) {
            job.occurrences.clear();
        }
    }

    /// Begins due occurrences, expires leases, resends orders, moves evacuated tasks and deletes
    /// jobs past their retention.
    fn sweep(&mut self, now: TimePoint) {
        self.jobs.drop_ended();
        self.delete_expired_jobs(now);
        let open = self.jobs.iter_open();
        let due = open.filter(|(_, job)| !job.all_begun());
        let due: Vec<JobSlot> = due.map(|(slot, _)| slot).collect();
        for slot in due {
            if let Some(job) = self.jobs.get_mut(slot) {
                let before = job.next_occurrence;
                job.begin_due(now);
                if job.next_occurrence != before {
                    self.place_due = true;
                }
            }
        }
        for line in self.interference.report(now) {
            self.log("interference_learned", None, line);
        }
        self.expire_leases(now);
        self.resend_due(now);
        self.move_evacuated_tasks(now);
        self.report_restarts(now);
        // Delays of waiting tasks and quarantines of workers may have ended.
        self.place_due = true;
    }
}

/// The images of a job's steps, separated by commas.
fn image_list(spec: &JobSpec) -> String {
    let mut images: Vec<&str> = spec.steps.iter().map(|step| step.image.as_str()).collect();
    images.dedup();
    images.join(",")
}

/// Low bits of a fencing token that hold the number of a worker's ended incarnations. The next
/// incarnation thus rejects orders that were meant for an earlier one.
const INCARNATION_BITS: u32 = 16;
/// Terms of a job whose queue isn't configured and that an earlier version accepted.
const FALLBACK_TERMS: QueueTerms = QueueTerms {
    priority: 0,
    max_attempts: 3,
    slowdown_factor: 2.0,
    target_latency: TimeSpan::ZERO,
};
