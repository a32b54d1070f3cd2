//! Division of team quotas among shards, so that a task starts without coordination.
//!
//! The division of a team's quota is one row, whose key names the quota. A changed quota is divided
//! anew in another row, so that no share needs rounding. A conditional write on the row transfers a
//! part of a share: the sender stops using it before the write. The receiver uses it only after it
//! has read the row. So the use of all shards stays within the quota even if messages are lost.

use std::ops;

use serde::Deserialize;
use serde::Serialize;

/// Amount of a quota: resources that the running tasks of a team use at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaAmount {
    /// Processor time in thousandths of a core.
    pub cpu_millis: u64,
    /// Number of running tasks.
    pub tasks: u64,
}

/// Division of a team's quota among shards; the value of one row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaDivision {
    /// The quota that the shares add up to.
    pub quota: QuotaAmount,
    /// Share of each shard, indexed by shard number.
    pub shares: Vec<QuotaAmount>,
}

/// A conditional write of the division row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DivisionWrite {
    /// Version that the row must have for the write to take effect; `None` if it must be absent.
    pub version: Option<u64>,
    /// New value of the row.
    pub division: QuotaDivision,
}

/// Shortage of quota that another shard reported.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareShortage {
    /// Number of the shard.
    pub shard: u32,
    /// Additional quota that the shard needs to start its queued tasks.
    pub amount: QuotaAmount,
}

/// Next action for a shard's share of a quota.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareStep {
    /// No action.
    Idle,
    /// Send this conditional write. The condition on the shard's own row is still to be added.
    Write(DivisionWrite),
    /// Read the division row.
    Read,
}

/// State of one shard's share of a team's quota.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    shard: u32,
    quota: QuotaAmount,
    /// The division as last read or written.
    division: QuotaDivision,
    /// Version of the row; `None` if it was not read or is absent.
    version: Option<u64>,
    stage: ShareStage,
}

#[derive(Clone, Debug)]
enum ShareStage {
    /// The row was not read since this holder took over the shard.
    Unread,
    /// No transfer is in progress.
    Current,
    /// The write of a transfer was or may have been sent.
    Transferring { write: DivisionWrite },
}

impl QuotaAmount {
    /// Amount that one running task of `cpu_millis` uses.
    pub const fn of_task(cpu_millis: u64) -> Self {
        Self {
            cpu_millis,
            tasks: 1,
        }
    }

    /// Whether processor time and tasks are both within `limit`.
    pub const fn fits(self, limit: Self) -> bool {
        self.cpu_millis <= limit.cpu_millis && self.tasks <= limit.tasks
    }

    /// Subtracts component by component; zero where `subtrahend` is larger.
    pub const fn saturating_sub(self, subtrahend: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(subtrahend.cpu_millis),
            tasks: self.tasks.saturating_sub(subtrahend.tasks),
        }
    }

    /// Minimum of each component.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            tasks: self.tasks.min(other.tasks),
        }
    }

    /// Whether both components are zero.
    pub const fn is_zero(self) -> bool {
        self.cpu_millis == 0 && self.tasks == 0
    }

    /// Half of each component, rounded up so that the quota of a single task can be transferred.
    const fn half(self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.div_ceil(2),
            tasks: self.tasks.div_ceil(2),
        }
    }
}

impl ops::Add for QuotaAmount {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_add(other.cpu_millis),
            tasks: self.tasks.saturating_add(other.tasks),
        }
    }
}

impl QuotaDivision {
    /// Initial division before any transfer: equal shares, with the remainder in the first shards.
    pub fn even(quota: QuotaAmount, shards: u32) -> Self {
        let shares = (0..shards)
            .map(|shard| QuotaAmount {
                cpu_millis: even_share(quota.cpu_millis, shards, shard),
                tasks: even_share(quota.tasks, shards, shard),
            })
            .collect();
        Self { quota, shares }
    }

    /// Share of a shard; zero if the division does not include it.
    pub fn share(&self, shard: u32) -> QuotaAmount {
        self.shares.get(shard as usize).copied().unwrap_or_default()
    }

    /// Sum of all shares, component by component.
    pub fn sum(&self) -> QuotaAmount {
        self.shares
            .iter()
            .fold(QuotaAmount::default(), |sum, share| sum + *share)
    }

