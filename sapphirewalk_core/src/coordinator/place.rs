//! Placement: the order in which waiting steps get room, and the workers that their tasks run on.

use crate::coordinator::JobCoordinator;
use crate::coordinator::commit;
use crate::coordinator::crash::TrialChoice;
use crate::coordinator::pace;
use crate::coordinator::pace::BestEffortScore;
use crate::coordinator::poll;
use crate::coordinator::preempt::PreemptRound;
use crate::image_interference::ImageKey;
use crate::job_order;
use crate::job_order::ObjectiveOutlook;
use crate::job_order::StepRank;
use crate::job_order::StepStanding;
use crate::job_registry::JobEntry;
use crate::job_registry::JobSlot;
use crate::job_registry::OccurrenceEntry;
use crate::job_registry::TaskEntry;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::JobSpec;
use crate::job_spec::StepSpec;
use crate::resource::ResourceVector;
use crate::room_reservation::BackfillRequest;
use crate::room_reservation::BackfillVerdict;
use crate::room_reservation::ReservationEnd;
use crate::room_reservation::StepKey;
use crate::room_reservation::WaitReason;
use crate::run_progress::RunProgress;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry;
use crate::worker_registry::PoolKey;
use crate::worker_registry::RoomRequest;
use crate::worker_registry::WorkerSlot;

/// Minimum interval between rounds, so that events that arrive together are handled by one round.
const PLACE_INTERVAL: TimeSpan = TimeSpan::from_millis(4);
/// Minimum interval between rounds while some demand finds no room. It equals the interval between
/// batches, since runs only start once they are committed.
const FULL_INTERVAL: TimeSpan = commit::BATCH_INTERVAL;

/// Number of candidates that are enough to choose a worker from. Scores of more are rarely much
/// better, and cost a pool of a thousand workers half a millisecond a step.
const MIN_CANDIDATES: usize = 160;
/// Number of candidates for each task of a step that are enough.
const CANDIDATES_PER_TASK: usize = 3;

/// How long a job may be without a run for want of the leader's processor time while much of its
/// pool is free. Callers are guaranteed 3 s.
const LONGEST_IDLE: TimeSpan = TimeSpan::from_millis(1_000);

/// A step of an occurrence that has tasks waiting for a worker.
#[derive(Clone, Debug)]
struct WaitingStep {
    standing: StepStanding,
    job: JobSlot,
    occurrence: u32,
    step: u16,
    pool: PoolKey,
    /// Number of tasks to place now.
    ready: usize,
    /// The step can wait while the leader is short of processor time.
    deferrable: bool,
}

/// What a step requires of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceRequest<'a> {
    pub(super) step: &'a StepSpec,
    pub(super) key: StepKey,
    image: ImageKey,
    /// First task of the step in its occurrence.
    first: TaskSlot,
    pool: PoolKey,
}

/// A worker with room for a task of the step.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlaceCandidate {
    pub(super) worker: WorkerSlot,
    /// Suitability; higher is better.
    pub(super) score: f64,
}

/// What became of the waiting tasks of one step.
#[derive(Debug, Default)]
struct SpreadTasks {
    placed: Vec<(TaskSlot, WorkerSlot)>,
    /// Number of tasks that wait for a worker on which a trial is possible.
    postponed: usize,
    /// Number of candidates whose other room is reserved.
    refused: usize,
}

/// Outcome of the placement of one step.
#[derive(Clone, Copy, Debug, Default)]
struct StepResult {
    /// Number of tasks that were placed.
    placed: usize,
    /// Number of tasks that found no room, and why.
    missing: Option<(usize, WaitReason)>,
}

/// Results that one round caches, so that later steps reuse them.
#[derive(Debug, Default)]
pub(super) struct PlaceRound {
    /// Demands for which no worker had room.
    full_demands: Vec<FullDemand>,
    /// Unclaimed share of each pool, computed at its first use in the round.
    free_shares: Vec<(PoolKey, f64)>,
    preemption: PreemptRound,
    /// Demands of which this round has placed tasks, best-effort ones excepted.
    placed_demands: Vec<(PoolKey, ResourceVector)>,
    /// Processor time that this round has reserved for the tasks it placed.
    placed_cpu_millis: u64,
}

