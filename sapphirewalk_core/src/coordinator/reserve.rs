//! Reservations of room for waiting steps: making them, ending them, and keeping other tasks off
//! the room.
//!
//! It handles wide and large steps on a pool that small tasks fill. A step gets reservations only
//! once it has waited and tasks with smaller demands were placed meanwhile. Where all demands are
//! alike, or there is room for everything, the rank alone decides.

use crate::coordinator::JobCoordinator;
use crate::coordinator::place::PlaceCandidate;
use crate::coordinator::place::PlaceRequest;
use crate::job_order::ObjectiveOutlook;
use crate::job_order::StepRank;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::room_forecast;
use crate::room_forecast::RunFacts;
use crate::room_forecast::RunStage;
use crate::room_reservation;
use crate::room_reservation::BackfillRequest;
use crate::room_reservation::BackfillVerdict;
use crate::room_reservation::ReservationEnd;
use crate::room_reservation::ReservationShare;
use crate::room_reservation::RoomReservation;
use crate::room_reservation::StepKey;
use crate::room_reservation::StepWait;
use crate::room_reservation::WaitReason;
use crate::run_progress;
use crate::time::TimePoint;
use crate::worker_registry;
use crate::worker_registry::WorkerSlot;

/// Most steps for which one round makes reservations. Each looks at all workers.
const ROUND_STEPS: usize = 4;
/// Most tasks of a step whose speed is taken for that of the others.
const SPEED_TASKS: usize = 32;

/// Usual speed of steps in whole runs per second, as far as one round has needed it; sorted.
type StepSpeeds = Vec<(StepKey, Option<f64>)>;

/// A step that may get reservations.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReserveCandidate {
    pub(super) share: ReservationShare,
    /// Steps of lower-numbered priorities may take the room.
    pub(super) priority: u32,
    pub(super) wait: StepWait,
}

impl JobCoordinator {
    /// Number of tasks that wait for a worker, by [`WaitReason::ALL`], as of the last placement.
    pub fn waiting_tasks(&self) -> [(WaitReason, usize); WaitReason::ALL.len()] {
        let counts = self.reservations.waiting_tasks();
        std::array::from_fn(|index| (WaitReason::ALL[index], counts[index]))
    }

    /// Makes no reservations from now on but those for restarts.
    pub fn disable_reservations(&mut self) {
        self.reservations.disable();
    }

    /// Number of reservations at present.
    pub fn reservation_count(&self) -> usize {
        self.reservations.entries().len()
    }

    /// Ends the reservations whose worker is unusable or has shrunk, or whose forecast was
    /// exceeded.
    pub(super) fn review_reservations(&mut self, now: TimePoint) {
        if self.reservations.entries().is_empty() {
            return;
        }
        let entries = self.reservations.entries().iter();
        let ended: Vec<(RoomReservation, ReservationEnd)> = entries
            .filter_map(|entry| Some((*entry, self.reservation_end(entry, now)?)))
            .collect();
        for (entry, end) in ended {
            self.end_reservation(&entry, end, now);
        }
    }

    fn reservation_end(&self, entry: &RoomReservation, now: TimePoint) -> Option<ReservationEnd> {
        let worker = self.workers.get(entry.worker);
        if let Some(end) = entry.expired(worker.listing.capacity, now) {
            return Some(end);
        }
        let Some(job) = self.jobs.get(entry.step.job) else {
            return Some(ReservationEnd::NotWaiting);
        };
        let request = PlaceRequest::new(&job.spec, job, entry.step);
        let usable = self.is_eligible(entry.worker, &request, now);
        (!usable).then_some(ReservationEnd::WorkerUnusable)
    }

    /// Ends the reservations of steps that did not wait in this round.
    pub(super) fn end_unneeded_reservations(&mut self, now: TimePoint) {
        let entries = self.reservations.entries().iter();
        let unneeded: Vec<RoomReservation> = entries
            .filter(|entry| self.reservations.wait(entry.step).is_none())
            .copied()
            .collect();
        for entry in unneeded {
            self.end_reservation(&entry, ReservationEnd::NotWaiting, now);
        }
    }

