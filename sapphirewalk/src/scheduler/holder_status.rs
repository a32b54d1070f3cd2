//! What a shard's row and the VM list show about the shard's holder and workers.

use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::platform::VmList;
use sapphirewalk_wire::platform::VmRecord;
use sapphirewalk_wire::platform::VmRole;
use sapphirewalk_wire::platform::VmState;
use sapphirewalk_wire::row::ShardRow;
use sapphirewalk_wire::row::VmIncarnation;

use crate::scheduler::name;
use crate::scheduler::name::ShardName;

/// Whether the holder in a shard's row may still act for the shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderStatus {
    /// The row is absent: the shard never had a holder.
    Absent,
    /// The row names no holder, since the last one released the shard.
    Released,
    /// The VM list shows the holder's incarnation as gone, or a newer incarnation of its name.
    HolderGone,
    /// The holder was an earlier process of this VM incarnation. It has ended, since this process
    /// has bound its port.
    ProcessReplaced,
    /// The holder may be alive.
    Held,
}

impl HolderStatus {
    /// Why the shard may be acquired, for the audit record.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Absent => "it had no holder",
            Self::Released => "its holder released it",
            Self::HolderGone => "the platform lists its holder's VM as gone",
            Self::ProcessReplaced => "its holder's process was replaced by this one",
            Self::Held => "its row was not renewed for longer than silence_ms",
        }
    }
}

/// Classifies the holder in a shard's row; `None` is an absent row. `own` is this VM. The
/// row must not name the calling process as the holder.
pub fn classify(row: Option<&ShardRow>, own: &VmIncarnation, list: &VmList) -> HolderStatus {
    let Some(row) = row else {
        return HolderStatus::Absent;
    };
    match &row.holder {
        None => HolderStatus::Released,
        Some(holder) if holder == own => HolderStatus::ProcessReplaced,
        Some(holder) if is_gone(holder, list) => HolderStatus::HolderGone,
        Some(_) => HolderStatus::Held,
    }
}

/// Whether the list shows that this incarnation of a VM is gone for good: it is listed as gone, or
/// a newer incarnation is listed. An incarnation that is merely missing from the list is not gone.
pub fn is_gone(incarnation: &VmIncarnation, list: &VmList) -> bool {
    list.vms
        .iter()
        .filter(|record| record.name == incarnation.name)
        .any(|record| {
            record.incarnation > incarnation.incarnation
                || (record.incarnation == incarnation.incarnation && record.state == VmState::Gone)
        })
}

/// Whether the list has entry VMs of the failure domain and all of them are gone.
pub fn is_domain_gone(domain: &str, list: &VmList) -> bool {
    let mut entries = list
        .vms
        .iter()
        .filter(|record| record.role == VmRole::Entry && record.domain == domain)
        .peekable();
    entries.peek().is_some() && entries.all(|record| record.state == VmState::Gone)
}

/// The VM list's records of a shard's workers, in the order of the list: by name, then incarnation.
pub fn workers_of(shard: &ShardName, document: &BundleDocument, list: &VmList) -> Vec<VmRecord> {
    let Some(entry) = document
        .domains
        .iter()
        .find(|entry| entry.name == shard.domain)
    else {
        return Vec::new();
    };
    list.vms
        .iter()
        .filter(|record| record.role == VmRole::Worker && record.domain == shard.domain)
        .filter(|record| name::rack_shard(&record.rack, entry).as_ref() == Some(shard))
        .cloned()
        .collect()
}
