//! Estimates the resources and the run time of a task from earlier tasks.
//!
//! The size that a caller declares may be wrong by a large factor. It is used only until enough
//! tasks of the same kind and team, or of the same kind, have been measured.

use crate::key::KindKey;
use crate::key::TeamKey;
use crate::resource::ResourceVector;
use crate::task_queue::PendingTask;
use crate::time::TimeSpan;

/// Samples kept of each resource for a kind, and for a kind and team; the oldest is overwritten.
const HISTORY_LEN: usize = 48;
/// Samples of the same kind and team from which on they replace the declared size.
const TEAM_SAMPLES_MIN: usize = 3;
/// Samples of the same kind, of any team, from which on they replace the declared size.
const KIND_SAMPLES_MIN: usize = 6;
/// A declared size is capped at the largest worker divided by this.
const DECLARED_DIVISOR: u64 = 2;
/// The share of earlier tasks whose memory the estimate covers.
const MEMORY_QUANTILE: f64 = 0.9;
/// The share of earlier tasks whose processor time the estimate covers.
const CPU_QUANTILE: f64 = 0.75;
/// The share of earlier tasks whose run time the estimate covers.
const RUN_QUANTILE: f64 = 0.5;
/// Escalated processor time is capped at the largest worker divided by this, or at what was used if
/// that is more.
const CPU_ESCALATION_DIVISOR: u64 = 4;
/// Factor from the memory of earlier tasks to the estimate.
const MEMORY_MARGIN: f64 = 1.1;
/// Factor from the processor time of earlier tasks to the estimate.
const CPU_MARGIN: f64 = 1.05;
/// The share of the granted processor time from which on its use counts as limited by the grant.
const CPU_CAPPED_SHARE: f64 = 0.98;
/// Factor from the grant to the sample of an attempt that was limited by its granted processor
/// time.
const CPU_ESCALATION_FACTOR: f64 = 1.5;
/// Factor from the grant to the sample of an attempt that ran out of memory.
const OUT_OF_MEMORY_FACTOR: f64 = 1.2;
/// Progress, from 0 to 1, from which on the memory in use counts as the task's need.
const MEMORY_KNOWN_PROGRESS_MIN: f64 = 0.35;
/// Factor from the memory of an attempt that ran out of it to that of the next.
const MEMORY_ESCALATION_FACTOR: u64 = 2;
/// The least processor time granted, in thousandths of a core.
const CPU_MILLIS_MIN: u64 = 100;
/// The least memory granted, in MiB.
const MEMORY_MIB_MIN: u64 = 64;

/// One measurement of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SizeSample {
    /// Its processor time without the limit of its grant, in thousandths of a core.
    CpuMillis(u64),
    /// The memory that it needs, in MiB.
    MemoryMib(u64),
    /// The memory in MiB that it was granted and that was too little.
    OutOfMemory(u64),
    /// How long the whole task runs alone.
    RunTime(TimeSpan),
}

/// The expected size and run time of a task.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TaskEstimate {
    /// The resources to grant.
    pub size: ResourceVector,
    /// How long it is expected to run alone.
    pub run_time: TimeSpan,
    /// The source of the estimated memory; processor time and run time may have another.
    pub basis: EstimateBasis,
}

/// The samples that an estimate is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EstimateBasis {
    /// None: the size that the caller declared.
    Declared,
    /// Tasks of the same kind, of any team.
    Kind,
    /// Tasks of the same kind and team.
    KindAndTeam,
}

/// The samples from which sizes and run times are estimated.
#[derive(Clone, Debug, Default)]
pub struct SizeEstimator {
    /// Sorted by kind, then team; `None` holds the samples of all teams.
    groups: Vec<SampleGroup>,
}

/// The samples of a kind and team, or of a kind.
#[derive(Clone, Debug)]
struct SampleGroup {
    kind: KindKey,
    team: Option<TeamKey>,
    cpu_millis: SampleRing,
    memory_mib: SampleRing,
    run_millis: SampleRing,
}

