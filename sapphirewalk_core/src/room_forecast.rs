//! Forecasts when a worker has room for a demand, from the progress of its runs.
//!
//! It answers loads in which wide or large tasks wait on a pool that small tasks fill: a reservation
//! needs the worker whose runs free enough soonest. Estimates of callers are off by up to ten times,
//! so the error of each kind of forecast is measured against the ends of the runs, and widens the
//! next ones.

use crate::job_registry::TaskSlot;
use crate::resource::ResourceVector;
use crate::run_progress::RunProgress;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::WorkerSlot;

/// Expected time from a stop order to the end of the run, before any is measured: the longest that
/// deployments allow.
const STOP_SPAN: TimeSpan = TimeSpan::from_millis(900);
/// Expected time from the choice of a worker to the beginning of the run.
const START_SPAN: TimeSpan = TimeSpan::from_millis(30);
/// Least time until the end of a run that has passed its forecast.
const SHORTEST_LEFT: TimeSpan = TimeSpan::from_millis(20);
/// A run that has outlasted its estimate is expected to last for this share of its age.
const OUTLASTED_SHARE: f64 = 0.5;
/// How long a cached forecast of a worker is used.
const CACHE_SPAN: TimeSpan = TimeSpan::from_millis(200);
/// Most forecasts whose outcome is awaited.
const MAX_SAMPLES: usize = 256;
/// Time after which an outcome is no longer awaited.
const SAMPLE_SPAN: TimeSpan = TimeSpan::from_secs(60);
/// Weight of a new outcome in the measured error.
const ERROR_WEIGHT: f64 = 0.05;
/// Bound on the logarithm of an error: factors of ten either way.
const MAX_LOG_ERROR: f64 = 2.3;

/// What the forecast of a run's end is based on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ForecastSource {
    /// The speed of the run itself.
    Progress,
    /// The speed of the other tasks of its step.
    Siblings,
    /// The caller's estimate.
    Estimate,
    /// The time that stops take.
    Stop,
}

/// Stage of a run that occupies resources.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunStage {
    /// The run has not begun.
    Starting,
    /// The run makes progress.
    Running,
    /// A stop is ordered.
    Stopping,
    /// The run doesn't end by itself.
    Endless,
}

/// What is known about a run.
#[derive(Clone, Copy, Debug)]
pub struct RunFacts {
    /// Task of the run.
    pub slot: TaskSlot,
    /// Number of the run.
    pub attempt: u32,
    /// Stage of the run.
    pub stage: RunStage,
    /// Resources that its end frees.
    pub frees: ResourceVector,
    /// The caller's estimate of the run time.
    pub estimate: TimeSpan,
    /// Speed of the other tasks of the step in whole runs per second; none if unknown.
    pub usual_speed: Option<f64>,
    /// Progress as last reported.
    pub progress: RunProgress,
    /// When the run entered its stage.
    pub since: TimePoint,
    /// When the progress was reported.
    pub reported_at: TimePoint,
}

/// Forecast of the end of one run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunForecast {
    /// Task of the run.
    pub slot: TaskSlot,
    /// What the forecast is based on.
    pub source: ForecastSource,
    /// Expected end.
    pub expected: TimePoint,
    /// End that is rarely exceeded, by the measured error.
    pub latest: TimePoint,
    /// Resources that the end frees.
    pub frees: ResourceVector,
}

/// Forecast of the time at which a worker has room for a demand.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomForecast {
    /// Expected time.
    pub expected: TimePoint,
    /// Time that is rarely exceeded, by the measured error.
    pub latest: TimePoint,
    /// Resources that are free then beyond the demand.
    pub spare: ResourceVector,
}

/// Measured error of the forecasts of one source, of the logarithm of actual to forecast time.
#[derive(Clone, Copy, Debug, PartialEq)]
struct ForecastError {
    /// Mean; positive if runs take longer than forecast.
    bias: f64,
    /// Mean absolute deviation from the bias.
    deviation: f64,
}

/// A forecast whose outcome is awaited.
#[derive(Clone, Copy, Debug)]
struct ForecastSample {
    slot: TaskSlot,
    attempt: u32,
    source: ForecastSource,
    made_at: TimePoint,
    /// Forecast time until the end, without the correction by the measured error.
    raw_left: TimeSpan,
}

/// Forecasts of the runs of one worker.
#[derive(Clone, Debug)]
struct CachedForecast {
    worker: WorkerSlot,
    made_at: TimePoint,
    /// Number of tasks and resources in use when it was made.
    tasks: usize,
    used: ResourceVector,
    /// Sorted by latest end.
    runs: Vec<RunForecast>,
}

