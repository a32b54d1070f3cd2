//! Taking the leadership: what the record says, and what has to be waited out.

use crate::coordinator::JobCoordinator;
use crate::coordinator::SilentWorker;
use crate::coordinator::commit;
use crate::coordinator::poll;
use crate::image_interference::LearnedImage;
use crate::job_book::JobProgress;
use crate::job_book::JobRecord;
use crate::job_book::JobState;
use crate::job_book::TaskSlot;
use crate::job_spec::JobId;
use crate::time::TimePoint;
use crate::worker_book;
use crate::worker_book::WorkerSlot;

/// The fencing token of the first coordinator.
const FIRST_FENCE: u64 = 1;

/// What the store holds of jobs.
#[derive(Clone, Debug, Default)]
pub struct RecoveryRecords {
    /// Accepted jobs.
    pub jobs: Vec<JobRecord>,
    /// How far they have come.
    pub progress: Vec<JobProgress>,
    /// Jobs whose cancelling was accepted.
    pub cancelled: Vec<JobId>,
    /// What a predecessor has learned of images.
    pub learned: Vec<LearnedImage>,
    /// Workers that a predecessor gave no leases any more.
    pub silent: Vec<SilentWorker>,
}

impl JobCoordinator {
    /// Takes over what a predecessor recorded. Runs on workers that don't answer count as alive
    /// until the last lease that the predecessor can have given is over.
    pub fn restore(&mut self, records: RecoveryRecords, now: TimePoint) {
        let RecoveryRecords {
            jobs,
            mut progress,
            cancelled,
            learned,
            silent,
        } = records;
        let images = learned.len();
        self.interference.import(learned, now);
        progress.sort_unstable_by_key(|row| row.id);
        // The first coordinator of all has no predecessor whose leases could last.
        let inherited_until = if self.fence <= FIRST_FENCE {
            now
        } else {
            self.latest_lease_end(now + commit::AUTHORITY_SPAN)
        };
        self.inherited_until = inherited_until;
        let silent_count = silent.len();
        for worker in silent {
            let slot = self.intern_worker(&worker.id);
            let entry = self.workers.get_mut(slot);
            // The record may be older than this; its leases end the sooner.
            entry.inherited_until = inherited_until.min(now + worker.lease_left);
            entry.withheld = true;
        }
        let total = jobs.len();
        let mut unfinished = 0usize;
        let mut unverified = 0usize;
        for record in jobs {
            let id = record.id;
            let mut job = self.new_job(record, now);
            let found = progress.binary_search_by_key(&id, |row| row.id);
            let row = found.ok().map(|index| progress[index].clone());
            let placed = row.map_or_else(Vec::new, |row| {
                job.restore(&row, |name| self.intern_worker(name))
            });
            if job.state.is_final() {
                job.ended_at = now;
            } else {
                unfinished += 1;
                job.begin_due(now);
            }
            unverified += placed.len();
            let Ok(slot) = self.jobs.insert(job) else {
                continue;
            };
            for (occurrence, task, worker) in placed {
                let task = TaskSlot {
                    job: slot,
                    occurrence,
                    task,
                };
                if let (Some(step), Some(image)) = (self.jobs.step(task), self.jobs.image(task)) {
                    self.workers.get_mut(worker).add_task(task, step, image);
                }
            }
        }
        for id in cancelled {
            let Some(slot) = self.jobs.find(id) else {
                continue;
            };
            if let Some(job) = self.jobs.get_mut(slot)
                && !job.state.is_final()
            {
                job.state = JobState::Cancelled;
                job.shown = JobState::Cancelled;
                job.ended_at = now;
                unfinished = unfinished.saturating_sub(1);
                self.clear_ended_job(slot);
            }
        }
        self.place_due = true;
        self.log(
            "leadership_started",
            None,
            format!(
                "fence={} jobs={total} unfinished={unfinished} runs={unverified} images={images} \
                 silent={silent_count}",
                self.fence
            ),
        );
    }

    /// The predecessor's process has ended by now: it gives no more orders, so only the leases that
    /// it can have given until now have to be waited out.
    pub fn predecessor_ended(&mut self, now: TimePoint) {
        let until = self.latest_lease_end(now);
        if until >= self.inherited_until {
            return;
        }
        self.inherited_until = until;
        for slot in self.workers.slots() {
            let entry = self.workers.get_mut(slot);
            entry.inherited_until = entry.inherited_until.min(until);
        }
        let fence = self.fence;
        self.log("predecessor_ended", None, format!("fence={fence}"));
    }

    /// When the last lease is over that is given at a time.
    fn latest_lease_end(&self, given_at: TimePoint) -> TimePoint {
        let span = poll::LEASE_SPAN.min(self.limits.longest_lease);
        given_at + span.scale(worker_book::SLOW_CLOCK_FACTOR)
    }

    /// The slot of a worker; one that is new here may have leases from a predecessor.
    pub(super) fn intern_worker(&mut self, id: &str) -> WorkerSlot {
        let len_before = self.workers.len();
        let slot = self.workers.intern(id);
        if self.workers.len() > len_before {
            self.workers.get_mut(slot).inherited_until = self.inherited_until;
        }
        slot
    }
}
