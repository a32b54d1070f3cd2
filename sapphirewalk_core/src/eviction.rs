//! Relief of pressed attempts: throttle first, then evict what is cheapest to move.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::interference::InterferenceTable;
use crate::interference::LoadBand;
use crate::key::ArenaKey;
use crate::key::KindKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::resource::ResourceVector;
use crate::share_ledger::ShareLedger;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::urgency::TaskUrgency;
use crate::worker_pool::FULL_SPEED_PERMILLE;
use crate::worker_pool::RunningAttempt;
use crate::worker_pool::WorkerPool;
use crate::worker_pool::WorkerSlot;
use crate::worker_pool::WorkerStatus;

/// Evictions in a minute for each hundred workers.
const EVICTIONS_PER_MINUTE: f64 = 60.0;
/// Most evictions at once for each hundred workers.
const EVICTIONS_BURST: f64 = 60.0;
/// Workers looked at for one task that wants room.
const LOOKS_MAX: usize = 64;
/// How long an attempt runs before it may be evicted.
const RESIDENCE_MIN: TimeSpan = TimeSpan::from_secs(20);
/// How often a task may be evicted.
const EVICTIONS_MAX: u32 = 3;
/// Work lost by any restart, in seconds of the attempt's processor time.
const RESTART_SECS: f64 = 15.0;
/// How long a task that was given room waits for it before more is made.
const ROOM_WAIT: TimeSpan = TimeSpan::from_secs(10);
/// Reported speed below which an urgent attempt is pressed.
const PRESSED_SPEED: f64 = 0.6;
/// Reported speed above which throttled attempts on its worker are restored.
const RELIEVED_SPEED: f64 = 0.85;
/// Reports in a row before anything is done.
const REPORTS_MIN: u32 = 2;
/// Thousandths of the granted processor time after each step of throttling.
const THROTTLE_STEPS: [u32; 2] = [500, 200];

/// What to do to a running attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreemptionStep {
    /// Nothing.
    NoAction,
    /// Limit its processor time, or lift the limit.
    Throttle {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// Thousandths of the granted processor time.
        cpu_permille: u32,
    },
    /// Take a checkpoint and stop it.
    Evict {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// The attempt.
        attempt: u64,
    },
}

/// A task that wants room.
#[derive(Clone, Copy, Debug)]
pub struct PreemptionRequest {
    /// The task.
    pub task: TaskKey,
    /// Its urgency.
    pub urgency: TaskUrgency,
    /// What it is to be granted.
    pub requested: ResourceVector,
}

/// Chooses what to throttle and what to evict.
#[derive(Clone, Debug)]
pub struct EvictionPolicy {
    rng: ChaCha8Rng,
    budget: f64,
    refilled_at: TimePoint,
    /// Tasks for which room is being made; sorted by task.
    rooms: Vec<RoomWait>,
    /// By the worker's key.
    pressures: Vec<WorkerPressure>,
}

