//! How much one kind of task slows another on the same worker, learned from lagging reports.
//!
//! The model adds up harm: an attempt's slowdown is the sum, over its co-residents, of the pair's
//! harm times the co-residents' share of the worker's processor time. The harm of a pair depends
//! on the worker's load band. Reports are set against the co-residents at the time that they
//! describe, from a short history for each worker.

use std::collections;

use crate::key::ArenaKey;
use crate::key::KindKey;
use crate::key::WorkerKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_pool::FULL_SPEED_PERMILLE;
use crate::worker_pool::WorkerSlot;

/// Harm assumed of a pair that was never seen together.
const PRIOR_HARM: f64 = 0.15;
/// Harm is kept below this.
const HARM_MAX: f64 = 8.0;
/// Reports that the prior counts for.
const PRIOR_REPORTS: f64 = 2.0;
/// The least share of an error that a report corrects, so that old reports are forgotten.
const LEARNING_RATE_MIN: f64 = 0.03;
/// Reports slower than this are taken as this.
const SPEED_MIN: f64 = 0.02;
/// How long the co-residents of a worker are remembered.
const HISTORY_SPAN: TimeSpan = TimeSpan::from_secs(300);
/// Most changes remembered for one worker.
const HISTORY_CHANGES_MAX: usize = 64;
/// Upper ends of the load bands but the last, as shares of a worker's processor time.
const BAND_ENDS: [f64; LoadBand::COUNT - 1] = [0.4, 0.75];

/// How loaded a worker is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum LoadBand {
    /// Little of the processor time is reserved.
    Low,
    /// About half of it.
    Middle,
    /// Most of it.
    High,
}

impl LoadBand {
    /// How many bands there are.
    pub const COUNT: usize = 3;

    /// The band of a load from 0 to 1.
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
    /// The kind.
    pub kind: KindKey,
    /// Its share, from 0 to 1.
    pub share: f64,
    /// Its attempts.
    pub members: u32,
}

/// Which kinds share a worker, sorted by kind.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ResidentMix {
    loads: Vec<KindLoad>,
}

/// A speed that a worker reported of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedReport {
    /// The worker.
    pub worker: WorkerKey,
    /// The attempt's kind.
    pub kind: KindKey,
    /// The attempt's share of the worker's processor time, from 0 to 1.
    pub own_share: f64,
    /// The speed relative to running alone, from 0 to 1.
    pub speed: f64,
    /// When it was measured; lies in the past.
    pub measured_at: TimePoint,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportOutcome {
    /// The pairs were corrected.
    Learned,
    /// Nothing else ran there at the time.
    RanAlone,
    /// The history does not reach back to the time that the report describes.
    TooOld,
}

/// Learned harm for each pair of kinds and load band.
#[derive(Clone, Debug, Default)]
pub struct InterferenceTable {
    /// One row for each kind that is harmed, then for each kind that harms, then for each band.
    cells: Vec<InterferenceCell>,
    kind_count: usize,
    /// What a unit of lost processor time counts, by kind; one where nothing is set.
    weights: Vec<f64>,
    histories: Vec<collections::VecDeque<MixChange>>,
}

/// A load that joins a worker, and the bands before and after.
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

#[derive(Clone, Debug)]
struct MixChange {
    at: TimePoint,
    mix: ResidentMix,
}

impl ResidentMix {
    /// The kinds on a worker now.
    pub fn of(slot: &WorkerSlot) -> Self {
        let capacity = slot.profile().capacity.cpu_millis.max(1) as f64;
        let mut mix = Self::default();
        for attempt in slot.attempts() {
            let cpu_millis = attempt.granted.cpu_millis * u64::from(attempt.cpu_permille);
            let share = cpu_millis as f64 / f64::from(FULL_SPEED_PERMILLE) / capacity;
            mix.add(attempt.kind, share);
        }
        mix
    }

    /// Adds `share` of a kind.
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

    /// The kinds, sorted.
    pub fn loads(&self) -> &[KindLoad] {
        &self.loads
    }

