//! The ledger: each attempt that a worker started, for the checks of tests.

use std::sync;

use sapphirewalk_core::resource::ResourceVector;

use crate::clock;
use crate::counter;
use crate::worker::payload;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The attempt still runs, or its worker is paused.
    Running,
    /// The attempt did all its work.
    Finished,
    /// The attempt ran out of memory, or its payload or the worker's fault made it fail.
    Failed,
    /// An evict or stop command, or the end of the lease, stopped the attempt.
    Stopped,
    /// The worker was dropped while the attempt ran.
    WorkerLost,
}

/// A time during which an attempt ran without a pause, in Unix milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunningSpan {
    /// The start of the attempt, or the end of a pause.
    pub started_ms: u64,
    /// The end of the attempt, or the start of a pause; `None` while the attempt runs.
    pub ended_ms: Option<u64>,
}

/// One attempt that a worker started.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LedgerAttempt {
    /// The name of the worker that ran the attempt.
    pub worker: String,
    /// The incarnation of the worker.
    pub incarnation: u64,
    /// The task's ID, as in the start command.
    pub task: String,
    /// The number of the attempt, as in the start command; rises with each attempt of a task.
    pub attempt: u64,
    /// The granted resources.
    pub resources: ResourceVector,
    /// The ID of the checkpoint in the start command; `None` for a start from the beginning.
    pub resumed_from: Option<String>,
    /// The times of running, oldest first; each pause of the worker starts a new one.
    pub spans: Vec<RunningSpan>,
    /// How the attempt ended, or that it runs.
    pub outcome: AttemptOutcome,
}

/// The capacity of a worker and the most that its attempts were granted at once, over all its
/// incarnations.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPeak {
    /// The name of the worker, the same for all its incarnations.
    pub worker: String,
    /// The capacity at the last start of an attempt.
    pub capacity: ResourceVector,
    /// The highest sum of grants for each resource; the resources may peak at different times.
    pub peak_granted: ResourceVector,
}

/// The index of an attempt in the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RecordKey(usize);

/// The attempts on all workers. Clones share the same records.
#[derive(Clone, Debug, Default)]
pub struct AttemptLedger {
    state: sync::Arc<sync::Mutex<LedgerState>>,
}

#[derive(Debug, Default)]
struct LedgerState {
    /// In the order of their starts.
    records: Vec<LedgerAttempt>,
    /// Sorted by worker.
    peaks: Vec<WorkerPeak>,
    /// Starts with a checkpoint of another task.
    foreign_checkpoints: u64,
}

impl RunningSpan {
    /// Whether the spans have some time in common.
    fn overlaps(self, other: Self) -> bool {
        let self_end = self.ended_ms.unwrap_or(u64::MAX);
        let other_end = other.ended_ms.unwrap_or(u64::MAX);
        self.started_ms < other_end && other.started_ms < self_end
    }
}

impl LedgerAttempt {
    /// The key of the task's submission, which stays the same when the task moves to another shard
    /// and gets another ID.
    pub fn submission_key(&self) -> &str {
        payload::submission_key(&self.task)
    }

    fn overlaps(&self, other: &Self) -> bool {
        self.spans
            .iter()
            .any(|span| other.spans.iter().any(|other| span.overlaps(*other)))
    }
}

