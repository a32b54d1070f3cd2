//! A stand-in for the platform: an in-memory table service, object store and VM list that share
//! one address.

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
use crate::platform::vm_list::DelayedVmList;
use crate::server::HttpServer;

/// Request header: the name of the calling VM, so that [`Platform::block_vm`] can block it.
pub const CALLER_HEADER: &str = "sapphirewalk-caller";

/// A service of the platform that can be down apart from the others.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlatformService {
    /// The table service: versioned rows under conditional transactions.
    Table,
    /// The object store: objects that are written once.
    Objects,
    /// The list of all VMs with their incarnations and states.
    VmList,
}

/// Calls and rows since the start or the last reset of the counters.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlatformCounters {
    /// Committed transactions, including those whose answers were dropped.
    pub transactions: PeakCounter,
    /// Transactions that failed because one of their conditions was not met.
    pub conflicts: PeakCounter,
    /// Rows that committed transactions put or deleted.
    pub rows_written: PeakCounter,
    /// Reads and scans of the table.
    pub reads: PeakCounter,
    /// Rows that reads and scans returned.
    pub rows_read: PeakCounter,
    /// Objects stored; a write of an existing name does not count.
    pub object_writes: PeakCounter,
    /// Reads of an object, found or not, and lists of object names.
    pub object_reads: PeakCounter,
    /// Reads of the VM list, including those answered with 304.
    pub vm_list_reads: PeakCounter,
}

/// The data, faults and counters that the platform's handler reads and updates.
#[derive(Debug, Default)]
struct PlatformState {
    table: TableStore,
    objects: ObjectStore,
    vms: DelayedVmList,
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

    /// The address of the table service, the object store and the VM list.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// While `down`, every call to any service gets 503.
    pub fn set_down(&self, down: bool) {
        self.set_service_down(PlatformService::Table, down);
        self.set_service_down(PlatformService::Objects, down);
        self.set_service_down(PlatformService::VmList, down);
    }

    /// While `down`, every call to `service` gets 503.
    pub fn set_service_down(&self, service: PlatformService, down: bool) {
        self.state().faults.set_down(service, down);
    }

    /// Delays every call by `delay_ms` milliseconds before it takes effect; zero for no delay.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state().faults.delay_ms = delay_ms;
    }

    /// Commits the next `count` transactions whose conditions are met, but closes their connections
    /// without an answer.
    pub fn lose_answers(&self, count: u32) {
        self.state().faults.answers_to_lose = count;
    }

    /// Closes the connections of the next `count` transactions before they take effect.
    pub fn lose_requests(&self, count: u32) {
        self.state().faults.requests_to_lose = count;
    }

    /// Closes every connection on which the VM `vm` sends a call, without an answer.
    pub fn block_vm(&self, vm: &str) {
        self.state().faults.block_vm(vm);
    }

    /// Serves calls of the VM `vm` again.
    pub fn unblock_vm(&self, vm: &str) {
        self.state().faults.unblock_vm(vm);
    }

    /// Calls and rows since the start or the last [`reset_counters`](Self::reset_counters).
    pub fn counters(&self) -> PlatformCounters {
        self.state().counters
    }

    /// Sets all counters and their peaks to zero.
    pub fn reset_counters(&self) {
        self.state().counters = PlatformCounters::default();
    }

    /// Reads a row, unaffected by faults and uncounted.
    pub fn row(&self, key: &str) -> Option<wire::TableRow> {
        self.state().table.row(key).cloned()
    }

    /// All rows whose keys start with `prefix`, in key order, unaffected by faults and uncounted.
    pub fn rows(&self, prefix: &str) -> Vec<wire::TableRow> {
        self.state().table.rows(prefix).to_vec()
    }

    /// Writes a row without a condition, unaffected by faults and uncounted; returns its version.
    pub fn put_row(&self, key: &str, value: &str) -> u64 {
        self.state().table.put_row(key, value)
    }

    /// The names of all objects, in order.
    pub fn object_names(&self) -> Vec<String> {
        self.state().objects.names()
    }

    /// The bytes of an object, unaffected by faults and uncounted.
    pub fn object(&self, name: &str) -> Option<bytes::Bytes> {
        self.state().objects.get(name)
    }

    /// Replaces the bytes of an existing object, as storage corruption or tampering would. Callers
    /// of the platform cannot do this.
    pub fn overwrite_object(&self, name: &str, body: bytes::Bytes) {
        self.state().objects.overwrite(name, body);
    }

    /// Sets the time from the publication of a record to its listing, in milliseconds. After it has
    /// risen, the list does not change until the records are old enough.
    pub fn set_vm_list_lag_ms(&self, lag_ms: u64) {
        self.state().vms.lag_ms = lag_ms;
    }

    /// Publishes the record of a VM's incarnation, in place of an earlier one. An incarnation that
    /// is gone stays gone.
    pub fn publish_vm(&self, record: wire::VmRecord) {
        self.state().vms.publish(record, clock::unix_ms());
    }

    /// Publishes a new incarnation of a VM and sets the state of all earlier ones to gone.
    pub fn replace_vm(&self, record: wire::VmRecord) {
        self.state().vms.replace(record, clock::unix_ms());
    }

    /// Publishes a new state of the newest incarnation of a VM; one that is gone stays gone.
    pub fn set_vm_state(&self, name: &str, vm_state: wire::VmState) {
        self.state().vms.set_state(name, vm_state, clock::unix_ms());
    }

    /// The latest record of the newest incarnation of a VM, listed yet or not; `None` when the VM
    /// was never published.
    pub fn vm(&self, name: &str) -> Option<wire::VmRecord> {
        self.state().vms.newest(name).cloned()
    }

    fn state(&self) -> sync::MutexGuard<'_, PlatformState> {
        clock::lock(&self.state)
    }
}
