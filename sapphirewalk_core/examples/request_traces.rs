//! Writes the request traces of both users, drawn from fixed seeds, into an existing directory.
//!
//! `cargo run -p sapphirewalk_core --example request_traces -- extra/traces`

use std::env;
use std::fs;
use std::io;
use std::path;

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use serde_json::json;

/// Slots of each endpoint.
const SLOTS: u32 = 8;
/// Connections of each endpoint.
const CONNECTIONS: u32 = 64;
/// Time during which requests arrive, in milliseconds.
const TRACE_MS: u64 = 9_000;
/// Start of the disturbance of a trace, in milliseconds.
const ONSET_MS: u64 = 3_000;
/// End of a disturbance that does not last until the end of its trace, in milliseconds.
const OFFSET_MS: u64 = 6_000;
/// Width of the bins in which arrivals are counted, in milliseconds.
const BIN_MS: u64 = 10;
/// Arrival rate of a flood as a multiple of the capacity of the fleet.
const FLOOD_FACTOR: f64 = 10.0;
/// Load of the trace with uneven arrivals, as a fraction of the capacity at full load.
const UNEVEN_LOAD: f64 = 0.9;
/// Load of the traces in which a gateway or domain is lost, as a fraction of the capacity at full
/// load.
const LOSS_LOAD: f64 = 0.75;
/// Load of the trace with uneven overload, as a fraction of the capacity at full load.
const OVERLOAD_LOAD: f64 = 1.01;
/// Mean above which a count is drawn from the normal instead of the Poisson distribution.
const POISSON_MEAN_MAX: f64 = 30.0;
/// Index of the endpoint that is slow, failing, stalled or dead.
const BAD_ENDPOINT: u32 = 5;
/// Index of a second such endpoint, in another domain.
const OTHER_BAD_ENDPOINT: u32 = 20;
/// Index of the gateway that is lost.
const LOST_GATEWAY: usize = 1;
/// Index of the domain whose network is cut off.
const CUT_DOMAIN: usize = 1;
/// Increase of run times at an endpoint whose slots are all in use, in thousandths.
const FULL_LOAD_PERMILLE: u64 = 200;
/// One-way network latency within a domain, in microseconds.
const WITHIN_DOMAIN_US: u64 = 100;

struct KindSpec {
    name: &'static str,
    urgency: u8,
    weight: u32,
    floor_permille: u32,
    idempotent: bool,
    deadline_ms: u64,
    /// Quantiles of the run time at 0, 500, 900, 990 and 1000 thousandths, in milliseconds.
    run_times_ms: [u64; 5],
    /// Fraction of all slots that the kind uses without a disturbance.
    load: f64,
}

/// A user with its fleet and its kinds of requests, most urgent first.
struct UserSpec {
    name: &'static str,
    seed: u64,
    domains: &'static [DomainSpec],
    /// One-way network latency between domains, in microseconds.
    between_domains_us: u64,
    kinds: [KindSpec; 3],
}

struct DomainSpec {
    gateways: u32,
    endpoints: u32,
}

/// A period in which requests of one kind arrive at the rate of a flood.
struct FloodSpec {
    /// Index of the kind in [`UserSpec::kinds`].
    kind: usize,
    from_ms: u64,
    to_ms: u64,
}

/// Disturbance that a trace contains.
#[derive(Clone, Copy, PartialEq)]
enum TraceCase {
    FloodLeastUrgent,
    FloodMostUrgent,
    SlowEndpoint,
    DyingEndpoint,
    FailingEndpoint,
    UnevenArrival,
    UnevenOverload,
    LostGateway,
    CutDomain,
    FloodsWithFaults,
}

