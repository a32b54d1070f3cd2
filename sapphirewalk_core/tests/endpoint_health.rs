//! Ejection and readmission of endpoints, the bound on ejections, and the leaving flag.

use sapphirewalk_core::endpoint_health::EjectionParams;
use sapphirewalk_core::endpoint_health::HealthSample;
use sapphirewalk_core::endpoint_health::HealthStep;
use sapphirewalk_core::endpoint_health::HealthTable;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

const NOW: TimePoint = TimePoint::from_millis(1_000);
const ENDPOINTS: u32 = 10;
const SAMPLES: u32 = 30;
const EXPECTED: TimeSpan = TimeSpan::from_millis(10);

fn table() -> HealthTable {
    let mut table = HealthTable::new(EjectionParams::default());
    for endpoint in 0..ENDPOINTS {
        table.put_endpoint(EndpointKey(endpoint));
    }
    table
}

fn answered(millis: u64) -> HealthSample {
    HealthSample::Answered {
        latency: TimeSpan::from_millis(millis),
        expected: EXPECTED,
    }
}

fn record_all(table: &mut HealthTable, sample_of: impl Fn(u32) -> HealthSample) {
    for _ in 0..SAMPLES {
        for endpoint in 0..ENDPOINTS {
            table.record(EndpointKey(endpoint), sample_of(endpoint), NOW);
        }
    }
}

fn later(millis: u64) -> TimePoint {
    NOW + TimeSpan::from_millis(millis)
}

#[test]
fn a_slow_or_failing_endpoint_is_ejected() {
    for bad in [answered(60), HealthSample::Failed] {
        let mut table = table();
        record_all(
            &mut table,
            |endpoint| if endpoint == 3 { bad } else { answered(10) },
        );
        let step = table.step(EndpointKey(3), NOW);
        assert_eq!(step, HealthStep::EjectedUntil(later(1_000)));
        assert_eq!(table.step(EndpointKey(4), NOW), HealthStep::Serve);
    }
}

#[test]
fn a_failure_or_two_overdue_requests_make_an_endpoint_suspect() {
    let endpoint = EndpointKey(1);
    for (sample, needed) in [(HealthSample::Failed, 1), (HealthSample::Overdue, 2)] {
        let mut table = table();
        for _ in 0..needed {
            assert_eq!(table.step(endpoint, NOW), HealthStep::Serve);
            table.record(endpoint, sample, NOW);
        }
        for _ in 0..5 {
            assert_eq!(table.step(endpoint, NOW), HealthStep::Suspect);
            table.record(endpoint, answered(10), NOW);
        }
        assert_eq!(table.step(endpoint, NOW), HealthStep::Serve);
    }
}

#[test]
fn no_endpoint_is_ejected_when_all_are_equally_slow() {
    let mut table = table();
    record_all(&mut table, |_| answered(100));
    assert_eq!(table.ejected(), 0);
}

#[test]
fn ejections_stay_within_the_bound_when_all_endpoints_fail() {
    let mut table = table();
    record_all(&mut table, |_| HealthSample::Failed);
    assert_eq!(table.ejected(), 2);
}

#[test]
fn successful_probes_readmit_an_endpoint_and_a_failed_one_ejects_it_for_longer() {
    let mut table = table();
    let endpoint = EndpointKey(0);
    (0..3).for_each(|_| table.record(endpoint, HealthSample::Failed, NOW));
    assert_eq!(table.step(endpoint, later(1_000)), HealthStep::Probe);
    table.record(endpoint, HealthSample::Failed, later(1_000));
    let step = table.step(endpoint, later(1_000));
    assert_eq!(step, HealthStep::EjectedUntil(later(3_000)));
    (0..5).for_each(|_| table.record(endpoint, answered(10), later(3_000)));
    assert_eq!(table.step(endpoint, later(3_000)), HealthStep::Serve);
}

#[test]
fn an_endpoint_flagged_as_leaving_stays_so_when_it_is_listed_again() {
    let mut table = table();
    table.mark_leaving(EndpointKey(2));
    table.mark_leaving(EndpointKey(77));
    for endpoint in [EndpointKey(2), EndpointKey(77)] {
        table.put_endpoint(endpoint);
        table.record(endpoint, answered(10), NOW);
        assert_eq!(table.step(endpoint, NOW), HealthStep::Leaving);
    }
}
