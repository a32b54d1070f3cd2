//! The workers that a coordinator knows: what they have, what runs there, and until when.

use std::net;

use crate::claim_summary::ClaimSummary;
use crate::image_interference::ImageKey;
use crate::job_registry::TaskSlot;
use crate::job_spec::StepSpec;
use crate::resource::ResourceVector;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Workers' clocks may run this much slow, as the platform states.
pub const SLOW_CLOCK_FACTOR: f64 = 1.02;
/// Added to the end of a lease before it counts as over, for the granularity of clocks.
const LEASE_MARGIN: TimeSpan = TimeSpan::from_millis(50);

/// A best-effort task's share of its processor time when nothing holds it back, in percent.
pub const FULL_PACE: u32 = 100;

/// A worker in the arena.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct WorkerSlot(pub u32);

/// What the platform's list says of a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerReport {
    /// The worker's identifier.
    pub id: String,
    /// The pool.
    pub pool: String,
    /// Where it takes orders.
    pub address: net::SocketAddr,
    /// The failure domain.
    pub domain: String,
    /// The rack.
    pub rack: String,
    /// All labels.
    pub labels: Vec<String>,
    /// What it has.
    pub capacity: ResourceVector,
    /// It is about to leave.
    pub draining: bool,
    /// The least time until it leaves; zero unless it is about to.
    pub leaves_in: TimeSpan,
    /// When this incarnation of it began, in Unix ms; 0 when it doesn't say.
    pub born_ms: u64,
}

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ClockReading {
    /// The worker's clock in ms.
    pub worker_ms: u64,
    /// When the answer that held it came.
    pub at: TimePoint,
}

/// A service task's tail, or another task's processor use, as its worker last said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TaskGauge {
    /// The task.
    pub slot: TaskSlot,
    /// Milliseconds for a service task, thousandths of a core for any other.
    pub value: f64,
}

/// One worker.
#[derive(Clone, Debug)]
pub struct WorkerEntry {
    /// What the platform's list said last.
    pub report: WorkerReport,
    /// It stands in the list.
    pub listed: bool,
    /// The incarnation that answered last, in Unix ms; 0 before the first answer.
    pub born_ms: u64,
    /// Incarnations that were seen to end.
    pub ended_incarnations: u64,
    /// It has answered a poll under the present fencing token.
    pub fence_confirmed: bool,
    /// The last reading of its clock.
    pub clock: Option<ClockReading>,
    /// The latest deadline given, on the worker's clock.
    pub lease_end_ms: u64,
    /// The latest end of leases that a former coordinator may have given.
    pub former_leases_until: TimePoint,
    /// Tasks placed there, sorted.
    pub tasks: Vec<TaskSlot>,
    /// What these take.
    pub used: ResourceVector,
    /// What these claim, by kind and image.
    pub claims: ClaimSummary,
    /// The highest end listed and handled.
    pub handled_end: u64,
    /// The highest end that is committed and may be forgotten by the worker.
    pub acked_end: u64,
    /// A poll is on its way.
    pub polling: bool,
    /// No look before then.
    pub next_poll: TimePoint,
    /// When it last answered anything.
    pub answered_at: TimePoint,
    /// Answers missing in a row.
    pub failed_polls: u32,
    /// Since when its address is answered by another worker.
    pub replaced_since: Option<TimePoint>,
    /// The record names it as silent, or is about to: a successor counts on it that no lease is
    /// given before the record says otherwise.
    pub recorded_silent: bool,
    /// Gets no new tasks until then.
    pub quarantined_until: TimePoint,
    /// Runs that failed in a row, with none done between.
    pub failures: u32,
    /// What its tasks last showed.
    pub gauges: Vec<TaskGauge>,
    /// When these were last learned from.
    pub sampled_at: TimePoint,
    /// Since when some tail there is over its target.
    pub violating_since: Option<TimePoint>,
    /// Its best-effort tasks are being taken off: none joins it.
    pub closed_to_best_effort: bool,
    /// The highest outlook of the load of the service tasks of each image there; sorted.
    pub load_forecasts: Vec<(ImageKey, f64)>,
}

/// The workers, by slot and by identifier.
#[derive(Debug, Default)]
pub struct WorkerRegistry {
    entries: Vec<WorkerEntry>,
    by_id: Vec<(String, WorkerSlot)>,
}

impl WorkerEntry {
    fn new(report: WorkerReport) -> Self {
        Self {
            report,
            listed: false,
            born_ms: 0,
            ended_incarnations: 0,
            fence_confirmed: false,
            clock: None,
            lease_end_ms: 0,
            former_leases_until: TimePoint::EPOCH,
            tasks: Vec::new(),
            used: ResourceVector::ZERO,
            claims: ClaimSummary::default(),
            handled_end: 0,
            acked_end: 0,
            polling: false,
            next_poll: TimePoint::EPOCH,
            answered_at: TimePoint::EPOCH,
            failed_polls: 0,
            replaced_since: None,
            recorded_silent: false,
            quarantined_until: TimePoint::EPOCH,
            failures: 0,
            gauges: Vec::new(),
            sampled_at: TimePoint::EPOCH,
            violating_since: None,
            closed_to_best_effort: false,
            load_forecasts: Vec::new(),
        }
    }

