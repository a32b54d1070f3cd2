//! A watchdog process that kills the daemons when the harness is killed.

use std::io::Write;
use std::os::unix::process::CommandExt;
use std::path;
use std::process;

use crate::fleet::error::FleetError;

/// The shell script of the watchdog. It reads process IDs until the pipe closes, because the
/// harness closes it or ends. Then it kills each of these processes whose command line has a file
/// of the fleet's directory (another program may have got the ID), and removes the directory.
const SCRIPT: &str = r#"
trap '' HUP INT TERM
pids=
while read -r pid; do pids="$pids $pid"; done
for pid in $pids; do
    if tr '\0' '\n' 2>/dev/null <"/proc/$pid/cmdline" | grep -qF -- "$1/"; then
        kill -KILL "$pid"
    fi
done
rm -rf -- "$1"
"#;

/// The watchdog process. Dropping it closes its pipe and waits until the daemons are killed and the
/// directory is removed.
#[derive(Debug)]
pub(super) struct FleetWatchdog {
    child: process::Child,
}

impl FleetWatchdog {
    /// Starts the watchdog of the fleet with the given directory.
    pub fn start(directory: &path::Path) -> Result<Self, FleetError> {
        let child = process::Command::new("sh")
            .args(["-c", SCRIPT, "sapphirewalk-watchdog"])
            .arg(directory)
            .stdin(process::Stdio::piped())
            .stdout(process::Stdio::null())
            .stderr(process::Stdio::null())
            // A signal to the process group of the harness must not end the watchdog too.
            .process_group(0)
            .spawn()
            .map_err(FleetError::io("start the watchdog"))?;
        Ok(Self { child })
    }

    /// Adds the process `id` to those that are killed after the end of the harness.
    pub fn watch(&mut self, id: u32) -> Result<(), FleetError> {
        let Some(pipe) = &mut self.child.stdin else {
            return Ok(());
        };
        writeln!(pipe, "{id}").map_err(FleetError::io("write to the watchdog"))
    }
}

impl Drop for FleetWatchdog {
    fn drop(&mut self) {
        // `wait` closes the pipe first, so that the watchdog ends.
        let _ = self.child.wait();
    }
}
