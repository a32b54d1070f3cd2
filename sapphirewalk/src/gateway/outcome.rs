//! How a request ended, and the words by which callers, peers and auditors are told.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::StatusCode;

use sapphirewalk_core::admission::RefuseReason;
use sapphirewalk_wire::endpoint;

/// What is wrong with a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestFault {
    /// The bundle names no such kind with a service.
    UnknownKind,
    /// No user, or a malformed one.
    NoUser,
    /// A kind that is not idempotent came without a key.
    NoIdempotencyKey,
    /// The deadline is not a number.
    BadDeadline,
    /// The body is too large.
    BodyTooLarge,
    /// The body broke off.
    BodyBroken,
}

/// Why a request did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunReason {
    /// The request is in error.
    Fault(RequestFault),
    /// No bundle is in force yet.
    NoBundle,
    /// No share here and no peer with a free slot.
    NoCapacity,
    /// The kind's queue is full.
    QueueFull,
    /// The wait and the run would end after the deadline.
    DeadlineTooShort,
    /// No endpoint took it.
    NoEndpoint,
    /// The idempotency key could not be recorded, so that at most once could not be promised.
    PlatformDown,
    /// The gateway shuts down.
    ShuttingDown,
    /// The caller went away while the request waited.
    CallerGone,
}

/// Why it is not known whether a request ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownReason {
    /// No answer came before the deadline.
    TimedOut,
    /// The connection to the endpoint broke, or its answer was not whole or not this request's.
    Broken,
    /// The peer's answer was lost.
    PeerLost,
}

/// An endpoint's answer, whole.
#[derive(Clone, Debug)]
pub struct EndpointAnswer {
    /// The HTTP status.
    pub status: StatusCode,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub enum RequestEnd {
    /// An endpoint answered.
    Answered(EndpointAnswer),
    /// No endpoint ran it, and none will.
    NotRun(NotRunReason),
    /// It may have run.
    Unknown(UnknownReason),
    /// An earlier request with its idempotency key was taken up.
    Duplicate,
}

impl RequestFault {
    /// The reason word.
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
    /// The reason word.
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
            Self::CallerGone => "caller-gone",
        }
    }

    const fn remedy(self) -> &'static str {
        match self {
            Self::Fault(fault) => fault.remedy(),
            Self::NoBundle => "roll out a bundle",
            Self::NoCapacity | Self::QueueFull | Self::NoEndpoint | Self::CallerGone => {
                "repeat later"
            }
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
            RefuseReason::NoFreeShare => Self::NoCapacity,
        }
    }
}

impl UnknownReason {
    /// The reason word.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::TimedOut => "timed-out",
            Self::Broken => "broken",
            Self::PeerLost => "peer-lost",
        }
    }
}

impl RequestEnd {
    /// The outcome word.
    pub const fn outcome(&self) -> &'static str {
        match self {
            Self::Answered(_) => endpoint::OUTCOME_ANSWERED,
            Self::NotRun(_) => endpoint::OUTCOME_NOT_RUN,
            Self::Unknown(_) => endpoint::OUTCOME_UNKNOWN,
            Self::Duplicate => endpoint::OUTCOME_DUPLICATE,
        }
    }

    /// The reason word.
    pub const fn reason(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::NotRun(reason) => reason.as_str(),
            Self::Unknown(reason) => reason.as_str(),
            Self::Duplicate => "key-taken",
        }
    }

    /// The HTTP status that a caller gets.
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

    /// What a caller without an answer can do.
    pub const fn remedy(&self) -> &'static str {
        match self {
            Self::Answered(_) => "",
            Self::NotRun(reason) => reason.remedy(),
            Self::Unknown(_) => "find out whether it ran before sending it with another key",
            Self::Duplicate => "an earlier request with this key was taken up; look up its outcome",
        }
    }
}
