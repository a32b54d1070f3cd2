//! Maintenance waves: which machine of a wave is drained or ordered into maintenance next, and when
//! the wave is complete.
//!
//! It answers waves in a pool that is loaded all the time: machines don't become idle by
//! themselves, so each gets a share of the wave's time to be drained, and is ordered without an
//! empty worker when that is over. An order without an answer may be carried out seconds later and
//! therefore counts as a machine that is down.

use serde::Deserialize;
use serde::Serialize;

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Time besides the maintenance itself until a machine's successor can be ordered: the commit of
/// the order, its answer, and up to two reads of the machines.
const TURN_OVERHEAD: TimeSpan = TimeSpan::from_millis(1_500);
/// Time until an order that was not carried out, or that has no answer, is sent again.
const RESEND_DELAY: TimeSpan = TimeSpan::from_millis(500);
/// Time for which a machine must be missing from the list to count as gone. A machine that moves
/// between pools may be missing for a moment.
const GONE_SPAN: TimeSpan = TimeSpan::from_millis(5_000);

/// The operators' request for a maintenance wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WaveRequest {
    /// Number of the wave.
    pub number: u64,
    /// Names of its machines; sorted, each once.
    pub machines: Vec<String>,
    /// Time from the request within which each machine is to get its maintenance.
    pub duration: TimeSpan,
    /// Most machines of the wave that may be down for their maintenance at once.
    pub cap: usize,
}

/// The deployment's limits for maintenance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct MaintenanceLimits {
    /// Time from the begin of a machine's maintenance until its next worker joins.
    pub maintenance: TimeSpan,
    /// Time within which no sender may follow another for one machine.
    pub sender_lease: TimeSpan,
    /// Orders a second that the machines interface accepts over all senders, at least 1.
    pub orders_per_second: u32,
}

/// State of a machine in the list of machines.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Its worker may run tasks.
    Up,
    /// It moves to another pool.
    Moving,
    /// Nothing runs on it until its maintenance ends.
    Maintenance,
    /// It is down for another reason.
    Down,
}

/// A machine in the list of machines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MachineListing {
    /// Name of the machine.
    pub machine: String,
    /// Identifier of its worker; empty without one.
    pub worker: String,
    /// Whether the machine is up.
    pub state: MachineState,
}

/// A complete read of the list of machines.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MachineList {
    /// The machines, sorted by name.
    pub machines: Vec<MachineListing>,
    /// When the first call of the read was sent.
    pub read_at: TimePoint,
}

/// The answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MaintenanceAnswer {
    /// The maintenance has begun, now or earlier.
    Begun,
    /// Another sender has used a higher fencing token.
    Fenced,
    /// The machine is not up or is leaving; not carried out.
    Busy,
    /// The machine doesn't belong to the wave.
    OtherWave,
    /// There is no such machine.
    Unknown,
    /// Too many orders; not carried out.
    Limited,
    /// The order was not sent.
    Unsent,
    /// No answer arrived; the order may still be carried out.
    Missing,
}

/// What an answer means for the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerStep {
    /// All that ran on the machine has ended.
    Begun,
    /// The order is sent again later.
    Retry,
    /// The machine no longer belongs to the wave.
    Excluded,
    /// Another coordinator leads.
    StepDown,
}

/// What the tasks on a machine's worker mean for an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineLoad {
    /// Nothing runs there.
    Empty,
    /// An order would end tasks.
    Occupied,
    /// An order would end tasks whose step may not lose them.
    Protected,
}

/// What to do next for a wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaveStep {
    /// Nothing now.
    Wait,
    /// The machine with this index takes no new tasks from now on.
    Drain(usize),
    /// An order for the machine with this index is to be committed.
    Commit(usize),
    /// The committed order for the machine with this index is to be sent, or sent again.
    Send(usize),
}

/// Progress of one machine as it is stored for a successor.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum StoredPhase {
    /// Not ordered.
    #[default]
    Waiting,
    /// An order with this fencing token may have been sent.
    Ordered(u64),
    /// The maintenance has begun.
    Begun,
    /// The machine doesn't belong to the wave any more.
    Excluded,
}

/// A wave as it is stored for a successor.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct WaveRecord {
    /// Number of the wave.
    pub number: u64,
    /// When the request was first seen.
    pub begun_at: TimePoint,
    /// Machines and their progress, sorted by name.
    pub machines: Vec<(String, StoredPhase)>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum MachinePhase {
    Waiting,
    Draining {
        since: TimePoint,
    },
    /// The order is in a batch that is not committed yet.
    Recording,
    /// The order is committed and may have been carried out. `in_flight`: an answer is awaited.
    Ordered {
        in_flight: bool,
    },
    /// The maintenance had begun when this answer arrived; the machine is not up again as far as
    /// known.
    Begun {
        at: TimePoint,
    },
    Finished,
    Excluded,
}

#[derive(Clone, Debug)]
struct WaveMachine {
    name: String,
    phase: MachinePhase,
    state: Option<MachineState>,
    /// Worker of the machine as last listed; empty without one.
    worker: String,
    missing_since: Option<TimePoint>,
    next_send: TimePoint,
}

