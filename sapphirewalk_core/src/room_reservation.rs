//! Which waiting tasks have a worker on which room is reserved for them, and which steps wait for
//! what.
//!
//! It answers loads in which a pool is full of small tasks: each gap would go to the next small task
//! before it is large enough for a large one. A reservation keeps the gap of one worker together;
//! other tasks are placed there only if they end before it is needed or leave it intact.

use crate::job_registry::JobSlot;
use crate::job_registry::TaskSlot;
use crate::resource::ResourceVector;
use crate::room_forecast::RoomForecast;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::PoolKey;
use crate::worker_registry::WorkerSlot;

/// Most reservations for work whose rank is in time.
const MAX_IN_TIME: usize = 28;
/// Most reservations for late and overdue work: one in eight of all 32.
const MAX_LATE: usize = 4;
/// How far ahead the forecast of a reservation may be.
pub const HORIZON: TimeSpan = TimeSpan::from_millis(4_000);
/// Time for which a step must have waited to get a reservation.
pub const MIN_WAIT: TimeSpan = TimeSpan::from_millis(200);
/// Time by which a forecast may be exceeded before its reservation ends.
const GRACE: TimeSpan = TimeSpan::from_millis(1_000);
/// Minimum interval between rounds that make reservations, since each looks at all workers.
const RESERVE_INTERVAL: TimeSpan = TimeSpan::from_millis(50);
/// Most logged changes of a reason for waiting in one [`LOG_INTERVAL`].
const MAX_WAIT_LOGS: usize = 20;
const LOG_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

/// A step of an occurrence.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// Job of the step.
    pub job: JobSlot,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u16,
}

/// Whether a reservation belongs to work that is in time by its rank.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReservationShare {
    /// In time, or partly placed in time.
    InTime,
    /// Late or overdue.
    Late,
}

/// Room on one worker that is kept for one task of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomReservation {
    /// The step. Its tasks are interchangeable.
    pub step: StepKey,
    /// The task for which it was made.
    pub task: TaskSlot,
    /// Worker whose room is reserved.
    pub worker: WorkerSlot,
    /// Resources reserved.
    pub demand: ResourceVector,
    /// Priority of the step's queue; steps of lower-numbered ones may take the room.
    pub priority: u32,
    /// Share of the reservations that it counts towards.
    pub share: ReservationShare,
    /// Capacity of the worker when it was made.
    pub capacity: ResourceVector,
    /// When it was made.
    pub made_at: TimePoint,
    /// When the worker is expected to have the room.
    pub forecast: RoomForecast,
}

/// Why a reservation ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReservationEnd {
    /// A task of the step was placed on the worker.
    Placed,
    /// The task was placed elsewhere.
    GapElsewhere,
    /// The job has ended or the step no longer waits.
    NotWaiting,
    /// The worker gets no new tasks: lost, draining, evacuated, quarantined or on trial.
    WorkerUnusable,
    /// The worker's capacity has shrunk.
    WorkerShrunk,
    /// The forecast was exceeded by the grace period.
    ForecastExceeded,
}

/// Why a task waits for a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// No worker has a gap of the demand's size.
    NoGap,
    /// Gaps are reserved for other steps.
    ReservedForOthers,
    /// Steps ahead by rank took the gaps.
    Rank,
    /// No worker is free for the trial of a task that may crash it.
    Trial,
    /// Only workers of evacuated failure domains have room.
    Evacuated,
    /// The leader is short of processor time, and the work can wait.
    LeaderBusy,
}

/// A step that has tasks without a worker.
#[derive(Clone, Copy, Debug)]
pub struct StepWait {
    /// Its job, occurrence and number.
    pub step: StepKey,
    /// Since when a task of it has found no room in any round.
    pub since: TimePoint,
    /// Number of tasks without room.
    pub tasks: usize,
    /// Why they wait.
    pub reason: WaitReason,
    /// A task with a smaller demand got room meanwhile.
    pub passed_over: bool,
    pool: PoolKey,
    demand: ResourceVector,
    logged: Option<WaitReason>,
    round: u64,
}

/// How a task may use a worker with reservations.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackfillVerdict {
    /// No reservation is affected, or the step has one itself there.
    Unaffected,
    /// The task is expected to end before the room is needed.
    EndsBefore,
    /// The task leaves enough room for the reservations.
    LeavesRoom,
    /// The task would take reserved room.
    Refused,
}

/// A task that is to be placed beside reservations.
#[derive(Clone, Copy, Debug)]
pub struct BackfillRequest {
    /// Step of the task.
    pub step: StepKey,
    /// Priority of the step's queue.
    pub priority: u32,
    /// Resources that the task reserves.
    pub demand: ResourceVector,
    /// When the task is expected to have ended.
    pub ends_by: TimePoint,
}

/// All reservations and waiting steps of a coordinator.
#[derive(Clone, Debug, Default)]
pub struct ReservationBook {
    /// Sorted by worker; at most 32.
    entries: Vec<RoomReservation>,
    /// Sorted by step.
    waits: Vec<StepWait>,
    round: u64,
    disabled: bool,
    next_reserve: TimePoint,
    log_from: TimePoint,
    logs: usize,
}

