//! Command line: commands, options and their help texts.

use std::fmt;
use std::net;
use std::path;
use std::process;

use gumdrop::Options;

/// Exit code for an invalid command line or invalid settings, and for a command that failed.
pub const ERROR_EXIT_CODE: u8 = 2;

/// Scheduler for latency-critical and batch work on shared VMs.
#[derive(Debug)]
#[derive(Options)]
pub struct CommandLine {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Command to run; the usage is printed if it is missing.
    #[options(command)]
    pub command: Option<CommandName>,
}

/// Command of the program.
#[derive(Debug)]
#[derive(Options)]
pub enum CommandName {
    /// Runs the gateway daemon.
    #[options(help = "run the gateway: dispatch requests of callers to endpoints")]
    Gateway(DaemonOptions),
    /// Runs the scheduler daemon.
    #[options(help = "run the scheduler: place batch tasks on workers")]
    Scheduler(DaemonOptions),
    /// Runs the single process of an entry VM on the users' platform, which serves callers and can
    /// become the leader; it uses neither the gateway nor the scheduler.
    #[options(help = "run an entry VM: accept jobs, and coordinate them while leader")]
    Entry(EntryOptions),
    /// Prints the history of a job from logs.
    #[options(help = "print the history of a job from logs of entry VMs")]
    Explain(ExplainOptions),
    /// Checks a configuration of the users' platform.
    #[options(help = "check a configuration before it is put in force")]
    Config(ConfigOptions),
    /// Creates a signing key.
    #[options(help = "create an operator's signing key")]
    Keygen(KeygenOptions),
    /// Signs a bundle off.
    #[options(help = "validate a bundle, sign it off and store it")]
    Sign(SignOptions),
    /// Rolls a bundle out.
    #[options(help = "roll out a signed-off bundle")]
    Rollout(RolloutOptions),
    /// Rolls back to the bundle of an earlier rollout.
    #[options(help = "roll back to the bundle of an earlier rollout")]
    Rollback(RollbackOptions),
    /// Verifies or queries the audit trail.
    #[options(help = "verify or query the audit trail")]
    Audit(AuditOptions),
    /// Prints state dumps.
    #[options(help = "print the state of processes")]
    Dump(DumpOptions),
    /// Prints example settings.
    #[options(help = "print example settings with every field and its default")]
    Settings(SettingsOptions),
    /// Submits a batch task.
    #[options(help = "submit a batch task")]
    Submit(SubmitOptions),
    /// Prints the state of a batch task.
    #[options(help = "print the state of a batch task")]
    Show(TaskOptions),
    /// Cancels a batch task.
    #[options(help = "cancel a batch task")]
    Cancel(TaskOptions),
    /// Replays recorded traces.
    #[options(help = "replay recorded traces and compare the results with the outcomes they state")]
    Replay(ReplayOptions),
}

/// Runs a daemon until SIGTERM or SIGINT; a second signal ends it at once.
#[derive(Debug)]
#[derive(Options)]
pub struct DaemonOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file of a daemon.
    #[options(required, no_short, meta = "FILE", help = "settings file")]
    pub settings: path::PathBuf,
    /// Validates the settings without running.
    #[options(no_short, help = "validate the settings and exit")]
    pub check: bool,
}

/// Runs an entry VM until SIGTERM or SIGINT.
#[derive(Debug)]
#[derive(Options)]
pub struct EntryOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file. If omitted, `SAPPHIREWALK_SETTINGS` contains its path.
    #[options(
        no_short,
        meta = "FILE",
        help = "settings file; default: the path in SAPPHIREWALK_SETTINGS"
    )]
    pub settings: Option<path::PathBuf>,
    /// Validates the settings without running.
    #[options(no_short, help = "validate the settings and exit")]
    pub check: bool,
}

/// Prints the history of a job from logs, with the state on which each decision was based.
#[derive(Debug)]
#[derive(Options)]
pub struct ExplainOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// ID of the job, in hexadecimal.
    #[options(free, required, help = "ID of the job: 16 hexadecimal digits")]
    pub job: String,
    /// Log files; standard input if empty.
    #[options(free, help = "log files of entry VMs; default: standard input")]
    pub logs: Vec<path::PathBuf>,
}

/// Checks a configuration of the users' platform.
#[derive(Debug)]
#[derive(Options)]
pub struct ConfigOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Subcommand; an error if it is missing.
    #[options(command)]
    pub command: Option<ConfigCommand>,
}

