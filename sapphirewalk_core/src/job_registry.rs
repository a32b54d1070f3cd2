//! The jobs of a coordinator, with the state of their occurrences and tasks in memory and in the
//! store.

use std::rc;

use serde::Deserialize;
use serde::Serialize;

use crate::crash_history::CrashHistory;
use crate::image_interference::ImageKey;
use crate::job_spec;
use crate::job_spec::JobId;
use crate::job_spec::JobSpec;
use crate::job_spec::RunName;
use crate::job_spec::StepSpec;
use crate::job_spec::TaskName;
use crate::load_cycle::LoadCycle;
use crate::load_trend::LoadTrend;
use crate::run_progress;
use crate::run_progress::RunProgress;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::work_rule::QueueTerms;
use crate::worker_registry::PoolKey;
use crate::worker_registry::WorkerSlot;

/// Index of a job in a [`JobRegistry`]; reused after the job is removed.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobSlot(pub u32);

/// Address of a task in a [`JobRegistry`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TaskSlot {
    /// The job that the task belongs to.
    pub job: JobSlot,
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index among the tasks of all steps of the occurrence.
    pub task: u32,
}

/// A job as it was stored on acceptance; never changes.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRecord {
    /// Identifier set by the caller.
    pub id: JobId,
    /// Name of the queue that accepted the job.
    pub queue: String,
    /// Worker pool of the queue at acceptance.
    pub pool: String,
    /// Steps, schedule and text of the job.
    pub spec: JobSpec,
    /// When an entry VM accepted the job; occurrence 0 of an unscheduled job is due then.
    pub accepted_at: TimePoint,
    /// Terms of the queue at acceptance; none if an earlier version accepted the job, or if a peer
    /// reports it.
    pub terms: Option<QueueTerms>,
}

/// Lifecycle state of a job, as reported to callers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// At least one task has started.
    Running,
    /// Every task of every occurrence is done.
    Completed,
    /// A task used up the failed runs that its queue allows, or crashes the workers that start it.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

/// Lifecycle phase of a task's present run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TaskPhase {
    /// No run is placed; earlier steps may be unfinished.
    #[default]
    Waiting,
    /// A worker is chosen. The start is sent once the store has committed the run.
    Recording,
    /// The start was sent; no answer has arrived.
    Starting,
    /// The worker confirmed the run, or a start that may have arrived is being stopped.
    Running,
    /// A former coordinator recorded the run; the worker has not confirmed it to this one.
    Unverified,
    /// The last run ended successfully; final.
    Done,
}

/// How the last run of a task ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PauseCause {
    /// It was done.
    Done,
    /// It failed.
    Failed,
    /// A stop order ended it.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Its gang broke.
    Gang,
    /// Its end is unknown: its worker was lost or doesn't list it.
    Lost,
    /// It had ended before this coordinator took over.
    Takeover,
}

/// Since when a task that has had a run is without one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunPause {
    /// End of the last run, or the takeover if that is unknown.
    pub since: TimePoint,
    /// How the last run ended.
    pub cause: PauseCause,
}

