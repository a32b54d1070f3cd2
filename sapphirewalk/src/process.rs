//! Parts that the gateway and scheduler daemons share, and the tasks that run beside both.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic;
use std::time;

use cadence::StatsdClient;
use slog::Logger;
use slog::warn;
use tokio::sync::mpsc;

use sapphirewalk_wire::row::VmIncarnation;

use crate::admin;
use crate::audit::AuditHandle;
use crate::caller_server::CallerServer;
use crate::caller_server::ProcessResources;
use crate::caller_server::ServerLimits;
use crate::clock::ProcessClock;
use crate::config::Settings;
use crate::event::EventName;
use crate::gossip;
use crate::metric;
use crate::peer::GossipState;
use crate::peer::PeerAddress;
use crate::peer::PeerCall;
use crate::peer::PeerDirectory;
use crate::peer::PeerError;
use crate::peer::PeerRole;
use crate::peer::PeerStatus;
use crate::peer::PeerTransport;
use crate::platform;
use crate::platform::PlatformClient;
use crate::platform::VmWatch;
use crate::rollout;
use crate::rollout::RolloutTracker;
use crate::shutdown::ShutdownWatch;
use crate::state::DumpSections;
use crate::traffic::TrafficCounter;

/// Time limit, at shutdown, for storing audit records, and again for closing connections to peers.
const SHUTDOWN_STEP_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Shared parts of a daemon process.
#[derive(Debug)]
pub struct DaemonProcess {
    /// Settings as loaded at start; they do not change.
    pub settings: Settings,
    /// Daemon that this process runs.
    pub role: PeerRole,
    /// Random 64-bit ID in hexadecimal, new at each start, which identifies this process among all
    /// that ever ran on the VM; not the process ID of the operating system.
    pub process_token: String,
    /// Clock for all timestamps and leases of the process.
    pub clock: ProcessClock,
    /// Connections of callers.
    pub callers: Arc<CallerServer>,
    /// Logger whose lines carry the VM name, incarnation and role.
    pub logger: Logger,
    /// Statsd client; discards all metrics if the settings have no receiver.
    pub metrics: StatsdClient,
    /// Client of the platform's table service and object store.
    pub platform: PlatformClient,
    /// Latest VM list of the platform; empty until the first read succeeds.
    pub vms: VmWatch,
    /// Client for calls to peers of both roles.
    pub transport: PeerTransport,
    /// Bytes of commands to workers (scheduler) or of probes of endpoints (gateway).
    pub worker_or_endpoint_traffic: Arc<TrafficCounter>,
    /// Status of this process and of its peers of the same role.
    pub gossip: GossipState,
    /// Rollout in force, and validation of offered ones.
    pub rollout: RolloutTracker,
    /// Audit trail of this process.
    pub audit: AuditHandle,
    /// Sections that the daemon adds to the state dump.
    pub dump_sections: DumpSections,
    /// State of the graceful shutdown, which a signal begins.
    pub shutdown: ShutdownWatch,
    ready: atomic::AtomicBool,
    directory: Mutex<PeerDirectory>,
}

/// Error for which a daemon can't start.
#[derive(Debug)]
pub enum StartError {
    /// An address can't be bound.
    Bind {
        /// Path of the setting with the address.
        setting: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The runtime, signal handlers or metrics can't be set up.
    System(io::Error),
    /// The transport of calls to peers can't be set up.
    Peer(PeerError),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { setting, source } => {
                write!(
                    formatter,
                    "can't bind {setting}: {source}; free the port or change the setting"
                )
            }
            Self::System(source) => write!(
                formatter,
                "can't set up the process: {source}; check the resource limits"
            ),
            Self::Peer(source) => source.fmt(formatter),
        }
    }
}

