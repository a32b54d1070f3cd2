//! Polls the platform for new rollouts and fetches them from peers that have a newer one.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use slog::warn;
use tokio::time::MissedTickBehavior;

use sapphirewalk_core::rollout_order::OfferStep;
use sapphirewalk_core::rollout_order::StartupStep;
use sapphirewalk_wire::bundle;
use sapphirewalk_wire::bundle::SignedBundle;
use sapphirewalk_wire::bundle::SignedRollout;
use sapphirewalk_wire::row;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::gossip;
use crate::peer::PeerAddress;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::RolloutPackage;
use crate::process::DaemonProcess;
use crate::rollout::RolloutSource;
use crate::rollout::VerifiedRollout;

/// Interval between reads of the rollout row.
const POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Timeout of fetching a rollout and its bundle from a peer.
const FETCH_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Polls the rollout row of the platform until the process ends.
///
/// Startup ends once the platform or any peer has answered. No rollout is applied before that,
/// since an outdated peer may be the first to answer.
pub async fn follow(process: Arc<DaemonProcess>) {
    let mut ticks = tokio::time::interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut startup_ended = false;
    loop {
        ticks.tick().await;
        let platform_answered = poll_platform(&process).await;
        if !startup_ended && (platform_answered || gossip::exchange_all(&process).await) {
            startup_ended = true;
            end_startup(&process);
        }
    }
}

/// Fetches the rollout in force at a peer and offers it to this process.
///
/// A call that fails is not retried; the next status of the peer causes another fetch.
pub async fn fetch_from_peer(process: &DaemonProcess, peer: &PeerAddress) {
    let call = process
        .transport
        .call(peer, &PeerRequest::FetchRollout, Bytes::new());
    let answer = tokio::time::timeout(FETCH_TIMEOUT, call).await;
    if let Ok(Ok((PeerReply::Rollout(Some(package)), _))) = answer {
        offer(process, *package, RolloutSource::Peer(peer.name.clone()));
    }
}

/// Reads the rollout from the platform and offers it; returns whether the platform answered.
async fn poll_platform(process: &DaemonProcess) -> bool {
    match read_platform(process).await {
        Ok(found) => {
            if let Some(package) = found {
                offer(process, package, RolloutSource::Platform);
            }
            true
        }
        Err(cause) => {
            warn!(process.logger, "{}", EventName::PlatformFailed; "call" => "rollout",
                "error" => cause);
            false
        }
    }
}

fn offer(process: &DaemonProcess, package: RolloutPackage, source: RolloutSource) {
    let sequence = package.rollout.sequence;
    match process.rollout.offer(package, source, process.clock.now()) {
        Ok(OfferStep::Apply) => publish(process),
        Ok(OfferStep::Hold | OfferStep::Ignore | OfferStep::Conflict) => {}
        Err(error) => {
            warn!(process.logger, "{}", EventName::RolloutRejected; "sequence" => sequence,
                "error" => %error);
        }
    }
}

fn end_startup(process: &DaemonProcess) {
    match process.rollout.end_startup() {
        StartupStep::Apply => publish(process),
        StartupStep::Wait | StartupStep::Done => {}
    }
}

/// Announces the rollout in force to peers and records it in the audit trail.
fn publish(process: &DaemonProcess) {
    let Some(current) = process.rollout.current() else {
        return;
    };
    let sequence = current.rollout.sequence;
    process
        .gossip
        .announce(|status| status.sequence = status.sequence.max(sequence));
    record_applied(process, &current);
}

fn record_applied(process: &DaemonProcess, current: &VerifiedRollout) {
    let signers = current
        .bundle
        .signatures
        .iter()
        .map(|entry| entry.operator.clone());
    let decision = AuditDecision::RolloutApplied {
        sequence: current.rollout.sequence,
        digest: current.rollout.digest.clone(),
        operator: current.rollout.signature.operator.clone(),
        signed_off_by: signers.collect(),
        source: current.source.to_string(),
    };
    process.audit.record(current.received_at, decision);
}

/// Reads the rollout row and its bundle; `None` if there is no newer rollout.
async fn read_platform(process: &DaemonProcess) -> Result<Option<RolloutPackage>, String> {
    let found = process.platform.read_row(row::ROLLOUT_KEY).await;
    let Some(row) = found.map_err(|error| error.to_string())? else {
        return Ok(None);
    };
    let rollout: SignedRollout =
        serde_json::from_str(&row.value).map_err(|error| error.to_string())?;
    if !process.rollout.is_newer(rollout.sequence) {
        return Ok(None);
    }
    let name = bundle::bundle_object_name(&rollout.digest);
    let object = process
        .platform
        .get_object(&name)
        .await
        .map_err(|error| error.to_string())?;
    let bytes = object.ok_or_else(|| format!("object {name} is missing; sign the bundle again"))?;
    let bundle: SignedBundle = serde_json::from_slice(&bytes).map_err(|error| error.to_string())?;
    Ok(Some(RolloutPackage { rollout, bundle }))
}