    /// The worker's clock now, at the least.
    pub fn clock_at(&self, now: TimePoint) -> Option<u64> {
        let reading = self.clock?;
        Some(reading.worker_ms + now.since(reading.at).as_millis())
    }

    /// When every lease given there is surely over.
    pub fn leases_expired_at(&self) -> TimePoint {
        let Some(reading) = self.clock else {
            return self.former_leases_until;
        };
        let left = TimeSpan::from_millis(self.lease_end_ms.saturating_sub(reading.worker_ms));
        let own = reading.at + left.scale(SLOW_CLOCK_FACTOR) + LEASE_MARGIN;
        own.max(self.former_leases_until)
    }

    /// What is free.
    pub fn free(&self) -> ResourceVector {
        self.report.capacity.saturating_sub(self.used)
    }

    /// Whether it may get new tasks.
    pub fn is_usable(&self, now: TimePoint, silence: TimeSpan) -> bool {
        self.listed
            && self.fence_confirmed
            && self.failed_polls == 0
            && !self.recorded_silent
            && !self.report.draining
            && now >= self.quarantined_until
            && now.since(self.answered_at) <= silence
    }

    /// Whether it gets no leases: it doesn't answer, or a predecessor has named it as silent and it
    /// has not been heard since.
    pub const fn is_silent(&self) -> bool {
        self.failed_polls > 0 || (self.recorded_silent && !self.fence_confirmed)
    }

    /// Whether it is polled: it stands in the list, or may still run something.
    pub const fn needs_polling(&self) -> bool {
        (self.listed || !self.tasks.is_empty()) && self.report.address.port() != 0
    }

    /// The highest outlook of the service tasks of an image there; the usual one without samples.
    pub fn load_forecast(&self, image: ImageKey) -> f64 {
        let found = self
            .load_forecasts
            .binary_search_by_key(&image, |(known, _)| *known);
        found.map_or(0.0, |place| self.load_forecasts[place].1)
    }

    /// Whether it carries a label.
    pub fn has_label(&self, label: &str) -> bool {
        self.report.labels.iter().any(|known| known == label)
    }

    /// Puts a task there.
    pub fn add_task(&mut self, slot: TaskSlot, step: &StepSpec, image: ImageKey) {
        if let Err(place) = self.tasks.binary_search(&slot) {
            self.tasks.insert(place, slot);
            self.used = self.used + reserved_demand(step);
            self.claims.add(step, image);
        }
    }

    /// Takes a task away.
    pub fn remove_task(&mut self, slot: TaskSlot, step: &StepSpec, image: ImageKey) {
        if let Ok(place) = self.tasks.binary_search(&slot) {
            self.tasks.remove(place);
            self.used = self.used.saturating_sub(reserved_demand(step));
            self.claims.remove(step, image);
            self.gauges.retain(|gauge| gauge.slot != slot);
        }
    }
}

/// How many of a worker's tasks lie in a range of one occurrence's tasks.
pub fn tasks_within(tasks: &[TaskSlot], first: TaskSlot, count: u32) -> usize {
    let end = TaskSlot {
        task: first.task.saturating_add(count),
        ..first
    };
    let from = tasks.partition_point(|slot| *slot < first);
    tasks[from..].partition_point(|slot| *slot < end)
}

/// What a task of the step counts against its worker's capacity.
pub fn reserved_demand(step: &StepSpec) -> ResourceVector {
    let mut demand = step.demand;
    if step.best_effort {
        demand.cpu_millis = 0;
    }
    demand
}

impl WorkerRegistry {
    /// The slot of a worker, made if needed.
    pub fn intern(&mut self, id: &str) -> WorkerSlot {
        match self
            .by_id
            .binary_search_by(|(known, _)| known.as_str().cmp(id))
        {
            Ok(found) => self.by_id[found].1,
            Err(place) => {
                let slot = WorkerSlot(u32::try_from(self.entries.len()).unwrap_or(u32::MAX));
                self.entries.push(WorkerEntry::new(WorkerReport {
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
                self.by_id.insert(place, (id.to_owned(), slot));
                slot
            }
        }
    }

    /// How many workers are known.
    pub const fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no worker is known.
    pub const fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A worker.
    pub fn get(&self, slot: WorkerSlot) -> &WorkerEntry {
        &self.entries[slot.0 as usize]
    }

    /// A worker, to change it.
    pub fn get_mut(&mut self, slot: WorkerSlot) -> &mut WorkerEntry {
        &mut self.entries[slot.0 as usize]
    }

    /// All workers.
    pub fn iter(&self) -> impl Iterator<Item = (WorkerSlot, &WorkerEntry)> {
        self.entries
            .iter()
            .zip(0u32..)
            .map(|(entry, slot)| (WorkerSlot(slot), entry))
    }

    /// All slots.
    pub fn slots(&self) -> impl Iterator<Item = WorkerSlot> + use<> {
        (0..u32::try_from(self.entries.len()).unwrap_or(u32::MAX)).map(WorkerSlot)
    }
}
