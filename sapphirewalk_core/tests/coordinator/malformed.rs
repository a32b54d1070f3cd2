//! Absurd answers and entries of workers, and absurd jobs, drawn from seeds, end no coordinator.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphirewalk_core::coordinator::CoordinatorLimits;
use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::ListedEnd;
use sapphirewalk_core::coordinator::ListedRun;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::OrderTarget;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::coordinator::RecoveryRecords;
use sapphirewalk_core::coordinator::RunEnd;
use sapphirewalk_core::domain_evacuation::EvacuationRequest;
use sapphirewalk_core::domain_evacuation::EvacuationView;
use sapphirewalk_core::image_interference::InterferenceModel;
use sapphirewalk_core::job_registry::JobEntry;
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_spec;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSchedule;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::job_spec::RunName;
use sapphirewalk_core::job_spec::TaskName;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_registry::WorkerListing;

use crate::simulation;

const START_MS: u64 = 1_000_000;
const WORKERS: u16 = 4;
const JOBS: u64 = 6;

/// Draws values that a worker of another version, or a broken one, might send.
struct AnswerGenerator {
    rng: ChaCha8Rng,
}

impl AnswerGenerator {
    fn number(&mut self) -> u64 {
        match self.rng.random_range(0..6) {
            0 => 0,
            1 => u64::MAX,
            2 => u64::MAX - self.rng.random_range(0..10_000),
            3 => i64::MAX as u64,
            4 => self.rng.random(),
            _ => self.rng.random_range(0..100_000),
        }
    }

    fn run(&mut self) -> RunName {
        let mut small = |limit| self.rng.random_range(0..limit);
        let task = TaskName {
            job: JobId(small(JOBS + 2)),
            occurrence: u32::try_from(small(2)).unwrap(),
            step: u16::try_from(small(4)).unwrap(),
            index: u16::try_from(small(12)).unwrap(),
        };
        let attempt = if small(3) == 0 { u32::MAX } else { 1 };
        RunName { task, attempt }
    }

    fn gauge(&mut self) -> Option<f64> {
        match self.rng.random_range(0..6) {
            0 => None,
            1 => Some(f64::NAN),
            2 => Some(f64::INFINITY),
            3 => Some(-1e300),
            _ => Some(self.rng.random_range(0.0..1e6)),
        }
    }

    fn lists(&mut self, placed: &[RunName]) -> PollAnswer {
        let mut running = Vec::new();
        let mut ended = Vec::new();
        for run in placed {
            if self.rng.random_bool(0.7) {
                running.push(self.listed(*run));
            }
        }
        for _ in 0..self.rng.random_range(0..4) {
            let run = self.run();
            running.push(self.listed(run));
            let run = self.run();
            let ends = [RunEnd::Done, RunEnd::Failed, RunEnd::Lapsed];
            ended.push(ListedEnd {
                number: self.number(),
                run,
                end: ends[self.rng.random_range(0..3)],
                checkpoint: "x".repeat(self.rng.random_range(0..100)),
            });
        }
        PollAnswer::Lists {
            clock_ms: self.number(),
            born_ms: self.number(),
            running,
            ended,
            complete: true,
        }
    }

    fn listed(&mut self, run: RunName) -> ListedRun {
        ListedRun {
            run,
            checkpoint: String::new(),
            percent: self.number() as u32,
            gauge: self.gauge(),
        }
    }

    fn order_answer(&mut self) -> OrderAnswer {
        match self.rng.random_range(0..6) {
            0 => OrderAnswer::Superseded,
            1 => OrderAnswer::Missing,
            2 => OrderAnswer::Malformed,
            _ => OrderAnswer::Accepted {
                clock_ms: self.number(),
            },
        }
    }

    /// The answer to an effect; `None` if it needs none.
    fn answer(&mut self, effect: Effect, placed: &mut Vec<RunName>) -> Option<Event> {
        match effect {
            Effect::Commit(batch) => Some(Event::Committed(batch.number)),
            Effect::Start { target, run, .. } => {
                placed.push(run);
                Some(Event::Started {
                    worker: target.worker,
                    fence: target.fence,
                    run,
                    answer: self.order_answer(),
                })
            }
            Effect::Stop { target, run } => Some(Event::Stopped {
                worker: target.worker,
                fence: target.fence,
                run,
                answer: self.order_answer(),
            }),
            Effect::Poll {
                target: OrderTarget { worker, .. },
                deadline_ms,
                ..
            } => Some(Event::Polled {
                worker,
                deadline_ms,
                answer: self.lists(placed),
            }),
            Effect::Pace {
                target,
                run,
                percent,
            } => Some(Event::Paced {
                worker: target.worker,
                fence: target.fence,
                run,
                percent,
                answer: self.order_answer(),
            }),
            Effect::DeleteRows(ids) => Some(Event::RowsDeleted(ids)),
            Effect::StepDown | Effect::Log(_) => None,
        }
    }
}

