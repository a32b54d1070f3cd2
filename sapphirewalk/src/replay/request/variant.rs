//! Policies that a trace is simulated with: the full one and the baselines.

/// Name of the baseline in which one gateway holds the seats of a whole domain.
pub const ONE_SEAT: &str = "one-seat";

/// Rule by which a gateway chooses an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceRule {
    /// Draws two endpoints and takes the one with less load and latency.
    BetterOfTwo,
    /// Draws one endpoint among those with a free slot in the gateway's share.
    Random,
}

/// Rule by which a gateway admits requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionRule {
    /// Each kind has its own queue and a share of the slots.
    KindShares,
    /// All kinds share one queue, which is served in order of arrival.
    OneQueue,
    /// Each request is sent at once; there is no queue and no limit on slots.
    SendAtOnce,
}

/// Set of decisions that one run of a trace uses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PolicyVariant {
    /// Name printed in the table.
    pub name: &'static str,
    /// Rule for queues and shares of slots.
    pub admission: AdmissionRule,
    /// Rule for the choice among endpoints with a free slot.
    pub choice: ChoiceRule,
    /// Whether a gateway without free slots forwards requests to peers that have some.
    pub forwards: bool,
    /// Whether slow and failing endpoints are ejected.
    pub ejects: bool,
    /// Whether a slow idempotent request gets a second attempt while the first still runs.
    pub hedges: bool,
    /// Whether a request gets another attempt after one that failed.
    pub retries: bool,
    /// Whether one gateway replaces all gateways of a domain and holds their seats.
    pub merges_seats: bool,
}

impl PolicyVariant {
    /// The full policy: all features are enabled.
    pub const FULL: Self = Self {
        name: "ours",
        admission: AdmissionRule::KindShares,
        choice: ChoiceRule::BetterOfTwo,
        forwards: true,
        ejects: true,
        hedges: true,
        retries: true,
        merges_seats: false,
    };

    /// Simpler policies for comparison. `fcfs` uses none of the decisions; each other one differs
    /// from the product in a single decision.
    pub const BASELINES: [Self; 7] = [
        Self {
            name: "fcfs",
            admission: AdmissionRule::SendAtOnce,
            choice: ChoiceRule::Random,
            forwards: false,
            ejects: false,
            hedges: false,
            retries: false,
            merges_seats: false,
        },
        Self {
            name: "no-shares",
            admission: AdmissionRule::OneQueue,
            ..Self::FULL
        },
        Self {
            name: "random",
            choice: ChoiceRule::Random,
            ..Self::FULL
        },
        Self {
            name: "no-ejection",
            ejects: false,
            ..Self::FULL
        },
        Self {
            name: "no-hedging",
            hedges: false,
            ..Self::FULL
        },
        Self {
            name: "no-forwarding",
            forwards: false,
            ..Self::FULL
        },
        Self {
            name: ONE_SEAT,
            merges_seats: true,
            ..Self::FULL
        },
    ];
}
