//! Measures how the resource use of each role grows with its load. The slope is the use for each
//! further unit of load, from a fitted line.
//!
//! Each series runs a fleet at two or more sizes and takes the difference between two state dumps
//! of a real daemon. The stand-ins run in this process, so their use is not part of the figures.

mod error;
mod fit;
mod sample;
mod series;
mod table;

use std::path;
use std::process;

use crate::slopes::error::SlopeError;
pub use crate::slopes::sample::UsageSample;
pub use crate::slopes::sample::read as read_usage;
use crate::slopes::table::SlopeSeries;

/// Runs the series whose names contain `filter` and prints a table of each.
pub async fn run(binary: path::PathBuf, filter: &str) -> process::ExitCode {
    for name in series::NAMES.iter().filter(|name| name.contains(filter)) {
        match measure(name, &binary).await {
            Ok(series) => println!("{series}"),
            Err(error) => {
                eprintln!("sapphirewalk_stand_in: {name}: {error}");
                return process::ExitCode::FAILURE;
            }
        }
    }
    process::ExitCode::SUCCESS
}

async fn measure(name: &str, binary: &path::Path) -> Result<SlopeSeries, SlopeError> {
    match name {
        series::GATEWAY_ENDPOINTS => series::gateway_by_endpoints(binary).await,
        series::GATEWAY_REQUESTS => series::gateway_by_requests(binary).await,
        series::SCHEDULER_WORKERS => series::scheduler_by_workers(binary).await,
        series::SCHEDULER_TASKS => series::scheduler_by_tasks(binary).await,
        series::SCHEDULER_STARTS => series::scheduler_by_starts(binary).await,
        series::ENTRY_VMS => series::both_by_entry_vms(binary).await,
        _ => series::rollout_by_teams(binary).await,
    }
}
