//! The state of a shard that this process holds: its workers, its tasks and the decisions on them.
//!
//! Nothing here does I/O. Commands to workers and changes of rows are queued until the shard's
//! actor takes them.

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
use sapphirewalk_core::shard_lease::LeaseTiming;
use sapphirewalk_core::shard_lease::ShardAuthority;
use sapphirewalk_core::task_lifecycle::TaskWrite;
use sapphirewalk_core::task_queue::QueueLimits;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::row::VmIncarnation;

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

/// What the shard's lease permits now.
#[derive(Clone, Copy, Debug)]
pub struct HoldGrant {
    /// Whether tasks may be started and workers' leases renewed.
    pub authority: ShardAuthority,
    /// The latest lease end that may be sent to a worker now; `None` if none may be.
    pub worker_lease_until: Option<TimePoint>,
}

/// The parameters with which a process begins to run a shard. They stay the same until it loses or
/// releases the shard.
#[derive(Clone, Debug)]
pub struct HoldParams {
    /// The name of the shard that was acquired.
    pub name: ShardName,
    /// The fencing token of the holder's commands to workers.
    pub epoch: u64,
    /// No worker's lease from a former holder ends after this time.
    pub former_until: TimePoint,
    /// Durations and tolerances of leases, from the settings.
    pub timing: LeaseTiming,
    /// Seed of all random samples of the policy.
    pub seed: u64,
}

/// A change of a task's row that waits for the next transaction.
#[derive(Clone, Debug)]
struct QueuedWrite {
    id: String,
    change: QueuedChange,
}

/// The kind of a queued change.
#[derive(Clone, Debug)]
enum QueuedChange {
    /// A write that the task's lifecycle requested.
    Lifecycle(TaskWrite),
    /// The task moves to another shard, where it has this ID.
    Move(String),
}

/// The target of a task's move to another shard.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct MovedTask {
    /// The shard to which the task moves.
    pub shard: ShardName,
    /// The task's ID in that shard.
    pub id: String,
}

/// The state of a shard that this process holds.
#[derive(Debug)]
pub struct HeldShard {
    params: HoldParams,
    settings: SchedulerSettings,
    /// Set by the actor before each call that decides.
    grant: HoldGrant,
    /// Queue, placement, reservations and preemption.
    policy: BatchPolicy,
    workers: WorkerMap,
    tasks: TaskMap,
    kinds: NameArena<KindKey>,
    teams: NameArena<TeamKey>,
    racks: NameArena<RackKey>,
    /// The distinct capacities of all workers of the VM list, other shards' included.
    capacities: Vec<ResourceVector>,
    /// Sequence number of the rollout whose bundle is applied; zero before the first.
    sequence: u64,
    quotas: Vec<TeamQuota>,
    /// This shard's index among all shards of the bundle; `None` if the bundle lacks the shard.
    shard_number: Option<u32>,
    /// The number of all shards of the bundle.
    shard_count: u32,
    /// Whether the quota rows were read since the shard was acquired.
    quota_read: bool,
    /// Rows of ended tasks to remove.
    removals: Vec<TaskRemoval>,
    /// Whether a scan of the task rows was completed since the shard was acquired.
    loaded: bool,
    /// Whether a VM list was applied since the shard was acquired.
    vm_list_applied: bool,
    /// Whether there is a sign of another holder, so that the shard's row is to be read.
    fenced: bool,
    /// Whether a task's row named a worker that the VM list lacks.
    unlisted_found: bool,
    /// Whether the table answered the last read or write of task rows.
    table_answers: bool,
    writes: Vec<QueuedWrite>,
    /// IDs of the tasks whose rows are to be read.
    reads: Vec<String>,
    effects: Vec<ShardEffect>,
    /// Leaving workers of this shard that are still to be announced to the peers.
    unannounced_leaving: Vec<VmIncarnation>,
    /// Completed moves of which the new holders are still to be notified.
    moved: Vec<MovedTask>,
    audit: AuditHandle,
    metrics: SchedulerMetrics,
    logger: Logger,
}

impl HeldShard {
    /// The state of a shard just acquired, with no workers and no tasks yet.
    pub fn new(
        params: HoldParams,
        settings: SchedulerSettings,
        audit: AuditHandle,
        metrics: SchedulerMetrics,
        logger: Logger,
    ) -> Self {
        let limits = QueueLimits {
            per_kind: usize::MAX,
            total: usize::MAX,
        };
        let policy = BatchPolicy::new(PolicyFeatures::default(), limits, params.seed);
        Self {
            params,
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
            capacities: Vec::new(),
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
            unannounced_leaving: Vec::new(),
            moved: Vec::new(),
            audit,
            metrics,
            logger,
        }
    }

    /// Sets what the shard's lease permits now. To be called before each call that decides.
    pub const fn set_grant(&mut self, grant: HoldGrant) {
        self.grant = grant;
    }

    /// The parameters that were given when the shard was acquired.
    pub const fn params(&self) -> &HoldParams {
        &self.params
    }

    /// Whether there is a sign of another holder, so that the shard's row must be read: a worker
    /// reported a higher epoch, or a condition on the shard's row failed. Resets the flag.
    pub const fn take_fenced(&mut self) -> bool {
        std::mem::replace(&mut self.fenced, false)
    }

    /// Takes the commands to send to workers.
    pub fn take_effects(&mut self) -> Vec<ShardEffect> {
        std::mem::take(&mut self.effects)
    }

    /// Takes the leaving workers that are to be announced to the peers.
    pub fn take_leaving(&mut self) -> Vec<VmIncarnation> {
        std::mem::take(&mut self.unannounced_leaving)
    }

    /// Takes the completed moves of which the new holders are to be notified.
    pub fn take_moved(&mut self) -> Vec<MovedTask> {
        std::mem::take(&mut self.moved)
    }

    /// The latest lease end sent to any worker; [`TimePoint::EPOCH`] if none was sent.
    pub fn last_lease_end(&self) -> TimePoint {
        self.workers.last_lease_end()
    }
}
