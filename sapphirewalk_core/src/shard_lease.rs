//! Who schedules a shard: taking, renewing, losing and releasing the shard's row.
//!
//! The row's version is a condition of every write of the shard's tasks, so that a holder that was
//! replaced commits nothing. Workers hold leases that never end after the row's `lease_until`.

use crate::key::VmKey;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Spans and bounds of leases.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseRules {
    /// How far ahead a holder sets the end of the shard's lease.
    pub shard_span: TimeSpan,
    /// How far ahead a holder sets the end of a worker's lease.
    pub worker_span: TimeSpan,
    /// How often the holder renews the row.
    pub renew_every: TimeSpan,
    /// How long after the last renewal a holder may start tasks without asking again.
    pub recheck_after: TimeSpan,
    /// How long the row must stay unchanged before another scheduler takes it.
    pub silence_span: TimeSpan,
    /// The longest gap between two reads that still count as one observation.
    pub read_gap_max: TimeSpan,
    /// The most by which two clocks differ.
    pub drift_max: TimeSpan,
    /// The longest that a worker takes to end an attempt whose lease ended.
    pub stop_delay_max: TimeSpan,
}

impl Default for LeaseRules {
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
    /// The VM.
    pub vm: VmKey,
    /// Its incarnation.
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
    /// The holder's process.
    pub process: ProcessToken,
    /// Rises with each change of holder.
    pub epoch: u64,
    /// No worker's lease ends after this.
    pub lease_until: TimePoint,
}

/// A shard's row as read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardRow {
    /// The row's version.
    pub version: u64,
    /// The row's value.
    pub record: ShardRecord,
}

/// A conditional write of the shard's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShardWrite {
    /// The version that the row must have; `None` when it must be absent.
    pub version: Option<u64>,
    /// The new value.
    pub record: ShardRecord,
}

/// What to do next about the shard's row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseStep {
    /// Nothing before this time.
    WaitUntil(TimePoint),
    /// Reads the row.
    Read,
    /// Sends a conditional write.
    Write(ShardWrite),
    /// Starts to act for the shard: loads its tasks and asks its workers.
    Activate,
    /// Stops acting for the shard and forgets its tasks.
    StepDown,
}

/// What a scheduler may do for a shard.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShardAuthority {
    /// Everything.
    Full,
    /// Renews workers' leases up to the end of the shard's lease, starts nothing.
    RenewOnly,
    /// Nothing.
    Nothing,
}

/// A scheduler's hold of a shard.
#[derive(Clone, Debug)]
pub struct ShardLease {
    holder: HolderName,
    process: ProcessToken,
    rules: LeaseRules,
    stage: LeaseStage,
    seen: Option<SeenRow>,
    /// Sorted.
    gone_holders: Vec<HolderName>,
}

#[derive(Clone, Copy, Debug)]
struct SeenRow {
    row: ShardRow,
    unchanged_since: TimePoint,
    read_at: TimePoint,
}

#[derive(Clone, Copy, Debug)]
struct HeldRow {
    row: ShardRow,
    /// When the last write that took effect was sent.
    confirmed_at: TimePoint,
    /// The end of the lease that the former holder may have given.
    former_until: TimePoint,
}

