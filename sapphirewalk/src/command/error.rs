//! Errors of operator commands.

use std::fmt;
use std::io;
use std::path;

use sapphirewalk_wire::signature::SignatureError;

use crate::config::ConfigError;
use crate::platform::PlatformError;
use crate::rollout::RolloutError;

/// Error of an operator command.
#[derive(Debug)]
pub enum CommandError {
    /// A file can't be read or written.
    File {
        /// Path of the file, as given on the command line.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The settings are invalid or can't be read.
    Config(ConfigError),
    /// A call to the platform failed.
    Platform(PlatformError),
    /// The bundle or rollout is invalid.
    Rollout(RolloutError),
    /// The signing key is malformed.
    Signature(SignatureError),
    /// The object store has no bundle with this digest.
    NoBundle(String),
    /// A concurrent rollout of another operator took the sequence number.
    SequenceTaken {
        /// Sequence number that was to be used.
        sequence: u64,
    },
    /// A stored value or an answer can't be parsed.
    BadValue(String),
    /// Number of faults in all trails; each was printed.
    TrailFaults(usize),
    /// Addresses of processes that did not answer.
    NoAnswer(Vec<String>),
    /// The scheduler refused the call; contains the body of its answer.
    Refused(String),
    /// No rollout with this sequence number was accepted.
    NoRollout(u64),
    /// A subcommand is missing; contains the commands to choose from.
    MissingCommand(&'static str),
    /// The async runtime can't be started.
    System(io::Error),
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => {
                write!(
                    formatter,
                    "can't access {}: {source}; check the path",
                    path.display()
                )
            }
            Self::Config(source) => source.fmt(formatter),
            Self::Platform(source) => source.fmt(formatter),
            Self::Rollout(source) => source.fmt(formatter),
            Self::Signature(source) => source.fmt(formatter),
            Self::NoBundle(digest) => {
                write!(
                    formatter,
                    "no bundle with digest {digest} is stored; run `sign` first"
                )
            }
            Self::SequenceTaken { sequence } => {
                write!(
                    formatter,
                    "another rollout took number {sequence}; check `audit in-force`, then retry"
                )
            }
            Self::BadValue(cause) => write!(
                formatter,
                "a value is malformed: {cause}; use the version that the processes run"
            ),
            Self::TrailFaults(count) => {
                write!(
                    formatter,
                    "the audit trail has {count} faults; keep the objects as evidence"
                )
            }
            Self::NoAnswer(addresses) => {
                write!(
                    formatter,
                    "no answer from {}; check the addresses and that the processes run",
                    addresses.join(", ")
                )
            }
            Self::Refused(answer) => write!(formatter, "the scheduler refused the call: {answer}"),
            Self::NoRollout(sequence) => {
                write!(
                    formatter,
                    "no rollout {sequence} was accepted; run `audit in-force` for the latest one"
                )
            }
            Self::MissingCommand(choices) => {
                write!(formatter, "the subcommand is missing; use {choices}")
            }
            Self::System(source) => write!(
                formatter,
                "can't start the runtime: {source}; check the resource limits"
            ),
        }
    }
}

impl From<ConfigError> for CommandError {
    fn from(source: ConfigError) -> Self {
        Self::Config(source)
    }
}

impl From<PlatformError> for CommandError {
    fn from(source: PlatformError) -> Self {
        Self::Platform(source)
    }
}

impl From<RolloutError> for CommandError {
    fn from(source: RolloutError) -> Self {
        Self::Rollout(source)
    }
}

impl From<SignatureError> for CommandError {
    fn from(source: SignatureError) -> Self {
        Self::Signature(source)
    }
}
