//! Chooses a worker for a task from a bounded sample of the workers that may fit.

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::free_index::FreeIndex;
use crate::free_index::GridCell;
use crate::interference::InterferenceTable;
use crate::key::KindKey;
use crate::key::RackKey;
use crate::key::TaskKey;
use crate::key::WorkerKey;
use crate::resource::ResourceVector;
use crate::worker_pool::PoolWorker;
use crate::worker_pool::WorkerPool;

/// Number of scored workers from which on no further cell is inspected.
const CANDIDATES_MAX: usize = 12;
/// Most workers inspected in one index for one task, including those that do not fit.
const INSPECTED_MAX: usize = 96;
/// Most workers inspected in one cell of the even sample.
const PER_CELL_MAX: usize = 4;
/// Weight of processor time lost to interference, as a share of the worker.
const INTERFERENCE_WEIGHT: f64 = 1.0;
/// Weight of the difference between the free shares of processor time and memory.
const IMBALANCE_WEIGHT: f64 = 0.15;
/// Weight of the larger free share that is left, so that tight fits are preferred.
const LEFTOVER_WEIGHT: f64 = 0.10;
/// Weight of each other instance of a spread kind on the worker's rack.
const SPREAD_WEIGHT: f64 = 1.0;
/// Most processor time that a start may lose to interference, as a share of the processor time that
/// the attempt requests.
const LOSS_SHARE_MAX: f64 = 0.9;
/// One decision in this many takes the second best worker, if its load is low, so that the
/// interference of pairs of kinds that are rarely placed together is measured too.
const EXPLORE_ONE_IN: u32 = 64;
/// Processor load, as a share, from which on a worker is not chosen for exploration.
const EXPLORE_LOAD_MAX: f64 = 0.6;

/// A task that needs a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task to place; does not influence the choice.
    pub task: TaskKey,
    /// The kind, for interference and spreading.
    pub kind: KindKey,
    /// The resources to grant to the attempt.
    pub requested: ResourceVector,
    /// Whether instances of the kind are spread over racks.
    pub spread: bool,
    /// Whether the loss to interference may exceed the limit, for urgent tasks and for those that
    /// have waited long.
    pub allow_interference: bool,
    /// Workers on which the task failed, sorted. They are excluded unless they are as many as the
    /// workers of the pool.
    pub avoid: &'a [WorkerKey],
}

/// The outcome of one placement.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementDecision {
    /// Start an attempt.
    Place {
        /// The worker with the lowest cost, or rarely the second lowest.
        worker: WorkerKey,
        /// The resource limits of the attempt, as requested.
        granted: ResourceVector,
    },
    /// Try again later.
    Wait {
        /// What has to change first.
        reason: WaitReason,
    },
    /// Never start the task.
    Park {
        /// Why no attempt is expected to succeed.
        reason: ParkReason,
    },
}

/// Why a task cannot start now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// No worker among those inspected has enough free.
    NoRoom,
    /// The best worker would lose too much processor time to interference.
    Interference,
    /// The part of its quota that the team may use in this shard is used up.
    QuotaUsed,
}

/// Why a task is never started again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParkReason {
    /// It requests more than any worker has when empty.
    LargerThanAnyWorker,
    /// It failed on several workers that are not suspect, or too often in all.
    FailsRepeatedly,
    /// It ran out of memory with as much as the largest worker has.
    OutOfMemory,
    /// The workers of its last attempts ended soon after they had started it.
    LosesWorkers,
}

/// A worker that was scored for a task.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateScore {
    /// The worker; it had enough free when it was scored.
    pub worker: WorkerKey,
    /// The cost of choosing it, in shares of a worker; the lowest wins.
    pub cost: f64,
    /// Weighted processor time lost to interference, in thousandths of a core.
    pub loss_cpu_millis: f64,
}

