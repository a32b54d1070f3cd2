//! Counts work in flight and rejects new work during shutdown.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts work in flight and rejects more once it is closed. Clones share one count.
#[derive(Clone, Debug, Default)]
pub struct DrainGate {
    shared: Arc<DrainShared>,
}

#[derive(Debug, Default)]
struct DrainShared {
    closed: watch::Sender<bool>,
    in_flight: watch::Sender<usize>,
}

/// One unit of work in flight; it ends when the guard is dropped.
#[derive(Debug)]
pub struct DrainGuard {
    shared: Arc<DrainShared>,
}

impl DrainGate {
    /// Adds a unit of work; `None` once the gate is closed.
    pub fn enter(&self) -> Option<DrainGuard> {
        // The lock on `closed` prevents closing between this check and the increment.
        let closed = self.shared.closed.borrow();
        if *closed {
            return None;
        }
        self.shared.in_flight.send_modify(|count| *count += 1);
        drop(closed);
        Some(DrainGuard {
            shared: Arc::clone(&self.shared),
        })
    }

    /// Rejects all further work. A closed gate is never reopened.
    pub fn close(&self) {
        self.shared.closed.send_replace(true);
    }

    /// Units of work in flight: connections of callers and requests of peers.
    pub fn in_flight(&self) -> usize {
        *self.shared.in_flight.borrow()
    }

    /// Waits until nothing is in flight.
    pub async fn wait_idle(&self) {
        let mut in_flight = self.shared.in_flight.subscribe();
        // Fails only after the sender is dropped, which `self` owns.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }

    /// Waits until the gate is closed.
    pub async fn wait_closed(&self) {
        let mut closed = self.shared.closed.subscribe();
        // Fails only after the sender is dropped, which `self` owns.
        let _ = closed.wait_for(|closed| *closed).await;
    }
}

impl Drop for DrainGuard {
    fn drop(&mut self) {
        self.shared
            .in_flight
            .send_modify(|count| *count = count.saturating_sub(1));
    }
}