const CASES: [TraceCase; 10] = [
    TraceCase::FloodLeastUrgent,
    TraceCase::FloodMostUrgent,
    TraceCase::SlowEndpoint,
    TraceCase::DyingEndpoint,
    TraceCase::FailingEndpoint,
    TraceCase::UnevenArrival,
    TraceCase::UnevenOverload,
    TraceCase::LostGateway,
    TraceCase::CutDomain,
    TraceCase::FloodsWithFaults,
];
const RUN_TIME_PERMILLES: [u32; 5] = [0, 500, 900, 990, 1_000];
const MOST_URGENT: usize = 0;
const LEAST_URGENT: usize = 2;

/// Fleet and kinds of requests of the user veladoras.
const VELADORAS: UserSpec = UserSpec {
    name: "veladoras",
    seed: 1_102,
    domains: &[
        DomainSpec {
            gateways: 3,
            endpoints: 17,
        },
        DomainSpec {
            gateways: 3,
            endpoints: 17,
        },
        DomainSpec {
            gateways: 2,
            endpoints: 16,
        },
    ],
    between_domains_us: 500,
    kinds: [
        KindSpec {
            name: "candle_order",
            urgency: 2,
            weight: 4,
            floor_permille: 300,
            idempotent: true,
            deadline_ms: 800,
            run_times_ms: [20, 50, 100, 180, 300],
            load: 0.35,
        },
        KindSpec {
            name: "subscription_charge",
            urgency: 1,
            weight: 2,
            floor_permille: 150,
            idempotent: false,
            deadline_ms: 2_000,
            run_times_ms: [30, 80, 160, 300, 500],
            load: 0.15,
        },
        KindSpec {
            name: "restock_plan",
            urgency: 0,
            weight: 1,
            floor_permille: 100,
            idempotent: true,
            deadline_ms: 5_000,
            run_times_ms: [40, 120, 250, 500, 800],
            load: 0.1,
        },
    ],
};

/// Fleet and kinds of requests of the user kerlann.
const KERLANN: UserSpec = UserSpec {
    name: "kerlann",
    seed: 2_204,
    domains: &[
        DomainSpec {
            gateways: 2,
            endpoints: 17,
        },
        DomainSpec {
            gateways: 2,
            endpoints: 16,
        },
        DomainSpec {
            gateways: 2,
            endpoints: 16,
        },
        DomainSpec {
            gateways: 2,
            endpoints: 16,
        },
    ],
    between_domains_us: 1_500,
    kinds: [
        KindSpec {
            name: "mould_preview",
            urgency: 2,
            weight: 3,
            floor_permille: 300,
            idempotent: true,
            deadline_ms: 2_000,
            run_times_ms: [60, 150, 300, 600, 900],
            load: 0.35,
        },
        KindSpec {
            name: "pour_order",
            urgency: 1,
            weight: 3,
            floor_permille: 150,
            idempotent: false,
            deadline_ms: 4_000,
            run_times_ms: [100, 250, 500, 900, 1_300],
            load: 0.15,
        },
        KindSpec {
            name: "cooling_report",
            urgency: 0,
            weight: 1,
            floor_permille: 100,
            idempotent: true,
            deadline_ms: 5_000,
            run_times_ms: [40, 90, 180, 350, 600],
            load: 0.1,
        },
    ],
};

fn main() -> io::Result<()> {
    let folder = env::args()
        .nth(1)
        .unwrap_or_else(|| "extra/traces".to_owned());
    for user in [&VELADORAS, &KERLANN] {
        for case in CASES {
            write_trace(path::Path::new(&folder), user, case)?;
        }
    }
    Ok(())
}

fn write_trace(folder: &path::Path, user: &UserSpec, case: TraceCase) -> io::Result<()> {
    let name = format!("request-{}-{}", user.name, case.name());
    let mut lines = vec![
        json!({"subject": "request", "name": name, "outcomes": outcomes(user, case)}),
        fleet_line(user),
    ];
    lines.extend(user.kinds.iter().map(kind_line));
    lines.extend(spread_lines(user, case));
    lines.extend(condition_lines(case));
    lines.extend(loss_lines(case));
    lines.extend(flood_lines(case));
    let mut rng = ChaCha8Rng::seed_from_u64(user.seed);
    for kind in 0..user.kinds.len() {
        lines.push(arrival_line(user, case, kind, &mut rng));
    }
    let text: String = lines.iter().map(|line| format!("{line}\n")).collect();
    fs::write(folder.join(format!("{name}.jsonl")), text)
}