#[derive(Clone, Copy, Debug)]
struct RoomWait {
    task: TaskKey,
    until: TimePoint,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkerPressure {
    slow_reports: u32,
    fast_reports: u32,
}

#[derive(Clone, Debug)]
struct VictimSet {
    worker: WorkerKey,
    victims: Vec<RunningAttempt>,
    cost: f64,
}

impl EvictionPolicy {
    /// A policy whose samples follow from `seed`, with an empty budget.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            budget: 0.0,
            refilled_at: TimePoint::EPOCH,
            rooms: Vec::new(),
            pressures: Vec::new(),
        }
    }

    /// Chooses attempts whose eviction makes room for a task on one worker.
    pub fn make_room(
        &mut self,
        request: &PreemptionRequest,
        pool: &WorkerPool,
        ledger: &ShareLedger,
        now: TimePoint,
    ) -> Vec<PreemptionStep> {
        self.refill(pool, now);
        self.rooms.retain(|room| room.until > now);
        let known = self
            .rooms
            .binary_search_by_key(&request.task, |room| room.task);
        let Err(position) = known else {
            return Vec::new();
        };
        let Some(set) = self.cheapest_set(request, pool, ledger, now) else {
            return Vec::new();
        };
        if set.victims.len() as f64 > self.budget {
            return Vec::new();
        }
        self.budget -= set.victims.len() as f64;
        self.rooms.insert(
            position,
            RoomWait {
                task: request.task,
                until: now + ROOM_WAIT,
            },
        );
        set.victims
            .iter()
            .map(|victim| evict(set.worker, victim))
            .collect()
    }

    /// A worker reported the speed of an attempt; relieves urgent ones of their co-residents.
    pub fn on_speed(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        speed: f64,
        pool: &WorkerPool,
        interference: &InterferenceTable,
        now: TimePoint,
    ) -> PreemptionStep {
        let slot = pool.slot(worker);
        let Some(pressed) = slot.attempt(task) else {
            return PreemptionStep::NoAction;
        };
        if pressed.urgency != TaskUrgency::Urgent {
            return PreemptionStep::NoAction;
        }
        let pressure = self.count_report(worker, speed);
        if pressure.slow_reports >= REPORTS_MIN {
            self.refill(pool, now);
            self.relieve(worker, pressed, slot, interference, now)
        } else if pressure.fast_reports >= REPORTS_MIN {
            restore(worker, slot)
        } else {
            PreemptionStep::NoAction
        }
    }

    fn count_report(&mut self, worker: WorkerKey, speed: f64) -> WorkerPressure {
        if self.pressures.len() <= worker.index() {
            self.pressures
                .resize(worker.index() + 1, WorkerPressure::default());
        }
        let pressure = &mut self.pressures[worker.index()];
        if speed < PRESSED_SPEED {
            pressure.slow_reports += 1;
            pressure.fast_reports = 0;
        } else if speed > RELIEVED_SPEED {
            pressure.fast_reports += 1;
            pressure.slow_reports = 0;
        } else {
            *pressure = WorkerPressure::default();
        }
        *pressure
    }

    /// Throttles the co-resident that harms most by a further step; evicts it after the last.
    fn relieve(
        &mut self,
        worker: WorkerKey,
        pressed: &RunningAttempt,
        slot: &WorkerSlot,
        interference: &InterferenceTable,
        now: TimePoint,
    ) -> PreemptionStep {
        let Some(harmful) = most_harmful(pressed.kind, slot, interference) else {
            return PreemptionStep::NoAction;
        };
        self.pressures[worker.index()] = WorkerPressure::default();
        let next_step = THROTTLE_STEPS
            .iter()
            .find(|step| **step < harmful.cpu_permille);
        if let Some(cpu_permille) = next_step {
            return PreemptionStep::Throttle {
                worker,
                task: harmful.task,
                cpu_permille: *cpu_permille,
            };
        }
        if self.budget < 1.0 || !is_movable(harmful, pressed.urgency, now) {
            return PreemptionStep::NoAction;
        }
        self.budget -= 1.0;
        evict(worker, harmful)
    }

    fn cheapest_set(
        &mut self,
        request: &PreemptionRequest,
        pool: &WorkerPool,
        ledger: &ShareLedger,
        now: TimePoint,
    ) -> Option<VictimSet> {
        let start = self.rng.next_u32() as usize % pool.len().max(1);
        (0..pool.len().min(LOOKS_MAX))
            .map(|step| WorkerKey::from_index((start + step) % pool.len()))
            .filter_map(|worker| victim_set(request, worker, pool.slot(worker), ledger, now))
            .min_by(|left, right| left.cost.total_cmp(&right.cost))
    }

    fn refill(&mut self, pool: &WorkerPool, now: TimePoint) {
        let hundreds = pool.len() as f64 / 100.0;
        let minutes = now.since(self.refilled_at).as_secs_f64() / 60.0;
        let refilled = self.budget + minutes * EVICTIONS_PER_MINUTE * hundreds;
        self.budget = refilled.min((EVICTIONS_BURST * hundreds).max(1.0));
        self.refilled_at = now;
    }
}

