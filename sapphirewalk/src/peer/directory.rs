//! The addresses of the other entry VMs: from the settings, then from the VM list.

use std::net;

use sapphirewalk_wire::platform::VmList;
use sapphirewalk_wire::platform::VmRole;
use sapphirewalk_wire::platform::VmState;

use crate::config::PeerSettings;

/// Which daemon of an entry VM is called.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerRole {
    /// The gateway.
    Gateway,
    /// The scheduler.
    Scheduler,
}

/// Where a daemon of another entry VM is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// The VM's name, which its certificate bears.
    pub name: String,
    /// The name of its failure domain.
    pub domain: String,
    /// The daemon's peer address.
    pub address: net::SocketAddr,
}

/// The other entry VMs, sorted by name.
#[derive(Clone, Debug)]
pub struct PeerDirectory {
    own_name: String,
    bootstrap: Vec<PeerSettings>,
    entries: Vec<PeerSettings>,
}

impl PeerDirectory {
    /// Builds a directory from the settings.
    pub fn new(own_name: &str, bootstrap: Vec<PeerSettings>) -> Self {
        let mut directory = Self {
            own_name: own_name.to_owned(),
            bootstrap,
            entries: Vec::new(),
        };
        directory.update(&VmList::default());
        directory
    }

    /// Takes over the addresses of a newer VM list; peers that it lacks stay as in the settings.
    pub fn update(&mut self, list: &VmList) {
        let mut entries = self.bootstrap.clone();
        entries.sort_by(|left, right| left.name.cmp(&right.name));
        for record in &list.vms {
            if record.role != VmRole::Entry || record.name == self.own_name {
                continue;
            }
            let position = entries.binary_search_by(|entry| entry.name.cmp(&record.name));
            match (record.state, parse_entry(record), position) {
                (VmState::Gone, _, _) | (_, None, _) => {}
                (_, Some(entry), Ok(found)) => entries[found] = entry,
                (_, Some(entry), Err(place)) => entries.insert(place, entry),
            }
        }
        self.entries = entries;
    }

    /// The addresses of all peers' daemons of one role.
    pub fn addresses(&self, role: PeerRole) -> Vec<PeerAddress> {
        self.entries
            .iter()
            .map(|entry| address_of(entry, role))
            .collect()
    }

    /// The address of one peer's daemon.
    pub fn find(&self, name: &str, role: PeerRole) -> Option<PeerAddress> {
        let position = self
            .entries
            .binary_search_by(|entry| entry.name.as_str().cmp(name))
            .ok()?;
        Some(address_of(&self.entries[position], role))
    }
}

fn parse_entry(record: &sapphirewalk_wire::platform::VmRecord) -> Option<PeerSettings> {
    let gateway = record.address.parse().ok()?;
    let scheduler = record.scheduler_address.as_ref()?.parse().ok()?;
    Some(PeerSettings {
        name: record.name.clone(),
        domain: record.domain.clone(),
        gateway,
        scheduler,
    })
}

fn address_of(entry: &PeerSettings, role: PeerRole) -> PeerAddress {
    let address = match role {
        PeerRole::Gateway => entry.gateway,
        PeerRole::Scheduler => entry.scheduler,
    };
    PeerAddress {
        name: entry.name.clone(),
        domain: entry.domain.clone(),
        address,
    }
}
