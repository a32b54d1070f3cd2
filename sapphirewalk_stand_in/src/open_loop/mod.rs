//! Sends requests whose arrivals don't wait for answers, directly to the endpoints and through
//! gateways in the same run, and compares.

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
/// Idle connections held while memory is compared.
const IDLE_CONNECTIONS: usize = 1_000;
/// How long the fleet runs before load.
const SETTLE_TIME: time::Duration = time::Duration::from_secs(3);

/// What load to send.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// The `sapphirewalk` binary.
    pub binary: path::PathBuf,
    /// Requests per second.
    pub per_second: u32,
    /// Seconds of each path.
    pub seconds: u32,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// Sends the load and prints the table.
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
    let through: Vec<net::SocketAddr> = gateways
        .iter()
        .map(|key| fleet.request_address(*key))
        .collect();
    println!(
        "{} requests/s, {} s each, seed {}",
        plan.per_second, plan.seconds, plan.seed
    );
    let baseline = send_to(plan, direct).await;
    println!("direct   {baseline}");
    let before = read_usage(&fleet, gateways[0]).await.ok();
    let ours = send_to(plan, through).await;
    let after = read_usage(&fleet, gateways[0]).await.ok();
    println!("gateway  {ours}");
    println!("added    {}", ours.added_to(&baseline));
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

/// Sends each request at its arrival time, whatever became of those before; latency counts from
/// the arrival time.
async fn send_to(plan: &LoadPlan, addresses: Vec<net::SocketAddr>) -> LatencyTable {
    let pool = Arc::new(ConnectionPool::new(addresses));
    let mut calls = Vec::new();
    let begin = tokio::time::Instant::now();
    for (number, offset) in ArrivalTimes::new(plan).enumerate() {
        let due = begin + offset;
        tokio::time::sleep_until(due).await;
        let pool = Arc::clone(&pool);
        calls.push(tokio::spawn(async move {
            let answered = pool.call(number).await;
            answered.then(|| due.elapsed())
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
    let mut held = Vec::new();
    for _ in 0..IDLE_CONNECTIONS {
        if let Ok(stream) = tokio::net::TcpStream::connect(address).await {
            held.push(stream);
        }
    }
    let Ok(after) = read_usage(fleet, key).await else {
        return;
    };
    let kib = after.resident_kib().saturating_sub(before.resident_kib()) as f64;
    println!(
        "gateway memory {:.2} KiB per idle connection ({} held)",
        kib / held.len().max(1) as f64,
        held.len()
    );
}
