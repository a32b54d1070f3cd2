//! Rows of progress, written by this version of the program and by the one before.

#![allow(missing_docs)]

use sapphirewalk_core::crash_history::CrashHistory;
use sapphirewalk_core::crash_history::CrashReport;
use sapphirewalk_core::job_registry::JobProgress;
use sapphirewalk_core::job_registry::JobState;
use sapphirewalk_core::job_registry::TaskProgress;
use sapphirewalk_core::job_registry::WorkerIncarnation;
use sapphirewalk_core::job_spec::JobId;
use sapphirewalk_core::progress_row;
use sapphirewalk_core::progress_row::FormerProgress;
use sapphirewalk_core::progress_row::FormerTask;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

#[test]
fn crashes_and_incarnations_survive_a_takeover() {
    let mut crash_history = CrashHistory::default();
    let report = CrashReport {
        survived: Some(TimeSpan::ZERO),
        new_beside: 0,
        common: false,
        proven: true,
        settled: true,
        service: false,
    };
    crash_history.record_crash(report);
    let progress = JobProgress {
        id: JobId(7),
        state: JobState::Running,
        workers: vec![WorkerIncarnation {
            id: "w1".to_owned(),
            born_ms: 1_700_000_000_123,
        }],
        tasks: vec![TaskProgress {
            attempt: 3,
            crash_history,
            worker: Some(0),
            ..TaskProgress::default()
        }],
        ..JobProgress::default()
    };
    let row = progress_row::encode(&progress);
    assert_eq!(progress_row::decode(&row), Some(progress));
}

#[test]
fn rows_of_the_former_version_are_read_after_an_upgrade() {
    let former = FormerProgress {
        id: JobId(7),
        state: JobState::Running,
        next_occurrence: 1,
        occurrences: vec![(0, TimePoint::from_millis(5))],
        workers: vec!["w1".to_owned()],
        tasks: vec![FormerTask {
            occurrence: 0,
            task: 2,
            attempt: 4,
            failures: 1,
            worker: Some(0),
            done: false,
            checkpoint: "c".to_owned(),
        }],
    };
    let mut row = vec![1];
    row.extend(postcard::to_allocvec(&former).expect("plain types are encoded"));
    let progress = progress_row::decode(&row).expect("the former version is read");
    assert_eq!(progress.occurrences, former.occurrences);
    assert_eq!(progress.workers[0].id, "w1");
    let task = &progress.tasks[0];
    assert_eq!((task.task, task.attempt, task.failures), (2, 4, 1));
    assert_eq!((task.worker, task.checkpoint.as_str()), (Some(0), "c"));
    assert!(!task.crash_history.is_suspect());
}

#[test]
fn unknown_versions_and_cut_rows_are_refused() {
    let row = progress_row::encode(&JobProgress::default());
    assert_eq!(progress_row::decode(&[]), None);
    assert_eq!(progress_row::decode(&[9, 0, 0]), None);
    assert_eq!(progress_row::decode(&row[..2]), None);
}
