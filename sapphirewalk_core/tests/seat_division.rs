//! Requests stay within the capacity of an endpoint while the number of seats changes, with paused
//! VMs, delayed writes, new holders of seats and lost answers to writes.

use std::ops;

use bolero::TypeGenerator;
use bolero::check;

use sapphirewalk_core::seat_division;
use sapphirewalk_core::seat_division::DivisionStep;
use sapphirewalk_core::seat_division::SeatDivisions;
use sapphirewalk_core::slot_share;
use sapphirewalk_core::slot_share::ShareUnit;

const VMS: usize = 4;
const SEATS: usize = 4;
const CAPACITY: u32 = 8;
const ENDPOINT: &str = "endpoint-a-1";
const LONGEST_REQUEST_MS: u64 = 50;
const ITERATIONS: usize = 5_000;
const INPUT_BYTES_MAX: usize = 4_096;
const OPERATIONS: ops::Range<usize> = 50..400;

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Operation {
    /// Sets the number of seats that a VM is to divide by, as after a rollout.
    SetTarget { vm: u8, seats: u8 },
    /// A VM reads all seats.
    Read { vm: u8 },
    /// A VM decides on the seats that it read last, and writes its seat if needed.
    Decide { vm: u8, delivery: WriteDelivery },
    /// Delivers one of the pending writes.
    Deliver { write: u8 },
    /// `SetTarget` for all VMs but the paused one. No VM is paused if `paused` is `VMS` or more.
    SetTargetExcept {
        #[generator(0..2 * VMS as u8)]
        paused: u8,
        seats: u8,
    },
    /// `Read`, `Decide` and `Fill` for all VMs but the paused one. No VM is paused if `paused` is
    /// `VMS` or more.
    CycleExcept {
        #[generator(0..2 * VMS as u8)]
        paused: u8,
    },
    /// A VM starts as many requests as its share permits.
    Fill { vm: u8 },
    /// A VM without running requests releases its seat.
    Release { vm: u8 },
    /// Advances the time; requests whose time is over end.
    Advance {
        #[generator(0..60)]
        millis: u8,
    },
}

/// Delivery of a write and of its answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(TypeGenerator)]
enum WriteDelivery {
    Answered,
    /// The write is delivered, but its answer is lost.
    AnswerLost,
    /// The write is delivered later or never; its answer is lost.
    Delayed,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    /// All seats as the writer read them; the write takes effect only if they are unchanged.
    conditions: Vec<Seat>,
    /// Index of the seat to write.
    index: usize,
    /// Its new value; the version is set when the write takes effect.
    seat: Seat,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Seat {
    version: u64,
    /// Index of the VM.
    holder: Option<usize>,
    divisions: Vec<u32>,
}

#[derive(Clone, Debug, Default)]
struct Vm {
    /// Number of seats to divide by.
    target: u32,
    /// All seats as read last; empty before the first read.
    last_read: Vec<Seat>,
    /// Index of the seat and the divisions that the VM complies with.
    held: Option<(usize, Vec<u32>)>,
    /// The seats as read when a replacement of the divisions was decided, and the time of the first
    /// such decision on unchanged seats.
    stable_since: Option<(Vec<Seat>, u64)>,
    /// End of each running request.
    request_ends_ms: Vec<u64>,
}

#[derive(Debug, Default)]
struct Model {
    now_ms: u64,
    seats: Vec<Seat>,
    vms: Vec<Vm>,
    next_version: u64,
    /// Writes that were sent but not delivered.
    pending: Vec<PendingWrite>,
}

impl Model {
    fn new() -> Self {
        let vm = Vm {
            target: 2,
            ..Vm::default()
        };
        Self {
            seats: vec![Seat::default(); SEATS],
            vms: vec![vm; VMS],
            ..Self::default()
        }
    }

    fn apply(&mut self, operation: Operation) {
        let index = |vm: u8| vm as usize % VMS;
        match operation {
            Operation::SetTarget { vm, seats } => {
                self.vms[index(vm)].target = 1 + u32::from(seats) % SEATS as u32;
            }
            Operation::SetTargetExcept { paused, seats } => {
                for vm in (0..VMS as u8).filter(|vm| *vm != paused) {
                    self.apply(Operation::SetTarget { vm, seats });
                }
            }
            Operation::CycleExcept { paused } => {
                for vm in (0..VMS as u8).filter(|vm| *vm != paused) {
                    self.apply(Operation::Read { vm });
                    self.apply(Operation::Decide {
                        vm,
                        delivery: WriteDelivery::Answered,
                    });
                    self.apply(Operation::Fill { vm });
                }
            }
            Operation::Read { vm } => self.vms[index(vm)].last_read = self.seats.clone(),
            Operation::Decide { vm, delivery } => self.decide(index(vm), delivery),
            Operation::Deliver { write } => {
                self.deliver(usize::from(write));
            }
            Operation::Fill { vm } => self.fill(index(vm)),
            Operation::Release { vm } => self.release(index(vm)),
            Operation::Advance { millis } => self.advance(u64::from(millis)),
        }
        let in_use: usize = self.vms.iter().map(|vm| vm.request_ends_ms.len()).sum();
        assert!(
            in_use <= CAPACITY as usize,
            "{in_use} requests on {CAPACITY} slots: {self:?}"
        );
    }

