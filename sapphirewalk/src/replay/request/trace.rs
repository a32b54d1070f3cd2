//! Event lines of a request trace.
//!
//! Times are milliseconds from the start of the trace. Gateways and endpoints are numbered from
//! zero, in the order of the failure domains.

use serde::Deserialize;

use sapphirewalk_core::time::TimePoint;

use crate::replay::error::ReplayError;

/// Lines before the first event line, for line numbers in errors.
const HEADER_LINES: usize = 1;

/// One event line; the `event` field selects the variant.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "event")]
enum TraceLine {
    Fleet(FleetLine),
    Kind(KindLine),
    Spread(SpreadLine),
    Arrivals(ArrivalLine),
    Condition(ConditionLine),
    GatewayLost(GatewayLossLine),
    Cut(CutLine),
    Flood(FloodLine),
}

/// Fleet that the trace was recorded on, and the seed of the replay.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLine {
    /// Seed for everything that the trace records as a distribution.
    pub seed: u64,
    /// Period in which requests arrive; the last of them may end later.
    pub length_ms: u64,
    /// Failure domains, in the order by which lines refer to them.
    pub domains: Vec<DomainSize>,
    /// Requests that one endpoint runs at the same time.
    pub slots: u32,
    /// Requests, running or waiting, that one endpoint accepts before it refuses connections.
    pub connections: u32,
    /// One-way network delay between VMs of a domain, in microseconds.
    pub within_domain_us: u64,
    /// One-way network delay between domains, in microseconds.
    pub between_domains_us: u64,
    /// Increase of run times at an endpoint whose slots are all in use, in thousandths. At lower
    /// load the increase is proportional to the other slots in use.
    pub full_load_permille: u64,
}

/// Number of VMs in a failure domain.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSize {
    /// Number of entry VMs, each with one gateway and one seat.
    pub gateways: u32,
    /// Number of endpoint VMs, which serve the gateways of this domain only.
    pub endpoints: u32,
}

/// Kind of requests, with its policy and its run times.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindLine {
    /// Name printed in the measures of the kind.
    pub name: String,
    /// Priority for slots that other kinds leave unused; the highest is served first.
    pub urgency: u8,
    /// Weight by which the slots above all floors are divided among kinds.
    pub weight: u32,
    /// Minimum share of the slots, in thousandths.
    pub floor_permille: u32,
    /// Whether a request may run more than once, hence may be retried and hedged.
    pub idempotent: bool,
    /// Time from arrival to the deadline of a request.
    pub deadline_ms: u64,
    /// Cumulative distribution of run times at an endpoint without other load, in rising order.
    pub run_times: Vec<RunTimePoint>,
}

/// Point of a cumulative distribution of run times.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimePoint {
    /// Thousandths of requests that run for at most this time.
    pub permille: u32,
    /// Run time in microseconds.
    pub us: u64,
}

/// Weights by which the load balancer spreads requests from a point on.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpreadLine {
    /// Point at which the weights replace the former ones.
    pub at_ms: u64,
    /// Weight of each gateway of the fleet; at least one is above zero.
    pub weights: Vec<u32>,
}

/// Number of arriving requests of one kind, in consecutive bins.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalLine {
    /// Index of the kind line.
    pub kind: usize,
    /// Start of the first bin.
    pub at_ms: u64,
    /// Length of a bin; must be above 0, which is not checked.
    pub bin_ms: u64,
    /// Number of requests that arrive in each bin.
    pub counts: Vec<u32>,
}

/// Fault of one endpoint for a limited time.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConditionLine {
    /// Index of the endpoint.
    pub endpoint: u32,
    /// Start of the fault.
    pub from_ms: u64,
    /// End of the fault, exclusive.
    pub to_ms: u64,
    /// Type of the fault.
    pub condition: EndpointCondition,
}

/// Behaviour of a faulty endpoint.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum EndpointCondition {
    /// Requests that start run longer.
    Slow {
        /// Factor on the run time, in thousandths.
        factor_permille: u64,
    },
    /// Some requests are answered with an error after a short time.
    Failing {
        /// Probability of an error for each request, in thousandths.
        part_permille: u32,
    },
    /// Requests run, but their answers are held back until the fault ends.
    Stalled,
    /// All connections break when the fault starts, and new ones are refused until it ends.
    Dead,
}

/// Loss of a gateway and of all requests at it; the gateway does not return.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayLossLine {
    /// Index of the gateway.
    pub gateway: usize,
    /// Time of the loss.
    pub at_ms: u64,
}

/// Network partition between the gateways of one domain and those of all others.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutLine {
    /// Index of the domain.
    pub domain: usize,
    /// Start of the partition.
    pub from_ms: u64,
    /// End of the partition, exclusive.
    pub to_ms: u64,
}