    fn without(&self, kind: KindKey, share: f64) -> impl Iterator<Item = KindLoad> {
        self.loads.iter().filter_map(move |load| {
            let left = if load.kind == kind {
                load.share - share
            } else {
                load.share
            };
            (left > f64::EPSILON).then_some(KindLoad {
                share: left,
                ..*load
            })
        })
    }

    fn load(&self) -> f64 {
        self.loads.iter().map(|load| load.share).sum()
    }
}

impl InterferenceTable {
    /// Nothing learned yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// The harm that `other` does to `kind` in a load band: slowdown for each unit of the
    /// worker's processor time that `other` holds.
    pub fn coefficient(&self, kind: KindKey, other: KindKey, band: LoadBand) -> f64 {
        self.cell(kind, other, band)
            .map_or(PRIOR_HARM, |cell| cell.coefficient)
    }

    /// How many reports a pair's harm rests on.
    pub fn reports(&self, kind: KindKey, other: KindKey, band: LoadBand) -> u32 {
        self.cell(kind, other, band).map_or(0, |cell| cell.reports)
    }

    /// The speed, from 0 to 1, of an attempt that holds `own_share` of a worker with `mix`.
    pub fn speed(&self, kind: KindKey, own_share: f64, mix: &ResidentMix) -> f64 {
        let band = LoadBand::of(mix.load());
        let slowdown: f64 = mix
            .without(kind, own_share)
            .map(|load| self.coefficient(kind, load.kind, band) * load.share)
            .sum();
        speed_of(slowdown)
    }

    /// Sets what a unit of processor time counts that a kind loses.
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
    /// `cpu_millis` joins a worker: its own loss and what it takes from those there.
    pub fn joining_loss(&self, kind: KindKey, cpu_millis: u64, slot: &WorkerSlot) -> f64 {
        if slot.attempts().is_empty() {
            return 0.0;
        }
        let capacity = slot.profile().capacity.cpu_millis.max(1) as f64;
        let mix = ResidentMix::of(slot);
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
        let taken: f64 = mix
            .loads
            .iter()
            .map(|load| self.taken_from(*load, &mix, &joining))
            .sum();
        (own_loss + taken) * capacity
    }

    /// What a kind on the worker loses to a load that joins, in shares of the worker.
    fn taken_from(&self, load: KindLoad, mix: &ResidentMix, joining: &JoiningLoad) -> f64 {
        let member = load.share / f64::from(load.members.max(1));
        let mut before = 0.0;
        let mut after = self.coefficient(load.kind, joining.kind, joining.after) * joining.share;
        for other in &mix.loads {
            let own = if other.kind == load.kind { member } else { 0.0 };
            let share = other.share - own;
            before += self.coefficient(load.kind, other.kind, joining.before) * share;
            after += self.coefficient(load.kind, other.kind, joining.after) * share;
        }
        self.weight(load.kind) * load.share * (speed_of(before) - speed_of(after)).max(0.0)
    }

    /// Remembers who shares a worker from `now` on.
    pub fn note_mix(&mut self, worker: WorkerKey, slot: &WorkerSlot, now: TimePoint) {
        let index = worker.index();
        if self.histories.len() <= index {
            self.histories
                .resize_with(index + 1, collections::VecDeque::new);
        }
        let history = &mut self.histories[index];
        history.push_back(MixChange {
            at: now,
            mix: ResidentMix::of(slot),
        });
        while history.len() > HISTORY_CHANGES_MAX
            || history
                .get(1)
                .is_some_and(|change| change.at + HISTORY_SPAN < now)
        {
            history.pop_front();
        }
    }

    /// Learns from a report, against the co-residents at the time that it describes.
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

    /// Bytes of memory that the table uses.
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

    /// Spreads the error over the pairs by their weight in it (normalised least mean squares).
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
            cell.coefficient = (cell.coefficient + step).clamp(0.0, HARM_MAX);
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
        let unseen = InterferenceCell {
            coefficient: PRIOR_HARM,
            reports: 0,
        };
        let mut cells = vec![unseen; kind_count * kind_count * LoadBand::COUNT];
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
