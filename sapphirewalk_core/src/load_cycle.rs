//! Forecast of a service job's periodic load over several seconds, from the residuals of the
//! interference model.
//!
//! It answers services whose load swings by half with a period of 10 to 14 s. A best-effort task
//! runs for a few seconds, so the load a second ahead, which [`crate::load_trend`] forecasts, says
//! little about the end of its run. A sinusoid is fitted to the last 30 s, and used only while its
//! forecasts have been better than those of the load trend.

use std::f64::consts;

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Length of a bin, over which samples are averaged. Each task of a job delivers one sample in it.
const BIN_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Number of bins kept: 30 s, one and a half of the longest period.
const BIN_COUNT: usize = 60;
/// Number of bins between a forecast and the bin that it is compared with: 1 s, as far ahead as the
/// load trend forecasts.
const LOOKAHEAD_BINS: u64 = 2;
/// Range of the periods that are tried, in seconds.
const PERIOD_BOUNDS: (f64, f64) = (6.0, 20.0);
/// Number of frequencies that are tried, evenly spaced. The distance is a fifth of what 30 s can
/// resolve.
const FREQUENCY_COUNT: usize = 18;
/// Least number of bins between two fits.
const FIT_INTERVAL: u64 = 2;
/// Number of periods that the samples must cover before a period is fitted. Below it a rising load
/// fits as well as a cycle.
const LEAST_PERIODS: f64 = 1.3;
/// Least share of the variance of the bins that a cycle must explain.
const LEAST_EXPLAINED: f64 = 0.5;
/// Least amplitude of a cycle. Smaller ones don't matter for placement.
const LEAST_AMPLITUDE: f64 = 0.08;
/// Relative change of the frequency up to which a fit continues the former one.
const SAME_CYCLE_RANGE: f64 = 0.08;
/// Number of compared forecasts before a cycle is used.
const LEAST_COMPARED: u32 = 4;
/// Weight of a new comparison in the mean squared errors: they follow the last 5 s.
const ERROR_WEIGHT: f64 = 0.1;
/// Share of the trend's mean squared error below which the error of the cycle must be.
const ERROR_SHARE: f64 = 0.8;
/// Limit of a sample's absolute value, so that one stalled task doesn't dominate its job.
const SAMPLE_BOUND: f64 = 1.2;

/// Period and amplitude of a cyclic load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadSwing {
    /// Time from one peak to the next.
    pub period: TimeSpan,
    /// Distance from the mean to the peak, as a logarithm.
    pub amplitude: f64,
}

/// Spans of a [`LoadForecast`], ascending.
pub const FORECAST_SPANS: [TimeSpan; 3] = [
    TimeSpan::from_millis(1_000),
    TimeSpan::from_millis(2_000),
    TimeSpan::from_millis(4_000),
];

/// Highest load within each of [`FORECAST_SPANS`], relative to the average load, as a logarithm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadForecast {
    highest: [f64; FORECAST_SPANS.len()],
    /// The forecast is that of a cycle, not of the load trend.
    pub cyclic: bool,
}

/// Root mean squared errors of forecasts for a second ahead, as logarithms.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ForecastError {
    /// Error of the cycle's forecasts.
    pub cycle: f64,
    /// Error of the load trend's forecasts for the same times.
    pub trend: f64,
}

/// A fitted cycle; times count in seconds from the first bin.
#[derive(Clone, Copy, Debug)]
struct CycleFit {
    mean: f64,
    cosine: f64,
    sine: f64,
    /// Angular frequency in radians per second.
    frequency: f64,
    /// Sum of the squared deviations of the bins.
    deviation: f64,
}

/// Forecasts of one bin, made [`LOOKAHEAD_BINS`] before it.
#[derive(Clone, Copy, Debug)]
struct BinForecast {
    bin: u64,
    cycle: f64,
    trend: f64,
}

/// Load cycle of one service job. Its size is fixed.
#[derive(Clone, Debug)]
pub struct LoadCycle {
    /// Start of the first bin.
    origin: TimePoint,
    /// Number of the bin that is being filled.
    bin: u64,
    bin_sum: f64,
    bin_samples: u32,
    /// Means of the last bins, at their number modulo [`BIN_COUNT`]; NaN without samples.
    bins: [f32; BIN_COUNT],
    fit: Option<CycleFit>,
    next_fit: u64,
    pending: [Option<BinForecast>; LOOKAHEAD_BINS as usize],
    /// Mean squared errors of compared forecasts.
    cycle_error: f64,
    trend_error: f64,
    compared: u32,
}

