//! Inputs and outputs of the coordinator: events that it handles, and effects that its process
//! carries out.

use std::fmt;
use std::net;
use std::rc;

use crate::image_interference::LearnedImage;
use crate::job_registry::JobProgress;
use crate::job_registry::JobRecord;
use crate::job_spec::JobId;
use crate::job_spec::JobSpec;
use crate::job_spec::RunName;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// How a run ended, as reported by its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunEnd {
    /// The work is complete.
    Done,
    /// The run failed; the cause may be the task or its worker.
    Failed,
    /// A stop order ended the run.
    Stopped,
    /// The run's lease expired before it was extended.
    Lapsed,
    /// Another member of the run's gang ended.
    GangBroken,
    /// The other members of the run's gang did not start in time.
    GangAlone,
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedRun {
    /// Job, occurrence, step, index and attempt of the run.
    pub run: RunName,
    /// Last checkpoint of the run; empty if it has none.
    pub checkpoint: String,
    /// Progress in percent; 100 for a service task that is serving.
    pub percent: u32,
    /// Tail latency of a service task in ms, or processor use of another task in thousandths of a
    /// core; absent if the worker reports no sample.
    pub gauge: Option<f64>,
}

/// An ended run that the worker lists until its end is acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEnd {
    /// Sequence number of the end; counted from the start of the worker's present incarnation.
    pub number: u64,
    /// Job, occurrence, step, index and attempt of the run.
    pub run: RunName,
    /// Cause of the end.
    pub end: RunEnd,
    /// Last checkpoint of the run; empty if it has none.
    pub checkpoint: String,
}

/// Outcome of a poll.
#[derive(Clone, Debug, PartialEq)]
pub enum PollAnswer {
    /// The worker's lists of running and ended runs.
    Lists {
        /// The worker's clock when it answered, in ms.
        clock_ms: u64,
        /// Start of the worker's present incarnation, in Unix ms; 0 if the worker does not report
        /// it.
        born_ms: u64,
        /// Runs that have started and not ended.
        running: Vec<ListedRun>,
        /// Ended runs that have not been acknowledged.
        ended: Vec<ListedEnd>,
        /// Whether `ended` contains all of them; otherwise the later ones follow once these are
        /// acknowledged.
        complete: bool,
    },
    /// The worker has received a higher fencing token: another coordinator leads.
    Fenced,
    /// The answer came from another incarnation of the worker than the poll was addressed to.
    OtherIncarnation,
    /// The worker answered with this HTTP status, or with 200 and a body that can't be read.
    Refused(u16),
    /// No answer arrived.
    Missing,
}

/// Outcome of a start, stop or change of speed limit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderAnswer {
    /// The worker has carried out the order.
    Accepted {
        /// The worker's clock when it did so, in ms.
        clock_ms: u64,
    },
    /// The worker has received a higher fencing token: another coordinator leads, or this one has
    /// addressed a later incarnation of the worker.
    Fenced,
    /// This run, or one with a higher attempt number, has already ended or been stopped on the
    /// worker.
    Superseded,
    /// The order was never sent, so the worker can't carry it out.
    Unsent,
    /// The deadline of the order had passed.
    Expired,
    /// The worker lacks free resources for the run.
    NoRoom,
    /// The worker rejected the ticket of the order as invalid.
    BadTicket,
    /// The worker is unhealthy and did not carry out the order.
    Unwell,
    /// The answer came from another incarnation of the worker than the order was addressed to.
    OtherIncarnation,
    /// The worker could not parse the order.
    Malformed,
    /// No answer arrived; the worker may still carry out the order.
    Missing,
}

/// An input of the coordinator.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was accepted and stored.
    Stored(JobRecord),
    /// The cancellation of a job was stored.
    Cancelled(JobId),
    /// The batch with this number was committed.
    Committed(u64),
    /// The store refused the batch with this number for good: it had no effect, and would have none
    /// if it were sent again unchanged.
    Rejected(u64),
    /// An attempt to delete the rows of jobs has ended. Contains those of which the store confirmed
    /// it.
    RowsDeleted(Vec<JobId>),
    /// A poll was answered or timed out.
    Polled {
        /// Target of the poll.
        worker: WorkerSlot,
        /// Lease deadline that the poll granted, on the worker's clock; 0 if it granted none.
        deadline_ms: u64,
        /// What the worker returned.
        answer: PollAnswer,
    },
    /// A start was answered or timed out.
    Started {
        /// Target of the start.
        worker: WorkerSlot,
        /// Fencing token of the start.
        fence: u64,
        /// Run that the start was for.
        run: RunName,
        /// What the worker returned.
        answer: OrderAnswer,
    },
    /// A stop was answered or timed out.
    Stopped {
        /// Target of the stop.
        worker: WorkerSlot,
        /// Fencing token of the stop.
        fence: u64,
        /// Run that was to be stopped.
        run: RunName,
        /// What the worker returned.
        answer: OrderAnswer,
    },
    /// A change of speed limit was answered or timed out.
    Paced {
        /// Target of the change.
        worker: WorkerSlot,
        /// Fencing token of the change.
        fence: u64,
        /// Run whose speed limit was to change.
        run: RunName,
        /// Requested speed limit in percent of full speed, 0 to 100.
        percent: u32,
        /// What the worker returned.
        answer: OrderAnswer,
    },
}

