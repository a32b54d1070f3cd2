//! Outcomes of requests, and their names in responses, peer messages and audit records.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;

use sapphirewalk_core::admission::RefuseReason;
use sapphirewalk_wire::endpoint;

/// Error in a request; a repeat fails unless the request is changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFault {
    /// The bundle has no such kind, or the kind has no service.
    UnknownKind,
    /// The user header is missing, empty, too long or contains `/`.
    NoUser,
    /// The kind is not idempotent, and the idempotency key is missing or malformed.
    NoIdempotencyKey,
    /// The deadline header is not a whole number of milliseconds.
    BadDeadline,
    /// The body is longer than the setting `gateway.body_bytes_max`.
    BodyTooLarge,
    /// The connection closed before the body was complete.
    BodyBroken,
}

/// Reason why a request certainly did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The request is invalid.
    Fault(RequestFault),
    /// No bundle is in force yet.
    NoBundle,
    /// This gateway has no slot to wait for, and no peer has one.
    NoCapacity,
    /// The kind's queue is full.
    QueueFull,
    /// The request would wait and run beyond its deadline, or the deadline passed in the queue.
    DeadlineTooShort,
    /// No endpoint with a free slot could be reached, or all that were tried refused the request.
    NoEndpoint,
    /// The idempotency key could not be recorded, so at-most-once execution could not be ensured.
    PlatformDown,
    /// The gateway is shutting down and takes no more requests from peers.
    ShuttingDown,
    /// There is no memory for the body at present.
    NoMemory,
    /// The caller disconnected while the request was queued.
    CallerGone,
}

/// Reason why it is unknown whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownReason {
    /// No answer arrived before the deadline.
    TimedOut,
    /// The connection to the endpoint broke, or its answer was incomplete or had another request
    /// ID.
    Broken,
    /// The connection to the peer broke before its answer was complete.
    PeerLost,
}

/// Complete answer of an endpoint.
#[derive(Clone, Debug)]
pub struct EndpointAnswer {
    /// HTTP status; passed on to the caller.
    pub status: StatusCode,
    /// Headers without those that apply to one connection only.
    pub headers: HeaderMap,
    /// Complete body, at most `gateway.body_bytes_max` bytes long.
    pub body: Bytes,
}

/// Final outcome of a request.
#[derive(Clone, Debug)]
pub enum RequestOutcome {
    /// An endpoint answered, with success or with an error of its own.
    Answered(EndpointAnswer),
    /// No endpoint has run it, and none will.
    NotRun(NotRunReason),
    /// It may have run, or may still be running.
    Unknown(UnknownReason),
    /// An earlier request holds its idempotency key. This one did not run.
    Duplicate,
}

impl RequestFault {
    /// Reason as written to responses, peer messages and audit records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::UnknownKind => "unknown-kind",
            Self::NoUser => "no-user",
            Self::NoIdempotencyKey => "no-idempotency-key",
            Self::BadDeadline => "bad-deadline",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
        }
    }

    const fn status(self) -> StatusCode {
        match self {
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    const fn remedy(self) -> &'static str {
        match self {
            Self::UnknownKind => "set sapphirewalk-kind to a kind of the bundle that has a service",
            Self::NoUser => "set sapphirewalk-user to at most 128 bytes without `/`",
            Self::NoIdempotencyKey => {
                "set idempotency-key to at most 128 bytes without `/`, the same for each repeat"
            }
            Self::BadDeadline => "set sapphirewalk-deadline-ms to milliseconds, or leave it out",
            Self::BodyTooLarge => "send a smaller body, or raise gateway.body_bytes_max",
            Self::BodyBroken => "send the whole body",
        }
    }
}

impl NotRunReason {
    /// Reason as written to responses, peer messages and audit records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Fault(fault) => fault.as_str(),
            Self::NoBundle => "no-bundle",
            Self::NoCapacity => "no-capacity",
            Self::QueueFull => "queue-full",
            Self::DeadlineTooShort => "deadline-too-short",
            Self::NoEndpoint => "no-endpoint",
            Self::PlatformDown => "platform-down",
            Self::ShuttingDown => "shutting-down",
            Self::NoMemory => "no-memory",
            Self::CallerGone => "caller-gone",
        }
    }

    const fn remedy(self) -> &'static str {
        match self {
            Self::Fault(fault) => fault.remedy(),
            Self::NoBundle => "roll out a bundle",
            Self::NoCapacity
            | Self::QueueFull
            | Self::NoEndpoint
            | Self::NoMemory
            | Self::CallerGone => "repeat later",
            Self::DeadlineTooShort => "repeat later, or allow more time",
            Self::PlatformDown => "repeat with the same key when the platform is up",
            Self::ShuttingDown => "repeat at once through the balancer",
        }
    }
}

impl From<RefuseReason> for NotRunReason {
    fn from(reason: RefuseReason) -> Self {
        match reason {
            RefuseReason::UnknownKind => Self::Fault(RequestFault::UnknownKind),
            RefuseReason::QueueFull => Self::QueueFull,
            RefuseReason::DeadlineTooShort | RefuseReason::WaitTooLong => Self::DeadlineTooShort,
            RefuseReason::NoFreeSlot => Self::NoCapacity,
        }
    }
}

impl UnknownReason {
    /// Reason as written to responses, peer messages and audit records.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TimedOut => "timed-out",
            Self::Broken => "broken",
            Self::PeerLost => "peer-lost",
        }
    }
}

impl RequestOutcome {
    /// Name of the outcome, as written to responses, metrics and audit records.
    pub const fn outcome_name(&self) -> &'static str {
        match self {
            Self::Answered(_) => endpoint::OUTCOME_ANSWERED,
            Self::NotRun(_) => endpoint::OUTCOME_NOT_RUN,
            Self::Unknown(_) => endpoint::OUTCOME_UNKNOWN,
            Self::Duplicate => endpoint::OUTCOME_DUPLICATE,
        }
    }

    /// Reason as written to responses, peer messages and audit records.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
            Self::Duplicate => "key-taken",
        }
    }

    /// HTTP status of the response to the caller.
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::Answered(answer) => answer.status,
            Self::NotRun(NotRunReason::Fault(fault)) => fault.status(),
            Self::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown(UnknownReason::TimedOut) => StatusCode::GATEWAY_TIMEOUT,
            Self::Unknown(_) => StatusCode::BAD_GATEWAY,
            Self::Duplicate => StatusCode::CONFLICT,
        }
    }

    /// Whether the body of the request was not read to its end.
    pub const fn leaves_body_unread(&self) -> bool {
        matches!(
            self,
            Self::NotRun(
                NotRunReason::NoMemory
                    | NotRunReason::Fault(RequestFault::BodyTooLarge | RequestFault::BodyBroken)
            )
        )
    }

    /// Advice to the caller, sent as the body of the response; empty if an endpoint answered.
    pub const fn remedy(&self) -> &'static str {
        match self {
            Self::Answered(_) => "",
            Self::NotRun(reason) => reason.remedy(),
            Self::Unknown(_) => "find out whether it ran before sending it with another key",
            Self::Duplicate => "an earlier request with this key was taken up; look up its outcome",
        }
    }
}
