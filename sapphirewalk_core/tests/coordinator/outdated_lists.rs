//! Lists of runs that were requested before the start of a run was answered, and acknowledgements of
//! ends that a restarted worker would take for its own.

use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::JobRecord;
use sapphirewalk_core::coordinator::ListedEnd;
use sapphirewalk_core::coordinator::ListedRun;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::OrderTarget;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::coordinator::RunEnd;
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::JobSpec;
use sapphirewalk_core::job_spec::RunName;
use sapphirewalk_core::job_spec::TaskName;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::fixture;
use crate::simulation;

const FIRST_RUN: RunName = RunName {
    task: TaskName {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index: 0,
    },
    attempt: 1,
};
/// Clock of the worker's first incarnation when the job is submitted, in milliseconds.
const FIRST_CLOCK_MS: u64 = 500_000;
/// Start of the worker's first incarnation, and of its second, in Unix milliseconds.
const FIRST_BORN_MS: u64 = 500_000;
const SECOND_BORN_MS: u64 = 999_000;

/// A coordinator with one worker and a job of one task. The task's first start and a poll that was
/// sent before it are under way.
struct RaceHarness {
    coordinator: JobCoordinator,
    now: TimePoint,
    poll: Option<OrderTarget>,
    start: Option<OrderTarget>,
    /// Highest end that the poll under way acknowledges.
    acked: u64,
    /// Number of ends that the worker lists, of runs that no job knows.
    ends: u64,
    /// Starts and stops that were ordered since.
    orders: Vec<String>,
    /// Number of runs that were counted as lost.
    losses: usize,
}

impl RaceHarness {
    fn new() -> Self {
        let now = TimePoint::from_millis(1_000_000);
        let mut harness = Self {
            coordinator: JobCoordinator::new(fixture::limits(), 1, now),
            now,
            poll: None,
            start: None,
            acked: 0,
            ends: 0,
            orders: Vec::new(),
            losses: 0,
        };
        harness
            .coordinator
            .set_workers(vec![fixture::listing(0, FIRST_BORN_MS)], now);
        harness.advance(1);
        // The answer to the next poll stays under way.
        harness.answer_poll(FIRST_CLOCK_MS, FIRST_BORN_MS, &[]);
        let record = JobRecord {
            id: FIRST_RUN.task.job,
            queue: "bulk".to_owned(),
            pool: "pool".to_owned(),
            spec: JobSpec {
                spec: "text".to_owned(),
                steps: vec![simulation::step(1, 1_000, 10_000, &[])],
                schedule: None,
            },
            accepted_at: now,
            terms: None,
        };
        harness.coordinator.handle(Event::Stored(record), now);
        harness.advance(100);
        assert_eq!(harness.orders, ["start 1"]);
        harness.orders.clear();
        harness
    }

    /// Lets time pass. Batches are committed at once; other effects get no answer.
    fn advance(&mut self, span_ms: u64) {
        for _ in 0..span_ms {
            self.now = self.now + TimeSpan::from_millis(1);
            for effect in self.coordinator.run(self.now) {
                match effect {
                    Effect::Commit(batch) => {
                        let event = Event::Committed(batch.number);
                        self.coordinator.handle(event, self.now);
                    }
                    Effect::Start { target, run, .. } => {
                        self.orders.push(format!("start {}", run.attempt));
                        self.start = Some(target);
                    }
                    Effect::Stop { run, .. } => self.orders.push(format!("stop {}", run.attempt)),
                    Effect::Poll { target, acked, .. } => {
                        self.poll = Some(target);
                        self.acked = acked;
                    }
                    Effect::Log(record) if record.event == "run_lost" => self.losses += 1,
                    _ => {}
                }
            }
        }
    }

    /// The worker accepts the first start.
    fn accept_start(&mut self, clock_ms: u64) {
        let target = self.start.take().expect("the start was sent");
        let event = Event::Started {
            worker: target.worker,
            fence: target.fence,
            run: FIRST_RUN,
            answer: OrderAnswer::Accepted { clock_ms },
        };
        self.coordinator.handle(event, self.now);
        self.advance(1);
    }

