//! The command lines of the `sapphirewalk` binary: daemons and operators' commands.

use std::path;
use std::process;
use std::time;

use crate::fleet::directory::TempDirectory;
use crate::fleet::error::FleetError;
use crate::fleet::identity::OperatorIdentity;
use crate::fleet::process::ChildProcess;
use crate::fleet::wait;

/// The longest that an operator's command may take.
const COMMAND_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// The kind of a daemon; each entry VM runs one of each kind.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum DaemonKind {
    /// Serves requests.
    Gateway,
    /// Assigns batch tasks to workers.
    Scheduler,
}

impl DaemonKind {
    /// Both kinds, in the order in which they are started.
    pub const ALL: [Self; 2] = [Self::Gateway, Self::Scheduler];

    /// The command of the binary that runs the daemon.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Scheduler => "scheduler",
        }
    }
}

/// The command line that runs a daemon with a settings file.
pub(super) fn daemon_command(
    binary: &path::Path,
    daemon: DaemonKind,
    settings_file: &path::Path,
) -> process::Command {
    let mut command = process::Command::new(binary);
    command.arg(daemon.name());
    command.arg("--settings").arg(settings_file);
    command
}

/// An operator's command with its own arguments.
#[derive(Clone, Copy, Debug)]
pub(super) enum OperatorCommand<'a> {
    Sign { bundle_file: &'a path::Path },
    RollOut { digest: &'a str, reason: &'a str },
}

impl OperatorCommand<'_> {
    const fn name(self) -> &'static str {
        match self {
            Self::Sign { .. } => "sign",
            Self::RollOut { .. } => "rollout",
        }
    }

    fn append_arguments(self, command: &mut process::Command) {
        match self {
            Self::Sign { bundle_file } => {
                command.arg("--bundle").arg(bundle_file);
            }
            Self::RollOut { digest, reason } => {
                command.args(["--digest", digest, "--reason", reason]);
            }
        }
    }
}

/// Runs an operator's command to its end and returns its output, standard error included.
pub(super) async fn run_operator_command(
    binary: &path::Path,
    directory: &TempDirectory,
    settings_file: &path::Path,
    operator: &OperatorIdentity,
    operator_command: OperatorCommand<'_>,
) -> Result<String, FleetError> {
    let name = operator_command.name();
    let run_name = format!("{name}-{:08x}", rand::random::<u32>());
    let output_file = directory.file(&format!("{run_name}.out"));
    let error_file = directory.file(&format!("{run_name}.err"));
    let mut command = process::Command::new(binary);
    command.arg(name);
    operator_command.append_arguments(&mut command);
    command.args(["--operator", &operator.name]);
    command.arg("--key-file").arg(&operator.key_file);
    command.arg("--settings").arg(settings_file);
    let mut child = ChildProcess::new(name.to_owned(), output_file, error_file);
    child.start(command)?;
    let deadline = time::Instant::now() + COMMAND_TIMEOUT;
    let condition = format!("`{name}` has ended");
    wait::await_until(deadline, &condition, async || child.exit_status().is_some()).await?;
    let output = child.log();
    match child.exit_status() {
        Some(status) if !status.success() => Err(FleetError::Command {
            command: name,
            status,
            output,
        }),
        _ => Ok(output),
    }
}
