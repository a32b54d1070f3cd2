//! Decides when a VM follows the leader, and when it contends for the leadership.
//!
//! The leader is named by a row in the store, which each leader writes with every batch. A write
//! names the version of the row that it replaces, so one process at a time holds the row.
//! [`LeaderElection`] decides and does no I/O: the process carries out an [`ElectionStep`] and
//! reports its [`ElectionInput`].

use crate::election_delay;
use crate::time::TimePoint;
use crate::time::TimeSpan;

/// Delay before a failed store call is retried.
const RETRY_DELAY: TimeSpan = TimeSpan::from_millis(150);
/// A leader that doesn't answer counts as failed if its row stays unchanged for this long. A leader
/// renews its row every 400 ms.
const SUSPICION_TIMEOUT: TimeSpan = TimeSpan::from_millis(700);
/// A leader that hasn't committed a batch for this long has lost the store.
const STALE_THRESHOLD: TimeSpan = TimeSpan::from_millis(1_600);
/// Delay before the leader row is read again while its holder acquires or releases the leadership.
const TRANSITION_DELAY: TimeSpan = TimeSpan::from_millis(30);

/// The leader row, as far as the election depends on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaderView {
    /// The process that holds the leadership.
    pub incarnation: u64,
    /// Fencing token of the leadership.
    pub fence: u64,
    /// Number of the last batch recorded in this leadership. 0 before the first one.
    pub batch: u64,
    /// The leadership has been released.
    pub released: bool,
    /// Share of a core of the holder's VM, in thousandths.
    pub cpu_millis: u64,
    /// Store version of the row.
    pub version: u64,
    /// The row can't be decoded, and names no leader.
    pub unreadable: bool,
}

/// Why a connection to the leader ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LinkEnd {
    /// Connecting failed. This counts as the end of the process at the address.
    Refused,
    /// The process at the address, in this incarnation, isn't the leader.
    Absent(u64),
    /// No message arrived within the timeout.
    Silent,
    /// The leader hasn't committed a batch for too long, so it has lost the store.
    Stale,
    /// The connection was closed, or carried a message that can't be decoded.
    Broken,
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

/// What the process does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionStep {
    /// Reads the leader row.
    Read,
    /// Waits.
    Wait(TimeSpan),
    /// Waits for this VM's turn to contend for the leadership.
    AwaitTurn(TimeSpan),
    /// Follows the process that the row names, until the connection ends. A heartbeat that gives
    /// the last committed batch an age over `stale_after` ends it as [`LinkEnd::Stale`].
    Follow {
        /// The row that names the process.
        holder: LeaderView,
        /// Age of the last batch beyond which the leader has lost the store.
        stale_after: TimeSpan,
    },
    /// Writes the leader row to acquire the leadership.
    Acquire {
        /// Fencing token of the new leadership.
        fence: u64,
        /// Version of the row that is replaced; 0 if there is none.
        version: u64,
    },
    /// Leads until the leadership ends.
    Lead {
        /// Fencing token of the leadership.
        fence: u64,
        /// Version of the leader row.
        version: u64,
    },
}

/// What a step led to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ElectionInput {
    /// The process has started, or its leadership has ended.
    Begun,
    /// The wait is over.
    Waited,
    /// The leader row as read; `None` if there is none.
    Row(Option<LeaderView>),
    /// The read failed.
    Unread,
    /// The connection to the leader ended.
    Unlinked(LinkEnd),
    /// The write took effect at this version.
    Acquired(u64),
    /// The write had no effect, because the row has another version.
    Conflict,
    /// The store refused the write.
    Refused,
    /// The write has no answer. It may have taken effect, or may still do so.
    Unanswered,
}

/// What the process is doing.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
enum ElectionPhase {
    /// Reads the row to find the leader.
    #[default]
    Looking,
    /// Waits before it looks for the leader.
    Pausing,
    /// Follows the leader that this row names.
    Following(LeaderView),
    /// Reads the row of a leader whose process has ended.
    Confirming(LeaderView),
    /// Reads the row of a suspected leader.
    Suspecting,
    /// Waits while this row should change: a leader renews its row, also one that writes it in a way
    /// that can't be decoded here.
    Observing(LeaderView),
    /// Reads the row again, which should have changed.
    Comparing(LeaderView),
    /// Waits for its turn to replace this row.
    Delaying(Option<LeaderView>),
    /// Writes the row with this fencing token.
    Acquiring(u64),
    /// Leads.
    Leading,
}

