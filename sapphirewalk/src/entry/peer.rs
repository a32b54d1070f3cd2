//! Questions from entry VMs to the leader, over one TCP connection each.

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
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
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

/// Time between beats of the leader.
pub const BEAT_INTERVAL: time::Duration = time::Duration::from_millis(300);
/// A connection on which nothing came for this long is dead: four beats.
pub const BEAT_SILENCE: time::Duration = time::Duration::from_millis(1_200);
/// Time for a connection to be made.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time for an answer from the leader: a few link delays.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(350);

/// From a peer to the leader.
#[derive(Debug, Deserialize, Serialize)]
enum PeerRequest {
    /// How does the job stand?
    State { number: u64, id: JobId },
    /// How many jobs of the queue wait?
    Pending { number: u64, queue: String },
    /// A job was stored.
    Stored {
        id: JobId,
        queue: String,
        pool: String,
        spec: JobSpec,
        accepted_at: TimePoint,
    },
    /// A job's cancelling was stored.
    Cancelled { id: JobId },
}

/// From the leader to a peer.
#[derive(Debug, Deserialize, Serialize)]
enum PeerMessage {
    /// The job stands so; none for a job that isn't known.
    State {
        number: u64,
        state: Option<JobState>,
    },
    /// So many jobs of the queue wait.
    Pending { number: u64, pending: usize },
    /// Still leading.
    Beat {
        fence: u64,
        /// Time since the last batch was committed.
        committed_ago: TimeSpan,
    },
    /// This incarnation of the process is not leading.
    Absent { incarnation: u64 },
}

/// A connection to the leader.
#[derive(Debug)]
pub struct PeerLink {
    sender: mpsc::UnboundedSender<PeerRequest>,
    waiting: rc::Rc<cell::RefCell<WaitingAnswers>>,
    next_number: cell::Cell<u64>,
}

#[derive(Debug, Default)]
struct WaitingAnswers {
    states: collections::BTreeMap<u64, oneshot::Sender<Option<JobState>>>,
    pending: collections::BTreeMap<u64, oneshot::Sender<usize>>,
}

/// Why a connection to the leader ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEnd {
    /// The VM refuses connections: its process is gone.
    Refused,
    /// The process there, in this incarnation, is not leading.
    Absent(u64),
    /// It doesn't answer.
    Silent,
    /// It has not recorded anything for too long: it has lost the store.
    Stale,
    /// The connection broke.
    Broken,
}

/// A coordinator that has not recorded anything for this long has lost the store: it renews its
/// lease every 400 ms.
const STALE_LIMIT: TimeSpan = TimeSpan::from_millis(1_600);

impl PeerLink {
    /// How a job stands; an error when the coordinator doesn't answer.
    pub async fn state(&self, id: JobId) -> Result<Option<JobState>, LinkEnd> {
        let number = self.number();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().states.insert(number, sender);
        let answer = self.ask(PeerRequest::State { number, id }, receiver).await;
        self.waiting.borrow_mut().states.remove(&number);
        answer
    }

    /// How many jobs of a queue wait; an error when the coordinator doesn't answer.
    pub async fn pending(&self, queue: &str) -> Result<usize, LinkEnd> {
        let number = self.number();
        let (sender, receiver) = oneshot::channel();
        self.waiting.borrow_mut().pending.insert(number, sender);
        let queue = queue.to_owned();
        let request = PeerRequest::Pending { number, queue };
        let answer = self.ask(request, receiver).await;
        self.waiting.borrow_mut().pending.remove(&number);
        answer
    }

    async fn ask<T>(
        &self,
        request: PeerRequest,
        receiver: oneshot::Receiver<T>,
    ) -> Result<T, LinkEnd> {
        self.sender
            .send(request)
            .map_err(|_closed| LinkEnd::Broken)?;
        match tokio::time::timeout(ASK_TIMEOUT, receiver).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_closed)) => Err(LinkEnd::Broken),
            Err(_elapsed) => Err(LinkEnd::Silent),
        }
    }

    /// Tells of an event; the store's feed tells the coordinator too, later.
    pub fn tell(&self, event: &Event) {
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
        // A broken link shows to the task that follows it; the feed brings the event then.
        let _sent = self.sender.send(request);
    }

    fn number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }
}

/// Serves peers for as long as the process runs.
pub async fn serve(node: rc::Rc<EntryNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let node = node.clone();
                task::spawn_local(async move { serve_peer(&node, stream).await });
            }
            Err(error) => {
                slog::warn!(node.log, "peer_accept_failed"; "error" => %error);
                tokio::time::sleep(BEAT_INTERVAL).await;
            }
        }
    }
}

