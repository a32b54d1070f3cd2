//! Updates services, kinds and endpoints when the bundle in force or the VM list changes.

use std::sync::Arc;

use sapphirewalk_core::admission::KindPolicy;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::NameArena;
use sapphirewalk_core::slot_share::EndpointCapacity;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::bundle::KindUrgency;
use sapphirewalk_wire::platform::VmList;
use sapphirewalk_wire::platform::VmRecord;
use sapphirewalk_wire::platform::VmRole;
use sapphirewalk_wire::platform::VmState;

use crate::gateway::endpoint_entry::EndpointEntry;
use crate::gateway::leaving;
use crate::gateway::service::ServiceState;
use crate::gateway::state::Gateway;
use crate::peer::LeavingVm;

/// Expected run time of a kind until its first request has ended.
const INITIAL_RUN_TIME: TimeSpan = TimeSpan::from_millis(1);

/// Applies each change of the bundle and the VM list until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    let mut vms = gateway.process.vms.clone();
    let mut rollout = gateway.process.rollout.watch();
    loop {
        let list = vms.borrow_and_update().clone();
        let current = rollout.borrow_and_update().clone();
        if let Some(current) = current {
            update_services(&gateway, &current.document);
            update_endpoints(&gateway, &list);
            for service in &current.document.services {
                gateway.grant_waiting(&service.name);
            }
        }
        tokio::select! {
            changed = vms.changed() => if changed.is_err() { return },
            changed = rollout.changed() => if changed.is_err() { return },
        }
    }
}

fn update_services(gateway: &Gateway, document: &BundleDocument) {
    let queue_limit = gateway.process.settings.gateway.queue_requests_max;
    let mut table = gateway.table();
    for entry in &document.services {
        let capacity = EndpointCapacity {
            slots: entry.slots,
            connections: entry.connections,
        };
        let policies = kind_policies(document, &entry.name, queue_limit, &mut table.kinds);
        match table.search_service(&entry.name) {
            Ok(position) => {
                let service = &mut table.services[position];
                service.capacity = capacity;
                service.admission.set_policies(&policies);
            }
            Err(insert_at) => {
                let service = ServiceState::new(&entry.name, capacity, &policies);
                table.services.insert(insert_at, service);
            }
        }
    }
}

fn kind_policies(
    document: &BundleDocument,
    service: &str,
    queue_limit: usize,
    kinds: &mut NameArena<KindKey>,
) -> Vec<KindPolicy> {
    let of_service = document
        .kinds
        .iter()
        .filter(|kind| kind.service.as_deref() == Some(service));
    of_service
        .map(|kind| KindPolicy {
            kind: kinds.intern(&kind.name),
            urgency: urgency_level(kind.urgency),
            weight: kind.weight,
            floor_permille: kind.floor_permille,
            queue_limit,
            initial_run_time: INITIAL_RUN_TIME,
        })
        .collect()
}

const fn urgency_level(urgency: KindUrgency) -> u8 {
    match urgency {
        KindUrgency::Batch => 0,
        KindUrgency::Normal => 1,
        KindUrgency::Urgent => 2,
    }
}

fn update_endpoints(gateway: &Arc<Gateway>, list: &VmList) {
    let domain = &gateway.process.settings.vm.domain;
    let listed: Vec<&VmRecord> = list
        .vms
        .iter()
        .filter(|vm| vm.role == VmRole::Endpoint && vm.domain == *domain)
        .collect();
    for record in &listed {
        match record.state {
            VmState::Live => put_endpoint(gateway, record),
            VmState::Leaving | VmState::Gone => {
                let mark = LeavingVm {
                    name: record.name.clone(),
                    incarnation: record.incarnation,
                };
                leaving::record(gateway, mark, "vm_list");
            }
        }
    }
    unlist_missing(gateway, &listed);
}

fn put_endpoint(gateway: &Gateway, record: &VmRecord) {
    let Ok(address) = record.address.parse() else {
        return;
    };
    let Some(service) = record.service.clone() else {
        return;
    };
    let mut table = gateway.table();
    let Some(capacity) = table.service(&service).map(|service| service.capacity) else {
        return;
    };
    let entry = EndpointEntry::new(record.name.clone(), record.incarnation, address, service);
    table.put_endpoint(&entry, capacity);
}

fn unlist_missing(gateway: &Gateway, listed: &[&VmRecord]) {
    let is_live = |entry: &EndpointEntry| {
        listed.iter().any(|vm| {
            vm.name == entry.name
                && vm.incarnation == entry.incarnation
                && vm.state == VmState::Live
        })
    };
    let mut table = gateway.table();
    let missing: Vec<EndpointKey> = table
        .entries()
        .filter(|(_, entry)| entry.is_listed && !is_live(entry))
        .map(|(key, _)| key)
        .collect();
    for key in &missing {
        table.unlist_endpoint(*key);
    }
    drop(table);
    gateway.pool.retain(|key| !missing.contains(&key));
}
