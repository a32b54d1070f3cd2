//! Preemption: throttles or evicts running attempts in favour of urgent ones.
//!
//! Attempts that slow an urgent co-resident are throttled first and evicted only after the last
//! step. Room for a pending urgent task is made by evicting the attempts whose restart costs least.

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
use crate::worker_pool::PoolWorker;
use crate::worker_pool::RunningAttempt;
use crate::worker_pool::WorkerPool;
use crate::worker_pool::WorkerStatus;

/// Evictions added to the budget in a minute for each hundred workers.
const EVICTIONS_PER_MINUTE: f64 = 60.0;
/// Most evictions that the budget saves up for each hundred workers.
const EVICTIONS_BURST: f64 = 60.0;
/// Most workers inspected for one task that needs room.
const INSPECTED_WORKERS_MAX: usize = 64;
/// How long an attempt runs before it may be evicted.
const EVICTABLE_AFTER: TimeSpan = TimeSpan::from_secs(20);
/// Evictions after which a task is not evicted again.
const EVICTIONS_MAX: u32 = 3;
/// Work lost by any restart, in seconds of the attempt's processor time.
const RESTART_COST_SECS: f64 = 15.0;
/// How long no further room is made for a task after attempts were evicted for it.
const PREEMPTION_WAIT: TimeSpan = TimeSpan::from_secs(10);
/// Speed below which a report of an urgent attempt counts as slow.
const SLOW_SPEED: f64 = 0.6;
/// Speed above which a report of an urgent attempt counts as recovered. The gap to `SLOW_SPEED` is
/// hysteresis.
const RECOVERED_SPEED: f64 = 0.85;
/// Consecutive slow or recovered reports of a worker before a step is taken.
const REPORTS_MIN: u32 = 2;
/// Thousandths of the granted processor time that an attempt has after each step of throttling.
const THROTTLE_STEPS_PERMILLE: [u32; 2] = [500, 200];

/// A change to a running attempt in favour of an urgent one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PreemptionStep {
    /// Change nothing.
    NoAction,
    /// Limit its processor time, or lift the limit.
    Throttle {
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The task that the attempt belongs to.
        task: TaskKey,
        /// Thousandths of the granted processor time; [`FULL_SPEED_PERMILLE`] lifts the limit.
        cpu_permille: u32,
    },
    /// Take a checkpoint and stop it.
    Evict {
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The task that the attempt belongs to.
        task: TaskKey,
        /// The number of the attempt to stop.
        attempt: u64,
    },
}

/// A pending task for which other attempts may be evicted.
#[derive(Clone, Copy, Debug)]
pub struct PreemptionRequest {
    /// The task that no worker has room for.
    pub task: TaskKey,
    /// Only attempts of lower urgency are evicted.
    pub urgency: TaskUrgency,
    /// The resources to make free on one worker.
    pub requested: ResourceVector,
}

/// Chooses which attempts to throttle and which to evict.
#[derive(Clone, Debug)]
pub struct EvictionPolicy {
    rng: ChaCha8Rng,
    /// Evictions allowed now: a token bucket.
    budget: f64,
    refilled_at: TimePoint,
    /// Tasks for which attempts are being evicted; sorted by task.
    pending_preemptions: Vec<PendingPreemption>,
    /// By the worker's key.
    speed_streaks: Vec<SpeedStreak>,
}

#[derive(Clone, Copy, Debug)]
struct PendingPreemption {
    task: TaskKey,
    until: TimePoint,
}

/// Consecutive reports of a worker's urgent attempts on one side of the thresholds.
#[derive(Clone, Copy, Debug, Default)]
struct SpeedStreak {
    slow_reports: u32,
    fast_reports: u32,
}

/// Attempts of one worker whose eviction makes enough room.
#[derive(Clone, Debug)]
struct VictimSet {
    worker: WorkerKey,
    victims: Vec<RunningAttempt>,
    cost: f64,
}

