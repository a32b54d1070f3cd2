//! The entry VM process on the users' platform. Every process serves callers, and one at a time is
//! the leader, which coordinates all jobs.
//!
//! It is separate from the gateway and the scheduler: it stores and coordinates jobs through the
//! `sapphirewalk_platform` crate.

mod callers;
mod driver;
mod election;
mod evacuation;
mod load;
mod log;
mod metric;
mod node;
mod peer;
mod records;
mod rules;
mod settings;

use std::env;
use std::fmt::Write;
use std::future;
use std::path;
use std::process;
use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use tokio::net::TcpListener;
use tokio::signal::unix;
use tokio::task;

use crate::caller_server::CallerServer;
use crate::caller_server::ServerLimits;
use crate::cli;
use crate::cli::EntryOptions;
use crate::entry::callers::ConnectionDrain;
use crate::entry::log::LogBuffer;
use crate::entry::node::EntryNode;
use crate::entry::settings::EntrySettings;
use crate::entry::settings::SettingsFault;

/// Environment variable with the path of the settings file. The command line takes precedence.
const SETTINGS_ENV_VAR: &str = "SAPPHIREWALK_SETTINGS";
/// How long connections are still accepted after readiness is withdrawn. The balancer probes every
/// second and removes a VM after two failed probes.
const BALANCER_DRAIN_DELAY: time::Duration = time::Duration::from_millis(2_300);
/// Part of the stop grace that is reserved for the exit of the process itself.
const STOP_MARGIN: time::Duration = time::Duration::from_millis(700);
/// Interval between checks whether the last connection has closed, and delay after a failed
/// `accept` call.
const DRAIN_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Runs the `entry` command.
pub fn start(options: &EntryOptions) -> process::ExitCode {
    let env_path = env::var_os(SETTINGS_ENV_VAR).map(path::PathBuf::from);
    match options.settings.clone().or(env_path) {
        Some(path) => run(&path, options.check),
        None => cli::report_error(&SettingsFault::Unnamed),
    }
}

/// Serves until a signal stops the process. With `check`, only validates the settings.
fn run(path: &path::Path, check: bool) -> process::ExitCode {
    let settings = match EntrySettings::read(path) {
        Ok(settings) => settings,
        Err(fault) => return cli::report_error(&fault),
    };
    if check {
        println!("the settings are valid");
        return process::ExitCode::SUCCESS;
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return cli::report_error(&error),
    };
    let local = task::LocalSet::new();
    let buffer = LogBuffer::default();
    let outcome = local.block_on(&runtime, serve(settings, path, &buffer));
    while !buffer.flush() {
        std::thread::sleep(log::FLUSH_INTERVAL);
    }
    match outcome {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => cli::report_error(&error),
    }
}

async fn serve(
    mut settings: EntrySettings,
    path: &path::Path,
    buffer: &LogBuffer,
) -> Result<(), std::io::Error> {
    let log = buffer.logger(&settings.vm);
    let callers = TcpListener::bind(settings.caller_address).await?;
    let ready = TcpListener::bind(settings.ready_address).await?;
    let peers = TcpListener::bind(settings.peer_address).await?;
    let metrics = TcpListener::bind(settings.metrics_address).await?;
    // With port 0 the system assigns a port.
    settings.caller_address = callers.local_addr()?;
    settings.ready_address = ready.local_addr()?;
    settings.peer_address = peers.local_addr()?;
    settings.metrics_address = metrics.local_addr()?;
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let mut reload = unix::signal(unix::SignalKind::hangup())?;
    let node = rc::Rc::new(EntryNode::new(settings, log));
    slog::info!(node.log, "process_started"; "incarnation" => node.incarnation,
        "domain" => &node.settings.failure_domain,
        "callers" => %node.settings.caller_address,
        "ready" => %node.settings.ready_address,
        "metrics" => %node.settings.metrics_address);
    let drain = rc::Rc::new(ConnectionDrain::default());
    task::spawn_local(flush(buffer.clone()));
    task::spawn_local(rules::follow(node.clone()));
    task::spawn_local(peer::serve(node.clone(), peers));
    task::spawn_local(serve_text(
        node.clone(),
        text_server(&node, "ready"),
        ready,
        ready_response,
    ));
    task::spawn_local(serve_text(
        node.clone(),
        text_server(&node, "metrics"),
        metrics,
        metrics_response,
    ));
    task::spawn_local(callers::serve(node.clone(), callers, drain.clone()));
    let leader = task::spawn_local(election::run(node.clone()));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = reload.recv() => check_reload(&node, path),
        }
    }
    stop(&node, &drain, leader).await;
    slog::info!(node.log, "process_stopped"; "open_connections" => drain.open_connections());
    Ok(())
}

