//! Serves one connection of a caller.

use std::convert::Infallible;
use std::future;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task::Context;
use std::task::Poll;
use std::time;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service;
use hyper_util::rt::TokioIo;
use sapphirewalk_core::connection_budget::ConnectionKey;
use sapphirewalk_core::connection_budget::ConnectionPhase;
use sapphirewalk_core::connection_budget::ProgressStep;
use sapphirewalk_core::time::TimePoint;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::caller_server::CallerServer;
use crate::caller_server::report::RefusalReason;
use crate::caller_server::stream::MeteredStream;

/// How long and how much is read from a connection whose request wasn't read to its end. Closing it
/// at once would reset it, and the caller might lose the answer.
const LINGER_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
const LINGER_BYTES: usize = 1 << 20;
/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 4_096;

/// Place of a connection in the budget of its server. Dropping it frees the place.
#[derive(Debug)]
pub struct ConnectionHandle {
    server: sync::Arc<CallerServer>,
    key: ConnectionKey,
    /// Notified when the connection has to be closed to make room.
    close_signal: sync::Arc<Notify>,
    head_bytes: usize,
    /// The body of the last request has not been received to its end.
    body_unread: atomic::AtomicBool,
}

/// Why a connection is no longer served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConnectionEnd {
    /// The caller or the HTTP library ended it.
    Ended,
    /// The server closes it.
    Closed,
}

/// Timer of the next check of a connection's progress.
struct ProgressTimer {
    sleep: pin::Pin<Box<tokio::time::Sleep>>,
    /// Time for which the timer is set.
    due_at: Option<TimePoint>,
}

impl Drop for ConnectionHandle {
    fn drop(&mut self) {
        self.server.record_closed(self.key);
    }
}

impl ConnectionHandle {
    pub(super) const fn new(
        server: sync::Arc<CallerServer>,
        key: ConnectionKey,
        close_signal: sync::Arc<Notify>,
        head_bytes: usize,
    ) -> Self {
        Self {
            server,
            key,
            close_signal,
            head_bytes,
            body_unread: atomic::AtomicBool::new(false),
        }
    }

