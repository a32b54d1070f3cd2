//! Jobs past their retention, and the order in which their rows are deleted from the store.
//!
//! A job has its own row, and its progress in another partition, so they can't be deleted in one
//! transaction of the leader. The job's own row goes first, and its progress once the store has
//! confirmed that. In the other order, a deletion that fails would leave a job without progress,
//! which a successor can't tell from a job that was just accepted: it would run again.

use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::job_spec::JobId;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Interval between deletions, which merges jobs that expire close together.
const DELETE_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// Most jobs that are deleted at a time.
const DELETE_LIMIT: usize = 400;
/// How long the identifier of a deleted job is remembered. A read of the table of jobs that began
/// before the deletion may still list it, and so may a repeated submission.
const FORGOTTEN_SPAN: TimeSpan = TimeSpan::from_millis(60_000);

/// Progress of deletions.
#[derive(Debug)]
pub(super) struct RetentionState {
    /// A deletion was ordered and has not ended.
    deleting: bool,
    next_deletion: TimePoint,
    /// Jobs whose own rows are deleted and whose progress is still to be.
    progress: Vec<JobId>,
    /// Jobs whose own rows were deleted lately, and when; sorted by identifier.
    forgotten: Vec<(JobId, TimePoint)>,
}

impl RetentionState {
    pub(super) const fn new(now: TimePoint) -> Self {
        Self {
            deleting: false,
            next_deletion: now,
            progress: Vec::new(),
            forgotten: Vec::new(),
        }
    }

    /// Whether progress of deleted jobs waits to be deleted with the next batch.
    pub(super) const fn has_progress(&self) -> bool {
        !self.progress.is_empty()
    }

    /// Adds jobs whose own rows are deleted, so that the next batches delete their progress.
    pub(super) fn add_progress(&mut self, ids: impl IntoIterator<Item = JobId>) {
        self.progress.extend(ids);
    }

    /// Removes up to `limit` of the jobs whose progress is to be deleted.
    pub(super) fn take_progress(&mut self, limit: usize) -> Vec<JobId> {
        let count = limit.min(self.progress.len());
        self.progress.drain(..count).collect()
    }

    fn remember(&mut self, id: JobId, now: TimePoint) {
        match self
            .forgotten
            .binary_search_by_key(&id, |(known, _)| *known)
        {
            Ok(found) => self.forgotten[found].1 = now,
            Err(place) => self.forgotten.insert(place, (id, now)),
        }
    }
}

impl JobCoordinator {
    /// Orders the deletion of jobs past their retention, unless one is under way. Those whose
    /// deletion failed are due again. The deletion doesn't depend on the leadership, so only jobs
    /// count whose end is committed and thus known to a successor.
    pub(super) fn delete_expired_jobs(&mut self, now: TimePoint) {
        let is_due = !self.retention.deleting && now >= self.retention.next_deletion;
        if !is_due || !self.has_authority(now) {
            return;
        }
        self.retention.next_deletion = now + DELETE_INTERVAL;
        let forgotten = &mut self.retention.forgotten;
        forgotten.retain(|(_, at)| now.since(*at) < FORGOTTEN_SPAN);
        let retention = self.limits.retention;
        let expired = self.jobs.iter().filter(|(_, job)| {
            job.reported_state.is_final()
                && job.occurrences.is_empty()
                && !job.dirty
                && now.since(job.ended_at) > retention
        });
        let ids: Vec<JobId> = expired.map(|(_, job)| job.id).take(DELETE_LIMIT).collect();
        if !ids.is_empty() {
            self.retention.deleting = true;
            self.effects.push(Effect::DeleteRows(ids));
        }
    }

    /// Forgets the jobs whose own rows the store has deleted.
    pub(super) fn on_rows_deleted(&mut self, ids: &[JobId], now: TimePoint) {
        self.retention.deleting = false;
        for id in ids {
            let Some(slot) = self.jobs.find(*id) else {
                continue;
            };
            self.jobs.remove(slot);
            self.retention.remember(*id, now);
            self.log("job_forgotten", Some(*id), String::new());
        }
        self.retention.add_progress(ids.iter().copied());
    }

    /// Whether a job's own row was deleted lately, so that what still lists it is out of date.
    pub(super) fn was_forgotten(&self, id: JobId) -> bool {
        let forgotten = &self.retention.forgotten;
        forgotten
            .binary_search_by_key(&id, |(known, _)| *known)
            .is_ok()
    }
}
