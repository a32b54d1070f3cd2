//! Reads and writes the seats of this failure domain in the table service.

use sapphirewalk_wire::platform::RowChange;
use sapphirewalk_wire::platform::RowCondition;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::platform::TransactionRequest;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::SeatRow;

use crate::gateway::seat_claim::SeatRecord;
use crate::gateway::state::Gateway;
use crate::platform::PlatformError;

/// Reads the first `seats` seats, and any further ones that have a row; sorted by index.
///
/// # Errors
///
/// If the table service can't be read, or a row can't be parsed. The holder of such a seat is
/// unknown, so it must not be taken.
pub async fn read(gateway: &Gateway, seats: u32) -> Result<Vec<SeatRecord>, PlatformError> {
    let domain = &gateway.process.settings.vm.domain;
    let first_key = row::seat_key(domain, 0);
    let prefix = first_key.trim_end_matches(|digit: char| digit.is_ascii_digit());
    let prefix_length = prefix.len();
    let mut records: Vec<SeatRecord> = (0..seats).map(SeatRecord::absent).collect();
    for found in gateway.process.platform.scan_all(prefix).await? {
        let Ok(index) = found.key[prefix_length..].parse() else {
            continue;
        };
        let record = SeatRecord {
            index,
            version: Some(found.version),
            row: Some(parse(&found.value)?),
        };
        match records.binary_search_by_key(&index, |record| record.index) {
            Ok(position) => records[position] = record,
            Err(insert_at) => records.insert(insert_at, record),
        }
    }
    Ok(records)
}

/// Writes the row of a seat, provided that all `seats` are unchanged since they were read.
///
/// # Errors
///
/// If the call fails. [`PlatformError::may_have_taken_effect`] shows whether the row may have been
/// written all the same.
pub async fn write(
    gateway: &Gateway,
    index: u32,
    row: &SeatRow,
    seats: &[SeatRecord],
) -> Result<TransactionReply, PlatformError> {
    let domain = &gateway.process.settings.vm.domain;
    let value = serde_json::to_string(row)
        .map_err(|error| PlatformError::Unreachable(error.to_string()))?;
    let condition_of = |seat: &SeatRecord| RowCondition {
        key: row::seat_key(domain, seat.index),
        version: seat.version,
    };
    let key = row::seat_key(domain, index);
    let transaction = TransactionRequest {
        conditions: seats.iter().map(condition_of).collect(),
        changes: vec![RowChange::Put { key, value }],
    };
    gateway.process.platform.transact(&transaction).await
}

fn parse(value: &str) -> Result<SeatRow, PlatformError> {
    serde_json::from_str(value).map_err(|error| PlatformError::BadAnswer(error.to_string()))
}
