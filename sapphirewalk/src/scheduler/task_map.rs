//! The tasks of a held shard that have not ended, by key and by ID.

use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::TeamKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::task_lifecycle::FailureAction;
use sapphirewalk_core::task_lifecycle::TaskLifecycle;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::row::TaskRow;

use crate::audit::PlacementCandidate;
use crate::scheduler::held::MovedTask;

/// The state of a task that has not ended.
#[derive(Clone, Debug)]
pub struct TaskEntry {
    /// The task's ID in this shard: the shard's prefix, then the submission key and the moves.
    pub id: String,
    /// The key of the kind that the row names, as interned for this hold.
    pub kind: KindKey,
    /// The key of the team that the row names, as interned for this hold.
    pub team: TeamKey,
    /// The row as loaded, updated with each change that took effect. The source of the fields that
    /// the lifecycle does not change.
    pub row: TaskRow,
    /// The state machine that decides which writes and commands come next.
    pub lifecycle: TaskLifecycle,
    /// The attempt for which the policy reserves resources on a worker; `None` if there is none.
    pub reservation: Option<AttemptPlace>,
    /// Whether the task is in the policy's queue of pending tasks.
    pub queued: bool,
    /// Whether the task was taken out of the queue because no worker of the shard can run it.
    pub unplaceable: bool,
    /// Since when the task has waited in this shard; kept while it is unplaceable.
    pub ready_at: TimePoint,
    /// The target of a move whose write is queued or in flight; `None` if the task stays here.
    pub moving: Option<MovedTask>,
    /// The policy's decision on the last failed attempt; `Retry` before the first failure.
    pub failure_action: FailureAction,
    /// The least memory of the next attempt in MiB; raised when an attempt runs out of memory.
    pub memory_floor_mib: u64,
    /// The highest usage measured for the present attempt, for each resource; `None` before the
    /// first measurement.
    pub peak: Option<ResourceVector>,
    /// Whether the present attempt was started under this hold and without a checkpoint, so that
    /// its run time is that of the whole task.
    pub from_start: bool,
    /// When the present attempt was started, or loaded from the row after the shard was acquired.
    pub started_at: TimePoint,
    /// The workers compared by the last placement, for the audit record of the start.
    pub candidates: Vec<PlacementCandidate>,
}

/// An attempt and the worker on which its resources are reserved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptPlace {
    /// The worker that runs the attempt or is to run it.
    pub worker: WorkerKey,
    /// The attempt's number; a task's first attempt has number 1.
    pub attempt: u64,
}

/// The tasks of a held shard that have not ended.
#[derive(Debug, Default)]
pub struct TaskMap {
    /// By key; `None` for a key that is free.
    slots: Vec<Option<TaskEntry>>,
    /// Keys of removed tasks, for reuse.
    free: Vec<TaskKey>,
    /// Sorted by ID.
    sorted_keys: Vec<TaskKey>,
}

impl TaskMap {
    /// Adds a task and returns its key. If a task with this ID is present, it stays as it is and
    /// its key is returned.
    pub fn add(&mut self, entry: TaskEntry) -> TaskKey {
        let position = match self.search(&entry.id) {
            Ok(position) => return self.sorted_keys[position],
            Err(position) => position,
        };
        let task = match self.free.pop() {
            Some(task) => task,
            None => {
                self.slots.push(None);
                TaskKey::from_index(self.slots.len() - 1)
            }
        };
        self.slots[task.index()] = Some(entry);
        self.sorted_keys.insert(position, task);
        task
    }

    /// Removes a task; its key may be reused. `None` if there is no task with this key.
    pub fn remove(&mut self, task: TaskKey) -> Option<TaskEntry> {
        let id = &self.get(task)?.id;
        let position = self.search(id).ok()?;
        self.sorted_keys.remove(position);
        self.free.push(task);
        self.slots[task.index()].take()
    }

    /// The key of the task with this ID.
    pub fn find(&self, id: &str) -> Option<TaskKey> {
        self.search(id)
            .ok()
            .map(|position| self.sorted_keys[position])
    }

    /// The task with this key; `None` if it was removed.
    pub fn get(&self, task: TaskKey) -> Option<&TaskEntry> {
        self.slots.get(task.index())?.as_ref()
    }

    /// The task with this key, mutable. Its ID must not be changed.
    pub fn get_mut(&mut self, task: TaskKey) -> Option<&mut TaskEntry> {
        self.slots.get_mut(task.index())?.as_mut()
    }

    /// All tasks, ordered by ID.
    pub fn iter(&self) -> impl Iterator<Item = (TaskKey, &TaskEntry)> {
        self.sorted_keys
            .iter()
            .filter_map(|task| Some((*task, self.get(*task)?)))
    }

    fn search(&self, id: &str) -> Result<usize, usize> {
        self.sorted_keys
            .binary_search_by(|task| self.get(*task).map_or("", |entry| &entry.id).cmp(id))
    }
}
