//! Decides whether a process applies a rollout; sequence numbers never decrease.

use serde::Deserialize;
use serde::Serialize;

/// Sequence number of a rollout and the digest of its bundle.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RolloutName {
    /// Sequence number; a higher one supersedes all lower ones.
    pub sequence: u64,
    /// Digest of the bundle, in hexadecimal.
    pub digest: String,
}

/// Decision on an offered rollout.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferStep {
    /// Apply it now.
    Apply,
    /// Keep it until startup has ended; no rollout is applied before.
    Hold,
    /// Ignore it, since the same or a newer rollout is known.
    Ignore,
    /// Ignore it and report a fault: the sequence number is known with another digest.
    Conflict,
}

/// Action at the end of startup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartupStep {
    /// Apply the latest rollout.
    Apply,
    /// Wait for the first rollout, since none is known yet.
    Wait,
    /// Startup had ended before; no action.
    Done,
}

/// Latest rollout known to one process.
///
/// During startup, a process queries the platform, or all peers if the platform does not answer.
/// It applies no rollout before that, since the first peer to answer may be out of date.
#[derive(Clone, Debug, Default)]
pub struct RolloutOrder {
    /// Valid rollout with the highest sequence number so far.
    latest: Option<RolloutName>,
    startup_ended: bool,
}

impl RolloutOrder {
    /// State at process start: no rollout is known and startup has not ended.
    pub const fn new() -> Self {
        Self {
            latest: None,
            startup_ended: false,
        }
    }

    /// Decides on an offered rollout that has been validated.
    pub fn offer(&mut self, offered: &RolloutName) -> OfferStep {
        if let Some(latest) = &self.latest {
            if offered.sequence == latest.sequence && offered.digest != latest.digest {
                return OfferStep::Conflict;
            }
            if offered.sequence <= latest.sequence {
                return OfferStep::Ignore;
            }
        }
        self.latest = Some(offered.clone());
        if self.startup_ended {
            OfferStep::Apply
        } else {
            OfferStep::Hold
        }
    }

    /// Ends startup, once the platform or all reachable peers have been queried.
    pub fn end_startup(&mut self) -> StartupStep {
        if self.startup_ended {
            return StartupStep::Done;
        }
        self.startup_ended = true;
        match self.latest {
            Some(_) => StartupStep::Apply,
            None => StartupStep::Wait,
        }
    }

    /// Rollout with the highest sequence number so far; `None` if none was offered.
    pub const fn latest(&self) -> Option<&RolloutName> {
        self.latest.as_ref()
    }

    /// Whether a rollout with this sequence number would be newer than the latest.
    pub fn is_newer(&self, sequence: u64) -> bool {
        self.latest
            .as_ref()
            .is_none_or(|latest| sequence > latest.sequence)
    }
}
