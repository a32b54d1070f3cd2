//! What a run of a trace came to.

use hdrhistogram::Histogram;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::arrival::TraceRequest;
use crate::replay::request::trace::FloodLine;
use crate::replay::request::trace::RequestTrace;

/// Significant digits of latencies.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest latency that is told apart.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;
/// Hundredths in a whole.
const WHOLE_PERCENT: f64 = 100.0;

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallerOutcome {
    /// It was answered in time.
    Answered,
    /// It was answered in time, with the endpoint's error.
    Error,
    /// It was told in time that it was not run.
    NotRun,
    /// It was told in time that it may have run.
    Unknown,
    /// It was told nothing before its deadline.
    Late,
    /// Its gateway was lost.
    Lost,
}

/// The measures of one run.
#[derive(Clone, Debug)]
pub struct RunMeasures {
    /// By kind.
    pub kinds: Vec<KindMeasures>,
    /// From arrival to the refusal.
    refusals: Histogram<u64>,
    /// Attempts that were sent, the first ones included.
    pub attempts: u64,
    /// Attempts after the first of a request.
    pub second_attempts: u64,
    /// Requests that were sent to a peer.
    pub forwards: u64,
    /// Forwarded requests that the peer had no free slot for.
    pub declined_forwards: u64,
    /// The most requests that were at an endpoint at once.
    pub max_at_endpoint: usize,
    /// The part of all slot time in use.
    pub used_fraction: f64,
    floods: Vec<FloodLine>,
}

/// The measures of one kind.
#[derive(Clone, Debug)]
pub struct KindMeasures {
    /// The whole trace.
    pub all: OutcomeCounts,
    before_flood: PhaseMeasures,
    in_flood: PhaseMeasures,
    latencies: Histogram<u64>,
}

/// The measures of one kind in a part of the trace.
#[derive(Clone, Debug)]
struct PhaseMeasures {
    counts: OutcomeCounts,
    latencies: Histogram<u64>,
}

/// How many requests ended in which way.
#[derive(Clone, Copy, Debug, Default)]
pub struct OutcomeCounts {
    /// Requests that arrived.
    pub offered: u64,
    /// Answered in time.
    pub answered: u64,
    /// Answered in time, with the endpoint's error.
    pub errors: u64,
    /// Told in time that they were not run.
    pub not_run: u64,
    /// Told in time that they may have run.
    pub unknown: u64,
    /// Told nothing in time.
    pub late: u64,
    /// Lost with their gateway.
    pub lost: u64,
}

impl RunMeasures {
    /// The measures of a run that has not begun.
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

    /// Counts the end of a request; a late one counts with the whole of its deadline.
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

    /// The latency of a kind at a quantile, in milliseconds.
    pub fn latency_ms(&self, kind: usize, quantile: f64) -> f64 {
        self.kinds[kind].latencies.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// The time until a refusal at a quantile, in milliseconds.
    pub fn refusal_ms(&self, quantile: f64) -> f64 {
        self.refusals.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI
    }

    /// Requests of all kinds.
    pub fn total(&self) -> OutcomeCounts {
        self.kinds
            .iter()
            .fold(OutcomeCounts::default(), |sum, kind| sum.plus(kind.all))
    }

    /// Attempts after the first, over requests that were answered, in percent.
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

    /// The part of requests answered during the flood, over the part before it, in percent.
    pub fn kept_percent(&self) -> f64 {
        let before = self.before_flood.counts.answered_percent();
        let during = self.in_flood.counts.answered_percent();
        WHOLE_PERCENT * during / before.max(f64::MIN_POSITIVE)
    }

    /// The latency at a quantile during the flood, over that before it.
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
    /// Whether the time spent counts as latency; a late request counts with its whole deadline.
    const fn has_latency(self) -> bool {
        matches!(self, Self::Answered | Self::Late)
    }
}

impl OutcomeCounts {
    /// Requests answered in time, in percent.
    pub fn answered_percent(self) -> f64 {
        percent(self.answered, self.offered)
    }

    /// Requests answered in time with the endpoint's error, in percent.
    pub fn error_percent(self) -> f64 {
        percent(self.errors, self.offered)
    }

    /// Requests that were told nothing in time, in percent.
    pub fn late_percent(self) -> f64 {
        percent(self.late, self.offered)
    }

    /// Requests lost with their gateway, in percent.
    pub fn lost_percent(self) -> f64 {
        percent(self.lost, self.offered)
    }

    /// Requests that were told that they may have run, in percent.
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

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FloodPhase {
    /// Before the first flood.
    Before,
    /// While other kinds flood in, and not this one.
    OtherKind,
    /// While this kind floods in.
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
        .expect("the bounds and the number of digits are within the library's range")
}

fn percent(part: u64, whole: u64) -> f64 {
    WHOLE_PERCENT * part as f64 / whole.max(1) as f64
}
