//! Commands to workers over HTTP.

use std::fmt;
use std::net;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use serde::de::DeserializeOwned;

use sapphirewalk_wire::worker::CommandReply;
use sapphirewalk_wire::worker::RENEW_PATH;
use sapphirewalk_wire::worker::RenewCommand;
use sapphirewalk_wire::worker::START_PATH;
use sapphirewalk_wire::worker::StartCommand;
use sapphirewalk_wire::worker::TASK_PATH;
use sapphirewalk_wire::worker::TaskCommand;
use sapphirewalk_wire::worker::WorkerReport;

use crate::traffic::TrafficCounter;

/// Why a command to a worker has no usable answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CommandError {
    /// No connection could be established, so the command had no effect.
    Unreachable(String),
    /// The answer was lost or malformed; the command may have taken effect.
    AnswerLost(String),
}

/// HTTP client for all workers, with pooled connections. Cheap to clone.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: time::Duration,
    traffic: Arc<TrafficCounter>,
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => {
                write!(
                    formatter,
                    "the worker is unreachable: {cause}; check that it runs"
                )
            }
            Self::AnswerLost(cause) => {
                write!(
                    formatter,
                    "the worker's answer was lost: {cause}; see its next report for the effect"
                )
            }
        }
    }
}

impl WorkerClient {
    /// Builds a client whose connections and whole calls each end after `timeout`. The bytes sent
    /// and received are counted in `traffic`.
    pub fn new(timeout: time::Duration, traffic: Arc<TrafficCounter>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(timeout));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self {
            client,
            timeout,
            traffic,
        }
    }

    /// Starts an attempt on a worker.
    ///
    /// # Errors
    ///
    /// If there is no usable answer within the timeout.
    pub async fn start(
        &self,
        address: net::SocketAddr,
        command: &StartCommand,
    ) -> Result<CommandReply, CommandError> {
        self.post(address, START_PATH, command).await
    }

    /// Renews a worker's lease and queries its attempts.
    ///
    /// # Errors
    ///
    /// If there is no usable answer within the timeout.
    pub async fn renew(
        &self,
        address: net::SocketAddr,
        command: &RenewCommand,
    ) -> Result<WorkerReport, CommandError> {
        self.post(address, RENEW_PATH, command).await
    }

    /// Stops, evicts or throttles a running attempt.
    ///
    /// # Errors
    ///
    /// If there is no usable answer within the timeout.
    pub async fn command(
        &self,
        address: net::SocketAddr,
        command: &TaskCommand,
    ) -> Result<CommandReply, CommandError> {
        self.post(address, TASK_PATH, command).await
    }

    async fn post<Q: Serialize, A: DeserializeOwned>(
        &self,
        address: net::SocketAddr,
        path: &str,
        command: &Q,
    ) -> Result<A, CommandError> {
        let body = serde_json::to_vec(command).map_err(|error| unreachable(&error))?;
        self.traffic.sent(path.len() + body.len());
        let request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{address}{path}"))
            .body(Full::new(body.into()))
            .map_err(|error| unreachable(&error))?;
        match tokio::time::timeout(self.timeout, self.exchange(request)).await {
            Ok(answer) => answer,
            Err(_) => Err(CommandError::AnswerLost("timeout".to_owned())),
        }
    }

    async fn exchange<A: DeserializeOwned>(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<A, CommandError> {
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                unreachable(&error)
            } else {
                answer_lost(&error)
            }
        })?;
        let collected = response.into_body().collect().await;
        let body = collected.map_err(|error| answer_lost(&error))?.to_bytes();
        self.traffic.received(body.len());
        serde_json::from_slice(&body).map_err(|error| answer_lost(&error))
    }
}

fn unreachable(cause: &impl ToString) -> CommandError {
    CommandError::Unreachable(cause.to_string())
}

fn answer_lost(cause: &impl ToString) -> CommandError {
    CommandError::AnswerLost(cause.to_string())
}
