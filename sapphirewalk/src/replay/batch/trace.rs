//! Parses the events of a batch trace.

use serde::Deserialize;

use sapphirewalk_core::interference::LoadBand;
use sapphirewalk_core::key::DomainKey;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::NameArena;
use sapphirewalk_core::key::RackKey;
use sapphirewalk_core::key::TeamKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::quota_share::QuotaAmount;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::share_ledger::KindShare;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::urgency::TaskUrgency;
use sapphirewalk_core::worker_pool::WorkerProfile;

use crate::replay::error::ReplayError;

/// Line number of the first event, for errors; line 1 is the header.
const FIRST_EVENT_LINE: usize = 2;

/// Processor time in thousandths of a core, memory in MiB, and number of accelerators.
type ResourceTriple = [u64; 3];
/// A [`ResourceTriple`] followed by a run time in milliseconds.
type TaskSize = [u64; 4];

#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(tag = "event", rename_all = "snake_case", deny_unknown_fields)]
enum EventLine {
    Settings(ReplaySettings),
    Kind {
        name: String,
        urgency: TaskUrgency,
        weight: u32,
        floor_permille: u32,
        spread: bool,
    },
    Team {
        name: String,
        cpu_millis: u64,
        tasks: u64,
    },
    Worker {
        name: String,
        has: ResourceTriple,
        rack: String,
        domain: String,
    },
    Pair {
        at_ms: u64,
        kind: String,
        other: String,
        harm: [f64; LoadBand::COUNT],
    },
    Task {
        at_ms: u64,
        kind: String,
        team: String,
        declared: TaskSize,
        actual: TaskSize,
        fails_after_ms: Option<u64>,
        #[serde(default)]
        flood: bool,
    },
    Cancel {
        at_ms: u64,
        tasks: Vec<u32>,
    },
    Fault {
        at_ms: u64,
        until_ms: u64,
        worker: String,
        fault: FaultKind,
    },
}

/// Length of a trace, and timing of its simulated workers.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct ReplaySettings {
    /// When the replay ends, in milliseconds from its start.
    pub end_ms: u64,
    /// Interval between two measurements of all attempts, in milliseconds.
    pub report_every_ms: u64,
    /// Delay from a measurement to its arrival at the scheduler, in milliseconds.
    pub report_lag_ms: u64,
    /// Largest relative error of a reported speed, in thousandths.
    pub report_noise_permille: u64,
    /// Interval between two checkpoints of an attempt, in milliseconds.
    pub checkpoint_every_ms: u64,
    /// Delay before an attempt that resumes from a checkpoint makes progress, in milliseconds.
    pub restart_ms: u64,
    /// Time from the command to evict an attempt to its stop, in milliseconds.
    pub evict_ms: u64,
}

/// How a worker fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Every attempt on it fails until the fault ends.
    FailsAll,
    /// It is lost for good, with its attempts.
    Gone,
}

/// A task of a trace. Its key is its position among the trace's tasks.
#[derive(Clone, Copy, Debug)]
pub struct TraceTask {
    /// When the task is submitted; tasks are in this order.
    pub submitted_at: TimePoint,
    /// The kind, which sets urgency, weight and floor.
    pub kind: KindKey,
    /// The team whose quota the task uses.
    pub team: TeamKey,
    /// The resources that the task's caller declares; may be wrong by a large factor.
    pub declared: ResourceVector,
    /// The run time that the task's caller declares.
    pub declared_run: TimeSpan,
    /// The resources that the task uses when it has enough of them; memory at its peak.
    pub actual: ResourceVector,
    /// How long the whole task runs alone on a worker with enough resources.
    pub actual_run: TimeSpan,
    /// Time from the start of each attempt to its failure, on any worker; `None` for a task that
    /// does not fail by itself.
    pub fails_after: Option<TimeSpan>,
    /// Whether the task belongs to the trace's flood: a burst of tasks of some kinds beyond the
    /// capacity of the workers.
    pub flood: bool,
}

