//! Addresses of the other entry VMs, from the settings and the VM list of the platform.

use std::net;

use sapphirewalk_wire::platform::VmList;
use sapphirewalk_wire::platform::VmRole;
use sapphirewalk_wire::platform::VmState;

use crate::config::PeerSettings;

/// Kind of daemon on an entry VM, for this process and for its peers. Status is exchanged only
/// between daemons of the same role.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerRole {
    /// Dispatches requests of callers to endpoints.
    Gateway,
    /// Places batch tasks on workers.
    Scheduler,
}

/// Address of one daemon on another entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerAddress {
    /// Name of the VM. The TLS certificate of the peer must be valid for it.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// UDP address for QUIC connections of peers.
    pub address: net::SocketAddr,
}

/// Addresses of all other entry VMs, sorted by VM name.
#[derive(Clone, Debug)]
pub struct PeerDirectory {
    own_name: String,
    /// Peers of the settings; each stays until the VM list has an address for it.
    bootstrap: Vec<PeerSettings>,
    entries: Vec<PeerSettings>,
}

impl PeerDirectory {
    /// Directory with the peers of the settings only. `own_name` is excluded from VM lists.
    pub fn new(own_name: &str, bootstrap: Vec<PeerSettings>) -> Self {
        let mut directory = Self {
            own_name: own_name.to_owned(),
            bootstrap,
            entries: Vec::new(),
        };
        directory.update(&VmList::default());
        directory
    }

    /// Replaces the entries by those of the settings, overridden by those of a VM list.
    ///
    /// A peer that the list lacks, or lists as gone or without valid addresses, keeps the entry of
    /// the settings.
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
                (_, Some(entry), Err(position)) => entries.insert(position, entry),
            }
        }
        self.entries = entries;
    }

    /// Addresses of all peers for one role, sorted by VM name.
    pub fn addresses(&self, role: PeerRole) -> Vec<PeerAddress> {
        self.entries
            .iter()
            .map(|entry| address_of(entry, role))
            .collect()
    }

    /// Address of one peer for a role; `None` if the VM is unknown.
    pub fn find(&self, name: &str, role: PeerRole) -> Option<PeerAddress> {
        let position = self
            .entries
            .binary_search_by(|entry| entry.name.as_str().cmp(name))
            .ok()?;
        Some(address_of(&self.entries[position], role))
    }
}

/// Entry of a VM record; `None` if an address is missing or malformed.
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
