//! Outlier detection for endpoints: ejection of slow and failing ones, readmission by probes.
//!
//! An endpoint is compared with the median of its service, so that a slowdown of all endpoints
//! ejects none. An incarnation that announced its shutdown is flagged as leaving and gets no
//! further request.

use crate::key::EndpointKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Weight of a new sample in the moving averages of an endpoint.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Upper bound on the doublings of an ejection's duration.
const DOUBLINGS_MAX: u32 = 8;
const PERMILLE: usize = 1_000;

/// Thresholds and durations of ejection and readmission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionParams {
    /// Maximum number of endpoints ejected at once, in thousandths of those that are not leaving.
    /// Rounded down, so 200 permits no ejection among fewer than 5 endpoints.
    pub max_ejected_permille: usize,
    /// An endpoint is ejected when its average latency ratio exceeds this multiple of the median,
    /// or of 1 if the median is lower.
    pub slow_factor: f64,
    /// An endpoint is ejected when its failure ratio exceeds the median by more than this.
    pub failure_ratio: f64,
    /// Samples needed before the averages of an endpoint are evaluated.
    pub min_samples: u32,
    /// Consecutive failures that eject an endpoint regardless of its number of samples.
    pub consecutive_failures: u32,
    /// Duration of the first ejection; each further one lasts twice as long.
    pub first_ejection: TimeSpan,
    /// Upper bound on the duration of an ejection.
    pub max_ejection: TimeSpan,
    /// Consecutive successful probes that readmit an endpoint.
    pub probes_to_readmit: u32,
    /// Consecutive overdue requests that make an endpoint suspect; a single failure does so too.
    pub consecutive_overdue: u32,
    /// Answers in normal time, without a new failure, that clear a suspect endpoint.
    pub answers_to_clear: u32,
}

/// Observation of one request at an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSample {
    /// The endpoint answered.
    Answered {
        /// Time from dispatch to the complete answer.
        latency: TimeSpan,
        /// Typical latency of requests of the same kind.
        expected: TimeSpan,
    },
    /// The request was abandoned without an answer.
    Abandoned {
        /// Time from dispatch until the request was abandoned.
        waited: TimeSpan,
        /// Typical latency of requests of the same kind.
        expected: TimeSpan,
    },
    /// The request is still running after a time within which nearly all requests of its kind end.
    Overdue,
    /// The request was refused, was cut off, timed out or got a server error.
    Failed,
}

/// Requests that an endpoint may get now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthStep {
    /// Any requests, up to the share.
    Serve,
    /// Requests up to the share. A request that is not idempotent is sent here only if no other
    /// endpoint has a free slot, since it could not be retried.
    Suspect,
    /// One idempotent request at a time.
    Probe,
    /// No requests until this point.
    EjectedUntil(TimePoint),
    /// No requests any more: this incarnation is shutting down or is not in the table.
    Leaving,
}

/// Health of all endpoints of one service.
#[derive(Clone, Debug)]
pub struct HealthTable {
    params: EjectionParams,
    /// Sorted by endpoint.
    records: Vec<HealthRecord>,
}

#[derive(Clone, Debug)]
struct HealthRecord {
    endpoint: EndpointKey,
    state: HealthState,
    /// Set once the incarnation announced its shutdown; never reset.
    is_leaving: bool,
    /// Moving average of latency divided by expected latency.
    latency_ratio: f64,
    /// Moving average of the fraction of requests that failed.
    failure_ratio: f64,
    samples: u32,
    consecutive_failures: u32,
    consecutive_overdue: u32,
    /// Answers in normal time still needed before the endpoint is no longer suspect; zero if it is
    /// not.
    answers_needed: u32,
    /// Ejections so far; not reset by readmission.
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HealthState {
    Serving,
    Ejected { until: TimePoint },
    Probing { passed: u32 },
}

impl Default for EjectionParams {
    fn default() -> Self {
        Self {
            max_ejected_permille: 200,
            slow_factor: 2.5,
            failure_ratio: 0.2,
            min_samples: 10,
            consecutive_failures: 3,
            first_ejection: TimeSpan::from_secs(1),
            max_ejection: TimeSpan::from_secs(30),
            probes_to_readmit: 5,
            consecutive_overdue: 2,
            answers_to_clear: 5,
        }
    }
}

impl HealthTable {
    /// A table without endpoints that ejects according to `params`.
    pub const fn new(params: EjectionParams) -> Self {
        Self {
            params,
            records: Vec::new(),
        }
    }

