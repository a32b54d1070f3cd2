//! Resource use of a daemon, from its state dumps.

use std::time;

use serde::Deserialize;

use crate::fleet::DaemonKey;
use crate::fleet::Fleet;
use crate::slopes::error::SlopeError;

/// Calls and bytes since the start of the daemon.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Deserialize)]
struct TrafficCount {
    calls: u64,
    bytes_sent: u64,
    bytes_received: u64,
}

/// The usage section of a state dump; counters run from the start of the daemon.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct DaemonUsage {
    cpu_us: u64,
    resident_kib: u64,
    platform: TrafficCount,
    peers: TrafficCount,
    #[serde(default)]
    links: TrafficCount,
}

#[derive(Clone, Copy, Debug)]
#[derive(Deserialize)]
struct DaemonState {
    usage: Option<DaemonUsage>,
}

/// The usage of a daemon at a point in time.
#[derive(Clone, Copy, Debug)]
pub struct UsageSample {
    at: time::Instant,
    usage: DaemonUsage,
}

/// The resource use of a daemon between two samples.
#[derive(Clone, Copy, Debug)]
pub struct UsageRate {
    /// Mean processor use, in thousandths of a core.
    pub cpu_permille: f64,
    /// Processor time used between the samples, in microseconds.
    pub cpu_us: f64,
    /// Resident memory at the later sample, in MiB.
    pub resident_mib: f64,
    /// Bytes per second to and from the platform.
    pub platform_bytes: f64,
    /// Calls per second to the platform.
    pub platform_calls: f64,
    /// Bytes per second to and from peers.
    pub peer_bytes: f64,
    /// Bytes per second to and from endpoints or workers; for endpoints, those of probes.
    pub link_bytes: f64,
}

/// Reads a sample from the state dump of a daemon.
///
/// # Errors
///
/// When the daemon gives no answer, or its state dump lacks the usage.
pub async fn read(fleet: &Fleet, key: DaemonKey) -> Result<UsageSample, SlopeError> {
    let state: DaemonState =
        serde_json::from_value(fleet.state(key).await?).map_err(|_| SlopeError::NoUsage)?;
    let usage = state.usage.ok_or(SlopeError::NoUsage)?;
    Ok(UsageSample {
        at: time::Instant::now(),
        usage,
    })
}

impl UsageSample {
    /// Resident memory of the daemon's process, in KiB.
    pub const fn resident_kib(&self) -> u64 {
        self.usage.resident_kib
    }

    /// The use between this sample and a later one of the same process.
    pub fn until(&self, later: &Self) -> UsageRate {
        let seconds = (later.at - self.at).as_secs_f64().max(f64::MIN_POSITIVE);
        let cpu_us = (later.usage.cpu_us - self.usage.cpu_us) as f64;
        let calls = (later.usage.platform.calls - self.usage.platform.calls) as f64;
        let bytes = |before: TrafficCount, after: TrafficCount| {
            let sent = after.bytes_sent - before.bytes_sent;
            let received = after.bytes_received - before.bytes_received;
            (sent + received) as f64 / seconds
        };
        UsageRate {
            cpu_permille: cpu_us / seconds / 1e3,
            cpu_us,
            resident_mib: later.usage.resident_kib as f64 / 1024.0,
            platform_bytes: bytes(self.usage.platform, later.usage.platform),
            platform_calls: calls / seconds,
            peer_bytes: bytes(self.usage.peers, later.usage.peers),
            link_bytes: bytes(self.usage.links, later.usage.links),
        }
    }
}
