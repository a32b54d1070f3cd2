//! The order in which entry VMs become candidates for leadership.

use sapphirewalk_core::election_delay;
use sapphirewalk_core::time::TimeSpan;

fn names() -> Vec<String> {
    (0..40).map(|number| format!("vm-{number}")).collect()
}

#[test]
fn large_vms_become_candidates_before_small_ones() {
    for former in [None, Some(500)] {
        let names = names();
        let large = names
            .iter()
            .map(|vm| election_delay::candidate_delay(vm, 500, former));
        let small = names
            .iter()
            .map(|vm| election_delay::candidate_delay(vm, 69, former));
        assert!(large.min() < small.min(), "former share {former:?}");
    }
}

#[test]
fn vms_as_large_as_the_former_leaders_get_no_delay_for_size() {
    let names = names();
    let delays = names
        .iter()
        .map(|vm| election_delay::candidate_delay(vm, 100, Some(100)));
    assert!(delays.max() < Some(TimeSpan::from_millis(280)));
}