/// Period in which one kind has an excessive arrival rate.
///
/// It adds no requests, which the arrivals contain; it only delimits what is measured.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodLine {
    /// Index of the kind line.
    pub kind: usize,
    /// Start of the period.
    pub from_ms: u64,
    /// End of the period, exclusive.
    pub to_ms: u64,
}

/// Parsed event lines, grouped by type and otherwise in the order of the file.
#[derive(Clone, Debug, Default)]
pub struct RequestTrace {
    /// Last fleet line; all zero if there is none, which the check rejects.
    pub fleet: FleetLine,
    /// Kinds, which other lines refer to by index.
    pub kinds: Vec<KindLine>,
    /// Weights of the load balancer, in order of time.
    pub spreads: Vec<SpreadLine>,
    /// Arrival counts of all kinds.
    pub arrivals: Vec<ArrivalLine>,
    /// Faults of endpoints; the first one in force applies.
    pub conditions: Vec<ConditionLine>,
    /// Losses of gateways.
    pub losses: Vec<GatewayLossLine>,
    /// Partitions between domains, which may overlap.
    pub cuts: Vec<CutLine>,
    /// Floods, which delimit the phases of the measures.
    pub floods: Vec<FloodLine>,
}

impl CutLine {
    /// Whether the gateways of `domain` and `other` cannot reach each other at `now`.
    pub fn separates(&self, domain: usize, other: usize, now: TimePoint) -> bool {
        let lasts =
            TimePoint::from_millis(self.from_ms) <= now && now < TimePoint::from_millis(self.to_ms);
        lasts && domain != other && (domain == self.domain || other == self.domain)
    }
}

impl FloodLine {
    /// Whether `now` is in the period of the flood.
    pub fn is_active(&self, now: TimePoint) -> bool {
        TimePoint::from_millis(self.from_ms) <= now && now < TimePoint::from_millis(self.to_ms)
    }
}

impl RequestTrace {
    /// Parses the event lines.
    ///
    /// # Errors
    ///
    /// If a line violates the trace format, or lines contradict each other.
    pub fn parse(events: &str) -> Result<Self, ReplayError> {
        let mut trace = Self::default();
        for (index, text) in events.lines().enumerate() {
            let line = serde_json::from_str(text).map_err(|source| ReplayError::Line {
                line: index + HEADER_LINES + 1,
                source,
            })?;
            trace.add_line(line);
        }
        trace.check()?;
        Ok(trace)
    }

    /// Checks the fleet, the run times of kinds, the kinds of arrivals and floods, the weights of
    /// spreads, and the gateways of losses. Bin lengths, endpoints of conditions and domains of
    /// partitions are not checked.
    fn check(&self) -> Result<(), ReplayError> {
        let gateways: u32 = self
            .fleet
            .domains
            .iter()
            .map(|domain| domain.gateways)
            .sum();
        if gateways == 0 || self.fleet.slots == 0 {
            return content_error("the fleet has no gateway or no slots");
        }
        let named = self.arrivals.iter().map(|arrivals| arrivals.kind);
        let mut kinds = named.chain(self.floods.iter().map(|flood| flood.kind));
        if let Some(kind) = kinds.find(|kind| *kind >= self.kinds.len()) {
            return content_error(&format!("no kind line for kind {kind}"));
        }
        if let Some(kind) = self.kinds.iter().find(|kind| kind.run_times.is_empty()) {
            return content_error(&format!("kind {} has no run times", kind.name));
        }
        for spread in &self.spreads {
            let fits = spread.weights.len() == gateways as usize;
            if !fits || spread.weights.iter().all(|weight| *weight == 0) {
                return content_error("a spread needs a weight for each gateway, one above 0");
            }
        }
        if self
            .losses
            .iter()
            .any(|loss| loss.gateway >= gateways as usize)
        {
            return content_error(
                "a gateway_lost line names a gateway that the fleet does not have",
            );
        }
        Ok(())
    }

    /// Copy of the trace in which all endpoints are healthy.
    pub fn without_conditions(&self) -> Self {
        Self {
            conditions: Vec::new(),
            ..self.clone()
        }
    }

    fn add_line(&mut self, line: TraceLine) {
        match line {
            TraceLine::Fleet(fleet) => self.fleet = fleet,
            TraceLine::Kind(kind) => self.kinds.push(kind),
            TraceLine::Spread(spread) => self.spreads.push(spread),
            TraceLine::Arrivals(arrivals) => self.arrivals.push(arrivals),
            TraceLine::Condition(condition) => self.conditions.push(condition),
            TraceLine::GatewayLost(loss) => self.losses.push(loss),
            TraceLine::Cut(cut) => self.cuts.push(cut),
            TraceLine::Flood(flood) => self.floods.push(flood),
        }
    }
}

fn content_error(cause: &str) -> Result<(), ReplayError> {
    Err(ReplayError::Content(cause.to_owned()))
}
