//! Keeps the shards of a failure domain evenly distributed over its schedulers.

use std::sync::Arc;

use slog::info;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::event::EventName;
use crate::scheduler::context::SchedulerContext;
use crate::scheduler::name::ShardName;
use crate::scheduler::supervisor;

/// Tracks how long this scheduler has held more than its even share of the shards.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShardBalance {
    /// `None` while it holds no more than its even share.
    surplus_since: Option<TimePoint>,
}

impl ShardBalance {
    /// Releases one shard if this scheduler has held more than its even share for `rebalance_ms`. A
    /// scheduler of the failure domain that holds fewer acquires it.
    pub fn release_surplus(&mut self, context: &Arc<SchedulerContext>) {
        let now = context.process.clock.now();
        let Some(surplus) = surplus(context) else {
            self.surplus_since = None;
            return;
        };
        let since = *self.surplus_since.get_or_insert(now);
        if now < since + TimeSpan::from_millis(context.settings.rebalance_ms) {
            return;
        }
        self.surplus_since = None;
        info!(context.process.logger, "{}", EventName::ShardSurplus; "shard" => %surplus);
        supervisor::release_one(context, &surplus);
    }
}

/// The shard to release if this scheduler holds more than an even share of the shards of its
/// failure domain; the share is rounded up.
fn surplus(context: &SchedulerContext) -> Option<ShardName> {
    let own_domain = &context.process.settings.vm.domain;
    let held: Vec<ShardName> = context
        .held_shards()
        .into_iter()
        .filter(|shard| shard.domain == *own_domain)
        .collect();
    let shard = held.last()?;
    let rollout = context.process.rollout.current()?;
    let entry = rollout
        .document
        .domains
        .iter()
        .find(|entry| entry.name == *own_domain)?;
    let schedulers = context.candidate_count(shard) + 1;
    let even_share = (entry.shards as usize).div_ceil(schedulers);
    (held.len() > even_share).then(|| shard.clone())
}
