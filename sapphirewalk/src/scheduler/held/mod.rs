//! A shard in the hands of this process: its workers, its tasks and what is decided about them.
//!
//! Nothing here does I/O. What is to be done outside is collected and taken by the task that runs
//! the shard.

mod bundle;
mod fleet;
mod moves;
mod place;
mod quota;
mod report;
mod rows;
mod tasks;
mod view;
mod workers;

use slog::Logger;

use sapphirewalk_core::batch_policy::BatchPolicy;
use sapphirewalk_core::batch_policy::PolicyFeatures;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::NameArena;
use sapphirewalk_core::key::RackKey;
use sapphirewalk_core::key::TeamKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::shard_lease::LeaseRules;
use sapphirewalk_core::shard_lease::ShardAuthority;
use sapphirewalk_core::task_lifecycle::TaskWrite;
use sapphirewalk_core::task_queue::QueueLimits;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::row::VmName;

use crate::audit::AuditHandle;
use crate::config::SchedulerSettings;
use crate::scheduler::effect::ShardEffect;
use crate::scheduler::effect::TaskRemoval;
pub use crate::scheduler::held::moves::MoveTarget;
use crate::scheduler::held::quota::TeamQuota;
pub use crate::scheduler::held::view::ShardView;
use crate::scheduler::metric::SchedulerMetrics;
use crate::scheduler::name::ShardName;
use crate::scheduler::task_map::TaskMap;
use crate::scheduler::worker_map::WorkerMap;

/// What the shard's lease allows now.
#[derive(Clone, Copy, Debug)]
pub struct HoldGrant {
    /// What may be done.
    pub authority: ShardAuthority,
    /// The end of the lease that a worker may be given.
    pub worker_lease_until: Option<TimePoint>,
}

/// What a hold begins with.
#[derive(Clone, Debug)]
pub struct HoldStart {
    /// The shard.
    pub name: ShardName,
    /// The epoch of the holder's commands.
    pub epoch: u64,
    /// No lease of a former holder ends after this time.
    pub former_until: TimePoint,
    /// Spans and bounds of leases.
    pub rules: LeaseRules,
    /// Seeds the policy's samples.
    pub seed: u64,
}

/// A change of a task's row that waits for its transaction.
#[derive(Clone, Debug)]
struct QueuedWrite {
    id: String,
    change: QueuedChange,
}

/// What changes of a task's row.
#[derive(Clone, Debug)]
enum QueuedChange {
    /// What its life changes.
    Lifecycle(TaskWrite),
    /// The task goes on in another shard under this ID.
    Move(String),
}

/// A task that goes on in another shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MovedTask {
    /// The other shard.
    pub shard: ShardName,
    /// The task's ID there.
    pub id: String,
}

/// A shard in the hands of this process.
#[derive(Debug)]
pub struct HeldShard {
    start: HoldStart,
    settings: SchedulerSettings,
    grant: HoldGrant,
    policy: BatchPolicy,
    workers: WorkerMap,
    tasks: TaskMap,
    kinds: NameArena<KindKey>,
    teams: NameArena<TeamKey>,
    racks: NameArena<RackKey>,
    fleet: Vec<ResourceVector>,
    sequence: u64,
    quotas: Vec<TeamQuota>,
    shard_number: Option<u32>,
    shard_count: u32,
    quota_read: bool,
    removals: Vec<TaskRemoval>,
    loaded: bool,
    /// Whether a VM list has been taken over.
    vm_list_applied: bool,
    fenced: bool,
    unlisted_found: bool,
    table_answers: bool,
    writes: Vec<QueuedWrite>,
    reads: Vec<String>,
    effects: Vec<ShardEffect>,
    leaving_workers: Vec<VmName>,
    moved: Vec<MovedTask>,
    audit: AuditHandle,
    metrics: SchedulerMetrics,
    logger: Logger,
}

impl HeldShard {
    /// Begins a hold, with no workers and no tasks known yet.
    pub fn new(
        start: HoldStart,
        settings: SchedulerSettings,
        audit: AuditHandle,
        metrics: SchedulerMetrics,
        logger: Logger,
    ) -> Self {
        let limits = QueueLimits {
            per_kind: usize::MAX,
            total: usize::MAX,
        };
        let policy = BatchPolicy::new(PolicyFeatures::default(), limits, start.seed);
        Self {
            start,
            settings,
            grant: HoldGrant {
                authority: ShardAuthority::Nothing,
                worker_lease_until: None,
            },
            policy,
            workers: WorkerMap::default(),
            tasks: TaskMap::default(),
            kinds: NameArena::new(),
            teams: NameArena::new(),
            racks: NameArena::new(),
            fleet: Vec::new(),
            sequence: 0,
            quotas: Vec::new(),
            shard_number: None,
            shard_count: 0,
            quota_read: false,
            removals: Vec::new(),
            loaded: false,
            vm_list_applied: false,
            fenced: false,
            unlisted_found: false,
            table_answers: true,
            writes: Vec::new(),
            reads: Vec::new(),
            effects: Vec::new(),
            leaving_workers: Vec::new(),
            moved: Vec::new(),
            audit,
            metrics,
            logger,
        }
    }

    /// Sets what the shard's lease allows now. Before each call that decides.
    pub const fn set_grant(&mut self, grant: HoldGrant) {
        self.grant = grant;
    }

    /// What the shard is.
    pub const fn start(&self) -> &HoldStart {
        &self.start
    }

    /// Whether a worker has seen a higher epoch: the shard's row must be read.
    pub const fn take_fenced(&mut self) -> bool {
        std::mem::replace(&mut self.fenced, false)
    }

    /// The commands to send.
    pub fn take_effects(&mut self) -> Vec<ShardEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Workers that were newly seen to be leaving.
    pub fn take_leaving(&mut self) -> Vec<VmName> {
        std::mem::take(&mut self.leaving_workers)
    }

    /// Tasks that were moved, whose new holders are to be told.
    pub fn take_moved(&mut self) -> Vec<MovedTask> {
        std::mem::take(&mut self.moved)
    }

    /// The latest end of a lease that was sent to any worker.
    pub fn last_lease_end(&self) -> TimePoint {
        self.workers.last_lease_end()
    }
}
