//! Request counters since the process started, and the metrics of the gateway.

use std::sync::atomic;
use std::sync::atomic::AtomicU64;

use cadence::Counted;
use cadence::Gauged;
use cadence::StatsdClient;
use cadence::Timed;
use serde::Serialize;

use sapphirewalk_core::time::TimeSpan;

/// Counter of ended requests; tagged with the outcome.
const REQUESTS_METRIC: &str = "gateway.requests";
/// Time from arrival to outcome, in milliseconds; tagged with the outcome.
const ELAPSED_METRIC: &str = "gateway.request_ms";
/// Gauge of the free slots in this gateway's share, summed over all services.
const FREE_SLOTS_METRIC: &str = "gateway.free_slots";
/// Gauge of queued requests, summed over all services.
const WAITING_METRIC: &str = "gateway.waiting";
const OUTCOME_TAG: &str = "outcome";

/// Counters since the process started.
#[derive(Debug, Default)]
pub struct GatewayCounters {
    answered: AtomicU64,
    not_run: AtomicU64,
    unknown: AtomicU64,
    duplicate: AtomicU64,
    forwarded: AtomicU64,
    retries: AtomicU64,
    hedges: AtomicU64,
    probes: AtomicU64,
}

/// Snapshot of the counters for the state dump.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct CounterState {
    answered: u64,
    not_run: u64,
    unknown: u64,
    duplicate: u64,
    forwarded: u64,
    retries: u64,
    hedges: u64,
    probes: u64,
}

impl GatewayCounters {
    /// Counts an ended request by its outcome and sends its metrics. `elapsed` is the time since
    /// its arrival.
    pub fn count_end(&self, outcome: &'static str, elapsed: TimeSpan, metrics: &StatsdClient) {
        use sapphirewalk_wire::endpoint;
        let counter = match outcome {
            endpoint::OUTCOME_ANSWERED => &self.answered,
            endpoint::OUTCOME_NOT_RUN => &self.not_run,
            endpoint::OUTCOME_DUPLICATE => &self.duplicate,
            _ => &self.unknown,
        };
        increment(counter);
        metrics
            .count_with_tags(REQUESTS_METRIC, 1)
            .with_tag(OUTCOME_TAG, outcome)
            .send();
        metrics
            .time_with_tags(ELAPSED_METRIC, elapsed.as_millis())
            .with_tag(OUTCOME_TAG, outcome)
            .send();
    }

    /// Counts a request that a peer accepted, or may have accepted before the connection broke.
    pub fn count_forward(&self) {
        increment(&self.forwarded);
    }

    /// Counts a decision to retry, even if no endpoint has a free slot.
    pub fn count_retry(&self) {
        increment(&self.retries);
    }

    /// Counts a second attempt that starts while the first one is running.
    pub fn count_hedge(&self) {
        increment(&self.hedges);
    }

    /// Counts a health probe; called once its connection is open.
    pub fn count_probe(&self) {
        increment(&self.probes);
    }

    /// Reads the counters one after the other.
    pub fn snapshot(&self) -> CounterState {
        CounterState {
            answered: read(&self.answered),
            not_run: read(&self.not_run),
            unknown: read(&self.unknown),
            duplicate: read(&self.duplicate),
            forwarded: read(&self.forwarded),
            retries: read(&self.retries),
            hedges: read(&self.hedges),
            probes: read(&self.probes),
        }
    }
}

/// Sends the gauges of free slots and queued requests.
pub fn send_gauges(metrics: &StatsdClient, free_slots: u32, waiting: u32) {
    // The process does not depend on the metrics server, so an error is ignored.
    let _ = metrics.gauge(FREE_SLOTS_METRIC, u64::from(free_slots));
    let _ = metrics.gauge(WAITING_METRIC, u64::from(waiting));
}

fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(atomic::Ordering::Relaxed)
}
