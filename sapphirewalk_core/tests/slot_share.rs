//! Division of slots: the shares add up to the capacity, and requests stay within it with lost
//! answers, paused VMs, replaced holders and changed divisions.

use std::ops;

use bolero::TypeGenerator;
use bolero::check;

use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::slot_share;
use sapphirewalk_core::slot_share::EndpointCapacity;
use sapphirewalk_core::slot_share::ReleaseStep;
use sapphirewalk_core::slot_share::SeatGrant;
use sapphirewalk_core::slot_share::ShareKey;
use sapphirewalk_core::slot_share::ShareUnit;
use sapphirewalk_core::slot_share::SlotTable;
use sapphirewalk_core::slot_share::TakeStep;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const ITERATIONS: usize = 2_000;
const INPUT_BYTES_MAX: usize = 4_096;
const SEATS: usize = 3;
const ENDPOINTS: u32 = 2;
const OPERATIONS: ops::Range<usize> = 20..200;
const ADVANCE_MILLIS_LIMIT: u64 = 40;
const CAPACITY: EndpointCapacity = EndpointCapacity {
    slots: 8,
    connections: 64,
};
const LEASE_SPAN: TimeSpan = TimeSpan::from_millis(100);
const LONGEST_REQUEST: TimeSpan = TimeSpan::from_millis(60);

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Operation {
    /// A VM takes all slots of its share of an endpoint.
    Fill {
        vm: u8,
        endpoint: u8,
    },
    Release {
        vm: u8,
        unit: u8,
    },
    Advance {
        millis: u8,
    },
    /// A VM renews its lease on the seat. If `is_unanswered`, the renewal takes effect, but its
    /// answer is lost.
    Renew {
        vm: u8,
        is_unanswered: bool,
    },
    /// Assigns the seat to a new VM while the former one is still running.
    Replace {
        seat: u8,
    },
    /// Changes the number of seats of the domain to two or three.
    Divide {
        into_three: bool,
    },
}

struct HeldUnit {
    key: ShareKey,
    taken_at: TimePoint,
}

struct EntryVm {
    seat: usize,
    /// Epoch of the seat that the table was set to last.
    epoch: u64,
    table: SlotTable,
    held: Vec<HeldUnit>,
}

#[derive(Clone, Copy)]
struct SeatRow {
    epoch: u64,
    /// Index of the VM.
    owner: usize,
    usable_from: TimePoint,
    usable_until: TimePoint,
}

struct Domain {
    now: TimePoint,
    /// Number of seats that slots are divided among.
    seats: u32,
    rows: Vec<SeatRow>,
    /// All VMs, including those whose seat was reassigned.
    vms: Vec<EntryVm>,
}

impl Domain {
    fn new() -> Self {
        let now = TimePoint::from_millis(1);
        let row = |owner| SeatRow {
            epoch: 1,
            owner,
            usable_from: now,
            usable_until: now,
        };
        let mut domain = Self {
            now,
            seats: SEATS as u32,
            rows: (0..SEATS).map(row).collect(),
            vms: (0..SEATS).map(|seat| EntryVm::new(seat, 1)).collect(),
        };
        (0..SEATS).for_each(|vm| domain.renew(vm, false));
        domain
    }

    fn apply(&mut self, operation: Operation) {
        let vms = self.vms.len();
        match operation {
            Operation::Fill { vm, endpoint } => {
                self.fill(vm as usize % vms, u32::from(endpoint) % ENDPOINTS);
            }
            Operation::Release { vm, unit } => self.release(vm as usize % vms, unit as usize),
            Operation::Advance { millis } => {
                self.advance(TimeSpan::from_millis(
                    u64::from(millis) % ADVANCE_MILLIS_LIMIT,
                ));
            }
            Operation::Renew { vm, is_unanswered } => self.renew(vm as usize % vms, is_unanswered),
            Operation::Replace { seat } => self.replace(seat as usize % SEATS),
            Operation::Divide { into_three } => self.divide(if into_three { 3 } else { 2 }),
        }
    }

    fn fill(&mut self, vm: usize, endpoint: u32) {
        let taken_at = self.now;
        let vm = &mut self.vms[vm];
        while let TakeStep::Taken(key) =
            vm.table
                .take(EndpointKey(endpoint), ShareUnit::Slot, taken_at)
        {
            vm.held.push(HeldUnit { key, taken_at });
        }
    }

    fn release(&mut self, vm: usize, unit: usize) {
        let vm = &mut self.vms[vm];
        if !vm.held.is_empty() {
            let unit = vm.held.remove(unit % vm.held.len());
            assert_eq!(vm.table.release(unit.key), ReleaseStep::Freed);
            assert_eq!(vm.table.release(unit.key), ReleaseStep::AlreadyFree);
        }
    }

