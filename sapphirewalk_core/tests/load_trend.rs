//! The forecast of a service's load from noisy samples.

use sapphirewalk_core::load_trend::LoadTrend;
use sapphirewalk_core::time::TimePoint;

/// A load around 0 with an amplitude of 0.5 and a period of 12 s.
fn load_at(at_ms: u64) -> f64 {
    0.5 * (at_ms as f64 / 12_000.0 * std::f64::consts::TAU).sin()
}

/// The largest error of the forecasts for half a second ahead, if samples are off by `noise`.
fn largest_error(noise: f64) -> f64 {
    let mut trend = LoadTrend::default();
    let mut largest: f64 = 0.0;
    for sample in 0..400u64 {
        // Samples of six tasks, each polled twice a second.
        let at_ms = sample * 83;
        let offset = if sample % 2 == 0 { noise } else { -noise };
        trend.observe(load_at(at_ms) + offset, TimePoint::from_millis(at_ms));
        if at_ms > 2_000 {
            let error = trend.forecast() - load_at(at_ms + 500);
            largest = largest.max(error.abs());
        }
    }
    largest
}

#[test]
fn forecast_follows_a_periodic_load() {
    // A third of the amplitude; a constant forecast would be off by all of the amplitude.
    assert!(largest_error(0.0) < 0.17, "{}", largest_error(0.0));
    assert!(largest_error(0.1) < 0.25, "{}", largest_error(0.1));
}

#[test]
fn one_stalled_task_does_not_dominate_the_forecast() {
    let mut trend = LoadTrend::default();
    for sample in 0..60u64 {
        let stalled = if sample % 6 == 0 { 50.0 } else { 0.0 };
        trend.observe(stalled, TimePoint::from_millis(sample * 83));
    }
    assert!(trend.forecast() < 0.3, "{}", trend.forecast());
}
