//! The scheduler's metrics and their names.

use std::fmt;
use std::sync::Arc;

use cadence::Counted;
use cadence::Gauged;

use crate::process::DaemonProcess;

/// Counter of tasks accepted from callers.
const SUBMITTED: &str = "scheduler.tasks.submitted";
/// Counter of submissions refused.
const REFUSED: &str = "scheduler.tasks.refused";
/// Counter of start commands sent to workers.
const STARTED: &str = "scheduler.tasks.started";
/// Prefix of the counters of task changes; the name of the change follows.
const CHANGED_PREFIX: &str = "scheduler.tasks.changed";
/// Counter of throttle commands sent to workers.
const THROTTLED: &str = "scheduler.tasks.throttled";
/// Counter of transactions that write task rows.
const TRANSACTIONS: &str = "scheduler.table.transactions";
/// Counter of task rows in those transactions.
const ROWS: &str = "scheduler.table.rows";
/// Gauge of tasks that wait to start, over all shards held.
const PENDING: &str = "scheduler.tasks.pending";
/// Gauge of tasks that may be running, over all shards held.
const RUNNING: &str = "scheduler.tasks.running";
/// Gauge of the shards held.
const SHARDS: &str = "scheduler.shards.held";

/// Sends the scheduler's metrics. Clones share one client and are cheap.
#[derive(Clone)]
pub struct SchedulerMetrics {
    process: Arc<DaemonProcess>,
}

impl SchedulerMetrics {
    /// Uses the metrics client of the process.
    pub const fn new(process: Arc<DaemonProcess>) -> Self {
        Self { process }
    }

    /// Counts a submission that was accepted, or repeats an accepted one.
    pub fn submitted(&self) {
        self.count(SUBMITTED, 1);
    }

    /// Counts a submission that was refused.
    pub fn refused(&self) {
        self.count(REFUSED, 1);
    }

    /// Counts a start command sent to a worker.
    pub fn started(&self) {
        self.count(STARTED, 1);
    }

    /// Counts a change of a task by its name, such as `finished`.
    pub fn changed(&self, change: &str) {
        self.count(&format!("{CHANGED_PREFIX}.{change}"), 1);
    }

    /// Counts a throttle command sent to a worker.
    pub fn throttled(&self) {
        self.count(THROTTLED, 1);
    }

    /// Counts a transaction sent to the table that writes `rows` task rows.
    pub fn committed(&self, rows: usize) {
        self.count(TRANSACTIONS, 1);
        self.count(ROWS, i64::try_from(rows).unwrap_or(i64::MAX));
    }

    /// Sets the gauges: the number of shards held, and their tasks that wait and that may be
    /// running.
    pub fn held(&self, shards: u64, pending: u64, running: u64) {
        for (name, value) in [(SHARDS, shards), (PENDING, pending), (RUNNING, running)] {
            // The process does not depend on the metrics server, so an error is ignored.
            let _ = self.process.metrics.gauge(name, value);
        }
    }

    fn count(&self, name: &str, amount: i64) {
        // The process does not depend on the metrics server, so an error is ignored.
        let _ = self.process.metrics.count(name, amount);
    }
}

impl fmt::Debug for SchedulerMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("SchedulerMetrics")
            .finish_non_exhaustive()
    }
}
