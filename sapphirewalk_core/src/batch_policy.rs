//! Scheduling of one shard's batch tasks: queue, placement, preemption and quarantine combined.
//!
//! The scheduler process reports submissions, ends of attempts and measurements, and executes the
//! decisions that are returned. A decision counts its reservation and quota use at once, so that
//! the next decision cannot use the same resources.

use crate::eviction::EvictionPolicy;
use crate::eviction::PreemptionRequest;
use crate::eviction::PreemptionStep;
use crate::interference::InterferenceTable;
use crate::interference::SpeedReport;
use crate::key::KindKey;
use crate::key::TaskKey;
use crate::key::TeamKey;
use crate::key::WorkerKey;
use crate::placement::CandidateScore;
use crate::placement::ParkReason;
use crate::placement::PlacementDecision;
use crate::placement::PlacementPolicy;
use crate::placement::PlacementRequest;
use crate::placement::WaitReason;
use crate::quarantine::AttemptRecord;
use crate::quarantine::QuarantinePolicy;
use crate::quarantine::QuarantineStep;
use crate::quota_share::QuotaAmount;
use crate::resource::ResourceVector;
use crate::share_ledger::KindShare;
use crate::share_ledger::ShareLedger;
use crate::size_estimate::SizeEstimator;
use crate::size_estimate::SizeSample;
use crate::task_failure::FailureKind;
use crate::task_failure::FailureLedger;
use crate::task_failure::RetryDecision;
use crate::task_failure::TaskFailure;
use crate::task_queue::CancelOutcome;
use crate::task_queue::PendingTask;
use crate::task_queue::PushOutcome;
use crate::task_queue::QueueLimits;
use crate::task_queue::TaskQueue;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::urgency::TaskUrgency;
use crate::worker_pool::FULL_SPEED_PERMILLE;
use crate::worker_pool::LearnedSize;
use crate::worker_pool::ReserveOutcome;
use crate::worker_pool::RunningAttempt;
use crate::worker_pool::WorkerPool;
use crate::worker_pool::WorkerProfile;
use crate::worker_pool::WorkerStatus;

/// Least delay before a kind and team is considered again after its oldest task could not be
/// placed. For kinds above batch urgency the end of any attempt ends the delay.
const RETRY_DELAY_MIN: TimeSpan = TimeSpan::from_secs(1);
/// Quota use, in thousandths, from which on a team's urgent tasks no longer evict other tasks.
const EVICTING_TEAM_PERMILLE_MAX: u64 = 300;
/// Part of the retry delay for each pair of kind and team in the queue. It bounds the rate of
/// failed placements over the whole queue to one in this span, apart from delays that the end of an
/// attempt ended.
const RETRY_DELAY_PER_LANE: TimeSpan = TimeSpan::from_millis(5);
/// How long kinds far above their floor start only tasks with precedence after a task of a kind
/// below its floor found no room.
const FLOOR_RESERVE_SPAN: TimeSpan = TimeSpan::from_secs(5);
/// Age of a task from which on other kinds are no longer held back for it.
const FLOOR_RESERVE_WAIT_MAX: TimeSpan = TimeSpan::from_secs(1_800);
/// Age of a task from which on it is placed even where it causes much interference.
const INTERFERENCE_WAIT_MAX: TimeSpan = TimeSpan::from_secs(60);

/// Optional features of the policy, all on by default. Replays switch them off to compare.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyFeatures {
    /// Whether interference between kinds is learned and used for placement and throttling.
    pub interference: bool,
    /// Whether the floors and weights of kinds apply; otherwise every kind has floor 0 and weight
    /// 1.
    pub shares: bool,
    /// Whether a task is granted its estimated size; otherwise it is granted its declared size.
    pub estimates: bool,
}