/// The latest samples of one resource, with one quantile of them.
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
    /// An estimator without samples.
    pub const fn new() -> Self {
        Self { groups: Vec::new() }
    }

    /// Adds a sample to those of the kind and team and to those of the kind.
    pub fn record(&mut self, kind: KindKey, team: TeamKey, sample: SizeSample) {
        for group_team in [None, Some(team)] {
            let group = self.group_mut(kind, group_team);
            match sample {
                SizeSample::CpuMillis(millis) => group.cpu_millis.record(millis),
                SizeSample::MemoryMib(mib) => group.memory_mib.record(mib),
                SizeSample::OutOfMemory(mib) => {
                    group
                        .memory_mib
                        .record((mib as f64 * OUT_OF_MEMORY_FACTOR) as u64);
                }
                SizeSample::RunTime(run_time) => group.run_millis.record(run_time.as_millis()),
            }
        }
    }

    /// Whether the memory use of an attempt at this progress, from 0 to 1, shows the task's need.
    pub const fn is_memory_known(progress: f64) -> bool {
        progress >= MEMORY_KNOWN_PROGRESS_MIN
    }

    /// Estimates a pending task.
    ///
    /// Estimated processor time and memory never exceed `largest`, the largest worker; a task's
    /// memory floor may. Accelerators are granted as declared, since a task cannot use others.
    pub fn estimate(&self, pending: &PendingTask, largest: ResourceVector) -> TaskEstimate {
        let declared = declared_estimate(pending, largest);
        let mut estimate = declared;
        if let Some((ring, basis)) =
            self.sufficient_samples(pending.kind, pending.team, SampleGroup::memory)
        {
            estimate.size.memory_mib = scaled(ring.value, MEMORY_MARGIN).min(largest.memory_mib);
            estimate.basis = basis;
        }
        if let Some((ring, _)) =
            self.sufficient_samples(pending.kind, pending.team, SampleGroup::cpu)
        {
            estimate.size.cpu_millis = scaled(ring.value, CPU_MARGIN).min(largest.cpu_millis);
        }
        if let Some(run_time) = self.run_time(pending.kind, pending.team) {
            estimate.run_time = run_time;
        }
        let size = &mut estimate.size;
        size.cpu_millis = size.cpu_millis.max(CPU_MILLIS_MIN);
        size.memory_mib = size
            .memory_mib
            .max(MEMORY_MIB_MIN)
            .max(pending.memory_floor_mib);
        estimate
    }

    /// The memory in MiB to grant after an attempt with `granted_mib` ran out of it; `None` when no
    /// worker has more.
    pub fn escalate_memory(granted_mib: u64, largest_mib: u64) -> Option<u64> {
        if granted_mib >= largest_mib {
            return None;
        }
        let escalated = granted_mib.saturating_mul(MEMORY_ESCALATION_FACTOR);
        Some(escalated.clamp(MEMORY_MIB_MIN, largest_mib))
    }

    /// Whether an attempt's use of processor time was limited by its grant.
    pub fn is_cpu_capped(used_millis: u64, granted_millis: u64) -> bool {
        used_millis as f64 >= granted_millis as f64 * CPU_CAPPED_SHARE
    }

    /// The processor time in thousandths of a core that an attempt would have used without a limit,
    /// from what it used.
    ///
    /// The escalation is capped, since some tasks use as much as they are granted.
    pub fn uncapped_cpu(used_millis: u64, granted_millis: u64, largest_millis: u64) -> u64 {
        if Self::is_cpu_capped(used_millis, granted_millis) {
            scaled(granted_millis, CPU_ESCALATION_FACTOR)
                .min(largest_millis / CPU_ESCALATION_DIVISOR)
                .max(used_millis)
        } else {
            used_millis
        }
    }

    /// How long a task of a kind and team is expected to run alone; `None` without enough samples.
    pub fn run_time(&self, kind: KindKey, team: TeamKey) -> Option<TimeSpan> {
        let (ring, _) = self.sufficient_samples(kind, team, SampleGroup::run)?;
        Some(TimeSpan::from_millis(ring.value))
    }

    /// Memory in bytes that the samples hold.
    pub fn memory_bytes(&self) -> usize {
        self.groups.capacity() * size_of::<SampleGroup>()
            + self.groups.len() * 3 * HISTORY_LEN * size_of::<u64>()
    }

    /// The samples of the kind and team, else those of the kind, if there are enough.
    fn sufficient_samples(
        &self,
        kind: KindKey,
        team: TeamKey,
        ring: impl Fn(&SampleGroup) -> &SampleRing,
    ) -> Option<(&SampleRing, EstimateBasis)> {
        let team_samples = self
            .group(kind, Some(team))
            .map(&ring)
            .filter(|ring| ring.samples.len() >= TEAM_SAMPLES_MIN)
            .map(|ring| (ring, EstimateBasis::KindAndTeam));
        team_samples.or_else(|| {
            self.group(kind, None)
                .map(&ring)
                .filter(|ring| ring.samples.len() >= KIND_SAMPLES_MIN)
                .map(|ring| (ring, EstimateBasis::Kind))
        })
    }

    fn search(&self, kind: KindKey, team: Option<TeamKey>) -> Result<usize, usize> {
        self.groups
            .binary_search_by_key(&(kind, team), |group| (group.kind, group.team))
    }

    fn group(&self, kind: KindKey, team: Option<TeamKey>) -> Option<&SampleGroup> {
        self.search(kind, team)
            .ok()
            .map(|position| &self.groups[position])
    }

    fn group_mut(&mut self, kind: KindKey, team: Option<TeamKey>) -> &mut SampleGroup {
        let position = self.search(kind, team).unwrap_or_else(|position| {
            let group = SampleGroup {
                kind,
                team,
                cpu_millis: SampleRing::new(CPU_QUANTILE),
                memory_mib: SampleRing::new(MEMORY_QUANTILE),
                run_millis: SampleRing::new(RUN_QUANTILE),
            };
            self.groups.insert(position, group);
            position
        });
        &mut self.groups[position]
    }
}

impl SampleGroup {
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
                .min(largest.cpu_millis / DECLARED_DIVISOR),
            memory_mib: pending
                .declared
                .memory_mib
                .min(largest.memory_mib / DECLARED_DIVISOR),
            accelerators: pending.declared.accelerators,
        },
        run_time: pending.declared_run_time,
        basis: EstimateBasis::Declared,
    }
}
