//! Settings file: its structure, loading and validation. Field names are the keys of the file.

mod check;
mod error;
mod gateway;
mod scheduler;

use std::fs;
use std::net;
use std::path;

use serde::Deserialize;
use serde::Serialize;

use crate::caller_server::ResourceSettings;
pub use crate::config::error::ConfigError;
pub use crate::config::gateway::GatewaySettings;
pub use crate::config::scheduler::SchedulerSettings;

/// Settings of a gateway or scheduler process, and of operator commands.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct Settings {
    /// Identity of the VM that the process runs on.
    pub vm: VmSettings,
    /// Addresses that the process listens on.
    pub listen: ListenSettings,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Certificate of the process, and the authority that signs those of its peers.
    pub tls: TlsSettings,
    /// Other entry VMs at start; empty if they are to be read from the VM list only.
    #[serde(default)]
    pub peers: Vec<PeerSettings>,
    /// Operators who may sign off bundles and sign rollouts.
    pub operators: Vec<OperatorSettings>,
    /// Number of operators who must sign off a bundle; at least 1.
    #[serde(default = "default_signatures_required")]
    pub signatures_required: u32,
    /// Destination of metrics.
    #[serde(default)]
    pub metrics: MetricSettings,
    /// Log filter.
    #[serde(default)]
    pub log: LogSettings,
    /// What the process may use.
    #[serde(default)]
    pub limits: ResourceSettings,
    /// Limits and times of the gateway; schedulers ignore them.
    #[serde(default)]
    pub gateway: GatewaySettings,
    /// Limits and times of the scheduler; gateways ignore them.
    #[serde(default)]
    pub scheduler: SchedulerSettings,
}

/// Identity of the VM that the process runs on.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct VmSettings {
    /// Name of the VM, as in the platform's VM list.
    pub name: String,
    /// Incarnation of the VM, as in the platform's VM list; rises with each replacement.
    pub incarnation: u64,
    /// Name of its failure domain.
    pub domain: String,
}

/// Addresses that the process listens on.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct ListenSettings {
    /// TCP address for requests of callers (gateway) or submissions of batch tasks (scheduler).
    pub request: net::SocketAddr,
    /// TCP address for liveness, readiness and the state dump.
    pub admin: net::SocketAddr,
    /// UDP address for QUIC connections of peers.
    pub peer: net::SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
pub struct PlatformSettings {
    /// HTTP address of the table service.
    pub table: net::SocketAddr,
    /// HTTP address of the object store.
    pub objects: net::SocketAddr,
    /// HTTP address of the service that returns the VM list.
    pub vm_list: net::SocketAddr,
    /// Timeout of one call, and of opening a connection, in milliseconds.
    #[serde(default = "default_platform_timeout_ms")]
    pub timeout_ms: u64,
}

/// Files for mutual TLS between peers.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct TlsSettings {
    /// PEM file with the certificate of the authority that signs those of all peers.
    pub ca_file: path::PathBuf,
    /// PEM file with the certificate chain of the process; it must be valid for the VM's name.
    pub certificate_file: path::PathBuf,
    /// PEM file with the private key of the certificate.
    pub key_file: path::PathBuf,
}

/// Addresses of another entry VM.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct PeerSettings {
    /// Name of the VM.
    pub name: String,
    /// Name of its failure domain.
    pub domain: String,
    /// UDP address of its gateway for peers.
    pub gateway: net::SocketAddr,
    /// UDP address of its scheduler for peers.
    pub scheduler: net::SocketAddr,
}

/// Operator who may sign off bundles and sign rollouts.
#[derive(Clone, Debug)]
#[derive(Deserialize, Serialize)]
pub struct OperatorSettings {
    /// Name of the operator; unique.
    pub name: String,
    /// Ed25519 public key, in hexadecimal, as printed by `keygen`.
    pub public_key: String,
}

/// Destination of metrics.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct MetricSettings {
    /// UDP address of a statsd receiver; without one, metrics are discarded.
    pub statsd: Option<net::SocketAddr>,
}

/// Log filter.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize, Serialize)]
pub struct LogSettings {
    /// Lowest level that is logged.
    #[serde(default)]
    pub level: LogLevel,
}

/// Severity of log events, the highest first.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that an operator must correct.
    Error,
    /// Faults from which the process recovers.
    Warning,
    /// Changes of state, such as acquired shards and ended tasks.
    #[default]
    Info,
    /// Single steps, such as each request.
    Debug,
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> Self {
        match level {
            LogLevel::Error => Self::Error,
            LogLevel::Warning => Self::Warning,
            LogLevel::Info => Self::Info,
            LogLevel::Debug => Self::Debug,
        }
    }
}

const fn default_signatures_required() -> u32 {
    1
}

const fn default_platform_timeout_ms() -> u64 {
    1_000
}

impl Settings {
    /// Loads and validates a settings file.
    ///
    /// # Errors
    ///
    /// If the file can't be read, is not JSON of the expected structure, has unknown keys, or has
    /// invalid or conflicting values. The error lists the paths of all unknown keys.
    pub fn load(path: &path::Path) -> Result<Self, ConfigError> {
        let text = fs::read_to_string(path).map_err(|source| ConfigError::Read {
            path: path.to_owned(),
            source,
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// As [`Settings::load`], except for errors of reading the file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut unknown_keys = Vec::new();
        let json = &mut serde_json::Deserializer::from_str(text);
        let mut track = serde_path_to_error::Track::new();
        let tracked = serde_path_to_error::Deserializer::new(json, &mut track);
        let parsed: Result<Self, _> =
            serde_ignored::deserialize(tracked, |path| unknown_keys.push(path.to_string()));
        let settings = parsed.map_err(|source| ConfigError::Parse {
            path: track.path().to_string(),
            source,
        })?;
        if !unknown_keys.is_empty() {
            return Err(ConfigError::UnknownKeys(unknown_keys));
        }
        check::check(&settings)?;
        Ok(settings)
    }
}
