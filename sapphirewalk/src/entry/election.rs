//! Leader election: one process at a time holds the leader's row in the store.

use std::rc;
use std::time;

use sapphirewalk_core::election_delay;
use sapphirewalk_platform::store::ChangeOutcome;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::store::StoredRow;

use crate::entry::driver;
use crate::entry::node::EntryNode;
use crate::entry::peer;
use crate::entry::peer::LinkEnd;
use crate::entry::records;
use crate::entry::records::LeaderRow;

/// Time before the store is asked again.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);
/// A coordinator whose row has not changed for this long while it doesn't answer has lost the
/// leadership: it renews the row every 400 ms.
const SUSPICION_SPAN: time::Duration = time::Duration::from_millis(700);
/// Time for reading the leader's row.
const ROW_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Time for taking the leadership.
const TAKE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Time before the leader's row is read again while its holder takes or releases the leadership.
const SETTLE_DELAY: time::Duration = time::Duration::from_millis(30);

/// The leader's row as it was read.
#[derive(Clone, Debug)]
struct LeaderView {
    row: LeaderRow,
    version: u64,
}

/// Follows the leader, and takes the leadership when it is released.
pub async fn run(node: rc::Rc<EntryNode>) {
    while !node.stopping.get() {
        let Ok(view) = read_view(&node).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        match view {
            None => contend(&node, None).await,
            Some(view) if view.row.released || view.row.incarnation == node.incarnation => {
                contend(&node, Some(view)).await;
            }
            Some(view) => verify_leader(&node, view).await,
        }
    }
}

/// Follows a coordinator until there is reason to doubt it, then finds out.
async fn verify_leader(node: &rc::Rc<EntryNode>, view: LeaderView) {
    let end = peer::follow(node, view.row.address).await;
    slog::info!(node.log, "leader_suspected"; "holder" => &view.row.vm, "fence" => view.row.fence,
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
        HolderVerdict::Suspected => {
            let Ok(Some(before)) = read_view(node).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            };
            tokio::time::sleep(SUSPICION_SPAN).await;
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

/// What the end of a connection says of the leading process.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HolderVerdict {
    /// It has ended.
    Gone,
    /// It may have lost the store, or only the way here.
    Suspected,
    /// It is taking the leadership, or releasing it: the row will tell.
    Settling,
}

/// Judges the leading process, of the incarnation that the leader's row names.
pub const fn judge(end: LinkEnd, incarnation: u64) -> HolderVerdict {
    match end {
        LinkEnd::Refused => HolderVerdict::Gone,
        LinkEnd::Absent(other) if other != incarnation => HolderVerdict::Gone,
        // A process that has ended refuses the next connection.
        LinkEnd::Absent(_) | LinkEnd::Broken => HolderVerdict::Settling,
        LinkEnd::Silent | LinkEnd::Stale => HolderVerdict::Suspected,
    }
}

/// Tries to take the leadership, and coordinates while it is held.
async fn contend(node: &rc::Rc<EntryNode>, view: Option<LeaderView>) {
    let own = election_delay::cpu_millis(node.settings.cpu_share);
    let former = view.as_ref().map(|view| view.row.cpu_millis);
    let delay = election_delay::candidate_delay(&node.settings.vm, own, former);
    tokio::time::sleep(delay.into()).await;
    if node.stopping.get() {
        return;
    }
    let (fence, version) = view
        .as_ref()
        .map_or((1, 0), |view| (view.row.fence + 1, view.version));
    let row = LeaderRow {
        vm: node.settings.vm.clone(),
        incarnation: node.incarnation,
        fence,
        address: node.settings.peer_address,
        batch: 0,
        released: false,
        cpu_millis: own,
    };
    let asked_at = node.now();
    let change = records::leader_change(&row, version, None);
    let outcome = node.store.change(&change, TAKE_TIMEOUT).await;
    node.note_store("acquire_leadership", &outcome);
    match outcome {
        Ok(ChangeOutcome::Done(version)) => {
            slog::info!(node.log, "leadership_acquired"; "fence" => fence, "version" => version);
            node.gauges.leaderships_started.increment();
            let before = view.map(|view| view.row);
            driver::coordinate(node, row, version, asked_at, before).await;
        }
        Ok(ChangeOutcome::Conflict(_)) => {}
        Err(_) => tokio::time::sleep(RETRY_DELAY).await,
    }
}

async fn read_view(node: &EntryNode) -> Result<Option<LeaderView>, StoreError> {
    let read = node
        .store
        .read_row(&records::leader_place(), ROW_TIMEOUT)
        .await;
    node.note_store("read_leader", &read);
    Ok(read?.as_ref().and_then(leader_view))
}

fn leader_view(row: &StoredRow) -> Option<LeaderView> {
    Some(LeaderView {
        row: records::decode(&row.value)?,
        version: row.version,
    })
}

/// What a conflict on the leader's row means for the leader.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConflictMeaning {
    /// The batch had been recorded, at this version; only its answer was lost.
    Recorded(u64),
    /// An earlier batch of this leadership was recorded at this version: send it again on top.
    Behind(u64),
    /// Another process leads.
    Lost,
}

/// Tells what a conflict means, from the row that stood in the way.
pub fn read_conflict(rows: &[StoredRow], own: &LeaderRow) -> ConflictMeaning {
    let Some(view) = rows.iter().find_map(leader_view) else {
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