/// Chooses workers. Its buffers are reused from one decision to the next.
#[derive(Clone, Debug)]
pub struct PlacementPolicy {
    rng: ChaCha8Rng,
    cells: Vec<GridCell>,
    candidates: Vec<CandidateScore>,
    spread_counts: Vec<RackCount>,
}

/// The number of instances of a kind on a rack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RackCount {
    kind: KindKey,
    rack: RackKey,
    count: u32,
}

impl PlacementRequest<'_> {
    fn avoids(&self, worker: WorkerKey, workers: usize) -> bool {
        self.avoid.len() < workers && self.avoid.binary_search(&worker).is_ok()
    }
}

impl PlacementPolicy {
    /// A policy without instances on any rack; its random samples derive from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cells: Vec::new(),
            candidates: Vec::new(),
            spread_counts: Vec::new(),
        }
    }

    /// Decides where a task starts. Without a table, interference is ignored.
    pub fn decide(
        &mut self,
        request: &PlacementRequest<'_>,
        pool: &WorkerPool,
        interference: Option<&InterferenceTable>,
    ) -> PlacementDecision {
        self.candidates.clear();
        if !pool.could_ever_fit(request.requested) {
            return PlacementDecision::Park {
                reason: ParkReason::LargerThanAnyWorker,
            };
        }
        self.collect(request, pool, interference);
        match self.choose(request, pool) {
            Ok(worker) => PlacementDecision::Place {
                worker,
                granted: request.requested,
            },
            Err(reason) => PlacementDecision::Wait { reason },
        }
    }

    /// The workers scored by the last decision, lowest cost first, for the audit record.
    pub fn candidates(&self) -> &[CandidateScore] {
        &self.candidates
    }

    /// Counts an instance of a spread kind that starts on a rack.
    pub fn note_spread_start(&mut self, kind: KindKey, rack: RackKey) {
        match self.search_spread(kind, rack) {
            Ok(position) => self.spread_counts[position].count += 1,
            Err(position) => self.spread_counts.insert(
                position,
                RackCount {
                    kind,
                    rack,
                    count: 1,
                },
            ),
        }
    }

    /// Counts the end of an instance of a spread kind on a rack.
    pub fn note_spread_end(&mut self, kind: KindKey, rack: RackKey) {
        if let Ok(position) = self.search_spread(kind, rack) {
            let entry = &mut self.spread_counts[position];
            entry.count = entry.count.saturating_sub(1);
        }
    }

    /// Collects candidates. Workers with accelerators are inspected only for tasks that request
    /// some, or when no other worker fits.
    fn collect(
        &mut self,
        request: &PlacementRequest<'_>,
        pool: &WorkerPool,
        interference: Option<&InterferenceTable>,
    ) {
        if request.requested.accelerators == 0 {
            self.sample(request, pool, pool.plain_index(), interference);
        }
        if self.candidates.is_empty() {
            self.sample(request, pool, pool.accelerator_index(), interference);
        }
    }

    /// Inspects cells at even distances from the tightest fit to the emptiest workers, then fills
    /// up from the tightest.
    fn sample(
        &mut self,
        request: &PlacementRequest<'_>,
        pool: &WorkerPool,
        index: &FreeIndex,
        interference: Option<&InterferenceTable>,
    ) {
        let mut cells = std::mem::take(&mut self.cells);
        index.cells_for(request.requested, &mut cells);
        let stride = cells.len().div_ceil(CANDIDATES_MAX / PER_CELL_MAX).max(1);
        let mut inspected = 0;
        for cell in cells.iter().step_by(stride) {
            inspected += self.score_cell(
                index.workers_in(*cell),
                PER_CELL_MAX,
                request,
                pool,
                interference,
            );
        }
        for cell in &cells {
            if inspected >= INSPECTED_MAX || self.candidates.len() >= CANDIDATES_MAX {
                break;
            }
            // Up to four times as many workers of a cell as in the even sample.
            let left = (INSPECTED_MAX - inspected).min(PER_CELL_MAX * 4);
            inspected +=
                self.score_cell(index.workers_in(*cell), left, request, pool, interference);
        }
        self.cells = cells;
    }

    /// Inspects up to `limit` workers of a cell, from a random one on, and scores those that fit.
    /// Returns how many were inspected.
    fn score_cell(
        &mut self,
        workers: &[WorkerKey],
        limit: usize,
        request: &PlacementRequest<'_>,
        pool: &WorkerPool,
        interference: Option<&InterferenceTable>,
    ) -> usize {
        let inspected = workers.len().min(limit);
        let start = self.rng.next_u32() as usize % workers.len().max(1);
        for step in 0..inspected {
            let worker = workers[(start + step) % workers.len()];
            let entry = pool.worker(worker);
            let scored = self.candidates.iter().any(|other| other.worker == worker);
            let avoided = request.avoids(worker, pool.len());
            if !scored && !avoided && request.requested.fits(entry.free()) {
                let candidate = self.score(request, worker, entry, interference);
                self.candidates.push(candidate);
            }
        }
        inspected
    }

    fn score(
        &self,
        request: &PlacementRequest<'_>,
        worker: WorkerKey,
        entry: &PoolWorker,
        interference: Option<&InterferenceTable>,
    ) -> CandidateScore {
        let capacity = entry.profile().capacity;
        let left = entry.free().saturating_sub(request.requested);
        let cpu_left = share(left.cpu_millis, capacity.cpu_millis);
        let memory_left = share(left.memory_mib, capacity.memory_mib);
        let loss = interference.map_or(0.0, |interference| {
            interference.joining_loss(request.kind, request.requested.cpu_millis, entry)
        });
        let mut cost = INTERFERENCE_WEIGHT * loss / capacity.cpu_millis.max(1) as f64
            + IMBALANCE_WEIGHT * (cpu_left - memory_left).abs()
            + LEFTOVER_WEIGHT * cpu_left.max(memory_left);
        if request.spread {
            let count = self.spread_count(request.kind, entry.profile().rack);
            cost += SPREAD_WEIGHT * f64::from(count);
        }
        CandidateScore {
            worker,
            cost,
            loss_cpu_millis: loss,
        }
    }

    fn choose(
        &mut self,
        request: &PlacementRequest<'_>,
        pool: &WorkerPool,
    ) -> Result<WorkerKey, WaitReason> {
        self.candidates
            .sort_by(|left, right| left.cost.total_cmp(&right.cost));
        let best = self.candidates.first().ok_or(WaitReason::NoRoom)?;
        let loss_max = request.requested.cpu_millis as f64 * LOSS_SHARE_MAX;
        if !request.allow_interference && best.loss_cpu_millis > loss_max {
            return Err(WaitReason::Interference);
        }
        let chosen = best.worker;
        Ok(self.explore(pool).unwrap_or(chosen))
    }

    /// Rarely the second best worker, if its load is low.
    fn explore(&mut self, pool: &WorkerPool) -> Option<WorkerKey> {
        let second = *self.candidates.get(1)?;
        if !self.rng.next_u32().is_multiple_of(EXPLORE_ONE_IN) {
            return None;
        }
        let lightly_loaded = pool.worker(second.worker).cpu_load() < EXPLORE_LOAD_MAX;
        lightly_loaded.then_some(second.worker)
    }

    fn spread_count(&self, kind: KindKey, rack: RackKey) -> u32 {
        self.search_spread(kind, rack)
            .map_or(0, |position| self.spread_counts[position].count)
    }

    fn search_spread(&self, kind: KindKey, rack: RackKey) -> Result<usize, usize> {
        self.spread_counts
            .binary_search_by_key(&(kind, rack), |entry| (entry.kind, entry.rack))
    }
}

fn share(amount: u64, whole: u64) -> f64 {
    amount as f64 / whole.max(1) as f64
}
