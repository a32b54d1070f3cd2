//! At most once: one conditional insert for each idempotency key, before any dispatch.

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

/// How long to wait before the platform is asked again.
const RETRY_INTERVAL: time::Duration = time::Duration::from_millis(200);
/// How long a caller waits for the removal of the record of a request that did not run.
const REMOVE_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// How often the removal of a record is tried in the background.
const REMOVE_ATTEMPTS: u32 = 300;
/// How long a lost insert may still take effect.
const LATE_INSERT_INTERVAL: time::Duration = time::Duration::from_secs(2);

/// What became of a claim to a key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KeyStep {
    /// The key is this request's: run it.
    Run,
    /// The key is an earlier request's: never run this one.
    Duplicate,
    /// It can't be told; nothing was run.
    Unavailable,
}

/// What a read of the record showed.
enum RecordStep {
    Own(u64),
    Other,
    Absent,
}

/// Claims the key of a request that is about to be sent. A request without a key may run at once.
pub async fn claim(gateway: &Arc<Gateway>, request: &Arc<GatewayRequest>) -> KeyStep {
    let Some(key) = row_key(request) else {
        return KeyStep::Run;
    };
    let mut may_exist = false;
    let step = loop {
        match insert(gateway, request, &key).await {
            Ok(TransactionReply::Committed { .. }) => break KeyStep::Run,
            Ok(TransactionReply::Conflict { .. }) if !may_exist => break KeyStep::Duplicate,
            Ok(TransactionReply::Conflict { .. }) => {}
            Err(error) => {
                may_exist |= error.may_have_taken_effect();
                log_failure(gateway, &error);
            }
        }
        if !may_exist {
            break KeyStep::Unavailable;
        }
        match read(gateway, request, &key).await {
            Ok(RecordStep::Own(_)) => break KeyStep::Run,
            Ok(RecordStep::Other) => break KeyStep::Duplicate,
            Ok(RecordStep::Absent) => {}
            Err(error) => log_failure(gateway, &error),
        }
        if !has_time(gateway, request) {
            break KeyStep::Unavailable;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    };
    if step == KeyStep::Unavailable && may_exist {
        remove_record_later(gateway, request);
    }
    step
}

/// Removes the record of a request that surely did not run, so that a repeat of it may run: at once
/// if the platform answers, else in the background.
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
        // The insert may still be on its way.
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
        gateway: gateway.kit.vm_name(),
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
) -> Result<RecordStep, PlatformError> {
    let Some(found) = gateway.kit.platform.read_row(key).await? else {
        return Ok(RecordStep::Absent);
    };
    if token_of(&found)? == request.token {
        Ok(RecordStep::Own(found.version))
    } else {
        Ok(RecordStep::Other)
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
        RecordStep::Other | RecordStep::Absent => Ok(()),
        RecordStep::Own(version) => {
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
    gateway.kit.platform.transact(&transaction).await
}

fn log_failure(gateway: &Gateway, error: &PlatformError) {
    warn!(gateway.kit.logger, "{}", EventName::PlatformFailed; "call" => "idempotency",
        "error" => %error);
}
