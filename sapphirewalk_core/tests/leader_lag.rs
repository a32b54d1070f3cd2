//! A leader that is short of processor time polls less often.

#![allow(missing_docs)]

use sapphirewalk_core::leader_lag::LagStep;
use sapphirewalk_core::leader_lag::LeaderLag;
use sapphirewalk_core::time::TimeSpan;

const fn millis(millis: u64) -> TimeSpan {
    TimeSpan::from_millis(millis)
}

#[test]
fn a_leader_that_keeps_up_delays_no_poll() {
    let mut leader_lag = LeaderLag::default();
    for _ in 0..100 {
        assert_eq!(leader_lag.observe(millis(15)), LagStep::Unchanged);
        assert_eq!(leader_lag.poll_delay(), TimeSpan::ZERO);
    }
}

#[test]
fn polls_are_delayed_with_the_lag_and_never_into_silence() {
    let mut leader_lag = LeaderLag::default();
    assert_eq!(leader_lag.observe(millis(100)), LagStep::Shed);
    assert_eq!(leader_lag.poll_delay(), millis(400));
    leader_lag.observe(millis(5_000));
    assert_eq!(leader_lag.poll_delay(), millis(800));
}

#[test]
fn a_leader_that_recovered_polls_at_the_usual_rate() {
    let mut leader_lag = LeaderLag::default();
    leader_lag.observe(millis(300));
    let steps: Vec<LagStep> = (0..40).map(|_| leader_lag.observe(millis(1))).collect();
    let recovered = steps.iter().filter(|step| **step == LagStep::Recover);
    assert_eq!(recovered.count(), 1);
    assert_eq!(leader_lag.poll_delay(), TimeSpan::ZERO);
}
