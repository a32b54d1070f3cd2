//! What is due by time: renewals, scans, and what has changed around the shard.

use std::sync::Arc;
use std::sync::PoisonError;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::write_pace::WritePace;
use sapphirewalk_wire::row;

use crate::scheduler::actor::AppliedFleet;
use crate::scheduler::actor::LeaseIo;
use crate::scheduler::actor::RETRY_SPAN;
use crate::scheduler::actor::ShardActor;
use crate::scheduler::holder_status;

/// How often peers' marks are taken over and the shard's view is published.
const REVIEW_SPAN: TimeSpan = TimeSpan::from_millis(500);
/// Renewals after which a former holder that runs knows that it was replaced.
const RENEWALS_BEFORE_RESCAN: f64 = 2.0;
/// How often tasks that can't start here are looked at.
const MOVE_SPAN: TimeSpan = TimeSpan::from_millis(1_000);

impl ShardActor {
    pub(super) fn on_tick(&mut self) {
        let now = self.now();
        if let LeaseIo::Wait(due) = self.lease_io
            && (now >= due || self.lacks_live_holder(now))
        {
            let step = self.lease.on_tick(now);
            self.apply_lease_step(step, now);
        }
        self.apply_fleet(now);
        let grant = self.grant(now);
        if let Some(held) = &mut self.held {
            held.set_grant(grant);
            held.renew_due(now);
        }
        if self.held.is_some() && now >= self.review_at {
            self.review_at = now + REVIEW_SPAN;
            self.review(now);
        }
    }

    /// Whether no peer says that it holds the shard, so that its row is worth an early look.
    fn lacks_live_holder(&self, now: TimePoint) -> bool {
        self.held.is_none()
            && now >= self.shard_read_at + RETRY_SPAN
            && !self.context.has_live_holder(&self.name)
    }

    /// Takes over the bundle and the VM list when they have changed.
    fn apply_fleet(&mut self, now: TimePoint) {
        let (Some(held), Some(bundle)) = (&mut self.held, self.context.kit.rollout.current())
        else {
            return;
        };
        let list = self.context.kit.vms.borrow().clone();
        if list.as_of_ms == 0 {
            return;
        }
        let sequence = bundle.rollout.sequence;
        let is_known = self
            .applied_fleet
            .as_ref()
            .is_some_and(|known| known.sequence == sequence && Arc::ptr_eq(&known.list, &list));
        if is_known && !held.take_unlisted() {
            return;
        }
        if self
            .applied_fleet
            .as_ref()
            .is_none_or(|known| known.sequence != sequence)
        {
            let domains = bundle.document.domains.iter();
            let shards = domains.map(|domain| domain.shards).sum();
            self.pace = WritePace::new(self.context.settings.rows_per_s, shards, now);
        }
        held.set_bundle(&bundle);
        let workers = holder_status::workers_of(&self.name, &bundle.document, &list);
        held.set_workers(&workers, now);
        held.set_fleet(&list.vms);
        self.applied_fleet = Some(AppliedFleet { sequence, list });
    }

    /// The second scan after taking a shard comes early: a former holder that did not know yet that
    /// it was replaced may have been told of new tasks.
    fn next_scan_span(&self) -> TimeSpan {
        let settings = &self.context.settings;
        let regular = TimeSpan::from_millis(settings.scan_ms);
        let renewals = TimeSpan::from_millis(settings.shard_renew_ms).scale(RENEWALS_BEFORE_RESCAN);
        if self.scanned {
            regular
        } else {
            regular.min(renewals)
        }
    }

    fn review(&mut self, now: TimePoint) {
        let next_scan_at = now + self.next_scan_span();
        let Some(held) = &mut self.held else {
            return;
        };
        for name in self.context.leaving_workers() {
            held.mark_leaving(&name);
        }
        held.end_stopped(now);
        held.offer_quota(&self.context.quota_wants());
        if now >= self.move_at {
            self.move_at = now + MOVE_SPAN;
            held.requeue_unplaceable(now);
            held.move_waiting(self.context.move_targets(), now);
        }
        if now >= self.scan_at {
            self.scan_at = next_scan_at;
            self.scanned = true;
            let prefix = row::task_key(&self.name.id_prefix());
            self.io.scan(self.hold, prefix);
        }
        if now >= self.quota_at {
            self.quota_at = now + TimeSpan::from_millis(self.context.settings.quota_ms);
            self.io.read_quota(self.hold);
        }
        let view = held.view(now);
        *self.view.lock().unwrap_or_else(PoisonError::into_inner) = Some(view);
    }
}