/// The outcome of one scheduling decision.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueDecision {
    /// Record and start an attempt. Its reservation is already counted.
    Start {
        /// The task as it was in the queue, which it has left.
        pending: PendingTask,
        /// The worker on which the attempt starts.
        worker: WorkerKey,
        /// The resource limits of the attempt.
        granted: ResourceVector,
    },
    /// Park the task: it is never started again.
    Park {
        /// The task as it was in the queue, which it has left.
        pending: PendingTask,
        /// Why no attempt is expected to succeed.
        reason: ParkReason,
    },
    /// Evict these attempts to make room for an urgent task, which stays in the queue.
    Preempt(Vec<PreemptionStep>),
    /// No task can start now; ends the loop over [`BatchPolicy::decide_next`].
    Idle,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The task is complete.
    Finished,
    /// The task itself failed, through no action of the scheduler.
    Failed(FailureKind),
    /// It was evicted, or its worker or the worker's lease was lost.
    Stopped,
    /// It was stopped since the task's caller cancelled the task.
    Cancelled,
}

/// A worker's measurement of a running attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptUsage {
    /// The worker that runs the attempt and measured it.
    pub worker: WorkerKey,
    /// The task that the attempt belongs to.
    pub task: TaskKey,
    /// What the attempt used when measured.
    pub used: ResourceVector,
    /// The completed part of the task, from 0 to 1.
    pub progress: f64,
    /// Speed relative to running alone, from 0 to 1.
    pub speed: f64,
    /// When it was measured; a measurement from before the attempt's start is ignored.
    pub measured_at: TimePoint,
}

/// An attempt that ended, with its peak use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The worker that ran the attempt.
    pub worker: WorkerKey,
    /// The task that the attempt belongs to.
    pub task: TaskKey,
    /// The attempt's number; an end of another attempt than the reserved one is ignored.
    pub attempt: u64,
    /// The cause of the end.
    pub end: AttemptEnd,
    /// The most that it used; learned as the task's size when it finished.
    pub peak: ResourceVector,
    /// How long the whole task runs alone; `None` when unknown, as for a task that several attempts
    /// shared.
    pub run_time: Option<TimeSpan>,
}

/// The scheduling state of one shard's batch work.
#[derive(Clone, Debug)]
pub struct BatchPolicy {
    features: PolicyFeatures,
    pool: WorkerPool,
    queue: TaskQueue,
    ledger: ShareLedger,
    estimator: SizeEstimator,
    interference: InterferenceTable,
    placement: PlacementPolicy,
    eviction: EvictionPolicy,
    quarantine: QuarantinePolicy,
    failures: FailureLedger,
}

impl Default for PolicyFeatures {
    fn default() -> Self {
        Self {
            interference: true,
            shares: true,
            estimates: true,
        }
    }
}

impl BatchPolicy {
    /// An empty shard without workers or tasks; all random samples derive from `seed`.
    pub fn new(features: PolicyFeatures, limits: QueueLimits, seed: u64) -> Self {
        Self {
            features,
            pool: WorkerPool::new(),
            queue: TaskQueue::new(limits),
            ledger: ShareLedger::new(),
            estimator: SizeEstimator::new(),
            interference: InterferenceTable::new(),
            placement: PlacementPolicy::new(seed),
            eviction: EvictionPolicy::new(seed.wrapping_add(1)),
            quarantine: QuarantinePolicy::new(),
            failures: FailureLedger::new(),
        }
    }

    /// The shard's workers with their reservations.
    pub const fn pool(&self) -> &WorkerPool {
        &self.pool
    }

    /// The tasks that wait for a worker.
    pub const fn queue(&self) -> &TaskQueue {
        &self.queue
    }

    /// What each kind and team uses, with the floors, weights and limits that apply to it.
    pub const fn ledger(&self) -> &ShareLedger {
        &self.ledger
    }

    /// The learned interference between kinds; never corrected while the feature is off.
    pub const fn interference(&self) -> &InterferenceTable {
        &self.interference
    }

    /// The workers scored by the last decision, for the audit record.
    pub fn candidates(&self) -> &[CandidateScore] {
        self.placement.candidates()
    }

    /// Memory in bytes held by workers, queue, estimates and learned interference.
    pub fn memory_bytes(&self) -> usize {
        self.pool.memory_bytes()
            + self.queue.memory_bytes()
            + self.estimator.memory_bytes()
            + self.interference.memory_bytes()
    }

