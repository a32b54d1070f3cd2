//! One coordinator runs the jobs of a deployment: it chooses workers, orders starts and stops,
//! and takes note of ends.
//!
//! A run is committed in the platform's store before its start is sent, and an end is committed
//! before its worker may forget it. A successor reads the record, polls every worker under a
//! higher fencing token, and so knows of each run whether it exists; only runs on workers that it
//! can't reach have to be waited out.

mod commit;
mod displace;
mod evacuate;
mod event;
mod order;
mod pace;
mod place;
mod poll;
mod recover;
mod stall;

pub use event::CommitBatch;
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
pub use recover::RecoveryRecords;

pub use crate::job_book::JobRecord;

use std::borrow::Cow;

use crate::image_interference::InterferenceModel;
use crate::job_book::JobBook;
use crate::job_book::JobEntry;
use crate::job_book::JobSlot;
use crate::job_book::JobState;
use crate::job_book::TaskPhase;
use crate::job_book::TaskSlot;
use crate::job_spec::JobId;
use crate::job_spec::JobSpec;
use crate::job_spec::RunName;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::work_rule::QueueRule;
use crate::work_rule::WorkRules;
use crate::worker_book::WorkerBook;
use crate::worker_book::WorkerReport;
use crate::worker_book::WorkerSlot;

/// Figures that a deployment sets.
#[derive(Clone, Copy, Debug)]
pub struct CoordinatorLimits {
    /// Longest lease that a worker grants.
    pub longest_lease: TimeSpan,
    /// How long callers may ask for a job after it ended.
    pub retention: TimeSpan,
    /// A service task may be over its target for this long.
    pub harm_tolerance: TimeSpan,
}

/// Runs jobs on workers.
#[derive(Debug)]
pub struct JobCoordinator {
    limits: CoordinatorLimits,
    fence: u64,
    rules: WorkRules,
    jobs: JobBook,
    workers: WorkerBook,
    interference: InterferenceModel,
    dirty: Vec<JobSlot>,
    removed: Vec<JobId>,
    commit: commit::CommitState,
    place_due: bool,
    next_place: TimePoint,
    next_sweep: TimePoint,
    resends: Vec<order::ResendEntry>,
    /// The latest end of leases that a predecessor may have given.
    inherited_until: TimePoint,
    effects: Vec<Effect>,
}

/// How often waiting jobs, leases and finished jobs are gone through.
const SWEEP_INTERVAL: TimeSpan = TimeSpan::from_millis(100);

impl JobCoordinator {
    /// A coordinator that has taken the leadership under a fencing token.
    pub fn new(limits: CoordinatorLimits, fence: u64, now: TimePoint) -> Self {
        Self {
            limits,
            fence,
            rules: WorkRules::default(),
            jobs: JobBook::default(),
            workers: WorkerBook::default(),
            interference: InterferenceModel::default(),
            dirty: Vec::new(),
            removed: Vec::new(),
            commit: commit::CommitState::new(now),
            place_due: false,
            next_place: now,
            next_sweep: now,
            resends: Vec::new(),
            inherited_until: TimePoint::EPOCH,
            effects: Vec::new(),
        }
    }

    /// Takes a newer version of the operators' rules into force; older ones are passed over.
    pub fn set_rules(&mut self, rules: WorkRules) {
        if rules.version > self.rules.version {
            self.rules = rules;
            self.place_due = true;
        }
    }

    /// Takes a newer version into force, without a copy of one that isn't.
    pub fn set_rules_if_newer(&mut self, rules: &WorkRules) {
        if rules.version > self.rules.version {
            self.set_rules(rules.clone());
        }
    }

