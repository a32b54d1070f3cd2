//! Counters with the peak of any one second, gauges with their highest level, and repeats.

/// Milliseconds in one second.
const SECOND_MS: u64 = 1_000;

/// Counts events in total and in the busiest second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeakCounter {
    /// Events so far.
    pub total: u64,
    /// Most events in one second of the clock.
    pub peak_per_second: u64,
    second: u64,
    events_in_second: u64,
}

impl PeakCounter {
    /// Adds `events` that happened at `now_ms`, in Unix milliseconds.
    pub fn add(&mut self, events: u64, now_ms: u64) {
        let second = now_ms / SECOND_MS;
        if second != self.second {
            self.second = second;
            self.events_in_second = 0;
        }
        self.total += events;
        self.events_in_second += events;
        self.peak_per_second = self.peak_per_second.max(self.events_in_second);
    }
}

/// Counts what is in use now and the most that ever was.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LevelGauge {
    /// In use now.
    pub current: u32,
    /// Most ever in use at once.
    pub peak: u32,
}

impl LevelGauge {
    /// Counts one more in use.
    pub fn increment(&mut self) {
        self.current += 1;
        self.peak = self.peak.max(self.current);
    }

    /// Counts one fewer in use.
    pub fn decrement(&mut self) {
        self.current = self.current.saturating_sub(1);
    }
}

/// The names that occur more than once, sorted.
pub(crate) fn repeated_names(mut names: Vec<String>) -> Vec<String> {
    names.sort();
    names
        .chunk_by(|left, right| left == right)
        .filter(|group| group.len() > 1)
        .map(|group| group[0].clone())
        .collect()
}