    /// Sets a kind's urgency, weight and floor from the bundle.
    pub fn set_kind(&mut self, kind: KindKey, share: KindShare) {
        self.interference
            .set_weight(kind, loss_weight(share.urgency));
        let share = if self.features.shares {
            share
        } else {
            KindShare {
                floor_permille: 0,
                weight: 1,
                ..share
            }
        };
        self.ledger.set_kind(kind, share);
    }

    /// Sets the part of a team's quota that it may use in this shard at any one time.
    pub fn set_team(&mut self, team: TeamKey, limit: QuotaAmount) {
        self.ledger.set_team(team, limit);
    }

    /// Adds a worker that may get tasks at once.
    pub fn add_worker(&mut self, profile: WorkerProfile) -> WorkerKey {
        let worker = self.pool.add(profile);
        self.update_capacity();
        worker
    }

    /// Sets whether a worker may get tasks. For a worker that is gone, the end of each of its
    /// attempts must be reported with [`Self::on_end`].
    pub fn set_worker(&mut self, worker: WorkerKey, status: WorkerStatus) {
        self.pool.set_status(worker, status);
        self.update_capacity();
    }

    /// Lets a worker get tasks again, unless it is in quarantine or probed.
    pub fn open_worker(&mut self, worker: WorkerKey) {
        self.set_worker(worker, self.quarantine.status(worker));
    }

    /// Replaces a worker's capacity and location.
    pub fn set_profile(&mut self, worker: WorkerKey, profile: WorkerProfile) {
        self.pool.set_profile(worker, profile);
        self.update_capacity();
    }

    /// Queues a new task unless the queue's limits are reached.
    pub fn submit(&mut self, pending: PendingTask) -> PushOutcome {
        self.queue.push(pending)
    }

    /// Queues a task that was accepted earlier; the queue's limits do not apply.
    pub fn restore(&mut self, pending: PendingTask) {
        self.queue.restore(pending);
    }

    /// Reserves for an attempt that already runs, after the shard was taken over.
    pub fn adopt(&mut self, worker: WorkerKey, attempt: RunningAttempt, now: TimePoint) {
        self.pool.adopt(worker, attempt);
        self.count_start(worker, &attempt, now);
    }

    /// Removes tasks from the queue.
    pub fn cancel(&mut self, tasks: Vec<TaskKey>) -> CancelOutcome {
        let outcome = self.queue.cancel(tasks);
        for task in &outcome.cancelled {
            self.failures.forget(*task);
        }
        outcome
    }

    /// Decides about the next task in the queue's order. To be repeated until it returns
    /// [`QueueDecision::Idle`].
    pub fn decide_next(&mut self, now: TimePoint) -> QueueDecision {
        while let Some(pending) = self.queue.take(&self.ledger, now) {
            match self.decide(&pending, now) {
                PlacementDecision::Place { worker, granted } => {
                    return self.start(pending, worker, granted, now);
                }
                PlacementDecision::Park { reason } => {
                    self.failures.forget(pending.task);
                    return QueueDecision::Park { pending, reason };
                }
                PlacementDecision::Wait { reason } => {
                    let steps = self.requeue(pending, reason, now);
                    if !steps.is_empty() {
                        return QueueDecision::Preempt(steps);
                    }
                }
            }
        }
        QueueDecision::Idle
    }

    /// Releases the reservation of an attempt and decides whether a failed task is retried.
    ///
    /// Returns `None` for an attempt that holds no reservation, and for an end that is no failure.
    pub fn on_end(&mut self, ended: EndedAttempt, now: TimePoint) -> Option<RetryDecision> {
        let running = self.pool.free(ended.worker, ended.task, ended.attempt)?;
        self.count_end(ended.worker, &running, now);
        match ended.end {
            AttemptEnd::Finished => {
                self.on_finished(&ended, &running, now);
                None
            }
            AttemptEnd::Failed(kind) => Some(self.on_failed(&ended, &running, kind, now)),
            AttemptEnd::Stopped => None,
            AttemptEnd::Cancelled => {
                self.failures.forget(ended.task);
                None
            }
        }
    }