fn listing(number: u16) -> WorkerListing {
    WorkerListing {
        id: format!("w{number}"),
        pool: "pool".to_owned(),
        address: ([127, 0, 0, 1], 1_000 + number).into(),
        domain: "domain".to_owned(),
        rack: "r0".to_owned(),
        labels: Vec::new(),
        capacity: ResourceVector {
            cpu_millis: 16_000,
            memory_mib: 64_000,
            accelerators: 0,
        },
        draining: false,
        leaves_in: TimeSpan::ZERO,
        born_ms: 0,
    }
}

fn record(id: u64, now: TimePoint) -> JobRecord {
    let mut steps = vec![
        simulation::step(4, 1_000, 300, &[]),
        simulation::step(3, 500, 200, &[0]),
    ];
    steps[0].best_effort = id.is_multiple_of(3);
    steps[0].service = id % 3 == 1;
    steps[0].tail_target = TimeSpan::from_millis(20);
    JobRecord {
        id: JobId(id),
        queue: "bulk".to_owned(),
        pool: "pool".to_owned(),
        spec: JobSpec {
            spec: "text".to_owned(),
            steps,
            schedule: None,
        },
        accepted_at: now,
        terms: None,
    }
}

#[test]
fn absurd_answers_of_workers_end_no_coordinator() {
    for seed in 0..60 {
        let mut generator = AnswerGenerator {
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let limits = CoordinatorLimits {
            longest_lease: TimeSpan::from_millis(10_000),
            retention: TimeSpan::from_secs(120),
            harm_tolerance: TimeSpan::from_secs(4),
            service_lookahead: true,
            evacuation_bound: None,
            unavailability_notice: TimeSpan::from_millis(5_500),
            longest_row: 65_536,
        };
        let mut now = TimePoint::from_millis(START_MS);
        let mut coordinator = JobCoordinator::new(limits, 1, now);
        coordinator.set_workers((0..WORKERS).map(listing).collect(), now);
        for id in 0..JOBS {
            coordinator.handle(Event::Stored(record(id, now)), now);
        }
        let mut placed = Vec::new();
        for _ in 0..300 {
            now = now + TimeSpan::from_millis(20);
            let effects = coordinator.run(now);
            let events = effects
                .into_iter()
                .filter_map(|effect| generator.answer(effect, &mut placed));
            let events: Vec<Event> = events.collect();
            for event in events {
                coordinator.handle(event, now);
            }
        }
    }
}

/// A coordinator of the given fencing token without workers.
fn new_coordinator(fence: u64, now: TimePoint) -> JobCoordinator {
    let limits = CoordinatorLimits {
        longest_lease: TimeSpan::from_millis(10_000),
        retention: TimeSpan::from_secs(120),
        harm_tolerance: TimeSpan::from_secs(4),
        service_lookahead: true,
        evacuation_bound: None,
        unavailability_notice: TimeSpan::from_millis(5_500),
        longest_row: 65_536,
    };
    JobCoordinator::new(limits, fence, now)
}

/// A job that no entry VM accepts: its second step waits for one that doesn't exist.
fn invalid_record(id: u64, now: TimePoint) -> JobRecord {
    let mut invalid = record(id, now);
    invalid.spec.steps[1].after = vec![7];
    invalid
}

#[test]
fn an_invalid_stored_job_ends_neither_a_leader_nor_its_successors() {
    let now = TimePoint::from_millis(START_MS);
    let mut leader = new_coordinator(1, now);
    leader.set_workers((0..WORKERS).map(listing).collect(), now);
    leader.handle(Event::Stored(invalid_record(1, now)), now);
    leader.handle(Event::Stored(record(2, now)), now);
    leader.run(now);
    let mut successor = new_coordinator(2, now);
    successor.set_workers((0..WORKERS).map(listing).collect(), now);
    let records = RecoveryRecords {
        jobs: vec![invalid_record(1, now), record(2, now)],
        ..RecoveryRecords::default()
    };
    successor.restore(records, now);
    successor.run(now);
    for coordinator in [&leader, &successor] {
        assert_eq!(coordinator.committed_state(JobId(1)), None);
        assert_eq!(
            coordinator.committed_state(JobId(2)),
            Some(JobState::Queued)
        );
    }
}

/// Runs a coordinator for a while, with answers of workers that carry out all orders, except that
/// `absent` never answers. Runs never end by themselves; `runs` are those on workers.
fn run_answered(
    coordinator: &mut JobCoordinator,
    absent: &str,
    runs: &mut Vec<(String, RunName)>,
    now: &mut TimePoint,
    rounds: u32,
) {
    for _ in 0..rounds {
        *now = *now + TimeSpan::from_millis(20);
        let mut events = Vec::new();
        for effect in coordinator.run(*now) {
            let clock_ms = now.as_millis() - START_MS + 1;
            match effect {
                Effect::Commit(batch) => events.push(Event::Committed(batch.number)),
                Effect::Start { target, run, .. } => {
                    runs.push((target.id, run));
                    events.push(Event::Started {
                        worker: target.worker,
                        fence: target.fence,
                        run,
                        answer: OrderAnswer::Accepted { clock_ms },
                    });
                }
                Effect::Stop { target, run } => {
                    runs.retain(|(_, other)| *other != run);
                    events.push(Event::Stopped {
                        worker: target.worker,
                        fence: target.fence,
                        run,
                        answer: OrderAnswer::Accepted { clock_ms },
                    });
                }
                Effect::Poll {
                    target,
                    deadline_ms,
                    ..
                } => {
                    let own = runs.iter().filter(|(worker, _)| *worker == target.id);
                    let running = own.map(|(_, run)| ListedRun {
                        run: *run,
                        checkpoint: String::new(),
                        percent: u32::try_from(clock_ms / 100).unwrap(),
                        gauge: None,
                    });
                    let answer = if target.id == absent {
                        PollAnswer::Missing
                    } else {
                        PollAnswer::Lists {
                            clock_ms,
                            born_ms: 1,
                            running: running.collect(),
                            ended: Vec::new(),
                            complete: true,
                        }
                    };
                    events.push(Event::Polled {
                        worker: target.worker,
                        deadline_ms,
                        answer,
                    });
                }
                Effect::DeleteRows(ids) => events.push(Event::RowsDeleted(ids)),
                Effect::Pace { .. } | Effect::StepDown | Effect::Log(_) => {}
            }
        }
        for event in events {
            coordinator.handle(event, *now);
        }
    }
}

/// The entry of a worker with room for everything, which answers nothing.
fn endless_listing() -> WorkerListing {
    WorkerListing {
        capacity: ResourceVector {
            cpu_millis: u64::MAX,
            memory_mib: u64::MAX,
            accelerators: u64::MAX,
        },
        domain: "elsewhere".to_owned(),
        ..listing(99)
    }
}

/// A job with one step of long tasks of one core each.
fn wide_record(id: u64, count: u16, best_effort: bool, now: TimePoint) -> JobRecord {
    let mut step = simulation::step(count, 1_000, 600_000, &[]);
    step.best_effort = best_effort;
    JobRecord {
        spec: JobSpec {
            spec: "text".to_owned(),
            steps: vec![step],
            schedule: None,
        },
        ..record(id, now)
    }
}

/// Guards against best-effort work that is squeezed onto full workers, because a worker that has
/// never answered makes its pool look empty.
#[test]
fn a_worker_that_never_answered_draws_no_tasks_and_is_no_free_room() {
    let mut now = TimePoint::from_millis(START_MS);
    let mut coordinator = new_coordinator(1, now);
    let mut listings: Vec<WorkerListing> = (0..WORKERS).map(listing).collect();
    listings.push(endless_listing());
    coordinator.set_workers(listings, now);
    let cores = WORKERS * 16;
    coordinator.handle(Event::Stored(wide_record(1, cores, false, now)), now);
    let mut runs = Vec::new();
    run_answered(&mut coordinator, "w99", &mut runs, &mut now, 200);
    assert_eq!(runs.len(), usize::from(cores));
    assert!(runs.iter().all(|(worker, _)| worker != "w99"));
    coordinator.handle(Event::Stored(wide_record(2, 1, true, now)), now);
    run_answered(&mut coordinator, "w99", &mut runs, &mut now, 200);
    assert_eq!(runs.len(), usize::from(cores));
}

/// Guards against jobs that are accepted while no worker may run them.
#[test]
fn a_worker_that_never_answered_is_no_domain_left_to_run_in() {
    let mut now = TimePoint::from_millis(START_MS);
    let mut coordinator = new_coordinator(1, now);
    let mut listings: Vec<WorkerListing> = (0..WORKERS).map(listing).collect();
    listings.push(endless_listing());
    coordinator.set_workers(listings, now);
    run_answered(&mut coordinator, "w99", &mut Vec::new(), &mut now, 100);
    let request = EvacuationRequest {
        domain: "domain".to_owned(),
        version: 1,
        seen_at: now,
    };
    let view = EvacuationView {
        requests: vec![request],
        read_at: now,
    };
    coordinator.set_evacuations(&view, now);
    assert!(coordinator.is_wholly_evacuated());
}

#[test]
fn absurd_jobs_and_entries_end_no_coordinator() {
    for seed in 0..60 {
        let mut generator = AnswerGenerator {
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let mut now = TimePoint::from_millis(START_MS);
        let mut coordinator = new_coordinator(1, now);
        let jobs: Vec<JobRecord> = (0..8).map(|id| absurd_record(&mut generator, id)).collect();
        for job in &jobs {
            coordinator.handle(Event::Stored(job.clone()), now);
        }
        let mut runs = Vec::new();
        for _ in 0..10 {
            let mut listings: Vec<WorkerListing> = (0..WORKERS).map(listing).collect();
            for listing in &mut listings[1..] {
                listing.capacity = ResourceVector {
                    cpu_millis: generator.number(),
                    memory_mib: generator.number(),
                    accelerators: generator.number(),
                };
                listing.draining = generator.number() == 0;
                listing.leaves_in = TimeSpan::from_millis(generator.number());
                listing.born_ms = generator.number();
            }
            coordinator.set_workers(listings, now);
            run_answered(&mut coordinator, "", &mut runs, &mut now, 20);
        }
        let mut successor = new_coordinator(2, now);
        let records = RecoveryRecords {
            jobs,
            ..RecoveryRecords::default()
        };
        successor.restore(records, now);
        successor.set_workers((0..WORKERS).map(listing).collect(), now);
        run_answered(&mut successor, "", &mut runs, &mut now, 20);
    }
}

/// A job with the largest and random numbers.
fn absurd_record(generator: &mut AnswerGenerator, id: u64) -> JobRecord {
    let mut absurd = record(id, TimePoint::from_millis(generator.number()));
    for step in &mut absurd.spec.steps {
        step.demand = ResourceVector {
            cpu_millis: generator.number(),
            memory_mib: generator.number() % 100_000,
            accelerators: 0,
        };
        step.estimate = TimeSpan::from_millis(generator.number());
        step.tail_target = TimeSpan::from_millis(generator.number());
    }
    if id.is_multiple_of(4) {
        absurd.spec.schedule = Some(JobSchedule {
            first_at: TimePoint::from_millis(generator.number()),
            interval: TimeSpan::from_millis(generator.number()),
            occurrences: 3,
        });
    }
    absurd
}

/// Guards against a schedule that takes all memory of the leader, and of each successor.
#[test]
fn occurrences_in_progress_are_bounded_however_many_are_due() {
    let now = TimePoint::from_millis(START_MS);
    let mut due_at_once = record(1, now);
    due_at_once.spec.schedule = Some(JobSchedule {
        first_at: TimePoint::EPOCH,
        interval: TimeSpan::ZERO,
        occurrences: 20_000,
    });
    let mut images = InterferenceModel::default();
    let mut job = JobEntry::new(due_at_once, now, |name| images.intern(name));
    let mut begun = 0;
    while begun < 20_000 {
        job.begin_due(now);
        let tasks: usize = job.occurrences.iter().map(|entry| entry.tasks.len()).sum();
        assert!(tasks <= job_spec::MAX_TASKS as usize, "{tasks} tasks");
        assert!(!job.occurrences.is_empty());
        begun += job.occurrences.len();
        for entry in &mut job.occurrences {
            entry.remaining_tasks.fill(0);
        }
        assert_eq!(job.drop_done_occurrences(), begun == 20_000);
    }
}
