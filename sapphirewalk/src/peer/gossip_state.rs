//! Status that this process sends to its peers, and the latest status received from each peer.

use std::sync::Mutex;
use std::sync::PoisonError;

use tokio::sync::Notify;

use sapphirewalk_core::time::TimePoint;

use crate::peer::PeerStatus;

/// Latest status received from a peer.
#[derive(Clone, Debug)]
pub struct PeerView {
    /// Status as the peer sent it.
    pub status: PeerStatus,
    /// Time at which this process received it.
    pub received_at: TimePoint,
}

/// Status of this process and of its peers of the same role.
#[derive(Debug)]
pub struct GossipState {
    own: Mutex<PeerStatus>,
    /// Sorted by VM name; a peer is never removed.
    peers: Mutex<Vec<PeerView>>,
    announcement: Notify,
}

impl GossipState {
    /// State with the own status and no peers.
    pub fn new(own: PeerStatus) -> Self {
        Self {
            own: Mutex::new(own),
            peers: Mutex::new(Vec::new()),
            announcement: Notify::new(),
        }
    }

    /// Status of this process.
    pub fn own_status(&self) -> PeerStatus {
        self.own
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Changes the status of this process. Peers receive it in the next regular exchange.
    pub fn update(&self, change: impl FnOnce(&mut PeerStatus)) {
        change(&mut self.own.lock().unwrap_or_else(PoisonError::into_inner));
    }

    /// Changes the status of this process and sends it to all peers at once.
    pub fn announce(&self, change: impl FnOnce(&mut PeerStatus)) {
        self.update(change);
        self.announcement.notify_one();
    }

    /// Waits for the next call of [`Self::announce`].
    pub async fn announced(&self) {
        self.announcement.notified().await;
    }

    /// Records a status received at `now`, unless a later incarnation of the VM is known.
    pub fn record_status(&self, status: PeerStatus, now: TimePoint) {
        let mut peers = self.peers.lock().unwrap_or_else(PoisonError::into_inner);
        let view = PeerView {
            status,
            received_at: now,
        };
        match peers.binary_search_by(|peer| peer.status.vm.cmp(&view.status.vm)) {
            Ok(found) if peers[found].status.incarnation > view.status.incarnation => {}
            Ok(found) => peers[found] = view,
            Err(position) => peers.insert(position, view),
        }
    }

    /// Latest status of each peer that ever sent one, sorted by VM name.
    pub fn peers(&self) -> Vec<PeerView> {
        self.peers
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
