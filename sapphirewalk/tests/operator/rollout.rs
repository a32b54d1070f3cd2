//! An accepted rollout is in force at all processes within 6 s, and is never replaced by an older
//! one.
//!
//! Processes that can't reach the platform, are restarted or were frozen get the rollout from their
//! peers, which may have an older one.

use std::time;

use sapphirewalk_stand_in::fleet::DaemonKey;
use sapphirewalk_stand_in::fleet::Fleet;
use sapphirewalk_stand_in::fleet::await_until;
use sapphirewalk_stand_in::fleet::seconds_from_now;
use sapphirewalk_wire::bundle::SignedRollout;
use sapphirewalk_wire::row;

use crate::support;

const IN_FORCE_TIMEOUT: time::Duration = time::Duration::from_secs(6);

/// The number of the rollout in force at a process; 0 when there is none or no answer.
async fn sequence_at(fleet: &Fleet, key: DaemonKey) -> u64 {
    match fleet.rollout_in_force(key).await {
        Ok(Some(bundle)) => bundle.sequence,
        _ => 0,
    }
}

async fn await_in_force(fleet: &Fleet, keys: &[DaemonKey], sequence: u64) {
    let deadline = time::Instant::now() + IN_FORCE_TIMEOUT;
    for key in keys {
        let condition = format!("rollout {sequence} is in force at {key:?}");
        await_until(deadline, &condition, async || {
            sequence_at(fleet, *key).await == sequence
        })
        .await
        .unwrap();
    }
}

/// Where a process got its rollout from, by its state dump.
async fn source_at(fleet: &Fleet, key: DaemonKey) -> String {
    let state = fleet.state(key).await.unwrap();
    state["rollout"]["source"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

#[tokio::test]
async fn is_in_force_everywhere_also_where_the_platform_is_cut_off() {
    let fleet = Fleet::start(support::plan()).await.unwrap();
    let daemons: Vec<DaemonKey> = fleet.daemons().collect();
    fleet.platform().block_vm("e0-0");
    fleet.platform().block_vm("e1-1");
    fleet
        .roll_out_bundle(&support::bundle("plan-2"), "second")
        .await
        .unwrap();
    await_in_force(&fleet, &daemons, 2).await;
    assert!(
        source_at(&fleet, support::gateway(0))
            .await
            .starts_with("peer:")
    );
}

#[tokio::test]
async fn a_restarted_process_takes_the_newest_from_peers_while_the_platform_is_down() {
    let mut fleet = Fleet::start(support::plan()).await.unwrap();
    fleet
        .roll_out_bundle(&support::bundle("plan-2"), "second")
        .await
        .unwrap();
    let daemons: Vec<DaemonKey> = fleet.daemons().collect();
    await_in_force(&fleet, &daemons, 2).await;
    fleet.platform().set_down(true);
    let key = support::gateway(0);
    fleet.kill(key);
    fleet.start_daemon(key).unwrap();
    await_in_force(&fleet, &[key], 2).await;
}

#[tokio::test]
async fn a_stale_peer_does_not_bring_an_older_rollout_back() {
    let mut fleet = Fleet::start(support::plan()).await.unwrap();
    let stale = support::gateway(1);
    let restarted = support::gateway(0);
    fleet.freeze(stale).unwrap();
    fleet
        .roll_out_bundle(&support::bundle("plan-2"), "second")
        .await
        .unwrap();
    let others: Vec<DaemonKey> = fleet.daemons().filter(|key| *key != stale).collect();
    await_in_force(&fleet, &others, 2).await;
    fleet.platform().set_down(true);
    fleet.kill(restarted);
    fleet.thaw(stale).unwrap();
    fleet.start_daemon(restarted).unwrap();
    await_in_force(&fleet, &[restarted, stale], 2).await;
    let log = fleet.log(restarted);
    let applied = log.lines().filter(|line| line.contains("rollout_applied"));
    let last_run: Vec<&str> = applied.skip(2).collect();
    assert!(
        last_run.iter().all(|line| line.contains("sequence=2")),
        "{last_run:?}"
    );
}

#[tokio::test]
async fn of_two_concurrent_rollouts_one_is_accepted_and_the_other_is_refused() {
    let fleet = Fleet::start(support::plan()).await.unwrap();
    let first = fleet.sign_bundle(&support::bundle("plan-a")).await.unwrap();
    let second = fleet.sign_bundle(&support::bundle("plan-b")).await.unwrap();
    fleet.platform().set_delay_ms(200);
    let (one, other) = tokio::join!(
        fleet.roll_out(&first, "first"),
        fleet.roll_out(&second, "second")
    );
    fleet.platform().set_delay_ms(0);
    assert_eq!(
        u32::from(one.is_ok()) + u32::from(other.is_ok()),
        1,
        "{one:?} {other:?}"
    );
    let refusal = one.err().or(other.err()).unwrap();
    assert!(
        refusal
            .to_string()
            .contains("another rollout took number 2"),
        "{refusal}"
    );
    let daemons: Vec<DaemonKey> = fleet.daemons().collect();
    await_in_force(&fleet, &daemons, 2).await;
}

#[tokio::test]
async fn a_lost_answer_is_read_back() {
    let fleet = Fleet::start(support::plan()).await.unwrap();
    let digest = fleet.sign_bundle(&support::bundle("plan-2")).await.unwrap();
    fleet.platform().lose_answers(1);
    let output = fleet.roll_out(&digest, "second").await.unwrap();
    assert!(output.contains("accepted as rollout 2"), "{output}");
}

#[tokio::test]
async fn rolling_back_is_a_new_higher_number() {
    let fleet = Fleet::start(support::plan()).await.unwrap();
    fleet
        .roll_out_bundle(&support::bundle("plan-2"), "second")
        .await
        .unwrap();
    let key_file = fleet.operator().key_file.display().to_string();
    let output = support::run(
        &fleet,
        &[
            "rollback",
            "--to",
            "1",
            "--reason",
            "undo",
            "--operator",
            "op1",
            "--key-file",
            &key_file,
        ],
    )
    .await;
    assert!(output.status.success(), "{output:?}");
    let daemons: Vec<DaemonKey> = fleet.daemons().collect();
    await_in_force(&fleet, &daemons, 3).await;
    let bundle = fleet.rollout_in_force(daemons[0]).await.unwrap().unwrap();
    assert_eq!(bundle.version, "plan-1");
}

#[tokio::test]
async fn a_rollout_that_no_operator_signed_is_rejected() {
    let fleet = Fleet::start(support::plan()).await.unwrap();
    let digest = fleet.sign_bundle(&support::bundle("plan-2")).await.unwrap();
    let row = fleet.platform().row(row::ROLLOUT_KEY).unwrap();
    let mut forged: SignedRollout = serde_json::from_str(&row.value).unwrap();
    forged.sequence = 9;
    forged.digest = digest;
    fleet
        .platform()
        .put_row(row::ROLLOUT_KEY, &serde_json::to_string(&forged).unwrap());
    let key = support::gateway(0);
    await_until(seconds_from_now(5), "the rollout is rejected", async || {
        fleet.log(key).contains("rollout_rejected")
    })
    .await
    .unwrap();
    assert_eq!(sequence_at(&fleet, key).await, 1);
}
