//! The lease on the shard: acquiring, renewing, losing and releasing it through the shard's own
//! row.

use std::sync::PoisonError;

use sapphirewalk_core::shard_lease::LeaseStep;
use sapphirewalk_core::shard_lease::ShardRow as LeaseRow;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::row::ShardRow;

use crate::platform::PlatformError;
use crate::scheduler::actor;
use crate::scheduler::actor::LeaseIo;
use crate::scheduler::actor::RETRY_DELAY;
use crate::scheduler::actor::RowIo;
use crate::scheduler::actor::ShardActor;
use crate::scheduler::held::HeldShard;
use crate::scheduler::held::HoldParams;
use crate::scheduler::holder_status;
use crate::scheduler::holder_status::HolderStatus;
use crate::scheduler::shard_row;

impl ShardActor {
    /// Handles the shard's own row as read.
    pub(super) fn on_shard_read(
        &mut self,
        read: Result<Option<TableRow>, PlatformError>,
        now: TimePoint,
    ) {
        self.shard_read_at = now;
        let row = match read {
            Ok(row) => row,
            Err(error) => {
                actor::log_failure(&self.context, "read_shard", &error);
                self.retry_at = now + RETRY_DELAY;
                self.lease_io = LeaseIo::Read;
                return;
            }
        };
        let Ok(parsed) = row
            .as_ref()
            .map(|row| shard_row::parse(&row.value))
            .transpose()
        else {
            self.lease_io = LeaseIo::Wait(now + RETRY_DELAY);
            return;
        };
        let version = row.map_or(0, |row| row.version);
        if self.held.is_none() && !self.may_acquire(parsed.as_ref(), now) {
            self.lease_io = LeaseIo::Wait(now + RETRY_DELAY);
            return;
        }
        let row = parsed.as_ref().map(|row| LeaseRow {
            version,
            record: shard_row::to_record(row, &mut self.vms),
        });
        if self.held.is_none() && parsed.is_some() {
            self.last_row = parsed;
        }
        let step = self.lease.on_row(row, now);
        self.apply_lease_step(step, now);
    }

    /// Whether the row is passed on to the lease, which may acquire the shard on it. A row without
    /// a live holder is passed only after the acquisition delay. A row whose holder may be alive is
    /// always passed, so that the lease observes how long it stays unchanged.
    fn may_acquire(&mut self, row: Option<&ShardRow>, now: TimePoint) -> bool {
        let list = self.context.process.vms.borrow().clone();
        let own_incarnation = self.context.process.vm_incarnation();
        let process = &self.context.process.process_token;
        if row.is_some_and(|row| row.process == *process && row.holder.is_some()) {
            return true;
        }
        let status = holder_status::classify(row, &own_incarnation, &list);
        // A holder that is certainly gone can't have granted a worker a lease that ends later than
        // one full lease from now, plus the clock drift.
        let lease_end_max = now + self.timing.worker_span + self.timing.drift_max;
        let recorded = row.map_or(TimePoint::EPOCH, |row| {
            TimePoint::from_millis(row.lease_until_ms)
        });
        let former = row.map_or(TimePoint::EPOCH, |row| {
            TimePoint::from_millis(row.former_until_ms)
        });
        self.acquisition_reason = status.as_str();
        let bound = match status {
            HolderStatus::Absent | HolderStatus::Released | HolderStatus::Held => recorded,
            HolderStatus::HolderGone | HolderStatus::ProcessReplaced => recorded.min(lease_end_max),
        };
        self.former_until = bound.max(former);
        if status == HolderStatus::Held {
            self.vacant_since = None;
            return true;
        }
        if let (HolderStatus::HolderGone | HolderStatus::ProcessReplaced, Some(holder)) =
            (status, row.and_then(|row| row.holder.as_ref()))
        {
            let holder = shard_row::to_holder(holder, &mut self.vms);
            self.lease.note_gone(holder);
        }
        let since = *self.vacant_since.get_or_insert(now);
        now >= since + self.context.acquisition_delay(&self.name)
    }

