//! Simulated endpoint: slots, a backlog of accepted connections, and the faults of the trace.

use std::collections::VecDeque;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::trace::ConditionLine;
use crate::replay::request::trace::EndpointCondition;
use crate::replay::request::trace::FleetLine;

const WHOLE_PERMILLE: u64 = 1_000;
/// Run time of a request that a failing endpoint answers with an error.
const ERROR_RUN_TIME: TimeSpan = TimeSpan::from_millis(2);

/// Attempt that arrives at an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointWork {
    /// Index of the attempt in the simulation.
    pub attempt: usize,
    /// Run time without other load at the endpoint.
    pub run_time: TimeSpan,
    /// Random number below 1000. A failing endpoint answers with an error if it is below the
    /// probability of an error in thousandths.
    pub failure_draw_permille: u32,
}

/// Whether an accepted attempt runs at once.
#[derive(Clone, Copy, Debug)]
pub enum ArrivalStep {
    /// A slot is free; the run ends as stated.
    Run(RunEnd),
    /// All slots are in use; the attempt is in the backlog.
    Wait,
}

/// End of a run that has started.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// Index of the attempt in the simulation.
    pub attempt: usize,
    /// Time at which the run ends, unless a stall delays its answer.
    pub at: TimePoint,
    /// Whether the answer reports an error.
    pub is_error: bool,
}

/// Endpoint whose run times and faults come from the trace.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    slots: usize,
    connections: usize,
    full_load_permille: u64,
    conditions: Vec<ConditionLine>,
    /// Attempts in a slot.
    running: Vec<usize>,
    /// Attempts that wait for a slot, in order of arrival.
    backlog: VecDeque<EndpointWork>,
    max_in_use: usize,
    busy_time: TimeSpan,
}

impl FakeEndpoint {
    /// An idle endpoint with those of `conditions` that name `endpoint`.
    pub fn new(endpoint: u32, fleet: &FleetLine, conditions: &[ConditionLine]) -> Self {
        Self {
            slots: fleet.slots as usize,
            connections: fleet.connections as usize,
            full_load_permille: fleet.full_load_permille,
            conditions: conditions
                .iter()
                .filter(|line| line.endpoint == endpoint)
                .copied()
                .collect(),
            running: Vec::new(),
            backlog: VecDeque::new(),
            max_in_use: 0,
            busy_time: TimeSpan::ZERO,
        }
    }

    /// Whether a new connection is refused: the endpoint is dead or at its connection limit.
    pub fn refuses_connection(&self, now: TimePoint) -> bool {
        let is_dead = matches!(self.condition(now), Some((EndpointCondition::Dead, _)));
        is_dead || self.running.len() + self.backlog.len() >= self.connections
    }

    /// Starts or queues an attempt whose connection was not refused.
    pub fn accept(&mut self, work: EndpointWork, now: TimePoint) -> ArrivalStep {
        let connections = self.running.len() + self.backlog.len() + 1;
        self.max_in_use = self.max_in_use.max(connections);
        if self.running.len() >= self.slots {
            self.backlog.push_back(work);
            return ArrivalStep::Wait;
        }
        ArrivalStep::Run(self.start(work, now))
    }

    /// Frees the slot of a run and starts the next attempt in the backlog.
    ///
    /// `None` if the backlog is empty.
    pub fn end_run(&mut self, attempt: usize, now: TimePoint) -> Option<RunEnd> {
        self.running.retain(|running| *running != attempt);
        let work = self.backlog.pop_front()?;
        Some(self.start(work, now))
    }

    /// Whether the attempt is in a slot; false once its connection broke.
    pub fn is_running(&self, attempt: usize) -> bool {
        self.running.contains(&attempt)
    }

    /// Breaks all connections and returns the attempts on them, running and waiting.
    pub fn break_connections(&mut self) -> Vec<usize> {
        let waiting = self.backlog.drain(..).map(|work| work.attempt);
        self.running.drain(..).chain(waiting).collect()
    }

    /// End of the stall in force at `now`; `None` if the endpoint is not stalled.
    pub fn stall_end(&self, now: TimePoint) -> Option<TimePoint> {
        match self.condition(now) {
            Some((EndpointCondition::Stalled, until)) => Some(until),
            _ => None,
        }
    }

    /// Maximum number of attempts that ran or waited at the same time.
    pub const fn max_in_use(&self) -> usize {
        self.max_in_use
    }

    /// Sum of the run times of all started attempts, without stalls.
    pub const fn busy_time(&self) -> TimeSpan {
        self.busy_time
    }

    fn start(&mut self, work: EndpointWork, now: TimePoint) -> RunEnd {
        self.running.push(work.attempt);
        let condition = self.condition(now).map(|(condition, _)| condition);
        let is_error = matches!(
            condition,
            Some(EndpointCondition::Failing { part_permille }) if work.failure_draw_permille < part_permille
        );
        let run_time = match condition {
            _ if is_error => ERROR_RUN_TIME,
            Some(EndpointCondition::Slow { factor_permille }) => {
                scale(self.run_time_under_load(work.run_time), factor_permille)
            }
            _ => self.run_time_under_load(work.run_time),
        };
        self.busy_time = self.busy_time + run_time;
        RunEnd {
            attempt: work.attempt,
            at: now + run_time,
            is_error,
        }
    }

    /// Run time with the present load, which grows linearly with the other slots in use.
    fn run_time_under_load(&self, run_time: TimeSpan) -> TimeSpan {
        let others = self.running.len().saturating_sub(1) as u64;
        let max_others = self.slots.saturating_sub(1).max(1) as u64;
        scale(
            run_time,
            WHOLE_PERMILLE + self.full_load_permille * others / max_others,
        )
    }

    /// Fault in force at `now`, with its end.
    fn condition(&self, now: TimePoint) -> Option<(EndpointCondition, TimePoint)> {
        self.conditions
            .iter()
            .find(|line| {
                TimePoint::from_millis(line.from_ms) <= now
                    && now < TimePoint::from_millis(line.to_ms)
            })
            .map(|line| (line.condition, TimePoint::from_millis(line.to_ms)))
    }
}

fn scale(span: TimeSpan, permille: u64) -> TimeSpan {
    TimeSpan::from_micros(span.as_micros() * permille / WHOLE_PERMILLE)
}