impl DaemonProcess {
    /// Builds the shared parts and starts their background tasks.
    ///
    /// Calls from peers that depend on the role arrive at the receiver. The request address is not
    /// bound yet.
    ///
    /// # Errors
    ///
    /// If an address can't be bound, a certificate is invalid, or signals or metrics can't be set
    /// up.
    pub async fn start(
        settings: Settings,
        role: PeerRole,
        logger: Logger,
    ) -> Result<(Arc<Self>, mpsc::Receiver<PeerCall>), StartError> {
        let clock = ProcessClock::start();
        let process_token = format!("{:016x}", rand::random::<u64>());
        let platform = PlatformClient::new(settings.platform, &settings.vm.name);
        let (transport, calls) =
            PeerTransport::bind(settings.listen.peer, &settings.tls, logger.clone())
                .map_err(StartError::Peer)?;
        let status = PeerStatus {
            vm: settings.vm.name.clone(),
            incarnation: settings.vm.incarnation,
            ..PeerStatus::default()
        };
        let resources = ProcessResources::of_process(settings.limits);
        let limits = ServerLimits::for_requests(resources);
        let process = Arc::new(Self {
            callers: CallerServer::new("callers", limits, clock, logger.clone()),
            role,
            clock,
            metrics: metric::build(settings.metrics.statsd).map_err(StartError::System)?,
            vms: platform::follow_vms(platform.clone(), logger.clone()),
            transport,
            worker_or_endpoint_traffic: Arc::default(),
            gossip: GossipState::new(status),
            rollout: RolloutTracker::new(&settings, logger.clone()),
            audit: AuditHandle::start(&settings, role, &process_token, platform.clone(), &logger),
            shutdown: ShutdownWatch::install().map_err(StartError::System)?,
            dump_sections: DumpSections::default(),
            ready: atomic::AtomicBool::new(false),
            directory: Mutex::new(PeerDirectory::new(
                &settings.vm.name,
                settings.peers.clone(),
            )),
            platform,
            process_token,
            logger,
            settings,
        });
        let callers = Arc::clone(&process.callers);
        let sections = &process.dump_sections;
        sections.register("callers", move || callers.usage());
        admin::serve(&process, ServerLimits::for_texts(resources))
            .await
            .map_err(|source| StartError::Bind {
                setting: "listen.admin",
                source,
            })?;
        tokio::spawn(rollout::follow(Arc::clone(&process)));
        tokio::spawn(gossip::run(Arc::clone(&process)));
        tokio::spawn(follow_vm_list(Arc::clone(&process)));
        let (sender, receiver) = mpsc::channel(calls.max_capacity());
        tokio::spawn(answer_calls(Arc::clone(&process), calls, sender));
        Ok((process, receiver))
    }

    /// Name and incarnation of the VM that the process runs on.
    pub fn vm_incarnation(&self) -> VmIncarnation {
        VmIncarnation {
            name: self.settings.vm.name.clone(),
            incarnation: self.settings.vm.incarnation,
        }
    }

    /// Addresses of all peers of the same role, sorted by VM name.
    pub fn peer_addresses(&self) -> Vec<PeerAddress> {
        self.peers_with_role(self.role)
    }

    /// Addresses of all peers for a role, sorted by VM name.
    pub fn peers_with_role(&self, role: PeerRole) -> Vec<PeerAddress> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .addresses(role)
    }

    /// Address of the peer of the same role on a VM; `None` if the VM is unknown.
    pub fn find_peer(&self, name: &str) -> Option<PeerAddress> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .find(name, self.role)
    }

    /// Whether the process accepts new work, as set by [`Self::set_ready`]; false at start.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Acquire)
    }

    /// Stores pending audit records and closes the connections to peers, each with a time limit.
    ///
    /// Records that are not stored within the limit are lost; the log states how many.
    pub async fn close(&self) {
        let flush = self.audit.flush();
        if tokio::time::timeout(SHUTDOWN_STEP_TIMEOUT, flush)
            .await
            .is_err()
        {
            warn!(self.logger, "{}", EventName::AuditGap; "waiting" => self.audit.state().waiting);
        }
        let _ = tokio::time::timeout(SHUTDOWN_STEP_TIMEOUT, self.transport.close()).await;
    }

    /// Sets the readiness, and announces a change to all peers.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, atomic::Ordering::Release);
        if self.gossip.own_status().ready != ready {
            self.gossip.announce(|status| status.ready = ready);
        }
    }
}

/// Updates the addresses of peers from each new VM list.
async fn follow_vm_list(process: Arc<DaemonProcess>) {
    let mut vms = process.vms.clone();
    while vms.changed().await.is_ok() {
        let list = vms.borrow_and_update().clone();
        process
            .directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .update(&list);
    }
}

/// Answers calls common to both roles and passes the others on to the daemon.
async fn answer_calls(
    process: Arc<DaemonProcess>,
    mut calls: mpsc::Receiver<PeerCall>,
    daemon: mpsc::Sender<PeerCall>,
) {
    while let Some(call) = calls.recv().await {
        if let gossip::CallStep::Unhandled(call) = gossip::answer(&process, call)
            && daemon.send(call).await.is_err()
        {
            return;
        }
    }
}
