//! What each kind and each team uses of a shard, beside the share that it may claim.

use crate::key::ArenaKey;
use crate::key::KindKey;
use crate::key::TeamKey;
use crate::quota_share::QuotaAmount;
use crate::urgency::TaskUrgency;

/// Thousandths of its quota up to which a team's urgent tasks go first.
const LITTLE_USE_PERMILLE: u64 = 100;
/// Floors above which a kind uses much more than its own.
const FAR_ABOVE_FLOORS: u64 = 2;
/// Thousandths in a whole share.
const WHOLE_PERMILLE: u64 = 1_000;

/// What the bundle states of a kind.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KindShare {
    /// The kind's urgency.
    pub urgency: TaskUrgency,
    /// The weight of the kind's share.
    pub weight: u32,
    /// The share of the processor time kept for the kind, in thousandths.
    pub floor_permille: u32,
    /// Whether its instances are spread over racks.
    pub spread: bool,
}

/// Use and shares of kinds and teams.
#[derive(Clone, Debug, Default)]
pub struct ShareLedger {
    kinds: Vec<KindUse>,
    teams: Vec<TeamUse>,
    capacity_cpu_millis: u64,
}

#[derive(Clone, Copy, Debug)]
struct KindUse {
    share: KindShare,
    cpu_millis: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct TeamUse {
    limit: QuotaAmount,
    used: QuotaAmount,
    /// Follows from the other two.
    dominant_permille: u64,
}

impl TeamUse {
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
    /// An empty ledger: no kind has a floor, no team may use anything.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets what the bundle states of a kind.
    pub fn set_kind(&mut self, kind: KindKey, share: KindShare) {
        self.kind_mut(kind).share = share;
    }

    /// Sets what a team may use at once in this shard.
    pub fn set_team(&mut self, team: TeamKey, limit: QuotaAmount) {
        let entry = self.team_mut(team);
        entry.limit = limit;
        entry.update();
    }

    /// Sets the processor time that the shard's workers have, in thousandths of a core.
    pub const fn set_capacity(&mut self, cpu_millis: u64) {
        self.capacity_cpu_millis = cpu_millis;
    }

    /// What the bundle states of a kind.
    pub fn kind(&self, kind: KindKey) -> KindShare {
        self.kinds
            .get(kind.index())
            .map_or_else(KindShare::default, |entry| entry.share)
    }

    /// Counts an attempt that starts.
    pub fn add(&mut self, kind: KindKey, team: TeamKey, cpu_millis: u64) {
        self.kind_mut(kind).cpu_millis += cpu_millis;
        let entry = self.team_mut(team);
        entry.used = entry.used + QuotaAmount::of_task(cpu_millis);
        entry.update();
    }

    /// Counts an attempt that ended.
    pub fn remove(&mut self, kind: KindKey, team: TeamKey, cpu_millis: u64) {
        let entry = self.kind_mut(kind);
        entry.cpu_millis = entry.cpu_millis.saturating_sub(cpu_millis);
        let entry = self.team_mut(team);
        entry.used = entry.used.saturating_sub(QuotaAmount::of_task(cpu_millis));
        entry.update();
    }

    /// Whether a team may start an attempt of `cpu_millis`.
    pub fn admits(&self, team: TeamKey, cpu_millis: u64) -> bool {
        self.teams
            .get(team.index())
            .is_some_and(|entry| (entry.used + QuotaAmount::of_task(cpu_millis)).fits(entry.limit))
    }

    /// What a team uses now.
    pub fn team_used(&self, team: TeamKey) -> QuotaAmount {
        self.teams
            .get(team.index())
            .map_or_else(QuotaAmount::default, |entry| entry.used)
    }

    /// The larger of a team's shares of its processor time and its tasks, in thousandths.
    pub fn dominant_permille(&self, team: TeamKey) -> u64 {
        self.teams
            .get(team.index())
            .map_or(u64::MAX, |entry| entry.dominant_permille)
    }

    /// Whether a team uses so little of its quota that its urgent tasks go first.
    pub fn has_low_usage(&self, team: TeamKey) -> bool {
        self.dominant_permille(team) < LITTLE_USE_PERMILLE
    }

    /// Whether a kind uses less than the share kept for it.
    pub fn below_floor(&self, kind: KindKey) -> bool {
        self.kinds
            .get(kind.index())
            .is_some_and(|entry| entry.cpu_millis < self.floor_cpu_millis(entry))
    }

    /// Whether a kind uses much more than the share kept for it.
    pub fn far_above_floor(&self, kind: KindKey) -> bool {
        self.kinds.get(kind.index()).is_some_and(|entry| {
            let far = self
                .floor_cpu_millis(entry)
                .saturating_mul(FAR_ABOVE_FLOORS);
            entry.cpu_millis > far
        })
    }

    /// Whether a kind would still have the share kept for it without `cpu_millis`.
    pub fn keeps_floor_without(&self, kind: KindKey, cpu_millis: u64) -> bool {
        self.kinds.get(kind.index()).is_none_or(|entry| {
            entry.cpu_millis >= self.floor_cpu_millis(entry).saturating_add(cpu_millis)
        })
    }

    /// The processor time that a kind uses for each unit of its weight, in thousandths of a core.
    pub fn weighted_use(&self, kind: KindKey) -> u64 {
        self.kinds.get(kind.index()).map_or(0, |entry| {
            entry.cpu_millis / u64::from(entry.share.weight.max(1))
        })
    }

    fn floor_cpu_millis(&self, entry: &KindUse) -> u64 {
        self.capacity_cpu_millis * u64::from(entry.share.floor_permille) / WHOLE_PERMILLE
    }

    fn kind_mut(&mut self, kind: KindKey) -> &mut KindUse {
        if self.kinds.len() <= kind.index() {
            let unused = KindUse {
                share: KindShare::default(),
                cpu_millis: 0,
            };
            self.kinds.resize(kind.index() + 1, unused);
        }
        &mut self.kinds[kind.index()]
    }

    fn team_mut(&mut self, team: TeamKey) -> &mut TeamUse {
        if self.teams.len() <= team.index() {
            self.teams.resize(team.index() + 1, TeamUse::default());
        }
        &mut self.teams[team.index()]
    }
}

/// `used` in thousandths of `limit`; a limit of nothing is used up.
fn permille(used: u64, limit: u64) -> u64 {
    used.saturating_mul(WHOLE_PERMILLE)
        .checked_div(limit)
        .unwrap_or(u64::MAX)
}