    /// Learns from a measurement. Returns a throttling or eviction if an urgent attempt is too
    /// slow, or the end of a throttling if it has recovered.
    pub fn on_usage(&mut self, usage: AttemptUsage, now: TimePoint) -> PreemptionStep {
        let entry = self.pool.worker(usage.worker);
        let Some(running) = entry.attempt(usage.task).copied() else {
            return PreemptionStep::NoAction;
        };
        if running.started_at > usage.measured_at {
            return PreemptionStep::NoAction;
        }
        let capacity = entry.profile().capacity.cpu_millis.max(1) as f64;
        self.note_survival(&usage, &running, now);
        if running.cpu_permille == FULL_SPEED_PERMILLE {
            let learned = self.learn_size(&running, usage.used, usage.progress);
            self.pool.note_learned(usage.worker, usage.task, learned);
        }
        if !self.features.interference {
            return PreemptionStep::NoAction;
        }
        // The speed of an attempt at its own CPU limit does not measure interference.
        let cpu_limited = running.cpu_permille < FULL_SPEED_PERMILLE
            || SizeEstimator::is_cpu_capped(usage.used.cpu_millis, running.granted.cpu_millis);
        if !cpu_limited {
            self.interference.record(SpeedReport {
                worker: usage.worker,
                kind: running.kind,
                own_share: running.granted.cpu_millis as f64 / capacity,
                speed: usage.speed,
                measured_at: usage.measured_at,
            });
        }
        if cpu_limited {
            return PreemptionStep::NoAction;
        }
        self.eviction.on_speed(
            usage.worker,
            usage.task,
            usage.speed,
            &self.pool,
            &self.interference,
            now,
        )
    }

    /// Records that an attempt completed a checkpoint at `at`.
    pub fn on_checkpoint(&mut self, worker: WorkerKey, task: TaskKey, at: TimePoint) {
        self.pool.note_checkpoint(worker, task, at);
    }

    /// Records that a worker now limits an attempt to `cpu_permille` thousandths of its grant.
    pub fn on_throttled(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        cpu_permille: u32,
        now: TimePoint,
    ) {
        self.pool.note_throttle(worker, task, cpu_permille);
        self.interference
            .note_mix(worker, self.pool.worker(worker), now);
    }

    /// Starts the probes of quarantined workers that are due.
    pub fn on_tick(&mut self, now: TimePoint) {
        let steps = self.quarantine.on_tick(now);
        self.apply_quarantine(&steps);
    }

    /// How many workers are in quarantine or probed.
    pub const fn quarantined(&self) -> usize {
        self.quarantine.quarantined()
    }

    fn decide(&mut self, pending: &PendingTask, now: TimePoint) -> PlacementDecision {
        let share = self.ledger.kind(pending.kind);
        let requested = self.requested(pending);
        if !self.ledger.admits(pending.team, requested.cpu_millis) {
            return PlacementDecision::Wait {
                reason: WaitReason::QuotaUsed,
            };
        }
        let waited_long = pending.submitted_at + INTERFERENCE_WAIT_MAX <= now;
        let request = PlacementRequest {
            task: pending.task,
            kind: pending.kind,
            requested,
            spread: share.spread,
            allow_interference: waited_long || share.urgency == TaskUrgency::Urgent,
            avoid: self.failures.failed_on(pending.task),
        };
        let interference = self.features.interference.then_some(&self.interference);
        self.placement.decide(&request, &self.pool, interference)
    }

    fn requested(&self, pending: &PendingTask) -> ResourceVector {
        if self.features.estimates {
            self.estimator.estimate(pending, self.pool.largest()).size
        } else {
            ResourceVector {
                memory_mib: pending.declared.memory_mib.max(pending.memory_floor_mib),
                ..pending.declared
            }
        }
    }

