//! Health of endpoints: ejection of slow and failing ones, probing return, and leaving marks.

use crate::key::EndpointKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Weight of a new sample in an endpoint's averages.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Most times that an ejection's length is doubled.
const MOST_DOUBLINGS: u32 = 8;
/// Thousandths in a whole.
const WHOLE_PERMILLE: usize = 1_000;

/// The terms of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionParams {
    /// Most endpoints ejected at once, in thousandths of those known.
    pub max_ejected_permille: usize,
    /// An endpoint is slow when its average exceeds the median by this factor.
    pub slow_factor: f64,
    /// An endpoint fails when its part of failed requests exceeds the median by this.
    pub failed_part: f64,
    /// Samples needed before an endpoint is judged.
    pub min_samples: u32,
    /// Failures in a row that eject an endpoint with fewer samples.
    pub failures_in_row: u32,
    /// The first ejection lasts this long; each further one doubles it.
    pub first_ejection: TimeSpan,
    /// The longest ejection.
    pub max_ejection: TimeSpan,
    /// Good probes in a row before an endpoint serves again.
    pub probes_to_readmit: u32,
    /// Overdue requests in a row that make an endpoint suspect; one failure does.
    pub overdue_in_row: u32,
    /// Good answers in a row that clear a suspect endpoint.
    pub answers_to_clear: u32,
}

/// How a request at an endpoint ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthSample {
    /// It was answered after `latency`, usually `expected` for its kind.
    Answered {
        /// From dispatch to the whole answer.
        latency: TimeSpan,
        /// What requests of the kind usually take.
        expected: TimeSpan,
    },
    /// It was abandoned after `waited` without an answer, usually `expected` for its kind.
    Abandoned {
        /// From dispatch to the abandonment.
        waited: TimeSpan,
        /// What requests of the kind usually take.
        expected: TimeSpan,
    },
    /// It has had no answer for longer than nearly all requests of its kind take; it goes on.
    Overdue,
    /// It failed: refused, broken off, timed out, or answered with a server error.
    Failed,
}

/// What an endpoint may be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HealthStep {
    /// Requests, up to the share.
    Serve,
    /// Requests, up to the share; one that is not idempotent only where no other endpoint has a
    /// free slot, since it could not be sent again.
    Suspect,
    /// One idempotent request at a time.
    Probe,
    /// Nothing until this point.
    EjectedUntil(TimePoint),
    /// Nothing any more: this incarnation leaves.
    Leaving,
}

/// The health of all endpoints of a service.
#[derive(Clone, Debug)]
pub struct HealthTable {
    terms: EjectionParams,
    /// Sorted by endpoint.
    records: Vec<HealthRecord>,
}

#[derive(Clone, Debug)]
struct HealthRecord {
    endpoint: EndpointKey,
    state: HealthState,
    is_leaving: bool,
    /// Average of latency over what is expected.
    slowness: f64,
    /// Average part of requests that failed.
    failed_part: f64,
    samples: u32,
    failures_in_row: u32,
    overdue_in_row: u32,
    /// Good answers still needed before the endpoint is no longer suspect.
    answers_needed: u32,
    ejections: u32,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HealthState {
    Serving,
    Ejected { until: TimePoint },
    Probing { good: u32 },
}

impl Default for EjectionParams {
    fn default() -> Self {
        Self {
            max_ejected_permille: 200,
            slow_factor: 2.5,
            failed_part: 0.2,
            min_samples: 10,
            failures_in_row: 3,
            first_ejection: TimeSpan::from_secs(1),
            max_ejection: TimeSpan::from_secs(30),
            probes_to_readmit: 5,
            overdue_in_row: 2,
            answers_to_clear: 5,
        }
    }
}

impl HealthTable {
    /// A table without endpoints.
    pub const fn new(terms: EjectionParams) -> Self {
        Self {
            terms,
            records: Vec::new(),
        }
    }

    /// Adds an incarnation of an endpoint. One that is known keeps its health and leaving mark.
    pub fn put_endpoint(&mut self, endpoint: EndpointKey) {
        if let Err(position) = self.search(endpoint) {
            self.records.insert(position, HealthRecord::new(endpoint));
        }
    }

    /// Marks an incarnation as leaving, known or not. No list takes the mark back.
    pub fn mark_leaving(&mut self, endpoint: EndpointKey) {
        self.put_endpoint(endpoint);
        if let Ok(position) = self.search(endpoint) {
            self.records[position].is_leaving = true;
        }
    }

    /// Forgets an incarnation that no list names any more and that cannot come back.
    pub fn remove_endpoint(&mut self, endpoint: EndpointKey) {
        if let Ok(position) = self.search(endpoint) {
            self.records.remove(position);
        }
    }

    /// Whether the incarnation is marked as leaving.
    pub fn is_leaving(&self, endpoint: EndpointKey) -> bool {
        self.search(endpoint)
            .is_ok_and(|position| self.records[position].is_leaving)
    }

    /// What the endpoint may be given at `now`; an unknown endpoint is given nothing.
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

