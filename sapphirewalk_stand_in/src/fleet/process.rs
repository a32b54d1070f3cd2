//! One child process: signals, and the end of what it wrote.

use std::fs;
use std::path;
use std::process;

use rustix::process as unix_process;

use crate::fleet::error::FleetError;

/// Bytes of a log that are shown.
const TAIL_BYTES: usize = 4_000;

/// A child process of the harness and where its output goes. It is killed when it is dropped.
#[derive(Debug)]
pub(super) struct ChildProcess {
    name: String,
    child: Option<process::Child>,
    output_file: path::PathBuf,
    error_file: path::PathBuf,
}

impl ChildProcess {
    /// A process that does not run yet.
    pub const fn new(name: String, output_file: path::PathBuf, error_file: path::PathBuf) -> Self {
        Self {
            name,
            child: None,
            output_file,
            error_file,
        }
    }

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

    pub fn is_started(&self) -> bool {
        self.child.is_some()
    }

    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Kills the process, if it runs, and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn signal(&mut self, signal: unix_process::Signal) -> Result<(), FleetError> {
        // Says how a process has ended, with the end of its log.
        self.check_running()?;
        let Some(child) = self.child.as_ref() else {
            return Err(FleetError::NotRunning {
                process: self.name.clone(),
            });
        };
        // A child that has not been waited for keeps its ID.
        let id = unix_process::Pid::from_child(child);
        unix_process::kill_process(id, signal)
            .map_err(|error| FleetError::io("send a signal")(error.into()))
    }

    /// How the process ended; `None` while it runs or when it was never started.
    pub fn exit_status(&mut self) -> Option<process::ExitStatus> {
        let child = self.child.as_mut()?;
        child.try_wait().ok().flatten()
    }

    /// Fails when the process has ended.
    pub fn check_running(&mut self) -> Result<(), FleetError> {
        match self.exit_status() {
            None => Ok(()),
            Some(status) => Err(FleetError::Exited {
                process: self.name.clone(),
                status,
                tail: self.tail(),
            }),
        }
    }

    /// The end of what the process wrote.
    pub fn tail(&self) -> String {
        let output = read_tail(&self.output_file);
        let error = read_tail(&self.error_file);
        format!(
            "--- {} stdout\n{output}\n--- {} stderr\n{error}",
            self.name, self.name
        )
    }

    /// All that the process wrote to its standard output and error, over all its runs.
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
