//! The scheduler's metrics, with all their names.

use std::fmt;
use std::sync::Arc;

use cadence::Counted;
use cadence::Gauged;

use crate::process::ProcessKit;

/// Tasks taken from callers.
const SUBMITTED: &str = "scheduler.tasks.submitted";
/// Submissions refused.
const REFUSED: &str = "scheduler.tasks.refused";
/// Start commands sent.
const STARTED: &str = "scheduler.tasks.started";
/// Changes of tasks; the word follows.
const CHANGED_PREFIX: &str = "scheduler.tasks.changed";
/// Attempts throttled.
const THROTTLED: &str = "scheduler.tasks.throttled";
/// Transactions of task rows.
const TRANSACTIONS: &str = "scheduler.table.transactions";
/// Task rows in those transactions.
const ROWS: &str = "scheduler.table.rows";
/// Tasks that wait, over all shards held.
const PENDING: &str = "scheduler.tasks.pending";
/// Tasks that run, over all shards held.
const RUNNING: &str = "scheduler.tasks.running";
/// Shards held.
const SHARDS: &str = "scheduler.shards.held";

/// Sends the scheduler's metrics. Cheap to clone.
#[derive(Clone)]
pub struct SchedulerMetrics {
    kit: Arc<ProcessKit>,
}

impl SchedulerMetrics {
    /// Sends through the process's metrics client.
    pub const fn new(kit: Arc<ProcessKit>) -> Self {
        Self { kit }
    }

    /// A task was taken from a caller.
    pub fn submitted(&self) {
        self.count(SUBMITTED, 1);
    }

    /// A submission was refused.
    pub fn refused(&self) {
        self.count(REFUSED, 1);
    }

    /// A start command was sent.
    pub fn started(&self) {
        self.count(STARTED, 1);
    }

    /// A task changed.
    pub fn changed(&self, change: &str) {
        self.count(&format!("{CHANGED_PREFIX}.{change}"), 1);
    }

    /// An attempt was throttled.
    pub fn throttled(&self) {
        self.count(THROTTLED, 1);
    }

    /// A transaction of `rows` task rows was sent.
    pub fn committed(&self, rows: usize) {
        self.count(TRANSACTIONS, 1);
        self.count(ROWS, i64::try_from(rows).unwrap_or(i64::MAX));
    }

    /// What the shards held amount to.
    pub fn held(&self, shards: u64, pending: u64, running: u64) {
        for (name, value) in [(SHARDS, shards), (PENDING, pending), (RUNNING, running)] {
            // A lost metric is no fault of the process.
            let _ = self.kit.metrics.gauge(name, value);
        }
    }

    fn count(&self, name: &str, amount: i64) {
        // A lost metric is no fault of the process.
        let _ = self.kit.metrics.count(name, amount);
    }
}

impl fmt::Debug for SchedulerMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SchedulerMetrics")
            .finish_non_exhaustive()
    }
}
