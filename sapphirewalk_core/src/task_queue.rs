//! Pending tasks in the order in which they should start.
//!
//! First come kinds that have less than the share kept for them and urgent tasks of teams that use
//! little of their quota, then urgency, then the team that
//! uses least of its quota, then the kind that uses least for its weight, then age.

use std::cmp;
use std::collections;

use crate::key::KindKey;
use crate::key::TaskKey;
use crate::key::TeamKey;
use crate::resource::ResourceVector;
use crate::share_ledger::ShareLedger;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::urgency::TaskUrgency;

/// A task that waits for a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PendingTask {
    /// The task.
    pub task: TaskKey,
    /// Its kind.
    pub kind: KindKey,
    /// Its team.
    pub team: TeamKey,
    /// What its caller declared.
    pub declared: ResourceVector,
    /// The run time that its caller declared.
    pub declared_run_time: TimeSpan,
    /// The least memory of the next attempt in MiB, after attempts that ran out of memory.
    pub memory_floor_mib: u64,
    /// When it was submitted.
    pub submitted_at: TimePoint,
    /// The last attempt started; zero before the first.
    pub attempt: u64,
    /// How often it was evicted.
    pub evictions: u32,
}

/// The most tasks that a queue takes from callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// Of one kind.
    pub per_kind: usize,
    /// In all.
    pub total: usize,
}

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The task waits in the queue.
    Queued,
    /// Too many tasks of its kind wait.
    KindFull,
    /// Too many tasks wait.
    QueueFull,
}

/// What became of a batch of cancellations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CancelOutcome {
    /// Tasks taken out of the queue, sorted.
    pub cancelled: Vec<TaskKey>,
    /// Tasks that do not wait: they run, ended or are unknown; sorted.
    pub absent: Vec<TaskKey>,
}

/// Tasks of one kind and team.
#[derive(Clone, Debug)]
struct TaskLane {
    kind: KindKey,
    team: TeamKey,
    /// Oldest first.
    tasks: collections::VecDeque<PendingTask>,
    /// When the oldest was submitted; kept here so that a scan of the lanes touches no tasks.
    oldest_at: Option<TimePoint>,
    /// The lane is passed over until then.
    blocked_until: TimePoint,
}

impl TaskLane {
    fn update(&mut self) {
        self.oldest_at = self.tasks.front().map(|pending| pending.submitted_at);
    }
}

/// The place of a lane in the order of starts; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LaneRank {
    above_share: bool,
    urgency: cmp::Reverse<TaskUrgency>,
    team_permille: u64,
    weighted_use: u64,
    submitted_at: TimePoint,
}

/// Where a kind stands.
#[derive(Clone, Copy, Debug)]
struct KindStanding {
    kind: KindKey,
    below_floor: bool,
    far_above_floor: bool,
    urgency: TaskUrgency,
    weighted_use: u64,
}

impl KindStanding {
    fn of(kind: KindKey, ledger: &ShareLedger) -> Self {
        Self {
            kind,
            below_floor: ledger.below_floor(kind),
            far_above_floor: ledger.far_above_floor(kind),
            urgency: ledger.kind(kind).urgency,
            weighted_use: ledger.weighted_use(kind),
        }
    }

    fn goes_first(self, team: TeamKey, ledger: &ShareLedger) -> bool {
        let urgent = self.urgency == TaskUrgency::Urgent;
        self.below_floor || (urgent && ledger.uses_little(team))
    }

    fn rank(self, team: TeamKey, submitted_at: TimePoint, ledger: &ShareLedger) -> LaneRank {
        LaneRank {
            above_share: !self.goes_first(team, ledger),
            urgency: cmp::Reverse(self.urgency),
            team_permille: ledger.dominant_permille(team),
            weighted_use: self.weighted_use,
            submitted_at,
        }
    }
}

/// Pending tasks.
#[derive(Clone, Debug)]
pub struct TaskQueue {
    limits: QueueLimits,
    /// Sorted by kind, then team.
    lanes: Vec<TaskLane>,
    len: usize,
    /// Until then some kind waits for room that is short of its floor.
    short_until: TimePoint,
}

