//! A stand-in for an endpoint: runs requests in slots and counts what it was given.

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

/// Request header with the service time in milliseconds.
pub const SERVICE_MS_HEADER: &str = "stand-in-service-ms";
/// Request header with the bytes that the answer's body has after the request's ID and a newline.
pub const ANSWER_BYTES_HEADER: &str = "stand-in-answer-bytes";

/// What an endpoint is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndpointPlan {
    /// The endpoint's name.
    pub name: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it holds at once.
    pub connections: u32,
    /// Where it listens; `None` for a port that the system chooses.
    pub address: Option<net::SocketAddr>,
}

impl EndpointPlan {
    /// An endpoint of 8 slots and 64 connections.
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            slots: 8,
            connections: 64,
            address: None,
        }
    }
}

/// What an endpoint was given so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointCounters {
    /// Slots in use.
    pub slots: LevelGauge,
    /// Connections open, those of health probes among them.
    pub connections: LevelGauge,
    /// Requests that found no free slot.
    pub over_commits: u64,
    /// Whether there were ever more connections than the endpoint holds.
    pub connections_exceeded: bool,
    /// Health probes answered.
    pub health_probes: u64,
}

/// The state behind the endpoint's server.
#[derive(Debug, Default)]
struct EndpointState {
    faults: FaultPlan,
    leaving: bool,
    slots: LevelGauge,
    over_commits: u64,
    health_probes: u64,
}

/// What the handler shares with the handle.
#[derive(Clone, Debug)]
struct SharedEndpoint {
    name: sync::Arc<str>,
    slots: sync::Arc<tokio::sync::Semaphore>,
    state: sync::Arc<sync::Mutex<EndpointState>>,
    run_set: sync::Arc<sync::Mutex<task::JoinSet<()>>>,
    ledger: RequestLedger,
}

/// A running endpoint. When it is dropped its connections break and its requests end at once, as
/// with a lost VM.
#[derive(Debug)]
pub struct Endpoint {
    plan: EndpointPlan,
    address: net::SocketAddr,
    server: Option<HttpServer>,
    last_connections: LevelGauge,
    shared: SharedEndpoint,
}

impl SharedEndpoint {
    fn state(&self) -> sync::MutexGuard<'_, EndpointState> {
        clock::lock(&self.state)
    }

    /// Runs `work` apart from its connection, until it is done or the endpoint is killed.
    fn spawn_run<F>(&self, work: F)
    where
        F: future::Future<Output = ()> + Send + 'static,
    {
        let mut run_set = clock::lock(&self.run_set);
        while run_set.try_join_next().is_some() {}
        run_set.spawn(work);
    }
}

impl Endpoint {
    /// Starts an endpoint.
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

    /// Where the endpoint listens, or listened before it was killed.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The endpoint's plan.
    pub const fn plan(&self) -> &EndpointPlan {
        &self.plan
    }

    /// Does this wrong with every request, until told otherwise.
    pub fn set_fault(&self, fault: EndpointFault) {
        self.shared.state().faults.set_lasting(fault);
    }

    /// Does this wrong with the next `count` requests.
    pub fn set_next_fault(&self, fault: EndpointFault, count: u32) {
        self.shared.state().faults.set_next(fault, count);
    }

    /// Says in each answer and health probe that the endpoint is about to leave.
    pub fn set_leaving(&self, leaving: bool) {
        self.shared.state().leaving = leaving;
    }

    /// Stops listening, breaks all connections and ends all requests at once.
    pub fn kill(&mut self) {
        if let Some(server) = self.server.take() {
            self.last_connections = server.connections();
            self.last_connections.current = 0;
        }
        clock::lock(&self.shared.run_set).abort_all();
        self.shared.state().slots.current = 0;
    }

    /// What the endpoint was given so far.
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
            connections_exceeded: connections.most > self.plan.connections,
            health_probes: state.health_probes,
        }
    }
}

impl Drop for Endpoint {
    fn drop(&mut self) {
        self.kill();
    }
}
