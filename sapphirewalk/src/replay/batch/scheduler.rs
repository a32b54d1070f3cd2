//! Schedulers under replay: the scheduler's batch policy, or the first-come baseline.

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
use crate::replay::batch::fleet::SimulatedEnd;
use crate::replay::batch::trace::BatchTrace;
use crate::replay::batch::trace::TraceTask;

/// The most pending tasks that the policy's queue accepts.
const QUEUE_LIMITS: QueueLimits = QueueLimits {
    per_kind: 20_000,
    total: 50_000,
};

/// A command of a scheduler to the simulated workers and the replay.
#[derive(Clone, Copy, Debug)]
pub enum FleetCommand {
    /// Start an attempt.
    Start {
        /// The worker on which the attempt starts.
        worker: WorkerKey,
        /// The task to start.
        task: TaskKey,
        /// The resource limits of the attempt.
        granted: ResourceVector,
    },
    /// Take a checkpoint of an attempt and stop it.
    Evict {
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The task that the attempt belongs to.
        task: TaskKey,
    },
    /// Limit an attempt's processor time, or lift the limit.
    Throttle {
        /// The worker that runs the attempt.
        worker: WorkerKey,
        /// The task that the attempt belongs to.
        task: TaskKey,
        /// The limit in thousandths of the granted processor time; 1,000 lifts it.
        cpu_permille: u32,
    },
    /// Record that the task is never started again.
    Park {
        /// The task that left the queue.
        task: TaskKey,
    },
}

/// The scheduler of a run.
#[derive(Debug)]
pub enum TaskScheduler<'a> {
    /// The batch policy of the real scheduler.
    Policy(Box<PolicyDriver<'a>>),
    /// The baseline: first come, first served.
    FirstCome(FirstComeQueue<'a>),
}

/// Feeds the events of a replay to the batch policy and turns its decisions into commands.
#[derive(Debug)]
pub struct PolicyDriver<'a> {
    trace: &'a BatchTrace,
    policy: BatchPolicy,
    /// Indexed by task.
    tasks: Vec<TaskState>,
}

#[derive(Clone, Debug, Default)]
struct TaskState {
    /// Number of the last attempt started; 0 before the first.
    attempt: u64,
    evictions: u32,
    /// Least memory of the next attempt; 0 unless an attempt ran out of memory.
    memory_floor_mib: u64,
    /// Resource limits of the last attempt.
    granted: ResourceVector,
    cancelled: bool,
}

impl TaskScheduler<'_> {
    /// Adds a task to the queue.
    pub fn submit(&mut self, task: TaskKey, traced: &TraceTask) {
        match self {
            Self::Policy(driver) => driver.submit(task, traced),
            Self::FirstCome(queue) => queue.submit(task, traced),
        }
    }

    /// Cancels tasks and returns those removed from the queue; running ones are not stopped.
    pub fn cancel(&mut self, tasks: &[TaskKey]) -> Vec<TaskKey> {
        match self {
            Self::Policy(driver) => driver.cancel(tasks),
            Self::FirstCome(queue) => queue.cancel(tasks),
        }
    }

    /// Handles the end of an attempt; returns [`FleetCommand::Park`] if its task is parked.
    pub fn on_end(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        end: SimulatedEnd,
        now: TimePoint,
    ) -> Option<FleetCommand> {
        match self {
            Self::Policy(driver) => driver.on_end(worker, task, end, now),
            Self::FirstCome(queue) => queue.on_end(worker, task, end),
        }
    }

    /// Handles a measurement of an attempt and returns the throttles or evictions that it causes.
    ///
    /// The baseline ignores it.
    pub fn on_usage(&mut self, usage: AttemptUsage, now: TimePoint) -> Vec<FleetCommand> {
        match self {
            Self::Policy(driver) => driver.on_usage(usage, now),
            Self::FirstCome(_) => Vec::new(),
        }
    }

    /// Handles a checkpoint of an attempt; the baseline ignores it.
    pub fn on_checkpoint(&mut self, worker: WorkerKey, task: TaskKey, now: TimePoint) {
        match self {
            Self::Policy(driver) => driver.policy.on_checkpoint(worker, task, now),
            Self::FirstCome(_) => {}
        }
    }

    /// Removes a worker that is lost for good; `on_end` is called for each of its attempts before.
    pub fn remove_worker(&mut self, worker: WorkerKey) {
        match self {
            Self::Policy(driver) => driver.policy.set_worker(worker, WorkerStatus::Gone),
            Self::FirstCome(queue) => queue.remove_worker(worker),
        }
    }

    /// Returns the commands for the attempts to start, evict or throttle now.
    pub fn decide(&mut self, now: TimePoint) -> Vec<FleetCommand> {
        match self {
            Self::Policy(driver) => driver.decide(now),
            Self::FirstCome(queue) => queue.decide(),
        }
    }

    /// Workers in quarantine or probed after it; none for the baseline.
    pub fn quarantined(&self) -> Vec<WorkerKey> {
        match self {
            Self::Policy(driver) => driver.quarantined(),
            Self::FirstCome(_) => Vec::new(),
        }
    }
}

