//! Requests from entry VMs to the leader, over one TCP connection per VM.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use bytes::Bytes;
use bytes::BytesMut;
use futures::SinkExt;
use futures::StreamExt;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::election_delay;
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::leader_election::LinkEnd;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task;
use tokio_util::codec::Framed;
use tokio_util::codec::LengthDelimitedCodec;

use crate::entry::node::EntryNode;
use crate::entry::node::LeaderHandle;

/// Interval between heartbeats of the leader.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// A connection without any message for this long counts as dead. It spans four heartbeats.
pub const HEARTBEAT_TIMEOUT: time::Duration = time::Duration::from_millis(1_200);
/// A leader that has loaded the records for this long counts as silent.
const LOADING_TIMEOUT: time::Duration = time::Duration::from_millis(10_000);
/// Timeout for opening a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Timeout for an answer from the leader. It spans a few link delays.
const REQUEST_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// Message from a peer to the leader.
#[derive(Debug, Deserialize, Serialize)]
enum PeerRequest {
    /// Requests a job's state. `number` matches the answer to the request.
    State { number: u64, id: JobId },
    /// Requests the number of pending jobs in a queue.
    Pending { number: u64, queue: String },
    /// Reports that a job has been stored.
    Stored {
        id: JobId,
        queue: String,
        pool: String,
        spec: JobSpec,
        accepted_at: TimePoint,
    },
    /// Reports that a job's cancellation has been stored.
    Cancelled { id: JobId },
    /// Asks whether all failure domains with workers are being evacuated. A leader of an earlier
    /// version can't decode it and doesn't answer.
    Evacuated { number: u64 },
    /// Reports the share of a core of the peer's VM, in thousandths. A leader of an earlier version
    /// can't decode it and ignores it.
    Share { cpu_millis: u64 },
}

/// Message from the leader to a peer.
#[derive(Debug, Deserialize, Serialize)]
enum PeerMessage {
    /// Answers a state request. `None` if the leader doesn't list the job.
    State {
        number: u64,
        state: Option<JobState>,
    },
    /// Answers a request for the number of pending jobs in a queue.
    Pending { number: u64, pending: usize },
    /// Heartbeat of a process that still leads.
    Beat {
        fence: u64,
        /// Time since the last committed batch was sent.
        committed_ago: TimeSpan,
    },
    /// Reports that this process, in this incarnation, isn't the leader.
    Absent { incarnation: u64 },
    /// Answers whether all failure domains with workers are being evacuated.
    Evacuated { number: u64, all: bool },
    /// Reports that this process has acquired the leadership and loads the records. A process of an
    /// earlier version can't decode it and connects again.
    Loading { incarnation: u64, fence: u64 },
}

/// What a message from the leader means for the connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum LinkStep {
    /// The connection goes on as before.
    Continue,
    /// The leader answers requests.
    Serving,
    /// The leader doesn't answer requests yet.
    Loading,
    /// The connection ends.
    End(LinkEnd),
}

/// Client side of a connection to the leader.
#[derive(Debug)]
pub struct PeerLink {
    /// Requests that `follow_leader` writes to the connection.
    sender: mpsc::UnboundedSender<PeerRequest>,
    replies: rc::Rc<cell::RefCell<PendingReplies>>,
    next_number: cell::Cell<u64>,
}

/// Requests without an answer yet, by number.
#[derive(Debug, Default)]
struct PendingReplies {
    states: collections::BTreeMap<u64, oneshot::Sender<Option<JobState>>>,
    pending: collections::BTreeMap<u64, oneshot::Sender<usize>>,
    evacuated: collections::BTreeMap<u64, oneshot::Sender<bool>>,
}

impl PeerLink {
    /// Requests a job's state from the leader. `Ok(None)` if the leader doesn't list the job, an
    /// error if it doesn't answer.
    pub async fn state(&self, id: JobId) -> Result<Option<JobState>, LinkEnd> {
        let number = self.next_request_number();
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().states.insert(number, sender);
        let answer = self
            .send_request(PeerRequest::State { number, id }, receiver)
            .await;
        self.replies.borrow_mut().states.remove(&number);
        answer
    }

    /// Requests the number of pending jobs in a queue from the leader. An error if it
    /// doesn't answer.
    pub async fn pending(&self, queue: &str) -> Result<usize, LinkEnd> {
        let number = self.next_request_number();
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().pending.insert(number, sender);
        let queue = queue.to_owned();
        let request = PeerRequest::Pending { number, queue };
        let answer = self.send_request(request, receiver).await;
        self.replies.borrow_mut().pending.remove(&number);
        answer
    }

    /// Asks the leader whether all failure domains with workers are being evacuated. An error if it
    /// doesn't answer.
    pub async fn all_evacuated(&self) -> Result<bool, LinkEnd> {
        let number = self.next_request_number();
        let (sender, receiver) = oneshot::channel();
        self.replies.borrow_mut().evacuated.insert(number, sender);
        let answer = self
            .send_request(PeerRequest::Evacuated { number }, receiver)
            .await;
        self.replies.borrow_mut().evacuated.remove(&number);
        answer
    }

