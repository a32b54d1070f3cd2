//! Starts, stops, freezes and replaces the daemons, endpoints and workers of a fleet.

use std::net;
use std::process;
use std::time;

use rustix::process as unix_process;

use crate::client;
use crate::endpoint::Endpoint;
use crate::fleet::Fleet;
use crate::fleet::READY_PATH;
use crate::fleet::READY_TIMEOUT_SECS;
use crate::fleet::command;
use crate::fleet::entry::DaemonKey;
use crate::fleet::entry::EntryDaemon;
use crate::fleet::entry::EntryKey;
use crate::fleet::error::FleetError;
use crate::fleet::stand_ins;
use crate::fleet::wait;
use crate::worker::Worker;

/// The time limit of one probe of a daemon's admin interface.
const PROBE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

impl Fleet {
    /// Starts a daemon; one that runs is killed first.
    ///
    /// # Errors
    ///
    /// When the process cannot be started.
    pub fn start_daemon(&mut self, key: DaemonKey) -> Result<(), FleetError> {
        let entry_daemon = self.vms[key.vm.0 as usize].daemon_mut(key.daemon);
        let binary = &self.plan.binary;
        let command = command::daemon_command(binary, key.daemon, &entry_daemon.settings_file);
        entry_daemon.child.start(command)?;
        match entry_daemon.child.id() {
            Some(id) => self.watchdog.watch(id),
            None => Ok(()),
        }
    }

    /// Kills a daemon with SIGKILL and waits for its end.
    pub fn kill(&mut self, key: DaemonKey) {
        self.daemon_mut(key).child.kill();
    }

    /// Sends SIGTERM to a daemon, which then shuts down; does not wait for its end.
    ///
    /// # Errors
    ///
    /// When it does not run.
    pub fn terminate(&mut self, key: DaemonKey) -> Result<(), FleetError> {
        self.signal(key, unix_process::Signal::TERM)
    }

    /// Freezes a daemon with SIGSTOP: it makes no progress, but its sockets stay open.
    ///
    /// # Errors
    ///
    /// When it does not run.
    pub fn freeze(&mut self, key: DaemonKey) -> Result<(), FleetError> {
        self.signal(key, unix_process::Signal::STOP)
    }

    /// Continues a frozen daemon with SIGCONT.
    ///
    /// # Errors
    ///
    /// When it does not run.
    pub fn thaw(&mut self, key: DaemonKey) -> Result<(), FleetError> {
        self.signal(key, unix_process::Signal::CONT)
    }

    /// Kills a daemon, starts it again and waits until it is ready.
    ///
    /// # Errors
    ///
    /// When the process cannot be started, ends, or is not ready in time.
    pub async fn restart(&mut self, key: DaemonKey) -> Result<(), FleetError> {
        self.start_daemon(key)?;
        let deadline = wait::seconds_from_now(READY_TIMEOUT_SECS);
        self.await_admin(key, READY_PATH, deadline).await
    }

    /// Kills both daemons of an entry VM and starts them as a new incarnation at the same
    /// addresses; does not wait until they are ready.
    ///
    /// # Errors
    ///
    /// When a settings file cannot be written or a process cannot be started.
    pub fn replace_vm(&mut self, key: EntryKey) -> Result<(), FleetError> {
        self.kill(key.gateway());
        self.kill(key.scheduler());
        self.vms[key.0 as usize].incarnation += 1;
        let vm = self.vm(key);
        self.platform.replace_vm(self.record(vm));
        self.write_vm_settings(key)?;
        self.start_daemon(key.gateway())?;
        self.start_daemon(key.scheduler())
    }

    /// Kills an endpoint, starts a new incarnation of it on another port and publishes that.
    ///
    /// # Errors
    ///
    /// When the new incarnation cannot be started.
    pub async fn replace_endpoint(&mut self, index: usize) -> Result<(), FleetError> {
        self.endpoints[index].kill();
        let name = self.endpoints[index].plan().name.clone();
        let plan = self.endpoints[index].plan().clone();
        let endpoint = Endpoint::start(plan, self.request_ledger.clone())
            .await
            .map_err(FleetError::io("start an endpoint"))?;
        stand_ins::publish_replacement(&self.platform, &name, endpoint.address());
        self.endpoints[index] = endpoint;
        Ok(())
    }

    /// Starts a new incarnation of a worker on another port, drops the old one, whose attempts are
    /// lost, and publishes the new one.
    ///
    /// # Errors
    ///
    /// When the new incarnation cannot be started.
    pub async fn replace_worker(&mut self, index: usize) -> Result<(), FleetError> {
        let mut plan = self.workers[index].plan();
        plan.incarnation += 1;
        let name = plan.name.clone();
        let worker = Worker::start(plan, self.attempt_ledger.clone())
            .await
            .map_err(FleetError::io("start a worker"))?;
        let address = worker.address();
        self.workers[index] = worker;
        stand_ins::publish_replacement(&self.platform, &name, address);
        Ok(())
    }

    /// Waits until a daemon has ended and returns its exit status.
    ///
    /// # Errors
    ///
    /// When the daemon still runs at `deadline`, was never started, or was killed by the harness.
    pub async fn await_exit(
        &mut self,
        key: DaemonKey,
        deadline: time::Instant,
    ) -> Result<process::ExitStatus, FleetError> {
        let child = &mut self.daemon_mut(key).child;
        let mut status = None;
        wait::await_until(deadline, "a daemon has ended", async || {
            status = child.exit_status();
            status.is_some() || !child.is_started()
        })
        .await?;
        status.ok_or_else(|| FleetError::NotRunning {
            process: format!("{key:?}"),
        })
    }

    /// Waits until every daemon is ready.
    ///
    /// # Errors
    ///
    /// When a daemon has ended or is not ready by `deadline`.
    pub async fn await_ready(&mut self, deadline: time::Instant) -> Result<(), FleetError> {
        for key in self.daemons() {
            self.await_admin(key, READY_PATH, deadline).await?;
        }
        Ok(())
    }

    /// Waits until an admin path of a daemon answers 200.
    ///
    /// # Errors
    ///
    /// When the daemon has ended, or does not answer 200 by `deadline`.
    pub async fn await_admin(
        &mut self,
        key: DaemonKey,
        path: &str,
        deadline: time::Instant,
    ) -> Result<(), FleetError> {
        let address = self.admin_address(key);
        let vm = self.vm_name(key.vm);
        let condition = format!("{vm} {} answers 200 at {path}", key.daemon.name());
        let child = &mut self.daemon_mut(key).child;
        wait::await_until(deadline, &condition, async || {
            child.exit_status().is_some() || is_success(address, path).await
        })
        .await?;
        child.check_running()
    }

    fn signal(&mut self, key: DaemonKey, signal: unix_process::Signal) -> Result<(), FleetError> {
        self.daemon_mut(key).child.signal(signal)
    }

    fn daemon_mut(&mut self, key: DaemonKey) -> &mut EntryDaemon {
        self.vms[key.vm.0 as usize].daemon_mut(key.daemon)
    }
}

async fn is_success(address: net::SocketAddr, path: &str) -> bool {
    let answer = tokio::time::timeout(PROBE_TIMEOUT, client::get(address, path)).await;
    matches!(answer, Ok(Ok(answer)) if answer.status.is_success())
}
