//! HTTP/1.1 servers on loopback; a handler may close a connection without an answer.

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

/// The body of an answer; an error in its stream closes the connection before its end.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;

/// A handler's reaction to a request.
#[derive(Debug)]
pub enum HandlerAction {
    /// Send the answer.
    Answer(Response<AnswerBody>),
    /// Close the connection without an answer.
    Close,
}

/// A running server on loopback. Dropping it stops it and closes its connections.
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
    /// Starts a server at `address`; `None` stands for a free port of 127.0.0.1.
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

    /// The bound address, with the port that the system chose if none was given.
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Connections that are open now, and their peak since the start.
    pub fn connections(&self) -> LevelGauge {
        *clock::lock(&self.connections)
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        // The accept task owns the connections' tasks, so that these are aborted with it.
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
        // Accepting fails without a free file descriptor, until clients close connections.
        let Ok((stream, _)) = listener.accept().await else {
            task::yield_now().await;
            continue;
        };
        // With Nagle's algorithm, small answers wait for the peer's delayed acknowledgement.
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
    // The client also gets an error when the connection breaks, so that none is reported here.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
    drop(guard);
}

/// 127.0.0.1 with port 0, for which the system chooses a free port when binding.
pub const fn loopback_any_port() -> net::SocketAddr {
    net::SocketAddr::new(net::IpAddr::V4(net::Ipv4Addr::LOCALHOST), 0)
}

/// Creates an answer with these bytes as its body and no content type.
pub fn bytes_answer(status: StatusCode, body: impl Into<Bytes>) -> Response<AnswerBody> {
    let body = Full::new(body.into()).map_err(|never| match never {});
    let mut answer = Response::new(body.boxed_unsync());
    *answer.status_mut() = status;
    answer
}

/// Creates an answer without a body.
pub fn empty_answer(status: StatusCode) -> Response<AnswerBody> {
    bytes_answer(status, Bytes::new())
}

/// Creates an answer with `value` as JSON; status 500 if it can't be written as JSON.
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

/// Reads a complete body; `None` when the connection broke.
pub async fn read_bytes(body: Incoming) -> Option<Bytes> {
    let collected = body.collect().await.ok()?;
    Some(collected.to_bytes())
}

/// Reads a JSON body; `None` when the connection broke or the body is not JSON of this type.
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Option<T> {
    let bytes = read_bytes(body).await?;
    serde_json::from_slice(&bytes).ok()
}
