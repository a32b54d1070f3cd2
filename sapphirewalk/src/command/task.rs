//! Commands `submit`, `show` and `cancel` for batch tasks.

use std::fs;
use std::net;

use bytes::Bytes;
use hyper::Method;

use sapphirewalk_wire::task::TASKS_PATH;

use crate::cli;
use crate::command::CommandError;
use crate::command::http;
use crate::command::http::HttpAnswer;

/// Submits the task described in a file and prints the scheduler's answer.
///
/// # Errors
///
/// If the file can't be read, or the scheduler refuses the task or does not answer.
pub async fn submit(options: &cli::SubmitOptions) -> Result<(), CommandError> {
    let body = fs::read(&options.file).map_err(|source| CommandError::File {
        path: options.file.clone(),
        source,
    })?;
    call(options.address, Method::POST, TASKS_PATH, body.into()).await
}

/// Prints the state of a task.
///
/// # Errors
///
/// If the task does not exist, or the scheduler refuses the call or does not answer.
pub async fn show(options: &cli::TaskOptions) -> Result<(), CommandError> {
    let path = format!("{TASKS_PATH}/{}", options.id);
    call(options.address, Method::GET, &path, Bytes::new()).await
}

/// Requests that a task be cancelled, and prints its state, which may still be running.
///
/// # Errors
///
/// If the task does not exist, or the scheduler refuses the call or does not answer.
pub async fn cancel(options: &cli::TaskOptions) -> Result<(), CommandError> {
    let path = format!("{TASKS_PATH}/{}/cancel", options.id);
    call(options.address, Method::POST, &path, Bytes::new()).await
}

async fn call(
    address: Option<net::SocketAddr>,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(), CommandError> {
    let address = address.ok_or_else(|| CommandError::BadValue("--address".to_owned()))?;
    let answer = http::call(address, method, path, body).await;
    let HttpAnswer { status, body } =
        answer.map_err(|_| CommandError::NoAnswer(vec![address.to_string()]))?;
    let text = String::from_utf8_lossy(&body).into_owned();
    if !status.is_success() {
        return Err(CommandError::Refused(text));
    }
    println!("{text}");
    Ok(())
}
