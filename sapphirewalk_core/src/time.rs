//! Points in time and time spans in microseconds.

use std::fmt;
use std::ops;

use serde::Deserialize;
use serde::Serialize;

/// Microseconds in one millisecond.
const MICROS_PER_MILLI: u64 = 1_000;
/// Microseconds in one second.
const MICROS_PER_SECOND: u64 = 1_000_000;

/// A point in time: microseconds since the Unix epoch, on the clock of the process that passes it
/// in.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct TimePoint(u64);

/// A span of time in microseconds.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
pub struct TimeSpan(u64);

impl TimePoint {
    /// The Unix epoch.
    pub const EPOCH: Self = Self(0);

    /// A point from microseconds since the Unix epoch.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A point from milliseconds since the Unix epoch; saturates.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Microseconds since the Unix epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Milliseconds since the Unix epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The span since `earlier`; zero if `earlier` is after this point.
    pub const fn since(self, earlier: Self) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl TimeSpan {
    /// A span of no time.
    pub const ZERO: Self = Self(0);

    /// A span from microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// A span from milliseconds; saturates.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// A span from seconds; saturates.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs.saturating_mul(MICROS_PER_SECOND))
    }

    /// The span in microseconds.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// The span in milliseconds, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The span in seconds, with fractions.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SECOND as f64
    }

    /// The span times `factor`; zero if `factor` is negative or NaN.
    pub fn scale(self, factor: f64) -> Self {
        Self((self.0 as f64 * factor.max(0.0)) as u64)
    }
}

impl ops::Add<TimeSpan> for TimePoint {
    type Output = Self;

    fn add(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl ops::Sub<TimeSpan> for TimePoint {
    type Output = Self;

    fn sub(self, span: TimeSpan) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl ops::Add for TimeSpan {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl From<TimeSpan> for std::time::Duration {
    fn from(span: TimeSpan) -> Self {
        Self::from_micros(span.0)
    }
}

impl From<std::time::Duration> for TimeSpan {
    fn from(duration: std::time::Duration) -> Self {
        Self(u64::try_from(duration.as_micros()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for TimeSpan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}ms", self.as_millis())
    }
}
