//! Estimates of what a task uses and how long it runs, from what like tasks used.
//!
//! What a caller declares is a hint that may be wrong by a large factor. It counts only until
//! enough tasks of the same kind and team, or of the same kind, have ended.

use crate::key::KindKey;
use crate::key::TeamKey;
use crate::resource::ResourceVector;
use crate::task_queue::PendingTask;
use crate::time::TimeSpan;

/// Ended tasks that an estimate looks back on.
const HISTORY_LEN: usize = 48;
/// Ended tasks of the same kind and team that outweigh the declared size.
const LANE_EVIDENCE_MIN: usize = 3;
/// Ended tasks of the same kind, of any team, that outweigh the declared size.
const KIND_EVIDENCE_MIN: usize = 6;
/// A declared size counts up to the largest worker divided by this.
const DECLARED_PART_MAX: u64 = 2;
/// The share of earlier tasks whose memory the estimate covers.
const MEMORY_QUANTILE: f64 = 0.9;
/// The share of earlier tasks whose processor time the estimate covers.
const CPU_QUANTILE: f64 = 0.75;
/// The share of earlier tasks whose run time the estimate covers.
const RUN_QUANTILE: f64 = 0.5;
/// Processor time escalates up to the largest worker divided by this.
const CPU_ESCALATED_PART_MAX: u64 = 4;
/// What is added to the memory of earlier tasks.
const MEMORY_MARGIN: f64 = 1.1;
/// What is added to the processor time of earlier tasks.
const CPU_MARGIN: f64 = 1.05;
/// The share of the granted processor time from which on an attempt counts as held back by it.
const CPU_CAPPED_SHARE: f64 = 0.98;
/// How much more processor time an attempt is thought to use that was held back.
const CPU_ESCALATION: f64 = 1.5;
/// How much more memory an attempt is thought to use that ran out.
const MEMORY_SHORT: f64 = 1.2;
/// The progress from which on the most memory used counts as the task's need.
const MEMORY_KNOWN_PROGRESS: f64 = 0.35;
/// How much more memory a task gets after it ran out.
const MEMORY_ESCALATION: u64 = 2;
/// The least processor time granted, in thousandths of a core.
const CPU_MILLIS_MIN: u64 = 100;
/// The least memory granted, in MiB.
const MEMORY_MIB_MIN: u64 = 64;

/// Something learned of a task's size.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SizeSample {
    /// The most processor time that it used, in thousandths of a core.
    CpuMillis(u64),
    /// The most memory that it used, in MiB.
    MemoryMib(u64),
    /// It ran out of this much memory, in MiB.
    OutOfMemory(u64),
    /// How long it runs alone.
    RunTime(TimeSpan),
}

/// What a task is thought to use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskEstimate {
    /// What to grant.
    pub size: ResourceVector,
    /// How long it is thought to run alone.
    pub run_time: TimeSpan,
    /// What the estimate rests on.
    pub basis: EstimateBasis,
}

/// What an estimate rests on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EstimateBasis {
    /// What the caller declared.
    Declared,
    /// Tasks of the same kind.
    Kind,
    /// Tasks of the same kind and team.
    KindAndTeam,
}

/// Learned sizes and run times.
#[derive(Clone, Debug, Default)]
pub struct SizeEstimator {
    /// Sorted by kind, then team; `None` stands for all teams.
    lanes: Vec<SampleLane>,
}

#[derive(Clone, Debug)]
struct SampleLane {
    kind: KindKey,
    team: Option<TeamKey>,
    cpu_millis: SampleRing,
    memory_mib: SampleRing,
    run_millis: SampleRing,
}

/// The latest samples, and a quantile of them.
#[derive(Clone, Debug)]
struct SampleRing {
    samples: Vec<u64>,
    next: usize,
    quantile: f64,
    value: u64,
}

impl SampleRing {
    const fn new(quantile: f64) -> Self {
        Self {
            samples: Vec::new(),
            next: 0,
            quantile,
            value: 0,
        }
    }

    fn record(&mut self, sample: u64) {
        if self.samples.len() < HISTORY_LEN {
            self.samples.push(sample);
        } else {
            self.samples[self.next] = sample;
        }
        self.next = (self.next + 1) % HISTORY_LEN;
        let mut sorted = self.samples.clone();
        sorted.sort_unstable();
        let rank = (self.quantile * sorted.len() as f64).ceil() as usize;
        self.value = sorted[rank.clamp(1, sorted.len()) - 1];
    }
}

impl SizeEstimator {
    /// Nothing learned yet.
    pub const fn new() -> Self {
        Self { lanes: Vec::new() }
    }

    /// Learns something of a task of a kind and team.
    pub fn record(&mut self, kind: KindKey, team: TeamKey, sample: SizeSample) {
        for lane_team in [None, Some(team)] {
            let lane = self.lane_mut(kind, lane_team);
            match sample {
                SizeSample::CpuMillis(millis) => lane.cpu_millis.record(millis),
                SizeSample::MemoryMib(mib) => lane.memory_mib.record(mib),
                SizeSample::OutOfMemory(mib) => {
                    lane.memory_mib.record((mib as f64 * MEMORY_SHORT) as u64);
                }
                SizeSample::RunTime(run) => lane.run_millis.record(run.as_millis()),
            }
        }
    }

    /// Whether the most memory that an attempt used so far tells what it needs.
    pub const fn is_memory_known(progress: f64) -> bool {
        progress >= MEMORY_KNOWN_PROGRESS
    }

