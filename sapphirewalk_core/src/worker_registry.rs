//! The workers of a coordinator: their capacity, tasks, leases and state of contact.

use std::net;

use crate::demand_summary::DemandSummary;
use crate::image_interference::ImageKey;
use crate::job_registry::JobSlot;
use crate::job_registry::TaskSlot;
use crate::job_spec::StepSpec;
use crate::load_cycle::LoadForecast;
use crate::resource::ResourceVector;
use crate::tail_violation::TailViolation;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Share of its processor demand that a service task is assumed to use.
pub const SERVICE_LOAD: f64 = 0.5;
/// Share of a worker's processor by which demands of best-effort tasks may exceed what is expected
/// to be unused. Beyond it they hold memory for longer without completing more work.
const MAX_OVERCOMMIT: f64 = 0.05;

/// Most time that may pass for each unit of time on a worker's clock; the platform guarantees it.
pub const SLOW_CLOCK_FACTOR: f64 = 1.02;
/// Added to the end of a lease before it counts as expired; covers the granularity of clocks.
pub const LEASE_MARGIN: TimeSpan = TimeSpan::from_millis(50);

/// Speed limit of an unthrottled best-effort task, in percent of full speed.
pub const FULL_PACE: u32 = 100;

/// Most done runs of a worker that are kept as evidence of its speed.
const MAX_DONE_RUNS: usize = 8;

/// Index of a worker in a [`WorkerRegistry`]; never reused.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerSlot(pub u32);

/// A worker's entry in the platform's list of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerListing {
    /// Identifier that the platform assigns; stays the same across incarnations.
    pub id: String,
    /// Name of the pool that the worker belongs to.
    pub pool: String,
    /// Address for polls and orders; port 0 before the worker was listed.
    pub address: net::SocketAddr,
    /// Name of the worker's failure domain.
    pub domain: String,
    /// Name of the worker's rack.
    pub rack: String,
    /// Labels that a step can require.
    pub labels: Vec<String>,
    /// Total resources of the worker.
    pub capacity: ResourceVector,
    /// The worker leaves soon and takes no new tasks.
    pub draining: bool,
    /// Least time until a draining worker leaves; zero for any other.
    pub leaves_in: TimeSpan,
    /// Start of the worker's incarnation in Unix ms; 0 where the list doesn't state it.
    pub born_ms: u64,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// The worker's clock in ms at some time before the answer arrived.
    pub worker_ms: u64,
    /// When the answer with the reading arrived, on the coordinator's clock.
    pub at: TimePoint,
}

/// A measurement of a task, from its worker's last answer to a poll.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskGauge {
    /// The measured task.
    pub slot: TaskSlot,
    /// Tail latency in ms for a service task; processor use in thousandths of a core for others.
    pub value: f64,
}

/// A run that was done on a worker, as evidence of the worker's speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DoneRun {
    /// Task of the run.
    pub slot: TaskSlot,
    /// When the run began.
    pub begun_at: TimePoint,
    /// Speed in whole runs per second.
    pub speed: f64,
}

/// An end that is handled and whose job's progress is not written yet.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct UnwrittenEnd {
    /// Number of the end on its worker.
    pub number: u64,
    /// Job of the run that ended.
    pub job: JobSlot,
}

/// When a worker stopped answering.
#[derive(Clone, Copy, Debug)]
pub struct WorkerLoss {
    /// When the first poll without a valid answer ended.
    pub at: TimePoint,
    /// The run of a task on trial had just started there, and may be the cause.
    pub during_trial: bool,
}