impl AttemptLedger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// All attempts, in the order of their starts.
    pub fn records(&self) -> Vec<LedgerAttempt> {
        self.state().records.clone()
    }

    /// The attempts of one task, in the order of their starts. This function and those below
    /// identify a task by its submission key, so that attempts in different shards count together.
    pub fn records_of(&self, task: &str) -> Vec<LedgerAttempt> {
        let mut records = self.records();
        let key = payload::submission_key(task);
        records.retain(|record| record.submission_key() == key);
        records
    }

    /// The submission keys of the tasks of which two attempts ran at the same time, sorted.
    pub fn overlapping_tasks(&self) -> Vec<String> {
        let mut records = self.records();
        records.sort_by(|left, right| left.submission_key().cmp(right.submission_key()));
        let is_same = |left: &LedgerAttempt, right: &LedgerAttempt| {
            left.submission_key() == right.submission_key()
        };
        let mut overlapping = Vec::new();
        for same_task in records.chunk_by(is_same) {
            if has_overlap(same_task) {
                overlapping.push(same_task[0].submission_key().to_owned());
            }
        }
        overlapping
    }

    /// The number of attempts of a task that finished.
    pub fn finish_count(&self, task: &str) -> usize {
        self.count(task, AttemptOutcome::Finished)
    }

    /// The number of attempts that were started, over all tasks.
    pub fn started_count(&self) -> usize {
        self.state().records.len()
    }

    /// The number of attempts that finished, over all tasks.
    pub fn finished_count(&self) -> usize {
        let state = self.state();
        let finished = state
            .records
            .iter()
            .filter(|record| record.outcome == AttemptOutcome::Finished);
        finished.count()
    }

    /// The submission keys of the tasks of which more than one attempt finished, sorted.
    pub fn finished_twice(&self) -> Vec<String> {
        let finished = self
            .records()
            .into_iter()
            .filter(|record| record.outcome == AttemptOutcome::Finished)
            .map(|record| record.submission_key().to_owned())
            .collect();
        counter::repeated_names(finished)
    }

    /// The peak of each worker that ever started an attempt, sorted by worker.
    pub fn peaks(&self) -> Vec<WorkerPeak> {
        self.state().peaks.clone()
    }

    /// The peaks of the workers that ever granted more than their capacity.
    pub fn over_committed(&self) -> Vec<WorkerPeak> {
        let mut peaks = self.peaks();
        peaks.retain(|peak| !peak.peak_granted.fits(peak.capacity));
        peaks
    }

    /// The number of starts with a checkpoint of another task; zero unless the scheduler has a
    /// fault.
    pub fn foreign_checkpoints(&self) -> u64 {
        self.state().foreign_checkpoints
    }

    pub(super) fn has_failed(&self, task: &str) -> bool {
        self.count(task, AttemptOutcome::Failed) > 0
    }

    pub(super) fn record_start(&self, record: LedgerAttempt) -> RecordKey {
        let mut state = self.state();
        state.records.push(record);
        RecordKey(state.records.len() - 1)
    }

    pub(super) fn record_use(&self, worker: &str, capacity: ResourceVector, used: ResourceVector) {
        let mut state = self.state();
        let found = state
            .peaks
            .binary_search_by(|peak| peak.worker.as_str().cmp(worker));
        match found {
            Ok(position) => {
                let peak = &mut state.peaks[position];
                peak.peak_granted = peak.peak_granted.max(used);
                peak.capacity = capacity;
            }
            Err(position) => state.peaks.insert(
                position,
                WorkerPeak {
                    worker: worker.to_owned(),
                    capacity,
                    peak_granted: used,
                },
            ),
        }
    }

    pub(super) fn record_foreign_checkpoint(&self) {
        self.state().foreign_checkpoints += 1;
    }

    pub(super) fn record_pause(&self, key: RecordKey, now_ms: u64) {
        close_span(&mut self.state().records[key.0], now_ms);
    }

    pub(super) fn record_resume(&self, key: RecordKey, now_ms: u64) {
        self.state().records[key.0].spans.push(RunningSpan {
            started_ms: now_ms,
            ended_ms: None,
        });
    }

    pub(super) fn record_end(&self, key: RecordKey, outcome: AttemptOutcome, at_ms: u64) {
        let mut state = self.state();
        let record = &mut state.records[key.0];
        record.outcome = outcome;
        close_span(record, at_ms);
    }

    fn count(&self, task: &str, outcome: AttemptOutcome) -> usize {
        let key = payload::submission_key(task);
        let state = self.state();
        state
            .records
            .iter()
            .filter(|record| record.submission_key() == key && record.outcome == outcome)
            .count()
    }

    fn state(&self) -> sync::MutexGuard<'_, LedgerState> {
        clock::lock(&self.state)
    }
}

fn has_overlap(records: &[LedgerAttempt]) -> bool {
    records.iter().enumerate().any(|(index, record)| {
        records[index + 1..]
            .iter()
            .any(|other| record.overlaps(other))
    })
}

fn close_span(record: &mut LedgerAttempt, at_ms: u64) {
    if let Some(span) = record.spans.last_mut() {
        span.ended_ms.get_or_insert(at_ms.max(span.started_ms));
    }
}
