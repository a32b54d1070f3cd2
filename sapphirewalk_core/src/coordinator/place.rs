//! Which step gets room next, and on which worker.

use crate::coordinator::JobCoordinator;
use crate::coordinator::pace::BestEffortScore;
use crate::coordinator::poll;
use crate::job_book::JobEntry;
use crate::job_book::JobSlot;
use crate::job_book::TaskPhase;
use crate::job_book::TaskSlot;
use crate::job_order;
use crate::job_order::StepRank;
use crate::job_spec::StepSpec;
use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_book;
use crate::worker_book::WorkerSlot;

/// Least time between two rounds, so that events that come together are answered together.
const PLACE_INTERVAL: TimeSpan = TimeSpan::from_millis(4);

/// A step of an occurrence with tasks that wait for room.
#[derive(Clone, Debug)]
struct WaitingStep {
    rank: StepRank,
    job: JobSlot,
    occurrence: u32,
    step: u16,
    pool: String,
}

/// Demands that found no room in this round.
#[derive(Debug, Default)]
struct FullMarks {
    marks: Vec<FullMark>,
}

/// A demand that found no room. Best-effort tasks of other images may still find some, since it is
/// what an image interferes with that closes workers to it.
#[derive(Debug)]
struct FullMark {
    pool: String,
    best_effort: Option<String>,
    least: ResourceVector,
}

impl FullMarks {
    fn covers(&self, pool: &str, step: &StepSpec) -> bool {
        let demand = worker_book::counted_demand(step);
        self.marks.iter().any(|mark| {
            mark.pool == pool
                && mark.best_effort.as_deref() == best_effort_image(step)
                && mark.least.fits(demand)
        })
    }

    fn add(&mut self, pool: &str, step: &StepSpec) {
        self.marks.push(FullMark {
            pool: pool.to_owned(),
            best_effort: best_effort_image(step).map(str::to_owned),
            least: worker_book::counted_demand(step),
        });
    }
}

fn best_effort_image(step: &StepSpec) -> Option<&str> {
    step.best_effort.then_some(step.image.as_str())
}

impl JobCoordinator {
    /// Gives room to the steps that wait, most urgent first.
    pub(super) fn place(&mut self, now: TimePoint) {
        self.next_place = now + PLACE_INTERVAL;
        if !self.has_authority(now) {
            return;
        }
        let mut waiting = self.waiting_steps(now);
        waiting.sort_unstable_by_key(|step| step.rank);
        let mut full = FullMarks::default();
        for step in waiting {
            self.place_step(&step, &mut full, now);
        }
    }

    fn waiting_steps(&self, now: TimePoint) -> Vec<WaitingStep> {
        let mut waiting = Vec::new();
        for (slot, job) in self.jobs.iter() {
            if job.state.is_final() {
                continue;
            }
            for occurrence in &job.occurrences {
                for (step, number) in job.spec.steps.iter().zip(0u16..) {
                    let index = usize::from(number);
                    if occurrence.left[index] == 0 || !occurrence.is_ready(step) {
                        continue;
                    }
                    let first = job.first_tasks[index] as usize;
                    let tasks = &occurrence.tasks[first..first + usize::from(step.count)];
                    let any = tasks
                        .iter()
                        .any(|task| task.phase == TaskPhase::Waiting && task.not_before <= now);
                    if !any {
                        continue;
                    }
                    let rule = self.queue_rule(job);
                    waiting.push(WaitingStep {
                        rank: job_order::rank(job, occurrence, number, &rule, now),
                        job: slot,
                        occurrence: occurrence.number,
                        step: number,
                        pool: rule.pool,
                    });
                }
            }
        }
        waiting
    }

    fn place_step(&mut self, waiting: &WaitingStep, full: &mut FullMarks, now: TimePoint) {
        let Some(job) = self.jobs.get(waiting.job) else {
            return;
        };
        let index = usize::from(waiting.step);
        let spec = job.spec.clone();
        let step = &spec.steps[index];
        let plain = step.required_label.is_none() && step.per_worker == 0;
        if full.covers(&waiting.pool, step) && !(step.best_effort && self.is_starved(waiting)) {
            return;
        }
        let first = job.first_tasks[index];
        let open: Vec<TaskSlot> = (first..first + u32::from(step.count))
            .map(|task| TaskSlot {
                job: waiting.job,
                occurrence: waiting.occurrence,
                task,
            })
            .filter(|slot| {
                self.jobs
                    .task(*slot)
                    .is_some_and(|task| task.phase == TaskPhase::Waiting && task.not_before <= now)
            })
            .collect();
        if step.gang && open.len() < usize::from(step.count) {
            return;
        }
        let mut placed = Vec::with_capacity(open.len());
        for slot in open {
            let starved = step.best_effort && placed.is_empty() && self.is_starved(waiting);
            let Some(worker) = self.choose_worker(slot, step, waiting, starved, now) else {
                if plain {
                    full.add(&waiting.pool, step);
                }
                break;
            };
            self.workers.get_mut(worker).add_task(slot, step);
            placed.push((slot, worker));
        }
        if step.gang && placed.len() < usize::from(step.count) {
            for (slot, worker) in placed {
                self.workers.get_mut(worker).remove_task(slot, step);
            }
            return;
        }
        let shared = placed
            .iter()
            .filter_map(|(slot, _)| self.jobs.task(*slot))
            .map(|task| task.attempt)
            .max();
        for (slot, worker) in placed {
            let shared = shared.filter(|_| step.gang);
            self.assign(slot, worker, shared, waiting, now);
        }
    }

