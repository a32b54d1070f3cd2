//! Acquires a seat of this failure domain, checks that it stays held, and releases it.
//!
//! A seat entitles one gateway to a share of the slots and connections of each endpoint.

use std::sync::Arc;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time;

use serde::Serialize;
use slog::info;
use slog::warn;

use sapphirewalk_core::seat_division;
use sapphirewalk_core::seat_division::DivisionStep;
use sapphirewalk_core::seat_division::SeatDivisions;
use sapphirewalk_core::slot_share::SeatGrant;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::platform::TransactionReply;
use sapphirewalk_wire::row::SeatRow;

use crate::audit::AuditDecision;
use crate::event::EventName;
use crate::gateway::seat_claim;
use crate::gateway::seat_claim::SeatClaimant;
use crate::gateway::seat_claim::SeatProof;
use crate::gateway::seat_claim::SeatRecord;
use crate::gateway::seat_claim::SeatStep;
use crate::gateway::seat_rows;
use crate::gateway::state::Gateway;
use crate::platform::PlatformError;

/// Interval at which a process without a seat tries to acquire one, and a holder checks whether all
/// holders comply with a new division.
const CLAIM_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Interval at which a holder reads the seats while no division changes.
const CHECK_INTERVAL: time::Duration = time::Duration::from_secs(10);
/// Attempts to release the seat at shutdown.
const RELEASE_ATTEMPTS: u32 = 3;
/// `usable_from` of a grant that never becomes usable and only limits the share.
const NEVER: TimePoint = TimePoint::from_micros(u64::MAX);

/// Seat that this process holds, if any, and the progress of a change of its divisions.
#[derive(Clone, Debug, Default)]
pub struct SeatState {
    held: Option<HeldSeat>,
    stable: Option<StableSeats>,
}

/// A seat as this process has recorded it in the table service.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct HeldSeat {
    /// Index of the seat in its failure domain, from zero.
    pub index: u32,
    /// Epoch of the seat; rises by one each time that the seat is taken.
    pub epoch: u64,
    /// Time before which the share must not be used, in Unix milliseconds.
    pub usable_from_ms: u64,
    /// Seat counts by which the holder divides the capacity of each endpoint to get its share,
    /// sorted. There is more than one while the number of seats changes; the smallest resulting
    /// share applies.
    pub divisions: Vec<u32>,
}

/// Seats as read when every holder had the new division, and the time since which they have not
/// changed.
#[derive(Clone, Debug)]
struct StableSeats {
    seats: Vec<SeatRecord>,
    since: TimePoint,
}

/// Acquires a seat and keeps it up to date until the process shuts down.
pub async fn run(gateway: Arc<Gateway>) {
    let mut rollout = gateway.process.rollout.watch();
    loop {
        let current = rollout.borrow_and_update().clone();
        if let Some(current) = current
            && let Err(error) = update(&gateway, &current.document).await
        {
            warn!(gateway.process.logger, "{}", EventName::PlatformFailed; "call" => "seat",
                "error" => %error);
        }
        let interval = match held(&gateway) {
            Some(seat) if seat.divisions.len() == 1 => CHECK_INTERVAL,
            _ => CLAIM_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(interval) => {}
            _ = rollout.changed() => {}
            () = gateway.process.shutdown.begun() => return,
        }
    }
}

/// Seat that this process holds, usable or not; `None` while it has none.
pub fn held(gateway: &Gateway) -> Option<HeldSeat> {
    lock(gateway).held.clone()
}

/// Whether this process holds a seat whose share may be used now.
pub fn is_usable(gateway: &Gateway) -> bool {
    let now_ms = gateway.now().as_millis();
    held(gateway).is_some_and(|seat| seat.usable_from_ms <= now_ms)
}

/// Updates the slot table with the share of the seat held. Without a usable seat, no slot may be
/// taken.
pub fn apply(gateway: &Gateway) {
    let now = gateway.now();
    let seat = held(gateway).filter(|seat| seat.usable_from_ms <= now.as_millis());
    let mut table = gateway.table();
    table.slots.clear_seat();
    let Some(seat) = seat else { return };
    // The slot table applies the smallest share of consecutive grants as long as the later one
    // isn't usable yet. So each division after the first is set as a grant that never becomes
    // usable, with its position as the epoch.
    for (number, seats) in (1_u64..).zip(seat.divisions) {
        let usable_from = if number == 1 { TimePoint::EPOCH } else { NEVER };
        let grant = SeatGrant {
            seat: seat.index,
            seats,
            epoch: number,
            usable_from,
            usable_until: None,
        };
        table.slots.set_seat(grant, now);
    }
}

