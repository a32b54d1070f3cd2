//! A stand-in for the platform: table service, object store and VM list behind one address.

mod fault;
mod handler;
mod objects;
mod table;
mod vm_list;

use std::io;
use std::net;
use std::sync;

use sapphirewalk_wire::platform as wire;

use crate::clock;
use crate::counter::PeakCounter;
use crate::platform::fault::FaultSwitches;
use crate::platform::objects::ObjectStore;
use crate::platform::table::TableStore;
use crate::platform::vm_list::VmHistory;
use crate::server::HttpServer;

/// Names the calling VM on each platform call, so that it can be cut off.
pub const CALLER_HEADER: &str = "sapphirewalk-caller";

/// A service of the platform.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlatformService {
    /// The table service.
    Table,
    /// The object store.
    Objects,
    /// The VM list.
    VmList,
}

/// What the platform was asked to do so far.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCounters {
    /// Transactions that took effect.
    pub transactions: PeakCounter,
    /// Transactions refused for a condition.
    pub conflicts: PeakCounter,
    /// Rows changed.
    pub rows_written: PeakCounter,
    /// Reads and scans of the table.
    pub reads: PeakCounter,
    /// Rows returned.
    pub rows_read: PeakCounter,
    /// Objects stored.
    pub object_writes: PeakCounter,
    /// Objects read or listed.
    pub object_reads: PeakCounter,
    /// Reads of the VM list.
    pub vm_list_reads: PeakCounter,
}

/// The state behind the platform's server.
#[derive(Debug, Default)]
struct PlatformState {
    table: TableStore,
    objects: ObjectStore,
    vms: VmHistory,
    faults: FaultSwitches,
    counters: PlatformCounters,
}

/// A running platform; stops when it is dropped.
#[derive(Debug)]
pub struct Platform {
    server: HttpServer,
    state: sync::Arc<sync::Mutex<PlatformState>>,
}

impl Platform {
    /// Starts an empty platform on a port that the system chooses.
    ///
    /// # Errors
    ///
    /// When no port can be bound.
    pub async fn start() -> io::Result<Self> {
        let state = sync::Arc::new(sync::Mutex::new(PlatformState::default()));
        let handler_state = state.clone();
        let server = HttpServer::start(None, move |request| {
            handler::handle(handler_state.clone(), request)
        })
        .await?;
        Ok(Self { server, state })
    }

    /// Where the table service, the object store and the VM list are served.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// Answers 503 to every call while `down`.
    pub fn set_down(&self, down: bool) {
        self.set_service_down(PlatformService::Table, down);
        self.set_service_down(PlatformService::Objects, down);
        self.set_service_down(PlatformService::VmList, down);
    }

    /// Answers 503 to every call to `service` while `down`.
    pub fn set_service_down(&self, service: PlatformService, down: bool) {
        self.state().faults.set_down(service, down);
    }

    /// Delays every call by `delay_ms` milliseconds before it takes effect; zero ends this.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state().faults.delay_ms = delay_ms;
    }

    /// Loses the answers of the next `count` transactions after they took effect.
    pub fn lose_answers(&self, count: u32) {
        self.state().faults.answers_to_lose = count;
    }

    /// Loses the next `count` transactions before they take effect.
    pub fn lose_requests(&self, count: u32) {
        self.state().faults.requests_to_lose = count;
    }

    /// Closes every connection on which a call of the VM `caller` comes.
    pub fn block_caller(&self, caller: &str) {
        self.state().faults.block_caller(caller);
    }

    /// Serves calls of the VM `caller` again.
    pub fn unblock_caller(&self, caller: &str) {
        self.state().faults.unblock_caller(caller);
    }

    /// What the platform was asked to do so far.
    pub fn counters(&self) -> PlatformCounters {
        self.state().counters
    }

    /// Forgets what was counted so far, peaks among it.
    pub fn reset_counters(&self) {
        self.state().counters = PlatformCounters::default();
    }

    /// Reads a row, past all faults and counters.
    pub fn row(&self, key: &str) -> Option<wire::TableRow> {
        self.state().table.row(key).cloned()
    }

    /// All rows whose keys start with `prefix`, in key order, past all faults and counters.
    pub fn rows(&self, prefix: &str) -> Vec<wire::TableRow> {
        self.state().table.rows(prefix).to_vec()
    }

    /// Writes a row without a condition, past all faults and counters; returns its version.
    pub fn put_row(&self, key: &str, value: &str) -> u64 {
        self.state().table.put_row(key, value)
    }

    /// The names of all objects, in order.
    pub fn object_names(&self) -> Vec<String> {
        self.state().objects.names()
    }

    /// The bytes of an object.
    pub fn object(&self, name: &str) -> Option<bytes::Bytes> {
        self.state().objects.get(name)
    }

    /// Changes the bytes of an object, which no caller of the platform can.
    pub fn overwrite_object(&self, name: &str, body: bytes::Bytes) {
        self.state().objects.overwrite(name, body);
    }

    /// How far the VM list lags behind what was published, in milliseconds. While it rises, the
    /// list stands still.
    pub fn set_vm_list_lag_ms(&self, lag_ms: u64) {
        self.state().vms.lag_ms = lag_ms;
    }

    /// Adds a VM to the list, or replaces what the list says of this incarnation; one that is
    /// gone stays gone.
    pub fn publish_vm(&self, record: wire::VmRecord) {
        self.state().vms.publish(record, clock::unix_ms());
    }

    /// Publishes a new incarnation of a VM and marks all earlier ones as gone.
    pub fn replace_vm(&self, record: wire::VmRecord) {
        self.state().vms.replace(record, clock::unix_ms());
    }

    /// Changes the state of the newest incarnation of a VM; one that is gone stays gone.
    pub fn set_vm_state(&self, name: &str, vm_state: wire::VmState) {
        self.state().vms.mark(name, vm_state, clock::unix_ms());
    }

    /// The newest record published of a VM.
    pub fn vm(&self, name: &str) -> Option<wire::VmRecord> {
        self.state().vms.newest(name).cloned()
    }

    fn state(&self) -> sync::MutexGuard<'_, PlatformState> {
        clock::lock(&self.state)
    }
}
