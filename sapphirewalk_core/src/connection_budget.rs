//! Limits what the callers of a server make it hold: connections, and the memory of request bodies.
//!
//! A connection whose request has been received completely is never closed to make room. Of the
//! others, the one that has made the least progress is closed first. Its progress is the time of its
//! last byte, but no more than the begin of its request and the time that what has been received
//! takes at [`BudgetLimits::usual_rate`]: neither a caller that has stopped nor one that sends a
//! little now and then keeps others out.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// How long an overdue connection is still read. While the process was paused, all timers became
/// due before the bytes that had arrived could be read.
pub const OVERDUE_GRACE: TimeSpan = TimeSpan::from_millis(1_000);

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Limits of a [`ConnectionBudget`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BudgetLimits {
    /// Most open connections.
    pub connections: usize,
    /// Most memory for request bodies, in bytes.
    pub body_bytes: usize,
    /// Time from the first byte of a request to the end of its head.
    pub head_timeout: TimeSpan,
    /// Time for a body, in addition to what it takes at `min_rate`.
    pub body_timeout: TimeSpan,
    /// Time without progress after which a caller doesn't read its answer any more.
    pub answer_timeout: TimeSpan,
    /// Slowest rate at which a caller has to send a body, in bytes per second; at least 1.
    pub min_rate: u64,
    /// Rate at which a caller makes full progress, in bytes per second; at least 1.
    pub usual_rate: u64,
}

/// A connection in a [`ConnectionBudget`]. It isn't valid for a later one in the same place.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ConnectionKey {
    index: u32,
    generation: u32,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPhase {
    /// No part of a request has arrived since the last answer.
    Idle,
    /// The head of a request is being received.
    Head,
    /// The body of a request is being received.
    Body,
    /// The request has been received completely and isn't answered yet.
    Serving,
    /// The answer is being sent.
    Answering,
    /// The connection is being closed.
    Closing,
}

/// Whether another connection may be opened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OpenStep {
    /// It is open.
    Opened(ConnectionKey),
    /// Close this connection, and try again when it is closed.
    CloseFirst(ConnectionKey),
    /// Try again when a connection that is being closed is closed.
    Wait,
    /// Reject it: all open connections are being served.
    Reject,
}

/// Whether more of a body may be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReserveStep {
    /// The memory is reserved.
    Reserved,
    /// Close this connection, and try again when its memory is released.
    CloseFirst(ConnectionKey),
    /// Try again when the memory of connections that are being closed is released.
    Wait,
    /// Refuse the request: all others have made more progress or are being served.
    Refuse,
}

/// Whether a connection makes progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ProgressStep {
    /// Nothing is expected from the caller.
    Continue,
    /// Check again at this time.
    CheckAt(TimePoint),
    /// Close the connection.
    Close,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionEntry {
    phase: ConnectionPhase,
    /// Begin of the phase; of a body, that of its request; of an answer, its last progress.
    since: TimePoint,
    /// Bytes of the body received so far.
    received: u64,
    /// When the last bytes of the body were received; before them, the begin of the phase.
    received_at: TimePoint,
    /// When a check first found the connection overdue, unless it has made progress since.
    overdue_at: Option<TimePoint>,
}

#[derive(Clone, Copy, Debug)]
struct ConnectionPlace {
    generation: u32,
    entry: Option<ConnectionEntry>,
    /// Memory reserved for bodies, in bytes. It may outlast the connection.
    reserved: usize,
}

impl ConnectionEntry {
    /// When a caller that sends at `rate`, in bytes per second, would have sent what was received.
    fn received_by(&self, rate: u64) -> TimePoint {
        let micros = self.received.saturating_mul(MICROS_PER_SECOND) / rate.max(1);
        self.since + TimeSpan::from_micros(micros)
    }
}

impl ConnectionPlace {
    /// Whether closing the connection releases reserved memory.
    fn holds_incomplete_body(&self) -> bool {
        let phase = self.entry.as_ref().map(|entry| entry.phase);
        self.reserved > 0 && phase == Some(ConnectionPhase::Body)
    }
}

/// Connections of a server and the memory reserved for their bodies.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    limits: BudgetLimits,
    places: Vec<ConnectionPlace>,
    /// Indices of places without connection and reserved memory.
    free: Vec<u32>,
    open: usize,
    reserved: usize,
}

impl ConnectionBudget {
    /// A budget without connections.
    pub const fn new(limits: BudgetLimits) -> Self {
        Self {
            limits,
            places: Vec::new(),
            free: Vec::new(),
            open: 0,
            reserved: 0,
        }
    }

    /// The present limits.
    pub const fn limits(&self) -> &BudgetLimits {
        &self.limits
    }

    /// Replaces the limits. Connections and memory over the new ones are kept.
    pub const fn set_limits(&mut self, limits: BudgetLimits) {
        self.limits = limits;
    }

