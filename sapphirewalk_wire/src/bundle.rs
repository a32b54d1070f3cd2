//! Bundle of policies that operators sign and roll out, and the signed documents around it.

use serde::Deserialize;
use serde::Serialize;

/// Priority class of a kind of work, in rising order.
///
/// Corresponds to `TaskUrgency` of `sapphirewalk_core`. The scheduler converts it, since decision
/// types are not part of the formats.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum KindUrgency {
    /// Work that may be deferred.
    Batch,
    /// Requests or tasks that tolerate a short wait.
    Normal,
    /// Latency-critical work.
    Urgent,
}

/// Policy for one kind of requests or batch tasks.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KindEntry {
    /// Unique name, which requests and tasks refer to.
    pub name: String,
    /// User whose requests or tasks are of this kind.
    pub user: String,
    /// Priority class of its requests or tasks.
    pub urgency: KindUrgency,
    /// Service that runs the requests; absent for a kind of batch tasks.
    #[serde(default)]
    pub service: Option<String>,
    /// Whether a request may run more than once, hence may be retried and hedged.
    pub idempotent: bool,
    /// Weight by which capacity above all floors is divided among the kinds of a service, or among
    /// those of batch tasks.
    pub weight: u32,
    /// Minimum share of the capacity, in thousandths.
    pub floor_permille: u32,
    /// Upper bound on the time from arrival to answer of a request, in milliseconds.
    pub deadline_ms: u64,
}

/// Quota of a team on its running batch tasks, over all failure domains.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamEntry {
    /// Unique name, which tasks refer to.
    pub name: String,
    /// Upper bound on the processor time granted to running tasks, in thousandths of a core.
    pub cpu_millis: u64,
    /// Upper bound on the number of running tasks.
    pub tasks: u64,
}

/// Failure domain and the number of parts into which its capacity is divided.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DomainEntry {
    /// Unique name, as in the platform's list of VMs.
    pub name: String,
    /// Name of the region that the domain belongs to.
    pub region: String,
    /// Number of seats, one for each entry VM; the slots of each endpoint are divided among them.
    pub seats: u32,
    /// Number of shards; each worker belongs to one.
    pub shards: u32,
}

/// Service and the capacity of each of its endpoints.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// Unique name, as in the platform's list of VMs.
    pub name: String,
    /// Maximum number of requests that one endpoint runs at the same time.
    pub slots: u32,
    /// Maximum number of connections that one endpoint accepts at the same time.
    pub connections: u32,
}

/// Contents of a bundle: fleet, kinds of work and quotas.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BundleDocument {
    /// Label chosen by the operators, for display only; the digest identifies a bundle.
    pub version: String,
    /// Failure domains of the fleet.
    pub domains: Vec<DomainEntry>,
    /// Services that run requests.
    pub services: Vec<ServiceEntry>,
    /// Kinds of requests and of batch tasks; any other kind is refused.
    pub kinds: Vec<KindEntry>,
    /// Teams with a quota.
    pub teams: Vec<TeamEntry>,
}

/// Signature of an operator over the digest of a bundle or over the other fields of a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SignatureEntry {
    /// Name of the operator, by which the settings list the public key.
    pub operator: String,
    /// Ed25519 signature of 64 bytes in hexadecimal.
    pub signature: String,
}

/// Bundle with its signatures, as stored in the object store under [`bundle_object_name`].
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SignedBundle {
    /// JSON text of a [`BundleDocument`], byte for byte as signed.
    pub document: String,
    /// Signatures of the digest of `document`, at most one that counts for each operator.
    pub signatures: Vec<SignatureEntry>,
}

/// Signed instruction to put a bundle in force.
///
/// A process accepts only a higher sequence number than that of its present rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct SignedRollout {
    /// Sequence number, which rises by one with each rollout or rollback.
    pub sequence: u64,
    /// SHA-256 of the bundle's document, in hexadecimal.
    pub digest: String,
    /// Reason stated by the operator; `audit in-force` prints it.
    pub reason: String,
    /// Time of signing, in Unix milliseconds.
    pub signed_at_ms: u64,
    /// Signature of the fields above by the operator who rolls out.
    pub signature: SignatureEntry,
}

/// Name of the object that stores the signed bundle with this digest.
pub fn bundle_object_name(digest: &str) -> String {
    format!("bundle/{digest}")
}
