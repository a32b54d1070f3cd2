//! The HTTP server for callers: connections, routes and shutdown.

use std::io;
use std::sync::Arc;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;

use sapphirewalk_wire::task::TASKS_PATH;

use crate::caller_server::BodyFault;
use crate::caller_server::ConnectionHandle;
use crate::process::DaemonProcess;
use crate::scheduler::api::answer;
use crate::scheduler::api::answer::ApiError;
use crate::scheduler::api::cancel;
use crate::scheduler::api::show;
use crate::scheduler::api::submit;
use crate::scheduler::context::SchedulerContext;

/// The largest body of a call in bytes.
const BODY_BYTES_MAX: usize = 1 << 20;

/// Copies of a body that exist while the task is stored: the body, the decoded task, its row and the
/// call to the table.
const TASK_COPIES: usize = 4;

/// Delay after a failed `accept` call.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

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
    let callers = Arc::clone(&context.process.callers);
    let shutdown = context.process.shutdown.clone();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shutdown.begun() => break,
        };
        let Ok((stream, _)) = accepted else {
            // For example, no file descriptor is free.
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Some(connection) = callers.admit().await else {
            continue;
        };
        let context = Arc::clone(&context);
        let shutdown = shutdown.clone();
        tokio::spawn(async move {
            let answer = |request, connection| respond(&context, connection, request);
            connection.serve(stream, answer, shutdown.begun()).await;
        });
    }
    drop(listener);
    // The timeout bounds the wait for callers that never complete their requests.
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, callers.wait_closed()).await;
}

async fn respond(
    context: &SchedulerContext,
    connection: Arc<ConnectionHandle>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let Some(route) = find_route(request.method(), request.uri().path()) else {
        return answer::error_answer(&ApiError::NoPath);
    };
    let outcome = match route {
        CallRoute::Submit => {
            let body = connection.read_body(request.into_body(), BODY_BYTES_MAX, TASK_COPIES);
            match body.await {
                Ok(body) => submit::submit(context, &body).await,
                Err(fault) => Err(fault.into()),
            }
        }
        CallRoute::Show(id) => show::show(context, &id).await,
        CallRoute::Cancel(id) => cancel::cancel(context, &id).await,
    };
    outcome.unwrap_or_else(|error| answer::error_answer(&error))
}

impl From<BodyFault> for ApiError {
    fn from(fault: BodyFault) -> Self {
        match fault {
            BodyFault::TooLong | BodyFault::Broken => Self::BodyTooLarge,
            BodyFault::NoMemory => Self::NoMemory,
        }
    }
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
