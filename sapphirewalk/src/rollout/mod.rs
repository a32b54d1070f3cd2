//! Rollout in force: receiving and validating rollouts in increasing order of sequence number.

mod document;
mod error;
mod follow;
mod tracker;

pub use crate::rollout::document::parse_document;
pub use crate::rollout::error::RolloutError;
pub use crate::rollout::follow::fetch_from_peer;
pub use crate::rollout::follow::follow;
pub use crate::rollout::tracker::RolloutSource;
pub use crate::rollout::tracker::RolloutTracker;
pub use crate::rollout::tracker::VerifiedRollout;
