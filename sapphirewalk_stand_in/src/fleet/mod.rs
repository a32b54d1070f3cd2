//! A fleet for tests: the stand-ins run in the process of the test, and the real daemons as child
//! processes that are killed when it ends.

mod caller;
mod command;
mod directory;
mod entry;
mod error;
mod identity;
mod lifecycle;
mod operator;
mod partition;
mod plan;
mod process;
mod relay;
mod settings;
mod stand_ins;
mod wait;
mod watchdog;

use std::net;

use sapphirewalk_wire::platform::VmRecord;

use crate::endpoint::Endpoint;
use crate::endpoint::RequestLedger;
pub use crate::fleet::caller::CallerRequest;
pub use crate::fleet::caller::cancel_task;
pub use crate::fleet::caller::show_task;
pub use crate::fleet::caller::submit_task;
pub use crate::fleet::caller::task_submission;
pub use crate::fleet::command::DaemonKind;
pub use crate::fleet::directory::TempDirectory;
pub use crate::fleet::entry::DaemonKey;
pub use crate::fleet::entry::EntryKey;
use crate::fleet::entry::EntryVm;
pub use crate::fleet::error::FleetError;
pub use crate::fleet::identity::OperatorIdentity;
use crate::fleet::identity::TestAuthority;
pub use crate::fleet::operator::ReportedRollout;
pub use crate::fleet::plan::FleetPlan;
pub use crate::fleet::plan::SERVICE_NAME;
pub use crate::fleet::plan::USER_NAME;
pub use crate::fleet::plan::short_leases;
use crate::fleet::relay::RelayMesh;
use crate::fleet::settings::LogSection;
use crate::fleet::settings::MetricsSection;
use crate::fleet::settings::OperatorEntry;
use crate::fleet::settings::PeerEntry;
use crate::fleet::settings::PlatformSection;
use crate::fleet::settings::ProcessSettings;
pub use crate::fleet::wait::await_until;
pub use crate::fleet::wait::seconds_from_now;
use crate::fleet::watchdog::FleetWatchdog;
use crate::platform::Platform;
use crate::worker::AttemptLedger;
use crate::worker::Worker;

/// Admin path that answers 200 while the process runs.
pub const LIVE_PATH: &str = "/live";
/// Admin path that answers 200 when the process is ready to serve.
pub const READY_PATH: &str = "/ready";
/// Admin path of the state dump, a JSON document.
pub const STATE_PATH: &str = "/state";
/// The name of the operator whose signatures the daemons accept.
const OPERATOR_NAME: &str = "op1";
/// The VM name in the settings of the operator's commands.
const OPERATOR_VM_NAME: &str = "operator";
/// The address in the VM list of an entry VM that is reachable through relays only. It is no valid
/// address, so peers cannot bypass the relays.
const UNLISTED_ADDRESS: &str = "unlisted";
/// How many times the start is tried when another program uses a reserved port.
const START_TRIES: u32 = 3;
/// How long to wait until the daemons are ready, in seconds.
const READY_TIMEOUT_SECS: u64 = 30;

/// A running fleet. Dropping it kills its processes and removes its files.
#[derive(Debug)]
pub struct Fleet {
    // Fields are dropped in this order: the processes first, the directory last.
    vms: Vec<EntryVm>,
    watchdog: FleetWatchdog,
    mesh: RelayMesh,
    endpoints: Vec<Endpoint>,
    workers: Vec<Worker>,
    platform: Platform,
    request_ledger: RequestLedger,
    attempt_ledger: AttemptLedger,
    plan: FleetPlan,
    operator: OperatorIdentity,
    operator_vm: EntryVm,
    directory: TempDirectory,
}

impl Fleet {
    /// Starts the stand-ins, rolls out the plan's bundle, starts all daemons, and waits until they
    /// are ready, or without a bundle until they are live.
    ///
    /// # Errors
    ///
    /// When a part of the fleet cannot be started, the rollout fails, or a daemon is not ready in
    /// time. In the last two cases the ends of all logs are printed.
    pub async fn start(plan: FleetPlan) -> Result<Self, FleetError> {
        let mut tries_left = START_TRIES;
        loop {
            tries_left -= 1;
            let mut fleet = Self::prepare(plan.clone()).await?;
            match fleet.start_all().await {
                Ok(()) => return Ok(fleet),
                Err(error) if error.is_port_in_use() && tries_left > 0 => {}
                Err(error) => {
                    fleet.print_log_tails();
                    return Err(error);
                }
            }
        }
    }

