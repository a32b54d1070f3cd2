//! State dump of a daemon: common fields, and sections that the daemon registers.

use std::fmt;
use std::sync::Mutex;
use std::sync::PoisonError;

use serde::Serialize;

use sapphirewalk_wire::row::VmIncarnation;

use crate::audit::AuditState;
use crate::peer::PeerRole;
use crate::peer::PeerView;
use crate::process::DaemonProcess;
use crate::usage;
use crate::usage::ProcessUsage;

/// Function that builds the content of one section.
type SectionSource = Box<dyn Fn() -> serde_json::Value + Send + Sync>;

/// Registered sections of the state dump.
#[derive(Default)]
pub struct DumpSections {
    sections: Mutex<Vec<StateSection>>,
}

struct StateSection {
    name: &'static str,
    source: SectionSource,
}

/// State dump as served on the admin address; the names of the fields are part of its format.
#[derive(Debug)]
#[derive(Serialize)]
pub struct StateDump {
    vm: VmIncarnation,
    domain: String,
    role: &'static str,
    process: String,
    now_ms: u64,
    ready: bool,
    shutting_down: bool,
    rollout: Option<RolloutState>,
    vm_list_as_of_ms: u64,
    peers: Vec<PeerState>,
    audit: AuditState,
    usage: ProcessUsage,
    sections: serde_json::Map<String, serde_json::Value>,
}

/// Rollout in force, for the state dump.
#[derive(Debug)]
#[derive(Serialize)]
struct RolloutState {
    sequence: u64,
    digest: String,
    version: String,
    operator: String,
    source: String,
    applied_at_ms: u64,
}

/// Latest status received from a peer, for the state dump.
#[derive(Debug)]
#[derive(Serialize)]
struct PeerState {
    vm: String,
    incarnation: u64,
    sequence: u64,
    ready: bool,
    heard_ms_ago: u64,
}

impl DumpSections {
    /// Registers a section. `source` is called for each dump.
    pub fn register<S: Serialize>(
        &self,
        name: &'static str,
        source: impl Fn() -> S + Send + Sync + 'static,
    ) {
        let source = Box::new(move || serde_json::to_value(source()).unwrap_or_default());
        let mut sections = self.sections.lock().unwrap_or_else(PoisonError::into_inner);
        sections.push(StateSection { name, source });
    }

    fn collect(&self) -> serde_json::Map<String, serde_json::Value> {
        let sections = self.sections.lock().unwrap_or_else(PoisonError::into_inner);
        sections
            .iter()
            .map(|section| (section.name.to_owned(), (section.source)()))
            .collect()
    }
}

impl fmt::Debug for DumpSections {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("DumpSections")
            .finish_non_exhaustive()
    }
}

/// Builds the state dump of a process.
pub fn dump(process: &DaemonProcess) -> StateDump {
    let now = process.clock.now();
    let peer_state = |view: PeerView| PeerState {
        vm: view.status.vm,
        incarnation: view.status.incarnation,
        sequence: view.status.sequence,
        ready: view.status.ready,
        heard_ms_ago: now.since(view.received_at).as_millis(),
    };
    StateDump {
        vm: process.vm_incarnation(),
        domain: process.settings.vm.domain.clone(),
        role: role_name(process.role),
        process: process.process_token.clone(),
        now_ms: now.as_millis(),
        ready: process.is_ready(),
        shutting_down: process.shutdown.has_begun(),
        rollout: rollout_state(process),
        vm_list_as_of_ms: process.vms.borrow().as_of_ms,
        peers: process.gossip.peers().into_iter().map(peer_state).collect(),
        audit: process.audit.state(),
        usage: usage::read(
            process.platform.traffic(),
            process.transport.traffic(),
            process.worker_or_endpoint_traffic.count(),
        ),
        sections: process.dump_sections.collect(),
    }
}

/// Name of a role in logs, audit object names and the state dump.
pub const fn role_name(role: PeerRole) -> &'static str {
    match role {
        PeerRole::Gateway => "gateway",
        PeerRole::Scheduler => "scheduler",
    }
}

fn rollout_state(process: &DaemonProcess) -> Option<RolloutState> {
    let current = process.rollout.current()?;
    Some(RolloutState {
        sequence: current.rollout.sequence,
        digest: current.rollout.digest.clone(),
        version: current.document.version.clone(),
        operator: current.rollout.signature.operator.clone(),
        source: current.source.to_string(),
        applied_at_ms: current.received_at.as_millis(),
    })
}
