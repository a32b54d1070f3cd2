//! Teams' quotas: this shard's share, and gifts to shards that lack some.

use sapphirewalk_core::key::TeamKey;
use sapphirewalk_core::quota_share::DivisionWrite;
use sapphirewalk_core::quota_share::QuotaAmount;
use sapphirewalk_core::quota_share::QuotaDivision;
use sapphirewalk_core::quota_share::QuotaHolder;
use sapphirewalk_core::quota_share::ShareShortage;
use sapphirewalk_core::quota_share::ShareStep;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::row;

use crate::peer::QuotaShortfall;
use crate::scheduler::commit::RowOutcome;
use crate::scheduler::commit::RowWrite;
use crate::scheduler::effect::QuotaOutcome;
use crate::scheduler::held::HeldShard;
use crate::scheduler::name;

/// This shard's share of a team's quota.
#[derive(Clone, Debug)]
pub(super) struct TeamQuota {
    name: String,
    team: TeamKey,
    holder: QuotaHolder,
    /// A gift to write.
    gift: Option<DivisionWrite>,
    /// The gift whose write is under way.
    sent: Option<DivisionWrite>,
}

impl HeldShard {
    /// The division of all teams' quotas as read.
    pub fn on_quota_rows(&mut self, rows: &[TableRow]) {
        for at in 0..self.quotas.len() {
            if self.quotas[at].sent.is_some() {
                continue;
            }
            let key = row::quota_key(&self.quotas[at].name);
            let found = rows.iter().find(|row| row.key == key);
            self.on_division(at, found);
        }
        self.quota_read = true;
    }

    /// What became of gifts.
    pub fn on_quota_outcomes(&mut self, outcomes: Vec<QuotaOutcome>) {
        for QuotaOutcome { team, outcome } in outcomes {
            let Some(at) = self.quotas.iter().position(|quota| quota.name == team) else {
                continue;
            };
            let quota = &mut self.quotas[at];
            match (outcome, quota.sent.take()) {
                (RowOutcome::Committed { version }, Some(write)) => {
                    quota.holder.on_committed(version, write.division);
                }
                (RowOutcome::Read(row), _) => self.on_division(at, row.as_ref()),
                // The gift stays unused until the row is read again.
                _ => {}
            }
            self.apply_quota(at);
        }
    }

    /// Offers what this shard does not use of a team's quota to shards that lack some.
    pub fn offer_quota(&mut self, wants: &[QuotaShortfall]) {
        for at in 0..self.quotas.len() {
            let quota = &mut self.quotas[at];
            let wants: Vec<ShareShortage> = wants
                .iter()
                .filter(|want| want.team == quota.name)
                .map(|want| ShareShortage {
                    shard: want.shard,
                    amount: want.lacks,
                })
                .collect();
            if wants.is_empty() || quota.gift.is_some() || quota.sent.is_some() {
                continue;
            }
            let used = self.policy.ledger().team_used(quota.team);
            if let ShareStep::Write(write) = quota.holder.offer(used, &wants) {
                quota.gift = Some(write);
            }
            self.apply_quota(at);
        }
    }

    /// The gifts to write.
    pub fn take_quota_writes(&mut self) -> Vec<(String, RowWrite)> {
        let mut writes = Vec::new();
        for quota in &mut self.quotas {
            let Some(gift) = quota.gift.take() else {
                continue;
            };
            let write = RowWrite {
                key: row::quota_key(&quota.name),
                version: gift.version,
                value: serde_json::to_string(&gift.division).unwrap_or_default(),
                companion: None,
            };
            quota.sent = Some(gift);
            writes.push((quota.name.clone(), write));
        }
        writes
    }

    /// What this shard lacks of teams' quotas for the tasks that wait.
    pub(super) fn quota_wants(&self) -> Vec<QuotaShortfall> {
        let Some(shard) = self.quota_number else {
            return Vec::new();
        };
        self.quotas
            .iter()
            .filter_map(|quota| {
                let lacks = self.lacks(quota.team);
                (!lacks.is_zero()).then(|| QuotaShortfall {
                    team: quota.name.clone(),
                    shard,
                    lacks,
                })
            })
            .collect()
    }

    pub(super) fn set_teams(&mut self, document: &BundleDocument) {
        let shards = name::all_shards(&document.domains);
        let place = shards.iter().position(|shard| *shard == self.start.name);
        self.quota_number = place.and_then(|place| u32::try_from(place).ok());
        self.quota_shards = u32::try_from(shards.len()).unwrap_or(u32::MAX);
        let number = self.quota_number.unwrap_or(u32::MAX);
        for entry in &document.teams {
            let amount = QuotaAmount {
                cpu_millis: entry.cpu_millis,
                tasks: entry.tasks,
            };
            let found = self
                .quotas
                .iter()
                .position(|quota| quota.name == entry.name);
            let at = found.unwrap_or_else(|| {
                self.quotas.push(TeamQuota {
                    name: entry.name.clone(),
                    team: self.teams.intern(&entry.name),
                    holder: QuotaHolder::new(number, amount),
                    gift: None,
                    sent: None,
                });
                self.quotas.len() - 1
            });
            self.quotas[at].holder.set_quota(amount);
            self.apply_quota(at);
        }
        // Teams that the bundle no longer names start nothing more.
        for at in 0..self.quotas.len() {
            let is_named = document
                .teams
                .iter()
                .any(|entry| entry.name == self.quotas[at].name);
            if !is_named {
                self.quotas[at].holder.set_quota(QuotaAmount::default());
                self.apply_quota(at);
            }
        }
    }

    fn on_division(&mut self, at: usize, row: Option<&TableRow>) {
        let quota = &mut self.quotas[at];
        let parsed = row.and_then(|row| {
            let division: QuotaDivision = serde_json::from_str(&row.value).ok()?;
            Some((row.version, division))
        });
        if row.is_some() && parsed.is_none() {
            return;
        }
        if let ShareStep::Write(write) = quota.holder.on_row(parsed, self.quota_shards) {
            quota.gift = Some(write);
        }
        self.apply_quota(at);
    }

    fn apply_quota(&mut self, at: usize) {
        let quota = &self.quotas[at];
        let usable = quota.holder.usable();
        self.policy.set_team(quota.team, usable);
    }

    fn lacks(&self, team: TeamKey) -> QuotaAmount {
        let waiting = self.tasks.iter().filter(|(_, entry)| {
            entry.team == team && entry.life.is_ready() && entry.moving.is_none()
        });
        let wanted = waiting.fold(QuotaAmount::default(), |sum, (_, entry)| {
            sum + QuotaAmount::of_task(entry.row.resources.cpu_millis)
        });
        let used = self.policy.ledger().team_used(team);
        let quota = self.quotas.iter().find(|quota| quota.team == team);
        let usable = quota.map_or_else(QuotaAmount::default, |quota| quota.holder.usable());
        (used + wanted).saturating_sub(usable)
    }
}
