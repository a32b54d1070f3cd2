//! HTTP server of the admin address: liveness, readiness and the state dump.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::caller_server;
use crate::process::DaemonProcess;
use crate::state;

/// Liveness: status 200 while the process runs.
pub const LIVE_PATH: &str = "/live";
/// Readiness: status 200 while the process accepts new work, otherwise 503.
pub const READY_PATH: &str = "/ready";
/// State dump in JSON.
pub const STATE_PATH: &str = "/state";

/// Binds the admin address and serves it in a background task until the process ends.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve(process: &Arc<DaemonProcess>) -> io::Result<()> {
    let listener = TcpListener::bind(process.settings.listen.admin).await?;
    tokio::spawn(accept_all(Arc::clone(process), listener));
    Ok(())
}

async fn accept_all(process: Arc<DaemonProcess>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let process = Arc::clone(&process);
        tokio::spawn(async move {
            let serve = service::service_fn(|request| {
                let response = respond(&process, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            // An error means that the caller closed or broke the connection.
            let _ = caller_server::connection_builder()
                .serve_connection(TokioIo::new(stream), serve)
                .await;
        });
    }
}

fn respond(process: &DaemonProcess, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        LIVE_PATH => text(StatusCode::OK, "live"),
        READY_PATH if process.is_ready() => text(StatusCode::OK, "ready"),
        READY_PATH => text(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        STATE_PATH => match serde_json::to_vec_pretty(&state::dump(process)) {
            Ok(body) => respond_with(StatusCode::OK, body.into()),
            Err(_) => text(StatusCode::INTERNAL_SERVER_ERROR, "state not serialisable"),
        },
        _ => text(StatusCode::NOT_FOUND, "use /live, /ready or /state"),
    }
}

fn text(status: StatusCode, body: &'static str) -> Response<Full<Bytes>> {
    respond_with(status, Bytes::from_static(body.as_bytes()))
}

fn respond_with(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
