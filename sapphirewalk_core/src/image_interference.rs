//! Learned model of how best-effort tasks raise the tail latency of service tasks on a worker.
//!
//! The model predicts the logarithm of a service task's tail latency divided by its target. The
//! prediction is a base for the service image plus, for each best-effort image on the worker, the
//! weight of the pair of images times the share of the worker's processor that the best-effort
//! image uses. A non-negative least-squares fit over recent samples sets base and weights. Few
//! pairs interfere strongly and most don't. Placement by pair therefore keeps tail latencies
//! within their targets, while throttling every best-effort task would stop all of that work.

use serde::Deserialize;
use serde::Serialize;

use crate::stored_value;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Half-life of a sample's weight; the load of a service varies within about 10 s.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(20_000);
/// Least time between decays of the sums, which take all products of the features. Short compared
/// with [`HALF_LIFE`].
const DECAY_INTERVAL: TimeSpan = TimeSpan::from_millis(100);
/// Least time between fits; each worker delivers a few samples within it.
const FIT_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// Least time between reports of the learned weights.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(5_000);
/// Coordinate-descent sweeps of one fit. Each fit starts from the last one's weights, so more
/// sweeps change little.
const FIT_SWEEPS: usize = 12;
/// Ridge regularisation of the weights; pulls weights with few samples to 0. It counts as much as
/// two samples of best-effort tasks that use a tenth of a worker.
const RIDGE: f64 = 0.02;
/// Range of a sampled logarithm, so that one stalled task doesn't outweigh all others.
const LOG_BOUNDS: (f64, f64) = (-3.0, 2.0);

/// Number of samples, a few seconds' worth, that imported weights count as.
const IMPORTED_SAMPLES: f64 = 60.0;
/// Share of a worker's processor that best-effort tasks use in each of [`IMPORTED_SAMPLES`].
const IMPORTED_SHARE: f64 = 0.1;
/// One part in this many of the stored row may hold service images without their pairs.
const BASE_DIVISOR: usize = 2;

/// Interned name of an image, as an index into one [`InterferenceModel`].
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ImageKey(u32);

/// Processor use of all best-effort tasks of one image on a worker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageLoad {
    /// The best-effort image.
    pub image: ImageKey,
    /// Share of the worker's processor, 0 to 1.
    pub share: f64,
}

/// Fits and predicts how best-effort images interfere with service images.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    names: Vec<String>,
    /// One fit for each service image with samples, by key; none for other images.
    fits: Vec<Option<ImageFit>>,
    next_fit: TimePoint,
    next_report: TimePoint,
}

/// Least-squares fit for one service image.
#[derive(Debug)]
struct ImageFit {
    /// Best-effort images with a feature; sorted.
    best_efforts: Vec<ImageKey>,
    /// Decayed sums of products of the features; the first feature belongs to the base and is 1.
    products: Vec<Vec<f64>>,
    /// Decayed sums of the features times the sampled logarithm.
    targets: Vec<f64>,
    /// The base, then the weight of each image in `best_efforts`.
    weights: Vec<f64>,
    decayed_at: TimePoint,
    has_new_samples: bool,
}

/// Fit of one service image, as stored for the next coordinator.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LearnedImage {
    /// Name of the service image.
    pub image: String,
    /// Logarithm of tail latency over target without best-effort tasks on the worker.
    pub base: f64,
    /// Name and weight of each best-effort image, as in [`InterferenceModel::weight`].
    pub best_efforts: Vec<(String, f64)>,
}

/// Weight of a best-effort image in the fit of a service image that is to be stored.
struct LearnedPair {
    /// Index of the service image among those that are stored.
    index: usize,
    best_effort: ImageKey,
    weight: f64,
    /// The weight, less if the service image has had no samples lately.
    rank: f64,
}

/// Bytes that are left in a row.
struct RowRoom {
    bytes: usize,
}

impl RowRoom {
    /// The room for the parts of a list in a row of this length.
    fn new(longest_row: usize) -> Self {
        let header = stored_value::encoded_len(&longest_row);
        Self {
            bytes: longest_row.saturating_sub(header),
        }
    }

    /// Takes the room for a part of the row; false if it doesn't fit.
    fn take(&mut self, part: &impl Serialize) -> bool {
        let rest = self.bytes.checked_sub(stored_value::part_len(part));
        self.bytes = rest.unwrap_or(self.bytes);
        rest.is_some()
    }
}

