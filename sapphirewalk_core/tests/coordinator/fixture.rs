//! Limits and workers of coordinators that are tested without a simulation.

use sapphirewalk_core::coordinator::CoordinatorLimits;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_registry::WorkerListing;

/// The limits of a deployment with leases of up to 10 s and no bound on evacuations.
pub fn limits() -> CoordinatorLimits {
    CoordinatorLimits {
        longest_lease: TimeSpan::from_secs(10),
        retention: TimeSpan::from_secs(120),
        harm_tolerance: TimeSpan::from_secs(4),
        evacuation_bound: None,
        service_lookahead: false,
        unavailability_notice: TimeSpan::from_millis(5_500),
        longest_row: 65_536,
    }
}

/// The entry of a worker with 16 cores in the platform's list.
pub fn listing(number: u16, born_ms: u64) -> WorkerListing {
    WorkerListing {
        id: format!("w{number}"),
        pool: "pool".to_owned(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        domain: "domain".to_owned(),
        rack: "rack".to_owned(),
        labels: Vec::new(),
        capacity: ResourceVector {
            cpu_millis: 16_000,
            memory_mib: 64_000,
            accelerators: 0,
        },
        draining: false,
        leaves_in: TimeSpan::ZERO,
        born_ms,
    }
}
