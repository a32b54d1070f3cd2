//! What the store keeps: accepted jobs, their progress, and who leads.

use std::net;
use std::time;

use futures::future;
use sapphirewalk_core::coordinator::CommitBatch;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::RecoveryRecords;
use sapphirewalk_core::job_registry::JobProgress;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_platform::store::RowChange;
use sapphirewalk_platform::store::RowPlace;
use sapphirewalk_platform::store::StoreClient;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::store::StoredRow;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Accepted jobs, and marks of cancelled ones.
pub const JOB_TABLE: &str = "jobs";
/// How far jobs have come.
const PROGRESS_TABLE: &str = "progress";
/// Who leads.
const LEADER_TABLE: &str = "leader";
/// The part whose rows change together with the leader's row.
const LEADER_PART: &str = "leader";
/// The row that names who leads.
const LEADER_KEY: &str = "coordinator";
/// The row that hands on what has been learned of images.
const LEARNED_KEY: &str = "learned";
/// The row that names the workers that get no leases.
const SILENT_KEY: &str = "silent";
/// Parts over which accepted jobs are spread. A part takes one transaction after another: 200 a second,
/// but 3 a second while the store is 60 times as slow, and the larger sites accept 37 jobs a second.
const JOB_PARTS: u64 = 16;
/// Ends the key of a mark that a job is cancelled; sorts after the job's own key.
const CANCEL_SUFFIX: &str = "-cancelled";
/// The layout of values that this version writes.
const LAYOUT_VERSION: u8 = 1;
/// Time for a read at start-up: the store answers in 4 ms, up to 60 times as slowly on bad days.
pub const READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Who leads.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaderRow {
    /// The VM's name.
    pub vm: String,
    /// Tells one incarnation of its process from another.
    pub incarnation: u64,
    /// The fencing token.
    pub fence: u64,
    /// Where it takes connections of peers.
    pub address: net::SocketAddr,
    /// The last batch that it recorded.
    pub batch: u64,
    /// It has released the leadership; anybody may take it.
    pub released: bool,
    /// Its VM's share of a core in thousandths; VMs with much less let others go first.
    pub cpu_millis: u64,
}

/// An accepted job as it is kept.
#[derive(Debug, Deserialize, Serialize)]
struct StoredJob {
    queue: String,
    pool: String,
    spec: JobSpec,
    accepted_at: TimePoint,
}

/// A row of the table of jobs.
#[derive(Clone, Debug)]
pub enum JobRow {
    /// A job was accepted.
    Accepted(JobRecord),
    /// A job's cancelling was accepted.
    Cancelled(JobId),
}

/// What was read of jobs.
#[derive(Debug, Default)]
pub struct RecordSet {
    /// The jobs.
    pub records: RecoveryRecords,
    /// The version from which to follow the table of jobs.
    pub version: u64,
    /// Keys of rows that this version of the program can't read.
    pub unreadable: Vec<String>,
}

/// Where the leader's row is.
pub fn leader_place() -> RowPlace {
    RowPlace {
        table: LEADER_TABLE,
        part: LEADER_PART.to_owned(),
        key: LEADER_KEY.to_owned(),
    }
}

fn learned_place() -> RowPlace {
    RowPlace {
        key: LEARNED_KEY.to_owned(),
        ..leader_place()
    }
}

fn silent_place() -> RowPlace {
    RowPlace {
        key: SILENT_KEY.to_owned(),
        ..leader_place()
    }
}

/// Where an accepted job is.
pub fn job_place(id: JobId) -> RowPlace {
    RowPlace {
        table: JOB_TABLE,
        part: (id.0 % JOB_PARTS).to_string(),
        key: id.to_string(),
    }
}

/// Where the mark of a job's cancelling is.
pub fn cancel_place(id: JobId) -> RowPlace {
    let mut place = job_place(id);
    place.key.push_str(CANCEL_SUFFIX);
    place
}

fn progress_place(id: JobId) -> RowPlace {
    RowPlace {
        table: PROGRESS_TABLE,
        part: LEADER_PART.to_owned(),
        key: id.to_string(),
    }
}

/// Encodes a value behind its layout's version.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    // Encoding plain types into memory can't fail; an empty value would be refused on reading.
    let mut bytes = vec![LAYOUT_VERSION];
    bytes.extend(postcard::to_allocvec(value).unwrap_or_default());
    bytes
}

/// Decodes a value of a layout that this version knows.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (version, rest) = bytes.split_first()?;
    if *version != LAYOUT_VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}

