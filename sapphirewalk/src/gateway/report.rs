//! Publishes the state of the gateway to peers, the state dump and the metrics.

use std::sync::Arc;
use std::time;

use serde::Serialize;
use tokio::time::MissedTickBehavior;

use sapphirewalk_core::endpoint_health::HealthStep;
use sapphirewalk_core::slot_share::ShareUnit;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::gateway::counter;
use crate::gateway::dispatch_table::DispatchTable;
use crate::gateway::forward;
use crate::gateway::leaving;
use crate::gateway::seat;
use crate::gateway::state::Gateway;
use crate::peer::ServiceStatus;

/// Interval at which the status for peers is refreshed and queued requests are reconsidered.
const STATUS_INTERVAL: time::Duration = time::Duration::from_millis(100);
/// Age after which a peer's status is ignored.
const PEER_STATUS_LIFETIME: TimeSpan = TimeSpan::from_secs(5);

/// An endpoint in the state dump.
#[derive(Debug)]
#[derive(Serialize)]
struct EndpointState {
    name: String,
    incarnation: u64,
    service: String,
    slots_in_use: u32,
    slot_share: u32,
    connections_open: u32,
    connection_share: u32,
    state: String,
}

/// A kind in the state dump.
#[derive(Debug)]
#[derive(Serialize)]
struct KindState {
    kind: String,
    service: String,
    running: u32,
    waiting: usize,
    share_slots: f64,
    run_time_us: u64,
}

/// Registers the gateway's sections of the state dump.
pub fn register(gateway: &Arc<Gateway>) {
    let state = &gateway.process.dump_sections;
    let shared = Arc::clone(gateway);
    state.register("seat", move || seat::held(&shared));
    let shared = Arc::clone(gateway);
    state.register("endpoints", move || endpoint_states(&shared));
    let shared = Arc::clone(gateway);
    state.register("kinds", move || kind_states(&shared));
    let shared = Arc::clone(gateway);
    state.register("counters", move || shared.counters.snapshot());
}

/// Refreshes status, readiness and metrics, and grants or forwards queued requests, until the
/// process ends.
pub async fn run(gateway: Arc<Gateway>) {
    let mut ticks = tokio::time::interval(STATUS_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        leaving::record_from_peers(&gateway);
        forward::update_peers(&gateway);
        apply_due_seat(&gateway);
        publish(&gateway);
        if !gateway.process.shutdown.has_begun() {
            gateway.process.set_ready(is_ready(&gateway));
        }
        for name in service_names(&gateway) {
            gateway.grant_waiting(&name);
            forward::forward_waiting(&gateway, &name);
        }
    }
}

/// Applies the seat once its `usable_from_ms` has passed.
fn apply_due_seat(gateway: &Gateway) {
    if seat::is_usable(gateway) && gateway.table().slots.seat().is_none() {
        seat::apply(gateway);
    }
}

/// Whether the process can serve: a bundle is in force, and this gateway or a ready peer has a
/// share.
fn is_ready(gateway: &Gateway) -> bool {
    if gateway.process.rollout.current().is_none() {
        return false;
    }
    seat::is_usable(gateway) || any_peer_share(gateway, |_| true)
}

/// Whether a ready peer has reported slots of `service`, free or in use.
pub fn has_peer_share(gateway: &Gateway, service: &str) -> bool {
    any_peer_share(gateway, |status| status.service == service)
}

const fn has_share(status: &ServiceStatus) -> bool {
    status.share_slots > 0
}

fn any_peer_share(gateway: &Gateway, matches: impl Fn(&ServiceStatus) -> bool) -> bool {
    let now = gateway.now();
    let matches = |status: &ServiceStatus| has_share(status) && matches(status);
    gateway
        .process
        .gossip
        .peers()
        .iter()
        .filter(|view| view.status.ready && now.since(view.received_at) < PEER_STATUS_LIFETIME)
        .any(|view| view.status.services.iter().any(matches))
}

fn publish(gateway: &Gateway) {
    let now = gateway.now();
    let services: Vec<ServiceStatus> = {
        let table = gateway.table();
        let of_service = |service: &crate::gateway::service::ServiceState| ServiceStatus {
            service: service.name.clone(),
            free_slots: table.free_slots(&service.name, now),
            share_slots: table.share_slots(&service.name, now),
            queued: u32::try_from(service.admission.waiting()).unwrap_or(u32::MAX),
        };
        table.services.iter().map(of_service).collect()
    };
    let free = services.iter().map(|service| service.free_slots).sum();
    let waiting = services.iter().map(|service| service.queued).sum();
    counter::send_gauges(&gateway.process.metrics, free, waiting);
    let marks = leaving::announced_marks(gateway);
    let had_share = gateway
        .process
        .gossip
        .own_status()
        .services
        .iter()
        .any(has_share);
    let has_share = services.iter().any(has_share);
    gateway.process.gossip.update(|status| {
        status.services = services;
        status.leaving = marks;
    });
    if has_share != had_share {
        gateway.process.gossip.announce(|_| {});
    }
}

fn service_names(gateway: &Gateway) -> Vec<String> {
    let table = gateway.table();
    let services = table.services.iter();
    services.map(|service| service.name.clone()).collect()
}

fn endpoint_states(gateway: &Gateway) -> Vec<EndpointState> {
    let now = gateway.now();
    let table = gateway.table();
    let listed = table
        .entries()
        .filter(|(key, entry)| entry.is_listed || table.slots.in_use(*key, ShareUnit::Slot) > 0);
    listed
        .map(|(key, entry)| EndpointState {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
            service: entry.service.clone(),
            slots_in_use: table.slots.in_use(key, ShareUnit::Slot),
            slot_share: table.slots.limit(key, ShareUnit::Slot, now),
            connections_open: table.slots.in_use(key, ShareUnit::Connection),
            connection_share: table.slots.limit(key, ShareUnit::Connection, now),
            state: describe_endpoint(&table, key, now),
        })
        .collect()
}

fn describe_endpoint(
    table: &DispatchTable,
    key: sapphirewalk_core::key::EndpointKey,
    now: TimePoint,
) -> String {
    if !table.entry(key).is_listed {
        return "not on the VM list".to_owned();
    }
    if !table.entry(key).is_reachable {
        return "can't be reached".to_owned();
    }
    match table.health_step(key, now) {
        HealthStep::Serve => "serves".to_owned(),
        HealthStep::Suspect => {
            "suspect: serves, but for requests that can't be repeated".to_owned()
        }
        HealthStep::Probe => "probed after an ejection".to_owned(),
        HealthStep::EjectedUntil(until) => {
            format!("ejected for {} ms", until.since(now).as_millis())
        }
        HealthStep::Leaving => "leaves".to_owned(),
    }
}

fn kind_states(gateway: &Gateway) -> Vec<KindState> {
    let table = gateway.table();
    let mut states = Vec::new();
    for service in &table.services {
        for summary in service.admission.summaries() {
            states.push(KindState {
                kind: table.kinds.name(summary.kind).to_owned(),
                service: service.name.clone(),
                running: summary.in_use,
                waiting: summary.waiting,
                share_slots: summary.share_slots,
                run_time_us: summary.run_time.as_micros(),
            });
        }
    }
    states
}
