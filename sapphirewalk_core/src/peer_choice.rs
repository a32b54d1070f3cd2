//! Choice of a peer entry VM to forward a request to when this entry VM's share is in use.
//!
//! A forwarded request is never forwarded again, which rules out forwarding loops.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::key::VmKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Default age at which a report of free slots expires.
const REPORT_LIFETIME: TimeSpan = TimeSpan::from_millis(500);

/// Time allowed for granting a slot, in addition to the round trip.
const GRANT_DELAY: TimeSpan = TimeSpan::from_millis(20);
/// Time after which a peer releases a granted slot that is not used.
pub const GRANT_LIFETIME: TimeSpan = TimeSpan::from_millis(100);

/// Latest report of free slots from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerReport {
    /// The entry VM that sent the report.
    pub peer: VmKey,
    /// Free slots of the peer's share in the report, less the requests forwarded to it since.
    pub free_slots: u32,
    /// Network round trip to the peer.
    pub round_trip: TimeSpan,
    /// Point at which the report arrived.
    pub reported_at: TimePoint,
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStep {
    /// Forward the request to this peer.
    Forward(VmKey),
    /// No peer has a free slot according to an unexpired report.
    NoneFree,
}

/// Protocol for forwarding a request to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardMode {
    /// Send the request at once; it can be retried if the peer fails.
    SendNow,
    /// Request a slot first, and send the request only once the slot is granted. If the peer fails
    /// or is cut off before that, the request has certainly not run.
    ReserveFirst {
        /// Point at which a missing grant counts as declined.
        until: TimePoint,
    },
}

/// Chooses how to forward a request to a peer with the given network round trip.
///
/// The peer holds a granted slot for at most [`GRANT_LIFETIME`].
pub fn forward_mode(is_idempotent: bool, round_trip: TimeSpan, now: TimePoint) -> ForwardMode {
    if is_idempotent {
        return ForwardMode::SendNow;
    }
    ForwardMode::ReserveFirst {
        until: now + round_trip + GRANT_DELAY,
    }
}

/// Peers of an entry VM and their reported free slots.
#[derive(Clone, Debug)]
pub struct PeerTable {
    /// Age at which a report expires.
    lifetime: TimeSpan,
    /// Sorted by peer.
    reports: Vec<PeerReport>,
}

impl PeerTable {
    /// A table without peers, whose reports have the default lifetime.
    pub fn new() -> Self {
        Self::with_lifetime(REPORT_LIFETIME)
    }

    /// A table without peers, whose reports expire at the age of `lifetime`.
    pub const fn with_lifetime(lifetime: TimeSpan) -> Self {
        Self {
            lifetime,
            reports: Vec::new(),
        }
    }

    /// Stores a report unless a newer one of the same peer is stored.
    pub fn report(&mut self, report: PeerReport) {
        match self.search(report.peer) {
            Ok(position) if self.reports[position].reported_at <= report.reported_at => {
                self.reports[position] = report;
            }
            Ok(_) => {}
            Err(position) => self.reports.insert(position, report),
        }
    }

    /// Updates the free slots of a known peer at `now`; ignored for an unknown peer.
    pub fn report_free(&mut self, peer: VmKey, free_slots: u32, now: TimePoint) {
        if let Ok(position) = self.search(peer) {
            self.reports[position].free_slots = free_slots;
            self.reports[position].reported_at = now;
        }
    }

    /// Removes a peer and its report.
    pub fn remove(&mut self, peer: VmKey) {
        if let Ok(position) = self.search(peer) {
            self.reports.remove(position);
        }
    }

    /// Sets the free slots of a peer to zero until its next report.
    ///
    /// For a peer that refused a request or could not be reached.
    pub fn mark_full(&mut self, peer: VmKey) {
        if let Ok(position) = self.search(peer) {
            self.reports[position].free_slots = 0;
        }
    }

    /// Whether any unexpired report shows a free slot.
    pub fn has_free(&self, now: TimePoint) -> bool {
        let unlimited = TimeSpan::from_micros(u64::MAX);
        self.reports
            .iter()
            .any(|report| report.is_free(unlimited, now, self.lifetime))
    }

    /// Chooses a peer whose round trip is shorter than `remaining`, and counts one of its slots as
    /// used.
    ///
    /// The shortest round trip is preferred. Among peers with the same round trip, two are drawn at
    /// random and the one with more free slots is chosen.
    pub fn choose(
        &mut self,
        remaining: TimeSpan,
        now: TimePoint,
        rng: &mut ChaCha8Rng,
    ) -> PeerStep {
        let free: Vec<usize> = (0..self.reports.len())
            .filter(|position| self.reports[*position].is_free(remaining, now, self.lifetime))
            .collect();
        let Some(nearest) = free
            .iter()
            .map(|position| self.reports[*position].round_trip)
            .min()
        else {
            return PeerStep::NoneFree;
        };
        let near: Vec<usize> = free
            .into_iter()
            .filter(|position| self.reports[*position].round_trip == nearest)
            .collect();
        let first = near[rng.random_range(0..near.len())];
        let second = near[rng.random_range(0..near.len())];
        let position = if self.reports[second].free_slots > self.reports[first].free_slots {
            second
        } else {
            first
        };
        self.reports[position].free_slots -= 1;
        PeerStep::Forward(self.reports[position].peer)
    }

    fn search(&self, peer: VmKey) -> Result<usize, usize> {
        self.reports
            .binary_search_by_key(&peer, |report| report.peer)
    }
}

impl Default for PeerTable {
    fn default() -> Self {
        Self::new()
    }
}

impl PeerReport {
    fn is_free(&self, remaining: TimeSpan, now: TimePoint, lifetime: TimeSpan) -> bool {
        self.free_slots > 0 && self.round_trip < remaining && now.since(self.reported_at) < lifetime
    }
}
