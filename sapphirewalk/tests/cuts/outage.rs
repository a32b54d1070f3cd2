//! An outage of the platform that outlasts the leases: requests and running tasks go on, and what
//! has waited is recorded within the platform's write budget.

use hyper::StatusCode;

use sapphirewalk_stand_in::fleet::EntryKey;
use sapphirewalk_stand_in::fleet::RequestOrder;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_stand_in::platform::PlatformCounters;
use sapphirewalk_wire::endpoint;

use crate::support;
use crate::support::TestFleet;

const VM: EntryKey = EntryKey(0);
/// Rows that the platform takes in a second.
const ROWS_PER_SECOND_MAX: u64 = 400;
/// Callers that go on during the outage.
const CALLERS: usize = 8;

/// An outage, with tasks that end in it.
struct OutagePlan {
    tasks: u32,
    run_ms: u64,
    shard_lease_ms: u64,
    outage_ms: u64,
}

/// Starts the tasks, lets them end while the platform is down, and waits until all are recorded.
/// Returns what the platform was asked to do after the outage.
async fn outlast(plan: &OutagePlan) -> (TestFleet, PlatformCounters) {
    let fleet = start(plan).await;
    let payload = support::task(plan.run_ms);
    let ids = support::submit_many(&fleet, VM, "backlog", plan.tasks, &payload).await;
    support::await_started(&fleet, &ids).await;
    let started = fleet.runs().started_count();
    assert_eq!(fleet.runs().finished_count(), 0, "all end in the outage");

    fleet.platform().set_down(true);
    serve_without_platform(&fleet, plan.outage_ms).await;
    assert_eq!(fleet.runs().finished_count(), started, "no task was cut");

    fleet.platform().reset_counters();
    fleet.platform().set_down(false);
    support::await_finished_once(&fleet, &ids).await;
    assert_eq!(fleet.runs().started_count(), started, "none began anew");
    let counters = fleet.platform().counters();
    (fleet, counters)
}

async fn start(outage: &OutagePlan) -> TestFleet {
    let mut plan = support::plan(1);
    plan.workers = 4;
    plan.worker_resources.cpu_millis = 64_000;
    plan.worker_resources.memory_mib = 65_536;
    support::set(&mut plan, "shard_lease_ms", outage.shard_lease_ms);
    support::set(&mut plan, "worker_lease_ms", 2_500);
    support::start(plan).await
}

async fn serve_without_platform(fleet: &TestFleet, outage_ms: u64) {
    let order = RequestOrder::new("order");
    let crowd = CallerGroup::start(&load::gateways(fleet), CALLERS, &order);
    for vm in fleet.vms() {
        let answer = support::submit_raw(fleet, vm, "refused", &support::task(100)).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        let text = answer.text();
        assert!(text.contains("never lost or doubled"), "{text}");
    }
    crowd.run_for(outage_ms).await;
    let records = crowd.stop().await;
    let answered = support::count(&records, endpoint::OUTCOME_ANSWERED);
    assert_eq!(answered, records.len(), "every request was answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn what_ended_in_an_outage_longer_than_the_leases_is_recorded_once() {
    let plan = OutagePlan {
        tasks: 300,
        run_ms: 4_000,
        shard_lease_ms: 5_000,
        outage_ms: 6_000,
    };
    let (fleet, counters) = outlast(&plan).await;
    let written = counters.rows_written;
    assert!(written.total >= u64::from(plan.tasks), "{written:?}");
    support::submit(&fleet, VM, "refused", &support::task(100)).await;
    support::assert_requests_sound(&fleet);
}

#[tokio::test(flavor = "multi_thread")]
async fn backlog_of_an_outage_is_recorded_within_the_write_budget() {
    let plan = OutagePlan {
        tasks: 1_000,
        run_ms: 6_000,
        shard_lease_ms: 8_000,
        outage_ms: 9_000,
    };
    let (_fleet, counters) = outlast(&plan).await;
    let written = counters.rows_written;
    assert!(
        written.peak_per_second <= ROWS_PER_SECOND_MAX,
        "{written:?}"
    );
}
