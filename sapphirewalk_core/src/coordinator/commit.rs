//! What is written to the store, and what takes effect once it is committed.

use crate::coordinator::CommitBatch;
use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::coordinator::SilentWorker;
use crate::job_book::JobSlot;
use crate::job_book::JobState;
use crate::job_book::TaskPhase;
use crate::job_book::TaskSlot;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_book::WorkerSlot;

/// Most rows of one batch: the store takes 100 entries in a transaction, the lease's included.
const BATCH_ROWS: usize = 90;
/// Least time between batches: saves calls where ends come closely one after another, and is
/// short against the objectives, which start at 250 ms.
pub(super) const BATCH_INTERVAL: TimeSpan = TimeSpan::from_millis(12);
/// A batch without rows renews the lease this often.
const RENEW_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// What has been learned of images is committed this often: it changes within some seconds.
const LEARNED_INTERVAL: TimeSpan = TimeSpan::from_millis(3_000);
/// The record of silent workers is written anew this often, with the renewals: what is left of
/// their leases shrinks, and a successor adds the record's age to it.
const SILENT_INTERVAL: TimeSpan = RENEW_INTERVAL;
/// How long after the last committed batch orders are still given: some renewals, and the time-outs
/// of a batch whose answer is lost. Together with `poll::LEASE_SPAN` it bounds what a successor has
/// to wait out on workers out of reach, and what outage of the store runs outlive.
pub const AUTHORITY_SPAN: TimeSpan = TimeSpan::from_millis(3_000);

/// The batch on its way, and when the next is due.
#[derive(Debug)]
pub(super) struct CommitState {
    number: u64,
    in_flight: Option<InFlightBatch>,
    next_batch: TimePoint,
    next_renewal: TimePoint,
    next_learned: TimePoint,
    next_silent: TimePoint,
    /// A worker that the record names as silent is heard again and waits for the next batch.
    pub(super) send_early: bool,
    /// When the last committed batch was sent.
    committed_at: TimePoint,
}

/// A batch on its way.
#[derive(Debug)]
struct InFlightBatch {
    number: u64,
    sent_at: TimePoint,
    jobs: Vec<(JobSlot, JobState)>,
    starts: Vec<TaskSlot>,
    ends: Vec<(WorkerSlot, u64, u64)>,
    /// Workers that are no longer named as silent.
    recovered: Vec<WorkerSlot>,
}

impl CommitState {
    pub(super) fn new(now: TimePoint) -> Self {
        Self {
            number: 0,
            in_flight: None,
            next_batch: now,
            next_renewal: now,
            next_learned: now + LEARNED_INTERVAL,
            next_silent: now,
            send_early: false,
            committed_at: now,
        }
    }
}

impl JobCoordinator {
    /// Whether orders may be given: no successor can have given up waiting for this one.
    pub fn has_authority(&self, now: TimePoint) -> bool {
        now.since(self.commit.committed_at) < AUTHORITY_SPAN
    }

    /// When the last committed batch was sent.
    pub const fn committed_at(&self) -> TimePoint {
        self.commit.committed_at
    }

    /// When the next batch is due; none while one is on its way.
    pub(super) fn next_batch_at(&self) -> Option<TimePoint> {
        if self.commit.in_flight.is_some() {
            None
        } else if self.dirty.is_empty() && self.removed.is_empty() && !self.commit.send_early {
            Some(self.commit.next_renewal)
        } else {
            Some(self.commit.next_batch)
        }
    }

    /// Sends the next batch if one is due.
    pub(super) fn send_due_batch(&mut self, now: TimePoint) {
        if self.next_batch_at().is_none_or(|due| now < due) {
            return;
        }
        let row_count = BATCH_ROWS.min(self.dirty.len());
        let mut rows = Vec::with_capacity(row_count);
        let mut jobs = Vec::with_capacity(row_count);
        let mut starts = Vec::new();
        let all_dirty = row_count == self.dirty.len();
        for slot in self.dirty.drain(..row_count) {
            let Some(job) = self.jobs.get_mut(slot) else {
                continue;
            };
            job.dirty = false;
            jobs.push((slot, job.state));
            for occurrence in &job.occurrences {
                for (task, number) in occurrence.tasks.iter().zip(0u32..) {
                    if task.phase == TaskPhase::Recording {
                        starts.push(TaskSlot {
                            job: slot,
                            occurrence: occurrence.number,
                            task: number,
                        });
                    }
                }
            }
            let workers = &self.workers;
            rows.push(job.progress(|worker| workers.get(worker).report.id.clone()));
        }
        let ends = if all_dirty {
            let entries = self.workers.iter();
            entries
                .filter(|(_, entry)| entry.seen > entry.acked)
                .map(|(slot, entry)| (slot, entry.born_ms, entry.seen))
                .collect()
        } else {
            Vec::new()
        };
        let removable = (BATCH_ROWS - row_count).min(self.removed.len());
        let removed = self.removed.drain(..removable).collect();
        let learned = (now >= self.commit.next_learned).then(|| {
            self.commit.next_learned = now + LEARNED_INTERVAL;
            self.interference.export()
        });
        let recovered = self.recovered_workers();
        let silent = self.silent_record(&recovered, now);
        self.commit.number += 1;
        let number = self.commit.number;
        self.commit.in_flight = Some(InFlightBatch {
            number,
            sent_at: now,
            jobs,
            starts,
            ends,
            recovered,
        });
        self.commit.next_batch = now + BATCH_INTERVAL;
        self.commit.next_renewal = now + RENEW_INTERVAL;
        self.effects.push(Effect::Commit(CommitBatch {
            number,
            rows,
            removed,
            learned,
            silent,
        }));
    }

