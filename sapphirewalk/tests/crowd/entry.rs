//! Crowds at the addresses of an entry VM.

use hyper::Method;
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
use crate::fleet::EntryFleet;
use crate::gauge::ProcessGauge;

/// Length of a body, which the rules of the stand-in allow.
const BODY_BYTES: usize = 261_944;
/// Length of a body that is sent in chunks of one byte.
const CHUNKED_BYTES: usize = 65_536;
/// Clients of a crowd that sends bodies.
const BODY_CROWD: usize = 300;
/// Clients of a crowd that sends bodies in chunks of one byte.
const CHUNK_CROWD: usize = 100;
/// Clients of a crowd that submits jobs too large for a row of the store.
const LARGE_JOB_CROWD: usize = 200;
/// Clients of a crowd that submits jobs that fit a row of the store.
const JOB_CROWD: usize = 400;
/// Jobs that are submitted one after the other.
const ACCUMULATED_JOBS: u64 = 1_200;
/// Length of an image name with which a job fits a row of the store.
const IMAGE_BYTES: usize = 60_000;
/// Identifier of the first ordinary job, above those of all crowds.
const ORDINARY_JOB: u64 = 1 << 40;

#[derive(Clone, Copy, Debug)]
enum EntryPort {
    Callers,
    Ready,
    Metrics,
}

fn target(fleet: &EntryFleet, port: EntryPort, body: Vec<u8>) -> CrowdTarget {
    let entry = &fleet.entries[0];
    let (address, path) = match port {
        EntryPort::Callers => (entry.callers, "/bulk/{}"),
        EntryPort::Ready => (entry.ready, "/ready"),
        EntryPort::Metrics => (entry.metrics, "/metrics"),
    };
    CrowdTarget {
        address,
        path: path.to_owned(),
        fields: "host: jobs.test\r\n".to_owned(),
        body,
    }
}