impl LoadForecast {
    /// The same load within every span.
    pub const fn steady(load: f64) -> Self {
        Self {
            highest: [load; FORECAST_SPANS.len()],
            cyclic: false,
        }
    }

    /// The highest load within the shortest of the spans that covers `span`; within the longest
    /// one if none does.
    pub fn within(&self, span: TimeSpan) -> f64 {
        let place = FORECAST_SPANS.partition_point(|covered| *covered < span);
        self.highest[place.min(FORECAST_SPANS.len() - 1)]
    }

    /// The higher load of both within each span; cyclic if both are.
    pub fn max(mut self, other: Self) -> Self {
        for (load, other) in self.highest.iter_mut().zip(other.highest) {
            *load = load.max(other);
        }
        self.cyclic &= other.cyclic;
        self
    }
}

impl LoadCycle {
    /// A cycle without samples.
    pub const fn new(now: TimePoint) -> Self {
        Self {
            origin: now,
            bin: 0,
            bin_sum: 0.0,
            bin_samples: 0,
            bins: [f32::NAN; BIN_COUNT],
            fit: None,
            next_fit: 0,
            pending: [None; LOOKAHEAD_BINS as usize],
            cycle_error: 0.0,
            trend_error: 0.0,
            compared: 0,
        }
    }

    /// Adds a sample of one of the job's tasks, and the load trend's forecast after the same
    /// sample. Samples are those of [`crate::load_trend::LoadTrend::observe`].
    pub fn observe(&mut self, residual: f64, trend_forecast: f64, now: TimePoint) {
        let bin = now.since(self.origin).as_micros() / BIN_SPAN.as_micros();
        if bin > self.bin {
            self.close_bin(bin, trend_forecast);
        }
        self.bin_sum += residual.clamp(-SAMPLE_BOUND, SAMPLE_BOUND);
        self.bin_samples += 1;
    }

    /// The highest load expected within `span` from now, relative to the average load, as a
    /// logarithm. None if there is no cycle or the load trend forecasts better.
    pub fn highest_within(&self, span: TimeSpan, now: TimePoint) -> Option<f64> {
        let fit = self.used_fit()?;
        let from = now.since(self.origin).as_secs_f64();
        Some(fit.highest_between(from, from + span.as_secs_f64()))
    }

    /// The highest load within each of [`FORECAST_SPANS`]; none under the conditions of
    /// [`Self::highest_within`].
    pub fn forecast(&self, now: TimePoint) -> Option<LoadForecast> {
        let fit = self.used_fit()?;
        let from = now.since(self.origin).as_secs_f64();
        let highest =
            FORECAST_SPANS.map(|span| fit.highest_between(from, from + span.as_secs_f64()));
        Some(LoadForecast {
            highest,
            cyclic: true,
        })
    }

    /// The load expected at a time; none under the conditions of [`Self::highest_within`].
    pub fn forecast_at(&self, at: TimePoint) -> Option<f64> {
        let fit = self.used_fit()?;
        Some(fit.value(at.since(self.origin).as_secs_f64()))
    }

    /// Period and amplitude, under the conditions of [`Self::highest_within`].
    pub fn swing(&self) -> Option<LoadSwing> {
        let fit = self.used_fit()?;
        Some(LoadSwing {
            period: TimeSpan::from_secs(1).scale(consts::TAU / fit.frequency),
            amplitude: fit.amplitude(),
        })
    }

    /// How far the forecasts of the last seconds were off; 0 before the first comparison.
    pub fn forecast_error(&self) -> ForecastError {
        ForecastError {
            cycle: self.cycle_error.sqrt(),
            trend: self.trend_error.sqrt(),
        }
    }

    fn used_fit(&self) -> Option<CycleFit> {
        let is_better =
            self.compared >= LEAST_COMPARED && self.cycle_error < ERROR_SHARE * self.trend_error;
        self.fit.filter(|_| is_better)
    }

