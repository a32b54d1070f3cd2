//! Acquisition, renewal, loss and release of a shard lease, and the worker leases under it.

use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::shard_lease::HolderName;
use sapphirewalk_core::shard_lease::LeaseStep;
use sapphirewalk_core::shard_lease::LeaseTiming;
use sapphirewalk_core::shard_lease::ProcessToken;
use sapphirewalk_core::shard_lease::ShardAuthority;
use sapphirewalk_core::shard_lease::ShardLease;
use sapphirewalk_core::shard_lease::ShardRow;
use sapphirewalk_core::shard_lease::ShardWrite;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::worker_lease::WorkerLease;

const START: TimePoint = TimePoint::from_millis(1_000_000);

fn at(secs: u64) -> TimePoint {
    START + TimeSpan::from_secs(secs)
}

fn name(vm: u32) -> HolderName {
    HolderName {
        vm: VmKey(vm),
        incarnation: 1,
    }
}

fn lease(vm: u32) -> ShardLease {
    ShardLease::new(
        name(vm),
        ProcessToken(u128::from(vm)),
        LeaseTiming::default(),
    )
}

fn expect_write(step: LeaseStep) -> ShardWrite {
    match step {
        LeaseStep::Write(write) => write,
        other => panic!("expected a write, got {other:?}"),
    }
}

/// A holder that acquired an absent row at `START`, and the row.
fn active_holder() -> (ShardLease, ShardRow) {
    let mut lease = lease(1);
    let write = expect_write(lease.on_row(None, START));
    assert_eq!(lease.on_committed(7), LeaseStep::Activate);
    let row = ShardRow {
        version: 7,
        record: write.record,
    };
    (lease, row)
}

/// The write by which another scheduler acquires a row that stays unchanged.
fn acquire_after_silence(successor: &mut ShardLease, row: ShardRow) -> ShardWrite {
    for secs in 0..30 {
        let step = successor.on_row(Some(row), at(secs));
        assert!(
            matches!(step, LeaseStep::WaitUntil(_)),
            "expected a wait, got {step:?} after {secs} s"
        );
    }
    expect_write(successor.on_row(Some(row), at(30)))
}

#[test]
fn an_unchanged_row_is_acquired_after_the_silence_span_and_the_former_lease_end_is_known() {
    let (_, row) = active_holder();
    let mut successor = lease(2);
    let write = acquire_after_silence(&mut successor, row);
    assert_eq!(write.version, Some(7));
    assert_eq!(write.record.epoch, row.record.epoch + 1);
    assert!(write.record.lease_until >= row.record.lease_until);
    assert_eq!(successor.on_committed(8), LeaseStep::Activate);
    assert_eq!(successor.former_until(), Some(row.record.lease_until));
}

#[test]
fn reads_with_long_gaps_do_not_count_as_silence() {
    let (_, row) = active_holder();
    let mut successor = lease(2);
    for secs in [0, 20, 40, 60] {
        let step = successor.on_row(Some(row), at(secs));
        assert!(matches!(step, LeaseStep::WaitUntil(_)));
    }
}

#[test]
fn a_released_row_and_the_row_of_a_gone_holder_are_acquired_at_once() {
    let (mut former, row) = active_holder();
    let released = former.release().expect("the shard is held");
    let vacant = ShardRow {
        version: 8,
        record: released.record,
    };
    expect_write(lease(2).on_row(Some(vacant), at(1)));
    let mut successor = lease(3);
    successor.note_gone(name(1));
    expect_write(successor.on_row(Some(row), at(1)));
    assert_eq!(former.authority(at(1)), ShardAuthority::Nothing);
}

#[test]
fn an_acquisition_never_shortens_a_later_lease_end() {
    let (_, mut row) = active_holder();
    row.record.lease_until = at(1_000);
    let mut successor = lease(2);
    let write = acquire_after_silence(&mut successor, row);
    assert_eq!(write.record.lease_until, at(1_000));
}

#[test]
fn a_paused_holder_must_renew_before_it_starts_tasks() {
    let (mut paused, row) = active_holder();
    assert_eq!(paused.authority(at(1)), ShardAuthority::Full);
    assert_eq!(paused.authority(at(40)), ShardAuthority::RenewOnly);
    assert_eq!(paused.authority(at(180)), ShardAuthority::Nothing);
    expect_write(paused.on_tick(at(40)));
    let taken = ShardRow {
        version: 9,
        record: acquire_after_silence(&mut lease(2), row).record,
    };
    assert_eq!(paused.on_row(Some(taken), at(41)), LeaseStep::StepDown);
    assert_eq!(paused.authority(at(41)), ShardAuthority::Nothing);
    assert_eq!(paused.write_condition(), None);
}

#[test]
fn a_renewal_whose_answer_was_lost_is_confirmed_by_a_read() {
    let (mut renewing, row) = active_holder();
    let write = expect_write(renewing.on_tick(at(10)));
    assert_eq!(renewing.on_unconfirmed(), LeaseStep::Read);
    assert_eq!(renewing.on_row(Some(row), at(11)), LeaseStep::Write(write));
    let renewed = ShardRow {
        version: 9,
        record: write.record,
    };
    renewing.on_row(Some(renewed), at(12));
    assert_eq!(renewing.write_condition(), Some(9));
    assert_eq!(renewing.authority(at(29)), ShardAuthority::Full);
}

#[test]
fn no_worker_lease_outlasts_the_shard_lease() {
    let (held, row) = active_holder();
    assert_eq!(held.worker_lease_until(at(0)), Some(at(120)));
    assert_eq!(
        held.worker_lease_until(at(100)),
        Some(row.record.lease_until)
    );
    assert_eq!(held.worker_lease_until(at(180)), None);
}

#[test]
fn a_worker_counts_as_stopped_only_after_clock_drift_and_stop_delay() {
    let timing = LeaseTiming::default();
    let mut worker = WorkerLease::new(at(50));
    worker.note_sent(at(20));
    let bound = timing.drift_max + timing.stop_delay_max;
    assert_eq!(worker.stopped_by(&timing), at(50) + bound);
    worker.note_sent(at(70));
    assert_eq!(worker.stopped_by(&timing), at(70) + bound);
    assert_eq!(worker.starts_refused_at(&timing), at(70) + timing.drift_max);
}
