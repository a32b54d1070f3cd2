//! Runs an actor for each shard that this scheduler may hold, and publishes the shards that it
//! holds to the peers.

use std::sync::Arc;
use std::sync::PoisonError;
use std::time;

use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::MissedTickBehavior;

use sapphirewalk_wire::row::VmIncarnation;

use crate::peer::ShardStatus;
use crate::scheduler::actor;
use crate::scheduler::actor::ShardHandle;
use crate::scheduler::balance::ShardBalance;
use crate::scheduler::context::SchedulerContext;
use crate::scheduler::effect::ShardMessage;
use crate::scheduler::held::ShardView;
use crate::scheduler::holder_status;
use crate::scheduler::name;
use crate::scheduler::name::ShardName;

/// Interval at which the actors are compared with the shards of the bundle and the VM list.
const RECONCILE_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The longest that a shutdown waits for the release of all shards.
const RELEASE_TIMEOUT: time::Duration = time::Duration::from_secs(5);

/// A shard in the state dump; `held` is `None` while this process does not hold it.
#[derive(Debug)]
#[derive(Serialize)]
struct ShardSection {
    domain: String,
    index: u32,
    held: Option<ShardView>,
}

/// Starts and stops the shards' actors until a shutdown begins.
pub async fn run(context: Arc<SchedulerContext>) {
    let mut ticks = tokio::time::interval(RECONCILE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut balance = ShardBalance::default();
    loop {
        ticks.tick().await;
        if context.process.shutdown.has_begun() {
            return;
        }
        reconcile_actors(&context);
        balance.release_surplus(&context);
        publish(&context);
    }
}

/// Releases all shards. Returns after [`RELEASE_TIMEOUT`] even if the platform does not answer.
pub async fn release_all(context: &SchedulerContext) {
    let mut releases = Vec::new();
    for handle in context.shards() {
        let (done, released) = oneshot::channel();
        if handle
            .messages
            .send(ShardMessage::Release(done))
            .await
            .is_ok()
        {
            releases.push(released);
        }
    }
    let all = futures::future::join_all(releases);
    // A shard that was not released in time is acquired by another scheduler after a silence.
    let _ = tokio::time::timeout(RELEASE_TIMEOUT, all).await;
}

/// Registers the section `shards` of the state dump.
pub fn register(context: &Arc<SchedulerContext>) {
    let source = Arc::downgrade(context);
    context.process.dump_sections.register("shards", move || {
        let context = source.upgrade();
        context.map_or_else(Vec::new, |context| {
            context.shards().iter().map(section).collect()
        })
    });
}

fn section(handle: &ShardHandle) -> ShardSection {
    ShardSection {
        domain: handle.name.domain.clone(),
        index: handle.name.index,
        held: view_of(handle),
    }
}

fn view_of(handle: &ShardHandle) -> Option<ShardView> {
    handle
        .view
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone()
}

/// Starts and releases actors, so that there is one for each shard of the own failure domain and of
/// domains whose entry VMs are all gone.
fn reconcile_actors(context: &Arc<SchedulerContext>) {
    let Some(rollout) = context.process.rollout.current() else {
        return;
    };
    let list = context.process.vms.borrow().clone();
    let own_domain = &context.process.settings.vm.domain;
    let is_watched = |shard: &ShardName| {
        shard.domain == *own_domain || holder_status::is_domain_gone(&shard.domain, &list)
    };
    let watched: Vec<ShardName> = name::all_shards(&rollout.document.domains)
        .into_iter()
        .filter(is_watched)
        .collect();
    let running = context.shards();
    for shard in &watched {
        if !running.iter().any(|handle| handle.name == *shard) {
            context.add_shard(actor::spawn(Arc::clone(context), shard.clone()));
        }
    }
    for handle in running {
        if !watched.contains(&handle.name) {
            release_one(context, &handle.name);
        }
    }
}

/// Removes a shard's actor and has it release the shard. If the actor's queue is full, nothing
/// changes, and the next comparison of actors and shards tries again.
pub(super) fn release_one(context: &Arc<SchedulerContext>, shard: &ShardName) {
    if let Some(handle) = context.remove_shard(shard) {
        let (done, _) = oneshot::channel();
        if let Err(error) = handle.messages.try_send(ShardMessage::Release(done)) {
            drop(error);
            context.add_shard(handle);
        }
    }
}

/// Publishes the status of the held shards to the peers and the metrics.
fn publish(context: &SchedulerContext) {
    let mut statuses = Vec::new();
    let mut pending = 0;
    let mut running = 0;
    for handle in context.shards() {
        let Some(view) = view_of(&handle) else {
            continue;
        };
        let waiting: usize = view.pending.iter().map(|entry| entry.tasks).sum();
        pending += waiting as u64;
        running += view.running as u64;
        statuses.push(ShardStatus {
            domain: handle.name.domain,
            index: handle.name.index,
            free_cpu_millis: view.free_cpu_millis,
            largest_free: view.largest_free,
            is_open: view.workers.iter().any(|worker| worker.out.is_none()),
            full_teams: view.full_teams,
            quota_wants: view.quota_wants,
            pending: u32::try_from(waiting).unwrap_or(u32::MAX),
        });
    }
    context
        .metrics
        .held(statuses.len() as u64, pending, running);
    let list = context.process.vms.borrow().clone();
    context.process.gossip.update(|status| {
        status.shards = statuses;
        status.leaving.retain(|mark| {
            let incarnation = VmIncarnation {
                name: mark.name.clone(),
                incarnation: mark.incarnation,
            };
            !holder_status::is_gone(&incarnation, &list)
        });
    });
}