/// Subcommand of `config`.
#[derive(Debug)]
#[derive(Options)]
pub enum ConfigCommand {
    /// Checks a configuration.
    #[options(help = "check a configuration, and compare it with the one in force")]
    Check(ConfigCheckOptions),
}

/// Checks a configuration, without sending or writing anything. Exits with 1 for warnings if
/// `strict` is set, and with 2 for errors.
#[derive(Debug)]
#[derive(Options)]
pub struct ConfigCheckOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// The configuration, in JSON.
    #[options(free, required, help = "configuration in JSON, as it is to be stored")]
    pub file: path::PathBuf,
    /// The configuration in force, to compare with.
    #[options(
        no_short,
        meta = "FILE",
        help = "configuration in force, to compare with"
    )]
    pub in_force: Option<path::PathBuf>,
    /// Exits with 1 if there are warnings.
    #[options(no_short, help = "exit with 1 if there are warnings")]
    pub strict: bool,
    /// Prints JSON instead of text.
    #[options(no_short, help = "print one JSON object")]
    pub json: bool,
}

/// Creates the signing key of an operator and prints the public key for the settings.
#[derive(Debug)]
#[derive(Options)]
pub struct KeygenOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Path of the new key file; must not exist.
    #[options(
        required,
        no_short,
        meta = "FILE",
        help = "new file for the signing key"
    )]
    pub key_file: path::PathBuf,
}

/// Validates a bundle, signs it off, stores it under its digest and prints the digest.
#[derive(Debug)]
#[derive(Options)]
pub struct SignOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file of a daemon.
    #[options(required, no_short, meta = "FILE", help = "settings file")]
    pub settings: path::PathBuf,
    /// JSON document of the bundle.
    #[options(
        required,
        no_short,
        meta = "FILE",
        help = "JSON document of the bundle"
    )]
    pub bundle: path::PathBuf,
    /// Name of the operator, as in the settings.
    #[options(required, no_short, meta = "NAME", help = "name of the operator")]
    pub operator: String,
    /// File with the signing key of the operator.
    #[options(
        required,
        no_short,
        meta = "FILE",
        help = "signing key of the operator"
    )]
    pub key_file: path::PathBuf,
    /// File with the signatures of earlier operators, to which the new one is added.
    #[options(
        no_short,
        meta = "FILE",
        help = "file with the signatures so far; the new one is added"
    )]
    pub signatures: Option<path::PathBuf>,
}

/// Rolls out a signed-off bundle under the next sequence number.
#[derive(Debug)]
#[derive(Options)]
pub struct RolloutOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file of a daemon.
    #[options(required, no_short, meta = "FILE", help = "settings file")]
    pub settings: path::PathBuf,
    /// SHA-256 digest of the bundle, in hexadecimal.
    #[options(
        required,
        no_short,
        meta = "HEX",
        help = "digest of the bundle, as printed by `sign`"
    )]
    pub digest: String,
    /// Reason for the rollout, which is stored with it.
    #[options(
        required,
        no_short,
        meta = "TEXT",
        help = "reason, for the audit trail"
    )]
    pub reason: String,
    /// Name of the operator, as in the settings.
    #[options(required, no_short, meta = "NAME", help = "name of the operator")]
    pub operator: String,
    /// File with the signing key of the operator.
    #[options(
        required,
        no_short,
        meta = "FILE",
        help = "signing key of the operator"
    )]
    pub key_file: path::PathBuf,
}

/// Rolls out the bundle of an earlier rollout under the next sequence number.
#[derive(Debug)]
#[derive(Options)]
pub struct RollbackOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file of a daemon.
    #[options(required, no_short, meta = "FILE", help = "settings file")]
    pub settings: path::PathBuf,
    /// Sequence number of the earlier rollout.
    #[options(
        required,
        no_short,
        meta = "N",
        help = "sequence number of the earlier rollout"
    )]
    pub to: u64,
    /// Reason for the rollout, which is stored with it.
    #[options(
        required,
        no_short,
        meta = "TEXT",
        help = "reason, for the audit trail"
    )]
    pub reason: String,
    /// Name of the operator, as in the settings.
    #[options(required, no_short, meta = "NAME", help = "name of the operator")]
    pub operator: String,
    /// File with the signing key of the operator.
    #[options(
        required,
        no_short,
        meta = "FILE",
        help = "signing key of the operator"
    )]
    pub key_file: path::PathBuf,
}

/// Verifies or queries the audit trail.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Subcommand; an error if it is missing.
    #[options(command)]
    pub command: Option<AuditCommand>,
}

