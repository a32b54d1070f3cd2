//! The line in which entry VMs try to take the leadership.
//!
//! One of them is ahead of the others, so that they don't all write to the store at once, and VMs
//! with a small share of a core come last: coordinating the largest deployments takes a quarter
//! of a core, and their small VMs have an eighth or less.

use std::hash::Hasher;

use crate::time::TimeSpan;

/// Places in the line.
const PLACES: u32 = 8;
/// Time between two places: several store calls of 4 ms.
const PLACE_DELAY: TimeSpan = TimeSpan::from_millis(35);
/// A VM whose share is less than this part of the former coordinator's lets the whole line pass.
const SMALLER_SHARE: f64 = 0.75;
/// Where nobody has led yet there are seconds until callers come: a VM waits this long for each
/// tenth of a core that it lacks.
const FIRST_DELAY: TimeSpan = TimeSpan::from_millis(60);
/// A core in thousandths.
const WHOLE_CORE: u64 = 1_000;
/// A tenth of a core in thousandths.
const TENTH_CORE: f64 = 100.0;

/// How long a VM lets others go first: by its name, and by its share of a core next to the former
/// coordinator's, both in thousandths.
pub fn candidate_delay(vm: &str, cpu_millis: u64, former: Option<u64>) -> TimeSpan {
    let mut hasher = fnv::FnvHasher::default();
    hasher.write(vm.as_bytes());
    let place = (hasher.finish() >> 32) % u64::from(PLACES);
    let by_name = PLACE_DELAY.scale(place as f64);
    let by_share = match former {
        None => {
            let lacking = WHOLE_CORE.saturating_sub(cpu_millis) as f64;
            FIRST_DELAY.scale(lacking / TENTH_CORE)
        }
        Some(former) if (cpu_millis as f64) < former as f64 * SMALLER_SHARE => {
            PLACE_DELAY.scale(f64::from(PLACES))
        }
        Some(_) => TimeSpan::ZERO,
    };
    by_name + by_share
}

/// A share of a core in thousandths.
pub fn cpu_millis(share: f64) -> u64 {
    (share * WHOLE_CORE as f64).round() as u64
}