    /// Estimates a pending task.
    ///
    /// Processor time and memory are never above `largest`, what the largest worker has.
    /// Accelerators are as declared, since a task cannot do with other ones.
    pub fn estimate(&self, pending: &PendingTask, largest: ResourceVector) -> TaskEstimate {
        let declared = declared_estimate(pending, largest);
        let mut estimate = declared;
        if let Some((ring, basis)) = self.evidence(pending.kind, pending.team, SampleLane::memory) {
            estimate.size.memory_mib = scaled(ring.value, MEMORY_MARGIN).min(largest.memory_mib);
            estimate.basis = basis;
        }
        if let Some((ring, _)) = self.evidence(pending.kind, pending.team, SampleLane::cpu) {
            estimate.size.cpu_millis = scaled(ring.value, CPU_MARGIN).min(largest.cpu_millis);
        }
        if let Some(run) = self.run_time(pending.kind, pending.team) {
            estimate.run_time = run;
        }
        let size = &mut estimate.size;
        size.cpu_millis = size.cpu_millis.max(CPU_MILLIS_MIN);
        size.memory_mib = size
            .memory_mib
            .max(MEMORY_MIB_MIN)
            .max(pending.memory_floor_mib);
        estimate
    }

    /// The memory in MiB that a task gets after an attempt with `granted_mib` ran out of it;
    /// `None` when no worker has more.
    pub fn escalate_memory(granted_mib: u64, largest_mib: u64) -> Option<u64> {
        if granted_mib >= largest_mib {
            return None;
        }
        let escalated = granted_mib.saturating_mul(MEMORY_ESCALATION);
        Some(escalated.clamp(MEMORY_MIB_MIN, largest_mib))
    }

    /// Whether an attempt that used `used` of `granted` processor time was held back by it.
    pub fn is_cpu_capped(used_millis: u64, granted_millis: u64) -> bool {
        used_millis as f64 >= granted_millis as f64 * CPU_CAPPED_SHARE
    }

    /// The processor time that an attempt would have used, from the most that it used.
    ///
    /// Tasks that use whatever they get escalate up to a part of the largest worker.
    pub fn uncapped_cpu(used_millis: u64, granted_millis: u64, largest_millis: u64) -> u64 {
        if Self::is_cpu_capped(used_millis, granted_millis) {
            scaled(granted_millis, CPU_ESCALATION)
                .min(largest_millis / CPU_ESCALATED_PART_MAX)
                .max(used_millis)
        } else {
            used_millis
        }
    }

    /// How long a task of a kind and team is thought to run alone, if anything is known.
    pub fn run_time(&self, kind: KindKey, team: TeamKey) -> Option<TimeSpan> {
        let (ring, _) = self.evidence(kind, team, SampleLane::run)?;
        Some(TimeSpan::from_millis(ring.value))
    }

    /// Bytes of memory that the samples use.
    pub fn memory_bytes(&self) -> usize {
        self.lanes.capacity() * size_of::<SampleLane>()
            + self.lanes.len() * 3 * HISTORY_LEN * size_of::<u64>()
    }

    /// The samples of the kind and team, or of the kind, if there are enough.
    fn evidence(
        &self,
        kind: KindKey,
        team: TeamKey,
        ring: impl Fn(&SampleLane) -> &SampleRing,
    ) -> Option<(&SampleRing, EstimateBasis)> {
        let own = self
            .lane(kind, Some(team))
            .map(&ring)
            .filter(|ring| ring.samples.len() >= LANE_EVIDENCE_MIN)
            .map(|ring| (ring, EstimateBasis::KindAndTeam));
        own.or_else(|| {
            self.lane(kind, None)
                .map(&ring)
                .filter(|ring| ring.samples.len() >= KIND_EVIDENCE_MIN)
                .map(|ring| (ring, EstimateBasis::Kind))
        })
    }

    fn search(&self, kind: KindKey, team: Option<TeamKey>) -> Result<usize, usize> {
        self.lanes
            .binary_search_by_key(&(kind, team), |lane| (lane.kind, lane.team))
    }

    fn lane(&self, kind: KindKey, team: Option<TeamKey>) -> Option<&SampleLane> {
        self.search(kind, team)
            .ok()
            .map(|position| &self.lanes[position])
    }

    fn lane_mut(&mut self, kind: KindKey, team: Option<TeamKey>) -> &mut SampleLane {
        let position = self.search(kind, team).unwrap_or_else(|position| {
            let lane = SampleLane {
                kind,
                team,
                cpu_millis: SampleRing::new(CPU_QUANTILE),
                memory_mib: SampleRing::new(MEMORY_QUANTILE),
                run_millis: SampleRing::new(RUN_QUANTILE),
            };
            self.lanes.insert(position, lane);
            position
        });
        &mut self.lanes[position]
    }
}

impl SampleLane {
    const fn cpu(&self) -> &SampleRing {
        &self.cpu_millis
    }

    const fn memory(&self) -> &SampleRing {
        &self.memory_mib
    }

    const fn run(&self) -> &SampleRing {
        &self.run_millis
    }
}

fn scaled(amount: u64, factor: f64) -> u64 {
    (amount as f64 * factor) as u64
}

fn declared_estimate(pending: &PendingTask, largest: ResourceVector) -> TaskEstimate {
    TaskEstimate {
        size: ResourceVector {
            cpu_millis: pending
                .declared
                .cpu_millis
                .min(largest.cpu_millis / DECLARED_PART_MAX),
            memory_mib: pending
                .declared
                .memory_mib
                .min(largest.memory_mib / DECLARED_PART_MAX),
            accelerators: pending.declared.accelerators,
        },
        run_time: pending.declared_run_time,
        basis: EstimateBasis::Declared,
    }
}
