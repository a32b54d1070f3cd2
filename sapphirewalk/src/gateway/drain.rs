//! Requests in flight, and whether new ones are taken.

use std::sync::Arc;

use tokio::sync::watch;

/// Counts what is in flight and refuses more once it is closed. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct DrainGate {
    shared: Arc<DrainShared>,
}

#[derive(Debug, Default)]
struct DrainShared {
    closed: watch::Sender<bool>,
    in_flight: watch::Sender<usize>,
}

/// Counts as one in flight until it is dropped.
#[derive(Debug)]
pub struct DrainGuard {
    shared: Arc<DrainShared>,
}

impl DrainGate {
    /// Takes up one more; `None` once the gate is closed.
    pub fn enter(&self) -> Option<DrainGuard> {
        // The lock on `closed` orders this entry before or after the closing.
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

    /// Takes up nothing more.
    pub fn close(&self) {
        self.shared.closed.send_replace(true);
    }

    /// How many are in flight.
    pub fn in_flight(&self) -> usize {
        *self.shared.in_flight.borrow()
    }

    /// Waits until nothing is in flight.
    pub async fn wait_idle(&self) {
        let mut in_flight = self.shared.in_flight.subscribe();
        // An error would mean that the sender is gone, but this gate holds it.
        let _ = in_flight.wait_for(|count| *count == 0).await;
    }

    /// Waits until the gate is closed.
    pub async fn wait_closed(&self) {
        let mut closed = self.shared.closed.subscribe();
        // As above.
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
