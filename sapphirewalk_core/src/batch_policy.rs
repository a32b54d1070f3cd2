//! The decisions for batch work of one shard, put together.
//!
//! The caller feeds submissions, ends and reports, and carries out what is decided. Reservations
//! and shares are counted from the decision on, so that no later decision uses them again.

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
use crate::quarantine::AttemptTrace;
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

/// How long a kind and team is passed over at least after its oldest task found no worker.
const BLOCK_SPAN: TimeSpan = TimeSpan::from_secs(1);
/// Thousandths of its quota up to which a team's urgent tasks evict others.
const EVICTING_TEAM_PERMILLE_MAX: u64 = 300;
/// The least time between two tries of tasks that found no worker, over all kinds and teams.
const RETRY_SPAN: TimeSpan = TimeSpan::from_millis(5);
/// How long kinds far above their floor start nothing after one short of its floor had no room.
const SHORT_SPAN: TimeSpan = TimeSpan::from_secs(5);
/// How long a task waits at most while others yield to it.
const SHORT_WAIT_MAX: TimeSpan = TimeSpan::from_secs(1_800);
/// How long a task waits for a worker with little interference.
const PATIENCE_SPAN: TimeSpan = TimeSpan::from_secs(60);

/// Which features of the policy are in use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyFeatures {
    /// Whether interference is learned and used.
    pub interference: bool,
    /// Whether kinds have floors and teams are compared by what they use.
    pub shares: bool,
    /// Whether sizes are learned; otherwise declared sizes count.
    pub estimates: bool,
}

/// What to do about pending tasks.
#[derive(Clone, Debug, PartialEq)]
pub enum QueueDecision {
    /// Record and start an attempt, for which the amount is reserved now.
    Start {
        /// The task as it waited.
        pending: PendingTask,
        /// The worker.
        worker: WorkerKey,
        /// What the attempt may use.
        granted: ResourceVector,
    },
    /// Give the task up.
    Park {
        /// The task as it waited.
        pending: PendingTask,
        /// Why.
        reason: ParkReason,
    },
    /// Evict or throttle to make room; the task stays in the queue.
    Preempt(Vec<PreemptionStep>),
    /// Nothing can start now.
    Idle,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// With success.
    Finished,
    /// It failed of its own.
    Failed(FailureKind),
    /// It was evicted, or its worker or its lease was lost.
    Stopped,
    /// It was cancelled.
    Cancelled,
}

/// What a worker measured of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptUsage {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskKey,
    /// What it used.
    pub used: ResourceVector,
    /// Progress from 0 to 1.
    pub progress: f64,
    /// Speed relative to running alone, from 0 to 1.
    pub speed: f64,
    /// When it was measured.
    pub measured_at: TimePoint,
}

/// An attempt that ended, with what it used at most.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskKey,
    /// The attempt.
    pub attempt: u64,
    /// How it ended.
    pub end: AttemptEnd,
    /// The most that it used.
    pub peak: ResourceVector,
    /// How long the whole task would run alone; known once it finished.
    pub run_time: Option<TimeSpan>,
}