    /// Learns from a request that ended, and ejects or readmits its endpoint.
    pub fn record(&mut self, endpoint: EndpointKey, sample: HealthSample, now: TimePoint) {
        let Ok(position) = self.search(endpoint) else {
            return;
        };
        self.records[position].learn(sample);
        self.records[position].suspect(sample, self.terms);
        match self.records[position].state {
            HealthState::Serving => self.judge_serving(position, now),
            HealthState::Ejected { until } if now < until => {}
            HealthState::Ejected { .. } => self.judge_probe(position, 0, sample, now),
            HealthState::Probing { good } => self.judge_probe(position, good, sample, now),
        }
    }

    /// Endpoints that are ejected or probed.
    pub fn ejected(&self) -> usize {
        self.records.iter().filter(|record| record.is_out()).count()
    }

    fn judge_serving(&mut self, position: usize, now: TimePoint) {
        if self.is_bad(position) && self.may_eject() {
            self.eject(position, now);
        }
    }

    fn judge_probe(&mut self, position: usize, good: u32, sample: HealthSample, now: TimePoint) {
        if sample == HealthSample::Overdue {
            return;
        }
        if !self.is_good_probe(sample) {
            self.eject(position, now);
            return;
        }
        let good = good + 1;
        if good >= self.terms.probes_to_readmit {
            self.records[position].readmit();
        } else {
            self.records[position].state = HealthState::Probing { good };
        }
    }

    fn is_bad(&self, position: usize) -> bool {
        let record = &self.records[position];
        if record.failures_in_row >= self.terms.failures_in_row {
            return true;
        }
        if record.samples < self.terms.min_samples {
            return false;
        }
        let slow = self.terms.slow_factor * self.median_of(|other| other.slowness).max(1.0);
        let failed = self.terms.failed_part + self.median_of(|other| other.failed_part);
        record.slowness > slow || record.failed_part > failed
    }

    fn is_good_probe(&self, sample: HealthSample) -> bool {
        let usual = self.median_of(|other| other.slowness).max(1.0);
        match sample {
            HealthSample::Answered { latency, expected } => {
                ratio(latency, expected) <= usual * self.terms.slow_factor
            }
            HealthSample::Abandoned { .. } | HealthSample::Overdue | HealthSample::Failed => false,
        }
    }

    /// Whether one more ejection stays within the bound.
    fn may_eject(&self) -> bool {
        let known = self.records.iter().filter(|record| !record.is_leaving);
        let most = known.count() * self.terms.max_ejected_permille / WHOLE_PERMILLE;
        self.ejected() < most
    }

    fn eject(&mut self, position: usize, now: TimePoint) {
        let record = &mut self.records[position];
        let doublings = record.ejections.min(MOST_DOUBLINGS);
        let factor = f64::from(1_u32 << doublings);
        let span = self.terms.first_ejection.scale(factor);
        record.ejections += 1;
        record.state = HealthState::Ejected {
            until: now + span.min(self.terms.max_ejection),
        };
    }

    /// The median of a figure over endpoints that serve.
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
            slowness: 1.0,
            failed_part: 0.0,
            samples: 0,
            failures_in_row: 0,
            overdue_in_row: 0,
            answers_needed: 0,
            ejections: 0,
        }
    }

    const fn is_out(&self) -> bool {
        !self.is_leaving && !matches!(self.state, HealthState::Serving)
    }

    fn suspect(&mut self, sample: HealthSample, terms: EjectionParams) {
        match sample {
            HealthSample::Answered { latency, expected } => {
                if ratio(latency, expected) <= terms.slow_factor {
                    self.overdue_in_row = 0;
                    self.answers_needed = self.answers_needed.saturating_sub(1);
                }
            }
            HealthSample::Overdue => {
                self.overdue_in_row = self.overdue_in_row.saturating_add(1);
                if self.overdue_in_row >= terms.overdue_in_row {
                    self.answers_needed = terms.answers_to_clear;
                }
            }
            HealthSample::Failed => self.answers_needed = terms.answers_to_clear,
            HealthSample::Abandoned { .. } => {}
        }
    }

    fn learn(&mut self, sample: HealthSample) {
        if sample == HealthSample::Overdue {
            return;
        }
        self.samples = self.samples.saturating_add(1);
        match sample {
            HealthSample::Answered { latency, expected } => {
                self.failures_in_row = 0;
                self.failed_part -= self.failed_part * SAMPLE_WEIGHT;
                self.slowness += (ratio(latency, expected) - self.slowness) * SAMPLE_WEIGHT;
            }
            HealthSample::Abandoned { waited, expected } => {
                let at_least = ratio(waited, expected).max(self.slowness);
                self.slowness += (at_least - self.slowness) * SAMPLE_WEIGHT;
            }
            HealthSample::Overdue => {}
            HealthSample::Failed => {
                self.failures_in_row = self.failures_in_row.saturating_add(1);
                self.failed_part += (1.0 - self.failed_part) * SAMPLE_WEIGHT;
            }
        }
    }

    const fn readmit(&mut self) {
        self.state = HealthState::Serving;
        self.slowness = 1.0;
        self.failed_part = 0.0;
        self.samples = 0;
        self.failures_in_row = 0;
        self.overdue_in_row = 0;
        self.answers_needed = 0;
    }
}

fn ratio(latency: TimeSpan, expected: TimeSpan) -> f64 {
    latency.as_micros() as f64 / expected.as_micros().max(1) as f64
}
