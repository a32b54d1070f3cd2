//! Exchanges status with peers of the same role, and answers what every process answers.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use futures::future;
use tokio::time::MissedTickBehavior;

use crate::peer::PeerAddress;
use crate::peer::PeerCall;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::PeerStatus;
use crate::peer::RolloutPackage;
use crate::process::DaemonProcess;
use crate::rollout;

/// How often status is exchanged.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// The longest that a peer is waited for.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// What to do with a call from a peer.
#[derive(Debug)]
pub enum CallStep {
    /// The call has been answered.
    Answered,
    /// The daemon answers the call.
    Unhandled(PeerCall),
}

/// Exchanges status for the life of the process: every interval with each peer of the own failure
/// domain and, in turn, with one of the others; at once with all when a change is announced.
pub async fn run(process: Arc<DaemonProcess>) {
    let mut ticks = tokio::time::interval(EXCHANGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut round = 0_usize;
    loop {
        let peers = tokio::select! {
            _ = ticks.tick() => {
                round = round.wrapping_add(1);
                choose_peers(&process, round)
            }
            () = process.gossip.announced() => process.peer_addresses(),
        };
        let exchanges = peers.into_iter().map(|peer| {
            let process = Arc::clone(&process);
            async move { exchange(&process, &peer).await }
        });
        future::join_all(exchanges).await;
    }
}

/// Answers a call that every process answers alike.
pub fn answer(process: &Arc<DaemonProcess>, call: PeerCall) -> CallStep {
    match &call.request {
        PeerRequest::Status(status) => {
            let status = status.clone();
            call.answer(PeerReply::Status(process.gossip.own_status()));
            handle_status(process, status);
            CallStep::Answered
        }
        PeerRequest::FetchRollout => {
            let package = process.rollout.current().map(|current| {
                let rollout = current.rollout.clone();
                Box::new(RolloutPackage {
                    rollout,
                    bundle: current.bundle.clone(),
                })
            });
            call.answer(PeerReply::Rollout(package));
            CallStep::Answered
        }
        PeerRequest::Forward(_) | PeerRequest::TaskChanged { .. } => CallStep::Unhandled(call),
    }
}

fn choose_peers(process: &DaemonProcess, round: usize) -> Vec<PeerAddress> {
    let (mut chosen, others): (Vec<_>, Vec<_>) = process
        .peer_addresses()
        .into_iter()
        .partition(|peer| peer.domain == process.settings.vm.domain);
    if !others.is_empty() {
        chosen.push(others[round % others.len()].clone());
    }
    chosen
}

/// Asks every peer, fetches from each that is ahead, and says whether any answered.
pub async fn request_all(process: &Arc<DaemonProcess>) -> bool {
    let questions = process.peer_addresses().into_iter().map(|peer| async move {
        let Some(status) = request_status(process, &peer).await else {
            return false;
        };
        let is_ahead = process.rollout.is_newer(status.sequence);
        process.gossip.record_status(status, process.clock.now());
        if is_ahead {
            rollout::fetch_from_peer(process, &peer).await;
        }
        true
    });
    future::join_all(questions)
        .await
        .into_iter()
        .any(|answered| answered)
}

async fn exchange(process: &Arc<DaemonProcess>, peer: &PeerAddress) {
    if let Some(status) = request_status(process, peer).await {
        handle_status(process, status);
    }
}

async fn request_status(process: &DaemonProcess, peer: &PeerAddress) -> Option<PeerStatus> {
    let request = PeerRequest::Status(process.gossip.own_status());
    let call = process.transport.call(peer, &request, Bytes::new());
    match tokio::time::timeout(EXCHANGE_TIMEOUT, call).await {
        Ok(Ok((PeerReply::Status(status), _))) => Some(status),
        _ => None,
    }
}

fn handle_status(process: &Arc<DaemonProcess>, status: PeerStatus) {
    let is_ahead = process.rollout.is_newer(status.sequence);
    let name = status.vm.clone();
    process.gossip.record_status(status, process.clock.now());
    if !is_ahead {
        return;
    }
    if let Some(peer) = process.find_peer(&name) {
        let process = Arc::clone(process);
        tokio::spawn(async move { rollout::fetch_from_peer(&process, &peer).await });
    }
}
