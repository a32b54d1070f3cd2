//! Rollouts come into force and requests are answered while each call of the platform takes more
//! than a second.

use sapphirewalk_stand_in::fleet::CallerRequest;
use sapphirewalk_stand_in::load;
use sapphirewalk_stand_in::load::CallerGroup;
use sapphirewalk_wire::endpoint;

use crate::support;

/// Duration of each call of the platform.
const CALL_MS: u64 = 1_500;
/// The processes' timeout for a call of the platform.
const TIMEOUT_MS: u64 = 3_000;

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_concurrent_rollouts_comes_into_force() {
    let mut plan = support::plan(2);
    plan.platform_timeout_ms = TIMEOUT_MS;
    let fleet = support::start(plan.clone()).await;
    let first = support::bundle(&plan, "plan-a");
    let second = support::bundle(&plan, "plan-b");
    let first = fleet.sign_bundle(&first).await.unwrap();
    let second = fleet.sign_bundle(&second).await.unwrap();
    fleet.platform().set_delay_ms(CALL_MS);
    let crowd = CallerGroup::start(&load::gateways(&fleet), 8, &CallerRequest::new("order"));
    let (one, other) = tokio::join!(
        fleet.roll_out(&first, "first"),
        fleet.roll_out(&second, "second")
    );
    assert_ne!(one.is_ok(), other.is_ok(), "{one:?} {other:?}");
    let daemons: Vec<_> = fleet.daemons().collect();
    support::await_in_force(&fleet, &daemons, 2).await;
    let records = crowd.stop().await;
    let answered = support::count(&records, endpoint::OUTCOME_ANSWERED);
    assert_eq!(
        answered,
        records.len(),
        "a request was not answered while the platform was slow"
    );
    let versions = daemons.iter().map(|key| fleet.rollout_in_force(*key));
    let versions = futures::future::join_all(versions).await;
    for version in &versions {
        assert_eq!(
            version.as_ref().unwrap(),
            versions[0].as_ref().unwrap(),
            "the bundles in force differ"
        );
    }
    support::assert_request_invariants(&fleet);
}
