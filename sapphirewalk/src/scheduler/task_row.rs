//! Converts between a task's row in the table and the record on which the lifecycle operates.

use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::placement::ParkReason;
use sapphirewalk_core::task_lifecycle::AttemptToken;
use sapphirewalk_core::task_lifecycle::RecordPhase;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::row::TaskRow;
use sapphirewalk_wire::row::VmIncarnation;
use sapphirewalk_wire::task::TaskState;

/// The radix in which a row states the token of an attempt.
const HEXADECIMAL: u32 = 16;
/// The reasons for which a task is parked, that is ended without success and not tried again, with
/// their texts in the row.
const PARK_REASONS: &[(ParkReason, &str)] = &[
    (
        ParkReason::LargerThanAnyWorker,
        "larger than any worker; submit it again with less",
    ),
    (
        ParkReason::FailsRepeatedly,
        "failed on several workers on which other tasks succeed; correct the task",
    ),
    (
        ParkReason::LosesWorkers,
        "each of the last workers that started it ended; correct the task",
    ),
    (
        ParkReason::OutOfMemory,
        "ran out of memory with the most that a worker has; correct the task",
    ),
];

/// The record of a row. `worker` is the key of the worker that the row names.
pub fn to_record(row: &TaskRow, worker: Option<WorkerKey>) -> TaskRecord {
    TaskRecord {
        phase: to_phase(row.state),
        attempt: row.attempt,
        token: to_token(&row.attempt_token),
        worker,
        granted: row.granted,
        checkpoint: row.checkpoint.clone(),
        evictions: row.evictions,
        failures: row.failures,
        losses: row.losses,
        cancel_requested: row.cancel_requested,
        park_reason: row.reason.as_deref().and_then(to_park_reason),
    }
}

/// The row of a record. `worker` is the name of the record's worker. Fields that the lifecycle does
/// not change come from `former`. A final row gets `now` as the time at which the task ended.
pub fn to_row(
    record: &TaskRecord,
    former: &TaskRow,
    worker: Option<VmIncarnation>,
    now: TimePoint,
) -> TaskRow {
    let state = to_state(record.phase);
    TaskRow {
        state,
        attempt: record.attempt,
        attempt_token: format!("{:032x}", record.token.0),
        worker,
        granted: record.granted,
        checkpoint: record.checkpoint.clone(),
        evictions: record.evictions,
        failures: record.failures,
        losses: record.losses,
        cancel_requested: record.cancel_requested,
        reason: record
            .park_reason
            .map(|reason| park_text(reason).to_owned()),
        ended_at_ms: is_final(state).then_some(now.as_millis()),
        ..former.clone()
    }
}

/// The text in the row for a reason to park a task.
pub fn park_text(reason: ParkReason) -> &'static str {
    PARK_REASONS
        .iter()
        .find(|(known, _)| *known == reason)
        .map_or("", |(_, text)| text)
}

/// The state in the row for a phase of the lifecycle.
pub const fn to_state(phase: RecordPhase) -> TaskState {
    match phase {
        RecordPhase::Pending => TaskState::Pending,
        RecordPhase::Running => TaskState::Running,
        RecordPhase::Finished => TaskState::Finished,
        RecordPhase::Cancelled => TaskState::Cancelled,
        RecordPhase::Parked => TaskState::Parked,
    }
}

/// Whether the task has ended, so that its row does not change any more until it is removed.
pub const fn is_final(state: TaskState) -> bool {
    match state {
        TaskState::Pending | TaskState::Running => false,
        TaskState::Finished | TaskState::Cancelled | TaskState::Parked => true,
    }
}

const fn to_phase(state: TaskState) -> RecordPhase {
    match state {
        TaskState::Pending => RecordPhase::Pending,
        TaskState::Running => RecordPhase::Running,
        TaskState::Finished => RecordPhase::Finished,
        TaskState::Cancelled => RecordPhase::Cancelled,
        TaskState::Parked => RecordPhase::Parked,
    }
}

fn to_park_reason(text: &str) -> Option<ParkReason> {
    PARK_REASONS
        .iter()
        .find(|(_, known)| *known == text)
        .map(|(reason, _)| *reason)
}

fn to_token(text: &str) -> AttemptToken {
    AttemptToken(u128::from_str_radix(text, HEXADECIMAL).unwrap_or(0))
}