    /// Chooses a task's worker; the run is committed before its start is sent.
    fn assign(
        &mut self,
        slot: TaskSlot,
        worker: WorkerSlot,
        shared: Option<u32>,
        waiting: &WaitingStep,
        now: TimePoint,
    ) {
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        task.attempt = shared.unwrap_or(task.attempt) + 1;
        task.phase = TaskPhase::Recording;
        task.worker = Some(worker);
        task.since = now;
        task.confirmed_ms = 0;
        task.unsure = false;
        task.start_unanswered = false;
        task.deadline_ms = 0;
        task.stopping = false;
        task.pace = worker_book::FULL_PACE;
        self.mark_dirty(slot.job);
        let Some(run) = self.jobs.run_name(slot) else {
            return;
        };
        let entry = self.workers.get(worker);
        let free = entry.free();
        let detail = format!(
            "run={run} worker={} outlook={:?} priority={} free_cpu={} free_mem={} heard_ago={} \
             rules={}",
            entry.report.id,
            waiting.rank.outlook,
            waiting.rank.priority,
            free.cpu_millis,
            free.memory_mib,
            now.since(entry.answered_at),
            self.rules.version
        );
        self.log("run_placed", Some(run.task.job), detail);
    }

    /// The worker that suits a task best; none when no worker has room.
    fn choose_worker(
        &self,
        slot: TaskSlot,
        step: &StepSpec,
        waiting: &WaitingStep,
        starved: bool,
        now: TimePoint,
    ) -> Option<WorkerSlot> {
        let job = self.jobs.get(slot.job)?;
        let avoid = self.jobs.task(slot)?.avoid;
        let demand = worker_book::counted_demand(step);
        let mut best: Option<(f64, WorkerSlot)> = None;
        for (worker, entry) in self.workers.iter() {
            if entry.report.pool != waiting.pool
                || !entry.is_usable(now, poll::SILENCE_LIMIT)
                || !demand.fits(entry.free())
            {
                continue;
            }
            if let Some(label) = &step.required_label
                && !entry.has_label(label)
            {
                continue;
            }
            let others = self.tasks_of_step(job, slot, worker);
            if step.per_worker > 0 && others >= usize::from(step.per_worker) {
                continue;
            }
            let mut score = if step.best_effort {
                match self.best_effort_score(worker, step) {
                    BestEffortScore::Suits(score) => score,
                    BestEffortScore::Interferes(score) if starved => score - INTERFERING_PENALTY,
                    BestEffortScore::Interferes(_) => continue,
                }
            } else if step.service {
                self.service_score(worker, step) - others as f64 * SAME_STEP_PENALTY
            } else {
                share_free(entry.free(), entry.report.capacity)
            };
            if avoid == Some(worker) {
                score -= AVOID_PENALTY;
            }
            if step
                .data_rack
                .as_ref()
                .is_some_and(|rack| *rack != entry.report.rack)
            {
                score -= FAR_PENALTY;
            }
            if best.is_none_or(|(most, _)| score > most) {
                best = Some((score, worker));
            }
        }
        best.map(|(_, worker)| worker)
    }

    /// Whether a job has nothing running while less than about half of its pool is claimed. Then one
    /// of its tasks runs even where it interferes with others, or gets little of a worker.
    fn is_starved(&self, waiting: &WaitingStep) -> bool {
        let Some(job) = self.jobs.get(waiting.job) else {
            return false;
        };
        let mut tasks = job.occurrences.iter().flat_map(|entry| &entry.tasks);
        if tasks.any(|task| task.phase.is_placed()) {
            return false;
        }
        let mut capacity = ResourceVector::ZERO;
        let mut used = ResourceVector::ZERO;
        for (_, entry) in self.workers.iter() {
            if entry.listed && entry.report.pool == waiting.pool {
                capacity = capacity + entry.report.capacity;
                used = used + entry.used;
            }
        }
        share_free(capacity.saturating_sub(used), capacity) > STARVED_FREE_SHARE
    }

    /// Tasks of the same step and occurrence that are placed on a worker.
    fn tasks_of_step(&self, job: &JobEntry, slot: TaskSlot, worker: WorkerSlot) -> usize {
        let step = job.step_of(slot.task);
        self.workers
            .get(worker)
            .tasks
            .iter()
            .filter(|other| {
                other.job == slot.job
                    && other.occurrence == slot.occurrence
                    && job.step_of(other.task) == step
            })
            .count()
    }
}

/// The share of its processor time and memory that a worker has free, the scarcer of both.
fn share_free(free: ResourceVector, capacity: ResourceVector) -> f64 {
    let cpu = free.cpu_millis as f64 / capacity.cpu_millis.max(1) as f64;
    let memory = free.memory_mib as f64 / capacity.memory_mib.max(1) as f64;
    cpu.min(memory)
}

/// Free share of a pool from which on no job may wait with nothing running: callers are promised
/// that where half is free, with some slack for what is about to end.
const STARVED_FREE_SHARE: f64 = 0.42;
/// Keeps a starved best-effort task off workers where it interferes, unless it interferes everywhere.
const INTERFERING_PENALTY: f64 = 20.0;
/// Keeps tasks of one service step apart, so that the loss of a worker takes few of them.
const SAME_STEP_PENALTY: f64 = 0.5;
/// Keeps a task off the worker where it just failed, unless there is no other.
const AVOID_PENALTY: f64 = 10.0;
/// Keeps a task on the rack of its data, where it takes half the time or less.
const FAR_PENALTY: f64 = 5.0;
