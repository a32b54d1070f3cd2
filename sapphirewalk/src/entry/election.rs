//! Leader election. One process at a time holds the leader row in the store.

use std::rc;
use std::time;

use sapphirewalk_core::election_delay;
use sapphirewalk_core::leader_election;
use sapphirewalk_core::leader_election::ElectionInput;
use sapphirewalk_core::leader_election::ElectionStep;
use sapphirewalk_core::leader_election::LeaderElection;
use sapphirewalk_core::leader_election::LeaderStatus;
use sapphirewalk_core::leader_election::LinkEnd;
use sapphirewalk_core::leadership_handback::LeadershipHandback;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_platform::store::ChangeOutcome;
use sapphirewalk_platform::store::StoreError;
use sapphirewalk_platform::store::StoredRow;

use crate::entry::driver;
use crate::entry::driver::LeaderTenure;
use crate::entry::node::EntryNode;
use crate::entry::peer;
use crate::entry::records;
use crate::entry::records::LeaderRow;

/// Highest fencing token of a leadership. Orders to workers carry it shifted by 16 bits.
const HIGHEST_FENCE: u64 = 1 << 47;
/// Timeout for reading the leader row.
const ROW_TIMEOUT: time::Duration = time::Duration::from_millis(800);
/// Timeout for writing the leader row to acquire the leadership.
const ACQUIRE_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The leader row at the store version at which it was read.
#[derive(Clone, Debug)]
struct LeaderView {
    row: LeaderRow,
    version: u64,
    /// The row can't be decoded, or its values can't be true. `row` then names no leader.
    unreadable: bool,
}

impl From<&LeaderView> for leader_election::LeaderView {
    fn from(view: &LeaderView) -> Self {
        Self {
            incarnation: view.row.incarnation,
            fence: view.row.fence,
            batch: view.row.batch,
            released: view.row.released,
            cpu_millis: view.row.cpu_millis,
            version: view.version,
            unreadable: view.unreadable,
        }
    }
}

/// One process's part in the election.
struct ElectionDriver {
    node: rc::Rc<EntryNode>,
    election: LeaderElection,
    cpu_millis: u64,
    /// The leader row as last read.
    view: Option<LeaderView>,
    /// The leader row that was last written, and when the write was requested.
    written: Option<(LeaderRow, TimePoint)>,
    /// Fencing token of the last leadership that was logged as in transition.
    noted_fence: Option<u64>,
}

/// Follows the current leader, and contends for the leadership when it is released or the leader
/// fails, until the process shuts down.
pub async fn run(node: rc::Rc<EntryNode>) {
    let cpu_millis = election_delay::cpu_millis(node.settings.cpu_share);
    let mut driver = ElectionDriver {
        election: LeaderElection::new(&node.settings.vm, node.incarnation, cpu_millis),
        node,
        cpu_millis,
        view: None,
        written: None,
        noted_fence: None,
    };
    let mut input = ElectionInput::Begun;
    while !driver.node.stopping.get() {
        let step = driver.election.advance(input, driver.node.now());
        input = driver.carry_out(step).await;
    }
}

impl ElectionDriver {
    async fn carry_out(&mut self, step: ElectionStep) -> ElectionInput {
        match step {
            ElectionStep::Read => self.read().await,
            ElectionStep::Wait(span) => {
                tokio::time::sleep(span.into()).await;
                ElectionInput::Waited
            }
            ElectionStep::AwaitTurn(delay) => {
                let readable = self.view.as_ref().filter(|view| !view.unreadable);
                let held = readable.map(|view| &view.row);
                slog::info!(self.node.log, "leadership_contended"; "delay" => %delay,
                    "own_cpu" => self.cpu_millis, "holder_cpu" => held.map(|row| row.cpu_millis),
                    "fence" => held.map(|row| row.fence));
                tokio::time::sleep(delay.into()).await;
                ElectionInput::Waited
            }
            ElectionStep::Follow { stale_after, .. } => self.follow(stale_after).await,
            ElectionStep::Acquire { fence, version } => self.acquire(fence, version).await,
            ElectionStep::Release(own) => self.release(own.version).await,
            ElectionStep::Lead { fence, version } => self.lead(fence, version).await,
        }
    }

    async fn read(&mut self) -> ElectionInput {
        let Ok(view) = read_view(&self.node).await else {
            return ElectionInput::Unread;
        };
        let known_version = self.view.as_ref().map(|view| view.version);
        if let Some(view) = view.as_ref().filter(|view| view.unreadable)
            && known_version != Some(view.version)
        {
            slog::error!(self.node.log, "leader_row_unreadable"; "version" => view.version);
        }
        self.view = view;
        ElectionInput::Row(self.view.as_ref().map(leader_election::LeaderView::from))
    }