/// The actual interference of one kind with another, from a time on.
#[derive(Clone, Copy, Debug)]
pub struct PairInterference {
    /// When it takes effect and replaces earlier values of the pair.
    pub at: TimePoint,
    /// The kind whose attempts are slowed.
    pub kind: KindKey,
    /// The kind that slows them.
    pub other: KindKey,
    /// The interference coefficient for each load band of the worker. Speed is multiplied by
    /// `exp(-coefficient * share)`, where `share` is the other attempt's part of the worker's
    /// processor time; 0 is no slowdown.
    pub coefficients: [f64; LoadBand::COUNT],
}

/// Tasks that are cancelled at once.
#[derive(Clone, Debug)]
pub struct CancelBatch {
    /// When they are cancelled.
    pub at: TimePoint,
    /// Positions of the tasks in the trace.
    pub tasks: Vec<u32>,
}

/// A period in which a worker is faulty.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFault {
    /// When the fault begins.
    pub from: TimePoint,
    /// When the fault ends; without effect for [`FaultKind::Gone`].
    pub until: TimePoint,
    /// The faulty worker.
    pub worker: WorkerKey,
    /// How the worker fails in that period.
    pub kind: FaultKind,
}

/// The scheduling parameters of a kind, which a bundle states in production.
#[derive(Clone, Copy, Debug)]
pub struct TraceKind {
    /// The key of the kind, by its name in the trace.
    pub kind: KindKey,
    /// Urgency, weight, floor, and whether instances are spread over racks.
    pub share: KindShare,
}

/// The quota of a team.
#[derive(Clone, Copy, Debug)]
pub struct TraceTeam {
    /// The key of the team, by its name in the trace.
    pub team: TeamKey,
    /// The most that the team's running tasks may use at once.
    pub limit: QuotaAmount,
}

/// A parsed trace of batch tasks.
#[derive(Clone, Debug, Default)]
pub struct BatchTrace {
    /// Length of the trace and timing of workers; zeros if no line states them.
    pub settings: ReplaySettings,
    /// Kinds with parameters, in the order of the trace.
    pub kinds: Vec<TraceKind>,
    /// Teams with a quota, in the order of the trace.
    pub teams: Vec<TraceTeam>,
    /// Profiles of the workers, indexed by worker.
    pub workers: Vec<WorkerProfile>,
    /// Actual interference, in the order of the trace, which is by time.
    pub pairs: Vec<PairInterference>,
    /// Tasks in order of submission, indexed by task.
    pub tasks: Vec<TraceTask>,
    /// Cancellations in order of time.
    pub cancellations: Vec<CancelBatch>,
    /// Faults of workers, in the order of the trace; may overlap in time.
    pub faults: Vec<WorkerFault>,
    names: TraceNames,
}

#[derive(Clone, Debug, Default)]
struct TraceNames {
    kinds: NameArena<KindKey>,
    teams: NameArena<TeamKey>,
    workers: NameArena<WorkerKey>,
    racks: NameArena<RackKey>,
    domains: NameArena<DomainKey>,
}

impl BatchTrace {
    /// Parses the event lines of a trace, without its header line.
    ///
    /// # Errors
    ///
    /// When a line does not match the trace format.
    pub fn parse(events: &str) -> Result<Self, ReplayError> {
        let mut trace = Self::default();
        for (index, text) in events.lines().enumerate() {
            let line = index + FIRST_EVENT_LINE;
            let event =
                serde_json::from_str(text).map_err(|source| ReplayError::Line { line, source })?;
            trace.add(event);
        }
        Ok(trace)
    }

    /// Returns the trace without the tasks of its flood.
    ///
    /// Later tasks get lower positions, and cancellations are not adjusted to that. They still
    /// refer to the right tasks if those are submitted before the flood.
    pub fn without_flood(&self) -> Self {
        let mut unflooded = self.clone();
        unflooded.tasks.retain(|task| !task.flood);
        unflooded
    }

    /// Whether some tasks are part of a flood.
    pub fn has_flood(&self) -> bool {
        self.tasks.iter().any(|task| task.flood)
    }

    /// Whether some tasks of this kind are part of a flood.
    pub fn has_flood_of(&self, kind: KindKey) -> bool {
        self.tasks
            .iter()
            .any(|task| task.flood && task.kind == kind)
    }

