//! Starts the endpoints and workers of a fleet and publishes them on the platform's VM list.

use std::net;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::platform as wire;

use crate::endpoint::Endpoint;
use crate::endpoint::EndpointPlan;
use crate::endpoint::RequestLedger;
use crate::fleet::error::FleetError;
use crate::fleet::plan;
use crate::fleet::plan::FleetPlan;
use crate::platform::Platform;
use crate::worker::AttemptLedger;
use crate::worker::Worker;
use crate::worker::WorkerPlan;

/// Starts the endpoints of all failure domains and publishes their records.
pub(super) async fn start_endpoints(
    plan: &FleetPlan,
    platform: &Platform,
    ledger: &RequestLedger,
) -> Result<Vec<Endpoint>, FleetError> {
    let mut endpoints = Vec::new();
    for (domain, index) in positions(plan.domains, plan.endpoints) {
        let name = format!("p{domain}-{index}");
        let endpoint_plan = EndpointPlan {
            slots: plan.slots,
            connections: plan.connections,
            ..EndpointPlan::new(&name)
        };
        let endpoint = Endpoint::start(endpoint_plan, ledger.clone())
            .await
            .map_err(FleetError::io("start an endpoint"))?;
        platform.publish_vm(wire::VmRecord {
            name,
            incarnation: 1,
            role: wire::VmRole::Endpoint,
            domain: plan::domain_name(domain),
            rack: plan::rack_name(domain, index),
            address: endpoint.address().to_string(),
            scheduler_address: None,
            service: Some(plan::SERVICE_NAME.to_owned()),
            resources: ResourceVector::ZERO,
            state: wire::VmState::Live,
        });
        endpoints.push(endpoint);
    }
    Ok(endpoints)
}

/// Starts the workers of all failure domains and publishes their records.
pub(super) async fn start_workers(
    plan: &FleetPlan,
    platform: &Platform,
    ledger: &AttemptLedger,
) -> Result<Vec<Worker>, FleetError> {
    let mut workers = Vec::new();
    for (domain, index) in positions(plan.domains, plan.workers) {
        let worker_plan = WorkerPlan {
            name: format!("w{domain}-{index}"),
            incarnation: 1,
            capacity: plan.worker_resources,
            capacity_check: true,
            report_lag_ms: plan.report_lag_ms,
            address: None,
        };
        let worker = Worker::start(worker_plan.clone(), ledger.clone())
            .await
            .map_err(FleetError::io("start a worker"))?;
        platform.publish_vm(wire::VmRecord {
            name: worker_plan.name,
            incarnation: worker_plan.incarnation,
            role: wire::VmRole::Worker,
            domain: plan::domain_name(domain),
            rack: plan::rack_name(domain, index),
            address: worker.address().to_string(),
            scheduler_address: None,
            service: None,
            resources: worker_plan.capacity,
            state: wire::VmState::Live,
        });
        workers.push(worker);
    }
    Ok(workers)
}

/// Publishes the next incarnation of a VM, live at `address`. Does nothing for an unknown VM.
pub(super) fn publish_replacement(platform: &Platform, name: &str, address: net::SocketAddr) {
    if let Some(mut record) = platform.vm(name) {
        record.incarnation += 1;
        record.address = address.to_string();
        record.state = wire::VmState::Live;
        platform.replace_vm(record);
    }
}

/// Each failure domain with each index of a VM in it.
fn positions(domains: u32, vms_per_domain: u32) -> impl Iterator<Item = (u32, u32)> {
    (0..domains).flat_map(move |domain| (0..vms_per_domain).map(move |index| (domain, index)))
}
