//! The gateway sends requests from callers to endpoints.
//!
//! Each gateway of a failure domain holds a seat, which entitles it to a share of the slots of
//! every endpoint. A request runs within that share, waits in a queue for a slot, or is forwarded
//! to a peer gateway with a free slot.

mod attempt;
mod connection;
mod counter;
mod dispatch;
mod dispatch_table;
mod drain;
mod endpoint_entry;
mod forward;
mod guard;
mod idempotency;
mod leaving;
mod outcome;
mod peer_chooser;
mod probe;
mod report;
mod request;
mod request_pipeline;
mod seat;
mod seat_claim;
mod seat_rows;
mod server;
mod service;
mod shutdown;
mod state;
mod table_update;

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::gateway::state::Gateway;
use crate::peer::PeerCall;
use crate::process::DaemonProcess;
use crate::process::StartError;

/// Runs the gateway until a graceful shutdown is complete.
///
/// # Errors
///
/// If the address for callers can't be bound.
pub async fn run(
    process: Arc<DaemonProcess>,
    calls: mpsc::Receiver<PeerCall>,
) -> Result<(), StartError> {
    // Binding the port proves that no earlier process of this VM is running, so its seat may be
    // taken.
    let listener = TcpListener::bind(process.settings.listen.request)
        .await
        .map_err(|source| StartError::Bind {
            setting: "listen.request",
            source,
        })?;
    let gateway = Gateway::new(process, rand::random());
    report::register(&gateway);
    tokio::spawn(table_update::run(Arc::clone(&gateway)));
    tokio::spawn(probe::run(Arc::clone(&gateway)));
    tokio::spawn(report::run(Arc::clone(&gateway)));
    tokio::spawn(answer_calls(Arc::clone(&gateway), calls));
    let seats = tokio::spawn(seat::run(Arc::clone(&gateway)));
    let (stop_accepting, stop) = oneshot::channel();
    let accepting = tokio::spawn(server::accept_all(Arc::clone(&gateway), listener, stop));
    gateway.process.shutdown.begun().await;
    shutdown::drain(&gateway, stop_accepting, accepting).await;
    // After its task has ended, no further seat can be acquired.
    let _ = seats.await;
    shutdown::release(&gateway).await;
    Ok(())
}

async fn answer_calls(gateway: Arc<Gateway>, mut calls: mpsc::Receiver<PeerCall>) {
    while let Some(call) = calls.recv().await {
        tokio::spawn(forward::answer(Arc::clone(&gateway), call));
    }
}