    /// Adds an incarnation of an endpoint; has no effect on one that is in the table already.
    pub fn put_endpoint(&mut self, endpoint: EndpointKey) {
        if let Err(position) = self.search(endpoint) {
            self.records.insert(position, HealthRecord::new(endpoint));
        }
    }

    /// Flags an incarnation as leaving, and adds it if it is unknown.
    ///
    /// The flag persists when a later endpoint list names the incarnation again.
    pub fn mark_leaving(&mut self, endpoint: EndpointKey) {
        self.put_endpoint(endpoint);
        if let Ok(position) = self.search(endpoint) {
            self.records[position].is_leaving = true;
        }
    }

    /// Removes an incarnation that is in no endpoint list any more and cannot return.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        if let Ok(position) = self.search(endpoint) {
            self.records.remove(position);
        }
    }

    /// Whether the incarnation is flagged as leaving; false if it is unknown.
    pub fn is_leaving(&self, endpoint: EndpointKey) -> bool {
        self.search(endpoint)
            .is_ok_and(|position| self.records[position].is_leaving)
    }

    /// Requests that the endpoint may get at `now`; none if it is unknown.
    pub fn step(&self, endpoint: EndpointKey, now: TimePoint) -> HealthStep {
        let Ok(position) = self.search(endpoint) else {
            return HealthStep::Leaving;
        };
        let record = &self.records[position];
        match record.state {
            _ if record.is_leaving => HealthStep::Leaving,
            HealthState::Ejected { until } if now < until => HealthStep::EjectedUntil(until),
            HealthState::Ejected { .. } | HealthState::Probing { .. } => HealthStep::Probe,
            HealthState::Serving if record.answers_needed > 0 => HealthStep::Suspect,
            HealthState::Serving => HealthStep::Serve,
        }
    }

    /// Updates the averages of an endpoint, and ejects or readmits it where a threshold is reached.
    pub fn record(&mut self, endpoint: EndpointKey, sample: HealthSample, now: TimePoint) {
        let Ok(position) = self.search(endpoint) else {
            return;
        };
        self.records[position].update_averages(sample);
        self.records[position].update_suspicion(sample, self.params);
        match self.records[position].state {
            HealthState::Serving => self.evaluate_serving(position, now),
            HealthState::Ejected { until } if now < until => {}
            HealthState::Ejected { .. } => self.evaluate_probe(position, 0, sample, now),
            HealthState::Probing { passed } => self.evaluate_probe(position, passed, sample, now),
        }
    }

    /// Number of endpoints that are ejected or being probed.
    pub fn ejected(&self) -> usize {
        self.records
            .iter()
            .filter(|record| record.is_ejected())
            .count()
    }

    fn evaluate_serving(&mut self, position: usize, now: TimePoint) {
        if self.is_outlier(position) && self.may_eject() {
            self.eject(position, now);
        }
    }

    fn evaluate_probe(
        &mut self,
        position: usize,
        passed: u32,
        sample: HealthSample,
        now: TimePoint,
    ) {
        if sample == HealthSample::Overdue {
            return;
        }
        if !self.is_probe_success(sample) {
            self.eject(position, now);
            return;
        }
        let passed = passed + 1;
        if passed >= self.params.probes_to_readmit {
            self.records[position].readmit();
        } else {
            self.records[position].state = HealthState::Probing { passed };
        }
    }

    fn is_outlier(&self, position: usize) -> bool {
        let record = &self.records[position];
        if record.consecutive_failures >= self.params.consecutive_failures {
            return true;
        }
        if record.samples < self.params.min_samples {
            return false;
        }
        let latency_limit =
            self.params.slow_factor * self.median_of(|other| other.latency_ratio).max(1.0);
        let failure_limit = self.params.failure_ratio + self.median_of(|other| other.failure_ratio);
        record.latency_ratio > latency_limit || record.failure_ratio > failure_limit
    }

    fn is_probe_success(&self, sample: HealthSample) -> bool {
        let median = self.median_of(|other| other.latency_ratio).max(1.0);
        match sample {
            HealthSample::Answered { latency, expected } => {
                ratio_to_expected(latency, expected) <= median * self.params.slow_factor
            }
            HealthSample::Abandoned { .. } | HealthSample::Overdue | HealthSample::Failed => false,
        }
    }

    /// Whether one more ejection stays within the limit on ejected endpoints.
    fn may_eject(&self) -> bool {
        let present = self.records.iter().filter(|record| !record.is_leaving);
        let limit = present.count() * self.params.max_ejected_permille / PERMILLE;
        self.ejected() < limit
    }

    fn eject(&mut self, position: usize, now: TimePoint) {
        let record = &mut self.records[position];
        let doublings = record.ejections.min(DOUBLINGS_MAX);
        let factor = f64::from(1_u32 << doublings);
        let span = self.params.first_ejection.scale(factor);
        record.ejections += 1;
        record.state = HealthState::Ejected {
            until: now + span.min(self.params.max_ejection),
        };
    }

    /// Median of a figure over the endpoints that have samples and are not leaving.
    fn median_of(&self, figure: impl Fn(&HealthRecord) -> f64) -> f64 {
        let mut figures: Vec<f64> = self
            .records
            .iter()
            .filter(|record| !record.is_leaving && record.samples > 0)
            .map(figure)
            .collect();
        figures.sort_by(f64::total_cmp);
        figures.get(figures.len() / 2).copied().unwrap_or(0.0)
    }

    fn search(&self, endpoint: EndpointKey) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&endpoint, |record| record.endpoint)
    }
}

