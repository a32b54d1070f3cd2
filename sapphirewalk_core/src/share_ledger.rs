//! Accounting of the capacity that kinds and teams use in a shard, against their shares and quotas.

use crate::key::ArenaKey;
use crate::key::KindKey;
use crate::key::TeamKey;
use crate::quota_share::QuotaAmount;
use crate::urgency::TaskUrgency;

/// Part of its quota, in thousandths, below which a team's urgent tasks are started first.
const LOW_USAGE_PERMILLE: u64 = 100;
/// Multiple of its floor above which a kind is far above it.
const FAR_ABOVE_FLOOR_FACTOR: u64 = 2;
const PERMILLE: u64 = 1_000;

/// Scheduling parameters of a kind, from the bundle.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KindShare {
    /// Urgency of the kind's tasks; a more urgent kind is started first.
    pub urgency: TaskUrgency,
    /// Weight by which the use of kinds is compared; zero counts as one.
    pub weight: u32,
    /// Floor: the part of the shard's processor time reserved for the kind, in thousandths.
    pub floor_permille: u32,
    /// Whether the kind's instances are spread over racks.
    pub spread: bool,
}

/// Resource use and limits of kinds and teams in one shard.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    /// Indexed by kind.
    kinds: Vec<KindUsage>,
    /// Indexed by team.
    teams: Vec<TeamUsage>,
    capacity_cpu_millis: u64,
}

#[derive(Clone, Copy, Debug)]
struct KindUsage {
    share: KindShare,
    cpu_millis: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamUsage {
    limit: QuotaAmount,
    used: QuotaAmount,
    /// Larger of the used fractions of processor time and tasks; derived from the other fields.
    dominant_permille: u64,
}

impl TeamUsage {
    fn update(&mut self) {
        self.dominant_permille = permille(self.used.cpu_millis, self.limit.cpu_millis)
            .max(permille(self.used.tasks, self.limit.tasks));
    }
}

impl Default for KindShare {
    fn default() -> Self {
        Self {
            urgency: TaskUrgency::Batch,
            weight: 1,
            floor_permille: 0,
            spread: false,
        }
    }
}

impl ShareLedger {
    /// An empty ledger. No kind has a floor, and every team has a quota of zero.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the scheduling parameters of a kind.
    pub fn set_kind(&mut self, kind: KindKey, share: KindShare) {
        self.kind_mut(kind).share = share;
    }

    /// Sets this shard's share of a team's quota.
    pub fn set_team(&mut self, team: TeamKey, limit: QuotaAmount) {
        let entry = self.team_mut(team);
        entry.limit = limit;
        entry.update();
    }

    /// Sets the total processor time of the shard's workers, in thousandths of a core.
    pub const fn set_capacity(&mut self, cpu_millis: u64) {
        self.capacity_cpu_millis = cpu_millis;
    }

    /// Scheduling parameters of a kind; the default for an unknown kind.
    pub fn kind(&self, kind: KindKey) -> KindShare {
        self.kinds
            .get(kind.index())
            .map_or_else(KindShare::default, |entry| entry.share)
    }

    /// Adds an attempt that starts to the use of its kind and team.
    pub fn add(&mut self, kind: KindKey, team: TeamKey, cpu_millis: u64) {
        self.kind_mut(kind).cpu_millis += cpu_millis;
        let entry = self.team_mut(team);
        entry.used = entry.used + QuotaAmount::of_task(cpu_millis);
        entry.update();
    }

    /// Subtracts an attempt that ended from the use of its kind and team.
    pub fn remove(&mut self, kind: KindKey, team: TeamKey, cpu_millis: u64) {
        let entry = self.kind_mut(kind);
        entry.cpu_millis = entry.cpu_millis.saturating_sub(cpu_millis);
        let entry = self.team_mut(team);
        entry.used = entry.used.saturating_sub(QuotaAmount::of_task(cpu_millis));
        entry.update();
    }

    /// Whether an attempt of `cpu_millis` fits into a team's quota; false for an unknown team.
    pub fn admits(&self, team: TeamKey, cpu_millis: u64) -> bool {
        self.teams
            .get(team.index())
            .is_some_and(|entry| (entry.used + QuotaAmount::of_task(cpu_millis)).fits(entry.limit))
    }

    /// Resources used by the running attempts of a team; zero for an unknown team.
    pub fn team_used(&self, team: TeamKey) -> QuotaAmount {
        self.teams
            .get(team.index())
            .map_or_else(QuotaAmount::default, |entry| entry.used)
    }

    /// Dominant share of a team: the larger of its used fractions of processor time and tasks, in
    /// thousandths of the quota. `u64::MAX` for an unknown team.
    pub fn dominant_permille(&self, team: TeamKey) -> u64 {
        self.teams
            .get(team.index())
            .map_or(u64::MAX, |entry| entry.dominant_permille)
    }

    /// Whether the dominant share of a team is so low that its urgent tasks are started first.
    pub fn has_low_usage(&self, team: TeamKey) -> bool {
        self.dominant_permille(team) < LOW_USAGE_PERMILLE
    }

    /// Whether a kind uses less than its floor.
    pub fn below_floor(&self, kind: KindKey) -> bool {
        self.kinds
            .get(kind.index())
            .is_some_and(|entry| entry.cpu_millis < self.floor_cpu_millis(entry))
    }

    /// Whether a kind uses more than twice its floor.
    pub fn far_above_floor(&self, kind: KindKey) -> bool {
        self.kinds.get(kind.index()).is_some_and(|entry| {
            let threshold = self
                .floor_cpu_millis(entry)
                .saturating_mul(FAR_ABOVE_FLOOR_FACTOR);
            entry.cpu_millis > threshold
        })
    }

    /// Whether a kind would still use at least its floor if it lost `cpu_millis`.
    pub fn keeps_floor_without(&self, kind: KindKey, cpu_millis: u64) -> bool {
        self.kinds.get(kind.index()).is_none_or(|entry| {
            entry.cpu_millis >= self.floor_cpu_millis(entry).saturating_add(cpu_millis)
        })
    }

    /// Processor time that a kind uses per unit of its weight, in thousandths of a core.
    pub fn weighted_use(&self, kind: KindKey) -> u64 {
        self.kinds.get(kind.index()).map_or(0, |entry| {
            entry.cpu_millis / u64::from(entry.share.weight.max(1))
        })
    }

    fn floor_cpu_millis(&self, entry: &KindUsage) -> u64 {
        self.capacity_cpu_millis * u64::from(entry.share.floor_permille) / PERMILLE
    }

    fn kind_mut(&mut self, kind: KindKey) -> &mut KindUsage {
        if self.kinds.len() <= kind.index() {
            let unused = KindUsage {
                share: KindShare::default(),
                cpu_millis: 0,
            };
            self.kinds.resize(kind.index() + 1, unused);
        }
        &mut self.kinds[kind.index()]
    }

    fn team_mut(&mut self, team: TeamKey) -> &mut TeamUsage {
        if self.teams.len() <= team.index() {
            self.teams.resize(team.index() + 1, TeamUsage::default());
        }
        &mut self.teams[team.index()]
    }
}

/// `used` in thousandths of `limit`; `u64::MAX` if the limit is zero.
fn permille(used: u64, limit: u64) -> u64 {
    used.saturating_mul(PERMILLE)
        .checked_div(limit)
        .unwrap_or(u64::MAX)
}
