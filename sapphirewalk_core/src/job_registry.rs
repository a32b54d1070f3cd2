//! The jobs that a coordinator knows, and how far each has come.

use std::rc;

use serde::Deserialize;
use serde::Serialize;

use crate::image_interference::ImageKey;
use crate::job_spec::JobId;
use crate::job_spec::JobSpec;
use crate::job_spec::RunName;
use crate::job_spec::StepSpec;
use crate::job_spec::TaskName;
use crate::load_trend::LoadTrend;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// A job in the arena.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobSlot(pub u32);

/// A task of a job in the arena.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct TaskSlot {
    /// The job.
    pub job: JobSlot,
    /// The occurrence.
    pub occurrence: u32,
    /// The task among those of the occurrence.
    pub task: u32,
}

/// A job as it was accepted and stored.
#[derive(Clone, Debug, PartialEq)]
pub struct JobRecord {
    /// The caller's identifier.
    pub id: JobId,
    /// The queue.
    pub queue: String,
    /// The pool that the queue had then.
    pub pool: String,
    /// What is to be run.
    pub spec: JobSpec,
    /// When it was accepted.
    pub accepted_at: TimePoint,
}

/// What callers are told of a job.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Queued,
    /// Some task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task has failed too often.
    Failed,
    /// Its caller has cancelled it.
    Cancelled,
}

/// How a task stands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum TaskPhase {
    /// It has no run; its step may still wait for others.
    #[default]
    Waiting,
    /// A worker is chosen; the run is not yet committed, so nothing has been sent.
    Recording,
    /// The start was sent and not answered.
    Starting,
    /// The worker has said that it runs.
    Running,
    /// A run may exist on the worker, as a former coordinator recorded it.
    Unverified,
    /// It is done.
    Done,
}

/// One task.
#[derive(Clone, Debug, Default)]
pub struct TaskEntry {
    /// How it stands.
    pub phase: TaskPhase,
    /// The last run that was recorded or is about to be; 0 before the first.
    pub attempt: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Where the next run resumes; empty for the start.
    pub checkpoint: String,
    /// Where the run is.
    pub worker: Option<WorkerSlot>,
    /// When the phase began.
    pub phase_since: TimePoint,
    /// The worker's clock in ms when it last confirmed the run.
    pub confirmed_ms: u64,
    /// No new run before then.
    pub not_before: TimePoint,
    /// Worker of the last run that failed or was turned away.
    pub avoided_worker: Option<WorkerSlot>,
    /// A start was sent without an answer: a worker may carry it out yet.
    pub start_unconfirmed: bool,
    /// The deadline of the present run's start on its worker's clock; 0 before it was sent.
    pub deadline_ms: u64,
    /// Some start of the present run had no answer: a copy may come late, even to another incarnation.
    pub start_unanswered: bool,
    /// A stop has been ordered.
    pub stop_ordered: bool,
    /// The stop makes room for more urgent work.
    pub displaced: bool,
    /// Progress in percent, as the worker last said.
    pub percent: u32,
    /// When its progress last changed.
    pub progressed_at: TimePoint,
    /// Share of its processor time that a best-effort task may use, in percent.
    pub pace: u32,
}

/// One occurrence of a job's steps.
#[derive(Clone, Debug)]
pub struct OccurrenceEntry {
    /// Its number.
    pub number: u32,
    /// When it is due.
    pub due_at: TimePoint,
    /// Tasks of all steps, in the order of the steps.
    pub tasks: Vec<TaskEntry>,
    /// Tasks of each step that are not done.
    pub remaining_tasks: Vec<u32>,
}

/// One job.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The caller's identifier.
    pub id: JobId,
    /// The queue.
    pub queue: String,
    /// The pool that the queue had when the job was accepted.
    pub pool: String,
    /// What is to be run.
    pub spec: rc::Rc<JobSpec>,
    /// The longest chain from each step to the end.
    pub critical_paths: Vec<TimeSpan>,
    /// The first task of each step.
    pub first_tasks: Vec<u32>,
    /// The image of each step.
    pub images: Vec<ImageKey>,
    /// When it was accepted.
    pub accepted_at: TimePoint,
    /// How it ended, or `Queued` or `Running`.
    pub state: JobState,
    /// The state as of the last record in the store; what callers are told.
    pub reported_state: JobState,
    /// When it ended.
    pub ended_at: TimePoint,
    /// Occurrences that have begun and not ended.
    pub occurrences: Vec<OccurrenceEntry>,
    /// The next occurrence to begin.
    pub next_occurrence: u32,
    /// Its record in the store is out of date.
    pub dirty: bool,
    /// How the load of its service tasks swings.
    pub load_trend: LoadTrend,
}

