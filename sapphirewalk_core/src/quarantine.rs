//! Quarantine of workers on which tasks fail because of the worker, and readmission by probes.
//!
//! Each failed attempt is recorded for its worker. The failure is confirmed as the worker's fault
//! when the same task runs longer on another worker. It is dropped when the task is parked, since
//! then the task is the likely cause. An attempt that runs long enough on a worker clears the
//! failures recorded there before. The fraction of quarantined workers is bounded, so that faulty
//! tasks cannot take all workers out of service.

use crate::key::ArenaKey;
use crate::key::KindKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_pool::WorkerStatus;

/// Number of confirmed failures that quarantine a worker.
const CONFIRMED_FAILURES_MIN: usize = 2;
/// Number of failures, confirmed or not, that quarantine a worker if they are of several kinds.
const MIXED_FAILURES_MIN: usize = 3;
/// Number of distinct kinds needed among these failures.
const DISTINCT_KINDS_MIN: usize = 2;
/// Number of failures of other tasks on a worker that make it, not the task, the likely cause.
const SUSPECT_FAILURES_MIN: usize = 2;
/// Number of failures stored per worker; the oldest is dropped.
const FAILURES_MAX: usize = 16;
/// Run time after which an attempt clears the failures of its worker.
const SURVIVAL_RUN_TIME: TimeSpan = TimeSpan::from_secs(30);
/// Multiple of a failed attempt's run time; if the task reaches it elsewhere, the failure is
/// confirmed.
const SURVIVAL_FACTOR: f64 = 3.0;
/// Wait before the first probe of a quarantined worker.
const PROBE_WAIT_FIRST: TimeSpan = TimeSpan::from_secs(120);
/// Upper bound of the wait before a probe, which doubles with each failed probe.
const PROBE_WAIT_MAX: TimeSpan = TimeSpan::from_secs(3_600);
/// Number of surviving attempts that readmit a probed worker.
const PROBE_SUCCESSES_MIN: u32 = 2;
/// Fraction of workers that may be in quarantine at once, in thousandths; at least one may.
const QUARANTINED_PERMILLE_MAX: usize = 100;

/// Run time of an attempt on a worker, at its failure, its end or a measurement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// Worker that the attempt ran on.
    pub worker: WorkerKey,
    /// Task that the attempt belongs to.
    pub task: TaskKey,
    /// Kind of the task.
    pub kind: KindKey,
    /// Time for which the attempt has run.
    pub run_time: TimeSpan,
    /// Point at which the attempt failed, ended or was measured.
    pub at: TimePoint,
}

/// Change of a worker's state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStep {
    /// Place no further tasks on the worker.
    Quarantine(WorkerKey),
    /// Place one task at a time on the worker.
    Probe(WorkerKey),
    /// Place tasks on the worker without restriction again.
    Open(WorkerKey),
}

/// Failure history and quarantine state of all workers of a shard.
#[derive(Clone, Debug, Default)]
pub struct QuarantinePolicy {
    /// Indexed by worker.
    records: Vec<WorkerRecord>,
    /// Number of workers that are quarantined or probed.
    quarantined: usize,
}

#[derive(Clone, Debug, Default)]
struct WorkerRecord {
    /// Oldest first, at most one per task.
    failures: Vec<WorkerFailure>,
    stage: WorkerStage,
    /// Current wait before a probe; zero while the worker is open.
    probe_wait: TimeSpan,
}