/// The election as one process sees it.
#[derive(Clone, Debug)]
pub struct LeaderElection {
    vm: String,
    incarnation: u64,
    cpu_millis: u64,
    phase: ElectionPhase,
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

impl LeaderElection {
    /// The election as a process of the VM sees it that has just started. `cpu_millis` is the VM's
    /// share of a core in thousandths.
    pub fn new(vm: &str, incarnation: u64, cpu_millis: u64) -> Self {
        Self {
            vm: vm.to_owned(),
            incarnation,
            cpu_millis,
            phase: ElectionPhase::default(),
        }
    }

    /// Decides what the process does next, given what its last step led to. An input that doesn't
    /// answer the last step leads back to reading the row.
    pub fn advance(&mut self, input: ElectionInput, _now: TimePoint) -> ElectionStep {
        match (self.phase, input) {
            (ElectionPhase::Looking, ElectionInput::Row(row)) => self.choose(row),
            (ElectionPhase::Looking | ElectionPhase::Suspecting, ElectionInput::Unread)
            | (ElectionPhase::Acquiring(_), ElectionInput::Refused | ElectionInput::Unanswered) => {
                self.pause(RETRY_DELAY)
            }
            (ElectionPhase::Following(holder), ElectionInput::Unlinked(end)) => {
                self.judge_end(holder, end)
            }
            (ElectionPhase::Confirming(holder), ElectionInput::Row(Some(row)))
                if row.fence == holder.fence =>
            {
                self.contend(Some(row))
            }
            (ElectionPhase::Suspecting, ElectionInput::Row(Some(row))) => {
                self.phase = ElectionPhase::Observing(row);
                ElectionStep::Wait(SUSPICION_TIMEOUT)
            }
            (ElectionPhase::Observing(row), ElectionInput::Waited) => {
                self.phase = ElectionPhase::Comparing(row);
                ElectionStep::Read
            }
            (ElectionPhase::Comparing(before), ElectionInput::Row(Some(row)))
                if row.version == before.version =>
            {
                self.contend(Some(row))
            }
            (ElectionPhase::Delaying(row), ElectionInput::Waited) => self.acquire(row),
            (ElectionPhase::Acquiring(fence), ElectionInput::Acquired(version)) => {
                self.phase = ElectionPhase::Leading;
                ElectionStep::Lead { fence, version }
            }
            _ => self.look(),
        }
    }

    fn look(&mut self) -> ElectionStep {
        self.phase = ElectionPhase::Looking;
        ElectionStep::Read
    }

    fn pause(&mut self, span: TimeSpan) -> ElectionStep {
        self.phase = ElectionPhase::Pausing;
        ElectionStep::Wait(span)
    }

    fn choose(&mut self, row: Option<LeaderView>) -> ElectionStep {
        match row {
            Some(row) if row.unreadable => {
                self.phase = ElectionPhase::Observing(row);
                ElectionStep::Wait(SUSPICION_TIMEOUT)
            }
            Some(holder) if !holder.released && holder.incarnation != self.incarnation => {
                self.phase = ElectionPhase::Following(holder);
                ElectionStep::Follow {
                    holder,
                    stale_after: STALE_THRESHOLD,
                }
            }
            row => self.contend(row),
        }
    }

    fn judge_end(&mut self, holder: LeaderView, end: LinkEnd) -> ElectionStep {
        match classify_end(end, holder.incarnation) {
            LeaderStatus::Ended => {
                self.phase = ElectionPhase::Confirming(holder);
                ElectionStep::Read
            }
            LeaderStatus::Suspected => {
                self.phase = ElectionPhase::Suspecting;
                ElectionStep::Read
            }
            LeaderStatus::InTransition => self.pause(TRANSITION_DELAY),
        }
    }

    fn contend(&mut self, row: Option<LeaderView>) -> ElectionStep {
        let holder = row.filter(|row| !row.unreadable);
        let holder_cpu = holder.map(|row| row.cpu_millis);
        let delay = election_delay::candidate_delay(&self.vm, self.cpu_millis, holder_cpu);
        self.phase = ElectionPhase::Delaying(row);
        ElectionStep::AwaitTurn(delay)
    }

    fn acquire(&mut self, row: Option<LeaderView>) -> ElectionStep {
        let (fence, version) = row.map_or((1, 0), |row| (row.fence + 1, row.version));
        self.phase = ElectionPhase::Acquiring(fence);
        ElectionStep::Acquire { fence, version }
    }
}
