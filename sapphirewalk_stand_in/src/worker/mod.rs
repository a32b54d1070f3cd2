//! A stand-in for a worker: runs simulated tasks under leases, with fencing and a capacity check.

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
pub use crate::worker::ledger::AttemptLedger;
pub use crate::worker::ledger::AttemptOutcome;
pub use crate::worker::ledger::LedgerAttempt;
pub use crate::worker::ledger::RunningSpan;
pub use crate::worker::ledger::WorkerPeak;
pub use crate::worker::payload::FailMode;
pub use crate::worker::payload::TaskPayload;
use crate::worker::state::ProcessState;
use crate::worker::state::WorkerState;

/// The time between two steps of the simulation.
const TICK_PERIOD: time::Duration = time::Duration::from_millis(10);

/// The name, capacity and behaviour of a worker.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPlan {
    /// The VM name, as in the ledger.
    pub name: String,
    /// The incarnation; commands for another incarnation are fenced.
    pub incarnation: u64,
    /// The resources of the worker; attempts that together demand more processor time slow
    /// down.
    pub capacity: ResourceVector,
    /// Whether a start that exceeds the capacity gets
    /// [`NoRoom`](sapphirewalk_wire::worker::CommandReply::NoRoom).
    pub capacity_check: bool,
    /// The minimum age of reported measurements, in milliseconds.
    pub report_lag_ms: u64,
    /// The address to listen on; `None` for a loopback port that the system chooses.
    pub address: Option<net::SocketAddr>,
}

/// A running worker. Dropping it ends its attempts with [`AttemptOutcome::WorkerLost`], as the loss
/// of a VM does.
#[derive(Debug)]
pub struct Worker {
    server: HttpServer,
    state: sync::Arc<sync::Mutex<WorkerState>>,
    process: watch::Sender<ProcessState>,
    tick_task: task::JoinHandle<()>,
}

impl Worker {
    /// Starts one incarnation of a worker that records its attempts in `ledger`.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start(plan: WorkerPlan, ledger: AttemptLedger) -> io::Result<Self> {
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

    /// The address that the worker listens on.
    pub const fn address(&self) -> net::SocketAddr {
        self.server.address()
    }

    /// The plan with which the worker was started, with later changes by the `set_` functions.
    pub fn plan(&self) -> WorkerPlan {
        self.state().plan.clone()
    }

    /// Simulates a frozen process: commands wait unanswered, attempts make no progress, and leases
    /// that end are not enforced until [`resume`](Self::resume).
    pub fn pause(&self) {
        self.state().pause(clock::unix_ms());
        self.process.send_replace(ProcessState::Paused);
    }

    /// Ends the pause: attempts whose leases have ended stop first, then waiting commands are
    /// applied.
    pub fn resume(&self) {
        self.state().resume(clock::unix_ms());
        self.process.send_replace(ProcessState::Running);
    }

    /// While `unreachable`, each connection on which a command arrives is closed, and the command
    /// is not applied.
    pub fn set_unreachable(&self, unreachable: bool) {
        self.state().unreachable = unreachable;
    }

    /// Applies the next `count` commands, but closes their connections without an answer.
    pub fn lose_answers(&self, count: u32) {
        self.state().answers_to_lose = count;
    }

    /// Makes every attempt fail at once that starts while `fails` is set; running attempts go on.
    pub fn set_fails_all(&self, fails: bool) {
        self.state().health = if fails {
            WorkerHealth::FailsAll
        } else {
            WorkerHealth::Healthy
        };
    }

    /// While `leaving`, reports carry the leaving flag; the worker's behaviour does not change.
    pub fn set_leaving(&self, leaving: bool) {
        self.state().leaving = leaving;
    }

    /// Changes [`WorkerPlan::capacity_check`].
    pub fn set_capacity_check(&self, capacity_check: bool) {
        self.state().plan.capacity_check = capacity_check;
    }

    /// Changes [`WorkerPlan::report_lag_ms`].
    pub fn set_report_lag_ms(&self, lag_ms: u64) {
        self.state().plan.report_lag_ms = lag_ms;
    }

    /// The sum of the resources granted to running attempts.
    pub fn in_use(&self) -> ResourceVector {
        self.state().in_use()
    }

    /// The number of running attempts.
    pub fn running_count(&self) -> usize {
        self.state().running_count()
    }

    /// The highest epoch of the commands that passed the epoch check; zero before the first.
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
        self.state().end_as_lost(clock::unix_ms());
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
