//! Team quotas divided among shards, so that no start has to ask.
//!
//! The division of a team's quota is one row, whose key names the quota: another quota is divided
//! anew, so that no share is ever rounded. A share moves by one conditional write on that row:
//! the giver first stops using what it gives, then writes. A receiver uses what a row that it has
//! read says, so that the sum of what all shards use stays within the quota, whatever is lost.

use std::ops;

use serde::Deserialize;
use serde::Serialize;

/// What a team may use at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaAmount {
    /// Processor time of running tasks in thousandths of a core.
    pub cpu_millis: u64,
    /// Running tasks.
    pub tasks: u64,
}

/// How a team's quota is divided among shards; the value of one row.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaDivision {
    /// The quota that was divided.
    pub quota: QuotaAmount,
    /// The share of each shard, by the shard's number.
    pub shares: Vec<QuotaAmount>,
}

/// A conditional write of the division row.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DivisionWrite {
    /// The version that the row must have; `None` when it must be absent.
    pub version: Option<u64>,
    /// The new value.
    pub division: QuotaDivision,
}

/// What another shard lacks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShareWant {
    /// The shard's number.
    pub shard: u32,
    /// What it lacks.
    pub lacks: QuotaAmount,
}

/// What a holder does next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ShareStep {
    /// Nothing.
    Idle,
    /// Sends a conditional write, whose condition on the shard's own row the caller adds.
    Write(DivisionWrite),
    /// Reads the row.
    Read,
}

/// A shard's view of its share of one team's quota.
#[derive(Clone, Debug)]
pub struct QuotaHolder {
    shard: u32,
    quota: QuotaAmount,
    division: QuotaDivision,
    version: Option<u64>,
    stage: HolderStage,
}

#[derive(Clone, Debug)]
enum HolderStage {
    /// The row was not read under this hold of the shard.
    Unread,
    /// Nothing is given away.
    Settled,
    /// A gift was written or may have been.
    Giving { write: DivisionWrite },
}

impl QuotaAmount {
    /// What one running task of `cpu_millis` counts.
    pub const fn of_task(cpu_millis: u64) -> Self {
        Self {
            cpu_millis,
            tasks: 1,
        }
    }

    /// Whether both parts are within `limit`.
    pub const fn fits(self, limit: Self) -> bool {
        self.cpu_millis <= limit.cpu_millis && self.tasks <= limit.tasks
    }

    /// What is left after `taken`, zero where that exceeds `self`.
    pub const fn saturating_sub(self, taken: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(taken.cpu_millis),
            tasks: self.tasks.saturating_sub(taken.tasks),
        }
    }

    /// The lesser of each part.
    pub fn min(self, other: Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.min(other.cpu_millis),
            tasks: self.tasks.min(other.tasks),
        }
    }

    /// Whether both parts are nothing.
    pub const fn is_zero(self) -> bool {
        self.cpu_millis == 0 && self.tasks == 0
    }

    /// Half of each part, rounded up, so that a single task's share can move.
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
    /// The division before any share moved: even, the first shards take what is over.
    pub fn even(quota: QuotaAmount, shards: u32) -> Self {
        let shares = (0..shards)
            .map(|shard| QuotaAmount {
                cpu_millis: even_part(quota.cpu_millis, shards, shard),
                tasks: even_part(quota.tasks, shards, shard),
            })
            .collect();
        Self { quota, shares }
    }

    /// The share of a shard.
    pub fn share(&self, shard: u32) -> QuotaAmount {
        self.shares.get(shard as usize).copied().unwrap_or_default()
    }

    /// The sum of all shares.
    pub fn sum(&self) -> QuotaAmount {
        self.shares
            .iter()
            .fold(QuotaAmount::default(), |sum, share| sum + *share)
    }

    /// The division after a gift.
    fn moved(&self, from: u32, to: u32, gift: QuotaAmount) -> Self {
        let mut division = self.clone();
        let giver = &mut division.shares[from as usize];
        *giver = giver.saturating_sub(gift);
        let receiver = &mut division.shares[to as usize];
        *receiver = *receiver + gift;
        division
    }
}

