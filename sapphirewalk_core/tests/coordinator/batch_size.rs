//! Batches and rows that would be longer than the store takes.

use sapphirewalk_core::coordinator::CommitBatch;
use sapphirewalk_core::coordinator::DecisionLevel;
use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::ListedEnd;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::coordinator::RecoveryRecords;
use sapphirewalk_core::coordinator::RunEnd;
use sapphirewalk_core::coordinator::SilentWorker;
use sapphirewalk_core::image_interference::LearnedImage;
use sapphirewalk_core::job_registry::JobProgress;
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_registry::TaskProgress;
use sapphirewalk_core::job_registry::WorkerIncarnation;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::job_spec::RunName;
use sapphirewalk_core::job_spec::TaskName;
use sapphirewalk_core::progress_row;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::fixture;
use crate::simulation;

/// Limits of the store.
const CALL_BYTES: usize = 1_000_000;
const ROW_BYTES: usize = 65_536;
/// Time between two steps of a trial.
const STEP: TimeSpan = TimeSpan::from_millis(10);
const BORN_MS: u64 = 5;

/// A successor that has restored jobs with runs on one worker, which answers its polls.
struct RestoredLeader {
    coordinator: JobCoordinator,
    now: TimePoint,
    /// Ends that the worker lists until they are acknowledged.
    ends: Vec<ListedEnd>,
    /// Highest end that was acknowledged.
    acked: u64,
    batches: Vec<CommitBatch>,
    /// Job whose rows the store refuses, whatever they hold.
    refused_job: Option<JobId>,
    /// Whether the store refuses all batches.
    refuses_all: bool,
    /// Number of batches that the store refused.
    refused: usize,
    warnings: Vec<(&'static str, Option<JobId>)>,
}

impl RestoredLeader {
    fn new(records: RecoveryRecords, ends: Vec<ListedEnd>) -> Self {
        let now = TimePoint::from_millis(1_000_000);
        let mut coordinator = JobCoordinator::new(fixture::limits(), 2, now);
        coordinator.restore(records, now);
        coordinator.set_workers(vec![fixture::listing(0, BORN_MS)], now);
        Self {
            coordinator,
            now,
            ends,
            acked: 0,
            batches: Vec::new(),
            refused_job: None,
            refuses_all: false,
            refused: 0,
            warnings: Vec::new(),
        }
    }

    /// Runs the coordinator for a while. The store commits each batch that it takes.
    fn run(&mut self, span: TimeSpan) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + STEP;
            for effect in self.coordinator.run(self.now) {
                if let Some(event) = self.answer(effect) {
                    self.coordinator.handle(event, self.now);
                }
            }
        }
    }

    fn answer(&mut self, effect: Effect) -> Option<Event> {
        match effect {
            Effect::Commit(batch) => {
                let number = batch.number;
                let mut rows = batch.rows.iter();
                let has_refused = rows.any(|row| Some(row.id) == self.refused_job);
                if has_refused || self.refuses_all || !is_taken(&batch) {
                    self.refused += 1;
                    return Some(Event::Rejected(number));
                }
                self.batches.push(batch);
                Some(Event::Committed(number))
            }
            Effect::Poll {
                target,
                deadline_ms,
                acked,
                ..
            } => {
                self.acked = self.acked.max(acked);
                self.ends.retain(|end| end.number > acked);
                Some(Event::Polled {
                    worker: target.worker,
                    deadline_ms,
                    answer: PollAnswer::Lists {
                        clock_ms: self.now.as_millis(),
                        born_ms: BORN_MS,
                        running: Vec::new(),
                        ended: self.ends.clone(),
                        complete: true,
                    },
                })
            }
            Effect::Start { target, run, .. } => Some(Event::Started {
                worker: target.worker,
                fence: target.fence,
                run,
                answer: OrderAnswer::NoRoom,
            }),
            Effect::Log(decision) if decision.level == DecisionLevel::Warning => {
                self.warnings.push((decision.event, decision.job));
                None
            }
            _ => None,
        }
    }

    /// The last committed row of a job.
    fn last_row(&self, id: u64) -> Option<&JobProgress> {
        let rows = self.batches.iter().flat_map(|batch| &batch.rows);
        rows.rev().find(|row| row.id == JobId(id))
    }

    fn assert_all_taken(&self) {
        for batch in &self.batches {
            let (longest, total) = value_lens(batch);
            assert!(longest <= ROW_BYTES, "a row of {longest} bytes");
            assert!(total <= CALL_BYTES, "a batch of {total} bytes");
        }
        assert_eq!(self.refused, 0, "batches were refused");
    }

    fn has_run_recorded_as_done(&self, id: u64) -> bool {
        self.last_row(id).is_some_and(|row| row.tasks[0].done)
    }
}

