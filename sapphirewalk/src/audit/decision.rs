//! Decisions that the audit trail records.

use serde::Deserialize;
use serde::Serialize;

/// Decision or event, with its inputs and reason. The serialised form is stored, so fields and
/// variants keep their names.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "decision", rename_all = "snake_case")]
pub enum AuditDecision {
    /// The process started. Recorded once the parts that all daemons share run.
    ProcessStarted,
    /// Records were dropped before this one, since too many waited for the object store.
    RecordsDropped {
        /// Number of dropped records.
        count: u64,
    },
    /// Final outcome of a request at a gateway.
    RequestEnded {
        /// ID of the request, chosen by the caller or by the gateway.
        request_id: String,
        /// Name of the kind of work.
        kind: String,
        /// Name of the user who sent the request.
        user: String,
        /// Endpoint of the last attempt; absent if none was sent.
        endpoint: Option<String>,
        /// Peer to which the request was forwarded; absent if it was not.
        forwarded_to: Option<String>,
        /// Outcome word, as defined in `sapphirewalk_wire::endpoint`.
        outcome: String,
        /// Word for the cause of the outcome.
        reason: String,
        /// Sequence number of the rollout in force; zero if there was none.
        sequence: u64,
        /// Time from arrival to outcome, in microseconds.
        elapsed_us: u64,
    },
    /// A rollout came into force in this process.
    RolloutApplied {
        /// Sequence number of the rollout.
        sequence: u64,
        /// SHA-256 digest of the bundle's document, in hexadecimal.
        digest: String,
        /// Operator who signed the rollout.
        operator: String,
        /// Operators who signed the bundle off.
        signed_off_by: Vec<String>,
        /// Source of the rollout: `platform` or `peer:NAME`.
        source: String,
    },
    /// A gateway acquired, released or lost a seat.
    SeatChanged {
        /// Name of the failure domain.
        domain: String,
        /// Index of the seat in the failure domain.
        index: u32,
        /// Epoch of the seat, which rises with each holder.
        epoch: u64,
        /// `taken`, `released` or `lost`.
        change: String,
        /// Reason for the change; for `taken`, why the former holder can send no further requests.
        reason: String,
    },
    /// A scheduler acquired, released or lost a shard.
    ShardChanged {
        /// Name of the failure domain.
        domain: String,
        /// Index of the shard in the failure domain.
        index: u32,
        /// Epoch of the shard, which rises with each holder.
        epoch: u64,
        /// `taken`, `released` or `lost`.
        change: String,
        /// Reason for the change; for `taken`, the status of the former holder.
        reason: String,
    },
    /// A submitted task was accepted or refused.
    TaskSubmitted {
        /// ID of the task.
        task: String,
        /// Name of the team that submitted the task.
        team: String,
        /// Whether the task was accepted.
        accepted: bool,
        /// Error with which the task was refused; empty if it was accepted.
        reason: String,
        /// Sequence number of the rollout in force.
        sequence: u64,
    },
    /// An attempt of a task was placed on a worker.
    TaskPlaced {
        /// ID of the task.
        task: String,
        /// Number of the attempt, from 1.
        attempt: u64,
        /// Name of the chosen worker.
        worker: String,
        /// Workers that were compared, with their costs.
        candidates: Vec<PlacementCandidate>,
        /// Checkpoint from which the attempt resumes; absent if it starts anew.
        checkpoint: Option<String>,
        /// Reason for the placement.
        reason: String,
        /// Sequence number of the rollout in force.
        sequence: u64,
    },
    /// A task changed its phase or its shard, or an attempt was throttled.
    TaskChanged {
        /// ID of the task.
        task: String,
        /// Number of the last attempt; zero before the first.
        attempt: u64,
        /// `finished`, `cancelled`, `parked`, `evicted`, `failed`, `stopped`, `moved` or
        /// `throttled`.
        change: String,
        /// Worker that runs or ran the attempt; absent if there is none.
        worker: Option<String>,
        /// Reason for the change; empty if none is known.
        reason: String,
    },
}

/// Worker that was compared for a placement.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PlacementCandidate {
    /// Name of the worker.
    pub worker: String,
    /// Placement cost; the worker with the lowest cost is chosen.
    pub cost: f64,
}