    /// Serves requests until the connection ends, or, once `drain` is ready, until the answer to the
    /// present request is sent. `answer` gets each request and this handle.
    pub async fn serve<A, F, D>(self: sync::Arc<Self>, stream: TcpStream, answer: A, drain: D)
    where
        A: Fn(Request<Incoming>, sync::Arc<Self>) -> F + Unpin,
        F: Future<Output = Response<Full<Bytes>>>,
        D: Future<Output = ()>,
    {
        // Nagle's algorithm would delay small answers until the caller's delayed acknowledgement.
        let _nodelay = stream.set_nodelay(true);
        let stream = MeteredStream::new(stream, self.clone());
        let service = service::service_fn(|request: Request<Incoming>| {
            self.begin_request(!request.body().is_end_stream());
            let answering = answer(request, self.clone());
            let handle = &self;
            Box::pin(async move {
                let response = answering.await;
                handle.begin_answer();
                Ok::<_, Infallible>(response)
            })
        });
        let mut connection = http1::Builder::new()
            .max_buf_size(self.head_bytes)
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(stream), service);
        let mut drain = pin::pin!(drain);
        let mut is_draining = false;
        let mut close_signal = pin::pin!(self.close_signal.notified());
        let mut timer = ProgressTimer::new();
        let end = future::poll_fn(|context| {
            if !is_draining && drain.as_mut().poll(context).is_ready() {
                is_draining = true;
                pin::Pin::new(&mut connection).graceful_shutdown();
            }
            // Reads what has arrived before progress is checked. An error means that the caller's
            // connection broke.
            if connection.poll_without_shutdown(context).is_ready() {
                return Poll::Ready(ConnectionEnd::Ended);
            }
            if close_signal.as_mut().poll(context).is_ready() {
                return Poll::Ready(ConnectionEnd::Closed);
            }
            self.poll_progress(&mut timer, context)
        })
        .await;
        if end == ConnectionEnd::Ended && self.has_unread_request() {
            let stream = connection.into_parts().io.into_inner().into_inner();
            tokio::select! {
                () = discard_rest(stream) => {}
                () = close_signal => {}
            }
        }
    }

    pub(super) const fn key(&self) -> ConnectionKey {
        self.key
    }

    pub(super) const fn server(&self) -> &sync::Arc<CallerServer> {
        &self.server
    }

    pub(super) fn record_received(&self) {
        let now = self.server.clock.now();
        self.server.lock().budget.record_received(self.key, now);
    }

    pub(super) fn record_body(&self, bytes: usize) {
        let now = self.server.clock.now();
        self.server.lock().budget.record_body(self.key, bytes, now);
    }

    pub(super) fn record_sent(&self) {
        let now = self.server.clock.now();
        self.server.lock().budget.record_sent(self.key, now);
    }

    pub(super) fn complete_request(&self) {
        self.body_unread.store(false, atomic::Ordering::Relaxed);
        let now = self.server.clock.now();
        self.server.lock().budget.complete_request(self.key, now);
    }

    pub(super) fn complete_answer(&self) {
        let now = self.server.clock.now();
        self.server.lock().budget.complete_answer(self.key, now);
    }

    fn begin_request(&self, has_body: bool) {
        self.body_unread.store(has_body, atomic::Ordering::Relaxed);
        let now = self.server.clock.now();
        let mut state = self.server.lock();
        state.budget.begin_request(self.key, has_body, now);
    }

    fn begin_answer(&self) {
        let now = self.server.clock.now();
        self.server.lock().budget.begin_answer(self.key, now);
    }

    /// Whether the caller may still be sending a request that isn't going to be read.
    fn has_unread_request(&self) -> bool {
        let phase = self.server.lock().budget.phase(self.key);
        self.body_unread.load(atomic::Ordering::Relaxed) || phase == Some(ConnectionPhase::Head)
    }

    fn poll_progress(
        &self,
        timer: &mut ProgressTimer,
        context: &mut Context<'_>,
    ) -> Poll<ConnectionEnd> {
        loop {
            let now = self.server.clock.now();
            let step = self.server.lock().budget.check_progress(self.key, now);
            match step {
                ProgressStep::Continue => return Poll::Pending,
                ProgressStep::CheckAt(due_at) => {
                    if timer.poll(due_at, now, context).is_pending() {
                        return Poll::Pending;
                    }
                }
                ProgressStep::Close => {
                    self.server.record_refusal(RefusalReason::Stalled);
                    return Poll::Ready(ConnectionEnd::Closed);
                }
            }
        }
    }
}

impl ProgressTimer {
    fn new() -> Self {
        Self {
            sleep: Box::pin(tokio::time::sleep(time::Duration::ZERO)),
            due_at: None,
        }
    }

    /// Sets the timer, if it is set for another time, and polls it.
    fn poll(&mut self, due_at: TimePoint, now: TimePoint, context: &mut Context<'_>) -> Poll<()> {
        if self.due_at != Some(due_at) {
            self.due_at = Some(due_at);
            let wait = time::Duration::from(due_at.since(now));
            let deadline = tokio::time::Instant::now() + wait;
            self.sleep.as_mut().reset(deadline);
        }
        let elapsed = self.sleep.as_mut().poll(context);
        if elapsed.is_ready() {
            self.due_at = None;
        }
        elapsed
    }
}

/// Ends the sending side of a connection, and reads for a while what the caller still sends.
async fn discard_rest(mut stream: TcpStream) {
    let discarding = async {
        let _ended = stream.shutdown().await;
        let mut buffer = [0; DISCARD_BYTES];
        let mut discarded = 0;
        while discarded < LINGER_BYTES {
            match stream.read(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(count) => discarded += count,
            }
        }
    };
    let _elapsed = tokio::time::timeout(LINGER_TIMEOUT, discarding).await;
}