impl ReservationEnd {
    /// Name of the end in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Placed => "placed",
            Self::GapElsewhere => "gap_elsewhere",
            Self::NotWaiting => "not_waiting",
            Self::WorkerUnusable => "worker_unusable",
            Self::WorkerShrunk => "worker_shrunk",
            Self::ForecastExceeded => "forecast_exceeded",
        }
    }
}

impl WaitReason {
    /// All reasons, in the order of [`ReservationBook::waiting_tasks`].
    pub const ALL: [Self; 6] = [
        Self::NoGap,
        Self::ReservedForOthers,
        Self::Rank,
        Self::Trial,
        Self::Evacuated,
        Self::LeaderBusy,
    ];

    /// Name of the reason in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NoGap => "no_gap",
            Self::ReservedForOthers => "reserved_for_others",
            Self::Rank => "rank",
            Self::Trial => "trial",
            Self::Evacuated => "evacuated",
            Self::LeaderBusy => "leader_busy",
        }
    }
}

impl RoomReservation {
    /// Why the reservation has ended by itself; `None` while it holds.
    pub fn expired(&self, capacity: ResourceVector, now: TimePoint) -> Option<ReservationEnd> {
        if !self.capacity.fits(capacity) {
            Some(ReservationEnd::WorkerShrunk)
        } else if now > self.forecast.latest + GRACE {
            Some(ReservationEnd::ForecastExceeded)
        } else {
            None
        }
    }

    /// Whether the reservation keeps others from the room that a task of `step` wants.
    fn binds(&self, step: StepKey, priority: u32) -> bool {
        self.step != step && self.priority <= priority
    }
}

impl ReservationBook {
    /// All reservations, sorted by worker.
    pub fn entries(&self) -> &[RoomReservation] {
        &self.entries
    }

    /// The reservations on a worker.
    fn on_worker(&self, worker: WorkerSlot) -> &[RoomReservation] {
        let from = self.entries.partition_point(|entry| entry.worker < worker);
        let to = self.entries[from..].partition_point(|entry| entry.worker == worker);
        &self.entries[from..from + to]
    }

    /// Whether a step has a reservation.
    pub fn has_step(&self, step: StepKey) -> bool {
        self.entries.iter().any(|entry| entry.step == step)
    }

    /// Number of reservations of a step.
    pub fn step_count(&self, step: StepKey) -> usize {
        let entries = self.entries.iter();
        entries.filter(|entry| entry.step == step).count()
    }

    /// Resources that all reservations on a worker take.
    pub fn reserved(&self, worker: WorkerSlot) -> ResourceVector {
        let entries = self.on_worker(worker).iter();
        entries.fold(ResourceVector::ZERO, |sum, entry| sum + entry.demand)
    }

    /// Resources on a worker that are reserved for other steps that are at least as urgent.
    pub fn reserved_from(
        &self,
        worker: WorkerSlot,
        step: StepKey,
        priority: u32,
    ) -> ResourceVector {
        let entries = self.on_worker(worker).iter();
        entries
            .filter(|entry| entry.binds(step, priority))
            .fold(ResourceVector::ZERO, |sum, entry| sum + entry.demand)
    }

    /// Whether a task may be placed on a worker beside the reservations there.
    pub fn check(&self, worker: WorkerSlot, request: &BackfillRequest) -> BackfillVerdict {
        let entries = self.on_worker(worker);
        if entries.iter().any(|entry| entry.step == request.step) {
            return BackfillVerdict::Unaffected;
        }
        let mut verdict = BackfillVerdict::Unaffected;
        for entry in entries {
            if !entry.binds(request.step, request.priority) {
                continue;
            }
            if request.ends_by <= entry.forecast.expected {
                verdict = BackfillVerdict::EndsBefore;
            } else if request.demand.fits(entry.forecast.spare) {
                verdict = BackfillVerdict::LeavesRoom;
            } else {
                return BackfillVerdict::Refused;
            }
        }
        verdict
    }

    /// Records that a task was placed on a worker. Returns the reservation of its step there, which
    /// ends; otherwise the room that the task takes is no longer spare.
    pub fn record_placed(
        &mut self,
        worker: WorkerSlot,
        request: &BackfillRequest,
    ) -> Option<RoomReservation> {
        let place = self
            .entries
            .iter()
            .position(|entry| entry.worker == worker && entry.step == request.step);
        if let Some(place) = place {
            return Some(self.entries.remove(place));
        }
        for entry in self.entries.iter_mut().filter(|it| it.worker == worker) {
            if request.ends_by > entry.forecast.expected {
                let spare = entry.forecast.spare;
                entry.forecast.spare = spare.saturating_sub(request.demand);
            }
        }
        None
    }

