//! The workers of a shard with their capacity and reservations.

use crate::free_index::FreeIndex;
use crate::key::ArenaKey;
use crate::key::DomainKey;
use crate::key::KindKey;
use crate::key::RackKey;
use crate::key::TaskKey;
use crate::key::TeamKey;
use crate::key::WorkerKey;
use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::urgency::TaskUrgency;

/// CPU limit of an unthrottled attempt, in thousandths of its granted processor time.
pub const FULL_SPEED_PERMILLE: u32 = 1_000;

/// Capacity and location of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerProfile {
    /// Total resources of the worker.
    pub capacity: ResourceVector,
    /// Rack that the worker is in.
    pub rack: RackKey,
    /// Failure domain that the worker is in.
    pub domain: DomainKey,
}

/// Whether a worker may get tasks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerStatus {
    /// The worker gets tasks.
    Open,
    /// The worker gets one task at a time, to test whether it has recovered.
    Probing,
    /// The worker gets no tasks, since attempts on it kept failing.
    Quarantined,
    /// The worker gets no tasks, since it leaves soon or can't be reached.
    Leaving,
    /// The worker has left; final.
    Gone,
}

/// An attempt with a reservation on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningAttempt {
    /// Task that the attempt runs; holds at most one reservation on a worker.
    pub task: TaskKey,
    /// Number of the attempt; distinguishes attempts of the same task.
    pub attempt: u64,
    /// Kind of the task.
    pub kind: KindKey,
    /// Team whose quota the task uses.
    pub team: TeamKey,
    /// Urgency of the task, from its kind.
    pub urgency: TaskUrgency,
    /// Resources that the attempt may use.
    pub granted: ResourceVector,
    /// Resources reserved on the worker; at least `granted`.
    pub reserved: ResourceVector,
    /// When the attempt started.
    pub started_at: TimePoint,
    /// When its last complete checkpoint was taken; the start before the first.
    pub checkpointed_at: TimePoint,
    /// Number of earlier evictions of the task.
    pub evictions: u32,
    /// CPU limit in thousandths of the granted processor time; see [`FULL_SPEED_PERMILLE`].
    pub cpu_permille: u32,
    /// Which parts of its size the size estimate has already taken in.
    pub learned: LearnedSize,
}

/// The resources whose use by an attempt the size estimate has taken in.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LearnedSize {
    /// Processor time was taken in.
    pub cpu: bool,
    /// Memory was taken in.
    pub memory: bool,
}

/// Entry of the pool: a worker with its reservations.
#[derive(Clone, Debug)]
pub struct PoolWorker {
    profile: WorkerProfile,
    status: WorkerStatus,
    reserved: ResourceVector,
    /// Sorted by task.
    attempts: Vec<RunningAttempt>,
}

/// Outcome of a request to reserve resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReserveOutcome {
    /// The resources are reserved.
    Reserved,
    /// The worker has too little free capacity.
    NoRoom,
    /// Of [`WorkerPool::reserve`]: the worker's status allows no task. Of [`WorkerPool::raise`]:
    /// the task has no reservation on the worker.
    Closed,
    /// The task already holds a reservation on this worker.
    AlreadyReserved,
}

/// The workers of a shard, indexed by free capacity.
#[derive(Clone, Debug, Default)]
pub struct WorkerPool {
    workers: Vec<PoolWorker>,
    plain_index: FreeIndex,
    accelerator_index: FreeIndex,
    /// Sum over the open and probing workers.
    open_capacity: ResourceVector,
    /// Maximum of each resource over the workers that are not gone.
    largest: ResourceVector,
}

impl PoolWorker {
    /// Capacity and location of the worker.
    pub const fn profile(&self) -> &WorkerProfile {
        &self.profile
    }

    /// Present status; see [`WorkerPool::set_status`].
    pub const fn status(&self) -> WorkerStatus {
        self.status
    }

    /// Sum of all reservations.
    pub const fn reserved(&self) -> ResourceVector {
        self.reserved
    }

    /// Capacity that is not reserved.
    pub const fn free(&self) -> ResourceVector {
        self.profile.capacity.saturating_sub(self.reserved)
    }

    /// The attempts with a reservation, sorted by task.
    pub fn attempts(&self) -> &[RunningAttempt] {
        &self.attempts
    }

    /// The attempt of `task`, if it holds a reservation here.
    pub fn attempt(&self, task: TaskKey) -> Option<&RunningAttempt> {
        self.position(task)
            .ok()
            .map(|position| &self.attempts[position])
    }

