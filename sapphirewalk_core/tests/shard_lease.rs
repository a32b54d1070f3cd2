//! Taking, renewing, losing and releasing a shard.

use sapphirewalk_core::key::VmKey;
use sapphirewalk_core::shard_lease::HolderName;
use sapphirewalk_core::shard_lease::LeaseRules;
use sapphirewalk_core::shard_lease::LeaseStep;
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
        LeaseRules::default(),
    )
}

fn written(step: LeaseStep) -> ShardWrite {
    match step {
        LeaseStep::Write(write) => write,
        other => panic!("no write but {other:?}"),
    }
}

/// A holder that took an absent row at `START`, and the row.
fn holder() -> (ShardLease, ShardRow) {
    let mut lease = lease(1);
    let write = written(lease.on_row(None, START));
    assert_eq!(lease.on_committed(7), LeaseStep::Activate);
    let row = ShardRow {
        version: 7,
        record: write.record,
    };
    (lease, row)
}

/// The write by which another scheduler takes a row that stays unchanged.
fn take_by_silence(taker: &mut ShardLease, row: ShardRow) -> ShardWrite {
    for secs in 0..30 {
        let step = taker.on_row(Some(row), at(secs));
        assert!(matches!(step, LeaseStep::WaitUntil(_)), "took at {secs} s");
    }
    written(taker.on_row(Some(row), at(30)))
}

#[test]
fn takes_a_silent_row_after_the_span_and_keeps_the_former_end() {
    let (_, row) = holder();
    let mut taker = lease(2);
    let write = take_by_silence(&mut taker, row);
    assert_eq!(write.version, Some(7));
    assert_eq!(write.record.epoch, row.record.epoch + 1);
    assert!(write.record.lease_until >= row.record.lease_until);
    assert_eq!(taker.on_committed(8), LeaseStep::Activate);
    assert_eq!(taker.former_until(), Some(row.record.lease_until));
}

#[test]
fn reads_with_a_gap_prove_no_silence() {
    let (_, row) = holder();
    let mut taker = lease(2);
    for secs in [0, 20, 40, 60] {
        let step = taker.on_row(Some(row), at(secs));
        assert!(matches!(step, LeaseStep::WaitUntil(_)));
    }
}

#[test]
fn takes_a_released_row_and_that_of_a_gone_holder_at_once() {
    let (mut former, row) = holder();
    let released = former.release().expect("held");
    let vacant = ShardRow {
        version: 8,
        record: released.record,
    };
    written(lease(2).on_row(Some(vacant), at(1)));
    let mut taker = lease(3);
    taker.note_gone(name(1));
    written(taker.on_row(Some(row), at(1)));
    assert_eq!(former.authority(at(1)), ShardAuthority::Nothing);
}

#[test]
fn a_later_end_is_never_lowered() {
    let (_, mut row) = holder();
    row.record.lease_until = at(1_000);
    let mut taker = lease(2);
    let write = take_by_silence(&mut taker, row);
    assert_eq!(write.record.lease_until, at(1_000));
}

#[test]
fn a_paused_holder_renews_before_it_starts_anything() {
    let (mut paused, row) = holder();
    assert_eq!(paused.authority(at(1)), ShardAuthority::Full);
    assert_eq!(paused.authority(at(40)), ShardAuthority::RenewOnly);
    assert_eq!(paused.authority(at(180)), ShardAuthority::Nothing);
    written(paused.on_tick(at(40)));
    let taken = ShardRow {
        version: 9,
        record: take_by_silence(&mut lease(2), row).record,
    };
    assert_eq!(paused.on_row(Some(taken), at(41)), LeaseStep::StepDown);
    assert_eq!(paused.authority(at(41)), ShardAuthority::Nothing);
    assert_eq!(paused.write_condition(), None);
}

#[test]
fn a_renewal_with_a_lost_answer_is_read_back() {
    let (mut renewing, row) = holder();
    let write = written(renewing.on_tick(at(10)));
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
fn workers_get_no_lease_beyond_the_shards() {
    let (held, row) = holder();
    assert_eq!(held.worker_lease_until(at(0)), Some(at(120)));
    assert_eq!(
        held.worker_lease_until(at(100)),
        Some(row.record.lease_until)
    );
    assert_eq!(held.worker_lease_until(at(180)), None);
}

#[test]
fn a_worker_has_stopped_only_after_drift_and_stop_delay() {
    let rules = LeaseRules::default();
    let mut worker = WorkerLease::new(at(50));
    worker.note_sent(at(20));
    let bound = rules.drift_max + rules.stop_delay_max;
    assert_eq!(worker.stopped_by(&rules), at(50) + bound);
    worker.note_sent(at(70));
    assert_eq!(worker.stopped_by(&rules), at(70) + bound);
    assert_eq!(worker.starts_refused_at(&rules), at(70) + rules.drift_max);
}
