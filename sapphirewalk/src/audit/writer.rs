//! Stores batches of records as objects, and the last stored record as an anchor row.

use std::sync::Arc;
use std::time;

use slog::Logger;
use slog::warn;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::platform::RowChange;
use sapphirewalk_wire::platform::TransactionRequest;

use crate::audit::codec;
use crate::audit::handle::AuditChain;
use crate::audit::record::AuditRecord;
use crate::audit::trail;
use crate::audit::trail::TrailAnchor;
use crate::event::EventName;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// Interval at which pending records are stored as a batch.
const BATCH_INTERVAL: time::Duration = time::Duration::from_secs(2);
/// Delay before a failed write of an object is retried.
const RETRY_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Maximum number of records in one object.
const BATCH_RECORDS_MAX: usize = 2_000;
/// Minimum time between the records of two anchors, except during a flush.
const ANCHOR_INTERVAL: TimeSpan = TimeSpan::from_secs(30);

/// Background writer of the trail of this process. At most one batch is in flight.
#[derive(Debug)]
pub struct TrailWriter {
    chain: Arc<AuditChain>,
    platform: PlatformClient,
    logger: Logger,
    /// Time of the last anchored record; `None` before the first anchor.
    anchored_at: Option<TimePoint>,
}

impl TrailWriter {
    /// Writer of a chain that has no anchor yet.
    pub fn new(chain: Arc<AuditChain>, platform: PlatformClient, logger: Logger) -> Self {
        Self {
            chain,
            platform,
            logger,
            anchored_at: None,
        }
    }

    /// Stores batches at a fixed interval, and at once during a flush, until the process ends.
    pub async fn run(mut self) {
        loop {
            tokio::select! {
                () = tokio::time::sleep(BATCH_INTERVAL) => {}
                () = self.chain.wake.notified() => {}
            }
            self.store_pending().await;
        }
    }

    async fn store_pending(&mut self) {
        loop {
            let batch = self.chain.take_batch(BATCH_RECORDS_MAX);
            let (Some(first), Some(last)) = (batch.first(), batch.last().cloned()) else {
                return;
            };
            let at = TimePoint::from_micros(first.at_us);
            let name = trail::object_name(&self.chain.prefix, at, first.number);
            // Compression takes milliseconds, which would delay requests on the async threads.
            match tokio::task::spawn_blocking(move || codec::encode(&batch)).await {
                Ok(Ok(body)) => self.store(&name, body).await,
                Ok(Err(error)) => {
                    warn!(self.logger, "{}", EventName::AuditGap; "error" => %error);
                }
                Err(error) => {
                    warn!(self.logger, "{}", EventName::AuditGap; "error" => %error);
                }
            }
            self.anchor(&last).await;
            self.chain.mark_batch_stored();
        }
    }

    /// Stores an object and retries until the platform accepts it.
    async fn store(&self, name: &str, body: Vec<u8>) {
        let body = bytes::Bytes::from(body);
        loop {
            match self.platform.put_object(name, body.clone()).await {
                // Only this writer uses the name, so an existing object is this batch, stored by an
                // earlier call whose answer was lost.
                Ok(()) | Err(PlatformError::ObjectExists) => return,
                Err(error) => {
                    warn!(self.logger, "{}", EventName::PlatformFailed; "call" => "put_object",
                        "error" => %error);
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }

    /// Writes the anchor row if it is due. A failure is not retried until the next batch.
    async fn anchor(&mut self, last: &AuditRecord) {
        let at = TimePoint::from_micros(last.at_us);
        let is_due = self
            .anchored_at
            .is_none_or(|before| at.since(before) >= ANCHOR_INTERVAL);
        if !is_due && !self.chain.is_flushing() {
            return;
        }
        let anchor = TrailAnchor {
            number: last.number,
            hash: last.hash.clone(),
        };
        let value = serde_json::to_string(&anchor).unwrap_or_default();
        let key = trail::anchor_key(&self.chain.prefix);
        let transaction = TransactionRequest {
            conditions: Vec::new(),
            changes: vec![RowChange::Put { key, value }],
        };
        match self.platform.transact(&transaction).await {
            Ok(_) => self.anchored_at = Some(at),
            Err(error) => {
                warn!(self.logger, "{}", EventName::PlatformFailed; "call" => "anchor",
                    "error" => %error);
            }
        }
    }
}
