//! The jobs whose stored progress is out of date, and which of them the next batch writes.
//!
//! It answers loads under which more jobs change than a batch takes, on a slow store or under a
//! leader short of processor time. Rows of urgent jobs then go first, since their starts wait for
//! them. A share of each batch goes to the rows that have waited longest: workers keep the ends that
//! these rows record.

use crate::job_registry::JobSlot;

/// One row in this many goes to the job that has waited longest, whatever its priority.
const OLDEST_SHARE: usize = 3;

/// A job that waits to be written.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuedWrite {
    /// Priority of the job's queue; 0 is the most urgent.
    priority: u32,
    job: JobSlot,
}

/// Jobs that wait to be written, in the order in which they began to wait. A job is queued at most
/// once.
#[derive(Clone, Debug, Default)]
pub struct WriteQueue {
    writes: Vec<QueuedWrite>,
}

impl WriteQueue {
    /// Adds a job that doesn't wait yet.
    pub fn push(&mut self, job: JobSlot, priority: u32) {
        self.writes.push(QueuedWrite { priority, job });
    }

    /// Number of jobs that wait.
    pub const fn len(&self) -> usize {
        self.writes.len()
    }

    /// Whether no job waits.
    pub const fn is_empty(&self) -> bool {
        self.writes.is_empty()
    }

    /// Removes up to `limit` jobs, those to be written first, up to the first one for which
    /// `prepare` returns none. Returns what it made of them, in the order in which they began to
    /// wait.
    pub fn take<T>(
        &mut self,
        limit: usize,
        mut prepare: impl FnMut(JobSlot) -> Option<T>,
    ) -> Vec<T> {
        let mut taken = Vec::new();
        for place in self.first_places(limit) {
            let Some(prepared) = prepare(self.writes[place].job) else {
                break;
            };
            taken.push((place, prepared));
        }
        taken.sort_unstable_by_key(|(place, _)| *place);
        let mut is_taken = vec![false; self.writes.len()];
        for (place, _) in &taken {
            is_taken[*place] = true;
        }
        let mut flags = is_taken.into_iter();
        self.writes.retain(|_| !flags.next().unwrap_or(false));
        taken.into_iter().map(|(_, prepared)| prepared).collect()
    }

    /// Places of up to `limit` jobs in the order in which they are to be written. Any first part of
    /// it holds the share of the jobs that have waited longest.
    fn first_places(&self, limit: usize) -> Vec<usize> {
        let limit = limit.min(self.writes.len());
        let oldest = if limit < self.writes.len() {
            limit / OLDEST_SHARE
        } else {
            limit.div_ceil(OLDEST_SHARE)
        };
        let mut urgent: Vec<usize> = (oldest..self.writes.len()).collect();
        urgent.sort_by_key(|place| self.writes[*place].priority);
        let mut urgent = urgent.into_iter();
        let mut places = Vec::with_capacity(limit);
        for place in 0..oldest {
            places.push(place);
            places.extend(urgent.by_ref().take(OLDEST_SHARE - 1));
        }
        places.extend(urgent);
        places.truncate(limit);
        places
    }
}
