//! Divides the memory and the descriptors of a process.

use rustix::process;
use sapphirewalk_core::connection_budget::BudgetLimits;
use sapphirewalk_core::time::TimeSpan;
use serde::Deserialize;
use serde::Serialize;

const MEBIBYTE: usize = 1 << 20;
/// Length of a request's head where nothing else is configured, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16_384;
/// Shortest and longest head that can be configured, in bytes.
const HEAD_BYTES_RANGE: (usize, usize) = (8_192, 65_536);
/// Time for a request's head where nothing else is configured.
const DEFAULT_HEAD_TIMEOUT: TimeSpan = TimeSpan::from_millis(10_000);
/// Time for a request's body, in addition to what it takes at [`MIN_BODY_RATE`].
const BODY_TIMEOUT: TimeSpan = TimeSpan::from_millis(20_000);
/// Time without progress after which a caller doesn't read its answer any more.
const ANSWER_TIMEOUT: TimeSpan = TimeSpan::from_millis(30_000);
/// Slowest rate at which callers send bodies, in bytes per second.
const MIN_BODY_RATE: u64 = 4_096;
/// Rate at which callers usually send bodies, in bytes per second.
const USUAL_BODY_RATE: u64 = 262_144;
/// Memory of a connection besides its read buffer, in bytes: its task, its write buffer and the
/// decoded head of a request.
const CONNECTION_BYTES: usize = 8_192;
/// Part of the memory of the VM that callers may use.
const CALLER_MEMORY_DIVISOR: usize = 4;
/// Part of the descriptors that callers may use. The others are for the store, workers, endpoints
/// and peers.
const CALLER_DESCRIPTOR_DIVISOR: usize = 4;
/// Most connections to an address that only answers with short texts.
const TEXT_CONNECTIONS: usize = 32;
/// Default memory of a VM, that of the smallest kind of entry VM, in MiB.
const DEFAULT_MEMORY_MB: usize = 160;
/// Default limit of open descriptors, that of the smallest kind of entry VM.
const DEFAULT_DESCRIPTORS: usize = 4_100;
/// Smallest memory with which a process starts, in MiB.
const MIN_MEMORY_MB: usize = 32;
/// Lowest limit of open descriptors with which a process starts.
const MIN_DESCRIPTORS: usize = 128;

/// What a process may use, as in the settings file. Missing fields take the defaults.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ResourceSettings {
    /// Memory of the process, in MiB, at least 32.
    pub memory_mb: usize,
    /// Limit of open descriptors, at least 128. A lower limit of the operating system replaces it.
    pub descriptors: usize,
}

impl Default for ResourceSettings {
    fn default() -> Self {
        Self {
            memory_mb: DEFAULT_MEMORY_MB,
            descriptors: DEFAULT_DESCRIPTORS,
        }
    }
}

impl ResourceSettings {
    /// The name of a field that is out of range, and the remedy; none if there is no such field.
    pub const fn find_fault(&self) -> Option<(&'static str, &'static str)> {
        if self.memory_mb < MIN_MEMORY_MB {
            return Some((
                "limits.memory_mb",
                "is below 32; raise it, since the process itself needs that much",
            ));
        }
        if self.descriptors < MIN_DESCRIPTORS {
            return Some((
                "limits.descriptors",
                "is below 128; raise it, since the process itself needs that many",
            ));
        }
        None
    }
}

/// What a process may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ProcessResources {
    memory_bytes: usize,
    descriptors: usize,
}

impl ProcessResources {
    /// The resources of this process: those of the settings, but no more descriptors than the
    /// operating system allows.
    pub fn of_process(settings: ResourceSettings) -> Self {
        let allowed = process::getrlimit(process::Resource::Nofile).current;
        let allowed = allowed.map_or(usize::MAX, |limit| {
            usize::try_from(limit).unwrap_or(usize::MAX)
        });
        Self {
            memory_bytes: settings.memory_mb.saturating_mul(MEBIBYTE),
            descriptors: settings.descriptors.min(allowed),
        }
    }
}

/// Limits of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServerLimits {
    resources: ProcessResources,
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    head_timeout: TimeSpan,
    /// The server only answers with short texts and reads no bodies.
    is_text: bool,
}

impl ServerLimits {
    /// Limits of a server for requests with bodies.
    pub const fn for_requests(resources: ProcessResources) -> Self {
        Self {
            resources,
            head_bytes: DEFAULT_HEAD_BYTES,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            is_text: false,
        }
    }

    /// Limits of a server that only answers with short texts.
    pub const fn for_texts(resources: ProcessResources) -> Self {
        Self {
            is_text: true,
            ..Self::for_requests(resources)
        }
    }

    /// The same limits with this length of a head, in bytes, and this time for it, or the defaults.
    /// The length is brought into the range that the server supports.
    pub fn with_head(self, head_bytes: Option<usize>, head_timeout: Option<TimeSpan>) -> Self {
        let (shortest, longest) = HEAD_BYTES_RANGE;
        let head_bytes = head_bytes.unwrap_or(DEFAULT_HEAD_BYTES);
        Self {
            head_bytes: head_bytes.clamp(shortest, longest),
            head_timeout: head_timeout.unwrap_or(DEFAULT_HEAD_TIMEOUT),
            ..self
        }
    }

    /// Limits of the connections and bodies of the server.
    pub const fn budget(&self) -> BudgetLimits {
        // One half of the callers' memory is for connections, the other one for bodies.
        let half = self.resources.memory_bytes / CALLER_MEMORY_DIVISOR / 2;
        let by_memory = half / (2 * self.head_bytes + CONNECTION_BYTES);
        let by_descriptors = self.resources.descriptors / CALLER_DESCRIPTOR_DIVISOR;
        let connections = if by_memory < by_descriptors {
            by_memory
        } else {
            by_descriptors
        };
        BudgetLimits {
            connections: if self.is_text && connections > TEXT_CONNECTIONS {
                TEXT_CONNECTIONS
            } else {
                connections
            },
            body_bytes: if self.is_text { 0 } else { half },
            head_timeout: self.head_timeout,
            body_timeout: BODY_TIMEOUT,
            answer_timeout: ANSWER_TIMEOUT,
            min_rate: MIN_BODY_RATE,
            usual_rate: USUAL_BODY_RATE,
        }
    }
}