/// Rows to be written in one transaction that is conditional on the coordinator's lease.
#[derive(Clone, Debug)]
pub struct CommitBatch {
    /// Sequence number of the batch; increases by one with each.
    pub number: u64,
    /// New progress of jobs whose stored progress is out of date.
    pub rows: Vec<JobProgress>,
    /// Jobs past their retention, whose progress is to be deleted. Their own rows are deleted
    /// already.
    pub removed: Vec<JobId>,
    /// The interference model, for a successor; `None` if it is not due to be written.
    pub learned: Option<Vec<LearnedImage>>,
    /// All workers that get no leases until a later batch leaves them out; `None` if the stored
    /// list is still accurate.
    pub silent: Option<Vec<SilentWorker>>,
}

/// An entry in the stored list of workers that don't answer, for a successor.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SilentWorker {
    /// The worker's identifier in the platform's list.
    pub id: String,
    /// Time from the writing of the record until every lease granted to the worker has expired.
    pub lease_left: TimeSpan,
    /// Address at which it answered. The platform's list may no longer contain it, and whoever
    /// answers there shows what became of it. None in a record of an earlier version.
    pub address: Option<net::SocketAddr>,
}

/// The worker that an order is sent to.
#[derive(Clone, Debug)]
pub struct OrderTarget {
    /// The coordinator's index of the worker.
    pub worker: WorkerSlot,
    /// The worker's identifier in the platform's list.
    pub id: String,
    /// Address at which the worker accepts orders.
    pub address: net::SocketAddr,
    /// Start of the incarnation that the order is meant for, in Unix ms; 0 if none is known. The order
    /// must not reach another one: its deadline is on this one's clock, its acknowledgement counts this
    /// one's ends, and another one may know no fencing token.
    pub born_ms: u64,
    /// Fencing token for this worker: the coordinator's own, with the number of ended incarnations
    /// of the worker in its low bits.
    pub fence: u64,
}

/// An action for the coordinator's process to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Write a batch to the store.
    Commit(CommitBatch),
    /// Delete the rows of jobs past their retention and of their cancellations, but not their
    /// progress. Answered by [`Event::RowsDeleted`].
    DeleteRows(Vec<JobId>),
    /// Order a worker to start a run.
    Start {
        /// Worker that is to run it.
        target: OrderTarget,
        /// Run to start.
        run: RunName,
        /// Specification of the run's job.
        spec: rc::Rc<JobSpec>,
        /// End of the lease, on the worker's clock in ms: the run must not start, and no run there
        /// may continue, past it.
        deadline_ms: u64,
        /// Checkpoint from which the run resumes; empty to start from the beginning.
        checkpoint: String,
    },
    /// Order a worker to stop a run.
    Stop {
        /// Worker that may have the run.
        target: OrderTarget,
        /// Run to stop.
        run: RunName,
    },
    /// Request a worker's lists of runs and extend its lease.
    Poll {
        /// Worker to poll.
        target: OrderTarget,
        /// End of the lease of all runs there, on the worker's clock in ms; 0 leaves the lease
        /// unchanged.
        deadline_ms: u64,
        /// Highest sequence number up to which ends are committed and may be discarded by the
        /// worker.
        acked: u64,
        /// Longest time in ms for which the worker may delay its answer until a run ends.
        wait_ms: u64,
        /// Time in ms beyond `wait_ms` after which the poll counts as unanswered.
        timeout_ms: u64,
    },
    /// Change the speed limit of a best-effort run. The run's memory stays allocated.
    Pace {
        /// Worker that has the run.
        target: OrderTarget,
        /// Run whose speed limit changes.
        run: RunName,
        /// New speed limit in percent of full speed, 0 to 100.
        percent: u32,
    },
    /// Release the leadership lease, because another coordinator leads.
    StepDown,
    /// Write a decision to the log.
    Log(DecisionRecord),
}

/// How a decision is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DecisionLevel {
    /// As usual.
    Info,
    /// As a warning, which the log keeps before others.
    Warning,
}

/// A decision and its reasons, for the log.
#[derive(Clone, Debug)]
pub struct DecisionRecord {
    /// How it is logged.
    pub level: DecisionLevel,
    /// Name of the log event.
    pub event: &'static str,
    /// Job that the decision concerns; `None` for decisions about workers or leadership.
    pub job: Option<JobId>,
    /// Values behind the decision, as `key=value` pairs separated by spaces.
    pub detail: String,
}

/// Highest clock reading that a worker can have, in ms: thousands of years after its start. Answers
/// with a higher one are unreadable.
const HIGHEST_CLOCK_MS: u64 = 1 << 48;
/// Status in [`PollAnswer::Refused`] for an answer that can't be read.
const UNREADABLE_STATUS: u16 = 200;

impl PollAnswer {
    /// The answer, or a refusal if its figures can't be true.
    pub(super) fn checked(self) -> Self {
        match self {
            Self::Lists { clock_ms, .. } if clock_ms > HIGHEST_CLOCK_MS => {
                Self::Refused(UNREADABLE_STATUS)
            }
            answer => answer,
        }
    }
}

impl OrderAnswer {
    /// The answer; it counts as lost if its figures can't be true.
    pub(super) const fn checked(self) -> Self {
        match self {
            Self::Accepted { clock_ms } if clock_ms > HIGHEST_CLOCK_MS => Self::Missing,
            answer => answer,
        }
    }
}

impl RunEnd {
    /// Name of the end in logs.
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