    /// The worker answers the poll that is under way.
    fn answer_poll(&mut self, clock_ms: u64, born_ms: u64, running: &[RunName]) {
        let target = self.poll.take().expect("the worker is polled");
        let event = polled(&target, clock_ms, born_ms, running, self.ends);
        self.coordinator.handle(event, self.now);
        self.advance(1);
    }
}

fn polled(
    target: &OrderTarget,
    clock_ms: u64,
    born_ms: u64,
    running: &[RunName],
    ends: u64,
) -> Event {
    let ended = (1..=ends).map(|number| ListedEnd {
        number,
        run: RunName {
            task: TaskName {
                job: JobId(900),
                ..FIRST_RUN.task
            },
            attempt: 1,
        },
        end: RunEnd::Done,
        checkpoint: String::new(),
    });
    let running = running.iter().map(|run| ListedRun {
        run: *run,
        checkpoint: String::new(),
        percent: 1,
        gauge: None,
    });
    Event::Polled {
        worker: target.worker,
        deadline_ms: 0,
        answer: PollAnswer::Lists {
            clock_ms,
            born_ms,
            running: running.collect(),
            ended: ended.collect(),
            complete: true,
        },
    }
}

/// Guards against a second run after a list that was taken before the start and whose clock reading
/// was taken after it.
#[test]
fn a_list_whose_clock_was_read_after_the_start_does_not_end_the_run() {
    let mut harness = RaceHarness::new();
    harness.accept_start(FIRST_CLOCK_MS + 100);
    harness.answer_poll(FIRST_CLOCK_MS + 102, FIRST_BORN_MS, &[]);
    harness.advance(50);
    harness.answer_poll(FIRST_CLOCK_MS + 150, FIRST_BORN_MS, &[FIRST_RUN]);
    harness.advance(50);
    assert_eq!(harness.orders, Vec::<String>::new());
}

/// Guards against a second run after the first list of a restarted worker, which accepted the start
/// after it had made the list.
#[test]
fn the_first_list_of_a_restarted_worker_does_not_end_a_run_that_it_has_started_since() {
    let mut harness = RaceHarness::new();
    harness.accept_start(100);
    harness.answer_poll(99, SECOND_BORN_MS, &[]);
    harness.advance(50);
    harness.answer_poll(150, SECOND_BORN_MS, &[FIRST_RUN]);
    harness.advance(50);
    assert_eq!(harness.orders, Vec::<String>::new());
}

/// Guards against a second run after a list of a worker's former incarnation, whose clock was ahead.
#[test]
fn a_list_of_the_former_incarnation_does_not_end_a_run_of_the_present_one() {
    let mut harness = RaceHarness::new();
    harness.accept_start(100);
    harness.answer_poll(FIRST_CLOCK_MS + 1, FIRST_BORN_MS, &[]);
    harness.advance(50);
    harness.answer_poll(150, SECOND_BORN_MS, &[FIRST_RUN]);
    harness.advance(50);
    assert_eq!(harness.orders, Vec::<String>::new());
}

/// Guards against a task that stays without a run because the start was confirmed by a former
/// incarnation, whose clock was ahead.
#[test]
fn a_run_of_the_former_incarnation_is_lost_with_the_next_list() {
    let mut harness = RaceHarness::new();
    harness.answer_poll(50, SECOND_BORN_MS, &[]);
    harness.accept_start(FIRST_CLOCK_MS + 1);
    harness.advance(10);
    harness.answer_poll(70, SECOND_BORN_MS, &[]);
    harness.advance(10);
    harness.answer_poll(90, SECOND_BORN_MS, &[]);
    harness.advance(100);
    assert_eq!(harness.orders, ["start 2"]);
}

#[test]
fn a_list_that_was_requested_after_the_start_was_answered_ends_the_run() {
    let mut harness = RaceHarness::new();
    harness.accept_start(FIRST_CLOCK_MS + 100);
    harness.answer_poll(FIRST_CLOCK_MS + 100, FIRST_BORN_MS, &[]);
    harness.advance(10);
    harness.answer_poll(FIRST_CLOCK_MS + 110, FIRST_BORN_MS, &[]);
    harness.advance(100);
    assert_eq!(harness.orders, ["start 2"]);
}

