//! The ledger of all requests on all endpoints, for tests to judge.

use std::sync;

use crate::clock;
use crate::counter;

/// One run of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRun {
    /// The endpoint's name.
    pub endpoint: String,
    /// The request's ID; empty when it had none.
    pub request_id: String,
    /// The request's idempotency key.
    pub idempotency_key: Option<String>,
    /// When the run began, in Unix milliseconds.
    pub started_ms: u64,
    /// When the run was whole, in Unix milliseconds; `None` while it lasts or if it broke off.
    pub ended_ms: Option<u64>,
}

/// Names a run in the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RunKey(usize);

/// The runs, shared by all endpoints.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    runs: sync::Arc<sync::Mutex<Vec<RequestRun>>>,
}

impl RequestLedger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// All runs in the order of their starts.
    pub fn runs(&self) -> Vec<RequestRun> {
        clock::lock(&self.runs).clone()
    }

    /// How often the request `id` began to run.
    pub fn run_count(&self, id: &str) -> usize {
        let runs = clock::lock(&self.runs);
        runs.iter().filter(|run| run.request_id == id).count()
    }

    /// How often a request with this idempotency key began to run.
    pub fn key_count(&self, key: &str) -> usize {
        let runs = clock::lock(&self.runs);
        runs.iter()
            .filter(|run| run.idempotency_key.as_deref() == Some(key))
            .count()
    }

    /// Idempotency keys that began to run more than once, sorted.
    pub fn duplicate_keys(&self) -> Vec<String> {
        let keys = self
            .runs()
            .into_iter()
            .filter_map(|run| run.idempotency_key)
            .collect();
        counter::repeated_names(keys)
    }

    /// When a request last began to run on `endpoint`, in Unix milliseconds.
    pub fn last_start_ms(&self, endpoint: &str) -> Option<u64> {
        let runs = clock::lock(&self.runs);
        runs.iter()
            .filter(|run| run.endpoint == endpoint)
            .map(|run| run.started_ms)
            .max()
    }

    pub(super) fn record_start(&self, run: RequestRun) -> RunKey {
        let mut runs = clock::lock(&self.runs);
        runs.push(run);
        RunKey(runs.len() - 1)
    }

    pub(super) fn record_end(&self, key: RunKey, now_ms: u64) {
        clock::lock(&self.runs)[key.0].ended_ms = Some(now_ms);
    }
}
