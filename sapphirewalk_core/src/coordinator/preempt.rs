//! Preemption: stops less urgent tasks to make room for urgent ones.
//!
//! It handles urgent or service tasks that arrive while long bulk tasks fill all workers. The tasks
//! whose stop loses the least work are stopped, and run again elsewhere or later. Resources that
//! stopping tasks are about to free are counted first. A task is only preempted by one of a more
//! urgent queue.

use crate::coordinator::JobCoordinator;
use crate::coordinator::place::PlaceRequest;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::StepSpec;
use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry;
use crate::worker_registry::WorkerSlot;

/// Maximum number of steps for which one round makes room. Each scans all workers.
const ROUND_STEPS: usize = 4;
/// Maximum number of steps with restarts for which one round makes room. They don't count as
/// [`ROUND_STEPS`], so that neither restarts nor urgent steps that can't be helped keep the others
/// from an attempt.
const RESTART_STEPS: usize = 2;
/// Maximum number of tasks for which one round makes room. Spreading a burst over several rounds
/// spares tasks that end in the meantime.
const ROUND_TASKS: usize = 32;
/// Minimum interval between rounds that make room, since stops take hundreds of milliseconds.
const ROUND_INTERVAL: TimeSpan = TimeSpan::from_millis(40);
/// Delay before a preempted task may start again. Urgent work arrives in bursts, and the room of
/// one preempted task serves several urgent tasks in turn.
pub(super) const PREEMPTED_DELAY: TimeSpan = TimeSpan::from_millis(1_000);
/// Work that a stop costs a task with checkpoints, in seconds: half a checkpoint interval plus the
/// restart.
const CHECKPOINT_LOSS_S: f64 = 0.6;

/// Reservations and attempts of one placement round.
#[derive(Debug, Default)]
pub(super) struct PreemptRound {
    /// Resources reserved on workers for tasks that wait until others have stopped.
    reserved: Vec<(WorkerSlot, ResourceVector)>,
    /// Number of steps for which this round has tried to make room. A failed attempt sets it to
    /// [`ROUND_STEPS`], which ends the attempts of the round.
    steps: usize,
    /// The same for restarts, whose failed attempts don't end those of the round.
    restart_steps: usize,
    /// Whether restarts are being placed.
    restarting: bool,
    /// Number of tasks for which this round has made room.
    tasks: usize,
}

/// A task that may be stopped.
#[derive(Clone, Copy, Debug)]
struct PreemptCandidate {
    slot: TaskSlot,
    /// Resources that the stop frees.
    freed: ResourceVector,
    /// Work that the stop would lose, in core-seconds.
    loss: f64,
}

/// The tasks to stop on one worker so that a waiting task fits there.
#[derive(Debug)]
struct PreemptPlan {
    worker: WorkerSlot,
    stops: Vec<TaskSlot>,
    loss: f64,
}

impl PreemptRound {
    /// A round that makes room only if the last one that did is [`ROUND_INTERVAL`] ago.
    pub fn since(last: TimePoint, now: TimePoint) -> Self {
        let is_due = now >= last + ROUND_INTERVAL;
        Self {
            steps: if is_due { 0 } else { ROUND_STEPS },
            restart_steps: if is_due { 0 } else { RESTART_STEPS },
            ..Self::default()
        }
    }

    /// Counts the next attempts as those of restarts.
    pub const fn begin_restarts(&mut self) {
        self.restarting = true;
    }

    /// Counts the next attempts as those of other steps.
    pub const fn end_restarts(&mut self) {
        self.restarting = false;
    }

