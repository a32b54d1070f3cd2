//! The state of a held shard as published in the state dump and to the peers.

use std::collections::BTreeMap;

use serde::Serialize;

use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_pool::WorkerStatus;

use crate::peer::QuotaShortage;
use crate::scheduler::held::HeldShard;
use crate::scheduler::worker_map::ClosedReason;

/// The state of a held shard at a review.
#[derive(Clone, Debug, Default)]
#[derive(Serialize)]
pub struct ShardView {
    /// The fencing token of this holder's commands.
    pub epoch: u64,
    /// Whether the task rows were read since the shard was acquired; no task starts before.
    pub loaded: bool,
    /// Whether the table answered the last read or write of task rows; no task starts otherwise.
    pub table_answers: bool,
    /// The shard's workers by key, including incarnations that are gone.
    pub workers: Vec<WorkerView>,
    /// Tasks that wait to start, by kind and team.
    pub pending: Vec<PendingView>,
    /// Number of tasks of which an attempt may be running.
    pub running: usize,
    /// IDs of tasks whose attempt has run for more than twice the declared run time.
    pub overdue: Vec<String>,
    /// The free resources of the open worker with the most free processor time; zero if none is
    /// open.
    pub largest_free: ResourceVector,
    /// The shortages of teams' quotas in this shard; published to the peers only.
    #[serde(skip)]
    pub quota_wants: Vec<QuotaShortage>,
    /// Teams with at least `team_waiting_max` waiting tasks; their submissions are refused.
    pub full_teams: Vec<String>,
    /// Free processor time of all open workers, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Number of queued changes of task rows.
    pub waiting_writes: usize,
    /// Memory that the policy uses, in bytes.
    pub policy_bytes: usize,
}

/// The state of a worker in a [`ShardView`].
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct WorkerView {
    /// The name of the worker's VM.
    pub name: String,
    /// The incarnation of the worker's VM.
    pub incarnation: u64,
    /// Why no new tasks are started on it; `None` if they may be.
    pub out: Option<&'static str>,
    /// Its total resources; zero if the VM list lacks it.
    pub capacity: ResourceVector,
    /// The resources that no attempt has reserved.
    pub free: ResourceVector,
    /// Number of attempts that have reserved resources.
    pub attempts: usize,
    /// The latest lease end sent under the present epoch, in Unix milliseconds; zero if none was
    /// sent.
    pub lease_until_ms: u64,
    /// When the last renewal that it answered was sent, in Unix milliseconds; `None` if it answered
    /// none under the present epoch.
    pub confirmed_at_ms: Option<u64>,
}

/// The number of waiting tasks of one kind and team.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct PendingView {
    /// The name of the tasks' kind.
    pub kind: String,
    /// The name of the tasks' team.
    pub team: String,
    /// Number of tasks, at least 1.
    pub tasks: usize,
}

impl HeldShard {
    /// The shard's state for the state dump and the peers.
    pub fn view(&self, now: TimePoint) -> ShardView {
        let workers: Vec<WorkerView> = self.worker_views();
        let free = workers.iter().filter(|view| view.out.is_none());
        ShardView {
            epoch: self.params.epoch,
            loaded: self.loaded,
            table_answers: self.table_answers,
            free_cpu_millis: free.clone().map(|view| view.free.cpu_millis).sum(),
            largest_free: largest(free.map(|view| view.free)),
            workers,
            full_teams: self.full_teams(),
            quota_wants: self.quota_shortages(),
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
            let slot = self.policy.pool().worker(worker);
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
            let kind_and_team = (entry.row.kind.as_str(), entry.row.team.as_str());
            *counts.entry(kind_and_team).or_default() += 1;
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

/// The amount with the most processor time. It is one worker's, not a maximum of each resource, so
/// that a task of this size can start.
fn largest(free: impl Iterator<Item = ResourceVector>) -> ResourceVector {
    free.max_by_key(|amount| amount.cpu_millis)
        .unwrap_or(ResourceVector::ZERO)
}
