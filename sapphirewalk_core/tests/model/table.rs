//! The table service: one shard row and several task rows with conditional writes.

use sapphirewalk_core::shard_lease::ShardRow;
use sapphirewalk_core::shard_lease::ShardWrite;
use sapphirewalk_core::task_lifecycle::RecordPhase;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::task_lifecycle::TaskWrite;

#[derive(Clone, Debug)]
pub struct TaskRow {
    pub version: u64,
    pub record: TaskRecord,
}

#[derive(Clone, Debug)]
pub struct ModelTable {
    next_version: u64,
    pub shard: Option<ShardRow>,
    pub tasks: Vec<TaskRow>,
    /// How many writes set each task's row to finished; an invariant allows one at most.
    pub finishes: Vec<u32>,
}

impl ModelTable {
    pub fn new(tasks: usize) -> Self {
        let row = TaskRow {
            version: 1,
            record: TaskRecord::default(),
        };
        Self {
            next_version: 2,
            shard: None,
            tasks: vec![row; tasks],
            finishes: vec![0; tasks],
        }
    }

    /// Writes the shard's row; returns its new version, or `None` on a conflict.
    pub fn write_shard(&mut self, write: &ShardWrite) -> Option<u64> {
        if self.shard.map(|row| row.version) != write.version {
            return None;
        }
        let version = self.allocate_version();
        self.shard = Some(ShardRow {
            version,
            record: write.record,
        });
        Some(version)
    }

    /// Writes a task's row; returns its new version, or `None` on a conflict on this row or on the
    /// shard's.
    pub fn write_task(
        &mut self,
        task: usize,
        write: &TaskWrite,
        shard_version: u64,
    ) -> Option<u64> {
        let shard_unchanged = self.shard.map(|row| row.version) == Some(shard_version);
        if !shard_unchanged || self.tasks[task].version != write.version {
            return None;
        }
        let before = &self.tasks[task].record;
        assert!(
            !matches!(before.phase, RecordPhase::Finished | RecordPhase::Cancelled),
            "a finished or cancelled row of task {task} is written again"
        );
        if write.record.phase == RecordPhase::Finished {
            self.finishes[task] += 1;
        }
        let version = self.allocate_version();
        self.tasks[task] = TaskRow {
            version,
            record: write.record.clone(),
        };
        Some(version)
    }

    fn allocate_version(&mut self) -> u64 {
        self.next_version += 1;
        self.next_version
    }
}
