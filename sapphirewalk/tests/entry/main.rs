//! Runs entry VMs as real processes against stand-ins of the platform's store and workers.

mod election;
mod evacuated_domain;
#[path = "../../src/entry/evacuation.rs"]
mod evacuation;
mod evacuation_view;
mod explain;
mod fleet;
mod jobs;
mod lapsed_leases;
mod log;
mod odd_entries;
#[path = "../../../platform/tests/odd/generator.rs"]
mod odd_generator;
mod outdated_lists;
mod restarted_workers;
mod retention;
mod store;
