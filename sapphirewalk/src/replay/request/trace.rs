//! The event lines of a request trace.

use serde::Deserialize;

use sapphirewalk_core::time::TimePoint;

use crate::replay::error::ReplayError;

/// Lines before the first event line.
const HEADER_LINES: usize = 1;

/// A line of a request trace.
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

/// The fleet that the trace was recorded on.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetLine {
    /// Seeds what the trace records as a distribution.
    pub seed: u64,
    /// How long requests arrive.
    pub length_ms: u64,
    /// The failure domains.
    pub domains: Vec<DomainSize>,
    /// Slots of each endpoint.
    pub slots: u32,
    /// Connections of each endpoint.
    pub connections: u32,
    /// One way between VMs of a domain, in microseconds.
    pub within_domain_us: u64,
    /// One way between domains, in microseconds.
    pub between_domains_us: u64,
    /// What a full endpoint adds to the run time of a request, in thousandths.
    pub full_load_permille: u64,
}

/// The size of a failure domain.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DomainSize {
    /// Its entry VMs.
    pub gateways: u32,
    /// Its endpoints.
    pub endpoints: u32,
}

/// A kind of requests.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KindLine {
    /// The kind's name.
    pub name: String,
    /// Orders kinds; the highest is the most urgent.
    pub urgency: u8,
    /// As in the bundle.
    pub weight: u32,
    /// As in the bundle.
    pub floor_permille: u32,
    /// As in the bundle.
    pub idempotent: bool,
    /// As in the bundle.
    pub deadline_ms: u64,
    /// Run times at low load: points of the distribution, in order.
    pub run_times: Vec<RunTimePoint>,
}

/// A point of a distribution of run times.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RunTimePoint {
    /// Thousandths of requests that run no longer than this.
    pub permille: u32,
    /// The run time in microseconds.
    pub us: u64,
}

/// How the balancer spreads callers from a point on.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SpreadLine {
    /// The point.
    pub at_ms: u64,
    /// The weight of each gateway.
    pub weights: Vec<u32>,
}

/// Arrivals of one kind.
#[derive(Clone, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ArrivalLine {
    /// The kind's index among the kind lines.
    pub kind: usize,
    /// When the first bin begins.
    pub at_ms: u64,
    /// The length of a bin.
    pub bin_ms: u64,
    /// Requests that arrive in each bin.
    pub counts: Vec<u32>,
}

/// An endpoint behaves badly for a while.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConditionLine {
    /// The endpoint's index.
    pub endpoint: u32,
    /// When it begins.
    pub from_ms: u64,
    /// When it ends.
    pub to_ms: u64,
    /// How it behaves.
    pub condition: EndpointCondition,
}

/// How an endpoint behaves.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum EndpointCondition {
    /// Runs take longer by this factor, in thousandths.
    Slow {
        /// The factor.
        factor_permille: u64,
    },
    /// This part of requests is answered with an error at once, in thousandths.
    Failing {
        /// The part.
        part_permille: u32,
    },
    /// Nothing is answered until the condition ends.
    Stalled,
    /// Connections break when it begins and are refused while it lasts.
    Dead,
}

/// A gateway is lost for good, with the requests that it holds.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewayLossLine {
    /// The gateway's index.
    pub gateway: usize,
    /// When.
    pub at_ms: u64,
}

/// The gateways of a domain and those of the others can't reach each other.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CutLine {
    /// The domain's index.
    pub domain: usize,
    /// When it begins.
    pub from_ms: u64,
    /// When it ends.
    pub to_ms: u64,
}

/// The window in which one kind floods in.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FloodLine {
    /// The kind's index.
    pub kind: usize,
    /// When it begins.
    pub from_ms: u64,
    /// When it ends.
    pub to_ms: u64,
}

/// A request trace.
#[derive(Clone, Debug, Default)]
pub struct RequestTrace {
    /// The fleet.
    pub fleet: FleetLine,
    /// The kinds.
    pub kinds: Vec<KindLine>,
    /// The balancer's spread, in order of time.
    pub spreads: Vec<SpreadLine>,
    /// The arrivals.
    pub arrivals: Vec<ArrivalLine>,
    /// The conditions of endpoints.
    pub conditions: Vec<ConditionLine>,
    /// The gateways that are lost.
    pub losses: Vec<GatewayLossLine>,
    /// The cuts between domains.
    pub cuts: Vec<CutLine>,
    /// The floods.
    pub floods: Vec<FloodLine>,
}

impl CutLine {
    /// Whether the cut keeps domains apart at `now`.
    pub fn separates(&self, domain: usize, other: usize, now: TimePoint) -> bool {
        let lasts =
            TimePoint::from_millis(self.from_ms) <= now && now < TimePoint::from_millis(self.to_ms);
        lasts && domain != other && (domain == self.domain || other == self.domain)
    }
}

impl FloodLine {
    /// Whether the flood lasts at `now`.
    pub fn is_active(&self, now: TimePoint) -> bool {
        TimePoint::from_millis(self.from_ms) <= now && now < TimePoint::from_millis(self.to_ms)
    }
}

impl RequestTrace {
    /// Parses the event lines.
    ///
    /// # Errors
    ///
    /// When a line is not what the trace format says, or lines don't fit together.
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

    /// Checks that indices and weights fit the fleet and the kinds.
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
            return content_error("a gateway is lost that the fleet does not have");
        }
        Ok(())
    }

    /// The same trace with every endpoint in good condition.
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
