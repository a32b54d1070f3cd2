//! Faults of the platform that tests switch at run time.

use crate::platform::PlatformService;

/// The faults now in force.
#[derive(Debug, Default)]
pub(super) struct FaultSwitches {
    /// Delay of each call before its effect, in milliseconds.
    pub delay_ms: u64,
    /// Committed transactions whose answers are yet to be lost.
    pub answers_to_lose: u32,
    /// Transactions that are yet to be lost before their effect.
    pub requests_to_lose: u32,
    /// Services that answer 503, sorted.
    down: Vec<PlatformService>,
    /// Callers that are cut off, sorted.
    blocked_callers: Vec<String>,
}

/// What becomes of a call before it reaches its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallAdmission {
    /// The call is served.
    Serve,
    /// The call is answered 503.
    Refuse,
    /// The connection is closed without an answer.
    Close,
}

impl FaultSwitches {
    pub fn set_down(&mut self, service: PlatformService, down: bool) {
        match (self.down.binary_search(&service), down) {
            (Err(position), true) => self.down.insert(position, service),
            (Ok(position), false) => {
                self.down.remove(position);
            }
            (Ok(_), true) | (Err(_), false) => {}
        }
    }

    pub fn block_caller(&mut self, caller: &str) {
        if let Err(position) = self.search_caller(caller) {
            self.blocked_callers.insert(position, caller.to_owned());
        }
    }

    pub fn unblock_caller(&mut self, caller: &str) {
        if let Ok(position) = self.search_caller(caller) {
            self.blocked_callers.remove(position);
        }
    }

    pub fn admit(&self, service: PlatformService, caller: &str) -> CallAdmission {
        if self.search_caller(caller).is_ok() {
            return CallAdmission::Close;
        }
        match self.down.binary_search(&service) {
            Ok(_) => CallAdmission::Refuse,
            Err(_) => CallAdmission::Serve,
        }
    }

    /// Whether the transaction at hand is lost before its effect.
    pub fn take_lost_request(&mut self) -> bool {
        take_one(&mut self.requests_to_lose)
    }

    /// Whether the answer to the committed transaction at hand is lost.
    pub fn take_lost_answer(&mut self) -> bool {
        take_one(&mut self.answers_to_lose)
    }

    fn search_caller(&self, caller: &str) -> Result<usize, usize> {
        self.blocked_callers
            .binary_search_by(|name| name.as_str().cmp(caller))
    }
}

fn take_one(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count = count.saturating_sub(1);
    taken
}
