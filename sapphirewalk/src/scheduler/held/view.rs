//! What the state dump and the peers are told of a held shard.

use std::collections::BTreeMap;

use serde::Serialize;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_pool::WorkerStatus;

use crate::peer::QuotaWant;
use crate::scheduler::held::HeldShard;
use crate::scheduler::worker_map::ClosedReason;

/// A held shard.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct ShardView {
    /// The epoch.
    pub epoch: u64,
    /// Whether the shard's rows have been read.
    pub loaded: bool,
    /// Whether the table answered the last call.
    pub table_answers: bool,
    /// The workers.
    pub workers: Vec<WorkerView>,
    /// Tasks that wait, by kind and team.
    pub pending: Vec<PendingView>,
    /// Tasks that an attempt may be running of.
    pub running: usize,
    /// Running tasks beyond twice the run time that was declared.
    pub overdue: Vec<String>,
    /// The most that is free on one worker.
    pub largest_free: ResourceVector,
    /// What the shard lacks of teams' quotas.
    #[serde(skip)]
    pub quota_wants: Vec<QuotaWant>,
    /// Teams of which too many tasks wait.
    pub full_teams: Vec<String>,
    /// Free processor time, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Changes of rows that wait.
    pub waiting_writes: usize,
    /// Bytes of memory that the decisions use.
    pub policy_bytes: usize,
}

/// A worker of a shard.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkerView {
    /// Its name.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Why it gets no new tasks.
    pub out: Option<&'static str>,
    /// What it has.
    pub capacity: ResourceVector,
    /// What is free.
    pub free: ResourceVector,
    /// Attempts that hold a reservation.
    pub attempts: usize,
    /// The end of the lease as last sent, in Unix milliseconds.
    pub lease_until_ms: u64,
    /// When the last renewal that it answered was sent, in Unix milliseconds.
    pub confirmed_at_ms: Option<u64>,
}

/// Tasks of one kind and team that wait.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct PendingView {
    /// The kind.
    pub kind: String,
    /// The team.
    pub team: String,
    /// How many.
    pub tasks: usize,
}

impl HeldShard {
    /// What the state dump and the peers are told.
    pub fn view(&self, now: TimePoint) -> ShardView {
        let workers: Vec<WorkerView> = self.worker_views();
        let free = workers.iter().filter(|view| view.out.is_none());
        ShardView {
            epoch: self.start.epoch,
            loaded: self.loaded,
            table_answers: self.table_answers,
            free_cpu_millis: free.clone().map(|view| view.free.cpu_millis).sum(),
            largest_free: largest(free.map(|view| view.free)),
            workers,
            full_teams: self.full_teams(),
            quota_wants: self.quota_wants(),
            pending: self.pending_views(),
            running: self.running().count(),
            overdue: self.overdue(now),
            waiting_writes: self.writes.len(),
            policy_bytes: self.policy.memory_bytes(),
        }
    }

    fn worker_views(&self) -> Vec<WorkerView> {
        let view = |worker| {
            let node = self.workers.node(worker);
            let slot = self.policy.pool().slot(worker);
            let reason = node.closed_reason().map(ClosedReason::as_str);
            let quarantine = (slot.status() == WorkerStatus::Quarantined).then_some("quarantined");
            WorkerView {
                name: node.name.name.clone(),
                incarnation: node.name.incarnation,
                out: reason.or(quarantine),
                capacity: slot.profile().capacity,
                free: slot.free(),
                attempts: slot.attempts().len(),
                lease_until_ms: node.sent_until.as_millis(),
                confirmed_at_ms: node.confirmed_at.map(TimePoint::as_millis),
            }
        };
        self.workers.keys().map(view).collect()
    }

    fn pending_views(&self) -> Vec<PendingView> {
        let mut counts: BTreeMap<(&str, &str), usize> = BTreeMap::new();
        for (_, entry) in self
            .tasks
            .iter()
            .filter(|(_, entry)| entry.lifecycle.is_ready())
        {
            let lane = (entry.row.kind.as_str(), entry.row.team.as_str());
            *counts.entry(lane).or_default() += 1;
        }
        let view = |((kind, team), tasks): ((&str, &str), usize)| PendingView {
            kind: kind.to_owned(),
            team: team.to_owned(),
            tasks,
        };
        counts.into_iter().map(view).collect()
    }

    fn full_teams(&self) -> Vec<String> {
        let mut counts: BTreeMap<&str, u64> = BTreeMap::new();
        for (_, entry) in self
            .tasks
            .iter()
            .filter(|(_, entry)| entry.lifecycle.is_ready())
        {
            *counts.entry(&entry.row.team).or_default() += 1;
        }
        counts
            .into_iter()
            .filter(|(_, count)| *count >= self.settings.team_waiting_max)
            .map(|(team, _)| team.to_owned())
            .collect()
    }

    fn running(&self) -> impl Iterator<Item = &crate::scheduler::task_map::TaskEntry> {
        self.tasks
            .iter()
            .map(|(_, entry)| entry)
            .filter(|entry| entry.lifecycle.may_run())
    }

    fn overdue(&self, now: TimePoint) -> Vec<String> {
        self.running()
            .filter(|entry| {
                let declared = entry.row.expected_run_ms.saturating_mul(2);
                now.since(entry.started_at).as_millis() > declared
            })
            .map(|entry| entry.id.clone())
            .collect()
    }
}

/// The amount of the most processor time; one worker's, so that it is free at once.
fn largest(free: impl Iterator<Item = ResourceVector>) -> ResourceVector {
    free.max_by_key(|amount| amount.cpu_millis)
        .unwrap_or(ResourceVector::ZERO)
}
