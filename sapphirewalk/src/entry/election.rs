//! Leader election. One process at a time holds the leader row in the store.

use std::cell;
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

/// Delay before a failed store call is retried.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(150);
/// A leader that doesn't answer counts as failed if its row stays unchanged for this long. A leader
/// renews its row every 400 ms.
const SUSPICION_TIMEOUT: time::Duration = time::Duration::from_millis(700);
/// Highest fencing token of a leadership. Orders to workers carry it shifted by 16 bits.
const HIGHEST_FENCE: u64 = 1 << 47;
/// Timeout for reading the leader row.
const ROW_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Timeout for writing the leader row to acquire the leadership.
const ACQUIRE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);
/// Delay before the leader row is read again while its holder acquires or releases the leadership.
const TRANSITION_DELAY: time::Duration = time::Duration::from_millis(30);

/// The leader row at the store version at which it was read.
#[derive(Clone, Debug)]
struct LeaderView {
    row: LeaderRow,
    version: u64,
    /// The row can't be decoded, or its values can't be true. `row` then names no leader.
    unreadable: bool,
}

/// Follows the current leader, and contends for the leadership when it is released or the leader
/// fails, until the process shuts down.
pub async fn run(node: rc::Rc<EntryNode>) {
    let noted_fence = cell::Cell::new(0);
    while !node.stopping.get() {
        let Ok(view) = read_view(&node).await else {
            tokio::time::sleep(RETRY_DELAY).await;
            continue;
        };
        match view {
            None => contend(&node, None).await,
            Some(view) if view.unreadable => replace_unreadable(&node, &view).await,
            Some(view) if view.row.released || view.row.incarnation == node.incarnation => {
                contend(&node, Some(view)).await;
            }
            Some(view) => monitor_leader(&node, view, &noted_fence).await,
        }
    }
}

/// Contends for the leadership if the row stays unreadable and unchanged. A leader of another
/// version of this program would renew it.
async fn replace_unreadable(node: &rc::Rc<EntryNode>, view: &LeaderView) {
    slog::error!(node.log, "leader_row_unreadable"; "version" => view.version);
    tokio::time::sleep(SUSPICION_TIMEOUT).await;
    let Ok(Some(current)) = read_view(node).await else {
        return;
    };
    if current.version == view.version {
        contend(node, Some(current)).await;
    }
}

/// Follows the leader until the connection to it ends, then checks in the store whether it has
/// failed. If so, contends for the leadership.
///
/// `noted_fence` is the fencing token of the last leadership that was logged as in transition.
async fn monitor_leader(node: &rc::Rc<EntryNode>, view: LeaderView, noted_fence: &cell::Cell<u64>) {
    let end = peer::follow_leader(node, view.row.address).await;
    let status = classify_end(end, view.row.incarnation);
    if status != LeaderStatus::InTransition || noted_fence.replace(view.row.fence) != view.row.fence
    {
        slog::info!(node.log, "leader_suspected"; "holder" => &view.row.vm,
            "fence" => view.row.fence, "cause" => ?end);
    }
    match status {
        LeaderStatus::Ended => {
            let Ok(Some(current)) = read_view(node).await else {
                return;
            };
            if current.row.fence == view.row.fence {
                contend(node, Some(current)).await;
            }
        }
        LeaderStatus::Suspected => {
            let Ok(Some(before)) = read_view(node).await else {
                tokio::time::sleep(RETRY_DELAY).await;
                return;
            };
            tokio::time::sleep(SUSPICION_TIMEOUT).await;
            let Ok(Some(after)) = read_view(node).await else {
                return;
            };
            if after.version == before.version {
                contend(node, Some(after)).await;
            }
        }
        LeaderStatus::InTransition => tokio::time::sleep(TRANSITION_DELAY).await,
    }
}

/// State of the leading process, derived from how the connection to it ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaderStatus {
    /// The process has ended.
    Ended,
    /// The process may have lost the store, or only its connection to this VM.
    Suspected,
    /// The process is acquiring or releasing the leadership. The leader row shows the result soon.
    InTransition,
}

