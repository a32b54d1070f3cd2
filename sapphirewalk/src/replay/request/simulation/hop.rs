//! Requests at gateways and their attempts.

use sapphirewalk_core::admission::RequestClaim;
use sapphirewalk_core::request_outcome::AttemptKey;
use sapphirewalk_core::request_outcome::RequestState;
use sapphirewalk_core::time::TimePoint;

use crate::replay::request::fake_gateway::TakenSlot;

/// A request at one gateway.
#[derive(Debug)]
pub struct RequestHop {
    /// The request of the trace.
    pub request: usize,
    /// The gateway.
    pub gateway: usize,
    /// The attempt of the gateway that forwarded the request here.
    pub forwarded_by: Option<usize>,
    /// What it claims of admission.
    pub claim: RequestClaim,
    /// What is known of its outcome.
    pub state: RequestState,
    /// The slot that is held for it until the request arrives from the peer that asked.
    pub reserved_slot: Option<TakenSlot>,
    /// Whether the peer that asked has yet to send the request.
    pub awaits_request: bool,
    /// Its attempts, in order of dispatch.
    pub attempts: Vec<usize>,
    /// Whether admission counts it as in use.
    pub is_admitted: bool,
    /// Whether it waits in the gateway's queue.
    pub is_queued: bool,
    /// Whether it has its outcome.
    pub has_ended: bool,
    /// Whether it has had a place in the queue of the gateway.
    pub was_queued: bool,
    /// Times that it was forwarded.
    pub forwards: u32,
    /// How often a hedge was decided.
    pub hedge_decisions: u32,
    /// When admission dispatched it.
    pub dispatched_at: TimePoint,
}

/// An attempt of a visit.
#[derive(Debug)]
pub struct HopAttempt {
    /// The visit that it belongs to.
    pub hop: usize,
    /// Its key within the visit.
    pub key: AttemptKey,
    /// Where it was sent.
    pub target: AttemptTarget,
    /// When it was sent.
    pub sent_at: TimePoint,
    /// Whether the peer granted a slot for it.
    pub is_granted: bool,
    /// Whether its end is known at the gateway.
    pub is_closed: bool,
    /// Whether it ended with an error of the endpoint.
    pub is_error: bool,
}

/// Where an attempt is sent.
#[derive(Clone, Copy, Debug)]
pub enum AttemptTarget {
    /// To an endpoint, with a slot of it.
    Endpoint(TakenSlot),
    /// To a gateway that reported free slots.
    Peer(usize),
}
