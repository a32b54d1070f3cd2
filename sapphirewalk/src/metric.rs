//! Metrics, sent over UDP in the statsd format.

use std::net;

use cadence::BufferedUdpMetricSink;
use cadence::NopMetricSink;
use cadence::QueuingMetricSink;
use cadence::StatsdClient;

/// Prefix of all metric names.
const METRIC_PREFIX: &str = "sapphirewalk";
/// Maximum number of metrics that wait for the sender. Further ones are dropped.
const QUEUE_METRICS: usize = 4_096;

/// Metrics client that sends to a statsd receiver; without an address it discards all metrics.
///
/// # Errors
///
/// If no local UDP socket can be bound.
pub fn build(statsd: Option<net::SocketAddr>) -> Result<StatsdClient, std::io::Error> {
    let Some(address) = statsd else {
        return Ok(StatsdClient::from_sink(METRIC_PREFIX, NopMetricSink));
    };
    let socket = net::UdpSocket::bind((net::Ipv4Addr::UNSPECIFIED, 0))?;
    socket.set_nonblocking(true)?;
    let sink = BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
    let queue = QueuingMetricSink::with_capacity(sink, QUEUE_METRICS);
    Ok(StatsdClient::from_sink(METRIC_PREFIX, queue))
}
