//! Load from callers: a steady crowd that sends one request after the other.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::task;

use crate::client::CallError;
use crate::client::HttpAnswer;
use crate::fleet::CallerRequest;
use crate::fleet::Fleet;

/// What a caller got.
#[derive(Debug)]
pub struct CallRecord {
    /// What it asked.
    pub order: CallerRequest,
    /// The answer.
    pub answer: Result<HttpAnswer, CallError>,
}

/// A crowd of callers, each with one request at a time.
#[derive(Debug)]
pub struct CallerCrowd {
    stop: sync::Arc<atomic::AtomicBool>,
    callers: task::JoinSet<Vec<CallRecord>>,
}

/// Where all gateways of a fleet serve callers.
pub fn gateways(fleet: &Fleet) -> Vec<net::SocketAddr> {
    fleet
        .vms()
        .map(|vm| fleet.request_address(vm.gateway()))
        .collect()
}

impl CallRecord {
    /// A header of the answer; empty without an answer.
    pub fn header(&self, name: &str) -> &str {
        self.answer
            .as_ref()
            .map_or("", |answer| answer.header(name))
    }

    /// The request's ID, as its caller chose it.
    pub fn id(&self) -> &str {
        self.order.request_id.as_deref().unwrap_or_default()
    }
}

impl CallerCrowd {
    /// Starts `callers` callers, spread over `gateways` in turn. Each request is `order` with an
    /// ID of its own; a request with an idempotency key gets a key of its own too.
    pub fn start(gateways: &[net::SocketAddr], callers: usize, order: &CallerRequest) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let mut set = task::JoinSet::new();
        for caller in 0..callers {
            let gateway = gateways[caller % gateways.len()];
            set.spawn(call_until(stop.clone(), gateway, caller, order.clone()));
        }
        Self { stop, callers: set }
    }

    /// Lets the callers go on for this long.
    pub async fn run_for(&self, millis: u64) {
        tokio::time::sleep(time::Duration::from_millis(millis)).await;
    }

    /// Waits for the requests under way and returns what all callers got.
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
    order: CallerRequest,
) -> Vec<CallRecord> {
    let mut records = Vec::new();
    while !stop.load(atomic::Ordering::Acquire) {
        let mut order = order.clone();
        let name = format!("{}-{caller}-{}", order.kind, records.len());
        if order.idempotency_key.is_some() {
            order.idempotency_key = Some(format!("key-{name}"));
        }
        order.request_id = Some(name);
        let answer = order.send(gateway).await;
        if answer.is_err() {
            // A gateway that is down refuses at once; the caller does not hammer it.
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        records.push(CallRecord { order, answer });
    }
    records
}