    async fn send_request<T>(
        &self,
        request: PeerRequest,
        receiver: oneshot::Receiver<T>,
    ) -> Result<T, LinkEnd> {
        self.sender
            .send(request)
            .map_err(|_closed| LinkEnd::Broken)?;
        match tokio::time::timeout(REQUEST_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_closed)) => Err(LinkEnd::Broken),
            Err(_elapsed) => Err(LinkEnd::Silent),
        }
    }

    /// Sends a stored job or cancellation to the leader, without confirmation. The store's feed
    /// delivers the same event later.
    pub fn notify(&self, event: &Event) {
        let request = match event {
            Event::Stored(record) => PeerRequest::Stored {
                id: record.id,
                queue: record.queue.clone(),
                pool: record.pool.clone(),
                spec: record.spec.clone(),
                accepted_at: record.accepted_at,
            },
            Event::Cancelled(id) => PeerRequest::Cancelled { id: *id },
            _ => return,
        };
        // If the link is broken, `follow_leader` detects it and the feed delivers the event.
        let _sent = self.sender.send(request);
    }

    /// Reports this VM's share of a core to the leader.
    fn report_share(&self, cpu_share: f64) {
        let cpu_millis = election_delay::cpu_millis(cpu_share);
        let _sent = self.sender.send(PeerRequest::Share { cpu_millis });
    }

    fn next_request_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}

/// Accepts connections of peers while the process runs.
pub async fn serve(node: rc::Rc<EntryNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                task::spawn_local(async move { serve_peer(&node, stream).await });
            }
            Err(error) => {
                slog::warn!(node.log, "peer_accept_failed"; "error" => %error);
                tokio::time::sleep(HEARTBEAT_INTERVAL).await;
            }
        }
    }
}

async fn serve_peer(node: &EntryNode, stream: TcpStream) {
    let connection = node.number_connection();
    exchange_messages(node, stream, connection).await;
    if let Some(leader) = node.own_leadership() {
        leader.handback.borrow_mut().peer_gone(connection);
    }
}

async fn exchange_messages(node: &EntryNode, stream: TcpStream, connection: u64) {
    // Nagle's algorithm would delay small messages.
    let _nodelay = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
    let mut heartbeat = tokio::time::interval(HEARTBEAT_INTERVAL);
    loop {
        let Some(leader) = node.own_leadership() else {
            if let Some(fence) = node.loading.get() {
                if report_loading(node, &mut framed, fence, &mut heartbeat).await {
                    continue;
                }
                return;
            }
            node.peers_turned_away.set(node.peers_turned_away.get() + 1);
            node.turned_away.notify_one();
            let absent = PeerMessage::Absent {
                incarnation: node.incarnation,
            };
            let _last = framed.send(encode(&absent)).await;
            return;
        };
        let message = tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(frame)) => answer(&leader, connection, &frame),
                Some(Err(_)) | None => return,
            },
            _ = heartbeat.tick() => {
                let coordinator = leader.coordinator.borrow();
                Some(PeerMessage::Beat {
                    fence: leader.fence,
                    committed_ago: node.now().since(coordinator.committed_at()),
                })
            }
        };
        if let Some(message) = message {
            let sending = framed.send(encode(&message));
            // A peer that doesn't read is disconnected. It connects again later.
            match tokio::time::timeout(HEARTBEAT_TIMEOUT, sending).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }
}

/// Reports at each heartbeat that this process loads the records, until it has. False if the
/// connection has ended.
async fn report_loading(
    node: &EntryNode,
    framed: &mut Framed<TcpStream, LengthDelimitedCodec>,
    fence: u64,
    heartbeat: &mut tokio::time::Interval,
) -> bool {
    let loading = encode(&PeerMessage::Loading {
        incarnation: node.incarnation,
        fence,
    });
    tokio::select! {
        // A peer sends no requests before the first heartbeat.
        frame = framed.next() => matches!(frame, Some(Ok(_))),
        () = node.load_ended.notified() => {
            heartbeat.reset_immediately();
            true
        }
        _ = heartbeat.tick() => {
            let sending = framed.send(loading);
            matches!(tokio::time::timeout(HEARTBEAT_TIMEOUT, sending).await, Ok(Ok(())))
        }
    }
}

fn answer(leader: &LeaderHandle, connection: u64, frame: &BytesMut) -> Option<PeerMessage> {
    match postcard::from_bytes::<PeerRequest>(frame) {
        Ok(PeerRequest::State { number, id }) => Some(PeerMessage::State {
            number,
            state: leader.coordinator.borrow().committed_state(id),
        }),
        Ok(PeerRequest::Pending { number, queue }) => Some(PeerMessage::Pending {
            number,
            pending: leader.coordinator.borrow().pending_jobs(&queue),
        }),
        Ok(PeerRequest::Stored {
            id,
            queue,
            pool,
            spec,
            accepted_at,
        }) => {
            let record = JobRecord {
                id,
                queue,
                pool,
                spec,
                accepted_at,
                terms: None,
            };
            // The receiver is closed only if the leadership has just been released.
            let _sent = leader.events.send(Event::Stored(record));
            None
        }
        Ok(PeerRequest::Cancelled { id }) => {
            let _sent = leader.events.send(Event::Cancelled(id));
            None
        }
        Ok(PeerRequest::Evacuated { number }) => Some(PeerMessage::Evacuated {
            number,
            all: leader.coordinator.borrow().is_wholly_evacuated(),
        }),
        Ok(PeerRequest::Share { cpu_millis }) => {
            let mut handback = leader.handback.borrow_mut();
            handback.peer_connected(connection, cpu_millis);
            None
        }
        Err(_unreadable) => None,
    }
}

