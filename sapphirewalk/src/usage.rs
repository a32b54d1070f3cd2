//! Resource usage of the process: processor time, memory and control traffic.

use std::fs;

use rustix::time::ClockId;
use serde::Serialize;

use crate::traffic::TrafficCount;

/// File with the memory usage of the process.
const STATUS_FILE: &str = "/proc/self/status";
/// Name of the field with the resident memory, in KiB.
const RESIDENT_FIELD: &str = "VmRSS:";
const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Resource usage since the start, for the state dump.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
pub struct ProcessUsage {
    /// Processor time of all threads, in microseconds.
    pub cpu_us: u64,
    /// Current resident memory, in KiB; zero if it can't be read.
    pub resident_kib: u64,
    /// HTTP calls to the platform. Bytes are those of paths and bodies.
    pub platform: TrafficCount,
    /// Calls to peers and replies to theirs. Bytes are those of frames.
    pub peers: TrafficCount,
    /// Commands to workers (scheduler) or probes of endpoints (gateway). Bytes are those of paths
    /// and bodies.
    pub links: TrafficCount,
}

/// Reads the resource usage; the caller passes the traffic counts.
pub fn read(platform: TrafficCount, peers: TrafficCount, links: TrafficCount) -> ProcessUsage {
    let time = rustix::time::clock_gettime(ClockId::ProcessCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    ProcessUsage {
        cpu_us: seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO,
        resident_kib: resident_kib().unwrap_or(0),
        platform,
        peers,
        links,
    }
}

fn resident_kib() -> Option<u64> {
    let status = fs::read_to_string(STATUS_FILE).ok()?;
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix(RESIDENT_FIELD))?;
    line.split_whitespace().next()?.parse().ok()
}
