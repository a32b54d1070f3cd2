//! Deadlines of requests, passed on and shortened at each hop.

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Point after which the answer to a request is of no use.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RequestDeadline(TimePoint);

/// Whether the remaining time suffices for a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeadlineStep {
    /// Continue; the next hop gets this much time.
    Proceed(TimeSpan),
    /// Too little time remains for an answer; refuse the request now.
    TooLate,
}

impl RequestDeadline {
    /// The deadline of a request that arrives at `now`.
    ///
    /// `requested` is the time that the caller allows, if it set one. `max` is the limit of the
    /// kind, which also applies if the caller set none.
    pub fn on_arrival(requested: Option<TimeSpan>, max: TimeSpan, now: TimePoint) -> Self {
        let span = requested.map_or(max, |requested| requested.min(max));
        Self(now + span)
    }

    /// A deadline at a fixed point, independent of the limit of any kind.
    pub const fn at(point: TimePoint) -> Self {
        Self(point)
    }

    /// The point in time at which the deadline expires.
    pub const fn point(self) -> TimePoint {
        self.0
    }

    /// Time remaining at `now`; zero once the deadline has passed.
    pub const fn remaining(self, now: TimePoint) -> TimeSpan {
        self.0.since(now)
    }

    /// Whether a step fits into the remaining time.
    ///
    /// The step takes `needed`, and the answer needs `hop_cost` to come back. `Proceed` carries the
    /// time for the next hop: the remaining time less `hop_cost`.
    pub fn step(self, needed: TimeSpan, hop_cost: TimeSpan, now: TimePoint) -> DeadlineStep {
        let remaining = self.remaining(now);
        if remaining < needed + hop_cost || remaining == TimeSpan::ZERO {
            return DeadlineStep::TooLate;
        }
        let next_hop = remaining.as_micros() - hop_cost.as_micros();
        DeadlineStep::Proceed(TimeSpan::from_micros(next_hop))
    }
}