/// The change that accepts a job; it takes effect once at the most.
pub fn accept_change(record: &JobRecord) -> RowChange {
    let place = job_place(record.id);
    let value = encode(&StoredJob {
        queue: record.queue.clone(),
        pool: record.pool.clone(),
        spec: record.spec.clone(),
        accepted_at: record.accepted_at,
    });
    RowChange {
        expected: vec![(place.clone(), 0)],
        written: vec![(place, value)],
        removed: Vec::new(),
    }
}

/// The change that accepts a job's cancelling.
pub fn cancel_change(id: JobId) -> RowChange {
    RowChange {
        expected: Vec::new(),
        written: vec![(cancel_place(id), encode(&()))],
        removed: Vec::new(),
    }
}

/// The change that takes or renews the leadership and records a batch.
pub fn leader_change(row: &LeaderRow, version: u64, batch: Option<&CommitBatch>) -> RowChange {
    let mut change = RowChange {
        expected: vec![(leader_place(), version)],
        written: vec![(leader_place(), encode(row))],
        removed: Vec::new(),
    };
    if let Some(batch) = batch {
        for progress in &batch.rows {
            change
                .written
                .push((progress_place(progress.id), encode(progress)));
        }
        if let Some(learned) = &batch.learned {
            change.written.push((learned_place(), encode(learned)));
        }
        if let Some(silent) = &batch.silent {
            change.written.push((silent_place(), encode(silent)));
        }
        change
            .removed
            .extend(batch.removed.iter().map(|id| progress_place(*id)));
    }
    change
}

/// The changes that drop the rows of jobs that nobody may ask for any more.
pub fn forget_changes(ids: &[JobId]) -> Vec<RowChange> {
    (0..JOB_PARTS)
        .map(|part| RowChange {
            removed: ids
                .iter()
                .filter(|id| id.0 % JOB_PARTS == part)
                .flat_map(|id| [job_place(*id), cancel_place(*id)])
                .collect(),
            ..RowChange::default()
        })
        .filter(|change| !change.removed.is_empty())
        .collect()
}

/// Reads a row of the table of jobs; `None` for a dropped or unreadable one.
pub fn job_row(row: &StoredRow) -> Option<JobRow> {
    if row.dropped {
        return None;
    }
    if let Some(key) = row.key.strip_suffix(CANCEL_SUFFIX) {
        let id = u64::from_str_radix(key, 16).ok()?;
        return Some(JobRow::Cancelled(JobId(id)));
    }
    let id = u64::from_str_radix(&row.key, 16).ok()?;
    let stored: StoredJob = decode(&row.value)?;
    Some(JobRow::Accepted(JobRecord {
        id: JobId(id),
        queue: stored.queue,
        pool: stored.pool,
        spec: stored.spec,
        accepted_at: stored.accepted_at,
    }))
}

/// Reads how far one job has come.
///
/// # Errors
///
/// When the store doesn't answer or refuses.
pub async fn read_progress(
    store: &StoreClient,
    id: JobId,
    timeout: time::Duration,
) -> Result<Option<JobProgress>, StoreError> {
    let row = store.read_row(&progress_place(id), timeout).await?;
    Ok(row.and_then(|row| decode(&row.value)))
}

/// Reads everything about jobs, and the version from which to follow the table of jobs.
///
/// # Errors
///
/// When the store doesn't answer or refuses.
pub async fn read_all(store: &StoreClient) -> Result<RecordSet, StoreError> {
    let mut set = RecordSet {
        version: u64::MAX,
        ..RecordSet::default()
    };
    let parts: Vec<String> = (0..JOB_PARTS).map(|part| part.to_string()).collect();
    let reads = parts
        .iter()
        .map(|part| store.read_part(JOB_TABLE, part, READ_TIMEOUT));
    for page in future::try_join_all(reads).await? {
        set.version = set.version.min(page.version);
        for row in &page.rows {
            match job_row(row) {
                Some(JobRow::Accepted(record)) => set.records.jobs.push(record),
                Some(JobRow::Cancelled(id)) => set.records.cancelled.push(id),
                None => set.unreadable.push(row.key.clone()),
            }
        }
    }
    let page = store
        .read_part(PROGRESS_TABLE, LEADER_PART, READ_TIMEOUT)
        .await?;
    for row in &page.rows {
        match decode(&row.value) {
            Some(progress) => set.records.progress.push(progress),
            None => set.unreadable.push(row.key.clone()),
        }
    }
    let page = store
        .read_part(LEADER_TABLE, LEADER_PART, READ_TIMEOUT)
        .await?;
    for row in page.rows {
        let read = match row.key.as_str() {
            LEARNED_KEY => decode(&row.value).map(|learned| set.records.learned = learned),
            SILENT_KEY => decode(&row.value).map(|silent| set.records.silent = silent),
            _ => Some(()),
        };
        if read.is_none() {
            set.unreadable.push(row.key);
        }
    }
    Ok(set)
}
