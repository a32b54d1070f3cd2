//! Learns how much one kind of task slows another on the same worker, from delayed reports.
//!
//! The model is additive: an attempt's slowdown is the sum, over its co-residents, of the pair's
//! coefficient times the co-resident's share of the worker's processor time. Each pair of kinds has
//! a coefficient for each load band of the worker. A report is compared with the co-residents at
//! the time of its measurement, which a short history for each worker holds.

use std::collections;

use crate::key::ArenaKey;
use crate::key::KindKey;
use crate::key::WorkerKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_pool::FULL_SPEED_PERMILLE;
use crate::worker_pool::PoolWorker;

/// Coefficient assumed for a pair without reports.
const PRIOR_COEFFICIENT: f64 = 0.15;
/// Upper bound of a learned coefficient.
const COEFFICIENT_MAX: f64 = 8.0;
/// Number of reports that the prior counts as.
const PRIOR_REPORTS: f64 = 2.0;
/// The least part of an error that a report corrects. Keeps the influence of old reports decaying
/// however many there are.
const LEARNING_RATE_MIN: f64 = 0.03;
/// Lower bound of a reported speed; slower reports are raised to it.
const SPEED_MIN: f64 = 0.02;
/// How long the former co-residents of a worker are kept.
const HISTORY_SPAN: TimeSpan = TimeSpan::from_secs(300);
/// Most changes of co-residents kept for one worker.
const HISTORY_CHANGES_MAX: usize = 64;
/// Upper ends of all load bands but the last, as shares of a worker's processor time.
const BAND_ENDS: [f64; LoadBand::COUNT - 1] = [0.4, 0.75];

/// The load of a worker, in three bands.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadBand {
    /// Less than 40 % of the processor time is allocated.
    Low,
    /// Less than 75 %.
    Middle,
    /// 75 % or more.
    High,
}

impl LoadBand {
    /// The number of bands.
    pub const COUNT: usize = 3;

    /// The band of a load, where 1 is the worker's whole processor time.
    pub fn of(load: f64) -> Self {
        if load < BAND_ENDS[0] {
            Self::Low
        } else if load < BAND_ENDS[1] {
            Self::Middle
        } else {
            Self::High
        }
    }

    const fn index(self) -> usize {
        match self {
            Self::Low => 0,
            Self::Middle => 1,
            Self::High => 2,
        }
    }
}

/// The share of a worker's processor time that a kind holds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KindLoad {
    /// The kind of all the attempts counted here.
    pub kind: KindKey,
    /// The sum over the kind's attempts, from 0; 1 is the worker's whole processor time.
    pub share: f64,
    /// The number of the kind's attempts on the worker.
    pub members: u32,
}

/// The kinds that share a worker at one time, with their loads; sorted by kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResidentMix {
    loads: Vec<KindLoad>,
}

/// A speed that a worker measured for an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedReport {
    /// The worker that runs the attempt.
    pub worker: WorkerKey,
    /// The kind of the attempt.
    pub kind: KindKey,
    /// The attempt's share of the worker's processor time, from 0 to 1.
    pub own_share: f64,
    /// The speed relative to running alone, from 0 to 1.
    pub speed: f64,
    /// When it was measured; may lie well before the time of the call.
    pub measured_at: TimePoint,
}

/// What a report contributed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The coefficients of its pairs were corrected.
    Learned,
    /// Nothing: no other attempt ran on the worker at the time.
    RanAlone,
    /// Nothing: the worker's history does not reach back to the time of the measurement.
    TooOld,
}

/// The learned coefficient for each pair of kinds and load band.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    /// Ordered by the kind that is slowed, then the kind that slows it, then the band.
    cells: Vec<InterferenceCell>,
    kind_count: usize,
    /// The weight of a unit of lost processor time, by kind; 1 where none was set.
    weights: Vec<f64>,
    /// Changes of co-residents, by the worker's key; oldest first.
    histories: Vec<collections::VecDeque<MixChange>>,
}

/// A load that is to be added to a worker, with the worker's bands before and after.
#[derive(Clone, Copy, Debug)]
struct JoiningLoad {
    kind: KindKey,
    share: f64,
    before: LoadBand,
    after: LoadBand,
}

#[derive(Clone, Copy, Debug)]
struct InterferenceCell {
    coefficient: f64,
    reports: u32,
}

/// The co-residents of a worker from a time on.
#[derive(Clone, Debug)]
struct MixChange {
    at: TimePoint,
    mix: ResidentMix,
}

