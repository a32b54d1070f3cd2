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
/// The same for a leader that has recorded no batch yet: it loads the records first, which takes
/// seconds on a small VM.
const LOAD_TIMEOUT: TimeSpan = TimeSpan::from_millis(4_000);
/// Interval between reads of a row that should change.
const WATCH_INTERVAL: TimeSpan = SUSPICION_TIMEOUT;
/// A takeover this long ago still makes the next suspicion take longer.
const TAKEOVER_MEMORY: TimeSpan = TimeSpan::from_secs(20);
/// Most recent takeovers that count.
const REMEMBERED_TAKEOVERS: usize = 3;
/// Multiple of the time of a read by which a leader's writes may be late on a slow store.
const SLOW_STORE_MARGIN: f64 = 4.0;
/// Multiple of the time of a read that a small VM leaves to large ones on a slow store: they read
/// the row twice and write it.
const SMALL_VM_MARGIN: f64 = 6.0;
/// Weight of the last estimate of the time of a read when a shorter read follows.
const READ_SPAN_DECAY: f64 = 0.7;
/// Refused connections in a row after which a process counts as ended. A process that is busy
/// refuses some while it has more connections to accept than its listening socket queues.
const REFUSALS_OF_ENDED: u32 = 2;
/// A process that holds the row and doesn't lead counts as failed after this time.
const TRANSITION_TIMEOUT: TimeSpan = TimeSpan::from_millis(4_000);
/// Number of doublings of the delay after refused writes.
const MOST_DOUBLINGS: u32 = 3;
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
    /// Writes the leader row as released, so that a larger VM can acquire the leadership.
    Release(LeaderView),
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
    /// The process has started, its leadership has ended, or the row turned out to name it.
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
    /// Reads the row of this leader, which is suspected.
    Suspecting(LeaderView),
    /// Waits while this row should change, until the given time at most: a leader renews its row,
    /// also one that writes it in a way that can't be decoded here.
    Observing(LeaderView, TimePoint),
    /// Reads the row again, which should have changed by the given time.
    Comparing(LeaderView, TimePoint),
    /// Waits for its turn to replace this row.
    Delaying(Option<LeaderView>),
    /// Reads the row before it is replaced.
    Rechecking(Option<LeaderView>),
    /// Writes its own row as released.
    Releasing,
    /// Writes the row with this fencing token in place of this version.
    Acquiring(u64, u64),
    /// Leads.
    Leading,
}

/// Connections that the process of one leadership refused in a row.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct RefusedLinks {
    fence: u64,
    count: u32,
    /// When the first was refused.
    since: TimePoint,
}

