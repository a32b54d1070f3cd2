//! Deadlines that travel with a request and shrink at each hop.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// The point at which an answer is no longer wanted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestDeadline(TimePoint);

/// Whether there is time remaining for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlineStep {
    /// Go on; this much is remaining for the next hop.
    Proceed(TimeSpan),
    /// Too little is remaining for an answer; refuse now.
    TooLate,
}

impl RequestDeadline {
    /// The deadline of a request that arrives at `now`.
    ///
    /// `asked` is what the caller allows, if it says so; the kind's `longest` bounds it.
    pub fn on_arrival(asked: Option<TimeSpan>, longest: TimeSpan, now: TimePoint) -> Self {
        let span = asked.map_or(longest, |asked| asked.min(longest));
        Self(now + span)
    }

    /// A deadline at a point.
    pub const fn at(point: TimePoint) -> Self {
        Self(point)
    }

    /// The point of the deadline.
    pub const fn point(self) -> TimePoint {
        self.0
    }

    /// The time remaining at `now`.
    pub const fn remaining(self, now: TimePoint) -> TimeSpan {
        self.0.since(now)
    }

    /// Whether a step that takes `needed` and costs `hop_cost` on the way back fits in.
    ///
    /// `Proceed` holds the time to hand on to the next hop: what is remaining, less `hop_cost`.
    pub fn step(self, needed: TimeSpan, hop_cost: TimeSpan, now: TimePoint) -> DeadlineStep {
        let remaining = self.remaining(now);
        if remaining < needed + hop_cost || remaining == TimeSpan::ZERO {
            return DeadlineStep::TooLate;
        }
        let handed_on = remaining.as_micros() - hop_cost.as_micros();
        DeadlineStep::Proceed(TimeSpan::from_micros(handed_on))
    }
}
