//! The ledger: each request that ran on an endpoint, for the checks of tests.

use std::sync;

use crate::clock;
use crate::counter;

/// One execution of a request by an endpoint. A request that is retried has several.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestRun {
    /// The name of the endpoint that ran the request.
    pub endpoint: String,
    /// The request's ID; empty when the request had none.
    pub request_id: String,
    /// The request's idempotency key; `None` when the request had none.
    pub idempotency_key: Option<String>,
    /// When the request got a slot, in Unix milliseconds.
    pub started_ms: u64,
    /// When the run was complete, in Unix milliseconds; `None` while it lasts, or when the endpoint
    /// was killed or cut its answer short.
    pub ended_ms: Option<u64>,
}

/// The index of a run in the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RunKey(usize);

/// The runs on all endpoints. Clones share the same runs.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    runs: sync::Arc<sync::Mutex<Vec<RequestRun>>>,
}

impl RequestLedger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// All runs, in the order of their starts.
    pub fn runs(&self) -> Vec<RequestRun> {
        clock::lock(&self.runs).clone()
    }

    /// The number of runs of the request `id`, incomplete ones included.
    pub fn run_count(&self, id: &str) -> usize {
        let runs = clock::lock(&self.runs);
        runs.iter().filter(|run| run.request_id == id).count()
    }

    /// The number of runs with this idempotency key, incomplete ones included.
    pub fn key_count(&self, key: &str) -> usize {
        let runs = clock::lock(&self.runs);
        runs.iter()
            .filter(|run| run.idempotency_key.as_deref() == Some(key))
            .count()
    }

    /// The idempotency keys with more than one run, sorted.
    pub fn duplicate_keys(&self) -> Vec<String> {
        let keys = self
            .runs()
            .into_iter()
            .filter_map(|run| run.idempotency_key)
            .collect();
        counter::repeated_names(keys)
    }

    /// When the last run on `endpoint` started, in Unix milliseconds; `None` without a run.
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
