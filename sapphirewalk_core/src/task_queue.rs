//! The pending tasks, in the order in which they start.
//!
//! Tasks with precedence go first: those of kinds below their floor, and urgent tasks of teams that
//! use little of their quota. Ties are broken by urgency, then by the team with the least quota
//! use, then by the kind with the least use for its weight, then by age.

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
    /// The key under which the shard's scheduler holds the task.
    pub task: TaskKey,
    /// The kind, which sets urgency, weight and floor.
    pub kind: KindKey,
    /// The team whose quota the task uses.
    pub team: TeamKey,
    /// The resources that the task's caller declared; may be wrong by a large factor.
    pub declared: ResourceVector,
    /// The run time that the task's caller declared.
    pub declared_run_time: TimeSpan,
    /// The least memory in MiB to grant to the next attempt; above 0 after an attempt ran out of
    /// memory.
    pub memory_floor_mib: u64,
    /// When the task was submitted; decides the order within its kind and team.
    pub submitted_at: TimePoint,
    /// The number of the last attempt started; 0 before the first.
    pub attempt: u64,
    /// How often the task was evicted.
    pub evictions: u32,
}

/// The most tasks that a queue accepts from callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QueueLimits {
    /// The most pending tasks of one kind.
    pub per_kind: usize,
    /// The most pending tasks of all kinds.
    pub total: usize,
}

/// The outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushOutcome {
    /// The task is in the queue.
    Queued,
    /// Refused: the limit of the task's kind is reached.
    KindFull,
    /// Refused: the limit of the whole queue is reached.
    QueueFull,
}

/// The outcome of a batch of cancellations.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CancelOutcome {
    /// Tasks removed from the queue, sorted.
    pub cancelled: Vec<TaskKey>,
    /// Tasks that are not in the queue, since they run, ended or are unknown; sorted.
    pub absent: Vec<TaskKey>,
}

/// The pending tasks of one kind and team; a queue of its own within the queue.
#[derive(Clone, Debug)]
struct TaskLane {
    kind: KindKey,
    team: TeamKey,
    /// Oldest first.
    tasks: collections::VecDeque<PendingTask>,
    /// When the oldest task was submitted. Copied here so that a scan of the lanes does not read
    /// the tasks.
    oldest_at: Option<TimePoint>,
    /// The lane is skipped until then.
    blocked_until: TimePoint,
}

impl TaskLane {
    fn refresh_oldest(&mut self) {
        self.oldest_at = self.tasks.front().map(|pending| pending.submitted_at);
    }
}

/// A lane's position in the order of starts; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LaneRank {
    without_precedence: bool,
    urgency: cmp::Reverse<TaskUrgency>,
    team_permille: u64,
    weighted_use: u64,
    submitted_at: TimePoint,
}

/// The inputs of a lane's rank that depend only on its kind, read once per kind in a scan.
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

    fn has_precedence(self, team: TeamKey, ledger: &ShareLedger) -> bool {
        let urgent = self.urgency == TaskUrgency::Urgent;
        self.below_floor || (urgent && ledger.has_low_usage(team))
    }

    fn rank(self, team: TeamKey, submitted_at: TimePoint, ledger: &ShareLedger) -> LaneRank {
        LaneRank {
            without_precedence: !self.has_precedence(team, ledger),
            urgency: cmp::Reverse(self.urgency),
            team_permille: ledger.dominant_permille(team),
            weighted_use: self.weighted_use,
            submitted_at,
        }
    }
}

/// The pending tasks of a shard.
#[derive(Clone, Debug)]
pub struct TaskQueue {
    limits: QueueLimits,
    /// Sorted by kind, then team.
    lanes: Vec<TaskLane>,
    len: usize,
    /// Until then kinds far above their floor start only tasks with precedence.
    floor_reserved_until: TimePoint,
}

