//! The lease on a shard: how a scheduler acquires, renews, loses and releases the shard's row.
//!
//! The row's version is a condition of every write to the shard's tasks, so a holder that was
//! replaced cannot commit anything. Workers hold leases that never end after the row's
//! `lease_until`.

use crate::key::VmKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Durations and tolerances of leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseTiming {
    /// How far ahead of the present time each renewal sets the end of the shard's lease.
    pub shard_span: TimeSpan,
    /// How far ahead of the present time the end of a worker's lease is set.
    pub worker_span: TimeSpan,
    /// Interval of the holder's renewals of the row.
    pub renew_every: TimeSpan,
    /// How long after its last confirmed renewal a holder may still start tasks.
    pub recheck_after: TimeSpan,
    /// How long the row must stay unchanged before another scheduler acquires the shard.
    pub silence_span: TimeSpan,
    /// The longest gap between two reads that still count as one observation of an unchanged row.
    pub read_gap_max: TimeSpan,
    /// The largest difference between two VMs' clocks.
    pub drift_max: TimeSpan,
    /// The longest that a worker takes to stop its attempts after its lease has ended.
    pub stop_delay_max: TimeSpan,
}

impl Default for LeaseTiming {
    fn default() -> Self {
        Self {
            shard_span: TimeSpan::from_secs(180),
            worker_span: TimeSpan::from_secs(120),
            renew_every: TimeSpan::from_secs(10),
            recheck_after: TimeSpan::from_secs(20),
            silence_span: TimeSpan::from_secs(30),
            read_gap_max: TimeSpan::from_secs(5),
            drift_max: TimeSpan::from_secs(1),
            stop_delay_max: TimeSpan::from_secs(5),
        }
    }
}

/// One incarnation of an entry VM.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct HolderName {
    /// The entry VM; a replacement inherits its name and so its key.
    pub vm: VmKey,
    /// Increases with each replacement of the VM, so that a replacement is another holder.
    pub incarnation: u64,
}

/// Identifies a scheduler process; drawn at random when it starts.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct ProcessToken(pub u128);

/// The value of a shard's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardRecord {
    /// The holder; `None` after a clean release.
    pub holder: Option<HolderName>,
    /// The holder's process. Two processes on one VM are different holders.
    pub process: ProcessToken,
    /// The fencing token: increases by 1 with each change of holder.
    pub epoch: u64,
    /// No worker's lease ends after this; never moves back.
    pub lease_until: TimePoint,
}

/// A shard's row as read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardRow {
    /// Increases with each write of the row.
    pub version: u64,
    /// The value at this version.
    pub record: ShardRecord,
}

/// A conditional write of the shard's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardWrite {
    /// The version that the row must have; `None` when the row must be absent.
    pub version: Option<u64>,
    /// The value to write.
    pub record: ShardRecord,
}

/// What the scheduler process does next for a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing before this time.
    WaitUntil(TimePoint),
    /// Read the row.
    Read,
    /// Send a conditional write.
    Write(ShardWrite),
    /// The shard is acquired: load its tasks and query its workers.
    Activate,
    /// The shard is lost: stop acting for it and drop its tasks.
    StepDown,
}

/// What a scheduler may do for a shard at a time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShardAuthority {
    /// Start tasks and renew workers' leases.
    Full,
    /// Renew workers' leases up to the end of the shard's lease, but start nothing.
    RenewOnly,
    /// No action: the shard is not held, or its lease has ended.
    Nothing,
}

/// One scheduler's state of the lease on one shard.
#[derive(Clone, Debug)]
pub struct ShardLease {
    holder: HolderName,
    process: ProcessToken,
    timing: LeaseTiming,
    stage: LeaseStage,
    /// The last row read while another scheduler holds the shard.
    observed: Option<ObservedRow>,
    /// Sorted.
    gone_holders: Vec<HolderName>,
}

/// A row of another holder, with the observation of its silence.
#[derive(Clone, Copy, Debug)]
struct ObservedRow {
    row: ShardRow,
    unchanged_since: TimePoint,
    read_at: TimePoint,
}

/// The own row as last confirmed.
#[derive(Clone, Copy, Debug)]
struct HeldRow {
    row: ShardRow,
    /// When the last write that took effect was sent.
    confirmed_at: TimePoint,
    /// The latest end of a worker's lease that the former holder may have granted.
    former_until: TimePoint,
}

#[derive(Clone, Copy, Debug)]
enum LeaseStage {
    Observing,
    Acquiring {
        write: ShardWrite,
        sent_at: TimePoint,
        former_until: TimePoint,
    },
    Held(HeldRow),
    Renewing {
        held: HeldRow,
        write: ShardWrite,
        sent_at: TimePoint,
    },
}