/// The cheapest attempts of a worker whose end makes room, if there are any.
fn victim_set(
    request: &PreemptionRequest,
    worker: WorkerKey,
    slot: &WorkerSlot,
    ledger: &ShareLedger,
    now: TimePoint,
) -> Option<VictimSet> {
    if slot.status() != WorkerStatus::Open || !request.requested.fits(slot.profile().capacity) {
        return None;
    }
    let mut movable: Vec<&RunningAttempt> = slot
        .attempts()
        .iter()
        .filter(|attempt| is_movable(attempt, request.urgency, now))
        .filter(|attempt| ledger.can_lose(attempt.kind, attempt.granted.cpu_millis))
        .collect();
    movable.sort_by(|left, right| unit_cost(left, now).total_cmp(&unit_cost(right, now)));
    let mut free = slot.free();
    let mut set = VictimSet {
        worker,
        victims: Vec::new(),
        cost: 0.0,
    };
    for attempt in movable {
        if request.requested.fits(free) {
            break;
        }
        free = free + attempt.reserved;
        set.cost += move_cost(attempt, now);
        set.victims.push(*attempt);
    }
    drop_needless(&mut set, free, request.requested, now);
    request.requested.fits(free).then_some(set)
}

/// Takes out victims without which the room still suffices, the dearest first.
fn drop_needless(
    set: &mut VictimSet,
    mut free: ResourceVector,
    requested: ResourceVector,
    now: TimePoint,
) {
    set.victims
        .sort_by(|left, right| move_cost(right, now).total_cmp(&move_cost(left, now)));
    let mut cost = set.cost;
    set.victims.retain(|victim| {
        let without = free.saturating_sub(victim.reserved);
        let needless = requested.fits(without);
        if needless {
            free = without;
            cost -= move_cost(victim, now);
        }
        !needless
    });
    set.cost = cost;
}

fn is_movable(attempt: &RunningAttempt, urgency: TaskUrgency, now: TimePoint) -> bool {
    attempt.urgency < urgency
        && attempt.evictions < EVICTIONS_MAX
        && attempt.started_at + RESIDENCE_MIN <= now
}

/// Work that a move loses, in seconds of processor time; dearer with each earlier eviction.
fn move_cost(attempt: &RunningAttempt, now: TimePoint) -> f64 {
    let lost_secs = now.since(attempt.checkpointed_at).as_secs_f64() + RESTART_SECS;
    let cores = attempt.granted.cpu_millis as f64 / 1_000.0;
    let again = f64::from(attempt.evictions + 1);
    let urgent = match attempt.urgency {
        TaskUrgency::Batch => 1.0,
        TaskUrgency::Normal => 4.0,
        TaskUrgency::Urgent => 16.0,
    };
    lost_secs * cores * again * urgent
}

/// The cost of a move for each unit of what it frees.
fn unit_cost(attempt: &RunningAttempt, now: TimePoint) -> f64 {
    move_cost(attempt, now) / attempt.reserved.cpu_millis.max(1) as f64
}

fn most_harmful<'a>(
    kind: KindKey,
    slot: &'a WorkerSlot,
    interference: &InterferenceTable,
) -> Option<&'a RunningAttempt> {
    let band = LoadBand::of(slot.cpu_load());
    let harm = |attempt: &RunningAttempt| {
        interference.coefficient(kind, attempt.kind, band)
            * (attempt.granted.cpu_millis * u64::from(attempt.cpu_permille)) as f64
    };
    slot.attempts()
        .iter()
        .filter(|attempt| attempt.urgency < TaskUrgency::Urgent)
        .max_by(|left, right| harm(left).total_cmp(&harm(right)))
}

fn restore(worker: WorkerKey, slot: &WorkerSlot) -> PreemptionStep {
    slot.attempts()
        .iter()
        .find(|attempt| attempt.cpu_permille < FULL_SPEED_PERMILLE)
        .map_or(PreemptionStep::NoAction, |attempt| {
            PreemptionStep::Throttle {
                worker,
                task: attempt.task,
                cpu_permille: FULL_SPEED_PERMILLE,
            }
        })
}

const fn evict(worker: WorkerKey, victim: &RunningAttempt) -> PreemptionStep {
    PreemptionStep::Evict {
        worker,
        task: victim.task,
        attempt: victim.attempt,
    }
}