    fn decide(&mut self, vm: usize, delivery: WriteDelivery) {
        if self.vms[vm].last_read.is_empty() {
            return;
        }
        let last_read = self.vms[vm].last_read.clone();
        let held_seats: Vec<SeatDivisions> = (0_u32..)
            .zip(&last_read)
            .filter(|(_, seat)| seat.holder.is_some())
            .map(|(seat, record)| SeatDivisions {
                seat,
                divisions: record.divisions.clone(),
            })
            .collect();
        let target = self.vms[vm].target;
        let Some(own_seat) = last_read.iter().position(|seat| seat.holder == Some(vm)) else {
            let free = last_read.iter().position(|seat| seat.holder.is_none());
            if let Some(free) = free.filter(|free| *free < target as usize) {
                self.write(
                    vm,
                    free,
                    seat_division::divisions_on_claim(&held_seats, target),
                    delivery,
                );
            }
            return;
        };
        let Some((_, applied)) = self.vms[vm].held.clone() else {
            // The claim of the seat took effect, but its answer was lost.
            self.vms[vm].held = Some((own_seat, last_read[own_seat].divisions.clone()));
            return;
        };
        match seat_division::decide(own_seat as u32, &applied, &held_seats, target) {
            DivisionStep::Keep => {}
            DivisionStep::Add(divisions) => {
                self.vms[vm].held = Some((own_seat, divisions.clone()));
                self.write(vm, own_seat, divisions, delivery);
            }
            DivisionStep::Replace(divisions) => {
                let since_ms = match &self.vms[vm].stable_since {
                    Some((seats, since_ms)) if *seats == last_read => *since_ms,
                    _ => self.now_ms,
                };
                self.vms[vm].stable_since = Some((last_read, since_ms));
                if self.now_ms > since_ms + LONGEST_REQUEST_MS {
                    self.write(vm, own_seat, divisions, delivery);
                }
            }
        }
    }

    /// Sends a write of a seat, on condition that no seat has changed since it was read.
    fn write(&mut self, vm: usize, index: usize, divisions: Vec<u32>, delivery: WriteDelivery) {
        let seat = Seat {
            version: 0,
            holder: Some(vm),
            divisions: divisions.clone(),
        };
        self.pending.push(PendingWrite {
            conditions: self.vms[vm].last_read.clone(),
            index,
            seat,
        });
        let took_effect =
            delivery != WriteDelivery::Delayed && self.deliver(self.pending.len() - 1);
        if took_effect && delivery == WriteDelivery::Answered {
            self.vms[vm].held = Some((index, divisions));
        }
    }

    /// Delivers a write and returns whether it took effect.
    fn deliver(&mut self, write: usize) -> bool {
        if write >= self.pending.len() {
            return false;
        }
        let write = self.pending.remove(write);
        let condition_holds = write.conditions == self.seats;
        if condition_holds {
            self.next_version += 1;
            self.seats[write.index] = Seat {
                version: self.next_version,
                ..write.seat
            };
        }
        condition_holds
    }

    fn fill(&mut self, vm: usize) {
        let Some((seat, divisions)) = &self.vms[vm].held else {
            return;
        };
        let share = |seats: &u32| {
            let unit = ShareUnit::Slot;
            slot_share::seat_share(CAPACITY, *seats, *seat as u32, ENDPOINT, unit) as usize
        };
        let limit = divisions.iter().map(share).min().unwrap_or(0);
        let end_ms = self.now_ms + LONGEST_REQUEST_MS;
        let request_ends_ms = &mut self.vms[vm].request_ends_ms;
        request_ends_ms.resize(limit.max(request_ends_ms.len()), end_ms);
    }

    fn release(&mut self, vm: usize) {
        if !self.vms[vm].request_ends_ms.is_empty() {
            return;
        }
        self.vms[vm].held = None;
        for seat in &mut self.seats {
            if seat.holder == Some(vm) {
                self.next_version += 1;
                seat.version = self.next_version;
                seat.holder = None;
            }
        }
        // Models a restart: the new process has read no seats.
        self.vms[vm].last_read.clear();
        self.vms[vm].stable_since = None;
    }

    fn advance(&mut self, millis: u64) {
        self.now_ms += millis;
        for vm in &mut self.vms {
            vm.request_ends_ms.retain(|end_ms| *end_ms > self.now_ms);
        }
    }
}

#[test]
fn requests_stay_within_the_capacity_while_the_number_of_seats_changes() {
    check!()
        .with_iterations(ITERATIONS)
        .with_max_len(INPUT_BYTES_MAX)
        .with_generator(bolero::produce::<Vec<Operation>>().with().len(OPERATIONS))
        .for_each(|operations| {
            let mut model = Model::new();
            for operation in operations {
                model.apply(*operation);
            }
        });
}

#[test]
fn all_seats_reach_the_new_division_and_use_the_whole_capacity() {
    let mut model = Model::new();
    for vm in 0..VMS as u8 {
        model.apply(Operation::Read { vm });
        model.apply(Operation::Decide {
            vm,
            delivery: WriteDelivery::Answered,
        });
    }
    for vm in 0..VMS as u8 {
        model.apply(Operation::SetTarget { vm, seats: 3 });
    }
    for _ in 0..10 {
        for vm in 0..VMS as u8 {
            model.apply(Operation::Read { vm });
            model.apply(Operation::Decide {
                vm,
                delivery: WriteDelivery::Answered,
            });
            model.apply(Operation::Fill { vm });
        }
        model.apply(Operation::Advance { millis: 60 });
    }
    for vm in 0..VMS as u8 {
        model.apply(Operation::Fill { vm });
    }
    assert!(
        model.seats.iter().all(|seat| seat.divisions == [4]),
        "{model:?}"
    );
    let in_use: usize = model.vms.iter().map(|vm| vm.request_ends_ms.len()).sum();
    assert_eq!(in_use, CAPACITY as usize);
}
