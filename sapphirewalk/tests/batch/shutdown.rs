//! A graceful shutdown of a scheduler releases its shard, and the running tasks continue.

use std::time;

use sapphirewalk_stand_in::fleet;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_wire::row;
use sapphirewalk_wire::row::ShardRow;

use crate::support;

#[tokio::test(flavor = "multi_thread")]
async fn released_shard_is_taken_at_once_and_its_tasks_go_on() {
    let mut plan = support::plan(2, 2);
    // Longer than the test waits, so that the other scheduler gets the shard only by its release.
    support::set_scheduler_millis(&mut plan, "silence_ms", 60_000);
    support::set_scheduler_millis(&mut plan, "worker_lease_ms", 60_000);
    support::set_scheduler_millis(&mut plan, "shard_lease_ms", 120_000);
    let mut fleet = Fleet::start(plan).await.unwrap();
    let ids = support::submit_many(&fleet, "long", 4, &support::long_task(5_000)).await;
    for id in &ids {
        support::await_running(&fleet, id).await;
    }
    let holder = support::holder(&fleet).await;
    let released_at = time::Instant::now();
    fleet.terminate(holder).unwrap();
    let deadline = fleet::seconds_from_now(10);
    let status = fleet.await_exit(holder, deadline).await.unwrap();
    assert!(status.success());
    support::await_other_holder(&fleet, holder).await;
    assert!(released_at.elapsed() < time::Duration::from_secs(5));
    support::await_finished_once(&fleet, &ids).await;
    for id in &ids {
        assert_eq!(
            fleet.attempt_ledger().records_of(id).len(),
            1,
            "{id} was started again"
        );
    }
    let shard = fleet.platform().row(&row::shard_key("d0", 0)).unwrap();
    let shard: ShardRow = serde_json::from_str(&shard.value).unwrap();
    assert_eq!(shard.epoch, 2);
}
