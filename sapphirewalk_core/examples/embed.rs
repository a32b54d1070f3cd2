//! Embeds the core: two holders share the slots of an endpoint without messages between them, and
//! one of them admits requests of two kinds. The core does no I/O; the caller passes the time in.

use sapphirewalk_core::admission::AdmissionRequest;
use sapphirewalk_core::admission::AdmissionStep;
use sapphirewalk_core::admission::AdmissionTable;
use sapphirewalk_core::admission::KindPolicy;
use sapphirewalk_core::admission::RequestOrigin;
use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::RequestKey;
use sapphirewalk_core::key::UserKey;
use sapphirewalk_core::slot_share::EndpointCapacity;
use sapphirewalk_core::slot_share::SeatGrant;
use sapphirewalk_core::slot_share::ShareUnit;
use sapphirewalk_core::slot_share::SlotTable;
use sapphirewalk_core::slot_share::TakeStep;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

/// Slots of the endpoint.
const SLOTS: u32 = 8;
/// Number of holders that the slots are divided among.
const SEATS: u32 = 2;
const KINDS: [KindKey; 2] = [KindKey(0), KindKey(1)];

fn main() {
    let now = TimePoint::from_millis(1_000);
    let mut tables: Vec<SlotTable> = (0..SEATS).map(|seat| slot_table(seat, now)).collect();
    let slots_taken: Vec<usize> = tables
        .iter_mut()
        .map(|table| take_share(table, now))
        .collect();
    println!(
        "slots taken by each holder: {slots_taken:?}, together {}",
        slots_taken.iter().sum::<usize>()
    );
    let mut table = admission_table(slots_taken[0]);
    for number in 0..6 {
        let admission_request =
            admission_request(number, KINDS[number as usize % KINDS.len()], now);
        let step = match table.offer(admission_request, now) {
            AdmissionStep::Dispatch => "dispatch".to_owned(),
            AdmissionStep::Queue => "queue".to_owned(),
            AdmissionStep::Refuse(reason) => format!("refuse: {reason:?}"),
        };
        println!(
            "request {number} of kind {}: {step}",
            admission_request.kind.0
        );
    }
}

fn slot_table(seat: u32, now: TimePoint) -> SlotTable {
    let mut table = SlotTable::new();
    let grant = SeatGrant {
        seat,
        seats: SEATS,
        epoch: 1,
        usable_from: now,
        usable_until: None,
    };
    table.set_seat(grant, now);
    let capacity = EndpointCapacity {
        slots: SLOTS,
        connections: SLOTS,
    };
    table.put_endpoint(EndpointKey(0), "endpoint-0", capacity);
    table
}

fn take_share(table: &mut SlotTable, now: TimePoint) -> usize {
    let mut count = 0;
    while let TakeStep::Taken(_) = table.take(EndpointKey(0), ShareUnit::Slot, now) {
        count += 1;
    }
    count
}

fn admission_table(slots: usize) -> AdmissionTable {
    let policies = KINDS.map(|kind| KindPolicy {
        kind,
        urgency: u8::try_from(kind.0).unwrap_or(u8::MAX),
        weight: 1,
        floor_permille: 250,
        queue_limit: 1,
        initial_run_time: TimeSpan::from_millis(10),
    });
    let mut table = AdmissionTable::new(&policies);
    table.set_capacity(u32::try_from(slots).unwrap_or(u32::MAX));
    table
}

fn admission_request(number: u32, kind: KindKey, now: TimePoint) -> AdmissionRequest {
    AdmissionRequest {
        request: RequestKey(number),
        kind,
        user: UserKey(0),
        deadline: RequestDeadline::at(now + TimeSpan::from_millis(500)),
        origin: RequestOrigin::Caller,
    }
}