    /// Number of open connections.
    pub const fn open_connections(&self) -> usize {
        self.open
    }

    /// Memory reserved for bodies, in bytes.
    pub const fn reserved_bytes(&self) -> usize {
        self.reserved
    }

    /// The phase of a connection; none once it is closed.
    pub fn phase(&self, key: ConnectionKey) -> Option<ConnectionPhase> {
        self.entry(key).map(|entry| entry.phase)
    }

    /// Opens a connection, if there is room.
    pub fn open(&mut self, now: TimePoint) -> OpenStep {
        if self.open >= self.limits.connections {
            if self.is_closing(|_| true) {
                return OpenStep::Wait;
            }
            let Some((key, _)) = self.least_progress(|_| true) else {
                return OpenStep::Reject;
            };
            self.set_phase(key, ConnectionPhase::Closing, now);
            return OpenStep::CloseFirst(key);
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.places.push(ConnectionPlace {
                generation: 0,
                entry: None,
                reserved: 0,
            });
            (self.places.len() - 1) as u32
        });
        self.open += 1;
        let place = &mut self.places[index as usize];
        place.entry = Some(ConnectionEntry {
            phase: ConnectionPhase::Idle,
            since: now,
            received: 0,
            received_at: now,
            overdue_at: None,
        });
        OpenStep::Opened(ConnectionKey {
            index,
            generation: place.generation,
        })
    }

    /// Records that a connection is closed. Its reserved memory is released separately.
    pub fn close(&mut self, key: ConnectionKey) {
        if self.entry(key).is_none() {
            return;
        }
        self.open -= 1;
        self.places[key.index as usize].entry = None;
        self.vacate(key);
    }

    /// Records that bytes have arrived. Between two requests, they begin the next one.
    pub fn record_received(&mut self, key: ConnectionKey, now: TimePoint) {
        if self.phase(key) == Some(ConnectionPhase::Idle) {
            self.set_phase(key, ConnectionPhase::Head, now);
        }
    }

    /// Records that the head of a request is complete. A request without a body is complete, too.
    pub fn begin_request(&mut self, key: ConnectionKey, has_body: bool, now: TimePoint) {
        let Some(entry) = self.open_entry(key) else {
            return;
        };
        let since = match entry.phase {
            ConnectionPhase::Head => entry.since,
            _ => now,
        };
        let phase = if has_body {
            ConnectionPhase::Body
        } else {
            ConnectionPhase::Serving
        };
        self.set_phase(key, phase, since);
    }

    /// Reserves memory for a part of a body. It stays reserved until [`Self::release`], also after
    /// the end of the connection.
    pub fn reserve(&mut self, key: ConnectionKey, bytes: usize, now: TimePoint) -> ReserveStep {
        if self.open_entry(key).is_none() {
            return ReserveStep::Refuse;
        }
        let needed = self.reserved.saturating_add(bytes);
        if needed <= self.limits.body_bytes {
            self.reserved = needed;
            self.places[key.index as usize].reserved += bytes;
            return ReserveStep::Reserved;
        }
        let own = self.places[key.index as usize].reserved;
        if own.saturating_add(bytes) > self.limits.body_bytes {
            return ReserveStep::Refuse;
        }
        if self.is_closing(|place| place.reserved > 0) {
            return ReserveStep::Wait;
        }
        match self.least_progress(ConnectionPlace::holds_incomplete_body) {
            Some((other, progress)) if other != key && progress <= self.progress_of(key) => {
                self.set_phase(other, ConnectionPhase::Closing, now);
                ReserveStep::CloseFirst(other)
            }
            Some(_) | None => ReserveStep::Refuse,
        }
    }

    /// Releases memory that was reserved for a connection.
    pub fn release(&mut self, key: ConnectionKey, bytes: usize) {
        let Some(place) = self.place_mut(key) else {
            return;
        };
        let released = bytes.min(place.reserved);
        place.reserved -= released;
        self.reserved -= released;
        self.vacate(key);
    }

    /// Records that a part of a body has been received.
    pub fn record_body(&mut self, key: ConnectionKey, bytes: usize, now: TimePoint) {
        if let Some(entry) = self.open_entry(key) {
            entry.received = entry.received.saturating_add(bytes as u64);
            entry.received_at = now;
            entry.overdue_at = None;
        }
    }

    /// Records that a request has been received completely.
    pub fn complete_request(&mut self, key: ConnectionKey, now: TimePoint) {
        if self.phase(key) == Some(ConnectionPhase::Body) {
            self.set_phase(key, ConnectionPhase::Serving, now);
        }
    }

    /// Records that the answer to a request is about to be sent.
    pub fn begin_answer(&mut self, key: ConnectionKey, now: TimePoint) {
        if self.open_entry(key).is_some() {
            self.set_phase(key, ConnectionPhase::Answering, now);
        }
    }

    /// Records that a part of an answer has been sent.
    pub fn record_sent(&mut self, key: ConnectionKey, now: TimePoint) {
        if let Some(entry) = self.open_entry(key)
            && entry.phase == ConnectionPhase::Answering
        {
            entry.since = now;
            entry.overdue_at = None;
        }
    }

    /// Records that all that was to be sent has been sent.
    pub fn complete_answer(&mut self, key: ConnectionKey, now: TimePoint) {
        if self.phase(key) == Some(ConnectionPhase::Answering) {
            self.set_phase(key, ConnectionPhase::Idle, now);
        }
    }

    /// Decides whether a connection goes on. It is closed at the second check that finds it overdue,
    /// [`OVERDUE_GRACE`] or more after the first.
    pub fn check_progress(&mut self, key: ConnectionKey, now: TimePoint) -> ProgressStep {
        let Some(deadline) = self.deadline(key) else {
            return ProgressStep::Continue;
        };
        if now < deadline {
            return ProgressStep::CheckAt(deadline);
        }
        let Some(entry) = self.open_entry(key) else {
            return ProgressStep::Continue;
        };
        let close_at = *entry.overdue_at.get_or_insert(now) + OVERDUE_GRACE;
        if now < close_at {
            return ProgressStep::CheckAt(close_at);
        }
        entry.phase = ConnectionPhase::Closing;
        ProgressStep::Close
    }

    /// Time by which the caller of a connection has to make progress.
    fn deadline(&self, key: ConnectionKey) -> Option<TimePoint> {
        let entry = self.entry(key)?;
        match entry.phase {
            ConnectionPhase::Head => Some(entry.since + self.limits.head_timeout),
            ConnectionPhase::Body => {
                let due_at = entry.received_by(self.limits.min_rate);
                Some(due_at + self.limits.body_timeout)
            }
            ConnectionPhase::Answering => Some(entry.since + self.limits.answer_timeout),
            ConnectionPhase::Idle | ConnectionPhase::Serving | ConnectionPhase::Closing => None,
        }
    }

    /// The earlier, the less progress.
    fn progress(&self, entry: &ConnectionEntry) -> TimePoint {
        let usual = entry.received_by(self.limits.usual_rate);
        usual.min(entry.received_at)
    }

    fn progress_of(&self, key: ConnectionKey) -> Option<TimePoint> {
        Some(self.progress(self.entry(key)?))
    }

    /// The connection with the least progress among those whose requests are incomplete.
    fn least_progress(
        &self,
        includes: impl Fn(&ConnectionPlace) -> bool,
    ) -> Option<(ConnectionKey, Option<TimePoint>)> {
        let candidates = self.places.iter().zip(0u32..).filter_map(|(place, index)| {
            let entry = place.entry.as_ref().filter(|_| includes(place))?;
            let key = ConnectionKey {
                index,
                generation: place.generation,
            };
            match entry.phase {
                ConnectionPhase::Idle | ConnectionPhase::Head | ConnectionPhase::Body => {
                    Some((key, Some(self.progress(entry))))
                }
                ConnectionPhase::Serving
                | ConnectionPhase::Answering
                | ConnectionPhase::Closing => None,
            }
        });
        candidates.min_by_key(|(_, progress)| *progress)
    }

    fn is_closing(&self, includes: impl Fn(&ConnectionPlace) -> bool) -> bool {
        self.places.iter().any(|place| {
            let phase = place.entry.as_ref().map(|entry| entry.phase);
            phase == Some(ConnectionPhase::Closing) && includes(place)
        })
    }

    fn set_phase(&mut self, key: ConnectionKey, phase: ConnectionPhase, since: TimePoint) {
        if let Some(entry) = self.open_entry(key) {
            *entry = ConnectionEntry {
                phase,
                since,
                received: 0,
                received_at: since,
                overdue_at: None,
            };
        }
    }

    /// Frees the place of a connection that is closed and has no reserved memory.
    fn vacate(&mut self, key: ConnectionKey) {
        let Some(place) = self.place_mut(key) else {
            return;
        };
        if place.entry.is_none() && place.reserved == 0 {
            place.generation = place.generation.wrapping_add(1);
            self.free.push(key.index);
        }
    }

    fn entry(&self, key: ConnectionKey) -> Option<&ConnectionEntry> {
        let place = self.places.get(key.index as usize)?;
        place
            .entry
            .as_ref()
            .filter(|_| place.generation == key.generation)
    }

    /// The entry of a connection that isn't being closed.
    fn open_entry(&mut self, key: ConnectionKey) -> Option<&mut ConnectionEntry> {
        let entry = self.place_mut(key)?.entry.as_mut()?;
        (entry.phase != ConnectionPhase::Closing).then_some(entry)
    }

    fn place_mut(&mut self, key: ConnectionKey) -> Option<&mut ConnectionPlace> {
        let place = self.places.get_mut(key.index as usize)?;
        (place.generation == key.generation).then_some(place)
    }
}
