//! Counters and latency histograms, served as text on the metrics address.

use std::cell;
use std::fmt::Write;

use hdrhistogram::Histogram;
use sapphirewalk_core::time::TimeSpan;

/// Longest latency that a histogram tells apart, in ms.
const LONGEST_MS: u64 = 60_000;
/// Significant digits of a histogram; two keep it small.
const DIGITS: u8 = 2;
/// Quantiles that are served.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// A number that only rises.
#[derive(Debug, Default)]
pub struct CountCell(cell::Cell<u64>);

/// Latencies in ms.
#[derive(Debug)]
pub struct LatencyCell(cell::RefCell<Histogram<u32>>);

macro_rules! entry_gauges {
    (counts { $($(#[$cdoc:meta])* $count:ident,)* } latencies { $($(#[$ldoc:meta])* $latency:ident,)* }) => {
        /// The counters and histograms of an entry VM's process.
        #[derive(Debug, Default)]
        pub struct EntryGauges {
            $($(#[$cdoc])* pub $count: CountCell,)*
            $($(#[$ldoc])* pub $latency: LatencyCell,)*
        }

        impl EntryGauges {
            /// All of them as text, one a line.
            pub fn render(&self) -> String {
                let mut text = String::new();
                $(let _ = writeln!(text, concat!("sapphirewalk_", stringify!($count), "_total {}"), self.$count.get());)*
                $(self.$latency.render(stringify!($latency), &mut text);)*
                text
            }
        }
    };
}

entry_gauges! {
    counts {
        /// Jobs accepted here.
        jobs_accepted,
        /// Requests refused here because something was out of reach.
        requests_unavailable,
        /// Requests whose outcome could not be told.
        requests_unknown,
        /// Questions about a job's state.
        state_questions,
        /// Cancellings accepted here.
        jobs_cancelled,
        /// Calls of the store without an outcome.
        store_errors,
        /// Batches recorded.
        batches_recorded,
        /// Starts ordered.
        starts_ordered,
        /// Starts that were turned away or had no answer.
        starts_failed,
        /// Stops ordered.
        stops_ordered,
        /// Polls at workers.
        polls_sent,
        /// Polls without an answer.
        polls_failed,
        /// Changes of pace ordered.
        paces_ordered,
        /// Times that this process took the leadership.
        leaderships_started,
    }
    latencies {
        /// From a job's arrival to its answer.
        accept_ms,
        /// From sending a batch to its commit.
        record_ms,
        /// From ordering a start to its answer.
        start_ms,
        /// From a question about a state to its answer.
        state_ms,
        /// From taking the leadership to the first decision.
        takeover_ms,
    }
}

impl CountCell {
    /// Adds one.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// The number.
    pub const fn get(&self) -> u64 {
        self.0.get()
    }
}

impl LatencyCell {
    /// Adds a latency.
    pub fn record(&self, span: TimeSpan) {
        self.0
            .borrow_mut()
            .saturating_record(span.as_millis().max(1));
    }

    fn render(&self, name: &str, text: &mut String) {
        let histogram = self.0.borrow();
        for quantile in QUANTILES {
            let value = histogram.value_at_quantile(quantile);
            let _ = writeln!(
                text,
                "sapphirewalk_{name}{{quantile=\"{quantile}\"}} {value}"
            );
        }
        let _ = writeln!(text, "sapphirewalk_{name}_count {}", histogram.len());
    }
}

impl Default for LatencyCell {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(LONGEST_MS, DIGITS)
            .expect("these bounds are within what a histogram takes");
        Self(cell::RefCell::new(histogram))
    }
}