impl ShardLease {
    /// A lease that is not held; the row is read first.
    pub const fn new(holder: HolderName, process: ProcessToken, timing: LeaseTiming) -> Self {
        Self {
            holder,
            process,
            timing,
            stage: LeaseStage::Observing,
            observed: None,
            gone_holders: Vec::new(),
        }
    }

    /// Records that the platform lists an incarnation as gone for good; its shards are acquired
    /// without waiting for silence.
    pub fn note_gone(&mut self, holder: HolderName) {
        if let Err(position) = self.gone_holders.binary_search(&holder) {
            self.gone_holders.insert(position, holder);
        }
    }

    /// The step that is due now. For a holder that was paused, the renewal is overdue and comes
    /// first.
    pub fn on_tick(&mut self, now: TimePoint) -> LeaseStep {
        match self.stage {
            LeaseStage::Observing => LeaseStep::Read,
            LeaseStage::Acquiring { .. } | LeaseStage::Renewing { .. } => LeaseStep::Read,
            LeaseStage::Held(held) => self.renew_if_due(held, now),
        }
    }

    /// Handles the row as read; `None` if it is absent.
    pub fn on_row(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        match self.stage {
            LeaseStage::Observing => self.observe(row, now),
            LeaseStage::Acquiring {
                write,
                sent_at,
                former_until,
            } => match row {
                Some(row) if self.is_own(row) => self.activate(row, sent_at, former_until),
                _ if row.map(|row| row.version) == write.version => LeaseStep::Write(write),
                _ => self.on_lost(row, now),
            },
            LeaseStage::Held(held) => match row {
                Some(row) if self.is_own(row) => LeaseStep::WaitUntil(self.renewal_due(held)),
                Some(row) if row.version <= held.row.version => {
                    LeaseStep::WaitUntil(self.renewal_due(held))
                }
                _ => self.on_lost(row, now),
            },
            LeaseStage::Renewing {
                held,
                write,
                sent_at,
            } => match row {
                Some(row) if row.version <= held.row.version => LeaseStep::Write(write),
                Some(row) if self.is_own(row) => self.confirm(held, row, sent_at),
                _ => self.on_lost(row, now),
            },
        }
    }

    /// Handles the success of the write in flight, which gave the row this version.
    pub fn on_committed(&mut self, version: u64) -> LeaseStep {
        match self.stage {
            LeaseStage::Observing => LeaseStep::Read,
            LeaseStage::Held(held) => LeaseStep::WaitUntil(self.renewal_due(held)),
            LeaseStage::Acquiring {
                write,
                sent_at,
                former_until,
            } => {
                let record = write.record;
                self.activate(ShardRow { version, record }, sent_at, former_until)
            }
            LeaseStage::Renewing {
                held,
                write,
                sent_at,
            } => {
                let record = write.record;
                self.confirm(held, ShardRow { version, record }, sent_at)
            }
        }
    }

    /// Handles a conflict or a lost answer of the write in flight: the row shows whether it took
    /// effect.
    pub const fn on_unconfirmed(&self) -> LeaseStep {
        LeaseStep::Read
    }

    /// Releases the shard, after its workers' leases have run out or its tasks have ended.
    ///
    /// The holder must not act for the shard any more. The write is sent once and not repeated; if
    /// it is lost, another scheduler acquires the shard after the silence. `None` if the shard is
    /// not held.
    pub fn release(&mut self) -> Option<ShardWrite> {
        let (LeaseStage::Held(held) | LeaseStage::Renewing { held, .. }) = self.stage else {
            return None;
        };
        self.stage = LeaseStage::Observing;
        self.observed = None;
        Some(ShardWrite {
            version: Some(held.row.version),
            record: ShardRecord {
                holder: None,
                ..held.row.record
            },
        })
    }

    /// What the scheduler may do for the shard at `now`.
    pub fn authority(&self, now: TimePoint) -> ShardAuthority {
        let Some(held) = self.held() else {
            return ShardAuthority::Nothing;
        };
        if now >= held.row.record.lease_until {
            ShardAuthority::Nothing
        } else if now >= held.confirmed_at + self.timing.recheck_after {
            ShardAuthority::RenewOnly
        } else {
            ShardAuthority::Full
        }
    }

    /// The version of the shard's row that every write to its tasks has as a condition; `None` if
    /// the shard is not held.
    pub fn write_condition(&self) -> Option<u64> {
        self.held().map(|held| held.row.version)
    }

