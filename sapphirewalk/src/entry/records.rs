//! Rows in the store: accepted jobs, their progress, and the leader.

use std::iter;
use std::net;
use std::time;

use futures::future;
use sapphirewalk_core::coordinator::CommitBatch;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::RecoveryRecords;
use sapphirewalk_core::coordinator::SilentWorker;
use sapphirewalk_core::job_registry::JobProgress;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::progress_row;
use sapphirewalk_core::stored_value;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::work_rule::QueueTerms;
use sapphirewalk_platform::store::RowChange;
use sapphirewalk_platform::store::RowLocation;
use sapphirewalk_platform::store::StoreClient;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::store::StoredRow;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Table of accepted jobs and of cancellations.
pub const JOB_TABLE: &str = "jobs";
/// Table of the progress of jobs.
const PROGRESS_TABLE: &str = "progress";
/// Table of the leader row and of the rows that the leader passes to its successor.
const LEADER_TABLE: &str = "leader";
/// Partition that holds the leader row and every row written together with it.
const LEADER_PARTITION: &str = "leader";
/// Key of the leader row.
const LEADER_KEY: &str = "coordinator";
/// Key of the row with the interference learned per image, which a successor takes over.
const LEARNED_KEY: &str = "learned";
/// Key of the row that lists the workers to which the leader grants no leases.
const SILENT_KEY: &str = "silent";
/// Number of partitions over which accepted jobs are spread. A partition runs one transaction at a
/// time, which is 200 a second, but 3 a second while the store is 60 times as slow. The larger
/// sites accept 37 jobs a second.
const JOB_PARTITIONS: u64 = 16;
/// Most jobs whose rows are deleted in one transaction. The store takes 100 entries, and a job has
/// two rows.
const JOBS_PER_DELETION: usize = 50;
/// Key suffix of a cancellation row. It sorts after the key of the job's own row.
const CANCEL_SUFFIX: &str = "-cancelled";
/// Version of the value encoding that this program writes and reads, except for progress.
const LAYOUT_VERSION: u8 = 1;
/// Timeout for reading one page of a partition. The store answers in 4 ms, or up to 60 times as
/// slowly.
pub const PART_READ_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// The row that names the current or last leader.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct LeaderRow {
    /// Name of the leader's VM.
    pub vm: String,
    /// Random number that distinguishes this run of the leader's process from others.
    pub incarnation: u64,
    /// Fencing token of the leadership. Each new leadership adds one, starting at 1.
    pub fence: u64,
    /// Address at which the leader accepts connections of peers.
    pub address: net::SocketAddr,
    /// Number of the last batch recorded in this leadership. 0 before the first one.
    pub batch: u64,
    /// The leadership has been released, and any process may acquire it.
    pub released: bool,
    /// CPU share of the leader's VM in thousandths of a core. VMs with a much smaller share wait
    /// longer before they contend.
    pub cpu_millis: u64,
}

/// Value of an accepted job's row. The key holds the job's identifier.
#[derive(Debug, Deserialize, Serialize)]
struct StoredJob {
    queue: String,
    pool: String,
    spec: JobSpec,
    accepted_at: TimePoint,
}

/// Terms of an accepted job's queue, which follow the [`StoredJob`] in its row. An earlier version
/// doesn't write them, and ignores them when it reads a row.
#[derive(Debug, Deserialize, Serialize)]
struct StoredTerms {
    priority: u32,
    max_attempts: u32,
    slowdown_factor: f64,
    target_latency: TimeSpan,
}

impl From<QueueTerms> for StoredTerms {
    fn from(terms: QueueTerms) -> Self {
        let QueueTerms {
            priority,
            max_attempts,
            slowdown_factor,
            target_latency,
        } = terms;
        Self {
            priority,
            max_attempts,
            slowdown_factor,
            target_latency,
        }
    }
}

impl TryFrom<StoredTerms> for QueueTerms {
    type Error = TermsFault;

    fn try_from(stored: StoredTerms) -> Result<Self, TermsFault> {
        let StoredTerms {
            priority,
            max_attempts,
            slowdown_factor,
            target_latency,
        } = stored;
        if !(slowdown_factor.is_finite() && slowdown_factor >= 0.0) {
            return Err(TermsFault::Slowdown);
        }
        Ok(Self {
            priority,
            max_attempts,
            slowdown_factor,
            target_latency,
        })
    }
}

/// A silent worker in the row that lists them. The addresses of all workers follow in the row; an
/// earlier version doesn't write them, and ignores them when it reads the row.
#[derive(Debug, Deserialize, Serialize)]
struct StoredSilent {
    id: String,
    lease_left: TimeSpan,
}

/// Why stored terms of a queue can't be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum TermsFault {
    /// The slowdown factor is negative or not finite.
    Slowdown,
}

/// A decoded row of the job table.
#[derive(Clone, Debug)]
pub enum JobRow {
    /// A job that has been accepted.
    Accepted(JobRecord),
    /// A job whose cancellation has been accepted.
    Cancelled(JobId),
}

