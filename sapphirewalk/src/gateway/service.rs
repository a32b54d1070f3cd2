//! Queues, endpoint health, retry budget and latencies of one service.

use tokio::sync::oneshot;

use sapphirewalk_core::admission::AdmissionTable;
use sapphirewalk_core::admission::KindPolicy;
use sapphirewalk_core::admission::RefuseReason;
use sapphirewalk_core::endpoint_health::EjectionParams;
use sapphirewalk_core::endpoint_health::HealthTable;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::RequestKey;
use sapphirewalk_core::latency_histogram::LatencyHistogram;
use sapphirewalk_core::retry_budget::BudgetParams;
use sapphirewalk_core::retry_budget::RetryBudget;
use sapphirewalk_core::slot_share::EndpointCapacity;
use sapphirewalk_core::time::TimeSpan;

use crate::gateway::guard::RequestGrant;

/// Assumed median latency of a kind before its first answer.
const INITIAL_MEDIAN_LATENCY: TimeSpan = TimeSpan::from_millis(5);
/// The median as a quantile in thousandths.
const MEDIAN_PERMILLE: u32 = 500;

/// Message that ends the wait of a queued request.
#[derive(Debug)]
pub enum WaitEnd {
    /// The request may run here.
    Granted(RequestGrant),
    /// The request is to be forwarded to the peer of this name.
    Forward(String),
    /// The request is refused and has not run.
    Refused(RefuseReason),
}

/// A queued request.
#[derive(Debug)]
pub struct WaitEntry {
    /// Key of the request in the admission table.
    pub request: RequestKey,
    /// Whether the request may run more than once. Only such a request may probe an ejected
    /// endpoint.
    pub is_idempotent: bool,
    /// Sends the end of the wait to the task of the request.
    pub sender: oneshot::Sender<WaitEnd>,
}

/// Queues, endpoint health, retry budget and latencies of one service. Rollouts change its policies
/// and leave the rest.
#[derive(Debug)]
pub struct ServiceState {
    /// Name of the service in the bundle.
    pub name: String,
    /// Slots and connections of each endpoint, which all gateways share.
    pub capacity: EndpointCapacity,
    /// Queues of the kinds, and counts of their running requests.
    pub admission: AdmissionTable,
    /// Health and ejections of the endpoints.
    pub health: HealthTable,
    /// Limits retries and hedges to a fraction of the successful requests.
    pub budget: RetryBudget,
    /// Queued requests, sorted by key.
    waiting: Vec<WaitEntry>,
    /// Sorted by kind.
    latencies: Vec<KindLatency>,
}

/// Recent latencies of the successful answers to a kind.
#[derive(Debug)]
struct KindLatency {
    kind: KindKey,
    latencies: LatencyHistogram,
}

impl ServiceState {
    /// Creates a service without endpoints and with empty queues.
    pub fn new(name: &str, capacity: EndpointCapacity, policies: &[KindPolicy]) -> Self {
        Self {
            name: name.to_owned(),
            capacity,
            admission: AdmissionTable::new(policies),
            health: HealthTable::new(EjectionParams::default()),
            budget: RetryBudget::new(BudgetParams::default()),
            waiting: Vec::new(),
            latencies: Vec::new(),
        }
    }

    /// Whether any request of a kind is running or queued.
    pub fn has_active(&self, kind: KindKey) -> bool {
        self.admission
            .summaries()
            .any(|summary| summary.kind == kind && (summary.in_use > 0 || summary.waiting > 0))
    }

    /// Adds a queued request. Has no effect if its key is present.
    pub fn put_waiting(&mut self, entry: WaitEntry) {
        if let Err(insert_at) = self.search_waiting(entry.request) {
            self.waiting.insert(insert_at, entry);
        }
    }

    /// Removes a queued request; `None` if its wait has ended.
    pub fn take_waiting(&mut self, request: RequestKey) -> Option<WaitEntry> {
        let position = self.search_waiting(request).ok()?;
        Some(self.waiting.remove(position))
    }

    /// Adds the latency of a successful answer to the histogram of its kind.
    pub fn record_latency(&mut self, kind: KindKey, latency: TimeSpan) {
        match self.search_latency(kind) {
            Ok(position) => self.latencies[position].latencies.record(latency),
            Err(insert_at) => {
                let mut latencies = LatencyHistogram::new();
                latencies.record(latency);
                self.latencies
                    .insert(insert_at, KindLatency { kind, latencies });
            }
        }
    }

    /// Median of the recent latencies of a kind; a default before its first answer.
    pub fn median_latency(&self, kind: KindKey) -> TimeSpan {
        self.latencies(kind)
            .and_then(|latencies| latencies.quantile(MEDIAN_PERMILLE, 1))
            .unwrap_or(INITIAL_MEDIAN_LATENCY)
    }

    /// Recent latencies of a kind; `None` before its first answer.
    pub fn latencies(&self, kind: KindKey) -> Option<&LatencyHistogram> {
        let position = self.search_latency(kind).ok()?;
        Some(&self.latencies[position].latencies)
    }

    fn search_waiting(&self, request: RequestKey) -> Result<usize, usize> {
        self.waiting
            .binary_search_by_key(&request, |entry| entry.request)
    }

    fn search_latency(&self, kind: KindKey) -> Result<usize, usize> {
        self.latencies
            .binary_search_by_key(&kind, |entry| entry.kind)
    }
}