impl TaskQueue {
    /// An empty queue.
    pub const fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            lanes: Vec::new(),
            len: 0,
            floor_reserved_until: TimePoint::EPOCH,
        }
    }

    /// The number of pending tasks.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Whether there are no pending tasks.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// How many pairs of kind and team have ever had tasks; never decreases.
    pub const fn lane_count(&self) -> usize {
        self.lanes.len()
    }

    /// The number of pending tasks of a kind.
    pub fn kind_len(&self, kind: KindKey) -> usize {
        let start = self.lanes.partition_point(|lane| lane.kind < kind);
        self.lanes[start..]
            .iter()
            .take_while(|lane| lane.kind == kind)
            .map(|lane| lane.tasks.len())
            .sum()
    }

    /// Adds a new task unless a limit is reached.
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

    /// Adds a task that was accepted earlier; the limits do not apply.
    pub fn restore(&mut self, pending: PendingTask) {
        let lane = self.lane_mut(pending.kind, pending.team);
        let rank = (pending.submitted_at, pending.task);
        let position = lane
            .tasks
            .partition_point(|other| (other.submitted_at, other.task) < rank);
        lane.tasks.insert(position, pending);
        lane.refresh_oldest();
        self.len += 1;
    }

    /// Removes and returns the first task in the order of starts. `None` if every lane is empty,
    /// blocked or held back.
    pub fn take(&mut self, ledger: &ShareLedger, now: TimePoint) -> Option<PendingTask> {
        let position = self.first_lane(ledger, now)?;
        let lane = &mut self.lanes[position];
        let pending = lane.tasks.pop_front();
        lane.refresh_oldest();
        self.len -= 1;
        pending
    }

    /// Skips the tasks of a kind and team until `until`; never shortens an earlier block.
    pub fn block(&mut self, kind: KindKey, team: TeamKey, until: TimePoint) {
        let lane = self.lane_mut(kind, team);
        lane.blocked_until = lane.blocked_until.max(until);
    }

    /// Until `until`, kinds far above their floor start only tasks with precedence. Called when a
    /// kind below its floor finds no room.
    pub fn reserve_for_floors(&mut self, until: TimePoint) {
        self.floor_reserved_until = self.floor_reserved_until.max(until);
    }

    /// Ends the block of every lane whose kind has at least urgency `least`.
    pub fn unblock(&mut self, ledger: &ShareLedger, least: TaskUrgency) {
        for lane in &mut self.lanes {
            if ledger.kind(lane.kind).urgency >= least {
                lane.blocked_until = TimePoint::EPOCH;
            }
        }
    }

    /// When the oldest pending task of an urgency was submitted; `None` if there is none.
    pub fn oldest(&self, ledger: &ShareLedger, urgency: TaskUrgency) -> Option<TimePoint> {
        self.lanes
            .iter()
            .filter(|lane| ledger.kind(lane.kind).urgency == urgency)
            .filter_map(|lane| lane.oldest_at)
            .min()
    }

    /// Removes a batch of tasks in one pass over the queue.
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
            lane.refresh_oldest();
        }
        self.len -= cancelled.len();
        cancelled.sort_unstable();
        tasks.retain(|task| cancelled.binary_search(task).is_err());
        CancelOutcome {
            cancelled,
            absent: tasks,
        }
    }

    /// Memory in bytes that the queue holds.
    pub fn memory_bytes(&self) -> usize {
        let tasks: usize = self
            .lanes
            .iter()
            .map(|lane| lane.tasks.capacity() * size_of::<PendingTask>())
            .sum();
        tasks + self.lanes.capacity() * size_of::<TaskLane>()
    }

    fn first_lane(&self, ledger: &ShareLedger, now: TimePoint) -> Option<usize> {
        let mut previous: Option<KindStanding> = None;
        let mut first: Option<(LaneRank, usize)> = None;
        for (position, lane) in self.lanes.iter().enumerate() {
            if lane.blocked_until > now {
                continue;
            }
            let Some(oldest_at) = lane.oldest_at else {
                continue;
            };
            // Lanes are sorted by kind, so the previous lane's value often applies.
            let standing = match previous {
                Some(standing) if standing.kind == lane.kind => standing,
                _ => KindStanding::of(lane.kind, ledger),
            };
            previous = Some(standing);
            if standing.far_above_floor
                && now < self.floor_reserved_until
                && !standing.has_precedence(lane.team, ledger)
            {
                continue;
            }
            let rank = standing.rank(lane.team, oldest_at, ledger);
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