/// All records about jobs, read from the store.
#[derive(Debug, Default)]
pub struct RecordSet {
    /// Jobs, progress and the rows passed on by the last leader.
    pub records: RecoveryRecords,
    /// The store version from which to follow the feed of the job table.
    pub version: u64,
    /// Keys of rows that this version of the program can't decode.
    pub unreadable: Vec<String>,
    /// Number of rows without a readable key.
    pub unnamed: usize,
}

/// Location of the leader row.
pub fn leader_location() -> RowLocation {
    RowLocation {
        table: LEADER_TABLE,
        partition: LEADER_PARTITION.to_owned(),
        key: LEADER_KEY.to_owned(),
    }
}

fn learned_location() -> RowLocation {
    RowLocation {
        key: LEARNED_KEY.to_owned(),
        ..leader_location()
    }
}

fn silent_location() -> RowLocation {
    RowLocation {
        key: SILENT_KEY.to_owned(),
        ..leader_location()
    }
}

/// Location of an accepted job's row.
pub fn job_location(id: JobId) -> RowLocation {
    RowLocation {
        table: JOB_TABLE,
        partition: (id.0 % JOB_PARTITIONS).to_string(),
        key: id.to_string(),
    }
}

/// Location of a job's cancellation row.
pub fn cancel_location(id: JobId) -> RowLocation {
    let mut location = job_location(id);
    location.key.push_str(CANCEL_SUFFIX);
    location
}

fn progress_location(id: JobId) -> RowLocation {
    RowLocation {
        table: PROGRESS_TABLE,
        partition: LEADER_PARTITION.to_owned(),
        key: id.to_string(),
    }
}

/// Encodes a value, preceded by the version of the encoding.
pub fn encode(value: &impl Serialize) -> Vec<u8> {
    stored_value::encode(LAYOUT_VERSION, value)
}

/// Decodes a value. `None` if its encoding has another version or the bytes don't fit.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    decode_first(bytes).map(|(value, _)| value)
}

/// Like [`decode`], with the bytes that follow the value.
fn decode_first<T: DeserializeOwned>(bytes: &[u8]) -> Option<(T, &[u8])> {
    let (version, rest) = bytes.split_first()?;
    if *version != LAYOUT_VERSION {
        return None;
    }
    postcard::take_from_bytes(rest).ok()
}

fn encode_silent(silent: &[SilentWorker]) -> Vec<u8> {
    let workers = silent.iter().map(|worker| StoredSilent {
        id: worker.id.clone(),
        lease_left: worker.lease_left,
    });
    let workers: Vec<StoredSilent> = workers.collect();
    let addresses = silent.iter().map(|worker| worker.address);
    let addresses: Vec<Option<net::SocketAddr>> = addresses.collect();
    encode(&(workers, addresses))
}

fn decode_silent(bytes: &[u8]) -> Option<Vec<SilentWorker>> {
    let (workers, rest) = decode_first::<Vec<StoredSilent>>(bytes)?;
    let addresses = postcard::from_bytes::<Vec<Option<net::SocketAddr>>>(rest);
    let addresses = addresses.unwrap_or_default();
    let addresses = addresses.into_iter().chain(iter::repeat(None));
    let silent = workers
        .into_iter()
        .zip(addresses)
        .map(|(worker, address)| SilentWorker {
            id: worker.id,
            lease_left: worker.lease_left,
            address,
        });
    Some(silent.collect())
}

/// The change that stores an accepted job. It conflicts if the job is already stored.
pub fn accept_change(record: &JobRecord) -> RowChange {
    let location = job_location(record.id);
    let job = StoredJob {
        queue: record.queue.clone(),
        pool: record.pool.clone(),
        spec: record.spec.clone(),
        accepted_at: record.accepted_at,
    };
    let value = match record.terms {
        Some(terms) => encode(&(job, StoredTerms::from(terms))),
        None => encode(&job),
    };
    RowChange {
        expected: vec![(location.clone(), 0)],
        written: vec![(location, value)],
        removed: Vec::new(),
    }
}

/// The change that stores the cancellation of a job. Repeating it has no further effect.
pub fn cancel_change(id: JobId) -> RowChange {
    RowChange {
        expected: Vec::new(),
        written: vec![(cancel_location(id), encode(&()))],
        removed: Vec::new(),
    }
}

/// The change that acquires or renews the leadership and records a batch. It conflicts unless the
/// leader row has the given version; 0 expects no row.
pub fn leader_change(row: &LeaderRow, version: u64, batch: Option<&CommitBatch>) -> RowChange {
    let mut change = RowChange {
        expected: vec![(leader_location(), version)],
        written: vec![(leader_location(), encode(row))],
        removed: Vec::new(),
    };
    if let Some(batch) = batch {
        for progress in &batch.rows {
            change.written.push((
                progress_location(progress.id),
                progress_row::encode(progress),
            ));
        }
        if let Some(learned) = &batch.learned {
            change.written.push((learned_location(), encode(learned)));
        }
        if let Some(silent) = &batch.silent {
            change
                .written
                .push((silent_location(), encode_silent(silent)));
        }
        change
            .removed
            .extend(batch.removed.iter().map(|id| progress_location(*id)));
    }
    change
}

