//! Who coordinates: one process at a time holds the office's row in the store.

use std::rc;
use std::time;

use sapphirewalk_platform::store::ChangeOutcome;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::store::StoredRow;

use crate::entry::driver;
use crate::entry::node::EntryNode;
use crate::entry::peer;
use crate::entry::peer::LinkEnd;
use crate::entry::records;
use crate::entry::records::OfficeRow;

/// Time before the store is asked again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);
/// A coordinator whose row has not changed for this long while it doesn't answer has lost the
/// office: it renews the row every 400 ms.
const DOUBT_SPAN: time::Duration = time::Duration::from_millis(700);
/// Time for reading the office's row.
const ROW_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Time for taking the office.
const TAKE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time before the office's row is read again while its holder takes or leaves the office.
const SETTLE_DELAY: time::Duration = time::Duration::from_millis(30);
/// VMs stand in line for the office in this many places.
const LINE_PLACES: u64 = 8;
/// Time between two places in the line: several store calls.
const LINE_DELAY: time::Duration = time::Duration::from_millis(35);
/// A VM with the whole of a core stands this much ahead of one with a tenth.
const SHARE_DELAY_MS: f64 = 6.0;

/// The office's row as it was read.
#[derive(Clone, Debug)]
struct OfficeView {
    row: OfficeRow,
    version: u64,
}

/// Follows the coordinator in office, and takes the office when it is vacant.
pub async fn run(node: rc::Rc<EntryNode>) {
    while !node.stopping.get() {
        let Ok(view) = read_view(&node).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        match view {
            None => contend(&node, None).await,
            Some(view) if view.row.vacant || view.row.incarnation == node.incarnation => {
                contend(&node, Some(view)).await;
            }
            Some(view) => doubt(&node, view).await,
        }
    }
}

/// Follows a coordinator until there is reason to doubt it, then finds out.
async fn doubt(node: &rc::Rc<EntryNode>, view: OfficeView) {
    let end = peer::follow(node, view.row.address).await;
    slog::info!(node.log, "office_doubted"; "holder" => &view.row.vm, "fence" => view.row.fence,
        "cause" => ?end);
    match judge(end, view.row.incarnation) {
        HolderVerdict::Gone => {
            let Ok(Some(now)) = read_view(node).await else {
                return;
            };
            if now.row.fence == view.row.fence {
                contend(node, Some(now)).await;
            }
        }
        HolderVerdict::Doubtful => {
            let Ok(Some(before)) = read_view(node).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            };
            tokio::time::sleep(DOUBT_SPAN).await;
            let Ok(Some(after)) = read_view(node).await else {
                return;
            };
            if after.version == before.version {
                contend(node, Some(after)).await;
            }
        }
        HolderVerdict::Settling => tokio::time::sleep(SETTLE_DELAY).await,
    }
}

/// What the end of a connection says of the process in office.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderVerdict {
    /// It has ended.
    Gone,
    /// It may have lost the store, or only the way here.
    Doubtful,
    /// It is taking the office, or leaving it: the row will tell.
    Settling,
}

/// Judges the process in office, of the life that the office's row names.
pub const fn judge(end: LinkEnd, incarnation: u64) -> HolderVerdict {
    match end {
        LinkEnd::Refused => HolderVerdict::Gone,
        LinkEnd::Absent(other) if other != incarnation => HolderVerdict::Gone,
        // A process that has ended refuses the next connection.
        LinkEnd::Absent(_) | LinkEnd::Broken => HolderVerdict::Settling,
        LinkEnd::Silent | LinkEnd::Stale => HolderVerdict::Doubtful,
    }
}

/// Tries to take the office, and coordinates while it is held.
async fn contend(node: &rc::Rc<EntryNode>, view: Option<OfficeView>) {
    tokio::time::sleep(line_delay(node)).await;
    if node.stopping.get() {
        return;
    }
    let (fence, version) = view
        .as_ref()
        .map_or((1, 0), |view| (view.row.fence + 1, view.version));
    let row = OfficeRow {
        vm: node.settings.vm.clone(),
        incarnation: node.incarnation,
        fence,
        address: node.settings.peer_address,
        batch: 0,
        vacant: false,
    };
    let asked_at = node.now();
    let change = records::office_change(&row, version, None);
    let outcome = node.store.change(&change, TAKE_TIMEOUT).await;
    node.note_store("take_office", &outcome);
    match outcome {
        Ok(ChangeOutcome::Done(version)) => {
            slog::info!(node.log, "office_won"; "fence" => fence, "version" => version);
            node.gauges.offices_taken.increment();
            let before = view.map(|view| view.row);
            driver::coordinate(node, row, version, asked_at, before).await;
        }
        Ok(ChangeOutcome::Conflict(_)) => {}
        Err(_) => tokio::time::sleep(RETRY_DELAY).await,
    }
}

/// How long this VM lets others go first: by its name, and by its share of a core.
fn line_delay(node: &EntryNode) -> time::Duration {
    let mut hash = 0xcbf2_9ce4_8422_2325u64;
    for byte in node.settings.vm.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    let place = u32::try_from((hash >> 32) % LINE_PLACES).unwrap_or(0);
    let share = SHARE_DELAY_MS / node.settings.cpu_share.clamp(0.01, 1.0);
    LINE_DELAY * place + time::Duration::from_millis(share as u64)
}

async fn read_view(node: &EntryNode) -> Result<Option<OfficeView>, StoreError> {
    let read = node
        .store
        .read_row(&records::office_place(), ROW_TIMEOUT)
        .await;
    node.note_store("read_office", &read);
    Ok(read?.as_ref().and_then(office_view))
}

fn office_view(row: &StoredRow) -> Option<OfficeView> {
    Some(OfficeView {
        row: records::decode(&row.value)?,
        version: row.version,
    })
}

/// What a conflict on the office's row means for the one in office.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConflictMeaning {
    /// The batch had been recorded, at this version; only its answer was lost.
    Recorded(u64),
    /// An earlier batch of this office was recorded at this version: send it again on top.
    Behind(u64),
    /// Another process is in office.
    Lost,
}

/// Tells what a conflict means, from the row that stood in the way.
pub fn read_conflict(rows: &[StoredRow], own: &OfficeRow) -> ConflictMeaning {
    let Some(view) = rows.iter().find_map(office_view) else {
        return ConflictMeaning::Lost;
    };
    let same = view.row.incarnation == own.incarnation && view.row.fence == own.fence;
    if !same {
        ConflictMeaning::Lost
    } else if view.row.batch == own.batch {
        ConflictMeaning::Recorded(view.version)
    } else {
        ConflictMeaning::Behind(view.version)
    }
}
