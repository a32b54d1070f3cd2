//! The tasks of a shard that have not ended.

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

/// A task.
#[derive(Clone, Debug)]
pub struct TaskEntry {
    /// Its ID.
    pub id: String,
    /// Its kind.
    pub kind: KindKey,
    /// Its team.
    pub team: TeamKey,
    /// The row as last read or written, for what its life doesn't change.
    pub row: TaskRow,
    /// Its life.
    pub lifecycle: TaskLifecycle,
    /// The attempt for which the policy holds a reservation, and where.
    pub reservation: Option<AttemptPlace>,
    /// Whether it waits in the queue.
    pub queued: bool,
    /// Whether no worker of the shard can run it.
    pub unplaceable: bool,
    /// When it began to wait.
    pub ready_at: TimePoint,
    /// Where it is being moved to.
    pub moving: Option<MovedTask>,
    /// What the policy made of the last failure.
    pub failure_action: FailureAction,
    /// The least memory of the next attempt in MiB.
    pub memory_floor_mib: u64,
    /// The most that the present attempt was measured to use.
    pub peak: Option<ResourceVector>,
    /// Whether the present attempt began at the start of the task, under this hold.
    pub from_start: bool,
    /// When the present attempt was started or taken over.
    pub started_at: TimePoint,
    /// Workers that the last placement compared.
    pub candidates: Vec<PlacementCandidate>,
}

/// An attempt on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AttemptPlace {
    /// The worker.
    pub worker: WorkerKey,
    /// The attempt.
    pub attempt: u64,
}

/// The tasks of a shard that have not ended.
#[derive(Debug, Default)]
pub struct TaskMap {
    slots: Vec<Option<TaskEntry>>,
    free: Vec<TaskKey>,
    /// Sorted by ID.
    sorted_keys: Vec<TaskKey>,
}

impl TaskMap {
    /// Adds a task whose ID is new.
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

    /// Removes a task.
    pub fn remove(&mut self, task: TaskKey) -> Option<TaskEntry> {
        let id = &self.get(task)?.id;
        let position = self.search(id).ok()?;
        self.sorted_keys.remove(position);
        self.free.push(task);
        self.slots[task.index()].take()
    }

    /// The key of a task by ID.
    pub fn find(&self, id: &str) -> Option<TaskKey> {
        self.search(id)
            .ok()
            .map(|position| self.sorted_keys[position])
    }

    /// A task.
    pub fn get(&self, task: TaskKey) -> Option<&TaskEntry> {
        self.slots.get(task.index())?.as_ref()
    }

    /// A task, to change.
    pub fn get_mut(&mut self, task: TaskKey) -> Option<&mut TaskEntry> {
        self.slots.get_mut(task.index())?.as_mut()
    }

    /// The tasks.
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
