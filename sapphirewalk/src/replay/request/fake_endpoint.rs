//! A fake endpoint that answers as the trace says.

use std::collections::VecDeque;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::replay::request::trace::ConditionLine;
use crate::replay::request::trace::EndpointCondition;
use crate::replay::request::trace::FleetLine;

/// Thousandths in a whole.
const WHOLE_PERMILLE: u64 = 1_000;
/// How long an endpoint takes to answer with an error.
const ERROR_RUN_TIME: TimeSpan = TimeSpan::from_millis(2);

/// A request that an endpoint was sent.
#[derive(Clone, Copy, Debug)]
pub struct EndpointWork {
    /// The attempt's index.
    pub attempt: usize,
    /// Its run time at low load.
    pub run_time: TimeSpan,
    /// Drawn for the attempt, below a thousand; decides whether a failing endpoint fails it.
    pub failure_draw_permille: u32,
}

/// What an endpoint does with a request that arrives.
#[derive(Clone, Copy, Debug)]
pub enum ArrivalStep {
    /// It runs; it will end as told.
    Run(RunEnd),
    /// It waits for a slot of the endpoint.
    Wait,
}

/// How a run will end.
#[derive(Clone, Copy, Debug)]
pub struct RunEnd {
    /// The attempt's index.
    pub attempt: usize,
    /// When.
    pub at: TimePoint,
    /// Whether with an error.
    pub is_error: bool,
}

/// A fake endpoint.
#[derive(Clone, Debug)]
pub struct FakeEndpoint {
    slots: usize,
    connections: usize,
    full_load_permille: u64,
    conditions: Vec<ConditionLine>,
    /// Attempts that run.
    running: Vec<usize>,
    backlog: VecDeque<EndpointWork>,
    max_in_use: usize,
    busy_time: TimeSpan,
}

impl FakeEndpoint {
    /// A fake with the trace's conditions for `endpoint`.
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

    /// Whether a connection is refused.
    pub fn refuses_connection(&self, now: TimePoint) -> bool {
        let is_dead = matches!(self.condition(now), Some((EndpointCondition::Dead, _)));
        is_dead || self.running.len() + self.backlog.len() >= self.connections
    }

    /// A request arrives on a connection that was not refused.
    pub fn accept(&mut self, work: EndpointWork, now: TimePoint) -> ArrivalStep {
        let connections = self.running.len() + self.backlog.len() + 1;
        self.max_in_use = self.max_in_use.max(connections);
        if self.running.len() >= self.slots {
            self.backlog.push_back(work);
            return ArrivalStep::Wait;
        }
        ArrivalStep::Run(self.start(work, now))
    }

    /// A run ended; the next one that waits begins. Absent `None` when the run was broken off.
    pub fn end_run(&mut self, attempt: usize, now: TimePoint) -> Option<RunEnd> {
        self.running.retain(|running| *running != attempt);
        let work = self.backlog.pop_front()?;
        Some(self.start(work, now))
    }

    /// Whether the attempt runs.
    pub fn is_running(&self, attempt: usize) -> bool {
        self.running.contains(&attempt)
    }

    /// Breaks every connection, and returns the attempts on them.
    pub fn break_connections(&mut self) -> Vec<usize> {
        let waiting = self.backlog.drain(..).map(|work| work.attempt);
        self.running.drain(..).chain(waiting).collect()
    }

    /// The end of the stall that lasts at `now`, if there is one.
    pub fn stall_end(&self, now: TimePoint) -> Option<TimePoint> {
        match self.condition(now) {
            Some((EndpointCondition::Stalled, until)) => Some(until),
            _ => None,
        }
    }

    /// The most requests that were at the endpoint at once.
    pub const fn max_in_use(&self) -> usize {
        self.max_in_use
    }

    /// The time for which slots were in use.
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

    fn run_time_under_load(&self, run_time: TimeSpan) -> TimeSpan {
        let others = self.running.len().saturating_sub(1) as u64;
        let max_others = self.slots.saturating_sub(1).max(1) as u64;
        scale(
            run_time,
            WHOLE_PERMILLE + self.full_load_permille * others / max_others,
        )
    }

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
