//! The delay after which an entry VM becomes a candidate for leadership.
//!
//! The delays differ, so that the VMs don't all write to the store at once. VMs with a small share
//! of a core wait longest: the coordinator of the largest deployments needs a quarter of a core,
//! and small VMs there have an eighth or less.

use std::hash::Hasher;

use crate::time::TimeSpan;

/// Number of different delays that depend on a VM's name.
const DELAY_STEPS: u32 = 8;
/// Difference between two of these delays: several store calls of 4 ms.
const DELAY_STEP: TimeSpan = TimeSpan::from_millis(35);
/// A VM with less than this fraction of the largest known share of a core is small.
const SMALL_VM_RATIO: f64 = 0.75;
/// What a small VM waits before all others: the delays of the others, and the time between the
/// first and the last heartbeat that VMs miss.
const SMALL_VM_DELAY: TimeSpan = TimeSpan::from_millis(600);
/// Delay of the first election for each tenth of a core that a VM has less than a whole one.
/// Callers arrive only seconds later, so there is time for the largest VM to become a candidate.
const FIRST_ELECTION_DELAY: TimeSpan = TimeSpan::from_millis(60);
const CPU_MILLIS_PER_CORE: u64 = 1_000;
const CPU_MILLIS_PER_TENTH: f64 = 100.0;

/// How long a VM waits before it tries to take the leadership.
///
/// Depends on the VM's name and on its share of a core, compared with the largest share that a
/// coordinator's VM is known to have had; both are in thousandths of a core. `largest` is none in
/// the first election.
pub fn candidate_delay(vm: &str, cpu_millis: u64, largest: Option<u64>) -> TimeSpan {
    let by_share = match largest {
        None => {
            let lacking = CPU_MILLIS_PER_CORE.saturating_sub(cpu_millis) as f64;
            FIRST_ELECTION_DELAY.scale(lacking / CPU_MILLIS_PER_TENTH)
        }
        Some(largest) if is_small(cpu_millis, largest) => SMALL_VM_DELAY,
        Some(_) => TimeSpan::ZERO,
    };
    name_delay(vm) + by_share
}

/// The part of the delay that depends on the VM's name.
pub fn name_delay(vm: &str) -> TimeSpan {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(vm.as_bytes());
    let step = (hasher.finish() >> 32) % u64::from(DELAY_STEPS);
    DELAY_STEP.scale(step as f64)
}

/// Whether a VM's share of a core is much smaller than the largest known one.
pub fn is_small(cpu_millis: u64, largest: u64) -> bool {
    (cpu_millis as f64) < largest as f64 * SMALL_VM_RATIO
}

/// Converts a share of a core, where 1.0 is a whole core, to thousandths; rounds to the nearest.
pub fn cpu_millis(share: f64) -> u64 {
    (share * CPU_MILLIS_PER_CORE as f64).round() as u64
}
