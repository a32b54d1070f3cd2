//! What a process uses, as the operating system reports it.

use std::fs;
use std::time;

use rustix::process;

/// A process that has used no processor time for this long has handled all that it has received.
const SETTLED_TIME: time::Duration = time::Duration::from_millis(400);
/// Longest wait for it. Processes also work by themselves.
const SETTLE_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Clock ticks of processor time that a process uses by itself within [`SETTLED_TIME`], at most.
const OWN_TICKS: u64 = 3;

/// A running process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessGauge {
    id: u32,
}

impl ProcessGauge {
    pub const fn new(id: u32) -> Self {
        Self { id }
    }

    /// Largest resident memory since the process started, in bytes. Panics if it has ended.
    pub fn peak_memory(self) -> usize {
        let path = format!("/proc/{}/status", self.id);
        let status = fs::read_to_string(path).unwrap_or_default();
        let peak = status.lines().find_map(|line| {
            let value = line.strip_prefix("VmHWM:")?.trim().strip_suffix(" kB")?;
            value.parse::<usize>().ok()
        });
        peak.expect("the process has ended") * 1_024
    }

    /// Number of open descriptors. Panics if the process has ended.
    pub fn descriptors(self) -> usize {
        let entries = fs::read_dir(format!("/proc/{}/fd", self.id));
        entries.expect("the process has ended").count()
    }

    /// Waits until the process has handled what it has received.
    pub async fn settle(self) {
        let deadline = time::Instant::now() + SETTLE_TIMEOUT;
        let mut before = self.processor_ticks();
        while time::Instant::now() < deadline {
            tokio::time::sleep(SETTLED_TIME).await;
            let ticks = self.processor_ticks();
            if ticks <= before + OWN_TICKS {
                return;
            }
            before = ticks;
        }
    }

    /// Processor time used so far, in clock ticks; 0 if the process has ended.
    fn processor_ticks(self) -> u64 {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.id)).unwrap_or_default();
        // User and system time are the 12th and 13th field after the name in parentheses.
        let fields = stat.rsplit_once(')').map_or("", |(_, fields)| fields);
        let times = fields.split_whitespace().skip(11).take(2);
        times.filter_map(|time| time.parse::<u64>().ok()).sum()
    }

    /// Lowers the limit of open descriptors of the process.
    pub fn limit_descriptors(self, most: usize) {
        let pid = i32::try_from(self.id).ok().and_then(process::Pid::from_raw);
        let limit = process::Rlimit {
            current: Some(most as u64),
            maximum: Some(most as u64),
        };
        process::prlimit(pid, process::Resource::Nofile, limit)
            .expect("the process was started here");
    }
}
