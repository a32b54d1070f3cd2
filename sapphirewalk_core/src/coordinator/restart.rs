//! Restarts: the next runs of service tasks whose last run has ended. They are placed first in each
//! round, whatever the priority of their queue and the limit of starts.

use crate::coordinator::JobCoordinator;
use crate::coordinator::place::PlaceRound;
use crate::coordinator::reserve::ReserveCandidate;
use crate::job_registry::JobSlot;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::restart_queue;
use crate::room_reservation;
use crate::room_reservation::ReservationShare;
use crate::room_reservation::StepKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Most steps whose restarts one round tries to place, since each may look at all workers.
const ROUND_STEPS: usize = 16;
/// Most steps for whose restarts one round reserves room.
const RESERVE_STEPS: usize = 4;

/// The restarts of one step that wait.
#[derive(Clone, Copy, Debug)]
struct RestartStep {
    step: StepKey,
    /// Number of tasks that may start now.
    ready: usize,
    /// End of the earliest last run.
    since: TimePoint,
}

impl JobCoordinator {
    /// Places restarts before other work, those first that have waited longest: all while few wait,
    /// otherwise one in a round of those that have waited for long, up to half of the room.
    pub(super) fn place_restarts(&mut self, round: &mut PlaceRound, now: TimePoint) {
        if self.restarts.waits().is_empty() {
            return;
        }
        self.drop_ended_restarts();
        let few = self.restarts.are_few();
        round.begin_restarts();
        for restart in self.restart_steps(now).into_iter().take(ROUND_STEPS) {
            if !self.restarts.has_precedence(restart.since, now) {
                continue;
            }
            let most = if few { restart.ready } else { 1 };
            let before = round.placed_cpu_millis();
            self.place_restart(restart.step, most, round, now);
            let taken = round.placed_cpu_millis() - before;
            self.restarts.record_restarts(taken);
        }
        round.end_restarts();
    }

    /// The steps with restarts that may start now, in the order of their longest wait; those that
    /// fit nowhere come last.
    fn restart_steps(&self, now: TimePoint) -> Vec<RestartStep> {
        let mut steps: Vec<RestartStep> = Vec::new();
        for wait in self.restarts.waits() {
            let (Some(job), Some(task)) = (self.jobs.get(wait.task.job), self.jobs.task(wait.task))
            else {
                continue;
            };
            if task.not_before > now {
                continue;
            }
            let step = StepKey {
                job: wait.task.job,
                occurrence: wait.task.occurrence,
                step: job.step_of(wait.task.task),
            };
            // Tasks of a step are neighbours, since the waits are sorted.
            match steps.last_mut().filter(|last| last.step == step) {
                Some(last) => {
                    last.ready += 1;
                    last.since = last.since.min(wait.since);
                }
                None => steps.push(RestartStep {
                    step,
                    ready: 1,
                    since: wait.since,
                }),
            }
        }
        steps.sort_by_key(|step| (self.restarts.is_passed_over(step.step, now), step.since));
        steps
    }

    /// Reserves room for restarts for which no gap has been large enough, also where other steps
    /// get no reservations: urgent tasks would take each part of a gap otherwise. Best-effort steps
    /// and gangs get none, as in [`Self::reserve_rooms`].
    pub(super) fn reserve_restarts(&mut self, now: TimePoint) {
        let longest = self.restarts.longest_since();
        if longest.is_none_or(|since| now.since(since) < room_reservation::MIN_WAIT)
            || !self.restarts.begin_reserving(now)
        {
            return;
        }
        let steps = self.restart_steps(now);
        let held = steps.iter();
        let held: usize = held
            .map(|restart| self.reservations.step_count(restart.step))
            .sum();
        let mut vacancies = restart_queue::FEW_RESTARTS.saturating_sub(held);
        let steps = steps.into_iter().filter(|restart| {
            let job = self.jobs.get(restart.step.job);
            let step = job.map(|job| &job.spec.steps[usize::from(restart.step.step)]);
            step.is_some_and(|step| !step.best_effort && !step.gang)
        });
        let steps = steps.filter(|restart| !self.restarts.is_passed_over(restart.step, now));
        let steps: Vec<RestartStep> = steps.take(RESERVE_STEPS).collect();
        for restart in steps {
            let Some(wait) = self.reservations.wait(restart.step).copied() else {
                continue;
            };
            let held = self.reservations.step_count(restart.step);
            let wanted = restart.ready.saturating_sub(held).min(vacancies);
            let min_wait = room_reservation::MIN_WAIT;
            if !self.restarts.may_reserve(restart.since, min_wait, now) || wanted == 0 {
                continue;
            }
            let candidate = ReserveCandidate {
                share: ReservationShare::InTime,
                priority: self.top_priority,
                wait,
            };
            self.reserve_step(&candidate, wanted, &mut Vec::new(), now);
            let reserved = self.reservations.step_count(restart.step) - held;
            vacancies -= reserved;
            if reserved == 0 {
                self.restarts.pass_over(restart.step, now);
            }
        }
    }