    /// Workers that the record names as silent and that answer again.
    fn recovered_workers(&mut self) -> Vec<WorkerSlot> {
        self.commit.send_early = false;
        let entries = self.workers.iter();
        entries
            .filter(|(_, entry)| entry.withheld && !entry.is_silent())
            .map(|(slot, _)| slot)
            .collect()
    }

    /// Workers that get no leases for now, and when those that they have are surely over; nothing
    /// where the record stands as it is.
    fn silent_record(
        &mut self,
        recovered: &[WorkerSlot],
        now: TimePoint,
    ) -> Option<Vec<SilentWorker>> {
        let slots: Vec<WorkerSlot> = self
            .workers
            .iter()
            .filter(|(_, entry)| entry.is_silent() && entry.leases_over_at() > now)
            .map(|(slot, _)| slot)
            .collect();
        let unrecorded = |slot: &WorkerSlot| !self.workers.get(*slot).withheld;
        let changed = !recovered.is_empty() || slots.iter().any(unrecorded);
        if !changed && (slots.is_empty() || now < self.commit.next_silent) {
            return None;
        }
        self.commit.next_silent = now + SILENT_INTERVAL;
        let mut silent = Vec::with_capacity(slots.len());
        for slot in slots {
            let entry = self.workers.get_mut(slot);
            entry.withheld = true;
            silent.push(SilentWorker {
                id: entry.report.id.clone(),
                lease_left: entry.leases_over_at().since(now),
            });
        }
        Some(silent)
    }

    /// A batch is committed: starts in it are sent, ends in it may be forgotten by their workers,
    /// and callers are told of its states.
    pub(super) fn on_committed(&mut self, number: u64, now: TimePoint) {
        let Some(batch) = self.commit.in_flight.take() else {
            return;
        };
        if batch.number != number {
            self.commit.in_flight = Some(batch);
            return;
        }
        self.commit.committed_at = batch.sent_at;
        for worker in batch.recovered {
            let entry = self.workers.get_mut(worker);
            // It may have gone silent again meanwhile; the next batch then names it again.
            entry.withheld = false;
            entry.next_poll = entry.next_poll.min(now);
            self.place_due = true;
        }
        for (slot, state) in batch.jobs {
            if let Some(job) = self.jobs.get_mut(slot)
                && state.is_final()
                && job.shown != JobState::Cancelled
            {
                job.shown = state;
            }
        }
        for (worker, born_ms, seen) in batch.ends {
            let entry = self.workers.get_mut(worker);
            if entry.born_ms == born_ms {
                entry.acked = entry.acked.max(seen);
            }
            entry.next_poll = entry.next_poll.min(now);
        }
        for slot in batch.starts {
            self.send_committed_start(slot, now);
        }
    }

    /// Sends a start that has just been committed, unless it isn't wanted any more.
    fn send_committed_start(&mut self, slot: TaskSlot, now: TimePoint) {
        let recording = self
            .jobs
            .task(slot)
            .is_some_and(|task| task.phase == TaskPhase::Recording);
        if !recording {
            return;
        }
        let job_ended = self.has_job_ended(slot.job);
        let withheld = self.jobs.task(slot).and_then(|task| task.worker);
        let withheld = withheld.is_some_and(|worker| self.workers.get(worker).withheld);
        if withheld {
            // The worker has gone silent since it was chosen; nothing has been sent.
            self.requeue_task(slot, now, TimeSpan::ZERO);
            self.mark_dirty(slot.job);
        } else if job_ended {
            self.requeue_task(slot, now, TimeSpan::ZERO);
        } else {
            self.send_start(slot, now);
        }
    }

    /// Ends of a worker that concern no job's record may be forgotten at once.
    pub(super) fn acknowledge_ends(&mut self, worker: WorkerSlot, now: TimePoint) {
        let idle = self.dirty.is_empty() && self.commit.in_flight.is_none();
        let entry = self.workers.get_mut(worker);
        if entry.seen <= entry.acked {
            return;
        }
        if idle {
            entry.acked = entry.seen;
        } else {
            // The worker would answer at once for as long as the end isn't acknowledged.
            entry.next_poll = now + ACK_POLL_DELAY;
        }
    }
}

/// How long a poll waits for the record of ends that the worker has already listed.
const ACK_POLL_DELAY: TimeSpan = TimeSpan::from_millis(400);