    /// Ends reservations of a step until it has at most one for each of its `missing` tasks.
    pub(super) fn trim_reservations(&mut self, step: StepKey, missing: usize, now: TimePoint) {
        while self.reservations.step_count(step) > missing {
            let Some(entry) = self.reservations.latest_of(step) else {
                return;
            };
            self.end_reservation(&entry, ReservationEnd::GapElsewhere, now);
        }
    }

    fn end_reservation(&mut self, entry: &RoomReservation, end: ReservationEnd, now: TimePoint) {
        self.reservations.remove(entry);
        self.log_reservation_end(entry, end, now);
        self.place_due = true;
    }

    pub(super) fn log_reservation_end(
        &mut self,
        entry: &RoomReservation,
        end: ReservationEnd,
        now: TimePoint,
    ) {
        let job = self.jobs.get(entry.step.job);
        let name = job.map(|job| job.task_name(entry.task.occurrence, entry.task.task));
        let detail = format!(
            "task={} worker={} reason={} held={} forecast={}",
            name.map_or_else(String::new, |name| name.to_string()),
            self.workers.get(entry.worker).listing.id,
            end.as_str(),
            now.since(entry.made_at),
            entry.forecast.expected.since(entry.made_at)
        );
        self.log("reservation_ended", name.map(|name| name.job), detail);
    }

    /// What a task of a step would take beside reservations; `None` if none of the candidates has
    /// any.
    pub(super) fn backfill_request(
        &self,
        request: &PlaceRequest<'_>,
        priority: u32,
        candidates: &[PlaceCandidate],
        now: TimePoint,
    ) -> Option<BackfillRequest> {
        let entries = self.reservations.entries();
        let is_reserved = |candidate: &PlaceCandidate| {
            let found = entries.binary_search_by_key(&candidate.worker, |entry| entry.worker);
            found.is_ok()
        };
        if entries.is_empty() || !candidates.iter().any(is_reserved) {
            return None;
        }
        let step = request.step;
        let usual = self.step_speed(request.key);
        let ends_by = if step.service {
            TimePoint::from_micros(u64::MAX)
        } else {
            now + self.forecaster.latest_span(step.estimate, usual)
        };
        Some(BackfillRequest {
            step: request.key,
            priority,
            demand: worker_registry::reserved_demand(step),
            ends_by,
        })
    }

    /// Removes the candidates on which a task would take reserved room. Returns how many.
    pub(super) fn drop_reserved(
        &self,
        backfill: &BackfillRequest,
        candidates: &mut Vec<PlaceCandidate>,
    ) -> usize {
        let before = candidates.len();
        candidates.retain(|candidate| {
            self.reservations.check(candidate.worker, backfill) != BackfillVerdict::Refused
        });
        before - candidates.len()
    }

    /// Makes reservations for steps that have waited long enough, in order of their share, priority
    /// and wait. `ranks` contains the rank of each waiting step.
    pub(super) fn reserve_rooms(&mut self, ranks: &[(StepKey, StepRank)], now: TimePoint) {
        if !self.reservations.is_due(now) {
            return;
        }
        self.reservations.begin_reserving(now);
        let mut steps: Vec<ReserveCandidate> = ranks
            .iter()
            .filter_map(|(key, rank)| self.reserve_candidate(*key, rank, now))
            .collect();
        steps.sort_by_key(|step| {
            let late = step.share == ReservationShare::Late;
            (late, step.priority, step.wait.since)
        });
        let mut speeds = StepSpeeds::new();
        let mut rounds = 0;
        for step in steps {
            if rounds == ROUND_STEPS {
                return;
            }
            let vacancies = self.reservations.vacancies(step.share);
            let held = self.reservations.step_count(step.wait.step);
            let wanted = step.wait.tasks.saturating_sub(held).min(vacancies);
            if wanted > 0 {
                rounds += 1;
                self.reserve_step(&step, wanted, &mut speeds, now);
            }
        }
    }