    /// The share of the processor time that is reserved, from 0 to 1.
    pub fn cpu_load(&self) -> f64 {
        self.reserved.cpu_millis as f64 / self.profile.capacity.cpu_millis.max(1) as f64
    }

    fn position(&self, task: TaskKey) -> Result<usize, usize> {
        self.attempts
            .binary_search_by_key(&task, |attempt| attempt.task)
    }

    fn accepts_tasks(&self) -> bool {
        match self.status {
            WorkerStatus::Open => true,
            WorkerStatus::Probing => self.attempts.is_empty(),
            WorkerStatus::Quarantined | WorkerStatus::Leaving | WorkerStatus::Gone => false,
        }
    }
}

impl WorkerPool {
    /// An empty pool.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a worker with status [`WorkerStatus::Open`] and returns its key.
    pub fn add(&mut self, profile: WorkerProfile) -> WorkerKey {
        let worker = WorkerKey::from_index(self.workers.len());
        self.workers.push(PoolWorker {
            profile,
            status: WorkerStatus::Open,
            reserved: ResourceVector::ZERO,
            attempts: Vec::new(),
        });
        self.update_index(worker);
        self.update_capacity();
        worker
    }

    /// Number of workers ever added, gone ones included.
    pub fn len(&self) -> usize {
        self.workers.len()
    }

    /// Whether no worker was added.
    pub fn is_empty(&self) -> bool {
        self.workers.is_empty()
    }

    /// Keys of all workers ever added.
    pub fn keys(&self) -> impl Iterator<Item = WorkerKey> + use<> {
        (0..self.workers.len()).map(WorkerKey::from_index)
    }

    /// The entry of a worker.
    ///
    /// # Panics
    ///
    /// If the key belongs to another pool.
    pub fn worker(&self, worker: WorkerKey) -> &PoolWorker {
        &self.workers[worker.index()]
    }

    /// Sets the status of a worker; [`WorkerStatus::Gone`] is final.
    pub fn set_status(&mut self, worker: WorkerKey, status: WorkerStatus) {
        let entry = &mut self.workers[worker.index()];
        if entry.status == WorkerStatus::Gone {
            return;
        }
        entry.status = status;
        self.update_index(worker);
        self.update_capacity();
    }

    /// Replaces the profile of a worker, for example once the VM list states its capacity.
    pub fn set_profile(&mut self, worker: WorkerKey, profile: WorkerProfile) {
        let entry = &mut self.workers[worker.index()];
        self.plain_index.remove(worker);
        self.accelerator_index.remove(worker);
        entry.profile = profile;
        self.update_index(worker);
        self.update_capacity();
    }

    /// Reserves resources for a new attempt, within the worker's free capacity.
    pub fn reserve(&mut self, worker: WorkerKey, attempt: RunningAttempt) -> ReserveOutcome {
        let entry = &self.workers[worker.index()];
        let reserved = attempt.reserved.max(attempt.granted);
        if entry.attempt(attempt.task).is_some() {
            return ReserveOutcome::AlreadyReserved;
        }
        if !entry.accepts_tasks() {
            return ReserveOutcome::Closed;
        }
        if !reserved.fits(entry.free()) {
            return ReserveOutcome::NoRoom;
        }
        self.adopt(worker, attempt);
        ReserveOutcome::Reserved
    }

    /// Records an attempt that already runs on the worker, regardless of status and capacity.
    /// Replaces an earlier reservation of the same task.
    pub fn adopt(&mut self, worker: WorkerKey, mut attempt: RunningAttempt) {
        attempt.reserved = attempt.reserved.max(attempt.granted);
        let entry = &mut self.workers[worker.index()];
        match entry.position(attempt.task) {
            Ok(position) => {
                entry.reserved = entry
                    .reserved
                    .saturating_sub(entry.attempts[position].reserved)
                    + attempt.reserved;
                entry.attempts[position] = attempt;
            }
            Err(position) => {
                entry.reserved = entry.reserved + attempt.reserved;
                entry.attempts.insert(position, attempt);
            }
        }
        self.update_index(worker);
    }

