//! An HTTP/1.1 client for tests that opens a connection for each request.

use std::fmt;
use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Time limit of a call, from the connection to the end of the body.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// A complete answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status, which may be that of an error.
    pub status: StatusCode,
    /// All headers; a name may occur more than once.
    pub headers: HeaderMap,
    /// The body, empty if there is none.
    pub body: Bytes,
}

/// Why a call gave no complete or usable answer.
#[derive(Debug)]
pub enum CallError {
    /// The connection failed; nothing was sent.
    Unreachable(std::io::Error),
    /// The request could not be built; nothing was sent.
    Malformed(hyper::http::Error),
    /// The connection broke before the answer was complete; the request may have run.
    Broken(hyper::Error),
    /// No complete answer came in time; the request may have run.
    TimedOut,
    /// A body is not the expected JSON, or a value could not be written as JSON.
    Unreadable(serde_json::Error),
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(error) => {
                write!(
                    formatter,
                    "the server is unreachable: {error}; check that it runs"
                )
            }
            Self::Malformed(error) => {
                write!(formatter, "the request is malformed: {error}; correct it")
            }
            Self::Broken(error) => {
                write!(
                    formatter,
                    "the answer was lost: {error}; look up the outcome"
                )
            }
            Self::TimedOut => write!(formatter, "no answer in time; look up the outcome"),
            Self::Unreadable(error) => {
                write!(formatter, "a body is malformed: {error}; check the path")
            }
        }
    }
}

impl std::error::Error for CallError {}

impl HttpAnswer {
    /// The text of a header; empty when it is absent or not ASCII.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// The body as text; invalid UTF-8 is replaced.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    ///
    /// When the body is not JSON of this type.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, CallError> {
        serde_json::from_slice(&self.body).map_err(CallError::Unreadable)
    }
}

/// Sends `request` over a new connection to `address` and reads the complete answer.
///
/// # Errors
///
/// When the connection fails or breaks, or no complete answer comes within 30 seconds.
pub async fn send(
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<HttpAnswer, CallError> {
    match tokio::time::timeout(CALL_TIMEOUT, exchange(address, request)).await {
        Ok(answer) => answer,
        Err(_) => Err(CallError::TimedOut),
    }
}

/// Sends a request with these headers and body, and a `host` header.
///
/// # Errors
///
/// As [`send`].
pub async fn call(
    address: net::SocketAddr,
    method: Method,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Result<HttpAnswer, CallError> {
    let mut builder = Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, address.to_string());
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .body(Full::new(body))
        .map_err(CallError::Malformed)?;
    send(address, request).await
}

/// Sends a GET request for `path` without extra headers.
///
/// # Errors
///
/// As [`send`].
pub async fn get(address: net::SocketAddr, path: &str) -> Result<HttpAnswer, CallError> {
    call(address, Method::GET, path, &[], Bytes::new()).await
}

/// Sends a POST request with `value` as a JSON body.
///
/// # Errors
///
/// As [`send`].
pub async fn post_json<T: Serialize>(
    address: net::SocketAddr,
    path: &str,
    value: &T,
) -> Result<HttpAnswer, CallError> {
    let body = serde_json::to_vec(value).map_err(CallError::Unreadable)?;
    call(address, Method::POST, path, &[], body.into()).await
}

async fn exchange(
    address: net::SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<HttpAnswer, CallError> {
    let stream = tokio::net::TcpStream::connect(address)
        .await
        .map_err(CallError::Unreachable)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(CallError::Broken)?;
    let connection_task = tokio::spawn(connection);
    let answer = match sender.send_request(request).await {
        Ok(response) => read_answer(response).await,
        Err(error) => Err(CallError::Broken(error)),
    };
    connection_task.abort();
    answer
}

async fn read_answer(response: Response<Incoming>) -> Result<HttpAnswer, CallError> {
    let (parts, body) = response.into_parts();
    let collected = body.collect().await.map_err(CallError::Broken)?;
    Ok(HttpAnswer {
        status: parts.status,
        headers: parts.headers,
        body: collected.to_bytes(),
    })
}
