//! The HTTP server for callers: connections, routes and shutdown.

use std::convert::Infallible;
use std::io;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::service;
use hyper_util::rt::TokioIo;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;

use sapphirewalk_wire::task::TASKS_PATH;

use crate::caller_server;
use crate::process::DaemonProcess;
use crate::scheduler::api::answer;
use crate::scheduler::api::answer::ApiError;
use crate::scheduler::api::cancel;
use crate::scheduler::api::show;
use crate::scheduler::api::submit;
use crate::scheduler::context::SchedulerContext;

/// The largest body of a call in bytes.
const BODY_BYTES_MAX: usize = 1 << 20;

/// The longest that a shutdown waits for calls in flight.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(10);

/// The operation that a call requests; a task is given by its ID.
#[derive(Clone, Debug, Eq, PartialEq)]
enum CallRoute {
    Submit,
    Show(String),
    Cancel(String),
}

/// Binds the address `listen.request` of the settings.
///
/// # Errors
///
/// If the address can't be bound, for example because another process has it.
pub async fn bind(process: &DaemonProcess) -> io::Result<TcpListener> {
    TcpListener::bind(process.settings.listen.request).await
}

/// Serves callers until a shutdown begins, then waits up to [`DRAIN_TIMEOUT`] for the calls in
/// flight.
pub async fn serve(context: Arc<SchedulerContext>, listener: TcpListener) {
    let shutdown = context.process.shutdown.clone();
    let graceful = GracefulShutdown::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.begun() => break,
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        let context = Arc::clone(&context);
        let serve = service::service_fn(move |request| {
            let context = Arc::clone(&context);
            async move { Ok::<_, Infallible>(respond(&context, request).await) }
        });
        let connection =
            caller_server::connection_builder().serve_connection(TokioIo::new(stream), serve);
        let watched = graceful.watch(connection);
        tokio::spawn(async move {
            // An error means that the caller's connection broke.
            let _ = watched.await;
        });
    }
    drop(listener);
    // The timeout bounds the wait for callers that never complete their requests.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, graceful.shutdown()).await;
}

async fn respond(context: &SchedulerContext, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(route) = find_route(request.method(), request.uri().path()) else {
        return answer::error_answer(&ApiError::NoPath);
    };
    let outcome = match route {
        CallRoute::Submit => match read_body(request).await {
            Ok(body) => submit::submit(context, &body).await,
            Err(error) => Err(error),
        },
        CallRoute::Show(id) => show::show(context, &id).await,
        CallRoute::Cancel(id) => cancel::cancel(context, &id).await,
    };
    outcome.unwrap_or_else(|error| answer::error_answer(&error))
}

fn find_route(method: &Method, path: &str) -> Option<CallRoute> {
    let rest = path.strip_prefix(TASKS_PATH)?;
    match (method, rest) {
        (&Method::POST, "") => Some(CallRoute::Submit),
        (&Method::GET, rest) => rest
            .strip_prefix('/')
            .map(|id| CallRoute::Show(id.to_owned())),
        (&Method::POST, rest) => {
            let id = rest.strip_prefix('/')?.strip_suffix("/cancel")?;
            Some(CallRoute::Cancel(id.to_owned()))
        }
        _ => None,
    }
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, ApiError> {
    let limited = Limited::new(request.into_body(), BODY_BYTES_MAX);
    match limited.collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(_) => Err(ApiError::BodyTooLarge),
    }
}