    /// The epoch to send with commands to workers; `None` if the shard is not held.
    pub fn epoch(&self) -> Option<u64> {
        self.held().map(|held| held.row.record.epoch)
    }

    /// The end of a lease that a worker may be granted at `now`; `None` if none may be granted.
    pub fn worker_lease_until(&self, now: TimePoint) -> Option<TimePoint> {
        let held = self.held()?;
        let until = (now + self.timing.worker_span).min(held.row.record.lease_until);
        (until > now).then_some(until)
    }

    /// The latest end of a worker's lease that a former holder may have granted; `TimePoint::EPOCH`
    /// if there was no holder. `None` if the shard is not held.
    pub fn former_until(&self) -> Option<TimePoint> {
        self.held().map(|held| held.former_until)
    }

    fn held(&self) -> Option<HeldRow> {
        match self.stage {
            LeaseStage::Held(held) | LeaseStage::Renewing { held, .. } => Some(held),
            LeaseStage::Observing | LeaseStage::Acquiring { .. } => None,
        }
    }

    fn is_own(&self, row: ShardRow) -> bool {
        row.record.holder == Some(self.holder) && row.record.process == self.process
    }

    fn renewal_due(&self, held: HeldRow) -> TimePoint {
        held.confirmed_at + self.timing.renew_every
    }

    fn renew_if_due(&mut self, held: HeldRow, now: TimePoint) -> LeaseStep {
        let due = self.renewal_due(held);
        if now < due {
            return LeaseStep::WaitUntil(due);
        }
        let write = ShardWrite {
            version: Some(held.row.version),
            record: ShardRecord {
                lease_until: self.extended_end(held.row.record.lease_until, now),
                ..held.row.record
            },
        };
        self.stage = LeaseStage::Renewing {
            held,
            write,
            sent_at: now,
        };
        LeaseStep::Write(write)
    }

    fn observe(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        let Some(row) = row else {
            return self.acquire(None, now);
        };
        let unchanged_since = self.unchanged_since(row, now);
        self.observed = Some(ObservedRow {
            row,
            unchanged_since,
            read_at: now,
        });
        let silent = now >= unchanged_since + self.timing.silence_span;
        if self.is_vacant(row) || silent {
            self.acquire(Some(row), now)
        } else {
            LeaseStep::WaitUntil(now + self.timing.read_gap_max.scale(0.5))
        }
    }

    fn is_vacant(&self, row: ShardRow) -> bool {
        row.record
            .holder
            .is_none_or(|holder| self.gone_holders.binary_search(&holder).is_ok())
    }

    /// Since when the row is known to be unchanged. A long gap between two reads restarts the
    /// observation, since the table may have been down and the holder unable to renew.
    fn unchanged_since(&self, row: ShardRow, now: TimePoint) -> TimePoint {
        self.observed
            .filter(|observed| observed.row.version == row.version)
            .filter(|observed| now <= observed.read_at + self.timing.read_gap_max)
            .map_or(now, |observed| observed.unchanged_since)
    }

    fn acquire(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        let former = row.map(|row| row.record);
        let former_until = former.map_or(TimePoint::EPOCH, |record| record.lease_until);
        let write = ShardWrite {
            version: row.map(|row| row.version),
            record: ShardRecord {
                holder: Some(self.holder),
                process: self.process,
                epoch: former.map_or(0, |record| record.epoch) + 1,
                lease_until: self.extended_end(former_until, now),
            },
        };
        self.observed = None;
        self.stage = LeaseStage::Acquiring {
            write,
            sent_at: now,
            former_until,
        };
        LeaseStep::Write(write)
    }

    /// Never earlier than the current end, so that the row bounds every lease ever granted.
    fn extended_end(&self, current: TimePoint, now: TimePoint) -> TimePoint {
        current.max(now + self.timing.shard_span)
    }

    fn activate(
        &mut self,
        row: ShardRow,
        confirmed_at: TimePoint,
        former_until: TimePoint,
    ) -> LeaseStep {
        self.stage = LeaseStage::Held(HeldRow {
            row,
            confirmed_at,
            former_until,
        });
        LeaseStep::Activate
    }

    fn confirm(&mut self, held: HeldRow, row: ShardRow, confirmed_at: TimePoint) -> LeaseStep {
        let held = HeldRow {
            row,
            confirmed_at,
            ..held
        };
        self.stage = LeaseStage::Held(held);
        LeaseStep::WaitUntil(self.renewal_due(held))
    }

    fn on_lost(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        self.stage = LeaseStage::Observing;
        self.observed = row.map(|row| ObservedRow {
            row,
            unchanged_since: now,
            read_at: now,
        });
        LeaseStep::StepDown
    }
}