impl EvictionPolicy {
    /// A policy whose eviction budget refills from `TimePoint::EPOCH` on; its random samples derive
    /// from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            budget: 0.0,
            refilled_at: TimePoint::EPOCH,
            pending_preemptions: Vec::new(),
            speed_streaks: Vec::new(),
        }
    }

    /// Chooses attempts whose eviction makes room for a task on one worker.
    ///
    /// Returns no steps while earlier evictions for the task are under way, when no worker can make
    /// enough room, or when the eviction budget is used up.
    pub fn make_room(
        &mut self,
        request: &PreemptionRequest,
        pool: &WorkerPool,
        ledger: &ShareLedger,
        now: TimePoint,
    ) -> Vec<PreemptionStep> {
        self.refill(pool, now);
        self.pending_preemptions
            .retain(|pending| pending.until > now);
        let existing = self
            .pending_preemptions
            .binary_search_by_key(&request.task, |pending| pending.task);
        let Err(position) = existing else {
            return Vec::new();
        };
        let Some(set) = self.cheapest_set(request, pool, ledger, now) else {
            return Vec::new();
        };
        if set.victims.len() as f64 > self.budget {
            return Vec::new();
        }
        self.budget -= set.victims.len() as f64;
        self.pending_preemptions.insert(
            position,
            PendingPreemption {
                task: request.task,
                until: now + PREEMPTION_WAIT,
            },
        );
        set.victims
            .iter()
            .map(|victim| evict(set.worker, victim))
            .collect()
    }

    /// Counts a reported speed of an attempt, from 0 to 1. Reports of attempts that are not urgent
    /// are ignored.
    ///
    /// After several slow reports the co-resident that interferes most is throttled or evicted;
    /// from the second consecutive recovered report on, each one lifts the limit of one throttled
    /// co-resident.
    pub fn on_speed(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        speed: f64,
        pool: &WorkerPool,
        interference: &InterferenceTable,
        now: TimePoint,
    ) -> PreemptionStep {
        let entry = pool.worker(worker);
        let Some(attempt) = entry.attempt(task) else {
            return PreemptionStep::NoAction;
        };
        if attempt.urgency != TaskUrgency::Urgent {
            return PreemptionStep::NoAction;
        }
        let streak = self.count_report(worker, speed);
        if streak.slow_reports >= REPORTS_MIN {
            self.refill(pool, now);
            self.throttle_or_evict(worker, attempt, entry, interference, now)
        } else if streak.fast_reports >= REPORTS_MIN {
            lift_throttle(worker, entry)
        } else {
            PreemptionStep::NoAction
        }
    }

    fn count_report(&mut self, worker: WorkerKey, speed: f64) -> SpeedStreak {
        if self.speed_streaks.len() <= worker.index() {
            self.speed_streaks
                .resize(worker.index() + 1, SpeedStreak::default());
        }
        let streak = &mut self.speed_streaks[worker.index()];
        if speed < SLOW_SPEED {
            streak.slow_reports += 1;
            streak.fast_reports = 0;
        } else if speed > RECOVERED_SPEED {
            streak.fast_reports += 1;
            streak.slow_reports = 0;
        } else {
            *streak = SpeedStreak::default();
        }
        *streak
    }

    /// Throttles the co-resident that interferes most by one more step; evicts it after the last.
    fn throttle_or_evict(
        &mut self,
        worker: WorkerKey,
        slowed: &RunningAttempt,
        entry: &PoolWorker,
        interference: &InterferenceTable,
        now: TimePoint,
    ) -> PreemptionStep {
        let Some(interferer) = most_interfering(slowed.kind, entry, interference) else {
            return PreemptionStep::NoAction;
        };
        self.speed_streaks[worker.index()] = SpeedStreak::default();
        let next_step = THROTTLE_STEPS_PERMILLE
            .iter()
            .find(|step| **step < interferer.cpu_permille);
        if let Some(cpu_permille) = next_step {
            return PreemptionStep::Throttle {
                worker,
                task: interferer.task,
                cpu_permille: *cpu_permille,
            };
        }
        if self.budget < 1.0 || !is_evictable(interferer, slowed.urgency, now) {
            return PreemptionStep::NoAction;
        }
        self.budget -= 1.0;
        evict(worker, interferer)
    }

    fn cheapest_set(
        &mut self,
        request: &PreemptionRequest,
        pool: &WorkerPool,
        ledger: &ShareLedger,
        now: TimePoint,
    ) -> Option<VictimSet> {
        let start = self.rng.next_u32() as usize % pool.len().max(1);
        (0..pool.len().min(INSPECTED_WORKERS_MAX))
            .map(|step| WorkerKey::from_index((start + step) % pool.len()))
            .filter_map(|worker| victim_set(request, worker, pool.worker(worker), ledger, now))
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

/// The attempts to evict from a worker, cheapest first until the request fits; `None` if it cannot
/// fit.
fn victim_set(
    request: &PreemptionRequest,
    worker: WorkerKey,
    entry: &PoolWorker,
    ledger: &ShareLedger,
    now: TimePoint,
) -> Option<VictimSet> {
    if entry.status() != WorkerStatus::Open || !request.requested.fits(entry.profile().capacity) {
        return None;
    }
    let mut evictable: Vec<&RunningAttempt> = entry
        .attempts()
        .iter()
        .filter(|attempt| is_evictable(attempt, request.urgency, now))
        .filter(|attempt| ledger.keeps_floor_without(attempt.kind, attempt.granted.cpu_millis))
        .collect();
    evictable.sort_by(|left, right| {
        cost_per_cpu_milli(left, now).total_cmp(&cost_per_cpu_milli(right, now))
    });
    let mut free = entry.free();
    let mut set = VictimSet {
        worker,
        victims: Vec::new(),
        cost: 0.0,
    };
    for attempt in evictable {
        if request.requested.fits(free) {
            break;
        }
        free = free + attempt.reserved;
        set.cost += eviction_cost(attempt, now);
        set.victims.push(*attempt);
    }
    drop_unneeded(&mut set, free, request.requested, now);
    request.requested.fits(free).then_some(set)
}

/// Removes victims without which there is still enough room, the most expensive first.
fn drop_unneeded(
    set: &mut VictimSet,
    mut free: ResourceVector,
    requested: ResourceVector,
    now: TimePoint,
) {
    set.victims
        .sort_by(|left, right| eviction_cost(right, now).total_cmp(&eviction_cost(left, now)));
    let mut cost = set.cost;
    set.victims.retain(|victim| {
        let without = free.saturating_sub(victim.reserved);
        let unneeded = requested.fits(without);
        if unneeded {
            free = without;
            cost -= eviction_cost(victim, now);
        }
        !unneeded
    });
    set.cost = cost;
}

fn is_evictable(attempt: &RunningAttempt, urgency: TaskUrgency, now: TimePoint) -> bool {
    attempt.urgency < urgency
        && attempt.evictions < EVICTIONS_MAX
        && attempt.started_at + EVICTABLE_AFTER <= now
}

/// Work that an eviction loses, in weighted seconds of processor time. The cost rises with each
/// earlier eviction of the task and with its urgency.
fn eviction_cost(attempt: &RunningAttempt, now: TimePoint) -> f64 {
    let lost_secs = now.since(attempt.checkpointed_at).as_secs_f64() + RESTART_COST_SECS;
    let cores = attempt.granted.cpu_millis as f64 / 1_000.0;
    let eviction_factor = f64::from(attempt.evictions + 1);
    let urgency_factor = match attempt.urgency {
        TaskUrgency::Batch => 1.0,
        TaskUrgency::Normal => 4.0,
        TaskUrgency::Urgent => 16.0,
    };
    lost_secs * cores * eviction_factor * urgency_factor
}

/// The cost of an eviction for each thousandth of a core that it frees.
fn cost_per_cpu_milli(attempt: &RunningAttempt, now: TimePoint) -> f64 {
    eviction_cost(attempt, now) / attempt.reserved.cpu_millis.max(1) as f64
}

fn most_interfering<'a>(
    kind: KindKey,
    entry: &'a PoolWorker,
    interference: &InterferenceTable,
) -> Option<&'a RunningAttempt> {
    let band = LoadBand::of(entry.cpu_load());
    let impact = |attempt: &RunningAttempt| {
        let cpu_permille = u64::from(attempt.cpu_permille);
        let cpu = attempt.granted.cpu_millis.saturating_mul(cpu_permille);
        interference.coefficient(kind, attempt.kind, band) * cpu as f64
    };
    entry
        .attempts()
        .iter()
        .filter(|attempt| attempt.urgency < TaskUrgency::Urgent)
        .max_by(|left, right| impact(left).total_cmp(&impact(right)))
}

fn lift_throttle(worker: WorkerKey, entry: &PoolWorker) -> PreemptionStep {
    entry
        .attempts()
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
