//! Sends requests over persistent connections to the addresses under load.

use std::net;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use sapphirewalk_wire::endpoint as endpoint_wire;

use crate::endpoint;
use crate::fleet;

/// Kind of the requests, as the fleet's bundle names it.
const KIND: &str = "order";
/// Service time of each request at its endpoint, in milliseconds.
const SERVICE_MS: &str = "2";

/// Persistent connections to a list of addresses, which are called in turn.
#[derive(Debug)]
pub struct ConnectionPool {
    client: Client<HttpConnector, Full<Bytes>>,
    addresses: Vec<net::SocketAddr>,
}

impl ConnectionPool {
    /// Creates a pool without connections; calls open them as needed.
    pub fn new(addresses: Vec<net::SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Self {
            client: Client::builder(TokioExecutor::new()).build(connector),
            addresses,
        }
    }

    /// Sends request `number`, which also selects the address.
    ///
    /// Returns whether a complete answer with a status of success came.
    pub async fn call(&self, number: usize) -> bool {
        let address = self.addresses[number % self.addresses.len()];
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}/"))
            .header(endpoint_wire::KIND_HEADER, KIND)
            .header(endpoint_wire::USER_HEADER, fleet::USER_NAME)
            .header(endpoint_wire::TEAM_HEADER, "front")
            .header(endpoint_wire::REQUEST_ID_HEADER, format!("load-{number}"))
            .header(endpoint::SERVICE_MS_HEADER, SERVICE_MS)
            .body(Full::from("order"));
        let Ok(request) = request else {
            return false;
        };
        match self.client.request(request).await {
            Ok(response) => {
                response.status().is_success() && response.into_body().collect().await.is_ok()
            }
            Err(_) => false,
        }
    }
}
