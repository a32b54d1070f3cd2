//! Interfaces of the platform: table service, object store and list of VMs.
//!
//! All messages are JSON over HTTP/1.1, except object bodies, which are raw bytes.

use serde::Deserialize;
use serde::Serialize;

use sapphirewalk_core::resource::ResourceVector;

/// `POST`: applies a [`TransactionRequest`], returns a [`TransactionReply`].
pub const TRANSACTION_PATH: &str = "/table/transaction";
/// `POST`: reads the rows of a [`ReadRequest`], returns a [`RowList`].
pub const READ_PATH: &str = "/table/read";
/// `POST`: reads the rows of a [`ScanRequest`], returns a [`RowList`].
pub const SCAN_PATH: &str = "/table/scan";
/// `PUT` stores an object if its name is new (201, else 409); `GET` reads it (200, else 404).
/// The name of the object follows the prefix and may contain `/`.
pub const OBJECT_PATH_PREFIX: &str = "/object/";
/// `POST`: lists the objects of an [`ObjectListRequest`], returns an [`ObjectList`].
pub const OBJECT_LIST_PATH: &str = "/objects";
/// `GET`: returns a [`VmList`], which may be out of date.
pub const VM_LIST_PATH: &str = "/vms";
/// Maximum number of rows that one transaction changes.
pub const TRANSACTION_ROWS_MAX: usize = 100;
/// Maximum number of rows that one scan returns.
pub const SCAN_ROWS_MAX: u32 = 1_000;

/// Row of the table service.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TableRow {
    /// Unique key of the row.
    pub key: String,
    /// Version that the last change assigned; never zero. It rises with each change, and no two
    /// changes of a row assign the same one.
    pub version: u64,
    /// JSON text, opaque to the table service.
    pub value: String,
}

/// Precondition of a transaction on one row (optimistic concurrency control).
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowCondition {
    /// Key of the row, which the transaction need not change.
    pub key: String,
    /// Version that the row must have; `None` if it must be absent.
    pub version: Option<u64>,
}

/// Write to one row within a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum RowChange {
    /// Inserts the row or replaces its value.
    Put {
        /// Key of the row.
        key: String,
        /// New value, a JSON text.
        value: String,
    },
    /// Removes the row.
    Delete {
        /// Key of the row.
        key: String,
    },
}

/// Changes that are applied atomically, provided that all conditions hold.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct TransactionRequest {
    /// Conditions, checked before any change is applied.
    pub conditions: Vec<RowCondition>,
    /// Changes, at most [`TRANSACTION_ROWS_MAX`].
    pub changes: Vec<RowChange>,
}

/// Result of a transaction. A lost reply leaves it open whether the changes were applied.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum TransactionReply {
    /// All changes were applied.
    Committed {
        /// Version of each row that was put.
        version: u64,
    },
    /// No change was applied.
    Conflict {
        /// Key of the first row whose condition failed.
        key: String,
    },
}

/// Request for rows by key.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ReadRequest {
    /// Keys of the rows, in any order.
    pub keys: Vec<String>,
}

/// Request for the rows with a key prefix, in key order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ScanRequest {
    /// Prefix of the keys.
    pub prefix: String,
    /// Key after which to continue; `None` to start with the first row.
    pub after: Option<String>,
    /// Maximum number of rows to return; [`SCAN_ROWS_MAX`] applies as well.
    pub limit: u32,
}

/// Rows that were read; absent rows are omitted.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RowList {
    /// Rows in key order.
    pub rows: Vec<TableRow>,
    /// Whether a scan has further rows after the last one; always false for a read by key.
    pub more: bool,
}

/// Request for the names of objects with a prefix, in name order.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ObjectListRequest {
    /// Prefix of the names.
    pub prefix: String,
    /// Name after which to continue; `None` to start with the first object.
    pub after: Option<String>,
    /// Maximum number of names to return.
    pub limit: u32,
}

/// Page of object names.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct ObjectList {
    /// Names in ascending order.
    pub names: Vec<String>,
    /// Whether further names follow the last one.
    pub more: bool,
}

/// Function of a VM in the fleet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmRole {
    /// Runs the processes of this system: a gateway and a scheduler.
    Entry,
    /// Runs a service that serves requests.
    Endpoint,
    /// Runs batch tasks.
    Worker,
}

/// State of a VM according to the platform.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM runs.
    Live,
    /// The VM is shutting down and must get no new work.
    Leaving,
    /// This incarnation of the VM no longer runs. The state is final.
    Gone,
}

/// Entry of the platform's list of VMs.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmRecord {
    /// Name of the VM; its replacement has the same name.
    pub name: String,
    /// Number that rises with each replacement of the VM.
    pub incarnation: u64,
    /// Function of the VM in the fleet.
    pub role: VmRole,
    /// Name of its failure domain, as in the bundle.
    pub domain: String,
    /// Name of its rack.
    pub rack: String,
    /// `IP:port` for requests (endpoint), for commands (worker) or for peers (entry VM: the UDP
    /// address of the gateway).
    pub address: String,
    /// `IP:port` of the scheduler for peers; only for an entry VM.
    #[serde(default)]
    pub scheduler_address: Option<String>,
    /// Name of the service, as in the bundle; only for an endpoint.
    #[serde(default)]
    pub service: Option<String>,
    /// Total resources of a worker; zero for other VMs.
    #[serde(default)]
    pub resources: ResourceVector,
    /// State when the list was compiled.
    pub state: VmState,
}

/// The platform's list of VMs, which may lag behind their actual state.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct VmList {
    /// Time at which the list was compiled, in Unix milliseconds.
    pub as_of_ms: u64,
    /// VMs sorted by name, then incarnation.
    pub vms: Vec<VmRecord>,
}
