//! Clients that don't keep to the limits end no process, and other clients still get answers.
//!
//! Each test starts its own processes with a lowered memory limit, lets a crowd of one kind connect
//! and stay, and then checks what doesn't depend on the speed of the machine: the process is
//! running, its peak memory and its open descriptors are within the limits of its VM, and an
//! ordinary request is answered, both beside the crowd and after it has left.

mod client;
mod daemons;
mod entry;
#[path = "../entry/fleet.rs"]
#[allow(dead_code)]
mod fleet;
mod gauge;

use tokio::sync::Mutex;

use crate::gauge::ProcessGauge;

/// Memory of a VM in these tests, in bytes.
const MEMORY_BOUND: usize = 64 << 20;
/// Memory of a VM in these tests, in MiB.
const MEMORY_MB: usize = MEMORY_BOUND >> 20;
/// Limit of open descriptors of a process in these tests.
const DESCRIPTOR_LIMIT: usize = 300;
/// Most descriptors that may be open, so that a process can always connect to others.
const DESCRIPTOR_BOUND: usize = 200;
/// Clients of a crowd that holds connections.
const CONNECTION_CROWD: usize = 400;
/// Clients of a crowd that sends heads.
const HEAD_CROWD: usize = 300;

/// Held by the test that is running: crowds would disturb each other.
static TURN: Mutex<()> = Mutex::const_new(());

fn assert_within_limits(gauge: ProcessGauge) {
    let (memory, descriptors) = (gauge.peak_memory(), gauge.descriptors());
    println!("peak memory {memory} bytes, {descriptors} descriptors");
    assert!(
        memory <= MEMORY_BOUND,
        "peak memory is {memory} bytes, more than the {MEMORY_BOUND} of the VM"
    );
    assert!(
        descriptors <= DESCRIPTOR_BOUND,
        "{descriptors} descriptors are open, more than {DESCRIPTOR_BOUND}"
    );
}