/// The jobs, by slot and by identifier.
#[derive(Debug, Default)]
pub struct JobRegistry {
    slots: Vec<Option<JobEntry>>,
    free: Vec<JobSlot>,
    by_id: Vec<(JobId, JobSlot)>,
}

/// How far a job has come, as it is kept in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobProgress {
    /// The job.
    pub id: JobId,
    /// The state.
    pub state: JobState,
    /// The next occurrence to begin.
    pub next_occurrence: u32,
    /// Occurrences under way: number and when it was due.
    pub occurrences: Vec<(u32, TimePoint)>,
    /// Names of the workers that tasks refer to.
    pub workers: Vec<String>,
    /// Tasks that have had a run.
    pub tasks: Vec<TaskProgress>,
}

/// How far a task has come, as it is kept in the store.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TaskProgress {
    /// The occurrence.
    pub occurrence: u32,
    /// The task within the occurrence.
    pub task: u32,
    /// The last run.
    pub attempt: u32,
    /// Runs that failed.
    pub failures: u32,
    /// Where the last run may be, as an index into the workers.
    pub worker: Option<u32>,
    /// The task is done.
    pub done: bool,
    /// Where the next run resumes.
    pub checkpoint: String,
}

impl JobState {
    /// Whether nothing more happens to the job.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

impl TaskPhase {
    /// Whether a run may exist, or is about to.
    pub const fn is_placed(self) -> bool {
        matches!(
            self,
            Self::Recording | Self::Starting | Self::Running | Self::Unverified
        )
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
        }
    }

    /// Whether every step before `step` is done.
    pub fn is_ready(&self, step: &StepSpec) -> bool {
        step.after
            .iter()
            .all(|before| self.remaining_tasks[usize::from(*before)] == 0)
    }
}

