//! Encoding of the rows that hold the progress of jobs.

use serde::Deserialize;
use serde::Serialize;

use crate::crash_history::CrashHistory;
use crate::job_registry::JobProgress;
use crate::job_registry::JobState;
use crate::job_registry::TaskProgress;
use crate::job_registry::WorkerIncarnation;
use crate::job_spec::JobId;
use crate::stored_value;
use crate::time::TimePoint;

/// Version of the encoding that is written; the first byte of a row.
const VERSION: u8 = 2;
/// Version before, which is still read. It has neither crashes nor incarnations of workers.
const FORMER_VERSION: u8 = 1;

/// Progress of a job in the former encoding.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct FormerProgress {
    /// Identifier set by the caller.
    pub id: JobId,
    /// State when the row was written.
    pub state: JobState,
    /// Number of the next occurrence to become due.
    pub next_occurrence: u32,
    /// Occurrences in progress: number and due time.
    pub occurrences: Vec<(u32, TimePoint)>,
    /// Identifiers of the workers that tasks refer to by index.
    pub workers: Vec<String>,
    /// Tasks with at least one recorded run.
    pub tasks: Vec<FormerTask>,
}

/// Progress of a task in the former encoding.
#[derive(Debug)]
#[derive(Deserialize, Serialize)]
pub struct FormerTask {
    /// Number of the occurrence, from 0.
    pub occurrence: u32,
    /// Index among the tasks of all steps of the occurrence.
    pub task: u32,
    /// Number of the last recorded run, from 1.
    pub attempt: u32,
    /// Number of failed runs.
    pub failures: u32,
    /// Worker on which the last run may exist, as an index into `workers` of the job.
    pub worker: Option<u32>,
    /// The task is done.
    pub done: bool,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: String,
}

impl From<FormerProgress> for JobProgress {
    fn from(former: FormerProgress) -> Self {
        let workers = former.workers.into_iter();
        let tasks = former.tasks.into_iter();
        Self {
            id: former.id,
            state: former.state,
            next_occurrence: former.next_occurrence,
            occurrences: former.occurrences,
            workers: workers
                .map(|id| WorkerIncarnation { id, born_ms: 0 })
                .collect(),
            tasks: tasks.map(TaskProgress::from).collect(),
        }
    }
}

impl From<FormerTask> for TaskProgress {
    fn from(former: FormerTask) -> Self {
        Self {
            occurrence: former.occurrence,
            task: former.task,
            attempt: former.attempt,
            failures: former.failures,
            crash_history: CrashHistory::default(),
            worker: former.worker,
            done: former.done,
            checkpoint: former.checkpoint,
        }
    }
}

/// Encodes the progress of a job, preceded by the version of the encoding.
pub fn encode(progress: &JobProgress) -> Vec<u8> {
    stored_value::encode(VERSION, progress)
}

/// Decodes the progress of a job. `None` if the bytes fit neither the present nor the former
/// encoding.
pub fn decode(bytes: &[u8]) -> Option<JobProgress> {
    let (version, rest) = bytes.split_first()?;
    match *version {
        VERSION => postcard::from_bytes(rest).ok(),
        FORMER_VERSION => {
            let former: FormerProgress = postcard::from_bytes(rest).ok()?;
            Some(former.into())
        }
        _ => None,
    }
}