/// Scheduling state of one task.
#[derive(Clone, Debug, Default)]
pub struct TaskEntry {
    /// Phase of the present run.
    pub phase: TaskPhase,
    /// Number of the last run that is recorded or waits to be; 0 before the first.
    pub attempt: u32,
    /// Number of failed runs; unless the task is a service, the queue's `max_attempts` limits it.
    pub failures: u32,
    /// Number of runs in a row that failed soon after their start, of a service task; not stored.
    pub quick_failures: u32,
    /// Crashes of workers under the last runs.
    pub crash_history: CrashHistory,
    /// Checkpoint from which the next run resumes; empty to run from the start.
    pub checkpoint: String,
    /// Worker of the present run; none while no run is placed.
    pub worker: Option<WorkerSlot>,
    /// Start of the worker's incarnation that the present run was placed on, in Unix ms; 0 if it
    /// wasn't known.
    pub worker_born_ms: u64,
    /// When the task entered its phase.
    pub phase_since: TimePoint,
    /// Worker clock in ms of the first answer that confirmed the run; 0 before it.
    pub begun_ms: u64,
    /// Worker clock in ms of the last answer that confirmed the run; 0 before the first.
    pub confirmed_ms: u64,
    /// When the last answer arrived that confirmed the run or a stop of it; the epoch before the
    /// first.
    pub confirmed_at: TimePoint,
    /// Earliest time of the next run.
    pub not_before: TimePoint,
    /// End of the last run that a worker may have had; none before it. A start that is withheld or
    /// refused doesn't change it.
    pub pause: Option<RunPause>,
    /// Worker of the last run that failed, stalled, was refused or was evicted.
    pub avoided_worker: Option<WorkerSlot>,
    /// A start got no answer and the worker may still execute it. A list without the run then
    /// doesn't prove that the run is lost. Cleared when the worker confirms the run or a stop.
    pub start_unconfirmed: bool,
    /// Deadline in the start of the present run, in ms on the worker's clock; 0 before it is sent.
    pub deadline_ms: u64,
    /// Some start of the present run got no answer. Stays set for the run: a delayed copy may reach
    /// even a later incarnation of the worker.
    pub start_unanswered: bool,
    /// The worker has restarted since the start of the present run was sent, and was ordered to stop
    /// the run, which its present incarnation hasn't confirmed.
    pub start_revoked: bool,
    /// A stop of the present run was sent.
    pub stop_ordered: bool,
    /// The run is stopped to make room for more urgent work, which delays the next run.
    pub preempted: bool,
    /// Progress of the present run, or of the last one of a task that is done.
    pub progress: RunProgress,
    /// Time of the first report since which the present run of a service task is at work without a
    /// break; none while it is not known to be.
    pub at_work_since: Option<TimePoint>,
    /// How often runs were stopped because they made little progress.
    pub restarts: u8,
    /// Speed limit of a best-effort task in percent of full speed, 0 to 100; set when a
    /// change is ordered. [`FULL_PACE`](crate::worker_registry::FULL_PACE) at the start of a run,
    /// and after a change that the worker did not accept. An eviction orders 0 but doesn't set it.
    pub pace: u32,
}

/// One execution of all steps of a job.
#[derive(Clone, Debug)]
pub struct OccurrenceEntry {
    /// Number of the occurrence, from 0.
    pub number: u32,
    /// Scheduled start; its objective counts from here.
    pub due_at: TimePoint,
    /// Tasks of all steps, in the order of the steps.
    pub tasks: Vec<TaskEntry>,
    /// Number of unfinished tasks of each step.
    pub remaining_tasks: Vec<u32>,
    /// When a task of each step was first placed; none before. The due time if a former coordinator
    /// had placed one, since the time isn't stored.
    pub first_placed: Vec<Option<TimePoint>>,
    /// Whether a task of each step may be waiting. False only if none is, so that placement need
    /// not look at the tasks.
    pub may_wait: Vec<bool>,
}

/// Scheduling state of one job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// Identifier set by the caller.
    pub id: JobId,
    /// Name of the queue that accepted the job.
    pub queue: String,
    /// Worker pool of the queue at acceptance.
    pub pool: String,
    /// Terms of the queue when it was last configured; none if that isn't known.
    pub terms: Option<QueueTerms>,
    /// Priority of the queue by the rules in force; 0 comes first.
    pub priority: u32,
    /// Worker pool of the queue by the rules in force.
    pub pool_key: PoolKey,
    /// Steps, schedule and text of the job.
    pub spec: rc::Rc<JobSpec>,
    /// Estimated critical path from the start of each step to the end of the occurrence.
    pub critical_paths: Vec<TimeSpan>,
    /// Index of each step's first task within an occurrence.
    pub first_tasks: Vec<u32>,
    /// Interned image of each step.
    pub images: Vec<ImageKey>,
    /// When the job was accepted, limited to the present when it was loaded.
    pub accepted_at: TimePoint,
    /// Present state, which the store may not hold yet.
    pub state: JobState,
    /// State that callers see. Final states appear here only after the store has committed them.
    pub reported_state: JobState,
    /// When the job reached a final state; the epoch before.
    pub ended_at: TimePoint,
    /// Occurrences that are due and not done, in order of their number.
    pub occurrences: Vec<OccurrenceEntry>,
    /// Number of the next occurrence to become due.
    pub next_occurrence: u32,
    /// The stored progress is out of date.
    pub dirty: bool,
    /// Trend of the load on the service tasks of the job.
    pub load_trend: LoadTrend,
    /// Cycle of the same load; absent before the first sample, so that other jobs need no room for
    /// it.
    pub load_cycle: Option<Box<LoadCycle>>,
}

