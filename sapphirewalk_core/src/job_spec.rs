//! Job specifications: a dependency graph of steps, each a set of identical tasks.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Most steps of one job; larger graphs are rejected as errors of the caller.
pub const MAX_STEPS: usize = 64;
/// Most tasks of one job, so that its progress fits one row of the platform's store.
pub const MAX_TASKS: u32 = 1_500;
/// Longest text of a specification in bytes, the limit that the callers' interface guarantees.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// Identifier of a job, set by its caller; written as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct JobId(pub u64);

/// Stable name of a task, sent to workers and stored.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct TaskName {
    /// Identifier of the job.
    pub job: JobId,
    /// Number of the occurrence, from 0; 0 for a job without a schedule.
    pub occurrence: u32,
    /// Number of the step within the job, from 0.
    pub step: u16,
    /// Number of the task within its step, from 0.
    pub index: u16,
}

/// Name of one run of a task, sent to workers and stored.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RunName {
    /// Name of the task.
    pub task: TaskName,
    /// Number of the run, from 1; increases with each run of the task.
    pub attempt: u32,
}

/// The work that a caller submits as one job.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// Opaque text that every task receives unchanged; at most [`MAX_SPEC_BYTES`] long.
    pub spec: String,
    /// The steps in topological order: a step depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Times of a repeated job; none for a job that runs once, on acceptance.
    pub schedule: Option<JobSchedule>,
}

/// Times at which all steps of a job run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobSchedule {
    /// When occurrence 0 is due.
    pub first_at: TimePoint,
    /// Time between the due times of successive occurrences.
    pub interval: TimeSpan,
    /// Total number of occurrences.
    pub occurrences: u32,
}

/// A step of a job: identical tasks that can run in parallel.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StepSpec {
    /// Number of tasks, at least 1.
    pub count: u16,
    /// Resources that each task needs on its worker.
    pub demand: ResourceVector,
    /// The caller's rough estimate of a task's run time.
    pub estimate: TimeSpan,
    /// Numbers of the earlier steps that this one depends on; sorted.
    pub after: Vec<u16>,
    /// The tasks save checkpoints, from which later runs resume.
    pub checkpoints: bool,
    /// Gang scheduling: the tasks make progress only while all of them run.
    pub gang: bool,
    /// The gang runs slower when its tasks are on several racks. Not used by the coordinator yet.
    pub same_rack: bool,
    /// Label that the worker must have; none for any worker.
    pub required_label: Option<String>,
    /// Rack that holds the input data; workers there are preferred.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for no limit.
    pub per_worker: u16,
    /// The caller allows speculative copies of a task. Not used by the coordinator yet.
    pub copies: bool,
    /// A service: the tasks run until the job is cancelled.
    pub service: bool,
    /// Image that the tasks run. Interference is learned per image, since its tasks behave alike.
    pub image: String,
    /// Limit of the tail latency of a service task; zero for none.
    pub tail_target: TimeSpan,
    /// The tasks use only processor time that others leave idle, and none is reserved for them.
    pub best_effort: bool,
    /// Most tasks of a service step that the caller allows to be stopped at the same time; 0
    /// for no limit.
    pub max_unavailable: u16,
}

/// Why a specification is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobFault {
    /// There are no steps.
    NoSteps,
    /// There are more than [`MAX_STEPS`] steps.
    TooManySteps,
    /// There are more than [`MAX_TASKS`] tasks.
    TooManyTasks,
    /// This step has no tasks.
    EmptyStep(u16),
    /// This step depends on itself or a later one.
    BadOrder(u16),
    /// The text is longer than [`MAX_SPEC_BYTES`].
    SpecTooLong,
}

impl JobSpec {
    /// Checks the size limits and the order of the steps.
    ///
    /// # Errors
    ///
    /// The first fault found, with the number of its step.
    pub fn check(&self) -> Result<(), JobFault> {
        if self.spec.len() > MAX_SPEC_BYTES {
            return Err(JobFault::SpecTooLong);
        }
        if self.steps.is_empty() {
            return Err(JobFault::NoSteps);
        }
        if self.steps.len() > MAX_STEPS {
            return Err(JobFault::TooManySteps);
        }
        let mut tasks = 0u32;
        for (step, number) in self.steps.iter().zip(0u16..) {
            if step.count == 0 {
                return Err(JobFault::EmptyStep(number));
            }
            if step.after.iter().any(|before| *before >= number) {
                return Err(JobFault::BadOrder(number));
            }
            tasks += u32::from(step.count);
        }
        if tasks > MAX_TASKS {
            return Err(JobFault::TooManyTasks);
        }
        Ok(())
    }

    /// Number of tasks in one occurrence.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// The estimated critical path from the start of each step to the end of the job.
    pub fn critical_paths(&self) -> Vec<TimeSpan> {
        let mut paths: Vec<TimeSpan> = self.steps.iter().map(|step| step.estimate).collect();
        for number in (0..self.steps.len()).rev() {
            let path = paths[number];
            for before in &self.steps[number].after {
                let before = usize::from(*before);
                let longer = self.steps[before].estimate + path;
                paths[before] = paths[before].max(longer);
            }
        }
        paths
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl fmt::Display for TaskName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(formatter, "{job}.{occurrence}.{step}.{index}")
    }
}

impl fmt::Display for RunName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.task, self.attempt)
    }
}

impl fmt::Display for JobFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSteps => write!(formatter, "the job has no steps; name one or more"),
            Self::TooManySteps => write!(formatter, "more than {MAX_STEPS} steps; split the job"),
            Self::TooManyTasks => write!(formatter, "more than {MAX_TASKS} tasks; split the job"),
            Self::EmptyStep(step) => write!(formatter, "step {step} has no tasks; give a count"),
            Self::BadOrder(step) => {
                write!(
                    formatter,
                    "step {step} waits for itself or a later step; name earlier ones"
                )
            }
            Self::SpecTooLong => {
                write!(
                    formatter,
                    "the text is over {MAX_SPEC_BYTES} bytes; shorten it"
                )
            }
        }
    }
}

impl std::error::Error for JobFault {}
