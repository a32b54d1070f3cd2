//! The sizes and settings of a fleet, and the bundle generated for them.

use std::net;
use std::path;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_wire::bundle;

/// The service of the generated bundle.
pub const SERVICE_NAME: &str = "orders";
/// The user of the generated bundle.
pub const USER_NAME: &str = "shop";
/// The default of [`FleetPlan::platform_timeout_ms`].
const PLATFORM_TIMEOUT_MS: u64 = 1_000;
/// Workers or endpoints in one rack.
const RACK_VMS: u32 = 8;

/// The sizes of a fleet and the settings of its processes.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The path of the `sapphirewalk` binary, which must be built already.
    pub binary: path::PathBuf,
    /// The number of failure domains.
    pub domains: u32,
    /// Entry VMs in each failure domain.
    pub entry_vms: u32,
    /// Endpoints in each failure domain.
    pub endpoints: u32,
    /// Workers in each failure domain.
    pub workers: u32,
    /// Requests that each endpoint runs at once.
    pub slots: u32,
    /// Connections that each endpoint may have open at once.
    pub connections: u32,
    /// The capacity of each worker.
    pub worker_resources: ResourceVector,
    /// The minimum age of a worker's reported measurements, in milliseconds.
    pub report_lag_ms: u64,
    /// The JSON text of the bundle that is rolled out at the start; `None` for no rollout.
    pub bundle: Option<String>,
    /// The `limits` section of the settings files; `None` for the defaults.
    pub limits: Option<serde_json::Value>,
    /// The `scheduler` section of the settings files; `None` for the defaults.
    pub scheduler: Option<serde_json::Value>,
    /// How long the processes wait for an answer of the platform, in milliseconds.
    pub platform_timeout_ms: u64,
    /// Whether entry VMs reach each other through relays, which partitions and link delays need.
    pub relays: bool,
    /// The address to which the processes send metrics; `None` for no metrics.
    pub statsd: Option<net::SocketAddr>,
    /// The log level of the processes, as in the settings file.
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
            limits: None,
            scheduler: None,
            platform_timeout_ms: PLATFORM_TIMEOUT_MS,
            relays: false,
            statsd: None,
            log_level: "info".to_owned(),
        };
        plan.bundle = serde_json::to_string(&plan.bundle_document("plan-1")).ok();
        plan
    }

    /// Generates a bundle for the present sizes of the plan. It has the kinds `order` (urgent,
    /// idempotent), `charge` (urgent, not idempotent) and `report` (normal) of the service
    /// `orders`, the batch kinds `stock-plan` and `cleanup`, and the teams `front` and `stock`.
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

    /// Generates the bundle again, which is needed after a change of the sizes.
    pub fn with_generated_bundle(mut self) -> Self {
        self.bundle = serde_json::to_string(&self.bundle_document("plan-1")).ok();
        self
    }
}

/// A `scheduler` section for [`FleetPlan::scheduler`] whose leases are short enough for tests.
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

/// The name of the rack of a worker or endpoint with this number in its failure domain.
pub(super) fn rack_name(domain: u32, index: u32) -> String {
    format!("r{domain}-{}", index / RACK_VMS)
}
