//! HTTP connections of callers, shared by all servers of a process that callers can reach.
//!
//! Each server has a [`ConnectionBudget`], which limits its connections and the memory of request
//! bodies, so that no number of callers exhausts the memory or the descriptors of the process.

mod body;
mod connection;
mod limit;
mod report;
mod stream;

use std::collections;
use std::fmt;
use std::fmt::Write;
use std::pin;
use std::sync;
use std::sync::Mutex;
use std::sync::PoisonError;

use sapphirewalk_core::connection_budget::ConnectionBudget;
use sapphirewalk_core::connection_budget::ConnectionKey;
use sapphirewalk_core::connection_budget::OpenStep;
use sapphirewalk_core::time::TimeSpan;
use serde::Serialize;
use tokio::sync::Notify;

pub use crate::caller_server::body::BodyFault;
pub use crate::caller_server::connection::ConnectionHandle;
pub use crate::caller_server::limit::ProcessResources;
pub use crate::caller_server::limit::ResourceSettings;
pub use crate::caller_server::limit::ServerLimits;
use crate::caller_server::report::RefusalReason;
use crate::caller_server::report::RefusalReport;
use crate::clock::ProcessClock;
use crate::event::EventName;

/// The connections of callers to one address.
pub struct CallerServer {
    /// Name of the server in log lines and metrics.
    name: &'static str,
    clock: ProcessClock,
    log: slog::Logger,
    state: Mutex<ServerState>,
    /// Notified when a connection is closed or memory is released.
    released: Notify,
}

/// What the callers of a server use, in the state dump.
#[derive(Debug)]
#[derive(Serialize)]
pub struct CallerUsage {
    connections: usize,
    body_bytes: usize,
    /// Number of refusals for each reason since the start.
    refusals: collections::BTreeMap<&'static str, u64>,
}

struct ServerState {
    limits: ServerLimits,
    budget: ConnectionBudget,
    /// Signals to close each open connection, sorted by key.
    signals: Vec<(ConnectionKey, sync::Arc<Notify>)>,
    report: RefusalReport,
}

impl CallerServer {
    /// A server without connections.
    pub fn new(
        name: &'static str,
        limits: ServerLimits,
        clock: ProcessClock,
        log: slog::Logger,
    ) -> sync::Arc<Self> {
        sync::Arc::new(Self {
            name,
            clock,
            log,
            state: Mutex::new(ServerState {
                limits,
                budget: ConnectionBudget::new(limits.budget()),
                signals: Vec::new(),
                report: RefusalReport::default(),
            }),
            released: Notify::new(),
        })
    }

    /// Registers a new connection. If there is no room, the connection that has made the least
    /// progress is closed first. `None` if all connections are being served.
    pub async fn admit(self: &sync::Arc<Self>) -> Option<sync::Arc<ConnectionHandle>> {
        loop {
            let mut released = pin::pin!(self.released.notified());
            released.as_mut().enable();
            match self.open() {
                OpenStep::Opened(key) => return Some(self.handle(key)),
                OpenStep::CloseFirst(other) => self.close_for_room(other, RefusalReason::Crowded),
                OpenStep::Wait => {}
                OpenStep::Reject => {
                    self.record_refusal(RefusalReason::Busy);
                    return None;
                }
            }
            released.await;
        }
    }

    /// Sets the length of a request's head, in bytes, and the time for it. The length applies to new
    /// connections. Without values, the defaults apply.
    pub fn set_head_limits(&self, head_bytes: Option<usize>, head_timeout: Option<TimeSpan>) {
        let mut state = self.lock();
        let limits = state.limits.with_head(head_bytes, head_timeout);
        if state.limits != limits {
            state.limits = limits;
            state.budget.set_limits(limits.budget());
        }
    }

    /// Number of open connections.
    pub fn open_connections(&self) -> usize {
        self.lock().budget.open_connections()
    }

    /// Waits until no connection is open.
    pub async fn wait_closed(&self) {
        loop {
            let mut released = pin::pin!(self.released.notified());
            released.as_mut().enable();
            if self.open_connections() == 0 {
                return;
            }
            released.await;
        }
    }

    /// Writes the metrics of the server as text, one value per line.
    pub fn render_metrics(&self, text: &mut String) {
        let state = self.lock();
        let name = self.name;
        let connections = state.budget.open_connections();
        let body_bytes = state.budget.reserved_bytes();
        let _ = writeln!(
            text,
            "sapphirewalk_caller_connections{{server=\"{name}\"}} {connections}"
        );
        let _ = writeln!(
            text,
            "sapphirewalk_caller_body_bytes{{server=\"{name}\"}} {body_bytes}"
        );
        for (reason, count) in state.report.counts() {
            let _ = writeln!(
                text,
                "sapphirewalk_caller_refusals_total{{server=\"{name}\",reason=\"{reason}\"}} {count}"
            );
        }
    }

    /// What callers use at present, for the state dump.
    pub fn usage(&self) -> CallerUsage {
        let state = self.lock();
        CallerUsage {
            connections: state.budget.open_connections(),
            body_bytes: state.budget.reserved_bytes(),
            refusals: state.report.counts().collect(),
        }
    }

    fn open(&self) -> OpenStep {
        let now = self.clock.now();
        self.lock().budget.open(now)
    }

    fn handle(self: &sync::Arc<Self>, key: ConnectionKey) -> sync::Arc<ConnectionHandle> {
        let signal = sync::Arc::new(Notify::new());
        let mut state = self.lock();
        let position = state.signals.partition_point(|(other, _)| *other < key);
        state.signals.insert(position, (key, signal.clone()));
        let head_bytes = state.limits.head_bytes;
        drop(state);
        sync::Arc::new(ConnectionHandle::new(self.clone(), key, signal, head_bytes))
    }

    /// Signals a connection, which the budget has chosen, to close.
    fn close_for_room(&self, key: ConnectionKey, reason: RefusalReason) {
        let state = self.lock();
        if let Ok(position) = state.signals.binary_search_by_key(&key, |(key, _)| *key) {
            state.signals[position].1.notify_one();
        }
        drop(state);
        self.record_refusal(reason);
    }

    fn record_closed(&self, key: ConnectionKey) {
        let mut state = self.lock();
        if let Ok(position) = state.signals.binary_search_by_key(&key, |(key, _)| *key) {
            state.signals.remove(position);
        }
        state.budget.close(key);
        drop(state);
        self.released.notify_waiters();
    }

    fn release(&self, key: ConnectionKey, bytes: usize) {
        self.lock().budget.release(key, bytes);
        self.released.notify_waiters();
    }

    /// Counts a refusal, and logs refusals of one reason at most once a second.
    fn record_refusal(&self, reason: RefusalReason) {
        let now = self.clock.now();
        let count = self.lock().report.record(reason, now);
        if let Some(count) = count {
            slog::warn!(self.log, "{}", EventName::CallersRefused; "server" => self.name,
                "reason" => reason.as_str(), "count" => count);
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, ServerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for CallerServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("CallerServer")
            .field("name", &self.name)
            .finish_non_exhaustive()
    }
}