    /// Starts the stand-ins and writes all files, but starts no daemon and rolls out no bundle.
    ///
    /// # Errors
    ///
    /// When the binary is missing, no port is free or a file cannot be written.
    pub async fn prepare(plan: FleetPlan) -> Result<Self, FleetError> {
        if !plan.binary.is_file() {
            return Err(FleetError::NoBinary(plan.binary));
        }
        let directory = TempDirectory::create()?;
        let platform = Platform::start()
            .await
            .map_err(FleetError::io("start the platform"))?;
        let request_ledger = RequestLedger::new();
        let attempt_ledger = AttemptLedger::new();
        let endpoints = stand_ins::start_endpoints(&plan, &platform, &request_ledger).await?;
        let workers = stand_ins::start_workers(&plan, &platform, &attempt_ledger).await?;
        let (vms, operator_vm) = build_entry_vms(&plan, &directory)?;
        let mesh = partition::start_relays(&plan, &vms).await?;
        let operator = OperatorIdentity::create(&directory, OPERATOR_NAME)?;
        let fleet = Self {
            vms,
            watchdog: FleetWatchdog::start(directory.path())?,
            mesh,
            endpoints,
            workers,
            platform,
            request_ledger,
            attempt_ledger,
            plan,
            operator,
            operator_vm,
            directory,
        };
        fleet.write_settings()?;
        for vm in &fleet.vms {
            fleet.platform.publish_vm(fleet.record(vm));
        }
        Ok(fleet)
    }

    /// The stand-in of the platform, for faults and checks.
    pub const fn platform(&self) -> &Platform {
        &self.platform
    }

    /// The endpoints, those of the first failure domain first. Number N of failure domain D has the
    /// name `pD-N`, both from zero.
    pub fn endpoints(&self) -> &[Endpoint] {
        &self.endpoints
    }

    /// An endpoint by its index in [`endpoints`](Self::endpoints), for [`Endpoint::kill`].
    pub fn endpoint_mut(&mut self, index: usize) -> &mut Endpoint {
        &mut self.endpoints[index]
    }

    /// The workers, those of the first failure domain first. Number N of failure domain D has the
    /// name `wD-N`, both from zero.
    pub fn workers(&self) -> &[Worker] {
        &self.workers
    }

    /// The ledger of the requests that ran on all endpoints, replaced ones included.
    pub const fn request_ledger(&self) -> &RequestLedger {
        &self.request_ledger
    }

    /// The ledger of the attempts that ran on all workers, replaced ones included.
    pub const fn attempt_ledger(&self) -> &AttemptLedger {
        &self.attempt_ledger
    }

    /// The directory with the settings files, keys, bundles and logs.
    pub const fn directory(&self) -> &TempDirectory {
        &self.directory
    }

    /// The operator whose signatures the daemons accept.
    pub const fn operator(&self) -> &OperatorIdentity {
        &self.operator
    }

    /// All entry VMs, those of the first failure domain first.
    pub fn vms(&self) -> impl Iterator<Item = EntryKey> + use<> {
        (0..self.plan.domains * self.plan.entry_vms).map(EntryKey)
    }

    /// All daemons: of each entry VM the gateway, then the scheduler.
    pub fn daemons(&self) -> impl Iterator<Item = DaemonKey> + use<> {
        self.vms().flat_map(|vm| [vm.gateway(), vm.scheduler()])
    }

    /// The name of an entry VM, `eD-N` for number N of failure domain D, both from zero.
    pub fn vm_name(&self, vm: EntryKey) -> &str {
        &self.vm(vm).name
    }

    /// The incarnation of an entry VM: 1 at the start, one more after each
    /// [`replace_vm`](Self::replace_vm).
    pub fn vm_incarnation(&self, vm: EntryKey) -> u64 {
        self.vm(vm).incarnation
    }

    /// The address at which a gateway serves requests, or a scheduler the task interface.
    pub fn request_address(&self, key: DaemonKey) -> net::SocketAddr {
        self.vm(key.vm).daemon(key.daemon).listen.request
    }

    /// The address of a daemon's admin interface.
    pub fn admin_address(&self, key: DaemonKey) -> net::SocketAddr {
        self.vm(key.vm).daemon(key.daemon).listen.admin
    }

    /// The process ID of a daemon; `None` when it was not started or was killed.
    pub fn process_id(&self, key: DaemonKey) -> Option<u32> {
        self.vm(key.vm).daemon(key.daemon).child.id()
    }

    /// The whole standard output followed by the whole standard error of a daemon, over all its
    /// runs.
    pub fn log(&self, key: DaemonKey) -> String {
        self.vm(key.vm).daemon(key.daemon).child.log()
    }