    /// Handles the answer to a write of the shard's own row, or its failure.
    pub(super) fn on_shard_written(
        &mut self,
        reply: Result<TransactionReply, PlatformError>,
        now: TimePoint,
    ) {
        let step = match reply {
            Ok(TransactionReply::Committed { version }) => self.lease.on_committed(version),
            Ok(TransactionReply::Conflict { .. }) => self.lease.on_unconfirmed(),
            Err(error) => {
                actor::log_failure(&self.context, "write_shard", &error);
                self.retry_at = now + RETRY_DELAY;
                self.lease.on_unconfirmed()
            }
        };
        self.apply_lease_step(step, now);
    }

    /// Schedules the I/O that the lease step requires, and starts or stops running the shard.
    pub(super) fn apply_lease_step(&mut self, step: LeaseStep, now: TimePoint) {
        self.lease_io = match step {
            LeaseStep::WaitUntil(due) => LeaseIo::Wait(due.min(now + self.reread_span())),
            LeaseStep::Read => LeaseIo::Read,
            LeaseStep::Write(write) => LeaseIo::Write(write),
            LeaseStep::Activate => {
                self.begin_hold(now);
                LeaseIo::Wait(now)
            }
            LeaseStep::StepDown => {
                self.end_hold(now);
                LeaseIo::Wait(now + RETRY_DELAY)
            }
        };
    }

    /// The longest time between two steps of the lease. While another scheduler holds the shard,
    /// each step reads the row.
    fn reread_span(&self) -> TimeSpan {
        self.timing.silence_span.scale(0.1)
    }

    /// Starts to run the shard, with no tasks or workers loaded yet.
    fn begin_hold(&mut self, now: TimePoint) {
        let Some(epoch) = self.lease.epoch() else {
            return;
        };
        self.generation += 1;
        self.vacant_since = None;
        self.scan_at = now;
        self.scanned = false;
        self.quota_at = now;
        self.review_at = now;
        self.applied_inputs = None;
        let params = HoldParams {
            name: self.name.clone(),
            epoch,
            former_until: self.former_until,
            timing: self.timing,
            seed: epoch,
        };
        let context = &self.context;
        self.held = Some(Box::new(HeldShard::new(
            params,
            context.settings,
            context.process.audit.clone(),
            context.metrics.clone(),
            context.process.logger.clone(),
        )));
        self.record_change("taken", self.acquisition_reason, epoch, now);
        self.on_tick();
    }

    /// Stops running the shard, since another holder was recorded in its row.
    fn end_hold(&mut self, now: TimePoint) {
        self.former_until = TimePoint::EPOCH;
        if let Some(held) = self.held.take() {
            let reason = "another holder was recorded";
            self.record_change("lost", reason, held.params().epoch, now);
        }
        self.generation += 1;
        *self.view.lock().unwrap_or_else(PoisonError::into_inner) = None;
    }

    /// Releases the shard if a release was requested and no row I/O is in flight: removes the
    /// holder from the shard's row. Queued writes of task rows are sent first, unless the table
    /// does not answer. Running tasks continue under their workers' leases. Returns whether the
    /// actor ends.
    pub(super) fn try_release(&mut self) -> bool {
        if self.releasing.is_none() || self.row_io == RowIo::Busy {
            return false;
        }
        if matches!(self.lease_io, LeaseIo::Busy) {
            return false;
        }
        let now = self.now();
        let has_writes = self.held.as_ref().is_some_and(|held| held.has_writes());
        if has_writes && now >= self.retry_at {
            return false;
        }
        let Some(done) = self.releasing.take() else {
            return false;
        };
        let write = self.lease.release();
        let epoch = write.map_or(0, |write| write.record.epoch);
        if let (Some(mut write), Some(held)) = (write, self.held.take()) {
            write.record.lease_until = write.record.lease_until.min(held.last_lease_end());
            let value = shard_row::to_row(&write.record, self.former_until, &self.vms);
            self.io
                .release_shard(self.name.row_key(), write.version, &value, done);
            self.record_change("released", "shutdown", epoch, now);
        }
        *self.view.lock().unwrap_or_else(PoisonError::into_inner) = None;
        true
    }
}
