//! The ledger of all attempts on all workers, for tests to judge.

use std::sync;

use sapphirewalk_core::resource::ResourceVector;

use crate::clock;
use crate::counter;
use crate::worker::payload;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// It still runs, or its worker is paused.
    Running,
    /// It succeeded.
    Finished,
    /// It failed of its own.
    Failed,
    /// A command or the end of its lease stopped it.
    Stopped,
    /// Its worker went away.
    WorkerLost,
}

/// A time during which an attempt ran, in Unix milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunSpan {
    /// When it began.
    pub started_ms: u64,
    /// When it ended; `None` while it lasts.
    pub ended_ms: Option<u64>,
}

/// One attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// The worker's name.
    pub worker: String,
    /// The worker's incarnation.
    pub incarnation: u64,
    /// The task.
    pub task: String,
    /// The attempt.
    pub attempt: u64,
    /// What it was given.
    pub resources: ResourceVector,
    /// The checkpoint that it resumed from.
    pub resumed_from: Option<String>,
    /// When it ran; a pause of its worker splits the time.
    pub spans: Vec<RunSpan>,
    /// How it ended.
    pub outcome: RunOutcome,
}

/// The most that a worker ever gave at once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPeak {
    /// The worker's name.
    pub worker: String,
    /// The worker's capacity.
    pub capacity: ResourceVector,
    /// Most of each resource in use at once.
    pub most: ResourceVector,
}

/// Names an attempt in the ledger.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RecordKey(usize);

/// The records, shared by all workers.
#[derive(Clone, Debug, Default)]
pub struct RunLedger {
    book: sync::Arc<sync::Mutex<LedgerBook>>,
}

#[derive(Debug, Default)]
struct LedgerBook {
    /// In the order of their starts.
    records: Vec<RunRecord>,
    /// Sorted by worker.
    peaks: Vec<WorkerPeak>,
    foreign_checkpoints: u64,
}

impl RunSpan {
    /// Whether two spans share some time.
    fn overlaps(self, other: Self) -> bool {
        let self_end = self.ended_ms.unwrap_or(u64::MAX);
        let other_end = other.ended_ms.unwrap_or(u64::MAX);
        self.started_ms < other_end && other.started_ms < self_end
    }
}

impl RunRecord {
    /// The key of the task's submission.
    pub fn submission_key(&self) -> &str {
        payload::submission_key(&self.task)
    }

    fn overlaps(&self, other: &Self) -> bool {
        self.spans
            .iter()
            .any(|span| other.spans.iter().any(|other| span.overlaps(*other)))
    }
}

impl RunLedger {
    /// An empty ledger.
    pub fn new() -> Self {
        Self::default()
    }

    /// All attempts in the order of their starts.
    pub fn records(&self) -> Vec<RunRecord> {
        self.book().records.clone()
    }

    /// The attempts of one task in the order of their starts. Here as below a task is known by
    /// the key of its submission, which it keeps when it gets another ID in another shard.
    pub fn records_of(&self, task: &str) -> Vec<RunRecord> {
        let mut records = self.records();
        let key = payload::submission_key(task);
        records.retain(|record| record.submission_key() == key);
        records
    }

    /// The keys of the tasks of which two attempts ever ran at the same time, sorted.
    pub fn overlapping_tasks(&self) -> Vec<String> {
        let mut records = self.records();
        records.sort_by(|left, right| left.submission_key().cmp(right.submission_key()));
        let is_same =
            |left: &RunRecord, right: &RunRecord| left.submission_key() == right.submission_key();
        let mut doubled = Vec::new();
        for same_task in records.chunk_by(is_same) {
            if has_overlap(same_task) {
                doubled.push(same_task[0].submission_key().to_owned());
            }
        }
        doubled
    }

    /// How often a task finished.
    pub fn finish_count(&self, task: &str) -> usize {
        self.count(task, RunOutcome::Finished)
    }

    /// How many attempts were ever started.
    pub fn started_count(&self) -> usize {
        self.book().records.len()
    }

    /// How many attempts have finished.
    pub fn finished_count(&self) -> usize {
        let book = self.book();
        let finished = book
            .records
            .iter()
            .filter(|record| record.outcome == RunOutcome::Finished);
        finished.count()
    }

    /// The keys of the tasks that finished more than once, sorted.
    pub fn finished_twice(&self) -> Vec<String> {
        let finished = self
            .records()
            .into_iter()
            .filter(|record| record.outcome == RunOutcome::Finished)
            .map(|record| record.submission_key().to_owned())
            .collect();
        counter::repeated_names(finished)
    }

    /// The capacity of each worker and the most that it ever gave at once, sorted by worker.
    pub fn peaks(&self) -> Vec<WorkerPeak> {
        self.book().peaks.clone()
    }

    /// The workers that ever gave more than they have.
    pub fn over_committed(&self) -> Vec<WorkerPeak> {
        let mut peaks = self.peaks();
        peaks.retain(|peak| !peak.most.fits(peak.capacity));
        peaks
    }

    /// Starts that named a checkpoint of another task.
    pub fn foreign_checkpoints(&self) -> u64 {
        self.book().foreign_checkpoints
    }

    pub(super) fn has_failed(&self, task: &str) -> bool {
        self.count(task, RunOutcome::Failed) > 0
    }

    pub(super) fn record_start(&self, record: RunRecord) -> RecordKey {
        let mut book = self.book();
        book.records.push(record);
        RecordKey(book.records.len() - 1)
    }

    pub(super) fn record_use(&self, worker: &str, capacity: ResourceVector, used: ResourceVector) {
        let mut book = self.book();
        let found = book
            .peaks
            .binary_search_by(|peak| peak.worker.as_str().cmp(worker));
        match found {
            Ok(position) => {
                let peak = &mut book.peaks[position];
                peak.most = peak.most.max(used);
                peak.capacity = capacity;
            }
            Err(position) => book.peaks.insert(
                position,
                WorkerPeak {
                    worker: worker.to_owned(),
                    capacity,
                    most: used,
                },
            ),
        }
    }

    pub(super) fn record_foreign_checkpoint(&self) {
        self.book().foreign_checkpoints += 1;
    }

    pub(super) fn record_pause(&self, key: RecordKey, now_ms: u64) {
        close_span(&mut self.book().records[key.0], now_ms);
    }

    pub(super) fn record_resume(&self, key: RecordKey, now_ms: u64) {
        self.book().records[key.0].spans.push(RunSpan {
            started_ms: now_ms,
            ended_ms: None,
        });
    }

    pub(super) fn record_end(&self, key: RecordKey, outcome: RunOutcome, at_ms: u64) {
        let mut book = self.book();
        let record = &mut book.records[key.0];
        record.outcome = outcome;
        close_span(record, at_ms);
    }

    fn count(&self, task: &str, outcome: RunOutcome) -> usize {
        let key = payload::submission_key(task);
        let book = self.book();
        book.records
            .iter()
            .filter(|record| record.submission_key() == key && record.outcome == outcome)
            .count()
    }

    fn book(&self) -> sync::MutexGuard<'_, LedgerBook> {
        clock::lock(&self.book)
    }
}

fn has_overlap(records: &[RunRecord]) -> bool {
    records.iter().enumerate().any(|(index, record)| {
        records[index + 1..]
            .iter()
            .any(|other| record.overlaps(other))
    })
}

fn close_span(record: &mut RunRecord, at_ms: u64) {
    if let Some(span) = record.spans.last_mut() {
        span.ended_ms.get_or_insert(at_ms.max(span.started_ms));
    }
}
