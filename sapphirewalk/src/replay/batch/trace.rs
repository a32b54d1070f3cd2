//! The events of a batch trace.

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

/// The header is the first line of a trace.
const FIRST_EVENT_LINE: usize = 2;

/// Processor time in thousandths of a core, memory in MiB, accelerators.
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

/// How the workers of a trace behave.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
pub struct ReplaySettings {
    /// The end of the trace in milliseconds.
    pub end_ms: u64,
    /// How often a worker reports, in milliseconds.
    pub report_every_ms: u64,
    /// How late a report arrives, in milliseconds.
    pub report_lag_ms: u64,
    /// Most error of a reported speed, in thousandths.
    pub report_noise_permille: u64,
    /// How often an attempt takes a checkpoint, in milliseconds.
    pub checkpoint_every_ms: u64,
    /// What an attempt that resumes spends before it makes progress, in milliseconds.
    pub restart_ms: u64,
    /// How long an eviction takes, in milliseconds.
    pub evict_ms: u64,
}

/// What goes wrong with a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Everything that it runs fails.
    FailsAll,
    /// It is gone for good.
    Gone,
}

/// A task of a trace. Its key is its place among the tasks.
#[derive(Clone, Copy, Debug)]
pub struct TraceTask {
    /// When it is submitted.
    pub submitted_at: TimePoint,
    /// Its kind.
    pub kind: KindKey,
    /// Its team.
    pub team: TeamKey,
    /// What its caller declares.
    pub declared: ResourceVector,
    /// The run time that its caller declares.
    pub declared_run: TimeSpan,
    /// What it uses.
    pub actual: ResourceVector,
    /// How long it runs alone.
    pub actual_run: TimeSpan,
    /// When each attempt fails, on any worker.
    pub fails_after: Option<TimeSpan>,
    /// Whether it is part of a flood.
    pub flood: bool,
}

/// The true harm of a pair of kinds from a time on.
#[derive(Clone, Copy, Debug)]
pub struct PairHarm {
    /// From when on.
    pub at: TimePoint,
    /// The kind that is harmed.
    pub kind: KindKey,
    /// The kind that harms.
    pub other: KindKey,
    /// The harm in each load band.
    pub harm: [f64; LoadBand::COUNT],
}

/// A batch of cancellations.
#[derive(Clone, Debug)]
pub struct CancelBatch {
    /// When.
    pub at: TimePoint,
    /// The tasks' places.
    pub tasks: Vec<u32>,
}

/// A fault of a worker.
#[derive(Clone, Copy, Debug)]
pub struct WorkerFault {
    /// From when on.
    pub from: TimePoint,
    /// Until when.
    pub until: TimePoint,
    /// The worker.
    pub worker: WorkerKey,
    /// The fault.
    pub kind: FaultKind,
}

/// What the bundle states of a kind.
#[derive(Clone, Copy, Debug)]
pub struct TraceKind {
    /// The kind.
    pub kind: KindKey,
    /// Its share.
    pub share: KindShare,
}

/// What a team may use.
#[derive(Clone, Copy, Debug)]
pub struct TraceTeam {
    /// The team.
    pub team: TeamKey,
    /// Its quota.
    pub limit: QuotaAmount,
}

/// A trace of batch tasks.
#[derive(Clone, Debug, Default)]
pub struct BatchTrace {
    /// How workers behave.
    pub settings: ReplaySettings,
    /// The kinds.
    pub kinds: Vec<TraceKind>,
    /// The teams.
    pub teams: Vec<TraceTeam>,
    /// The workers, by key.
    pub workers: Vec<WorkerProfile>,
    /// The true matrix, in the order of the trace.
    pub pairs: Vec<PairHarm>,
    /// The tasks, by submission.
    pub tasks: Vec<TraceTask>,
    /// Cancellations, by time.
    pub cancellations: Vec<CancelBatch>,
    /// Faults.
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
    /// Reads the event lines of a trace.
    ///
    /// # Errors
    ///
    /// When a line is not what the trace format says.
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

    /// The same trace without its flood. Cancelled tasks keep their places.
    pub fn without_flood(&self) -> Self {
        let mut unflooded = self.clone();
        unflooded.tasks.retain(|task| !task.flood);
        unflooded
    }

    /// Whether some tasks are part of a flood.
    pub fn has_flood(&self) -> bool {
        self.tasks.iter().any(|task| task.flood)
    }

    /// Whether a flood is of this kind.
    pub fn has_flood_of(&self, kind: KindKey) -> bool {
        self.tasks
            .iter()
            .any(|task| task.flood && task.kind == kind)
    }

    /// The cores of all workers.
    pub fn total_cores(&self) -> f64 {
        let millis: u64 = self
            .workers
            .iter()
            .map(|worker| worker.capacity.cpu_millis)
            .sum();
        millis as f64 / 1_000.0
    }

    /// When the flood begins, if there is one.
    pub fn flood_start(&self) -> Option<TimePoint> {
        self.tasks
            .iter()
            .filter(|task| task.flood)
            .map(|task| task.submitted_at)
            .min()
    }

    /// The urgency of a kind.
    pub fn urgency(&self, kind: KindKey) -> TaskUrgency {
        self.kinds
            .iter()
            .find(|entry| entry.kind == kind)
            .map_or(TaskUrgency::Batch, |entry| entry.share.urgency)
    }

    /// The most of each resource that one worker has.
    pub fn largest_capacity(&self) -> ResourceVector {
        self.workers
            .iter()
            .fold(ResourceVector::ZERO, |most, worker| {
                most.max(worker.capacity)
            })
    }

    /// Whether a task can run to its end on some worker.
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
            } => self.pairs.push(PairHarm {
                at: TimePoint::from_millis(at_ms),
                kind: names.kinds.intern(&kind),
                other: names.kinds.intern(&other),
                harm,
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
