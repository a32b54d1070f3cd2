//! Moves of running tasks out of evacuated failure domains.
//!
//! It answers maintenance that lasts longer than the tasks it would disturb: an evacuation of a few
//! seconds moves nothing, a longer one moves what loses little by it. Tasks only move into room
//! that is free, so that a move never displaces other work.

use crate::coordinator::JobCoordinator;
use crate::coordinator::evacuation::StartObstacle;
use crate::coordinator::place::PlaceRequest;
use crate::job_registry::JobSlot;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::StepSpec;
use crate::resource::ResourceVector;
use crate::room_reservation::StepKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry;
use crate::worker_registry::PoolKey;
use crate::worker_registry::WorkerSlot;

/// Time from a request until running tasks are moved. Most evacuations are over sooner.
const MOVE_DELAY: TimeSpan = TimeSpan::from_millis(10_000);
/// Most moves in one sweep, of which there is one in 100 ms, so that the stopped tasks don't
/// compete with urgent work all at once.
const SWEEP_MOVES: usize = 4;
/// Remaining run time up to which a task with checkpoints stays where it is.
const STAY_SPAN: TimeSpan = TimeSpan::from_millis(10_000);
/// Time for which the room that a moved task is expected to take counts as taken. A stop takes up
/// to 900 ms, and its end is known with the next poll.
const CLAIM_SPAN: TimeSpan = TimeSpan::from_millis(5_000);

/// Tasks in the order in which they are moved.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum MoveClass {
    /// A best-effort task with checkpoints.
    BestEffort,
    /// Another task with checkpoints that would take long.
    Checkpointed,
    /// A service task.
    Service,
}

/// A task that was stopped to run elsewhere, and the room that it is expected to take.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingMove {
    slot: TaskSlot,
    /// Number of the run that was stopped.
    attempt: u32,
    /// The worker that had room for the task.
    target: WorkerSlot,
    /// Resources that the task reserves there.
    demand: ResourceVector,
    /// Processor demand of a best-effort task in thousandths of a core; 0 for others.
    best_effort_cpu_millis: u64,
    stopped_at: TimePoint,
}

impl JobCoordinator {
    /// Moves a few tasks out of the failure domains that have been evacuated for `MOVE_DELAY`.
    pub(super) fn move_evacuated_tasks(&mut self, now: TimePoint) {
        self.drop_settled_moves(now);
        if !self.has_authority(now) || !self.may_start_tasks(now) {
            return;
        }
        let mut moved = 0;
        let mut full_demands: Vec<(PoolKey, ResourceVector)> = Vec::new();
        let mut full_step: Option<(JobSlot, u32, u16)> = None;
        for (class, slot) in self.movable_tasks(now) {
            if moved == SWEEP_MOVES {
                return;
            }
            let step = self.jobs.get(slot.job).map(|job| job.step_of(slot.task));
            let step = step.map(|step| (slot.job, slot.occurrence, step));
            let is_full = full_step.is_some() && full_step == step;
            if is_full || self.exceeds_full_demand(slot, &full_demands) {
                continue;
            }
            if class == MoveClass::Service && !self.may_move_service(slot, now) {
                continue;
            }
            match self.planned_move(slot, now) {
                Some(pending) => {
                    self.pending_moves.push(pending);
                    self.order_stop(slot, StartObstacle::Evacuated.as_str());
                    moved += 1;
                }
                None => {
                    full_step = step;
                    full_demands.extend(self.plain_demand(slot));
                }
            }
        }
    }

    /// Whether a demand that is not larger than that of a task has already found no room in this
    /// sweep. It spares scans of all workers while the rest of the pool is full.
    fn exceeds_full_demand(
        &self,
        slot: TaskSlot,
        full_demands: &[(PoolKey, ResourceVector)],
    ) -> bool {
        let (Some(job), Some(step)) = (self.jobs.get(slot.job), self.jobs.step(slot)) else {
            return false;
        };
        let demand = worker_registry::reserved_demand(step);
        let mut known = full_demands.iter();
        !step.best_effort && known.any(|(pool, full)| *pool == job.pool_key && full.fits(demand))
    }

    /// Pool and demand of a task whose step requires nothing else of a worker; none for others,
    /// which may find no room where a larger demand does.
    fn plain_demand(&self, slot: TaskSlot) -> Option<(PoolKey, ResourceVector)> {
        let (job, step) = (self.jobs.get(slot.job)?, self.jobs.step(slot)?);
        let is_plain = step.required_label.is_none() && step.per_worker == 0 && !step.best_effort;
        is_plain.then(|| (job.pool_key, worker_registry::reserved_demand(step)))
    }