    /// Number of service tasks that wait for a restart, and the longest time for which one has.
    pub fn waiting_restarts(&self, now: TimePoint) -> (usize, TimeSpan) {
        let since = self.restarts.longest_since();
        let longest = since.map_or(TimeSpan::ZERO, |since| now.since(since));
        (self.restarts.waits().len(), longest)
    }

    /// Counts a waiting task as a restart if it is one of a service and has had a run.
    pub(super) fn await_restart(&mut self, slot: TaskSlot) {
        let service = self.jobs.step(slot).is_some_and(|step| step.service);
        let task = self.jobs.task(slot);
        let pause = task
            .filter(|task| task.phase == TaskPhase::Waiting)
            .and_then(|task| task.pause);
        if let Some(pause) = pause.filter(|_| service) {
            self.restarts.insert(slot, pause.since);
        }
    }

    /// Counts the tasks of a restored job that are restarts.
    pub(super) fn await_job_restarts(&mut self, slot: JobSlot) {
        let Some(job) = self.jobs.get(slot) else {
            return;
        };
        if job.state.is_final() || !job.spec.steps.iter().any(|step| step.service) {
            return;
        }
        let mut tasks = Vec::new();
        for occurrence in &job.occurrences {
            let paused = occurrence.tasks.iter().zip(0u32..);
            let paused = paused.filter(|(task, _)| task.pause.is_some());
            tasks.extend(paused.map(|(_, task)| TaskSlot {
                job: slot,
                occurrence: occurrence.number,
                task,
            }));
        }
        for task in tasks {
            self.await_restart(task);
        }
    }

    /// Records that a task was placed, which ends its wait if it was a restart.
    pub(super) fn end_restart_wait(&mut self, slot: TaskSlot, now: TimePoint) {
        let waits = self.restarts.waits();
        if let Ok(place) = waits.binary_search_by_key(&slot, |wait| wait.task) {
            let waited = now.since(waits[place].since);
            self.load_report.restart_waits.push(waited);
            self.restarts.retain(|task| task != slot);
        }
    }

    /// Forgets restarts of jobs that have ended.
    fn drop_ended_restarts(&mut self) {
        let jobs = &self.jobs;
        self.restarts.retain(|slot| {
            let is_open = jobs.get(slot.job).is_some_and(|job| !job.state.is_final());
            let task = jobs.task(slot);
            is_open && task.is_some_and(|task| task.phase == TaskPhase::Waiting)
        });
    }

    /// Warns of restarts that have waited for long.
    pub(super) fn report_restarts(&mut self, now: TimePoint) {
        self.drop_ended_restarts();
        for wait in self.restarts.take_reports(now) {
            let (Some(run), Some(step)) =
                (self.jobs.run_name(wait.task), self.jobs.step(wait.task))
            else {
                continue;
            };
            let task = self.jobs.task(wait.task);
            let after = task.and_then(|task| task.pause).map(|pause| pause.cause);
            let detail = format!(
                "last_run={run} waited={} after={} cpu={} mem={} waiting_restarts={}",
                now.since(wait.since),
                after.map_or("unknown", |cause| cause.as_str()),
                step.demand.cpu_millis,
                step.demand.memory_mib,
                self.restarts.waits().len()
            );
            self.warn("restart_waits", Some(run.task.job), detail);
        }
    }
}
