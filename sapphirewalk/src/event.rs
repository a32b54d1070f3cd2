//! Names of all log events of the gateway and scheduler daemons.

use std::fmt;

macro_rules! event_names {
    ($($(#[$attribute:meta])* $variant:ident => $name:literal,)+) => {
        /// Event of a log line. The names are part of the documented log format.
        #[derive(Clone, Copy, Debug, Eq, PartialEq)]
        pub enum EventName {
            $($(#[$attribute])* $variant,)+
        }

        impl EventName {
            /// Value of `event=` in the log line.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)+
                }
            }
        }
    };
}

event_names! {
    /// The daemon has started.
    ProcessStarted => "process_started",
    /// A graceful shutdown has begun.
    ShutdownBegun => "shutdown_begun",
    /// The daemon has finished its graceful shutdown.
    ProcessStopped => "process_stopped",
    /// Connections of callers were closed or requests refused to stay within the limits.
    CallersRefused => "callers_refused",
    /// A call to the platform failed.
    PlatformFailed => "platform_failed",
    /// An incoming connection of a peer could not be established.
    PeerFailed => "peer_failed",
    /// A newer rollout came into force.
    RolloutApplied => "rollout_applied",
    /// A rollout was rejected, since its signature, digest or content is invalid.
    RolloutRejected => "rollout_rejected",
    /// A seat was acquired, released or lost.
    SeatChanged => "seat_changed",
    /// An endpoint is shutting down and gets no more requests.
    EndpointLeaving => "endpoint_leaving",
    /// A request has reached its final outcome.
    RequestEnded => "request_ended",
    /// A graceful shutdown cut off requests that were in flight at its time limit.
    DrainEnded => "drain_ended",
    /// A shard was acquired, released or lost.
    ShardChanged => "shard_changed",
    /// A shard is released, since this scheduler holds more than an even part of the shards.
    ShardSurplus => "shard_surplus",
    /// The start command of an attempt is sent to a worker.
    TaskPlaced => "task_placed",
    /// A task has finished or failed, or was cancelled, parked, evicted, stopped or moved.
    TaskChanged => "task_changed",
    /// A call to a worker failed.
    WorkerFailed => "worker_failed",
    /// A worker is shutting down and gets no new tasks.
    WorkerLeaving => "worker_leaving",
    /// Audit records were not stored: encoding failed, or the shutdown reached its time limit.
    AuditGap => "audit_gap",
}

impl fmt::Display for EventName {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