/// Jobs by slot and by identifier.
#[derive(Debug, Default)]
pub struct JobRegistry {
    slots: Vec<Option<JobEntry>>,
    free: Vec<JobSlot>,
    /// Jobs added since [`JobRegistry::drop_ended`] was last called, and those that had not ended
    /// then.
    open: Vec<JobSlot>,
    /// Sorted by identifier.
    by_id: Vec<(JobId, JobSlot)>,
}

/// Progress of a job, as stored for the next coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobProgress {
    /// Identifier set by the caller.
    pub id: JobId,
    /// State when the row was written; a row with a final one has no occurrences and tasks.
    pub state: JobState,
    /// Number of the next occurrence to become due.
    pub next_occurrence: u32,
    /// Occurrences in progress: number and due time.
    pub occurrences: Vec<(u32, TimePoint)>,
    /// The workers that tasks refer to by index.
    pub workers: Vec<WorkerIncarnation>,
    /// Tasks with at least one recorded run; all others are waiting.
    pub tasks: Vec<TaskProgress>,
}

/// A worker and its incarnation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WorkerIncarnation {
    /// Identifier in the platform's list.
    pub id: String,
    /// Start of the incarnation in Unix ms; 0 if it isn't known.
    pub born_ms: u64,
}

/// Progress of a task, as stored for the next coordinator.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskProgress {
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index among the tasks of all steps of the occurrence.
    pub task: u32,
    /// Number of the last recorded run, from 1.
    pub attempt: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Crashes of workers under the last runs.
    pub crash_history: CrashHistory,
    /// Worker on which the last run may exist, as an index into `workers` of the job.
    pub worker: Option<u32>,
    /// The task is done and has no further runs.
    pub done: bool,
    /// Checkpoint from which the next run resumes; empty to run from the start.
    pub checkpoint: String,
}

impl PauseCause {
    /// Name of the cause in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::Gang => "gang",
            Self::Lost => "lost",
            Self::Takeover => "takeover",
        }
    }
}

impl JobState {
    /// Whether the state never changes again.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl TaskPhase {
    /// Whether the task occupies a worker: a run may exist there or is being recorded.
    pub const fn is_placed(self) -> bool {
        matches!(
            self,
            Self::Recording | Self::Starting | Self::Running | Self::Unverified
        )
    }
}

impl TaskEntry {
    /// For how long answers of the worker have confirmed the present run.
    pub const fn alive_for(&self) -> TimeSpan {
        if self.begun_ms == 0 {
            return TimeSpan::ZERO;
        }
        TimeSpan::from_millis(self.confirmed_ms.saturating_sub(self.begun_ms))
    }

    /// Records an answer of the worker that confirms the present run, by the worker's clock in ms.
    pub fn confirm_run(&mut self, clock_ms: u64, now: TimePoint) {
        self.start_unconfirmed = false;
        self.start_revoked = false;
        self.confirmed_at = now;
        if self.begun_ms == 0 {
            self.begun_ms = clock_ms.max(1);
        }
        self.confirmed_ms = self.confirmed_ms.max(clock_ms);
    }

    /// Whether the run, or a stop of it, was last confirmed before a poll was sent, whose list then
    /// shows what became of it. Clock readings don't tell: a worker may read its clock some time
    /// after it has listed its runs, and its next incarnation counts from 0.
    pub fn is_confirmed_before(&self, polled_at: TimePoint) -> bool {
        self.confirmed_at <= polled_at
    }

    /// Records the end of the present run, which its worker has had.
    pub const fn record_end(&mut self, cause: PauseCause, now: TimePoint) {
        self.pause = Some(RunPause { since: now, cause });
    }

    /// Records the loss of the present run, which its worker may not have had.
    pub fn record_loss(&mut self, now: TimePoint) {
        let pause = RunPause {
            since: now,
            cause: PauseCause::Lost,
        };
        if self.begun_ms != 0 || self.phase == TaskPhase::Unverified {
            self.pause = Some(pause);
        } else {
            self.pause.get_or_insert(pause);
        }
    }

    /// Records whether the last report of the present run showed it at work.
    pub fn record_work(&mut self, now: TimePoint) {
        self.at_work_since = if self.progress.percent() >= run_progress::DONE_PERCENT {
            self.at_work_since.or(Some(now))
        } else {
            None
        };
    }

    /// Clears the task of earlier crashes if the present run has been alive for long enough.
    /// Returns whether there were any.
    pub fn record_alive(&mut self) -> bool {
        let alive = self.alive_for();
        self.crash_history.record_alive(alive)
    }
}

