//! A stand-in for an endpoint: simulates requests in a limited number of slots and counts them.

mod fault;
mod handler;
mod ledger;

use std::future;
use std::io;
use std::net;
use std::sync;

use tokio::task;

use crate::clock;
use crate::counter::LevelGauge;
pub use crate::endpoint::fault::EndpointFault;
use crate::endpoint::fault::FaultPlan;
pub use crate::endpoint::ledger::RequestLedger;
pub use crate::endpoint::ledger::RequestRun;
use crate::server::HttpServer;

/// Request header: how long the endpoint runs the request, in milliseconds.
pub const SERVICE_MS_HEADER: &str = "stand-in-service-ms";
/// Request header: how many bytes the answer's body has after the request's ID and a newline.
pub const ANSWER_BYTES_HEADER: &str = "stand-in-answer-bytes";

/// The name, limits and address of an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointPlan {
    /// The VM name, as in the ledger.
    pub name: String,
    /// Requests that run at once; further requests wait and count as over-commits.
    pub slots: u32,
    /// Open connections that are within the endpoint's limit. More are accepted, but reported in
    /// [`EndpointCounters::connections_exceeded`].
    pub connections: u32,
    /// The address to listen on; `None` for a loopback port that the system chooses.
    pub address: Option<net::SocketAddr>,
}

impl EndpointPlan {
    /// An endpoint with 8 slots, 64 connections and a port that the system chooses.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            slots: 8,
            connections: 64,
            address: None,
        }
    }
}

/// The load on an endpoint since its start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointCounters {
    /// Slots that run a request.
    pub slots: LevelGauge,
    /// Open connections, including those of health probes.
    pub connections: LevelGauge,
    /// Requests that had to wait for a slot; zero under a gateway that respects the slots.
    pub over_commits: u64,
    /// Whether more connections than [`EndpointPlan::connections`] were ever open at once.
    pub connections_exceeded: bool,
    /// Health probes answered.
    pub health_probes: u64,
}

/// The faults and counters that the endpoint's handler reads and updates.
#[derive(Debug, Default)]
struct EndpointState {
    faults: FaultPlan,
    leaving: bool,
    slots: LevelGauge,
    over_commits: u64,
    health_probes: u64,
}

/// The part of an endpoint that [`Endpoint`] and its HTTP handler share.
#[derive(Clone, Debug)]
struct SharedEndpoint {
    name: sync::Arc<str>,
    slots: sync::Arc<tokio::sync::Semaphore>,
    state: sync::Arc<sync::Mutex<EndpointState>>,
    run_set: sync::Arc<sync::Mutex<task::JoinSet<()>>>,
    ledger: RequestLedger,
}

/// A running endpoint. Dropping it closes its connections and aborts its requests at once, as the
/// loss of a VM does.
#[derive(Debug)]
pub struct Endpoint {
    plan: EndpointPlan,
    address: net::SocketAddr,
    server: Option<HttpServer>,
    /// The connections when the endpoint was killed.
    last_connections: LevelGauge,
    shared: SharedEndpoint,
}

impl SharedEndpoint {
    fn state(&self) -> sync::MutexGuard<'_, EndpointState> {
        clock::lock(&self.state)
    }

    /// Spawns `run` as a task that ends when it is complete or when the endpoint is killed, but not
    /// when its connection closes.
    fn spawn_run<F>(&self, run: F)
    where
        F: future::Future<Output = ()> + Send + 'static,
    {
        let mut run_set = clock::lock(&self.run_set);
        while run_set.try_join_next().is_some() {}
        run_set.spawn(run);
    }
}

impl Endpoint {
    /// Starts an endpoint that records its runs in `ledger`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(plan: EndpointPlan, ledger: RequestLedger) -> io::Result<Self> {
        let shared = SharedEndpoint {
            name: plan.name.as_str().into(),
            slots: sync::Arc::new(tokio::sync::Semaphore::new(plan.slots as usize)),
            state: sync::Arc::default(),
            run_set: sync::Arc::default(),
            ledger,
        };
        let handler_shared = shared.clone();
        let server = HttpServer::start(plan.address, move |request| {
            handler::handle(handler_shared.clone(), request)
        })
        .await?;
        Ok(Self {
            plan,
            address: server.address(),
            server: Some(server),
            last_connections: LevelGauge::default(),
            shared,
        })
    }

    /// The address that the endpoint listens on, or listened on before it was killed.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The plan with which the endpoint was started.
    pub const fn plan(&self) -> &EndpointPlan {
        &self.plan
    }

    /// Applies `fault` to every request, until the next call.
    pub fn set_fault(&self, fault: EndpointFault) {
        self.shared.state().faults.set_default(fault);
    }

    /// Applies `fault` to the next `count` requests, instead of the fault of
    /// [`set_fault`](Self::set_fault).
    pub fn set_next_fault(&self, fault: EndpointFault, count: u32) {
        self.shared.state().faults.set_next(fault, count);
    }

    /// While `leaving`, each answer carries the leaving header and closes its connection, and
    /// health probes get 503.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
    }

    /// Stops listening, closes all connections and aborts all requests at once.
    pub fn kill(&mut self) {
        if let Some(server) = self.server.take() {
            self.last_connections = server.connections();
            self.last_connections.current = 0;
        }
        clock::lock(&self.shared.run_set).abort_all();
        self.shared.state().slots.current = 0;
    }

    /// The load since the start; after a kill, no connection and no slot is in use.
    pub fn counters(&self) -> EndpointCounters {
        let connections = match &self.server {
            Some(server) => server.connections(),
            None => self.last_connections,
        };
        let state = self.shared.state();
        EndpointCounters {
            slots: state.slots,
            connections,
            over_commits: state.over_commits,
            connections_exceeded: connections.peak > self.plan.connections,
            health_probes: state.health_probes,
        }
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.kill();
    }
}
