//! Why the fleet could not do what a test asked.

use std::fmt;
use std::io;
use std::path;
use std::process;

use crate::client::CallError;

/// A failure of the harness.
#[derive(Debug)]
pub enum FleetError {
    /// A file, a port or a child process could not be had.
    Io {
        /// What was tried.
        action: &'static str,
        /// The cause.
        error: io::Error,
    },
    /// A certificate could not be made.
    Certificate(rcgen::Error),
    /// A document could not be written as JSON.
    Document(serde_json::Error),
    /// A process ended before it was ready.
    Exited {
        /// The process, as `VM daemon`.
        process: String,
        /// How it ended.
        status: process::ExitStatus,
        /// The end of what it wrote.
        tail: String,
    },
    /// A command of the binary failed.
    Command {
        /// The command's name.
        command: &'static str,
        /// How it ended.
        status: process::ExitStatus,
        /// What it wrote.
        output: String,
    },
    /// A condition did not come true in time.
    TimedOut {
        /// What was waited for.
        condition: String,
    },
    /// A process that does not run was to get a signal.
    NotRunning {
        /// The process, as `VM daemon`.
        process: String,
    },
    /// A call to a process failed.
    Call(CallError),
    /// The binary is not where it was said to be.
    NoBinary(path::PathBuf),
}

impl FleetError {
    /// Wraps an I/O error.
    pub const fn io(action: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |error| Self::Io { action, error }
    }

    /// Whether a process could not bind a port that it was given.
    pub fn is_port_in_use(&self) -> bool {
        match self {
            Self::Exited { tail, .. } => tail.contains("in use"),
            _ => false,
        }
    }
}

impl fmt::Display for FleetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { action, error } => {
                write!(formatter, "check the temp directory: {action}: {error}")
            }
            Self::Certificate(error) => write!(formatter, "check the VM names: {error}"),
            Self::Document(error) => write!(formatter, "correct the document: {error}"),
            Self::Exited {
                process,
                status,
                tail,
            } => {
                write!(
                    formatter,
                    "see the end of its log: {process} ended with {status}\n{tail}"
                )
            }
            Self::Command {
                command,
                status,
                output,
            } => {
                write!(
                    formatter,
                    "see its output: `{command}` ended with {status}\n{output}"
                )
            }
            Self::TimedOut { condition } => {
                write!(
                    formatter,
                    "see the ends of the logs: in vain waited until {condition}"
                )
            }
            Self::NotRunning { process } => write!(formatter, "start {process} first"),
            Self::Call(error) => write!(formatter, "{error}"),
            Self::NoBinary(path) => {
                write!(formatter, "build sapphirewalk first: no {}", path.display())
            }
        }
    }
}

impl std::error::Error for FleetError {}

impl From<CallError> for FleetError {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}
