//! Serves callers: jobs are stored before they are accepted, and never accepted twice.

use std::convert;
use std::rc;
use std::time;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::work_rule::QueueRule;
use sapphirewalk_platform::caller;
use sapphirewalk_platform::caller::CallerAnswer;
use sapphirewalk_platform::caller::CallerFault;
use sapphirewalk_platform::caller::CallerRequest;
use sapphirewalk_platform::store::ChangeOutcome;
use sapphirewalk_platform::store::StoreError;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task;

use crate::entry::node::EntryNode;
use crate::entry::records;

/// Time for one write of a job: 9 ms for the transaction and its answer, 60 times as long on bad days,
/// and one more transaction of the same part before it.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Time for reading one row.
const READ_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// A store that refuses is tried again for this long; a caller can try elsewhere after that.
const REFUSAL_PATIENCE: TimeSpan = TimeSpan::from_millis(50);
/// Time before a refused write is tried again.
const REFUSAL_DELAY: time::Duration = time::Duration::from_millis(30);
/// Callers may come back after this span where the store is out of reach: another VM may reach it,
/// and most outages of parts are over in seconds.
const UNAVAILABLE_AFTER: TimeSpan = TimeSpan::from_millis(1_000);
/// Oldest count of waiting jobs that is told while the coordinator doesn't answer: callers allow 2 s.
const COUNT_AGE: TimeSpan = TimeSpan::from_millis(1_500);
/// Requests that wait for an answer when the process shuts down get this long.
const SHUTDOWN_POLL: time::Duration = time::Duration::from_millis(20);

/// Serves callers until the process shuts down and the last connection has ended.
pub async fn serve(node: rc::Rc<EntryNode>, listener: TcpListener, closing: rc::Rc<ClosingFlag>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let node = node.clone();
                    let closing = closing.clone();
                    closing.opened();
                    task::spawn_local(async move {
                        serve_connection(&node, stream, &closing).await;
                        closing.closed();
                    });
                }
                Err(error) => {
                    slog::warn!(node.log, "accept_failed"; "error" => %error);
                    tokio::time::sleep(SHUTDOWN_POLL).await;
                }
            },
            () = closing.wait() => return,
        }
    }
}

/// Tells connections to end after their present request, and counts them.
#[derive(Debug, Default)]
pub struct ClosingFlag {
    closing: std::cell::Cell<bool>,
    open: std::cell::Cell<usize>,
    signal: tokio::sync::Notify,
}

impl ClosingFlag {
    /// Begins to close.
    pub fn close(&self) {
        self.closing.set(true);
        self.signal.notify_waiters();
    }

    /// Connections that are open.
    pub const fn open_connections(&self) -> usize {
        self.open.get()
    }

    async fn wait(&self) {
        while !self.closing.get() {
            self.signal.notified().await;
        }
    }

