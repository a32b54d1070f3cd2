//! This shard's shares of teams' quotas, and transfers to shards that have a shortage.

use sapphirewalk_core::key::TeamKey;
use sapphirewalk_core::quota_share::DivisionWrite;
use sapphirewalk_core::quota_share::QuotaAmount;
use sapphirewalk_core::quota_share::QuotaDivision;
use sapphirewalk_core::quota_share::QuotaShare;
use sapphirewalk_core::quota_share::ShareShortage;
use sapphirewalk_core::quota_share::ShareStep;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::row;

use crate::peer::QuotaShortage;
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
    share: QuotaShare,
    /// A transfer whose write is queued.
    transfer: Option<DivisionWrite>,
    /// The transfer whose write is in flight.
    in_flight: Option<DivisionWrite>,
}

impl HeldShard {
    /// Applies the rows that divide teams' quotas. A team without a row has the even division.
    pub fn on_quota_rows(&mut self, rows: &[TableRow]) {
        for index in 0..self.quotas.len() {
            if self.quotas[index].in_flight.is_some() {
                continue;
            }
            let key = row::quota_key(&self.quotas[index].name);
            let found = rows.iter().find(|row| row.key == key);
            self.on_division(index, found);
        }
        self.quota_read = true;
    }

    /// Applies the outcomes of transfers.
    pub fn on_quota_outcomes(&mut self, outcomes: Vec<QuotaOutcome>) {
        for QuotaOutcome { team, outcome } in outcomes {
            let Some(index) = self.quotas.iter().position(|quota| quota.name == team) else {
                continue;
            };
            let quota = &mut self.quotas[index];
            match (outcome, quota.in_flight.take()) {
                (RowOutcome::Committed { version }, Some(write)) => {
                    quota.share.on_committed(version, write.division);
                }
                (RowOutcome::Read(row), _) => self.on_division(index, row.as_ref()),
                // The amount of the transfer stays unused until the row is read again.
                _ => {}
            }
            self.apply_quota(index);
        }
    }

    /// Queues transfers of unused quota to shards that report a shortage. A team has at most one
    /// transfer queued or in flight.
    pub fn offer_quota(&mut self, reports: &[QuotaShortage]) {
        for index in 0..self.quotas.len() {
            let quota = &mut self.quotas[index];
            let shortages: Vec<ShareShortage> = reports
                .iter()
                .filter(|report| report.team == quota.name)
                .map(|report| ShareShortage {
                    shard: report.shard,
                    amount: report.lacks,
                })
                .collect();
            if shortages.is_empty() || quota.transfer.is_some() || quota.in_flight.is_some() {
                continue;
            }
            let used = self.policy.ledger().team_used(quota.team);
            if let ShareStep::Write(write) = quota.share.offer(used, &shortages) {
                quota.transfer = Some(write);
            }
            self.apply_quota(index);
        }
    }

    /// Takes the queued transfers by team name; each stays in flight until its outcome is applied.
    pub fn take_quota_writes(&mut self) -> Vec<(String, RowWrite)> {
        let mut writes = Vec::new();
        for quota in &mut self.quotas {
            let Some(transfer) = quota.transfer.take() else {
                continue;
            };
            let write = RowWrite {
                key: row::quota_key(&quota.name),
                version: transfer.version,
                value: serde_json::to_string(&transfer.division).unwrap_or_default(),
                companion: None,
            };
            quota.in_flight = Some(transfer);
            writes.push((quota.name.clone(), write));
        }
        writes
    }

    /// The quota that the waiting tasks need beyond this shard's shares, by team.
    pub(super) fn quota_shortages(&self) -> Vec<QuotaShortage> {
        let Some(shard) = self.shard_number else {
            return Vec::new();
        };
        self.quotas
            .iter()
            .filter_map(|quota| {
                let shortage = self.shortage(quota.team);
                (!shortage.is_zero()).then(|| QuotaShortage {
                    team: quota.name.clone(),
                    shard,
                    lacks: shortage,
                })
            })
            .collect()
    }

    /// Applies the quotas of the bundle's teams and this shard's number in the bundle.
    pub(super) fn set_teams(&mut self, document: &BundleDocument) {
        let shards = name::all_shards(&document.domains);
        let position = shards.iter().position(|shard| *shard == self.params.name);
        self.shard_number = position.and_then(|position| u32::try_from(position).ok());
        self.shard_count = u32::try_from(shards.len()).unwrap_or(u32::MAX);
        let number = self.shard_number.unwrap_or(u32::MAX);
        for entry in &document.teams {
            let amount = QuotaAmount {
                cpu_millis: entry.cpu_millis,
                tasks: entry.tasks,
            };
            let found = self
                .quotas
                .iter()
                .position(|quota| quota.name == entry.name);
            let index = found.unwrap_or_else(|| {
                self.quotas.push(TeamQuota {
                    name: entry.name.clone(),
                    team: self.teams.intern(&entry.name),
                    share: QuotaShare::new(number, amount),
                    transfer: None,
                    in_flight: None,
                });
                self.quotas.len() - 1
            });
            self.quotas[index].share.set_quota(amount);
            self.apply_quota(index);
        }
        // No more tasks of teams that the bundle no longer names are started.
        for index in 0..self.quotas.len() {
            let is_named = document
                .teams
                .iter()
                .any(|entry| entry.name == self.quotas[index].name);
            if !is_named {
                self.quotas[index].share.set_quota(QuotaAmount::default());
                self.apply_quota(index);
            }
        }
    }

    /// Applies a division row as read. A row that can't be parsed is ignored, so that the team's
    /// share stays as it was.
    fn on_division(&mut self, index: usize, row: Option<&TableRow>) {
        let quota = &mut self.quotas[index];
        let parsed = row.and_then(|row| {
            let division: QuotaDivision = serde_json::from_str(&row.value).ok()?;
            Some((row.version, division))
        });
        if row.is_some() && parsed.is_none() {
            return;
        }
        if let ShareStep::Write(write) = quota.share.on_row(parsed, self.shard_count) {
            quota.transfer = Some(write);
        }
        self.apply_quota(index);
    }

    /// Passes the usable share of a team's quota to the policy.
    fn apply_quota(&mut self, index: usize) {
        let quota = &self.quotas[index];
        let usable = quota.share.usable();
        self.policy.set_team(quota.team, usable);
    }

    /// The amount by which a team's used and waiting quota exceeds this shard's share.
    fn shortage(&self, team: TeamKey) -> QuotaAmount {
        let waiting = self.tasks.iter().filter(|(_, entry)| {
            entry.team == team && entry.lifecycle.is_ready() && entry.moving.is_none()
        });
        let demand = waiting.fold(QuotaAmount::default(), |sum, (_, entry)| {
            sum + QuotaAmount::of_task(entry.row.resources.cpu_millis)
        });
        let used = self.policy.ledger().team_used(team);
        let quota = self.quotas.iter().find(|quota| quota.team == team);
        let usable = quota.map_or_else(QuotaAmount::default, |quota| quota.share.usable());
        (used + demand).saturating_sub(usable)
    }
}
