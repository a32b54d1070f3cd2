//! Which restarts precede other work.

#![allow(missing_docs)]

use sapphirewalk_core::job_registry::JobSlot;
use sapphirewalk_core::job_registry::TaskSlot;
use sapphirewalk_core::restart_queue;
use sapphirewalk_core::restart_queue::RestartQueue;
use sapphirewalk_core::time::TimePoint;

const SINCE: TimePoint = TimePoint::from_millis(1_000);
/// When a restart that waits since [`SINCE`] has used half of its 6 s.
const LATER: TimePoint = TimePoint::from_millis(4_000);

fn queue_of(tasks: u32) -> RestartQueue {
    let mut queue = RestartQueue::default();
    for task in 0..tasks {
        let slot = TaskSlot {
            job: JobSlot(0),
            occurrence: 0,
            task,
        };
        queue.insert(slot, SINCE);
    }
    queue
}

#[test]
fn few_restarts_precede_other_work_whatever_they_take() {
    let mut queue = queue_of(restart_queue::FEW_RESTARTS as u32);
    for _ in 0..100 {
        assert!(queue.has_precedence(SINCE, SINCE));
        queue.record_restarts(13_000);
    }
}

#[test]
fn many_restarts_leave_the_room_to_urgent_work_at_first() {
    let queue = queue_of(500);
    let soon = TimePoint::from_millis(2_000);
    assert!(!queue.has_precedence(SINCE, soon));
    assert!(queue.has_precedence(SINCE, LATER));
    assert!(!queue.has_precedence(soon, soon));
}

#[test]
fn many_restarts_get_half_of_the_room() {
    for freed in [4_000, 20_000, 100_000] {
        let mut queue = queue_of(500);
        let (mut restarts, mut others) = (0, 0);
        for _ in 0..1_000 {
            let taken = if queue.has_precedence(SINCE, LATER) {
                13_000
            } else {
                0
            };
            queue.record_restarts(taken);
            restarts += taken;
            let left = u64::saturating_sub(freed, taken);
            queue.record_others(left);
            others += left;
        }
        assert!(restarts <= others + 13_000, "{restarts} of {others}");
        // One restart a round at most.
        let most = 1_000 * 13_000;
        assert!(
            2 * restarts >= others.min(most),
            "{restarts} beside {others}"
        );
    }
}

#[test]
fn a_wait_is_reported_once() {
    let mut queue = queue_of(2);
    assert!(queue.take_reports(TimePoint::from_millis(3_900)).is_empty());
    assert_eq!(queue.take_reports(TimePoint::from_millis(4_000)).len(), 2);
    assert!(queue.take_reports(TimePoint::from_millis(9_000)).is_empty());
    assert_eq!(queue.longest_since(), Some(SINCE));
}
