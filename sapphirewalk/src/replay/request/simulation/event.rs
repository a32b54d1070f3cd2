//! What happens in a run, and when.

use sapphirewalk_core::request_outcome::AttemptEvent;
use sapphirewalk_core::time::TimePoint;

/// What happens at a point.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum SimulationEvent {
    /// A request arrives at its gateway.
    RequestArrival { request: usize },
    /// A forwarded request arrives at a peer.
    ForwardArrival { attempt: usize },
    /// A peer is asked for a slot.
    ReserveRequest { attempt: usize },
    /// A peer's grant of a slot arrives.
    ReserveGrant { attempt: usize, hop: usize },
    /// A request arrives for which a slot is held.
    ReservedArrival { hop: usize },
    /// A question for a slot is no longer waited for.
    ReserveTimeout { attempt: usize },
    /// A slot is no longer held.
    GrantExpiry { hop: usize },
    /// A peer's reply arrives.
    PeerReply {
        attempt: usize,
        reply: PeerReply,
        free_slots: u32,
    },
    /// An attempt arrives at its endpoint.
    EndpointArrival { attempt: usize },
    /// A run ends at its endpoint.
    RunEnd { attempt: usize, is_error: bool },
    /// The end of an attempt becomes known at its gateway.
    AttemptEnd { attempt: usize, end: AttemptReply },
    /// An attempt that has not ended is overdue.
    OverdueCheck { attempt: usize },
    /// A hedge is decided.
    HedgeCheck { hop: usize },
    /// A request's deadline.
    Deadline { hop: usize },
    /// A gateway reports its free slots to its peers.
    SendReports { gateway: usize },
    /// A report arrives.
    ReportArrival {
        gateway: usize,
        peer: usize,
        free_slots: u32,
    },
    /// A gateway is lost.
    GatewayLoss { gateway: usize },
    /// An endpoint's connections break.
    ConnectionBreak { endpoint: usize },
}

/// What a peer replies.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PeerReply {
    /// The answer of the endpoint.
    Answered,
    /// The endpoint's answer that it failed.
    Error,
    /// No free slot; nothing was tried.
    Declined,
    /// Tried, and surely not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What becomes known of an attempt at an endpoint.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum AttemptReply {
    /// The whole answer.
    Answered,
    /// An answer that the endpoint failed.
    Error,
    /// The connection was refused.
    Refused,
    /// The connection broke.
    Broken,
}

/// Something that happens at a point; entries of one point in the order of their numbers.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ScheduledEvent {
    /// The point.
    pub at: TimePoint,
    /// Rises with each entry.
    pub sequence: u64,
    /// What happens.
    pub event: SimulationEvent,
}

impl PeerReply {
    /// The event at the gateway that sent the attempt.
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
    /// The event at the gateway that sent the attempt.
    pub const fn attempt_event(self) -> AttemptEvent {
        match self {
            Self::Answered => AttemptEvent::Answered,
            Self::Error => AttemptEvent::AnsweredError,
            Self::Refused => AttemptEvent::NotSent,
            Self::Broken => AttemptEvent::Broken,
        }
    }
}
