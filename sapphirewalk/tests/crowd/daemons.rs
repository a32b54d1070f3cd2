//! Crowds at the addresses of a gateway and of a scheduler.

use std::net;

use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::FleetPlan;
use sapphirewalk_stand_in::fleet::LIVE_PATH;
use sapphirewalk_stand_in::fleet::SERVICE_NAME;
use sapphirewalk_stand_in::fleet::USER_NAME;
use sapphirewalk_stand_in::worker::TaskPayload;
use sapphirewalk_wire::endpoint;
use sapphirewalk_wire::task;
use serde_json::json;

use crate::CONNECTION_CROWD;
use crate::DESCRIPTOR_LIMIT;
use crate::HEAD_CROWD;
use crate::MEMORY_MB;
use crate::TURN;
use crate::assert_within_limits;
use crate::client::ClientCrowd;
use crate::client::CrowdKind;
use crate::client::CrowdTarget;
use crate::gauge::ProcessGauge;

/// The only entry VM.
const VM: EntryKey = EntryKey(0);
/// Length of a body, which both daemons allow.
const BODY_BYTES: usize = 1 << 20;
/// Length of a body that is sent in chunks of one byte.
const CHUNKED_BYTES: usize = 65_536;
/// Clients of a crowd that sends bodies.
const BODY_CROWD: usize = 100;
/// How long an ordinary request is repeated, in seconds.
const WAIT_SECS: u64 = 40;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum DaemonPort {
    Gateway,
    Scheduler,
    GatewayAdmin,
    SchedulerAdmin,
}

impl DaemonPort {
    const fn daemon(self) -> DaemonKey {
        match self {
            Self::Gateway | Self::GatewayAdmin => VM.gateway(),
            Self::Scheduler | Self::SchedulerAdmin => VM.scheduler(),
        }
    }

    fn address(self, fleet: &Fleet) -> net::SocketAddr {
        match self {
            Self::Gateway | Self::Scheduler => fleet.request_address(self.daemon()),
            Self::GatewayAdmin | Self::SchedulerAdmin => fleet.admin_address(self.daemon()),
        }
    }

    fn target(self, fleet: &Fleet, body: Vec<u8>) -> CrowdTarget {
        let path = match self {
            Self::Gateway => "/",
            Self::Scheduler => task::TASKS_PATH,
            Self::GatewayAdmin | Self::SchedulerAdmin => LIVE_PATH,
        };
        let fields = format!(
            "host: {SERVICE_NAME}\r\n{}: order\r\n{}: {USER_NAME}\r\n{}: front\r\n",
            endpoint::KIND_HEADER,
            endpoint::USER_HEADER,
            endpoint::TEAM_HEADER,
        );
        CrowdTarget {
            address: self.address(fleet),
            path: path.to_owned(),
            fields,
            body,
        }
    }
}

async fn start_fleet() -> Fleet {
    let mut plan = FleetPlan::new(env!("CARGO_BIN_EXE_sapphirewalk").into());
    plan.domains = 1;
    plan.entry_vms = 1;
    plan.workers = 1;
    plan.limits = Some(json!({"memory_mb": MEMORY_MB, "descriptors": DESCRIPTOR_LIMIT}));
    plan.scheduler = Some(fleet::short_leases());
    let fleet = Fleet::start(plan.with_generated_bundle()).await;
    fleet.expect("the fleet starts")
}

/// Sends an ordinary request, repeated as callers do, until it has its answer.
async fn serve_ordinary_request(fleet: &Fleet, port: DaemonPort, number: u32) {
    let deadline = fleet::seconds_from_now(WAIT_SECS);
    let answered =
        fleet::await_until(
            deadline,
            "an ordinary request is answered",
            async || match port {
                DaemonPort::Gateway => {
                    let answer = CallerRequest::new("order").send(port.address(fleet)).await;
                    answer.is_ok_and(|answer| answer.status.is_success())
                }
                DaemonPort::Scheduler => {
                    let payload = TaskPayload::default();
                    let key = format!("ordinary-{number}");
                    let submission = fleet::task_submission(&key, "stock-plan", &payload);
                    let answer = fleet::submit_task(port.address(fleet), &submission).await;
                    answer.is_ok_and(|answer| answer.status.is_success())
                }
                DaemonPort::GatewayAdmin | DaemonPort::SchedulerAdmin => {
                    let answer = fleet.admin(port.daemon(), LIVE_PATH).await;
                    answer.is_ok_and(|answer| answer.status.is_success())
                }
            },
        );
    answered.await.expect("an ordinary request is answered");
}

