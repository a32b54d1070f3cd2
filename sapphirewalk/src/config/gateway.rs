//! Settings of the gateway.

use serde::Deserialize;
use serde::Serialize;

/// Limits and times of the gateway. Missing fields take the defaults.
#[derive(Clone, Copy, Debug)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct GatewaySettings {
    /// Maximum size of the body of a request or answer, in bytes.
    pub body_bytes_max: usize,
    /// Time for which a gateway still accepts requests after readiness is withdrawn, until the
    /// balancer has noticed, in milliseconds.
    pub drain_notice_ms: u64,
    /// Maximum number of waiting requests of one kind.
    pub queue_requests_max: usize,
    /// Maximum difference between the clocks of two VMs, in milliseconds.
    pub clock_drift_ms: u64,
    /// Time after its deadline for which a request may still occupy a slot at an endpoint, in
    /// milliseconds.
    pub slot_margin_ms: u64,
    /// Timeout of opening a connection to an endpoint, in milliseconds.
    pub connect_timeout_ms: u64,
    /// Interval between health probes of an endpoint, in milliseconds. Endpoints that have
    /// answered within the interval are not probed.
    pub probe_interval_ms: u64,
}

impl Default for GatewaySettings {
    fn default() -> Self {
        Self {
            body_bytes_max: 1 << 20,
            drain_notice_ms: 2_000,
            queue_requests_max: 256,
            clock_drift_ms: 500,
            slot_margin_ms: 500,
            connect_timeout_ms: 500,
            probe_interval_ms: 1_000,
        }
    }
}
