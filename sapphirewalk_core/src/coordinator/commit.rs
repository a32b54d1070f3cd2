//! Batched writes to the store, and the actions that follow once a batch is committed.

use crate::coordinator::CommitBatch;
use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::coordinator::SilentWorker;
use crate::job_registry::JobProgress;
use crate::job_registry::JobSlot;
use crate::job_registry::JobState;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::JobId;
use crate::stored_value;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry::UnwrittenEnd;
use crate::worker_registry::WorkerSlot;

/// Maximum rows per batch. The store takes 100 entries per transaction, the leadership lease's
/// entry included.
const BATCH_ROWS: usize = 90;
/// Bytes that the store takes per transaction.
const BATCH_BYTES: usize = 1_000_000;
/// Bytes of a transaction beside the values of its rows: the names of 100 entries and the
/// leadership lease.
const BATCH_OVERHEAD: usize = 40_000;
/// Longest value in bytes, whatever the store takes. The longest row of a job fits every batch,
/// beside the interference model and the record of silent workers.
const LONGEST_VALUE: usize = BATCH_BYTES / 5;
/// Minimum interval between batches. It merges ends that arrive close together into one call, and
/// is short compared with the objectives, which start at 250 ms.
pub(super) const BATCH_INTERVAL: TimeSpan = TimeSpan::from_millis(12);
/// Interval at which a batch is sent to renew the leadership lease when no rows are waiting.
const RENEW_INTERVAL: TimeSpan = TimeSpan::from_millis(400);
/// Minimum interval between writes of the interference model, whose estimates change within
/// seconds.
const LEARNED_INTERVAL: TimeSpan = TimeSpan::from_millis(3_000);
/// Interval at which the record of silent workers is rewritten, together with lease renewals. The
/// time left on their leases shrinks, while a successor counts the recorded time from its takeover,
/// so an old record prolongs its wait.
const SILENT_INTERVAL: TimeSpan = RENEW_INTERVAL;
/// Interval at which rows that were left out are tried again. They become shorter as tasks end.
const HELD_INTERVAL: TimeSpan = TimeSpan::from_millis(1_000);
/// How long after the send time of the last committed batch orders may still be issued: several
/// renewals, plus the timeouts of a batch whose answer is lost. Together with `poll::LEASE_SPAN` it
/// bounds how long a successor waits for leases on unreachable workers, and which store outage runs
/// survive.
pub const AUTHORITY_SPAN: TimeSpan = TimeSpan::from_millis(3_000);

/// The batch in flight and the due times of the next writes.
#[derive(Debug)]
pub(super) struct CommitState {
    number: u64,
    in_flight: Option<InFlightBatch>,
    next_batch: TimePoint,
    next_renewal: TimePoint,
    next_learned: TimePoint,
    next_silent: TimePoint,
    /// A worker that the store records as silent has answered again, so the next batch is sent
    /// after `BATCH_INTERVAL` instead of `RENEW_INTERVAL`.
    pub(super) send_early: bool,
    /// Send time of the last committed batch.
    committed_at: TimePoint,
    /// Longest value that the store takes, in bytes.
    longest_row: usize,
    /// Jobs whose rows the store doesn't take. They are still dirty, and not in the write queue.
    held: Vec<HeldJob>,
    next_held: TimePoint,
    /// Most rows of the next batch; below [`BATCH_ROWS`] since the store refused one for good.
    row_limit: usize,
    /// Job whose row was refused alone, until a batch without rows shows whether the store takes
    /// any. It is still dirty, and not in the write queue.
    suspect: Option<JobSlot>,
}

/// A job that is left out of batches.
#[derive(Debug)]
struct HeldJob {
    job: JobSlot,
    cause: HoldCause,
}

/// Why a job is left out of batches.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum HoldCause {
    /// Its row is longer than the store takes.
    TooLong,
    /// The store refused its row alone, and takes batches without it.
    Refused,
}

/// Which jobs a batch may write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BatchScope {
    /// Those that wait.
    Queue,
    /// A job that was left out because the store refused its row.
    Retry(JobSlot),
}

/// What becomes of a job that waits to be written.
enum WriteStep {
    /// Its row is part of the batch.
    Write(JobSlot, JobProgress),
    /// Its row has this length in bytes, which the store doesn't take.
    Hold(JobSlot, usize),
    /// The job no longer exists.
    Skip,
}

