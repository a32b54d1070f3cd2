//! How long the slot of an attempt stays in use at its endpoint.
//!
//! A request carries the time that remains until its deadline, and its endpoint ends it by then. A
//! process that was paused may write a request long after it was built, so without an answer, the
//! endpoint may have received it at any time up to the end of the attempt.

use crate::deadline::RequestDeadline;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Slot of an attempt that is about to be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SlotHold {
    sent_at: TimePoint,
    /// Time that the request gives its endpoint.
    remaining: TimeSpan,
    /// Time by which the endpoint may end later.
    margin: TimeSpan,
}

/// Whether an attempt may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendStep {
    /// Send it; its slot is held as stated.
    Send(SlotHold),
    /// The deadline has passed, for example while the process was paused. Don't send it.
    TooLate,
}

impl SlotHold {
    /// Decides whether an attempt may be sent at `now`.
    pub fn begin(deadline: RequestDeadline, margin: TimeSpan, now: TimePoint) -> SendStep {
        let remaining = deadline.remaining(now);
        if remaining == TimeSpan::ZERO {
            return SendStep::TooLate;
        }
        SendStep::Send(Self {
            sent_at: now,
            remaining,
            margin,
        })
    }

    /// When the attempt was about to be sent.
    pub const fn sent_at(&self) -> TimePoint {
        self.sent_at
    }

    /// End of the slot of an attempt that ended without a complete answer at `ended_at`: the
    /// endpoint may have received the request only then.
    pub fn release_at(&self, ended_at: TimePoint) -> TimePoint {
        ended_at.max(self.sent_at) + self.remaining + self.margin
    }
}
