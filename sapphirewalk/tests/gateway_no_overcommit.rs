//! No endpoint gets more requests or connections than its limits, by the counters of the endpoints.
//!
//! Overcommitment is possible when two gateways use one share at the same time: after a kill, a
//! pause or a VM replacement, when an answer to a seat write is lost, or while the number of seats
//! changes.

mod support;

use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::READY_PATH;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallRecord;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::SeatRow;

/// Concurrent callers: ten times the 16 slots of the fleet.
const CALLERS: usize = 160;
/// Slots of each endpoint.
const SLOTS: u32 = 8;
const FIRST: EntryKey = EntryKey(0);

fn crowd(fleet: &Fleet, service_ms: u64) -> CallerGroup {
    let mut request = CallerRequest::new("order");
    request.service_ms = service_ms;
    CallerGroup::start(&load::gateways(fleet), CALLERS, &request)
}

fn seat(fleet: &Fleet, index: u32) -> SeatRow {
    let row = fleet.platform().row(&row::seat_key("d0", index));
    let row = row.expect("the seat has a row");
    serde_json::from_str(&row.value).expect("a seat row")
}

fn assert_no_overcommit(fleet: &Fleet) {
    for endpoint in fleet.endpoints() {
        let counters = endpoint.counters();
        assert_eq!(counters.over_commits, 0, "{counters:?}");
        assert!(counters.slots.peak <= SLOTS, "{counters:?}");
        assert!(!counters.connections_exceeded, "{counters:?}");
    }
}

fn answered_count(records: &[CallRecord]) -> usize {
    let is_answered = |record: &&CallRecord| {
        record.header(endpoint::OUTCOME_HEADER) == endpoint::OUTCOME_ANSWERED
    };
    records.iter().filter(is_answered).count()
}

async fn await_usable_seat(fleet: &Fleet, index: u32, former_epoch: u64) {
    await_until(
        seconds_from_now(20),
        "the seat is usable again",
        async || {
            let row = seat(fleet, index);
            let now = fleet.state(FIRST.gateway()).await;
            let now_ms = now.ok().and_then(|state| state["now_ms"].as_u64());
            row.epoch > former_epoch && now_ms.is_some_and(|now_ms| row.usable_from_ms < now_ms)
        },
    )
    .await
    .expect("the seat is usable again");
}

#[tokio::test(flavor = "multi_thread")]
async fn flood_of_ten_times_capacity() {
    let fleet = support::start_fleet(1_500).await;
    let crowd = crowd(&fleet, 20);
    crowd.run_for(3_000).await;
    let records = crowd.stop().await;
    assert!(
        answered_count(&records) > 500,
        "{} answered",
        answered_count(&records)
    );
    assert_no_overcommit(&fleet);
    let most = fleet
        .endpoints()
        .iter()
        .map(|end| end.counters().slots.peak);
    assert!(
        most.max() == Some(SLOTS),
        "no endpoint had all its slots in use: a seat's share is unused"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_and_restarted_gateway() {
    let mut fleet = support::start_fleet(1_500).await;
    let crowd = crowd(&fleet, 700);
    crowd.run_for(500).await;
    let index = u32::from(seat(&fleet, 1).holder.unwrap().name == fleet.vm_name(FIRST));
    fleet.start_daemon(FIRST.gateway()).unwrap();
    await_usable_seat(&fleet, index, 1).await;
    crowd.run_for(1_500).await;
    crowd.stop().await;
    assert_no_overcommit(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_entry_vm() {
    let mut fleet = support::start_fleet(1_500).await;
    let crowd = crowd(&fleet, 700);
    crowd.run_for(500).await;
    let index = u32::from(seat(&fleet, 1).holder.unwrap().name == fleet.vm_name(FIRST));
    fleet.replace_vm(FIRST).unwrap();
    let deadline = seconds_from_now(20);
    fleet
        .await_admin(FIRST.gateway(), READY_PATH, deadline)
        .await
        .unwrap();
    await_usable_seat(&fleet, index, 1).await;
    crowd.run_for(1_500).await;
    crowd.stop().await;
    assert_no_overcommit(&fleet);
    assert_eq!(seat(&fleet, index).holder.unwrap().incarnation, 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_gateway_keeps_its_share() {
    let mut fleet = support::start_fleet(1_500).await;
    let crowd = crowd(&fleet, 100);
    crowd.run_for(500).await;
    fleet.freeze(FIRST.gateway()).unwrap();
    crowd.run_for(4_000).await;
    fleet.thaw(FIRST.gateway()).unwrap();
    crowd.run_for(1_000).await;
    crowd.stop().await;
    assert_no_overcommit(&fleet);
    assert_eq!(seat(&fleet, 0).epoch, 1);
    assert_eq!(seat(&fleet, 1).epoch, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_seat_write() {
    let mut fleet = support::start_fleet(1_500).await;
    let index = u32::from(seat(&fleet, 1).holder.unwrap().name == fleet.vm_name(FIRST));
    fleet.kill(FIRST.gateway());
    fleet.platform().lose_answers(1);
    let crowd = crowd(&fleet, 50);
    fleet.start_daemon(FIRST.gateway()).unwrap();
    await_usable_seat(&fleet, index, 1).await;
    crowd.run_for(1_000).await;
    crowd.stop().await;
    assert_no_overcommit(&fleet);
    assert_eq!(
        seat(&fleet, index).epoch,
        2,
        "the seat was not taken just once"
    );
}

/// Rolls out a number of seats while the holder of seat `index` is paused, so that the holder still
/// uses its old share when it resumes; then waits until all holders use the new division. The
/// deadline of requests in the new bundle is 1 s.
async fn change_seats(fleet: &mut Fleet, seats: u32, index: u32, crowd: &CallerGroup) {
    let holder = seat(fleet, index)
        .holder
        .expect("the seat has a holder")
        .name;
    let paused = fleet
        .vms()
        .find(|vm| fleet.vm_name(*vm) == holder)
        .expect("the holder is an entry VM")
        .gateway();
    fleet.freeze(paused).expect("the holder is running");
    let bundle = support::bundle(1, seats, 1_000);
    let rolled_out = fleet.roll_out_bundle(&bundle, "another number of seats");
    rolled_out.await.expect("the rollout is accepted");
    crowd.run_for(3_500).await;
    fleet.thaw(paused).expect("the holder is running");
    await_division(fleet, seats).await;
    crowd.run_for(500).await;
}

/// Waits until the rows of all three seats have a holder and a division by `seats` only.
async fn await_division(fleet: &Fleet, seats: u32) {
    let is_divided = |index| {
        let row = fleet.platform().row(&row::seat_key("d0", index));
        let row = row.and_then(|row| serde_json::from_str::<SeatRow>(&row.value).ok());
        row.is_some_and(|row| row.holder.is_some() && row.divisions == [seats])
    };
    await_until(
        seconds_from_now(20),
        "all holders use the new division",
        async || (0..3).all(is_divided),
    )
    .await
    .expect("the division changes");
}

#[tokio::test(flavor = "multi_thread")]
async fn number_of_seats_changes_under_flood() {
    let mut fleet = support::start_with(1, 3, 2, 1_000).await;
    let crowd = crowd(&fleet, 700);
    crowd.run_for(500).await;
    change_seats(&mut fleet, 3, 0, &crowd).await;
    change_seats(&mut fleet, 2, 2, &crowd).await;
    let records = crowd.stop().await;
    assert_no_overcommit(&fleet);
    assert!(
        answered_count(&records) > 100,
        "{} answered",
        answered_count(&records)
    );
}