/// A batch that was sent and whose commit is not confirmed yet.
#[derive(Debug)]
struct InFlightBatch {
    number: u64,
    sent_at: TimePoint,
    /// States that the batch writes, published to callers once it is committed.
    jobs: Vec<(JobSlot, JobState)>,
    /// Tasks whose starts are sent once the batch is committed.
    starts: Vec<TaskSlot>,
    /// Worker, its incarnation, and its highest end that the batch or an earlier one covers.
    ends: Vec<(WorkerSlot, u64, u64)>,
    /// Workers that this batch no longer records as silent.
    recovered: Vec<WorkerSlot>,
    scope: BatchScope,
    /// Ends that are no longer unwritten once the batch is committed.
    covered: Vec<CoveredEnd>,
    /// Jobs whose progress the batch deletes.
    removed: Vec<JobId>,
}

/// An end that a batch or an earlier one covers.
#[derive(Debug)]
struct CoveredEnd {
    worker: WorkerSlot,
    /// The worker's incarnation that counts the end.
    born_ms: u64,
    end: UnwrittenEnd,
}

impl CommitState {
    pub(super) fn new(longest_row: usize, now: TimePoint) -> Self {
        Self {
            number: 0,
            in_flight: None,
            next_batch: now,
            next_renewal: now,
            next_learned: now + LEARNED_INTERVAL,
            next_silent: now,
            send_early: false,
            committed_at: now,
            longest_row: longest_row.min(LONGEST_VALUE),
            held: Vec::new(),
            next_held: now,
            row_limit: BATCH_ROWS,
            suspect: None,
        }
    }

    /// Number of jobs whose rows the store doesn't take.
    pub(super) fn held_count(&self) -> usize {
        self.held.len() + usize::from(self.suspect.is_some())
    }

    /// Whether the batches are as large as they may be, since the store has refused none lately.
    const fn is_unlimited(&self) -> bool {
        self.row_limit >= BATCH_ROWS
    }
}

impl JobCoordinator {
    /// Whether orders may be issued. A successor assumes that leases were granted until
    /// `AUTHORITY_SPAN` after its takeover, so none may be granted later than that.
    pub fn has_authority(&self, now: TimePoint) -> bool {
        now.since(self.commit.committed_at) < AUTHORITY_SPAN
    }

    /// Send time of the last committed batch; the start of this coordinator before the first one.
    pub const fn committed_at(&self) -> TimePoint {
        self.commit.committed_at
    }

    /// Due time of the next batch; `None` while one is in flight.
    pub(super) fn next_batch_at(&self) -> Option<TimePoint> {
        if self.commit.in_flight.is_some() {
            None
        } else if self.dirty.is_empty() && !self.retention.has_progress() && !self.commit.send_early
        {
            Some(self.commit.next_renewal)
        } else {
            Some(self.commit.next_batch)
        }
    }