    /// Prints the ends of all daemons' logs to standard error.
    pub fn print_log_tails(&self) {
        for key in self.daemons() {
            eprintln!("{}", self.vm(key.vm).daemon(key.daemon).child.log_tail());
        }
    }

    async fn start_all(&mut self) -> Result<(), FleetError> {
        let bundle = self.plan.bundle.clone();
        if let Some(bundle) = &bundle {
            self.roll_out_bundle(bundle, "first rollout").await?;
        }
        for key in self.daemons() {
            self.start_daemon(key)?;
        }
        let path = match bundle {
            Some(_) => READY_PATH,
            None => LIVE_PATH,
        };
        let deadline = wait::seconds_from_now(READY_TIMEOUT_SECS);
        for key in self.daemons() {
            self.await_admin(key, path, deadline).await?;
        }
        Ok(())
    }

    fn write_settings(&self) -> Result<(), FleetError> {
        for key in self.vms() {
            self.write_vm_settings(key)?;
        }
        let common = self.common_settings();
        self.operator_vm.write_settings(&self.directory, &common)
    }

    fn write_vm_settings(&self, key: EntryKey) -> Result<(), FleetError> {
        let mut settings = self.common_settings();
        settings.peers = self.vms().map(|peer| self.peer_entry(key, peer)).collect();
        self.vm(key).write_settings(&self.directory, &settings)
    }

    /// The peer entry of `to` in the settings of `from`, with the addresses of the relays if there
    /// are any.
    fn peer_entry(&self, from: EntryKey, to: EntryKey) -> PeerEntry {
        let direct = self.vm(to).peer_entry();
        let relay = |daemon| self.mesh.address(from, to, daemon);
        PeerEntry {
            gateway: relay(DaemonKind::Gateway).unwrap_or(direct.gateway),
            scheduler: relay(DaemonKind::Scheduler).unwrap_or(direct.scheduler),
            ..direct
        }
    }

    /// The record of an entry VM for the platform's VM list. With relays it has no usable address,
    /// so that peers use those of their settings files.
    fn record(&self, vm: &EntryVm) -> VmRecord {
        let mut record = vm.record();
        if self.plan.relays {
            record.address = UNLISTED_ADDRESS.to_owned();
            record.scheduler_address = None;
        }
        record
    }

    /// The sections that are equal in all settings files; each VM adds its own.
    fn common_settings(&self) -> ProcessSettings {
        let address = self.platform.address();
        ProcessSettings {
            vm: None,
            listen: None,
            platform: PlatformSection {
                table: address,
                objects: address,
                vm_list: address,
                timeout_ms: self.plan.platform_timeout_ms,
            },
            tls: None,
            peers: self.vms.iter().map(EntryVm::peer_entry).collect(),
            operators: vec![OperatorEntry {
                name: self.operator.name.clone(),
                public_key: self.operator.public_key.clone(),
            }],
            signatures_required: 1,
            metrics: self.plan.statsd.map(|statsd| MetricsSection { statsd }),
            log: LogSection {
                level: self.plan.log_level.clone(),
            },
            limits: self.plan.limits.clone(),
            scheduler: self.plan.scheduler.clone(),
        }
    }

    fn vm(&self, key: EntryKey) -> &EntryVm {
        &self.vms[key.0 as usize]
    }
}

/// All entry VMs, and one more for the operator's commands, which runs no daemon.
fn build_entry_vms(
    plan: &FleetPlan,
    directory: &TempDirectory,
) -> Result<(Vec<EntryVm>, EntryVm), FleetError> {
    let authority = TestAuthority::create(directory)?;
    let vm_ports = entry::DAEMON_PORTS * DaemonKind::ALL.len();
    let count = (plan.domains * plan.entry_vms) as usize;
    let ports = directory::reserve_ports((count + 1) * vm_ports)?;
    let (entry_ports, operator_ports) = ports.split_at(count * vm_ports);
    let mut vms = Vec::with_capacity(count);
    for (index, ports) in entry_ports.chunks(vm_ports).enumerate() {
        let domain = index as u32 / plan.entry_vms;
        let name = format!("e{domain}-{}", index as u32 % plan.entry_vms);
        let identity = authority.issue(directory, &name)?;
        let domain = plan::domain_name(domain);
        vms.push(EntryVm::new(directory, &name, &domain, identity, ports));
    }
    // The binary needs complete settings for operators' commands too, but does not listen.
    let identity = authority.issue(directory, OPERATOR_VM_NAME)?;
    let domain = plan::domain_name(0);
    let operator_vm = EntryVm::new(
        directory,
        OPERATOR_VM_NAME,
        &domain,
        identity,
        operator_ports,
    );
    Ok((vms, operator_vm))
}
