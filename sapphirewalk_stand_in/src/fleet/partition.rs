//! Cutting entry VMs and failure domains off, and healing the cuts.

use crate::fleet::Fleet;
use crate::fleet::command::DaemonKind;
use crate::fleet::entry::EntryKey;
use crate::fleet::entry::EntryVm;
use crate::fleet::error::FleetError;
use crate::fleet::plan::FleetPlan;
use crate::fleet::relay::RelayMesh;

impl Fleet {
    /// Cuts two entry VMs off from each other.
    ///
    /// # Panics
    ///
    /// As all changes of links: when the plan has no relays.
    pub fn partition(&self, one: EntryKey, other: EntryKey) {
        self.set_cut(one, other, true);
    }

    /// Ends the cut between two entry VMs.
    pub fn heal(&self, one: EntryKey, other: EntryKey) {
        self.set_cut(one, other, false);
    }

    /// Drops all that `from` sends to `to`; what `to` sends still arrives.
    pub fn partition_one_way(&self, from: EntryKey, to: EntryKey) {
        self.mesh().set_cut(from, to, true);
    }

    /// Delays what two entry VMs send to each other, by this much in each direction.
    pub fn set_link_delay_ms(&self, one: EntryKey, other: EntryKey, delay_ms: u64) {
        self.mesh().set_delay_ms(one, other, delay_ms);
        self.mesh().set_delay_ms(other, one, delay_ms);
    }

    /// Cuts the entry VMs of a failure domain off from all others and from the platform. They go
    /// on reaching the domain's endpoints and workers.
    pub fn partition_domain(&self, domain: u32) {
        self.set_domain_cut(domain, true);
        for vm in self.domain_vms(domain) {
            self.platform().block_caller(self.vm_name(vm));
        }
    }

    /// Ends the cut of a failure domain.
    pub fn heal_domain(&self, domain: u32) {
        self.set_domain_cut(domain, false);
        for vm in self.domain_vms(domain) {
            self.platform().unblock_caller(self.vm_name(vm));
        }
    }

    /// The entry VMs of a failure domain.
    pub fn domain_vms(&self, domain: u32) -> impl Iterator<Item = EntryKey> + use<> {
        let entry_vms = self.plan.entry_vms;
        self.vms()
            .filter(move |vm| vm.0.checked_div(entry_vms) == Some(domain))
    }

    fn set_domain_cut(&self, domain: u32, is_cut: bool) {
        let inside: Vec<EntryKey> = self.domain_vms(domain).collect();
        for other in self.vms().filter(|vm| !inside.contains(vm)) {
            for vm in &inside {
                self.set_cut(*vm, other, is_cut);
            }
        }
    }

    fn set_cut(&self, one: EntryKey, other: EntryKey, is_cut: bool) {
        self.mesh().set_cut(one, other, is_cut);
        self.mesh().set_cut(other, one, is_cut);
    }

    fn mesh(&self) -> &RelayMesh {
        assert!(self.plan.relays, "set FleetPlan.relays");
        &self.mesh
    }
}

/// Starts the plan's relays: from each entry VM to both daemons of each other one.
pub(super) async fn start_relays(
    plan: &FleetPlan,
    vms: &[EntryVm],
) -> Result<RelayMesh, FleetError> {
    let count = plan.domains * plan.entry_vms;
    let mut mesh = RelayMesh::new(count);
    if !plan.relays {
        return Ok(mesh);
    }
    for from in (0..count).map(EntryKey) {
        for to in (0..count).map(EntryKey).filter(|to| *to != from) {
            for daemon in DaemonKind::ALL {
                let peer = vms[to.0 as usize].slot(daemon).listen.peer;
                mesh.start_relay(from, to.daemon(daemon), peer).await?;
            }
        }
    }
    Ok(mesh)
}
