//! What this process tells its peers, and what they last told it.

use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::Notify;

use sapphirewalk_core::time::TimePoint;

use crate::peer::PeerStatus;

/// What a peer last said.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Its status.
    pub status: PeerStatus,
    /// When it was heard.
    pub received_at: TimePoint,
}

/// The status of this process and of its peers of the same role.
#[derive(Debug)]
pub struct GossipState {
    own: Mutex<PeerStatus>,
    /// Sorted by VM name.
    peers: Mutex<Vec<PeerView>>,
    announcement: Notify,
}

impl GossipState {
    /// Builds a board that knows no peers.
    pub fn new(own: PeerStatus) -> Self {
        Self {
            own: Mutex::new(own),
            peers: Mutex::new(Vec::new()),
            announcement: Notify::new(),
        }
    }

    /// This process's status.
    pub fn own_status(&self) -> PeerStatus {
        self.own
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes this process's status; peers hear of it in the next exchange.
    pub fn update(&self, change: impl FnOnce(&mut PeerStatus)) {
        change(&mut self.own.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Changes this process's status and tells all peers at once.
    pub fn announce(&self, change: impl FnOnce(&mut PeerStatus)) {
        self.update(change);
        self.announcement.notify_one();
    }

    /// Waits until a change must be told at once.
    pub async fn announced(&self) {
        self.announcement.notified().await;
    }

    /// Records what a peer said.
    pub fn record_status(&self, status: PeerStatus, now: TimePoint) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let view = PeerView {
            status,
            received_at: now,
        };
        match peers.binary_search_by(|peer| peer.status.vm.cmp(&view.status.vm)) {
            Ok(found) if peers[found].status.incarnation > view.status.incarnation => {}
            Ok(found) => peers[found] = view,
            Err(place) => peers.insert(place, view),
        }
    }

    /// What the peers last said, sorted by VM name.
    pub fn peers(&self) -> Vec<PeerView> {
        self.peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