    /// Sends the next batch if it is due and none is in flight.
    pub(super) fn send_due_batch(&mut self, now: TimePoint) {
        if self.next_batch_at().is_none_or(|due| now < due) {
            return;
        }
        let learned_due = now >= self.commit.next_learned && self.commit.is_unlimited();
        let learned = learned_due.then(|| {
            self.commit.next_learned = now + LEARNED_INTERVAL;
            self.interference.export(self.commit.longest_row, now)
        });
        let recovered = self.recovered_workers();
        let silent = self.silent_record(&recovered, now);
        let scope = self.queue_held_jobs(now);
        let row_limit = match scope {
            BatchScope::Retry(_) => 1,
            // A refusal must show which row it is for.
            BatchScope::Queue if !self.commit.is_unlimited() && silent.is_some() => 0,
            BatchScope::Queue => self.commit.row_limit,
        };
        let row_count = row_limit.min(self.dirty.len());
        let mut rows = Vec::with_capacity(row_count);
        let mut jobs = Vec::with_capacity(row_count);
        let mut starts = Vec::new();
        for step in self.take_writes(scope, row_limit) {
            let (slot, row) = match step {
                WriteStep::Write(slot, row) => (slot, row),
                WriteStep::Hold(slot, len) => {
                    let longest = self.commit.longest_row;
                    let detail = format!("bytes={len} longest={longest}");
                    self.hold_job(slot, HoldCause::TooLong, detail);
                    continue;
                }
                WriteStep::Skip => continue,
            };
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
            rows.push(row);
        }
        let (ends, covered) = self.written_ends();
        let removed = self.retention.take_progress(row_limit - rows.len());
        self.commit.number += 1;
        let number = self.commit.number;
        self.commit.in_flight = Some(InFlightBatch {
            number,
            sent_at: now,
            jobs,
            starts,
            ends,
            recovered,
            scope,
            covered,
            removed: removed.clone(),
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

    /// Queues the jobs again whose rows were too long, if that is due. One whose row was refused is
    /// written in a batch of its own.
    fn queue_held_jobs(&mut self, now: TimePoint) -> BatchScope {
        if now < self.commit.next_held || !self.commit.is_unlimited() {
            return BatchScope::Queue;
        }
        self.commit.next_held = now + HELD_INTERVAL;
        let mut scope = BatchScope::Queue;
        for held in std::mem::take(&mut self.commit.held) {
            match held.cause {
                HoldCause::TooLong => self.queue_write(held.job),
                HoldCause::Refused if scope == BatchScope::Queue => {
                    scope = BatchScope::Retry(held.job);
                }
                HoldCause::Refused => self.commit.held.push(held),
            }
        }
        scope
    }

    /// Adds a dirty job to the write queue.
    fn queue_write(&mut self, slot: JobSlot) {
        if let Some(job) = self.jobs.get(slot) {
            self.dirty.push(slot, job.priority);
        }
    }

    /// Takes the jobs that the next batch writes, with as many rows as fit it.
    fn take_writes(&mut self, scope: BatchScope, row_limit: usize) -> Vec<WriteStep> {
        let longest = self.commit.longest_row;
        // The rows beside those of the jobs count with their greatest length.
        let mut room = BATCH_BYTES - BATCH_OVERHEAD - 2 * stored_value::call_len(longest);
        let (jobs, workers) = (&self.jobs, &self.workers);
        let prepare = |slot: JobSlot| {
            let Some(job) = jobs.get(slot) else {
                return Some(WriteStep::Skip);
            };
            let row = job.progress(|worker| workers.get(worker).listing.id.clone());
            let len = stored_value::encoded_len(&row);
            if len > longest {
                return Some(WriteStep::Hold(slot, len));
            }
            room = room.checked_sub(stored_value::call_len(len))?;
            Some(WriteStep::Write(slot, row))
        };
        match scope {
            BatchScope::Queue => self.dirty.take(row_limit, prepare),
            BatchScope::Retry(slot) => Some(slot).and_then(prepare).into_iter().collect(),
        }
    }

    /// Leaves a job out for a while. It stays dirty: no start of it is sent, and no worker may
    /// discard an end that the row would cover.
    fn hold_job(&mut self, job: JobSlot, cause: HoldCause, detail: String) {
        self.commit.held.push(HeldJob { job, cause });
        let id = self.jobs.get(job).map(|job| job.id);
        let event = match cause {
            HoldCause::TooLong => "row_too_long",
            HoldCause::Refused => "row_refused",
        };
        self.warn(event, id, detail);
    }

    /// Each worker with unacknowledged ends, its incarnation, and its highest end that this batch and
    /// the earlier ones cover with all ends before it. Then the ends that are no longer unwritten.
    fn written_ends(&mut self) -> (Vec<(WorkerSlot, u64, u64)>, Vec<CoveredEnd>) {
        let mut ends = Vec::new();
        let mut covered = Vec::new();
        for worker in self.workers.slots() {
            let entry = self.workers.get_mut(worker);
            if entry.handled_end <= entry.acked_end {
                continue;
            }
            let jobs = &self.jobs;
            let is_unwritten = |job: JobSlot| jobs.get(job).is_some_and(|job| job.dirty);
            let born_ms = entry.born_ms;
            entry.unwritten_ends.retain(|end| {
                let is_kept = is_unwritten(end.job);
                if !is_kept {
                    covered.push(CoveredEnd {
                        worker,
                        born_ms,
                        end: *end,
                    });
                }
                is_kept
            });
            let unwritten = entry.unwritten_ends.first();
            let written = unwritten.map_or(entry.handled_end, |end| end.number - 1);
            if written > entry.acked_end {
                ends.push((worker, born_ms, written));
            }
        }
        (ends, covered)
    }

    /// Workers that the store records as silent and that answer polls again.
    fn recovered_workers(&mut self) -> Vec<WorkerSlot> {
        self.commit.send_early = false;
        let entries = self.workers.iter();
        entries
            .filter(|(_, entry)| entry.recorded_silent && !entry.is_silent())
            .map(|(slot, _)| slot)
            .collect()
    }

    /// The record of silent workers whose leases may still run, with the time left until these
    /// expire. `None` if the stored record is still accurate.
    fn silent_record(
        &mut self,
        recovered: &[WorkerSlot],
        now: TimePoint,
    ) -> Option<Vec<SilentWorker>> {
        let mut slots: Vec<WorkerSlot> = self
            .workers
            .iter()
            .filter(|(_, entry)| entry.is_silent() && entry.leases_expired_at() > now)
            .map(|(slot, _)| slot)
            .collect();
        // A successor waits longer for the leases of workers that don't fit the row.
        let header = stored_value::encoded_len(&(slots.len(), slots.len()));
        let mut room = self.commit.longest_row.saturating_sub(header);
        slots.retain(|slot| {
            let entry = self.workers.get(*slot);
            let left = entry.leases_expired_at().since(now);
            let len = stored_value::part_len(&(&entry.listing.id, left, entry.known_address()));
            let rest = room.checked_sub(len);
            room = rest.unwrap_or(room);
            rest.is_some()
        });
        let unrecorded = |slot: &WorkerSlot| !self.workers.get(*slot).recorded_silent;
        let changed = !recovered.is_empty() || slots.iter().any(unrecorded);
        if !changed && (slots.is_empty() || now < self.commit.next_silent) {
            return None;
        }
        self.commit.next_silent = now + SILENT_INTERVAL;
        let mut silent = Vec::with_capacity(slots.len());
        for slot in slots {
            let entry = self.workers.get_mut(slot);
            entry.recorded_silent = true;
            silent.push(SilentWorker {
                id: entry.listing.id.clone(),
                lease_left: entry.leases_expired_at().since(now),
                address: entry.known_address(),
            });
        }
        Some(silent)
    }

    /// Applies a committed batch: sends its starts, allows workers to discard the ended runs that
    /// it covers, and publishes its job states to callers.
    pub(super) fn on_committed(&mut self, number: u64, now: TimePoint) {
        let Some(batch) = self.commit.in_flight.take() else {
            return;
        };
        if batch.number != number {
            self.commit.in_flight = Some(batch);
            return;
        }
        self.commit.committed_at = batch.sent_at;
        if let Some(slot) = self.commit.suspect.take() {
            self.hold_job(slot, HoldCause::Refused, String::new());
        }
        self.commit.row_limit = (self.commit.row_limit * 2).clamp(1, BATCH_ROWS);
        for worker in batch.recovered {
            let entry = self.workers.get_mut(worker);
            // The worker may have become silent again since; the next batch then records it again.
            entry.recorded_silent = false;
            let next_poll = entry.next_poll.min(now);
            self.schedule_poll(worker, next_poll);
            self.place_due = true;
        }
        for (slot, state) in batch.jobs {
            if let Some(job) = self.jobs.get_mut(slot)
                && state.is_final()
                && job.reported_state != JobState::Cancelled
            {
                job.reported_state = state;
            }
        }
        for (worker, born_ms, seen) in batch.ends {
            let entry = self.workers.get_mut(worker);
            if entry.born_ms == born_ms {
                entry.acked_end = entry.acked_end.max(seen);
            }
            let next_poll = entry.next_poll;
            let next_poll = next_poll.min(now + self.poll_delay(worker));
            self.schedule_poll(worker, next_poll);
        }
        for slot in batch.starts {
            if self.has_authority(now) {
                self.send_committed_start(slot, now);
            } else {
                // The confirmation was read late, and another coordinator may lead. The next batch
                // shows whether the start may still be sent.
                self.mark_dirty(slot.job);
            }
        }
    }

    /// Takes back a batch that the store refuses for good, so that nothing of it is written. The next
    /// batches hold fewer rows, until the row that the store refuses is found.
    pub(super) fn on_rejected(&mut self, number: u64, now: TimePoint) {
        let Some(batch) = self.commit.in_flight.take() else {
            return;
        };
        if batch.number != number {
            self.commit.in_flight = Some(batch);
            return;
        }
        for covered in batch.covered {
            let entry = self.workers.get_mut(covered.worker);
            let (ends, end) = (&mut entry.unwritten_ends, covered.end);
            if entry.born_ms == covered.born_ms
                && let Err(place) = ends.binary_search_by_key(&end.number, |known| known.number)
            {
                ends.insert(place, end);
            }
        }
        self.retention.add_progress(batch.removed);
        self.commit.send_early |= !batch.recovered.is_empty();
        self.commit.next_silent = now;
        let row_count = batch.jobs.len();
        let row_limit = match batch.scope {
            BatchScope::Retry(_) => self.commit.row_limit,
            BatchScope::Queue => row_count / 2,
        };
        let detail = format!("batch={number} rows={row_count} next={row_limit}");
        self.warn("batch_refused", None, detail);
        match (batch.scope, batch.jobs.as_slice()) {
            (BatchScope::Retry(_), [(slot, _)]) if self.set_dirty(*slot) => {
                self.hold_job(*slot, HoldCause::Refused, String::new());
            }
            // Under the limit, a batch with a row holds nothing else that one without rows leaves
            // out.
            (BatchScope::Queue, [(slot, _)])
                if !self.commit.is_unlimited() && self.set_dirty(*slot) =>
            {
                self.commit.suspect = Some(*slot);
            }
            (_, jobs) => {
                for (slot, _) in jobs {
                    self.mark_dirty(*slot);
                }
            }
        }
        if row_count == 0 {
            // The store refuses whatever this coordinator writes.
            self.commit.next_batch = now + RENEW_INTERVAL;
            self.commit.next_renewal = now + RENEW_INTERVAL;
            if let Some(slot) = self.commit.suspect.take() {
                self.queue_write(slot);
            }
        }
        self.commit.row_limit = row_limit;
    }

    /// Marks a job as dirty without queueing it. Returns whether it wasn't dirty.
    fn set_dirty(&mut self, slot: JobSlot) -> bool {
        let job = self.jobs.get_mut(slot);
        job.is_some_and(|job| !std::mem::replace(&mut job.dirty, true))
    }

    /// Sends the start of a run that was just committed, unless its job has ended or its worker has
    /// become silent, shrunk, evacuated or restarted.
    fn send_committed_start(&mut self, slot: TaskSlot, now: TimePoint) {
        let recording = self
            .jobs
            .task(slot)
            .is_some_and(|task| task.phase == TaskPhase::Recording);
        if !recording {
            return;
        }
        let job_ended = self.has_job_ended(slot.job);
        let withheld = self.jobs.task(slot).is_some_and(|task| {
            let entry = task.worker.map(|worker| self.workers.get(worker));
            entry.is_some_and(|entry| {
                entry.recorded_silent
                    || entry.is_over_capacity()
                    || entry.born_ms != task.worker_born_ms
            })
        });
        if withheld {
            // The worker became silent, shrank or restarted after it was chosen, and no start has
            // been sent.
            self.requeue_task(slot, now, TimeSpan::ZERO);
            self.mark_dirty(slot.job);
        } else if job_ended {
            self.requeue_task(slot, now, TimeSpan::ZERO);
        } else if let Some(cause) = self.start_obstacle(slot, now) {
            self.withhold_start(slot, cause, now);
        } else {
            self.send_start(slot, now);
        }
    }

    /// Acknowledges the listed ends of a worker at once if no row is waiting to be committed.
    pub(super) fn acknowledge_ends(&mut self, worker: WorkerSlot, now: TimePoint) {
        let has_unwritten = !self.dirty.is_empty() || self.commit.held_count() > 0;
        let idle = !has_unwritten && self.commit.in_flight.is_none();
        let entry = self.workers.get_mut(worker);
        if entry.handled_end <= entry.acked_end {
            return;
        }
        if idle {
            entry.acked_end = entry.handled_end;
            entry.unwritten_ends.clear();
        } else {
            // A worker with unacknowledged ends answers polls immediately, so the next poll is
            // delayed.
            self.schedule_poll(worker, now + ACK_POLL_DELAY);
        }
    }
}

/// Delay of the next poll of a worker whose listed ends are not committed yet. The commit shortens
/// it.
const ACK_POLL_DELAY: TimeSpan = TimeSpan::from_millis(400);
