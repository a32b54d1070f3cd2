//! Measures of one simulated run: outcomes, latencies and use of slots.

use hdrhistogram::Histogram;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::arrival::TraceRequest;
use crate::replay::request::trace::FloodLine;
use crate::replay::request::trace::RequestTrace;

/// Precision of recorded latencies, in decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// Longest latency that is recorded as it is; longer ones are recorded as this one.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
const MICROS_PER_MILLI: f64 = 1_000.0;
const WHOLE_PERCENT: f64 = 100.0;

/// Outcome of a request, as its caller observes it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// Answer of an endpoint before the deadline.
    Answered,
    /// Error answer of an endpoint before the deadline.
    Error,
    /// Refusal before the deadline: no endpoint has run the request.
    NotRun,
    /// Failure before the deadline: an endpoint may have run the request.
    Unknown,
    /// No answer of any kind before the deadline.
    Late,
    /// The connection broke because the gateway was lost.
    Lost,
}

/// Results of a run, counted while it is simulated.
#[derive(Clone, Debug)]
pub struct RunMeasures {
    /// Outcomes and latencies, indexed like the kind lines of the trace.
    pub kinds: Vec<KindMeasures>,
    /// Times from arrival to refusal, in microseconds.
    refusals: Histogram<u64>,
    /// Attempts sent to endpoints, the first of each request included.
    pub attempts: u64,
    /// Attempts sent to endpoints after the first of a request: retries and hedges.
    pub second_attempts: u64,
    /// Requests forwarded to a peer.
    pub forwards: u64,
    /// Forwarded requests that the peer declined because it had no free slot.
    pub declined_forwards: u64,
    /// Maximum number of requests that run or wait at one endpoint at the same time.
    pub max_at_endpoint: usize,
    /// Run time of all attempts as a fraction of the time that all slots offer over the length of
    /// the trace. Set when the run is over.
    pub used_fraction: f64,
    floods: Vec<FloodLine>,
}

/// Outcomes and latencies of the requests of one kind.
#[derive(Clone, Debug)]
pub struct KindMeasures {
    /// Outcomes over the whole trace.
    pub all: OutcomeCounts,
    before_flood: PhaseMeasures,
    in_flood: PhaseMeasures,
    latencies: Histogram<u64>,
}

/// Outcomes and latencies of one kind in one phase of the trace.
#[derive(Clone, Debug)]
struct PhaseMeasures {
    counts: OutcomeCounts,
    latencies: Histogram<u64>,
}

/// Number of requests with each outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// Sum of all outcomes.
    pub offered: u64,
    /// Requests with [`CallerOutcome::Answered`].
    pub answered: u64,
    /// Requests with [`CallerOutcome::Error`].
    pub errors: u64,
    /// Requests with [`CallerOutcome::NotRun`].
    pub not_run: u64,
    /// Requests with [`CallerOutcome::Unknown`].
    pub unknown: u64,
    /// Requests with [`CallerOutcome::Late`].
    pub late: u64,
    /// Requests with [`CallerOutcome::Lost`].
    pub lost: u64,
}

impl RunMeasures {
    /// Measures of a run before its first event.
    pub fn new(trace: &RequestTrace) -> Self {
        Self {
            kinds: vec![KindMeasures::new(); trace.kinds.len()],
            refusals: histogram(),
            attempts: 0,
            second_attempts: 0,
            forwards: 0,
            declined_forwards: 0,
            max_at_endpoint: 0,
            used_fraction: 0.0,
            floods: trace.floods.clone(),
        }
    }

    /// Counts a request that ended after `spent` since its arrival.
    ///
    /// The latency of a late request is its whole deadline.
    pub fn count(&mut self, request: &TraceRequest, outcome: CallerOutcome, spent: TimeSpan) {
        let phase = phase_of(&self.floods, request);
        let kind = &mut self.kinds[request.kind];
        kind.all.count(outcome);
        if outcome.has_latency() {
            kind.latencies.saturating_record(spent.as_micros());
        }
        match phase {
            FloodPhase::Before => kind.before_flood.count(outcome, spent),
            FloodPhase::OtherKind => kind.in_flood.count(outcome, spent),
            FloodPhase::OwnKind | FloodPhase::After => {}
        }
        if outcome == CallerOutcome::NotRun {
            self.refusals.saturating_record(spent.as_micros());
        }
    }

