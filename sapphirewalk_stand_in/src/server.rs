//! HTTP/1.1 servers on loopback that can close a connection without an answer.

use std::future;
use std::io;
use std::net;
use std::sync;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::task;

use crate::clock;
use crate::counter::LevelGauge;

/// The body of an answer; an error in it breaks the connection.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// What a handler does with a request.
#[derive(Debug)]
pub enum HandlerAction {
    /// Sends the answer.
    Answer(Response<AnswerBody>),
    /// Closes the connection without an answer.
    Close,
}

/// A server on a port of 127.0.0.1; stops and drops its connections when it is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: net::SocketAddr,
    connections: sync::Arc<sync::Mutex<LevelGauge>>,
    accept_task: task::JoinHandle<()>,
}

/// Counts a connection for as long as it is open.
struct ConnectionGuard {
    connections: sync::Arc<sync::Mutex<LevelGauge>>,
}

impl HttpServer {
    /// Serves `handler` at `address`, or at a port that the system chooses.
    ///
    /// # Errors
    ///
    /// When the address cannot be bound.
    pub async fn start<H, F>(address: Option<net::SocketAddr>, handler: H) -> io::Result<Self>
    where
        H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
        F: future::Future<Output = HandlerAction> + Send + 'static,
    {
        let address = address.unwrap_or_else(loopback_any_port);
        let listener = tokio::net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = sync::Arc::new(sync::Mutex::new(LevelGauge::default()));
        let accept_task = tokio::spawn(accept(listener, connections.clone(), handler));
        Ok(Self {
            address,
            connections,
            accept_task,
        })
    }

    /// Where the server listens.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Connections open now and the most ever open at once.
    pub fn connections(&self) -> LevelGauge {
        *clock::lock(&self.connections)
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // The connections end with the set that the accepting task owns.
        self.accept_task.abort();
    }
}

impl ConnectionGuard {
    fn new(connections: sync::Arc<sync::Mutex<LevelGauge>>) -> Self {
        clock::lock(&connections).increment();
        Self { connections }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        clock::lock(&self.connections).decrement();
    }
}

async fn accept<H, F>(
    listener: tokio::net::TcpListener,
    connections: sync::Arc<sync::Mutex<LevelGauge>>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = HandlerAction> + Send + 'static,
{
    let mut connection_set = task::JoinSet::new();
    loop {
        // Out of file descriptors, for one: the next call waits for the caller to close some.
        let Ok((stream, _)) = listener.accept().await else {
            task::yield_now().await;
            continue;
        };
        // Without this, small answers wait for the peer's delayed acknowledgement.
        let _ = stream.set_nodelay(true);
        let guard = ConnectionGuard::new(connections.clone());
        connection_set.spawn(serve(stream, guard, handler.clone()));
        while connection_set.try_join_next().is_some() {}
    }
}

async fn serve<H, F>(stream: tokio::net::TcpStream, guard: ConnectionGuard, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: future::Future<Output = HandlerAction> + Send + 'static,
{
    let service = service::service_fn(move |request| {
        let action = handler(request);
        async move {
            match action.await {
                HandlerAction::Answer(answer) => Ok(answer),
                HandlerAction::Close => Err(io::Error::from(io::ErrorKind::ConnectionAborted)),
            }
        }
    });
    // A broken connection is the caller's to notice.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    drop(guard);
}

/// 127.0.0.1 with a port that the system chooses.
pub const fn loopback_any_port() -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0)
}

/// An answer with these bytes.
pub fn bytes_answer(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// An answer without a body.
pub fn empty_answer(status: StatusCode) -> Response<AnswerBody> {
    bytes_answer(status, Bytes::new())
}

/// An answer with `value` as JSON.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    let Ok(text) = serde_json::to_vec(value) else {
        return empty_answer(StatusCode::INTERNAL_SERVER_ERROR);
    };
    let mut answer = bytes_answer(status, text);
    answer.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static("application/json"),
    );
    answer
}

/// Reads a body whole; `None` when the connection broke.
pub async fn read_bytes(body: Incoming) -> Option<Bytes> {
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Reads a JSON body; `None` when the connection broke or the text does not parse.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes).ok()
}
