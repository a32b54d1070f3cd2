//! The command line.

use std::fmt;
use std::net;
use std::path;
use std::process;

use gumdrop::Options;

/// Exit code for a command line or settings in error.
pub const USAGE_EXIT_CODE: u8 = 2;

/// Scheduler for latency-critical and batch work on shared VMs.
#[derive(Debug)]
#[derive(Options)]
pub struct CommandLine {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<CommandName>,
}

/// The commands.
#[derive(Debug)]
#[derive(Options)]
pub enum CommandName {
    /// Runs the gateway.
    #[options(help = "run the gateway: requests from callers to endpoints")]
    Gateway(DaemonOptions),
    /// Runs the scheduler.
    #[options(help = "run the scheduler: batch tasks on workers")]
    Scheduler(DaemonOptions),
    /// Serves callers on an entry VM of the users' platform.
    #[options(help = "run an entry VM: accept jobs, and coordinate them when leading")]
    Entry(EntryOptions),
    /// Tells the history of a job from logs.
    #[options(help = "tell the history of a job from logs of entry VMs")]
    Explain(ExplainOptions),
    /// Makes an operator's key.
    #[options(help = "make an operator's signing key")]
    Keygen(KeygenOptions),
    /// Signs a bundle off.
    #[options(help = "check a bundle, sign it off and store it")]
    Sign(SignOptions),
    /// Rolls a bundle out or back.
    #[options(help = "roll out a signed-off bundle, or roll back to an earlier one")]
    Rollout(RolloutOptions),
    /// Rolls back to an earlier rollout's bundle.
    #[options(help = "roll back to the bundle of an earlier rollout")]
    Rollback(RollbackOptions),
    /// Reads the audit trail.
    #[options(help = "verify or query the audit trail")]
    Audit(AuditOptions),
    /// Gathers the state of processes.
    #[options(help = "print the state of processes")]
    Dump(DumpOptions),
    /// Prints an example of the settings.
    #[options(help = "print an example of the settings with every field")]
    Settings(SettingsOptions),
    /// Submits a batch task.
    #[options(help = "submit a batch task")]
    Submit(SubmitOptions),
    /// Shows a batch task.
    #[options(help = "show a batch task")]
    Show(TaskOptions),
    /// Cancels a batch task.
    #[options(help = "cancel a batch task")]
    Cancel(TaskOptions),
    /// Replays recorded traces.
    #[options(help = "replay recorded traces and compare with their stated outcomes")]
    Replay(ReplayOptions),
}

/// Runs a daemon until it is told to shut down; a second signal ends it at once.
#[derive(Debug)]
#[derive(Options)]
pub struct DaemonOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(required, no_short, meta = "FILE", help = "the settings file")]
    pub settings: path::PathBuf,
    /// Only checks the settings.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
}

/// Runs an entry VM until it is told to shut down.
#[derive(Debug)]
#[derive(Options)]
pub struct EntryOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file; the environment names it when left out.
    #[options(
        no_short,
        meta = "FILE",
        help = "the settings file; SAPPHIREWALK_SETTINGS names it when left out"
    )]
    pub settings: Option<path::PathBuf>,
    /// Only checks the settings.
    #[options(no_short, help = "check the settings and exit")]
    pub check: bool,
}

/// Tells the history of a job, and the beliefs that decided it, from gathered logs.
#[derive(Debug)]
#[derive(Options)]
pub struct ExplainOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The job.
    #[options(free, required, help = "the job's 16 hexadecimal digits")]
    pub job: String,
    /// The logs.
    #[options(free, help = "log files of entry VMs; standard input when left out")]
    pub logs: Vec<path::PathBuf>,
}

/// Makes an operator's signing key and prints the public key for the settings.
#[derive(Debug)]
#[derive(Options)]
pub struct KeygenOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The file that gets the signing key.
    #[options(
        required,
        no_short,
        meta = "FILE",
        help = "new file for the signing key"
    )]
    pub key_file: path::PathBuf,
}

/// Checks a bundle, signs it off and stores it under its digest, which is printed.
#[derive(Debug)]
#[derive(Options)]
pub struct SignOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(required, no_short, meta = "FILE", help = "the settings file")]
    pub settings: path::PathBuf,
    /// The bundle's document.
    #[options(required, no_short, meta = "FILE", help = "the bundle's JSON document")]
    pub bundle: path::PathBuf,
    /// The operator's name.
    #[options(required, no_short, meta = "NAME", help = "the operator's name")]
    pub operator: String,
    /// The operator's signing key.
    #[options(required, no_short, meta = "FILE", help = "the operator's signing key")]
    pub key_file: path::PathBuf,
    /// Signatures of the operators before.
    #[options(no_short, meta = "FILE", help = "signatures so far, read and written")]
    pub signatures: Option<path::PathBuf>,
}

/// Rolls out a signed-off bundle under the next number.
#[derive(Debug)]
#[derive(Options)]
pub struct RolloutOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(required, no_short, meta = "FILE", help = "the settings file")]
    pub settings: path::PathBuf,
    /// The digest of the bundle.
    #[options(
        required,
        no_short,
        meta = "HEX",
        help = "the bundle's digest, as `sign` printed it"
    )]
    pub digest: String,
    /// Why.
    #[options(required, no_short, meta = "TEXT", help = "why, for the audit trail")]
    pub reason: String,
    /// The operator's name.
    #[options(required, no_short, meta = "NAME", help = "the operator's name")]
    pub operator: String,
    /// The operator's signing key.
    #[options(required, no_short, meta = "FILE", help = "the operator's signing key")]
    pub key_file: path::PathBuf,
}

