//! Records endpoint incarnations that are leaving, and exchanges them with peers.

use std::sync::Arc;

use slog::info;

use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_wire::platform::VmState;

use crate::event::EventName;
use crate::gateway::state::Gateway;
use crate::peer::LeavingVm;

/// Records that an endpoint is leaving, and announces it to all peers at once if that is new.
/// `cause` is logged.
pub fn announce(gateway: &Arc<Gateway>, endpoint: EndpointKey, cause: &'static str) {
    let mark = {
        let table = gateway.table();
        let entry = table.entry(endpoint);
        LeavingVm {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
        }
    };
    if record(gateway, mark, cause) {
        let marks = gateway.table().leaving_marks().to_vec();
        gateway
            .process
            .gossip
            .announce(|status| status.leaving = marks);
    }
}

/// Records the incarnations that peers report as leaving.
pub fn record_from_peers(gateway: &Arc<Gateway>) {
    for view in gateway.process.gossip.peers() {
        for mark in view.status.leaving {
            record(gateway, mark, "peer");
        }
    }
}

/// Leaving incarnations to report to peers: all except those that the VM list shows as gone.
pub fn announced_marks(gateway: &Gateway) -> Vec<LeavingVm> {
    let list = gateway.process.vms.borrow().clone();
    let is_gone = |mark: &LeavingVm| {
        list.vms.iter().any(|vm| {
            vm.name == mark.name && vm.incarnation == mark.incarnation && vm.state == VmState::Gone
        })
    };
    let table = gateway.table();
    let marks = table.leaving_marks().iter();
    marks.filter(|mark| !is_gone(mark)).cloned().collect()
}

/// Records that an incarnation is leaving, and closes its idle connections. Returns whether that is
/// new.
pub fn record(gateway: &Arc<Gateway>, mark: LeavingVm, cause: &'static str) -> bool {
    let (name, incarnation) = (mark.name.clone(), mark.incarnation);
    let endpoint = {
        let mut table = gateway.table();
        if !table.insert_leaving(mark) {
            return false;
        }
        table.find_endpoint(&name, incarnation)
    };
    info!(gateway.process.logger, "{}", EventName::EndpointLeaving; "endpoint" => name,
        "endpoint_incarnation" => incarnation, "cause" => cause);
    if let Some(endpoint) = endpoint {
        gateway.pool.retain(|other| other != endpoint);
    }
    true
}
