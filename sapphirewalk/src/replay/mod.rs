//! Replays recorded traces through the decision code and checks the results.
//!
//! A trace is a text file of JSON lines. The header line names the subject and the outcomes to
//! meet; the event lines describe the fleet and its load. No process is started and no real time
//! passes: each replay is a deterministic simulation.

mod batch;
mod error;
mod header;
mod request;
mod table;

use std::fs;
use std::path;
use std::process;

use crate::cli;
use crate::replay::error::ReplayError;
use crate::replay::header::TraceHeader;
use crate::replay::header::TraceSubject;
use crate::replay::table::MeasureRow;
use crate::replay::table::OutcomeTable;

/// Replays each trace and prints its table.
///
/// Returns success if every outcome is met and failure if one is missed. The first trace that
/// cannot be replayed ends the command with the usage exit code.
pub fn run(options: &cli::ReplayOptions) -> process::ExitCode {
    let mut all_met = true;
    for path in &options.traces {
        match replay_file(path) {
            Ok(table) => {
                println!("{table}");
                all_met &= table.all_met();
            }
            Err(error) => {
                eprintln!("sapphirewalk: {}: {error}", path.display());
                return process::ExitCode::from(cli::ERROR_EXIT_CODE);
            }
        }
    }
    if all_met {
        process::ExitCode::SUCCESS
    } else {
        process::ExitCode::FAILURE
    }
}

fn replay_file(path: &path::Path) -> Result<OutcomeTable, ReplayError> {
    let text = fs::read_to_string(path).map_err(ReplayError::Read)?;
    let (first, events) = text.split_once('\n').ok_or(ReplayError::NoHeader)?;
    let header: TraceHeader =
        serde_json::from_str(first).map_err(|source| ReplayError::Line { line: 1, source })?;
    let rows = replay_events(&header, events)?;
    OutcomeTable::compare(header, rows)
}

fn replay_events(header: &TraceHeader, events: &str) -> Result<Vec<MeasureRow>, ReplayError> {
    match header.subject {
        TraceSubject::Request => request::replay(events),
        TraceSubject::Batch => batch::replay(events),
    }
}
