//! Room for urgent work on workers that less urgent work has filled.
//!
//! Answers long bulk tasks on all workers when urgent or service tasks come: what loses least is
//! stopped, and goes on elsewhere or later. Room that is about to be free is used first, and a task
//! of the same or a more urgent queue never has to go.

use crate::coordinator::JobCoordinator;
use crate::coordinator::place::PlaceRequest;
use crate::job_book::TaskPhase;
use crate::job_book::TaskSlot;
use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_book;
use crate::worker_book::WorkerSlot;

/// Most tasks for which one round finds room: each looks at all workers (not measured), and a burst
/// is met over some rounds, so that work that ends meanwhile is not stopped.
const ROUND_LIMIT: usize = 8;
/// A displaced task waits for this long before it starts again: urgent work comes in bursts, and the
/// room of one task serves several.
pub(super) const DISPLACED_DELAY: TimeSpan = TimeSpan::from_millis(1_000);
/// Work that a task with checkpoints loses by a stop, in seconds: half of a checkpoint's interval
/// and the restart.
const CHECKPOINT_LOSS_S: f64 = 0.6;

/// Room that a round counts on, and what it has displaced.
#[derive(Debug, Default)]
pub(super) struct DisplaceRound {
    /// Room of workers that is meant for tasks that wait.
    reserved: Vec<(WorkerSlot, ResourceVector)>,
    /// Tasks for which room was sought.
    attempts: usize,
}

/// A task that could go.
#[derive(Clone, Copy, Debug)]
struct DisplaceCandidate {
    slot: TaskSlot,
    freed: ResourceVector,
    /// Work that would be lost, in core-seconds.
    loss: f64,
}

/// What a worker would have to give up for a task.
#[derive(Debug)]
struct DisplacePlan {
    worker: WorkerSlot,
    stops: Vec<TaskSlot>,
    loss: f64,
}

impl DisplaceRound {
    fn reserved(&self, worker: WorkerSlot) -> ResourceVector {
        let found = self.reserved.iter().find(|(known, _)| *known == worker);
        found.map_or(ResourceVector::ZERO, |(_, room)| *room)
    }

    fn reserve(&mut self, worker: WorkerSlot, room: ResourceVector) {
        match self.reserved.iter_mut().find(|(known, _)| *known == worker) {
            Some((_, reserved)) => *reserved = *reserved + room,
            None => self.reserved.push((worker, room)),
        }
    }
}

impl JobCoordinator {
    /// Makes room for tasks of a step that found none: one after another, where least is lost.
    pub(super) fn displace(
        &mut self,
        request: &PlaceRequest<'_>,
        priority: u32,
        missing: usize,
        round: &mut DisplaceRound,
        now: TimePoint,
    ) {
        let demand = worker_book::counted_demand(request.step);
        for _ in 0..missing {
            if round.attempts >= ROUND_LIMIT {
                return;
            }
            round.attempts += 1;
            let slots = self.workers.slots();
            let plans = slots.filter_map(|worker| {
                self.displace_plan(worker, request, priority, round.reserved(worker), now)
            });
            let best = plans.min_by(|one, other| one.loss.total_cmp(&other.loss));
            let Some(plan) = best else {
                // Nothing less urgent is left to stop: the next round looks again.
                round.attempts = ROUND_LIMIT;
                return;
            };
            round.reserve(plan.worker, demand);
            for slot in plan.stops {
                if let Some(task) = self.jobs.task_mut(slot) {
                    task.displaced = true;
                }
                self.order_stop(slot, "displaced");
            }
        }
    }

    /// What has to go from a worker for a task of the step; none where it can't be taken there.
    fn displace_plan(
        &self,
        worker: WorkerSlot,
        request: &PlaceRequest<'_>,
        priority: u32,
        reserved: ResourceVector,
        now: TimePoint,
    ) -> Option<DisplacePlan> {
        if !self.is_eligible(worker, request, now) {
            return None;
        }
        let entry = self.workers.get(worker);
        let demand = worker_book::counted_demand(request.step) + reserved;
        let mut room = entry.free();
        let mut candidates = Vec::new();
        for slot in &entry.tasks {
            let (Some(step), Some(task)) = (self.jobs.step(*slot), self.jobs.task(*slot)) else {
                continue;
            };
            let freed = worker_book::counted_demand(step);
            if task.stopping {
                room = room + freed;
                continue;
            }
            let task_priority = self
                .jobs
                .get(slot.job)
                .map(|job| self.queue_rule(job).priority);
            let stoppable = task.phase == TaskPhase::Running && !step.service && !step.gang;
            if !stoppable || task_priority.is_none_or(|task_priority| task_priority <= priority) {
                continue;
            }
            let work_done = step.estimate.as_secs_f64() * f64::from(task.percent) / 100.0;
            let lost_work = if step.checkpoints {
                work_done.min(CHECKPOINT_LOSS_S)
            } else {
                work_done
            };
            let cores = step.demand.cpu_millis as f64 / 1_000.0;
            candidates.push(DisplaceCandidate {
                slot: *slot,
                freed,
                loss: lost_work * cores,
            });
        }
        candidates.sort_unstable_by(|one, other| one.loss.total_cmp(&other.loss));
        let mut plan = DisplacePlan {
            worker,
            stops: Vec::new(),
            loss: 0.0,
        };
        let mut candidates = candidates.into_iter();
        while !demand.fits(room) {
            let candidate = candidates.next()?;
            room = room + candidate.freed;
            plan.stops.push(candidate.slot);
            plan.loss += candidate.loss;
        }
        Some(plan)
    }
}
