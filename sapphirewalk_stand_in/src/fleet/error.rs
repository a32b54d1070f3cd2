//! The errors of the fleet harness.

use std::fmt;
use std::io;
use std::path;
use std::process;

use crate::client::CallError;

/// Why the harness could not start or control the fleet.
#[derive(Debug)]
pub enum FleetError {
    /// An operation on a file, a socket or a child process failed.
    Io {
        /// The operation, as a verb with its object.
        action: &'static str,
        /// The error of the operating system.
        error: io::Error,
    },
    /// A test certificate could not be created.
    Certificate(rcgen::Error),
    /// A settings file could not be written as JSON.
    Document(serde_json::Error),
    /// A daemon or command ended although it was expected to run.
    Exited {
        /// The process: `VM daemon`, or the name of a command.
        process: String,
        /// The exit status.
        status: process::ExitStatus,
        /// The end of its standard output and error.
        log_tail: String,
    },
    /// An operator's command ended with an exit status other than zero.
    Command {
        /// The command's name.
        command: &'static str,
        /// The exit status.
        status: process::ExitStatus,
        /// Its standard output and error.
        output: String,
    },
    /// A condition was not met by its deadline.
    TimedOut {
        /// The condition, as a clause that follows "until".
        condition: String,
    },
    /// A signal to a process, or a wait for its end, was requested although it does not run.
    NotRunning {
        /// The process: `VM daemon`, or the key of the daemon.
        process: String,
    },
    /// An HTTP call to a daemon failed.
    Call(CallError),
    /// There is no file at [`FleetPlan::binary`](crate::fleet::FleetPlan::binary).
    NoBinary(path::PathBuf),
}

impl FleetError {
    /// A function for `map_err` that makes an [`Io`](Self::Io) error of `action`, such as "write a
    /// file".
    pub const fn io(action: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |error| Self::Io { action, error }
    }

    /// Whether a process ended because another program uses one of its ports, as its log shows.
    pub fn is_port_in_use(&self) -> bool {
        match self {
            Self::Exited { log_tail, .. } => log_tail.contains("in use"),
            _ => false,
        }
    }
}

impl fmt::Display for FleetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io { action, error } => {
                write!(
                    formatter,
                    "can't {action}: {error}; check disk space, free ports and permissions"
                )
            }
            Self::Certificate(error) => write!(
                formatter,
                "can't create a certificate: {error}; check the VM names"
            ),
            Self::Document(error) => write!(
                formatter,
                "can't write the settings as JSON: {error}; check FleetPlan.scheduler"
            ),
            Self::Exited {
                process,
                status,
                log_tail,
            } => {
                write!(
                    formatter,
                    "{process} ended with {status}; see the end of its log:\n{log_tail}"
                )
            }
            Self::Command {
                command,
                status,
                output,
            } => {
                write!(
                    formatter,
                    "`{command}` ended with {status}; see its output:\n{output}"
                )
            }
            Self::TimedOut { condition } => {
                write!(
                    formatter,
                    "timed out waiting until {condition}; see the ends of the logs"
                )
            }
            Self::NotRunning { process } => {
                write!(formatter, "{process} does not run; start it first")
            }
            Self::Call(error) => write!(formatter, "{error}"),
            Self::NoBinary(path) => {
                write!(
                    formatter,
                    "the binary {} is missing; build sapphirewalk first",
                    path.display()
                )
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
