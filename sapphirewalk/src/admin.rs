//! HTTP server of the admin address: liveness, readiness and the state dump.

use std::future;
use std::io;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use crate::caller_server::CallerServer;
use crate::caller_server::ServerLimits;
use crate::process::DaemonProcess;
use crate::state;

/// Liveness: status 200 while the process runs.
pub const LIVE_PATH: &str = "/live";
/// Readiness: status 200 while the process accepts new work, otherwise 503.
pub const READY_PATH: &str = "/ready";
/// State dump in JSON.
pub const STATE_PATH: &str = "/state";

/// Delay after a failed `accept` call.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Binds the admin address and serves it in a background task until the process ends.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn serve(process: &Arc<DaemonProcess>, limits: ServerLimits) -> io::Result<()> {
    let listener = TcpListener::bind(process.settings.listen.admin).await?;
    let server = CallerServer::new("admin", limits, process.clock, process.logger.clone());
    tokio::spawn(accept_all(Arc::clone(process), server, listener));
    Ok(())
}

async fn accept_all(process: Arc<DaemonProcess>, server: Arc<CallerServer>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            // For example, no file descriptor is free.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(connection) = server.admit().await else {
            continue;
        };
        let process = Arc::clone(&process);
        tokio::spawn(async move {
            let answer = |request: Request<Incoming>, _connection| {
                future::ready(respond(&process, &request))
            };
            connection.serve(stream, answer, future::pending()).await;
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
