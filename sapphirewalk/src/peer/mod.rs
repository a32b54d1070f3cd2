//! Calls between the system's own processes: QUIC with mutual TLS, messages in postcard.
//!
//! Each call is one bidirectional stream: a length, a message and a body in each direction.

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
pub use crate::peer::message::QuotaShortfall;
pub use crate::peer::message::RolloutPackage;
pub use crate::peer::message::ServiceStatus;
pub use crate::peer::message::ShardStatus;
pub use crate::peer::transport::PeerTransport;