/// Forecasts of runs, their measured errors, and a cache by worker.
#[derive(Clone, Debug)]
pub struct RoomForecaster {
    /// By [`ForecastSource`].
    errors: [ForecastError; 4],
    /// Sorted by slot.
    samples: Vec<ForecastSample>,
    /// Sorted by worker.
    cache: Vec<CachedForecast>,
}

impl ForecastError {
    const fn starting_at(deviation: f64) -> Self {
        Self {
            bias: 0.0,
            deviation,
        }
    }

    fn observe(&mut self, log_ratio: f64) {
        let log_ratio = log_ratio.clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR);
        let deviation = (log_ratio - self.bias).abs();
        self.bias += (log_ratio - self.bias) * ERROR_WEIGHT;
        self.deviation += (deviation - self.deviation) * ERROR_WEIGHT;
    }

    fn expected(&self, raw: TimeSpan) -> TimeSpan {
        raw.scale(self.bias.exp())
    }

    fn latest(&self, raw: TimeSpan) -> TimeSpan {
        let log_error = (self.bias + self.deviation).clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR);
        raw.scale(log_error.exp())
    }
}

impl Default for RoomForecaster {
    fn default() -> Self {
        Self {
            // Until outcomes are measured, the deviations are assumed: progress is exact to 1 %
            // and a poll, and estimates are off by a factor of two.
            errors: [
                ForecastError::starting_at(0.15),
                ForecastError::starting_at(0.3),
                ForecastError::starting_at(0.7),
                ForecastError::starting_at(0.1),
            ],
            samples: Vec::new(),
            cache: Vec::new(),
        }
    }
}

impl RoomForecaster {
    /// Forecasts the end of a run; `None` if it doesn't end by itself.
    pub fn forecast_run(&self, facts: &RunFacts, now: TimePoint) -> Option<RunForecast> {
        let (source, raw_left) = self.raw_left(facts, now)?;
        let error = self.errors[source as usize];
        Some(RunForecast {
            slot: facts.slot,
            source,
            expected: now + error.expected(raw_left),
            latest: now + error.latest(raw_left),
            frees: facts.frees,
        })
    }

    /// Longest time that a task of a step is expected to take if it is placed now.
    pub fn latest_span(&self, estimate: TimeSpan, usual_speed: Option<f64>) -> TimeSpan {
        let (source, raw) = whole_run(estimate, usual_speed);
        START_SPAN + self.errors[source as usize].latest(raw)
    }

    /// Time until the end of a run without the correction by the measured error.
    fn raw_left(&self, facts: &RunFacts, now: TimePoint) -> Option<(ForecastSource, TimeSpan)> {
        let (source, raw) = whole_run(facts.estimate, facts.usual_speed);
        match facts.stage {
            RunStage::Endless => None,
            RunStage::Stopping => {
                let noticed = self.sample(facts, ForecastSource::Stop);
                let noticed_at = noticed.map_or(now, |sample| sample.made_at);
                let left = (noticed_at + STOP_SPAN).since(now).max(SHORTEST_LEFT);
                Some((ForecastSource::Stop, left))
            }
            RunStage::Starting => Some((source, START_SPAN + raw)),
            RunStage::Running => {
                if let Some(left) = progress_left(&facts.progress) {
                    let left = (facts.reported_at + left).since(now).max(SHORTEST_LEFT);
                    return Some((ForecastSource::Progress, left));
                }
                let left = (facts.since + raw).since(now);
                if left > TimeSpan::ZERO {
                    return Some((source, left));
                }
                let age = now.since(facts.since);
                Some((source, age.scale(OUTLASTED_SHARE).max(SHORTEST_LEFT)))
            }
        }
    }

    fn sample(&self, facts: &RunFacts, source: ForecastSource) -> Option<&ForecastSample> {
        let found = self
            .samples
            .binary_search_by_key(&facts.slot, |entry| entry.slot);
        let sample = found.ok().map(|place| &self.samples[place]);
        sample.filter(|sample| (sample.attempt, sample.source) == (facts.attempt, source))
    }