impl JobEntry {
    /// A job of which nothing has run; `image` finds the key of an image by its name.
    pub fn new(record: JobRecord, at: TimePoint, mut image: impl FnMut(&str) -> ImageKey) -> Self {
        let JobRecord {
            id,
            queue,
            pool,
            spec,
            accepted_at,
        } = record;
        let images = spec.steps.iter().map(|step| image(&step.image)).collect();
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
        }
    }

    /// Begins the occurrences that are due.
    pub fn begin_due(&mut self, now: TimePoint) {
        let (first_at, interval, total) = match self.spec.schedule {
            None => (self.accepted_at, TimeSpan::ZERO, 1),
            Some(schedule) => (schedule.first_at, schedule.interval, schedule.occurrences),
        };
        while self.next_occurrence < total {
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

    /// Whether every occurrence has begun.
    pub fn all_begun(&self) -> bool {
        let total = self
            .spec
            .schedule
            .map_or(1, |schedule| schedule.occurrences);
        self.next_occurrence >= total
    }

    /// The step of a task.
    pub fn step_of(&self, task: u32) -> u16 {
        let after = self.first_tasks.partition_point(|first| *first <= task);
        u16::try_from(after.saturating_sub(1)).unwrap_or(u16::MAX)
    }

    /// The name of a task.
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

    /// The occurrence of that number, if it is under way.
    pub fn occurrence(&self, number: u32) -> Option<&OccurrenceEntry> {
        self.occurrences.iter().find(|entry| entry.number == number)
    }

    /// The occurrence of that number, to change it.
    pub fn occurrence_mut(&mut self, number: u32) -> Option<&mut OccurrenceEntry> {
        self.occurrences
            .iter_mut()
            .find(|entry| entry.number == number)
    }

    /// Drops occurrences whose tasks are all done; whether the whole job is.
    pub fn drop_done_occurrences(&mut self) -> bool {
        self.occurrences
            .retain(|entry| entry.remaining_tasks.iter().any(|left| *left > 0));
        self.occurrences.is_empty() && self.all_begun()
    }

    /// What the store is to keep; `name` tells a worker's name.
    pub fn progress(&self, name: impl Fn(WorkerSlot) -> String) -> JobProgress {
        let mut progress = JobProgress {
            id: self.id,
            state: self.state,
            next_occurrence: self.next_occurrence,
            ..JobProgress::default()
        };
        if self.state.is_final() {
            return progress;
        }
        let mut slots: Vec<WorkerSlot> = Vec::new();
        for occurrence in &self.occurrences {
            progress
                .occurrences
                .push((occurrence.number, occurrence.due_at));
            for (task, number) in occurrence.tasks.iter().zip(0u32..) {
                if task.attempt == 0 {
                    continue;
                }
                let worker = task.worker.filter(|_| task.phase.is_placed()).map(|slot| {
                    let index = slots.iter().position(|known| *known == slot);
                    let index = index.unwrap_or_else(|| {
                        slots.push(slot);
                        slots.len() - 1
                    });
                    u32::try_from(index).unwrap_or(u32::MAX)
                });
                progress.tasks.push(TaskProgress {
                    occurrence: occurrence.number,
                    task: number,
                    attempt: task.attempt,
                    failures: task.failures,
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
        progress.workers = slots.into_iter().map(name).collect();
        progress
    }

    /// Takes over what the store kept; `slot` finds a worker by its name. Returns the tasks that
    /// may have a run.
    pub fn restore(
        &mut self,
        progress: &JobProgress,
        mut slot: impl FnMut(&str) -> WorkerSlot,
    ) -> Vec<(u32, u32, WorkerSlot)> {
        self.state = progress.state;
        self.reported_state = progress.state;
        self.next_occurrence = progress.next_occurrence;
        self.occurrences = progress
            .occurrences
            .iter()
            .map(|(number, due_at)| OccurrenceEntry::new(*number, *due_at, &self.spec))
            .collect();
        let workers: Vec<WorkerSlot> = progress.workers.iter().map(|name| slot(name)).collect();
        let mut placed = Vec::new();
        for kept in &progress.tasks {
            let step = usize::from(self.step_of(kept.task));
            let Some(occurrence) = self.occurrence_mut(kept.occurrence) else {
                continue;
            };
            let Some(task) = occurrence.tasks.get_mut(kept.task as usize) else {
                continue;
            };
            task.attempt = kept.attempt;
            task.failures = kept.failures;
            task.checkpoint.clone_from(&kept.checkpoint);
            if kept.done {
                task.phase = TaskPhase::Done;
                occurrence.remaining_tasks[step] =
                    occurrence.remaining_tasks[step].saturating_sub(1);
                continue;
            }
            let worker = kept.worker.and_then(|index| workers.get(index as usize));
            if let Some(worker) = worker {
                task.phase = TaskPhase::Unverified;
                task.worker = Some(*worker);
                placed.push((kept.occurrence, kept.task, *worker));
            }
        }
        placed
    }
}

impl JobRegistry {
    /// Adds a job; the slot of the one that has the identifier already, if any.
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
        Ok(slot)
    }

    /// Forgets a job.
    pub fn remove(&mut self, slot: JobSlot) {
        let Some(job) = self.slots[slot.0 as usize].take() else {
            return;
        };
        self.free.push(slot);
        if let Ok(place) = self
            .by_id
            .binary_search_by_key(&job.id, |(known, _)| *known)
        {
            self.by_id.remove(place);
        }
    }

    /// The slot of a job.
    pub fn find(&self, id: JobId) -> Option<JobSlot> {
        let found = self.by_id.binary_search_by_key(&id, |(known, _)| *known);
        found.ok().map(|place| self.by_id[place].1)
    }

    /// The job in a slot.
    pub fn get(&self, slot: JobSlot) -> Option<&JobEntry> {
        self.slots.get(slot.0 as usize)?.as_ref()
    }

    /// The job in a slot, to change it.
    pub fn get_mut(&mut self, slot: JobSlot) -> Option<&mut JobEntry> {
        self.slots.get_mut(slot.0 as usize)?.as_mut()
    }

    /// All jobs.
    pub fn iter(&self) -> impl Iterator<Item = (JobSlot, &JobEntry)> {
        self.slots
            .iter()
            .zip(0u32..)
            .filter_map(|(job, slot)| job.as_ref().map(|job| (JobSlot(slot), job)))
    }

    /// How many jobs there are.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// A task.
    pub fn task(&self, slot: TaskSlot) -> Option<&TaskEntry> {
        let occurrence = self.get(slot.job)?.occurrence(slot.occurrence)?;
        occurrence.tasks.get(slot.task as usize)
    }

    /// A task, to change it.
    pub fn task_mut(&mut self, slot: TaskSlot) -> Option<&mut TaskEntry> {
        let occurrence = self.get_mut(slot.job)?.occurrence_mut(slot.occurrence)?;
        occurrence.tasks.get_mut(slot.task as usize)
    }

    /// The step of a task.
    pub fn step(&self, slot: TaskSlot) -> Option<&StepSpec> {
        let job = self.get(slot.job)?;
        job.spec.steps.get(usize::from(job.step_of(slot.task)))
    }

    /// The image of a task.
    pub fn image(&self, slot: TaskSlot) -> Option<ImageKey> {
        let job = self.get(slot.job)?;
        job.images.get(usize::from(job.step_of(slot.task))).copied()
    }

    /// The present run of a task.
    pub fn run_name(&self, slot: TaskSlot) -> Option<RunName> {
        let job = self.get(slot.job)?;
        Some(RunName {
            task: job.task_name(slot.occurrence, slot.task),
            attempt: self.task(slot)?.attempt,
        })
    }

    /// Finds a task by its name.
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
