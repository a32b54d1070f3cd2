//! Counts refused callers and limits the log lines about them.

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

/// Shortest time between two log lines about one reason.
const LOG_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// Why a connection was closed or a request was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RefusalReason {
    /// A connection was closed to make room for a new one.
    Crowded,
    /// A connection was closed because its caller made no progress.
    Stalled,
    /// A new connection was rejected, since all others were being served.
    Busy,
    /// A connection was closed to make room for the body of another request.
    BodyRoom,
    /// A request was refused because there was no memory for its body.
    BodyMemory,
}

impl RefusalReason {
    const ALL: [Self; 5] = [
        Self::Crowded,
        Self::Stalled,
        Self::Busy,
        Self::BodyRoom,
        Self::BodyMemory,
    ];

    /// Name in log lines and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Crowded => "crowded",
            Self::Stalled => "stalled",
            Self::Busy => "busy",
            Self::BodyRoom => "body_room",
            Self::BodyMemory => "body_memory",
        }
    }
}

/// Refusals of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct RefusalReport {
    counters: [RefusalCounter; RefusalReason::ALL.len()],
}

#[derive(Clone, Copy, Debug, Default)]
struct RefusalCounter {
    total: u64,
    unlogged: u64,
    logged_at: Option<TimePoint>,
}

impl RefusalReport {
    /// Counts a refusal. Returns the number to log, which is that since the last log line about the
    /// reason; `None` if that line is too recent.
    pub fn record(&mut self, reason: RefusalReason, now: TimePoint) -> Option<u64> {
        let counter = &mut self.counters[reason as usize];
        counter.total += 1;
        counter.unlogged += 1;
        let is_recent = |logged_at| now.since(logged_at) < LOG_INTERVAL;
        if counter.logged_at.is_some_and(is_recent) {
            return None;
        }
        counter.logged_at = Some(now);
        Some(std::mem::take(&mut counter.unlogged))
    }

    /// Number of refusals for each reason since the start, by the reason's name.
    pub fn counts(&self) -> impl Iterator<Item = (&'static str, u64)> {
        let counters = RefusalReason::ALL.iter().zip(&self.counters);
        counters.map(|(reason, counter)| (reason.as_str(), counter.total))
    }
}