    /// Takes the platform's list of workers.
    pub fn set_workers(&mut self, reports: Vec<WorkerReport>, now: TimePoint) {
        let slots: Vec<WorkerSlot> = self.workers.slots().collect();
        for slot in slots {
            self.workers.get_mut(slot).listed = false;
        }
        for report in reports {
            let slot = self.intern_worker(&report.id);
            let fence = self.fence;
            let entry = self.workers.get_mut(slot);
            entry.listed = true;
            if entry.report == report {
                continue;
            }
            let address_changed = entry.report.address != report.address;
            if entry.report.draining != report.draining || address_changed {
                self.effects.push(Effect::Log(DecisionRecord {
                    event: "worker_listed",
                    job: None,
                    detail: format!(
                        "worker={} address={} domain={} draining={} born_ms={} fence={fence}",
                        report.id, report.address, report.domain, report.draining, report.born_ms
                    ),
                }));
            }
            if address_changed {
                entry.next_poll = now;
            }
            let starts_draining = report.draining && !entry.report.draining;
            entry.report = report;
            if starts_draining {
                self.evacuate(slot);
            }
        }
        self.place_due = true;
    }

    /// Handles an event.
    pub fn handle(&mut self, event: Event, now: TimePoint) {
        match event {
            Event::Stored(record) => self.on_stored(record, now),
            Event::Cancelled(id) => self.on_cancelled(id, now),
            Event::Committed(number) => self.on_committed(number, now),
            Event::Polled {
                worker,
                deadline_ms,
                answer,
            } => self.on_polled(worker, deadline_ms, answer, now),
            Event::Started {
                worker,
                run,
                answer,
            } => self.on_started(worker, run, answer, now),
            Event::Stopped {
                worker,
                run,
                answer,
            } => self.on_stopped(worker, run, answer, now),
            Event::Paced {
                worker,
                run,
                percent,
                answer,
            } => self.on_paced(worker, run, percent, answer),
        }
    }

    /// Decides what is to be done now; called after events and at `next_wake`.
    pub fn run(&mut self, now: TimePoint) -> Vec<Effect> {
        if now >= self.next_sweep {
            self.next_sweep = now + SWEEP_INTERVAL;
            self.sweep(now);
        }
        if self.place_due && now >= self.next_place {
            self.place_due = false;
            self.place(now);
        }
        self.poll_due_workers(now);
        self.send_due_batch(now);
        std::mem::take(&mut self.effects)
    }

    /// When `run` is to be called next without an event.
    pub fn next_wake(&self, now: TimePoint) -> TimePoint {
        let mut wake = self.next_sweep;
        if let Some(batch_at) = self.next_batch_at() {
            wake = wake.min(batch_at);
        }
        if self.place_due {
            wake = wake.min(self.next_place);
        }
        if self.has_authority(now) {
            for (_, worker) in self.workers.iter() {
                if worker.is_polled() && !worker.polling {
                    wake = wake.min(worker.next_poll);
                }
            }
        }
        wake
    }

    /// What callers are told of a job; nothing for one that isn't known.
    pub fn committed_state(&self, id: JobId) -> Option<JobState> {
        let job = self.jobs.get(self.jobs.find(id)?)?;
        Some(job.shown)
    }

    /// Accepted jobs of a queue of which no task has started.
    pub fn pending_jobs(&self, queue: &str) -> usize {
        self.jobs
            .iter()
            .filter(|(_, job)| job.queue == queue && job.state == JobState::Queued)
            .count()
    }

