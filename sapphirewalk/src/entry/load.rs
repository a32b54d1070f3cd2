//! Where the leader's processor time goes: spans measured around its work, logged at an interval.

use std::cell;
use std::fmt::Write;
use std::pin;
use std::task::Poll;
use std::time;

use futures::future;
use sapphirewalk_core::coordinator::LoadReport;
use sapphirewalk_core::coordinator::RunPhase;
use sapphirewalk_platform::store::StoreError;

/// A kind of work of the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaderWork {
    /// Handling events in the coordinator.
    Events,
    /// Scans of jobs and workers in the coordinator.
    Sweep,
    /// Placement in the coordinator.
    Place,
    /// Decisions about polls in the coordinator.
    Poll,
    /// Assembling batches in the coordinator.
    Batch,
    /// Formatting log lines of decisions.
    Log,
    /// Start orders: encoding, sending, and decoding answers.
    StartCalls,
    /// Other orders.
    OrderCalls,
    /// Polls: encoding, sending, and decoding answers.
    PollCalls,
    /// Batches: encoding and writing them.
    RecordCalls,
    /// Following the job table and the worker list.
    Follow,
}

impl LeaderWork {
    const COUNT: usize = Self::Follow as usize + 1;
    const NAMES: [&str; Self::COUNT] = [
        "events",
        "sweep",
        "place",
        "poll",
        "batch",
        "log",
        "start_calls",
        "order_calls",
        "poll_calls",
        "record_calls",
        "follow",
    ];
}

impl From<RunPhase> for LeaderWork {
    fn from(phase: RunPhase) -> Self {
        match phase {
            RunPhase::Sweep => Self::Sweep,
            RunPhase::Place => Self::Place,
            RunPhase::Poll => Self::Poll,
            RunPhase::Record => Self::Batch,
        }
    }
}

/// Time spent on each kind of work since the last report.
///
/// Spans are taken on the monotonic clock, so they contain time in which the process waited for the
/// processor; work that isn't metered counts only in the runtime's busy time.
#[derive(Debug, Default)]
pub struct LoadMeter {
    spans: [cell::Cell<time::Duration>; LeaderWork::COUNT],
    /// Busy time of the runtime at the last report.
    reported_busy: cell::Cell<time::Duration>,
    /// Writes of batches that the store refused since the last report.
    refused_writes: cell::Cell<u32>,
    /// Writes of batches without an answer since the last report.
    unanswered_writes: cell::Cell<u32>,
}

impl LoadMeter {
    /// Runs a function and counts its time.
    pub fn measure<T>(&self, work: LeaderWork, function: impl FnOnce() -> T) -> T {
        let begun_at = time::Instant::now();
        let output = function();
        let span = &self.spans[work as usize];
        span.set(span.get() + begun_at.elapsed());
        output
    }

    /// Runs a future and counts the time of its polls.
    pub async fn follow<F: Future>(&self, work: LeaderWork, future: F) -> F::Output {
        let mut future = pin::pin!(future);
        future::poll_fn(|context| -> Poll<F::Output> {
            self.measure(work, || future.as_mut().poll(context))
        })
        .await
    }

    /// Counts a write of a batch, if it failed.
    pub fn record_write<T>(&self, outcome: &Result<T, StoreError>) {
        let count = match outcome {
            Ok(_) => return,
            Err(StoreError::Unknown) => &self.unanswered_writes,
            Err(StoreError::Refused | StoreError::Malformed(_)) => &self.refused_writes,
        };
        count.set(count.get() + 1);
    }

    /// The fields of a log line: milliseconds for each kind of work since the last report, for
    /// everything that the process did (`busy`), and what waits in the coordinator. `busy` is the
    /// runtime's busy time since its start.
    pub fn report(&self, busy: time::Duration, load: &LoadReport) -> String {
        let busy_before = self.reported_busy.replace(busy);
        let mut line = format!("busy={}", busy.saturating_sub(busy_before).as_millis());
        for (name, span) in LeaderWork::NAMES.iter().zip(&self.spans) {
            let millis = span.take().as_millis();
            if millis > 0 {
                let _ = write!(line, " {name}={millis}");
            }
        }
        let _ = write!(
            line,
            " mean_lag={} starts_per_s={} unwritten_jobs={} unacknowledged_workers={} longest_poll_gap={}",
            load.mean_lag,
            load.starts_per_s
                .map_or("any".to_owned(), |rate| rate.to_string()),
            load.unwritten_jobs,
            load.unacknowledged_workers,
            load.longest_poll_gap
        );
        for (name, count) in [
            ("refused_writes", &self.refused_writes),
            ("unanswered_writes", &self.unanswered_writes),
        ] {
            let count = count.take();
            if count > 0 {
                let _ = write!(line, " {name}={count}");
            }
        }
        for delay in &load.delays {
            let _ = write!(
                line,
                " {}_p{}={}x{}..{}",
                delay.stage.as_str(),
                delay.priority,
                delay.count,
                delay.mean(),
                delay.longest
            );
        }
        line
    }
}
