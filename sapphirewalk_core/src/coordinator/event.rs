//! What a coordinator is told, and what it asks its process to do.

use std::fmt;
use std::net;
use std::rc;

use serde::Deserialize;
use serde::Serialize;

use crate::image_interference::LearnedImage;
use crate::job_book::JobProgress;
use crate::job_book::JobRecord;
use crate::job_spec::JobId;
use crate::job_spec::JobSpec;
use crate::job_spec::RunName;
use crate::time::TimeSpan;
use crate::worker_book::WorkerSlot;

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed, through its own fault or its worker's.
    Failed,
    /// It was stopped.
    Stopped,
    /// Its lease ran out.
    Lapsed,
    /// Another member of its gang ended.
    GangBroken,
    /// The other members of its gang did not come.
    GangAlone,
}

/// A run that a worker lists as at work.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// The run.
    pub run: RunName,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a service task at work.
    pub percent: u32,
    /// Tail of a service task in ms, processor use of another in thousandths of a core.
    pub gauge: Option<f64>,
}

/// A run that a worker lists as ended.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Its number in the worker's present incarnation.
    pub number: u64,
    /// The run.
    pub run: RunName,
    /// How it ended.
    pub end: RunEnd,
    /// Its last checkpoint; empty for none.
    pub checkpoint: String,
}

/// What a worker said of itself.
#[derive(Clone, Debug, PartialEq)]
pub enum PollAnswer {
    /// Its lists.
    Lists {
        /// Its clock in ms.
        clock_ms: u64,
        /// When its present incarnation began, in Unix ms; 0 when it doesn't say.
        born_ms: u64,
        /// Runs at work.
        running: Vec<ListedRun>,
        /// Runs that ended, as far as they are not acknowledged.
        ended: Vec<ListedEnd>,
    },
    /// It has seen a higher fencing token.
    Fenced,
    /// It is another incarnation of the worker than was meant.
    OtherIncarnation,
    /// It refused.
    Refused(u16),
    /// No answer.
    Missing,
}

/// What a worker said to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// Done, at this time of its clock in ms.
    Accepted {
        /// The worker's clock in ms.
        clock_ms: u64,
    },
    /// It has seen a higher fencing token.
    Fenced,
    /// That run, or a higher one, has ended or was stopped there.
    Superseded,
    /// The order has surely not left this process.
    Unsent,
    /// The deadline was over.
    Expired,
    /// It has no room.
    NoRoom,
    /// The ticket isn't valid.
    BadTicket,
    /// It is unwell and has done nothing.
    Unwell,
    /// It is another incarnation of the worker than was meant.
    OtherIncarnation,
    /// The order is malformed.
    Malformed,
    /// No answer; the order may be carried out yet.
    Missing,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was stored.
    Stored(JobRecord),
    /// A job's cancelling was stored.
    Cancelled(JobId),
    /// The batch of that number is committed.
    Committed(u64),
    /// A worker answered a poll, or did not.
    Polled {
        /// The worker.
        worker: WorkerSlot,
        /// The deadline that the poll gave.
        deadline_ms: u64,
        /// The answer.
        answer: PollAnswer,
    },
    /// A worker answered a start, or did not.
    Started {
        /// The worker.
        worker: WorkerSlot,
        /// The run.
        run: RunName,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A worker answered a stop, or did not.
    Stopped {
        /// The worker.
        worker: WorkerSlot,
        /// The run.
        run: RunName,
        /// The answer.
        answer: OrderAnswer,
    },
    /// A worker answered a change of pace, or did not.
    Paced {
        /// The worker.
        worker: WorkerSlot,
        /// The run.
        run: RunName,
        /// The share in percent.
        percent: u32,
        /// The answer.
        answer: OrderAnswer,
    },
}

/// Rows to be written at once, under the coordinator's lease.
#[derive(Clone, Debug)]
pub struct CommitBatch {
    /// The number, rising.
    pub number: u64,
    /// Progress of jobs.
    pub rows: Vec<JobProgress>,
    /// Jobs to forget.
    pub removed: Vec<JobId>,
    /// What has been learned of images, now and then.
    pub learned: Option<Vec<LearnedImage>>,
    /// All workers that get no leases until a later batch leaves them out; none where the last
    /// record of them stands.
    pub silent: Option<Vec<SilentWorker>>,
}

/// A worker that doesn't answer, as it is kept for a successor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct SilentWorker {
    /// Its identifier.
    pub id: String,
    /// Time from the record's writing until every lease given there is surely over.
    pub lease_left: TimeSpan,
}

/// The worker that an order goes to.
#[derive(Clone, Debug)]
pub struct OrderTarget {
    /// The worker.
    pub worker: WorkerSlot,
    /// Its identifier.
    pub id: String,
    /// Where it takes orders.
    pub address: net::SocketAddr,
    /// The coordinator's fencing token.
    pub fence: u64,
}

/// Something to be done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write a batch.
    Commit(CommitBatch),
    /// Start a run.
    Start {
        /// The worker.
        target: OrderTarget,
        /// The run.
        run: RunName,
        /// The job.
        spec: rc::Rc<JobSpec>,
        /// The run is not to begin, nor anything there to go on, past this time of its clock.
        deadline_ms: u64,
        /// Where to resume; empty for the start.
        checkpoint: String,
    },
    /// Stop a run.
    Stop {
        /// The worker.
        target: OrderTarget,
        /// The run.
        run: RunName,
    },
    /// Ask for the lists, and let what runs there go on until the deadline.
    Poll {
        /// The worker.
        target: OrderTarget,
        /// Everything there may go on until this time of its clock; 0 to leave it as it is.
        deadline_ms: u64,
        /// Ends up to this number are committed.
        acked: u64,
        /// How long the worker may wait for an end before it answers.
        wait_ms: u64,
    },
    /// Change the share of its processor time that a best-effort task may use.
    Pace {
        /// The worker.
        target: OrderTarget,
        /// The run.
        run: RunName,
        /// The share in percent.
        percent: u32,
    },
    /// Give up the lease: another coordinator leads.
    StepDown,
    /// Write a line to the log.
    Log(DecisionRecord),
}

/// A decision, for the log.
#[derive(Clone, Debug)]
pub struct DecisionRecord {
    /// What was decided, as the event's name.
    pub event: &'static str,
    /// The job that it touches, if any.
    pub job: Option<JobId>,
    /// What decided it, as pairs of key and value.
    pub detail: String,
}

impl RunEnd {
    /// The end's name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Stopped => "stopped",
            Self::Lapsed => "lapsed",
            Self::GangBroken => "gang_broken",
            Self::GangAlone => "gang_alone",
        }
    }
}

impl fmt::Display for RunEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
