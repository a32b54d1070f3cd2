//! Tests of the endpoint stand-in: slots, the ledger, faults, and leaving.

use bytes::Bytes;
use futures::future;
use hyper::Method;
use hyper::StatusCode;

use sapphirewalk_stand_in::client;
use sapphirewalk_stand_in::endpoint::ANSWER_BYTES_HEADER;
use sapphirewalk_stand_in::endpoint::Endpoint;
use sapphirewalk_stand_in::endpoint::EndpointFault;
use sapphirewalk_stand_in::endpoint::EndpointPlan;
use sapphirewalk_stand_in::endpoint::RequestLedger;
use sapphirewalk_stand_in::endpoint::SERVICE_MS_HEADER;
use sapphirewalk_wire::endpoint as wire;

async fn send_request(
    endpoint: &Endpoint,
    id: &str,
    service_ms: &str,
) -> Result<client::HttpAnswer, client::CallError> {
    let headers = [
        (wire::REQUEST_ID_HEADER, id),
        (wire::IDEMPOTENCY_KEY_HEADER, id),
        (SERVICE_MS_HEADER, service_ms),
        (ANSWER_BYTES_HEADER, "100"),
    ];
    client::call(
        endpoint.address(),
        Method::POST,
        "/order",
        &headers,
        Bytes::new(),
    )
    .await
}

async fn start() -> (Endpoint, RequestLedger) {
    let ledger = RequestLedger::new();
    let plan = EndpointPlan {
        slots: 2,
        ..EndpointPlan::new("p0")
    };
    let endpoint = Endpoint::start(plan, ledger.clone())
        .await
        .expect("a port of loopback is free");
    (endpoint, ledger)
}

#[tokio::test]
async fn a_request_beyond_the_slots_is_counted() {
    let (endpoint, ledger) = start().await;
    let answers = ["a", "b", "c"].map(|id| send_request(&endpoint, id, "100"));
    for answer in future::join_all(answers).await {
        let answer = answer.unwrap();
        let body = format!(
            "{}\n{}",
            answer.header(wire::REQUEST_ID_HEADER),
            "x".repeat(100)
        );
        assert_eq!(answer.text(), body);
    }
    let counters = endpoint.counters();
    assert_eq!(counters.slots.peak, 2);
    assert_eq!(counters.over_commits, 1);
    assert_eq!(counters.connections.peak, 3);
    assert!(ledger.runs().iter().all(|run| run.ended_ms.is_some()));
}

#[tokio::test]
async fn each_fault_has_its_documented_effect() {
    let (endpoint, ledger) = start().await;
    endpoint.set_next_fault(EndpointFault::RefuseBeforeStart, 1);
    let answer = send_request(&endpoint, "refused", "1").await.unwrap();
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.header(wire::NOT_STARTED_HEADER), "1");
    assert_eq!(ledger.run_count("refused"), 0);
    endpoint.set_next_fault(EndpointFault::CloseAfterRead, 1);
    send_request(&endpoint, "closed", "1").await.unwrap_err();
    assert_eq!(ledger.run_count("closed"), 0);
    endpoint.set_next_fault(EndpointFault::CloseMidAnswer, 1);
    send_request(&endpoint, "broken", "1").await.unwrap_err();
    assert_eq!(ledger.key_count("broken"), 1);
    endpoint.set_next_fault(EndpointFault::WrongRequestId, 1);
    let answer = send_request(&endpoint, "mine", "1").await.unwrap();
    assert_ne!(answer.header(wire::REQUEST_ID_HEADER), "mine");
    endpoint.set_next_fault(EndpointFault::Error, 1);
    let answer = send_request(&endpoint, "error", "1").await.unwrap();
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
}

#[tokio::test]
async fn a_leaving_endpoint_announces_it_and_a_killed_one_does_not_answer() {
    let (mut endpoint, ledger) = start().await;
    endpoint.set_leaving(true);
    let answer = send_request(&endpoint, "a", "1").await.unwrap();
    assert_eq!(answer.header(wire::LEAVING_HEADER), "1");
    assert_eq!(answer.header("connection"), "close");
    let health = client::get(endpoint.address(), wire::HEALTH_PATH)
        .await
        .unwrap();
    assert_eq!(health.status, StatusCode::SERVICE_UNAVAILABLE);
    endpoint.kill();
    send_request(&endpoint, "b", "1").await.unwrap_err();
    assert_eq!(ledger.runs().len(), 1);
}