/// Rolls out an earlier rollout's bundle under the next number.
#[derive(Debug)]
#[derive(Options)]
pub struct RollbackOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(required, no_short, meta = "FILE", help = "the settings file")]
    pub settings: path::PathBuf,
    /// The number of the earlier rollout.
    #[options(
        required,
        no_short,
        meta = "N",
        help = "the number of the earlier rollout"
    )]
    pub to: u64,
    /// Why.
    #[options(required, no_short, meta = "TEXT", help = "why, for the audit trail")]
    pub reason: String,
    /// The operator's name.
    #[options(required, no_short, meta = "NAME", help = "the operator's name")]
    pub operator: String,
    /// The operator's signing key.
    #[options(required, no_short, meta = "FILE", help = "the operator's signing key")]
    pub key_file: path::PathBuf,
}

/// Verifies or queries the audit trail.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The command.
    #[options(command)]
    pub command: Option<AuditCommand>,
}

/// The commands of `audit`.
#[derive(Debug)]
#[derive(Options)]
pub enum AuditCommand {
    /// Checks every trail for changed, missing and reordered records.
    #[options(help = "check every trail for changed, missing or reordered records")]
    Verify(AuditVerifyOptions),
    /// Prints records.
    #[options(help = "print the records of a task, a request or a time")]
    Query(AuditQueryOptions),
    /// Prints what was in force when.
    #[options(help = "print what was in force at a time, and who signed it off")]
    InForce(AuditInForceOptions),
}

/// Checks every trail for changed, missing or reordered records and cut ends.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditVerifyOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(required, no_short, meta = "FILE", help = "the settings file")]
    pub settings: path::PathBuf,
}

/// Prints the records of a task, a request or a time, oldest first.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditQueryOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(required, no_short, meta = "FILE", help = "the settings file")]
    pub settings: path::PathBuf,
    /// Only records of this task.
    #[options(no_short, meta = "ID", help = "only records of this task")]
    pub task: Option<String>,
    /// Only records of this request.
    #[options(no_short, meta = "ID", help = "only records of this request")]
    pub request: Option<String>,
    /// Only records from this time on.
    #[options(
        no_short,
        meta = "MS",
        help = "only records from this Unix time in ms on"
    )]
    pub from_ms: Option<u64>,
    /// Only records up to this time.
    #[options(
        no_short,
        meta = "MS",
        help = "only records up to this Unix time in ms"
    )]
    pub to_ms: Option<u64>,
}

/// Prints what was in force at a time, and who signed it off.
#[derive(Debug)]
#[derive(Options)]
pub struct AuditInForceOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The settings file.
    #[options(required, no_short, meta = "FILE", help = "the settings file")]
    pub settings: path::PathBuf,
    /// The time; now when left out.
    #[options(no_short, meta = "MS", help = "Unix time in ms; now when left out")]
    pub at_ms: Option<u64>,
}

/// Submits a batch task; a repeat with the same key is the same task.
#[derive(Debug)]
#[derive(Options)]
pub struct SubmitOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The scheduler's request address.
    #[options(
        required,
        no_short,
        meta = "IP:PORT",
        help = "request address of a scheduler"
    )]
    pub address: Option<net::SocketAddr>,
    /// The task's file.
    #[options(required, no_short, meta = "FILE", help = "the task's JSON file")]
    pub file: path::PathBuf,
}

/// Shows or cancels a batch task.
#[derive(Debug)]
#[derive(Options)]
pub struct TaskOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The scheduler's request address.
    #[options(
        required,
        no_short,
        meta = "IP:PORT",
        help = "request address of a scheduler"
    )]
    pub address: Option<net::SocketAddr>,
    /// The task.
    #[options(free, required, help = "the task's ID")]
    pub id: String,
}

/// Prints the state of processes.
#[derive(Debug)]
#[derive(Options)]
pub struct DumpOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Prints JSON.
    #[options(no_short, help = "print one JSON object a line")]
    pub json: bool,
    /// The admin addresses.
    #[options(free, required, help = "admin addresses of processes, IP:port")]
    pub address: Vec<net::SocketAddr>,
}

/// Prints an example of the settings with every field and its default.
#[derive(Debug)]
#[derive(Options)]
pub struct SettingsOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
}

/// Replays recorded traces; exits with 1 when a stated outcome was missed.
#[derive(Debug)]
#[derive(Options)]
pub struct ReplayOptions {
    /// Prints this help.
    #[options(help = "print this help")]
    pub help: bool,
    /// The trace files.
    #[options(free, required, help = "trace files, JSON lines")]
    pub traces: Vec<path::PathBuf>,
}

/// Prints the usage and returns the exit code for a missing command.
pub fn print_usage() -> process::ExitCode {
    let usage = CommandLine::usage();
    eprintln!(
        "{usage}\n\n{}",
        CommandLine::command_list().unwrap_or_default()
    );
    process::ExitCode::from(USAGE_EXIT_CODE)
}

/// Prints an error and returns its exit code.
pub fn report_error(error: &impl fmt::Display) -> process::ExitCode {
    eprintln!("sapphirewalk: {error}");
    process::ExitCode::from(USAGE_EXIT_CODE)
}
