//! Calls between daemons on entry VMs, over QUIC with mutual TLS.
//!
//! Each call uses one bidirectional stream. Each direction carries the length of a postcard
//! message as a big-endian `u32`, the message, and a body up to the end of the stream.

mod call;
mod directory;
mod error;
mod gossip_state;
mod message;
mod tls;
mod transport;

pub use crate::peer::call::PeerCall;
pub use crate::peer::directory::PeerAddress;
pub use crate::peer::directory::PeerDirectory;
pub use crate::peer::directory::PeerRole;
pub use crate::peer::error::PeerError;
pub use crate::peer::gossip_state::GossipState;
pub use crate::peer::gossip_state::PeerView;
pub use crate::peer::message::ForwardAnswer;
pub use crate::peer::message::ForwardOutcome;
pub use crate::peer::message::ForwardRequest;
pub use crate::peer::message::HeaderEntry;
pub use crate::peer::message::LeavingVm;
pub use crate::peer::message::PeerReply;
pub use crate::peer::message::PeerRequest;
pub use crate::peer::message::PeerStatus;
pub use crate::peer::message::QuotaShortage;
pub use crate::peer::message::RolloutPackage;
pub use crate::peer::message::ServiceStatus;
pub use crate::peer::message::ShardStatus;
pub use crate::peer::transport::PeerTransport;
