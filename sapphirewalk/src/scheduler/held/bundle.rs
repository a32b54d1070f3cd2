//! Applies the kinds and teams of the bundle in force to the policy.

use sapphirewalk_core::share_ledger::KindShare;
use sapphirewalk_core::urgency::TaskUrgency;
use sapphirewalk_wire::bundle::KindEntry;
use sapphirewalk_wire::bundle::KindUrgency;

use crate::rollout::VerifiedRollout;
use crate::scheduler::held::HeldShard;

impl HeldShard {
    /// Applies the bundle in force, unless it is the one that was applied last.
    pub fn set_bundle(&mut self, rollout: &VerifiedRollout) {
        if rollout.rollout.sequence == self.sequence {
            return;
        }
        self.sequence = rollout.rollout.sequence;
        for entry in &rollout.document.kinds {
            if entry.service.is_none() {
                let kind = self.kinds.intern(&entry.name);
                self.policy.set_kind(kind, to_share(entry));
            }
        }
        self.set_teams(&rollout.document);
    }
}

const fn to_share(entry: &KindEntry) -> KindShare {
    KindShare {
        urgency: match entry.urgency {
            KindUrgency::Batch => TaskUrgency::Batch,
            KindUrgency::Normal => TaskUrgency::Normal,
            KindUrgency::Urgent => TaskUrgency::Urgent,
        },
        weight: entry.weight,
        floor_permille: entry.floor_permille,
        spread: false,
    }
}
