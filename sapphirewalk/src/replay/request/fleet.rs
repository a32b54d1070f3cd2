//! Builds the simulated gateways and endpoints of a trace.

use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::key::VmKey;

use crate::replay::request::fake_endpoint::FakeEndpoint;
use crate::replay::request::fake_gateway::FakeGateway;
use crate::replay::request::fake_gateway::GatewaySpec;
use crate::replay::request::trace::DomainSize;
use crate::replay::request::trace::RequestTrace;
use crate::replay::request::variant::PolicyVariant;

/// Gateways in order of failure domain and seat, as the trace numbers them.
///
/// With merged seats there is one gateway for each domain.
pub fn gateways(trace: &RequestTrace, variant: PolicyVariant) -> Vec<FakeGateway> {
    let mut gateways = Vec::new();
    let mut next_endpoint = 0;
    for (domain, size) in trace.fleet.domains.iter().enumerate() {
        let endpoints: Vec<EndpointKey> = (next_endpoint..next_endpoint + size.endpoints)
            .map(EndpointKey)
            .collect();
        next_endpoint += size.endpoints;
        let seats = seat_count(*size, variant);
        for seat in 0..seats {
            let spec = GatewaySpec {
                vm: VmKey(u32::try_from(gateways.len()).unwrap_or(u32::MAX)),
                domain,
                seat,
                seats,
                endpoints: endpoints.clone(),
            };
            gateways.push(FakeGateway::new(spec, trace, variant));
        }
    }
    gateways
}

/// Endpoints in order of failure domain, as the trace numbers them.
pub fn endpoints(trace: &RequestTrace) -> Vec<FakeEndpoint> {
    let count = trace.fleet.domains.iter().map(|size| size.endpoints).sum();
    (0..count)
        .map(|endpoint| FakeEndpoint::new(endpoint, &trace.fleet, &trace.conditions))
        .collect()
}

/// Index of the gateway that serves the requests that the trace sends to gateway `recorded`.
///
/// With merged seats this is the only gateway of the same domain.
pub fn gateway_of(trace: &RequestTrace, variant: PolicyVariant, recorded: usize) -> usize {
    if !variant.merges_seats {
        return recorded;
    }
    let mut first = 0;
    for (domain, size) in trace.fleet.domains.iter().enumerate() {
        first += size.gateways as usize;
        if recorded < first {
            return domain;
        }
    }
    0
}

const fn seat_count(size: DomainSize, variant: PolicyVariant) -> u32 {
    if variant.merges_seats {
        1
    } else {
        size.gateways
    }
}