    /// Tasks that may be moved if there is room for them, in the order in which they are.
    fn movable_tasks(&self, now: TimePoint) -> Vec<(MoveClass, TaskSlot)> {
        let mut movable = Vec::new();
        if !self.has_evacuation_since(MOVE_DELAY, now) {
            return movable;
        }
        for (worker, entry) in self.workers.iter() {
            // A stop can't reach a silent worker, whose tasks are repeated when its leases end.
            if entry.tasks.is_empty()
                || entry.is_silent()
                || !self.is_evacuated_for(worker, MOVE_DELAY, now)
            {
                continue;
            }
            for slot in &entry.tasks {
                let (Some(step), Some(task)) = (self.jobs.step(*slot), self.jobs.task(*slot))
                else {
                    continue;
                };
                if let Some(class) = move_class(step, task)
                    && !self.has_job_ended(slot.job)
                {
                    movable.push((class, *slot));
                }
            }
        }
        movable.sort_unstable();
        movable
    }

    /// Whether all other tasks of a service task's step are at work, so that only one of them moves
    /// at a time, and the step's budget allows to stop the task.
    fn may_move_service(&self, slot: TaskSlot, now: TimePoint) -> bool {
        let Some(job) = self.jobs.get(slot.job) else {
            return false;
        };
        let number = usize::from(job.step_of(slot.task));
        let first = job.first_tasks[number];
        let count = u32::from(job.spec.steps[number].count);
        let mut siblings = (first..first + count).filter(|task| *task != slot.task);
        let others_serve = siblings.all(|task| {
            let sibling = TaskSlot { task, ..slot };
            let task = self.jobs.task(sibling);
            self.is_serving(sibling) && task.is_some_and(|task| !task.stop_ordered)
        });
        others_serve && self.allows_interruption(slot, now)
    }

    /// The move of a task to the best worker that has room for it beside the moves in progress.
    fn planned_move(&self, slot: TaskSlot, now: TimePoint) -> Option<PendingMove> {
        let job = self.jobs.get(slot.job)?;
        let key = StepKey {
            job: slot.job,
            occurrence: slot.occurrence,
            step: job.step_of(slot.task),
        };
        let request = PlaceRequest::new(&job.spec, job, key);
        let step = request.step;
        let room = request.room();
        let mut best: Option<(f64, WorkerSlot)> = None;
        for candidate in self.candidates(&request, false, now) {
            let entry = self.workers.get(candidate.worker);
            let claims = self.pending_moves.iter();
            let claims = claims.filter(|pending| pending.target == candidate.worker);
            let (demand, cpu_millis) = claims.fold(
                (room.demand, room.best_effort_cpu_millis),
                |(demand, cpu_millis), pending| {
                    let cpu_millis = cpu_millis.saturating_add(pending.best_effort_cpu_millis);
                    (demand + pending.demand, cpu_millis)
                },
            );
            let fits = demand.fits(entry.free()) && cpu_millis <= entry.best_effort_cpu_millis();
            if fits && best.is_none_or(|(highest, _)| candidate.score > highest) {
                best = Some((candidate.score, candidate.worker));
            }
        }
        let (_, target) = best?;
        Some(PendingMove {
            slot,
            attempt: self.jobs.task(slot)?.attempt,
            target,
            demand: worker_registry::reserved_demand(step),
            best_effort_cpu_millis: room.best_effort_cpu_millis,
            stopped_at: now,
        })
    }

    /// Drops the moves whose task is placed again or has ended, or that have taken too long.
    fn drop_settled_moves(&mut self, now: TimePoint) {
        let jobs = &self.jobs;
        self.pending_moves.retain(|pending| {
            let task = jobs.task(pending.slot);
            task.is_some_and(|task| {
                task.attempt == pending.attempt && task.phase != TaskPhase::Done
            }) && now.since(pending.stopped_at) < CLAIM_SPAN
        });
    }
}

/// The class in which a running task is moved; none if it stays.
fn move_class(step: &StepSpec, task: &TaskEntry) -> Option<MoveClass> {
    // A stopped member would break the whole gang.
    if task.phase != TaskPhase::Running || task.stop_ordered || step.gang {
        return None;
    }
    match (step.service, step.checkpoints, step.best_effort) {
        (true, _, _) => Some(MoveClass::Service),
        (false, true, true) => Some(MoveClass::BestEffort),
        (false, true, false) if remaining_span(step, task) > STAY_SPAN => {
            Some(MoveClass::Checkpointed)
        }
        (false, _, _) => None,
    }
}

/// Expected time until a task ends, by its measured speed or else by its estimate.
fn remaining_span(step: &StepSpec, task: &TaskEntry) -> TimeSpan {
    let remaining = f64::from(100u32.saturating_sub(task.progress.percent())) / 100.0;
    let speed = task.progress.speed().filter(|speed| *speed > 0.0);
    let run = speed.map_or(step.estimate, |speed| {
        TimeSpan::from_secs(1).scale(1.0 / speed)
    });
    run.scale(remaining)
}