#[derive(Clone, Copy, Debug)]
enum LeaseStage {
    Watching,
    Taking {
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
    /// Watches a shard, whose row was not read yet.
    pub const fn new(holder: HolderName, process: ProcessToken, rules: LeaseRules) -> Self {
        Self {
            holder,
            process,
            rules,
            stage: LeaseStage::Watching,
            seen: None,
            gone_holders: Vec::new(),
        }
    }

    /// Records that the platform lists an incarnation as gone for good.
    pub fn note_gone(&mut self, holder: HolderName) {
        if let Err(position) = self.gone_holders.binary_search(&holder) {
            self.gone_holders.insert(position, holder);
        }
    }

    /// What is due now. A holder that was paused finds out here that it must renew first.
    pub fn on_tick(&mut self, now: TimePoint) -> LeaseStep {
        match self.stage {
            LeaseStage::Watching => LeaseStep::Read,
            LeaseStage::Taking { .. } | LeaseStage::Renewing { .. } => LeaseStep::Read,
            LeaseStage::Held(held) => self.renew_if_due(held, now),
        }
    }

    /// The row as read, or its absence.
    pub fn on_row(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        match self.stage {
            LeaseStage::Watching => self.watch(row, now),
            LeaseStage::Taking {
                write,
                sent_at,
                former_until,
            } => match row {
                Some(row) if self.is_own(row) => self.begin(row, sent_at, former_until),
                _ if row.map(|row| row.version) == write.version => LeaseStep::Write(write),
                _ => self.lose(row, now),
            },
            LeaseStage::Held(held) => match row {
                Some(row) if self.is_own(row) => LeaseStep::WaitUntil(self.renewal_due(held)),
                Some(row) if row.version <= held.row.version => {
                    LeaseStep::WaitUntil(self.renewal_due(held))
                }
                _ => self.lose(row, now),
            },
            LeaseStage::Renewing {
                held,
                write,
                sent_at,
            } => match row {
                Some(row) if row.version <= held.row.version => LeaseStep::Write(write),
                Some(row) if self.is_own(row) => self.confirm(held, row, sent_at),
                _ => self.lose(row, now),
            },
        }
    }

    /// The write in flight took effect with this version.
    pub fn on_committed(&mut self, version: u64) -> LeaseStep {
        match self.stage {
            LeaseStage::Watching => LeaseStep::Read,
            LeaseStage::Held(held) => LeaseStep::WaitUntil(self.renewal_due(held)),
            LeaseStage::Taking {
                write,
                sent_at,
                former_until,
            } => {
                let record = write.record;
                self.begin(ShardRow { version, record }, sent_at, former_until)
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

    /// The answer was a conflict or was lost: the row decides.
    pub const fn on_unconfirmed(&self) -> LeaseStep {
        LeaseStep::Read
    }

    /// Releases the shard, after its workers' leases were left to run out or its tasks ended.
    ///
    /// The holder must not act any more; the write is sent once and not repeated.
    pub fn release(&mut self) -> Option<ShardWrite> {
        let (LeaseStage::Held(held) | LeaseStage::Renewing { held, .. }) = self.stage else {
            return None;
        };
        self.stage = LeaseStage::Watching;
        self.seen = None;
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
        } else if now >= held.confirmed_at + self.rules.recheck_after {
            ShardAuthority::RenewOnly
        } else {
            ShardAuthority::Full
        }
    }

    /// The version of the shard's row that every write of its tasks has as a condition.
    pub fn write_condition(&self) -> Option<u64> {
        self.held().map(|held| held.row.version)
    }

    /// The epoch of the scheduler's commands.
    pub fn epoch(&self) -> Option<u64> {
        self.held().map(|held| held.row.record.epoch)
    }

    /// The end of the lease that a worker may be given at `now`.
    pub fn worker_lease_until(&self, now: TimePoint) -> Option<TimePoint> {
        let held = self.held()?;
        let until = (now + self.rules.worker_span).min(held.row.record.lease_until);
        (until > now).then_some(until)
    }

    /// The end of any lease that a former holder gave.
    pub fn former_until(&self) -> Option<TimePoint> {
        self.held().map(|held| held.former_until)
    }

    fn held(&self) -> Option<HeldRow> {
        match self.stage {
            LeaseStage::Held(held) | LeaseStage::Renewing { held, .. } => Some(held),
            LeaseStage::Watching | LeaseStage::Taking { .. } => None,
        }
    }

    fn is_own(&self, row: ShardRow) -> bool {
        row.record.holder == Some(self.holder) && row.record.process == self.process
    }

    fn renewal_due(&self, held: HeldRow) -> TimePoint {
        held.confirmed_at + self.rules.renew_every
    }

    fn renew_if_due(&mut self, held: HeldRow, now: TimePoint) -> LeaseStep {
        let due = self.renewal_due(held);
        if now < due {
            return LeaseStep::WaitUntil(due);
        }
        let write = ShardWrite {
            version: Some(held.row.version),
            record: ShardRecord {
                lease_until: self.later_end(held.row.record.lease_until, now),
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

    fn watch(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        let Some(row) = row else {
            return self.take(None, now);
        };
        let unchanged_since = self.unchanged_since(row, now);
        self.seen = Some(SeenRow {
            row,
            unchanged_since,
            read_at: now,
        });
        let silent = now >= unchanged_since + self.rules.silence_span;
        if self.is_vacant(row) || silent {
            self.take(Some(row), now)
        } else {
            LeaseStep::WaitUntil(now + self.rules.read_gap_max.scale(0.5))
        }
    }

    fn is_vacant(&self, row: ShardRow) -> bool {
        row.record
            .holder
            .is_none_or(|holder| self.gone_holders.binary_search(&holder).is_ok())
    }

    /// Reads with a long gap between them prove nothing: the table may have been down.
    fn unchanged_since(&self, row: ShardRow, now: TimePoint) -> TimePoint {
        self.seen
            .filter(|seen| seen.row.version == row.version)
            .filter(|seen| now <= seen.read_at + self.rules.read_gap_max)
            .map_or(now, |seen| seen.unchanged_since)
    }

    fn take(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        let former = row.map(|row| row.record);
        let former_until = former.map_or(TimePoint::EPOCH, |record| record.lease_until);
        let write = ShardWrite {
            version: row.map(|row| row.version),
            record: ShardRecord {
                holder: Some(self.holder),
                process: self.process,
                epoch: former.map_or(0, |record| record.epoch) + 1,
                lease_until: self.later_end(former_until, now),
            },
        };
        self.seen = None;
        self.stage = LeaseStage::Taking {
            write,
            sent_at: now,
            former_until,
        };
        LeaseStep::Write(write)
    }

    /// Never earlier than the end known before, so that the row bounds every lease ever given.
    fn later_end(&self, known: TimePoint, now: TimePoint) -> TimePoint {
        known.max(now + self.rules.shard_span)
    }

    fn begin(
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

    fn lose(&mut self, row: Option<ShardRow>, now: TimePoint) -> LeaseStep {
        self.stage = LeaseStage::Watching;
        self.seen = row.map(|row| SeenRow {
            row,
            unchanged_since: now,
            read_at: now,
        });
        LeaseStep::StepDown
    }
}
