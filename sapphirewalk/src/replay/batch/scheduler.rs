//! What schedules the tasks of a replay: the product's decisions, or a plain baseline.

use sapphirewalk_core::batch_policy::AttemptEnd;
use sapphirewalk_core::batch_policy::AttemptUsage;
use sapphirewalk_core::batch_policy::BatchPolicy;
use sapphirewalk_core::batch_policy::EndedAttempt;
use sapphirewalk_core::batch_policy::PolicyFeatures;
use sapphirewalk_core::batch_policy::QueueDecision;
use sapphirewalk_core::eviction::PreemptionStep;
use sapphirewalk_core::key::ArenaKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::task_failure::RetryDecision;
use sapphirewalk_core::task_queue::PendingTask;
use sapphirewalk_core::task_queue::QueueLimits;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_pool::WorkerStatus;

use crate::replay::batch::baseline::FirstComeQueue;
use crate::replay::batch::fleet::FleetEnd;
use crate::replay::batch::trace::BatchTrace;
use crate::replay::batch::trace::TraceTask;

/// Pending tasks that the queue takes.
const QUEUE_LIMITS: QueueLimits = QueueLimits {
    per_kind: 20_000,
    total: 50_000,
};

/// What a scheduler tells the workers, and the replay.
#[derive(Clone, Copy, Debug)]
pub enum FleetCommand {
    /// Start an attempt.
    Start {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// What it may use.
        granted: ResourceVector,
    },
    /// Take a checkpoint and stop.
    Evict {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
    },
    /// Limit the processor time.
    Throttle {
        /// The worker.
        worker: WorkerKey,
        /// The task.
        task: TaskKey,
        /// Thousandths of what was granted.
        cpu_permille: u32,
    },
    /// The task was given up.
    Park {
        /// The task.
        task: TaskKey,
    },
}

/// What schedules the tasks.
#[derive(Debug)]
pub enum TaskScheduler<'a> {
    /// The product's decisions.
    Policy(Box<PolicyDriver<'a>>),
    /// First come, first served.
    FirstCome(FirstComeQueue<'a>),
}

/// Drives the product's decisions.
#[derive(Debug)]
pub struct PolicyDriver<'a> {
    trace: &'a BatchTrace,
    policy: BatchPolicy,
    tasks: Vec<DrivenTask>,
}

#[derive(Clone, Debug, Default)]
struct DrivenTask {
    attempt: u64,
    evictions: u32,
    memory_floor_mib: u64,
    granted: ResourceVector,
    cancelled: bool,
}

impl TaskScheduler<'_> {
    /// A task arrives.
    pub fn submit(&mut self, task: TaskKey, traced: &TraceTask) {
        match self {
            Self::Policy(driver) => driver.submit(task, traced),
            Self::FirstCome(queue) => queue.submit(task, traced),
        }
    }

    /// Tasks are cancelled; returns those that wait no more.
    pub fn cancel(&mut self, tasks: &[TaskKey]) -> Vec<TaskKey> {
        match self {
            Self::Policy(driver) => driver.cancel(tasks),
            Self::FirstCome(queue) => queue.cancel(tasks),
        }
    }

    /// An attempt ended; returns whether its task was given up.
    pub fn ended(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        end: FleetEnd,
        now: TimePoint,
    ) -> Option<FleetCommand> {
        match self {
            Self::Policy(driver) => driver.ended(worker, task, end, now),
            Self::FirstCome(queue) => queue.ended(worker, task, end),
        }
    }

    /// A measurement arrived.
    pub fn usage(&mut self, usage: AttemptUsage, now: TimePoint) -> Vec<FleetCommand> {
        match self {
            Self::Policy(driver) => driver.usage(usage, now),
            Self::FirstCome(_) => Vec::new(),
        }
    }

    /// An attempt took a checkpoint.
    pub fn checkpoint(&mut self, worker: WorkerKey, task: TaskKey, now: TimePoint) {
        match self {
            Self::Policy(driver) => driver.policy.on_checkpoint(worker, task, now),
            Self::FirstCome(_) => {}
        }
    }

    /// A worker is gone.
    pub fn worker_gone(&mut self, worker: WorkerKey) {
        match self {
            Self::Policy(driver) => driver.policy.set_worker(worker, WorkerStatus::Gone),
            Self::FirstCome(queue) => queue.worker_gone(worker),
        }
    }

    /// Decides what starts now.
    pub fn decide(&mut self, now: TimePoint) -> Vec<FleetCommand> {
        match self {
            Self::Policy(driver) => driver.decide(now),
            Self::FirstCome(queue) => queue.decide(),
        }
    }

    /// Workers that get no tasks because of failures.
    pub fn quarantined(&self) -> Vec<WorkerKey> {
        match self {
            Self::Policy(driver) => driver.quarantined(),
            Self::FirstCome(_) => Vec::new(),
        }
    }
}