/// Whether a different incarnation answers at the address, which shows that the given one has
/// ended. False if nothing answers.
pub async fn has_ended(address: net::SocketAddr, incarnation: u64) -> bool {
    let connecting = TcpStream::connect(address);
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await else {
        return false;
    };
    let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
    let Ok(Some(Ok(frame))) = tokio::time::timeout(CONNECT_TIMEOUT, framed.next()).await else {
        return false;
    };
    match postcard::from_bytes::<PeerMessage>(&frame) {
        Ok(
            PeerMessage::Absent { incarnation: other }
            | PeerMessage::Loading {
                incarnation: other, ..
            },
        ) => other != incarnation,
        Ok(_) | Err(_) => false,
    }
}

/// Connects to the leader and provides the connection as `EntryNode::link` while the leader answers
/// requests. `incarnation` is the one that the leader row names. A heartbeat that gives the last
/// committed batch an age over `stale_after` ends it. Returns why the connection ended.
pub async fn follow_leader(
    node: &EntryNode,
    address: net::SocketAddr,
    incarnation: u64,
    stale_after: TimeSpan,
) -> LinkEnd {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_refused)) => return LinkEnd::Refused,
        Err(_elapsed) => return LinkEnd::Silent,
    };
    let _nodelay = stream.set_nodelay(true);
    let (sender, mut requests) = mpsc::unbounded_channel();
    let replies = rc::Rc::new(cell::RefCell::new(PendingReplies::default()));
    let link = rc::Rc::new(PeerLink {
        sender,
        replies: replies.clone(),
        next_number: cell::Cell::new(1),
    });
    let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
    let mut received_at = tokio::time::Instant::now();
    let connected_at = received_at;
    let end = loop {
        tokio::select! {
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else {
                    break LinkEnd::Broken;
                };
                received_at = tokio::time::Instant::now();
                match handle_message(&replies, &frame, incarnation, stale_after) {
                    LinkStep::Continue => {}
                    LinkStep::Serving => {
                        if node.link.borrow_mut().replace(link.clone()).is_none() {
                            link.report_share(node.settings.cpu_share);
                        }
                    }
                    LinkStep::Loading if connected_at.elapsed() > LOADING_TIMEOUT => {
                        break LinkEnd::Silent;
                    }
                    LinkStep::Loading => *node.link.borrow_mut() = None,
                    LinkStep::End(end) => break end,
                }
            }
            Some(request) = requests.recv() => {
                if framed.send(encode(&request)).await.is_err() {
                    break LinkEnd::Broken;
                }
            }
            () = tokio::time::sleep_until(received_at + HEARTBEAT_TIMEOUT) => break LinkEnd::Silent,
        }
    };
    *node.link.borrow_mut() = None;
    end
}

fn handle_message(
    replies: &cell::RefCell<PendingReplies>,
    frame: &BytesMut,
    incarnation: u64,
    stale_after: TimeSpan,
) -> LinkStep {
    match postcard::from_bytes::<PeerMessage>(frame) {
        Ok(PeerMessage::State { number, state }) => {
            if let Some(sender) = replies.borrow_mut().states.remove(&number) {
                // The request may have timed out.
                let _sent = sender.send(state);
            }
            LinkStep::Continue
        }
        Ok(PeerMessage::Pending { number, pending }) => {
            if let Some(sender) = replies.borrow_mut().pending.remove(&number) {
                let _sent = sender.send(pending);
            }
            LinkStep::Continue
        }
        Ok(PeerMessage::Evacuated { number, all }) => {
            if let Some(sender) = replies.borrow_mut().evacuated.remove(&number) {
                let _sent = sender.send(all);
            }
            LinkStep::Continue
        }
        Ok(PeerMessage::Beat { committed_ago, .. }) => {
            if committed_ago > stale_after {
                LinkStep::End(LinkEnd::Stale)
            } else {
                LinkStep::Serving
            }
        }
        Ok(PeerMessage::Loading {
            incarnation: other, ..
        }) if other == incarnation => LinkStep::Loading,
        Ok(
            PeerMessage::Absent { incarnation: other }
            | PeerMessage::Loading {
                incarnation: other, ..
            },
        ) => LinkStep::End(LinkEnd::Absent(other)),
        Err(_unreadable) => LinkStep::End(LinkEnd::Broken),
    }
}

fn encode(message: &impl Serialize) -> Bytes {
    // Encoding plain types into memory can't fail. A reader drops the connection on an empty frame.
    Bytes::from(postcard::to_allocvec(message).unwrap_or_default())
}
