//! Network partitions between entry VMs and between failure domains.

use crate::fleet::Fleet;
use crate::fleet::command::DaemonKind;
use crate::fleet::entry::EntryKey;
use crate::fleet::entry::EntryVm;
use crate::fleet::error::FleetError;
use crate::fleet::plan::FleetPlan;
use crate::fleet::relay::RelayMesh;

impl Fleet {
    /// Drops all datagrams between two entry VMs, in both directions.
    ///
    /// # Panics
    ///
    /// When [`FleetPlan::relays`] is false, as all functions that change links.
    pub fn partition(&self, one: EntryKey, other: EntryKey) {
        self.set_link_down(one, other, true);
    }

    /// Ends a partition between two entry VMs, in both directions.
    pub fn heal(&self, one: EntryKey, other: EntryKey) {
        self.set_link_down(one, other, false);
    }

    /// Drops all datagrams from `from` to `to`; those from `to` to `from` still arrive.
    pub fn partition_one_way(&self, from: EntryKey, to: EntryKey) {
        self.mesh().set_link_down(from, to, true);
    }

    /// Delays all datagrams between two entry VMs by `delay_ms` milliseconds in each direction;
    /// zero for no delay.
    pub fn set_link_delay_ms(&self, one: EntryKey, other: EntryKey, delay_ms: u64) {
        self.mesh().set_delay_ms(one, other, delay_ms);
        self.mesh().set_delay_ms(other, one, delay_ms);
    }

    /// Drops all datagrams between the entry VMs of a failure domain and all others, and blocks the
    /// domain's VMs at the platform. They still reach all endpoints and workers.
    pub fn partition_domain(&self, domain: u32) {
        self.set_domain_down(domain, true);
        for vm in self.domain_vms(domain) {
            self.platform().block_vm(self.vm_name(vm));
        }
    }

    /// Ends the partition of a failure domain from the others and from the platform.
    pub fn heal_domain(&self, domain: u32) {
        self.set_domain_down(domain, false);
        for vm in self.domain_vms(domain) {
            self.platform().unblock_vm(self.vm_name(vm));
        }
    }

    /// The entry VMs of a failure domain, counted from zero; none for an unknown one.
    pub fn domain_vms(&self, domain: u32) -> impl Iterator<Item = EntryKey> + use<> {
        let entry_vms = self.plan.entry_vms;
        self.vms()
            .filter(move |vm| vm.0.checked_div(entry_vms) == Some(domain))
    }

    fn set_domain_down(&self, domain: u32, is_down: bool) {
        let domain_vms: Vec<EntryKey> = self.domain_vms(domain).collect();
        for other in self.vms().filter(|vm| !domain_vms.contains(vm)) {
            for vm in &domain_vms {
                self.set_link_down(*vm, other, is_down);
            }
        }
    }

    fn set_link_down(&self, one: EntryKey, other: EntryKey, is_down: bool) {
        self.mesh().set_link_down(one, other, is_down);
        self.mesh().set_link_down(other, one, is_down);
    }

    fn mesh(&self) -> &RelayMesh {
        assert!(
            self.plan.relays,
            "links between entry VMs need FleetPlan.relays = true"
        );
        &self.mesh
    }
}

/// Starts a relay from each entry VM to both daemons of each other one; none when
/// [`FleetPlan::relays`] is false.
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
                let peer = vms[to.0 as usize].daemon(daemon).listen.peer;
                mesh.start_relay(from, to.daemon(daemon), peer).await?;
            }
        }
    }
    Ok(mesh)
}