impl ResidentMix {
    /// The kinds on a worker now; a throttled attempt counts with its reduced processor time.
    pub fn of(entry: &PoolWorker) -> Self {
        let capacity = entry.profile().capacity.cpu_millis.max(1) as f64;
        let mut mix = Self::default();
        for attempt in entry.attempts() {
            let cpu_permille = u64::from(attempt.cpu_permille);
            let cpu_millis = attempt.granted.cpu_millis.saturating_mul(cpu_permille);
            let share = cpu_millis as f64 / f64::from(FULL_SPEED_PERMILLE) / capacity;
            mix.add(attempt.kind, share);
        }
        mix
    }

    /// Adds an attempt that holds `share` of the worker's processor time.
    pub fn add(&mut self, kind: KindKey, share: f64) {
        match self.loads.binary_search_by_key(&kind, |load| load.kind) {
            Ok(position) => {
                let load = &mut self.loads[position];
                load.share += share;
                load.members += 1;
            }
            Err(position) => {
                let members = 1;
                let load = KindLoad {
                    kind,
                    share,
                    members,
                };
                self.loads.insert(position, load);
            }
        }
    }

    /// The load of each kind, sorted by kind.
    pub fn loads(&self) -> &[KindLoad] {
        &self.loads
    }

    fn without(&self, kind: KindKey, share: f64) -> impl Iterator<Item = KindLoad> {
        self.loads.iter().filter_map(move |load| {
            let remaining = if load.kind == kind {
                load.share - share
            } else {
                load.share
            };
            (remaining > f64::EPSILON).then_some(KindLoad {
                share: remaining,
                ..*load
            })
        })
    }

    fn load(&self) -> f64 {
        self.loads.iter().map(|load| load.share).sum()
    }
}

impl InterferenceTable {
    /// A table without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// The slowdown of `kind` for each unit of the worker's processor time that `other` holds, in a
    /// load band.
    pub fn coefficient(&self, kind: KindKey, other: KindKey, band: LoadBand) -> f64 {
        self.cell(kind, other, band)
            .map_or(PRIOR_COEFFICIENT, |cell| cell.coefficient)
    }

    /// How many reports a pair's coefficient was corrected by.
    pub fn reports(&self, kind: KindKey, other: KindKey, band: LoadBand) -> u32 {
        self.cell(kind, other, band).map_or(0, |cell| cell.reports)
    }

    /// The expected speed, from 0 to 1, of an attempt that holds `own_share` of a worker with
    /// `mix`. The mix includes the attempt itself.
    pub fn speed(&self, kind: KindKey, own_share: f64, mix: &ResidentMix) -> f64 {
        let band = LoadBand::of(mix.load());
        let slowdown: f64 = mix
            .without(kind, own_share)
            .map(|load| self.coefficient(kind, load.kind, band) * load.share)
            .sum();
        speed_of(slowdown)
    }

    /// Sets the weight of a unit of processor time that `kind` loses to interference; 1 by default.
    pub fn set_weight(&mut self, kind: KindKey, weight: f64) {
        if self.weights.len() <= kind.index() {
            self.weights.resize(kind.index() + 1, 1.0);
        }
        self.weights[kind.index()] = weight;
    }

    fn weight(&self, kind: KindKey) -> f64 {
        self.weights.get(kind.index()).copied().unwrap_or(1.0)
    }

    /// The weighted processor time lost, in thousandths of a core, if an attempt of `kind` with
    /// `cpu_millis` joins a worker: its own loss and the loss that it adds for the attempts there.
    pub fn joining_loss(&self, kind: KindKey, cpu_millis: u64, entry: &PoolWorker) -> f64 {
        if entry.attempts().is_empty() {
            return 0.0;
        }
        let capacity = entry.profile().capacity.cpu_millis.max(1) as f64;
        let mix = ResidentMix::of(entry);
        let share = cpu_millis as f64 / capacity;
        let load = mix.load();
        let joining = JoiningLoad {
            kind,
            share,
            before: LoadBand::of(load),
            after: LoadBand::of(load + share),
        };
        let slowdown: f64 = mix
            .loads
            .iter()
            .map(|other| self.coefficient(kind, other.kind, joining.after) * other.share)
            .sum();
        let own_loss = self.weight(kind) * share * (1.0 - speed_of(slowdown));
        let others_loss: f64 = mix
            .loads
            .iter()
            .map(|load| self.added_loss(*load, &mix, &joining))
            .sum();
        (own_loss + others_loss) * capacity
    }

    /// The weighted loss that a joining load adds for one kind on the worker, as a share of the
    /// worker.
    fn added_loss(&self, load: KindLoad, mix: &ResidentMix, joining: &JoiningLoad) -> f64 {
        let member_share = load.share / f64::from(load.members.max(1));
        let mut before = 0.0;
        let mut after = self.coefficient(load.kind, joining.kind, joining.after) * joining.share;
        for other in &mix.loads {
            let own = if other.kind == load.kind {
                member_share
            } else {
                0.0
            };
            let share = other.share - own;
            before += self.coefficient(load.kind, other.kind, joining.before) * share;
            after += self.coefficient(load.kind, other.kind, joining.after) * share;
        }
        self.weight(load.kind) * load.share * (speed_of(before) - speed_of(after)).max(0.0)
    }