/// Length of the longest value of a batch, and of all its values as text.
fn value_lens(batch: &CommitBatch) -> (usize, usize) {
    let rows = batch.rows.iter();
    let mut lens: Vec<usize> = rows.map(|row| progress_row::encode(row).len()).collect();
    if let Some(learned) = &batch.learned {
        let encoded = postcard::to_allocvec(learned).expect("plain types can be encoded");
        lens.push(1 + encoded.len());
    }
    if let Some(silent) = &batch.silent {
        let workers = silent.iter().map(|worker| (&worker.id, worker.lease_left));
        let workers: Vec<(&String, TimeSpan)> = workers.collect();
        let addresses: Vec<_> = silent.iter().map(|worker| worker.address).collect();
        let encoded = postcard::to_allocvec(&(workers, addresses));
        lens.push(1 + encoded.expect("plain types can be encoded").len());
    }
    let longest = lens.iter().max().copied().unwrap_or_default();
    (longest, lens.iter().map(|len| len.div_ceil(3) * 4).sum())
}

fn is_taken(batch: &CommitBatch) -> bool {
    let (longest, total) = value_lens(batch);
    longest <= ROW_BYTES && total <= CALL_BYTES
}

/// A job whose tasks have run, and whose first task runs on the worker. Each task has a checkpoint
/// of this length.
fn stored_job(id: u64, tasks: u16, checkpoint: usize) -> (JobRecord, JobProgress) {
    let record = JobRecord {
        id: JobId(id),
        queue: "bulk".to_owned(),
        pool: "pool".to_owned(),
        spec: JobSpec {
            spec: "text".to_owned(),
            steps: vec![simulation::step(tasks, 16_000, 60_000, &[])],
            schedule: None,
        },
        accepted_at: TimePoint::from_millis(900_000),
        terms: None,
    };
    let tasks = (0..u32::from(tasks)).map(|task| TaskProgress {
        task,
        attempt: 1,
        worker: (task == 0).then_some(0),
        checkpoint: "c".repeat(checkpoint),
        ..TaskProgress::default()
    });
    let progress = JobProgress {
        id: JobId(id),
        state: JobState::Running,
        next_occurrence: 1,
        occurrences: vec![(0, TimePoint::from_millis(900_000))],
        workers: vec![WorkerIncarnation {
            id: "w0".to_owned(),
            born_ms: BORN_MS,
        }],
        tasks: tasks.collect(),
    };
    (record, progress)
}

/// The end of the first run of a job.
fn first_end(number: u64, id: u64, end: RunEnd) -> ListedEnd {
    ListedEnd {
        number,
        run: RunName {
            task: TaskName {
                job: JobId(id),
                ..TaskName::default()
            },
            attempt: 1,
        },
        end,
        checkpoint: String::new(),
    }
}

fn records(stored: Vec<(JobRecord, JobProgress)>) -> RecoveryRecords {
    let (jobs, progress) = stored.into_iter().unzip();
    RecoveryRecords {
        jobs,
        progress,
        ..RecoveryRecords::default()
    }
}

/// Guards against a batch that the store refuses after runs of many large jobs ended at once.
#[test]
fn rows_that_exceed_one_transaction_together_are_written_in_several() {
    let jobs = 84;
    let stored = (0..jobs).map(|id| stored_job(id, 400, 40));
    let ends = (0..jobs).map(|id| first_end(id + 1, id, RunEnd::Done));
    let mut leader = RestoredLeader::new(records(stored.collect()), ends.collect());
    leader.run(TimeSpan::from_millis(1_500));
    leader.assert_all_taken();
    for id in 0..jobs {
        let row = leader.last_row(id).expect("the row of each job is written");
        assert!(row.tasks[0].done, "job {id}");
    }
    assert_eq!(leader.acked, jobs);
}

/// Guards against one long row that stops the others, and against an end that is acknowledged
/// without a row that covers it.
#[test]
fn a_row_that_is_too_long_alone_is_left_out_until_it_fits() {
    let (long, other) = (1, 2);
    let stored = vec![stored_job(long, 1_200, 60), stored_job(other, 2, 10)];
    let ends = vec![
        first_end(1, other, RunEnd::Done),
        first_end(2, long, RunEnd::Done),
    ];
    let mut leader = RestoredLeader::new(records(stored), ends);
    leader.run(TimeSpan::from_millis(5_000));
    leader.assert_all_taken();
    let row = leader
        .last_row(other)
        .expect("the other job's row is written");
    assert!(row.tasks[0].done);
    assert_eq!(leader.last_row(long), None);
    // The end of the long job's run isn't covered by a row.
    assert_eq!(leader.acked, 1);
    assert!(leader.coordinator.has_authority(leader.now));
    let rate = leader.batches.len();
    assert!(rate < 50, "{rate} batches in 5 s");
    let warned = leader.warnings.iter();
    let warned = warned.filter(|(_, job)| *job == Some(JobId(long))).count();
    assert!((1..10).contains(&warned), "{:?}", leader.warnings);
    // The job's end makes its row short.
    leader
        .coordinator
        .handle(Event::Cancelled(JobId(long)), leader.now);
    leader.run(TimeSpan::from_millis(1_500));
    let row = leader.last_row(long).expect("the short row is written");
    assert_eq!(row.state, JobState::Cancelled);
    assert_eq!(leader.acked, 2);
}

