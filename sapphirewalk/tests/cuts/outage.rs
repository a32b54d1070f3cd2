//! During an outage of the platform that is longer than the leases, requests are answered and
//! running tasks continue. Afterwards the ends of tasks are recorded once, within the platform's
//! write budget.

use hyper::StatusCode;

use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_stand_in::platform::PlatformCounters;
use sapphirewalk_wire::endpoint;

use crate::support;
use crate::support::TestFleet;

const VM: EntryKey = EntryKey(0);
/// Rows that may be written to the platform in a second.
const ROWS_PER_SECOND_MAX: u64 = 400;
/// Callers that send requests during the outage.
const CALLERS: usize = 8;

/// An outage, and tasks that end within it.
struct OutagePlan {
    tasks: u32,
    run_ms: u64,
    shard_lease_ms: u64,
    outage_ms: u64,
}

/// Starts the tasks, waits until they end while the platform is down, and then until all ends are
/// recorded. Returns the fleet and the platform's counters since the end of the outage.
async fn run_outage(plan: &OutagePlan) -> (TestFleet, PlatformCounters) {
    let fleet = start(plan).await;
    let payload = support::task(plan.run_ms);
    let ids = support::submit_many(&fleet, VM, "backlog", plan.tasks, &payload).await;
    support::await_started(&fleet, &ids).await;
    let started = fleet.attempt_ledger().started_count();
    assert_eq!(
        fleet.attempt_ledger().finished_count(),
        0,
        "a task ended before the outage"
    );

    fleet.platform().set_down(true);
    serve_without_platform(&fleet, plan.outage_ms).await;
    assert_eq!(
        fleet.attempt_ledger().finished_count(),
        started,
        "a task did not finish in the outage"
    );

    fleet.platform().reset_counters();
    fleet.platform().set_down(false);
    support::await_finished_once(&fleet, &ids).await;
    assert_eq!(
        fleet.attempt_ledger().started_count(),
        started,
        "a task was started again"
    );
    let counters = fleet.platform().counters();
    (fleet, counters)
}

async fn start(outage: &OutagePlan) -> TestFleet {
    let mut plan = support::plan(1);
    plan.workers = 4;
    plan.worker_resources.cpu_millis = 64_000;
    plan.worker_resources.memory_mib = 65_536;
    support::set_scheduler_millis(&mut plan, "shard_lease_ms", outage.shard_lease_ms);
    support::set_scheduler_millis(&mut plan, "worker_lease_ms", 2_500);
    support::start(plan).await
}

/// Sends requests during the outage and checks that all are answered, and that submissions of tasks
/// are refused.
async fn serve_without_platform(fleet: &TestFleet, outage_ms: u64) {
    let request = CallerRequest::new("order");
    let crowd = CallerGroup::start(&load::gateways(fleet), CALLERS, &request);
    for vm in fleet.vms() {
        let answer = support::submit_raw(fleet, vm, "refused", &support::task(100)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let text = answer.text();
        assert!(text.contains("never lost or doubled"), "{text}");
    }
    crowd.run_for(outage_ms).await;
    let records = crowd.stop().await;
    let answered = support::count(&records, endpoint::OUTCOME_ANSWERED);
    assert_eq!(answered, records.len(), "a request was not answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn tasks_that_end_in_an_outage_longer_than_the_leases_are_recorded_once() {
    let plan = OutagePlan {
        tasks: 300,
        run_ms: 4_000,
        shard_lease_ms: 5_000,
        outage_ms: 6_000,
    };
    let (fleet, counters) = run_outage(&plan).await;
    let written = counters.rows_written;
    assert!(written.total >= u64::from(plan.tasks), "{written:?}");
    support::submit(&fleet, VM, "refused", &support::task(100)).await;
    support::assert_request_invariants(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn backlog_of_an_outage_is_recorded_within_the_write_budget() {
    let plan = OutagePlan {
        tasks: 1_000,
        run_ms: 6_000,
        shard_lease_ms: 8_000,
        outage_ms: 9_000,
    };
    let (_fleet, counters) = run_outage(&plan).await;
    let written = counters.rows_written;
    assert!(
        written.peak_per_second <= ROWS_PER_SECOND_MAX,
        "{written:?}"
    );
}
