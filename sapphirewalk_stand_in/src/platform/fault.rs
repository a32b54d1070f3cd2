//! Faults of the platform that a test sets at run time.

use crate::platform::PlatformService;

/// The faults that apply to the coming calls.
#[derive(Debug, Default)]
pub(super) struct FaultSwitches {
    /// Delay of each call before it takes effect, in milliseconds; zero for none.
    pub delay_ms: u64,
    /// How many of the coming commits take effect but get no answer.
    pub answers_to_lose: u32,
    /// How many of the coming transactions are dropped before they take effect.
    pub requests_to_lose: u32,
    /// Services that answer 503, sorted.
    down: Vec<PlatformService>,
    /// VMs whose calls get no answer, sorted.
    blocked_vms: Vec<String>,
}

/// Whether a call reaches its service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallAdmission {
    /// The service handles the call.
    Serve,
    /// The service is down: the call gets 503.
    Refuse,
    /// The calling VM is blocked: the connection is closed without an answer.
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

    pub fn block_vm(&mut self, vm: &str) {
        if let Err(position) = self.search_vm(vm) {
            self.blocked_vms.insert(position, vm.to_owned());
        }
    }

    pub fn unblock_vm(&mut self, vm: &str) {
        if let Ok(position) = self.search_vm(vm) {
            self.blocked_vms.remove(position);
        }
    }

    pub fn admit(&self, service: PlatformService, vm: &str) -> CallAdmission {
        if self.search_vm(vm).is_ok() {
            return CallAdmission::Close;
        }
        match self.down.binary_search(&service) {
            Ok(_) => CallAdmission::Refuse,
            Err(_) => CallAdmission::Serve,
        }
    }

    /// Whether to drop this transaction before its effect; counts it against `requests_to_lose`.
    pub fn take_request_loss(&mut self) -> bool {
        decrement(&mut self.requests_to_lose)
    }

    /// Whether to drop the answer to this commit; counts it against `answers_to_lose`.
    pub fn take_answer_loss(&mut self) -> bool {
        decrement(&mut self.answers_to_lose)
    }

    fn search_vm(&self, vm: &str) -> Result<usize, usize> {
        self.blocked_vms
            .binary_search_by(|name| name.as_str().cmp(vm))
    }
}

/// Lowers a count by one, unless it is zero already; returns whether it was lowered.
fn decrement(count: &mut u32) -> bool {
    let lowered = *count > 0;
    *count = count.saturating_sub(1);
    lowered
}