/// Guards against a worker that discards ends of its present incarnation because it gets the
/// acknowledgement of a former one, so that done tasks run again.
#[test]
fn a_worker_whose_clock_went_back_gets_no_acknowledgement() {
    let mut harness = RaceHarness::new();
    harness.ends = 3;
    harness.answer_poll(FIRST_CLOCK_MS + 100, FIRST_BORN_MS, &[]);
    assert_eq!(harness.acked, 3);
    harness.advance(10);
    harness.accept_start(100);
    harness.answer_poll(FIRST_CLOCK_MS + 101, FIRST_BORN_MS, &[]);
    harness.advance(200);
    assert_eq!(harness.acked, 0);
    harness.ends = 0;
    harness.answer_poll(400, SECOND_BORN_MS, &[FIRST_RUN]);
    harness.ends = 1;
    harness.advance(10);
    harness.answer_poll(420, SECOND_BORN_MS, &[FIRST_RUN]);
    harness.advance(10);
    assert_eq!(harness.acked, 1);
}

#[test]
fn a_leader_that_was_frozen_acknowledges_ends_after_another_list() {
    let mut harness = RaceHarness::new();
    harness.accept_start(FIRST_CLOCK_MS + 100);
    harness.ends = 3;
    harness.answer_poll(FIRST_CLOCK_MS + 101, FIRST_BORN_MS, &[FIRST_RUN]);
    assert_eq!(harness.acked, 3);
    harness.now = harness.now + TimeSpan::from_millis(2_000);
    harness.answer_poll(FIRST_CLOCK_MS + 102, FIRST_BORN_MS, &[FIRST_RUN]);
    harness.advance(200);
    assert_eq!(harness.acked, 0);
    harness.answer_poll(FIRST_CLOCK_MS + 2_400, FIRST_BORN_MS, &[FIRST_RUN]);
    harness.advance(10);
    assert_eq!(harness.acked, 3);
}

#[test]
fn a_worker_with_an_overdue_start_gets_no_acknowledgement() {
    let mut harness = RaceHarness::new();
    harness.ends = 3;
    harness.answer_poll(FIRST_CLOCK_MS + 101, FIRST_BORN_MS, &[]);
    assert_eq!(harness.acked, 3);
    harness.advance(600);
    harness.answer_poll(FIRST_CLOCK_MS + 700, FIRST_BORN_MS, &[]);
    harness.advance(200);
    assert_eq!(harness.acked, 0);
}

/// Guards against a job that is given up for crashes of a worker that never had its run: only the
/// first of the incarnations can have received the start.
#[test]
fn a_start_without_an_answer_counts_as_the_cause_of_one_crash_at_most() {
    let mut harness = RaceHarness::new();
    let target = harness.start.take().expect("the start was sent");
    let event = Event::Started {
        worker: target.worker,
        fence: target.fence,
        run: FIRST_RUN,
        answer: OrderAnswer::Missing,
    };
    harness.coordinator.handle(event, harness.now);
    for restart in 0..8 {
        // Each incarnation is up for long enough to count as sound.
        for clock_ms in [800_000, 805_000] {
            harness.advance(5_000);
            harness.answer_poll(clock_ms, SECOND_BORN_MS + restart * 10_000, &[]);
        }
    }
    let state = harness.coordinator.committed_state(FIRST_RUN.task.job);
    assert_eq!(state, Some(JobState::Queued));
}

/// Guards against deadlines on the clock of a former incarnation that count as leases of the next one,
/// whose clock is behind: its run would keep its task for hours after the worker is cut off.
#[test]
fn a_run_of_a_restarted_worker_that_falls_silent_is_repeated_after_its_lease() {
    let mut harness = RaceHarness::new();
    harness.accept_start(FIRST_CLOCK_MS + 100);
    harness.answer_poll(FIRST_CLOCK_MS + 110, FIRST_BORN_MS, &[FIRST_RUN]);
    harness.advance(10);
    harness.answer_poll(100, SECOND_BORN_MS, &[FIRST_RUN]);
    harness.advance(60);
    harness.answer_poll(170, SECOND_BORN_MS, &[FIRST_RUN]);
    harness.advance(10);
    // Its lease of 8 s, and the longest one, of 10 s, on a slow clock.
    harness.advance(7_900);
    assert_eq!(harness.losses, 0);
    harness.advance(3_000);
    assert_eq!(harness.losses, 1);
}