    /// Stores the mean of the bin that has ended, compares it with its forecasts, and fits again if
    /// a fit is due.
    fn close_bin(&mut self, next: u64, trend_forecast: f64) {
        let mean = self.bin_sum / f64::from(self.bin_samples.max(1));
        self.compare(mean);
        self.bins[bin_place(self.bin)] = mean as f32;
        for skipped in (self.bin + 1..next).take(BIN_COUNT) {
            self.bins[bin_place(skipped)] = f32::NAN;
        }
        if self.bin >= self.next_fit {
            self.next_fit = self.bin + FIT_INTERVAL;
            self.fit_cycle();
        }
        let ended = self.bin;
        self.bin = next;
        self.bin_sum = 0.0;
        self.bin_samples = 0;
        // The forecast is made at the end of a bin, for the middle of a later one.
        let bin = ended + LOOKAHEAD_BINS;
        self.pending[bin as usize % self.pending.len()] = self.fit.map(|fit| BinForecast {
            bin,
            cycle: fit.value(bin_seconds(bin)),
            trend: trend_forecast,
        });
    }

    fn compare(&mut self, mean: f64) {
        let place = self.bin as usize % self.pending.len();
        let Some(forecast) = self.pending[place].take() else {
            return;
        };
        if forecast.bin != self.bin || self.bin_samples == 0 {
            return;
        }
        self.compared = self.compared.saturating_add(1);
        // The first errors count as a plain mean.
        let weight = ERROR_WEIGHT.max(1.0 / f64::from(self.compared));
        let cycle_error = (forecast.cycle - mean).powi(2);
        let trend_error = (forecast.trend - mean).powi(2);
        self.cycle_error += (cycle_error - self.cycle_error) * weight;
        self.trend_error += (trend_error - self.trend_error) * weight;
    }

    /// Fits the best of all frequencies; none if the bins show no cycle.
    fn fit_cycle(&mut self) {
        let first = (self.bin + 1).saturating_sub(BIN_COUNT as u64);
        let covered = (self.bin - first + 1) as f64 * BIN_SPAN.as_secs_f64();
        let (lowest, highest) = (consts::TAU / PERIOD_BOUNDS.1, consts::TAU / PERIOD_BOUNDS.0);
        let step = (highest - lowest) / (FREQUENCY_COUNT - 1) as f64;
        let mut fits: [Option<CycleFit>; FREQUENCY_COUNT] = [None; FREQUENCY_COUNT];
        let mut best: Option<(usize, f64)> = None;
        for (index, slot) in fits.iter_mut().enumerate() {
            let frequency = lowest + step * index as f64;
            if covered * frequency < LEAST_PERIODS * consts::TAU {
                continue;
            }
            *slot = self.fit_frequency(first, frequency);
            if let Some(fit) = *slot
                && best.is_none_or(|(_, deviation)| fit.deviation < deviation)
            {
                best = Some((index, fit.deviation));
            }
        }
        let refined = best.and_then(|(index, _)| {
            let middle = fits[index]?;
            let before = index.checked_sub(1).and_then(|before| fits[before]);
            if index > 0 && before.is_none() {
                // The samples don't cover longer periods, one of which may fit better.
                return None;
            }
            let after = fits.get(index + 1).copied().flatten();
            let offset = match (before, after) {
                (Some(before), Some(after)) => {
                    lowest_offset(before.deviation, middle.deviation, after.deviation)
                }
                _ => 0.0,
            };
            let frequency = middle.frequency + offset * step;
            self.fit_frequency(first, frequency)
        });
        let variation = self.variation(first);
        let fit = refined.filter(|fit| {
            fit.amplitude() >= LEAST_AMPLITUDE
                && fit.deviation <= (1.0 - LEAST_EXPLAINED) * variation
        });
        let is_same = match (self.fit, fit) {
            (Some(former), Some(fit)) => fit.is_near(&former),
            _ => false,
        };
        if !is_same {
            // Forecasts of another cycle say nothing about this one.
            self.pending = [None; LOOKAHEAD_BINS as usize];
            self.compared = 0;
        }
        self.fit = fit;
    }

