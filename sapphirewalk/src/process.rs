//! What every daemon is built from: settings, clock, logs, platform, peers, rollout, audit.

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

use sapphirewalk_wire::row::VmName;

use crate::admin;
use crate::audit::AuditHandle;
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
use crate::state::StateRegistry;
use crate::traffic::TrafficCounter;

/// How long a process that ends tries to store its audit records.
const FLUSH_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// The parts that every daemon shares.
#[derive(Debug)]
pub struct DaemonProcess {
    /// The settings.
    pub settings: Settings,
    /// Which daemon this is.
    pub role: PeerRole,
    /// Identifies this process among all that ever ran on this VM.
    pub process_id: String,
    /// The clock.
    pub clock: ProcessClock,
    /// The logger.
    pub logger: Logger,
    /// The metrics client.
    pub metrics: StatsdClient,
    /// The platform's table service and object store.
    pub platform: PlatformClient,
    /// The platform's VM list.
    pub vms: VmWatch,
    /// Connections to peers of both roles.
    pub transport: PeerTransport,
    /// Commands to workers, or probes of endpoints.
    pub link_traffic: Arc<TrafficCounter>,
    /// Status of this process and of its peers.
    pub gossip: GossipState,
    /// The rollout in force.
    pub rollout: RolloutTracker,
    /// The audit trail.
    pub audit: AuditHandle,
    /// Sections of the state dump.
    pub state: StateRegistry,
    /// The process's signals.
    pub shutdown: ShutdownWatch,
    ready: atomic::AtomicBool,
    directory: Mutex<PeerDirectory>,
}

/// Why a daemon could not start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound.
    Bind {
        /// The setting at fault.
        setting: &'static str,
        /// What the system said.
        source: io::Error,
    },
    /// Signals or metrics could not be set up.
    System(io::Error),
    /// Peers could not be set up.
    Peer(PeerError),
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { setting, source } => {
                write!(
                    formatter,
                    "{setting}: {source}; free the port or change the setting"
                )
            }
            Self::System(source) => write!(formatter, "{source}; check the process's limits"),
            Self::Peer(source) => source.fmt(formatter),
        }
    }
}

impl DaemonProcess {
    /// Builds the parts and starts what runs beside every daemon. Calls from peers that the daemon
    /// must answer arrive at the receiver. Nothing serves callers yet.
    ///
    /// # Errors
    ///
    /// When an address can't be bound or a certificate not be read.
    pub async fn start(
        settings: Settings,
        role: PeerRole,
        logger: Logger,
    ) -> Result<(Arc<Self>, mpsc::Receiver<PeerCall>), StartError> {
        let clock = ProcessClock::start();
        let process_id = format!("{:016x}", rand::random::<u64>());
        let platform = PlatformClient::new(settings.platform, &settings.vm.name);
        let (transport, calls) =
            PeerTransport::bind(settings.listen.peer, &settings.tls, logger.clone())
                .map_err(StartError::Peer)?;
        let status = PeerStatus {
            vm: settings.vm.name.clone(),
            incarnation: settings.vm.incarnation,
            ..PeerStatus::default()
        };
        let process = Arc::new(Self {
            role,
            clock,
            metrics: metric::build(settings.metrics.statsd).map_err(StartError::System)?,
            vms: platform::follow_vms(platform.clone(), logger.clone()),
            transport,
            link_traffic: Arc::default(),
            gossip: GossipState::new(status),
            rollout: RolloutTracker::new(&settings, logger.clone()),
            audit: AuditHandle::start(&settings, role, &process_id, platform.clone(), &logger),
            shutdown: ShutdownWatch::install().map_err(StartError::System)?,
            state: StateRegistry::default(),
            ready: atomic::AtomicBool::new(false),
            directory: Mutex::new(PeerDirectory::new(
                &settings.vm.name,
                settings.peers.clone(),
            )),
            platform,
            process_id,
            logger,
            settings,
        });
        admin::serve(&process)
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

    /// This incarnation of the VM.
    pub fn vm_name(&self) -> VmName {
        VmName {
            name: self.settings.vm.name.clone(),
            incarnation: self.settings.vm.incarnation,
        }
    }

    /// The peers of the same role.
    pub fn peer_addresses(&self) -> Vec<PeerAddress> {
        self.peers_with_role(self.role)
    }

    /// The peers of a role.
    pub fn peers_with_role(&self, role: PeerRole) -> Vec<PeerAddress> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .addresses(role)
    }

    /// A peer of the same role by VM name.
    pub fn find_peer(&self, name: &str) -> Option<PeerAddress> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .find(name, self.role)
    }

    /// Whether the process takes new work.
    pub fn is_ready(&self) -> bool {
        self.ready.load(atomic::Ordering::Acquire)
    }

    /// Stores what the audit trail still holds and closes the connections to peers; gives up on an
    /// unreachable platform after a bound.
    pub async fn close(&self) {
        let flush = self.audit.flush();
        if tokio::time::timeout(FLUSH_TIMEOUT, flush).await.is_err() {
            warn!(self.logger, "{}", EventName::AuditGap; "waiting" => self.audit.state().waiting);
        }
        let _ = tokio::time::timeout(FLUSH_TIMEOUT, self.transport.close()).await;
    }

    /// Says whether the process takes new work.
    pub fn set_ready(&self, ready: bool) {
        self.ready.store(ready, atomic::Ordering::Release);
        if self.gossip.own_status().ready != ready {
            self.gossip.announce(|status| status.ready = ready);
        }
    }
}

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
