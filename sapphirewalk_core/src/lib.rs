//! Scheduling decisions of sapphirewalk, as code without side effects.
//!
//! Nothing in this crate does I/O, reads a clock or draws unseeded random numbers. Every function
//! that depends on the time takes it as an argument, so that a recorded trace replays exactly.
//!
//! The crate holds three schedulers:
//!
//! - Requests, for the gateway: [`admission`], [`concurrency_limit`] (used only in replays),
//!   [`deadline`], [`endpoint_choice`], [`endpoint_health`], [`hedge`], [`latency_histogram`],
//!   [`peer_choice`], [`request_outcome`], [`retry_budget`], [`seat_division`] and [`slot_share`].
//! - Batch tasks, divided into shards with one holder each: [`batch_policy`] and its parts
//!   [`eviction`], [`free_index`], [`interference`], [`placement`], [`quarantine`],
//!   [`share_ledger`], [`size_estimate`], [`task_failure`], [`task_queue`] and [`worker_pool`]; the
//!   protocols [`quota_share`], [`shard_lease`], [`task_lifecycle`] and [`worker_lease`];
//!   [`urgency`] and [`write_pace`].
//! - Jobs, under the single leader of a deployment: [`config_check`], [`coordinator`],
//!   [`crash_history`], [`demand_summary`], [`election_delay`], [`image_interference`], [`job_order`],
//!   [`job_registry`], [`job_spec`], [`leader_election`], [`leadership_handback`],
//!   [`load_cycle`], [`load_trend`], [`maintenance_wave`], [`progress_row`], [`restart_queue`],
//!   [`room_forecast`], [`room_reservation`], [`tail_violation`], [`unavailability_budget`],
//!   [`work_rule`] and [`worker_registry`].
//!
//! All use [`time`]; [`key`] and [`resource`] are shared by two each, and [`rollout_order`] belongs
//! to none. The schedulers differ in terms: a run of the job coordinator corresponds to an attempt
//! of the batch scheduler, and its fencing token to the batch scheduler's epoch.

#![warn(clippy::unwrap_used)]

pub mod admission;
pub mod batch_policy;
pub mod concurrency_limit;
pub mod config_check;
pub mod connection_budget;
pub mod coordinator;
pub mod crash_history;
pub mod deadline;
pub mod demand_summary;
pub mod domain_evacuation;
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
pub mod leader_election;
pub mod leader_lag;
pub mod leadership_handback;
pub mod load_cycle;
pub mod load_trend;
pub mod maintenance_wave;
pub mod peer_choice;
pub mod placement;
pub mod progress_row;
pub mod quarantine;
pub mod quota_share;
pub mod request_outcome;
pub mod resource;
pub mod restart_queue;
pub mod retry_budget;
pub mod rollout_order;
pub mod room_forecast;
pub mod room_reservation;
pub mod run_progress;
pub mod seat_division;
pub mod shard_lease;
pub mod share_ledger;
pub mod size_estimate;
pub mod slot_hold;
pub mod slot_share;
pub mod start_pace;
pub mod stored_value;
pub mod tail_violation;
pub mod task_failure;
pub mod task_lifecycle;
pub mod task_queue;
pub mod time;
pub mod unavailability_budget;
pub mod urgency;
pub mod work_rule;
pub mod worker_lease;
pub mod worker_pool;
pub mod worker_registry;
pub mod write_pace;
pub mod write_queue;
