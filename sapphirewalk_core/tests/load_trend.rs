//! The swing of a service's load is followed from rough samples.

use sapphirewalk_core::load_trend::LoadTrend;
use sapphirewalk_core::time::TimePoint;

/// A load that swings by half within 12 s.
fn load_at(at_ms: u64) -> f64 {
    0.5 * (at_ms as f64 / 12_000.0 * std::f64::consts::TAU).sin()
}

/// Follows a load over some time; the largest miss of the outlook, half a second ahead.
fn largest_miss(noise: f64) -> f64 {
    let mut swing = LoadTrend::default();
    let mut largest: f64 = 0.0;
    for sample in 0..400u64 {
        // Six tasks, each polled twice a second.
        let at_ms = sample * 83;
        let rough = if sample % 2 == 0 { noise } else { -noise };
        swing.observe(load_at(at_ms) + rough, TimePoint::from_millis(at_ms));
        if at_ms > 2_000 {
            let miss = swing.forecast() - load_at(at_ms + 500);
            largest = largest.max(miss.abs());
        }
    }
    largest
}

#[test]
fn the_outlook_follows_a_swing() {
    // A third of the swing's height; one that stood still would miss by all of it.
    assert!(largest_miss(0.0) < 0.17, "{}", largest_miss(0.0));
    assert!(largest_miss(0.1) < 0.25, "{}", largest_miss(0.1));
}

#[test]
fn a_stalled_task_does_not_stand_for_its_job() {
    let mut swing = LoadTrend::default();
    for sample in 0..60u64 {
        let stalled = if sample % 6 == 0 { 50.0 } else { 0.0 };
        swing.observe(stalled, TimePoint::from_millis(sample * 83));
    }
    assert!(swing.forecast() < 0.3, "{}", swing.forecast());
}
