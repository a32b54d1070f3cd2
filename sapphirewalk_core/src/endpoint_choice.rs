//! Load balancing by the power of two random choices.

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::key::EndpointKey;
use crate::time::TimeSpan;

/// Load and latency of an endpoint that a request may be sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointCandidate {
    /// Key under which the choice returns the endpoint.
    pub endpoint: EndpointKey,
    /// Free slots of this entry VM's share; an endpoint without any is not chosen.
    pub free_slots: u32,
    /// All slots of this entry VM's share, in use or free.
    pub share_slots: u32,
    /// Average latency of recent requests at the endpoint.
    pub latency: TimeSpan,
    /// Network round trip to the endpoint.
    pub round_trip: TimeSpan,
}

/// Result of a choice.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ChoiceStep {
    /// Send the request to this endpoint.
    Send(EndpointKey),
    /// No candidate that is not excluded has a free slot.
    NoneFree,
}

/// Draws two random candidates with a free slot and chooses the one of lower cost.
///
/// `excluded` lists endpoints that the request must not use again.
pub fn choose(
    candidates: &[EndpointCandidate],
    excluded: &[EndpointKey],
    rng: &mut ChaCha8Rng,
) -> ChoiceStep {
    let free: Vec<&EndpointCandidate> = candidates
        .iter()
        .filter(|candidate| candidate.free_slots > 0)
        .filter(|candidate| !excluded.contains(&candidate.endpoint))
        .collect();
    match free.as_slice() {
        [] => ChoiceStep::NoneFree,
        [only] => ChoiceStep::Send(only.endpoint),
        many => ChoiceStep::Send(better_of_two(many, rng).endpoint),
    }
}

fn better_of_two(candidates: &[&EndpointCandidate], rng: &mut ChaCha8Rng) -> EndpointCandidate {
    let first = rng.random_range(0..candidates.len());
    let step = rng.random_range(1..candidates.len());
    let second = (first + step) % candidates.len();
    let (first, second) = (*candidates[first], *candidates[second]);
    if cost(second) < cost(first) {
        second
    } else {
        first
    }
}

/// Expected latency in microseconds, increased in proportion to the used part of the share.
fn cost(candidate: EndpointCandidate) -> f64 {
    let share = f64::from(candidate.share_slots.max(1));
    let in_use = share - f64::from(candidate.free_slots).min(share);
    let load = (in_use + 1.0) / share;
    let latency = candidate.latency.as_micros().max(1) as f64;
    latency * (1.0 + load) + candidate.round_trip.as_micros() as f64
}
