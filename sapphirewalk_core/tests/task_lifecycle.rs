//! Tasks under lost messages, pauses, crashes and rival schedulers.

mod model;

use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::task_lifecycle::AttemptStatus;
use sapphirewalk_core::task_lifecycle::AttemptToken;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::task_lifecycle::LifecycleStep;
use sapphirewalk_core::task_lifecycle::StartReply;
use sapphirewalk_core::task_lifecycle::TaskLifecycle;
use sapphirewalk_core::task_lifecycle::TaskPhase;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::task_lifecycle::TaskWrite;
use sapphirewalk_core::time::TimePoint;

use crate::model::choice::ChoiceList;
use crate::model::choice::seeded_bytes;
use crate::model::world::World;

const SEEDS: u64 = 300;
const CHOICES: usize = 8_000;

fn run(bytes: &[u8]) -> World {
    let mut world = World::new();
    world.run(&mut ChoiceList::new(bytes));
    world
}

#[test]
fn attempts_never_overlap_and_tasks_end_once() {
    let mut starts = 0;
    for seed in 0..SEEDS {
        starts += run(&seeded_bytes(seed, CHOICES)).starts;
    }
    assert!(
        starts > SEEDS as usize * 2,
        "only {starts} attempts started"
    );
}

/// The longer run: `cargo test -p sapphirewalk_core --test task_lifecycle -- --ignored`.
#[test]
#[ignore = "draws fresh seeds; run it by name"]
fn attempts_never_overlap_with_fresh_seeds() {
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<u64>()
        .for_each(|seed| {
            run(&seeded_bytes(*seed, CHOICES));
        });
}

const WORKER: WorkerKey = WorkerKey(3);

fn at(secs: u64) -> TimePoint {
    TimePoint::from_millis(secs * 1_000)
}

fn written(step: LifecycleStep) -> TaskWrite {
    match step {
        LifecycleStep::Write(write) => write,
        other => panic!("no write but {other:?}"),
    }
}

fn report(secs: u64, status: AttemptStatus) -> LifecycleEvent {
    LifecycleEvent::Reported {
        worker: WORKER,
        attempt: 1,
        queried_at: at(secs),
        status,
    }
}

/// A task whose first start write is in flight.
fn placed() -> (TaskLifecycle, TaskWrite) {
    let (mut life, step) = TaskLifecycle::load(5, TaskRecord::default());
    assert_eq!(step, LifecycleStep::Enqueue);
    let event = LifecycleEvent::Placed {
        worker: WORKER,
        granted: ResourceVector::ZERO,
        token: AttemptToken(9),
    };
    let write = written(life.on_event(event, at(0)));
    (life, write)
}

/// A task whose start command was sent.
fn started() -> TaskLifecycle {
    let (mut life, _) = placed();
    let step = life.on_event(LifecycleEvent::Committed { version: 6 }, at(0));
    assert!(matches!(step, LifecycleStep::Start(_)));
    life
}

#[test]
fn a_lost_answer_is_read_back_before_the_start_command() {
    let (mut life, write) = placed();
    assert_eq!(
        life.on_event(LifecycleEvent::Unconfirmed, at(1)),
        LifecycleStep::Read
    );
    let unchanged = LifecycleEvent::RowRead {
        version: 5,
        record: TaskRecord::default(),
    };
    assert_eq!(written(life.on_event(unchanged, at(2))), write);
    let changed = LifecycleEvent::RowRead {
        version: 6,
        record: write.record,
    };
    let step = life.on_event(changed, at(3));
    assert!(matches!(step, LifecycleStep::Start(order) if order.attempt == 1));
}

#[test]
fn an_unanswered_start_counts_until_the_worker_refuses_it() {
    let mut life = started();
    let lost = StartReply::Lost { refused_at: at(50) };
    life.on_event(LifecycleEvent::StartReplied(lost), at(1));
    let again = life.on_event(report(1, AttemptStatus::Unknown), at(2));
    assert!(matches!(again, LifecycleStep::Start(_)));
    let refused = LifecycleEvent::StartReplied(StartReply::Refused);
    let wait = LifecycleStep::QueryWorker {
        worker: WORKER,
        not_before: at(50),
    };
    assert_eq!(life.on_event(refused, at(3)), wait);
    assert_eq!(
        life.on_event(report(4, AttemptStatus::Unknown), at(5)),
        wait
    );
    assert_eq!(life.forget_from(), at(50));
    let step = life.on_event(report(50, AttemptStatus::Unknown), at(51));
    assert_eq!(step, LifecycleStep::Enqueue);
}

#[test]
fn an_eviction_records_the_checkpoint_before_the_next_attempt() {
    let mut life = started();
    life.on_event(LifecycleEvent::StartReplied(StartReply::Started), at(1));
    let step = life.on_event(LifecycleEvent::Evict, at(2));
    assert!(matches!(step, LifecycleStep::Evict { attempt: 1, .. }));
    let checkpoint = Some("half".to_owned());
    let stopped = AttemptStatus::Stopped { checkpoint };
    let write = written(life.on_event(report(3, stopped), at(4)));
    assert_eq!(write.record.phase, TaskPhase::Pending);
    assert_eq!(write.record.checkpoint.as_deref(), Some("half"));
    assert_eq!(write.record.evictions, 1);
}

#[test]
fn a_cancellation_before_the_start_command_ends_the_task() {
    let (mut life, _) = placed();
    assert_eq!(
        life.on_event(LifecycleEvent::Cancel, at(1)),
        LifecycleStep::NoAction
    );
    let step = life.on_event(LifecycleEvent::Committed { version: 6 }, at(2));
    assert_eq!(written(step).record.phase, TaskPhase::Cancelled);
}

#[test]
fn a_finished_attempt_wins_over_a_cancellation() {
    let mut life = started();
    life.on_event(LifecycleEvent::StartReplied(StartReply::Started), at(1));
    let step = life.on_event(LifecycleEvent::Cancel, at(2));
    assert!(matches!(step, LifecycleStep::Stop { .. }));
    let write = written(life.on_event(report(3, AttemptStatus::Finished), at(4)));
    assert_eq!(write.record.phase, TaskPhase::Finished);
}

#[test]
fn a_taken_over_attempt_is_adopted_or_resumed_as_the_worker_says() {
    let record = TaskRecord {
        phase: TaskPhase::Running,
        attempt: 1,
        worker: Some(WORKER),
        checkpoint: Some("half".to_owned()),
        ..TaskRecord::default()
    };
    let running = AttemptStatus::Running { checkpoint: None };
    let (mut life, step) = TaskLifecycle::load(5, record.clone());
    assert!(matches!(step, LifecycleStep::QueryWorker { .. }));
    assert_eq!(
        life.on_event(report(1, running), at(2)),
        LifecycleStep::NoAction
    );
    assert!(life.may_run());
    let (mut life, _) = TaskLifecycle::load(5, record);
    let step = life.on_event(report(1, AttemptStatus::Unknown), at(2));
    assert_eq!(step, LifecycleStep::Enqueue);
    let event = LifecycleEvent::Placed {
        worker: WORKER,
        granted: ResourceVector::ZERO,
        token: AttemptToken(10),
    };
    let write = written(life.on_event(event, at(3)));
    assert_eq!(write.version, 5);
    assert_eq!(write.record.attempt, 2);
    assert_eq!(write.record.checkpoint.as_deref(), Some("half"));
}
