//! Traffic counters for the state dump.

use std::sync::atomic;

use serde::Serialize;

/// Counter of calls and of bytes in both directions.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    calls: atomic::AtomicU64,
    bytes_sent: atomic::AtomicU64,
    bytes_received: atomic::AtomicU64,
}

/// Values of a traffic counter since the process started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Serialize)]
pub struct TrafficCount {
    /// Number of messages sent, those that failed included.
    pub calls: u64,
    /// Bytes of the messages sent, without protocol overhead.
    pub bytes_sent: u64,
    /// Bytes of the messages received, without protocol overhead.
    pub bytes_received: u64,
}

impl TrafficCounter {
    /// Counts a call and its bytes sent.
    pub fn sent(&self, bytes: usize) {
        self.calls.fetch_add(1, atomic::Ordering::Relaxed);
        self.bytes_sent
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Adds bytes received.
    pub fn received(&self, bytes: usize) {
        self.bytes_received
            .fetch_add(bytes as u64, atomic::Ordering::Relaxed);
    }

    /// Current values.
    pub fn count(&self) -> TrafficCount {
        TrafficCount {
            calls: self.calls.load(atomic::Ordering::Relaxed),
            bytes_sent: self.bytes_sent.load(atomic::Ordering::Relaxed),
            bytes_received: self.bytes_received.load(atomic::Ordering::Relaxed),
        }
    }
}