    /// Counts an attempt; false if the round allows none.
    const fn begin_attempt(&mut self) -> bool {
        let (steps, most) = if self.restarting {
            (&mut self.restart_steps, RESTART_STEPS)
        } else {
            (&mut self.steps, ROUND_STEPS)
        };
        let allowed = *steps < most;
        if allowed {
            *steps += 1;
        }
        allowed
    }

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
    /// Makes room for up to `missing` tasks of a step, each on another worker, where the stops lose
    /// the least work.
    pub(super) fn preempt(
        &mut self,
        request: &PlaceRequest<'_>,
        priority: u32,
        missing: usize,
        round: &mut PreemptRound,
        now: TimePoint,
    ) {
        let missing = missing.min(ROUND_TASKS - round.tasks);
        if missing == 0 || !round.begin_attempt() {
            return;
        }
        self.preempted_at = now;
        let demand = worker_registry::reserved_demand(request.step);
        let slots = self.workers.slots();
        let mut plans: Vec<PreemptPlan> = slots
            .filter_map(|worker| {
                let kept = self
                    .reservations
                    .reserved_from(worker, request.key, priority);
                let reserved = round.reserved(worker) + kept;
                self.preempt_plan(worker, request, priority, reserved, now)
            })
            .collect();
        plans.sort_by(|one, other| one.loss.total_cmp(&other.loss));
        if plans.len() < missing && !round.restarting {
            // No worker can free enough for the other tasks; the next round tries again.
            round.steps = ROUND_STEPS;
        }
        for plan in plans.into_iter().take(missing) {
            round.tasks += 1;
            round.reserve(plan.worker, demand);
            for slot in plan.stops {
                if !self.may_interrupt(slot, "displaced", now) {
                    continue;
                }
                if let Some(task) = self.jobs.task_mut(slot) {
                    task.preempted = true;
                }
                self.order_stop(slot, "displaced");
            }
        }
    }

    /// The tasks to stop on a worker so that one task of the step fits. `None` if the worker is not
    /// eligible or can't free enough.
    fn preempt_plan(
        &self,
        worker: WorkerSlot,
        request: &PlaceRequest<'_>,
        priority: u32,
        reserved: ResourceVector,
        now: TimePoint,
    ) -> Option<PreemptPlan> {
        if !self.is_eligible(worker, request, now) {
            return None;
        }
        let entry = self.workers.get(worker);
        let demand = worker_registry::reserved_demand(request.step) + reserved;
        // Claims may exceed a capacity that has shrunk, so stops free room only below it.
        let room = |freed: ResourceVector| {
            let claimed = entry.claimed().saturating_sub(freed);
            entry.listing.capacity.saturating_sub(claimed)
        };
        let mut freed_soon = ResourceVector::ZERO;
        let mut freeable = ResourceVector::ZERO;
        let mut candidates = Vec::new();
        for slot in &entry.tasks {
            let (Some(job), Some(task)) = (self.jobs.get(slot.job), self.jobs.task(*slot)) else {
                continue;
            };
            let step = &job.spec.steps[usize::from(job.step_of(slot.task))];
            let freed = worker_registry::reserved_demand(step);
            if task.stop_ordered {
                freed_soon = freed_soon + freed;
                continue;
            }
            let stoppable = task.phase == TaskPhase::Running && !step.service && !step.gang;
            if !stoppable || job.priority <= priority {
                continue;
            }
            freeable = freeable + freed;
            candidates.push(PreemptCandidate {
                slot: *slot,
                freed,
                loss: preempt_loss(step, task),
            });
        }
        if !demand.fits(room(freed_soon + freeable)) {
            return None;
        }
        candidates.sort_unstable_by(|one, other| one.loss.total_cmp(&other.loss));
        let mut plan = PreemptPlan {
            worker,
            stops: Vec::new(),
            loss: 0.0,
        };
        let mut candidates = candidates.into_iter();
        while !demand.fits(room(freed_soon)) {
            let candidate = candidates.next()?;
            freed_soon = freed_soon + candidate.freed;
            plan.stops.push(candidate.slot);
            plan.loss += candidate.loss;
        }
        Some(plan)
    }
}

/// Work in core-seconds that is lost if a running task of a step is stopped.
fn preempt_loss(step: &StepSpec, task: &TaskEntry) -> f64 {
    let done = f64::from(task.progress.percent()) / 100.0;
    let work_done_s = step.estimate.as_secs_f64() * done;
    let lost_work_s = if step.checkpoints {
        work_done_s.min(CHECKPOINT_LOSS_S)
    } else {
        work_done_s
    };
    lost_work_s * step.demand.cpu_millis as f64 / 1_000.0
}