/// Guards against a row of learned interference that grows with the number of images that ever met.
#[test]
fn the_interference_of_many_images_fits_its_row() {
    let bulk = |number: usize| format!("registry.test/bulk@sha256:{number:064x}");
    let learned = (0..5).map(|service| LearnedImage {
        image: format!("service-{service}"),
        base: -0.5,
        best_efforts: (0..400)
            .map(|number| (bulk(number), if number % 40 == service { 2.5 } else { 0.1 }))
            .collect(),
    });
    let records = RecoveryRecords {
        learned: learned.collect(),
        ..RecoveryRecords::default()
    };
    let mut leader = RestoredLeader::new(records, Vec::new());
    leader.run(TimeSpan::from_millis(10_000));
    leader.assert_all_taken();
    let mut batches = leader.batches.iter().rev();
    let written = batches.find_map(|batch| batch.learned.as_ref());
    let written = written.expect("the learned images are written");
    assert_eq!(written.len(), 5);
    for (service, image) in written.iter().enumerate() {
        let strong = (0..400).filter(|number| number % 40 == service);
        for number in strong {
            let name = bulk(number);
            assert!(
                image.best_efforts.contains(&(name, 2.5)),
                "pair {service}, {number}"
            );
        }
    }
    assert!(leader.coordinator.has_authority(leader.now));
}

/// Guards against a record of silent workers that is longer than a row.
#[test]
fn the_record_of_many_silent_workers_fits_its_row() {
    let silent = (0..3_000).map(|number| SilentWorker {
        id: format!("a-worker-with-a-long-identifier-{number:08}"),
        lease_left: TimeSpan::from_millis(8_000),
        address: Some(([127, 0, 0, 1], 2_000).into()),
    });
    let records = RecoveryRecords {
        silent: silent.collect(),
        ..RecoveryRecords::default()
    };
    let mut leader = RestoredLeader::new(records, Vec::new());
    leader.run(TimeSpan::from_millis(1_000));
    leader.assert_all_taken();
    let written = leader
        .batches
        .iter()
        .find_map(|batch| batch.silent.as_ref());
    let written = written.expect("the record is written");
    assert!((1_000..3_000).contains(&written.len()), "{}", written.len());
}

/// A leader whose worker lists the end of a run of each of some jobs of two tasks.
fn leader_of_small_jobs(jobs: u64) -> RestoredLeader {
    let stored = (0..jobs).map(|id| stored_job(id, 2, 10));
    let ends = (0..jobs).map(|id| first_end(id + 1, id, RunEnd::Done));
    RestoredLeader::new(records(stored.collect()), ends.collect())
}

/// Guards against one row that stops all others because the store refuses it, whatever the reason.
#[test]
fn a_row_that_the_store_refuses_stops_no_other_job_and_is_written_once_it_is_taken() {
    let jobs = 60;
    let refused = 23;
    let mut leader = leader_of_small_jobs(jobs);
    leader.refused_job = Some(JobId(refused));
    leader.run(TimeSpan::from_millis(4_000));
    for id in (0..jobs).filter(|id| *id != refused) {
        assert!(leader.has_run_recorded_as_done(id), "job {id}");
    }
    assert_eq!(leader.last_row(refused), None);
    // The ends before that of the refused job are covered by rows.
    assert_eq!(leader.acked, refused);
    assert!(leader.coordinator.has_authority(leader.now));
    let refusals = leader.refused;
    assert!(refusals < 25, "{refusals} batches were refused in 4 s");
    let warned = leader
        .warnings
        .contains(&("row_refused", Some(JobId(refused))));
    assert!(warned, "{:?}", leader.warnings);
    leader.refused_job = None;
    leader.run(TimeSpan::from_millis(2_000));
    assert!(leader.has_run_recorded_as_done(refused));
    assert_eq!(leader.acked, jobs);
}

/// Guards against rows that are left out although the store refused everything, and against ends
/// that are acknowledged although the batch with their rows was taken back.
#[test]
fn after_a_store_that_refused_everything_all_rows_are_written_at_once() {
    let jobs = 60;
    let mut leader = leader_of_small_jobs(jobs);
    leader.refuses_all = true;
    leader.run(TimeSpan::from_millis(2_000));
    assert_eq!(leader.acked, 0);
    let refusals = leader.refused;
    assert!(
        (1..25).contains(&refusals),
        "{refusals} batches were refused in 2 s"
    );
    leader.refuses_all = false;
    leader.run(TimeSpan::from_millis(1_000));
    for id in 0..jobs {
        assert!(leader.has_run_recorded_as_done(id), "job {id}");
    }
    assert_eq!(leader.acked, jobs);
    let held = leader
        .warnings
        .iter()
        .any(|(event, _)| *event == "row_refused");
    assert!(!held, "{:?}", leader.warnings);
}