    /// A step as a candidate for reservations; `None` if it hasn't waited long enough, no smaller
    /// task was placed meanwhile, or it is best-effort or a gang, whose tasks start together.
    fn reserve_candidate(
        &self,
        key: StepKey,
        rank: &StepRank,
        now: TimePoint,
    ) -> Option<ReserveCandidate> {
        let wait = *self.reservations.wait(key)?;
        let spec = &self.jobs.get(key.job)?.spec;
        let step = &spec.steps[usize::from(key.step)];
        let entitled = wait.passed_over
            && now.since(wait.since) >= room_reservation::MIN_WAIT
            && wait.reason != WaitReason::Trial;
        if !entitled || step.best_effort || step.gang {
            return None;
        }
        let share = match rank.outlook {
            ObjectiveOutlook::InTime => ReservationShare::InTime,
            ObjectiveOutlook::Late | ObjectiveOutlook::Overdue => ReservationShare::Late,
        };
        Some(ReserveCandidate {
            share,
            priority: rank.priority,
            wait,
        })
    }

    /// Reserves room for up to `wanted` tasks of a step on the workers that have it soonest, at
    /// most one more on each.
    pub(super) fn reserve_step(
        &mut self,
        step: &ReserveCandidate,
        wanted: usize,
        speeds: &mut StepSpeeds,
        now: TimePoint,
    ) {
        let key = step.wait.step;
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let spec = job.spec.clone();
        let request = PlaceRequest::new(&spec, job, key);
        let demand = worker_registry::reserved_demand(request.step);
        let horizon = now + room_reservation::HORIZON;
        let mut rooms = Vec::new();
        for worker in self.workers.slots() {
            let capacity = self.workers.get(worker).listing.capacity;
            if !demand.fits(capacity) || !self.is_eligible(worker, &request, now) {
                continue;
            }
            self.refresh_forecast(worker, speeds, now);
            let entry = self.workers.get(worker);
            let (tasks, used) = (entry.tasks.len(), entry.claimed());
            let reserved = self.reservations.reserved(worker);
            let runs = self.forecaster.cached(worker, tasks, used, now);
            let runs = runs.unwrap_or_default();
            let needed = demand + reserved;
            if let Some(forecast) = room_forecast::room_for(runs, entry.free(), needed, now)
                && forecast.latest <= horizon
            {
                rooms.push((forecast, worker));
            }
        }
        rooms.sort_by_key(|(forecast, worker)| (forecast.latest, *worker));
        let tasks = self.unreserved_tasks(key, wanted);
        for (task, (forecast, worker)) in tasks.into_iter().zip(rooms) {
            let reservation = RoomReservation {
                step: key,
                task,
                worker,
                demand,
                priority: step.priority,
                share: step.share,
                capacity: self.workers.get(worker).listing.capacity,
                made_at: now,
                forecast,
            };
            if self.reservations.reserve(reservation) {
                self.await_ends(worker, speeds, now);
                self.log_reservation(&reservation, step.wait.since, now);
            }
        }
    }

    fn log_reservation(&mut self, entry: &RoomReservation, since: TimePoint, now: TimePoint) {
        let job = self.jobs.get(entry.step.job);
        let name = job.map(|job| job.task_name(entry.task.occurrence, entry.task.task));
        let detail = format!(
            "task={} worker={} waited={} expected_in={} latest_in={} cpu={} mem={} share={:?}",
            name.map_or_else(String::new, |name| name.to_string()),
            self.workers.get(entry.worker).listing.id,
            now.since(since),
            entry.forecast.expected.since(now),
            entry.forecast.latest.since(now),
            entry.demand.cpu_millis,
            entry.demand.memory_mib,
            entry.share
        );
        self.log("room_reserved", name.map(|name| name.job), detail);
    }

