//! Queue of the workers whose next poll is due first.
//!
//! It answers pools of a thousand workers and more, which each event would otherwise scan.

use crate::time::TimePoint;
use crate::worker_registry::WorkerSlot;

/// Due times of polls. A worker may have several entries; those that its
/// [`WorkerEntry::next_poll`](crate::worker_registry::WorkerEntry::next_poll) no longer confirms
/// are to be ignored.
#[derive(Debug, Default)]
pub(super) struct PollQueue {
    /// Sorted in descending order, so that the next entry is the last.
    entries: Vec<(TimePoint, WorkerSlot)>,
}

impl PollQueue {
    /// Adds a poll of a worker, unless the same one is queued.
    pub fn schedule(&mut self, worker: WorkerSlot, at: TimePoint) {
        let entry = (at, worker);
        if let Err(place) = self.entries.binary_search_by(|queued| entry.cmp(queued)) {
            self.entries.insert(place, entry);
        }
    }

    /// Due time of the next entry; `None` if the queue is empty.
    pub fn next_due(&self) -> Option<TimePoint> {
        self.entries.last().map(|(at, _)| *at)
    }

    /// Removes the next entry if it is due.
    pub fn pop_due(&mut self, now: TimePoint) -> Option<WorkerSlot> {
        self.entries
            .pop_if(|(at, _)| *at <= now)
            .map(|(_, worker)| worker)
    }
}