    fn start(
        &mut self,
        pending: PendingTask,
        worker: WorkerKey,
        granted: ResourceVector,
        now: TimePoint,
    ) -> QueueDecision {
        let attempt = RunningAttempt {
            task: pending.task,
            attempt: pending.attempt + 1,
            kind: pending.kind,
            team: pending.team,
            urgency: self.ledger.kind(pending.kind).urgency,
            granted,
            reserved: granted,
            started_at: now,
            checkpointed_at: now,
            evictions: pending.evictions,
            cpu_permille: FULL_SPEED_PERMILLE,
            learned: LearnedSize::default(),
        };
        if self.pool.reserve(worker, attempt) != ReserveOutcome::Reserved {
            self.requeue(pending, WaitReason::NoRoom, now);
            return QueueDecision::Idle;
        }
        self.count_start(worker, &attempt, now);
        QueueDecision::Start {
            pending,
            worker,
            granted,
        }
    }

    fn requeue(
        &mut self,
        pending: PendingTask,
        reason: WaitReason,
        now: TimePoint,
    ) -> Vec<PreemptionStep> {
        let urgency = self.ledger.kind(pending.kind).urgency;
        self.queue.restore(pending);
        let lanes = self.queue.lane_count() as f64;
        let span = RETRY_DELAY_MIN.max(RETRY_DELAY_PER_LANE.scale(lanes));
        self.queue.block(pending.kind, pending.team, now + span);
        if reason == WaitReason::NoRoom && self.holds_back_others(&pending, now) {
            self.queue.reserve_for_floors(now + FLOOR_RESERVE_SPAN);
        }
        let may_preempt = self.ledger.dominant_permille(pending.team) < EVICTING_TEAM_PERMILLE_MAX;
        if reason != WaitReason::NoRoom || urgency != TaskUrgency::Urgent || !may_preempt {
            return Vec::new();
        }
        let request = PreemptionRequest {
            task: pending.task,
            urgency,
            requested: self.requested(&pending),
        };
        self.eviction
            .make_room(&request, &self.pool, &self.ledger, now)
    }

    /// Whether other kinds are held back for this task: its kind is below its floor. Never for a
    /// task with accelerators, which the others do not use, and only up to an age, since a large
    /// task may fit nowhere for long.
    fn holds_back_others(&self, pending: &PendingTask, now: TimePoint) -> bool {
        pending.declared.accelerators == 0
            && now < pending.submitted_at + FLOOR_RESERVE_WAIT_MAX
            && self.ledger.below_floor(pending.kind)
    }

    fn count_start(&mut self, worker: WorkerKey, attempt: &RunningAttempt, now: TimePoint) {
        self.ledger
            .add(attempt.kind, attempt.team, attempt.granted.cpu_millis);
        let entry = self.pool.worker(worker);
        self.interference.note_mix(worker, entry, now);
        if self.ledger.kind(attempt.kind).spread {
            self.placement
                .note_spread_start(attempt.kind, entry.profile().rack);
        }
    }

    fn count_end(&mut self, worker: WorkerKey, running: &RunningAttempt, now: TimePoint) {
        self.ledger
            .remove(running.kind, running.team, running.granted.cpu_millis);
        let entry = self.pool.worker(worker);
        self.interference.note_mix(worker, entry, now);
        if self.ledger.kind(running.kind).spread {
            self.placement
                .note_spread_end(running.kind, entry.profile().rack);
        }
        self.queue.unblock(&self.ledger, TaskUrgency::Normal);
    }

    fn on_finished(&mut self, ended: &EndedAttempt, running: &RunningAttempt, now: TimePoint) {
        self.learn_size(running, ended.peak, 1.0);
        if let Some(run_time) = ended.run_time {
            self.estimator
                .record(running.kind, running.team, SizeSample::RunTime(run_time));
        }
        let record = attempt_record(ended.worker, running, now);
        let failed_on = self.failures.failed_on(ended.task).to_vec();
        let mut steps: Vec<QuarantineStep> = self
            .quarantine
            .on_finish(ended.worker, now)
            .into_iter()
            .collect();
        steps.extend(
            self.quarantine
                .on_survival(record, &failed_on, self.pool.len(), now),
        );
        self.apply_quarantine(&steps);
        self.failures.forget(ended.task);
    }

