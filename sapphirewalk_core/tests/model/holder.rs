//! A scheduler process with its shard lease and the lifecycles of the shard's tasks.

use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::shard_lease::HolderName;
use sapphirewalk_core::shard_lease::LeaseStep;
use sapphirewalk_core::shard_lease::LeaseTiming;
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

/// A request of a scheduler to the table or to a worker.
#[derive(Clone, Debug)]
pub enum RequestBody {
    ReadShard,
    WriteShard(ShardWrite),
    /// Index of the task whose row is read.
    ReadTask(usize),
    /// Task, write, and the shard version on which the write depends.
    WriteTask(usize, TaskWrite, u64),
    /// Task, request, epoch, end of the worker's lease.
    Start(usize, StartRequest, u64, TimePoint),
    /// Worker, epoch, end of the worker's lease.
    Renew(WorkerKey, u64, TimePoint),
    /// Task, worker, attempt, epoch.
    Stop(usize, WorkerKey, u64, u64),
}

/// A request that is not yet answered.
#[derive(Clone, Debug)]
pub struct OpenRequest {
    pub id: u64,
    pub sent_at: TimePoint,
    pub body: RequestBody,
}

pub struct ModelHolder {
    pub lease: ShardLease,
    pub lifecycles: Vec<Option<TaskLifecycle>>,
    pub worker_leases: Vec<WorkerLease>,
    pub open_requests: Vec<OpenRequest>,
    pub paused: bool,
    /// How far the scheduler's clock is ahead of the simulated time; `drift_max` at most.
    pub clock_ahead_ms: u64,
    name: HolderName,
    timing: LeaseTiming,
    workers: usize,
}

impl ModelHolder {
    pub fn new(
        index: u32,
        process: u128,
        timing: LeaseTiming,
        tasks: usize,
        workers: usize,
    ) -> Self {
        let name = HolderName {
            vm: VmKey(index),
            incarnation: 1,
        };
        Self {
            lease: ShardLease::new(name, ProcessToken(process), timing),
            lifecycles: (0..tasks).map(|_| None).collect(),
            worker_leases: vec![WorkerLease::new(TimePoint::EPOCH); workers],
            open_requests: Vec::new(),
            paused: false,
            clock_ahead_ms: u64::from(index) * timing.drift_max.as_millis() / 2,
            name,
            timing,
            workers,
        }
    }

    /// Replaces the process by a new one with empty memory.
    pub fn crash(&mut self, process: u128) {
        self.lease = ShardLease::new(self.name, ProcessToken(process), self.timing);
        self.drop_lifecycles();
        self.open_requests.clear();
        self.paused = false;
    }

    pub fn awaits_shard(&self) -> bool {
        self.open_requests.iter().any(|request| {
            matches!(
                request.body,
                RequestBody::ReadShard | RequestBody::WriteShard(_)
            )
        })
    }

    pub fn awaits_task(&self, task: usize) -> bool {
        self.open_requests
            .iter()
            .any(|request| match &request.body {
                RequestBody::ReadTask(other)
                | RequestBody::WriteTask(other, ..)
                | RequestBody::Start(other, ..) => *other == task,
                _ => false,
            })
    }

    /// Applies a step of the shard lease and returns the requests to send.
    pub fn lease_request(&mut self, step: LeaseStep) -> Vec<RequestBody> {
        match step {
            LeaseStep::WaitUntil(_) => Vec::new(),
            LeaseStep::Read => vec![RequestBody::ReadShard],
            LeaseStep::Write(write) => vec![RequestBody::WriteShard(write)],
            LeaseStep::Activate => {
                let former = self.lease.former_until().expect("held");
                self.drop_lifecycles();
                self.worker_leases = vec![WorkerLease::new(former); self.workers];
                (0..self.lifecycles.len())
                    .map(RequestBody::ReadTask)
                    .collect()
            }
            LeaseStep::StepDown => {
                self.drop_lifecycles();
                Vec::new()
            }
        }
    }

    /// Applies a step of a task's lifecycle and returns the request to send. `None` if there is
    /// none, the shard isn't held, or the worker must not be queried yet.
    pub fn lifecycle_request(
        &mut self,
        task: usize,
        step: LifecycleStep,
        clock: TimePoint,
    ) -> Option<RequestBody> {
        match step {
            LifecycleStep::NoAction | LifecycleStep::Enqueue | LifecycleStep::Done(_) => None,
            LifecycleStep::StepDown => {
                self.lifecycles[task] = None;
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
        let (lifecycle, step) = TaskLifecycle::load(version, record);
        self.lifecycles[task] = Some(lifecycle);
        step
    }

    /// Drops all lifecycles and all open requests except those about the shard's row.
    fn drop_lifecycles(&mut self) {
        self.lifecycles
            .iter_mut()
            .for_each(|lifecycle| *lifecycle = None);
        self.open_requests.retain(|request| {
            matches!(
                request.body,
                RequestBody::ReadShard | RequestBody::WriteShard(_)
            )
        });
    }
}
