//! A child process: start, signals, exit status and log.

use std::fs;
use std::path;
use std::process;

use rustix::process as unix_process;

use crate::fleet::error::FleetError;

/// How many bytes from the end of a log an error shows.
const TAIL_BYTES: usize = 4_000;

/// A child process of the harness, and the files to which its output is appended. Dropping it kills
/// the process.
#[derive(Debug)]
pub(super) struct ChildProcess {
    name: String,
    child: Option<process::Child>,
    output_file: path::PathBuf,
    error_file: path::PathBuf,
}

impl ChildProcess {
    /// A process that was not started yet; `name` is for error messages.
    pub const fn new(name: String, output_file: path::PathBuf, error_file: path::PathBuf) -> Self {
        Self {
            name,
            child: None,
            output_file,
            error_file,
        }
    }

    /// Starts the process; one that runs is killed first.
    pub fn start(&mut self, mut command: process::Command) -> Result<(), FleetError> {
        self.kill();
        let child = command
            .stdin(process::Stdio::null())
            .stdout(append(&self.output_file)?)
            .stderr(append(&self.error_file)?)
            .spawn()
            .map_err(FleetError::io("start a process"))?;
        self.child = Some(child);
        Ok(())
    }

    /// Whether the process was started and not killed since; also true when it has ended by itself.
    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    /// The process ID; `None` when the process was never started or was killed.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Kills the process if it runs, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // An error means that the process has already ended.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&mut self, signal: unix_process::Signal) -> Result<(), FleetError> {
        // For a process that has ended, this error has its status and log.
        self.check_running()?;
        let Some(child) = self.child.as_ref() else {
            return Err(FleetError::NotRunning {
                process: self.name.clone(),
            });
        };
        // The system does not reuse the ID before the child is waited for.
        let id = unix_process::Pid::from_child(child);
        unix_process::kill_process(id, signal)
            .map_err(|error| FleetError::io("send a signal")(error.into()))
    }

    /// The exit status; `None` while the process runs, and when it was never started or was killed.
    pub fn exit_status(&mut self) -> Option<process::ExitStatus> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten()
    }

    /// Returns an error with the end of the log when the process has ended by itself.
    pub fn check_running(&mut self) -> Result<(), FleetError> {
        match self.exit_status() {
            None => Ok(()),
            Some(status) => Err(FleetError::Exited {
                process: self.name.clone(),
                status,
                log_tail: self.log_tail(),
            }),
        }
    }

    /// The ends of standard output and standard error, with headings.
    pub fn log_tail(&self) -> String {
        let output = read_tail(&self.output_file);
        let error = read_tail(&self.error_file);
        format!(
            "--- {} stdout\n{output}\n--- {} stderr\n{error}",
            self.name, self.name
        )
    }

    /// The whole standard output followed by the whole standard error, over all runs of the
    /// process.
    pub fn log(&self) -> String {
        let mut log = fs::read_to_string(&self.output_file).unwrap_or_default();
        log.push_str(&fs::read_to_string(&self.error_file).unwrap_or_default());
        log
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn append(path: &path::Path) -> Result<fs::File, FleetError> {
    fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(FleetError::io("open a log"))
}

fn read_tail(path: &path::Path) -> String {
    let bytes = fs::read(path).unwrap_or_default();
    let start = bytes.len().saturating_sub(TAIL_BYTES);
    String::from_utf8_lossy(&bytes[start..]).into_owned()
}
