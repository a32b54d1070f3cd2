//! The state of one service: its queues, its endpoints' health, its retry budget.

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

/// The latency that is usual for a kind before any answer.
const INITIAL_LATENCY: TimeSpan = TimeSpan::from_millis(5);
/// The quantile of latency that counts as usual, in thousandths.
const MEDIAN_PERMILLE: u32 = 500;

/// What a request that waited is told.
#[derive(Debug)]
pub enum WaitEnd {
    /// It may run.
    Granted(RequestGrant),
    /// It is to be forwarded to this peer.
    Forward(String),
    /// It is refused.
    Refused(RefuseReason),
}

/// A request that waits.
#[derive(Debug)]
pub struct WaitEntry {
    /// The request.
    pub request: RequestKey,
    /// Whether it may be sent to an endpoint that is probed.
    pub is_idempotent: bool,
    /// Where it is told.
    pub sender: oneshot::Sender<WaitEnd>,
}

/// The state of one service.
#[derive(Debug)]
pub struct ServiceState {
    /// The service's name.
    pub name: String,
    /// What one endpoint takes at once.
    pub capacity: EndpointCapacity,
    /// The queues.
    pub admission: AdmissionTable,
    /// The endpoints' health.
    pub health: HealthTable,
    /// What may still be spent on retries and hedges.
    pub budget: RetryBudget,
    /// Requests that wait, sorted by key.
    waiting: Vec<WaitEntry>,
    /// Sorted by kind.
    latencies: Vec<KindLatency>,
}

/// Recent latencies of a kind.
#[derive(Debug)]
struct KindLatency {
    kind: KindKey,
    latencies: LatencyHistogram,
}

impl ServiceState {
    /// A service without endpoints.
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

    /// Requests of a kind that run or wait.
    pub fn has_active(&self, kind: KindKey) -> bool {
        self.admission
            .summaries()
            .any(|summary| summary.kind == kind && (summary.in_use > 0 || summary.waiting > 0))
    }

    /// Notes a request that waits.
    pub fn put_waiting(&mut self, entry: WaitEntry) {
        if let Err(place) = self.search_waiting(entry.request) {
            self.waiting.insert(place, entry);
        }
    }

    /// Takes a request that waits.
    pub fn take_waiting(&mut self, request: RequestKey) -> Option<WaitEntry> {
        let position = self.search_waiting(request).ok()?;
        Some(self.waiting.remove(position))
    }

    /// Counts a latency of a kind.
    pub fn record_latency(&mut self, kind: KindKey, latency: TimeSpan) {
        match self.search_latency(kind) {
            Ok(position) => self.latencies[position].latencies.record(latency),
            Err(place) => {
                let mut latencies = LatencyHistogram::new();
                latencies.record(latency);
                self.latencies
                    .insert(place, KindLatency { kind, latencies });
            }
        }
    }

    /// The latency that is usual for a kind.
    pub fn median_latency(&self, kind: KindKey) -> TimeSpan {
        self.latencies(kind)
            .and_then(|latencies| latencies.quantile(MEDIAN_PERMILLE, 1))
            .unwrap_or(INITIAL_LATENCY)
    }

    /// Recent latencies of a kind.
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
