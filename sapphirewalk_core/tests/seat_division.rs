//! No endpoint is over-given while the number of seats changes, whoever is paused, late, replaced by
//! a new holder, or loses the answer of a write.

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
const MOST_INPUT_BYTES: usize = 4_096;
const OPERATIONS: ops::Range<usize> = 50..400;

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
enum Operation {
    /// Learns of a rollout with this number of seats.
    Learn { vm: u8, seats: u8 },
    /// Reads all seats.
    Read { vm: u8 },
    /// Acts on what was read last.
    Act { vm: u8, fate: WriteFate },
    /// Lets a delayed write arrive.
    Arrive { write: u8 },
    /// All but one learn of a rollout with this number of seats.
    LearnBut {
        #[generator(0..2 * VMS as u8)]
        paused: u8,
        seats: u8,
    },
    /// All but one read, act, and use all that their shares allow.
    CycleBut {
        #[generator(0..2 * VMS as u8)]
        paused: u8,
    },
    /// Uses all that the share allows.
    Fill { vm: u8 },
    /// Releases the seat, if nothing runs.
    Release { vm: u8 },
    /// Lets time pass.
    Advance {
        #[generator(0..60)]
        millis: u8,
    },
}

/// What becomes of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(TypeGenerator)]
enum WriteFate {
    Answered,
    /// It arrives, but its answer is lost.
    AnswerLost,
    /// It arrives later, or never; its answer is lost.
    Delayed,
}

#[derive(Clone, Debug)]
struct DelayedWrite {
    conditions: Vec<Seat>,
    index: usize,
    seat: Seat,
}

#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Seat {
    version: u64,
    holder: Option<usize>,
    divisions: Vec<u32>,
}

#[derive(Clone, Debug, Default)]
struct Vm {
    target: u32,
    view: Vec<Seat>,
    held: Option<(usize, Vec<u32>)>,
    settling: Option<(Vec<Seat>, u64)>,
    /// When each request ends.
    runs: Vec<u64>,
}

