//! Who is ahead in the line for the leadership.

use sapphirewalk_core::election_delay;
use sapphirewalk_core::time::TimeSpan;

fn names() -> Vec<String> {
    (0..40).map(|number| format!("vm-{number}")).collect()
}

#[test]
fn small_vms_let_a_large_one_lead() {
    for former in [None, Some(500)] {
        let names = names();
        let large = names
            .iter()
            .map(|vm| election_delay::candidate_delay(vm, 500, former));
        let small = names
            .iter()
            .map(|vm| election_delay::candidate_delay(vm, 69, former));
        assert!(large.min() < small.min(), "after {former:?}");
    }
}

#[test]
fn a_handover_among_vms_of_one_size_waits_for_the_line_only() {
    let names = names();
    let delays = names
        .iter()
        .map(|vm| election_delay::candidate_delay(vm, 100, Some(100)));
    assert!(delays.max() < Some(TimeSpan::from_millis(280)));
}
