//! Graceful shutdown: requests in flight are completed, and the seat is released.

use std::sync::Arc;
use std::time;

use slog::info;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use sapphirewalk_core::slot_share::ShareUnit;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;

use crate::event::EventName;
use crate::gateway::seat;
use crate::gateway::state::Gateway;

/// Interval at which the slots of attempts that outlive their requests are counted.
const SLOT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// Reports the process as not ready, gives the balancer time to notice, stops accepting
/// connections, and waits for requests in flight.
pub async fn drain(
    gateway: &Arc<Gateway>,
    stop_accepting: oneshot::Sender<()>,
    accepting: JoinHandle<()>,
) {
    let settings = &gateway.process.settings.gateway;
    gateway.process.set_ready(false);
    info!(gateway.process.logger, "{}", EventName::ShutdownBegun;
        "in_flight" => gateway.drain.in_flight());
    tokio::time::sleep(time::Duration::from_millis(settings.drain_notice_ms)).await;
    // An error means that the accepting task has already ended.
    let _ = stop_accepting.send(());
    let _ = accepting.await;
    gateway.drain.close();
    let bound = longest_request(gateway).into();
    if tokio::time::timeout(bound, gateway.drain.wait_idle())
        .await
        .is_err()
    {
        info!(gateway.process.logger, "{}", EventName::DrainEnded;
            "cut_off" => gateway.drain.in_flight());
    }
}

/// Releases the seat once no slot is in use, or after the longest time that a request may run.
pub async fn release(gateway: &Arc<Gateway>) {
    let until = gateway.now() + longest_request(gateway);
    while slots_in_use(gateway) > 0 && gateway.now() < until {
        tokio::time::sleep(SLOT_POLL_INTERVAL).await;
    }
    let busy_until: Option<TimePoint> = (slots_in_use(gateway) > 0).then_some(until);
    seat::release(gateway, busy_until).await;
}

fn longest_request(gateway: &Gateway) -> TimeSpan {
    let rollout = gateway.process.rollout.current();
    let longest_deadline = rollout.map_or(TimeSpan::ZERO, |rollout| {
        seat::longest_deadline(&rollout.document)
    });
    longest_deadline + TimeSpan::from_millis(gateway.process.settings.gateway.slot_margin_ms)
}

fn slots_in_use(gateway: &Gateway) -> u32 {
    let table = gateway.table();
    table
        .entries()
        .map(|(key, _)| table.slots.in_use(key, ShareUnit::Slot))
        .sum()
}
