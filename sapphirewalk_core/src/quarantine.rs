//! Finds out workers on which everything fails, and lets them return by probing.
//!
//! A failure charges the worker. The charge is proven when the same task lasts longer on another
//! worker, and dropped when the task turns out to fail everywhere. A worker on which a task lasts
//! is cleared of unproven charges. The share of workers in quarantine is bounded, so that bad
//! tasks cannot take the fleet away.

use crate::key::ArenaKey;
use crate::key::KindKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_pool::WorkerStatus;

/// Proven charges that quarantine a worker.
const PROVEN_CHARGES_MIN: usize = 2;
/// Unproven charges that quarantine a worker, if they are of several kinds.
const UNPROVEN_CHARGES_MIN: usize = 3;
/// Distinct kinds among unproven charges.
const DISTINCT_KINDS_MIN: usize = 2;
/// Charges by other tasks with which a worker's failures say little of a task.
const SUSPECT_CHARGES_MIN: usize = 2;
/// Charges remembered for one worker.
const CHARGES_MAX: usize = 16;
/// An attempt that runs this long has lasted, unless it lasted longer before it failed.
const SURVIVAL_SPAN: TimeSpan = TimeSpan::from_secs(30);
/// How much longer than the failed attempt another must run.
const SURVIVAL_FACTOR: f64 = 3.0;
/// The first wait before a probe.
const PROBE_WAIT_FIRST: TimeSpan = TimeSpan::from_secs(120);
/// The longest wait before a probe.
const PROBE_WAIT_MAX: TimeSpan = TimeSpan::from_secs(3_600);
/// Attempts that must last on a probed worker.
const PROBE_SUCCESSES_MIN: u32 = 2;
/// Workers out of a thousand that may be in quarantine.
const QUARANTINED_PERMILLE_MAX: usize = 100;

/// An attempt that failed or lasted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptRecord {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: TaskKey,
    /// The task's kind.
    pub kind: KindKey,
    /// How long it ran.
    pub ran: TimeSpan,
    /// When that was known: when it failed, ended or was measured.
    pub at: TimePoint,
}

/// What to do with a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStep {
    /// Give it no more tasks.
    Quarantine(WorkerKey),
    /// Give it one task at a time.
    Probe(WorkerKey),
    /// Give it tasks again.
    Open(WorkerKey),
}

/// The standing of all workers.
#[derive(Clone, Debug, Default)]
pub struct QuarantinePolicy {
    /// By the worker's key.
    standings: Vec<WorkerStanding>,
    quarantined: usize,
}

#[derive(Clone, Debug, Default)]
struct WorkerStanding {
    charges: Vec<FailureCharge>,
    stage: StandingStage,
    probe_wait: TimeSpan,
}

