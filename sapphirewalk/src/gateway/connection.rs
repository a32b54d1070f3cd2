//! Opens connections to endpoints within the connection share, and pools idle ones.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::slot_share::ShareUnit;
use sapphirewalk_core::slot_share::TakeStep;

use crate::gateway::guard::UnitGuard;
use crate::gateway::state::Gateway;

/// An HTTP/1 connection to an endpoint; it carries one request at a time.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Endpoint that the connection leads to.
    pub endpoint: EndpointKey,
    /// Sends a request and receives its answer.
    pub sender: http1::SendRequest<Full<Bytes>>,
}

/// Idle connections, sorted by endpoint.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<Vec<EndpointConnection>>,
}

impl ConnectionPool {
    /// Removes an idle connection to an endpoint from the pool; `None` if it has no usable one.
    pub async fn take(&self, endpoint: EndpointKey) -> Option<EndpointConnection> {
        loop {
            let mut connection = self.pop(endpoint)?;
            if connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// Adds a connection whose last answer was read completely. A closed one is dropped.
    pub fn put(&self, connection: EndpointConnection) {
        if connection.sender.is_closed() {
            return;
        }
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let insert_at = idle.partition_point(|other| other.endpoint <= connection.endpoint);
        idle.insert(insert_at, connection);
    }

    /// Closes the idle connections to endpoints for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(EndpointKey) -> bool) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.retain(|connection| keep(connection.endpoint) && !connection.sender.is_closed());
    }

    fn pop(&self, endpoint: EndpointKey) -> Option<EndpointConnection> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let after = idle.partition_point(|connection| connection.endpoint <= endpoint);
        let last = after.checked_sub(1)?;
        (idle[last].endpoint == endpoint).then(|| idle.remove(last))
    }
}

/// Result of acquiring a connection. No byte of a request has been sent yet.
#[derive(Debug)]
pub enum ConnectResult {
    /// A pooled or new connection.
    Open(EndpointConnection),
    /// All connections of the share are in use.
    ShareFull,
    /// The endpoint can't be reached. It gets no requests until a probe connects to it.
    Unreachable,
}

/// Returns an idle connection to an endpoint, or opens one within the connection share.
pub async fn acquire(gateway: &Arc<Gateway>, endpoint: EndpointKey) -> ConnectResult {
    if let Some(connection) = gateway.pool.take(endpoint).await {
        return ConnectResult::Open(connection);
    }
    let step = connect(gateway, endpoint).await;
    match step {
        ConnectResult::Open(_) => gateway.table().set_reachable(endpoint, true),
        ConnectResult::Unreachable => gateway.table().set_reachable(endpoint, false),
        ConnectResult::ShareFull => {}
    }
    step
}

async fn connect(gateway: &Arc<Gateway>, endpoint: EndpointKey) -> ConnectResult {
    let (unit, address) = {
        let now = gateway.now();
        let mut table = gateway.table();
        let TakeStep::Taken(unit) = table.slots.take(endpoint, ShareUnit::Connection, now) else {
            return ConnectResult::ShareFull;
        };
        let entry = table.entry(endpoint);
        let guard = UnitGuard::new(Arc::clone(gateway), unit, entry.service.clone());
        (guard, entry.address)
    };
    let limit = time::Duration::from_millis(gateway.process.settings.gateway.connect_timeout_ms);
    let connecting = tokio::time::timeout(limit, TcpStream::connect(address)).await;
    let Ok(Ok(stream)) = connecting else {
        return ConnectResult::Unreachable;
    };
    // Nagle's algorithm would delay small requests until the endpoint's delayed acknowledgement.
    let _ = stream.set_nodelay(true);
    let Ok((sender, connection)) = http1::handshake(TokioIo::new(stream)).await else {
        return ConnectResult::Unreachable;
    };
    tokio::spawn(async move {
        // An error is also returned to the request that is waiting for its response.
        let _ = connection.await;
        drop(unit);
    });
    ConnectResult::Open(EndpointConnection { endpoint, sender })
}