    /// The division after `amount` is transferred between two shards.
    fn after_transfer(&self, from: u32, to: u32, amount: QuotaAmount) -> Self {
        let mut division = self.clone();
        let sender = &mut division.shares[from as usize];
        *sender = sender.saturating_sub(amount);
        let receiver = &mut division.shares[to as usize];
        *receiver = *receiver + amount;
        division
    }
}

impl QuotaShare {
    /// State of a new holder of a shard. It may use nothing until it has read the row.
    pub fn new(shard: u32, quota: QuotaAmount) -> Self {
        Self {
            shard,
            quota,
            division: QuotaDivision::default(),
            version: None,
            stage: ShareStage::Unread,
        }
    }

    /// Sets the quota of a new bundle version, whose division is another row.
    ///
    /// After a change, nothing is usable until that row has been read. The shard's lease must be
    /// renewed first, so that no earlier write can still take effect.
    pub fn set_quota(&mut self, quota: QuotaAmount) {
        if quota != self.quota {
            *self = Self::new(self.shard, quota);
        }
    }

    /// Quota that the shard may use whether or not a pending transfer has taken effect.
    pub fn usable(&self) -> QuotaAmount {
        match &self.stage {
            ShareStage::Unread => QuotaAmount::default(),
            ShareStage::Current => self.division.share(self.shard),
            ShareStage::Transferring { write } => write.division.share(self.shard),
        }
    }

    /// Applies the row as read, or `None` if it is absent. The bundle names `shards` shards.
    ///
    /// The read must have started after the shard was taken over. A row older than the known one is
    /// ignored.
    pub fn on_row(&mut self, row: Option<(u64, QuotaDivision)>, shards: u32) -> ShareStep {
        let (version, division) = match row {
            Some((version, division)) => (Some(version), division),
            None => (None, QuotaDivision::even(self.quota, shards)),
        };
        if !matches!(self.stage, ShareStage::Unread) && version < self.version {
            return ShareStep::Idle;
        }
        self.stage = match &self.stage {
            ShareStage::Transferring { write } if version == write.version => {
                return ShareStep::Write(write.clone());
            }
            // A changed version means that the pending write took effect or can never do so.
            ShareStage::Transferring { .. } | ShareStage::Unread | ShareStage::Current => {
                ShareStage::Current
            }
        };
        self.version = version;
        self.division = division;
        ShareStep::Idle
    }

    /// Transfers unused quota to the shard with the largest shortage.
    ///
    /// The amount is half of the unused quota, but at most the shortage. The usable quota is
    /// reduced before the write is returned.
    pub fn offer(&mut self, used: QuotaAmount, shortages: &[ShareShortage]) -> ShareStep {
        if !matches!(self.stage, ShareStage::Current) {
            return ShareStep::Read;
        }
        let Some(shortage) = largest_shortage(shortages, self.shard, self.division.shares.len())
        else {
            return ShareStep::Idle;
        };
        let unused = self.usable().saturating_sub(used);
        let amount = unused.half().min(shortage.amount);
        if amount.is_zero() {
            return ShareStep::Idle;
        }
        let write = DivisionWrite {
            version: self.version,
            division: self
                .division
                .after_transfer(self.shard, shortage.shard, amount),
        };
        self.stage = ShareStage::Transferring {
            write: write.clone(),
        };
        ShareStep::Write(write)
    }

    /// Applies the confirmation that the write of the transfer took effect as `version`.
    pub fn on_committed(&mut self, version: u64, division: QuotaDivision) {
        if Some(version) > self.version {
            self.version = Some(version);
            self.division = division;
        }
        self.stage = ShareStage::Current;
    }

    /// Handles a write whose answer was lost or was a conflict.
    ///
    /// The amount stays unused until the row has been read. Even a conflict does not show that the
    /// transfer failed, since an earlier copy of the same write may have taken effect.
    pub const fn on_unconfirmed(&self) -> ShareStep {
        ShareStep::Read
    }
}

fn largest_shortage(shortages: &[ShareShortage], own: u32, shards: usize) -> Option<ShareShortage> {
    shortages
        .iter()
        .filter(|shortage| shortage.shard != own && (shortage.shard as usize) < shards)
        .max_by_key(|shortage| (shortage.amount.cpu_millis, shortage.amount.tasks))
        .copied()
}

fn even_share(amount: u64, shards: u32, shard: u32) -> u64 {
    let shards = u64::from(shards.max(1));
    amount / shards + u64::from(u64::from(shard) < amount % shards)
}