/// Scheduling state of one worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// The last entry in the platform's list; kept while the worker is not listed.
    pub listing: WorkerListing,
    /// The platform's latest list contains the worker.
    pub listed: bool,
    /// An operator asks that nothing starts in the worker's failure domain.
    pub evacuated: bool,
    /// Start of the incarnation that answered last, in Unix ms; 0 before the first answer.
    pub born_ms: u64,
    /// Number of incarnations that ended under this coordinator; part of the fencing token.
    pub ended_incarnations: u64,
    /// When an answer showed that the worker may have restarted since its last list; none if none
    /// has, or a list that was requested later has arrived.
    pub restart_suspected_at: Option<TimePoint>,
    /// The worker answered a poll that carried this coordinator's fencing token.
    pub fence_confirmed: bool,
    /// Highest clock reading in any answer of the present incarnation, in ms on the worker's clock.
    pub alive_ms: u64,
    /// The last reading of the worker's clock; none before an answer of the present incarnation.
    pub clock: Option<ClockReading>,
    /// Latest lease deadline sent by this coordinator, in ms on the worker's clock.
    pub lease_end_ms: u64,
    /// Latest possible end of leases granted by a former coordinator.
    pub former_leases_until: TimePoint,
    /// Latest possible end of leases that the present incarnation took from calls for an earlier one,
    /// which may be carried out seconds late.
    pub late_leases_until: TimePoint,
    /// Tasks placed on the worker; sorted.
    pub tasks: Vec<TaskSlot>,
    /// A task that may crash the worker. Nothing else starts here while its run is new.
    pub trial: Option<TaskSlot>,
    /// Sum of the resources reserved for `tasks`.
    pub used: ResourceVector,
    /// Resources of runs that the worker last listed and that belong to no task placed here: they
    /// are being stopped, and keep their resources until then.
    pub unowned: ResourceVector,
    /// Demands of `tasks`, summed by kind and image.
    pub demands: DemandSummary,
    /// Highest number of an ended run that the worker listed and this coordinator handled.
    pub handled_end: u64,
    /// Highest number of an ended run that is committed or affects no stored job; the worker may
    /// discard ends up to here.
    pub acked_end: u64,
    /// Handled ends whose jobs had unwritten progress when the last batch was assembled, and those
    /// handled since; sorted by number.
    pub unwritten_ends: Vec<UnwrittenEnd>,
    /// A poll is in flight.
    pub polling: bool,
    /// When the last poll was sent.
    pub polled_at: TimePoint,
    /// The last answer to a poll listed all ends that aren't acknowledged.
    pub lists_all_ends: bool,
    /// Longest time for which the worker may delay its answer to the last poll.
    pub poll_wait: TimeSpan,
    /// Earliest time of the next poll.
    pub next_poll: TimePoint,
    /// When the worker last answered a poll.
    pub answered_at: TimePoint,
    /// Number of polls without a valid answer since the last valid one.
    pub failed_polls: u32,
    /// The last time that the worker stopped answering; none before.
    pub loss: Option<WorkerLoss>,
    /// Since when another worker answers at the address; none if none does.
    pub replaced_since: Option<TimePoint>,
    /// The stored list of silent workers contains the worker, or a pending write adds it. It gets
    /// no leases until a committed write removes it: a successor relies on the stored end of its
    /// leases.
    pub recorded_silent: bool,
    /// The worker gets no new tasks before this time.
    pub quarantined_until: TimePoint,
    /// Number of failed runs since the last run that was done, or since a time without failures.
    pub failures: u32,
    /// When a run last failed there.
    pub failed_at: TimePoint,
    /// Since when slow tasks are left to finish there, and no others crawl; none if there are none.
    pub slow_since: Option<TimePoint>,
    /// The last runs that were done there, at most 8, oldest first.
    pub done_runs: Vec<DoneRun>,
    /// Measurements of the worker's tasks from its last answer.
    pub gauges: Vec<TaskGauge>,
    /// How long the tail latencies of the worker's service tasks have been over their targets.
    pub violation: TailViolation,
    /// Best-effort tasks have been evicted during the present violation, and no new ones are placed
    /// here until it is over.
    pub closed_to_best_effort: bool,
    /// Highest load forecast among the worker's service tasks of each image; sorted.
    pub load_forecasts: Vec<(ImageKey, LoadForecast)>,
}

/// Interned name of a pool, as an index into one [`WorkerRegistry`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PoolKey(u32);

/// What a worker can still take.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerRoom {
    pool: PoolKey,
    /// The worker's failure domain is to be evacuated, so its room is not for use.
    evacuated: bool,
    /// Capacity that is not reserved.
    free: ResourceVector,
    /// Processor demand in thousandths of a core that best-effort tasks may still add.
    best_effort_cpu_millis: u64,
}

/// What a task requires of its worker.
#[derive(Clone, Copy, Debug)]
pub struct RoomRequest {
    /// Pool of the worker.
    pub pool: PoolKey,
    /// Resources to reserve.
    pub demand: ResourceVector,
    /// Processor demand of a best-effort task in thousandths of a core that must be expected to be
    /// left over; 0 for other tasks.
    pub best_effort_cpu_millis: u64,
}

/// Workers by slot and by identifier; none is ever removed.
#[derive(Debug, Default)]
pub struct WorkerRegistry {
    entries: Vec<WorkerEntry>,
    /// Room of each worker. Each placement scans it, so it is kept apart from the entries.
    rooms: Vec<WorkerRoom>,
    /// Names of the pools; [`PoolKey`] is an index.
    pools: Vec<String>,
    /// Sorted by identifier.
    by_id: Vec<(String, WorkerSlot)>,
}

