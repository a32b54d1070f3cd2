//! Header line of a trace: its subject, its name and the outcomes that a replay must meet.

use std::fmt;

use serde::Deserialize;

/// Kind of load in a trace; selects the simulation that replays it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TraceSubject {
    /// Requests that gateways send to the endpoints of services.
    Request,
    /// Batch tasks that a scheduler places on workers.
    Batch,
}

/// Bound on the value of a measure, in the unit of the measure.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OutcomeBound {
    /// Upper bound, inclusive.
    AtMost(f64),
    /// Lower bound, inclusive.
    AtLeast(f64),
}

/// Outcome that a replay of the trace must meet.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
pub struct StatedOutcome {
    /// Name of the measure, with its unit, as in the printed table.
    pub measure: String,
    /// Bound on the value that the product achieves; baselines are not checked.
    pub bound: OutcomeBound,
}

/// Contents of the header line.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceHeader {
    /// Selects the simulation that replays the trace.
    pub subject: TraceSubject,
    /// Name printed above the table.
    pub name: String,
    /// Outcomes to meet; a measure without one is printed but not checked.
    pub outcomes: Vec<StatedOutcome>,
}

impl OutcomeBound {
    /// Whether `value` meets the bound.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            Self::AtMost(most) => value <= most,
            Self::AtLeast(least) => value >= least,
        }
    }
}

impl fmt::Display for OutcomeBound {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(most) => write!(formatter, "<= {most}"),
            Self::AtLeast(least) => write!(formatter, ">= {least}"),
        }
    }
}