impl<'a> PolicyDriver<'a> {
    /// Creates a policy with the kinds, teams and workers of `trace`.
    ///
    /// `seed` fixes the policy's random samples.
    pub fn new(trace: &'a BatchTrace, features: PolicyFeatures, seed: u64) -> Self {
        let mut policy = BatchPolicy::new(features, QUEUE_LIMITS, seed);
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
            tasks: vec![TaskState::default(); trace.tasks.len()],
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

    fn on_end(
        &mut self,
        worker: WorkerKey,
        task: TaskKey,
        end: SimulatedEnd,
        now: TimePoint,
    ) -> Option<FleetCommand> {
        let traced = &self.trace.tasks[task.index()];
        let state = &self.tasks[task.index()];
        let actual = traced.actual;
        let granted = state.granted;
        let ended = EndedAttempt {
            worker,
            task,
            attempt: state.attempt,
            end: attempt_end(end, state.cancelled),
            peak: ResourceVector {
                cpu_millis: actual.cpu_millis.min(granted.cpu_millis),
                memory_mib: actual.memory_mib.min(granted.memory_mib),
                accelerators: actual.accelerators,
            },
            run_time: Some(traced.actual_run),
        };
        let decision = self.policy.on_end(ended, now);
        let state = &mut self.tasks[task.index()];
        match decision {
            Some(RetryDecision::Park(_)) => return Some(FleetCommand::Park { task }),
            Some(RetryDecision::Retry { memory_floor_mib }) => {
                state.memory_floor_mib = memory_floor_mib;
            }
            None => state.evictions += u32::from(end == SimulatedEnd::Stopped),
        }
        if end != SimulatedEnd::Finished && !state.cancelled {
            self.policy.restore(pending_task(task, traced, state));
        }
        None
    }

    fn on_usage(&mut self, usage: AttemptUsage, now: TimePoint) -> Vec<FleetCommand> {
        let step = self.policy.on_usage(usage, now);
        self.apply_steps(&[step], now)
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
                    let state = &mut self.tasks[pending.task.index()];
                    state.attempt += 1;
                    state.granted = granted;
                    commands.push(FleetCommand::Start {
                        worker,
                        task: pending.task,
                        granted,
                    });
                }
                QueueDecision::Park { pending, .. } => {
                    commands.push(FleetCommand::Park { task: pending.task });
                }
                QueueDecision::Preempt(steps) => commands.extend(self.apply_steps(&steps, now)),
                QueueDecision::Idle => return commands,
            }
        }
    }

    /// Turns preemption steps into commands and records throttles in the policy.
    fn apply_steps(&mut self, steps: &[PreemptionStep], now: TimePoint) -> Vec<FleetCommand> {
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

const fn attempt_end(end: SimulatedEnd, cancelled: bool) -> AttemptEnd {
    match end {
        SimulatedEnd::Finished => AttemptEnd::Finished,
        SimulatedEnd::Failed(kind) => AttemptEnd::Failed(kind),
        SimulatedEnd::Stopped if cancelled => AttemptEnd::Cancelled,
        SimulatedEnd::Stopped | SimulatedEnd::WorkerGone => AttemptEnd::Stopped,
    }
}

const fn pending_task(task: TaskKey, traced: &TraceTask, state: &TaskState) -> PendingTask {
    PendingTask {
        task,
        kind: traced.kind,
        team: traced.team,
        declared: traced.declared,
        declared_run_time: traced.declared_run,
        memory_floor_mib: state.memory_floor_mib,
        submitted_at: traced.submitted_at,
        attempt: state.attempt,
        evictions: state.evictions,
    }
}