impl TaskQueue {
    /// An empty queue.
    pub const fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            lanes: Vec::new(),
            len: 0,
            short_until: TimePoint::EPOCH,
        }
    }

    /// How many tasks wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether no task waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many pairs of kind and team have ever had tasks.
    pub const fn lane_count(&self) -> usize {
        self.lanes.len()
    }

    /// How many tasks of a kind wait.
    pub fn kind_len(&self, kind: KindKey) -> usize {
        let start = self.lanes.partition_point(|lane| lane.kind < kind);
        self.lanes[start..]
            .iter()
            .take_while(|lane| lane.kind == kind)
            .map(|lane| lane.tasks.len())
            .sum()
    }

    /// Takes a submission, if the limits allow it.
    pub fn push(&mut self, pending: PendingTask) -> PushOutcome {
        if self.kind_len(pending.kind) >= self.limits.per_kind {
            return PushOutcome::KindFull;
        }
        if self.len >= self.limits.total {
            return PushOutcome::QueueFull;
        }
        self.restore(pending);
        PushOutcome::Queued
    }

    /// Puts back a task that was accepted before, whatever the limits.
    pub fn restore(&mut self, pending: PendingTask) {
        let lane = self.lane_mut(pending.kind, pending.team);
        let rank = (pending.submitted_at, pending.task);
        let position = lane
            .tasks
            .partition_point(|other| (other.submitted_at, other.task) < rank);
        lane.tasks.insert(position, pending);
        lane.update();
        self.len += 1;
    }

    /// Takes the task that should start next.
    pub fn take(&mut self, ledger: &ShareLedger, now: TimePoint) -> Option<PendingTask> {
        let position = self.first_lane(ledger, now)?;
        let lane = &mut self.lanes[position];
        let pending = lane.tasks.pop_front();
        lane.update();
        self.len -= 1;
        pending
    }

    /// Passes over the tasks of a kind and team until `until`.
    pub fn block(&mut self, kind: KindKey, team: TeamKey, until: TimePoint) {
        let lane = self.lane_mut(kind, team);
        lane.blocked_until = lane.blocked_until.max(until);
    }

    /// Kinds far above their floor start nothing until then: another waits for room for its floor.
    pub fn note_short(&mut self, until: TimePoint) {
        self.short_until = self.short_until.max(until);
    }

    /// Considers every kind of at least this urgency again.
    pub fn unblock(&mut self, ledger: &ShareLedger, least: TaskUrgency) {
        for lane in &mut self.lanes {
            if ledger.kind(lane.kind).urgency >= least {
                lane.blocked_until = TimePoint::EPOCH;
            }
        }
    }

    /// When the oldest waiting task of an urgency was submitted.
    pub fn oldest(&self, ledger: &ShareLedger, urgency: TaskUrgency) -> Option<TimePoint> {
        self.lanes
            .iter()
            .filter(|lane| ledger.kind(lane.kind).urgency == urgency)
            .filter_map(|lane| lane.oldest_at)
            .min()
    }

    /// Takes out a batch of tasks in one pass over the queue.
    pub fn cancel(&mut self, mut tasks: Vec<TaskKey>) -> CancelOutcome {
        tasks.sort_unstable();
        tasks.dedup();
        let mut cancelled = Vec::new();
        for lane in &mut self.lanes {
            lane.tasks.retain(|pending| {
                let hit = tasks.binary_search(&pending.task).is_ok();
                if hit {
                    cancelled.push(pending.task);
                }
                !hit
            });
            lane.update();
        }
        self.len -= cancelled.len();
        cancelled.sort_unstable();
        tasks.retain(|task| cancelled.binary_search(task).is_err());
        CancelOutcome {
            cancelled,
            absent: tasks,
        }
    }

    /// Bytes of memory that the queue uses.
    pub fn memory_bytes(&self) -> usize {
        let tasks: usize = self
            .lanes
            .iter()
            .map(|lane| lane.tasks.capacity() * size_of::<PendingTask>())
            .sum();
        tasks + self.lanes.capacity() * size_of::<TaskLane>()
    }

    fn first_lane(&self, ledger: &ShareLedger, now: TimePoint) -> Option<usize> {
        let mut standing: Option<KindStanding> = None;
        let mut first: Option<(LaneRank, usize)> = None;
        for (position, lane) in self.lanes.iter().enumerate() {
            if lane.blocked_until > now {
                continue;
            }
            let Some(oldest_at) = lane.oldest_at else {
                continue;
            };
            // Lanes of a kind lie together.
            let kind = match standing {
                Some(known) if known.kind == lane.kind => known,
                _ => KindStanding::of(lane.kind, ledger),
            };
            standing = Some(kind);
            if kind.far_above_floor && now < self.short_until && !kind.goes_first(lane.team, ledger)
            {
                continue;
            }
            let rank = kind.rank(lane.team, oldest_at, ledger);
            if first.is_none_or(|(least, _)| rank < least) {
                first = Some((rank, position));
            }
        }
        first.map(|(_, position)| position)
    }

    fn lane_mut(&mut self, kind: KindKey, team: TeamKey) -> &mut TaskLane {
        let found = self
            .lanes
            .binary_search_by_key(&(kind, team), |lane| (lane.kind, lane.team));
        let position = found.unwrap_or_else(|position| {
            let lane = TaskLane {
                kind,
                team,
                tasks: collections::VecDeque::new(),
                oldest_at: None,
                blocked_until: TimePoint::EPOCH,
            };
            self.lanes.insert(position, lane);
            position
        });
        &mut self.lanes[position]
    }
}