/// Subcommand of `audit`.
#[derive(Debug)]
#[derive(Options)]
pub enum AuditCommand {
    /// Verifies all trails.
    #[options(help = "verify that no trail has changed, missing or reordered records")]
    Verify(AuditVerifyOptions),
    /// Prints records.
    #[options(help = "print the records of a task, a request or a period")]
    Query(AuditQueryOptions),
    /// Prints the rollout in force at a time.
    #[options(help = "print the rollout in force at a time, and who signed it off")]
    InForce(AuditInForceOptions),
}

/// Verifies that no trail has changed, missing or reordered records or a truncated end.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditVerifyOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file of a daemon.
    #[options(required, no_short, meta = "FILE", help = "settings file")]
    pub settings: path::PathBuf,
}

/// Prints the records that match all given options, oldest first.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditQueryOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file of a daemon.
    #[options(required, no_short, meta = "FILE", help = "settings file")]
    pub settings: path::PathBuf,
    /// ID of a task; only its records are printed.
    #[options(no_short, meta = "ID", help = "only records of the task with this ID")]
    pub task: Option<String>,
    /// ID of a request; only its records are printed.
    #[options(
        no_short,
        meta = "ID",
        help = "only records of the request with this ID"
    )]
    pub request: Option<String>,
    /// Earliest time of records, in Unix milliseconds.
    #[options(
        no_short,
        meta = "MS",
        help = "only records at or after this Unix time, in ms"
    )]
    pub from_ms: Option<u64>,
    /// Latest time of records, in Unix milliseconds.
    #[options(
        no_short,
        meta = "MS",
        help = "only records at or before this Unix time, in ms"
    )]
    pub to_ms: Option<u64>,
}

/// Prints the rollout in force at a time, who signed it off, and which processes had applied it.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditInForceOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file of a daemon.
    #[options(required, no_short, meta = "FILE", help = "settings file")]
    pub settings: path::PathBuf,
    /// Time in Unix milliseconds; without it, the latest state is printed.
    #[options(no_short, meta = "MS", help = "Unix time, in ms; default: now")]
    pub at_ms: Option<u64>,
}

/// Submits a batch task. Submitting the same key again refers to the same task.
#[derive(Debug)]
#[derive(Options)]
pub struct SubmitOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Request address of any scheduler.
    #[options(
        required,
        no_short,
        meta = "IP:PORT",
        help = "request address of a scheduler"
    )]
    pub address: Option<net::SocketAddr>,
    /// JSON file that describes the task.
    #[options(
        required,
        no_short,
        meta = "FILE",
        help = "JSON file that describes the task"
    )]
    pub file: path::PathBuf,
}

/// Prints the state of a batch task, or cancels the task.
#[derive(Debug)]
#[derive(Options)]
pub struct TaskOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Request address of any scheduler.
    #[options(
        required,
        no_short,
        meta = "IP:PORT",
        help = "request address of a scheduler"
    )]
    pub address: Option<net::SocketAddr>,
    /// ID of the task, as returned by `submit`.
    #[options(free, required, help = "ID of the task")]
    pub id: String,
}

/// Prints the state dumps of processes.
#[derive(Debug)]
#[derive(Options)]
pub struct DumpOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints the dumps as JSON, one on each line.
    #[options(no_short, help = "print one JSON object per line")]
    pub json: bool,
    /// Admin addresses of the processes.
    #[options(free, required, help = "admin addresses of processes, IP:port")]
    pub address: Vec<net::SocketAddr>,
}

/// Prints example settings with every field and its default.
#[derive(Debug)]
#[derive(Options)]
pub struct SettingsOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Replays recorded traces; exits with 1 if a result differs from the outcome that a trace states.
#[derive(Debug)]
#[derive(Options)]
pub struct ReplayOptions {
    /// Prints the help of the command.
    #[options(help = "print this help")]
    pub help: bool,
    /// Trace files in JSON lines.
    #[options(free, required, help = "trace files in JSON lines")]
    pub traces: Vec<path::PathBuf>,
}

/// Prints the usage with all commands and returns the exit code for a missing command.
pub fn print_usage() -> process::ExitCode {
    let usage = CommandLine::usage();
    eprintln!(
        "{usage}\n\n{}",
        CommandLine::command_list().unwrap_or_default()
    );
    process::ExitCode::from(ERROR_EXIT_CODE)
}

/// Prints an error on standard error and returns [`ERROR_EXIT_CODE`].
pub fn report_error(error: &impl fmt::Display) -> process::ExitCode {
    eprintln!("sapphirewalk: {error}");
    process::ExitCode::from(ERROR_EXIT_CODE)
}