#[derive(Clone, Copy, Debug, Default)]
enum StandingStage {
    #[default]
    Trusted,
    Quarantined {
        probe_at: TimePoint,
    },
    Probing {
        successes: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct FailureCharge {
    trace: AttemptRecord,
    proven: bool,
}

impl QuarantinePolicy {
    /// Every worker is trusted.
    pub const fn new() -> Self {
        Self {
            standings: Vec::new(),
            quarantined: 0,
        }
    }

    /// Whether the failure of a task on a worker says little of the task.
    pub fn is_suspect(&self, worker: WorkerKey, task: TaskKey) -> bool {
        self.standings
            .get(worker.index())
            .is_some_and(|standing| match standing.stage {
                StandingStage::Trusted => standing.charged_by_others(task) >= SUSPECT_CHARGES_MIN,
                StandingStage::Quarantined { .. } | StandingStage::Probing { .. } => true,
            })
    }

    /// Whether a worker may get tasks as far as its failures go.
    pub fn status(&self, worker: WorkerKey) -> WorkerStatus {
        match self
            .standings
            .get(worker.index())
            .map(|standing| standing.stage)
        {
            None | Some(StandingStage::Trusted) => WorkerStatus::Open,
            Some(StandingStage::Quarantined { .. }) => WorkerStatus::Quarantined,
            Some(StandingStage::Probing { .. }) => WorkerStatus::Probing,
        }
    }

    /// How many charges a worker has.
    pub fn failure_count(&self, worker: WorkerKey) -> usize {
        self.standings
            .get(worker.index())
            .map_or(0, |standing| standing.charges.len())
    }

    /// How many workers are in quarantine or are probed.
    pub const fn quarantined(&self) -> usize {
        self.quarantined
    }

    /// An attempt failed of its own; `workers` is how many the shard has.
    pub fn on_failure(
        &mut self,
        failed: AttemptRecord,
        workers: usize,
        now: TimePoint,
    ) -> Option<QuarantineStep> {
        let standing = self.standing_mut(failed.worker);
        standing.charge(failed);
        if let StandingStage::Probing { .. } = standing.stage {
            return Some(self.shut(failed.worker, now));
        }
        self.judge(failed.worker, workers, now)
    }

    /// An attempt has run this long without failing, or has finished.
    ///
    /// `failed_on` are the workers on which the task failed before.
    pub fn on_survival(
        &mut self,
        lasted: AttemptRecord,
        failed_on: &[WorkerKey],
        workers: usize,
        now: TimePoint,
    ) -> Vec<QuarantineStep> {
        let mut steps = Vec::new();
        if lasted.ran >= SURVIVAL_SPAN {
            steps.extend(self.clear(lasted.worker, lasted.at));
        }
        for other in failed_on.iter().filter(|other| **other != lasted.worker) {
            self.prove(*other, lasted);
            steps.extend(self.judge(*other, workers, now));
        }
        steps
    }

    /// An attempt finished: its worker is cleared however short it ran.
    pub fn on_finish(&mut self, worker: WorkerKey, now: TimePoint) -> Option<QuarantineStep> {
        self.clear(worker, now)
    }

    /// A task turned out to fail everywhere: its charges are dropped.
    pub fn on_parked(&mut self, task: TaskKey, failed_on: &[WorkerKey]) {
        for worker in failed_on {
            self.standing_mut(*worker)
                .charges
                .retain(|charge| charge.trace.task != task);
        }
    }

    /// Workers whose probe is due.
    pub fn on_tick(&mut self, now: TimePoint) -> Vec<QuarantineStep> {
        let mut steps = Vec::new();
        if self.quarantined == 0 {
            return steps;
        }
        for (index, standing) in self.standings.iter_mut().enumerate() {
            if let StandingStage::Quarantined { probe_at } = standing.stage
                && probe_at <= now
            {
                standing.stage = StandingStage::Probing { successes: 0 };
                steps.push(QuarantineStep::Probe(WorkerKey::from_index(index)));
            }
        }
        steps
    }

    fn judge(
        &mut self,
        worker: WorkerKey,
        workers: usize,
        now: TimePoint,
    ) -> Option<QuarantineStep> {
        let standing = self.standing_mut(worker);
        let trusted = matches!(standing.stage, StandingStage::Trusted);
        let room = self.quarantined < (workers * QUARANTINED_PERMILLE_MAX / 1_000).max(1);
        let guilty = self.standing_mut(worker).is_guilty();
        (trusted && room && guilty).then(|| self.shut(worker, now))
    }

    fn shut(&mut self, worker: WorkerKey, now: TimePoint) -> QuarantineStep {
        let standing = self.standing_mut(worker);
        let was_trusted = matches!(standing.stage, StandingStage::Trusted);
        let wait = standing.probe_wait.scale(2.0).max(PROBE_WAIT_FIRST);
        standing.probe_wait = wait.min(PROBE_WAIT_MAX);
        standing.stage = StandingStage::Quarantined {
            probe_at: now + standing.probe_wait,
        };
        self.quarantined += usize::from(was_trusted);
        QuarantineStep::Quarantine(worker)
    }

    /// Drops charges from before `at`: a late report says nothing of failures since.
    fn clear(&mut self, worker: WorkerKey, at: TimePoint) -> Option<QuarantineStep> {
        let standing = self.standing_mut(worker);
        match &mut standing.stage {
            StandingStage::Trusted => {
                standing.charges.retain(|charge| charge.trace.at > at);
                None
            }
            // Attempts that were started before the quarantine are no proof.
            StandingStage::Quarantined { .. } => None,
            StandingStage::Probing { successes } => {
                *successes += 1;
                if *successes < PROBE_SUCCESSES_MIN {
                    return None;
                }
                *standing = WorkerStanding::default();
                self.quarantined -= 1;
                Some(QuarantineStep::Open(worker))
            }
        }
    }

    fn prove(&mut self, worker: WorkerKey, lasted: AttemptRecord) {
        for charge in &mut self.standing_mut(worker).charges {
            let longer = lasted.ran >= charge.trace.ran.scale(SURVIVAL_FACTOR);
            charge.proven |= charge.trace.task == lasted.task && longer;
        }
    }

    fn standing_mut(&mut self, worker: WorkerKey) -> &mut WorkerStanding {
        if self.standings.len() <= worker.index() {
            self.standings
                .resize_with(worker.index() + 1, WorkerStanding::default);
        }
        &mut self.standings[worker.index()]
    }
}

impl WorkerStanding {
    fn charge(&mut self, trace: AttemptRecord) {
        self.charges
            .retain(|charge| charge.trace.task != trace.task);
        if self.charges.len() == CHARGES_MAX {
            self.charges.remove(0);
        }
        self.charges.push(FailureCharge {
            trace,
            proven: false,
        });
    }

    fn charged_by_others(&self, task: TaskKey) -> usize {
        self.charges
            .iter()
            .filter(|charge| charge.trace.task != task)
            .count()
    }

    fn proven_count(&self) -> usize {
        self.charges.iter().filter(|charge| charge.proven).count()
    }

    fn is_guilty(&self) -> bool {
        if self.proven_count() >= PROVEN_CHARGES_MIN {
            return true;
        }
        let mut kinds: Vec<KindKey> = self
            .charges
            .iter()
            .map(|charge| charge.trace.kind)
            .collect();
        kinds.sort_unstable();
        kinds.dedup();
        self.charges.len() >= UNPROVEN_CHARGES_MIN && kinds.len() >= DISTINCT_KINDS_MIN
    }
}
