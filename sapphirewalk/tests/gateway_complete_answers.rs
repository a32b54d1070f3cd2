//! A caller gets the complete answer to its own request, or an outcome that states that there is
//! none.
//!
//! A wrong body is possible when an endpoint fails within an answer, answers late on a connection
//! that is used again, or sends the answer of another request.

mod support;

use sapphirewalk_stand_in::endpoint::EndpointFault;
use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallRecord;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;

const CALLERS: usize = 24;
const ANSWER_BYTES: usize = 20_000;
const FAULTS: usize = 10;
const FAULT_PERIOD_MS: u64 = 200;

/// Whether the record holds the complete answer of an endpoint to this request.
fn is_complete(record: &CallRecord) -> bool {
    let Ok(answer) = &record.answer else {
        return false;
    };
    let mut expected = record.id().as_bytes().to_vec();
    expected.push(b'\n');
    expected.resize(expected.len() + record.request.answer_bytes, b'x');
    answer.status.is_success()
        && answer.body == expected
        && record.header(endpoint::REQUEST_ID_HEADER) == record.id()
}

fn has_outcome(record: &CallRecord, outcome: &str) -> bool {
    record.header(endpoint::OUTCOME_HEADER) == outcome
}

/// Runs callers while each endpoint has `fault` at one request in every `FAULT_PERIOD_MS`. A slot
/// whose answer is incomplete stays in use until the deadline, so a higher rate of faults would
/// leave no free slots.
async fn run_with_faults(fleet: &Fleet, kind: &str, fault: EndpointFault) -> Vec<CallRecord> {
    let mut request = CallerRequest::new(kind);
    request.answer_bytes = ANSWER_BYTES;
    request.idempotency_key = Some("chosen by each caller".to_owned());
    let crowd = CallerGroup::start(&load::gateways(fleet), CALLERS, &request);
    for _ in 0..FAULTS {
        for endpoint in fleet.endpoints() {
            endpoint.set_next_fault(fault, 1);
        }
        crowd.run_for(FAULT_PERIOD_MS).await;
    }
    let records = crowd.stop().await;
    for record in &records {
        assert!(record.answer.is_ok(), "{record:?}");
        if has_outcome(record, endpoint::OUTCOME_ANSWERED) {
            assert!(
                is_complete(record),
                "{} got an incomplete or wrong body",
                record.id()
            );
        }
    }
    records
}

fn count(records: &[CallRecord], outcome: &str) -> usize {
    let has = |record: &&CallRecord| has_outcome(record, outcome);
    records.iter().filter(has).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoint_fails_within_an_answer() {
    let fleet = support::start_fleet(300).await;
    let records = run_with_faults(&fleet, "order", EndpointFault::CloseMidAnswer).await;
    assert!(count(&records, endpoint::OUTCOME_ANSWERED) > 100);
    let records = run_with_faults(&fleet, "charge", EndpointFault::CloseMidAnswer).await;
    assert!(count(&records, endpoint::OUTCOME_UNKNOWN) > 0);
    assert!(count(&records, endpoint::OUTCOME_ANSWERED) > 100);
}

#[tokio::test(flavor = "multi_thread")]
async fn answer_belongs_to_another_request() {
    let fleet = support::start_fleet(300).await;
    let records = run_with_faults(&fleet, "order", EndpointFault::WrongRequestId).await;
    assert!(count(&records, endpoint::OUTCOME_ANSWERED) > 100);
    let records = run_with_faults(&fleet, "charge", EndpointFault::WrongRequestId).await;
    assert!(count(&records, endpoint::OUTCOME_UNKNOWN) > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_come_late() {
    let fleet = support::start_fleet(300).await;
    let fault = EndpointFault::Slow { extra_ms: 400 };
    let records = run_with_faults(&fleet, "order", fault).await;
    assert!(count(&records, endpoint::OUTCOME_ANSWERED) > 100);
    assert!(count(&records, endpoint::OUTCOME_UNKNOWN) > 0);
}
