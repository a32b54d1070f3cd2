//! An entry VM of the fleet and its two daemons.

use std::net;
use std::path;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::platform as wire;

use crate::fleet::command::DaemonKind;
use crate::fleet::directory::TempDirectory;
use crate::fleet::error::FleetError;
use crate::fleet::identity::IdentityFiles;
use crate::fleet::process::ChildProcess;
use crate::fleet::settings::ListenSection;
use crate::fleet::settings::PeerEntry;
use crate::fleet::settings::ProcessSettings;
use crate::fleet::settings::TlsSection;
use crate::fleet::settings::VmSection;

/// The number of ports of one daemon: requests, admin and peers.
pub(super) const DAEMON_PORTS: usize = 3;

/// The index of an entry VM in the fleet, from zero. The VMs of the first failure domain come
/// first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct EntryKey(pub u32);

/// Identifies a daemon of the fleet.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct DaemonKey {
    /// The entry VM that runs the daemon.
    pub vm: EntryKey,
    /// The kind of the daemon.
    pub daemon: DaemonKind,
}

/// The addresses, settings file and process of a daemon.
#[derive(Debug)]
pub(super) struct EntryDaemon {
    pub listen: ListenSection,
    pub settings_file: path::PathBuf,
    pub child: ChildProcess,
}

/// An entry VM with its certificate and both daemons.
#[derive(Debug)]
pub(super) struct EntryVm {
    pub name: String,
    pub domain: String,
    /// Starts at 1 and rises when the VM is replaced.
    pub incarnation: u64,
    identity: IdentityFiles,
    gateway: EntryDaemon,
    scheduler: EntryDaemon,
}

impl EntryKey {
    /// The VM's daemon of a kind.
    pub const fn daemon(self, daemon: DaemonKind) -> DaemonKey {
        DaemonKey { vm: self, daemon }
    }

    /// The VM's gateway.
    pub const fn gateway(self) -> DaemonKey {
        self.daemon(DaemonKind::Gateway)
    }

    /// The VM's scheduler.
    pub const fn scheduler(self) -> DaemonKey {
        self.daemon(DaemonKind::Scheduler)
    }
}

impl EntryDaemon {
    fn new(
        directory: &TempDirectory,
        vm: &str,
        daemon: DaemonKind,
        ports: &[net::SocketAddr],
    ) -> Self {
        let daemon = daemon.name();
        let output_file = directory.file(&format!("{vm}.{daemon}.out"));
        let error_file = directory.file(&format!("{vm}.{daemon}.err"));
        Self {
            listen: ListenSection {
                request: ports[0],
                admin: ports[1],
                peer: ports[2],
            },
            settings_file: directory.file(&format!("{vm}.{daemon}.json")),
            child: ChildProcess::new(format!("{vm} {daemon}"), output_file, error_file),
        }
    }
}

impl EntryVm {
    /// A VM in its first incarnation. The first [`DAEMON_PORTS`] of `ports` go to the gateway, as
    /// many to the scheduler.
    pub fn new(
        directory: &TempDirectory,
        name: &str,
        domain: &str,
        identity: IdentityFiles,
        ports: &[net::SocketAddr],
    ) -> Self {
        let (gateway_ports, scheduler_ports) = ports.split_at(DAEMON_PORTS);
        let (gateway, scheduler) = (DaemonKind::Gateway, DaemonKind::Scheduler);
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            incarnation: 1,
            identity,
            gateway: EntryDaemon::new(directory, name, gateway, gateway_ports),
            scheduler: EntryDaemon::new(directory, name, scheduler, scheduler_ports),
        }
    }

    pub const fn daemon(&self, daemon: DaemonKind) -> &EntryDaemon {
        match daemon {
            DaemonKind::Gateway => &self.gateway,
            DaemonKind::Scheduler => &self.scheduler,
        }
    }

    pub const fn daemon_mut(&mut self, daemon: DaemonKind) -> &mut EntryDaemon {
        match daemon {
            DaemonKind::Gateway => &mut self.gateway,
            DaemonKind::Scheduler => &mut self.scheduler,
        }
    }

    /// The entry of this VM in the settings files of its peers.
    pub fn peer_entry(&self) -> PeerEntry {
        PeerEntry {
            name: self.name.clone(),
            domain: self.domain.clone(),
            gateway: self.gateway.listen.peer,
            scheduler: self.scheduler.listen.peer,
        }
    }

    /// The record of this VM for the platform's VM list.
    pub fn record(&self) -> wire::VmRecord {
        wire::VmRecord {
            name: self.name.clone(),
            incarnation: self.incarnation,
            role: wire::VmRole::Entry,
            domain: self.domain.clone(),
            rack: format!("entry-{}", self.domain),
            address: self.gateway.listen.peer.to_string(),
            scheduler_address: Some(self.scheduler.listen.peer.to_string()),
            service: None,
            resources: ResourceVector::ZERO,
            state: wire::VmState::Live,
        }
    }

    /// Writes the settings files of both daemons: `common` with the sections of this VM, and
    /// without its own peer entry.
    pub fn write_settings(
        &self,
        directory: &TempDirectory,
        common: &ProcessSettings,
    ) -> Result<(), FleetError> {
        for daemon in DaemonKind::ALL {
            let entry_daemon = self.daemon(daemon);
            let mut settings = common.clone();
            settings.vm = Some(VmSection {
                name: self.name.clone(),
                incarnation: self.incarnation,
                domain: self.domain.clone(),
            });
            settings.listen = Some(entry_daemon.listen);
            settings.tls = Some(TlsSection {
                ca_file: self.identity.ca_file.clone(),
                certificate_file: self.identity.certificate_file.clone(),
                key_file: self.identity.key_file.clone(),
            });
            settings.peers.retain(|peer| peer.name != self.name);
            let text = serde_json::to_string_pretty(&settings).map_err(FleetError::Document)?;
            directory.write(&format!("{}.{}.json", self.name, daemon.name()), &text)?;
        }
        Ok(())
    }
}
