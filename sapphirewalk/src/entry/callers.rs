//! HTTP server for callers. A job is stored before it is accepted, and a repeated submission
//! doesn't store it twice.

use std::rc;
use std::sync;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
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

use crate::caller_server::BodyFault;
use crate::caller_server::ConnectionHandle;
use crate::entry::log;
use crate::entry::node::EntryNode;
use crate::entry::records;

/// Timeout for one write of a job. A transaction and its answer take 9 ms, up to 60 times as long
/// on a slow store, and one other transaction of the same partition may be ahead of it.
const WRITE_TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Timeout for reading one row, or a job's row together with its cancellation row.
const ROW_READ_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// How long a write that the store refuses is retried. After that the caller can try another entry
/// VM.
const REFUSAL_RETRY_SPAN: TimeSpan = TimeSpan::from_millis(50);
/// Delay before a refused write is retried.
const REFUSAL_RETRY_DELAY: time::Duration = time::Duration::from_millis(30);
/// `Retry-After` of an answer given while the store is unreachable. Another VM may reach it, and
/// most partial outages end within seconds.
const UNAVAILABLE_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(1_000);
/// `Retry-After` of an answer given while all failure domains are evacuated. Operators withdraw
/// such a request by hand, so an earlier attempt would only be refused again.
const EVACUATED_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(5_000);
/// Maximum age of a pending-job count that is served while the coordinator doesn't answer. Callers
/// accept counts that are up to 2 s old.
const MAX_PENDING_COUNT_AGE: TimeSpan = TimeSpan::from_millis(1_500);
/// `Retry-After` of an answer given while there is no memory for the body of a request. Stalled
/// requests make room within it.
const BODY_RETRY_AFTER: TimeSpan = TimeSpan::from_millis(1_000);
/// Copies of a job that exist while it is stored: the body, the decoded job, its row and the call to
/// the store.
const JOB_COPIES: usize = 4;
/// Delay after a failed `accept` call.
const ACCEPT_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// Accepts connections of callers until draining begins.
pub async fn serve(node: rc::Rc<EntryNode>, listener: TcpListener, drain: rc::Rc<ConnectionDrain>) {
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let rules = node.current_rules();
                    let callers = &node.callers;
                    callers.set_head_limits(rules.max_head_bytes, rules.head_timeout);
                    if let Some(connection) = callers.admit().await {
                        spawn_connection(&node, stream, connection, &drain);
                    }
                }
                Err(error) => {
                    slog::warn!(node.log, "accept_failed"; "error" => %error);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = drain.until_begun() => return,
        }
    }
}

/// Counts the open connections of callers and, once draining begins, has each one close after its
/// current request.
#[derive(Debug, Default)]
pub struct ConnectionDrain {
    begun: std::cell::Cell<bool>,
    open: std::cell::Cell<usize>,
    signal: tokio::sync::Notify,
}

impl ConnectionDrain {
    /// Begins draining: no new connection is accepted, and each open one closes after its current
    /// request.
    pub fn begin(&self) {
        self.begun.set(true);
        self.signal.notify_waiters();
    }

    /// Number of connections that are open now.
    pub const fn open_connections(&self) -> usize {
        self.open.get()
    }

    async fn until_begun(&self) {
        while !self.begun.get() {
            self.signal.notified().await;
        }
    }

    fn connection_opened(&self) {
        self.open.set(self.open.get() + 1);
    }

