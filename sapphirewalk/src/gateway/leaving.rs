//! Marks of endpoints that leave: seen here, told to peers, taken over from peers.

use std::sync::Arc;

use slog::info;

use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_wire::platform::VmState;

use crate::event::EventName;
use crate::gateway::shared::Gateway;
use crate::peer::LeavingVm;

/// Marks an endpoint that was seen to be leaving, and tells all peers at once.
pub fn mark(gateway: &Arc<Gateway>, endpoint: EndpointKey, cause: &'static str) {
    let mark = {
        let table = gateway.table();
        let entry = table.entry(endpoint);
        LeavingVm {
            name: entry.name.clone(),
            incarnation: entry.incarnation,
        }
    };
    if take_mark(gateway, mark, cause) {
        let marks = gateway.table().marks().to_vec();
        gateway
            .process
            .gossip
            .announce(|status| status.leaving = marks);
    }
}

/// Takes over the marks that peers told.
pub fn take_peer_marks(gateway: &Arc<Gateway>) {
    for view in gateway.process.gossip.peers() {
        for mark in view.status.leaving {
            take_mark(gateway, mark, "peer");
        }
    }
}

/// The marks to tell peers: those of incarnations that the VM list does not show as gone.
pub fn marks_to_tell(gateway: &Gateway) -> Vec<LeavingVm> {
    let list = gateway.process.vms.borrow().clone();
    let is_gone = |mark: &LeavingVm| {
        list.vms.iter().any(|vm| {
            vm.name == mark.name && vm.incarnation == mark.incarnation && vm.state == VmState::Gone
        })
    };
    let table = gateway.table();
    let marks = table.marks().iter();
    marks.filter(|mark| !is_gone(mark)).cloned().collect()
}

/// Records a mark; says whether it is new.
pub fn take_mark(gateway: &Arc<Gateway>, mark: LeavingVm, cause: &'static str) -> bool {
    let (name, incarnation) = (mark.name.clone(), mark.incarnation);
    let endpoint = {
        let mut table = gateway.table();
        if !table.put_mark(mark) {
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