fn outcomes(user: &UserSpec, case: TraceCase) -> Vec<Value> {
    let mut outcomes = vec![
        at_most("most requests at an endpoint", f64::from(SLOTS)),
        at_most("told nothing before the deadline (%)", 0.0),
    ];
    for (index, kind) in user.kinds.iter().enumerate() {
        outcomes.extend(kind_outcomes(case, index, kind.name));
    }
    if case.is_uneven() {
        outcomes.push(at_least("answers over those of one seat (%)", 95.0));
    } else {
        outcomes.push(at_most("second attempts over answers (%)", 10.0));
    }
    if !case.floods().is_empty() {
        outcomes.push(at_most("time to refuse p99 (ms)", 10.0));
    }
    outcomes
}

fn kind_outcomes(case: TraceCase, kind: usize, name: &str) -> Vec<Value> {
    match case {
        TraceCase::FloodLeastUrgent | TraceCase::FloodMostUrgent | TraceCase::FloodsWithFaults => {
            flood_outcomes(case, kind, name)
        }
        TraceCase::SlowEndpoint | TraceCase::DyingEndpoint | TraceCase::FailingEndpoint => {
            endpoint_outcomes(name)
        }
        TraceCase::UnevenArrival
        | TraceCase::UnevenOverload
        | TraceCase::LostGateway
        | TraceCase::CutDomain => {
            vec![at_least(&format!("{name} answered in time (%)"), 99.0)]
        }
    }
}

fn flood_outcomes(case: TraceCase, kind: usize, name: &str) -> Vec<Value> {
    if case.floods().iter().all(|flood| flood.kind == kind) {
        return Vec::new();
    }
    vec![
        at_least(&format!("{name} kept in the flood (%)"), 90.0),
        at_most(&format!("{name} p99 in the flood over before"), 1.5),
    ]
}

fn endpoint_outcomes(name: &str) -> Vec<Value> {
    let measure = |quantile: &str| format!("{name} {quantile} over that with sound endpoints");
    vec![
        at_least(&format!("{name} answered in time (%)"), 99.9),
        at_most(&measure("p99"), 1.5),
        at_most(&measure("p99.9"), 1.5),
    ]
}

fn at_most(measure: &str, most: f64) -> Value {
    json!({"measure": measure, "bound": {"at_most": most}})
}

fn at_least(measure: &str, least: f64) -> Value {
    json!({"measure": measure, "bound": {"at_least": least}})
}

fn fleet_line(user: &UserSpec) -> Value {
    let domains: Vec<Value> = user
        .domains
        .iter()
        .map(|domain| json!({"gateways": domain.gateways, "endpoints": domain.endpoints}))
        .collect();
    json!({
        "event": "fleet",
        "seed": user.seed,
        "length_ms": TRACE_MS,
        "domains": domains,
        "slots": SLOTS,
        "connections": CONNECTIONS,
        "within_domain_us": WITHIN_DOMAIN_US,
        "between_domains_us": user.between_domains_us,
        "full_load_permille": FULL_LOAD_PERMILLE,
    })
}

fn kind_line(kind: &KindSpec) -> Value {
    let run_times: Vec<Value> = RUN_TIME_PERMILLES
        .iter()
        .zip(kind.run_times_ms)
        .map(|(permille, ms)| json!({"permille": permille, "us": ms * 1_000}))
        .collect();
    json!({
        "event": "kind",
        "name": kind.name,
        "urgency": kind.urgency,
        "weight": kind.weight,
        "floor_permille": kind.floor_permille,
        "idempotent": kind.idempotent,
        "deadline_ms": kind.deadline_ms,
        "run_times": run_times,
    })
}

