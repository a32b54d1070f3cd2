//! The table service: one shard row, some task rows, conditional writes.

use sapphirewalk_core::shard_lease::ShardRow;
use sapphirewalk_core::shard_lease::ShardWrite;
use sapphirewalk_core::task_lifecycle::TaskPhase;
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
    /// How often each task's row became finished.
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

    /// The new version, or `None` on a conflict.
    pub fn write_shard(&mut self, write: &ShardWrite) -> Option<u64> {
        if self.shard.map(|row| row.version) != write.version {
            return None;
        }
        let version = self.take_version();
        self.shard = Some(ShardRow {
            version,
            record: write.record,
        });
        Some(version)
    }

    /// The new version, or `None` on a conflict on the task's or the shard's row.
    pub fn write_task(
        &mut self,
        task: usize,
        write: &TaskWrite,
        shard_version: u64,
    ) -> Option<u64> {
        let shard_holds = self.shard.map(|row| row.version) == Some(shard_version);
        if !shard_holds || self.tasks[task].version != write.version {
            return None;
        }
        let before = &self.tasks[task].record;
        assert!(
            !matches!(before.phase, TaskPhase::Finished | TaskPhase::Cancelled),
            "a final row changes"
        );
        if write.record.phase == TaskPhase::Finished {
            self.finishes[task] += 1;
        }
        let version = self.take_version();
        self.tasks[task] = TaskRow {
            version,
            record: write.record.clone(),
        };
        Some(version)
    }

    fn take_version(&mut self) -> u64 {
        self.next_version += 1;
        self.next_version
    }
}