/// Shuts down gracefully: releases the leadership, waits until the balancer has removed this VM,
/// then drains connections until the stop grace ends.
async fn stop(node: &EntryNode, drain: &ConnectionDrain, leader: task::JoinHandle<()>) {
    slog::info!(node.log, "shutdown_begun"; "open_connections" => drain.open_connections(),
        "leader" => node.own_leadership().is_some());
    let started_at = tokio::time::Instant::now();
    let grace = time::Duration::from_secs_f64(node.settings.bounds.stop_grace_s);
    let deadline = started_at + grace.saturating_sub(STOP_MARGIN);
    node.stopping.set(true);
    node.stop_signal.notify_waiters();
    tokio::time::sleep(BALANCER_DRAIN_DELAY.min(grace / 2)).await;
    drain.begin();
    while drain.open_connections() > 0 && tokio::time::Instant::now() < deadline {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    // The leadership is already released unless the store is unreachable.
    leader.abort();
}

/// Validates the settings file again and logs the result. No value takes effect before a restart.
fn check_reload(node: &EntryNode, path: &path::Path) {
    match EntrySettings::read(path) {
        Ok(_) => slog::info!(node.log, "settings_reloaded"),
        Err(fault) => report_fault(node, &fault),
    }
}

fn report_fault(node: &EntryNode, fault: &SettingsFault) {
    slog::error!(node.log, "settings_refused"; "fault" => %fault);
}

async fn flush(buffer: LogBuffer) {
    loop {
        tokio::time::sleep(log::FLUSH_INTERVAL).await;
        buffer.flush();
    }
}

/// A server of this process that only answers with short texts.
fn text_server(node: &EntryNode, name: &'static str) -> sync::Arc<CallerServer> {
    let limits = ServerLimits::for_texts(node.resources);
    CallerServer::new(name, limits, node.clock, node.log.clone())
}

fn ready_response(node: &EntryNode) -> (StatusCode, String) {
    if node.is_ready() {
        (StatusCode::OK, String::new())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, String::new())
    }
}

fn metrics_response(node: &EntryNode) -> (StatusCode, String) {
    node.update_evacuation_metrics();
    node.update_rules_metric();
    let mut text = node.metrics.render();
    node.callers.render_metrics(&mut text);
    if let Some(leader) = node.own_leadership() {
        for (reason, count) in leader.coordinator.borrow().waiting_tasks() {
            let reason = reason.as_str();
            let _ = writeln!(
                text,
                "sapphirewalk_waiting_tasks{{reason=\"{reason}\"}} {count}"
            );
        }
        let (restarts, longest) = leader.coordinator.borrow().waiting_restarts(node.now());
        let _ = writeln!(text, "sapphirewalk_waiting_restarts {restarts}");
        let longest_ms = longest.as_millis();
        let _ = writeln!(text, "sapphirewalk_longest_restart_wait_ms {longest_ms}");
    }
    (StatusCode::OK, text)
}

/// Serves the same text for every request on a listener.
async fn serve_text(
    node: rc::Rc<EntryNode>,
    server: sync::Arc<CallerServer>,
    listener: TcpListener,
    respond: fn(&EntryNode) -> (StatusCode, String),
) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            continue;
        };
        let Some(connection) = server.admit().await else {
            continue;
        };
        let node = node.clone();
        task::spawn_local(async move {
            let answer = |_request, _connection| {
                let (status, text) = respond(&node);
                let mut response = Response::new(Full::new(Bytes::from(text)));
                *response.status_mut() = status;
                future::ready(response)
            };
            connection.serve(stream, answer, future::pending()).await;
        });
    }
}