    async fn follow(&mut self, stale_after: TimeSpan) -> ElectionInput {
        let Some(LeaderView { row, .. }) = &self.view else {
            return ElectionInput::Begun;
        };
        let following = peer::follow_leader(&self.node, row.address, row.incarnation, stale_after);
        let end = tokio::select! {
            end = following => end,
            (named, input) = await_own_row(&self.node, &self.election) => {
                *self.node.link.borrow_mut() = None;
                note_late(&self.node, &named);
                return input;
            }
        };
        self.note_end(end);
        ElectionInput::Unlinked(end)
    }

    /// Logs why a connection to the leader ended, but only once for each leadership that is in
    /// transition.
    fn note_end(&mut self, end: LinkEnd) {
        let Some(LeaderView { row, .. }) = &self.view else {
            return;
        };
        let status = leader_election::classify_end(end, row.incarnation);
        if status == LeaderStatus::InTransition
            && self.noted_fence.replace(row.fence) == Some(row.fence)
        {
            return;
        }
        slog::info!(self.node.log, "leader_suspected"; "holder" => &row.vm, "fence" => row.fence,
            "cause" => ?end);
    }

    async fn acquire(&mut self, fence: u64, version: u64) -> ElectionInput {
        let node = &self.node;
        if node.stopping.get() {
            return ElectionInput::Begun;
        }
        let row = LeaderRow {
            vm: node.settings.vm.clone(),
            incarnation: node.incarnation,
            fence,
            address: node.settings.peer_address,
            batch: 0,
            released: false,
            cpu_millis: self.cpu_millis,
        };
        let requested_at = node.now();
        let change = records::leader_change(&row, version, None);
        self.written = Some((row, requested_at));
        let outcome = tokio::select! {
            outcome = node.store.change(&change, ACQUIRE_TIMEOUT) => outcome,
            (named, input) = await_own_row(node, &self.election) => {
                note_late(node, &named);
                return input;
            }
        };
        node.record_store_outcome("acquire_leadership", &outcome);
        if let Err(error) = &outcome {
            slog::warn!(node.log, "leadership_unconfirmed"; "fence" => fence, "error" => %error,
                "after" => %node.now().since(requested_at));
        }
        match outcome {
            Ok(ChangeOutcome::Applied(version)) => ElectionInput::Acquired(version),
            Ok(ChangeOutcome::Conflict(_)) => ElectionInput::Conflict,
            Err(StoreError::Unknown) => ElectionInput::Unanswered,
            Err(StoreError::Refused | StoreError::Malformed(_)) => ElectionInput::Refused,
        }
    }

    /// Releases a leadership that this process hasn't begun, at this version of the row.
    async fn release(&self, version: u64) -> ElectionInput {
        let Some(LeaderView { row, .. }) = &self.view else {
            return ElectionInput::Begun;
        };
        match driver::release_unused(&self.node, row.clone(), version).await {
            Ok(_) => ElectionInput::Begun,
            Err(StoreError::Unknown) => ElectionInput::Unanswered,
            Err(StoreError::Refused | StoreError::Malformed(_)) => ElectionInput::Refused,
        }
    }

    async fn lead(&mut self, fence: u64, version: u64) -> ElectionInput {
        let node = &self.node;
        if let Some((row, requested_at)) = self.written.take() {
            slog::info!(node.log, "leadership_acquired"; "fence" => fence, "version" => version);
            node.metrics.leaderships_started.increment();
            let holder = self.view.take().filter(|view| !view.unreadable);
            let predecessor = holder.map(|view| view.row);
            let takeovers = self.election.recent_takeovers(node.now());
            let handback = LeadershipHandback::new(self.cpu_millis, takeovers, requested_at);
            let tenure = LeaderTenure {
                row,
                version,
                requested_at,
                predecessor,
                handback,
            };
            driver::coordinate(node, tenure).await;
        }
        ElectionInput::Begun
    }
}

fn note_late(node: &EntryNode, named: &LeaderView) {
    slog::info!(node.log, "leadership_late"; "fence" => named.row.fence,
        "version" => named.version);
}

/// Waits for a leader row that names this process and ends the step under way. Peers that connect
/// indicate such a row.
async fn await_own_row(node: &EntryNode, election: &LeaderElection) -> (LeaderView, ElectionInput) {
    loop {
        node.turned_away.notified().await;
        if let Ok(Some(view)) = read_view(node).await
            && let Some(input) = election.judge_own_row((&view).into())
        {
            return (view, input);
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
