//! The process's side of the trail: takes records without waiting.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Serialize;
use slog::Logger;
use tokio::sync::Notify;

use sapphirewalk_core::time::TimePoint;

use crate::audit::AuditDecision;
use crate::audit::record::AuditRecord;
use crate::audit::writer::TrailWriter;
use crate::config::Settings;
use crate::peer::PeerRole;
use crate::platform::PlatformClient;
use crate::state;

/// Records that wait for the object store; more are dropped and the gap recorded.
const WAITING_RECORDS_MAX: usize = 20_000;

/// Takes records of decisions. Cheap to clone.
#[derive(Clone, Debug)]
pub struct AuditHandle {
    chain: Arc<AuditChain>,
}

/// The chain between the parts that record and the writer.
#[derive(Debug)]
pub struct AuditChain {
    /// The prefix of this chain's object names.
    pub prefix: String,
    /// Wakes the writer.
    pub wake: Notify,
    /// Tells waiters that everything is stored.
    pub stored: Notify,
    state: Mutex<ChainState>,
}

#[derive(Debug, Default)]
struct ChainState {
    next_number: u64,
    last_hash: String,
    waiting: Vec<AuditRecord>,
    in_flight: usize,
    dropped: u64,
    dropped_total: u64,
    flushing: bool,
}

/// The state of the trail for the state dump.
#[derive(Debug)]
#[derive(Serialize)]
pub struct AuditState {
    /// Records made.
    pub records: u64,
    /// Records not yet in the object store.
    pub waiting: usize,
    /// Records dropped since the start.
    pub dropped: u64,
}

impl AuditHandle {
    /// Starts a chain and its writer.
    pub fn start(
        settings: &Settings,
        role: PeerRole,
        process_id: &str,
        platform: PlatformClient,
        logger: &Logger,
    ) -> Self {
        let vm = &settings.vm;
        let role = state::role_name(role);
        let chain = Arc::new(AuditChain {
            prefix: format!("audit/{}.{}/{role}/{process_id}/", vm.name, vm.incarnation),
            wake: Notify::new(),
            stored: Notify::new(),
            state: Mutex::new(ChainState {
                next_number: 1,
                ..ChainState::default()
            }),
        });
        let writer = TrailWriter::new(Arc::clone(&chain), platform, logger.clone());
        tokio::spawn(writer.run());
        Self { chain }
    }

    /// Records a decision taken at `now`.
    pub fn record(&self, now: TimePoint, decision: AuditDecision) {
        self.chain.push(now, decision);
    }

    /// The state of the trail.
    pub fn state(&self) -> AuditState {
        let state = self.chain.lock();
        AuditState {
            records: state.next_number - 1,
            waiting: state.waiting.len() + state.in_flight,
            dropped: state.dropped_total,
        }
    }

    /// Waits until every record made so far is stored.
    pub async fn flush(&self) {
        self.chain.lock().flushing = true;
        loop {
            let stored = self.chain.stored.notified();
            if self.state().waiting == 0 {
                return;
            }
            self.chain.wake.notify_one();
            stored.await;
        }
    }
}

impl AuditChain {
    /// Takes what waits, up to `most` records, for the writer to store.
    pub fn take_batch(&self, limit: usize) -> Vec<AuditRecord> {
        let mut state = self.lock();
        let count = state.waiting.len().min(limit);
        let batch: Vec<AuditRecord> = state.waiting.drain(..count).collect();
        state.in_flight = batch.len();
        batch
    }

    /// Says that the batch taken last is stored.
    pub fn mark_batch_stored(&self) {
        self.lock().in_flight = 0;
        self.stored.notify_waiters();
    }

    /// Whether the process is about to end and waits for its records to be stored.
    pub fn is_flushing(&self) -> bool {
        self.lock().flushing
    }

    fn push(&self, now: TimePoint, decision: AuditDecision) {
        let mut state = self.lock();
        if state.waiting.len() >= WAITING_RECORDS_MAX {
            state.dropped += 1;
            state.dropped_total += 1;
            return;
        }
        if state.dropped > 0 {
            let count = std::mem::take(&mut state.dropped);
            state.append(now, AuditDecision::RecordsDropped { count });
        }
        state.append(now, decision);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ChainState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ChainState {
    fn append(&mut self, now: TimePoint, decision: AuditDecision) {
        let record = AuditRecord::new(self.next_number, now, &self.last_hash, decision);
        self.next_number += 1;
        self.last_hash.clone_from(&record.hash);
        self.waiting.push(record);
    }
}
