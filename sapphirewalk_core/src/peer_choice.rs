//! Choice of a peer entry VM to forward a request to when the own share is in use.
//!
//! A forwarded request is never forwarded again, so that none travels in a circle.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::key::VmKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Age after which a report of free slots says nothing, unless told otherwise.
const REPORT_LIFETIME: TimeSpan = TimeSpan::from_millis(500);

/// What a grant may take beyond the round trip.
const GRANT_DELAY: TimeSpan = TimeSpan::from_millis(20);
/// How long a peer holds a slot that it granted and that is not used.
pub const GRANT_LIFETIME: TimeSpan = TimeSpan::from_millis(100);

/// What a peer last said of its free slots.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PeerReport {
    /// The peer.
    pub peer: VmKey,
    /// Free slots of its share when it reported, less those forwarded to it since.
    pub free_slots: u32,
    /// Round trip to the peer on the network.
    pub round_trip: TimeSpan,
    /// When the report arrived.
    pub reported_at: TimePoint,
}

/// What the choice came to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PeerStep {
    /// Forward the request there.
    Forward(VmKey),
    /// No peer is known to have a free slot.
    NoneFree,
}

/// How a request is handed to a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForwardMode {
    /// Send the request at once: it may be sent again if the peer is lost.
    SendNow,
    /// Ask for a slot and send the request when it is granted; without a grant by then it was
    /// declined. A peer that is lost or cut off can then not leave the outcome unknown.
    ReserveFirst {
        /// When an answer to the question is no longer waited for.
        until: TimePoint,
    },
}

/// How to hand a request to a peer at a distance of `round_trip`.
///
/// The peer holds a granted slot for [`GRANT_LIFETIME`] at most.
pub fn forward_mode(is_idempotent: bool, round_trip: TimeSpan, now: TimePoint) -> ForwardMode {
    if is_idempotent {
        return ForwardMode::SendNow;
    }
    ForwardMode::ReserveFirst {
        until: now + round_trip + GRANT_DELAY,
    }
}

/// The peers of an entry VM and their free slots.
#[derive(Clone, Debug)]
pub struct PeerTable {
    /// Age after which a report says nothing.
    lifetime: TimeSpan,
    /// Sorted by peer.
    reports: Vec<PeerReport>,
}

impl PeerTable {
    /// A table without peers.
    pub fn new() -> Self {
        Self::with_lifetime(REPORT_LIFETIME)
    }

    /// A table without peers, whose reports say nothing once they are older than `lifetime`.
    pub const fn with_lifetime(lifetime: TimeSpan) -> Self {
        Self {
            lifetime,
            reports: Vec::new(),
        }
    }

    /// Takes in a peer's report, if it is no older than the one known.
    pub fn report(&mut self, report: PeerReport) {
        match self.search(report.peer) {
            Ok(position) if self.reports[position].reported_at <= report.reported_at => {
                self.reports[position] = report;
            }
            Ok(_) => {}
            Err(position) => self.reports.insert(position, report),
        }
    }

    /// Takes in what a peer that is known said of its free slots at `now`.
    pub fn report_free(&mut self, peer: VmKey, free_slots: u32, now: TimePoint) {
        if let Ok(position) = self.search(peer) {
            self.reports[position].free_slots = free_slots;
            self.reports[position].reported_at = now;
        }
    }

    /// Forgets a peer.
    pub fn remove(&mut self, peer: VmKey) {
        if let Ok(position) = self.search(peer) {
            self.reports.remove(position);
        }
    }

    /// A peer refused a request or could not be reached: it counts as full until it reports.
    pub fn mark_full(&mut self, peer: VmKey) {
        if let Ok(position) = self.search(peer) {
            self.reports[position].free_slots = 0;
        }
    }

    /// Whether a peer is known to have a free slot.
    pub fn has_free(&self, now: TimePoint) -> bool {
        let longest = TimeSpan::from_micros(u64::MAX);
        self.reports
            .iter()
            .any(|report| report.is_free(longest, now, self.lifetime))
    }

    /// Chooses a peer whose round trip fits into `left`, and counts one of its slots as used.
    ///
    /// Nearer peers go first; among equally near ones, the one with more free slots of two drawn
    /// at random.
    pub fn choose(&mut self, left: TimeSpan, now: TimePoint, rng: &mut ChaCha8Rng) -> PeerStep {
        let free: Vec<usize> = (0..self.reports.len())
            .filter(|position| self.reports[*position].is_free(left, now, self.lifetime))
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
    fn is_free(&self, left: TimeSpan, now: TimePoint, lifetime: TimeSpan) -> bool {
        self.free_slots > 0 && self.round_trip < left && now.since(self.reported_at) < lifetime
    }
}
