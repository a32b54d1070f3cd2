//! What the leader's log says about its load: the delays that runs meet in the leader itself, and
//! what waits there.

use crate::coordinator::JobCoordinator;
use crate::time::TimeSpan;

/// What a run waits for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum RunStage {
    /// From the choice of a worker until the store has committed the run.
    Record,
    /// From sending the start until its answer is handled.
    Start,
}

/// Delays of the runs of one priority in one stage, since the last report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StageDelay {
    /// The stage.
    pub stage: RunStage,
    /// Priority of the runs' queues; 0 is the most urgent.
    pub priority: u32,
    /// Number of runs that left the stage.
    pub count: u32,
    /// Sum of their delays.
    pub total: TimeSpan,
    /// Longest of their delays.
    pub longest: TimeSpan,
}

/// What waits in the coordinator, and how long things have waited since the last report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LoadReport {
    /// Delays of runs; sorted by stage and priority.
    pub delays: Vec<StageDelay>,
    /// Time from the end of a run of a service task to the placement of the next one, for each that
    /// was placed.
    pub restart_waits: Vec<TimeSpan>,
    /// Durations of the violations that have ended: times in which the tail latency of a service task
    /// was over its target on a worker.
    pub violations: Vec<TimeSpan>,
    /// Longest time between two answers of a worker to polls.
    pub longest_poll_gap: TimeSpan,
    /// Mean lag of the leader, recent samples weighing most.
    pub mean_lag: TimeSpan,
    /// Starts per second of work that can wait; none while there is no limit.
    pub starts_per_s: Option<u32>,
    /// Number of jobs whose progress waits to be written.
    pub unwritten_jobs: usize,
    /// Number of workers with ends that they must keep until they are committed.
    pub unacknowledged_workers: usize,
}

impl LoadReport {
    pub(super) fn record_delay(&mut self, stage: RunStage, priority: u32, delay: TimeSpan) {
        let key = |known: &StageDelay| (known.stage, known.priority);
        let place = self.delays.binary_search_by_key(&(stage, priority), key);
        let place = place.unwrap_or_else(|place| {
            let empty = StageDelay {
                stage,
                priority,
                count: 0,
                total: TimeSpan::ZERO,
                longest: TimeSpan::ZERO,
            };
            self.delays.insert(place, empty);
            place
        });
        let known = &mut self.delays[place];
        known.count += 1;
        known.total = known.total + delay;
        known.longest = known.longest.max(delay);
    }
}

impl StageDelay {
    /// Mean delay of the runs.
    pub fn mean(&self) -> TimeSpan {
        self.total.scale(1.0 / f64::from(self.count.max(1)))
    }
}

impl RunStage {
    /// Name of the stage in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Record => "record",
            Self::Start => "start",
        }
    }
}

impl JobCoordinator {
    /// What waits now, and the delays since the last call.
    pub fn take_load_report(&mut self) -> LoadReport {
        let mut report = std::mem::take(&mut self.load_report);
        report.mean_lag = self.start_pace.mean_lag();
        report.starts_per_s = self.start_pace.rate().map(|rate| rate as u32);
        report.unwritten_jobs = self.dirty.len() + self.commit.held_count();
        let workers = self.workers.iter();
        report.unacknowledged_workers = workers
            .filter(|(_, entry)| entry.handled_end > entry.acked_end)
            .count();
        report
    }
}