impl OccurrenceEntry {
    fn new(number: u32, due_at: TimePoint, spec: &JobSpec) -> Self {
        Self {
            number,
            due_at,
            tasks: vec![TaskEntry::default(); spec.task_count()],
            remaining_tasks: spec
                .steps
                .iter()
                .map(|step| u32::from(step.count))
                .collect(),
            first_placed: vec![None; spec.steps.len()],
            may_wait: vec![true; spec.steps.len()],
        }
    }

    /// Whether all steps that `step` depends on are done.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        step.after
            .iter()
            .all(|before| self.remaining_tasks[usize::from(*before)] == 0)
    }
}

impl JobEntry {
    /// A queued job without occurrences; `intern_image` returns the key of an image name.
    pub fn new(
        record: JobRecord,
        at: TimePoint,
        mut intern_image: impl FnMut(&str) -> ImageKey,
    ) -> Self {
        let JobRecord {
            id,
            queue,
            pool,
            spec,
            accepted_at,
            terms,
        } = record;
        let images = spec
            .steps
            .iter()
            .map(|step| intern_image(&step.image))
            .collect();
        let critical_paths = spec.critical_paths();
        let mut first = 0;
        let mut first_tasks = Vec::with_capacity(spec.steps.len());
        for step in &spec.steps {
            first_tasks.push(first);
            first += u32::from(step.count);
        }
        Self {
            id,
            queue,
            pool,
            terms,
            priority: 0,
            pool_key: PoolKey::default(),
            spec: rc::Rc::new(spec),
            critical_paths,
            first_tasks,
            images,
            accepted_at: accepted_at.min(at),
            state: JobState::Queued,
            reported_state: JobState::Queued,
            ended_at: TimePoint::EPOCH,
            occurrences: Vec::new(),
            next_occurrence: 0,
            dirty: false,
            load_trend: LoadTrend::default(),
            load_cycle: None,
        }
    }

    /// Creates the occurrences that have become due, as long as the tasks of all that are in
    /// progress fit one row of the platform's store.
    pub fn begin_due(&mut self, now: TimePoint) {
        let (first_at, interval, total) = match self.spec.schedule {
            None => (self.accepted_at, TimeSpan::ZERO, 1),
            Some(schedule) => (schedule.first_at, schedule.interval, schedule.occurrences),
        };
        while self.next_occurrence < total && self.has_room_for_occurrence() {
            let offset = interval
                .as_micros()
                .saturating_mul(u64::from(self.next_occurrence));
            let due_at = first_at + TimeSpan::from_micros(offset);
            if due_at > now {
                return;
            }
            let occurrence = OccurrenceEntry::new(self.next_occurrence, due_at, &self.spec);
            self.occurrences.push(occurrence);
            self.next_occurrence += 1;
        }
    }

    /// Whether another occurrence may be in progress besides the present ones.
    fn has_room_for_occurrence(&self) -> bool {
        let tasks = self.spec.task_count();
        let most = (job_spec::MAX_TASKS as usize / tasks.max(1)).max(1);
        self.occurrences.len() < most
    }

    /// Whether every scheduled occurrence has begun.
    pub fn all_begun(&self) -> bool {
        let total = self
            .spec
            .schedule
            .map_or(1, |schedule| schedule.occurrences);
        self.next_occurrence >= total
    }

    /// The step of a task, given its index within an occurrence.
    pub fn step_of(&self, task: u32) -> u16 {
        let after = self.first_tasks.partition_point(|first| *first <= task);
        u16::try_from(after.saturating_sub(1)).unwrap_or(u16::MAX)
    }

    /// The stable name of a task, given its index within an occurrence.
    pub fn task_name(&self, occurrence: u32, task: u32) -> TaskName {
        let step = self.step_of(task);
        let index = task - self.first_tasks[usize::from(step)];
        TaskName {
            job: self.id,
            occurrence,
            step,
            index: u16::try_from(index).unwrap_or(u16::MAX),
        }
    }

    /// The occurrence of that number; none if it is not due or already done.
    pub fn occurrence(&self, number: u32) -> Option<&OccurrenceEntry> {
        self.occurrences.iter().find(|entry| entry.number == number)
    }

    /// Mutable variant of [`Self::occurrence`].
    pub fn occurrence_mut(&mut self, number: u32) -> Option<&mut OccurrenceEntry> {
        self.occurrences
            .iter_mut()
            .find(|entry| entry.number == number)
    }

