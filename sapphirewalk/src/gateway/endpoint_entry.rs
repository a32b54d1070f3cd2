//! One incarnation of an endpoint, as the gateway knows it.

use std::net;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

/// Weight of a new sample in an endpoint's average latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// The latency of an endpoint that has not answered yet.
const INITIAL_LATENCY: TimeSpan = TimeSpan::from_millis(1);

/// One incarnation of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointEntry {
    /// The VM's name.
    pub name: String,
    /// The VM's incarnation.
    pub incarnation: u64,
    /// Where it serves.
    pub address: net::SocketAddr,
    /// The service that it runs.
    pub service: String,
    /// Whether the VM list names it as live.
    pub is_listed: bool,
    /// Whether the last connection to it could be opened.
    pub is_reachable: bool,
    /// Average latency of its answers.
    pub latency: TimeSpan,
    /// When it last answered.
    pub answered_at: TimePoint,
}

impl EndpointEntry {
    /// An endpoint that has not answered yet.
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
            latency: INITIAL_LATENCY,
            answered_at: TimePoint::EPOCH,
        }
    }

    /// Whether it is listed, runs the service and can be reached.
    pub fn may_serve(&self, service: &str) -> bool {
        self.is_listed && self.is_reachable && self.service == service
    }

    /// Notes an answer.
    pub fn record_answer(&mut self, latency: TimeSpan, now: TimePoint) {
        let previous = self.latency.scale(1.0 - LATENCY_WEIGHT);
        self.latency = previous + latency.scale(LATENCY_WEIGHT);
        self.answered_at = now;
    }
}