/// The batch decisions of one shard.
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
    /// An empty shard; samples follow from `seed`.
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

    /// The workers.
    pub const fn pool(&self) -> &WorkerPool {
        &self.pool
    }

    /// The pending tasks.
    pub const fn queue(&self) -> &TaskQueue {
        &self.queue
    }

    /// Use and shares of kinds and teams.
    pub const fn ledger(&self) -> &ShareLedger {
        &self.ledger
    }

    /// The learned interference.
    pub const fn interference(&self) -> &InterferenceTable {
        &self.interference
    }

    /// The workers that the last decision compared, for the audit record.
    pub fn candidates(&self) -> &[CandidateScore] {
        self.placement.candidates()
    }

    /// Bytes of memory that the decisions use.
    pub fn memory_bytes(&self) -> usize {
        self.pool.memory_bytes()
            + self.queue.memory_bytes()
            + self.estimator.memory_bytes()
            + self.interference.memory_bytes()
    }

    /// Sets what the bundle states of a kind.
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

    /// Sets what a team may use at once in this shard.
    pub fn set_team(&mut self, team: TeamKey, limit: QuotaAmount) {
        self.ledger.set_team(team, limit);
    }

    /// Adds an open worker.
    pub fn add_worker(&mut self, profile: WorkerProfile) -> WorkerKey {
        let worker = self.pool.add(profile);
        self.update_capacity();
        worker
    }

    /// Sets whether a worker may get tasks. The caller ends the attempts of one that is gone.
    pub fn set_worker(&mut self, worker: WorkerKey, status: WorkerStatus) {
        self.pool.set_status(worker, status);
        self.update_capacity();
    }

    /// Lets a worker get tasks again, as far as its quarantine allows.
    pub fn open_worker(&mut self, worker: WorkerKey) {
        self.set_worker(worker, self.quarantine.status(worker));
    }

    /// Sets what a worker is, once more is known of it.
    pub fn set_profile(&mut self, worker: WorkerKey, profile: WorkerProfile) {
        self.pool.set_profile(worker, profile);
        self.update_capacity();
    }

    /// Takes a submission, if the limits allow it.
    pub fn submit(&mut self, pending: PendingTask) -> PushOutcome {
        self.queue.push(pending)
    }

    /// Puts back a task that was accepted before.
    pub fn restore(&mut self, pending: PendingTask) {
        self.queue.restore(pending);
    }

    /// Records an attempt that already runs, after the shard was taken over.
    pub fn adopt(&mut self, worker: WorkerKey, attempt: RunningAttempt, now: TimePoint) {
        self.pool.adopt(worker, attempt);
        self.count_start(worker, &attempt, now);
    }

    /// Takes a batch of tasks out of the queue.
    pub fn cancel(&mut self, tasks: Vec<TaskKey>) -> CancelOutcome {
        let outcome = self.queue.cancel(tasks);
        for task in &outcome.cancelled {
            self.failures.forget(*task);
        }
        outcome
    }

    /// Decides about the task that should start next. The caller repeats until `Idle`.
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
                    let relief = self.wait(pending, reason, now);
                    if !relief.is_empty() {
                        return QueueDecision::Preempt(relief);
                    }
                }
            }
        }
        QueueDecision::Idle
    }

    /// Counts the end of an attempt, and judges a task that failed.
    ///
    /// Returns `None` for an attempt that holds no reservation, and for ends that are no failure.
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

    /// Learns from what a worker measured, and relieves urgent attempts.
    pub fn on_usage(&mut self, usage: AttemptUsage, now: TimePoint) -> PreemptionStep {
        let slot = self.pool.slot(usage.worker);
        let Some(running) = slot.attempt(usage.task).copied() else {
            return PreemptionStep::NoAction;
        };
        if running.started_at > usage.measured_at {
            return PreemptionStep::NoAction;
        }
        let capacity = slot.profile().capacity.cpu_millis.max(1) as f64;
        self.note_survival(&usage, &running, now);
        if running.cpu_permille == FULL_SPEED_PERMILLE {
            let learned = self.learn_size(&running, usage.used, usage.progress);
            self.pool.note_learned(usage.worker, usage.task, learned);
        }
        if !self.features.interference {
            return PreemptionStep::NoAction;
        }
        // An attempt that is held back by its own limit says nothing of its co-residents.
        let held_back = running.cpu_permille < FULL_SPEED_PERMILLE
            || SizeEstimator::is_cpu_capped(usage.used.cpu_millis, running.granted.cpu_millis);
        if !held_back {
            self.interference.record(SpeedReport {
                worker: usage.worker,
                kind: running.kind,
                own_share: running.granted.cpu_millis as f64 / capacity,
                speed: usage.speed,
                measured_at: usage.measured_at,
            });
        }
        if held_back {
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

    /// Records that an attempt took a whole checkpoint.
    pub fn on_checkpoint(&mut self, worker: WorkerKey, task: TaskKey, at: TimePoint) {
        self.pool.note_checkpoint(worker, task, at);
    }

    /// Records that an attempt was throttled.
    pub fn on_throttled(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        cpu_permille: u32,
        now: TimePoint,
    ) {
        self.pool.note_throttle(worker, task, cpu_permille);
        self.interference
            .note_mix(worker, self.pool.slot(worker), now);
    }

    /// What is due by time alone: probes of workers in quarantine.
    pub fn on_tick(&mut self, now: TimePoint) {
        let steps = self.quarantine.on_tick(now);
        self.apply(&steps);
    }

    /// Workers in quarantine or probed.
    pub const fn quarantined(&self) -> usize {
        self.quarantine.quarantined()
    }

    fn decide(&mut self, pending: &PendingTask, now: TimePoint) -> PlacementDecision {
        let share = self.ledger.kind(pending.kind);
        let requested = self.requested_size(pending);
        if !self.ledger.admits(pending.team, requested.cpu_millis) {
            return PlacementDecision::Wait {
                reason: WaitReason::QuotaUsed,
            };
        }
        let impatient = pending.submitted_at + PATIENCE_SPAN <= now;
        let request = PlacementRequest {
            task: pending.task,
            kind: pending.kind,
            requested,
            spread: share.spread,
            allow_interference: impatient || share.urgency == TaskUrgency::Urgent,
            avoid: self.failures.failed_on(pending.task),
        };
        let interference = self.features.interference.then_some(&self.interference);
        self.placement.decide(&request, &self.pool, interference)
    }

    fn requested_size(&self, pending: &PendingTask) -> ResourceVector {
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
            self.wait(pending, WaitReason::NoRoom, now);
            return QueueDecision::Idle;
        }
        self.count_start(worker, &attempt, now);
        QueueDecision::Start {
            pending,
            worker,
            granted,
        }
    }

    fn wait(
        &mut self,
        pending: PendingTask,
        reason: WaitReason,
        now: TimePoint,
    ) -> Vec<PreemptionStep> {
        let urgency = self.ledger.kind(pending.kind).urgency;
        self.queue.restore(pending);
        let lanes = self.queue.lane_count() as f64;
        let span = BLOCK_SPAN.max(RETRY_SPAN.scale(lanes));
        self.queue.block(pending.kind, pending.team, now + span);
        if reason == WaitReason::NoRoom && self.is_short(&pending, now) {
            self.queue.note_short(now + SHORT_SPAN);
        }
        let moderate = self.ledger.dominant_permille(pending.team) < EVICTING_TEAM_PERMILLE_MAX;
        if reason != WaitReason::NoRoom || urgency != TaskUrgency::Urgent || !moderate {
            return Vec::new();
        }
        let request = PreemptionRequest {
            task: pending.task,
            urgency,
            requested: self.requested_size(&pending),
        };
        self.eviction
            .make_room(&request, &self.pool, &self.ledger, now)
    }

    /// Whether others should yield to a task: not for accelerators, which they do not take, and
    /// not for ever, since its size may fit nowhere for long.
    fn is_short(&self, pending: &PendingTask, now: TimePoint) -> bool {
        pending.declared.accelerators == 0
            && now < pending.submitted_at + SHORT_WAIT_MAX
            && self.ledger.below_floor(pending.kind)
    }

    fn count_start(&mut self, worker: WorkerKey, attempt: &RunningAttempt, now: TimePoint) {
        self.ledger
            .add(attempt.kind, attempt.team, attempt.granted.cpu_millis);
        let slot = self.pool.slot(worker);
        self.interference.note_mix(worker, slot, now);
        if self.ledger.kind(attempt.kind).spread {
            self.placement
                .note_spread_start(attempt.kind, slot.profile().rack);
        }
    }

    fn count_end(&mut self, worker: WorkerKey, running: &RunningAttempt, now: TimePoint) {
        self.ledger
            .remove(running.kind, running.team, running.granted.cpu_millis);
        let slot = self.pool.slot(worker);
        self.interference.note_mix(worker, slot, now);
        if self.ledger.kind(running.kind).spread {
            self.placement
                .note_spread_end(running.kind, slot.profile().rack);
        }
        self.queue.unblock(&self.ledger, TaskUrgency::Normal);
    }

    fn on_finished(&mut self, ended: &EndedAttempt, running: &RunningAttempt, now: TimePoint) {
        self.learn_size(running, ended.peak, 1.0);
        if let Some(run) = ended.run_time {
            self.estimator
                .record(running.kind, running.team, SizeSample::RunTime(run));
        }
        let trace = attempt_trace(ended.worker, running, now);
        let failed_on = self.failures.failed_on(ended.task).to_vec();
        let mut steps: Vec<QuarantineStep> = self
            .quarantine
            .on_finish(ended.worker, now)
            .into_iter()
            .collect();
        steps.extend(
            self.quarantine
                .on_survival(trace, &failed_on, self.pool.len(), now),
        );
        self.apply(&steps);
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
                let trace = attempt_trace(ended.worker, running, now);
                let step = self.quarantine.on_failure(trace, self.pool.len(), now);
                self.apply(step.as_slice());
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
        let verdict = self.failures.on_failure(failure, largest_mib, |worker| {
            quarantine.is_suspect(worker, ended.task)
        });
        if let RetryDecision::Park(_) = verdict {
            let failed_on = self.failures.failed_on(ended.task).to_vec();
            self.quarantine.on_parked(ended.task, &failed_on);
            self.failures.forget(ended.task);
        }
        verdict
    }

    /// Learns what an attempt shows of its size, once for each resource.
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
        if failed_on.is_empty() && self.quarantine.charge_count(usage.worker) == 0 {
            return;
        }
        let trace = attempt_trace(usage.worker, running, usage.measured_at);
        let failed_on = failed_on.to_vec();
        let steps = self
            .quarantine
            .on_survival(trace, &failed_on, self.pool.len(), now);
        self.apply(&steps);
    }

    fn apply(&mut self, steps: &[QuarantineStep]) {
        for step in steps {
            let (worker, status) = match step {
                QuarantineStep::Quarantine(worker) => (*worker, WorkerStatus::Quarantined),
                QuarantineStep::Probe(worker) => (*worker, WorkerStatus::Probing),
                QuarantineStep::Open(worker) => (*worker, WorkerStatus::Open),
            };
            if self.pool.slot(worker).status() != WorkerStatus::Leaving {
                self.set_worker(worker, status);
            }
        }
    }

    fn update_capacity(&mut self) {
        let capacity = self.pool.open_capacity();
        self.ledger.set_capacity(capacity.cpu_millis);
    }
}

/// What a unit of processor time lost to interference counts.
const fn loss_weight(urgency: TaskUrgency) -> f64 {
    match urgency {
        TaskUrgency::Batch => 1.0,
        TaskUrgency::Normal => 1.5,
        TaskUrgency::Urgent => 8.0,
    }
}

const fn attempt_trace(
    worker: WorkerKey,
    running: &RunningAttempt,
    until: TimePoint,
) -> AttemptTrace {
    AttemptTrace {
        worker,
        task: running.task,
        kind: running.kind,
        ran: until.since(running.started_at),
        at: until,
    }
}