/// A job of one short task.
fn job_with_image(image_bytes: usize) -> Vec<u8> {
    let image = "i".repeat(image_bytes);
    let phase = json!({"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 20, "image": image});
    json!({"spec": "20", "phases": [phase]})
        .to_string()
        .into_bytes()
}

/// Sends ordinary requests, repeated as callers do, until each has its answer.
async fn serve_ordinary_requests(fleet: &EntryFleet, id: u64) {
    fleet
        .until("an ordinary job is accepted", async |fleet| {
            fleet.submit(0, id, 20, &[1]).await == 200
        })
        .await;
    fleet.until_state(0, id, "completed").await;
    fleet
        .until("the entry VM is ready", async |fleet| {
            fleet.is_ready(0).await
        })
        .await;
}

/// Starts an entry VM whose process may use little.
async fn start_fleet() -> EntryFleet {
    let mut fleet = EntryFleet::start("crowd", 1).await;
    fleet.change_settings(0, |settings| {
        settings["limits"] = json!({"memory_mb": MEMORY_MB, "descriptors": DESCRIPTOR_LIMIT});
    });
    fleet.restart_leader(0).await;
    fleet
}

async fn withstand(port: EntryPort, kind: CrowdKind, clients: usize, body: Vec<u8>) {
    let _turn = TURN.lock().await;
    let fleet = start_fleet().await;
    let child = fleet.entries[0].child.as_ref();
    let gauge = ProcessGauge::new(child.expect("the process is running").id());
    gauge.limit_descriptors(match kind {
        CrowdKind::Idle => DESCRIPTOR_LIMIT,
        _ => 4_096,
    });
    let crowd = ClientCrowd::gather(&target(&fleet, port, body), kind, clients).await;
    gauge.settle().await;
    assert_within_limits(gauge);
    serve_ordinary_requests(&fleet, ORDINARY_JOB).await;
    assert_within_limits(gauge);
    drop(crowd);
    gauge.settle().await;
    serve_ordinary_requests(&fleet, ORDINARY_JOB + 1).await;
    assert_within_limits(gauge);
}

async fn withstand_bodies(kind: CrowdKind) {
    withstand(EntryPort::Callers, kind, BODY_CROWD, vec![b'x'; BODY_BYTES]).await;
}

async fn withstand_heads(port: EntryPort, kind: CrowdKind) {
    withstand(port, kind, HEAD_CROWD, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections() {
    let kind = CrowdKind::Idle;
    withstand(EntryPort::Callers, kind, CONNECTION_CROWD, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_the_readiness_address() {
    let kind = CrowdKind::Idle;
    withstand(EntryPort::Ready, kind, CONNECTION_CROWD, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_to_the_metrics_address() {
    let kind = CrowdKind::Idle;
    withstand(EntryPort::Metrics, kind, CONNECTION_CROWD, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_over_the_limit() {
    withstand_heads(EntryPort::Callers, CrowdKind::LongHead).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_of_endless_fields() {
    withstand_heads(EntryPort::Callers, CrowdKind::EndlessFields).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_with_an_endless_field() {
    withstand_heads(EntryPort::Callers, CrowdKind::EndlessField).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_with_an_endless_field_to_the_readiness_address() {
    withstand_heads(EntryPort::Ready, CrowdKind::EndlessField).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn heads_with_an_endless_field_to_the_metrics_address() {
    withstand_heads(EntryPort::Metrics, CrowdKind::EndlessField).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_empty_lines() {
    withstand_heads(EntryPort::Callers, CrowdKind::EmptyLines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn endless_empty_lines_to_the_readiness_address() {
    withstand_heads(EntryPort::Ready, CrowdKind::EmptyLines).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_empty_lines() {
    let kind = CrowdKind::EmptyLineDrip;
    withstand(EntryPort::Callers, kind, CONNECTION_CROWD, Vec::new()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_short_of_their_end() {
    withstand_bodies(CrowdKind::ShortBody).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_pieces_short_of_their_end() {
    withstand_bodies(CrowdKind::ShortBodyPieces).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_a_large_chunk_short_of_their_end() {
    withstand_bodies(CrowdKind::ShortLargeChunk).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_in_small_chunks_short_of_their_end() {
    let body = vec![b'x'; CHUNKED_BYTES];
    let kind = CrowdKind::ShortSmallChunks;
    withstand(EntryPort::Callers, kind, CHUNK_CROWD, body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_too_large_for_the_store() {
    let body = job_with_image(BODY_BYTES - 200);
    let kind = CrowdKind::WholeBody;
    withstand(EntryPort::Callers, kind, LARGE_JOB_CROWD, body).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_as_large_as_the_store_takes() {
    let body = job_with_image(IMAGE_BYTES);
    let kind = CrowdKind::WholeBody;
    withstand(EntryPort::Callers, kind, JOB_CROWD, body).await;
}

/// Jobs that are accepted one after the other, each as large as the store takes.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_that_accumulate() {
    let _turn = TURN.lock().await;
    let fleet = start_fleet().await;
    let child = fleet.entries[0].child.as_ref();
    let gauge = ProcessGauge::new(child.expect("the process is running").id());
    let body = String::from_utf8(job_with_image(IMAGE_BYTES)).expect("the job is text");
    for number in 0..ACCUMULATED_JOBS {
        let path = format!("/bulk/{number:016x}");
        let (status, _, after) = fleet.call(0, Method::POST, &path, body.clone()).await;
        assert!(
            status == 200 || (matches!(status, 429 | 503) && after.is_some()),
            "{status}"
        );
    }
    gauge.settle().await;
    assert_within_limits(gauge);
    serve_ordinary_requests(&fleet, ORDINARY_JOB).await;
    assert_within_limits(gauge);
}

/// A job that no row of the store can hold is rejected for good: callers repeat a request that was
/// answered with 504.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_too_large_for_the_store_is_rejected_for_good() {
    let _turn = TURN.lock().await;
    let fleet = start_fleet().await;
    let body = String::from_utf8(job_with_image(BODY_BYTES - 200)).expect("the job is text");
    let path = format!("/bulk/{ORDINARY_JOB:016x}");
    let (status, ..) = fleet.call(0, Method::POST, &path, body).await;
    assert_eq!(status, 413);
    let (status, ..) = fleet.call(0, Method::GET, &path, String::new()).await;
    assert_eq!(status, 410);
    let body = String::from_utf8(job_with_image(30_000)).expect("the job is text");
    let path = format!("/bulk/{:016x}", ORDINARY_JOB + 1);
    let (status, ..) = fleet.call(0, Method::POST, &path, body).await;
    assert_eq!(status, 200);
}