impl QuotaHolder {
    /// The view of a shard whose holder has not read the row yet: it may use nothing.
    pub fn new(shard: u32, quota: QuotaAmount) -> Self {
        Self {
            shard,
            quota,
            division: QuotaDivision::default(),
            version: None,
            stage: HolderStage::Unread,
        }
    }

    /// Takes over the quota of a new bundle version, whose division is another row.
    ///
    /// Nothing is usable until that row was read. The caller first renews its hold of the shard, so
    /// that no write from before can take effect any more.
    pub fn set_quota(&mut self, quota: QuotaAmount) {
        if quota != self.quota {
            *self = Self::new(self.shard, quota);
        }
    }

    /// What the shard may surely use.
    pub fn usable(&self) -> QuotaAmount {
        match &self.stage {
            HolderStage::Unread => QuotaAmount::default(),
            HolderStage::Settled => self.division.share(self.shard),
            HolderStage::Giving { write } => write.division.share(self.shard),
        }
    }

    /// The row as read, or its absence; `shards` is how many the bundle states.
    ///
    /// The caller reads after it took the shard. An answer older than a known row is ignored.
    pub fn on_row(&mut self, row: Option<(u64, QuotaDivision)>, shards: u32) -> ShareStep {
        let (version, division) = match row {
            Some((version, division)) => (Some(version), division),
            None => (None, QuotaDivision::even(self.quota, shards)),
        };
        if !matches!(self.stage, HolderStage::Unread) && version < self.version {
            return ShareStep::Idle;
        }
        self.stage = match &self.stage {
            HolderStage::Giving { write } if version == write.version => {
                return ShareStep::Write(write.clone());
            }
            // A version that changed either is the gift's or fails its condition for good.
            HolderStage::Giving { .. } | HolderStage::Unread | HolderStage::Settled => {
                HolderStage::Settled
            }
        };
        self.version = version;
        self.division = division;
        ShareStep::Idle
    }

    /// Offers what the shard does not use to the shard that lacks most.
    ///
    /// Half of what is idle is given, never more than is lacked. The view is lowered before the
    /// write is returned.
    pub fn offer(&mut self, used: QuotaAmount, wants: &[ShareWant]) -> ShareStep {
        if !matches!(self.stage, HolderStage::Settled) {
            return ShareStep::Read;
        }
        let Some(want) = largest_want(wants, self.shard, self.division.shares.len()) else {
            return ShareStep::Idle;
        };
        let idle = self.usable().saturating_sub(used);
        let gift = idle.half().min(want.lacks);
        if gift.is_zero() {
            return ShareStep::Idle;
        }
        let write = DivisionWrite {
            version: self.version,
            division: self.division.moved(self.shard, want.shard, gift),
        };
        self.stage = HolderStage::Giving {
            write: write.clone(),
        };
        ShareStep::Write(write)
    }

    /// The gift's write took effect with this version.
    pub fn on_committed(&mut self, version: u64, division: QuotaDivision) {
        if Some(version) > self.version {
            self.version = Some(version);
            self.division = division;
        }
        self.stage = HolderStage::Settled;
    }

    /// The answer was a conflict or was lost: the gift stays unused until the row has been read.
    ///
    /// A conflict is no proof, since an earlier copy of the same write may have taken effect.
    pub const fn on_unconfirmed(&self) -> ShareStep {
        ShareStep::Read
    }
}

fn largest_want(wants: &[ShareWant], own: u32, shards: usize) -> Option<ShareWant> {
    wants
        .iter()
        .filter(|want| want.shard != own && (want.shard as usize) < shards)
        .max_by_key(|want| (want.lacks.cpu_millis, want.lacks.tasks))
        .copied()
}

fn even_part(amount: u64, shards: u32, shard: u32) -> u64 {
    let shards = u64::from(shards.max(1));
    amount / shards + u64::from(u64::from(shard) < amount % shards)
}