    /// Least-squares fit of a mean and a sinusoid of one frequency to the bins from `first`.
    fn fit_frequency(&self, first: u64, frequency: f64) -> Option<CycleFit> {
        let start = frequency * bin_seconds(first);
        let turn = frequency * BIN_SPAN.as_secs_f64();
        let (turn_sine, turn_cosine) = turn.sin_cos();
        let (mut sine, mut cosine) = start.sin_cos();
        let mut products = [[0.0; 3]; 3];
        let mut targets = [0.0; 3];
        let mut squares = 0.0;
        for bin in first..=self.bin {
            let value = f64::from(self.bins[bin_place(bin)]);
            if !value.is_nan() {
                let features = [1.0, cosine, sine];
                for (row, feature) in features.iter().enumerate() {
                    for (column, other) in features.iter().enumerate() {
                        products[row][column] += feature * other;
                    }
                    targets[row] += feature * value;
                }
                squares += value * value;
            }
            (sine, cosine) = (
                sine * turn_cosine + cosine * turn_sine,
                cosine * turn_cosine - sine * turn_sine,
            );
        }
        let [mean, cosine, sine] = solve(products, targets)?;
        let explained = mean * targets[0] + cosine * targets[1] + sine * targets[2];
        Some(CycleFit {
            mean,
            cosine,
            sine,
            frequency,
            deviation: (squares - explained).max(0.0),
        })
    }

    /// Sum of the squared distances of the bins from their mean.
    fn variation(&self, first: u64) -> f64 {
        let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
        for bin in first..=self.bin {
            let value = f64::from(self.bins[bin_place(bin)]);
            if !value.is_nan() {
                count += 1.0;
                sum += value;
                squares += value * value;
            }
        }
        squares - sum * sum / f64::max(count, 1.0)
    }
}

impl CycleFit {
    /// Whether two fits are of the same cycle.
    fn is_near(&self, other: &Self) -> bool {
        (self.frequency / other.frequency - 1.0).abs() < SAME_CYCLE_RANGE
    }

    fn amplitude(&self) -> f64 {
        self.cosine.hypot(self.sine)
    }

    /// The load at a time in seconds.
    fn value(&self, at: f64) -> f64 {
        let (sine, cosine) = (self.frequency * at).sin_cos();
        self.mean + self.cosine * cosine + self.sine * sine
    }

    /// The highest load between two times in seconds.
    fn highest_between(&self, from: f64, until: f64) -> f64 {
        let peak = self.sine.atan2(self.cosine);
        let until_peak = (peak - self.frequency * from).rem_euclid(consts::TAU);
        if until_peak <= self.frequency * (until - from) {
            return self.mean + self.amplitude();
        }
        self.value(from).max(self.value(until))
    }
}

/// Place of a bin's mean.
const fn bin_place(bin: u64) -> usize {
    (bin % BIN_COUNT as u64) as usize
}

/// Middle of a bin in seconds.
fn bin_seconds(bin: u64) -> f64 {
    (bin as f64 + 0.5) * BIN_SPAN.as_secs_f64()
}

/// Where the parabola through three values at -1, 0 and 1 is lowest, at most half a step away.
fn lowest_offset(before: f64, middle: f64, after: f64) -> f64 {
    let curvature = before - 2.0 * middle + after;
    if curvature <= f64::EPSILON {
        return 0.0;
    }
    ((before - after) / (2.0 * curvature)).clamp(-0.5, 0.5)
}

/// Solves three linear equations by elimination with pivots; none if they are singular.
fn solve(mut products: [[f64; 3]; 3], mut targets: [f64; 3]) -> Option<[f64; 3]> {
    for column in 0..3 {
        let pivot = (column..3).max_by(|one, other| {
            let magnitudes = (products[*one][column].abs(), products[*other][column].abs());
            magnitudes.0.total_cmp(&magnitudes.1)
        })?;
        if products[pivot][column].abs() < 1e-9 {
            return None;
        }
        products.swap(column, pivot);
        targets.swap(column, pivot);
        let pivot_row = products[column];
        for row in column + 1..3 {
            let factor = products[row][column] / pivot_row[column];
            for (value, above) in products[row].iter_mut().zip(pivot_row) {
                *value -= factor * above;
            }
            targets[row] -= factor * targets[column];
        }
    }
    let mut solution = [0.0; 3];
    for row in (0..3).rev() {
        let known: f64 = (row + 1..3)
            .map(|column| products[row][column] * solution[column])
            .sum();
        solution[row] = (targets[row] - known) / products[row][row];
    }
    Some(solution)
}
