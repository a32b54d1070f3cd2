//! Reads, writes and removals of the shard's task rows, and their outcomes.

use slog::info;

use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::task_lifecycle::RecordPhase;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::platform::TRANSACTION_ROWS_MAX;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::TaskRow;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::commit::RowWrite;
use crate::scheduler::effect::TaskOutcome;
use crate::scheduler::effect::TaskRemoval;
use crate::scheduler::held::HeldShard;
use crate::scheduler::held::QueuedChange;
use crate::scheduler::held::QueuedWrite;
use crate::scheduler::task_row;

/// Maximum number of rows of ended tasks that are removed in one transaction.
const REMOVALS_MAX: usize = 50;

impl HeldShard {
    /// Loads each task that is not loaded yet from its row, handles cancellations requested by
    /// callers, and queues the removal of ended tasks. A loaded task that the scan lacks stays.
    pub fn on_scan(&mut self, rows: Vec<TableRow>, now: TimePoint) {
        for row in rows {
            let Some(id) = row.key.strip_prefix(&row::task_key("")) else {
                continue;
            };
            let Ok(parsed) = serde_json::from_str::<TaskRow>(&row.value) else {
                continue;
            };
            if task_row::is_final(parsed.state) && parsed.moved_to.is_none() {
                self.queue_removal(&row, &parsed, now);
            } else if self.tasks.find(id).is_none() || parsed.cancel_requested {
                let id = id.to_owned();
                self.on_read(&id, Some(row), now);
            }
        }
        self.loaded = true;
    }

    /// Takes the rows of ended tasks to remove in the next transaction.
    pub fn take_removals(&mut self) -> Vec<TaskRemoval> {
        let count = self.removals.len().min(REMOVALS_MAX);
        self.removals.drain(..count).collect()
    }

    /// Queues a read of the row of the task with this ID.
    pub fn read_row(&mut self, id: &str) {
        if !self.reads.iter().any(|other| other == id) {
            self.reads.push(id.to_owned());
        }
    }

    /// Whether changes of task rows are queued.
    pub const fn has_writes(&self) -> bool {
        !self.writes.is_empty()
    }

    /// Whether the queued changes fill a transaction.
    pub const fn has_full_group(&self) -> bool {
        self.writes.len() >= TRANSACTION_ROWS_MAX
    }

    /// Takes the IDs of the tasks whose rows are to be read next, at most one transaction's number.
    pub fn take_reads(&mut self) -> Vec<String> {
        let count = self.reads.len().min(TRANSACTION_ROWS_MAX);
        self.reads.drain(..count).collect()
    }

    /// The number of queued changes of task rows.
    pub const fn waiting_writes(&self) -> usize {
        self.writes.len()
    }

    /// Takes the changes to commit in the next transaction, at most `count_max`, by task ID.
    pub fn take_writes(&mut self, count_max: usize, now: TimePoint) -> Vec<(String, RowWrite)> {
        let count = self.writes.len().min(count_max).min(TRANSACTION_ROWS_MAX);
        let taken: Vec<QueuedWrite> = self.writes.drain(..count).collect();
        taken
            .into_iter()
            .filter_map(|queued| self.row_write(queued, now))
            .collect()
    }

    /// Applies the outcomes of reads and writes of task rows.
    pub fn on_outcomes(&mut self, outcomes: Vec<TaskOutcome>, now: TimePoint) {
        for TaskOutcome { id, outcome } in outcomes {
            match outcome {
                RowOutcome::Committed { version } => {
                    self.table_answers = true;
                    self.on_committed(&id, version, now);
                }
                RowOutcome::Read(row) => {
                    self.table_answers = true;
                    self.on_read(&id, row, now);
                }
                RowOutcome::NotWritten(_) | RowOutcome::Unknown(_) => {
                    self.table_answers = false;
                    self.read_row(&id);
                }
                RowOutcome::GuardFailed => {
                    self.fenced = true;
                    self.read_row(&id);
                }
            }
        }
    }

    /// Queues the removal of an ended task's row once its retention period is over.
    fn queue_removal(&mut self, row: &TableRow, ended: &TaskRow, now: TimePoint) {
        let keep = TimeSpan::from_millis(self.settings.ended_keep_ms);
        // A final row without an end time is never removed. The fallback is the latest time in
        // milliseconds that a `TimePoint`, which counts microseconds, can hold.
        let ended_at = TimePoint::from_millis(ended.ended_at_ms.unwrap_or(u64::MAX / 1_000));
        if now < ended_at + keep || self.removals.len() >= REMOVALS_MAX {
            return;
        }
        self.removals.push(TaskRemoval {
            key: row.key.clone(),
            version: row.version,
            pointer: ended.moved_from.as_deref().map(row::task_key),
        });
    }

