//! Messages between daemons, encoded with postcard: the order of fields and variants is part of
//! the protocol.

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::quota_share::QuotaAmount;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::bundle::SignedBundle;
use sapphirewalk_wire::bundle::SignedRollout;

/// Request to a peer. A body follows only [`PeerRequest::Forward`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum PeerRequest {
    /// Status of the sender; the receiver replies with its own.
    Status(PeerStatus),
    /// Requests the rollout in force at the receiver, with its bundle.
    FetchRollout,
    /// Requests that a gateway dispatch a request on its own share of slots. The request body
    /// follows.
    Forward(ForwardRequest),
    /// Notifies the scheduler that holds a shard of a new or changed task row of the shard.
    TaskChanged {
        /// ID of the task, which includes the shard.
        id: String,
    },
}

/// Reply of a peer. A body follows only [`PeerReply::Forwarded`].
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum PeerReply {
    /// Status of the process that replies.
    Status(PeerStatus),
    /// Rollout in force with its bundle; `None` if the process has none.
    Rollout(Option<Box<RolloutPackage>>),
    /// Outcome of a forwarded request. The body of the endpoint's answer follows.
    Forwarded(ForwardAnswer),
    /// The call is done; there is nothing to return.
    Done,
    /// Not served: the role does not serve this call, the process does not hold the shard, or the
    /// queue of the shard is full.
    NotServed,
}

/// Rollout with the bundle that it refers to by digest.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RolloutPackage {
    /// Rollout as signed by the operator who made it.
    pub rollout: SignedRollout,
    /// Bundle as signed off, to be verified by the receiver.
    pub bundle: SignedBundle,
}

/// Status that daemons of the same role exchange by gossip.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct PeerStatus {
    /// Name of the VM.
    pub vm: String,
    /// Incarnation of the VM, which rises with each replacement of the VM.
    pub incarnation: u64,
    /// Sequence number of the rollout in force; zero if there is none.
    pub sequence: u64,
    /// Whether the process accepts new work.
    pub ready: bool,
    /// Free slots of each service; empty for schedulers.
    pub services: Vec<ServiceStatus>,
    /// Endpoints (gateways) or workers (schedulers) that the sender has recorded as shutting down,
    /// found by itself or announced by a peer.
    pub leaving: Vec<LeavingVm>,
    /// State of each shard that the process holds; empty for gateways.
    pub shards: Vec<ShardStatus>,
}

/// Load of the gateway's share of the slots of a service, to which its seat
/// ([`sapphirewalk_wire::row::SeatRow`]) entitles it.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ServiceStatus {
    /// Name of the service.
    pub service: String,
    /// Slots of the share that no request uses.
    pub free_slots: u32,
    /// All slots of the share, free or in use; zero without a usable seat.
    pub share_slots: u32,
    /// Requests that wait in the queues of the service.
    pub queued: u32,
}

/// VM incarnation that is shutting down and must get no new work.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LeavingVm {
    /// Name of the endpoint or worker VM.
    pub name: String,
    /// Incarnation that is shutting down; a later one of the same name is not affected.
    pub incarnation: u64,
}

/// State of a shard that a scheduler holds. Other schedulers use it to choose shards for tasks
/// and to divide quotas.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ShardStatus {
    /// Name of the failure domain of the shard.
    pub domain: String,
    /// Index of the shard in its failure domain, from 0.
    pub index: u32,
    /// Free processor time of all its workers together, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Free resources of the worker with the most free processor time.
    pub largest_free: ResourceVector,
    /// Whether at least one of its workers accepts tasks.
    pub is_open: bool,
    /// Tasks that wait for placement.
    pub pending: u32,
    /// Teams whose submissions are refused, since `team_waiting_max` of their tasks wait.
    pub full_teams: Vec<String>,
    /// Quota that the shard lacks for its waiting tasks, one entry for each team concerned.
    pub quota_wants: Vec<QuotaShortage>,
}

/// Additional quota of a team that a shard needs for waiting tasks.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct QuotaShortage {
    /// Name of the team.
    pub team: String,
    /// Number of the shard among all shards of the bundle.
    pub shard: u32,
    /// Amount that running and waiting tasks need beyond the shard's usable part of the quota.
    pub lacks: QuotaAmount,
}

/// HTTP header of a forwarded request or answer.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct HeaderEntry {
    /// Header name.
    pub name: String,
    /// Header value, as bytes, since it need not be UTF-8.
    pub value: Vec<u8>,
}

/// Head of a request that one gateway forwards to another.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ForwardRequest {
    /// HTTP method.
    pub method: String,
    /// Path and query of the request URI.
    pub path: String,
    /// End-to-end headers; hop-by-hop headers are removed.
    pub headers: Vec<HeaderEntry>,
    /// Name of the kind of work.
    pub kind: String,
    /// Name of the user who sent the request.
    pub user: String,
    /// ID of the request, chosen by the caller or by the first gateway.
    pub request_id: String,
    /// Time left until the deadline when the request is forwarded, in milliseconds.
    pub deadline_ms: u64,
    /// Number of times the request has been forwarded; always 1, since a gateway does not forward
    /// a request from a peer.
    pub hops: u32,
}

/// Outcome of a forwarded request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ForwardOutcome {
    /// An endpoint sent a whole answer.
    Answered,
    /// No endpoint ran the request, so it may be dispatched elsewhere.
    NotRun,
    /// Not run: an earlier request has claimed the same idempotency key.
    Duplicate,
    /// An endpoint may have run the request, but no whole answer arrived.
    Unknown,
}

/// Outcome of a forwarded request, with the head of the endpoint's answer.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ForwardAnswer {
    /// Determines which of the other fields are meaningful.
    pub outcome: ForwardOutcome,
    /// HTTP status of the endpoint's answer. For other outcomes, the status that the peer would
    /// return to a caller.
    pub status: u16,
    /// End-to-end headers of the endpoint's answer; empty if there is none.
    pub headers: Vec<HeaderEntry>,
    /// Word for the cause of an outcome other than [`ForwardOutcome::Answered`].
    pub reason: String,
    /// Free slots of the service at the peer at the time of the reply.
    pub free_slots: u32,
}