    /// Whether a round may make reservations now: some step has waited long enough, and the last
    /// such round is long enough ago.
    pub fn is_due(&self, now: TimePoint) -> bool {
        !self.disabled
            && now >= self.next_reserve
            && self
                .waits
                .iter()
                .any(|wait| wait.passed_over && now.since(wait.since) >= MIN_WAIT)
    }

    /// Makes no reservations from now on.
    pub const fn disable(&mut self) {
        self.disabled = true;
    }

    /// Begins a round that makes reservations.
    pub fn begin_reserving(&mut self, now: TimePoint) {
        self.next_reserve = now + RESERVE_INTERVAL;
    }

    /// Number of reservations that may still be made for a share.
    pub fn vacancies(&self, share: ReservationShare) -> usize {
        let entries = self.entries.iter();
        let count = entries.filter(|entry| entry.share == share).count();
        let most = match share {
            ReservationShare::InTime => MAX_IN_TIME,
            ReservationShare::Late => MAX_LATE,
        };
        most.saturating_sub(count)
    }

    /// Adds a reservation whose forecast counts all others on the worker. Does nothing without a
    /// vacancy.
    pub fn reserve(&mut self, reservation: RoomReservation) -> bool {
        if self.vacancies(reservation.share) == 0 {
            return false;
        }
        let worker = reservation.worker;
        for entry in self.entries.iter_mut().filter(|it| it.worker == worker) {
            let spare = entry.forecast.spare;
            entry.forecast.spare = spare.saturating_sub(reservation.demand);
        }
        let place = self.entries.partition_point(|entry| entry.worker <= worker);
        self.entries.insert(place, reservation);
        true
    }

    /// Removes a reservation; its room is spare for the others on the worker.
    pub fn remove(&mut self, reservation: &RoomReservation) {
        let same = |entry: &RoomReservation| {
            (entry.worker, entry.task) == (reservation.worker, reservation.task)
        };
        self.entries.retain(|entry| !same(entry));
        let worker = reservation.worker;
        for entry in self.entries.iter_mut().filter(|it| it.worker == worker) {
            entry.forecast.spare = entry.forecast.spare + reservation.demand;
        }
    }

    /// The reservation of a step with the latest forecast.
    pub fn latest_of(&self, step: StepKey) -> Option<RoomReservation> {
        let entries = self.entries.iter().filter(|entry| entry.step == step);
        entries.max_by_key(|entry| entry.forecast.latest).copied()
    }

    /// Begins a round of placement.
    pub fn begin_round(&mut self) {
        self.round += 1;
    }

    /// Records that tasks of a step have found no room in this round.
    pub fn record_wait(
        &mut self,
        step: StepKey,
        (pool, demand): (PoolKey, ResourceVector),
        (tasks, reason): (usize, WaitReason),
        now: TimePoint,
    ) {
        let round = self.round;
        match self.waits.binary_search_by_key(&step, |wait| wait.step) {
            Ok(place) => {
                let wait = &mut self.waits[place];
                wait.tasks = tasks;
                wait.reason = reason;
                wait.round = round;
            }
            Err(place) => self.waits.insert(
                place,
                StepWait {
                    step,
                    since: now,
                    tasks,
                    reason,
                    passed_over: false,
                    pool,
                    demand,
                    logged: None,
                    round,
                },
            ),
        }
    }

    /// Ends a round: forgets steps that no longer wait, unless the round was `partial`, and marks
    /// those for which a smaller demand was `placed`. Returns the waits whose reason is to be logged.
    pub fn end_round(
        &mut self,
        placed: &[(PoolKey, ResourceVector)],
        partial: bool,
        now: TimePoint,
    ) -> Vec<StepWait> {
        let round = self.round;
        self.waits.retain(|wait| partial || wait.round == round);
        if now.since(self.log_from) >= LOG_INTERVAL {
            self.log_from = now;
            self.logs = 0;
        }
        let mut changed = Vec::new();
        for wait in &mut self.waits {
            let mut placed = placed.iter();
            wait.passed_over |=
                placed.any(|(pool, demand)| *pool == wait.pool && !wait.demand.fits(*demand));
            let is_new = wait.logged != Some(wait.reason) && now.since(wait.since) >= MIN_WAIT;
            if is_new && self.logs < MAX_WAIT_LOGS {
                self.logs += 1;
                wait.logged = Some(wait.reason);
                changed.push(*wait);
            }
        }
        changed
    }

    /// The wait of a step, if it has found no room in the last round.
    pub fn wait(&self, step: StepKey) -> Option<&StepWait> {
        let found = self.waits.binary_search_by_key(&step, |wait| wait.step);
        found.ok().map(|place| &self.waits[place])
    }

    /// Number of tasks that found no room in the last round, by [`WaitReason::ALL`].
    pub fn waiting_tasks(&self) -> [usize; WaitReason::ALL.len()] {
        WaitReason::ALL.map(|reason| {
            let waits = self.waits.iter().filter(|wait| wait.reason == reason);
            waits.map(|wait| wait.tasks).sum()
        })
    }
}
