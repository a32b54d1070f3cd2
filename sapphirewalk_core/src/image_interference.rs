//! How much best-effort tasks interfere with the service tasks beside them, learned by pairs of images.
//!
//! The logarithm of a service task's tail, as a share of its target, is taken as a base for its
//! image plus, for each best-effort image beside it, a weight of the pair times the share of the
//! worker's processor that the image uses. The weights are fitted by least squares without
//! negative weights over recent samples. Most pairs turn out not to matter and a few interfere strongly,
//! so placing by pair keeps tails within targets where pacing everything would stop all best-effort work.

use serde::Deserialize;
use serde::Serialize;

use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Samples lose half their weight in this time: loads swing within some 10 s.
const HALF_LIFE: TimeSpan = TimeSpan::from_millis(20_000);
/// Time between fits: a few samples of each worker come in between.
const FIT_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// Time between reports of what has been learned.
const REPORT_INTERVAL: TimeSpan = TimeSpan::from_millis(5_000);
/// Sweeps of the fit over all weights; more change little, since each fit starts at the last.
const FIT_SWEEPS: usize = 12;
/// Pulls weights without evidence to 0; about one sample of a best-effort task on a tenth of a worker.
const RIDGE: f64 = 0.02;
/// Bounds of the logarithm, so that one stalled task doesn't outweigh all others.
const LOG_BOUNDS: (f64, f64) = (-3.0, 2.0);

/// Imported weights count as this many samples, some seconds' worth,
const IMPORTED_SAMPLES: f64 = 60.0;
/// of best-effort tasks that used this share of a worker.
const IMPORTED_SHARE: f64 = 0.1;

/// An image among those seen.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ImageKey(u32);

/// The share of a worker's processor that tasks of an image use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ImageLoad {
    /// The image.
    pub image: ImageKey,
    /// The share, 0 to 1.
    pub share: f64,
}

/// Learns which best-effort images interfere with which service images.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    names: Vec<String>,
    /// One fit for each service image, by key; none for best-effort images.
    fits: Vec<Option<ImageFit>>,
    next_fit: TimePoint,
    next_report: TimePoint,
}

/// The fit of one service image.
#[derive(Debug)]
struct ImageFit {
    /// Best-effort images with a weight, sorted.
    best_efforts: Vec<ImageKey>,
    /// Weighted sums of products of the features; the base's feature comes first and is 1.
    products: Vec<Vec<f64>>,
    /// Weighted sums of the features times the logarithm.
    targets: Vec<f64>,
    /// The base, then the weights of the best-effort tasks.
    weights: Vec<f64>,
    aged_at: TimePoint,
    fresh: bool,
}

/// What has been learned of one service image, as it is stored for a successor.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LearnedImage {
    /// The service image.
    pub image: String,
    /// Logarithm of its tail over its target with nothing beside it.
    pub base: f64,
    /// Best-effort images and the weight of each.
    pub best_efforts: Vec<(String, f64)>,
}

impl ImageFit {
    /// A fit that some samples of the imported weights would have given.
    fn imported(base: f64, best_efforts: Vec<(ImageKey, f64)>, now: TimePoint) -> Self {
        let mut fit = Self::new(now);
        for (image, _) in &best_efforts {
            fit.feature(*image);
        }
        fit.products[0][0] = IMPORTED_SAMPLES;
        fit.weights[0] = base;
        fit.targets[0] = IMPORTED_SAMPLES * base;
        for (image, weight) in best_efforts {
            let at = fit.feature(image);
            let evidence = IMPORTED_SAMPLES * IMPORTED_SHARE * IMPORTED_SHARE;
            fit.products[at][at] = evidence;
            fit.weights[at] = weight;
            fit.targets[at] = evidence * weight;
        }
        fit
    }

    fn new(now: TimePoint) -> Self {
        Self {
            best_efforts: Vec::new(),
            products: vec![vec![0.0]],
            targets: vec![0.0],
            weights: vec![UNSEEN_BASE],
            aged_at: now,
            fresh: false,
        }
    }

    /// The feature of a best-effort image, made if needed.
    fn feature(&mut self, image: ImageKey) -> usize {
        match self.best_efforts.binary_search(&image) {
            Ok(place) => place + 1,
            Err(place) => {
                self.best_efforts.insert(place, image);
                let at = place + 1;
                for row in &mut self.products {
                    row.insert(at, 0.0);
                }
                self.products.insert(at, vec![0.0; self.weights.len() + 1]);
                self.targets.insert(at, 0.0);
                self.weights.insert(at, 0.0);
                at
            }
        }
    }

