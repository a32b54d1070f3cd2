//! Commands `gateway` and `scheduler`: load the settings, run the daemon and shut it down.

use std::process;

use slog::info;

use sapphirewalk_core::time::TimePoint;

use crate::audit::AuditDecision;
use crate::cli;
use crate::config::Settings;
use crate::event::EventName;
use crate::gateway;
use crate::logger;
use crate::peer::PeerRole;
use crate::process::DaemonProcess;
use crate::process::StartError;
use crate::scheduler;
use crate::state;

/// Runs a daemon until it has shut down, or only checks its settings if `--check` is given.
pub fn run(role: PeerRole, options: &cli::DaemonOptions) -> process::ExitCode {
    let settings = match Settings::load(&options.settings) {
        Ok(settings) => settings,
        Err(error) => return cli::report_error(&error),
    };
    if options.check {
        println!("the settings are valid");
        return process::ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return cli::report_error(&StartError::System(error)),
    };
    match runtime.block_on(serve(role, settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => cli::report_error(&error),
    }
}

async fn serve(role: PeerRole, settings: Settings) -> Result<(), StartError> {
    let (logger, _guard) = logger::build(settings.log.level, &settings.vm, state::role_name(role));
    let (process, calls) = DaemonProcess::start(settings, role, logger.clone()).await?;
    let now: TimePoint = process.clock.now();
    process.audit.record(now, AuditDecision::ProcessStarted);
    info!(logger, "{}", EventName::ProcessStarted; "process" => &process.process_token);
    match role {
        PeerRole::Gateway => gateway::run(process.clone(), calls).await?,
        PeerRole::Scheduler => scheduler::run(process.clone(), calls).await?,
    }
    process.close().await;
    info!(logger, "{}", EventName::ProcessStopped; "process" => &process.process_token);
    Ok(())
}
