//! Non-blocking recording of decisions, and the hash chain that the writer stores.

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

/// Maximum number of records that wait for the object store. Further decisions are dropped, and the
/// next record states how many.
const WAITING_RECORDS_MAX: usize = 20_000;

/// Records decisions in the trail of this process. Clones share the trail.
#[derive(Clone, Debug)]
pub struct AuditHandle {
    chain: Arc<AuditChain>,
}

/// Hash chain of one process, shared by all handles and the writer.
#[derive(Debug)]
pub struct AuditChain {
    /// Prefix of the names of all objects of the trail, `audit/VM.INCARNATION/ROLE/PROCESS/`.
    pub prefix: String,
    /// Notifies the writer that it should store pending records at once.
    pub wake: Notify,
    /// Notifies callers of [`AuditHandle::flush`] after each stored batch.
    pub stored: Notify,
    state: Mutex<ChainState>,
}

#[derive(Debug, Default)]
struct ChainState {
    next_number: u64,
    /// Hash of the last record; empty before the first.
    last_hash: String,
    waiting: Vec<AuditRecord>,
    /// Number of records in the batch that the writer is storing.
    in_flight: usize,
    /// Decisions dropped since the last record.
    dropped: u64,
    dropped_total: u64,
    /// Set by the first flush and never cleared.
    flushing: bool,
}

/// Section `audit` of the state dump.
#[derive(Debug)]
#[derive(Serialize)]
pub struct AuditState {
    /// Number of records made since the start, stored or not.
    pub records: u64,
    /// Number of records that are not yet in the object store.
    pub waiting: usize,
    /// Number of decisions dropped since the start.
    pub dropped: u64,
}

impl AuditHandle {
    /// Starts the chain of this process, and its writer in a background task.
    pub fn start(
        settings: &Settings,
        role: PeerRole,
        process_token: &str,
        platform: PlatformClient,
        logger: &Logger,
    ) -> Self {
        let vm = &settings.vm;
        let role = state::role_name(role);
        let chain = Arc::new(AuditChain {
            prefix: format!(
                "audit/{}.{}/{role}/{process_token}/",
                vm.name, vm.incarnation
            ),
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

    /// Records a decision taken at `now`, or drops it if too many records wait. Never blocks.
    pub fn record(&self, now: TimePoint, decision: AuditDecision) {
        self.chain.push(now, decision);
    }

    /// Counters of the trail for the state dump.
    pub fn state(&self) -> AuditState {
        let state = self.chain.lock();
        AuditState {
            records: state.next_number - 1,
            waiting: state.waiting.len() + state.in_flight,
            dropped: state.dropped_total,
        }
    }

    /// Waits until no record waits for the object store. There is no timeout; the caller sets one.
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
    /// Removes up to `limit` pending records from the front, for the writer to store.
    pub fn take_batch(&self, limit: usize) -> Vec<AuditRecord> {
        let mut state = self.lock();
        let count = state.waiting.len().min(limit);
        let batch: Vec<AuditRecord> = state.waiting.drain(..count).collect();
        state.in_flight = batch.len();
        batch
    }

    /// Marks the last batch as stored and notifies callers that wait for a flush.
    pub fn mark_batch_stored(&self) {
        self.lock().in_flight = 0;
        self.stored.notify_waiters();
    }

    /// Whether a flush was requested, which happens when the process shuts down.
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