/// The election as one process sees it.
#[derive(Clone, Debug)]
pub struct LeaderElection {
    vm: String,
    incarnation: u64,
    cpu_millis: u64,
    phase: ElectionPhase,
    /// Largest share of a core of a VM that has led, or of this one, in thousandths.
    largest_cpu: u64,
    /// Highest fencing token seen.
    known_fence: u64,
    /// Whether the last row that was read had been released.
    was_released: bool,
    /// Times at which takeovers were seen, the oldest first.
    takeovers: Vec<TimePoint>,
    read_begun_at: TimePoint,
    /// Estimated time of a read: the last one, or longer if those before took longer.
    read_span: TimeSpan,
    /// Writes refused in a row.
    refusals: u32,
    /// The last refused connections, unless another end has followed them.
    refused_links: Option<RefusedLinks>,
    /// Version of the last row whose holder didn't lead, and when this was first seen.
    transition: (u64, TimePoint),
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
            largest_cpu: cpu_millis,
            known_fence: 0,
            was_released: false,
            takeovers: Vec::new(),
            read_begun_at: TimePoint::EPOCH,
            read_span: TimeSpan::ZERO,
            refusals: 0,
            refused_links: None,
            transition: (0, TimePoint::EPOCH),
        }
    }

    /// Decides what the process does next, given what its last step led to. An input that doesn't
    /// answer the last step leads back to reading the row.
    pub fn advance(&mut self, input: ElectionInput, now: TimePoint) -> ElectionStep {
        self.observe(input, now);
        let step = self.decide(input, now);
        if step == ElectionStep::Read {
            self.read_begun_at = now;
        }
        step
    }

    /// What the step under way led to, given a row that names this process and was read meanwhile;
    /// `None` if the step goes on. Peers that connect indicate such a row.
    pub fn judge_own_row(&self, own: LeaderView) -> Option<ElectionInput> {
        if own.incarnation != self.incarnation || own.released || own.unreadable {
            return None;
        }
        match self.phase {
            ElectionPhase::Following(_) => Some(ElectionInput::Begun),
            // The row that is being replaced names this process already.
            ElectionPhase::Acquiring(_, version) if own.version == version => None,
            ElectionPhase::Acquiring(fence, _) if own.fence == fence => {
                Some(ElectionInput::Acquired(own.version))
            }
            ElectionPhase::Acquiring(..) => Some(ElectionInput::Conflict),
            _ => None,
        }
    }

    fn observe(&mut self, input: ElectionInput, now: TimePoint) {
        match input {
            ElectionInput::Row(row) => {
                self.observe_read(now);
                if let Some(row) = row.filter(|row| !row.unreadable) {
                    self.observe_row(row, now);
                }
            }
            ElectionInput::Unread => self.observe_read(now),
            ElectionInput::Refused => self.refusals += 1,
            ElectionInput::Acquired(_) | ElectionInput::Conflict => self.refusals = 0,
            ElectionInput::Begun
            | ElectionInput::Waited
            | ElectionInput::Unlinked(_)
            | ElectionInput::Unanswered => {}
        }
    }

    fn observe_read(&mut self, now: TimePoint) {
        let took = now.since(self.read_begun_at);
        self.read_span = took.max(self.read_span.scale(READ_SPAN_DECAY));
    }

    fn observe_row(&mut self, row: LeaderView, now: TimePoint) {
        self.largest_cpu = self.largest_cpu.max(row.cpu_millis);
        if row.fence > self.known_fence {
            // A handover isn't a fault that makes further takeovers suspect.
            if self.known_fence > 0 && !self.was_released {
                self.takeovers.push(now);
            }
            self.known_fence = row.fence;
        }
        self.was_released = row.released;
        self.takeovers.retain(|at| now.since(*at) < TAKEOVER_MEMORY);
        let surplus = self.takeovers.len().saturating_sub(REMEMBERED_TAKEOVERS);
        self.takeovers.drain(..surplus);
    }

    fn decide(&mut self, input: ElectionInput, now: TimePoint) -> ElectionStep {
        match (self.phase, input) {
            (ElectionPhase::Looking, ElectionInput::Row(row)) => self.choose(row, now),
            (
                ElectionPhase::Looking
                | ElectionPhase::Suspecting(_)
                | ElectionPhase::Rechecking(_),
                ElectionInput::Unread,
            ) => self.pause(RETRY_DELAY),
            (ElectionPhase::Releasing, ElectionInput::Refused | ElectionInput::Unanswered) => {
                self.pause(RETRY_DELAY)
            }
            (ElectionPhase::Acquiring(..), ElectionInput::Refused) => {
                let doublings = self.refusals.saturating_sub(1).min(MOST_DOUBLINGS);
                let spread = election_delay::name_delay(&self.vm);
                self.pause(RETRY_DELAY.scale(f64::from(1u32 << doublings)) + spread)
            }
            (ElectionPhase::Following(holder), ElectionInput::Unlinked(end)) => {
                self.judge_end(holder, end, now)
            }
            (ElectionPhase::Confirming(holder), ElectionInput::Row(Some(row)))
                if row.fence == holder.fence =>
            {
                self.contend(Some(row))
            }
            (ElectionPhase::Suspecting(holder), ElectionInput::Row(Some(row)))
                if row.fence == holder.fence =>
            {
                self.watch_row(row, now + self.patience(row, now), now)
            }
            (ElectionPhase::Observing(row, until), ElectionInput::Waited) => {
                self.phase = ElectionPhase::Comparing(row, until);
                ElectionStep::Read
            }
            (ElectionPhase::Comparing(before, until), ElectionInput::Row(Some(row)))
                if row.version == before.version =>
            {
                if now < until {
                    self.watch_row(row, until, now)
                } else {
                    self.contend(Some(row))
                }
            }
            (ElectionPhase::Delaying(row), ElectionInput::Waited) => {
                self.phase = ElectionPhase::Rechecking(row);
                ElectionStep::Read
            }
            (ElectionPhase::Rechecking(before), ElectionInput::Row(row)) if row == before => {
                self.acquire(row)
            }
            (ElectionPhase::Acquiring(fence, _), ElectionInput::Acquired(version)) => {
                self.phase = ElectionPhase::Leading;
                ElectionStep::Lead { fence, version }
            }
            // The row that has just been read names another leader than the one suspected.
            (_, ElectionInput::Row(row)) => self.choose(row, now),
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

    /// Waits for a change of the row, until the given time at most, and reads it again meanwhile.
    fn watch_row(&mut self, row: LeaderView, until: TimePoint, now: TimePoint) -> ElectionStep {
        self.phase = ElectionPhase::Observing(row, until);
        ElectionStep::Wait(until.since(now).min(WATCH_INTERVAL))
    }

    fn choose(&mut self, row: Option<LeaderView>, now: TimePoint) -> ElectionStep {
        match row {
            Some(row) if row.unreadable => {
                let until = now + SUSPICION_TIMEOUT + self.slow_store_span();
                self.watch_row(row, until, now)
            }
            Some(holder) if !holder.released && holder.incarnation != self.incarnation => {
                self.phase = ElectionPhase::Following(holder);
                ElectionStep::Follow {
                    holder,
                    stale_after: STALE_THRESHOLD + self.slow_store_span(),
                }
            }
            Some(own) if !own.released => self.resolve_own(own),
            row => self.contend(row),
        }
    }

    /// Ends the uncertainty about a row that names this process, which doesn't lead: a write
    /// without an answer took effect.
    fn resolve_own(&mut self, own: LeaderView) -> ElectionStep {
        if election_delay::is_small(self.cpu_millis, self.largest_cpu) {
            self.phase = ElectionPhase::Releasing;
            ElectionStep::Release(own)
        } else {
            self.contend(Some(own))
        }
    }

    fn judge_end(&mut self, holder: LeaderView, end: LinkEnd, now: TimePoint) -> ElectionStep {
        if !self.is_settled(holder, end, now) {
            return self.pause(RETRY_DELAY);
        }
        match classify_end(end, holder.incarnation) {
            LeaderStatus::Ended => {
                self.phase = ElectionPhase::Confirming(holder);
                ElectionStep::Read
            }
            LeaderStatus::Suspected => {
                self.phase = ElectionPhase::Suspecting(holder);
                ElectionStep::Read
            }
            LeaderStatus::InTransition => self.await_transition(holder, now),
        }
    }

    /// Whether the end of a connection tells the state of the process. A single refusal doesn't,
    /// nor do those of a process that may be busy with the records.
    fn is_settled(&mut self, holder: LeaderView, end: LinkEnd, now: TimePoint) -> bool {
        if end != LinkEnd::Refused {
            self.refused_links = None;
            return true;
        }
        let known = self
            .refused_links
            .filter(|links| links.fence == holder.fence);
        let mut links = known.unwrap_or(RefusedLinks {
            fence: holder.fence,
            count: 0,
            since: now,
        });
        links.count += 1;
        self.refused_links = Some(links);
        if holder.batch == 0 {
            now.since(links.since) >= LOAD_TIMEOUT
        } else {
            links.count >= REFUSALS_OF_ENDED
        }
    }

    /// Waits until the row names a leader that serves, but not forever: its holder may be cut off
    /// from the store.
    fn await_transition(&mut self, holder: LeaderView, now: TimePoint) -> ElectionStep {
        if self.transition.0 != holder.version {
            self.transition = (holder.version, now);
        }
        if now.since(self.transition.1) < TRANSITION_TIMEOUT {
            return self.pause(TRANSITION_DELAY);
        }
        self.phase = ElectionPhase::Comparing(holder, now);
        ElectionStep::Read
    }

    /// How long the row of a suspected leader has to stay unchanged.
    fn patience(&self, row: LeaderView, now: TimePoint) -> TimeSpan {
        if row.batch == 0 {
            return LOAD_TIMEOUT + self.slow_store_span();
        }
        let recent = self.recent_takeovers(now);
        SUSPICION_TIMEOUT.scale(1.0 + recent as f64) + self.slow_store_span()
    }

    /// Number of takeovers seen in the last 20 s, at most 3.
    pub fn recent_takeovers(&self, now: TimePoint) -> usize {
        let is_recent = |at: &&TimePoint| now.since(**at) < TAKEOVER_MEMORY;
        self.takeovers.iter().filter(is_recent).count()
    }

    /// By how much a leader's writes may be late on the store as it is now.
    fn slow_store_span(&self) -> TimeSpan {
        self.read_span.scale(SLOW_STORE_MARGIN)
    }

    fn contend(&mut self, row: Option<LeaderView>) -> ElectionStep {
        let largest_cpu = row.map(|_row| self.largest_cpu);
        let mut delay = election_delay::candidate_delay(&self.vm, self.cpu_millis, largest_cpu);
        if election_delay::is_small(self.cpu_millis, self.largest_cpu) {
            delay = delay + self.read_span.scale(SMALL_VM_MARGIN);
        }
        self.phase = ElectionPhase::Delaying(row);
        ElectionStep::AwaitTurn(delay)
    }

    fn acquire(&mut self, row: Option<LeaderView>) -> ElectionStep {
        let (fence, version) = row.map_or((1, 0), |row| (row.fence + 1, row.version));
        self.phase = ElectionPhase::Acquiring(fence, version);
        ElectionStep::Acquire { fence, version }
    }
}
