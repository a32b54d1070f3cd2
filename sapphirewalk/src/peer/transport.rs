//! QUIC transport of calls to and from peers.

use std::net;
use std::sync::Arc;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use serde::Serialize;
use serde::de::DeserializeOwned;
use slog::Logger;
use slog::debug;
use tokio::sync::Mutex;
use tokio::sync::mpsc;

use crate::config::TlsSettings;
use crate::event::EventName;
use crate::peer::PeerAddress;
use crate::peer::PeerCall;
use crate::peer::PeerError;
use crate::peer::PeerReply;
use crate::peer::PeerRequest;
use crate::peer::tls;
use crate::traffic::TrafficCount;
use crate::traffic::TrafficCounter;

/// Capacity of the queue of incoming calls. If it is full, streams wait without an answer.
const CALL_QUEUE_CAPACITY: usize = 1_024;
/// Maximum size of a message with its body, in bytes.
const FRAME_BYTES_MAX: usize = 16 << 20;
/// Size of the message length at the start of a frame, in bytes.
const LENGTH_BYTES: usize = 4;

/// Client and server of calls between peers. Clones share their connections.
#[derive(Clone, Debug)]
pub struct PeerTransport {
    endpoint: quinn::Endpoint,
    /// Outgoing connections, sorted by address.
    connections: Arc<Mutex<Vec<OpenConnection>>>,
    traffic: Arc<TrafficCounter>,
}

#[derive(Clone, Debug)]
struct OpenConnection {
    address: net::SocketAddr,
    peer_name: String,
    connection: quinn::Connection,
}

impl PeerTransport {
    /// Binds the peer socket and accepts calls, which arrive at the receiver.
    ///
    /// # Errors
    ///
    /// [`PeerError::Setup`] for an invalid certificate or key, [`PeerError::Bind`] if the address
    /// can't be bound.
    pub fn bind(
        address: net::SocketAddr,
        settings: &TlsSettings,
        logger: Logger,
    ) -> Result<(Self, mpsc::Receiver<PeerCall>), PeerError> {
        let quic = tls::load(settings)?;
        let mut endpoint =
            quinn::Endpoint::server(quic.server, address).map_err(PeerError::Bind)?;
        endpoint.set_default_client_config(quic.client);
        let (sender, receiver) = mpsc::channel(CALL_QUEUE_CAPACITY);
        let traffic = Arc::new(TrafficCounter::default());
        tokio::spawn(accept_all(
            endpoint.clone(),
            sender,
            Arc::clone(&traffic),
            logger,
        ));
        let connections = Arc::new(Mutex::new(Vec::new()));
        Ok((
            Self {
                endpoint,
                connections,
                traffic,
            },
            receiver,
        ))
    }

    /// Sends a request to a peer and waits for the reply.
    ///
    /// Opens a connection if there is none. There is no timeout; the caller sets one.
    ///
    /// # Errors
    ///
    /// [`PeerError::Unreachable`] means that no byte of the call was sent, so the call may be
    /// repeated at another peer. After any other error the outcome is unknown.
    pub async fn call(
        &self,
        peer: &PeerAddress,
        request: &PeerRequest,
        body: Bytes,
    ) -> Result<(PeerReply, Bytes), PeerError> {
        let frame = encode(request, &body)?;
        self.traffic.sent(frame.len());
        let connection = self.connect(peer).await?;
        let opened = connection.open_bi().await;
        let (mut sender, mut receiver) = match opened {
            Ok(streams) => streams,
            Err(error) => {
                self.remove_connection(peer.address, &connection).await;
                return Err(PeerError::Unreachable(error.to_string()));
            }
        };
        let exchanged = exchange(&mut sender, &mut receiver, &frame).await;
        if exchanged.is_err() && connection.close_reason().is_some() {
            self.remove_connection(peer.address, &connection).await;
        }
        let answer = exchanged?;
        self.traffic.received(answer.len());
        decode(&answer)
    }

    /// Calls and replies to incoming calls since the start, with the bytes of their frames in both
    /// directions. A call that fails to connect counts as sent.
    pub fn traffic(&self) -> TrafficCount {
        self.traffic.count()
    }

    /// Closes all connections and waits until the peers have received the close frames.
    pub async fn close(&self) {
        self.endpoint.close(quinn::VarInt::from_u32(0), b"shutdown");
        self.endpoint.wait_idle().await;
    }

    async fn connect(&self, peer: &PeerAddress) -> Result<quinn::Connection, PeerError> {
        if let Some(connection) = self.open_connection(peer).await {
            return Ok(connection);
        }
        let connecting = self
            .endpoint
            .connect(peer.address, &peer.name)
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let connection = connecting
            .await
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let mut connections = self.connections.lock().await;
        let open = OpenConnection {
            address: peer.address,
            peer_name: peer.name.clone(),
            connection: connection.clone(),
        };
        match connections.binary_search_by_key(&peer.address, |open| open.address) {
            Ok(position) => connections[position] = open,
            Err(position) => connections.insert(position, open),
        }
        Ok(connection)
    }

