//! Settings of the scheduler.

use serde::Deserialize;
use serde::Serialize;

/// Limits and times of the scheduler. Missing fields take the defaults.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct SchedulerSettings {
    /// Duration of a shard's lease after each renewal, in milliseconds. A scheduler can hold its
    /// shards through an outage of the table service of this length.
    pub shard_lease_ms: u64,
    /// Interval between renewals of a shard's lease, in milliseconds.
    pub shard_renew_ms: u64,
    /// Duration of a worker's lease after each renewal, in milliseconds. Attempts stop when it
    /// expires.
    pub worker_lease_ms: u64,
    /// Interval between renewals of a worker's lease, in milliseconds.
    pub worker_renew_ms: u64,
    /// Interval between full reports of a worker on its running attempts, in milliseconds. Other
    /// renewals return only their IDs.
    pub worker_report_ms: u64,
    /// Time without a renewal after which another scheduler may take over a shard, in
    /// milliseconds.
    pub silence_ms: u64,
    /// Timeout of a call to a worker, in milliseconds.
    pub worker_timeout_ms: u64,
    /// Interval at which the holder of a shard reads all its task rows, in milliseconds.
    pub scan_ms: u64,
    /// Rows that the table service accepts per second. The rate is divided evenly among all shards.
    pub rows_per_s: u32,
    /// Minimum time between two transactions on the task rows of a shard, in milliseconds.
    pub write_interval_ms: u64,
    /// Minimum time between two transactions that write rows on behalf of callers (submissions and
    /// cancellations), in milliseconds.
    pub insert_interval_ms: u64,
    /// Time after which a waiting task may move to a shard with free resources, in milliseconds.
    pub move_wait_ms: u64,
    /// Number of waiting tasks of a team in a shard from which its submissions are refused.
    pub team_waiting_max: u64,
    /// Number of waiting tasks in a shard from which all submissions are refused.
    pub waiting_max: u32,
    /// Interval at which the holder of a shard reads the division of teams' quotas among shards,
    /// in milliseconds.
    pub quota_ms: u64,
    /// Time for which a scheduler holds more than an even part of the shards before it releases
    /// one, in milliseconds.
    pub rebalance_ms: u64,
    /// Time after the end of a task at which its row is deleted, in milliseconds.
    pub ended_keep_ms: u64,
    /// Maximum difference between the clocks of two VMs, in milliseconds.
    pub clock_drift_ms: u64,
    /// Maximum time that a worker takes to stop attempts after their lease has expired, in
    /// milliseconds.
    pub stop_delay_ms: u64,
}

impl Default for SchedulerSettings {
    fn default() -> Self {
        Self {
            shard_lease_ms: 1_200_000,
            shard_renew_ms: 10_000,
            worker_lease_ms: 60_000,
            worker_renew_ms: 1_500,
            worker_report_ms: 5_000,
            silence_ms: 30_000,
            worker_timeout_ms: 1_000,
            scan_ms: 600_000,
            rows_per_s: 400,
            write_interval_ms: 200,
            insert_interval_ms: 100,
            move_wait_ms: 2_000,
            quota_ms: 5_000,
            rebalance_ms: 10_000,
            ended_keep_ms: 86_400_000,
            team_waiting_max: 5_000,
            waiting_max: 20_000,
            clock_drift_ms: 500,
            stop_delay_ms: 1_000,
        }
    }
}
