//! The order of row I/O. One operation is in flight at a time, so that the version of the shard's
//! own row, which is a condition of each write, is always known.

use std::time;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::write_pace::PaceStep;
use sapphirewalk_wire::platform::RowCondition;

use crate::scheduler::actor::GATHER_SPAN;
use crate::scheduler::actor::LeaseIo;
use crate::scheduler::actor::RowIo;
use crate::scheduler::actor::ShardActor;
use crate::scheduler::shard_row;

impl ShardActor {
    /// The time until the gathered changes are due; `None` while no change waits.
    pub(super) fn gather_timeout(&self) -> Option<time::Duration> {
        let until = self.gather_until?;
        Some(until.since(self.now()).into())
    }

    /// Begins the next row I/O that is due, if none is in flight. The shard's own row has priority.
    pub(super) fn begin_row_io(&mut self, now: TimePoint) {
        if self.row_io == RowIo::Busy {
            return;
        }
        match self.lease_io {
            LeaseIo::Busy => return,
            LeaseIo::Wait(_) => {}
            _ if now < self.retry_at => return,
            LeaseIo::Read => {
                self.lease_io = LeaseIo::Busy;
                self.io.read_shard(self.generation, self.name.row_key());
                return;
            }
            LeaseIo::Write(write) => {
                self.lease_io = LeaseIo::Busy;
                let value = shard_row::to_row(&write.record, self.former_until, &self.vms);
                self.io
                    .write_shard(self.generation, self.name.row_key(), write.version, &value);
                return;
            }
        }
        self.begin_task_io(now);
    }

    /// Begins a read of task rows, else the next transaction of task rows.
    fn begin_task_io(&mut self, now: TimePoint) {
        let (Some(held), Some(version)) = (&mut self.held, self.lease.write_condition()) else {
            return;
        };
        if now < self.retry_at {
            return;
        }
        let reads = held.take_reads();
        if !reads.is_empty() {
            self.row_io = RowIo::Busy;
            self.io.read_tasks(self.generation, reads);
            return;
        }
        if !held.has_writes() {
            self.gather_until = None;
            self.begin_background_io(version, now);
            return;
        }
        let due = (now + GATHER_SPAN).max(self.next_write_at);
        let until = *self.gather_until.get_or_insert(due);
        if now < until && !held.has_full_group() {
            return;
        }
        let count_max = match self.pace.decide(held.waiting_writes(), now) {
            PaceStep::Write(count_max) => count_max,
            PaceStep::WaitUntil(due) => {
                self.gather_until = Some(due);
                return;
            }
        };
        self.gather_until = None;
        let guard = RowCondition {
            key: self.name.row_key(),
            version: Some(version),
        };
        let writes = held.take_writes(count_max, now);
        if !writes.is_empty() {
            self.pace.spend(writes.len());
            let interval = TimeSpan::from_millis(self.context.settings.write_interval_ms);
            self.next_write_at = now + interval;
            self.row_io = RowIo::Busy;
            self.context.metrics.committed(writes.len());
            self.io.commit_tasks(self.generation, guard, writes);
        }
    }

    /// Begins a quota transfer or a removal of ended tasks' rows. Called only when no task row is
    /// to be read or written.
    fn begin_background_io(&mut self, version: u64, now: TimePoint) {
        let Some(held) = &mut self.held else {
            return;
        };
        let guard = RowCondition {
            key: self.name.row_key(),
            version: Some(version),
        };
        let transfers = held.take_quota_writes();
        if !transfers.is_empty() {
            self.row_io = RowIo::Busy;
            self.io.commit_quota(self.generation, guard, transfers);
            return;
        }
        let removals = held.take_removals();
        if !removals.is_empty() && now >= self.retry_at {
            self.row_io = RowIo::Busy;
            self.io.remove_tasks(self.generation, guard, removals);
        }
    }
}