async fn withstand(port: DaemonPort, kind: CrowdKind, clients: usize, body: Vec<u8>) {
    let _turn = TURN.lock().await;
    let fleet = start_fleet().await;
    let id = fleet.process_id(port.daemon()).expect("the daemon runs");
    let gauge = ProcessGauge::new(id);
    gauge.limit_descriptors(match kind {
        CrowdKind::Idle => DESCRIPTOR_LIMIT,
        _ => 4_096,
    });
    let crowd = ClientCrowd::gather(&port.target(&fleet, body), kind, clients).await;
    gauge.settle().await;
    assert_within_limits(gauge);
    serve_ordinary_request(&fleet, port, 0).await;
    assert_within_limits(gauge);
    drop(crowd);
    gauge.settle().await;
    serve_ordinary_request(&fleet, port, 1).await;
    assert_within_limits(gauge);
}

async fn withstand_bodies(port: DaemonPort, kind: CrowdKind) {
    let bytes = match kind {
        CrowdKind::ShortSmallChunks => CHUNKED_BYTES,
        _ => BODY_BYTES,
    };
    withstand(port, kind, BODY_CROWD, vec![b'x'; bytes]).await;
}

async fn withstand_heads(port: DaemonPort, kind: CrowdKind) {
    withstand(port, kind, HEAD_CROWD, Vec::new()).await;
}

async fn withstand_idle(port: DaemonPort) {
    withstand(port, CrowdKind::Idle, CONNECTION_CROWD, Vec::new()).await;
}

macro_rules! crowd_tests {
    ($($name:ident: $withstand:ident($($argument:expr),+);)+) => {
        $(
            #[tokio::test(flavor = "multi_thread")]
            async fn $name() {
                $withstand($($argument),+).await;
            }
        )+
    };
}

crowd_tests! {
    gateway_idle_connections: withstand_idle(DaemonPort::Gateway);
    gateway_heads_over_the_limit: withstand_heads(DaemonPort::Gateway, CrowdKind::LongHead);
    gateway_heads_of_endless_fields: withstand_heads(DaemonPort::Gateway, CrowdKind::EndlessFields);
    gateway_heads_with_an_endless_field:
        withstand_heads(DaemonPort::Gateway, CrowdKind::EndlessField);
    gateway_endless_empty_lines: withstand_heads(DaemonPort::Gateway, CrowdKind::EmptyLines);
    gateway_whole_bodies: withstand_bodies(DaemonPort::Gateway, CrowdKind::WholeBody);
    gateway_bodies_short_of_their_end: withstand_bodies(DaemonPort::Gateway, CrowdKind::ShortBody);
    gateway_bodies_in_pieces_short_of_their_end:
        withstand_bodies(DaemonPort::Gateway, CrowdKind::ShortBodyPieces);
    gateway_bodies_in_a_large_chunk_short_of_their_end:
        withstand_bodies(DaemonPort::Gateway, CrowdKind::ShortLargeChunk);
    gateway_bodies_in_small_chunks_short_of_their_end:
        withstand_bodies(DaemonPort::Gateway, CrowdKind::ShortSmallChunks);
    scheduler_idle_connections: withstand_idle(DaemonPort::Scheduler);
    scheduler_heads_with_an_endless_field:
        withstand_heads(DaemonPort::Scheduler, CrowdKind::EndlessField);
    scheduler_endless_empty_lines: withstand_heads(DaemonPort::Scheduler, CrowdKind::EmptyLines);
    scheduler_whole_bodies: withstand_bodies(DaemonPort::Scheduler, CrowdKind::WholeBody);
    scheduler_bodies_short_of_their_end:
        withstand_bodies(DaemonPort::Scheduler, CrowdKind::ShortBody);
    scheduler_bodies_in_a_large_chunk_short_of_their_end:
        withstand_bodies(DaemonPort::Scheduler, CrowdKind::ShortLargeChunk);
    scheduler_bodies_in_small_chunks_short_of_their_end:
        withstand_bodies(DaemonPort::Scheduler, CrowdKind::ShortSmallChunks);
    gateway_admin_idle_connections: withstand_idle(DaemonPort::GatewayAdmin);
    gateway_admin_heads_with_an_endless_field:
        withstand_heads(DaemonPort::GatewayAdmin, CrowdKind::EndlessField);
    scheduler_admin_idle_connections: withstand_idle(DaemonPort::SchedulerAdmin);
    scheduler_admin_endless_empty_lines:
        withstand_heads(DaemonPort::SchedulerAdmin, CrowdKind::EmptyLines);
}
