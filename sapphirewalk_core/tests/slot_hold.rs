//! The slot of an attempt outlasts the work of its endpoint, also if the process was paused.

#![allow(missing_docs)]

use sapphirewalk_core::deadline::RequestDeadline;
use sapphirewalk_core::slot_hold::SendStep;
use sapphirewalk_core::slot_hold::SlotHold;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const MARGIN: TimeSpan = TimeSpan::from_millis(500);

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(10_000 + millis)
}

fn begin(deadline_ms: u64, now_ms: u64) -> SendStep {
    SlotHold::begin(RequestDeadline::at(at(deadline_ms)), MARGIN, at(now_ms))
}

#[test]
fn a_process_that_was_paused_past_the_deadline_sends_nothing() {
    assert_eq!(begin(1_500, 1_500), SendStep::TooLate);
    assert_eq!(begin(1_500, 5_000), SendStep::TooLate);
}

#[test]
fn the_slot_covers_a_request_that_was_written_only_after_a_pause() {
    let SendStep::Send(hold) = begin(1_500, 100) else {
        panic!("the deadline is later");
    };
    assert_eq!(hold.sent_at(), at(100));
    // The process is paused from 100 ms to 4,100 ms, right before it writes the request. The
    // endpoint receives it at 4,100 ms, with 1,400 ms left.
    let received_ms = 4_100;
    let works_until = at(received_ms + 1_400);
    assert!(hold.release_at(at(received_ms)) >= works_until + MARGIN);
}

#[test]
fn the_slot_of_a_broken_attempt_covers_the_deadline() {
    let SendStep::Send(hold) = begin(1_500, 0) else {
        panic!("the deadline is later");
    };
    for ended_ms in [0, 700, 1_500] {
        assert!(hold.release_at(at(ended_ms)) >= at(1_500) + MARGIN);
    }
}