async fn serve_peer(node: &EntryNode, stream: TcpStream) {
    // Without it small messages wait for one another, which only costs time.
    let _nodelay = stream.set_nodelay(true);
    let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
    let mut beat = tokio::time::interval(BEAT_INTERVAL);
    loop {
        let Some(leader) = node.own_leadership() else {
            let absent = PeerMessage::Absent {
                incarnation: node.incarnation,
            };
            let _last = framed.send(encode(&absent)).await;
            return;
        };
        let message = tokio::select! {
            frame = framed.next() => match frame {
                Some(Ok(frame)) => answer(&leader, &frame),
                Some(Err(_)) | None => return,
            },
            _ = beat.tick() => {
                let coordinator = leader.coordinator.borrow();
                Some(PeerMessage::Beat {
                    fence: leader.fence,
                    committed_ago: node.now().since(coordinator.committed_at()),
                })
            }
        };
        if let Some(message) = message {
            let sending = framed.send(encode(&message));
            // A peer that doesn't read is cut off; it will connect again.
            match tokio::time::timeout(BEAT_SILENCE, sending).await {
                Ok(Ok(())) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }
}

fn answer(leader: &LeaderHandle, frame: &BytesMut) -> Option<PeerMessage> {
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
            };
            // The receiver is gone only when the leadership has just been released.
            let _sent = leader.events.send(Event::Stored(record));
            None
        }
        Ok(PeerRequest::Cancelled { id }) => {
            let _sent = leader.events.send(Event::Cancelled(id));
            None
        }
        Err(_unreadable) => None,
    }
}

/// Whether another incarnation of a process answers at an address, so that the given one has ended.
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
        Ok(PeerMessage::Absent { incarnation: other }) => other != incarnation,
        Ok(_) | Err(_) => false,
    }
}

/// Keeps a connection to the leader; returns when it has to be suspected.
pub async fn follow(node: &EntryNode, address: net::SocketAddr) -> LinkEnd {
    let connecting = TcpStream::connect(address);
    let stream = match tokio::time::timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(_refused)) => return LinkEnd::Refused,
        Err(_elapsed) => return LinkEnd::Silent,
    };
    let _nodelay = stream.set_nodelay(true);
    let (sender, mut requests) = mpsc::unbounded_channel();
    let waiting = rc::Rc::new(cell::RefCell::new(WaitingAnswers::default()));
    let link = rc::Rc::new(PeerLink {
        sender,
        waiting: waiting.clone(),
        next_number: cell::Cell::new(1),
    });
    *node.link.borrow_mut() = Some(link);
    let mut framed = Framed::new(stream, LengthDelimitedCodec::new());
    let mut heard_at = tokio::time::Instant::now();
    let end = loop {
        tokio::select! {
            frame = framed.next() => {
                let Some(Ok(frame)) = frame else {
                    break LinkEnd::Broken;
                };
                heard_at = tokio::time::Instant::now();
                if let Some(end) = take_message(&waiting, &frame) {
                    break end;
                }
            }
            Some(request) = requests.recv() => {
                if framed.send(encode(&request)).await.is_err() {
                    break LinkEnd::Broken;
                }
            }
            () = tokio::time::sleep_until(heard_at + BEAT_SILENCE) => break LinkEnd::Silent,
        }
    };
    *node.link.borrow_mut() = None;
    end
}

fn take_message(waiting: &cell::RefCell<WaitingAnswers>, frame: &BytesMut) -> Option<LinkEnd> {
    match postcard::from_bytes::<PeerMessage>(frame) {
        Ok(PeerMessage::State { number, state }) => {
            if let Some(sender) = waiting.borrow_mut().states.remove(&number) {
                // The one who asked may have given up.
                let _sent = sender.send(state);
            }
            None
        }
        Ok(PeerMessage::Pending { number, pending }) => {
            if let Some(sender) = waiting.borrow_mut().pending.remove(&number) {
                let _sent = sender.send(pending);
            }
            None
        }
        Ok(PeerMessage::Beat { committed_ago, .. }) => {
            (committed_ago > STALE_LIMIT).then_some(LinkEnd::Stale)
        }
        Ok(PeerMessage::Absent { incarnation }) => Some(LinkEnd::Absent(incarnation)),
        Err(_unreadable) => Some(LinkEnd::Broken),
    }
}

fn encode(message: &impl Serialize) -> Bytes {
    // Encoding plain types into memory can't fail; the reader drops an empty frame's connection.
    Bytes::from(postcard::to_allocvec(message).unwrap_or_default())
}