    /// Records the co-residents of a worker from `now` on.
    pub fn note_mix(&mut self, worker: WorkerKey, entry: &PoolWorker, now: TimePoint) {
        let index = worker.index();
        if self.histories.len() <= index {
            self.histories
                .resize_with(index + 1, collections::VecDeque::new);
        }
        let history = &mut self.histories[index];
        history.push_back(MixChange {
            at: now,
            mix: ResidentMix::of(entry),
        });
        while history.len() > HISTORY_CHANGES_MAX
            || history
                .get(1)
                .is_some_and(|change| change.at + HISTORY_SPAN < now)
        {
            history.pop_front();
        }
    }

    /// Learns from a report, with the co-residents at the time of its measurement.
    pub fn record(&mut self, report: SpeedReport) -> ReportOutcome {
        let Some(mix) = self.mix_at(report.worker, report.measured_at) else {
            return ReportOutcome::TooOld;
        };
        let others: Vec<KindLoad> = mix.without(report.kind, report.own_share).collect();
        if others.is_empty() {
            return ReportOutcome::RanAlone;
        }
        let band = LoadBand::of(mix.load());
        let slowdown = 1.0 / report.speed.clamp(SPEED_MIN, 1.0) - 1.0;
        self.correct(report.kind, band, &others, slowdown);
        ReportOutcome::Learned
    }

    /// Memory in bytes that coefficients and histories hold.
    pub fn memory_bytes(&self) -> usize {
        let histories: usize = self
            .histories
            .iter()
            .flatten()
            .map(|change| {
                size_of::<MixChange>() + change.mix.loads.capacity() * size_of::<KindLoad>()
            })
            .sum();
        histories + self.cells.capacity() * size_of::<InterferenceCell>()
    }

    /// Distributes the prediction error over the pairs in proportion to their load (normalised
    /// least mean squares).
    fn correct(&mut self, kind: KindKey, band: LoadBand, others: &[KindLoad], slowdown: f64) {
        let predicted: f64 = others
            .iter()
            .map(|load| self.coefficient(kind, load.kind, band) * load.share)
            .sum();
        let error = slowdown - predicted;
        let norm: f64 = others.iter().map(|load| load.share * load.share).sum();
        for load in others {
            let cell = self.cell_mut(kind, load.kind, band);
            let rate = 1.0 / (PRIOR_REPORTS + f64::from(cell.reports));
            let step = rate.max(LEARNING_RATE_MIN) * error * load.share / norm.max(f64::EPSILON);
            cell.coefficient = (cell.coefficient + step).clamp(0.0, COEFFICIENT_MAX);
            cell.reports = cell.reports.saturating_add(1);
        }
    }

    fn mix_at(&self, worker: WorkerKey, at: TimePoint) -> Option<&ResidentMix> {
        let history = self.histories.get(worker.index())?;
        let after = history.partition_point(|change| change.at <= at);
        let change = history.get(after.checked_sub(1)?)?;
        Some(&change.mix)
    }

    fn cell(&self, kind: KindKey, other: KindKey, band: LoadBand) -> Option<&InterferenceCell> {
        let (kind, other) = (kind.index(), other.index());
        if kind >= self.kind_count || other >= self.kind_count {
            return None;
        }
        self.cells
            .get(cell_index(self.kind_count, kind, other, band))
    }

    fn cell_mut(&mut self, kind: KindKey, other: KindKey, band: LoadBand) -> &mut InterferenceCell {
        let (kind, other) = (kind.index(), other.index());
        if self.kind_count <= kind.max(other) {
            self.grow(kind.max(other) + 1);
        }
        let index = cell_index(self.kind_count, kind, other, band);
        &mut self.cells[index]
    }

    fn grow(&mut self, kind_count: usize) {
        let prior = InterferenceCell {
            coefficient: PRIOR_COEFFICIENT,
            reports: 0,
        };
        let mut cells = vec![prior; kind_count * kind_count * LoadBand::COUNT];
        for kind in 0..self.kind_count {
            for other in 0..self.kind_count {
                for band in [LoadBand::Low, LoadBand::Middle, LoadBand::High] {
                    cells[cell_index(kind_count, kind, other, band)] =
                        self.cells[cell_index(self.kind_count, kind, other, band)];
                }
            }
        }
        self.cells = cells;
        self.kind_count = kind_count;
    }
}

const fn cell_index(kind_count: usize, kind: usize, other: usize, band: LoadBand) -> usize {
    (kind * kind_count + other) * LoadBand::COUNT + band.index()
}

fn speed_of(slowdown: f64) -> f64 {
    1.0 / (1.0 + slowdown)
}