    /// Open connection to a peer; `None` if it was closed or was opened under another VM name.
    async fn open_connection(&self, peer: &PeerAddress) -> Option<quinn::Connection> {
        let connections = self.connections.lock().await;
        let position = connections
            .binary_search_by_key(&peer.address, |open| open.address)
            .ok()?;
        let open = &connections[position];
        let usable = open.peer_name == peer.name && open.connection.close_reason().is_none();
        usable.then(|| open.connection.clone())
    }

    /// Removes a broken connection, unless another one has replaced it.
    async fn remove_connection(&self, address: net::SocketAddr, connection: &quinn::Connection) {
        let mut connections = self.connections.lock().await;
        connections.retain(|open| {
            open.address != address || open.connection.stable_id() != connection.stable_id()
        });
    }
}

async fn exchange(
    sender: &mut quinn::SendStream,
    receiver: &mut quinn::RecvStream,
    frame: &[u8],
) -> Result<Vec<u8>, PeerError> {
    sender
        .write_all(frame)
        .await
        .map_err(|error| PeerError::AnswerLost(error.to_string()))?;
    sender
        .finish()
        .map_err(|error| PeerError::AnswerLost(error.to_string()))?;
    receiver
        .read_to_end(FRAME_BYTES_MAX)
        .await
        .map_err(|error| PeerError::AnswerLost(error.to_string()))
}

async fn accept_all(
    endpoint: quinn::Endpoint,
    calls: mpsc::Sender<PeerCall>,
    traffic: Arc<TrafficCounter>,
    logger: Logger,
) {
    while let Some(incoming) = endpoint.accept().await {
        let calls = calls.clone();
        let traffic = Arc::clone(&traffic);
        let logger = logger.clone();
        tokio::spawn(async move {
            match incoming.await {
                Ok(connection) => accept_calls(connection, calls, traffic).await,
                Err(error) => {
                    debug!(logger, "{}", EventName::PeerFailed; "error" => %error);
                }
            }
        });
    }
}

async fn accept_calls(
    connection: quinn::Connection,
    calls: mpsc::Sender<PeerCall>,
    traffic: Arc<TrafficCounter>,
) {
    while let Ok((sender, receiver)) = connection.accept_bi().await {
        tokio::spawn(serve_call(
            sender,
            receiver,
            calls.clone(),
            Arc::clone(&traffic),
        ));
    }
}

async fn serve_call(
    mut sender: quinn::SendStream,
    mut receiver: quinn::RecvStream,
    calls: mpsc::Sender<PeerCall>,
    traffic: Arc<TrafficCounter>,
) {
    let Ok(frame) = receiver.read_to_end(FRAME_BYTES_MAX).await else {
        return;
    };
    traffic.received(frame.len());
    let Ok((request, body)) = decode::<PeerRequest>(&frame) else {
        return;
    };
    let (call, reply) = PeerCall::new(request, body);
    if calls.send(call).await.is_err() {
        return;
    }
    // A dropped call resets the stream, which the peer reports as a lost answer.
    let Ok((message, body)) = reply.await else {
        return;
    };
    let Ok(answer) = encode(&message, &body) else {
        return;
    };
    traffic.sent(answer.len());
    if sender.write_all(&answer).await.is_ok() && sender.finish().is_ok() {
        let _ = sender.stopped().await;
    }
}

fn encode<M: Serialize>(message: &M, body: &[u8]) -> Result<Bytes, PeerError> {
    let message_bytes =
        postcard::to_stdvec(message).map_err(|error| PeerError::Unreachable(error.to_string()))?;
    let length = u32::try_from(message_bytes.len())
        .map_err(|_| PeerError::Unreachable("message exceeds 4 GiB; reduce it".to_owned()))?;
    let mut frame = BytesMut::with_capacity(LENGTH_BYTES + message_bytes.len() + body.len());
    frame.put_u32(length);
    frame.put_slice(&message_bytes);
    frame.put_slice(body);
    Ok(frame.freeze())
}

fn decode<M: DeserializeOwned>(frame: &[u8]) -> Result<(M, Bytes), PeerError> {
    let (prefix, rest) = frame.split_first_chunk::<LENGTH_BYTES>().ok_or_else(|| {
        PeerError::BadAnswer("frame is too short for a message length".to_owned())
    })?;
    let length = u32::from_be_bytes(*prefix) as usize;
    let (message_bytes, body) = rest.split_at_checked(length).ok_or_else(|| {
        PeerError::BadAnswer("frame ends before the end of the message".to_owned())
    })?;
    let message = postcard::from_bytes(message_bytes)
        .map_err(|error| PeerError::BadAnswer(error.to_string()))?;
    Ok((message, Bytes::copy_from_slice(body)))
}