    /// The processor capacity of all workers, in cores.
    pub fn total_cores(&self) -> f64 {
        let millis: u64 = self
            .workers
            .iter()
            .map(|worker| worker.capacity.cpu_millis)
            .sum();
        millis as f64 / 1_000.0
    }

    /// When the first task of the flood is submitted; `None` without a flood.
    pub fn flood_start(&self) -> Option<TimePoint> {
        self.tasks
            .iter()
            .filter(|task| task.flood)
            .map(|task| task.submitted_at)
            .min()
    }

    /// The urgency of a kind; the lowest, batch, for a kind without parameters.
    pub fn urgency(&self, kind: KindKey) -> TaskUrgency {
        self.kinds
            .iter()
            .find(|entry| entry.kind == kind)
            .map_or(TaskUrgency::Batch, |entry| entry.share.urgency)
    }

    /// The most that any worker has of each resource; may combine several workers.
    pub fn largest_capacity(&self) -> ResourceVector {
        self.workers
            .iter()
            .fold(ResourceVector::ZERO, |most, worker| {
                most.max(worker.capacity)
            })
    }

    /// Whether a task can finish: it does not fail by itself and fits on some worker.
    pub fn is_possible(&self, task: &TraceTask) -> bool {
        task.fails_after.is_none()
            && self
                .workers
                .iter()
                .any(|worker| task.actual.fits(worker.capacity))
    }

    fn add(&mut self, event: EventLine) {
        let names = &mut self.names;
        match event {
            EventLine::Settings(settings) => self.settings = settings,
            EventLine::Kind {
                name,
                urgency,
                weight,
                floor_permille,
                spread,
            } => self.kinds.push(TraceKind {
                kind: names.kinds.intern(&name),
                share: KindShare {
                    urgency,
                    weight,
                    floor_permille,
                    spread,
                },
            }),
            EventLine::Team {
                name,
                cpu_millis,
                tasks,
            } => self.teams.push(TraceTeam {
                team: names.teams.intern(&name),
                limit: QuotaAmount { cpu_millis, tasks },
            }),
            EventLine::Worker {
                name,
                has,
                rack,
                domain,
            } => {
                names.workers.intern(&name);
                self.workers.push(WorkerProfile {
                    capacity: resources(has),
                    rack: names.racks.intern(&rack),
                    domain: names.domains.intern(&domain),
                });
            }
            EventLine::Pair {
                at_ms,
                kind,
                other,
                harm,
            } => self.pairs.push(PairInterference {
                at: TimePoint::from_millis(at_ms),
                kind: names.kinds.intern(&kind),
                other: names.kinds.intern(&other),
                coefficients: harm,
            }),
            EventLine::Task {
                at_ms,
                kind,
                team,
                declared: [declared @ .., declared_run],
                actual: [actual @ .., actual_run],
                fails_after_ms,
                flood,
            } => self.tasks.push(TraceTask {
                submitted_at: TimePoint::from_millis(at_ms),
                kind: names.kinds.intern(&kind),
                team: names.teams.intern(&team),
                declared: resources(declared),
                declared_run: TimeSpan::from_millis(declared_run),
                actual: resources(actual),
                actual_run: TimeSpan::from_millis(actual_run),
                fails_after: fails_after_ms.map(TimeSpan::from_millis),
                flood,
            }),
            EventLine::Cancel { at_ms, tasks } => self.cancellations.push(CancelBatch {
                at: TimePoint::from_millis(at_ms),
                tasks,
            }),
            EventLine::Fault {
                at_ms,
                until_ms,
                worker,
                fault,
            } => self.faults.push(WorkerFault {
                from: TimePoint::from_millis(at_ms),
                until: TimePoint::from_millis(until_ms),
                worker: names.workers.intern(&worker),
                kind: fault,
            }),
        }
    }
}

const fn resources([cpu_millis, memory_mib, accelerators]: ResourceTriple) -> ResourceVector {
    ResourceVector {
        cpu_millis,
        memory_mib,
        accelerators,
    }
}
