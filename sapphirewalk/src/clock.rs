//! Monotonic clock of the process, in Unix time.

use rustix::time::ClockId;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const MICROS_PER_SECOND: u64 = 1_000_000;
const NANOS_PER_MICRO: u64 = 1_000;

/// Clock that is set to Unix time once, at the start, and never steps back.
///
/// It advances by the boot-time clock of the VM, which includes time spent suspended, so that
/// leases expire during a suspension. Later corrections of the real-time clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    unix_at_start: TimePoint,
    boot_at_start: TimePoint,
}

impl ProcessClock {
    /// Clock set to the real-time clock of the VM.
    pub fn start() -> Self {
        Self {
            unix_at_start: read_clock(ClockId::Realtime),
            boot_at_start: read_clock(ClockId::Boottime),
        }
    }

    /// Current time.
    pub fn now(&self) -> TimePoint {
        let elapsed: TimeSpan = read_clock(ClockId::Boottime).since(self.boot_at_start);
        self.unix_at_start + elapsed
    }
}

fn read_clock(id: ClockId) -> TimePoint {
    let time = rustix::time::clock_gettime(id);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    TimePoint::from_micros(seconds * MICROS_PER_SECOND + nanos / NANOS_PER_MICRO)
}
