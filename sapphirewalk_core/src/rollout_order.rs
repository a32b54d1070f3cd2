//! Decides whether a rollout comes in force: numbers only rise.

use serde::Deserialize;
use serde::Serialize;

/// A rollout's number and the digest that it points at.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct RolloutName {
    /// The number.
    pub sequence: u64,
    /// The digest of the bundle, in hexadecimal.
    pub digest: String,
}

/// What to do with a rollout that was offered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OfferStep {
    /// Put it in force now.
    Apply,
    /// Keep it as the latest; nothing is in force before the startup has ended.
    Hold,
    /// Leave it: as new a one, or a newer, is known.
    Ignore,
    /// Leave it and report a fault: the number is known with another digest.
    Conflict,
}

/// What to do as the process settles.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartupStep {
    /// Put the latest rollout so far in force.
    Apply,
    /// Wait for a first rollout.
    Wait,
    /// The process had ended its startup before.
    Done,
}

/// The order of rollouts at one process.
///
/// A process that has just started first asks the platform, or all peers when the platform gives no
/// answer, before it puts anything in force: the first peer heard may be a stale one.
#[derive(Clone, Debug, Default)]
pub struct RolloutOrder {
    latest: Option<RolloutName>,
    startup_ended: bool,
}

impl RolloutOrder {
    /// The order of a process that has just started.
    pub const fn new() -> Self {
        Self {
            latest: None,
            startup_ended: false,
        }
    }

    /// Decides on a rollout that was offered and found valid.
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

    /// Notes that the platform, or every peer that could be reached, has been asked.
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

    /// The latest rollout so far.
    pub const fn latest(&self) -> Option<&RolloutName> {
        self.latest.as_ref()
    }

    /// Whether a rollout with this number would be new.
    pub fn is_newer(&self, sequence: u64) -> bool {
        self.latest
            .as_ref()
            .is_none_or(|latest| sequence > latest.sequence)
    }
}
