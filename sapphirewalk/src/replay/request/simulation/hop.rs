//! Requests at gateways and their attempts.
//!
//! A request has a hop at the gateway where it arrives and, if it is forwarded, one at the peer.

use sapphirewalk_core::admission::AdmissionRequest;
use sapphirewalk_core::request_outcome::AttemptKey;
use sapphirewalk_core::request_outcome::RequestState;
use sapphirewalk_core::time::TimePoint;

use crate::replay::request::fake_gateway::TakenSlot;

/// State of a request at one gateway.
#[derive(Debug)]
pub struct RequestHop {
    /// Index of the request in the trace.
    pub request: usize,
    /// Index of the gateway.
    pub gateway: usize,
    /// Attempt by which another gateway forwarded the request; `None` if it came from its caller.
    pub forwarded_by: Option<usize>,
    /// Kind, user and deadline for admission; its request key is the index of this hop.
    pub admission_request: AdmissionRequest,
    /// State machine of its attempts and outcome.
    pub state: RequestState,
    /// Slot granted to the forwarding gateway, until the request arrives or the grant expires.
    pub reserved_slot: Option<TakenSlot>,
    /// Whether the forwarding gateway has requested a slot, but not sent the request yet.
    pub awaits_request: bool,
    /// Indices of its attempts, in order of dispatch.
    pub attempts: Vec<usize>,
    /// Whether it occupies a slot in the admission table.
    pub is_admitted: bool,
    /// Whether it waits in the queue of the admission table.
    pub is_queued: bool,
    /// Whether it has an outcome, its grant expired or its gateway was lost.
    pub has_ended: bool,
    /// Whether it has ever been queued; it then returns to the front when a peer declines it.
    pub was_queued: bool,
    /// Number of times that it was forwarded from here.
    pub forwards: u32,
    /// Number of decisions whether to hedge it.
    pub hedge_decisions: u32,
    /// Time at which admission last dispatched it; the time of arrival until then.
    pub dispatched_at: TimePoint,
}

/// Attempt of a request, sent from one gateway to an endpoint or a peer.
#[derive(Debug)]
pub struct HopAttempt {
    /// Index of the hop that sent it.
    pub hop: usize,
    /// Key in the state machine of the hop.
    pub key: AttemptKey,
    /// Endpoint or peer that it was sent to.
    pub target: AttemptTarget,
    /// Time of dispatch, without the network delay.
    pub sent_at: TimePoint,
    /// Whether the peer granted a slot; stays false if no slot had to be reserved.
    pub is_granted: bool,
    /// Whether the gateway has observed its end or cancelled it.
    pub is_closed: bool,
    /// Whether its answer reports an error of the endpoint.
    pub is_error: bool,
}

/// Destination of an attempt.
#[derive(Clone, Copy, Debug)]
pub enum AttemptTarget {
    /// Endpoint, with the slot that the attempt occupies there.
    Endpoint(TakenSlot),
    /// Index of a peer gateway that reported free slots.
    Peer(usize),
}
