//! Converts between a shard's row in the table and the record on which the lease operates.

use serde_json::Error;

use sapphirewalk_core::key::NameArena;
use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::shard_lease::HolderName;
use sapphirewalk_core::shard_lease::ProcessToken;
use sapphirewalk_core::shard_lease::ShardRecord;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::row::ShardRow;
use sapphirewalk_wire::row::VmIncarnation;

/// The radix in which a row states the ID of a process.
const HEXADECIMAL: u32 = 16;

/// Parses the value of a shard's row.
///
/// # Errors
///
/// If the value is not the JSON text of a shard's row.
pub fn parse(value: &str) -> Result<ShardRow, Error> {
    serde_json::from_str(value)
}

/// The record of a row. The name of the holder's VM is interned in `vms`.
pub fn to_record(row: &ShardRow, vms: &mut NameArena<VmKey>) -> ShardRecord {
    ShardRecord {
        holder: row.holder.as_ref().map(|name| to_holder(name, vms)),
        process: to_token(&row.process),
        epoch: row.epoch,
        lease_until: TimePoint::from_millis(row.lease_until_ms),
    }
}

/// The row of a record. No worker's lease from a former holder ends after `former_until`.
pub fn to_row(record: &ShardRecord, former_until: TimePoint, vms: &NameArena<VmKey>) -> ShardRow {
    ShardRow {
        holder: record.holder.map(|holder| VmIncarnation {
            name: vms.name(holder.vm).to_owned(),
            incarnation: holder.incarnation,
        }),
        process: format!("{:016x}", record.process.0),
        epoch: record.epoch,
        lease_until_ms: record.lease_until.as_millis(),
        former_until_ms: former_until.as_millis(),
    }
}

/// The holder as the lease names it: the key of its VM, interned in `vms`, and its incarnation.
pub fn to_holder(incarnation: &VmIncarnation, vms: &mut NameArena<VmKey>) -> HolderName {
    HolderName {
        vm: vms.intern(&incarnation.name),
        incarnation: incarnation.incarnation,
    }
}

/// The token of a process, from the hexadecimal ID in a row; zero if the ID is malformed.
pub fn to_token(process: &str) -> ProcessToken {
    ProcessToken(u128::from_str_radix(process, HEXADECIMAL).unwrap_or(0))
}
