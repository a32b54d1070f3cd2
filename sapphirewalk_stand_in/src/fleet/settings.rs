//! The settings file of a process. Fields have the names of the file; `None` leaves a section out.

use std::net;
use std::path;

use serde::Serialize;

/// The whole settings file.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct ProcessSettings {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub vm: Option<VmSection>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub listen: Option<ListenSection>,
    pub platform: PlatformSection,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub tls: Option<TlsSection>,
    pub peers: Vec<PeerEntry>,
    pub operators: Vec<OperatorEntry>,
    pub signatures_required: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub metrics: Option<MetricsSection>,
    pub log: LogSection,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub limits: Option<serde_json::Value>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub scheduler: Option<serde_json::Value>,
}

/// The VM on which the process runs.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct VmSection {
    pub name: String,
    pub incarnation: u64,
    pub domain: String,
}

/// The addresses on which a daemon listens.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub(super) struct ListenSection {
    pub request: net::SocketAddr,
    pub admin: net::SocketAddr,
    pub peer: net::SocketAddr,
}

/// The addresses of the platform's services, and the time limit of calls to them.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub(super) struct PlatformSection {
    pub table: net::SocketAddr,
    pub objects: net::SocketAddr,
    pub vm_list: net::SocketAddr,
    pub timeout_ms: u64,
}

/// The certificate and key with which the VM identifies itself to its peers.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct TlsSection {
    pub ca_file: path::PathBuf,
    pub certificate_file: path::PathBuf,
    pub key_file: path::PathBuf,
}

/// Another entry VM, with the addresses at which its daemons listen for peers.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct PeerEntry {
    pub name: String,
    pub domain: String,
    pub gateway: net::SocketAddr,
    pub scheduler: net::SocketAddr,
}

/// An operator whose signatures the daemon accepts.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct OperatorEntry {
    pub name: String,
    pub public_key: String,
}

/// The address to which metrics are sent, as statsd datagrams.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub(super) struct MetricsSection {
    pub statsd: net::SocketAddr,
}

/// The lowest level that is logged.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub(super) struct LogSection {
    pub level: String,
}