    /// Latency quantile of answered and late requests of a kind, in milliseconds.
    pub fn latency_ms(&self, kind: usize, quantile: f64) -> f64 {
        self.kinds[kind].latencies.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// Quantile of the time from arrival to refusal, over all kinds, in milliseconds.
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        self.refusals.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// Outcomes over all kinds.
    pub fn total(&self) -> OutcomeCounts {
        self.kinds
            .iter()
            .fold(OutcomeCounts::default(), |sum, kind| sum.plus(kind.all))
    }

    /// Retries and hedges as a percentage of answered requests.
    pub fn second_attempts_percent(&self) -> f64 {
        percent(self.second_attempts, self.total().answered)
    }
}

impl KindMeasures {
    fn new() -> Self {
        Self {
            all: OutcomeCounts::default(),
            before_flood: PhaseMeasures::new(),
            in_flood: PhaseMeasures::new(),
            latencies: histogram(),
        }
    }

    /// Fraction of requests answered while other kinds flood, as a percentage of the fraction
    /// answered before the first flood.
    pub fn kept_percent(&self) -> f64 {
        let before = self.before_flood.counts.answered_percent();
        let during = self.in_flood.counts.answered_percent();
        WHOLE_PERCENT * during / before.max(f64::MIN_POSITIVE)
    }

    /// Latency quantile while other kinds flood, divided by the same quantile before the first
    /// flood.
    pub fn flood_latency_ratio(&self, quantile: f64) -> f64 {
        let before = self.before_flood.latencies.value_at_quantile(quantile);
        let during = self.in_flood.latencies.value_at_quantile(quantile);
        during as f64 / before.max(1) as f64
    }
}

impl PhaseMeasures {
    fn new() -> Self {
        Self {
            counts: OutcomeCounts::default(),
            latencies: histogram(),
        }
    }

    fn count(&mut self, outcome: CallerOutcome, spent: TimeSpan) {
        self.counts.count(outcome);
        if outcome.has_latency() {
            self.latencies.saturating_record(spent.as_micros());
        }
    }
}

impl CallerOutcome {
    /// Whether the time until this outcome counts as latency.
    const fn has_latency(self) -> bool {
        matches!(self, Self::Answered | Self::Late)
    }
}

impl OutcomeCounts {
    /// Answered requests as a percentage of all.
    pub fn answered_percent(self) -> f64 {
        percent(self.answered, self.offered)
    }

    /// Requests with an error answer as a percentage of all.
    pub fn error_percent(self) -> f64 {
        percent(self.errors, self.offered)
    }

    /// Late requests as a percentage of all.
    pub fn late_percent(self) -> f64 {
        percent(self.late, self.offered)
    }

    /// Requests lost with their gateway as a percentage of all.
    pub fn lost_percent(self) -> f64 {
        percent(self.lost, self.offered)
    }

    /// Requests that may have run, but got no answer, as a percentage of all.
    pub fn unknown_percent(self) -> f64 {
        percent(self.unknown, self.offered)
    }

    const fn count(&mut self, outcome: CallerOutcome) {
        self.offered += 1;
        match outcome {
            CallerOutcome::Answered => self.answered += 1,
            CallerOutcome::Error => self.errors += 1,
            CallerOutcome::NotRun => self.not_run += 1,
            CallerOutcome::Unknown => self.unknown += 1,
            CallerOutcome::Late => self.late += 1,
            CallerOutcome::Lost => self.lost += 1,
        }
    }

    const fn plus(self, other: Self) -> Self {
        Self {
            offered: self.offered + other.offered,
            answered: self.answered + other.answered,
            errors: self.errors + other.errors,
            not_run: self.not_run + other.not_run,
            unknown: self.unknown + other.unknown,
            late: self.late + other.late,
            lost: self.lost + other.lost,
        }
    }
}

/// Position of a request's arrival relative to the floods of the trace.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FloodPhase {
    /// Before the first flood.
    Before,
    /// During a flood of another kind.
    OtherKind,
    /// During a flood of the request's own kind.
    OwnKind,
    /// Between or after floods.
    After,
}

fn phase_of(floods: &[FloodLine], request: &TraceRequest) -> FloodPhase {
    let is_before = |flood: &FloodLine| request.at < TimePoint::from_millis(flood.from_ms);
    if floods.iter().all(is_before) {
        return FloodPhase::Before;
    }
    let mut active = floods.iter().filter(|flood| flood.is_active(request.at));
    match active.next() {
        None => FloodPhase::After,
        Some(flood) if flood.kind == request.kind => FloodPhase::OwnKind,
        Some(_) => FloodPhase::OtherKind,
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .expect("the bounds and digits are valid for a histogram")
}

fn percent(part: u64, whole: u64) -> f64 {
    WHOLE_PERCENT * part as f64 / whole.max(1) as f64
}
