//! The begin and the end of violations, from samples with noise.

#![allow(missing_docs)]

use sapphirewalk_core::tail_violation::TailViolation;
use sapphirewalk_core::tail_violation::ViolationChange;
use sapphirewalk_core::tail_violation::ViolationSpan;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

/// Log ratio of a tail over its target.
const OVER: f64 = 0.1;
/// Log ratio of a tail near its target.
const NEAR: f64 = -0.1;
/// Log ratio of a tail below its target.
const BELOW: f64 = -0.2;
/// Log ratio of a tail far below its target.
const FAR_BELOW: f64 = -0.5;

fn at(millis: u64) -> TimePoint {
    TimePoint::from_millis(1_000_000 + millis)
}

#[test]
fn a_violation_counts_from_the_last_sample_without_it() {
    let mut violation = TailViolation::default();
    assert_eq!(violation.observe(BELOW, at(0)), ViolationChange::Calm);
    assert_eq!(violation.observe(OVER, at(1_000)), ViolationChange::Begun);
    let span = ViolationSpan {
        seen: TimeSpan::from_millis(450),
        possible: TimeSpan::from_millis(1_450),
    };
    let change = violation.observe(OVER, at(1_450));
    let is_over = true;
    assert_eq!(change, ViolationChange::Lasts { span, is_over });
}

/// Guards against a detection that starts over at each sample that is too low.
#[test]
fn one_low_sample_does_not_end_a_violation() {
    let mut violation = TailViolation::default();
    violation.observe(BELOW, at(0));
    violation.observe(OVER, at(500));
    assert_eq!(violation.observe(BELOW, at(950)), ViolationChange::Fades);
    let span = violation.observe(OVER, at(1_400)).lasting();
    assert_eq!(span.possible, TimeSpan::from_millis(1_400));
    assert_eq!(span.seen, TimeSpan::from_millis(900));
}

#[test]
fn two_low_samples_in_a_row_end_a_violation() {
    let mut violation = TailViolation::default();
    violation.observe(BELOW, at(0));
    violation.observe(OVER, at(500));
    violation.observe(BELOW, at(950));
    let ended = ViolationChange::Ended {
        duration: TimeSpan::from_millis(1_400),
        peak: OVER,
    };
    assert_eq!(violation.observe(BELOW, at(1_400)), ended);
    assert!(!violation.is_active());
}

#[test]
fn one_sample_far_below_the_target_ends_a_violation() {
    let mut violation = TailViolation::default();
    violation.observe(OVER, at(500));
    let change = violation.observe(FAR_BELOW, at(950));
    assert!(matches!(change, ViolationChange::Ended { .. }));
}

/// Guards against evictions for a tail that is back below its target.
#[test]
fn a_tail_near_its_target_prolongs_a_violation_without_being_over() {
    let mut violation = TailViolation::default();
    violation.observe(OVER, at(500));
    let change = violation.observe(NEAR, at(950));
    assert_eq!(change.lasting().seen, TimeSpan::from_millis(450));
    assert!(!change.is_over());
    assert!(violation.observe(OVER, at(1_400)).is_over());
}