    /// Removes the reservation of an attempt and returns it; none if another attempt of the task or
    /// none holds it.
    pub fn free(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        attempt: u64,
    ) -> Option<RunningAttempt> {
        let entry = &mut self.workers[worker.index()];
        let position = entry.position(task).ok()?;
        if entry.attempts[position].attempt != attempt {
            return None;
        }
        let ended = entry.attempts.remove(position);
        entry.reserved = entry.reserved.saturating_sub(ended.reserved);
        self.update_index(worker);
        Some(ended)
    }

    /// Raises the reservation of a running attempt to at least `reserved`, within the free
    /// capacity.
    pub fn raise(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        reserved: ResourceVector,
    ) -> ReserveOutcome {
        let entry = &mut self.workers[worker.index()];
        let Ok(position) = entry.position(task) else {
            return ReserveOutcome::Closed;
        };
        let raised = entry.attempts[position].reserved.max(reserved);
        let added = raised.saturating_sub(entry.attempts[position].reserved);
        if !added.fits(entry.free()) {
            return ReserveOutcome::NoRoom;
        }
        entry.attempts[position].reserved = raised;
        entry.reserved = entry.reserved + added;
        self.update_index(worker);
        ReserveOutcome::Reserved
    }

    /// Records that an attempt took a complete checkpoint at `at`; an older time has no effect.
    pub fn note_checkpoint(&mut self, worker: WorkerKey, task: TaskKey, at: TimePoint) {
        let entry = &mut self.workers[worker.index()];
        if let Ok(position) = entry.position(task) {
            let attempt = &mut entry.attempts[position];
            attempt.checkpointed_at = attempt.checkpointed_at.max(at);
        }
    }

    /// Records the CPU limit that an attempt was set to, in thousandths.
    pub fn note_throttle(&mut self, worker: WorkerKey, task: TaskKey, cpu_permille: u32) {
        let entry = &mut self.workers[worker.index()];
        if let Ok(position) = entry.position(task) {
            entry.attempts[position].cpu_permille = cpu_permille;
        }
    }

    /// Records which parts of an attempt's size the size estimate has taken in.
    pub fn note_learned(&mut self, worker: WorkerKey, task: TaskKey, learned: LearnedSize) {
        let entry = &mut self.workers[worker.index()];
        if let Ok(position) = entry.position(task) {
            entry.attempts[position].learned = learned;
        }
    }

    /// Total capacity of the open and probing workers.
    pub const fn open_capacity(&self) -> ResourceVector {
        self.open_capacity
    }

    /// Largest capacity for each resource by itself, over the workers that are not gone.
    pub const fn largest(&self) -> ResourceVector {
        self.largest
    }

    /// Whether `wanted` fits on some worker that is not gone, if nothing else is reserved there.
    pub fn could_ever_fit(&self, wanted: ResourceVector) -> bool {
        wanted.fits(self.largest)
            && self.workers.iter().any(|entry| {
                entry.status != WorkerStatus::Gone && wanted.fits(entry.profile.capacity)
            })
    }

    /// Workers without accelerators that may get a task now, by free capacity.
    pub const fn plain_index(&self) -> &FreeIndex {
        &self.plain_index
    }

    /// Workers with accelerators that may get a task now, by free capacity.
    pub const fn accelerator_index(&self) -> &FreeIndex {
        &self.accelerator_index
    }

    /// Memory use of the pool in bytes, for the state dump.
    pub fn memory_bytes(&self) -> usize {
        let attempts: usize = self
            .workers
            .iter()
            .map(|entry| entry.attempts.capacity() * size_of::<RunningAttempt>())
            .sum();
        attempts
            + self.workers.capacity() * size_of::<PoolWorker>()
            + self.plain_index.memory_bytes()
            + self.accelerator_index.memory_bytes()
    }

    fn update_index(&mut self, worker: WorkerKey) {
        let entry = &self.workers[worker.index()];
        let index = if entry.profile.capacity.accelerators > 0 {
            &mut self.accelerator_index
        } else {
            &mut self.plain_index
        };
        if entry.accepts_tasks() {
            index.set(worker, entry.free());
        } else {
            index.remove(worker);
        }
    }

    fn update_capacity(&mut self) {
        self.open_capacity = ResourceVector::ZERO;
        self.largest = ResourceVector::ZERO;
        for entry in &self.workers {
            if entry.status == WorkerStatus::Gone {
                continue;
            }
            self.largest = self.largest.max(entry.profile.capacity);
            if matches!(entry.status, WorkerStatus::Open | WorkerStatus::Probing) {
                self.open_capacity = self.open_capacity + entry.profile.capacity;
            }
        }
    }
}
