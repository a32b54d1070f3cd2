//! Scheduling decisions of sapphirewalk, as code without side effects.
//!
//! Nothing in this crate does I/O, reads a clock or draws unseeded random numbers. Every function
//! that depends on the time takes it as an argument, so that a recorded trace replays exactly.

#![warn(clippy::unwrap_used)]

pub mod admission;
pub mod batch_policy;
pub mod concurrency_limit;
pub mod coordinator;
pub mod deadline;
pub mod demand_summary;
pub mod election_delay;
pub mod endpoint_choice;
pub mod endpoint_health;
pub mod eviction;
pub mod free_index;
pub mod hedge;
pub mod image_interference;
pub mod interference;
pub mod job_order;
pub mod job_registry;
pub mod job_spec;
pub mod key;
pub mod latency_histogram;
pub mod load_trend;
pub mod peer_choice;
pub mod placement;
pub mod quarantine;
pub mod quota_share;
pub mod request_outcome;
pub mod resource;
pub mod retry_budget;
pub mod rollout_order;
pub mod seat_division;
pub mod shard_lease;
pub mod share_ledger;
pub mod size_estimate;
pub mod slot_share;
pub mod task_failure;
pub mod task_lifecycle;
pub mod task_queue;
pub mod time;
pub mod urgency;
pub mod work_rule;
pub mod worker_lease;
pub mod worker_pool;
pub mod worker_registry;
pub mod write_pace;
