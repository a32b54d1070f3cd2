//! What a fleet consists of.

use std::net;
use std::path;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::bundle;

/// The service that the plan's own bundle names.
pub const SERVICE_NAME: &str = "orders";
/// The user that the plan's own bundle names.
pub const USER_NAME: &str = "shop";
/// The longest that a process waits for the platform, in milliseconds.
const PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// Workers in one rack.
const RACK_WORKERS: u32 = 8;

/// The sizes of a fleet and what it starts with.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The `sapphirewalk` binary.
    pub binary: path::PathBuf,
    /// Failure domains.
    pub domains: u32,
    /// Entry VMs of each failure domain.
    pub entry_vms: u32,
    /// Endpoints of each failure domain.
    pub endpoints: u32,
    /// Workers of each failure domain.
    pub workers: u32,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Connections of each endpoint.
    pub connections: u32,
    /// What each worker has.
    pub worker_resources: ResourceVector,
    /// How old a worker's reported measurements are at least, in milliseconds.
    pub report_lag_ms: u64,
    /// The text of the bundle that is rolled out at the start; `None` for no rollout.
    pub bundle: Option<String>,
    /// Limits of the schedulers, as in the settings file; the defaults when it is `None`.
    pub scheduler: Option<serde_json::Value>,
    /// The longest that the processes wait for an answer of the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Whether entry VMs reach each other through relays, which can be cut.
    pub relays: bool,
    /// Where the processes send metrics.
    pub statsd: Option<net::SocketAddr>,
    /// The level of the processes' logs.
    pub log_level: String,
}

impl FleetPlan {
    /// Two failure domains of two entry VMs, two endpoints and two workers each, with a bundle
    /// of one service.
    pub fn new(binary: path::PathBuf) -> Self {
        let mut plan = Self {
            binary,
            domains: 2,
            entry_vms: 2,
            endpoints: 2,
            workers: 2,
            slots: 8,
            connections: 64,
            worker_resources: ResourceVector {
                cpu_millis: 8_000,
                memory_mib: 16_384,
                accelerators: 0,
            },
            report_lag_ms: 500,
            bundle: None,
            scheduler: None,
            platform_timeout_ms: PLATFORM_TIMEOUT_MS,
            relays: false,
            statsd: None,
            log_level: "info".to_owned(),
        };
        plan.bundle = serde_json::to_string(&plan.bundle_document("plan-1")).ok();
        plan
    }

    /// The bundle that fits the plan's sizes: kinds `order` (urgent, idempotent), `charge`
    /// (urgent, not idempotent) and `report` (normal) of the service `orders`, batch kinds
    /// `stock-plan` and `cleanup`, teams `front` and `stock`. After a change of sizes, make it
    /// anew.
    pub fn bundle_document(&self, version: &str) -> bundle::BundleDocument {
        let domains = (0..self.domains).map(|domain| bundle::DomainEntry {
            name: domain_name(domain),
            region: "region-a".to_owned(),
            seats: self.entry_vms,
            shards: self.entry_vms,
        });
        let service = bundle::ServiceEntry {
            name: SERVICE_NAME.to_owned(),
            slots: self.slots,
            connections: self.connections,
        };
        let urgent = bundle::KindUrgency::Urgent;
        let batch = bundle::KindUrgency::Batch;
        bundle::BundleDocument {
            version: version.to_owned(),
            domains: domains.collect(),
            services: vec![service],
            kinds: vec![
                kind("order", urgent, Some(SERVICE_NAME), true),
                kind("charge", urgent, Some(SERVICE_NAME), false),
                kind(
                    "report",
                    bundle::KindUrgency::Normal,
                    Some(SERVICE_NAME),
                    true,
                ),
                kind("stock-plan", batch, None, true),
                kind("cleanup", batch, None, true),
            ],
            teams: vec![team("front"), team("stock")],
        }
    }

    /// Sets the bundle to the one that fits the plan's sizes.
    pub fn with_generated_bundle(mut self) -> Self {
        self.bundle = serde_json::to_string(&self.bundle_document("plan-1")).ok();
        self
    }
}

/// Limits of schedulers whose leases are short enough for tests.
pub fn short_leases() -> serde_json::Value {
    serde_json::json!({
        "shard_lease_ms": 8_000,
        "shard_renew_ms": 300,
        "worker_lease_ms": 4_000,
        "worker_renew_ms": 200,
        "silence_ms": 1_500,
        "worker_timeout_ms": 300,
        "scan_ms": 500,
        "clock_drift_ms": 100,
        "stop_delay_ms": 200,
    })
}

fn kind(
    name: &str,
    urgency: bundle::KindUrgency,
    service: Option<&str>,
    idempotent: bool,
) -> bundle::KindEntry {
    bundle::KindEntry {
        name: name.to_owned(),
        user: USER_NAME.to_owned(),
        urgency,
        service: service.map(str::to_owned),
        idempotent,
        weight: 1,
        floor_permille: 200,
        deadline_ms: 10_000,
    }
}

fn team(name: &str) -> bundle::TeamEntry {
    bundle::TeamEntry {
        name: name.to_owned(),
        cpu_millis: 1_000_000,
        tasks: 10_000,
    }
}

/// The name of a failure domain.
pub(super) fn domain_name(domain: u32) -> String {
    format!("d{domain}")
}

/// The name of the rack of a worker.
pub(super) fn rack_name(domain: u32, worker: u32) -> String {
    format!("r{domain}-{}", worker / RACK_WORKERS)
}