#[derive(Debug, Default)]
struct Model {
    now_ms: u64,
    seats: Vec<Seat>,
    vms: Vec<Vm>,
    next_version: u64,
    delayed: Vec<DelayedWrite>,
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
            Operation::Learn { vm, seats } => {
                self.vms[index(vm)].target = 1 + u32::from(seats) % SEATS as u32;
            }
            Operation::LearnBut { paused, seats } => {
                for vm in (0..VMS as u8).filter(|vm| *vm != paused) {
                    self.apply(Operation::Learn { vm, seats });
                }
            }
            Operation::CycleBut { paused } => {
                for vm in (0..VMS as u8).filter(|vm| *vm != paused) {
                    self.apply(Operation::Read { vm });
                    self.apply(Operation::Act {
                        vm,
                        fate: WriteFate::Answered,
                    });
                    self.apply(Operation::Fill { vm });
                }
            }
            Operation::Read { vm } => self.vms[index(vm)].view = self.seats.clone(),
            Operation::Act { vm, fate } => self.act(index(vm), fate),
            Operation::Arrive { write } => {
                self.arrive(usize::from(write));
            }
            Operation::Fill { vm } => self.fill(index(vm)),
            Operation::Release { vm } => self.release(index(vm)),
            Operation::Advance { millis } => self.advance(u64::from(millis)),
        }
        let in_use: usize = self.vms.iter().map(|vm| vm.runs.len()).sum();
        assert!(in_use <= CAPACITY as usize, "{in_use} in use: {self:?}");
    }

    fn act(&mut self, vm: usize, fate: WriteFate) {
        if self.vms[vm].view.is_empty() {
            return;
        }
        let view = self.vms[vm].view.clone();
        let held: Vec<SeatDivisions> = (0_u32..)
            .zip(&view)
            .filter(|(_, seat)| seat.holder.is_some())
            .map(|(seat, record)| SeatDivisions {
                seat,
                divisions: record.divisions.clone(),
            })
            .collect();
        let target = self.vms[vm].target;
        let Some(own) = view.iter().position(|seat| seat.holder == Some(vm)) else {
            let free = view.iter().position(|seat| seat.holder.is_none());
            if let Some(free) = free.filter(|free| *free < target as usize) {
                self.write(
                    vm,
                    free,
                    seat_division::divisions_on_claim(&held, target),
                    fate,
                );
            }
            return;
        };
        let Some((_, kept)) = self.vms[vm].held.clone() else {
            // The answer to taking the seat was lost.
            self.vms[vm].held = Some((own, view[own].divisions.clone()));
            return;
        };
        match seat_division::decide(own as u32, &kept, &held, target) {
            DivisionStep::Keep => {}
            DivisionStep::Add(divisions) => {
                self.vms[vm].held = Some((own, divisions.clone()));
                self.write(vm, own, divisions, fate);
            }
            DivisionStep::Replace(divisions) => {
                let since = match &self.vms[vm].settling {
                    Some((seats, since)) if *seats == view => *since,
                    _ => self.now_ms,
                };
                self.vms[vm].settling = Some((view, since));
                if self.now_ms > since + LONGEST_REQUEST_MS {
                    self.write(vm, own, divisions, fate);
                }
            }
        }
    }

    /// Writes a seat if all seats are as they were read.
    fn write(&mut self, vm: usize, index: usize, divisions: Vec<u32>, fate: WriteFate) {
        let seat = Seat {
            version: 0,
            holder: Some(vm),
            divisions: divisions.clone(),
        };
        self.delayed.push(DelayedWrite {
            conditions: self.vms[vm].view.clone(),
            index,
            seat,
        });
        let has_arrived = fate != WriteFate::Delayed && self.arrive(self.delayed.len() - 1);
        if has_arrived && fate == WriteFate::Answered {
            self.vms[vm].held = Some((index, divisions));
        }
    }

    /// Lets a write arrive, and says whether it took effect.
    fn arrive(&mut self, write: usize) -> bool {
        if write >= self.delayed.len() {
            return false;
        }
        let write = self.delayed.remove(write);
        let holds = write.conditions == self.seats;
        if holds {
            self.next_version += 1;
            self.seats[write.index] = Seat {
                version: self.next_version,
                ..write.seat
            };
        }
        holds
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
        let ends = self.now_ms + LONGEST_REQUEST_MS;
        let runs = &mut self.vms[vm].runs;
        runs.resize(limit.max(runs.len()), ends);
    }

    fn release(&mut self, vm: usize) {
        if !self.vms[vm].runs.is_empty() {
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
        // What was read before is of no use to a process that starts anew.
        self.vms[vm].view.clear();
        self.vms[vm].settling = None;
    }

    fn advance(&mut self, millis: u64) {
        self.now_ms += millis;
        for vm in &mut self.vms {
            vm.runs.retain(|ends| *ends > self.now_ms);
        }
    }
}

#[test]
fn no_endpoint_is_over_given_while_seats_change() {
    check!()
        .with_iterations(ITERATIONS)
        .with_max_len(MOST_INPUT_BYTES)
        .with_generator(bolero::produce::<Vec<Operation>>().with().len(OPERATIONS))
        .for_each(|operations| {
            let mut model = Model::new();
            for operation in operations {
                model.apply(*operation);
            }
        });
}

#[test]
fn all_holders_reach_the_new_division() {
    let mut model = Model::new();
    for vm in 0..VMS as u8 {
        model.apply(Operation::Read { vm });
        model.apply(Operation::Act {
            vm,
            fate: WriteFate::Answered,
        });
    }
    for vm in 0..VMS as u8 {
        model.apply(Operation::Learn { vm, seats: 3 });
    }
    for _ in 0..10 {
        for vm in 0..VMS as u8 {
            model.apply(Operation::Read { vm });
            model.apply(Operation::Act {
                vm,
                fate: WriteFate::Answered,
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
    let in_use: usize = model.vms.iter().map(|vm| vm.runs.len()).sum();
    assert_eq!(in_use, CAPACITY as usize);
}