    fn advance(&mut self, span: TimeSpan) {
        self.now = self.now + span;
        let now = self.now;
        for vm in &mut self.vms {
            for unit in &vm.held {
                if now.since(unit.taken_at) >= LONGEST_REQUEST {
                    vm.table.release(unit.key);
                }
            }
            vm.held
                .retain(|unit| now.since(unit.taken_at) < LONGEST_REQUEST);
        }
    }

    fn renew(&mut self, vm: usize, is_unanswered: bool) {
        let seat = self.vms[vm].seat;
        if self.rows[seat].owner != vm {
            return;
        }
        self.rows[seat].usable_until = self.now + LEASE_SPAN;
        if is_unanswered {
            return;
        }
        let row = self.rows[seat];
        let grant = SeatGrant {
            seat: seat as u32,
            seats: self.seats,
            epoch: row.epoch,
            usable_from: row.usable_from,
            usable_until: Some(row.usable_until),
        };
        let vm = &mut self.vms[vm];
        if vm.epoch != row.epoch || vm.table.seat().is_none() {
            vm.table.set_seat(grant, self.now);
            vm.epoch = row.epoch;
        }
        vm.table.renew_seat(row.epoch, grant.usable_until);
    }

    fn replace(&mut self, seat: usize) {
        let owner = self.vms.len();
        let row = &mut self.rows[seat];
        row.epoch += 1;
        row.owner = owner;
        row.usable_from = row.usable_from.max(row.usable_until + LONGEST_REQUEST);
        let epoch = row.epoch;
        self.vms.push(EntryVm::new(seat, epoch));
    }

    fn divide(&mut self, seats: u32) {
        let lease_end = self.rows.iter().map(|row| row.usable_until).max();
        let usable_from = lease_end.unwrap_or(self.now).max(self.now) + LONGEST_REQUEST;
        self.seats = seats;
        for row in &mut self.rows {
            row.epoch += 1;
            row.usable_from = row.usable_from.max(usable_from);
        }
    }

    fn assert_within_capacity(&self) {
        for endpoint in (0..ENDPOINTS).map(EndpointKey) {
            let units = self.vms.iter().flat_map(|vm| &vm.held);
            let in_use = units.filter(|unit| unit.key.endpoint == endpoint).count();
            assert!(
                in_use <= CAPACITY.slots as usize,
                "{in_use} requests at {endpoint:?} with {CAPACITY:?}"
            );
        }
    }
}

impl EntryVm {
    fn new(seat: usize, epoch: u64) -> Self {
        let mut table = SlotTable::new();
        for endpoint in 0..ENDPOINTS {
            table.put_endpoint(EndpointKey(endpoint), &format!("e{endpoint}"), CAPACITY);
        }
        Self {
            seat,
            epoch,
            table,
            held: Vec::new(),
        }
    }
}

#[test]
fn shares_sum_to_the_capacity() {
    check!()
        .with_iterations(ITERATIONS)
        .with_type::<(u8, u8, u64)>()
        .for_each(|(capacity, seats, name)| {
            let (capacity, seats) = (u32::from(*capacity), u32::from(*seats).max(1));
            let shares = (0..seats).map(|seat| {
                slot_share::seat_share(capacity, seats, seat, &name.to_string(), ShareUnit::Slot)
            });
            assert_eq!(shares.sum::<u32>(), capacity);
        });
}

#[test]
fn requests_stay_within_the_capacity_of_each_endpoint() {
    check!()
        .with_iterations(ITERATIONS)
        .with_max_len(INPUT_BYTES_MAX)
        .with_generator(bolero::produce::<Vec<Operation>>().with().len(OPERATIONS))
        .for_each(|operations| {
            let mut domain = Domain::new();
            for operation in operations {
                domain.apply(*operation);
                domain.assert_within_capacity();
            }
        });
}

#[test]
fn a_reassigned_seat_is_unusable_before_its_start_time() {
    let mut table = EntryVm::new(0, 2).table;
    let usable_from = TimePoint::from_millis(10);
    let grant = SeatGrant {
        seat: 0,
        seats: 2,
        epoch: 2,
        usable_from,
        usable_until: None,
    };
    table.set_seat(grant, TimePoint::EPOCH);
    let endpoint = EndpointKey(0);
    let early = table.take(endpoint, ShareUnit::Slot, TimePoint::from_millis(9));
    assert_eq!(early, TakeStep::NotBefore(usable_from));
    for _ in 0..4 {
        let step = table.take(endpoint, ShareUnit::Slot, usable_from);
        assert!(matches!(step, TakeStep::Taken(_)));
    }
    let step = table.take(endpoint, ShareUnit::Slot, usable_from);
    assert_eq!(step, TakeStep::Full);
    table.clear_seat();
    assert_eq!(table.in_use(endpoint, ShareUnit::Slot), 4);
    let step = table.take(endpoint, ShareUnit::Slot, usable_from);
    assert_eq!(step, TakeStep::NoSeat);
}