impl HealthRecord {
    const fn new(endpoint: EndpointKey) -> Self {
        Self {
            endpoint,
            state: HealthState::Serving,
            is_leaving: false,
            latency_ratio: 1.0,
            failure_ratio: 0.0,
            samples: 0,
            consecutive_failures: 0,
            consecutive_overdue: 0,
            answers_needed: 0,
            ejections: 0,
        }
    }

    const fn is_ejected(&self) -> bool {
        !self.is_leaving && !matches!(self.state, HealthState::Serving)
    }

    fn update_suspicion(&mut self, sample: HealthSample, params: EjectionParams) {
        match sample {
            HealthSample::Answered { latency, expected } => {
                if ratio_to_expected(latency, expected) <= params.slow_factor {
                    self.consecutive_overdue = 0;
                    self.answers_needed = self.answers_needed.saturating_sub(1);
                }
            }
            HealthSample::Overdue => {
                self.consecutive_overdue = self.consecutive_overdue.saturating_add(1);
                if self.consecutive_overdue >= params.consecutive_overdue {
                    self.answers_needed = params.answers_to_clear;
                }
            }
            HealthSample::Failed => self.answers_needed = params.answers_to_clear,
            HealthSample::Abandoned { .. } => {}
        }
    }

    fn update_averages(&mut self, sample: HealthSample) {
        if sample == HealthSample::Overdue {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        match sample {
            HealthSample::Answered { latency, expected } => {
                self.consecutive_failures = 0;
                self.failure_ratio -= self.failure_ratio * SAMPLE_WEIGHT;
                self.latency_ratio +=
                    (ratio_to_expected(latency, expected) - self.latency_ratio) * SAMPLE_WEIGHT;
            }
            HealthSample::Abandoned { waited, expected } => {
                let at_least = ratio_to_expected(waited, expected).max(self.latency_ratio);
                self.latency_ratio += (at_least - self.latency_ratio) * SAMPLE_WEIGHT;
            }
            HealthSample::Overdue => {}
            HealthSample::Failed => {
                self.consecutive_failures = self.consecutive_failures.saturating_add(1);
                self.failure_ratio += (1.0 - self.failure_ratio) * SAMPLE_WEIGHT;
            }
        }
    }

    const fn readmit(&mut self) {
        self.state = HealthState::Serving;
        self.latency_ratio = 1.0;
        self.failure_ratio = 0.0;
        self.samples = 0;
        self.consecutive_failures = 0;
        self.consecutive_overdue = 0;
        self.answers_needed = 0;
    }
}

fn ratio_to_expected(latency: TimeSpan, expected: TimeSpan) -> f64 {
    latency.as_micros() as f64 / expected.as_micros().max(1) as f64
}
