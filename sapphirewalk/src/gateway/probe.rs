//! Probes the health of endpoints that have not answered a request for a probe interval.

use std::sync::Arc;
use std::time;

use bytes::Bytes;
use futures::future;
use http_body_util::Full;
use hyper::Request;
use hyper::StatusCode;
use hyper::header;
use tokio::time::MissedTickBehavior;

use sapphirewalk_core::endpoint_health::HealthSample;
use sapphirewalk_core::endpoint_health::HealthStep;
use sapphirewalk_core::key::EndpointKey;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_wire::endpoint;

use crate::gateway::connection;
use crate::gateway::connection::ConnectResult;
use crate::gateway::leaving;
use crate::gateway::state::Gateway;

/// Sends probes at each interval until the process ends.
pub async fn run(gateway: Arc<Gateway>) {
    let millis = gateway.process.settings.gateway.probe_interval_ms;
    let interval = time::Duration::from_millis(millis);
    let mut ticks = tokio::time::interval(interval);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let due = endpoints_to_probe(&gateway, TimeSpan::from_millis(millis));
        let probes = due.into_iter().map(|key| {
            let gateway = Arc::clone(&gateway);
            async move {
                let probe = probe(&gateway, key);
                if tokio::time::timeout(interval, probe).await.is_err() {
                    record_failure(&gateway, key);
                }
            }
        });
        future::join_all(probes).await;
    }
}

fn endpoints_to_probe(gateway: &Gateway, max_age: TimeSpan) -> Vec<EndpointKey> {
    let now = gateway.now();
    let table = gateway.table();
    table
        .entries()
        .filter(|(_, entry)| entry.is_listed && now.since(entry.answered_at) >= max_age)
        .filter(|(key, _)| table.health_step(*key, now) != HealthStep::Leaving)
        .map(|(key, _)| key)
        .collect()
}

async fn probe(gateway: &Arc<Gateway>, key: EndpointKey) {
    let ConnectResult::Open(mut connection) = connection::acquire(gateway, key).await else {
        return;
    };
    gateway.counters.count_probe();
    gateway
        .process
        .worker_or_endpoint_traffic
        .sent(endpoint::HEALTH_PATH.len());
    let request = Request::get(endpoint::HEALTH_PATH)
        .header(header::HOST, "endpoint")
        .body(Full::new(Bytes::new()));
    let Ok(request) = request else { return };
    let Ok(response) = connection.sender.send_request(request).await else {
        record_failure(gateway, key);
        return;
    };
    let is_leaving = response.status() == StatusCode::SERVICE_UNAVAILABLE
        || response.headers().contains_key(endpoint::LEAVING_HEADER);
    if is_leaving {
        leaving::announce(gateway, key, "health_probe");
        return;
    }
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    if let Ok(body) = body {
        gateway
            .process
            .worker_or_endpoint_traffic
            .received(body.to_bytes().len());
        gateway.pool.put(connection);
    }
}

fn record_failure(gateway: &Gateway, key: EndpointKey) {
    let now = gateway.now();
    let mut table = gateway.table();
    let name = table.entry(key).service.clone();
    if let Some(service) = table.service_mut(&name) {
        service.health.record(key, HealthSample::Failed, now);
    }
}
