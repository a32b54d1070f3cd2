//! Gossip: exchanges status with peers of the same role, and answers calls common to both roles.

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

/// Interval between regular exchanges.
const EXCHANGE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Timeout of one exchange.
const EXCHANGE_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Result of handling an incoming call.
#[derive(Debug)]
pub enum CallStep {
    /// The call was answered.
    Answered,
    /// The call is specific to a role, and the daemon must answer it.
    Unhandled(PeerCall),
}

/// Exchanges status until the process ends.
///
/// At each interval, the exchange is with all peers of the own failure domain and one other peer,
/// chosen round-robin. An announced change is sent to all peers at once.
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

/// Answers a call that does not depend on the role; returns any other call.
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

/// Peers of a regular exchange. `round` selects the peer outside the own failure domain.
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

/// Exchanges status with all peers and fetches newer rollouts; returns whether any peer answered.
///
/// Completes only after all fetches, so that startup ends with the latest reachable rollout.
pub async fn exchange_all(process: &Arc<DaemonProcess>) -> bool {
    let exchanges = process.peer_addresses().into_iter().map(|peer| async move {
        let Some(status) = request_status(process, &peer).await else {
            return false;
        };
        let is_newer = process.rollout.is_newer(status.sequence);
        process.gossip.record_status(status, process.clock.now());
        if is_newer {
            rollout::fetch_from_peer(process, &peer).await;
        }
        true
    });
    future::join_all(exchanges)
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

/// Records the status of a peer, and fetches its rollout in the background if it is newer.
fn handle_status(process: &Arc<DaemonProcess>, status: PeerStatus) {
    let is_newer = process.rollout.is_newer(status.sequence);
    let name = status.vm.clone();
    process.gossip.record_status(status, process.clock.now());
    if !is_newer {
        return;
    }
    if let Some(peer) = process.find_peer(&name) {
        let process = Arc::clone(process);
        tokio::spawn(async move { rollout::fetch_from_peer(&process, &peer).await });
    }
}
