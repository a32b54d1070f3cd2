//! The scheduler: batch tasks on workers.
//!
//! Each failure domain's workers and tasks are divided among shards. Each shard has a row in the
//! platform's table that records its holder and the holder's lease. Only the holder starts tasks on
//! the shard's workers and changes the rows of its tasks.

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
use crate::process::DaemonProcess;
use crate::process::StartError;
use crate::scheduler::context::SchedulerContext;

/// Runs the scheduler until a graceful shutdown is complete. Requests of other daemons arrive over
/// `calls`.
///
/// # Errors
///
/// If the address for requests of callers can't be bound.
pub async fn run(
    process: Arc<DaemonProcess>,
    calls: mpsc::Receiver<PeerCall>,
) -> Result<(), StartError> {
    let context = Arc::new(SchedulerContext::new(Arc::clone(&process)));
    // Bound before any shard is acquired: a fixed port that is free proves that an earlier process
    // of this VM has ended, so its shards may be acquired at once. With port 0 nothing proves it.
    let listener = api::bind(&process)
        .await
        .map_err(|source| StartError::Bind {
            setting: "listen.request",
            source,
        })?;
    supervisor::register(&context);
    tokio::spawn(answer_calls(Arc::clone(&context), calls));
    tokio::spawn(supervisor::run(Arc::clone(&context)));
    tokio::spawn(notice::run(Arc::clone(&context)));
    let server = tokio::spawn(api::serve(Arc::clone(&context), listener));
    tokio::spawn(announce_ready(Arc::clone(&process)));
    process.shutdown.begun().await;
    process.set_ready(false);
    // An error means that the server's task panicked; the shards are released all the same.
    let _ = server.await;
    supervisor::release_all(&context).await;
    Ok(())
}

/// Sets the process ready once a bundle is in force; submissions are refused before.
async fn announce_ready(process: Arc<DaemonProcess>) {
    let mut bundles = process.rollout.watch();
    let in_force = bundles.wait_for(Option::is_some).await.is_ok();
    if in_force && !process.shutdown.has_begun() {
        process.set_ready(true);
    }
}

/// Answers the requests of other daemons. A notice for a shard that is not held here is refused, so
/// that the sender retries it with the holder.
async fn answer_calls(context: Arc<SchedulerContext>, mut calls: mpsc::Receiver<PeerCall>) {
    while let Some(call) = calls.recv().await {
        let PeerRequest::TaskChanged { id } = &call.request else {
            call.answer(PeerReply::NotServed);
            continue;
        };
        let shard = context
            .process
            .rollout
            .current()
            .and_then(|rollout| name::shard_of_id(id, &rollout.document.domains));
        let is_notified = shard.is_some_and(|shard| context.notify_local(&shard, id));
        call.answer(if is_notified {
            PeerReply::Done
        } else {
            PeerReply::NotServed
        });
    }
}
