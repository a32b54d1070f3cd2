//! A fleet plan, and operator commands of the binary against a fleet.

use std::path;
use std::process;

use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::FleetPlan;

const BINARY: &str = env!("CARGO_BIN_EXE_sapphirewalk");

/// A plan without endpoints and workers, which these tests don't use.
pub fn plan() -> FleetPlan {
    let mut plan = FleetPlan::new(path::PathBuf::from(BINARY));
    plan.endpoints = 0;
    plan.workers = 0;
    plan
}

/// The bundle of the plan, with this version.
pub fn bundle(version: &str) -> String {
    serde_json::to_string(&plan().bundle_document(version)).unwrap()
}

/// The gateway of the entry VM with this index, from 0.
pub fn gateway(index: u32) -> DaemonKey {
    EntryKey(index).gateway()
}

/// Runs a command of the binary with the settings of the first gateway, until it exits.
pub async fn run(fleet: &Fleet, arguments: &[&str]) -> process::Output {
    let settings = fleet.directory().file("e0-0.gateway.json");
    let mut command = process::Command::new(BINARY);
    command.args(arguments).arg("--settings").arg(settings);
    tokio::task::spawn_blocking(move || command.output())
        .await
        .unwrap()
        .unwrap()
}

/// The standard output of a command as text.
pub fn stdout(output: &process::Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}
