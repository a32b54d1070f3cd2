//! Moves tasks that can't start in this shard to shards with free resources.
//!
//! One transaction turns the task's row into a pointer and inserts its new row, so that the task is
//! in exactly one shard even if the answer is lost.

use slog::info;

use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::shard_lease::ShardAuthority;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::task::TaskState;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::scheduler::commit::NewRow;
use crate::scheduler::commit::RowWrite;
use crate::scheduler::held::HeldShard;
use crate::scheduler::held::MovedTask;
use crate::scheduler::held::QueuedChange;
use crate::scheduler::held::QueuedWrite;
use crate::scheduler::name;
use crate::scheduler::name::ShardName;
use crate::scheduler::task_map::TaskEntry;

/// Maximum number of tasks that are moved per review.
const MOVES_PER_REVIEW_MAX: usize = 50;

/// A possible target of a move, as its holder last reported.
#[derive(Clone, Debug)]
pub struct MoveTarget {
    /// The name of the shard that may receive tasks.
    pub name: ShardName,
    /// The free resources of its open worker with the most free processor time.
    pub largest_free: ResourceVector,
    /// Free processor time of all its open workers, in thousandths of a core.
    pub free_cpu_millis: u64,
    /// Whether new tasks may be started on any of its workers.
    pub is_open: bool,
    /// Tasks that wait to start there.
    pub pending: u32,
}

impl HeldShard {
    /// Moves tasks that have waited for `move_wait_ms` to shards with free resources. If this shard
    /// has no open worker, they are moved to any shard that has one. Shards of the same failure
    /// domain come first.
    pub fn move_waiting(&mut self, mut targets: Vec<MoveTarget>, now: TimePoint) {
        if !self.loaded || !self.table_answers || self.grant.authority != ShardAuthority::Full {
            return;
        }
        targets.retain(|target| target.is_open && target.name != self.params.name);
        targets.sort_by_key(|target| target.name.domain != self.params.name.domain);
        let is_closed = self.is_closed();
        for task in self.move_candidates(is_closed, now) {
            let demand = self.capped_demand(task);
            if let Some(index) = choose(&targets, demand, is_closed) {
                let target = &mut targets[index];
                target.free_cpu_millis = target.free_cpu_millis.saturating_sub(demand.cpu_millis);
                target.pending += u32::from(is_closed);
                let shard = target.name.clone();
                self.move_task(task, shard);
            }
        }
    }

    /// The write that turns the row of task `id` into a pointer to `new_id` and inserts the new
    /// row.
    pub(super) fn move_write(
        &self,
        entry: &TaskEntry,
        id: &str,
        new_id: &str,
        now: TimePoint,
    ) -> Option<RowWrite> {
        let former = self.row_of(entry.lifecycle.record(), &entry.row, now);
        let pointer = TaskRow {
            state: TaskState::Pending,
            moved_to: Some(new_id.to_owned()),
            ..former.clone()
        };
        let moved = TaskRow {
            state: TaskState::Pending,
            worker: None,
            moved_from: former.moved_from.clone().or_else(|| Some(id.to_owned())),
            checkpoint: entry.lifecycle.checkpoint().map(str::to_owned),
            ..former
        };
        Some(RowWrite {
            key: row::task_key(id),
            version: Some(entry.lifecycle.version()),
            value: serde_json::to_string(&pointer).ok()?,
            companion: Some(NewRow {
                key: row::task_key(new_id),
                value: serde_json::to_string(&moved).ok()?,
            }),
        })
    }

    /// Removes a task whose move took effect. Returns false if the task was not being moved.
    pub(super) fn complete_move(&mut self, task: TaskKey, now: TimePoint) -> bool {
        let is_moving = self
            .tasks
            .get(task)
            .is_some_and(|entry| entry.moving.is_some());
        if is_moving {
            self.remove_moved(task, now);
        }
        is_moving
    }

    /// Removes a task whose row points to another shard, and records the move if this holder
    /// requested it.
    pub(super) fn remove_moved(&mut self, task: TaskKey, now: TimePoint) {
        let moving = self.tasks.get(task).and_then(|entry| entry.moving.clone());
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let (id, attempt) = (entry.id.clone(), entry.lifecycle.record().attempt);
        self.finish(task, now);
        let Some(moved) = moving else {
            return;
        };
        info!(self.logger, "{}", EventName::TaskChanged; "task" => &id, "change" => "moved",
            "to" => &moved.id);
        self.metrics.changed("moved");
        self.audit.record(
            now,
            AuditDecision::TaskChanged {
                task: id,
                attempt,
                change: "moved".to_owned(),
                worker: None,
                reason: format!("goes on as {}", moved.id),
            },
        );
        self.moved.push(moved);
    }

    /// Ends the move of a task, if one was requested, after a read has shown that its row does not
    /// point to another shard. The task is queued here again.
    pub(super) fn abort_move(&mut self, task: TaskKey, now: TimePoint) {
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        if entry.moving.take().is_some() && entry.lifecycle.is_ready() {
            self.enqueue(task, now);
        }
    }

    /// Takes a task out of the queue and queues the write that moves it.
    fn move_task(&mut self, task: TaskKey, shard: ShardName) {
        self.policy.cancel(vec![task]);
        let prefix = self.params.name.id_prefix();
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let Some(rest) = entry.id.strip_prefix(&prefix) else {
            return;
        };
        let (key, moves) = name::split_key(rest);
        let id = shard.task_id(&name::moved_key(key, moves + 1));
        entry.queued = false;
        entry.unplaceable = false;
        let queued = QueuedWrite {
            id: entry.id.clone(),
            change: QueuedChange::Move(id.clone()),
        };
        entry.moving = Some(MovedTask { shard, id });
        self.writes.push(queued);
    }

    /// Waiting tasks that may be moved. A task moves only once, unless this shard has no open
    /// worker (`is_closed`).
    fn move_candidates(&self, is_closed: bool, now: TimePoint) -> Vec<TaskKey> {
        let wait = TimeSpan::from_millis(self.settings.move_wait_ms);
        self.tasks
            .iter()
            .filter(|(_, entry)| entry.lifecycle.is_ready() && entry.moving.is_none())
            .filter(|(_, entry)| entry.ready_at + wait <= now)
            .filter(|(_, entry)| is_closed || entry.row.moved_from.is_none())
            .map(|(task, _)| task)
            .take(MOVES_PER_REVIEW_MAX)
            .collect()
    }

    /// Whether no worker of the shard may be given new tasks.
    fn is_closed(&self) -> bool {
        !self
            .workers
            .keys()
            .any(|worker| self.workers.node(worker).closed_reason().is_none())
    }
}

/// The index of the first target that can start the task at once. If there is none and no worker of
/// this shard is open (`is_closed`), that of the target with the fewest waiting tasks.
fn choose(targets: &[MoveTarget], demand: ResourceVector, is_closed: bool) -> Option<usize> {
    let has_room = |target: &MoveTarget| {
        target.pending == 0
            && demand.fits(target.largest_free)
            && demand.cpu_millis <= target.free_cpu_millis
    };
    targets.iter().position(has_room).or_else(|| {
        let candidates = targets.iter().enumerate().filter(|_| is_closed);
        let least = candidates.min_by_key(|(_, target)| target.pending);
        least.map(|(index, _)| index)
    })
}