    fn opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    fn closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

async fn serve_connection(node: &rc::Rc<EntryNode>, stream: TcpStream, closing: &ClosingFlag) {
    // Without it small answers wait for one another, which only costs time.
    let _nodelay = stream.set_nodelay(true);
    let handler = service::service_fn(|request| {
        let node = node.clone();
        async move { Ok::<_, convert::Infallible>(handle(&node, request).await) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), handler);
    tokio::pin!(connection);
    tokio::select! {
        _ended = connection.as_mut() => return,
        () = closing.wait() => connection.as_mut().graceful_shutdown(),
    }
    let _ended = connection.await;
}

async fn handle(node: &EntryNode, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let began = node.now();
    let (head, body) = request.into_parts();
    let rules = node.current_rules();
    if rules.version == 0 {
        return (&unavailable(node, None, "no_rules")).into();
    }
    let answer = match caller::read_request(&head, &rules) {
        Err(CallerFault::NoQueue) => CallerAnswer::UnknownQueue,
        Err(CallerFault::BadId) => {
            CallerAnswer::Invalid("the identifier must be 16 hexadecimal digits".to_owned())
        }
        Err(CallerFault::BadMethod) => CallerAnswer::Invalid("use POST, GET or DELETE".to_owned()),
        Ok((_, CallerRequest::State(id))) => state(node, id, began).await,
        Ok((_, CallerRequest::Cancel(id))) => cancel(node, id).await,
        Ok((queue, CallerRequest::Pending)) => pending(node, &queue.name).await,
        Ok((queue, CallerRequest::Submit(id))) => {
            let limited = Limited::new(body, rules.max_body_bytes);
            match limited.collect().await {
                Ok(collected) => submit(node, queue, id, &collected.to_bytes(), began).await,
                Err(_too_long) => CallerAnswer::TooLong,
            }
        }
    };
    (&answer).into()
}

fn unavailable(node: &EntryNode, id: Option<JobId>, cause: &'static str) -> CallerAnswer {
    node.gauges.requests_unavailable.increment();
    match id {
        Some(id) => slog::info!(node.log, "request_unavailable job={}", id; "cause" => cause),
        None => slog::info!(node.log, "request_unavailable"; "cause" => cause),
    }
    CallerAnswer::Unavailable(UNAVAILABLE_AFTER)
}

async fn submit(
    node: &EntryNode,
    queue: &QueueRule,
    id: JobId,
    body: &[u8],
    began: TimePoint,
) -> CallerAnswer {
    let spec = match caller::read_job(body) {
        Ok(spec) => spec,
        Err(fault) => {
            slog::info!(node.log, "job_invalid job={}", id; "queue" => &queue.name,
                "fault" => %fault);
            return CallerAnswer::Invalid(fault.to_string());
        }
    };
    let record = JobRecord {
        id,
        queue: queue.name.clone(),
        pool: queue.pool.clone(),
        spec,
        accepted_at: began,
    };
    if !node.store_answers() {
        return unavailable(node, Some(id), "store_lost");
    }
    let change = records::accept_change(&record);
    let mut unsure = false;
    loop {
        let outcome = node.store.change(&change, WRITE_TIMEOUT).await;
        node.note_store("accept", &outcome);
        let waited = node.now().since(began);
        match outcome {
            Ok(done) => {
                let repeated = matches!(done, ChangeOutcome::Conflict(_));
                slog::info!(node.log, "job_accepted job={}", id; "queue" => &queue.name,
                    "repeated" => repeated, "took" => %waited);
                node.gauges.jobs_accepted.increment();
                node.gauges.accept_ms.record(waited);
                tell_leader(node, Event::Stored(record));
                return CallerAnswer::Accepted;
            }
            Err(StoreError::Refused) if waited < REFUSAL_PATIENCE => {
                tokio::time::sleep(REFUSAL_DELAY).await;
            }
            Err(StoreError::Refused) if !unsure => {
                return unavailable(node, Some(id), "store_refuses");
            }
            Err(StoreError::Unknown) if !unsure => unsure = true,
            Err(error) => {
                node.gauges.requests_unknown.increment();
                slog::warn!(node.log, "job_unknown job={}", id; "error" => %error,
                    "took" => %waited);
                return CallerAnswer::Unknown;
            }
        }
    }
}

async fn cancel(node: &EntryNode, id: JobId) -> CallerAnswer {
    let read = node
        .store
        .read_row(&records::job_place(id), READ_TIMEOUT)
        .await;
    node.note_store("read_job", &read);
    match read {
        Ok(Some(_)) => {}
        Ok(None) => return CallerAnswer::UnknownJob,
        Err(_) => return unavailable(node, Some(id), "store_refuses"),
    }
    let change = records::cancel_change(id);
    let outcome = node.store.change(&change, WRITE_TIMEOUT).await;
    node.note_store("cancel", &outcome);
    match outcome {
        Ok(_) => {
            slog::info!(node.log, "cancel_accepted job={}", id);
            node.gauges.jobs_cancelled.increment();
            tell_leader(node, Event::Cancelled(id));
            CallerAnswer::Cancelled
        }
        Err(StoreError::Refused) => unavailable(node, Some(id), "store_refuses"),
        Err(_) => {
            node.gauges.requests_unknown.increment();
            CallerAnswer::Unknown
        }
    }
}

/// Tells the leader, here or elsewhere; its feed of the store is slower.
fn tell_leader(node: &EntryNode, event: Event) {
    if let Some(leader) = node.own_leadership() {
        // The receiver is gone only when the leadership has just been left.
        let _sent = leader.events.send(event);
    } else if let Some(link) = node.peer_link() {
        link.tell(&event);
    }
}

async fn state(node: &EntryNode, id: JobId, began: TimePoint) -> CallerAnswer {
    node.gauges.state_questions.increment();
    let known = if let Some(leader) = node.own_leadership() {
        leader.coordinator.borrow().committed_state(id)
    } else if let Some(link) = node.peer_link() {
        link.state(id).await.unwrap_or(None)
    } else {
        None
    };
    let answer = match known {
        Some(state) => CallerAnswer::State(state),
        None => stored_state(node, id).await,
    };
    node.gauges.state_ms.record(node.now().since(began));
    answer
}

/// What the store says of a job that no coordinator could tell of.
async fn stored_state(node: &EntryNode, id: JobId) -> CallerAnswer {
    // The job's own row, and the mark of its cancelling behind it.
    let place = records::job_place(id);
    let end = format!("{id}~");
    let read = node.store.read(&place, Some(&end), READ_TIMEOUT).await;
    node.note_store("read_job", &read);
    let Ok(page) = read else {
        return unavailable(node, Some(id), "state_unknown");
    };
    if page.rows.is_empty() {
        return CallerAnswer::UnknownJob;
    }
    let progress = records::read_progress(&node.store, id, READ_TIMEOUT).await;
    node.note_store("read_progress", &progress);
    let Ok(progress) = progress else {
        return unavailable(node, Some(id), "state_unknown");
    };
    let state = progress.map_or(JobState::Queued, |progress| progress.state);
    let cancelled = page.rows.len() > 1 && !state.is_final();
    CallerAnswer::State(if cancelled {
        JobState::Cancelled
    } else {
        state
    })
}

async fn pending(node: &EntryNode, queue: &str) -> CallerAnswer {
    let told = if let Some(leader) = node.own_leadership() {
        Some(leader.coordinator.borrow().pending_jobs(queue))
    } else if let Some(link) = node.peer_link() {
        link.pending(queue).await.ok()
    } else {
        None
    };
    let mut counts = node.pending_counts.borrow_mut();
    match told {
        Some(count) => {
            counts.insert(queue.to_owned(), (count, node.now()));
            CallerAnswer::Pending(count)
        }
        None => match counts.get(queue) {
            Some((count, at)) if node.now().since(*at) < COUNT_AGE => CallerAnswer::Pending(*count),
            Some(_) | None => unavailable(node, None, "no_coordinator"),
        },
    }
}
