//! Commands `rollout` and `rollback`: roll out a stored bundle under the next sequence number.

use std::time;

use ed25519_dalek::SigningKey;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::bundle;
use sapphirewalk_wire::bundle::SignatureEntry;
use sapphirewalk_wire::bundle::SignedRollout;
use sapphirewalk_wire::platform::RowChange;
use sapphirewalk_wire::platform::RowCondition;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::platform::TransactionRequest;
use sapphirewalk_wire::row;
use sapphirewalk_wire::signature;

use crate::cli;
use crate::clock::ProcessClock;
use crate::command::CommandError;
use crate::command::sign;
use crate::config::Settings;
use crate::platform::PlatformClient;

/// Delay between reads for the outcome of a transaction whose answer was lost.
const READ_BACK_DELAY: time::Duration = time::Duration::from_millis(200);
/// Maximum number of failed reads that are retried.
const READ_BACK_RETRIES_MAX: u32 = 20;

/// Bundle to roll out, the operator who signs the rollout, and the operator's reason.
struct RolloutChange<'a> {
    /// Digest of the bundle, in hexadecimal.
    digest: &'a str,
    reason: &'a str,
    operator: &'a str,
}

/// Rolls out a bundle under the next sequence number, and prints the number once the platform has
/// accepted it.
///
/// # Errors
///
/// If the bundle is not stored, a concurrent rollout takes the number, or the platform does not
/// answer. In the last case the rollout may have been accepted.
pub async fn rollout(options: &cli::RolloutOptions) -> Result<(), CommandError> {
    let settings = Settings::load(&options.settings)?;
    let client = PlatformClient::new(settings.platform, &settings.vm.name);
    let key = sign::read_key(&options.operator, &options.key_file)?;
    let change = RolloutChange {
        digest: &options.digest,
        reason: &options.reason,
        operator: &options.operator,
    };
    apply(&client, &change, &key).await
}

/// Rolls out the bundle of an earlier rollout under the next sequence number.
///
/// # Errors
///
/// As [`rollout`], and if there is no earlier rollout with the given number.
pub async fn rollback(options: &cli::RollbackOptions) -> Result<(), CommandError> {
    let settings = Settings::load(&options.settings)?;
    let client = PlatformClient::new(settings.platform, &settings.vm.name);
    let key = sign::read_key(&options.operator, &options.key_file)?;
    let found = client
        .read_row(&row::rollout_history_key(options.to))
        .await?;
    let row = found.ok_or(CommandError::NoRollout(options.to))?;
    let earlier: SignedRollout = serde_json::from_str(&row.value)
        .map_err(|error| CommandError::BadValue(error.to_string()))?;
    let change = RolloutChange {
        digest: &earlier.digest,
        reason: &options.reason,
        operator: &options.operator,
    };
    apply(&client, &change, &key).await
}

async fn apply(
    client: &PlatformClient,
    change: &RolloutChange<'_>,
    key: &SigningKey,
) -> Result<(), CommandError> {
    let name = bundle::bundle_object_name(change.digest);
    if client.get_object(&name).await?.is_none() {
        return Err(CommandError::NoBundle(change.digest.to_owned()));
    }
    let row = client.read_row(row::ROLLOUT_KEY).await?;
    let now = ProcessClock::start().now();
    let mut next = next_rollout(change, row.as_ref(), now)?;
    signature::sign_rollout(&mut next, change.operator, key);
    commit(client, &next, row.map(|row| row.version)).await?;
    println!("accepted as rollout {}", next.sequence);
    Ok(())
}

/// Rollout that follows the one in `row`, not yet signed.
fn next_rollout(
    change: &RolloutChange<'_>,
    row: Option<&TableRow>,
    now: TimePoint,
) -> Result<SignedRollout, CommandError> {
    let current: Option<SignedRollout> = row
        .map(|row| serde_json::from_str(&row.value))
        .transpose()
        .map_err(|error| CommandError::BadValue(error.to_string()))?;
    Ok(SignedRollout {
        sequence: current.map_or(1, |rollout| rollout.sequence + 1),
        digest: change.digest.to_owned(),
        reason: change.reason.to_owned(),
        signed_at_ms: now.as_millis(),
        signature: SignatureEntry {
            operator: String::new(),
            signature: String::new(),
        },
    })
}

/// Writes the rollout row and its history row, unless another rollout has been accepted since the
/// rollout row was read in `version`.
async fn commit(
    client: &PlatformClient,
    next: &SignedRollout,
    version: Option<u64>,
) -> Result<(), CommandError> {
    let value =
        serde_json::to_string(next).map_err(|error| CommandError::BadValue(error.to_string()))?;
    let history_key = row::rollout_history_key(next.sequence);
    let transaction = TransactionRequest {
        conditions: vec![
            RowCondition {
                key: row::ROLLOUT_KEY.to_owned(),
                version,
            },
            RowCondition {
                key: history_key.clone(),
                version: None,
            },
        ],
        changes: vec![
            RowChange::Put {
                key: row::ROLLOUT_KEY.to_owned(),
                value: value.clone(),
            },
            RowChange::Put {
                key: history_key,
                value,
            },
        ],
    };
    match client.transact(&transaction).await {
        Ok(TransactionReply::Committed { .. }) => Ok(()),
        Ok(TransactionReply::Conflict { .. }) => read_back(client, next).await,
        Err(error) if error.may_have_taken_effect() => read_back(client, next).await,
        Err(error) => Err(error.into()),
    }
}

/// Determines by the history row whether a transaction with a lost or conflicting answer has
/// committed. A conflict may be due to an earlier delivery of the same transaction.
async fn read_back(client: &PlatformClient, next: &SignedRollout) -> Result<(), CommandError> {
    let key = row::rollout_history_key(next.sequence);
    let mut retries = 0;
    loop {
        match client.read_row(&key).await {
            Ok(Some(row)) => return check_stored(&row, next),
            Ok(None) => {
                return Err(CommandError::SequenceTaken {
                    sequence: next.sequence,
                });
            }
            Err(error) if retries == READ_BACK_RETRIES_MAX => return Err(error.into()),
            Err(_) => retries += 1,
        }
        tokio::time::sleep(READ_BACK_DELAY).await;
    }
}

/// Requires that the history row is that of `next`; otherwise another rollout has its number.
fn check_stored(row: &TableRow, next: &SignedRollout) -> Result<(), CommandError> {
    let stored: SignedRollout = serde_json::from_str(&row.value)
        .map_err(|error| CommandError::BadValue(error.to_string()))?;
    if stored == *next {
        return Ok(());
    }
    Err(CommandError::SequenceTaken {
        sequence: next.sequence,
    })
}
