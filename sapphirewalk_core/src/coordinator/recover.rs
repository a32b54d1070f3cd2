//! Taking over the leadership: restoring the stored state and the leases of a predecessor.

use crate::coordinator::JobCoordinator;
use crate::coordinator::SilentWorker;
use crate::coordinator::commit;
use crate::coordinator::poll;
use crate::crash_history::CrashHistory;
use crate::image_interference::LearnedImage;
use crate::job_registry::JobProgress;
use crate::job_registry::JobRecord;
use crate::job_registry::JobState;
use crate::job_registry::TaskSlot;
use crate::job_spec::JobId;
use crate::start_pace::StartPace;
use crate::time::TimePoint;
use crate::worker_registry;
use crate::worker_registry::WorkerSlot;

/// Fencing token of a deployment's first coordinator.
const FIRST_FENCE: u64 = 1;

/// The stored state that a new coordinator starts from.
#[derive(Clone, Debug, Default)]
pub struct RecoveryRecords {
    /// All jobs that were accepted and not yet removed.
    pub jobs: Vec<JobRecord>,
    /// Progress of those jobs that have any.
    pub progress: Vec<JobProgress>,
    /// Jobs whose cancellation was accepted.
    pub cancelled: Vec<JobId>,
    /// The predecessor's interference model.
    pub learned: Vec<LearnedImage>,
    /// Workers to which the predecessor granted no more leases.
    pub silent: Vec<SilentWorker>,
    /// Jobs whose own rows are deleted and whose progress isn't yet.
    pub forgotten: Vec<JobId>,
}

impl JobCoordinator {
    /// Restores the state that a predecessor stored. Runs on workers that don't answer count as
    /// existing until the last lease that the predecessor may have granted has expired.
    pub fn restore(&mut self, records: RecoveryRecords, now: TimePoint) {
        let RecoveryRecords {
            jobs,
            mut progress,
            cancelled,
            learned,
            silent,
            forgotten,
        } = records;
        self.retention.add_progress(forgotten);
        let images = learned.len();
        self.interference.import(learned, now);
        progress.sort_unstable_by_key(|row| row.id);
        // The first coordinator has no predecessor that could have granted leases.
        let former_leases_until = if self.fence <= FIRST_FENCE {
            now
        } else {
            self.latest_lease_end(now + commit::AUTHORITY_SPAN)
        };
        self.former_leases_until = former_leases_until;
        let silent_count = silent.len();
        for worker in silent {
            let slot = self.intern_worker(&worker.id);
            let entry = self.workers.get_mut(slot);
            // If the record is old, the leases end even earlier than this.
            entry.former_leases_until = former_leases_until.min(now + worker.lease_left);
            entry.recorded_silent = true;
            if let Some(address) = worker.address.filter(|_| entry.known_address().is_none()) {
                entry.listing.address = address;
            }
            self.schedule_poll(slot, now);
        }
        let total = jobs.len();
        let mut unfinished = 0usize;
        let mut unverified = 0usize;
        for record in jobs {
            let id = record.id;
            if let Err(fault) = record.spec.check() {
                self.log("job_invalid", Some(id), format!("cause={fault:?}"));
                continue;
            }
            let mut job = self.new_job(record, now);
            let found = progress.binary_search_by_key(&id, |row| row.id);
            let row = found.ok().map(|index| progress[index].clone());
            let placed = row.map_or_else(Vec::new, |row| {
                job.restore(&row, |name| self.intern_worker(name), now)
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
            self.await_job_restarts(slot);
            for (occurrence, task, worker) in placed {
                let task = TaskSlot {
                    job: slot,
                    occurrence,
                    task,
                };
                if let (Some(step), Some(image)) = (self.jobs.step(task), self.jobs.image(task)) {
                    self.workers.add_task(worker, task, step, image);
                }
                let history = self.jobs.task(task).map(|task| task.crash_history);
                if history.is_some_and(CrashHistory::needs_trial) {
                    self.workers.get_mut(worker).trial = Some(task);
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
                job.reported_state = JobState::Cancelled;
                job.ended_at = now;
                unfinished = unfinished.saturating_sub(1);
                self.clear_ended_job(slot);
            }
        }
        self.place_due = true;
        if unfinished > 0 {
            self.start_pace = StartPace::slow_start(now);
        }
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

    /// Shortens the wait for inherited leases, given that the predecessor's process has ended by
    /// now: only leases granted until now can still run.
    pub fn predecessor_ended(&mut self, now: TimePoint) {
        let until = self.latest_lease_end(now);
        if until >= self.former_leases_until {
            return;
        }
        self.former_leases_until = until;
        for slot in self.workers.slots() {
            let entry = self.workers.get_mut(slot);
            entry.former_leases_until = entry.former_leases_until.min(until);
        }
        let fence = self.fence;
        self.log("predecessor_ended", None, format!("fence={fence}"));
    }

    /// Latest expiry of a lease that is granted at `given_at`, on a worker with a slow clock.
    fn latest_lease_end(&self, given_at: TimePoint) -> TimePoint {
        let span = poll::LEASE_SPAN.min(self.limits.longest_lease);
        given_at + span.scale(worker_registry::SLOW_CLOCK_FACTOR) + worker_registry::LEASE_MARGIN
    }

    /// The slot of a worker. A worker that was unknown so far may hold leases from a predecessor.
    pub(super) fn intern_worker(&mut self, id: &str) -> WorkerSlot {
        let len_before = self.workers.len();
        let slot = self.workers.intern(id);
        if self.workers.len() > len_before {
            self.workers.get_mut(slot).former_leases_until = self.former_leases_until;
        }
        slot
    }
}