/// Classifies the end of a connection to the leading process. `incarnation` is the one in the
/// leader row.
pub const fn classify_end(end: LinkEnd, incarnation: u64) -> LeaderStatus {
    match end {
        LinkEnd::Refused => LeaderStatus::Ended,
        LinkEnd::Absent(other) if other != incarnation => LeaderStatus::Ended,
        // If the process has ended, the next connection is refused.
        LinkEnd::Absent(_) | LinkEnd::Broken => LeaderStatus::InTransition,
        LinkEnd::Silent | LinkEnd::Stale => LeaderStatus::Suspected,
    }
}

/// Tries to acquire the leadership after this VM's delay. If it succeeds, coordinates until the
/// leadership ends.
async fn contend(node: &rc::Rc<EntryNode>, view: Option<LeaderView>) {
    let own_cpu = election_delay::cpu_millis(node.settings.cpu_share);
    let holder = view.as_ref().filter(|view| !view.unreadable);
    let holder_cpu = holder.map(|view| view.row.cpu_millis);
    let delay = election_delay::candidate_delay(&node.settings.vm, own_cpu, holder_cpu);
    slog::info!(node.log, "leadership_contended"; "delay" => %delay, "own_cpu" => own_cpu,
        "holder_cpu" => holder_cpu, "fence" => view.as_ref().map(|view| view.row.fence));
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
        cpu_millis: own_cpu,
    };
    let requested_at = node.now();
    let change = records::leader_change(&row, version, None);
    let outcome = node.store.change(&change, ACQUIRE_TIMEOUT).await;
    node.record_store_outcome("acquire_leadership", &outcome);
    match outcome {
        Ok(ChangeOutcome::Applied(version)) => {
            slog::info!(node.log, "leadership_acquired"; "fence" => fence, "version" => version);
            node.metrics.leaderships_started.increment();
            let holder = view.filter(|view| !view.unreadable);
            let predecessor = holder.map(|view| view.row);
            driver::coordinate(node, row, version, requested_at, predecessor).await;
        }
        Ok(ChangeOutcome::Conflict(_)) => {}
        Err(error) => {
            slog::warn!(node.log, "leadership_unconfirmed"; "fence" => fence, "error" => %error,
                "after" => %node.now().since(requested_at));
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}

async fn read_view(node: &EntryNode) -> Result<Option<LeaderView>, StoreError> {
    let read = node
        .store
        .read_row(&records::leader_location(), ROW_TIMEOUT)
        .await;
    node.record_store_outcome("read_leader", &read);
    let view = |row| leader_view(row).unwrap_or_else(|| unreadable_view(node, row));
    Ok(read?.as_ref().map(view))
}

fn leader_view(row: &StoredRow) -> Option<LeaderView> {
    let leader: LeaderRow = records::decode(&row.value)?;
    (leader.fence <= HIGHEST_FENCE).then_some(LeaderView {
        row: leader,
        version: row.version,
        unreadable: false,
    })
}

/// Each leadership begins with a transaction of its own and adds one to the fencing token, so no
/// token can be higher than the store's version.
fn unreadable_view(node: &EntryNode, row: &StoredRow) -> LeaderView {
    LeaderView {
        row: LeaderRow {
            vm: String::new(),
            incarnation: 0,
            fence: row.version,
            address: node.settings.peer_address,
            batch: 0,
            released: false,
            cpu_millis: 0,
        },
        version: row.version,
        unreadable: true,
    }
}

/// What a version conflict on the leader row means for the leader that wrote it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaderConflict {
    /// The batch is recorded, at this version. Only the answer to the write was lost.
    Recorded(u64),
    /// An earlier batch of this leadership is recorded at this version. The batch must be written
    /// again with this version expected.
    Behind(u64),
    /// Another process holds the leadership.
    Lost,
}

/// Classifies a conflict by the rows that the store returned with it.
pub fn classify_conflict(rows: &[StoredRow], own: &LeaderRow) -> LeaderConflict {
    let Some(view) = rows.iter().find_map(leader_view) else {
        return LeaderConflict::Lost;
    };
    let is_own = view.row.incarnation == own.incarnation && view.row.fence == own.fence;
    if !is_own {
        LeaderConflict::Lost
    } else if view.row.batch == own.batch {
        LeaderConflict::Recorded(view.version)
    } else {
        LeaderConflict::Behind(view.version)
    }
}