    /// The rule of a job's queue; where the queue was dropped, one with what the job kept.
    fn queue_rule(&self, job: &JobEntry) -> Cow<'_, QueueRule> {
        if let Some(rule) = self.rules.queue(&job.queue) {
            return Cow::Borrowed(rule);
        }
        Cow::Owned(QueueRule {
            name: job.queue.clone(),
            pool: job.pool.clone(),
            max_attempts: FALLBACK_ATTEMPTS,
            slowdown_factor: FALLBACK_SLOWDOWN,
            ..QueueRule::default()
        })
    }

    fn log(&mut self, event: &'static str, job: Option<JobId>, detail: String) {
        self.effects
            .push(Effect::Log(DecisionRecord { event, job, detail }));
    }

    /// Whether a job has ended or is not known.
    fn has_job_ended(&self, slot: JobSlot) -> bool {
        self.jobs.get(slot).is_none_or(|job| job.state.is_final())
    }

    fn mark_dirty(&mut self, slot: JobSlot) {
        if let Some(job) = self.jobs.get_mut(slot)
            && !job.dirty
        {
            job.dirty = true;
            self.dirty.push(slot);
        }
    }

    fn on_stored(&mut self, record: JobRecord, now: TimePoint) {
        let id = record.id;
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

    /// A job of which nothing has run.
    fn new_job(&mut self, record: JobRecord, now: TimePoint) -> JobEntry {
        JobEntry::new(record, now, |name| self.interference.intern(name))
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
            // The cancelling itself is committed already.
            job.shown = JobState::Cancelled;
        }
        self.log("job_cancelled", Some(id), format!("was={before:?}"));
    }

    /// Ends a job: what runs of it is stopped.
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

    /// Orders a task's run to stop.
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
        task.stopping = true;
        self.stop_run(worker, run, reason);
    }

    fn stop_run(&mut self, worker: WorkerSlot, run: RunName, reason: &'static str) {
        let target = self.order_target(worker);
        let detail = format!("run={run} worker={} reason={reason}", target.id);
        self.log("run_stop", Some(run.task.job), detail);
        self.effects.push(Effect::Stop { target, run });
    }

    fn order_target(&self, worker: WorkerSlot) -> OrderTarget {
        let entry = self.workers.get(worker);
        OrderTarget {
            worker,
            id: entry.report.id.clone(),
            address: entry.report.address,
            fence: (self.fence << INCARNATION_BITS) + entry.ended_incarnations,
        }
    }

    /// Takes a task off its worker and lets it wait for another run.
    fn requeue_task(&mut self, slot: TaskSlot, now: TimePoint, delay: TimeSpan) {
        self.unplace(slot);
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        task.phase = TaskPhase::Waiting;
        task.since = now;
        task.not_before = now + delay;
        task.stopping = false;
        task.unsure = false;
        task.percent = 0;
        self.place_due = true;
        self.clear_ended_job(slot.job);
    }

    /// Takes a task off its worker.
    fn unplace(&mut self, slot: TaskSlot) {
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        let worker = task.worker.take();
        let (Some(step), Some(image)) = (self.jobs.step(slot), self.jobs.image(slot)) else {
            return;
        };
        if let Some(worker) = worker {
            self.workers.get_mut(worker).remove_task(slot, step, image);
        }
    }

    /// Forgets the tasks of a job that has ended once none of them can run.
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

    /// Starts occurrences that are due, waits out leases, forgets old jobs.
    fn sweep(&mut self, now: TimePoint) {
        let mut expired = Vec::new();
        let mut due = Vec::new();
        for (slot, job) in self.jobs.iter() {
            if job.state.is_final() {
                if job.occurrences.is_empty()
                    && !job.dirty
                    && now.since(job.ended_at) > self.limits.retention
                {
                    expired.push((slot, job.id));
                }
            } else if !job.all_begun() {
                due.push(slot);
            }
        }
        for (slot, id) in expired {
            self.jobs.remove(slot);
            self.removed.push(id);
            self.log("job_forgotten", Some(id), String::new());
        }
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
        // Waiting tasks whose delay is over, and workers that are no longer quarantined.
        self.place_due = true;
    }
}

/// The images of a job's steps, as text.
fn image_list(spec: &JobSpec) -> String {
    let mut images: Vec<&str> = spec.steps.iter().map(|step| step.image.as_str()).collect();
    images.dedup();
    images.join(",")
}

/// Bits of a fencing token that count the incarnations of a worker: the next one refuses orders that
/// were meant for an earlier one.
const INCARNATION_BITS: u32 = 16;
/// Attempts of a task whose queue was dropped: the users' queues allow 2 to 4.
const FALLBACK_ATTEMPTS: u32 = 3;
/// Slowdown factor of a job whose queue was dropped, as the sites' bulk queues have.
const FALLBACK_SLOWDOWN: f64 = 2.0;