impl ImageFit {
    /// A fit as if [`IMPORTED_SAMPLES`] samples had produced the given weights.
    fn imported(base: f64, best_efforts: Vec<(ImageKey, f64)>, now: TimePoint) -> Self {
        let mut fit = Self::new(now);
        for (image, _) in &best_efforts {
            fit.feature_index(*image);
        }
        fit.products[0][0] = IMPORTED_SAMPLES;
        fit.weights[0] = base;
        fit.targets[0] = IMPORTED_SAMPLES * base;
        for (image, weight) in best_efforts {
            let index = fit.feature_index(image);
            let evidence = IMPORTED_SAMPLES * IMPORTED_SHARE * IMPORTED_SHARE;
            fit.products[index][index] = evidence;
            fit.weights[index] = weight;
            fit.targets[index] = evidence * weight;
        }
        fit
    }

    fn new(now: TimePoint) -> Self {
        Self {
            best_efforts: Vec::new(),
            products: vec![vec![0.0]],
            targets: vec![0.0],
            weights: vec![DEFAULT_BASE],
            decayed_at: now,
            has_new_samples: false,
        }
    }

    /// Index of the feature of a best-effort image, added with weight 0 if it is new.
    fn feature_index(&mut self, image: ImageKey) -> usize {
        match self.best_efforts.binary_search(&image) {
            Ok(place) => place + 1,
            Err(place) => {
                self.best_efforts.insert(place, image);
                let index = place + 1;
                for row in &mut self.products {
                    row.insert(index, 0.0);
                }
                self.products
                    .insert(index, vec![0.0; self.weights.len() + 1]);
                self.targets.insert(index, 0.0);
                self.weights.insert(index, 0.0);
                index
            }
        }
    }

    /// Factor by which the sums have lost weight since they were last decayed.
    fn decay_factor(&self, now: TimePoint) -> f64 {
        let span = now.since(self.decayed_at).as_secs_f64();
        (-span / HALF_LIFE.as_secs_f64() * std::f64::consts::LN_2).exp()
    }

    fn decay(&mut self, now: TimePoint) {
        if now.since(self.decayed_at) < DECAY_INTERVAL {
            return;
        }
        let factor = self.decay_factor(now);
        self.decayed_at = now;
        for value in self.products.iter_mut().flatten().chain(&mut self.targets) {
            *value *= factor;
        }
    }

    fn observe(&mut self, loads: &[ImageLoad], log_tail: f64, now: TimePoint) {
        self.decay(now);
        let mut features = vec![(0, 1.0)];
        for load in loads {
            // Adding an image shifts the features after it, so the indices are taken once all are
            // added.
            self.feature_index(load.image);
        }
        for load in loads {
            features.push((self.feature_index(load.image), load.share));
        }
        for (row, value) in &features {
            for (column, other) in &features {
                self.products[*row][*column] += value * other;
            }
            self.targets[*row] += value * log_tail;
        }
        self.has_new_samples = true;
    }

    fn fit(&mut self) {
        if !std::mem::take(&mut self.has_new_samples) {
            return;
        }
        for _ in 0..FIT_SWEEPS {
            for index in 0..self.weights.len() {
                let ridge = if index == 0 { f64::EPSILON } else { RIDGE };
                let row = &self.products[index];
                let others: f64 = row
                    .iter()
                    .zip(&self.weights)
                    .enumerate()
                    .filter(|(column, _)| *column != index)
                    .map(|(_, (product, weight))| product * weight)
                    .sum();
                let weight = (self.targets[index] - others) / (row[index] + ridge);
                self.weights[index] = if index == 0 { weight } else { weight.max(0.0) };
            }
        }
    }

    fn weight(&self, best_effort: ImageKey) -> f64 {
        let found = self.best_efforts.binary_search(&best_effort);
        found.map_or(0.0, |place| self.weights[place + 1])
    }
}

/// Logarithm of tail latency over target that is assumed for an image without samples.
const DEFAULT_BASE: f64 = -0.8;

