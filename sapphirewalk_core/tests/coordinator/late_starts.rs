//! Starts and acknowledgements that a leader sends after it was frozen.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::coordinator::RecoveryRecords;
use sapphirewalk_core::job_registry::JobProgress;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::fixture;
use crate::simulation;
use crate::simulation::ClusterSimulation;
use crate::simulation::FaultPlan;

const WORKERS: usize = 10;
const JOBS: u64 = 60;
const BORN_MS: u64 = 500_000;

/// A coordinator with two idle workers, and its time.
struct LeaderHarness {
    coordinator: JobCoordinator,
    now: TimePoint,
    /// Starts so far: worker and attempt.
    starts: Vec<(String, u32)>,
    /// Batches without a confirmation.
    batches: Vec<u64>,
    /// The last progress that was written.
    progress: Option<JobProgress>,
    confirms: bool,
}

impl LeaderHarness {
    fn new(fence: u64, now: TimePoint, progress: Option<JobProgress>) -> Self {
        let mut coordinator = JobCoordinator::new(fixture::limits(), fence, now);
        if let Some(progress) = progress {
            let records = RecoveryRecords {
                jobs: vec![job()],
                progress: vec![progress],
                ..RecoveryRecords::default()
            };
            coordinator.restore(records, now);
        }
        coordinator.set_workers(
            vec![fixture::listing(0, BORN_MS), fixture::listing(1, BORN_MS)],
            now,
        );
        Self {
            coordinator,
            now,
            starts: Vec::new(),
            batches: Vec::new(),
            progress: None,
            confirms: true,
        }
    }

    /// Lets time pass. Workers answer polls at once and list no runs.
    fn advance(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now = self.now + TimeSpan::from_millis(1);
            if self.confirms {
                for number in std::mem::take(&mut self.batches) {
                    self.coordinator.handle(Event::Committed(number), self.now);
                }
            }
            for effect in self.coordinator.run(self.now) {
                self.apply(effect);
            }
        }
    }

    fn apply(&mut self, effect: Effect) {
        match effect {
            Effect::Commit(batch) => {
                self.progress = batch.rows.last().cloned().or(self.progress.take());
                self.batches.push(batch.number);
            }
            Effect::Start { target, run, .. } => self.starts.push((target.id, run.attempt)),
            Effect::Poll { target, .. } => {
                let event = Event::Polled {
                    worker: target.worker,
                    deadline_ms: 0,
                    answer: PollAnswer::Lists {
                        clock_ms: self.now.as_millis() - BORN_MS,
                        born_ms: BORN_MS,
                        running: Vec::new(),
                        ended: Vec::new(),
                        complete: true,
                    },
                };
                self.coordinator.handle(event, self.now);
            }
            _ => {}
        }
    }
}

/// A job of one task.
fn job() -> JobRecord {
    JobRecord {
        id: JobId(1),
        queue: "bulk".to_owned(),
        pool: "pool".to_owned(),
        spec: JobSpec {
            spec: "text".to_owned(),
            steps: vec![simulation::step(1, 1_000, 10_000, &[])],
            schedule: None,
        },
        accepted_at: TimePoint::from_millis(1_000_000),
        terms: None,
    }
}

/// Guards against two runs of a task of which a frozen leader sends the first start while its
/// successor has placed the task again.
#[test]
fn a_successor_sends_the_start_that_its_predecessor_had_recorded() {
    let mut former = LeaderHarness::new(1, TimePoint::from_millis(1_000_000), None);
    former.advance(10);
    former.coordinator.handle(Event::Stored(job()), former.now);
    former.confirms = false;
    former.advance(50);
    assert_eq!(former.starts, []);
    let mut successor = LeaderHarness::new(2, former.now, former.progress.take());
    successor.advance(50);
    former.confirms = true;
    former.advance(1);
    assert_eq!(former.starts.len(), 1);
    assert_eq!(successor.starts, former.starts);
}

/// Guards against starts of a leader that reads a confirmation of the store so late that another one
/// may lead.
#[test]
fn a_start_whose_record_was_confirmed_long_ago_is_recorded_again() {
    let mut leader = LeaderHarness::new(1, TimePoint::from_millis(1_000_000), None);
    leader.advance(10);
    leader.coordinator.handle(Event::Stored(job()), leader.now);
    leader.confirms = false;
    leader.advance(50);
    let late = std::mem::take(&mut leader.batches);
    leader.now = leader.now + TimeSpan::from_millis(4_000);
    for number in late {
        leader
            .coordinator
            .handle(Event::Committed(number), leader.now);
    }
    leader.advance(100);
    assert_eq!(leader.starts, []);
    leader.confirms = true;
    leader.advance(100);
    assert_eq!(leader.starts.len(), 1);
}

/// Guards against two runs of a task after workers restart while a frozen leader is replaced.
#[test]
fn a_frozen_leader_starts_no_task_that_its_successor_has_started_elsewhere() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut plan = FaultPlan::default();
        for round in 0..4 {
            let from = 4_000 + round * 4_000 + rng.random_range(0..500);
            plan.freezes.push((from, from + 1_000));
            plan.takeovers.push(from + 500);
            for worker in 0..WORKERS {
                let crash = from + rng.random_range(600..800);
                let back = from + rng.random_range(820..990);
                plan.crashes.push((worker, crash, back));
            }
        }
        let mut simulation = ClusterSimulation::new(seed, WORKERS, plan);
        for id in 0..JOBS {
            let at = 1_000 + id * 300;
            let step = simulation::step(6, 1_500, rng.random_range(1_000..3_000), &[]);
            simulation.submit(at, id, "bulk", vec![step]);
        }
        simulation.run_until(40_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}

/// Guards against done tasks that run again because their workers restarted while the leader was
/// frozen, and discarded their ends with those of the former incarnation.
#[test]
fn ends_of_workers_that_restarted_during_a_freeze_are_recorded() {
    for seed in 0..60 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let mut plan = FaultPlan::default();
        for round in 0..3 {
            let from = 4_000 + round * 5_000 + rng.random_range(0..500);
            plan.freezes.push((from, from + 2_500));
            for worker in 0..WORKERS {
                let crash = from + rng.random_range(50..1_000);
                plan.crashes
                    .push((worker, crash, crash + rng.random_range(50..400)));
            }
        }
        let mut simulation = ClusterSimulation::new(seed, WORKERS, plan);
        for id in 0..JOBS {
            let at = 1_000 + id * 300;
            let step = simulation::step(6, 1_500, rng.random_range(100..900), &[]);
            simulation.submit(at, id, "bulk", vec![step]);
        }
        simulation.run_until(40_000);
        assert_eq!(simulation.violations, Vec::<String>::new(), "seed {seed}");
    }
}
