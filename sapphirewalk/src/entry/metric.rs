//! Counters, gauges and latency histograms, served as text on the metrics address.

use std::cell;
use std::fmt::Write;

use hdrhistogram::Histogram;
use sapphirewalk_core::time::TimeSpan;

/// Upper bound of a histogram in ms. Longer latencies count as this one.
const MAX_LATENCY_MS: u64 = 60_000;
/// Significant decimal digits of a histogram. Two keep its memory small.
const SIGNIFICANT_DIGITS: u8 = 2;
/// Quantiles that are exported for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 1.0];

/// A counter that never decreases within one run of the process.
#[derive(Debug, Default)]
pub struct EventCounter(cell::Cell<u64>);

/// A value that rises and falls.
#[derive(Debug, Default)]
pub struct GaugeValue(cell::Cell<usize>);

/// A histogram of latencies in ms.
#[derive(Debug)]
pub struct MillisHistogram(cell::RefCell<Histogram<u32>>);

macro_rules! entry_metrics {
    (counts { $($(#[$cdoc:meta])* $count:ident,)* } gauges { $($(#[$gdoc:meta])* $gauge:ident,)* } latencies { $($(#[$ldoc:meta])* $latency:ident,)* }) => {
        /// The counters, gauges and histograms of one entry VM process.
        #[derive(Debug, Default)]
        pub struct EntryMetrics {
            $($(#[$cdoc])* pub $count: EventCounter,)*
            $($(#[$gdoc])* pub $gauge: GaugeValue,)*
            $($(#[$ldoc])* pub $latency: MillisHistogram,)*
        }

        impl EntryMetrics {
            /// Formats all metrics as text, one value per line.
            pub fn render(&self) -> String {
                let mut text = String::new();
                $(let _ = writeln!(text, concat!("sapphirewalk_", stringify!($count), "_total {}"), self.$count.get());)*
                $(let _ = writeln!(text, concat!("sapphirewalk_", stringify!($gauge), " {}"), self.$gauge.get());)*
                $(self.$latency.render(stringify!($latency), &mut text);)*
                text
            }
        }
    };
}

entry_metrics! {
    counts {
        /// Submissions acknowledged by this process, including repeated ones.
        jobs_accepted,
        /// Requests answered as unavailable, because the store or the coordinator couldn't be
        /// reached or no rules are loaded.
        requests_unavailable,
        /// Requests whose outcome is unknown, because the store didn't confirm or refuse the write.
        requests_unknown,
        /// Requests for a queue that the rules in force don't have.
        requests_unknown_queue,
        /// Queries for a job's state.
        state_questions,
        /// Cancellations accepted by this process.
        jobs_cancelled,
        /// Store calls that failed or had no answer.
        store_errors,
        /// Batches that the store confirmed while this process led.
        batches_recorded,
        /// Start orders sent to workers, whatever the answer.
        starts_ordered,
        /// Start orders that were rejected or had no answer.
        starts_failed,
        /// Stop orders sent to workers, whatever the answer.
        stops_ordered,
        /// Polls sent to workers, each of which may renew leases.
        polls_sent,
        /// Polls that had no answer or one without the worker's lists.
        polls_failed,
        /// Changes of speed limit sent to workers for best-effort tasks.
        paces_ordered,
        /// Leaderships acquired by this process.
        leaderships_started,
    }
    gauges {
        /// Requests to evacuate a failure domain that are in force.
        domains_evacuated,
        /// At the leader, tasks on workers in those domains. 0 in other
        /// processes.
        evacuated_tasks,
        /// At the leader, entries of the worker list that name no worker to use.
        unreadable_workers,
        /// Time since the store confirmed the rules in force, in ms.
        rules_age_ms,
    }
    latencies {
        /// Between two confirmations of the rules by the store.
        rules_gap_ms,
        /// From receiving a submission to storing the job.
        accept_ms,
        /// From the first write of a batch to its confirmation.
        record_ms,
        /// From sending a start order to its answer.
        start_ms,
        /// From receiving a state query to its answer.
        state_ms,
        /// From requesting the leadership to the point at which decisions can begin.
        takeover_ms,
        /// At the leader, from the end of a run of a service task to the placement of the next one.
        restart_wait_ms,
        /// At the leader, how long the tail latency of a service task was over its target on a worker.
        violation_ms,
        /// How late the leader handled a timer; its other work waits as long.
        lag_ms,
    }
}

impl EventCounter {
    /// Adds one event to the count.
    pub fn increment(&self) {
        self.0.set(self.0.get() + 1);
    }

    /// Events since the process started.
    pub const fn get(&self) -> u64 {
        self.0.get()
    }
}

impl GaugeValue {
    /// Replaces the value.
    pub fn set(&self, value: usize) {
        self.0.set(value);
    }

    /// The present value.
    pub const fn get(&self) -> usize {
        self.0.get()
    }
}

impl MillisHistogram {
    /// Adds a latency. Spans under 1 ms count as 1 ms.
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

impl Default for MillisHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_max(MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
            .expect("the bounds and digits are valid for a histogram");
        Self(cell::RefCell::new(histogram))
    }
}
