//! Generates the requests of a trace.
//!
//! A trace records arrival counts and run-time distributions instead of single requests. Each
//! request is drawn from them by a generator with the seed of the trace, so that every replay gets
//! the same requests.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::trace::ArrivalLine;
use crate::replay::request::trace::RequestTrace;
use crate::replay::request::trace::RunTimePoint;

const WHOLE_PERMILLE: f64 = 1_000.0;

/// One generated request, the same in every run of the trace.
#[derive(Clone, Copy, Debug)]
pub struct TraceRequest {
    /// Time of arrival at the gateway.
    pub at: TimePoint,
    /// Index of the kind line.
    pub kind: usize,
    /// Index of the gateway that the load balancer picked.
    pub gateway: usize,
    /// Run time at an endpoint without other load.
    pub run_time: TimeSpan,
}

/// Generates the requests of a trace, in order of arrival.
pub fn draw_requests(trace: &RequestTrace) -> Vec<TraceRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(trace.fleet.seed);
    let mut requests = Vec::new();
    for line in &trace.arrivals {
        draw_line(trace, line, &mut rng, &mut requests);
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Spreads the count of each bin evenly over the bin.
fn draw_line(
    trace: &RequestTrace,
    line: &ArrivalLine,
    rng: &mut ChaCha8Rng,
    requests: &mut Vec<TraceRequest>,
) {
    for (bin, count) in line.counts.iter().enumerate() {
        let start = TimePoint::from_millis(line.at_ms + bin as u64 * line.bin_ms);
        let length = TimeSpan::from_millis(line.bin_ms).as_micros();
        for _ in 0..*count {
            let at = start + TimeSpan::from_micros(rng.random_range(0..length));
            requests.push(TraceRequest {
                at,
                kind: line.kind,
                gateway: draw_gateway(trace, at, rng),
                run_time: draw_run_time(&trace.kinds[line.kind].run_times, rng),
            });
        }
    }
}

/// Draws a gateway by the weights in force at `at`; the first gateway if there are none yet.
fn draw_gateway(trace: &RequestTrace, at: TimePoint, rng: &mut ChaCha8Rng) -> usize {
    let spread = trace
        .spreads
        .iter()
        .rev()
        .find(|spread| TimePoint::from_millis(spread.at_ms) <= at);
    let Some(spread) = spread else {
        return 0;
    };
    let mut drawn = rng.random_range(0..spread.weights.iter().sum::<u32>());
    for (gateway, weight) in spread.weights.iter().enumerate() {
        if drawn < *weight {
            return gateway;
        }
        drawn -= weight;
    }
    0
}

/// Draws a run time by linear interpolation between the points of its distribution.
fn draw_run_time(points: &[RunTimePoint], rng: &mut ChaCha8Rng) -> TimeSpan {
    let drawn = rng.random::<f64>() * WHOLE_PERMILLE;
    let above = points
        .iter()
        .position(|point| f64::from(point.permille) >= drawn)
        .unwrap_or(points.len() - 1)
        .max(1);
    let (low, high) = (points[above - 1], points[above]);
    let width = f64::from(high.permille - low.permille).max(1.0);
    let fraction = (drawn - f64::from(low.permille)) / width;
    let rise = high.us.saturating_sub(low.us);
    TimeSpan::from_micros(low.us) + TimeSpan::from_micros(rise).scale(fraction)
}
