//! Stops that are sent again, and stops of runs that no task owns, under a budget of unavailable
//! tasks. Two workers run one task each of a step that allows one to be unavailable.

use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::ListedRun;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::job_spec::RunName;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_registry::WorkerListing;

use crate::fixture;
use crate::simulation;

const START_MS: u64 = 1_000_000;

/// A coordinator whose two workers answer at once, except as its fields say.
struct PairHarness {
    coordinator: JobCoordinator,
    now: TimePoint,
    /// Runs that each worker lists.
    runs: [Vec<RunName>; 2],
    /// Workers that answer no poll.
    silent: [bool; 2],
    /// Worker of each stop order so far; none is answered.
    stops: Vec<usize>,
}

fn listing(number: usize, cpu_millis: u64, draining: bool) -> WorkerListing {
    WorkerListing {
        id: format!("w{number}"),
        pool: "pool".to_owned(),
        address: ([127, 0, 0, 1], 1_000 + u16::try_from(number).unwrap()).into(),
        domain: "domain".to_owned(),
        rack: "rack".to_owned(),
        labels: Vec::new(),
        capacity: ResourceVector {
            cpu_millis,
            memory_mib: 64_000,
            accelerators: 0,
        },
        draining,
        leaves_in: TimeSpan::from_secs(2),
        born_ms: 1,
    }
}

impl PairHarness {
    /// Both tasks have been at work for longer than the time of notice.
    fn new() -> Self {
        let now = TimePoint::from_millis(START_MS);
        let mut harness = Self {
            coordinator: JobCoordinator::new(fixture::limits(), 1, now),
            now,
            runs: [Vec::new(), Vec::new()],
            silent: [false; 2],
            stops: Vec::new(),
        };
        harness.list(listing(0, 4_000, false), listing(1, 4_000, false));
        harness.advance(500);
        let mut step = simulation::step(2, 4_000, 1_000, &[]);
        step.service = true;
        step.max_unavailable = 1;
        let record = JobRecord {
            id: JobId(1),
            queue: "service".to_owned(),
            pool: "pool".to_owned(),
            spec: JobSpec {
                spec: "text".to_owned(),
                steps: vec![step],
                schedule: None,
            },
            accepted_at: harness.now,
            terms: None,
        };
        harness
            .coordinator
            .handle(Event::Stored(record), harness.now);
        harness.advance(8_000);
        assert_eq!(harness.runs.each_ref().map(Vec::len), [1, 1]);
        harness
    }

    fn list(&mut self, first: WorkerListing, second: WorkerListing) {
        self.coordinator.set_workers(vec![first, second], self.now);
    }

    fn advance(&mut self, span_ms: u64) {
        for _ in 0..span_ms / 10 {
            self.now = self.now + TimeSpan::from_millis(10);
            for effect in self.coordinator.run(self.now) {
                if let Some(event) = self.answer(effect) {
                    self.coordinator.handle(event, self.now);
                }
            }
        }
    }

    fn answer(&mut self, effect: Effect) -> Option<Event> {
        let clock_ms = self.now.as_millis();
        match effect {
            Effect::Commit(batch) => Some(Event::Committed(batch.number)),
            Effect::Start { target, run, .. } => {
                let worker = target.worker;
                self.runs[worker.0 as usize].push(run);
                let answer = OrderAnswer::Accepted { clock_ms };
                Some(Event::Started {
                    worker,
                    run,
                    fence: target.fence,
                    answer,
                })
            }
            Effect::Stop { target, run } => {
                let worker = target.worker;
                self.stops.push(worker.0 as usize);
                let answer = OrderAnswer::Missing;
                Some(Event::Stopped {
                    worker,
                    run,
                    fence: target.fence,
                    answer,
                })
            }
            Effect::Poll {
                target,
                deadline_ms,
                ..
            } => {
                let worker = target.worker;
                let number = worker.0 as usize;
                let running = self.runs[number].iter().map(|run| ListedRun {
                    run: *run,
                    checkpoint: String::new(),
                    percent: 100,
                    gauge: None,
                });
                let lists = PollAnswer::Lists {
                    clock_ms,
                    born_ms: 1,
                    running: running.collect(),
                    ended: Vec::new(),
                    complete: true,
                };
                let answer = if self.silent[number] {
                    PollAnswer::Missing
                } else {
                    lists
                };
                Some(Event::Polled {
                    worker,
                    deadline_ms,
                    answer,
                })
            }
            Effect::DeleteRows(_) | Effect::Pace { .. } | Effect::StepDown | Effect::Log(_) => None,
        }
    }
}

/// Guards against a stop that is sent again although other tasks were lost since the first one.
#[test]
fn a_stop_is_sent_again_only_if_the_budget_still_allows_it() {
    let mut harness = PairHarness::new();
    harness.list(listing(0, 4_000, true), listing(1, 4_000, false));
    harness.advance(300);
    assert!(harness.stops.len() > 1, "{:?}", harness.stops);
    // The worker stays after all, and the other one is lost.
    harness.list(listing(0, 4_000, false), listing(1, 4_000, false));
    harness.silent[1] = true;
    harness.advance(20);
    harness.stops.clear();
    harness.advance(2_000);
    assert_eq!(harness.stops, [0usize; 0]);
    harness.silent[1] = false;
    harness.advance(1_000);
    assert!(harness.stops.contains(&0), "{:?}", harness.stops);
}

/// Guards against the stop of a run that no task owns while it is all that is left of a step, and
/// against a budget that withholds such stops for good.
#[test]
fn a_run_that_no_task_owns_is_stopped_only_if_the_budget_allows_it() {
    let mut harness = PairHarness::new();
    // The run is not listed once, and no worker has room for the next one.
    let unlisted = std::mem::take(&mut harness.runs[0]);
    harness.list(listing(0, 0, false), listing(1, 4_000, false));
    harness.advance(20);
    harness.silent[1] = true;
    harness.advance(20);
    harness.runs[0] = unlisted;
    harness.advance(2_000);
    assert_eq!(harness.stops, [0usize; 0]);
    harness.silent[1] = false;
    harness.advance(1_000);
    assert!(harness.stops.contains(&0), "{:?}", harness.stops);
}
