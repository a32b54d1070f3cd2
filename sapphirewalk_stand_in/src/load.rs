//! Closed-loop load: callers that each send their next request after the answer to the last.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::task;

use crate::client::CallError;
use crate::client::HttpAnswer;
use crate::fleet::CallerRequest;
use crate::fleet::Fleet;

/// A request that a caller sent, with its result.
#[derive(Debug)]
pub struct CallRecord {
    /// The request as it was sent, with its own ID.
    pub request: CallerRequest,
    /// The gateway's whole answer; an error if none arrived.
    pub answer: Result<HttpAnswer, CallError>,
}

/// A running group of callers, each with one request in flight at a time.
#[derive(Debug)]
pub struct CallerGroup {
    stop: sync::Arc<atomic::AtomicBool>,
    callers: task::JoinSet<Vec<CallRecord>>,
}

/// The request address of every gateway of a fleet, in order of VM.
pub fn gateways(fleet: &Fleet) -> Vec<net::SocketAddr> {
    fleet
        .vms()
        .map(|vm| fleet.request_address(vm.gateway()))
        .collect()
}

impl CallRecord {
    /// A header of the answer; empty without an answer or such a header.
    pub fn header(&self, name: &str) -> &str {
        self.answer
            .as_ref()
            .map_or("", |answer| answer.header(name))
    }

    /// The request ID that the caller chose; empty if it chose none.
    pub fn id(&self) -> &str {
        self.request.request_id.as_deref().unwrap_or_default()
    }
}

impl CallerGroup {
    /// Starts `count` callers, spread over `gateways` in turn. Each request is `request` with an
    /// ID of its own; a request with an idempotency key gets a key of its own too.
    pub fn start(gateways: &[net::SocketAddr], count: usize, request: &CallerRequest) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut callers = task::JoinSet::new();
        for caller in 0..count {
            let gateway = gateways[caller % gateways.len()];
            callers.spawn(call_until(stop.clone(), gateway, caller, request.clone()));
        }
        Self { stop, callers }
    }

    /// Sleeps for `millis` milliseconds. The callers send from [`Self::start`] until
    /// [`Self::stop`], whether or not this is called.
    pub async fn run_for(&self, millis: u64) {
        tokio::time::sleep(time::Duration::from_millis(millis)).await;
    }

    /// Waits for the requests in flight, stops the callers and returns all their records.
    pub async fn stop(self) -> Vec<CallRecord> {
        self.stop.store(true, atomic::Ordering::Release);
        let records = self.callers.join_all().await;
        records.into_iter().flatten().collect()
    }
}

async fn call_until(
    stop: sync::Arc<atomic::AtomicBool>,
    gateway: net::SocketAddr,
    caller: usize,
    request: CallerRequest,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !stop.load(atomic::Ordering::Acquire) {
        let mut request = request.clone();
        let id = format!("{}-{caller}-{}", request.kind, records.len());
        if request.idempotency_key.is_some() {
            request.idempotency_key = Some(format!("key-{id}"));
        }
        request.request_id = Some(id);
        let answer = request.send(gateway).await;
        if answer.is_err() {
            // A gateway that is down refuses connections at once; the pause avoids a busy loop.
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        records.push(CallRecord { request, answer });
    }
    records
}
