//! Who becomes the leader while the store, the leader or both are at fault.

#![allow(missing_docs)]

mod model;

use crate::model::DaySpan;
use crate::model::ElectionDay;
use crate::model::LARGE_CPU;

const SEEDS: std::ops::Range<u64> = 0..20;
const LARGE: usize = 15;
const SMALL: usize = 132;
/// Most takeovers that may follow one disruption.
const FEW_TAKEOVERS: usize = 3;
/// Time within which the leadership is back on a large VM after the last disruption.
const RECOVERY_MS: u64 = 5_000;

fn span(from_ms: u64, until_ms: u64) -> DaySpan {
    DaySpan { from_ms, until_ms }
}

/// Answers are lost, then the store is slow, then the leader's VM is killed.
fn lost_slow_and_killed() -> ElectionDay {
    ElectionDay {
        losing: vec![(span(5_300, 9_800), 0.4)],
        slow: vec![span(10_500, 15_000)],
        leader_kills: vec![16_800],
        end_ms: 45_000,
        ..ElectionDay::default()
    }
}

#[test]
fn a_killed_leader_is_replaced_within_about_a_second() {
    for seed in SEEDS {
        let day = ElectionDay {
            leader_kills: vec![5_000],
            end_ms: 15_000,
            ..ElectionDay::default()
        };
        let report = model::play(seed, LARGE, SMALL, day);
        let pause = report.longest_pause(4_500, 15_000);
        assert!(pause < 1_300, "seed {seed}: {pause} ms");
        assert_eq!(report.takeovers.len(), 2, "seed {seed}");
        assert_eq!(report.takeovers[1].cpu_millis, LARGE_CPU, "seed {seed}");
    }
}

#[test]
fn a_frozen_leader_is_replaced_once_within_three_seconds() {
    for seed in SEEDS {
        let day = ElectionDay {
            leader_freezes: vec![span(5_000, 10_000)],
            end_ms: 15_000,
            ..ElectionDay::default()
        };
        let report = model::play(seed, LARGE, SMALL, day);
        let pause = report.longest_pause(4_500, 15_000);
        assert!(pause < 3_000, "seed {seed}: {pause} ms");
        assert_eq!(report.takeovers.len(), 2, "seed {seed}");
        assert_eq!(report.takeovers[1].cpu_millis, LARGE_CPU, "seed {seed}");
    }
}

#[test]
fn a_slow_store_with_lost_answers_causes_no_cascade_of_takeovers() {
    for seed in SEEDS {
        let report = model::play(seed, LARGE, SMALL, lost_slow_and_killed());
        let counts = [(5_300, 10_500), (10_500, 16_800), (16_800, 45_000)]
            .map(|(from_ms, until_ms)| report.takeovers_in(from_ms, until_ms));
        assert!(
            counts.iter().all(|count| *count <= FEW_TAKEOVERS),
            "seed {seed}: takeovers {counts:?}"
        );
        assert_eq!(report.unverified, 0, "seed {seed}");
    }
}

#[test]
fn the_leadership_is_back_on_a_large_vm_soon_after_a_slow_store() {
    for seed in SEEDS {
        let report = model::play(seed, LARGE, SMALL, lost_slow_and_killed());
        let last = report.takeovers.last().expect("a VM leads");
        assert_eq!(last.cpu_millis, LARGE_CPU, "seed {seed}");
        assert!(
            last.at_ms < 16_800 + RECOVERY_MS,
            "seed {seed}: leads from {} ms",
            last.at_ms
        );
        let pause = report.longest_pause(16_800 + RECOVERY_MS, 45_000);
        assert!(pause < 1_000, "seed {seed}: {pause} ms without a batch");
    }
}

#[test]
fn a_late_acquisition_by_a_small_vm_causes_no_cascade_of_takeovers() {
    for seed in SEEDS {
        let day = ElectionDay {
            late_acquisitions: vec![5_000],
            late_vm: LARGE + SMALL - 1,
            end_ms: 20_000,
            ..ElectionDay::default()
        };
        let report = model::play(seed, LARGE, SMALL, day);
        let count = report.takeovers_in(5_000, 20_000);
        assert!(count <= FEW_TAKEOVERS, "seed {seed}: {count} takeovers");
        assert_eq!(report.unverified, 0, "seed {seed}");
    }
}