impl<'a> PolicyDriver<'a> {
    /// Decisions with the given parts in use, whose samples follow from `seed`.
    pub fn new(trace: &'a BatchTrace, parts: PolicyFeatures, seed: u64) -> Self {
        let mut policy = BatchPolicy::new(parts, QUEUE_LIMITS, seed);
        for entry in &trace.kinds {
            policy.set_kind(entry.kind, entry.share);
        }
        for entry in &trace.teams {
            policy.set_team(entry.team, entry.limit);
        }
        for profile in &trace.workers {
            policy.add_worker(*profile);
        }
        Self {
            trace,
            policy,
            tasks: vec![DrivenTask::default(); trace.tasks.len()],
        }
    }

    fn submit(&mut self, task: TaskKey, traced: &TraceTask) {
        let pending = pending_task(task, traced, &self.tasks[task.index()]);
        self.policy.submit(pending);
    }

    fn cancel(&mut self, tasks: &[TaskKey]) -> Vec<TaskKey> {
        for task in tasks {
            self.tasks[task.index()].cancelled = true;
        }
        self.policy.cancel(tasks.to_vec()).cancelled
    }

    fn ended(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        end: FleetEnd,
        now: TimePoint,
    ) -> Option<FleetCommand> {
        let traced = &self.trace.tasks[task.index()];
        let driven = &self.tasks[task.index()];
        let actual = traced.actual;
        let granted = driven.granted;
        let ended = EndedAttempt {
            worker,
            task,
            attempt: driven.attempt,
            end: attempt_end(end, driven.cancelled),
            peak: ResourceVector {
                cpu_millis: actual.cpu_millis.min(granted.cpu_millis),
                memory_mib: actual.memory_mib.min(granted.memory_mib),
                accelerators: actual.accelerators,
            },
            run_time: Some(traced.actual_run),
        };
        let verdict = self.policy.on_end(ended, now);
        let driven = &mut self.tasks[task.index()];
        match verdict {
            Some(RetryDecision::Park(_)) => return Some(FleetCommand::Park { task }),
            Some(RetryDecision::Retry { memory_floor_mib }) => {
                driven.memory_floor_mib = memory_floor_mib;
            }
            None => driven.evictions += u32::from(end == FleetEnd::Stopped),
        }
        if end != FleetEnd::Finished && !driven.cancelled {
            self.policy.restore(pending_task(task, traced, driven));
        }
        None
    }

    fn usage(&mut self, usage: AttemptUsage, now: TimePoint) -> Vec<FleetCommand> {
        let step = self.policy.on_usage(usage, now);
        self.relieve(&[step], now)
    }

    fn decide(&mut self, now: TimePoint) -> Vec<FleetCommand> {
        self.policy.on_tick(now);
        let mut commands = Vec::new();
        loop {
            match self.policy.decide_next(now) {
                QueueDecision::Start {
                    pending,
                    worker,
                    granted,
                } => {
                    let driven = &mut self.tasks[pending.task.index()];
                    driven.attempt += 1;
                    driven.granted = granted;
                    commands.push(FleetCommand::Start {
                        worker,
                        task: pending.task,
                        granted,
                    });
                }
                QueueDecision::Park { pending, .. } => {
                    commands.push(FleetCommand::Park { task: pending.task });
                }
                QueueDecision::Preempt(steps) => commands.extend(self.relieve(&steps, now)),
                QueueDecision::Idle => return commands,
            }
        }
    }

    fn relieve(&mut self, steps: &[PreemptionStep], now: TimePoint) -> Vec<FleetCommand> {
        let mut commands = Vec::new();
        for step in steps {
            match *step {
                PreemptionStep::NoAction => {}
                PreemptionStep::Throttle {
                    worker,
                    task,
                    cpu_permille,
                } => {
                    self.policy.on_throttled(worker, task, cpu_permille, now);
                    commands.push(FleetCommand::Throttle {
                        worker,
                        task,
                        cpu_permille,
                    });
                }
                PreemptionStep::Evict { worker, task, .. } => {
                    commands.push(FleetCommand::Evict { worker, task });
                }
            }
        }
        commands
    }

    fn quarantined(&self) -> Vec<WorkerKey> {
        let pool = self.policy.pool();
        pool.keys()
            .filter(|worker| {
                matches!(
                    pool.worker(*worker).status(),
                    WorkerStatus::Quarantined | WorkerStatus::Probing
                )
            })
            .collect()
    }
}

const fn attempt_end(end: FleetEnd, cancelled: bool) -> AttemptEnd {
    match end {
        FleetEnd::Finished => AttemptEnd::Finished,
        FleetEnd::Failed(kind) => AttemptEnd::Failed(kind),
        FleetEnd::Stopped if cancelled => AttemptEnd::Cancelled,
        FleetEnd::Stopped | FleetEnd::WorkerGone => AttemptEnd::Stopped,
    }
}

const fn pending_task(task: TaskKey, traced: &TraceTask, driven: &DrivenTask) -> PendingTask {
    PendingTask {
        task,
        kind: traced.kind,
        team: traced.team,
        declared: traced.declared,
        declared_run_time: traced.declared_run,
        memory_floor_mib: driven.memory_floor_mib,
        submitted_at: traced.at,
        attempt: driven.attempt,
        evictions: driven.evictions,
    }
}