    /// Removes occurrences whose tasks are all done. Returns whether the whole job is done.
    pub fn drop_done_occurrences(&mut self) -> bool {
        self.occurrences
            .retain(|entry| entry.remaining_tasks.iter().any(|count| *count > 0));
        self.occurrences.is_empty() && self.all_begun()
    }

    /// The progress row to store; `worker_id` returns the identifier of a worker.
    pub fn progress(&self, worker_id: impl Fn(WorkerSlot) -> String) -> JobProgress {
        let mut progress = JobProgress {
            id: self.id,
            state: self.state,
            next_occurrence: self.next_occurrence,
            ..JobProgress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        let mut slots: Vec<(WorkerSlot, u64)> = Vec::new();
        for occurrence in &self.occurrences {
            progress
                .occurrences
                .push((occurrence.number, occurrence.due_at));
            for (task, number) in occurrence.tasks.iter().zip(0u32..) {
                if task.attempt == 0 {
                    continue;
                }
                let worker = task.worker.filter(|_| task.phase.is_placed()).map(|slot| {
                    let incarnation = (slot, task.worker_born_ms);
                    let index = slots.iter().position(|known| *known == incarnation);
                    let index = index.unwrap_or_else(|| {
                        slots.push(incarnation);
                        slots.len() - 1
                    });
                    u32::try_from(index).unwrap_or(u32::MAX)
                });
                progress.tasks.push(TaskProgress {
                    occurrence: occurrence.number,
                    task: number,
                    attempt: task.attempt,
                    failures: task.failures,
                    crash_history: task.crash_history,
                    worker,
                    done: task.phase == TaskPhase::Done,
                    checkpoint: if task.phase == TaskPhase::Done {
                        String::new()
                    } else {
                        task.checkpoint.clone()
                    },
                });
            }
        }
        let incarnations = slots.into_iter().map(|(slot, born_ms)| WorkerIncarnation {
            id: worker_id(slot),
            born_ms,
        });
        progress.workers = incarnations.collect();
        progress
    }

    /// Restores the state from a stored row; `intern_worker` returns the slot of a worker.
    /// Returns occurrence, task and worker of each run that may exist. The others count as ended
    /// `now`.
    pub fn restore(
        &mut self,
        progress: &JobProgress,
        mut intern_worker: impl FnMut(&str) -> WorkerSlot,
        now: TimePoint,
    ) -> Vec<(u32, u32, WorkerSlot)> {
        self.state = progress.state;
        self.reported_state = progress.state;
        self.next_occurrence = progress.next_occurrence;
        self.occurrences = progress
            .occurrences
            .iter()
            .map(|(number, due_at)| OccurrenceEntry::new(*number, *due_at, &self.spec))
            .collect();
        let workers: Vec<(WorkerSlot, u64)> = progress
            .workers
            .iter()
            .map(|worker| (intern_worker(&worker.id), worker.born_ms))
            .collect();
        let mut placed = Vec::new();
        for saved in &progress.tasks {
            let step = usize::from(self.step_of(saved.task));
            let Some(occurrence) = self.occurrence_mut(saved.occurrence) else {
                continue;
            };
            let Some(task) = occurrence.tasks.get_mut(saved.task as usize) else {
                continue;
            };
            task.attempt = saved.attempt;
            task.failures = saved.failures;
            task.crash_history = saved.crash_history;
            task.checkpoint.clone_from(&saved.checkpoint);
            occurrence.first_placed[step] = Some(occurrence.due_at);
            if saved.done {
                task.phase = TaskPhase::Done;
                occurrence.remaining_tasks[step] =
                    occurrence.remaining_tasks[step].saturating_sub(1);
                continue;
            }
            let worker = saved.worker.and_then(|index| workers.get(index as usize));
            if let Some((worker, born_ms)) = worker {
                task.phase = TaskPhase::Unverified;
                task.worker = Some(*worker);
                task.worker_born_ms = *born_ms;
                placed.push((saved.occurrence, saved.task, *worker));
            } else {
                task.record_end(PauseCause::Takeover, now);
            }
        }
        placed
    }
}

impl JobRegistry {
    /// Adds a job and returns its slot.
    ///
    /// # Errors
    ///
    /// The slot of an existing job with the same identifier; nothing is added.
    pub fn insert(&mut self, job: JobEntry) -> Result<JobSlot, JobSlot> {
        let id = job.id;
        let place = match self.by_id.binary_search_by_key(&id, |(known, _)| *known) {
            Ok(found) => return Err(self.by_id[found].1),
            Err(place) => place,
        };
        let slot = match self.free.pop() {
            Some(slot) => {
                self.slots[slot.0 as usize] = Some(job);
                slot
            }
            None => {
                self.slots.push(Some(job));
                JobSlot(u32::try_from(self.slots.len() - 1).unwrap_or(u32::MAX))
            }
        };
        self.by_id.insert(place, (id, slot));
        self.open.push(slot);
        Ok(slot)
    }

