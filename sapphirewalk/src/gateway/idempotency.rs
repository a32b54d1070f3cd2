//! Ensures that a request runs at most once: its idempotency key is inserted conditionally into the
//! table service before any attempt.

use std::sync::Arc;
use std::time;

use slog::warn;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::platform::RowChange;
use sapphirewalk_wire::platform::RowCondition;
use sapphirewalk_wire::platform::TableRow;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::platform::TransactionRequest;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::IdempotencyRow;

use crate::event::EventName;
use crate::gateway::request::GatewayRequest;
use crate::gateway::state::Gateway;
use crate::platform::PlatformError;

/// Delay before a failed insert or read is repeated.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// Time that a caller waits until the record of a request that did not run is removed.
const REMOVE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Maximum number of background attempts to remove a record.
const REMOVE_ATTEMPTS: u32 = 300;
/// Time within which an insert whose reply was lost may still take effect. Also the interval
/// between background attempts to remove a record.
const LATE_INSERT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// Result of claiming an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimResult {
    /// This request holds its key or needs none, and may run.
    Run,
    /// An earlier request holds the key. This one must not run.
    Duplicate,
    /// The holder of the key can't be determined. The request must not run.
    Unavailable,
}

/// Holder of a record that was read; `Own` carries the version of the row.
enum RecordHolder {
    Own(u64),
    Other,
    Absent,
}

/// Claims the key of a request before its first attempt. An idempotent request may run without a
/// claim.
pub async fn claim(gateway: &Arc<Gateway>, request: &Arc<GatewayRequest>) -> ClaimResult {
    let Some(key) = row_key(request) else {
        return ClaimResult::Run;
    };
    let mut may_exist = false;
    let step = loop {
        match insert(gateway, request, &key).await {
            Ok(TransactionReply::Committed { .. }) => break ClaimResult::Run,
            Ok(TransactionReply::Conflict { .. }) if !may_exist => break ClaimResult::Duplicate,
            Ok(TransactionReply::Conflict { .. }) => {}
            Err(error) => {
                may_exist |= error.may_have_taken_effect();
                log_failure(gateway, &error);
            }
        }
        if !may_exist {
            break ClaimResult::Unavailable;
        }
        match read(gateway, request, &key).await {
            Ok(RecordHolder::Own(_)) => break ClaimResult::Run,
            Ok(RecordHolder::Other) => break ClaimResult::Duplicate,
            Ok(RecordHolder::Absent) => {}
            Err(error) => log_failure(gateway, &error),
        }
        if !has_time(gateway, request) {
            break ClaimResult::Unavailable;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    };
    if step == ClaimResult::Unavailable && may_exist {
        remove_record_later(gateway, request);
    }
    step
}

/// Removes the record of a request that certainly did not run, so that a repeat of it may run.
/// After a failure or timeout, the removal continues in the background.
pub async fn remove_record(gateway: &Arc<Gateway>, request: &Arc<GatewayRequest>) {
    let Some(key) = row_key(request) else {
        return;
    };
    let removal = delete_row(gateway, request, &key);
    let removed = tokio::time::timeout(REMOVE_TIMEOUT, removal).await;
    if !matches!(removed, Ok(Ok(()))) {
        remove_record_later(gateway, request);
    }
}

fn remove_record_later(gateway: &Arc<Gateway>, request: &Arc<GatewayRequest>) {
    let gateway = Arc::clone(gateway);
    let request = Arc::clone(request);
    tokio::spawn(async move {
        let Some(key) = row_key(&request) else { return };
        // A delayed insert may still take effect.
        tokio::time::sleep(LATE_INSERT_INTERVAL).await;
        for _ in 0..REMOVE_ATTEMPTS {
            if delete_row(&gateway, &request, &key).await.is_ok() {
                return;
            }
            tokio::time::sleep(LATE_INSERT_INTERVAL).await;
        }
    });
}

fn row_key(request: &GatewayRequest) -> Option<String> {
    if request.is_idempotent {
        return None;
    }
    let key = request.idempotency_key.as_ref()?;
    Some(row::idempotency_key(&request.user, key))
}

fn has_time(gateway: &Gateway, request: &GatewayRequest) -> bool {
    let now: TimePoint = gateway.now();
    now + RETRY_INTERVAL.into() < request.deadline.point()
}

async fn insert(
    gateway: &Gateway,
    request: &GatewayRequest,
    key: &str,
) -> Result<TransactionReply, PlatformError> {
    let row = IdempotencyRow {
        request_id: request.token.clone(),
        gateway: gateway.process.vm_incarnation(),
        taken_at_ms: gateway.now().as_millis(),
    };
    let value = serde_json::to_string(&row)
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    let change = RowChange::Put {
        key: key.to_owned(),
        value,
    };
    change_row(gateway, key, None, change).await
}

async fn read(
    gateway: &Gateway,
    request: &GatewayRequest,
    key: &str,
) -> Result<RecordHolder, PlatformError> {
    let Some(found) = gateway.process.platform.read_row(key).await? else {
        return Ok(RecordHolder::Absent);
    };
    if token_of(&found)? == request.token {
        Ok(RecordHolder::Own(found.version))
    } else {
        Ok(RecordHolder::Other)
    }
}

fn token_of(found: &TableRow) -> Result<String, PlatformError> {
    let row: Result<IdempotencyRow, _> = serde_json::from_str(&found.value);
    row.map(|row| row.request_id)
        .map_err(|error| PlatformError::BadAnswer(error.to_string()))
}

async fn delete_row(
    gateway: &Gateway,
    request: &GatewayRequest,
    key: &str,
) -> Result<(), PlatformError> {
    match read(gateway, request, key).await? {
        RecordHolder::Other | RecordHolder::Absent => Ok(()),
        RecordHolder::Own(version) => {
            let change = RowChange::Delete {
                key: key.to_owned(),
            };
            change_row(gateway, key, Some(version), change).await?;
            Ok(())
        }
    }
}

async fn change_row(
    gateway: &Gateway,
    key: &str,
    version: Option<u64>,
    change: RowChange,
) -> Result<TransactionReply, PlatformError> {
    let transaction = TransactionRequest {
        conditions: vec![RowCondition {
            key: key.to_owned(),
            version,
        }],
        changes: vec![change],
    };
    gateway.process.platform.transact(&transaction).await
}

fn log_failure(gateway: &Gateway, error: &PlatformError) {
    warn!(gateway.process.logger, "{}", EventName::PlatformFailed; "call" => "idempotency",
        "error" => %error);
}
