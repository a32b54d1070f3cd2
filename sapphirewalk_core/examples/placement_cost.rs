//! Prints the time of one placement decision and the memory per worker and per queued task, for
//! worker pools of increasing size. Run it with `--release`.

use std::hint;
use std::time;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use sapphirewalk_core::batch_policy::AttemptEnd;
use sapphirewalk_core::batch_policy::BatchPolicy;
use sapphirewalk_core::batch_policy::EndedAttempt;
use sapphirewalk_core::batch_policy::PolicyFeatures;
use sapphirewalk_core::batch_policy::QueueDecision;
use sapphirewalk_core::key::DomainKey;
use sapphirewalk_core::key::KindKey;
use sapphirewalk_core::key::RackKey;
use sapphirewalk_core::key::TaskKey;
use sapphirewalk_core::key::TeamKey;
use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::quota_share::QuotaAmount;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::share_ledger::KindShare;
use sapphirewalk_core::task_queue::PendingTask;
use sapphirewalk_core::task_queue::QueueLimits;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::urgency::TaskUrgency;
use sapphirewalk_core::worker_pool::WorkerProfile;

/// Number of workers in each pool.
const POOL_SIZES: [u32; 4] = [50, 200, 950, 4_000];
/// Running tasks per worker when the timing starts.
const TASKS_PER_WORKER: u32 = 19;
/// Queued tasks per worker when the timing starts.
const WAITING_PER_WORKER: u32 = 5;
const KINDS: u32 = 12;
/// Teams with quotas.
const TEAMS: u32 = 180;
/// Decisions timed for each pool.
const DECISIONS: u32 = 20_000;
/// Interval between task starts at peak load.
const START_INTERVAL: TimeSpan = TimeSpan::from_micros(6_667);

struct RunningTask {
    pending: PendingTask,
    worker: WorkerKey,
}

struct CostBench {
    policy: BatchPolicy,
    rng: ChaCha8Rng,
    running: Vec<RunningTask>,
    next_task: u32,
    now: TimePoint,
}

impl CostBench {
    fn new(workers: u32) -> Self {
        let limits = QueueLimits {
            per_kind: usize::MAX,
            total: usize::MAX,
        };
        let mut policy = BatchPolicy::new(PolicyFeatures::default(), limits, 1);
        for kind in 0..KINDS {
            let share = KindShare {
                floor_permille: 40,
                urgency: TaskUrgency::Batch,
                ..KindShare::default()
            };
            policy.set_kind(KindKey(kind), share);
        }
        for team in 0..TEAMS {
            let limit = QuotaAmount {
                cpu_millis: u64::MAX / 4,
                tasks: u64::MAX / 4,
            };
            policy.set_team(TeamKey(team), limit);
        }
        for worker in 0..workers {
            policy.add_worker(WorkerProfile {
                capacity: ResourceVector {
                    cpu_millis: 64_000,
                    memory_mib: 256_000,
                    accelerators: u64::from(worker % 3 == 0) * 4,
                },
                rack: RackKey(worker / 8),
                domain: DomainKey(worker / 8 % 4),
            });
        }
        Self {
            policy,
            rng: ChaCha8Rng::seed_from_u64(7),
            running: Vec::new(),
            next_task: 0,
            now: TimePoint::from_millis(1),
        }
    }

    fn submit(&mut self) {
        let cores = 1 + u64::from(self.rng.next_u32() % 5);
        self.policy.submit(PendingTask {
            task: TaskKey(self.next_task),
            kind: KindKey(self.rng.next_u32() % KINDS),
            team: TeamKey(self.rng.next_u32() % TEAMS),
            declared: ResourceVector {
                cpu_millis: cores * 1_000,
                memory_mib: cores * 4_000,
                accelerators: 0,
            },
            declared_run_time: TimeSpan::from_secs(600),
            memory_floor_mib: 0,
            submitted_at: self.now,
            attempt: 0,
            evictions: 0,
        });
        self.next_task += 1;
    }

    /// Makes one decision; returns `false` if the policy is idle.
    fn decide(&mut self) -> bool {
        match hint::black_box(self.policy.decide_next(self.now)) {
            QueueDecision::Start {
                pending, worker, ..
            } => {
                self.running.push(RunningTask { pending, worker });
                true
            }
            QueueDecision::Park { .. } | QueueDecision::Preempt(_) => true,
            QueueDecision::Idle => false,
        }
    }

    fn end_random_task(&mut self) {
        let position = self.rng.next_u32() as usize % self.running.len();
        let ended = self.running.swap_remove(position);
        self.policy.on_end(
            EndedAttempt {
                worker: ended.worker,
                task: ended.pending.task,
                attempt: ended.pending.attempt + 1,
                end: AttemptEnd::Finished,
                peak: peak_usage(&ended.pending),
                run_time: Some(TimeSpan::from_secs(600)),
            },
            self.now,
        );
    }

    fn start_tasks(&mut self, tasks: u32) {
        while self.running.len() < tasks as usize {
            self.submit();
            if !self.decide() {
                return;
            }
        }
    }
}

/// Peak usage of a task: seven eighths of its declared size.
const fn peak_usage(pending: &PendingTask) -> ResourceVector {
    let declared = pending.declared;
    ResourceVector {
        cpu_millis: declared.cpu_millis * 7 / 8,
        memory_mib: declared.memory_mib * 7 / 8,
        accelerators: declared.accelerators,
    }
}

fn measure(workers: u32) {
    let mut bench = CostBench::new(workers);
    bench.start_tasks(workers * TASKS_PER_WORKER);
    for _ in 0..workers * WAITING_PER_WORKER {
        bench.submit();
    }
    let mut elapsed = time::Duration::ZERO;
    for _ in 0..DECISIONS {
        bench.now = bench.now + START_INTERVAL;
        bench.end_random_task();
        bench.submit();
        let started_at = time::Instant::now();
        bench.decide();
        elapsed += started_at.elapsed();
    }
    let queue = bench.policy.queue();
    println!(
        "workers={workers} running={} waiting={} ns_per_decision={} bytes_per_worker={} bytes_per_waiting_task={}",
        bench.running.len(),
        queue.len(),
        elapsed.as_nanos() / u128::from(DECISIONS),
        (bench.policy.memory_bytes() - queue.memory_bytes()) / workers as usize,
        queue.memory_bytes() / queue.len().max(1),
    );
}

fn main() {
    for workers in POOL_SIZES {
        measure(workers);
    }
}
