//! Commits changes of many rows in few transactions, and reads rows back after lost answers.

use sapphirewalk_wire::platform::RowChange;
use sapphirewalk_wire::platform::RowCondition;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::platform::TransactionRequest;

use crate::platform::PlatformClient;
use crate::platform::PlatformError;

/// A conditional change of one row.
#[derive(Clone, Debug)]
pub struct RowWrite {
    /// The key of the row to change.
    pub key: String,
    /// The version that the row must have; `None` if it must be absent.
    pub version: Option<u64>,
    /// The new value, a JSON text.
    pub value: String,
    /// Another row that the same transaction inserts; it must be absent.
    pub companion: Option<NewRow>,
}

/// A row to insert.
#[derive(Clone, Debug)]
pub struct NewRow {
    /// The key, which no row has yet.
    pub key: String,
    /// The value, a JSON text.
    pub value: String,
}

/// The outcome of a read or of one change.
#[derive(Clone, Debug)]
pub enum RowOutcome {
    /// The change took effect.
    Committed {
        /// The row's new version.
        version: u64,
    },
    /// The row as read; `None` if it is absent. For a change: its condition failed or its answer
    /// was lost, and the row was read afterwards.
    Read(Option<TableRow>),
    /// The platform did not answer, but the change certainly had no effect.
    NotWritten(PlatformError),
    /// The row could not be read. For a change: its condition failed or its answer was lost, so
    /// whether it took effect is not certain.
    Unknown(PlatformError),
    /// The condition on the guard row failed, so nothing was written; the row was not read.
    GuardFailed,
}

impl RowWrite {
    /// Whether the change writes the row with this key.
    fn concerns(&self, key: &str) -> bool {
        self.key == key || self.companion.as_ref().is_some_and(|row| row.key == key)
    }
}

impl RowOutcome {
    /// Whether the platform did not answer.
    pub const fn is_unanswered(&self) -> bool {
        matches!(self, Self::NotWritten(_) | Self::Unknown(_))
    }
}

/// Commits `writes` in one transaction, on condition that the `guard` row has its version.
///
/// A change whose own condition fails is left out and the others are tried again. Rows of changes
/// whose condition failed or whose answer was lost are read back. The outcomes are in the order of
/// the changes.
pub async fn commit_group(
    platform: &PlatformClient,
    guard: Option<RowCondition>,
    writes: &[RowWrite],
) -> Vec<RowOutcome> {
    let mut outcomes: Vec<Option<RowOutcome>> = vec![None; writes.len()];
    let mut unresolved: Vec<usize> = Vec::new();
    let mut remaining: Vec<usize> = (0..writes.len()).collect();
    while !remaining.is_empty() {
        let transaction = build_transaction(guard.as_ref(), writes, &remaining);
        match platform.transact(&transaction).await {
            Ok(TransactionReply::Committed { version }) => {
                fill(
                    &mut outcomes,
                    &remaining,
                    &RowOutcome::Committed { version },
                );
                break;
            }
            Ok(TransactionReply::Conflict { key }) => {
                let Some(position) = remaining
                    .iter()
                    .position(|index| writes[*index].concerns(&key))
                else {
                    fill(&mut outcomes, &remaining, &RowOutcome::GuardFailed);
                    break;
                };
                unresolved.push(remaining.remove(position));
                let stale = find_stale(platform, writes, &remaining).await;
                remaining.retain(|index| !stale.contains(index));
                unresolved.extend(stale);
            }
            Err(error) if error.may_have_taken_effect() => {
                unresolved.append(&mut remaining);
            }
            Err(error) => {
                fill(&mut outcomes, &remaining, &RowOutcome::NotWritten(error));
                break;
            }
        }
    }
    read_back(platform, writes, &unresolved, &mut outcomes).await;
    outcomes
        .into_iter()
        .map(|outcome| outcome.unwrap_or(RowOutcome::GuardFailed))
        .collect()
}

/// Reads rows by key; the outcomes are in the order of the keys.
pub async fn read_group(platform: &PlatformClient, keys: &[String]) -> Vec<RowOutcome> {
    match platform.read_rows(keys.to_vec()).await {
        Ok(rows) => keys
            .iter()
            .map(|key| RowOutcome::Read(find_row(&rows, key)))
            .collect(),
        Err(error) => vec![RowOutcome::Unknown(error); keys.len()],
    }
}

/// The chosen changes whose condition on their own row would fail now; companions are not checked.
/// Without this, a group would be tried once for each conflict.
async fn find_stale(
    platform: &PlatformClient,
    writes: &[RowWrite],
    chosen: &[usize],
) -> Vec<usize> {
    let keys: Vec<String> = chosen
        .iter()
        .map(|index| writes[*index].key.clone())
        .collect();
    let Ok(rows) = platform.read_rows(keys).await else {
        return Vec::new();
    };
    let version_of = |key: &str| {
        let found = rows.binary_search_by(|row| row.key.as_str().cmp(key));
        found.ok().map(|position| rows[position].version)
    };
    let is_stale = |index: &usize| version_of(&writes[*index].key) != writes[*index].version;
    chosen.iter().copied().filter(is_stale).collect()
}

fn build_transaction(
    guard: Option<&RowCondition>,
    writes: &[RowWrite],
    chosen: &[usize],
) -> TransactionRequest {
    let mut transaction = TransactionRequest {
        conditions: guard.cloned().into_iter().collect(),
        changes: Vec::new(),
    };
    for write in chosen.iter().map(|index| &writes[*index]) {
        put(&mut transaction, &write.key, write.version, &write.value);
        if let Some(row) = &write.companion {
            put(&mut transaction, &row.key, None, &row.value);
        }
    }
    transaction
}

fn put(transaction: &mut TransactionRequest, key: &str, version: Option<u64>, value: &str) {
    transaction.conditions.push(RowCondition {
        key: key.to_owned(),
        version,
    });
    transaction.changes.push(RowChange::Put {
        key: key.to_owned(),
        value: value.to_owned(),
    });
}

async fn read_back(
    platform: &PlatformClient,
    writes: &[RowWrite],
    unresolved: &[usize],
    outcomes: &mut [Option<RowOutcome>],
) {
    if unresolved.is_empty() {
        return;
    }
    let keys: Vec<String> = unresolved
        .iter()
        .map(|index| writes[*index].key.clone())
        .collect();
    let read = read_group(platform, &keys).await;
    for (index, outcome) in unresolved.iter().zip(read) {
        outcomes[*index] = Some(outcome);
    }
}

fn fill(outcomes: &mut [Option<RowOutcome>], chosen: &[usize], outcome: &RowOutcome) {
    for index in chosen {
        outcomes[*index] = Some(outcome.clone());
    }
}

fn find_row(rows: &[TableRow], key: &str) -> Option<TableRow> {
    let found = rows.binary_search_by(|row| row.key.as_str().cmp(key));
    found.ok().map(|position| rows[position].clone())
}