#[derive(Clone, Copy, Debug, Default)]
enum WorkerStage {
    #[default]
    Open,
    Quarantined {
        probe_at: TimePoint,
    },
    Probing {
        successes: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct WorkerFailure {
    attempt: AttemptRecord,
    /// Whether the task has run much longer on another worker.
    is_confirmed: bool,
}

impl QuarantinePolicy {
    /// A policy under which every worker may be used.
    pub const fn new() -> Self {
        Self {
            records: Vec::new(),
            quarantined: 0,
        }
    }

    /// Whether a failure of `task` on the worker is likely to be caused by the worker.
    pub fn is_suspect(&self, worker: WorkerKey, task: TaskKey) -> bool {
        self.records
            .get(worker.index())
            .is_some_and(|record| match record.stage {
                WorkerStage::Open => record.failures_of_others(task) >= SUSPECT_FAILURES_MIN,
                WorkerStage::Quarantined { .. } | WorkerStage::Probing { .. } => true,
            })
    }

    /// Quarantine state of a worker; open if no failure is known.
    pub fn status(&self, worker: WorkerKey) -> WorkerStatus {
        match self.records.get(worker.index()).map(|record| record.stage) {
            None | Some(WorkerStage::Open) => WorkerStatus::Open,
            Some(WorkerStage::Quarantined { .. }) => WorkerStatus::Quarantined,
            Some(WorkerStage::Probing { .. }) => WorkerStatus::Probing,
        }
    }

    /// Number of failures stored for a worker, confirmed or not.
    pub fn failure_count(&self, worker: WorkerKey) -> usize {
        self.records
            .get(worker.index())
            .map_or(0, |record| record.failures.len())
    }

    /// Number of workers that are in quarantine or being probed.
    pub const fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// Records an attempt that failed by itself, and quarantines its worker at a threshold.
    ///
    /// `workers` is the number of workers of the shard.
    pub fn on_failure(
        &mut self,
        failed: AttemptRecord,
        workers: usize,
        now: TimePoint,
    ) -> Option<QuarantineStep> {
        let record = self.record_mut(failed.worker);
        record.record_failure(failed);
        if let WorkerStage::Probing { .. } = record.stage {
            return Some(self.quarantine(failed.worker, now));
        }
        self.evaluate(failed.worker, workers, now)
    }

    /// Records an attempt that still runs without a failure, or that finished.
    ///
    /// `failed_on` are the workers on which the task failed before. `workers` is the number of
    /// workers of the shard.
    pub fn on_survival(
        &mut self,
        survivor: AttemptRecord,
        failed_on: &[WorkerKey],
        workers: usize,
        now: TimePoint,
    ) -> Vec<QuarantineStep> {
        let mut steps = Vec::new();
        if survivor.run_time >= SURVIVAL_RUN_TIME {
            steps.extend(self.record_success(survivor.worker, survivor.at));
        }
        for other in failed_on.iter().filter(|other| **other != survivor.worker) {
            self.confirm_failures(*other, survivor);
            steps.extend(self.evaluate(*other, workers, now));
        }
        steps
    }

    /// Records an attempt that finished, which clears its worker's failures whatever its run time.
    pub fn on_finish(&mut self, worker: WorkerKey, now: TimePoint) -> Option<QuarantineStep> {
        self.record_success(worker, now)
    }

    /// Drops the failures of a task that was parked, since the task was the likely cause.
    pub fn on_parked(&mut self, task: TaskKey, failed_on: &[WorkerKey]) {
        for worker in failed_on {
            self.record_mut(*worker)
                .failures
                .retain(|failure| failure.attempt.task != task);
        }
    }

    /// Starts the probes that are due.
    pub fn on_tick(&mut self, now: TimePoint) -> Vec<QuarantineStep> {
        let mut steps = Vec::new();
        if self.quarantined == 0 {
            return steps;
        }
        for (index, record) in self.records.iter_mut().enumerate() {
            if let WorkerStage::Quarantined { probe_at } = record.stage
                && probe_at <= now
            {
                record.stage = WorkerStage::Probing { successes: 0 };
                steps.push(QuarantineStep::Probe(WorkerKey::from_index(index)));
            }
        }
        steps
    }

    fn evaluate(
        &mut self,
        worker: WorkerKey,
        workers: usize,
        now: TimePoint,
    ) -> Option<QuarantineStep> {
        let record = self.record_mut(worker);
        let is_open = matches!(record.stage, WorkerStage::Open);
        let has_room = self.quarantined < (workers * QUARANTINED_PERMILLE_MAX / 1_000).max(1);
        let is_faulty = self.record_mut(worker).reaches_threshold();
        (is_open && has_room && is_faulty).then(|| self.quarantine(worker, now))
    }

    fn quarantine(&mut self, worker: WorkerKey, now: TimePoint) -> QuarantineStep {
        let record = self.record_mut(worker);
        let was_open = matches!(record.stage, WorkerStage::Open);
        let wait = record.probe_wait.scale(2.0).max(PROBE_WAIT_FIRST);
        record.probe_wait = wait.min(PROBE_WAIT_MAX);
        record.stage = WorkerStage::Quarantined {
            probe_at: now + record.probe_wait,
        };
        self.quarantined += usize::from(was_open);
        QuarantineStep::Quarantine(worker)
    }

    /// Drops failures up to `at`, or counts a success of a probed worker.
    ///
    /// Later failures stay, since a delayed report does not refute them.
    fn record_success(&mut self, worker: WorkerKey, at: TimePoint) -> Option<QuarantineStep> {
        let record = self.record_mut(worker);
        match &mut record.stage {
            WorkerStage::Open => {
                record.failures.retain(|failure| failure.attempt.at > at);
                None
            }
            // An attempt started before the quarantine does not show that the worker has recovered.
            WorkerStage::Quarantined { .. } => None,
            WorkerStage::Probing { successes } => {
                *successes += 1;
                if *successes < PROBE_SUCCESSES_MIN {
                    return None;
                }
                *record = WorkerRecord::default();
                self.quarantined -= 1;
                Some(QuarantineStep::Open(worker))
            }
        }
    }

    fn confirm_failures(&mut self, worker: WorkerKey, survivor: AttemptRecord) {
        for failure in &mut self.record_mut(worker).failures {
            let longer = survivor.run_time >= failure.attempt.run_time.scale(SURVIVAL_FACTOR);
            failure.is_confirmed |= failure.attempt.task == survivor.task && longer;
        }
    }

    fn record_mut(&mut self, worker: WorkerKey) -> &mut WorkerRecord {
        if self.records.len() <= worker.index() {
            self.records
                .resize_with(worker.index() + 1, WorkerRecord::default);
        }
        &mut self.records[worker.index()]
    }
}

impl WorkerRecord {
    fn record_failure(&mut self, attempt: AttemptRecord) {
        self.failures
            .retain(|failure| failure.attempt.task != attempt.task);
        if self.failures.len() == FAILURES_MAX {
            self.failures.remove(0);
        }
        self.failures.push(WorkerFailure {
            attempt,
            is_confirmed: false,
        });
    }

    fn failures_of_others(&self, task: TaskKey) -> usize {
        self.failures
            .iter()
            .filter(|failure| failure.attempt.task != task)
            .count()
    }

    fn confirmed_count(&self) -> usize {
        self.failures
            .iter()
            .filter(|failure| failure.is_confirmed)
            .count()
    }

    fn reaches_threshold(&self) -> bool {
        if self.confirmed_count() >= CONFIRMED_FAILURES_MIN {
            return true;
        }
        let mut kinds: Vec<KindKey> = self
            .failures
            .iter()
            .map(|failure| failure.attempt.kind)
            .collect();
        kinds.sort_unstable();
        kinds.dedup();
        self.failures.len() >= MIXED_FAILURES_MIN && kinds.len() >= DISTINCT_KINDS_MIN
    }
}
