//! Errors of calls between peers.

use std::fmt;
use std::io;

/// Error of a call to a peer, or of the setup of the transport.
#[derive(Debug)]
pub enum PeerError {
    /// No byte of the call was sent, so the peer did not act on it.
    Unreachable(String),
    /// Part or all of the call was sent, but no whole answer arrived. The outcome is unknown.
    AnswerLost(String),
    /// The answer can't be parsed. The outcome is unknown.
    BadAnswer(String),
    /// A certificate, key or TLS configuration is invalid.
    Setup {
        /// Path of the setting to correct.
        setting: &'static str,
        /// Message of the library that read or checked it.
        cause: String,
    },
    /// The address `listen.peer` can't be bound.
    Bind(io::Error),
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => {
                write!(
                    formatter,
                    "the peer is unreachable: {cause}; use another peer"
                )
            }
            Self::AnswerLost(cause) => {
                write!(
                    formatter,
                    "the peer's answer was lost: {cause}; treat the outcome as unknown"
                )
            }
            Self::BadAnswer(cause) => {
                write!(
                    formatter,
                    "the peer's answer is malformed: {cause}; run the same version on all entry VMs"
                )
            }
            Self::Setup { setting, cause } => {
                write!(formatter, "{setting}: {cause}; correct the setting")
            }
            Self::Bind(source) => {
                write!(
                    formatter,
                    "can't bind listen.peer: {source}; free the port or change the setting"
                )
            }
        }
    }
}