impl WorkerEntry {
    fn new(listing: WorkerListing) -> Self {
        Self {
            listing,
            listed: false,
            evacuated: false,
            born_ms: 0,
            ended_incarnations: 0,
            restart_suspected_at: None,
            fence_confirmed: false,
            alive_ms: 0,
            clock: None,
            lease_end_ms: 0,
            former_leases_until: TimePoint::EPOCH,
            late_leases_until: TimePoint::EPOCH,
            tasks: Vec::new(),
            trial: None,
            used: ResourceVector::ZERO,
            unowned: ResourceVector::ZERO,
            demands: DemandSummary::default(),
            handled_end: 0,
            acked_end: 0,
            unwritten_ends: Vec::new(),
            polling: false,
            polled_at: TimePoint::EPOCH,
            lists_all_ends: true,
            poll_wait: TimeSpan::ZERO,
            next_poll: TimePoint::EPOCH,
            answered_at: TimePoint::EPOCH,
            failed_polls: 0,
            loss: None,
            replaced_since: None,
            recorded_silent: false,
            quarantined_until: TimePoint::EPOCH,
            failures: 0,
            failed_at: TimePoint::EPOCH,
            slow_since: None,
            done_runs: Vec::new(),
            gauges: Vec::new(),
            violation: TailViolation::default(),
            closed_to_best_effort: false,
            load_forecasts: Vec::new(),
        }
    }

    /// Lower bound of the worker's clock at `now` in ms; none without a reading.
    pub fn clock_at(&self, now: TimePoint) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.worker_ms + now.since(reading.at).as_millis())
    }

    /// The worker's clock at a time before or after its last reading; none without a reading.
    pub fn clock_then(&self, at: TimePoint) -> Option<u64> {
        let reading = self.clock?;
        let clock_ms = self.clock_at(at)?;
        Some(clock_ms.saturating_sub(reading.at.since(at).as_millis()))
    }

    /// Records the clock reading in the answer to an order. The incarnation that listed its runs last
    /// can't have been behind its clock at the time when the order was sent.
    pub fn observe_clock(&mut self, clock_ms: u64, sent_at: TimePoint, now: TimePoint) {
        let listed_ms = self.clock.map(|reading| reading.worker_ms);
        let least_ms = self.clock_then(sent_at).min(listed_ms);
        if least_ms.is_some_and(|least_ms| clock_ms < least_ms) {
            self.restart_suspected_at = Some(now);
        }
    }

    /// When every lease on the worker has expired, whoever granted it and however slow its clock.
    pub fn leases_expired_at(&self) -> TimePoint {
        let other_leases = self.former_leases_until.max(self.late_leases_until);
        let own_leases = self.own_leases_expired_at();
        own_leases.map_or(other_leases, |own_leases| own_leases.max(other_leases))
    }

    /// When every lease that this coordinator granted has expired; none before an answer of the
    /// present incarnation.
    pub fn own_leases_expired_at(&self) -> Option<TimePoint> {
        let reading = self.clock?;
        let left = TimeSpan::from_millis(self.lease_end_ms.saturating_sub(reading.worker_ms));
        Some(reading.at + left.scale(SLOW_CLOCK_FACTOR) + LEASE_MARGIN)
    }

    /// Resources that tasks reserve, and those of runs that are being stopped.
    pub fn claimed(&self) -> ResourceVector {
        self.used + self.unowned
    }

    /// Capacity that is not claimed.
    pub fn free(&self) -> ResourceVector {
        self.listing.capacity.saturating_sub(self.claimed())
    }

    /// Whether more is claimed than the worker has, because its capacity has shrunk.
    pub fn is_over_capacity(&self) -> bool {
        !self.claimed().fits(self.listing.capacity)
    }

    /// Processor demand in thousandths of a core that best-effort tasks may still add.
    pub fn best_effort_cpu_millis(&self) -> u64 {
        let capacity = self.listing.capacity.cpu_millis as f64 * (1.0 + MAX_OVERCOMMIT);
        let service = self.demands.service_cpu_millis as f64 * SERVICE_LOAD;
        (capacity - service - self.demands.other_cpu_millis as f64).max(0.0) as u64
    }

    /// Whether the worker may get new tasks; `silence` is the longest time since its last answer.
    pub fn is_usable(&self, now: TimePoint, silence: TimeSpan) -> bool {
        self.listed
            && self.fence_confirmed
            && self.failed_polls == 0
            && !self.recorded_silent
            && !self.listing.draining
            && !self.evacuated
            && now >= self.quarantined_until
            && now.since(self.answered_at) <= silence
    }

    /// Whether the worker counts as silent and gets no leases: it doesn't answer polls, or a former
    /// coordinator recorded it as silent and it has not answered this one.
    pub const fn is_silent(&self) -> bool {
        self.failed_polls > 0 || (self.recorded_silent && !self.fence_confirmed)
    }

    /// Whether the worker is to be polled: it has an address, and is listed or has tasks.
    pub fn needs_polling(&self) -> bool {
        (self.listed || !self.tasks.is_empty()) && self.known_address().is_some()
    }

    /// Address of the worker; none if it was never listed and no record contains it.
    pub fn known_address(&self) -> Option<net::SocketAddr> {
        let address = self.listing.address;
        (address.port() != 0).then_some(address)
    }

    /// The highest load forecast among the worker's service tasks of an image; the average load, 0,
    /// without samples.
    pub fn load_forecast(&self, image: ImageKey) -> LoadForecast {
        let found = self
            .load_forecasts
            .binary_search_by_key(&image, |(known, _)| *known);
        found.map_or(LoadForecast::steady(0.0), |place| {
            self.load_forecasts[place].1
        })
    }

    /// Keeps a run that was done on the worker as evidence of its speed.
    pub fn record_done(&mut self, run: DoneRun) {
        if self.done_runs.len() >= MAX_DONE_RUNS {
            self.done_runs.remove(0);
        }
        self.done_runs.push(run);
    }

    /// Whether the worker has a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.listing.labels.iter().any(|known| known == label)
    }

    /// Places a task on the worker and reserves its demand; does nothing if it is there already.
    fn add_task(&mut self, slot: TaskSlot, step: &StepSpec, image: ImageKey) {
        if let Err(place) = self.tasks.binary_search(&slot) {
            self.tasks.insert(place, slot);
            self.used = self.used + reserved_demand(step);
            self.demands.add(step, image);
        }
    }

    /// Removes a task from the worker and frees its demand; does nothing if it is not there.
    fn remove_task(&mut self, slot: TaskSlot, step: &StepSpec, image: ImageKey) {
        if let Ok(place) = self.tasks.binary_search(&slot) {
            self.tasks.remove(place);
            self.trial = self.trial.filter(|trial| *trial != slot);
            self.used = self.used.saturating_sub(reserved_demand(step));
            self.demands.remove(step, image);
            self.gauges.retain(|gauge| gauge.slot != slot);
        }
    }
}