/// A demand for which no worker of the pool had room. Best-effort tasks of other images may still
/// be placed, since workers can be closed to one image because of what it interferes with.
#[derive(Debug)]
struct FullDemand {
    pool: PoolKey,
    best_effort: Option<ImageKey>,
    demand: ResourceVector,
    reason: WaitReason,
}

impl WaitingStep {
    fn key(&self) -> StepKey {
        StepKey {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl StepResult {
    fn waits(missing: usize, reason: WaitReason) -> Self {
        Self {
            placed: 0,
            missing: Some((missing, reason)),
        }
    }
}

impl<'a> PlaceRequest<'a> {
    /// What a step of a job requires; `spec` is the specification of the job.
    pub(super) fn new(spec: &'a JobSpec, job: &JobEntry, key: StepKey) -> Self {
        let index = usize::from(key.step);
        Self {
            step: &spec.steps[index],
            key,
            image: job.images[index],
            first: TaskSlot {
                job: key.job,
                occurrence: key.occurrence,
                task: job.first_tasks[index],
            },
            pool: job.pool_key,
        }
    }

    pub(super) fn room(&self) -> RoomRequest {
        let best_effort_cpu_millis = if self.step.best_effort {
            self.step.demand.cpu_millis
        } else {
            0
        };
        RoomRequest {
            pool: self.pool,
            demand: worker_registry::reserved_demand(self.step),
            best_effort_cpu_millis,
        }
    }
}

impl PlaceRound {
    /// Processor time in thousandths of a core that the round has reserved for tasks so far.
    pub(super) const fn placed_cpu_millis(&self) -> u64 {
        self.placed_cpu_millis
    }

    /// Begins the part of the round that places restarts.
    pub(super) const fn begin_restarts(&mut self) {
        self.preemption.begin_restarts();
    }

    /// Ends that part.
    pub(super) const fn end_restarts(&mut self) {
        self.preemption.end_restarts();
    }

    /// Why an equal or smaller demand has already found no room in this round, if so.
    fn known_full(&self, pool: PoolKey, step: &StepSpec, image: ImageKey) -> Option<WaitReason> {
        let demand = worker_registry::reserved_demand(step);
        let mut entries = self.full_demands.iter();
        let found = entries.find(|entry| {
            entry.pool == pool
                && entry.best_effort == step.best_effort.then_some(image)
                && entry.demand.fits(demand)
        });
        found.map(|entry| entry.reason)
    }

    /// Records that `count` tasks of a step were placed.
    fn record_placed(&mut self, pool: PoolKey, step: &StepSpec, count: usize) {
        let cpu_millis = worker_registry::reserved_demand(step).cpu_millis;
        self.placed_cpu_millis = (count as u64)
            .saturating_mul(cpu_millis)
            .saturating_add(self.placed_cpu_millis);
        let entry = (pool, worker_registry::reserved_demand(step));
        if !step.best_effort && !self.placed_demands.contains(&entry) {
            self.placed_demands.push(entry);
        }
    }

    /// Whether steps ahead have got room for a demand in this round.
    fn has_placed(&self, pool: PoolKey, demand: ResourceVector) -> bool {
        let mut placed = self.placed_demands.iter();
        placed.any(|(known, placed)| *known == pool && demand.fits(*placed))
    }

    /// Records a demand without room. Steps with a required label or a bound per worker are left
    /// out, since other steps may still find room where they don't.
    fn record_full(&mut self, pool: PoolKey, step: &StepSpec, image: ImageKey, reason: WaitReason) {
        if step.required_label.is_none() && step.per_worker == 0 {
            self.full_demands.push(FullDemand {
                pool,
                best_effort: step.best_effort.then_some(image),
                demand: worker_registry::reserved_demand(step),
                reason,
            });
        }
    }
}

impl JobCoordinator {
    /// Places the tasks of waiting steps, in the order of their rank.
    pub(super) fn place(&mut self, now: TimePoint) {
        self.next_place = now + PLACE_INTERVAL;
        if !self.has_authority(now) || !self.may_start_tasks(now) {
            self.place_was_partial = false;
            return;
        }
        let partial = now < self.next_full_place;
        self.place_was_partial = partial;
        let mut round = PlaceRound {
            preemption: PreemptRound::since(self.preempted_at, now),
            ..PlaceRound::default()
        };
        self.review_reservations(now);
        self.reservations.begin_round();
        self.place_restarts(&mut round, now);
        let restarts_cpu_millis = round.placed_cpu_millis;
        let mut waiting = self.waiting_steps(partial, now);
        waiting.sort_unstable_by_key(|step| step.standing.rank);
        let mut allowance = self.start_pace.allowance(now);
        let as_due = self.place_overdue(&waiting, &mut allowance, &mut round, now);
        let mut placed = as_due;
        self.overdue_waits &= partial;
        for step in &waiting {
            let result = self.place_paced(step, None, &mut allowance, &mut round, now);
            placed += result.placed;
            if let Some(missing) = result.missing {
                self.overdue_waits |= step.standing.shares_starts;
                self.record_wait(step, missing, now);
            }
        }
        let others_cpu_millis = round.placed_cpu_millis - restarts_cpu_millis;
        self.restarts.record_others(others_cpu_millis);
        self.overdue_share
            .record_round(placed, as_due, self.overdue_waits);
        self.end_round(&waiting, &round, partial, now);
        if !round.full_demands.is_empty() {
            self.next_place = now + FULL_INTERVAL;
        }
        if !partial {
            let interval = self.leader_lag.round_interval();
            self.next_full_place = self.next_place.max(now + interval);
        }
    }

    /// Places up to `most` restarts of a step, regardless of the allowance of starts.
    pub(super) fn place_restart(
        &mut self,
        key: StepKey,
        most: usize,
        round: &mut PlaceRound,
        now: TimePoint,
    ) {
        let Some(job) = self.jobs.get(key.job) else {
            return;
        };
        let Some(occurrence) = job.occurrence(key.occurrence) else {
            return;
        };
        let standing = {
            let rule = self.queue_rule(job);
            job_order::standing(job, occurrence, key.step, &rule, now)
        };
        let step = WaitingStep {
            standing,
            job: key.job,
            occurrence: key.occurrence,
            step: key.step,
            pool: job.pool_key,
            ready: most,
            deferrable: job.priority > self.top_priority,
        };
        let result = self.place_step(&step, Some(most), round, now);
        if step.deferrable {
            self.start_pace.record(result.placed);
        }
    }

    /// Like [`Self::place_step`], but within the `allowance` of starts if the step can wait.
    fn place_paced(
        &mut self,
        step: &WaitingStep,
        most: Option<usize>,
        allowance: &mut Option<usize>,
        round: &mut PlaceRound,
        now: TimePoint,
    ) -> StepResult {
        if !step.deferrable {
            return self.place_step(step, most, round, now);
        }
        let limits = most.into_iter().chain(*allowance);
        let mut limit = limits.min();
        if limit == Some(0) {
            if !self.is_owed_start(step, round, now) {
                return StepResult::waits(step.ready, WaitReason::LeaderBusy);
            }
            limit = Some(1);
        }
        let result = self.place_step(step, limit, round, now);
        self.start_pace.record(result.placed);
        *allowance = allowance.map(|starts| starts.saturating_sub(result.placed));
        result
    }

    /// Whether a task of a step gets a start beyond the allowance: its job has had no run for
    /// [`LONGEST_IDLE`] although there is room.
    fn is_owed_start(&self, step: &WaitingStep, round: &mut PlaceRound, now: TimePoint) -> bool {
        let wait = self.reservations.wait(step.key());
        wait.is_some_and(|wait| now.since(wait.since) >= LONGEST_IDLE)
            && self.is_starved(step, round)
    }

    /// Records that tasks of a step have found no room in this round.
    fn record_wait(&mut self, step: &WaitingStep, missing: (usize, WaitReason), now: TimePoint) {
        let Some(job) = self.jobs.get(step.job) else {
            return;
        };
        let spec = &job.spec.steps[usize::from(step.step)];
        let demand = worker_registry::reserved_demand(spec);
        self.reservations
            .record_wait(step.key(), (step.pool, demand), missing, now);
    }

    /// Ends a round: logs why steps wait, and ends and makes reservations.
    fn end_round(
        &mut self,
        waiting: &[WaitingStep],
        round: &PlaceRound,
        partial: bool,
        now: TimePoint,
    ) {
        let placed = &round.placed_demands;
        for wait in self.reservations.end_round(placed, partial, now) {
            let job = self.jobs.get(wait.step.job).map(|job| job.id);
            let detail = format!(
                "step={}.{} tasks={} reason={} waited={}",
                wait.step.occurrence,
                wait.step.step,
                wait.tasks,
                wait.reason.as_str(),
                now.since(wait.since)
            );
            self.log("step_waits", job, detail);
        }
        self.end_unneeded_reservations(now);
        self.reserve_restarts(now);
        if !partial && self.reservations.is_due(now) {
            let ranks = waiting.iter();
            let ranks: Vec<(StepKey, StepRank)> =
                ranks.map(|step| (step.key(), step.standing.rank)).collect();
            self.reserve_rooms(&ranks, now);
        }
    }

    /// Places tasks of the overdue step that has waited longest, if starts are due to it. Returns
    /// the number of tasks placed.
    fn place_overdue(
        &mut self,
        waiting: &[WaitingStep],
        allowance: &mut Option<usize>,
        round: &mut PlaceRound,
        now: TimePoint,
    ) -> usize {
        let due = self.overdue_share.due_starts();
        if due == 0 {
            return 0;
        }
        let overdue = waiting.iter().filter(|step| step.standing.shares_starts);
        let Some(step) = overdue.min_by_key(|step| step.standing.rank.start_by) else {
            return 0;
        };
        let result = self.place_paced(step, Some(due), allowance, round, now);
        result.placed
    }

    /// Steps whose predecessors are done and that have tasks to place now, unsorted. A partial
    /// round leaves out those that can wait.
    fn waiting_steps(&mut self, partial: bool, now: TimePoint) -> Vec<WaitingStep> {
        let mut waiting = Vec::new();
        let mut placed: Vec<(JobSlot, u32, usize)> = Vec::new();
        for (slot, job) in self.jobs.iter_open() {
            if job.state.is_final() || (partial && job.priority > self.top_priority) {
                continue;
            }
            for occurrence in &job.occurrences {
                for (step, number) in job.spec.steps.iter().zip(0u16..) {
                    let index = usize::from(number);
                    let deferrable = step.best_effort || job.priority > self.top_priority;
                    if !occurrence.may_wait[index]
                        || (partial && deferrable)
                        || occurrence.remaining_tasks[index] == 0
                        || !occurrence.is_ready(step)
                    {
                        continue;
                    }
                    let tasks = step_tasks(job, occurrence, number).iter();
                    let tasks = tasks.filter(|task| task.phase == TaskPhase::Waiting);
                    if tasks.clone().next().is_none() {
                        placed.push((slot, occurrence.number, index));
                        continue;
                    }
                    let ready = tasks.filter(|task| task.not_before <= now).count();
                    if ready == 0 {
                        continue;
                    }
                    let rule = self.queue_rule(job);
                    waiting.push(WaitingStep {
                        standing: job_order::standing(job, occurrence, number, &rule, now),
                        job: slot,
                        occurrence: occurrence.number,
                        step: number,
                        pool: job.pool_key,
                        ready,
                        deferrable,
                    });
                }
            }
        }
        for (slot, number, step) in placed {
            let job = self.jobs.get_mut(slot);
            if let Some(occurrence) = job.and_then(|job| job.occurrence_mut(number)) {
                occurrence.may_wait[step] = false;
            }
        }
        waiting
    }

    /// Places the waiting tasks of one step, all or none for a gang. If room is missing and the job
    /// can still meet its objective, less urgent tasks are preempted. `most` limits the number of
    /// tasks, except for a gang.
    fn place_step(
        &mut self,
        waiting: &WaitingStep,
        most: Option<usize>,
        round: &mut PlaceRound,
        now: TimePoint,
    ) -> StepResult {
        let Some(job) = self.jobs.get(waiting.job) else {
            return StepResult::default();
        };
        let index = usize::from(waiting.step);
        let spec = job.spec.clone();
        let step = &spec.steps[index];
        let image = job.images[index];
        let key = waiting.key();
        let full_reason = round.known_full(waiting.pool, step, image);
        // A step with reservations looks for the room on its workers in each round.
        let full_reason = full_reason.filter(|_| !self.reservations.has_step(key));
        let known_full = full_reason.is_some();
        let starved = step.best_effort && self.is_starved(waiting, round);
        let may_preempt = waiting.standing.outlook == ObjectiveOutlook::InTime && !step.best_effort;
        if let Some(reason) = full_reason
            && !starved
            && !may_preempt
        {
            return StepResult::waits(waiting.ready, reason);
        }
        let ready = self.ready_tasks(waiting, now);
        if step.gang && ready.len() < usize::from(step.count) {
            return StepResult::default();
        }
        let request = PlaceRequest::new(&spec, job, key);
        let mut candidates = if known_full && !starved {
            Vec::new()
        } else {
            self.sampled_candidates(&request, ready.len(), now)
        };
        let wanted = ready.len();
        let mut limit = most.filter(|_| !step.gang).unwrap_or(wanted);
        let mut no_candidates = candidates.is_empty();
        if no_candidates && starved {
            candidates = self.candidates(&request, true, now);
            limit = 1;
        }
        let priority = waiting.standing.rank.priority;
        let backfill = self.backfill_request(&request, priority, &candidates, now);
        let dropped = backfill.map_or(0, |backfill| self.drop_reserved(&backfill, &mut candidates));
        no_candidates |= candidates.is_empty();
        let SpreadTasks {
            placed,
            postponed,
            refused,
        } = self.spread_tasks(&request, ready, limit, backfill, &mut candidates, now);
        let tried = limit.min(wanted);
        if may_preempt && placed.len() + postponed < tried {
            let missing = tried - placed.len() - postponed;
            self.preempt(&request, priority, missing, &mut round.preemption, now);
        }
        let reason = if postponed > 0 && placed.len() + postponed == wanted {
            WaitReason::Trial
        } else if placed.len() == tried && tried < wanted {
            WaitReason::LeaderBusy
        } else if dropped + refused > 0 {
            WaitReason::ReservedForOthers
        } else if let Some(reason) = full_reason {
            reason
        } else {
            self.room_reason(&request, round)
        };
        // Where room is only reserved, shorter tasks may still find some.
        if (no_candidates || candidates.is_empty()) && dropped + refused == 0 {
            round.record_full(waiting.pool, step, image, reason);
        }
        if step.gang && placed.len() < usize::from(step.count) {
            for (slot, worker) in placed {
                self.workers.remove_task(worker, slot, step, image);
            }
            return StepResult::waits(wanted, reason);
        }
        let missing = wanted - placed.len();
        let result = StepResult {
            placed: placed.len(),
            missing: (missing > 0).then_some((missing, reason)),
        };
        if !placed.is_empty() {
            round.record_placed(waiting.pool, step, placed.len());
            self.trim_reservations(key, missing, now);
        }
        let gang_attempt = placed
            .iter()
            .filter_map(|(slot, _)| self.jobs.task(*slot))
            .map(|task| task.attempt)
            .max();
        for (slot, worker) in placed {
            let gang_attempt = gang_attempt.filter(|_| step.gang);
            self.assign(slot, worker, gang_attempt, waiting, now);
        }
        result
    }

    /// Assigns tasks of a step one by one to the best candidate; tasks on trial get one where
    /// nothing else has just started. Candidates that can't take another task are removed from
    /// `candidates`.
    fn spread_tasks(
        &mut self,
        request: &PlaceRequest<'_>,
        ready: Vec<TaskSlot>,
        limit: usize,
        backfill: Option<BackfillRequest>,
        candidates: &mut Vec<PlaceCandidate>,
        now: TimePoint,
    ) -> SpreadTasks {
        let mut spread = SpreadTasks::default();
        for slot in ready.into_iter().take(limit) {
            let choice = match self.choose_trial(slot, candidates, now) {
                TrialChoice::Unneeded => {
                    let avoid = self.jobs.task(slot).and_then(|task| task.avoided_worker);
                    best_candidate(candidates, avoid)
                }
                TrialChoice::Placed(index) => Some(index),
                TrialChoice::Trial(index) => {
                    self.workers.get_mut(candidates[index].worker).trial = Some(slot);
                    Some(index)
                }
                TrialChoice::Postpone => {
                    spread.postponed += 1;
                    continue;
                }
            };
            let Some(best) = choice else {
                break;
            };
            let worker = candidates[best].worker;
            self.workers
                .add_task(worker, slot, request.step, request.image);
            spread.placed.push((slot, worker));
            let keeps_room =
                backfill.is_none_or(|backfill| self.take_room(worker, &backfill, request, now));
            match self.candidate_score(worker, request, false, now) {
                Some(score) if keeps_room => candidates[best].score = score,
                Some(_) => {
                    spread.refused += 1;
                    candidates.swap_remove(best);
                }
                None => {
                    candidates.swap_remove(best);
                }
            }
        }
        spread
    }

    /// Takes room on a worker that may have reservations. Returns whether these allow another task
    /// of the same step.
    fn take_room(
        &mut self,
        worker: WorkerSlot,
        backfill: &BackfillRequest,
        request: &PlaceRequest<'_>,
        now: TimePoint,
    ) -> bool {
        // A gang may still be withdrawn, so its tasks leave the reservations as they are.
        if !request.step.gang
            && let Some(entry) = self.reservations.record_placed(worker, backfill)
        {
            self.log_reservation_end(&entry, ReservationEnd::Placed, now);
        }
        self.reservations.check(worker, backfill) != BackfillVerdict::Refused
    }

    /// Why a demand finds no room although none of it is reserved.
    fn room_reason(&self, request: &PlaceRequest<'_>, round: &PlaceRound) -> WaitReason {
        let room = request.room();
        let has_evacuated_room = self.evacuated_domains() > 0
            && self.workers.iter().any(|(worker, entry)| {
                entry.evacuated
                    && self.workers.pool(worker) == request.pool
                    && room.demand.fits(entry.free())
            });
        if has_evacuated_room {
            WaitReason::Evacuated
        } else if round.has_placed(request.pool, room.demand) {
            WaitReason::Rank
        } else {
            WaitReason::NoGap
        }
    }

    /// The tasks of a step that are waiting and whose delay has passed.
    fn ready_tasks(&self, waiting: &WaitingStep, now: TimePoint) -> Vec<TaskSlot> {
        let Some(job) = self.jobs.get(waiting.job) else {
            return Vec::new();
        };
        let Some(occurrence) = job.occurrence(waiting.occurrence) else {
            return Vec::new();
        };
        let tasks = step_tasks(job, occurrence, waiting.step);
        let first = job.first_tasks[usize::from(waiting.step)];
        let ready = tasks.iter().zip(first..);
        let mut ready: Vec<(&TaskEntry, u32)> = ready
            .filter(|(task, _)| task.phase == TaskPhase::Waiting && task.not_before <= now)
            .collect();
        if job.spec.steps[usize::from(waiting.step)].service {
            // Restarts come before first runs, in the order of their wait.
            ready.sort_by_key(|(task, _)| {
                let since = task.pause.map(|pause| pause.since);
                (since.is_none(), since)
            });
        }
        let slots = ready.into_iter().map(|(_, task)| TaskSlot {
            job: waiting.job,
            occurrence: waiting.occurrence,
            task,
        });
        slots.collect()
    }

    /// Assigns a task to a worker. The run is committed before its start is sent. `gang_attempt` is
    /// the highest attempt so far in the task's gang, whose members share attempt numbers.
    fn assign(
        &mut self,
        slot: TaskSlot,
        worker: WorkerSlot,
        gang_attempt: Option<u32>,
        waiting: &WaitingStep,
        now: TimePoint,
    ) {
        let Some(task) = self.jobs.task_mut(slot) else {
            return;
        };
        task.attempt = gang_attempt.unwrap_or(task.attempt) + 1;
        task.phase = TaskPhase::Recording;
        task.worker = Some(worker);
        task.worker_born_ms = self.workers.get(worker).born_ms;
        task.phase_since = now;
        task.begun_ms = 0;
        task.confirmed_ms = 0;
        task.confirmed_at = TimePoint::EPOCH;
        task.start_unconfirmed = false;
        task.start_unanswered = false;
        task.deadline_ms = 0;
        task.stop_ordered = false;
        task.preempted = false;
        task.progress = RunProgress::default();
        task.pace = worker_registry::FULL_PACE;
        let pause = task.pause;
        self.mark_dirty(slot.job);
        self.record_first_placed(waiting, now);
        let Some(run) = self.jobs.run_name(slot) else {
            return;
        };
        let entry = self.workers.get(worker);
        let free = entry.free();
        let after = pause.map_or_else(String::new, |pause| {
            let waited = now.since(pause.since);
            format!(" waited={waited} after={}", pause.cause.as_str())
        });
        let detail = format!(
            "run={run} worker={} outlook={:?} priority={} free_cpu={} free_mem={} heard_ago={} \
             rules={}{after}",
            entry.listing.id,
            waiting.standing.outlook,
            waiting.standing.rank.priority,
            free.cpu_millis,
            free.memory_mib,
            now.since(entry.answered_at),
            self.rules.version
        );
        self.log("run_placed", Some(run.task.job), detail);
        self.end_restart_wait(slot, now);
    }

    /// Records when a task of a step is first placed.
    fn record_first_placed(&mut self, waiting: &WaitingStep, now: TimePoint) {
        let job = self.jobs.get_mut(waiting.job);
        if let Some(occurrence) = job.and_then(|job| job.occurrence_mut(waiting.occurrence)) {
            occurrence.first_placed[usize::from(waiting.step)].get_or_insert(now);
        }
    }

    /// The workers that can take a task of a step; `starved` also admits those where it would
    /// interfere.
    pub(super) fn candidates(
        &self,
        request: &PlaceRequest<'_>,
        starved: bool,
        now: TimePoint,
    ) -> Vec<PlaceCandidate> {
        let mut room = request.room();
        if starved {
            room.best_effort_cpu_millis = 0;
        }
        let scored = self.workers.with_room(room).filter_map(|worker| {
            let score = self.candidate_score(worker, request, starved, now)?;
            Some(PlaceCandidate { worker, score })
        });
        scored.collect()
    }

    /// Like [`Self::candidates`], but ends the scan once it has found enough to choose from.
    /// Another scan starts where the last one ended.
    fn sampled_candidates(
        &mut self,
        request: &PlaceRequest<'_>,
        wanted: usize,
        now: TimePoint,
    ) -> Vec<PlaceCandidate> {
        let enough = MIN_CANDIDATES.max(wanted * CANDIDATES_PER_TASK);
        let step = request.step;
        let is_picky = step.service || step.data_rack.is_some() || step.required_label.is_some();
        if is_picky || self.workers.len() <= enough {
            return self.candidates(request, false, now);
        }
        let first = self.next_candidate;
        let workers = self.workers.with_room_from(first, request.room());
        let scored = workers.filter_map(|worker| {
            let score = self.candidate_score(worker, request, false, now)?;
            Some(PlaceCandidate { worker, score })
        });
        let candidates: Vec<PlaceCandidate> = scored.take(enough).collect();
        if let Some(last) = candidates.last() {
            self.next_candidate = WorkerSlot(last.worker.0 + 1);
        }
        candidates
    }

    /// Whether a worker may run a task of a step, regardless of its free resources.
    pub(super) fn is_eligible(
        &self,
        worker: WorkerSlot,
        request: &PlaceRequest<'_>,
        now: TimePoint,
    ) -> bool {
        let PlaceRequest { step, first, .. } = *request;
        let entry = self.workers.get(worker);
        if entry.trial.is_some()
            || !entry.is_usable(now, poll::SILENCE_LIMIT)
            || self.workers.pool(worker) != request.pool
        {
            return false;
        }
        let label = step.required_label.as_ref();
        if label.is_some_and(|label| !entry.has_label(label)) {
            return false;
        }
        let bound = usize::from(step.per_worker);
        let count = u32::from(step.count);
        bound == 0 || worker_registry::tasks_within(&entry.tasks, first, count) < bound
    }

    /// Scores a worker for a task of a step, higher is better; `None` if the worker can't take the
    /// task.
    fn candidate_score(
        &self,
        worker: WorkerSlot,
        request: &PlaceRequest<'_>,
        starved: bool,
        now: TimePoint,
    ) -> Option<f64> {
        let PlaceRequest {
            step, image, first, ..
        } = *request;
        let entry = self.workers.get(worker);
        let room = request.room();
        let fits = room.demand.fits(entry.free());
        let has_idle_cpu = room.best_effort_cpu_millis <= entry.best_effort_cpu_millis();
        if !fits || !(has_idle_cpu || starved) || !self.is_eligible(worker, request, now) {
            return None;
        }
        let mut score = if step.best_effort {
            match self.best_effort_score(entry, step, image, has_idle_cpu) {
                BestEffortScore::Suits(score) => score,
                BestEffortScore::Interferes(score) if starved => score - INTERFERING_PENALTY,
                BestEffortScore::Interferes(_) | BestEffortScore::Closed => return None,
            }
        } else if step.service {
            let others = worker_registry::tasks_within(&entry.tasks, first, u32::from(step.count));
            pace::service_score(entry, image) - others as f64 * SAME_STEP_PENALTY
        } else {
            scarcest_free_share(entry.free(), entry.listing.capacity)
        };
        if step
            .data_rack
            .as_ref()
            .is_some_and(|rack| *rack != entry.listing.rack)
        {
            score -= OTHER_RACK_PENALTY;
        }
        Some(score)
    }

    /// Whether a job has no run although more than [`STARVED_FREE_SHARE`] of its pool is free. One
    /// of its tasks is then placed even where it interferes with others or gets little processor
    /// time.
    fn is_starved(&self, waiting: &WaitingStep, round: &mut PlaceRound) -> bool {
        let Some(job) = self.jobs.get(waiting.job) else {
            return false;
        };
        let mut tasks = job.occurrences.iter().flat_map(|entry| &entry.tasks);
        if tasks.any(|task| task.phase.is_placed()) {
            return false;
        }
        let cached = round.free_shares.iter();
        let cached = cached.clone().find(|(pool, _)| *pool == waiting.pool);
        let free = cached.map(|(_, free)| *free).unwrap_or_else(|| {
            let free = self.pool_free_share(waiting.pool);
            round.free_shares.push((waiting.pool, free));
            free
        });
        free > STARVED_FREE_SHARE
    }

    /// Share of a pool's resources that nothing claims, the scarcer of processor time and memory.
    /// Evacuated workers and those that have never answered are left out: nobody can use what is
    /// free there.
    fn pool_free_share(&self, pool: PoolKey) -> f64 {
        let mut capacity = ResourceVector::ZERO;
        let mut free = ResourceVector::ZERO;
        for (worker, entry) in self.workers.iter() {
            let counts = entry.listed && entry.fence_confirmed && !entry.evacuated;
            if counts && self.workers.pool(worker) == pool {
                capacity = capacity + entry.listing.capacity;
                free = free + entry.free();
            }
        }
        scarcest_free_share(free, capacity)
    }
}

/// The tasks of a step in an occurrence.
fn step_tasks<'a>(job: &JobEntry, occurrence: &'a OccurrenceEntry, step: u16) -> &'a [TaskEntry] {
    let index = usize::from(step);
    let first = job.first_tasks[index] as usize;
    &occurrence.tasks[first..first + usize::from(job.spec.steps[index].count)]
}

/// Index of the candidate with the highest score, with a penalty on the worker to avoid.
fn best_candidate(candidates: &[PlaceCandidate], avoid: Option<WorkerSlot>) -> Option<usize> {
    let score = |candidate: &PlaceCandidate| {
        if avoid == Some(candidate.worker) {
            candidate.score - AVOID_PENALTY
        } else {
            candidate.score
        }
    };
    let mut best: Option<(f64, usize)> = None;
    for (index, candidate) in candidates.iter().enumerate() {
        let score = score(candidate);
        if best.is_none_or(|(highest, _)| score > highest) {
            best = Some((score, index));
        }
    }
    best.map(|(_, index)| index)
}

/// Free share of a capacity, the scarcer of processor time and memory.
fn scarcest_free_share(free: ResourceVector, capacity: ResourceVector) -> f64 {
    let cpu = free.cpu_millis as f64 / capacity.cpu_millis.max(1) as f64;
    let memory = free.memory_mib as f64 / capacity.memory_mib.max(1) as f64;
    cpu.min(memory)
}

/// Free share of a pool above which every job gets at least one run. Callers are guaranteed this
/// when half of the pool is free; the difference allows for tasks that are about to end.
const STARVED_FREE_SHARE: f64 = 0.42;
/// Score penalty that keeps a starved best-effort task off workers where it interferes, unless it
/// interferes on all of them.
const INTERFERING_PENALTY: f64 = 20.0;
/// Score penalty per task of the same service step, so that the loss of a worker affects few of
/// them.
const SAME_STEP_PENALTY: f64 = 0.5;
/// Score penalty that keeps a task off the worker where it last failed or was rejected, unless
/// there is no other.
const AVOID_PENALTY: f64 = 10.0;
/// Score penalty for workers outside the rack of a task's data; in that rack it takes half the time
/// or less.
const OTHER_RACK_PENALTY: f64 = 5.0;
