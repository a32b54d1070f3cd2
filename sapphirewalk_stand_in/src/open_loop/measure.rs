//! Latency histograms of the direct path and the path through gateways.

use std::fmt;
use std::time;

use hdrhistogram::Histogram;

/// Significant decimal digits of a recorded latency.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Highest latency recorded, in microseconds; longer ones count as this.
const LATENCY_MAX_US: u64 = 60_000_000;

/// Latencies and failures of one path.
#[derive(Debug)]
pub struct LatencyTable {
    /// Latencies in microseconds.
    histogram: Histogram<u64>,
    failures: u64,
}

/// The difference between the quantiles of two paths.
#[derive(Debug)]
pub struct AddedLatency {
    quantiles: Vec<QuantileFigure>,
}

#[derive(Clone, Copy, Debug)]
struct QuantileFigure {
    name: &'static str,
    /// A latency, or a difference of two, which may be negative.
    micros: i64,
}

/// The printed quantiles, with their names.
const QUANTILES: [(&str, f64); 4] = [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999), ("max", 1.0)];

impl LatencyTable {
    /// Creates a table without latencies or failures.
    pub fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LATENCY_MAX_US, SIGNIFICANT_DIGITS)
            .expect("the bounds and digits are valid for a histogram");
        Self {
            histogram,
            failures: 0,
        }
    }

    /// Records the latency of a successful answer.
    pub fn record(&mut self, latency: time::Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros);
    }

    /// Counts a request without a successful answer; it has no latency.
    pub const fn record_failure(&mut self) {
        self.failures += 1;
    }

    /// Subtracts each quantile of `baseline` from that of this path.
    pub fn added_to(&self, baseline: &Self) -> AddedLatency {
        let quantiles = self
            .quantiles()
            .zip(baseline.quantiles())
            .map(|(own, baseline)| QuantileFigure {
                name: own.name,
                micros: own.micros - baseline.micros,
            });
        AddedLatency {
            quantiles: quantiles.collect(),
        }
    }

    fn quantiles(&self) -> impl Iterator<Item = QuantileFigure> + '_ {
        QUANTILES.iter().map(|(name, quantile)| {
            let micros = self.histogram.value_at_quantile(*quantile);
            QuantileFigure {
                name,
                micros: i64::try_from(micros).unwrap_or(i64::MAX),
            }
        })
    }
}

impl Default for LatencyTable {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for LatencyTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "answered {} failed {}",
            self.histogram.len(),
            self.failures
        )?;
        write_quantiles(formatter, self.quantiles())
    }
}

impl fmt::Display for AddedLatency {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_quantiles(formatter, self.quantiles.iter().copied())
    }
}

fn write_quantiles(
    formatter: &mut fmt::Formatter<'_>,
    quantiles: impl Iterator<Item = QuantileFigure>,
) -> fmt::Result {
    for figure in quantiles {
        write!(formatter, " {} {} us", figure.name, figure.micros)?;
    }
    Ok(())
}