/// The number of `tasks`, sorted, among the `count` tasks from `first` of the same occurrence.
pub fn tasks_within(tasks: &[TaskSlot], first: TaskSlot, count: u32) -> usize {
    let end = TaskSlot {
        task: first.task.saturating_add(count),
        ..first
    };
    let from = tasks.partition_point(|slot| *slot < first);
    tasks[from..].partition_point(|slot| *slot < end)
}

/// The resources that a task of the step reserves on its worker: for best-effort tasks no
/// processor time.
pub fn reserved_demand(step: &StepSpec) -> ResourceVector {
    let mut demand = step.demand;
    if step.best_effort {
        demand.cpu_millis = 0;
    }
    demand
}

impl WorkerRoom {
    fn fits(&self, request: RoomRequest) -> bool {
        self.pool == request.pool
            && !self.evacuated
            && request.demand.fits(self.free)
            && request.best_effort_cpu_millis <= self.best_effort_cpu_millis
    }
}

impl WorkerRegistry {
    /// The slot of a worker; an unknown worker is added, unlisted and without capacity.
    pub fn intern(&mut self, id: &str) -> WorkerSlot {
        match self
            .by_id
            .binary_search_by(|(known, _)| known.as_str().cmp(id))
        {
            Ok(found) => self.by_id[found].1,
            Err(place) => {
                let slot = WorkerSlot(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
                self.entries.push(WorkerEntry::new(WorkerListing {
                    id: id.to_owned(),
                    pool: String::new(),
                    address: net::SocketAddr::from(([0, 0, 0, 0], 0)),
                    domain: String::new(),
                    rack: String::new(),
                    labels: Vec::new(),
                    capacity: ResourceVector::ZERO,
                    draining: false,
                    leaves_in: TimeSpan::ZERO,
                    born_ms: 0,
                }));
                self.rooms.push(WorkerRoom::default());
                self.by_id.insert(place, (id.to_owned(), slot));
                slot
            }
        }
    }

    /// Number of workers, unlisted ones included.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the registry holds no worker.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The worker in a slot.
    pub fn get(&self, slot: WorkerSlot) -> &WorkerEntry {
        &self.entries[slot.0 as usize]
    }

    /// Mutable variant of [`Self::get`].
    pub fn get_mut(&mut self, slot: WorkerSlot) -> &mut WorkerEntry {
        &mut self.entries[slot.0 as usize]
    }

    /// Replaces a worker's entry in the platform's list.
    pub fn set_listing(&mut self, slot: WorkerSlot, listing: WorkerListing) {
        let pool = self.intern_pool(&listing.pool);
        self.rooms[slot.0 as usize].pool = pool;
        self.get_mut(slot).listing = listing;
        self.update_room(slot);
    }

    /// Sets whether a worker's failure domain is to be evacuated.
    pub fn set_evacuated(&mut self, slot: WorkerSlot, evacuated: bool) {
        self.get_mut(slot).evacuated = evacuated;
        self.rooms[slot.0 as usize].evacuated = evacuated;
    }

    /// The key of a pool; an unknown name gets a new one.
    pub fn intern_pool(&mut self, name: &str) -> PoolKey {
        let found = self.pools.iter().position(|known| known == name);
        let place = found.unwrap_or_else(|| {
            self.pools.push(name.to_owned());
            self.pools.len() - 1
        });
        PoolKey(u32::try_from(place).unwrap_or(u32::MAX))
    }

    /// The pool of a worker.
    pub fn pool(&self, slot: WorkerSlot) -> PoolKey {
        self.rooms[slot.0 as usize].pool
    }

    /// Places a task on a worker and reserves its demand; does nothing if it is there already.
    pub fn add_task(
        &mut self,
        worker: WorkerSlot,
        slot: TaskSlot,
        step: &StepSpec,
        image: ImageKey,
    ) {
        self.get_mut(worker).add_task(slot, step, image);
        self.update_room(worker);
    }

    /// Removes a task from a worker and frees its demand; does nothing if it is not there.
    pub fn remove_task(
        &mut self,
        worker: WorkerSlot,
        slot: TaskSlot,
        step: &StepSpec,
        image: ImageKey,
    ) {
        self.get_mut(worker).remove_task(slot, step, image);
        self.update_room(worker);
    }

    /// Sets the resources of the runs on a worker that are being stopped and belong to no task.
    pub fn set_unowned(&mut self, worker: WorkerSlot, unowned: ResourceVector) {
        self.get_mut(worker).unowned = unowned;
        self.update_room(worker);
    }

    /// The workers that have room for a task, in order of their slots.
    pub fn with_room(&self, request: RoomRequest) -> impl Iterator<Item = WorkerSlot> {
        self.rooms
            .iter()
            .zip(0u32..)
            .filter(move |(room, _)| room.fits(request))
            .map(|(_, slot)| WorkerSlot(slot))
    }

    /// Like [`Self::with_room`], starting with a worker and wrapping around after the last one.
    pub fn with_room_from(
        &self,
        first: WorkerSlot,
        request: RoomRequest,
    ) -> impl Iterator<Item = WorkerSlot> {
        let split = (first.0 as usize).min(self.rooms.len());
        let rooms = self.rooms.iter().zip(0u32..);
        let (before, from) = (rooms.clone().take(split), rooms.skip(split));
        from.chain(before)
            .filter(move |(room, _)| room.fits(request))
            .map(|(_, slot)| WorkerSlot(slot))
    }

    fn update_room(&mut self, slot: WorkerSlot) {
        let entry = self.get(slot);
        let (free, best_effort_cpu_millis) = (entry.free(), entry.best_effort_cpu_millis());
        let room = &mut self.rooms[slot.0 as usize];
        room.free = free;
        room.best_effort_cpu_millis = best_effort_cpu_millis;
    }

    /// All workers in order of their slots.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerSlot, &WorkerEntry)> {
        self.entries
            .iter()
            .zip(0u32..)
            .map(|(entry, slot)| (WorkerSlot(slot), entry))
    }

    /// The slots of all workers, without a borrow of the registry.
    pub fn slots(&self) -> impl Iterator<Item = WorkerSlot> + use<> {
        (0..u32::try_from(self.entries.len()).unwrap_or(u32::MAX)).map(WorkerSlot)
    }
}
