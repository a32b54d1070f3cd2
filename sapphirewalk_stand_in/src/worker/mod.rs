//! A stand-in for a worker: runs simulated tasks under leases, with fencing and a guard.

mod attempt;
mod handler;
mod ledger;
mod payload;
mod state;

use std::io;
use std::net;
use std::sync;
use std::time;

use tokio::sync::watch;
use tokio::task;

use sapphirewalk_core::resource::ResourceVector;

use crate::clock;
use crate::server::HttpServer;
use crate::worker::attempt::WorkerHealth;
use crate::worker::handler::SharedWorker;
pub use crate::worker::ledger::RunLedger;
pub use crate::worker::ledger::RunOutcome;
pub use crate::worker::ledger::RunRecord;
pub use crate::worker::ledger::RunSpan;
pub use crate::worker::ledger::WorkerPeak;
pub use crate::worker::payload::FailMode;
pub use crate::worker::payload::TaskPayload;
use crate::worker::state::ProcessState;
use crate::worker::state::WorkerState;

/// How often the simulation advances.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(10);

/// What a worker is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPlan {
    /// The worker's name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// What it has.
    pub capacity: ResourceVector,
    /// Whether it refuses attempts that do not fit.
    pub capacity_check: bool,
    /// How old reported measurements are at least, in milliseconds.
    pub report_lag_ms: u64,
    /// Where it listens; `None` for a port that the system chooses.
    pub address: Option<net::SocketAddr>,
}

/// A running worker. When it is dropped its attempts vanish, as with a lost VM.
#[derive(Debug)]
pub struct Worker {
    server: HttpServer,
    state: sync::Arc<sync::Mutex<WorkerState>>,
    process: watch::Sender<ProcessState>,
    tick_task: task::JoinHandle<()>,
}

impl Worker {
    /// Starts one incarnation of a worker.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(plan: WorkerPlan, ledger: RunLedger) -> io::Result<Self> {
        let address = plan.address;
        let state = sync::Arc::new(sync::Mutex::new(WorkerState::new(plan, ledger)));
        let (process, receiver) = watch::channel(ProcessState::Running);
        let shared = SharedWorker {
            state: state.clone(),
            process: receiver,
        };
        let server = HttpServer::start(address, move |request| {
            handler::handle(shared.clone(), request)
        })
        .await?;
        let tick_task = tokio::spawn(tick(state.clone()));
        Ok(Self {
            server,
            state,
            process,
            tick_task,
        })
    }

    /// Where the worker listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// The worker's plan.
    pub fn plan(&self) -> WorkerPlan {
        self.state().plan.clone()
    }

    /// Freezes the process: it answers nothing and its timers stand still.
    pub fn pause(&self) {
        self.state().pause(clock::unix_ms());
        self.process.send_replace(ProcessState::Paused);
    }

    /// Thaws the process: it stops lapsed attempts, then serves what has waited.
    pub fn resume(&self) {
        self.state().resume(clock::unix_ms());
        self.process.send_replace(ProcessState::Running);
    }

    /// Closes each connection on which a command comes, while `unreachable`.
    pub fn set_unreachable(&self, unreachable: bool) {
        self.state().unreachable = unreachable;
    }

    /// Loses the answers to the next `count` commands after they took effect.
    pub fn lose_answers(&self, count: u32) {
        self.state().answers_to_lose = count;
    }

    /// Fails every attempt that starts while `fails`.
    pub fn set_fails_everything(&self, fails: bool) {
        self.state().health = if fails {
            WorkerHealth::FailsEverything
        } else {
            WorkerHealth::Healthy
        };
    }

    /// Reports that the worker is about to leave, while `leaving`.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().leaving = leaving;
    }

    /// Switches the guard that refuses attempts that do not fit.
    pub fn set_capacity_check(&self, capacity_check: bool) {
        self.state().plan.capacity_check = capacity_check;
    }

    /// How old reported measurements are at least, in milliseconds.
    pub fn set_report_lag_ms(&self, lag_ms: u64) {
        self.state().plan.report_lag_ms = lag_ms;
    }

    /// What the running attempts were given.
    pub fn in_use(&self) -> ResourceVector {
        self.state().in_use()
    }

    /// How many attempts run.
    pub fn running_count(&self) -> usize {
        self.state().running_count()
    }

    /// The highest epoch that the worker has seen.
    pub fn epoch(&self) -> u64 {
        self.state().epoch()
    }

    fn state(&self) -> sync::MutexGuard<'_, WorkerState> {
        clock::lock(&self.state)
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.tick_task.abort();
        self.state().vanish(clock::unix_ms());
    }
}

async fn tick(state: sync::Arc<sync::Mutex<WorkerState>>) {
    let mut interval = tokio::time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    loop {
        interval.tick().await;
        clock::lock(&state).advance(clock::unix_ms());
    }
}
