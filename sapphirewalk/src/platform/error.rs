//! Errors of platform calls.

use std::fmt;

/// Error of a call to the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PlatformError {
    /// No connection could be opened. The call had no effect.
    Unreachable(String),
    /// The platform refused the call with this HTTP status. The call had no effect.
    Refused(u16),
    /// The answer was lost or late. The call may have had an effect.
    AnswerLost(String),
    /// The answer can't be parsed. The call may have had an effect.
    BadAnswer(String),
    /// The name of a new object is in use. The call had no effect.
    ObjectExists,
}

impl PlatformError {
    /// Whether the call may have had an effect, so that it must be read back before it is repeated.
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Refused(_) | Self::ObjectExists => false,
            Self::AnswerLost(_) | Self::BadAnswer(_) => true,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => {
                write!(
                    formatter,
                    "platform unreachable: {cause}; check the platform's addresses"
                )
            }
            Self::Refused(status) => {
                write!(
                    formatter,
                    "platform refused with status {status}; retry when it is up"
                )
            }
            Self::AnswerLost(cause) => {
                write!(
                    formatter,
                    "platform's answer lost: {cause}; read back before retrying"
                )
            }
            Self::BadAnswer(cause) => {
                write!(
                    formatter,
                    "platform's answer not understood: {cause}; check its version"
                )
            }
            Self::ObjectExists => write!(formatter, "object exists; read it instead"),
        }
    }
}