fn spread_lines(user: &UserSpec, case: TraceCase) -> Vec<Value> {
    let gateways: u32 = user.domains.iter().map(|domain| domain.gateways).sum();
    if !case.is_uneven() {
        let weights = vec![1; gateways as usize];
        return vec![json!({"event": "spread", "at_ms": 0, "weights": weights})];
    }
    (0..TRACE_MS / ONSET_MS)
        .map(|period| {
            let weight = |gateway: u64| match case {
                TraceCase::LostGateway if period > 0 && gateway == LOST_GATEWAY as u64 => 0,
                _ => 1 + (gateway + period) % 3 * 2,
            };
            let weights: Vec<u64> = (0..u64::from(gateways)).map(weight).collect();
            json!({"event": "spread", "at_ms": period * ONSET_MS, "weights": weights})
        })
        .collect()
}

fn condition_lines(case: TraceCase) -> Vec<Value> {
    let line = |from_ms: u64, to_ms: u64, condition: Value| {
        endpoint_condition_line(BAD_ENDPOINT, from_ms, to_ms, &condition)
    };
    match case {
        TraceCase::SlowEndpoint => {
            let condition = json!({"slow": {"factor_permille": 8_000}});
            vec![line(ONSET_MS, TRACE_MS, condition)]
        }
        TraceCase::DyingEndpoint => vec![
            line(ONSET_MS, ONSET_MS + 500, json!("stalled")),
            line(ONSET_MS + 500, TRACE_MS, json!("dead")),
        ],
        TraceCase::FailingEndpoint => {
            let condition = json!({"failing": {"part_permille": 500}});
            vec![line(ONSET_MS, OFFSET_MS, condition)]
        }
        TraceCase::FloodsWithFaults => vec![
            line(
                ONSET_MS,
                TRACE_MS,
                json!({"slow": {"factor_permille": 8_000}}),
            ),
            endpoint_condition_line(OTHER_BAD_ENDPOINT, ONSET_MS, TRACE_MS, &json!("dead")),
        ],
        _ => Vec::new(),
    }
}

fn endpoint_condition_line(endpoint: u32, from_ms: u64, to_ms: u64, condition: &Value) -> Value {
    json!({
        "event": "condition",
        "endpoint": endpoint,
        "from_ms": from_ms,
        "to_ms": to_ms,
        "condition": condition,
    })
}

fn loss_lines(case: TraceCase) -> Vec<Value> {
    match case {
        TraceCase::LostGateway => {
            vec![json!({"event": "gateway_lost", "gateway": LOST_GATEWAY, "at_ms": ONSET_MS})]
        }
        TraceCase::CutDomain => vec![json!({
            "event": "cut",
            "domain": CUT_DOMAIN,
            "from_ms": ONSET_MS,
            "to_ms": OFFSET_MS,
        })],
        _ => Vec::new(),
    }
}

fn flood_lines(case: TraceCase) -> Vec<Value> {
    let line = |flood: &FloodSpec| {
        json!({
            "event": "flood",
            "kind": flood.kind,
            "from_ms": flood.from_ms,
            "to_ms": flood.to_ms,
        })
    };
    case.floods().iter().map(line).collect()
}

fn arrival_line(user: &UserSpec, case: TraceCase, kind: usize, rng: &mut ChaCha8Rng) -> Value {
    let counts: Vec<u64> = (0..TRACE_MS / BIN_MS)
        .map(|bin| {
            let mean = arrivals_per_ms(user, case, kind, bin * BIN_MS) * BIN_MS as f64;
            draw_count(mean, rng)
        })
        .collect();
    json!({"event": "arrivals", "kind": kind, "at_ms": 0, "bin_ms": BIN_MS, "counts": counts})
}

