//! Errors of the measurements.

use std::fmt;

use crate::client::CallError;
use crate::fleet::FleetError;

/// Why a series could not be measured.
#[derive(Debug)]
pub enum SlopeError {
    /// The fleet did not start, or a condition on it was not met in time.
    Fleet(FleetError),
    /// A call to a daemon gave no usable answer.
    Call(CallError),
    /// A state dump lacks the usage section.
    NoUsage,
    /// This many calls of the load failed, so that the figures would be of a smaller load.
    LoadRefused(usize),
}

impl fmt::Display for SlopeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet(source) => source.fmt(formatter),
            Self::Call(source) => source.fmt(formatter),
            Self::NoUsage => write!(
                formatter,
                "a state dump has no usage; build both programs from one version"
            ),
            Self::LoadRefused(count) => {
                write!(
                    formatter,
                    "{count} calls of the load failed; measure on an idle machine"
                )
            }
        }
    }
}

impl From<FleetError> for SlopeError {
    fn from(source: FleetError) -> Self {
        Self::Fleet(source)
    }
}

impl From<CallError> for SlopeError {
    fn from(source: CallError) -> Self {
        Self::Call(source)
    }
}
