//! How much filling tasks press on the lasting tasks beside them, learned by pairs of images.
//!
//! The logarithm of a lasting task's tail, as a share of its target, is taken as a base for its
//! image plus, for each filling image beside it, a weight of the pair times the share of the
//! worker's processor that the image uses. The weights are fitted by least squares without
//! negative weights over recent samples. Most pairs turn out not to matter and a few press hard,
//! so placing by pair keeps tails within targets where pacing everything would stop all filling.

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
/// Pulls weights without evidence to 0; about one sample of a filler on a tenth of a worker.
const RIDGE: f64 = 0.02;
/// Bounds of the logarithm, so that one stalled task doesn't outweigh all others.
const LOG_BOUNDS: (f64, f64) = (-3.0, 2.0);

/// Handed-on weights count as this many samples, some seconds' worth,
const HANDED_ON_SAMPLES: f64 = 60.0;
/// of fillers that used this share of a worker.
const HANDED_ON_SHARE: f64 = 0.1;

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

/// Learns which filling images press on which lasting images.
#[derive(Debug, Default)]
pub struct PressureModel {
    names: Vec<String>,
    /// One fit for each lasting image, by key; none for images that only fill.
    fits: Vec<Option<ImageFit>>,
    next_fit: TimePoint,
    next_report: TimePoint,
}

/// The fit of one lasting image.
#[derive(Debug)]
struct ImageFit {
    /// Filling images with a weight, sorted.
    fillers: Vec<ImageKey>,
    /// Weighted sums of products of the features; the base's feature comes first and is 1.
    products: Vec<Vec<f64>>,
    /// Weighted sums of the features times the logarithm.
    targets: Vec<f64>,
    /// The base, then the weights of the fillers.
    weights: Vec<f64>,
    aged_at: TimePoint,
    fresh: bool,
}

/// What has been learned of one lasting image, as a coordinator hands it on.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LearnedImage {
    /// The lasting image.
    pub image: String,
    /// Logarithm of its tail over its target with nothing beside it.
    pub base: f64,
    /// Filling images and the weight of each.
    pub fillers: Vec<(String, f64)>,
}

impl ImageFit {
    /// A fit that some samples of the handed-on weights would have given.
    fn handed_on(base: f64, fillers: Vec<(ImageKey, f64)>, now: TimePoint) -> Self {
        let mut fit = Self::new(now);
        for (image, _) in &fillers {
            fit.feature(*image);
        }
        fit.products[0][0] = HANDED_ON_SAMPLES;
        fit.weights[0] = base;
        fit.targets[0] = HANDED_ON_SAMPLES * base;
        for (image, weight) in fillers {
            let at = fit.feature(image);
            let evidence = HANDED_ON_SAMPLES * HANDED_ON_SHARE * HANDED_ON_SHARE;
            fit.products[at][at] = evidence;
            fit.weights[at] = weight;
            fit.targets[at] = evidence * weight;
        }
        fit
    }

    fn new(now: TimePoint) -> Self {
        Self {
            fillers: Vec::new(),
            products: vec![vec![0.0]],
            targets: vec![0.0],
            weights: vec![UNSEEN_BASE],
            aged_at: now,
            fresh: false,
        }
    }

    /// The feature of a filling image, made if needed.
    fn feature(&mut self, image: ImageKey) -> usize {
        match self.fillers.binary_search(&image) {
            Ok(place) => place + 1,
            Err(place) => {
                self.fillers.insert(place, image);
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

    fn weight(&self, filler: ImageKey) -> f64 {
        let found = self.fillers.binary_search(&filler);
        found.map_or(0.0, |place| self.weights[place + 1])
    }
}

/// Logarithm of the tail over the target of an image without samples.
const UNSEEN_BASE: f64 = -0.8;

impl PressureModel {
    /// What has been learned, to be handed on to a successor.
    pub fn hand_on(&self) -> Vec<LearnedImage> {
        let fits = self.names.iter().zip(&self.fits);
        let learned = fits.filter_map(|(name, fit)| {
            let fit = fit.as_ref()?;
            let weights = fit.fillers.iter().zip(&fit.weights[1..]);
            Some(LearnedImage {
                image: name.clone(),
                base: fit.weights[0],
                fillers: weights
                    .map(|(filler, weight)| (self.names[filler.0 as usize].clone(), *weight))
                    .collect(),
            })
        });
        learned.collect()
    }

    /// Takes over what a predecessor has learned.
    pub fn take_over(&mut self, learned: Vec<LearnedImage>, now: TimePoint) {
        for image in learned {
            let fillers = image.fillers.iter();
            let fillers: Vec<(ImageKey, f64)> = fillers
                .map(|(name, weight)| (self.intern(name), *weight))
                .collect();
            let key = self.intern(&image.image);
            self.fits[key.0 as usize] = Some(ImageFit::handed_on(image.base, fillers, now));
        }
    }

    /// What has been learned of each lasting image, as text, when a report is due.
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
            for (filler, weight) in fit.fillers.iter().zip(&fit.weights[1..]) {
                let filler = &self.names[filler.0 as usize];
                line.push_str(&format!(" presses.{filler}={weight:.1}"));
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

    /// Takes a sample: a lasting task's tail over its target, beside these filling images.
    pub fn observe(&mut self, image: ImageKey, loads: &[ImageLoad], ratio: f64, now: TimePoint) {
        let log_tail = ratio.max(f64::MIN_POSITIVE).ln();
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

    /// By how much the logarithm of a lasting image's tail rises for each whole worker's
    /// processor that a filling image uses.
    pub fn weight(&self, lasting: ImageKey, filler: ImageKey) -> f64 {
        let fit = self.fits[lasting.0 as usize].as_ref();
        fit.map_or(0.0, |fit| fit.weight(filler))
    }

    /// The expected logarithm of a lasting image's tail over its target beside these images.
    pub fn expect(&self, lasting: ImageKey, loads: &[ImageLoad]) -> f64 {
        let fit = self.fits[lasting.0 as usize].as_ref();
        let base = fit.map_or(UNSEEN_BASE, |fit| fit.weights[0]);
        let pressure: f64 = loads
            .iter()
            .map(|load| self.weight(lasting, load.image) * load.share)
            .sum();
        base + pressure
    }
}