    fn connection_closed(&self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

fn spawn_connection(
    node: &rc::Rc<EntryNode>,
    stream: TcpStream,
    connection: sync::Arc<ConnectionHandle>,
    drain: &rc::Rc<ConnectionDrain>,
) {
    let (node, drain) = (node.clone(), drain.clone());
    drain.connection_opened();
    task::spawn_local(async move {
        let answer = |request, connection: sync::Arc<ConnectionHandle>| {
            let node = node.clone();
            async move { handle(&node, &connection, request).await }
        };
        connection.serve(stream, answer, drain.until_begun()).await;
        drain.connection_closed();
    });
}

async fn handle(
    node: &EntryNode,
    connection: &ConnectionHandle,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let received_at = node.now();
    let (head, body) = request.into_parts();
    let rules = node.current_rules();
    if rules.version == 0 {
        return (&unavailable(node, None, "no_rules")).into();
    }
    let answer = match caller::read_request(&head, &rules) {
        Err(CallerFault::NoQueue) => unknown_queue(node, head.uri.path(), received_at),
        Err(CallerFault::BadId) => {
            CallerAnswer::Invalid("the identifier must be 16 hexadecimal digits".to_owned())
        }
        Err(CallerFault::BadMethod) => CallerAnswer::Invalid("use POST, GET or DELETE".to_owned()),
        Ok((_, CallerRequest::State(id))) => state(node, id, received_at).await,
        Ok((_, CallerRequest::Cancel(id))) => cancel(node, id).await,
        Ok((queue, CallerRequest::Pending)) => pending(node, &queue.name).await,
        Ok((queue, CallerRequest::Submit(id))) => {
            let body = connection.read_body(body, rules.max_body_bytes, JOB_COPIES);
            match body.await {
                Ok(body) => submit(node, queue, id, &body, received_at).await,
                Err(BodyFault::NoMemory) => {
                    report_unavailable(node, Some(id), "body_memory");
                    CallerAnswer::Unavailable(BODY_RETRY_AFTER)
                }
                // The answer to a broken connection reaches nobody.
                Err(BodyFault::TooLong | BodyFault::Broken) => CallerAnswer::TooLong,
            }
        }
    };
    (&answer).into()
}

/// Answers a request for a queue that the rules in force don't have. Callers take 404 as final, so
/// they get 503 while the operators may have added the queue without this process knowing.
fn unknown_queue(node: &EntryNode, path: &str, now: TimePoint) -> CallerAnswer {
    node.metrics.requests_unknown_queue.increment();
    slog::info!(node.log, "queue_unknown"; "path" => log::show_text(path),
        "version" => node.current_rules().version,
        "confirmed_ago" => log::show_age(node.rules_age(now)));
    if node.rules_prove_absence(now) {
        CallerAnswer::UnknownQueue
    } else {
        unavailable(node, None, "rules_unconfirmed")
    }
}

fn unavailable(node: &EntryNode, id: Option<JobId>, cause: &'static str) -> CallerAnswer {
    report_unavailable(node, id, cause);
    CallerAnswer::Unavailable(UNAVAILABLE_RETRY_AFTER)
}

fn report_unavailable(node: &EntryNode, id: Option<JobId>, cause: &'static str) {
    node.metrics.requests_unavailable.increment();
    match id {
        Some(id) => slog::info!(node.log, "request_unavailable job={}", id; "cause" => cause),
        None => slog::info!(node.log, "request_unavailable"; "cause" => cause),
    }
}

async fn submit(
    node: &EntryNode,
    queue: &QueueRule,
    id: JobId,
    body: &[u8],
    received_at: TimePoint,
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
        accepted_at: received_at,
        terms: Some(queue.into()),
    };
    let change = records::accept_change(&record);
    let row_bytes = change.written.iter().map(|(_, value)| value.len()).max();
    if row_bytes > Some(node.settings.bounds.longest_row()) {
        slog::info!(node.log, "job_invalid job={}", id; "queue" => &record.queue,
            "fault" => "the job does not fit a row of the store", "row_bytes" => row_bytes);
        return CallerAnswer::TooLong;
    }
    if !node.store_is_reachable() {
        return unavailable(node, Some(id), "store_lost");
    }
    if all_domains_evacuated(node).await {
        let read = node
            .store
            .read_row(&records::job_location(id), ROW_READ_TIMEOUT)
            .await;
        node.record_store_outcome("read_job", &read);
        match read {
            // A repeat of a submission that was stored. The write below conflicts.
            Ok(Some(_)) => {}
            Ok(None) => {
                report_unavailable(node, Some(id), "evacuated");
                return CallerAnswer::Unavailable(EVACUATED_RETRY_AFTER);
            }
            Err(_) => return unavailable(node, Some(id), "store_refuses"),
        }
    }
    let mut outcome_unknown = false;
    loop {
        let outcome = node.store.change(&change, WRITE_TIMEOUT).await;
        node.record_store_outcome("accept", &outcome);
        let waited = node.now().since(received_at);
        match outcome {
            Ok(change) => {
                let repeated = matches!(change, ChangeOutcome::Conflict(_));
                slog::info!(node.log, "job_accepted job={}", id; "queue" => &queue.name,
                    "repeated" => repeated, "took" => %waited);
                node.metrics.jobs_accepted.increment();
                node.metrics.accept_ms.record(waited);
                notify_leader(node, Event::Stored(record));
                return CallerAnswer::Accepted;
            }
            Err(StoreError::Refused) if waited < REFUSAL_RETRY_SPAN => {
                tokio::time::sleep(REFUSAL_RETRY_DELAY).await;
            }
            Err(StoreError::Refused) if !outcome_unknown => {
                return unavailable(node, Some(id), "store_refuses");
            }
            // Repeated once, without a delay. If the first write took effect, the second one
            // conflicts, which counts as accepted.
            Err(StoreError::Unknown) if !outcome_unknown => outcome_unknown = true,
            Err(error) => {
                node.metrics.requests_unknown.increment();
                slog::warn!(node.log, "job_unknown job={}", id; "error" => %error,
                    "took" => %waited);
                return CallerAnswer::Unknown;
            }
        }
    }
}

/// Whether no worker may start tasks because of evacuations. Only the leader knows which domains
/// have workers. It is asked only while there are requests; without its answer the job is stored
/// and waits.
async fn all_domains_evacuated(node: &EntryNode) -> bool {
    if node.evacuations.borrow().view().requests.is_empty() {
        return false;
    }
    if let Some(leader) = node.own_leadership() {
        leader.coordinator.borrow().is_wholly_evacuated()
    } else if let Some(link) = node.peer_link() {
        link.all_evacuated().await.unwrap_or(false)
    } else {
        false
    }
}

async fn cancel(node: &EntryNode, id: JobId) -> CallerAnswer {
    let read = node
        .store
        .read_row(&records::job_location(id), ROW_READ_TIMEOUT)
        .await;
    node.record_store_outcome("read_job", &read);
    match read {
        Ok(Some(_)) => {}
        Ok(None) => return CallerAnswer::UnknownJob,
        Err(_) => return unavailable(node, Some(id), "store_refuses"),
    }
    let change = records::cancel_change(id);
    let outcome = node.store.change(&change, WRITE_TIMEOUT).await;
    node.record_store_outcome("cancel", &outcome);
    match outcome {
        Ok(_) => {
            slog::info!(node.log, "cancel_accepted job={}", id);
            node.metrics.jobs_cancelled.increment();
            notify_leader(node, Event::Cancelled(id));
            CallerAnswer::Cancelled
        }
        Err(StoreError::Refused) => unavailable(node, Some(id), "store_refuses"),
        Err(_) => {
            node.metrics.requests_unknown.increment();
            CallerAnswer::Unknown
        }
    }
}

/// Sends an event to the leader, in this process or another. It arrives earlier than through the
/// leader's feed from the store.
fn notify_leader(node: &EntryNode, event: Event) {
    if let Some(leader) = node.own_leadership() {
        // The receiver is closed only if the leadership has just ended.
        let _sent = leader.events.send(event);
    } else if let Some(link) = node.peer_link() {
        link.notify(&event);
    }
}

async fn state(node: &EntryNode, id: JobId, received_at: TimePoint) -> CallerAnswer {
    node.metrics.state_questions.increment();
    let coordinator_state = if let Some(leader) = node.own_leadership() {
        leader.coordinator.borrow().committed_state(id)
    } else if let Some(link) = node.peer_link() {
        link.state(id).await.unwrap_or(None)
    } else {
        None
    };
    let answer = match coordinator_state {
        Some(state) => CallerAnswer::State(state),
        None => stored_state(node, id).await,
    };
    node.metrics.state_ms.record(node.now().since(received_at));
    answer
}

/// Reads a job's state from the store, for a job that the coordinator doesn't list or while no
/// coordinator answers.
async fn stored_state(node: &EntryNode, id: JobId) -> CallerAnswer {
    // The range holds the job's own row and, after it, its cancellation row: `~` sorts after the
    // `-` of the cancellation row's suffix.
    let location = records::job_location(id);
    let end = format!("{id}~");
    let read = node
        .store
        .read(&location, Some(&end), ROW_READ_TIMEOUT)
        .await;
    node.record_store_outcome("read_job", &read);
    let Ok(page) = read else {
        return unavailable(node, Some(id), "state_unknown");
    };
    if page.rows.is_empty() {
        return CallerAnswer::UnknownJob;
    }
    let progress = records::read_progress(&node.store, id, ROW_READ_TIMEOUT).await;
    node.record_store_outcome("read_progress", &progress);
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
    let coordinator_count = if let Some(leader) = node.own_leadership() {
        Some(leader.coordinator.borrow().pending_jobs(queue))
    } else if let Some(link) = node.peer_link() {
        link.pending(queue).await.ok()
    } else {
        None
    };
    let mut counts = node.pending_counts.borrow_mut();
    match coordinator_count {
        Some(count) => {
            counts.insert(queue.to_owned(), (count, node.now()));
            CallerAnswer::Pending(count)
        }
        None => match counts.get(queue) {
            Some((count, at)) if node.now().since(*at) < MAX_PENDING_COUNT_AGE => {
                CallerAnswer::Pending(*count)
            }
            Some(_) | None => unavailable(node, None, "no_coordinator"),
        },
    }
}
