//! A scheduler process: a shard lease, and the lives of the shard's tasks.

use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::shard_lease::HolderName;
use sapphirewalk_core::shard_lease::LeaseRules;
use sapphirewalk_core::shard_lease::LeaseStep;
use sapphirewalk_core::shard_lease::ProcessToken;
use sapphirewalk_core::shard_lease::ShardLease;
use sapphirewalk_core::shard_lease::ShardWrite;
use sapphirewalk_core::task_lifecycle::LifecycleStep;
use sapphirewalk_core::task_lifecycle::StartRequest;
use sapphirewalk_core::task_lifecycle::TaskLifecycle;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::task_lifecycle::TaskWrite;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::worker_lease::WorkerLease;

/// What a scheduler sends.
#[derive(Clone, Debug)]
pub enum RequestBody {
    ReadShard,
    WriteShard(ShardWrite),
    ReadTask(usize),
    WriteTask(usize, TaskWrite, u64),
    Start(usize, StartRequest, u64, TimePoint),
    Renew(WorkerKey, u64, TimePoint),
    Stop(usize, WorkerKey, u64, u64),
}

/// A request whose answer the scheduler waits for.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    pub id: u64,
    pub sent_at: TimePoint,
    pub body: RequestBody,
}

pub struct ModelHolder {
    pub lease: ShardLease,
    pub lives: Vec<Option<TaskLifecycle>>,
    pub worker_leases: Vec<WorkerLease>,
    pub open: Vec<OpenRequest>,
    pub paused: bool,
    /// Added to true time.
    pub clock_ahead_ms: u64,
    name: HolderName,
    rules: LeaseRules,
    workers: usize,
}

impl ModelHolder {
    pub fn new(index: u32, process: u128, rules: LeaseRules, tasks: usize, workers: usize) -> Self {
        let name = HolderName {
            vm: VmKey(index),
            incarnation: 1,
        };
        Self {
            lease: ShardLease::new(name, ProcessToken(process), rules),
            lives: (0..tasks).map(|_| None).collect(),
            worker_leases: vec![WorkerLease::new(TimePoint::EPOCH); workers],
            open: Vec::new(),
            paused: false,
            clock_ahead_ms: u64::from(index) * rules.drift_max.as_millis() / 2,
            name,
            rules,
            workers,
        }
    }

    /// A new process with nothing in memory.
    pub fn crash(&mut self, process: u128) {
        self.lease = ShardLease::new(self.name, ProcessToken(process), self.rules);
        self.forget();
        self.open.clear();
        self.paused = false;
    }

    pub fn waits_for_shard(&self) -> bool {
        self.open.iter().any(|request| {
            matches!(
                request.body,
                RequestBody::ReadShard | RequestBody::WriteShard(_)
            )
        })
    }

    pub fn waits_for_task(&self, task: usize) -> bool {
        self.open.iter().any(|request| match &request.body {
            RequestBody::ReadTask(other)
            | RequestBody::WriteTask(other, ..)
            | RequestBody::Start(other, ..) => *other == task,
            _ => false,
        })
    }

    /// The request that a step about the shard calls for.
    pub fn lease_request(&mut self, step: LeaseStep) -> Vec<RequestBody> {
        match step {
            LeaseStep::WaitUntil(_) => Vec::new(),
            LeaseStep::Read => vec![RequestBody::ReadShard],
            LeaseStep::Write(write) => vec![RequestBody::WriteShard(write)],
            LeaseStep::Activate => {
                let former = self.lease.former_until().expect("held");
                self.forget();
                self.worker_leases = vec![WorkerLease::new(former); self.workers];
                (0..self.lives.len()).map(RequestBody::ReadTask).collect()
            }
            LeaseStep::StepDown => {
                self.forget();
                Vec::new()
            }
        }
    }

    /// The request that a step about a task calls for, if the scheduler may send it.
    pub fn life_request(
        &mut self,
        task: usize,
        step: LifecycleStep,
        clock: TimePoint,
    ) -> Option<RequestBody> {
        match step {
            LifecycleStep::NoAction | LifecycleStep::Enqueue | LifecycleStep::Done(_) => None,
            LifecycleStep::StepDown => {
                self.lives[task] = None;
                None
            }
            LifecycleStep::Read => Some(RequestBody::ReadTask(task)),
            LifecycleStep::Write(write) => {
                let shard_version = self.lease.write_condition()?;
                Some(RequestBody::WriteTask(task, write, shard_version))
            }
            LifecycleStep::Start(order) => {
                let epoch = self.lease.epoch()?;
                let until = self.lease.worker_lease_until(clock)?;
                self.worker_leases[order.worker.0 as usize].note_sent(until);
                Some(RequestBody::Start(task, order, epoch, until))
            }
            LifecycleStep::QueryWorker { worker, not_before } => {
                (clock >= not_before).then(|| self.renew_request(worker, clock))?
            }
            LifecycleStep::Evict { worker, attempt } | LifecycleStep::Stop { worker, attempt } => {
                let epoch = self.lease.epoch()?;
                Some(RequestBody::Stop(task, worker, attempt, epoch))
            }
        }
    }

    pub fn renew_request(&mut self, worker: WorkerKey, clock: TimePoint) -> Option<RequestBody> {
        let epoch = self.lease.epoch()?;
        let until = self.lease.worker_lease_until(clock)?;
        self.worker_leases[worker.0 as usize].note_sent(until);
        Some(RequestBody::Renew(worker, epoch, until))
    }

    pub fn load(&mut self, task: usize, version: u64, record: TaskRecord) -> LifecycleStep {
        let (life, step) = TaskLifecycle::load(version, record);
        self.lives[task] = Some(life);
        step
    }

    fn forget(&mut self) {
        self.lives.iter_mut().for_each(|life| *life = None);
        self.open.retain(|request| {
            matches!(
                request.body,
                RequestBody::ReadShard | RequestBody::WriteShard(_)
            )
        });
    }
}
