//! Incoming call of a peer.

use bytes::Bytes;
use tokio::sync::oneshot;

use crate::peer::PeerReply;
use crate::peer::PeerRequest;

/// Incoming call of a peer. Dropping it resets the stream, so the peer gets no answer.
#[derive(Debug)]
pub struct PeerCall {
    /// Request message.
    pub request: PeerRequest,
    /// Body after the request message; empty if the request has none.
    pub body: Bytes,
    reply: oneshot::Sender<(PeerReply, Bytes)>,
}

impl PeerCall {
    /// Call, and the receiver of the reply with its body.
    pub fn new(request: PeerRequest, body: Bytes) -> (Self, oneshot::Receiver<(PeerReply, Bytes)>) {
        let (reply, receiver) = oneshot::channel();
        (
            Self {
                request,
                body,
                reply,
            },
            receiver,
        )
    }

    /// Sends a reply without a body.
    pub fn answer(self, message: PeerReply) {
        self.answer_with_body(message, Bytes::new());
    }

    /// Sends a reply with a body.
    pub fn answer_with_body(self, message: PeerReply, body: Bytes) {
        // Sending fails only if the task that serves the stream has ended.
        let _ = self.reply.send((message, body));
    }
}