/// Mean arrival rate of a kind at one point of a trace.
fn arrivals_per_ms(user: &UserSpec, case: TraceCase, kind: usize, at_ms: u64) -> f64 {
    let spec = &user.kinds[kind];
    let endpoints: u32 = user.domains.iter().map(|domain| domain.endpoints).sum();
    let capacity = f64::from(endpoints * SLOTS) / spec.mean_run_time_ms();
    let total_load: f64 = user.kinds.iter().map(|kind| kind.load).sum();
    let is_flooding = case
        .floods()
        .iter()
        .any(|flood| flood.kind == kind && (flood.from_ms..flood.to_ms).contains(&at_ms));
    if is_flooding {
        return capacity * FLOOD_FACTOR;
    }
    let scaled = |load: f64| capacity_at_full_load(capacity) * spec.load / total_load * load;
    match case {
        TraceCase::UnevenArrival => scaled(UNEVEN_LOAD),
        TraceCase::UnevenOverload => scaled(OVERLOAD_LOAD),
        TraceCase::LostGateway | TraceCase::CutDomain => scaled(LOSS_LOAD),
        _ => capacity * spec.load,
    }
}

fn capacity_at_full_load(capacity: f64) -> f64 {
    capacity / (1.0 + FULL_LOAD_PERMILLE as f64 / 1_000.0)
}

/// Draws a count from the Poisson distribution. Large means use the normal one, approximated by the
/// sum of twelve uniform draws.
fn draw_count(mean: f64, rng: &mut ChaCha8Rng) -> u64 {
    if mean > POISSON_MEAN_MAX {
        let uniform_sum: f64 = (0..12).map(|_| rng.random::<f64>()).sum();
        return (mean + (uniform_sum - 6.0) * mean.sqrt()).max(0.0) as u64;
    }
    let threshold = (-mean).exp();
    let mut product: f64 = rng.random();
    let mut count = 0;
    while product > threshold {
        product *= rng.random::<f64>();
        count += 1;
    }
    count
}

impl KindSpec {
    fn mean_run_time_ms(&self) -> f64 {
        let segments = RUN_TIME_PERMILLES
            .windows(2)
            .zip(self.run_times_ms.windows(2));
        segments
            .map(|(permilles, times)| {
                let weight = f64::from(permilles[1] - permilles[0]) / 1_000.0;
                weight * (times[0] + times[1]) as f64 / 2.0
            })
            .sum()
    }
}

impl TraceCase {
    const fn name(self) -> &'static str {
        match self {
            Self::FloodLeastUrgent => "flood-least-urgent",
            Self::FloodMostUrgent => "flood-most-urgent",
            Self::SlowEndpoint => "slow-endpoint",
            Self::DyingEndpoint => "dying-endpoint",
            Self::FailingEndpoint => "failing-endpoint",
            Self::UnevenArrival => "uneven-arrival",
            Self::UnevenOverload => "uneven-overload",
            Self::LostGateway => "lost-gateway",
            Self::CutDomain => "cut-domain",
            Self::FloodsWithFaults => "floods-with-faults",
        }
    }

    const fn is_uneven(self) -> bool {
        matches!(
            self,
            Self::UnevenArrival | Self::UnevenOverload | Self::LostGateway | Self::CutDomain
        )
    }

    const fn floods(self) -> &'static [FloodSpec] {
        match self {
            Self::FloodLeastUrgent => &[FloodSpec {
                kind: LEAST_URGENT,
                from_ms: ONSET_MS,
                to_ms: OFFSET_MS,
            }],
            Self::FloodMostUrgent => &[FloodSpec {
                kind: MOST_URGENT,
                from_ms: ONSET_MS,
                to_ms: OFFSET_MS,
            }],
            Self::FloodsWithFaults => &[
                FloodSpec {
                    kind: LEAST_URGENT,
                    from_ms: ONSET_MS,
                    to_ms: OFFSET_MS - 1_500,
                },
                FloodSpec {
                    kind: MOST_URGENT,
                    from_ms: OFFSET_MS - 1_500,
                    to_ms: OFFSET_MS,
                },
            ],
            _ => &[],
        }
    }
}
