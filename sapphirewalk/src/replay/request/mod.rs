//! Replays request traces through a simulated fleet of gateways and endpoints.
//!
//! The same requests are simulated with the full policy and with each baseline, so that the
//! measures differ only by the policy.

mod arrival;
mod fake_endpoint;
mod fake_gateway;
mod fleet;
mod measure;
mod simulation;
mod trace;
mod variant;

use crate::replay::error::ReplayError;
use crate::replay::request::measure::RunMeasures;
use crate::replay::request::trace::RequestTrace;
use crate::replay::request::variant::PolicyVariant;
use crate::replay::table::BaselineFigure;
use crate::replay::table::MeasureRow;

const WHOLE_PERCENT: f64 = 100.0;
const MEDIAN: LatencyMeasure = LatencyMeasure {
    name: "p50",
    quantile: 0.5,
};
/// Tail quantiles, which are also compared with a run on healthy endpoints.
const TAIL_QUANTILES: [LatencyMeasure; 2] = [
    LatencyMeasure {
        name: "p99",
        quantile: 0.99,
    },
    LatencyMeasure {
        name: "p99.9",
        quantile: 0.999,
    },
];

#[derive(Clone, Copy, Debug)]
struct LatencyMeasure {
    name: &'static str,
    quantile: f64,
}

/// Results of all simulations of one trace.
struct TraceRuns {
    trace: RequestTrace,
    full: RunMeasures,
    baselines: Vec<BaselineRun>,
    /// The full policy with all endpoints healthy; `None` if the trace has no conditions.
    healthy: Option<RunMeasures>,
}

struct BaselineRun {
    name: &'static str,
    measures: RunMeasures,
}

/// Simulates the event lines of a trace and returns its measures, in the order of the table.
///
/// # Errors
///
/// If a line violates the trace format, or lines contradict each other.
pub fn replay(events: &str) -> Result<Vec<MeasureRow>, ReplayError> {
    let trace = RequestTrace::parse(events)?;
    Ok(TraceRuns::run(trace).rows())
}

impl TraceRuns {
    fn run(trace: RequestTrace) -> Self {
        let requests = arrival::draw_requests(&trace);
        let baselines = PolicyVariant::BASELINES
            .iter()
            .map(|variant| BaselineRun {
                name: variant.name,
                measures: simulation::run(&trace, &requests, *variant),
            })
            .collect();
        let healthy = (!trace.conditions.is_empty())
            .then(|| simulation::run(&trace.without_conditions(), &requests, PolicyVariant::FULL));
        Self {
            full: simulation::run(&trace, &requests, PolicyVariant::FULL),
            baselines,
            healthy,
            trace,
        }
    }

    fn rows(&self) -> Vec<MeasureRow> {
        let mut rows = Vec::new();
        for (kind, line) in self.trace.kinds.iter().enumerate() {
            self.add_kind_rows(kind, &line.name, &mut rows);
        }
        self.add_fleet_rows(&mut rows);
        rows
    }

    fn add_kind_rows(&self, kind: usize, name: &str, rows: &mut Vec<MeasureRow>) {
        for LatencyMeasure {
            name: quantile_name,
            quantile,
        } in [MEDIAN].into_iter().chain(TAIL_QUANTILES)
        {
            let measure = format!("{name} {quantile_name} (ms)");
            rows.push(self.row(measure, |run| run.latency_ms(kind, quantile)));
        }
        let measure = format!("{name} answered in time (%)");
        rows.push(self.row(measure, |run| run.kinds[kind].all.answered_percent()));
        if self.trace.floods.iter().any(|flood| flood.kind != kind) {
            let measure = format!("{name} kept in the flood (%)");
            rows.push(self.row(measure, |run| run.kinds[kind].kept_percent()));
            let measure = format!("{name} p99 in the flood over before");
            rows.push(self.row(measure, |run| run.kinds[kind].flood_latency_ratio(0.99)));
        }
        if let Some(healthy) = &self.healthy {
            for LatencyMeasure {
                name: quantile_name,
                quantile,
            } in TAIL_QUANTILES
            {
                let healthy_latency = healthy.latency_ms(kind, quantile);
                let measure = format!("{name} {quantile_name} over that with sound endpoints");
                rows.push(self.row(measure, |run| {
                    run.latency_ms(kind, quantile) / healthy_latency
                }));
            }
        }
    }

    fn add_fleet_rows(&self, rows: &mut Vec<MeasureRow>) {
        let mut add = |measure: &str, figure: &dyn Fn(&RunMeasures) -> f64| {
            rows.push(self.row(measure.to_owned(), figure));
        };
        add("answered in time (%)", &|run| {
            run.total().answered_percent()
        });
        add("answers over those of one seat (%)", &|run| {
            WHOLE_PERCENT * run.total().answered as f64 / self.one_seat_answers()
        });
        add("answered with an error (%)", &|run| {
            run.total().error_percent()
        });
        add("told nothing before the deadline (%)", &|run| {
            run.total().late_percent()
        });
        add("told that it may have run (%)", &|run| {
            run.total().unknown_percent()
        });
        add("lost with their gateway (%)", &|run| {
            run.total().lost_percent()
        });
        add("time to refuse p99 (ms)", &|run| run.refusal_ms(0.99));
        add(
            "second attempts over answers (%)",
            &RunMeasures::second_attempts_percent,
        );
        add("slot time in use (%)", &|run| {
            WHOLE_PERCENT * run.used_fraction
        });
        add("forwarded (requests)", &|run| run.forwards as f64);
        add("forwarded in vain (requests)", &|run| {
            run.declined_forwards as f64
        });
        add("most requests at an endpoint", &|run| {
            run.max_at_endpoint as f64
        });
    }

    /// Answered requests of the baseline in which one gateway holds the seats of a whole domain.
    fn one_seat_answers(&self) -> f64 {
        self.baselines
            .iter()
            .find(|run| run.name == variant::ONE_SEAT)
            .map_or(f64::NAN, |run| run.measures.total().answered as f64)
    }

    fn row(&self, measure: String, figure: impl Fn(&RunMeasures) -> f64) -> MeasureRow {
        MeasureRow {
            measure,
            ours: figure(&self.full),
            baselines: self
                .baselines
                .iter()
                .map(|run| BaselineFigure {
                    name: run.name,
                    value: figure(&run.measures),
                })
                .collect(),
        }
    }
}
