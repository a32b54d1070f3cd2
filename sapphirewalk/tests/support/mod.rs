//! Fleets and bundles of the gateway tests.

use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;

/// Starts one failure domain with two entry VMs, two seats and two endpoints of 8 slots. Requests
/// have a deadline of `deadline_ms`.
pub async fn start_fleet(deadline_ms: u64) -> Fleet {
    start_with(1, 2, 2, deadline_ms).await
}

/// Starts `domains` failure domains of `entry_vms` entry VMs and `seats` seats each, and waits
/// until all seats that have an entry VM are held.
pub async fn start_with(domains: u32, entry_vms: u32, seats: u32, deadline_ms: u64) -> Fleet {
    let mut plan = plan(domains);
    plan.entry_vms = entry_vms;
    plan.bundle = Some(bundle(domains, seats, deadline_ms));
    let fleet = Fleet::start(plan).await.expect("the fleet starts");
    // A gateway without a seat is ready when a peer has one, so readiness alone is no proof.
    let expected = (domains * entry_vms.min(seats)) as usize;
    await_until(seconds_from_now(10), "all seats are held", async || {
        held_seats(&fleet).await == expected
    })
    .await
    .expect("all seats are held");
    fleet
}

async fn held_seats(fleet: &Fleet) -> usize {
    let mut count = 0;
    for vm in fleet.vms() {
        let state = fleet.state(vm.gateway()).await;
        count += usize::from(state.is_ok_and(|state| {
            state["vm"]["name"] == fleet.vm_name(vm) && state["sections"]["seat"].is_object()
        }));
    }
    count
}

/// A bundle of `seats` seats in each failure domain, with a request deadline of `deadline_ms`.
pub fn bundle(domains: u32, seats: u32, deadline_ms: u64) -> String {
    let mut document = plan(domains).bundle_document(&format!("seats-{seats}"));
    for domain in &mut document.domains {
        domain.seats = seats;
    }
    for kind in &mut document.kinds {
        kind.deadline_ms = deadline_ms;
    }
    serde_json::to_string(&document).expect("a bundle serializes to JSON")
}

fn plan(domains: u32) -> FleetPlan {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_sapphirewalk").into());
    plan.domains = domains;
    plan.workers = 0;
    plan
}