/// Releases every seat that this process holds. When this is called, no request of the process may
/// run, except for those that end by `busy_until`.
pub async fn release(gateway: &Arc<Gateway>, busy_until: Option<TimePoint>) {
    clear_held(gateway);
    let Some(rollout) = gateway.process.rollout.current() else {
        return;
    };
    for _ in 0..RELEASE_ATTEMPTS {
        match release_all(gateway, &rollout.document, busy_until).await {
            Ok(()) => return,
            Err(error) => {
                warn!(gateway.process.logger, "{}", EventName::PlatformFailed; "call" => "seat_release",
                    "error" => %error);
            }
        }
    }
}

/// Longest deadline of all kinds that have a service; zero if there are none.
pub fn longest_deadline(document: &BundleDocument) -> TimeSpan {
    let kinds = document.kinds.iter().filter(|kind| kind.service.is_some());
    TimeSpan::from_millis(kinds.map(|kind| kind.deadline_ms).max().unwrap_or(0))
}

async fn update(gateway: &Arc<Gateway>, document: &BundleDocument) -> Result<(), PlatformError> {
    let count = seat_count(gateway, document);
    let seats = seat_rows::read(gateway, count).await?;
    match held(gateway) {
        Some(held) => check_held(gateway, document, &held, seats).await,
        None => claim(gateway, document, &seats).await,
    }
}

/// Number of seats of this failure domain; zero if the bundle lacks the domain.
fn seat_count(gateway: &Gateway, document: &BundleDocument) -> u32 {
    let domain = &gateway.process.settings.vm.domain;
    let entry = document.domains.iter().find(|entry| entry.name == *domain);
    entry.map_or(0, |entry| entry.seats)
}

async fn claim(
    gateway: &Arc<Gateway>,
    document: &BundleDocument,
    seats: &[SeatRecord],
) -> Result<(), PlatformError> {
    let list = gateway.process.vms.borrow().clone();
    let vm = gateway.process.vm_incarnation();
    let claimant = SeatClaimant {
        vm: &vm,
        process: &gateway.process.process_token,
        has_fixed_port: gateway.process.settings.listen.request.port() != 0,
    };
    match seat_claim::decide(seats, seat_count(gateway, document), claimant, &list) {
        SeatStep::Held(record) => {
            if let Some(row) = &record.row {
                record_taken(gateway, record.index, row, "answer_read_back");
            }
            Ok(())
        }
        SeatStep::Take(record, proof) => take(gateway, document, seats, &record, proof).await,
        SeatStep::NoneFree => Ok(()),
    }
}

fn divisions_of(seats: &[SeatRecord]) -> Vec<SeatDivisions> {
    seats.iter().filter_map(SeatRecord::held_division).collect()
}

async fn take(
    gateway: &Arc<Gateway>,
    document: &BundleDocument,
    seats: &[SeatRecord],
    record: &SeatRecord,
    proof: SeatProof,
) -> Result<(), PlatformError> {
    let former = record.row.as_ref();
    let row = SeatRow {
        holder: Some(gateway.process.vm_incarnation()),
        process: gateway.process.process_token.clone(),
        epoch: former.map_or(0, |row| row.epoch) + 1,
        usable_from_ms: usable_from(gateway, document, former, proof).as_millis(),
        divisions: seat_division::divisions_on_claim(
            &divisions_of(seats),
            seat_count(gateway, document),
        ),
    };
    // If the reply is lost, the next read of the seats shows whether the write took effect.
    let reply = seat_rows::write(gateway, record.index, &row, seats).await?;
    if let TransactionReply::Committed { .. } = reply {
        record_taken(gateway, record.index, &row, &proof.to_string());
    }
    Ok(())
}

/// Time from which a seat taken on this proof may be used. By then, no request of a former holder
/// can be running.
fn usable_from(
    gateway: &Gateway,
    document: &BundleDocument,
    former: Option<&SeatRow>,
    proof: SeatProof,
) -> TimePoint {
    let now = gateway.now();
    let earlier = TimePoint::from_millis(former.map_or(0, |row| row.usable_from_ms));
    if proof.may_leave_requests() {
        earlier.max(now + longest_remaining_run(gateway, document))
    } else {
        earlier.max(now)
    }
}

/// Longest time for which a request of another gateway may still run.
fn longest_remaining_run(gateway: &Gateway, document: &BundleDocument) -> TimeSpan {
    let settings = &gateway.process.settings.gateway;
    let margin = TimeSpan::from_millis(settings.slot_margin_ms + settings.clock_drift_ms);
    longest_deadline(document) + margin
}

fn record_taken(gateway: &Arc<Gateway>, index: u32, row: &SeatRow, reason: &str) {
    set_held(gateway, index, row);
    record(gateway, index, row.epoch, "taken", reason);
}

fn set_held(gateway: &Gateway, index: u32, row: &SeatRow) {
    let mut view = lock(gateway);
    view.stable = None;
    view.held = Some(HeldSeat {
        index,
        epoch: row.epoch,
        usable_from_ms: row.usable_from_ms,
        divisions: row.divisions.clone(),
    });
    drop(view);
    apply(gateway);
}

