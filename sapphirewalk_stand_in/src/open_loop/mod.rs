//! Open-loop load: requests arrive at random times, without waiting for earlier answers.
//!
//! One run sends the same load directly to the endpoints and then through the gateways. The
//! difference is the latency that a gateway adds.

mod arrival;
mod connection;
mod measure;

use std::net;
use std::path;
use std::process;
use std::sync::Arc;
use std::time;

use crate::fleet::DaemonKey;
use crate::fleet::EntryKey;
use crate::fleet::Fleet;
use crate::fleet::FleetError;
use crate::fleet::FleetPlan;
use crate::open_loop::arrival::ArrivalTimes;
use crate::open_loop::connection::ConnectionPool;
use crate::open_loop::measure::LatencyTable;
use crate::slopes::UsageSample;
use crate::slopes::read_usage;

/// Entry VMs of the fleet under load.
const ENTRY_VMS: u32 = 2;
/// Endpoints of the fleet under load.
const ENDPOINTS: u32 = 16;
/// Idle connections that are opened to measure a gateway's memory for each.
const IDLE_CONNECTIONS: usize = 1_000;
/// Time between the start of the fleet and the load, so that start-up does not count.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// The load that a run sends over each path.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Path of the `sapphirewalk` binary.
    pub binary: path::PathBuf,
    /// Mean number of requests per second.
    pub per_second: u32,
    /// Duration of the load over each path, in seconds.
    pub seconds: u32,
    /// Seed of the random arrival times.
    pub seed: u64,
}

/// Runs the load against a new fleet and prints latencies and a gateway's resource use.
pub async fn run(plan: LoadPlan) -> process::ExitCode {
    match send(&plan).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("sapphirewalk_stand_in: {error}");
            process::ExitCode::FAILURE
        }
    }
}

async fn send(plan: &LoadPlan) -> Result<(), FleetError> {
    let fleet = start_fleet(plan).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let gateways: Vec<DaemonKey> = (0..ENTRY_VMS)
        .map(|index| EntryKey(index).gateway())
        .collect();
    let direct: Vec<net::SocketAddr> = fleet
        .endpoints()
        .iter()
        .map(crate::endpoint::Endpoint::address)
        .collect();
    let via_gateways: Vec<net::SocketAddr> = gateways
        .iter()
        .map(|key| fleet.request_address(*key))
        .collect();
    println!(
        "{} requests/s, {} s each, seed {}",
        plan.per_second, plan.seconds, plan.seed
    );
    let direct_latencies = send_to(plan, direct).await;
    println!("direct   {direct_latencies}");
    let before = read_usage(&fleet, gateways[0]).await.ok();
    let gateway_latencies = send_to(plan, via_gateways).await;
    let after = read_usage(&fleet, gateways[0]).await.ok();
    println!("gateway  {gateway_latencies}");
    println!("added    {}", gateway_latencies.added_to(&direct_latencies));
    if let (Some(before), Some(after)) = (before, after) {
        print_usage(plan, &before, &after);
    }
    measure_connections(&fleet, gateways[0]).await;
    Ok(())
}

async fn start_fleet(plan: &LoadPlan) -> Result<Fleet, FleetError> {
    let mut fleet_plan = FleetPlan::new(plan.binary.clone());
    fleet_plan.domains = 1;
    fleet_plan.entry_vms = ENTRY_VMS;
    fleet_plan.endpoints = ENDPOINTS;
    fleet_plan.workers = 0;
    Fleet::start(fleet_plan.with_generated_bundle()).await
}

/// Sends each request at its arrival time, whether or not earlier ones were answered.
///
/// Latency counts from the arrival time, so that a delay of the sender is not hidden.
async fn send_to(plan: &LoadPlan, addresses: Vec<net::SocketAddr>) -> LatencyTable {
    let pool = Arc::new(ConnectionPool::new(addresses));
    let mut calls = Vec::new();
    let started_at = tokio::time::Instant::now();
    for (number, offset) in ArrivalTimes::new(plan).enumerate() {
        let due = started_at + offset;
        tokio::time::sleep_until(due).await;
        let pool = Arc::clone(&pool);
        calls.push(tokio::spawn(async move {
            let succeeded = pool.call(number).await;
            succeeded.then(|| due.elapsed())
        }));
    }
    let mut table = LatencyTable::new();
    for call in calls {
        match call.await {
            Ok(Some(latency)) => table.record(latency),
            Ok(None) | Err(_) => table.record_failure(),
        }
    }
    table
}

fn print_usage(plan: &LoadPlan, before: &UsageSample, after: &UsageSample) {
    let rate = before.until(after);
    let requests = f64::from(plan.per_second * plan.seconds) / f64::from(ENTRY_VMS);
    let per_request = rate.cpu_us / requests;
    println!(
        "gateway processor time {per_request:.0} us per request, {:.0} requests per core-second",
        1e6 / per_request
    );
}

async fn measure_connections(fleet: &Fleet, key: DaemonKey) {
    let Ok(before) = read_usage(fleet, key).await else {
        return;
    };
    let address = fleet.request_address(key);
    let mut connections = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        if let Ok(stream) = tokio::net::TcpStream::connect(address).await {
            connections.push(stream);
        }
    }
    let Ok(after) = read_usage(fleet, key).await else {
        return;
    };
    let kib = after.resident_kib().saturating_sub(before.resident_kib()) as f64;
    println!(
        "gateway memory {:.2} KiB per idle connection ({} held)",
        kib / connections.len().max(1) as f64,
        connections.len()
    );
}
