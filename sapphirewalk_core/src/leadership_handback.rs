//! Decides when a leader on a small VM releases the leadership to a larger VM.
//!
//! A small VM acquires the leadership while no large one reaches the store. It lags under a load
//! that a large one carries, so it hands the leadership back once the store is calm.

use crate::election_delay;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Age of the last committed batch up to which the store is calm. A leader renews its row every
/// 400 ms.
const CALM_BATCH_AGE: TimeSpan = TimeSpan::from_millis(600);
/// How long the store must have been calm.
const CALM_SPAN: TimeSpan = TimeSpan::from_millis(1_000);
/// Shortest leadership that is handed back. It exceeds the 3 s for which the orders of a former
/// leader may still hold, so that two VMs don't take turns within them.
const SHORTEST_LEADERSHIP: TimeSpan = TimeSpan::from_millis(3_500);
/// Recent takeovers from which the leadership stays where it is: another one would cost more than a
/// small leader does.
const MANY_TAKEOVERS: usize = 3;

/// What a leader does with its leadership.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HandbackStep {
    /// Goes on leading.
    Keep,
    /// Releases the leadership, because a VM with this share of a core, in thousandths, is
    /// connected.
    Release(u64),
}

/// The peers of a leader, and whether it should hand the leadership back.
#[derive(Clone, Debug)]
pub struct LeadershipHandback {
    cpu_millis: u64,
    began_at: TimePoint,
    /// Takeovers seen shortly before this leadership, itself included.
    recent_takeovers: usize,
    /// Connections of peers with their shares of a core in thousandths; sorted by connection.
    peers: Vec<(u64, u64)>,
    calm_since: Option<TimePoint>,
}

impl LeadershipHandback {
    /// For a leadership that began at `began_at` on a VM with this share of a core in thousandths.
    pub const fn new(cpu_millis: u64, recent_takeovers: usize, began_at: TimePoint) -> Self {
        Self {
            cpu_millis,
            began_at,
            recent_takeovers,
            peers: Vec::new(),
            calm_since: None,
        }
    }

    /// Records the share of a core, in thousandths, of the peer on a connection.
    pub fn peer_connected(&mut self, connection: u64, cpu_millis: u64) {
        match self.peers.binary_search_by_key(&connection, |peer| peer.0) {
            Ok(place) => self.peers[place].1 = cpu_millis,
            Err(place) => self.peers.insert(place, (connection, cpu_millis)),
        }
    }

    /// Records that a connection has ended.
    pub fn peer_gone(&mut self, connection: u64) {
        if let Ok(place) = self.peers.binary_search_by_key(&connection, |peer| peer.0) {
            self.peers.remove(place);
        }
    }

    /// Decides whether to release the leadership. `batch_age` is the time since the last committed
    /// batch was sent.
    pub fn decide(&mut self, batch_age: TimeSpan, now: TimePoint) -> HandbackStep {
        if batch_age > CALM_BATCH_AGE {
            self.calm_since = None;
            return HandbackStep::Keep;
        }
        let calm_since = *self.calm_since.get_or_insert(now);
        let largest = self.peers.iter().map(|peer| peer.1).max().unwrap_or(0);
        let is_due = now.since(calm_since) >= CALM_SPAN
            && now.since(self.began_at) >= SHORTEST_LEADERSHIP
            && self.recent_takeovers < MANY_TAKEOVERS
            && election_delay::is_small(self.cpu_millis, largest);
        if is_due {
            HandbackStep::Release(largest)
        } else {
            HandbackStep::Keep
        }
    }
}
