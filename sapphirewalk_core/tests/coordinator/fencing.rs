//! Orders that a worker rejects because of a higher fencing token.

use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::OrderTarget;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::RunName;
use sapphirewalk_core::job_spec::TaskName;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::fixture;

const RUN: RunName = RunName {
    task: TaskName {
        job: JobId(1),
        occurrence: 0,
        step: 0,
        index: 0,
    },
    attempt: 1,
};

/// The target of the next poll, which the worker answers as the incarnation `born_ms`.
fn answer_poll(coordinator: &mut JobCoordinator, born_ms: u64, now: TimePoint) -> OrderTarget {
    let polls = coordinator.run(now).into_iter();
    let mut targets = polls.filter_map(|effect| match effect {
        Effect::Poll { target, .. } => Some(target),
        _ => None,
    });
    let target = targets.next().expect("the worker is polled");
    let answer = PollAnswer::Lists {
        clock_ms: 1_000,
        born_ms,
        running: Vec::new(),
        ended: Vec::new(),
        complete: true,
    };
    let event = Event::Polled {
        worker: target.worker,
        deadline_ms: 0,
        answer,
    };
    coordinator.handle(event, now);
    target
}

fn steps_down(coordinator: &mut JobCoordinator, now: TimePoint) -> bool {
    let mut effects = coordinator.run(now).into_iter();
    effects.any(|effect| matches!(effect, Effect::StepDown))
}

/// Guards against a leader that steps down because the new incarnation of a worker rejects an order
/// that was sent before the leader's own higher token, and against one that stays although another
/// leader's token was seen.
#[test]
fn only_a_token_of_another_leader_ends_a_leadership() {
    let mut now = TimePoint::from_millis(1_000_000);
    let mut coordinator = JobCoordinator::new(fixture::limits(), 1, now);
    coordinator.set_workers(vec![fixture::listing(0, 0)], now);
    let first = answer_poll(&mut coordinator, 1, now);
    now = now + TimeSpan::from_millis(200);
    answer_poll(&mut coordinator, 2, now);
    now = now + TimeSpan::from_millis(200);
    let second = answer_poll(&mut coordinator, 2, now);
    assert!(second.fence > first.fence);
    let worker = first.worker;
    let answer = OrderAnswer::Fenced;
    let orders = |fence| {
        [
            Event::Started {
                worker,
                fence,
                run: RUN,
                answer,
            },
            Event::Stopped {
                worker,
                fence,
                run: RUN,
                answer,
            },
            Event::Paced {
                worker,
                fence,
                run: RUN,
                percent: 50,
                answer,
            },
        ]
    };
    for event in orders(first.fence) {
        coordinator.handle(event.clone(), now);
        assert!(!steps_down(&mut coordinator, now), "{event:?}");
    }
    for event in orders(second.fence) {
        coordinator.handle(event.clone(), now);
        assert!(steps_down(&mut coordinator, now), "{event:?}");
    }
}
