//! Periodic work of a shard's actor: lease renewals, scans, and changes of the bundle, the VM list
//! and other shards.

use std::sync::Arc;
use std::sync::PoisonError;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::write_pace::WritePace;
use sapphirewalk_wire::row;

use crate::scheduler::actor::AppliedInputs;
use crate::scheduler::actor::LeaseIo;
use crate::scheduler::actor::RETRY_DELAY;
use crate::scheduler::actor::ShardActor;
use crate::scheduler::holder_status;

/// Interval at which the peers' announcements are applied and the shard's view is published.
const REVIEW_INTERVAL: TimeSpan = TimeSpan::from_millis(500);
/// Renewal intervals within which a former holder that still runs detects that it was replaced.
const RENEWALS_BEFORE_RESCAN: f64 = 2.0;
/// Interval at which waiting tasks are checked for a move to another shard.
const MOVE_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);

impl ShardActor {
    /// Does what is due by time; called at each tick.
    pub(super) fn on_tick(&mut self) {
        let now = self.now();
        if let LeaseIo::Wait(due) = self.lease_io
            && (now >= due || self.lacks_live_holder(now))
        {
            let step = self.lease.on_tick(now);
            self.apply_lease_step(step, now);
        }
        self.apply_inputs(now);
        let grant = self.grant(now);
        if let Some(held) = &mut self.held {
            held.set_grant(grant);
            held.renew_due(now);
        }
        if self.held.is_some() && now >= self.review_at {
            self.review_at = now + REVIEW_INTERVAL;
            self.run_periodic_work(now);
        }
    }

    /// Whether no live peer reports that it holds the shard, so that its row is read early.
    fn lacks_live_holder(&self, now: TimePoint) -> bool {
        self.held.is_none()
            && now >= self.shard_read_at + RETRY_DELAY
            && !self.context.has_live_holder(&self.name)
    }

    /// Applies the bundle and the VM list to the held shard if one of them has changed, or if a row
    /// named a worker that the list lacked. Does nothing until both are known.
    fn apply_inputs(&mut self, now: TimePoint) {
        let (Some(held), Some(rollout)) = (&mut self.held, self.context.process.rollout.current())
        else {
            return;
        };
        let list = self.context.process.vms.borrow().clone();
        if list.as_of_ms == 0 {
            return;
        }
        let sequence = rollout.rollout.sequence;
        let is_known = self
            .applied_inputs
            .as_ref()
            .is_some_and(|known| known.sequence == sequence && Arc::ptr_eq(&known.list, &list));
        if is_known && !held.take_unlisted() {
            return;
        }
        if self
            .applied_inputs
            .as_ref()
            .is_none_or(|known| known.sequence != sequence)
        {
            let domains = rollout.document.domains.iter();
            let shards = domains.map(|domain| domain.shards).sum();
            self.pace = WritePace::new(self.context.settings.rows_per_s, shards, now);
        }
        held.set_bundle(&rollout);
        let workers = holder_status::workers_of(&self.name, &rollout.document, &list);
        held.set_workers(&workers, now);
        held.set_capacities(&list.vms);
        self.applied_inputs = Some(AppliedInputs { sequence, list });
    }

    /// The time until the next scan. The second scan after the shard is acquired comes early, since
    /// a former holder that had not detected its replacement may have received notices of new
    /// tasks.
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

    /// Applies the peers' announcements, offers quota, moves waiting tasks, starts the reads that
    /// are due, and publishes the shard's view.
    fn run_periodic_work(&mut self, now: TimePoint) {
        let next_scan_at = now + self.next_scan_span();
        let Some(held) = &mut self.held else {
            return;
        };
        for name in self.context.leaving_vms() {
            held.mark_leaving(&name);
        }
        held.end_stopped(now);
        held.offer_quota(&self.context.quota_shortages());
        if now >= self.move_at {
            self.move_at = now + MOVE_INTERVAL;
            held.requeue_unplaceable(now);
            held.move_waiting(self.context.move_targets(), now);
        }
        if now >= self.scan_at {
            self.scan_at = next_scan_at;
            self.scanned = true;
            let prefix = row::task_key(&self.name.id_prefix());
            self.io.scan(self.generation, prefix);
        }
        if now >= self.quota_at {
            self.quota_at = now + TimeSpan::from_millis(self.context.settings.quota_ms);
            self.io.read_quota(self.generation);
        }
        let view = held.view(now);
        *self.view.lock().unwrap_or_else(PoisonError::into_inner) = Some(view);
    }
}
