//! Orders that a worker rejects because of a higher fencing token.

use sapphirewalk_core::coordinator::CoordinatorLimits;
use sapphirewalk_core::coordinator::Effect;
use sapphirewalk_core::coordinator::Event;
use sapphirewalk_core::coordinator::JobCoordinator;
use sapphirewalk_core::coordinator::OrderAnswer;
use sapphirewalk_core::coordinator::OrderTarget;
use sapphirewalk_core::coordinator::PollAnswer;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::job_spec::RunName;
use sapphirewalk_core::job_spec::TaskName;
use sapphirewalk_core::resource::ResourceVector;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_registry::WorkerListing;

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
    let limits = CoordinatorLimits {
        longest_lease: TimeSpan::from_secs(10),
        retention: TimeSpan::from_secs(120),
        harm_tolerance: TimeSpan::from_secs(4),
        evacuation_bound: None,
        service_lookahead: false,
        unavailability_notice: TimeSpan::from_millis(5_500),
    };
    let mut coordinator = JobCoordinator::new(limits, 1, now);
    let listing = WorkerListing {
        id: "w0".to_owned(),
        pool: "pool".to_owned(),
        address: ([127, 0, 0, 1], 1_000).into(),
        domain: "domain".to_owned(),
        rack: "rack".to_owned(),
        labels: Vec::new(),
        capacity: ResourceVector::ZERO,
        draining: false,
        leaves_in: TimeSpan::ZERO,
        born_ms: 0,
    };
    coordinator.set_workers(vec![listing], now);
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
