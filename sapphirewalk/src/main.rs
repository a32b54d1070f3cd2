//! Scheduler for latency-critical and batch work on shared VMs.
//!
//! The commands `gateway` and `scheduler` run one daemon each, on the modules `audit`, `peer`,
//! `platform`, `process` and `rollout`. The command `entry` runs one process per entry VM on the
//! users' platform; the module `entry` has its settings, log and peer protocol.

#![warn(clippy::unwrap_used)]

mod admin;
mod audit;
mod caller_server;
mod cli;
mod clock;
mod command;
mod config;
mod daemon;
mod entry;
mod event;
mod explain;
mod gateway;
mod gossip;
mod logger;
mod metric;
mod peer;
mod platform;
mod process;
mod replay;
mod rollout;
mod scheduler;
mod shutdown;
mod state;
mod traffic;
mod usage;

use std::process::ExitCode;

use gumdrop::Options;

use crate::cli::CommandLine;
use crate::cli::CommandName;
use crate::command::CommandError;
use crate::peer::PeerRole;

fn main() -> ExitCode {
    let line = CommandLine::parse_args_default_or_exit();
    match line.command {
        None => cli::print_usage(),
        Some(CommandName::Gateway(options)) => daemon::run(PeerRole::Gateway, &options),
        Some(CommandName::Scheduler(options)) => daemon::run(PeerRole::Scheduler, &options),
        Some(CommandName::Entry(options)) => entry::start(&options),
        Some(CommandName::Explain(options)) => match explain::run(&options.job, &options.logs) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => cli::report_error(&error),
        },
        Some(CommandName::Config(options)) => match command::config(&options) {
            Ok(exit_code) => exit_code,
            Err(error) => cli::report_error(&error),
        },
        Some(CommandName::Keygen(options)) => finish(command::keygen(&options)),
        Some(CommandName::Sign(options)) => block_on(command::sign(&options)),
        Some(CommandName::Rollout(options)) => block_on(command::rollout(&options)),
        Some(CommandName::Rollback(options)) => block_on(command::rollback(&options)),
        Some(CommandName::Audit(options)) => block_on(command::audit(&options)),
        Some(CommandName::Dump(options)) => block_on(command::dump(&options)),
        Some(CommandName::Settings(_)) => finish(command::settings()),
        Some(CommandName::Submit(options)) => block_on(command::submit(&options)),
        Some(CommandName::Show(options)) => block_on(command::show(&options)),
        Some(CommandName::Cancel(options)) => block_on(command::cancel(&options)),
        Some(CommandName::Replay(options)) => replay::run(&options),
    }
}

fn block_on(work: impl Future<Output = Result<(), CommandError>>) -> ExitCode {
    match tokio::runtime::Runtime::new() {
        Ok(runtime) => finish(runtime.block_on(work)),
        Err(source) => finish(Err(CommandError::System(source))),
    }
}

fn finish(outcome: Result<(), CommandError>) -> ExitCode {
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cli::report_error(&error),
    }
}