/// The changes that delete the rows of jobs past their retention, but not their progress. Each is
/// returned with its jobs, which are of one partition.
pub fn deletion_changes(mut ids: Vec<JobId>) -> Vec<(Vec<JobId>, RowChange)> {
    ids.sort_unstable_by_key(|id| id.0 % JOB_PARTITIONS);
    let partitions = ids.chunk_by(|one, other| one.0 % JOB_PARTITIONS == other.0 % JOB_PARTITIONS);
    partitions
        .flat_map(|ids| ids.chunks(JOBS_PER_DELETION))
        .map(|ids| {
            let rows = ids.iter();
            let rows = rows.flat_map(|id| [job_location(*id), cancel_location(*id)]);
            let change = RowChange {
                removed: rows.collect(),
                ..RowChange::default()
            };
            (ids.to_vec(), change)
        })
        .collect()
}

/// The job that a row of the job table belongs to, whatever its value; none if the key names no
/// job.
fn job_of_key(key: &str) -> Option<JobId> {
    let id = key.strip_suffix(CANCEL_SUFFIX).unwrap_or(key);
    u64::from_str_radix(id, 16).ok().map(JobId)
}

/// Decodes a row of the job table. `None` for a deleted or unreadable row.
pub fn parse_job_row(row: &StoredRow) -> Option<JobRow> {
    if row.deleted {
        return None;
    }
    if let Some(key) = row.key.strip_suffix(CANCEL_SUFFIX) {
        let id = u64::from_str_radix(key, 16).ok()?;
        return Some(JobRow::Cancelled(JobId(id)));
    }
    let id = u64::from_str_radix(&row.key, 16).ok()?;
    let (stored, rest) = decode_first::<StoredJob>(&row.value)?;
    let terms = postcard::from_bytes::<StoredTerms>(rest).ok();
    Some(JobRow::Accepted(JobRecord {
        id: JobId(id),
        queue: stored.queue,
        pool: stored.pool,
        spec: stored.spec,
        accepted_at: stored.accepted_at,
        terms: terms.and_then(|terms| terms.try_into().ok()),
    }))
}

/// Reads the progress of one job. `None` if none is recorded or the row can't be decoded.
///
/// # Errors
///
/// If the store doesn't answer or refuses.
pub async fn read_progress(
    store: &StoreClient,
    id: JobId,
    timeout: time::Duration,
) -> Result<Option<JobProgress>, StoreError> {
    let row = store.read_row(&progress_location(id), timeout).await?;
    Ok(row.and_then(|row| progress_row::decode(&row.value)))
}

/// Reads all records about jobs. Rows that can't be decoded are listed by key.
///
/// # Errors
///
/// If the store doesn't answer or refuses.
pub async fn read_all(store: &StoreClient) -> Result<RecordSet, StoreError> {
    let mut set = RecordSet {
        version: u64::MAX,
        ..RecordSet::default()
    };
    let partitions: Vec<String> = (0..JOB_PARTITIONS)
        .map(|partition| partition.to_string())
        .collect();
    let reads = partitions
        .iter()
        .map(|partition| store.read_partition(JOB_TABLE, partition, PART_READ_TIMEOUT));
    let mut listed = Vec::new();
    for page in future::try_join_all(reads).await? {
        set.version = set.version.min(page.version);
        set.unnamed += page.unnamed;
        for row in &page.rows {
            listed.extend(job_of_key(&row.key));
            match parse_job_row(row) {
                Some(JobRow::Accepted(record)) => set.records.jobs.push(record),
                Some(JobRow::Cancelled(id)) => set.records.cancelled.push(id),
                None => set.unreadable.push(row.key.clone()),
            }
        }
    }
    let page = store
        .read_partition(PROGRESS_TABLE, LEADER_PARTITION, PART_READ_TIMEOUT)
        .await?;
    set.unnamed += page.unnamed;
    listed.sort_unstable();
    for row in &page.rows {
        match progress_row::decode(&row.value) {
            // A leader that ended between the two deletions left it.
            Some(progress)
                if progress.state.is_final() && listed.binary_search(&progress.id).is_err() =>
            {
                set.records.forgotten.push(progress.id);
            }
            Some(progress) => set.records.progress.push(progress),
            None => set.unreadable.push(row.key.clone()),
        }
    }
    let page = store
        .read_partition(LEADER_TABLE, LEADER_PARTITION, PART_READ_TIMEOUT)
        .await?;
    set.unnamed += page.unnamed;
    for row in page.rows {
        let read = match row.key.as_str() {
            LEARNED_KEY => decode(&row.value).map(|learned| set.records.learned = learned),
            SILENT_KEY => decode_silent(&row.value).map(|silent| set.records.silent = silent),
            _ => Some(()),
        };
        if read.is_none() {
            set.unreadable.push(row.key);
        }
    }
    Ok(set)
}
