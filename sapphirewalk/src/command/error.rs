//! Errors of operator commands.

use std::fmt;
use std::io;
use std::path;

use sapphirewalk_wire::signature::SignatureError;

use crate::config::ConfigError;
use crate::platform::PlatformError;
use crate::rollout::RolloutError;

/// Why an operator command failed.
#[derive(Debug)]
pub enum CommandError {
    /// A file could not be read or written.
    File {
        /// The file.
        path: path::PathBuf,
        /// What the system said.
        source: io::Error,
    },
    /// The settings were not accepted.
    Config(ConfigError),
    /// The platform gave no answer.
    Platform(PlatformError),
    /// The bundle or rollout is in error.
    Rollout(RolloutError),
    /// The key is in error.
    Signature(SignatureError),
    /// No bundle with this digest is in the object store.
    NoBundle(String),
    /// Another operator rolled out at the same time.
    SequenceTaken {
        /// The number that the other rollout took.
        sequence: u64,
    },
    /// A stored value could not be understood.
    BadValue(String),
    /// The trails have this many faults, which were printed.
    TrailFaults(usize),
    /// These processes gave no answer.
    NoAnswer(Vec<String>),
    /// The scheduler refused the call, with this answer.
    Refused(String),
    /// No rollout has this number.
    NoRollout(u64),
    /// A command needs one of these commands.
    MissingCommand(&'static str),
    /// The runtime could not start.
    System(io::Error),
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::File { path, source } => {
                write!(formatter, "{}: {source}; check the path", path.display())
            }
            Self::Config(source) => source.fmt(formatter),
            Self::Platform(source) => source.fmt(formatter),
            Self::Rollout(source) => source.fmt(formatter),
            Self::Signature(source) => source.fmt(formatter),
            Self::NoBundle(digest) => {
                write!(formatter, "no signed bundle {digest}; run `sign` first")
            }
            Self::SequenceTaken { sequence } => {
                write!(
                    formatter,
                    "another rollout took number {sequence}; look, then roll out anew"
                )
            }
            Self::BadValue(cause) => write!(formatter, "stored value: {cause}; run one version"),
            Self::TrailFaults(count) => {
                write!(
                    formatter,
                    "{count} faults in the audit trail; keep the objects as evidence"
                )
            }
            Self::NoAnswer(addresses) => {
                write!(
                    formatter,
                    "no answer from {}; check the processes",
                    addresses.join(", ")
                )
            }
            Self::Refused(answer) => write!(formatter, "refused: {answer}"),
            Self::NoRollout(sequence) => {
                write!(
                    formatter,
                    "no rollout {sequence}; look with `audit in-force`"
                )
            }
            Self::MissingCommand(choices) => write!(formatter, "give a command of {choices}"),
            Self::System(source) => write!(formatter, "{source}; check the process's limits"),
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
