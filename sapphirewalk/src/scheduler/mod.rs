//! The scheduler: batch tasks on workers.
//!
//! Each failure domain's workers and tasks are divided among shards. A shard's holder is recorded
//! in the table; only its holder starts tasks on its workers and changes its tasks' rows.

mod actor;
mod api;
mod balance;
mod commit;
mod context;
mod effect;
mod held;
mod holder_status;
mod io;
mod metric;
mod name;
mod notice;
mod shard_row;
mod supervisor;
mod task_map;
mod task_row;
mod worker_client;
mod worker_map;
mod write_group;

use std::sync::Arc;

use tokio::sync::mpsc;

use crate::peer::PeerCall;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::process::ProcessKit;
use crate::process::StartError;
use crate::scheduler::context::SchedulerContext;

/// Runs the scheduler until a graceful shutdown has ended.
///
/// # Errors
///
/// When the callers' address can't be bound.
pub async fn run(kit: Arc<ProcessKit>, calls: mpsc::Receiver<PeerCall>) -> Result<(), StartError> {
    let context = Arc::new(SchedulerContext::new(Arc::clone(&kit)));
    // The bound port shows that an earlier process of this VM has ended.
    let listener = api::bind(&kit).await.map_err(|source| StartError::Bind {
        setting: "listen.request",
        source,
    })?;
    supervisor::register(&context);
    tokio::spawn(answer_calls(Arc::clone(&context), calls));
    tokio::spawn(supervisor::run(Arc::clone(&context)));
    tokio::spawn(notice::run(Arc::clone(&context)));
    let server = tokio::spawn(api::serve(Arc::clone(&context), listener));
    tokio::spawn(announce_ready(Arc::clone(&kit)));
    kit.shutdown.begun().await;
    kit.set_ready(false);
    // An error means that the server ended by itself.
    let _ = server.await;
    supervisor::release_all(&context).await;
    Ok(())
}

/// The process takes submissions once a bundle is in force.
async fn announce_ready(kit: Arc<ProcessKit>) {
    let mut bundles = kit.rollout.watch();
    let in_force = bundles.wait_for(Option::is_some).await.is_ok();
    if in_force && !kit.shutdown.has_begun() {
        kit.set_ready(true);
    }
}

async fn answer_calls(context: Arc<SchedulerContext>, mut calls: mpsc::Receiver<PeerCall>) {
    while let Some(call) = calls.recv().await {
        let PeerRequest::TaskChanged { id } = &call.request else {
            call.answer(PeerReply::NotServed);
            continue;
        };
        let shard = context
            .kit
            .rollout
            .current()
            .and_then(|bundle| name::shard_of_id(id, &bundle.document.domains));
        let is_notified = shard.is_some_and(|shard| context.notify_local(&shard, id));
        call.answer(if is_notified {
            PeerReply::Done
        } else {
            PeerReply::NotServed
        });
    }
}
