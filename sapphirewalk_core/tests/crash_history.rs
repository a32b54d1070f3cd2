//! When a task is given up because workers crash under it.

#![allow(missing_docs)]

use sapphirewalk_core::crash_history::CrashHistory;
use sapphirewalk_core::crash_history::CrashReport;
use sapphirewalk_core::crash_history::CrashVerdict;
use sapphirewalk_core::time::TimeSpan;

/// A crash of the worker of a run that has survived `survived_ms`, beside `new_beside` new ones.
const fn report(survived_ms: u64, new_beside: usize) -> CrashReport {
    CrashReport {
        survived: Some(TimeSpan::from_millis(survived_ms)),
        new_beside,
        common: false,
        proven: true,
        settled: true,
        service: false,
    }
}

/// The verdicts on a series of crashes, and the history after them.
fn verdicts(reports: &[CrashReport]) -> (Vec<CrashVerdict>, CrashHistory) {
    let mut history = CrashHistory::default();
    let verdicts = reports.iter().map(|report| history.record_crash(*report));
    (verdicts.collect(), history)
}

#[test]
fn a_task_that_crashes_workers_without_another_new_run_is_given_up_after_the_third() {
    let (verdicts, _) = verdicts(&[report(0, 3), report(0, 0), report(0, 0)]);
    let expected = [
        CrashVerdict::Retry,
        CrashVerdict::Retry,
        CrashVerdict::GiveUp,
    ];
    assert_eq!(verdicts, expected);
}

#[test]
fn a_task_is_not_given_up_after_two_crashes() {
    let (verdicts, history) = verdicts(&[report(0, 0), report(0, 0)]);
    assert_eq!(verdicts, [CrashVerdict::Retry; 2]);
    assert!(history.needs_trial());
}

#[test]
fn a_task_beside_other_new_runs_gets_a_trial_only_after_two_crashes() {
    let (_, mut history) = verdicts(&[report(0, 2)]);
    assert!(history.is_suspect() && !history.needs_trial());
    history.record_crash(report(3_000, 2));
    assert!(history.needs_trial());
}

#[test]
fn crashes_beside_other_new_runs_are_not_blamed() {
    let (verdicts, history) = verdicts(&[report(0, 2); 4]);
    assert_eq!(verdicts, [CrashVerdict::Retry; 4]);
    assert_eq!((history.crashes(), history.blamed()), (4, 0));
}

#[test]
fn no_task_is_started_more_than_twice_after_three_crashes() {
    for survived_ms in [0, 10, 900, 1_500, 4_900] {
        for new_beside in [0, 1, 9] {
            let (verdicts, _) = verdicts(&[report(survived_ms, new_beside); 5]);
            assert!(
                verdicts.contains(&CrashVerdict::GiveUp),
                "{survived_ms} ms beside {new_beside}"
            );
        }
    }
}

#[test]
fn crashes_of_old_runs_are_blamed_only_on_a_task_that_had_a_trial() {
    let (_, mut history) = verdicts(&[report(2_500, 0); 2]);
    assert_eq!(history.blamed(), 0);
    assert_eq!(history.record_crash(report(2_500, 0)), CrashVerdict::Retry);
    assert_eq!(history.record_crash(report(2_500, 0)), CrashVerdict::GiveUp);
}

#[test]
fn crashes_of_many_workers_at_once_are_not_blamed() {
    let common = CrashReport {
        common: true,
        ..report(0, 0)
    };
    let (verdicts, history) = verdicts(&[common; 4]);
    assert_eq!(verdicts, [CrashVerdict::Retry; 4]);
    assert_eq!((history.crashes(), history.blamed()), (4, 0));
}

#[test]
fn an_older_run_is_not_counted_when_many_workers_crash_at_once() {
    let common = CrashReport {
        common: true,
        ..report(2_000, 0)
    };
    let (verdicts, history) = verdicts(&[common; 8]);
    assert_eq!(verdicts, [CrashVerdict::Retry; 8]);
    assert!(history.is_suspect() && !history.needs_trial());
}

#[test]
fn a_task_that_crashes_its_worker_whenever_many_crash_is_given_up_after_the_fifth() {
    let common = CrashReport {
        common: true,
        ..report(0, 0)
    };
    let (verdicts, _) = verdicts(&[common; 5]);
    assert_eq!(verdicts[3..], [CrashVerdict::Retry, CrashVerdict::GiveUp]);
}

#[test]
fn a_run_that_stays_alive_clears_its_task() {
    let (_, mut history) = verdicts(&[report(0, 0), report(0, 0)]);
    assert!(!history.record_alive(TimeSpan::from_millis(4_000)));
    assert!(history.record_alive(TimeSpan::from_millis(5_000)));
    assert_eq!(history, CrashHistory::default());
    assert!(!history.record_alive(TimeSpan::from_millis(9_000)));
    assert_eq!(history.record_crash(report(0, 0)), CrashVerdict::Retry);
}

/// Guards against tasks that are given up because their workers were cut off until their leases had
/// ended.
#[test]
fn losses_that_are_not_proven_to_be_crashes_are_not_counted() {
    for survived_ms in [0, 100, 2_000] {
        let cut_off = CrashReport {
            proven: false,
            ..report(survived_ms, 0)
        };
        let (verdicts, history) = verdicts(&[cut_off; 8]);
        assert_eq!(verdicts, [CrashVerdict::Retry; 8]);
        assert!(!history.needs_trial() && history.crashes() <= 1);
    }
}

/// Guards against tasks that are given up because of a worker that goes down and up by itself.
#[test]
fn crashes_of_a_worker_that_had_just_started_are_not_counted() {
    let flapping = CrashReport {
        settled: false,
        ..report(0, 0)
    };
    let (verdicts, history) = verdicts(&[flapping; 8]);
    assert_eq!(verdicts, [CrashVerdict::Retry; 8]);
    assert!(history.is_suspect() && !history.needs_trial());
}

#[test]
fn a_crash_of_an_unconfirmed_run_is_not_blamed() {
    let unconfirmed = CrashReport {
        survived: None,
        ..report(0, 0)
    };
    let (verdicts, history) = verdicts(&[unconfirmed; 4]);
    assert_eq!(verdicts, [CrashVerdict::Retry; 4]);
    assert_eq!((history.crashes(), history.blamed()), (4, 0));
}

#[test]
fn a_task_of_a_service_is_given_up_only_if_it_is_the_cause() {
    let beside = CrashReport {
        service: true,
        ..report(0, 1)
    };
    let (before, mut history) = verdicts(&[beside; 8]);
    assert_eq!(before, [CrashVerdict::Retry; 8]);
    let alone = CrashReport {
        new_beside: 0,
        ..beside
    };
    assert_eq!(history.record_crash(alone), CrashVerdict::Retry);
    assert_eq!(history.record_crash(alone), CrashVerdict::GiveUp);
}