    fn age(&mut self, now: TimePoint) {
        let span = now.since(self.aged_at).as_secs_f64();
        let factor = (-span / HALF_LIFE.as_secs_f64() * std::f64::consts::LN_2).exp();
        self.aged_at = now;
        for value in self.products.iter_mut().flatten().chain(&mut self.targets) {
            *value *= factor;
        }
    }

    fn observe(&mut self, loads: &[ImageLoad], log_tail: f64, now: TimePoint) {
        self.age(now);
        let mut features = vec![(0, 1.0)];
        for load in loads {
            // A new image moves those behind it, so places are looked up after all are made.
            self.feature(load.image);
        }
        for load in loads {
            features.push((self.feature(load.image), load.share));
        }
        for (row, value) in &features {
            for (column, other) in &features {
                self.products[*row][*column] += value * other;
            }
            self.targets[*row] += value * log_tail;
        }
        self.fresh = true;
    }

    fn fit(&mut self) {
        if !std::mem::take(&mut self.fresh) {
            return;
        }
        for _ in 0..FIT_SWEEPS {
            for at in 0..self.weights.len() {
                let ridge = if at == 0 { f64::EPSILON } else { RIDGE };
                let row = &self.products[at];
                let others: f64 = row
                    .iter()
                    .zip(&self.weights)
                    .enumerate()
                    .filter(|(column, _)| *column != at)
                    .map(|(_, (product, weight))| product * weight)
                    .sum();
                let weight = (self.targets[at] - others) / (row[at] + ridge);
                self.weights[at] = if at == 0 { weight } else { weight.max(0.0) };
            }
        }
    }

    fn weight(&self, best_effort: ImageKey) -> f64 {
        let found = self.best_efforts.binary_search(&best_effort);
        found.map_or(0.0, |place| self.weights[place + 1])
    }
}

/// Logarithm of the tail over the target of an image without samples.
const UNSEEN_BASE: f64 = -0.8;

impl InterferenceModel {
    /// What has been learned, to be stored for a successor.
    pub fn export(&self) -> Vec<LearnedImage> {
        let fits = self.names.iter().zip(&self.fits);
        let learned = fits.filter_map(|(name, fit)| {
            let fit = fit.as_ref()?;
            let weights = fit.best_efforts.iter().zip(&fit.weights[1..]);
            Some(LearnedImage {
                image: name.clone(),
                base: fit.weights[0],
                best_efforts: weights
                    .map(|(best_effort, weight)| {
                        (self.names[best_effort.0 as usize].clone(), *weight)
                    })
                    .collect(),
            })
        });
        learned.collect()
    }

    /// Takes over what a predecessor has learned.
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

    /// What has been learned of each service image, as text, when a report is due.
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

    /// The key of an image, made if needed.
    pub fn intern(&mut self, name: &str) -> ImageKey {
        let found = self.names.iter().position(|known| known == name);
        let place = found.unwrap_or_else(|| {
            self.names.push(name.to_owned());
            self.fits.push(None);
            self.names.len() - 1
        });
        ImageKey(u32::try_from(place).unwrap_or(u32::MAX))
    }

    /// The key of an image that has been seen.
    pub fn find(&self, name: &str) -> Option<ImageKey> {
        let place = self.names.iter().position(|known| known == name)?;
        u32::try_from(place).ok().map(ImageKey)
    }

    /// Takes a sample: a service task's tail over its target, beside these best-effort images.
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

    /// By how much the logarithm of a service image's tail rises for each whole worker's
    /// processor that a best-effort image uses.
    pub fn weight(&self, service: ImageKey, best_effort: ImageKey) -> f64 {
        let fit = self.fits[service.0 as usize].as_ref();
        fit.map_or(0.0, |fit| fit.weight(best_effort))
    }

    /// The expected logarithm of a service image's tail over its target beside these images.
    pub fn predict(&self, service: ImageKey, loads: impl Iterator<Item = ImageLoad>) -> f64 {
        let fit = self.fits[service.0 as usize].as_ref();
        let base = fit.map_or(UNSEEN_BASE, |fit| fit.weights[0]);
        let interference: f64 = loads
            .map(|load| self.weight(service, load.image) * load.share)
            .sum();
        base + interference
    }
}
