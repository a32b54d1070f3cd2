//! Task lifecycles under lost messages, pauses, crashes and competing schedulers.

mod model;

use sapphirewalk_core::key::WorkerKey;
use sapphirewalk_core::placement::ParkReason;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::task_lifecycle::AttemptStatus;
use sapphirewalk_core::task_lifecycle::AttemptToken;
use sapphirewalk_core::task_lifecycle::LifecycleEvent;
use sapphirewalk_core::task_lifecycle::LifecycleStep;
use sapphirewalk_core::task_lifecycle::RecordPhase;
use sapphirewalk_core::task_lifecycle::StartReply;
use sapphirewalk_core::task_lifecycle::TaskLifecycle;
use sapphirewalk_core::task_lifecycle::TaskRecord;
use sapphirewalk_core::task_lifecycle::TaskWrite;
use sapphirewalk_core::time::TimePoint;

use crate::model::choice::ChoiceList;
use crate::model::choice::seeded_bytes;
use crate::model::simulation::SchedulerSimulation;

/// Number of simulations.
const SEEDS: u64 = 300;
/// Length of one simulation, in bytes of choices.
const CHOICES: usize = 8_000;

fn run_simulation(bytes: &[u8]) -> SchedulerSimulation {
    let mut simulation = SchedulerSimulation::new();
    simulation.run(&mut ChoiceList::new(bytes));
    simulation
}

#[test]
fn attempts_never_overlap_and_tasks_end_once() {
    let mut starts = 0;
    for seed in 0..SEEDS {
        starts += run_simulation(&seeded_bytes(seed, CHOICES)).starts;
    }
    assert!(
        starts > SEEDS as usize * 2,
        "only {starts} attempts started"
    );
}

/// A longer run: `cargo test -p sapphirewalk_core --test task_lifecycle -- --ignored`.
#[test]
#[ignore = "draws fresh seeds; run it by name"]
fn attempts_never_overlap_with_fresh_seeds() {
    bolero::check!()
        .with_iterations(20_000)
        .with_type::<u64>()
        .for_each(|seed| {
            run_simulation(&seeded_bytes(*seed, CHOICES));
        });
}

const WORKER: WorkerKey = WorkerKey(3);

fn at(secs: u64) -> TimePoint {
    TimePoint::from_millis(secs * 1_000)
}