/// Progress of a wave.
#[derive(Clone, Debug)]
pub struct MaintenanceWave {
    request: WaveRequest,
    begun_at: TimePoint,
    machines: Vec<WaveMachine>,
    /// No order is sent before this time.
    orders_from: TimePoint,
}

impl MaintenanceWave {
    /// A wave whose request was first seen at `begun_at`, with the progress that a predecessor
    /// stored, if any. `orders_from` is the earliest time of an order.
    pub fn new(
        request: WaveRequest,
        record: Option<&WaveRecord>,
        orders_from: TimePoint,
        now: TimePoint,
    ) -> Self {
        let begun_at = record.map_or(now, |record| record.begun_at);
        let stored = |name: &String| {
            let machines = &record?.machines;
            let found = machines.binary_search_by(|(known, _)| known.cmp(name));
            found.ok().map(|place| machines[place].1)
        };
        let machines = request.machines.iter().map(|name| WaveMachine {
            name: name.clone(),
            phase: match stored(name).unwrap_or_default() {
                StoredPhase::Waiting => MachinePhase::Waiting,
                StoredPhase::Ordered(_) => MachinePhase::Ordered { in_flight: false },
                StoredPhase::Begun => MachinePhase::Begun { at: now },
                StoredPhase::Excluded => MachinePhase::Excluded,
            },
            state: None,
            worker: String::new(),
            missing_since: None,
            next_send: TimePoint::EPOCH,
        });
        Self {
            machines: machines.collect(),
            request,
            begun_at,
            orders_from,
        }
    }

    /// Number of the wave.
    pub const fn number(&self) -> u64 {
        self.request.number
    }

    /// When the request was first seen.
    pub const fn begun_at(&self) -> TimePoint {
        self.begun_at
    }

    /// Name of the machine with an index.
    pub fn machine(&self, index: usize) -> &str {
        &self.machines[index].name
    }

    /// Identifier of the worker on the machine with an index; empty if it is not known.
    pub fn worker(&self, index: usize) -> &str {
        &self.machines[index].worker
    }

    /// Number of machines that are down for their maintenance or may be, ordered ones included.
    pub fn down_count(&self) -> usize {
        let machines = self.machines.iter();
        machines.filter(|machine| machine.is_down()).count()
    }

    /// Workers that take no new tasks, because their machine is drained, ordered or down.
    pub fn closed_workers(&self) -> impl Iterator<Item = &str> {
        let machines = self.machines.iter();
        let closed = machines.filter(|machine| {
            machine.is_down() || matches!(machine.phase, MachinePhase::Draining { .. })
        });
        closed
            .map(|machine| machine.worker.as_str())
            .filter(|worker| !worker.is_empty())
    }

    /// Indexes of the machines that are being drained.
    pub fn draining(&self) -> impl Iterator<Item = usize> {
        let machines = self.machines.iter().enumerate();
        machines
            .filter(|(_, machine)| matches!(machine.phase, MachinePhase::Draining { .. }))
            .map(|(index, _)| index)
    }

    /// Whether each machine that stays has begun its maintenance.
    pub fn is_complete(&self) -> bool {
        self.machines.iter().all(|machine| {
            matches!(
                machine.phase,
                MachinePhase::Begun { .. } | MachinePhase::Finished | MachinePhase::Excluded
            )
        })
    }

    /// Whether the wave is complete and all its machines are up again or gone.
    pub fn is_settled(&self) -> bool {
        self.is_complete() && self.down_count() == 0
    }

    /// Takes over what a read of the list says about the wave's machines.
    pub fn observe(&mut self, list: &MachineList, now: TimePoint) {
        for machine in &mut self.machines {
            let found = list
                .machines
                .binary_search_by(|listing| listing.machine.cmp(&machine.name));
            let Ok(place) = found else {
                machine.state = None;
                machine.worker.clear();
                let since = *machine.missing_since.get_or_insert(now);
                if now.since(since) >= GONE_SPAN {
                    machine.phase = MachinePhase::Excluded;
                }
                continue;
            };
            let listing = &list.machines[place];
            machine.missing_since = None;
            machine.state = Some(listing.state);
            machine.worker.clone_from(&listing.worker);
            if let MachinePhase::Begun { at } = machine.phase
                && listing.state == MachineState::Up
                && list.read_at > at
            {
                machine.phase = MachinePhase::Finished;
            }
        }
    }