fn clear_held(gateway: &Gateway) {
    *lock(gateway) = SeatState::default();
    apply(gateway);
}

/// Drops a seat that another process has taken, releases a second one that a late write may have
/// taken for this process, and applies a change of the divisions.
async fn check_held(
    gateway: &Arc<Gateway>,
    document: &BundleDocument,
    held: &HeldSeat,
    seats: Vec<SeatRecord>,
) -> Result<(), PlatformError> {
    let is_own = |seat: &SeatRecord| {
        seat.held_row()
            .is_some_and(|row| row.process == gateway.process.process_token)
    };
    let Some(own) = seats
        .iter()
        .find(|seat| seat.index == held.index && is_own(seat))
    else {
        clear_held(gateway);
        record(gateway, held.index, held.epoch, "lost", "taken_by_another");
        return Ok(());
    };
    let extra = seats
        .iter()
        .find(|seat| seat.index != held.index && is_own(seat));
    if let Some((seat, row)) = extra.and_then(|seat| Some((seat, seat.row.as_ref()?))) {
        let released = released_row(row, row.usable_from_ms);
        seat_rows::write(gateway, seat.index, &released, &seats).await?;
        return Ok(());
    }
    let Some(row) = own.row.clone() else {
        return Ok(());
    };
    let target = seat_count(gateway, document);
    match seat_division::decide(held.index, &held.divisions, &divisions_of(&seats), target) {
        DivisionStep::Keep => Ok(()),
        DivisionStep::Add(divisions) => {
            let row = SeatRow { divisions, ..row };
            // The share complies with the new division before other gateways can read it.
            set_held(gateway, held.index, &row);
            seat_rows::write(gateway, held.index, &row, &seats).await?;
            Ok(())
        }
        DivisionStep::Replace(divisions) => {
            let row = SeatRow { divisions, ..row };
            replace_divisions(gateway, document, held.index, row, seats).await
        }
    }
}

/// Replaces the divisions once no seat has changed for longer than any request runs.
async fn replace_divisions(
    gateway: &Arc<Gateway>,
    document: &BundleDocument,
    index: u32,
    row: SeatRow,
    seats: Vec<SeatRecord>,
) -> Result<(), PlatformError> {
    let now = gateway.now();
    let since = {
        let mut view = lock(gateway);
        match &view.stable {
            Some(stable) if stable.seats == seats => stable.since,
            _ => {
                let seats = seats.clone();
                view.stable = Some(StableSeats { seats, since: now });
                now
            }
        }
    };
    if now < since + longest_remaining_run(gateway, document) {
        return Ok(());
    }
    let reply = seat_rows::write(gateway, index, &row, &seats).await?;
    if let TransactionReply::Committed { .. } = reply {
        set_held(gateway, index, &row);
    }
    Ok(())
}

async fn release_all(
    gateway: &Arc<Gateway>,
    document: &BundleDocument,
    busy_until: Option<TimePoint>,
) -> Result<(), PlatformError> {
    let drift = TimeSpan::from_millis(gateway.process.settings.gateway.clock_drift_ms);
    let busy_ms = busy_until.map_or(0, |until| (until + drift).as_millis());
    let seats = seat_rows::read(gateway, seat_count(gateway, document)).await?;
    for seat in &seats {
        let Some(row) = seat.held_row() else { continue };
        if row.process != gateway.process.process_token {
            continue;
        }
        let released = released_row(row, row.usable_from_ms.max(busy_ms));
        let only = std::slice::from_ref(seat);
        let reply = seat_rows::write(gateway, seat.index, &released, only).await?;
        if let TransactionReply::Committed { .. } = reply {
            record(gateway, seat.index, row.epoch, "released", "shutdown");
        }
    }
    Ok(())
}

fn released_row(row: &SeatRow, usable_from_ms: u64) -> SeatRow {
    SeatRow {
        holder: None,
        usable_from_ms,
        ..row.clone()
    }
}

fn record(gateway: &Gateway, index: u32, epoch: u64, change: &str, reason: &str) {
    info!(gateway.process.logger, "{}", EventName::SeatChanged; "seat" => index, "epoch" => epoch,
        "change" => change.to_owned(), "reason" => reason.to_owned());
    let decision = AuditDecision::SeatChanged {
        domain: gateway.process.settings.vm.domain.clone(),
        index,
        epoch,
        change: change.to_owned(),
        reason: reason.to_owned(),
    };
    gateway.process.audit.record(gateway.now(), decision);
}

fn lock(gateway: &Gateway) -> MutexGuard<'_, SeatState> {
    gateway.seat.lock().unwrap_or_else(PoisonError::into_inner)
}