    /// Leaves jobs that have ended out of [`Self::iter_open`].
    pub fn drop_ended(&mut self) {
        let slots = &self.slots;
        let is_open = |slot: &JobSlot| {
            let job = slots[slot.0 as usize].as_ref();
            job.is_some_and(|job| !job.state.is_final())
        };
        self.open.retain(is_open);
    }

    /// Removes a job and frees its slot; does nothing if the slot is free.
    pub fn remove(&mut self, slot: JobSlot) {
        let Some(job) = self.slots[slot.0 as usize].take() else {
            return;
        };
        self.free.push(slot);
        self.open.retain(|open| *open != slot);
        if let Ok(place) = self
            .by_id
            .binary_search_by_key(&job.id, |(known, _)| *known)
        {
            self.by_id.remove(place);
        }
    }

    /// The slot of the job with this identifier.
    pub fn find(&self, id: JobId) -> Option<JobSlot> {
        let found = self.by_id.binary_search_by_key(&id, |(known, _)| *known);
        found.ok().map(|place| self.by_id[place].1)
    }

    /// The job in a slot; none if the slot is free.
    pub fn get(&self, slot: JobSlot) -> Option<&JobEntry> {
        self.slots.get(slot.0 as usize)?.as_ref()
    }

    /// Mutable variant of [`Self::get`].
    pub fn get_mut(&mut self, slot: JobSlot) -> Option<&mut JobEntry> {
        self.slots.get_mut(slot.0 as usize)?.as_mut()
    }

    /// All jobs in order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (JobSlot, &JobEntry)> {
        self.slots
            .iter()
            .zip(0u32..)
            .filter_map(|(job, slot)| job.as_ref().map(|job| (JobSlot(slot), job)))
    }

    /// Jobs that may not have ended, in the order in which they were added.
    pub fn iter_open(&self) -> impl Iterator<Item = (JobSlot, &JobEntry)> {
        let open = self.open.iter();
        open.filter_map(|slot| Some((*slot, self.get(*slot)?)))
    }

    /// Number of jobs, ended ones included.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether the registry holds no job.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The task at this address; none once its occurrence is done or its job removed.
    pub fn task(&self, slot: TaskSlot) -> Option<&TaskEntry> {
        let occurrence = self.get(slot.job)?.occurrence(slot.occurrence)?;
        occurrence.tasks.get(slot.task as usize)
    }

    /// Mutable variant of [`Self::task`].
    pub fn task_mut(&mut self, slot: TaskSlot) -> Option<&mut TaskEntry> {
        let occurrence = self.get_mut(slot.job)?.occurrence_mut(slot.occurrence)?;
        occurrence.tasks.get_mut(slot.task as usize)
    }

    /// The step that a task belongs to.
    pub fn step(&self, slot: TaskSlot) -> Option<&StepSpec> {
        let job = self.get(slot.job)?;
        job.spec.steps.get(usize::from(job.step_of(slot.task)))
    }

    /// The interned image of a task's step.
    pub fn image(&self, slot: TaskSlot) -> Option<ImageKey> {
        let job = self.get(slot.job)?;
        job.images.get(usize::from(job.step_of(slot.task))).copied()
    }

    /// The name of a task's last recorded run, with attempt 0 before the first.
    pub fn run_name(&self, slot: TaskSlot) -> Option<RunName> {
        let job = self.get(slot.job)?;
        Some(RunName {
            task: job.task_name(slot.occurrence, slot.task),
            attempt: self.task(slot)?.attempt,
        })
    }

    /// The address of a task by its name; none unless its occurrence is in progress.
    pub fn find_task(&self, name: TaskName) -> Option<TaskSlot> {
        let job = self.find(name.job)?;
        let entry = self.get(job)?;
        let first = entry.first_tasks.get(usize::from(name.step))?;
        let step = entry.spec.steps.get(usize::from(name.step))?;
        if name.index >= step.count {
            return None;
        }
        entry.occurrence(name.occurrence)?;
        Some(TaskSlot {
            job,
            occurrence: name.occurrence,
            task: first + u32::from(name.index),
        })
    }
}