    /// What to do next. `load` states what runs on the machine with an index.
    pub fn next_step(
        &self,
        load: impl Fn(usize) -> MachineLoad,
        limits: &MaintenanceLimits,
        now: TimePoint,
    ) -> WaveStep {
        let machines = || self.machines.iter().enumerate();
        let may_order = now >= self.orders_from;
        let sendable = machines().find(|(_, machine)| {
            machine.phase == MachinePhase::Ordered { in_flight: false } && now >= machine.next_send
        });
        if let Some((index, _)) = sendable.filter(|_| may_order) {
            return WaveStep::Send(index);
        }
        if may_order && self.down_count() < self.request.cap {
            let due = self.draining().filter(|index| self.is_up(*index));
            let ready = due
                .map(|index| (load(index), index))
                .find(|(load, index)| match load {
                    MachineLoad::Empty => true,
                    MachineLoad::Occupied => now >= self.order_due(*index, limits),
                    MachineLoad::Protected => false,
                });
            if let Some((_, index)) = ready {
                return WaveStep::Commit(index);
            }
        }
        if self.draining().count() >= self.request.cap {
            return WaveStep::Wait;
        }
        let waiting = machines()
            .filter(|(index, machine)| machine.phase == MachinePhase::Waiting && self.is_up(*index))
            .map(|(index, _)| (load(index) != MachineLoad::Empty, index));
        waiting
            .min()
            .map_or(WaveStep::Wait, |(_, index)| WaveStep::Drain(index))
    }

    /// When the machine with this index is ordered at the latest: after its share of the time that
    /// is left beyond the maintenance of the machines to come.
    fn order_due(&self, index: usize, limits: &MaintenanceLimits) -> TimePoint {
        let MachinePhase::Draining { since } = self.machines[index].phase else {
            return TimePoint::EPOCH;
        };
        let machines = self.machines.iter();
        let open = machines.filter(|machine| !machine.has_begun()).count();
        let turns = open.div_ceil(self.request.cap.max(1)).max(1) as u64;
        let turn = limits.maintenance + TURN_OVERHEAD;
        let left = (self.begun_at + self.request.duration).since(since);
        let share = TimeSpan::from_micros(left.as_micros() / turns);
        since + TimeSpan::from_micros(share.as_micros().saturating_sub(turn.as_micros()))
    }

    fn is_up(&self, index: usize) -> bool {
        self.machines[index].state == Some(MachineState::Up)
    }

    /// The machine takes no new tasks from now on.
    pub fn begin_drain(&mut self, index: usize, now: TimePoint) {
        self.machines[index].phase = MachinePhase::Draining { since: now };
    }

    /// The order for the machine is in the next batch.
    pub fn begin_commit(&mut self, index: usize) {
        self.machines[index].phase = MachinePhase::Recording;
    }

    /// The orders that were in a batch are committed.
    pub fn committed(&mut self) {
        for machine in &mut self.machines {
            if machine.phase == MachinePhase::Recording {
                machine.phase = MachinePhase::Ordered { in_flight: false };
            }
        }
    }

    /// The order for the machine was sent.
    pub fn sent(&mut self, index: usize) {
        self.machines[index].phase = MachinePhase::Ordered { in_flight: true };
    }

    /// Takes over the answer to an order. An order that was refused keeps its place, because an
    /// earlier copy of it may still be carried out.
    pub fn answered(
        &mut self,
        machine: &str,
        answer: MaintenanceAnswer,
        now: TimePoint,
    ) -> AnswerStep {
        let found = self
            .machines
            .binary_search_by(|known| known.name.as_str().cmp(machine));
        let Some(machine) = found.ok().map(|place| &mut self.machines[place]) else {
            return AnswerStep::Excluded;
        };
        let MachinePhase::Ordered { .. } = machine.phase else {
            return AnswerStep::Retry;
        };
        let retry = MachinePhase::Ordered { in_flight: false };
        machine.next_send = now + RESEND_DELAY;
        match answer {
            MaintenanceAnswer::Begun => {
                machine.phase = MachinePhase::Begun { at: now };
                AnswerStep::Begun
            }
            MaintenanceAnswer::OtherWave | MaintenanceAnswer::Unknown => {
                machine.phase = MachinePhase::Excluded;
                AnswerStep::Excluded
            }
            MaintenanceAnswer::Fenced => {
                machine.phase = retry;
                AnswerStep::StepDown
            }
            MaintenanceAnswer::Busy
            | MaintenanceAnswer::Limited
            | MaintenanceAnswer::Unsent
            | MaintenanceAnswer::Missing => {
                machine.phase = retry;
                AnswerStep::Retry
            }
        }
    }

    /// The progress to store for a successor, whose orders carry the token `fence`.
    pub fn record(&self, fence: u64) -> WaveRecord {
        let machines = self.machines.iter().map(|machine| {
            let phase = match machine.phase {
                MachinePhase::Waiting | MachinePhase::Draining { .. } => StoredPhase::Waiting,
                MachinePhase::Recording | MachinePhase::Ordered { .. } => {
                    StoredPhase::Ordered(fence)
                }
                MachinePhase::Begun { .. } | MachinePhase::Finished => StoredPhase::Begun,
                MachinePhase::Excluded => StoredPhase::Excluded,
            };
            (machine.name.clone(), phase)
        });
        WaveRecord {
            number: self.request.number,
            begun_at: self.begun_at,
            machines: machines.collect(),
        }
    }
}

impl WaveMachine {
    const fn is_down(&self) -> bool {
        matches!(
            self.phase,
            MachinePhase::Recording | MachinePhase::Ordered { .. } | MachinePhase::Begun { .. }
        )
    }

    const fn has_begun(&self) -> bool {
        matches!(
            self.phase,
            MachinePhase::Begun { .. } | MachinePhase::Finished | MachinePhase::Excluded
        )
    }
}
