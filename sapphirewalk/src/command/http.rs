//! HTTP client of operator commands. Each call uses a connection of its own.

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

/// Timeout of a call, including connecting and reading the whole answer.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Answer whose body was read to the end.
#[derive(Clone, Debug)]
pub struct HttpAnswer {
    /// HTTP status, which may be an error.
    pub status: StatusCode,
    /// Whole body of the answer.
    pub body: Bytes,
}

/// Sends a GET request and returns the body of the answer, whatever its status.
///
/// # Errors
///
/// If no whole answer arrives in time.
pub async fn get(address: net::SocketAddr, path: &str) -> Result<Bytes, String> {
    let answer = call(address, Method::GET, path, Bytes::new()).await?;
    Ok(answer.body)
}

/// Sends a request and returns the answer, whatever its status.
///
/// # Errors
///
/// If no whole answer arrives in time.
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