fn expect_write(step: LifecycleStep) -> TaskWrite {
    match step {
        LifecycleStep::Write(write) => write,
        other => panic!("expected a write, got {other:?}"),
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
    let (mut lifecycle, step) = TaskLifecycle::load(5, TaskRecord::default());
    assert_eq!(step, LifecycleStep::Enqueue);
    let event = LifecycleEvent::Placed {
        worker: WORKER,
        granted: ResourceVector::ZERO,
        token: AttemptToken(9),
    };
    let write = expect_write(lifecycle.on_event(event, at(0)));
    (lifecycle, write)
}

/// A task whose start command was sent.
fn started() -> TaskLifecycle {
    let (mut lifecycle, _) = placed();
    let step = lifecycle.on_event(LifecycleEvent::Committed { version: 6 }, at(0));
    assert!(matches!(step, LifecycleStep::Start(_)));
    lifecycle
}

#[test]
fn an_unconfirmed_write_is_read_back_before_the_start_command() {
    let (mut lifecycle, write) = placed();
    assert_eq!(
        lifecycle.on_event(LifecycleEvent::Unconfirmed, at(1)),
        LifecycleStep::Read
    );
    let unchanged = LifecycleEvent::RowRead {
        version: 5,
        record: TaskRecord::default(),
    };
    assert_eq!(expect_write(lifecycle.on_event(unchanged, at(2))), write);
    let changed = LifecycleEvent::RowRead {
        version: 6,
        record: write.record,
    };
    let step = lifecycle.on_event(changed, at(3));
    assert!(matches!(step, LifecycleStep::Start(order) if order.attempt == 1));
}

#[test]
fn a_task_with_an_unanswered_start_is_queued_only_after_the_start_is_refused() {
    let mut lifecycle = started();
    let lost = StartReply::Lost { refused_at: at(50) };
    lifecycle.on_event(LifecycleEvent::StartReplied(lost), at(1));
    let again = lifecycle.on_event(report(1, AttemptStatus::Unknown), at(2));
    assert!(matches!(again, LifecycleStep::Start(_)));
    let refused = LifecycleEvent::StartReplied(StartReply::Refused);
    let wait = LifecycleStep::QueryWorker {
        worker: WORKER,
        not_before: at(50),
    };
    assert_eq!(lifecycle.on_event(refused, at(3)), wait);
    assert_eq!(
        lifecycle.on_event(report(4, AttemptStatus::Unknown), at(5)),
        wait
    );
    assert_eq!(lifecycle.droppable_from(), at(50));
    let step = lifecycle.on_event(report(50, AttemptStatus::Unknown), at(51));
    assert_eq!(step, LifecycleStep::Enqueue);
}

#[test]
fn an_eviction_records_the_checkpoint_before_the_next_attempt() {
    let mut lifecycle = started();
    lifecycle.on_event(LifecycleEvent::StartReplied(StartReply::Started), at(1));
    let step = lifecycle.on_event(LifecycleEvent::Evict, at(2));
    assert!(matches!(step, LifecycleStep::Evict { attempt: 1, .. }));
    let checkpoint = Some("half".to_owned());
    let stopped = AttemptStatus::Stopped { checkpoint };
    let write = expect_write(lifecycle.on_event(report(3, stopped), at(4)));
    assert_eq!(write.record.phase, RecordPhase::Pending);
    assert_eq!(write.record.checkpoint.as_deref(), Some("half"));
    assert_eq!(write.record.evictions, 1);
}

#[test]
fn a_cancellation_before_the_start_command_ends_the_task() {
    let (mut lifecycle, _) = placed();
    assert_eq!(
        lifecycle.on_event(LifecycleEvent::Cancel, at(1)),
        LifecycleStep::NoAction
    );
    let step = lifecycle.on_event(LifecycleEvent::Committed { version: 6 }, at(2));
    assert_eq!(expect_write(step).record.phase, RecordPhase::Cancelled);
}

#[test]
fn a_task_that_finishes_despite_a_cancellation_is_finished() {
    let mut lifecycle = started();
    lifecycle.on_event(LifecycleEvent::StartReplied(StartReply::Started), at(1));
    let step = lifecycle.on_event(LifecycleEvent::Cancel, at(2));
    assert!(matches!(step, LifecycleStep::Stop { .. }));
    let write = expect_write(lifecycle.on_event(report(3, AttemptStatus::Finished), at(4)));
    assert_eq!(write.record.phase, RecordPhase::Finished);
}

#[test]
fn a_recorded_attempt_is_adopted_if_it_runs_and_resumed_if_unknown() {
    let record = TaskRecord {
        phase: RecordPhase::Running,
        attempt: 1,
        worker: Some(WORKER),
        checkpoint: Some("half".to_owned()),
        ..TaskRecord::default()
    };
    let running = AttemptStatus::Running { checkpoint: None };
    let (mut lifecycle, step) = TaskLifecycle::load(5, record.clone());
    assert!(matches!(step, LifecycleStep::QueryWorker { .. }));
    assert_eq!(
        lifecycle.on_event(report(1, running), at(2)),
        LifecycleStep::NoAction
    );
    assert!(lifecycle.may_run());
    let (mut lifecycle, _) = TaskLifecycle::load(5, record);
    let step = lifecycle.on_event(report(1, AttemptStatus::Unknown), at(2));
    assert_eq!(step, LifecycleStep::Enqueue);
    let event = LifecycleEvent::Placed {
        worker: WORKER,
        granted: ResourceVector::ZERO,
        token: AttemptToken(10),
    };
    let write = expect_write(lifecycle.on_event(event, at(3)));
    assert_eq!(write.version, 5);
    assert_eq!(write.record.attempt, 2);
    assert_eq!(write.record.checkpoint.as_deref(), Some("half"));
}

/// Loses the worker of a started attempt at `secs`, and starts the next one if there is one.
fn lose_worker(lifecycle: &mut TaskLifecycle, secs: u64) -> LifecycleStep {
    let worker = lifecycle.record().worker.expect("an attempt is recorded");
    let event = LifecycleEvent::AttemptOver {
        worker,
        is_gone: true,
    };
    let step = lifecycle.on_event(event, at(secs));
    if step == LifecycleStep::Enqueue {
        let event = LifecycleEvent::Placed {
            worker: WorkerKey(worker.0 + 1),
            granted: ResourceVector::ZERO,
            token: AttemptToken(u128::from(secs)),
        };
        expect_write(lifecycle.on_event(event, at(secs)));
        let version = lifecycle.version() + 1;
        lifecycle.on_event(LifecycleEvent::Committed { version }, at(secs));
    }
    step
}

#[test]
fn a_task_whose_workers_end_one_after_another_is_parked() {
    let mut lifecycle = started();
    for secs in 1..5 {
        assert_eq!(lose_worker(&mut lifecycle, secs), LifecycleStep::Enqueue);
    }
    // The row holds the losses, so that a successor goes on counting.
    let (mut lifecycle, _) = TaskLifecycle::load(lifecycle.version(), lifecycle.record().clone());
    let write = expect_write(lose_worker(&mut lifecycle, 5));
    assert_eq!(write.record.phase, RecordPhase::Parked);
    assert_eq!(write.record.park_reason, Some(ParkReason::LosesWorkers));
}

#[test]
fn a_task_that_ran_for_long_is_not_parked_when_its_workers_end() {
    let mut lifecycle = started();
    for round in 1..8 {
        let secs = round * 100;
        lifecycle.on_event(LifecycleEvent::StartReplied(StartReply::Started), at(secs));
        let step = lose_worker(&mut lifecycle, secs + 61);
        assert_eq!(step, LifecycleStep::Enqueue, "round {round}");
    }
}

#[test]
fn a_task_on_unreachable_workers_is_not_parked() {
    let mut lifecycle = started();
    for secs in 1..9 {
        let worker = lifecycle.record().worker.expect("an attempt is recorded");
        let event = LifecycleEvent::AttemptOver {
            worker,
            is_gone: false,
        };
        let step = lifecycle.on_event(event, at(secs));
        assert_eq!(step, LifecycleStep::Enqueue, "at {secs} s");
        let event = LifecycleEvent::Placed {
            worker,
            granted: ResourceVector::ZERO,
            token: AttemptToken(u128::from(secs)),
        };
        expect_write(lifecycle.on_event(event, at(secs)));
        let version = lifecycle.version() + 1;
        lifecycle.on_event(LifecycleEvent::Committed { version }, at(secs));
    }
}