    /// The conditional write for a queued change; `None` if the task was removed meanwhile.
    fn row_write(&self, queued: QueuedWrite, now: TimePoint) -> Option<(String, RowWrite)> {
        let QueuedWrite { id, change } = queued;
        let entry = self.tasks.get(self.tasks.find(&id)?)?;
        let write = match change {
            QueuedChange::Lifecycle(write) => write,
            QueuedChange::Move(new_id) => {
                let write = self.move_write(entry, &id, &new_id, now)?;
                return Some((id, write));
            }
        };
        let value = self.row_of(&write.record, &entry.row, now);
        let change = RowWrite {
            key: row::task_key(&id),
            version: Some(write.version),
            value: serde_json::to_string(&value).ok()?,
            companion: None,
        };
        Some((id, change))
    }

    /// The row of a record; fields that the lifecycle does not change come from `former`.
    pub(super) fn row_of(&self, record: &TaskRecord, former: &TaskRow, now: TimePoint) -> TaskRow {
        let worker = record
            .worker
            .map(|worker| self.workers.node(worker).name.clone());
        task_row::to_row(record, former, worker, now)
    }

    /// Handles a write of a task's row that took effect.
    fn on_committed(&mut self, id: &str, version: u64, now: TimePoint) {
        let Some(task) = self.tasks.find(id) else {
            return;
        };
        if self.complete_move(task, now) {
            return;
        }
        let before = self
            .tasks
            .get(task)
            .map(|entry| entry.lifecycle.record().clone());
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let step = entry
            .lifecycle
            .on_event(LifecycleEvent::Committed { version }, now);
        self.record_change(id, before.as_ref(), now);
        self.apply_step(task, step, now);
    }

    /// Handles a task's row as read: loads the task, updates it, or removes it if it has moved. An
    /// absent row is ignored.
    fn on_read(&mut self, id: &str, row: Option<TableRow>, now: TimePoint) {
        let Some(row) = row else {
            return;
        };
        let version = row.version;
        let Ok(row) = serde_json::from_str::<TaskRow>(&row.value) else {
            return;
        };
        let Some(task) = self.tasks.find(id) else {
            self.load_task(id, version, row, now);
            return;
        };
        if row.moved_to.is_some() {
            self.remove_moved(task, now);
            return;
        }
        self.abort_move(task, now);
        let cancel_requested = row.cancel_requested;
        let worker = row.worker.as_ref().map(|name| self.intern_worker(name));
        let record = task_row::to_record(&row, worker);
        let Some(entry) = self.tasks.get_mut(task) else {
            return;
        };
        let before = entry.lifecycle.record().clone();
        let step = entry
            .lifecycle
            .on_event(LifecycleEvent::RowRead { version, record }, now);
        self.record_change(id, Some(&before), now);
        self.apply_step(task, step, now);
        self.adopt(task, now);
        if cancel_requested {
            self.apply_event(task, LifecycleEvent::Cancel, now);
        }
    }

    /// Updates the stored row after a change that took effect, and writes the change to the log,
    /// the metrics and the audit trail. `before` is the record before the change.
    fn record_change(&mut self, id: &str, before: Option<&TaskRecord>, now: TimePoint) {
        let (Some(task), Some(before)) = (self.tasks.find(id), before) else {
            return;
        };
        let Some(entry) = self.tasks.get(task) else {
            return;
        };
        let record = entry.lifecycle.record().clone();
        if record == *before {
            return;
        }
        let row = self.row_of(&record, &entry.row, now);
        let worker = row.worker.as_ref().map(|name| name.name.clone());
        let reason = row.reason.clone().unwrap_or_default();
        if let Some(entry) = self.tasks.get_mut(task) {
            entry.row = row;
        }
        let Some(change) = change_name(before, &record) else {
            return;
        };
        self.metrics.changed(change);
        info!(self.logger, "{}", EventName::TaskChanged; "task" => id,
            "attempt" => record.attempt, "change" => change);
        self.audit.record(
            now,
            AuditDecision::TaskChanged {
                task: id.to_owned(),
                attempt: record.attempt,
                change: change.to_owned(),
                worker,
                reason,
            },
        );
    }
}

/// The name of a change in the log, the metrics and the audit trail; `None` for a start, which is
/// recorded when its command is sent.
const fn change_name(before: &TaskRecord, after: &TaskRecord) -> Option<&'static str> {
    match after.phase {
        RecordPhase::Running => None,
        RecordPhase::Finished => Some("finished"),
        RecordPhase::Cancelled => Some("cancelled"),
        RecordPhase::Parked => Some("parked"),
        RecordPhase::Pending if after.evictions > before.evictions => Some("evicted"),
        RecordPhase::Pending if after.failures > before.failures => Some("failed"),
        RecordPhase::Pending => Some("stopped"),
    }
}