    fn on_failed(
        &mut self,
        ended: &EndedAttempt,
        running: &RunningAttempt,
        kind: FailureKind,
        now: TimePoint,
    ) -> RetryDecision {
        match kind {
            FailureKind::OutOfMemory => {
                let sample = SizeSample::OutOfMemory(running.granted.memory_mib);
                self.estimator.record(running.kind, running.team, sample);
            }
            FailureKind::Error => {
                let record = attempt_record(ended.worker, running, now);
                let step = self.quarantine.on_failure(record, self.pool.len(), now);
                self.apply_quarantine(step.as_slice());
            }
        }
        let failure = TaskFailure {
            task: ended.task,
            worker: ended.worker,
            kind,
            granted_mib: running.granted.memory_mib,
        };
        let largest_mib = self.pool.largest().memory_mib;
        let quarantine = &self.quarantine;
        let decision = self.failures.on_failure(failure, largest_mib, |worker| {
            quarantine.is_suspect(worker, ended.task)
        });
        if let RetryDecision::Park(_) = decision {
            let failed_on = self.failures.failed_on(ended.task).to_vec();
            self.quarantine.on_parked(ended.task, &failed_on);
            self.failures.forget(ended.task);
        }
        decision
    }

    /// Records the attempt's size, once for each resource.
    fn learn_size(
        &mut self,
        running: &RunningAttempt,
        used: ResourceVector,
        progress: f64,
    ) -> LearnedSize {
        let (kind, team) = (running.kind, running.team);
        let mut learned = running.learned;
        if !learned.cpu {
            let millis = SizeEstimator::uncapped_cpu(
                used.cpu_millis,
                running.granted.cpu_millis,
                self.pool.largest().cpu_millis,
            );
            self.estimator
                .record(kind, team, SizeSample::CpuMillis(millis));
            learned.cpu = true;
        }
        if !learned.memory && SizeEstimator::is_memory_known(progress) {
            self.estimator
                .record(kind, team, SizeSample::MemoryMib(used.memory_mib));
            learned.memory = true;
        }
        learned
    }

    fn note_survival(&mut self, usage: &AttemptUsage, running: &RunningAttempt, now: TimePoint) {
        let failed_on = self.failures.failed_on(usage.task);
        if failed_on.is_empty() && self.quarantine.failure_count(usage.worker) == 0 {
            return;
        }
        let record = attempt_record(usage.worker, running, usage.measured_at);
        let failed_on = failed_on.to_vec();
        let steps = self
            .quarantine
            .on_survival(record, &failed_on, self.pool.len(), now);
        self.apply_quarantine(&steps);
    }

    fn apply_quarantine(&mut self, steps: &[QuarantineStep]) {
        for step in steps {
            let (worker, status) = match step {
                QuarantineStep::Quarantine(worker) => (*worker, WorkerStatus::Quarantined),
                QuarantineStep::Probe(worker) => (*worker, WorkerStatus::Probing),
                QuarantineStep::Open(worker) => (*worker, WorkerStatus::Open),
            };
            if self.pool.worker(worker).status() != WorkerStatus::Leaving {
                self.set_worker(worker, status);
            }
        }
    }

    fn update_capacity(&mut self) {
        let capacity = self.pool.open_capacity();
        self.ledger.set_capacity(capacity.cpu_millis);
    }
}

/// The weight of a unit of processor time lost to interference.
const fn loss_weight(urgency: TaskUrgency) -> f64 {
    match urgency {
        TaskUrgency::Batch => 1.0,
        TaskUrgency::Normal => 1.5,
        TaskUrgency::Urgent => 8.0,
    }
}

const fn attempt_record(
    worker: WorkerKey,
    running: &RunningAttempt,
    until: TimePoint,
) -> AttemptRecord {
    AttemptRecord {
        worker,
        task: running.task,
        kind: running.kind,
        run_time: until.since(running.started_at),
        at: until,
    }
}
