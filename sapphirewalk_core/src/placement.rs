//! Chooses a worker for a task among a bounded sample of those that may fit.

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
use crate::worker_pool::WorkerPool;
use crate::worker_pool::WorkerSlot;

/// Most workers compared for one task.
const CANDIDATES_MAX: usize = 12;
/// Most workers looked at for one task, of which some do not fit.
const LOOKS_MAX: usize = 96;
/// Most workers taken from one cell of the index.
const PER_CELL_MAX: usize = 4;
/// The weight of processor time lost to interference against processor time left over.
const INTERFERENCE_WEIGHT: f64 = 1.0;
/// The weight of free resources left in unequal proportion, against a whole worker.
const IMBALANCE_WEIGHT: f64 = 0.15;
/// The weight of leaving much of a worker free, against a whole worker.
const LEFTOVER_WEIGHT: f64 = 0.10;
/// The weight of another instance of the same service on the rack, against a whole worker.
const SPREAD_WEIGHT: f64 = 1.0;
/// Most processor time lost to interference that a start may cause, as a share of what the
/// attempt itself gets.
const LOSS_SHARE_MAX: f64 = 0.9;
/// One decision in this many takes the second best where that costs little, to learn of interference.
const EXPLORE_ONE_IN: u32 = 64;
/// Most processor load of a worker that is explored.
const EXPLORE_LOAD_MAX: f64 = 0.6;

/// A task that wants a worker.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// The task.
    pub task: TaskKey,
    /// Its kind.
    pub kind: KindKey,
    /// What it is to be granted.
    pub requested: ResourceVector,
    /// Whether its kind's instances are spread over racks.
    pub spread: bool,
    /// Whether it may start where it causes much interference.
    pub allow_interference: bool,
    /// Workers on which it failed, sorted; not chosen unless there are no others.
    pub avoid: &'a [WorkerKey],
}

/// What to do with a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementDecision {
    /// Start it.
    Place {
        /// The worker.
        worker: WorkerKey,
        /// What the attempt may use.
        granted: ResourceVector,
    },
    /// Try again later.
    Wait {
        /// Why.
        reason: WaitReason,
    },
    /// Give it up.
    Park {
        /// Why.
        reason: ParkReason,
    },
}

/// Why a task waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitReason {
    /// No worker has enough free.
    NoRoom,
    /// Every fit would lose too much to interference.
    Interference,
    /// The team's share of its quota is used up.
    QuotaUsed,
}

/// Why a task is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParkReason {
    /// No worker has as much.
    LargerThanAnyWorker,
    /// It failed on several workers on which other tasks succeed.
    FailsEverywhere,
    /// It ran out of memory with the most that a worker has.
    OutOfMemory,
}

/// A worker that was compared.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CandidateScore {
    /// The worker.
    pub worker: WorkerKey,
    /// The cost of choosing it, in shares of a worker; the least wins.
    pub cost: f64,
    /// Processor time lost to interference, in thousandths of a core.
    pub loss_cpu_millis: f64,
}

/// Chooses workers, with scratch space that is used again.
#[derive(Clone, Debug)]
pub struct PlacementPolicy {
    rng: ChaCha8Rng,
    cells: Vec<GridCell>,
    candidates: Vec<CandidateScore>,
    spread_counts: Vec<RackCount>,
}

/// Instances of a kind on a rack.
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
    /// A policy whose samples follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            cells: Vec::new(),
            candidates: Vec::new(),
            spread_counts: Vec::new(),
        }
    }

    /// Decides where a task starts; without `interference` interference does not count.
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

    /// The workers that the last decision compared, for the audit record.
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

    /// Counts an instance of a spread kind that ended on a rack.
    pub fn note_spread_end(&mut self, kind: KindKey, rack: RackKey) {
        if let Ok(position) = self.search_spread(kind, rack) {
            let entry = &mut self.spread_counts[position];
            entry.count = entry.count.saturating_sub(1);
        }
    }

    /// Workers with accelerators are looked at only for tasks that want some, or when no other
    /// worker fits.
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

    /// Takes candidates from cells at even distances between the tightest fit and the emptiest
    /// workers, then fills up from the tightest.
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
        let mut looks = 0;
        for cell in cells.iter().step_by(stride) {
            looks += self.look_into(
                index.workers_in(*cell),
                PER_CELL_MAX,
                request,
                pool,
                interference,
            );
        }
        for cell in &cells {
            if looks >= LOOKS_MAX || self.candidates.len() >= CANDIDATES_MAX {
                break;
            }
            let left = (LOOKS_MAX - looks).min(PER_CELL_MAX * 4);
            looks += self.look_into(index.workers_in(*cell), left, request, pool, interference);
        }
        self.cells = cells;
    }

    /// Scores up to `most` workers of a cell from a random one on, and returns how many.
    fn look_into(
        &mut self,
        workers: &[WorkerKey],
        most: usize,
        request: &PlacementRequest<'_>,
        pool: &WorkerPool,
        interference: Option<&InterferenceTable>,
    ) -> usize {
        let looks = workers.len().min(most);
        let start = self.rng.next_u32() as usize % workers.len().max(1);
        for step in 0..looks {
            let worker = workers[(start + step) % workers.len()];
            let slot = pool.slot(worker);
            let known = self.candidates.iter().any(|other| other.worker == worker);
            let avoided = request.avoids(worker, pool.len());
            if !known && !avoided && request.requested.fits(slot.free()) {
                let candidate = self.score(request, worker, slot, interference);
                self.candidates.push(candidate);
            }
        }
        looks
    }

    fn score(
        &self,
        request: &PlacementRequest<'_>,
        worker: WorkerKey,
        slot: &WorkerSlot,
        interference: Option<&InterferenceTable>,
    ) -> CandidateScore {
        let capacity = slot.profile().capacity;
        let left = slot.free().saturating_sub(request.requested);
        let cpu_left = share(left.cpu_millis, capacity.cpu_millis);
        let memory_left = share(left.memory_mib, capacity.memory_mib);
        let loss = interference.map_or(0.0, |interference| {
            interference.joining_loss(request.kind, request.requested.cpu_millis, slot)
        });
        let mut cost = INTERFERENCE_WEIGHT * loss / capacity.cpu_millis.max(1) as f64
            + IMBALANCE_WEIGHT * (cpu_left - memory_left).abs()
            + LEFTOVER_WEIGHT * cpu_left.max(memory_left);
        if request.spread {
            let count = self.spread_count(request.kind, slot.profile().rack);
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

    /// Rarely the second best, where both it and its worker have slack.
    fn explore(&mut self, pool: &WorkerPool) -> Option<WorkerKey> {
        let second = *self.candidates.get(1)?;
        if !self.rng.next_u32().is_multiple_of(EXPLORE_ONE_IN) {
            return None;
        }
        let slack = pool.slot(second.worker).cpu_load() < EXPLORE_LOAD_MAX;
        slack.then_some(second.worker)
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