    /// Up to `wanted` waiting tasks of a step that have no reservation.
    fn unreserved_tasks(&self, key: StepKey, wanted: usize) -> Vec<TaskSlot> {
        let Some(job) = self.jobs.get(key.job) else {
            return Vec::new();
        };
        let Some(occurrence) = job.occurrence(key.occurrence) else {
            return Vec::new();
        };
        let index = usize::from(key.step);
        let first = job.first_tasks[index];
        let tasks = first..first + u32::from(job.spec.steps[index].count);
        tasks
            .filter(|task| occurrence.tasks[*task as usize].phase == TaskPhase::Waiting)
            .map(|task| TaskSlot {
                job: key.job,
                occurrence: key.occurrence,
                task,
            })
            .filter(|slot| {
                let entries = self.reservations.entries();
                !entries.iter().any(|entry| entry.task == *slot)
            })
            .take(wanted)
            .collect()
    }

    /// Forecasts the ends of a worker's runs unless recent forecasts are cached.
    fn refresh_forecast(&mut self, worker: WorkerSlot, speeds: &mut StepSpeeds, now: TimePoint) {
        let entry = self.workers.get(worker);
        let load = (entry.tasks.len(), entry.claimed());
        if self
            .forecaster
            .cached(worker, load.0, load.1, now)
            .is_some()
        {
            return;
        }
        let facts = self.run_facts(worker, speeds);
        let mut runs = Vec::with_capacity(facts.len());
        for fact in &facts {
            if fact.stage == RunStage::Stopping {
                // The time of the stop counts from when it is first noticed.
                self.forecaster.await_end(fact, now);
            }
            runs.extend(self.forecaster.forecast_run(fact, now));
        }
        let horizon = now + room_reservation::HORIZON;
        self.forecaster.cache(worker, load, runs, horizon, now);
    }

    /// Measures the forecasts of a worker's runs once these end.
    fn await_ends(&mut self, worker: WorkerSlot, speeds: &mut StepSpeeds, now: TimePoint) {
        for fact in self.run_facts(worker, speeds) {
            self.forecaster.await_end(&fact, now);
        }
    }

    /// What is known about the runs on a worker.
    fn run_facts(&self, worker: WorkerSlot, speeds: &mut StepSpeeds) -> Vec<RunFacts> {
        let entry = self.workers.get(worker);
        let mut facts = Vec::with_capacity(entry.tasks.len());
        for slot in &entry.tasks {
            let (Some(job), Some(task)) = (self.jobs.get(slot.job), self.jobs.task(*slot)) else {
                continue;
            };
            let number = job.step_of(slot.task);
            let step = &job.spec.steps[usize::from(number)];
            let stage = match task.phase {
                _ if task.stop_ordered => RunStage::Stopping,
                _ if step.service => RunStage::Endless,
                TaskPhase::Recording | TaskPhase::Starting => RunStage::Starting,
                TaskPhase::Running | TaskPhase::Unverified => RunStage::Running,
                TaskPhase::Waiting | TaskPhase::Done => continue,
            };
            let key = StepKey {
                job: slot.job,
                occurrence: slot.occurrence,
                step: number,
            };
            let usual_speed = match speeds.binary_search_by_key(&key, |(known, _)| *known) {
                Ok(place) => speeds[place].1,
                Err(place) => {
                    let speed = self.step_speed(key);
                    speeds.insert(place, (key, speed));
                    speed
                }
            };
            facts.push(RunFacts {
                slot: *slot,
                attempt: task.attempt,
                stage,
                frees: worker_registry::reserved_demand(step),
                estimate: step.estimate,
                usual_speed,
                progress: task.progress,
                since: task.phase_since,
                reported_at: entry.answered_at,
            });
        }
        facts
    }

    /// Median speed of a step's tasks in whole runs per second; `None` if none is known.
    pub(super) fn step_speed(&self, key: StepKey) -> Option<f64> {
        let job = self.jobs.get(key.job)?;
        let occurrence = job.occurrence(key.occurrence)?;
        let index = usize::from(key.step);
        let first = job.first_tasks[index] as usize;
        let tasks = &occurrence.tasks[first..first + usize::from(job.spec.steps[index].count)];
        let begun = tasks
            .iter()
            .filter(|task| task.phase == TaskPhase::Running || task.phase == TaskPhase::Done);
        let mut speeds: Vec<f64> = begun
            .filter_map(|task| task.progress.speed())
            .take(SPEED_TASKS)
            .collect();
        run_progress::median_speed(&mut speeds)
    }
}
