//! When a leader releases the leadership to a larger VM.

#![allow(missing_docs)]

use sapphirewalk_core::leadership_handback::HandbackStep;
use sapphirewalk_core::leadership_handback::LeadershipHandback;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const SMALL_CPU: u64 = 69;
const LARGE_CPU: u64 = 500;
const BEGAN_AT: TimePoint = TimePoint::from_millis(10_000);
/// Age of the last batch on a calm store.
const CALM: TimeSpan = TimeSpan::from_millis(400);
/// Age of the last batch on a slow store.
const SLOW: TimeSpan = TimeSpan::from_millis(1_300);

/// A leadership on a small VM, with a large and another small peer.
fn small_leader(recent_takeovers: usize) -> LeadershipHandback {
    let mut handback = LeadershipHandback::new(SMALL_CPU, recent_takeovers, BEGAN_AT);
    handback.peer_connected(7, LARGE_CPU);
    handback.peer_connected(3, SMALL_CPU);
    handback
}

/// Time of the release, in ms after the begin of the leadership, if there is one within 10 s.
/// `batch_age` gives the age of the last batch at such a time.
fn released_at(
    handback: &mut LeadershipHandback,
    batch_age: impl Fn(u64) -> TimeSpan,
) -> Option<u64> {
    (0..10_000).step_by(100).find(|at_ms| {
        let now = BEGAN_AT + TimeSpan::from_millis(*at_ms);
        handback.decide(batch_age(*at_ms), now) == HandbackStep::Release(LARGE_CPU)
    })
}

#[test]
fn two_vms_do_not_take_turns_within_the_orders_of_the_former_one() {
    let at_ms = released_at(&mut small_leader(1), |_at_ms| CALM);
    assert!(at_ms.is_some_and(|at_ms| (3_000..6_000).contains(&at_ms)));
}

#[test]
fn the_leadership_is_kept_until_the_store_has_been_calm() {
    let slow_until = |at_ms| if at_ms < 7_000 { SLOW } else { CALM };
    let at_ms = released_at(&mut small_leader(1), slow_until);
    assert!(at_ms.is_some_and(|at_ms| (8_000..9_000).contains(&at_ms)));
    assert_eq!(released_at(&mut small_leader(1), |_at_ms| SLOW), None);
}

#[test]
fn the_leadership_is_kept_after_many_takeovers() {
    assert_eq!(released_at(&mut small_leader(3), |_at_ms| CALM), None);
}

#[test]
fn the_leadership_is_kept_while_no_larger_vm_is_connected() {
    let mut handback = small_leader(1);
    handback.peer_gone(7);
    assert_eq!(released_at(&mut handback, |_at_ms| CALM), None);
    let mut handback = LeadershipHandback::new(LARGE_CPU, 1, BEGAN_AT);
    handback.peer_connected(7, LARGE_CPU);
    assert_eq!(released_at(&mut handback, |_at_ms| CALM), None);
}
