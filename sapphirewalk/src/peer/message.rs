//! Messages between the system's own processes.

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::quota_share::QuotaAmount;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::bundle::SignedBundle;
use sapphirewalk_wire::bundle::SignedRollout;

/// What a process asks of a peer. Some are followed by a body.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum PeerRequest {
    /// Tells the sender's status and asks for the receiver's.
    Status(PeerStatus),
    /// Asks for the rollout in force and its bundle.
    FetchRollout,
    /// Asks a gateway to dispatch a request with its own share; the request's body follows.
    Forward(ForwardRequest),
    /// Tells a scheduler that a task row of its shard is new or has changed.
    TaskChanged {
        /// The task's ID.
        id: String,
    },
}

/// What a peer answers. Some are followed by a body.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub enum PeerReply {
    /// The receiver's status.
    Status(PeerStatus),
    /// The rollout in force, if any, and its bundle.
    Rollout(Option<Box<RolloutPackage>>),
    /// The outcome of a forwarded request; an answer's body follows.
    Forwarded(ForwardAnswer),
    /// Nothing to say.
    Done,
    /// The receiver does not serve this call.
    NotServed,
}

/// A rollout with the bundle that it points at.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct RolloutPackage {
    /// The rollout.
    pub rollout: SignedRollout,
    /// Its bundle.
    pub bundle: SignedBundle,
}

/// What a process tells its peers every now and then.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct PeerStatus {
    /// The VM's name.
    pub vm: String,
    /// The VM's incarnation.
    pub incarnation: u64,
    /// The sequence number of the rollout in force; zero when none is.
    pub sequence: u64,
    /// Whether the process takes new work.
    pub ready: bool,
    /// Free slots by service, for gateways.
    pub services: Vec<ServiceStatus>,
    /// Endpoints and workers seen to be leaving, by name and incarnation.
    pub leaving: Vec<LeavingVm>,
    /// Free processor time of the shards held, in thousandths of a core, for schedulers.
    pub shards: Vec<ShardStatus>,
}

/// A gateway's free share of a service's slots.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ServiceStatus {
    /// The service's name.
    pub service: String,
    /// Slots free.
    pub free_slots: u32,
    /// Slots of the share, free or in use.
    pub share_slots: u32,
    /// Requests that wait.
    pub queued: u32,
}

/// A VM incarnation that must get no new work.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct LeavingVm {
    /// The VM's name.
    pub name: String,
    /// The VM's incarnation.
    pub incarnation: u64,
}

/// A shard that a scheduler holds.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ShardStatus {
    /// The name of the shard's failure domain.
    pub domain: String,
    /// The shard's index in its domain.
    pub index: u32,
    /// Free processor time of its workers, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// The most that is free on one of its workers.
    pub largest_free: ResourceVector,
    /// Whether any of its workers takes tasks.
    pub is_open: bool,
    /// Tasks that wait.
    pub pending: u32,
    /// Teams of which too many tasks wait.
    pub full_teams: Vec<String>,
    /// What the shard lacks of teams' quotas.
    pub quota_wants: Vec<QuotaShortfall>,
}

/// What a shard lacks of a team's quota.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct QuotaShortfall {
    /// The team.
    pub team: String,
    /// The shard's number among all shards of the bundle.
    pub shard: u32,
    /// What it lacks.
    pub lacks: QuotaAmount,
}

/// A header of a forwarded request or answer.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct HeaderEntry {
    /// The header's name.
    pub name: String,
    /// The header's value.
    pub value: Vec<u8>,
}

/// A request that a peer is asked to dispatch.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ForwardRequest {
    /// The HTTP method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// End-to-end headers.
    pub headers: Vec<HeaderEntry>,
    /// The kind of work.
    pub kind: String,
    /// The user.
    pub user: String,
    /// The request's ID.
    pub request_id: String,
    /// The time left to answer, in milliseconds.
    pub deadline_ms: u64,
    /// How often the request was forwarded before; a peer forwards no further.
    pub hops: u32,
}

/// How a forwarded request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum ForwardOutcome {
    /// An endpoint answered and the answer is whole.
    Answered,
    /// No endpoint ran the request.
    NotRun,
    /// An earlier request with its idempotency key was taken up.
    Duplicate,
    /// Whether an endpoint ran the request is not known.
    Unknown,
}

/// The answer to a forwarded request.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ForwardAnswer {
    /// How the request ended.
    pub outcome: ForwardOutcome,
    /// The endpoint's HTTP status, when it answered.
    pub status: u16,
    /// End-to-end headers of the answer.
    pub headers: Vec<HeaderEntry>,
    /// Why the request did not run, or is unknown.
    pub reason: String,
    /// Slots of the service that are free at the peer now.
    pub free_slots: u32,
}
