//! One-shot HTTP calls of operator commands.

use std::net;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// The longest that a process is waited for.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// Reads a path; any HTTP status counts as an answer.
///
/// # Errors
///
/// When there is no whole answer in time.
pub async fn get(address: net::SocketAddr, path: &str) -> Result<Bytes, String> {
    let answer = call(address, Method::GET, path, Bytes::new()).await?;
    Ok(answer.body)
}

/// Calls a path; any HTTP status counts as an answer.
///
/// # Errors
///
/// When there is no whole answer in time.
pub async fn call(
    address: net::SocketAddr,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<HttpAnswer, String> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .body(Full::new(body))
        .map_err(|error| error.to_string())?;
    let exchange = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response
            .into_body()
            .collect()
            .await
            .map_err(|error| error.to_string())?
            .to_bytes();
        Ok(HttpAnswer { status, body })
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange)
        .await
        .map_err(|_| "timeout".to_owned())?
}
