//! Address, reachability and latency of one incarnation of an endpoint.

use std::net;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

/// Weight of a new sample in the exponential moving average of an endpoint's latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Assumed latency of an endpoint that has not answered yet.
const INITIAL_ENDPOINT_LATENCY: TimeSpan = TimeSpan::from_millis(1);

/// One incarnation of an endpoint. Each incarnation of a VM has an entry of its own.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// Name of the endpoint's VM.
    pub name: String,
    /// Incarnation of the VM; a later one has a higher number.
    pub incarnation: u64,
    /// Address for requests and health probes.
    pub address: net::SocketAddr,
    /// Name of the service that the endpoint runs.
    pub service: String,
    /// Whether the platform's VM list shows the incarnation as live.
    pub is_listed: bool,
    /// Whether the last connection could be opened; true before the first one.
    pub is_reachable: bool,
    /// Exponential moving average of the time from sending a request to its answer.
    pub latency: TimeSpan,
    /// Time of the last successful answer; the epoch before the first one.
    pub answered_at: TimePoint,
}

impl EndpointEntry {
    /// Creates the entry of an endpoint that is not listed yet and has not answered.
    pub const fn new(
        name: String,
        incarnation: u64,
        address: net::SocketAddr,
        service: String,
    ) -> Self {
        Self {
            name,
            incarnation,
            address,
            service,
            is_listed: false,
            is_reachable: true,
            latency: INITIAL_ENDPOINT_LATENCY,
            answered_at: TimePoint::EPOCH,
        }
    }

    /// Whether it is listed, can be reached and runs `service`.
    pub fn may_serve(&self, service: &str) -> bool {
        self.is_listed && self.is_reachable && self.service == service
    }

    /// Updates the average latency and the time of the last answer.
    pub fn record_answer(&mut self, latency: TimeSpan, now: TimePoint) {
        let previous = self.latency.scale(1.0 - LATENCY_WEIGHT);
        self.latency = previous + latency.scale(LATENCY_WEIGHT);
        self.answered_at = now;
    }
}
