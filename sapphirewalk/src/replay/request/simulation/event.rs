//! Events of the simulation.

use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::time::TimePoint;

/// Event, with the indices of what it concerns.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SimulationEvent {
    /// A request arrives from its caller at a gateway.
    RequestArrival { request: usize },
    /// A request that was forwarded without a reservation arrives at a peer.
    ForwardArrival { attempt: usize },
    /// A request to reserve a slot arrives at a peer.
    ReserveRequest { attempt: usize },
    /// A peer's grant of a slot arrives at the gateway that requested it; `hop` is at the peer.
    ReserveGrant { attempt: usize, hop: usize },
    /// A request arrives at the peer that reserved a slot for it.
    ReservedArrival { hop: usize },
    /// The time to wait for a grant is over.
    ReserveTimeout { attempt: usize },
    /// A reserved slot is released unless its request has arrived.
    GrantExpiry { hop: usize },
    /// A peer's reply to a forwarded request arrives, with the peer's free slots.
    PeerReply {
        attempt: usize,
        reply: PeerReply,
        free_slots: u32,
    },
    /// An attempt arrives at its endpoint.
    EndpointArrival { attempt: usize },
    /// An endpoint ends the run of an attempt.
    RunEnd { attempt: usize, is_error: bool },
    /// The reply to an attempt, or the failure of its connection, reaches the gateway.
    AttemptEnd { attempt: usize, reply: AttemptReply },
    /// An attempt counts as overdue if it has not ended.
    OverdueCheck { attempt: usize },
    /// It is decided whether to hedge a request.
    HedgeCheck { hop: usize },
    /// The deadline of a request is reached at one gateway.
    Deadline { hop: usize },
    /// A gateway sends its free slots to all peers.
    SendReports { gateway: usize },
    /// A report of free slots from `peer` arrives at `gateway`.
    ReportArrival {
        gateway: usize,
        peer: usize,
        free_slots: u32,
    },
    /// A gateway is lost for the rest of the run.
    GatewayLoss { gateway: usize },
    /// All connections of an endpoint break.
    ConnectionBreak { endpoint: usize },
}

/// Reply of a peer to a forwarded request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PeerReply {
    /// An endpoint answered.
    Answered,
    /// An endpoint answered with an error.
    Error,
    /// The peer had no free slot and made no attempt.
    Declined,
    /// Attempts were made, but certainly none has run.
    NotRun,
    /// An attempt may have run.
    Unknown,
}

/// End of an attempt at an endpoint, as its gateway observes it.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AttemptReply {
    /// The complete answer arrived.
    Answered,
    /// An answer arrived that reports a failure of the endpoint.
    Error,
    /// The connection was refused; the request has not run.
    Refused,
    /// The connection broke; the request may have run.
    Broken,
}

/// Event in the queue. Events at the same point are handled in the order of scheduling.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ScheduledEvent {
    /// Simulated time of the event.
    pub at: TimePoint,
    /// Number of events scheduled so far, this one included; unique within a run.
    pub sequence: u64,
    /// Event to handle at that time.
    pub event: SimulationEvent,
}

impl PeerReply {
    /// Event of the attempt at the gateway that forwarded the request.
    pub const fn attempt_event(self) -> AttemptEvent {
        match self {
            Self::Answered | Self::Error => AttemptEvent::Answered,
            Self::Declined => AttemptEvent::Declined,
            Self::NotRun => AttemptEvent::NotStarted,
            Self::Unknown => AttemptEvent::Broken,
        }
    }
}

impl AttemptReply {
    /// Event of the attempt at the gateway that sent it.
    pub const fn attempt_event(self) -> AttemptEvent {
        match self {
            Self::Answered => AttemptEvent::Answered,
            Self::Error => AttemptEvent::AnsweredError,
            Self::Refused => AttemptEvent::NotSent,
            Self::Broken => AttemptEvent::Broken,
        }
    }
}
