//! Jobs as their callers state them: steps in a graph, each of tasks that are alike.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Most steps of one job; a graph beyond it is a mistake of its caller.
pub const MAX_STEPS: usize = 64;
/// Most tasks of one job, so that its progress fits one row of the platform's store.
pub const MAX_TASKS: u32 = 1_500;
/// Longest specification in bytes, as callers were promised.
pub const MAX_SPEC_BYTES: usize = 4_000;

/// The identifier that a caller chose for its job.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct JobId(pub u64);

/// One task of one occurrence of a job.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct TaskName {
    /// The job.
    pub job: JobId,
    /// The occurrence, counted from 0; 0 for a job without occurrences.
    pub occurrence: u32,
    /// The step, counted from 0.
    pub step: u16,
    /// The task within its step, counted from 0.
    pub index: u16,
}

/// One run of a task.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct RunName {
    /// The task.
    pub task: TaskName,
    /// The number of the run, from 1; rises over all runs of the task.
    pub attempt: u32,
}

/// What a caller asks to be run.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobSpec {
    /// Text handed to every task unchanged.
    pub spec: String,
    /// The steps, earlier ones first.
    pub steps: Vec<StepSpec>,
    /// When the job repeats.
    pub schedule: Option<JobSchedule>,
}

/// Times at which the steps of a job run again.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct JobSchedule {
    /// When occurrence 0 is due.
    pub first_at: TimePoint,
    /// Time between occurrences.
    pub interval: TimeSpan,
    /// How many occurrences there are.
    pub occurrences: u32,
}

/// Tasks that are alike.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct StepSpec {
    /// How many tasks.
    pub count: u16,
    /// What each task takes of its worker.
    pub demand: ResourceVector,
    /// The caller's rough figure for a task's run time.
    pub estimate: TimeSpan,
    /// Steps that must be done before, sorted.
    pub after: Vec<u16>,
    /// The tasks save checkpoints.
    pub checkpoints: bool,
    /// The tasks only work all together.
    pub gang: bool,
    /// A gang that is slower when it spans racks.
    pub same_rack: bool,
    /// A label that the worker must carry.
    pub required_label: Option<String>,
    /// The rack on which the data lies.
    pub data_rack: Option<String>,
    /// Most tasks of the step on one worker; 0 for no bound.
    pub per_worker: u16,
    /// Copies of a task may run at once.
    pub copies: bool,
    /// The tasks run until the job is cancelled.
    pub service: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound of the tail of a service task's response times; zero for none.
    pub tail_target: TimeSpan,
    /// The tasks take the processor time that others leave and count for none of it.
    pub best_effort: bool,
    /// Most tasks of a service step that the scheduler may take down at once; 0 for no bound.
    pub max_unavailable: u16,
}

/// Why a job can't be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobFault {
    /// No steps at all.
    NoSteps,
    /// More steps than allowed.
    TooManySteps,
    /// More tasks than allowed.
    TooManyTasks,
    /// A step without tasks.
    EmptyStep(u16),
    /// A step that waits for itself or a later one.
    BadOrder(u16),
    /// The specification is too long.
    SpecTooLong,
}

impl JobSpec {
    /// Checks that the job can be run at all.
    ///
    /// # Errors
    ///
    /// The first fault found, with its step.
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

    /// Tasks of one occurrence.
    pub fn task_count(&self) -> usize {
        self.steps.iter().map(|step| usize::from(step.count)).sum()
    }

    /// The longest chain of estimates from each step to the end of the job, the step included.
    pub fn critical_paths(&self) -> Vec<TimeSpan> {
        let mut chains: Vec<TimeSpan> = self.steps.iter().map(|step| step.estimate).collect();
        for number in (0..self.steps.len()).rev() {
            let chain = chains[number];
            for before in &self.steps[number].after {
                let before = usize::from(*before);
                let longer = self.steps[before].estimate + chain;
                chains[before] = chains[before].max(longer);
            }
        }
        chains
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
