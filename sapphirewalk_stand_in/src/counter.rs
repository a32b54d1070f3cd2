//! Counters with their peak rate, gauges with their peak level, and a search for duplicates.

const SECOND_MS: u64 = 1_000;

/// Counts events, and the most of them in one second.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PeakCounter {
    /// Events since the counter was created.
    pub total: u64,
    /// The most events in one second of the clock, which starts at a whole Unix second.
    pub peak_per_second: u64,
    /// The second counted last, since the Unix epoch.
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

/// Counts units in use, such as slots or connections, and their peak.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LevelGauge {
    /// Units in use now.
    pub current: u32,
    /// The most units in use at once since the gauge was created.
    pub peak: u32,
}

impl LevelGauge {
    /// Counts one more in use.
    pub fn increment(&mut self) {
        self.current += 1;
        self.peak = self.peak.max(self.current);
    }

    /// Counts one less in use; stays at zero if none is.
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