    /// Awaits the outcome of a run's forecast, unless too many are awaited. Forecasts of the same
    /// run by the same source are measured once.
    pub fn await_end(&mut self, facts: &RunFacts, now: TimePoint) {
        let Some((source, raw_left)) = self.raw_left(facts, now) else {
            return;
        };
        let sample = ForecastSample {
            slot: facts.slot,
            attempt: facts.attempt,
            source,
            made_at: now,
            raw_left,
        };
        let found = self
            .samples
            .binary_search_by_key(&facts.slot, |entry| entry.slot);
        match found {
            Ok(_) if self.sample(facts, source).is_some() => {}
            Ok(place) => self.samples[place] = sample,
            Err(_) if self.samples.len() >= MAX_SAMPLES => {
                let oldest = now - SAMPLE_SPAN;
                self.samples.retain(|sample| sample.made_at > oldest);
            }
            Err(place) => self.samples.insert(place, sample),
        }
    }

    /// Measures the forecast of a run that has ended at `now`, if it was awaited. Runs that were
    /// `stopped` tell nothing about the other forecasts.
    pub fn observe_end(&mut self, slot: TaskSlot, attempt: u32, stopped: bool, now: TimePoint) {
        let found = self.samples.binary_search_by_key(&slot, |entry| entry.slot);
        let Ok(place) = found else {
            return;
        };
        let sample = self.samples.remove(place);
        if sample.attempt != attempt || stopped != (sample.source == ForecastSource::Stop) {
            return;
        }
        let actual = now.since(sample.made_at).max(SHORTEST_LEFT).as_secs_f64();
        let forecast = sample.raw_left.max(SHORTEST_LEFT).as_secs_f64();
        self.errors[sample.source as usize].observe((actual / forecast).ln());
    }

    /// The forecasts of a worker's runs, if they are recent and were made for the same `tasks` in
    /// number and the same resources in use.
    pub fn cached(
        &self,
        worker: WorkerSlot,
        tasks: usize,
        used: ResourceVector,
        now: TimePoint,
    ) -> Option<&[RunForecast]> {
        let found = self
            .cache
            .binary_search_by_key(&worker, |entry| entry.worker);
        let entry = &self.cache[found.ok()?];
        let fresh = now.since(entry.made_at) < CACHE_SPAN;
        (fresh && entry.tasks == tasks && entry.used == used).then_some(&entry.runs)
    }

    /// Caches the forecasts of a worker's runs. Those that end after `horizon` are left out.
    pub fn cache(
        &mut self,
        worker: WorkerSlot,
        (tasks, used): (usize, ResourceVector),
        mut runs: Vec<RunForecast>,
        horizon: TimePoint,
        now: TimePoint,
    ) {
        runs.retain(|run| run.latest <= horizon);
        runs.sort_unstable_by_key(|run| run.latest);
        let entry = CachedForecast {
            worker,
            made_at: now,
            tasks,
            used,
            runs,
        };
        let found = self
            .cache
            .binary_search_by_key(&worker, |entry| entry.worker);
        match found {
            Ok(place) => self.cache[place] = entry,
            Err(place) => self.cache.insert(place, entry),
        }
    }
}

/// When a demand fits, given what is `free` now and the ends of `runs`, sorted by latest end. `None`
/// if it doesn't fit after the last of them.
pub fn room_for(
    runs: &[RunForecast],
    free: ResourceVector,
    demand: ResourceVector,
    now: TimePoint,
) -> Option<RoomForecast> {
    let mut room = free;
    let (mut expected, mut latest) = (now, now);
    let mut runs = runs.iter();
    while !demand.fits(room) {
        let run = runs.next()?;
        room = room + run.frees;
        expected = expected.max(run.expected);
        latest = latest.max(run.latest);
    }
    Some(RoomForecast {
        expected,
        latest,
        spare: room.saturating_sub(demand),
    })
}

/// Time from the last report to the end of a run, by its own speed; `None` while that is unknown.
fn progress_left(progress: &RunProgress) -> Option<TimeSpan> {
    let speed = progress.speed().filter(|speed| *speed > 0.0)?;
    let left = f64::from(100u32.saturating_sub(progress.percent())) / 100.0;
    Some(TimeSpan::from_secs(1).scale(left / speed))
}

/// Run time of a task and what it is based on.
fn whole_run(estimate: TimeSpan, usual_speed: Option<f64>) -> (ForecastSource, TimeSpan) {
    match usual_speed.filter(|speed| *speed > 0.0) {
        Some(speed) => {
            let span = TimeSpan::from_secs(1).scale(1.0 / speed);
            (ForecastSource::Siblings, span)
        }
        None => (ForecastSource::Estimate, estimate),
    }
}