#[test]
fn a_small_vm_that_a_late_acquisition_names_yields_to_a_large_one() {
    for seed in SEEDS {
        let day = ElectionDay {
            late_acquisitions: vec![5_000],
            late_vm: LARGE + SMALL - 1,
            end_ms: 5_000 + RECOVERY_MS,
            ..ElectionDay::default()
        };
        let report = model::play(seed, LARGE, SMALL, day);
        let last = report.takeovers.last().expect("a VM leads");
        assert_eq!(last.cpu_millis, LARGE_CPU, "seed {seed}");
        assert!(last.at_ms > 5_000, "seed {seed}: nobody leads");
    }
}

/// Guards against a small VM that keeps the leadership for good.
#[test]
fn a_small_vm_that_led_while_no_large_one_could_hands_the_leadership_back() {
    for seed in SEEDS {
        let day = ElectionDay {
            leader_kills: vec![5_000],
            large_freezes: vec![span(4_900, 9_000)],
            end_ms: 30_000,
            ..ElectionDay::default()
        };
        let report = model::play(seed, LARGE, SMALL, day);
        let small = report.takeovers.iter();
        let small = small.filter(|takeover| takeover.cpu_millis < LARGE_CPU);
        assert_eq!(small.count(), 1, "seed {seed}: {:?}", report.takeovers);
        let last = report.takeovers.last().expect("a VM leads");
        assert_eq!(last.cpu_millis, LARGE_CPU, "seed {seed}");
        assert!(
            last.at_ms < 9_000 + RECOVERY_MS,
            "seed {seed}: leads from {} ms",
            last.at_ms
        );
        let count = report.takeovers_in(5_000, 30_000);
        assert!(count <= FEW_TAKEOVERS, "seed {seed}: {count} takeovers");
        assert_eq!(report.unverified, 0, "seed {seed}");
    }
}

/// Guards against a process that replaces its own late row again and again, and never leads.
#[test]
fn a_late_acquisition_by_a_large_vm_leaves_the_fleet_with_a_leader() {
    for (large, small) in [(LARGE, SMALL), (5, 0), (3, 0)] {
        for seed in SEEDS {
            let day = ElectionDay {
                late_acquisitions: vec![5_000],
                late_vm: 1,
                end_ms: 20_000,
                ..ElectionDay::default()
            };
            let report = model::play(seed, large, small, day);
            let pause = report.longest_pause(4_500, 20_000);
            assert!(
                pause < RECOVERY_MS,
                "{large} and {small} VMs, seed {seed}: {pause} ms without a batch"
            );
            let count = report.takeovers_in(5_000, 20_000);
            assert!(count <= FEW_TAKEOVERS, "seed {seed}: {count} takeovers");
            assert_eq!(report.unverified, 0, "seed {seed}");
        }
    }
}

/// Guards against a leader that is replaced before it has loaded the records, again and again.
#[test]
fn a_small_leader_that_loads_for_seconds_is_not_replaced_meanwhile() {
    for seed in SEEDS {
        let day = ElectionDay {
            leader_kills: vec![5_000],
            large_freezes: vec![span(4_900, 30_000)],
            more_records: 1,
            end_ms: 30_000,
            ..ElectionDay::default()
        };
        let report = model::play(seed, LARGE, SMALL, day);
        let count = report.takeovers_in(5_000, 30_000);
        assert!(count <= FEW_TAKEOVERS, "seed {seed}: {count} takeovers");
        let pause = report.longest_pause(5_000 + 2 * RECOVERY_MS, 30_000);
        assert!(pause < 1_000, "seed {seed}: {pause} ms without a batch");
        assert_eq!(report.unverified, 0, "seed {seed}");
    }
}