impl InterferenceModel {
    /// The fits, to be stored for the next coordinator in a row of up to `longest_row` bytes. If not
    /// all of them fit, service images with the most samples lately come first, and for these the
    /// best-effort images that interfere most.
    pub fn export(&self, longest_row: usize, now: TimePoint) -> Vec<LearnedImage> {
        let mut fits: Vec<(usize, &ImageFit)> = self
            .fits
            .iter()
            .enumerate()
            .filter_map(|(place, fit)| Some((place, fit.as_ref()?)))
            .collect();
        let samples = |fit: &ImageFit| fit.products[0][0] * fit.decay_factor(now);
        fits.sort_by(|(_, one), (_, other)| samples(other).total_cmp(&samples(one)));
        let mut room = RowRoom::new(longest_row);
        let mut bases = RowRoom::new(longest_row / BASE_DIVISOR);
        fits.retain(|(place, fit)| {
            // The list of best-effort images may grow up to the length of all of them.
            let base = (&self.names[*place], fit.weights[0], fit.best_efforts.len());
            bases.take(&base) && room.take(&base)
        });
        fits.sort_unstable_by_key(|(place, _)| *place);
        let mut learned: Vec<LearnedImage> = Vec::with_capacity(fits.len());
        let mut pairs: Vec<LearnedPair> = Vec::new();
        for (index, (place, fit)) in fits.into_iter().enumerate() {
            learned.push(LearnedImage {
                image: self.names[place].clone(),
                base: fit.weights[0],
                best_efforts: Vec::new(),
            });
            let factor = fit.decay_factor(now);
            let weights = fit.best_efforts.iter().zip(&fit.weights[1..]);
            pairs.extend(weights.map(|(best_effort, weight)| LearnedPair {
                index,
                best_effort: *best_effort,
                weight: *weight,
                rank: weight * factor,
            }));
        }
        pairs.sort_by(|one, other| other.rank.total_cmp(&one.rank));
        let name = |pair: &LearnedPair| &self.names[pair.best_effort.0 as usize];
        pairs.retain(|pair| room.take(&(name(pair), pair.weight)));
        pairs.sort_unstable_by_key(|pair| (pair.index, pair.best_effort));
        for pair in &pairs {
            let image = &mut learned[pair.index];
            image.best_efforts.push((name(pair).clone(), pair.weight));
        }
        learned
    }

    /// Replaces the fits of these images by those that a former coordinator stored.
    pub fn import(&mut self, learned: Vec<LearnedImage>, now: TimePoint) {
        for image in learned {
            let best_efforts = image.best_efforts.iter();
            let best_efforts: Vec<(ImageKey, f64)> = best_efforts
                .map(|(name, weight)| (self.intern(name), *weight))
                .collect();
            let key = self.intern(&image.image);
            self.fits[key.0 as usize] = Some(ImageFit::imported(image.base, best_efforts, now));
        }
    }

    /// One log line for each service image with a fit; empty until the next report is due.
    pub fn report(&mut self, now: TimePoint) -> Vec<String> {
        if now < self.next_report {
            return Vec::new();
        }
        self.next_report = now + REPORT_INTERVAL;
        let mut lines = Vec::new();
        for (name, fit) in self.names.iter().zip(&self.fits) {
            let Some(fit) = fit else {
                continue;
            };
            let mut line = format!(
                "image={name} samples={:.0} base={:.2}",
                fit.products[0][0], fit.weights[0]
            );
            for (best_effort, weight) in fit.best_efforts.iter().zip(&fit.weights[1..]) {
                let best_effort = &self.names[best_effort.0 as usize];
                line.push_str(&format!(" interferes.{best_effort}={weight:.1}"));
            }
            lines.push(line);
        }
        lines
    }

    /// The key of an image; an unknown name gets a new one.
    pub fn intern(&mut self, name: &str) -> ImageKey {
        let found = self.names.iter().position(|known| known == name);
        let place = found.unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.fits.push(None);
            self.names.len() - 1
        });
        ImageKey(u32::try_from(place).unwrap_or(u32::MAX))
    }

    /// The key of an image; none if it was never interned.
    pub fn find(&self, name: &str) -> Option<ImageKey> {
        let place = self.names.iter().position(|known| known == name)?;
        u32::try_from(place).ok().map(ImageKey)
    }

    /// Adds a sample: the logarithm of a service task's tail latency divided by its target, with
    /// the best-effort loads on its worker. Refits all images when a fit is due.
    pub fn observe(&mut self, image: ImageKey, loads: &[ImageLoad], log_tail: f64, now: TimePoint) {
        let log_tail = log_tail.clamp(LOG_BOUNDS.0, LOG_BOUNDS.1);
        let fit = &mut self.fits[image.0 as usize];
        let fit = fit.get_or_insert_with(|| ImageFit::new(now));
        fit.observe(loads, log_tail, now);
        if now >= self.next_fit {
            self.next_fit = now + FIT_INTERVAL;
            for fit in self.fits.iter_mut().flatten() {
                fit.fit();
            }
        }
    }

    /// Increase in the logarithm of the service image's tail latency if the best-effort image used
    /// a whole worker's processor; 0 without samples of the pair.
    pub fn weight(&self, service: ImageKey, best_effort: ImageKey) -> f64 {
        let fit = self.fits[service.0 as usize].as_ref();
        fit.map_or(0.0, |fit| fit.weight(best_effort))
    }

    /// Predicted logarithm of a service image's tail latency divided by its target, with these
    /// best-effort loads on the same worker.
    pub fn predict(&self, service: ImageKey, loads: impl Iterator<Item = ImageLoad>) -> f64 {
        let fit = self.fits[service.0 as usize].as_ref();
        let base = fit.map_or(DEFAULT_BASE, |fit| fit.weights[0]);
        let interference: f64 = loads
            .map(|load| self.weight(service, load.image) * load.share)
            .sum();
        base + interference
    }
}
