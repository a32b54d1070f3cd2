//! Leadership moves when the leader is killed or terminated, and survives a restart of all
//! processes.

use crate::fleet::EntryFleet;

#[tokio::test(flavor = "multi_thread")]
async fn another_entry_vm_takes_over_when_the_leader_is_killed() {
    let mut fleet = EntryFleet::start("killed", 3).await;
    for id in 0..6 {
        let number = usize::try_from(id).unwrap_or(0) % 3;
        assert_eq!(fleet.submit(number, 100 + id, 1_200, &[2, 2]).await, 200);
    }
    fleet
        .until("the jobs are running", async |fleet| {
            fleet.running(105) == 2
        })
        .await;
    let first = fleet.leader().expect("an entry VM is the leader");
    fleet.entries[first].kill();
    let other = (first + 1) % 3;
    for id in 0..6 {
        fleet.until_state(other, 100 + id, "completed").await;
        assert_eq!(fleet.starts(100 + id), 4, "job {id}");
    }
    fleet.assert_no_duplicate_runs();
    assert_ne!(fleet.leader(), Some(first));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_leader_hands_over() {
    let mut fleet = EntryFleet::start("stopped", 2).await;
    assert_eq!(fleet.submit(0, 200, 1_500, &[3, 2]).await, 200);
    fleet
        .until("the job is running", async |fleet| fleet.running(200) == 3)
        .await;
    let first = fleet.leader().expect("an entry VM is the leader");
    let status = fleet.entries[first].terminate();
    assert!(status.success());
    assert!(fleet.entries[first].log().contains("event=process_stopped"));
    fleet.until_state(1 - first, 200, "completed").await;
    assert_eq!(fleet.starts(200), 5);
    fleet.assert_no_duplicate_runs();
}

#[tokio::test(flavor = "multi_thread")]
async fn accepted_jobs_complete_after_a_restart_of_all_processes() {
    let mut fleet = EntryFleet::start("all", 2).await;
    assert_eq!(fleet.submit(0, 300, 1_000, &[2, 2]).await, 200);
    assert_eq!(fleet.submit(1, 301, 300, &[1]).await, 200);
    for entry in &mut fleet.entries {
        entry.kill();
    }
    for entry in &mut fleet.entries {
        entry.restart();
    }
    for id in [300, 301] {
        fleet.until_state(0, id, "completed").await;
        fleet.until_state(1, id, "completed").await;
    }
    fleet.assert_no_duplicate_runs();
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_leader_loads_jobs_that_were_accepted_before_its_election() {
    let mut fleet = EntryFleet::start("first", 1).await;
    assert_eq!(fleet.submit(0, 310, 300, &[1]).await, 200);
    fleet.until_state(0, 310, "completed").await;
    fleet.entries[0].kill();
    // Leaves the rows that an entry VM writes before the first leader is elected.
    fleet.store.delete_table("leader");
    fleet.store.delete_table("progress");
    for worker in &fleet.workers {
        worker.reset();
    }
    fleet.entries[0].restart();
    fleet.until_state(0, 310, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leader_on_a_small_vm_hands_the_leadership_back_to_a_larger_one() {
    let mut fleet = EntryFleet::start("handback", 2).await;
    fleet.set_cpu_share(0, 0.1);
    fleet.entries[1].kill();
    fleet.entries[0].restart();
    let counts = [4, 2, 2, 2, 2, 2, 2, 2];
    assert_eq!(fleet.submit(0, 320, 1_000, &counts).await, 200);
    fleet
        .until("the job is running", async |fleet| fleet.running(320) == 4)
        .await;
    assert_eq!(fleet.leader(), Some(0));
    fleet.entries[1].restart();
    fleet
        .until("the larger VM is the leader", async |fleet| {
            fleet.leader() == Some(1)
        })
        .await;
    assert_ne!(fleet.state(0, 320).await, "completed");
    fleet.until_state(0, 320, "completed").await;
    assert_eq!(fleet.starts(320), 18);
    fleet.assert_no_duplicate_runs();
}

/// Guards against a leader that restarts, leads again, and waits for leases that it may still grant
/// itself: at its predecessor's address it reaches nobody but itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_leader_that_restarts_knows_that_its_predecessor_has_ended() {
    let mut fleet = EntryFleet::start("restarted", 1).await;
    fleet.fix_peer_address(0);
    for _ in 0..2 {
        fleet.restart_leader(0).await;
    }
    // The predecessor is watched for 3 s.
    fleet
        .until("the predecessor has ended or is given up", async |fleet| {
            let log = fleet.present_log(0);
            log.contains("event=predecessor_ended") || log.matches("event=leader_load").count() > 3
        })
        .await;
    let log = fleet.present_log(0);
    assert!(log.contains("event=predecessor_ended"), "{log}");
}
