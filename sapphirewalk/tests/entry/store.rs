//! Faults of the store: refused calls, lost answers, a compacted history and slow transactions.

use std::time;

use hyper::Method;
use sapphirewalk_platform::stand_in::PortMode;

use crate::fleet;
use crate::fleet::EntryFleet;

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_refused_with_a_retry_after_while_the_store_refuses() {
    let fleet = EntryFleet::start("refusing", 1).await;
    fleet.store.set_refusing(true);
    let job = fleet::job(100, &[1]).to_string();
    let path = "/bulk/0000000000000190";
    let (status, _, after) = fleet.call(0, Method::POST, path, job.clone()).await;
    assert_eq!(status, 503);
    assert_eq!(after.as_deref(), Some("1"));
    fleet
        .until("the entry VM is not ready", async |fleet| {
            !fleet.is_ready(0).await
        })
        .await;
    fleet.store.set_refusing(false);
    fleet
        .until("the entry VM is ready again", async |fleet| {
            fleet.is_ready(0).await
        })
        .await;
    // The refused job has not run and has no record.
    assert_eq!(fleet.starts(400), 0);
    let (status, ..) = fleet.call(0, Method::GET, path, String::new()).await;
    assert_eq!(status, 410);
    let (status, ..) = fleet.call(0, Method::POST, path, job).await;
    assert_eq!(status, 200);
    fleet.until_state(0, 400, "completed").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_go_on_through_an_outage_of_the_store() {
    let fleet = EntryFleet::start("outage", 2).await;
    assert_eq!(fleet.submit(0, 401, 2_500, &[3, 1]).await, 200);
    fleet
        .until("the job is running", async |fleet| fleet.running(401) == 3)
        .await;
    fleet.store.set_refusing(true);
    tokio::time::sleep(std::time::Duration::from_millis(2_000)).await;
    fleet.store.set_refusing(false);
    fleet.until_state(1, 401, "completed").await;
    assert_eq!(fleet.starts(401), 4);
    fleet.assert_no_duplicate_runs();
}

#[tokio::test(flavor = "multi_thread")]
async fn changes_whose_answer_is_lost_are_applied_once() {
    let fleet = EntryFleet::start("lost", 2).await;
    for id in 0..5 {
        fleet.store.lose_answers(2);
        let status = fleet.submit(0, 410 + id, 100, &[2, 1]).await;
        assert!(status == 200 || status == 504, "{status}");
    }
    fleet.store.lose_answers(0);
    for id in 0..5 {
        fleet.until_state(1, 410 + id, "completed").await;
        assert_eq!(fleet.starts(410 + id), 3, "job {id}");
    }
    fleet.assert_no_duplicate_runs();
}

#[tokio::test(flavor = "multi_thread")]
async fn rules_and_jobs_are_read_again_when_the_history_is_compacted() {
    let fleet = EntryFleet::start("history", 2).await;
    fleet
        .store
        .put_rules(2, &[("bulk", 2), ("late", 1), ("urgent", 0)]);
    fleet.store.compact_history();
    for number in 0..2 {
        fleet
            .until("the new queue is served", async |fleet| {
                let (status, ..) = fleet
                    .call(number, Method::GET, "/late/", String::new())
                    .await;
                status == 200
            })
            .await;
    }
    fleet.store.put_rules(3, &[("bulk", 2)]);
    for number in 0..2 {
        fleet
            .until("the dropped queue is no longer served", async |fleet| {
                let (status, ..) = fleet
                    .call(number, Method::GET, "/late/", String::new())
                    .await;
                status == 404
            })
            .await;
    }
    // An older version of the rules does not come into force again.
    fleet.store.put_rules(2, &[("bulk", 2), ("late", 1)]);
    tokio::time::sleep(std::time::Duration::from_millis(300)).await;
    let (status, ..) = fleet.call(0, Method::GET, "/late/", String::new()).await;
    assert_eq!(status, 404);
    assert_eq!(fleet.submit(0, 420, 50, &[1]).await, 200);
    fleet.until_state(0, 420, "completed").await;
}

/// Time from the operators' write of rules until they are in force, `config_apply_ms` of the
/// platform.
const RULES_BOUND: time::Duration = time::Duration::from_millis(2_000);
/// Time after which a disruption no longer excuses a VM, `contact_ms` of the platform.
const CONTACT_SPAN: time::Duration = time::Duration::from_millis(3_000);

/// Guards against polls of the rules that use one silent connection after the other.
#[tokio::test(flavor = "multi_thread")]
async fn new_queues_are_served_in_time_after_the_connections_to_the_store_went_silent() {
    let fleet = EntryFleet::start("silent", 2).await;
    // Leaves several idle connections to the store behind.
    let submissions = (0..24u64).map(|number| {
        let fleet = &fleet;
        async move {
            fleet
                .submit(number as usize % 2, 700 + number, 50, &[1])
                .await
        }
    });
    let statuses = futures::future::join_all(submissions).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    for port in &fleet.ports {
        port.silence_open_connections();
    }
    let silent_at = time::Instant::now();
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    let queues = [("bulk", 2), ("late", 1), ("urgent", 0)];
    fleet.store.put_rules(2, &queues);
    let due = (silent_at + CONTACT_SPAN).max(time::Instant::now() + RULES_BOUND);
    tokio::time::sleep_until(due.into()).await;
    for number in 0..2 {
        let (status, ..) = fleet
            .call(number, Method::GET, "/late/", String::new())
            .await;
        assert_eq!(status, 200, "entry VM {number}");
    }
}

/// Time from a worker's notice until nothing new starts there, `drain_ms` of the platform.
const DRAIN_BOUND: time::Duration = time::Duration::from_millis(2_000);

/// Guards against a leader that goes on with an old list of workers, and old rules, because its
/// connections to the store don't answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_worker_gets_nothing_new_after_the_connections_to_the_store_went_silent() {
    let fleet = EntryFleet::start("unanswered", 2).await;
    for number in 0..24 {
        assert_eq!(fleet.submit(0, 800 + number, 50, &[1]).await, 200);
    }
    for port in &fleet.ports {
        port.silence_open_connections();
    }
    let silent_at = time::Instant::now();
    tokio::time::sleep(CONTACT_SPAN + time::Duration::from_millis(500)).await;
    let queues = [("bulk", 2), ("late", 1), ("urgent", 0)];
    fleet.store.put_rules(2, &queues);
    fleet.workers[0].register_in(&fleet.store, "draining", "domain");
    tokio::time::sleep(DRAIN_BOUND.max(RULES_BOUND)).await;
    let before = fleet.workers[0].started_runs().len();
    for number in 0..24 {
        let entry = number as usize % 2;
        assert_eq!(fleet.submit(entry, 900 + number, 50, &[1]).await, 200);
        let (status, ..) = fleet
            .call(entry, Method::GET, "/late/", String::new())
            .await;
        assert_eq!(status, 200, "entry VM {entry}, {:?}", silent_at.elapsed());
    }
    for number in 0..24 {
        fleet.until_state(1, 900 + number, "completed").await;
    }
    assert_eq!(fleet.workers[0].started_runs().len(), before);
}

/// The value of a metric of an entry VM.
async fn metric(fleet: &EntryFleet, number: usize, name: &str) -> u64 {
    let text = fleet.metrics(number).await;
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let value = line.and_then(|value| value.trim().parse().ok());
    value.unwrap_or_else(|| panic!("no {name} in {text}"))
}

/// Time that two answers of a slow store take, at 60 times the usual 4 ms.
const SLOW_ANSWERS: time::Duration = time::Duration::from_millis(480);

/// Guards against rules that count as unconfirmed while the store answers each poll.
#[tokio::test(flavor = "multi_thread")]
async fn rules_stay_confirmed_while_nothing_changes() {
    let fleet = EntryFleet::start("calm", 1).await;
    let end = time::Instant::now() + CONTACT_SPAN;
    let mut oldest_ms = 0;
    while time::Instant::now() < end {
        oldest_ms = oldest_ms.max(metric(&fleet, 0, "sapphirewalk_rules_age_ms").await);
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let most_ms = (RULES_BOUND - SLOW_ANSWERS).as_millis();
    assert!(u128::from(oldest_ms) < most_ms, "{oldest_ms} ms");
}

/// Guards against a failed poll that is followed by a whole poll before the rules are confirmed.
#[tokio::test(flavor = "multi_thread")]
async fn rules_are_confirmed_in_time_after_the_connections_to_the_store_went_silent() {
    let fleet = EntryFleet::start("confirmed", 1).await;
    fleet.ports[0].silence_open_connections();
    let end = time::Instant::now() + CONTACT_SPAN + RULES_BOUND;
    while time::Instant::now() < end {
        let age_ms = metric(&fleet, 0, "sapphirewalk_rules_age_ms").await;
        assert!(u128::from(age_ms) < RULES_BOUND.as_millis(), "{age_ms} ms");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}

/// Guards against 404, which callers take as final, for a queue that may have been added since the
/// store was last reached.
#[tokio::test(flavor = "multi_thread")]
async fn unknown_queues_are_refused_for_a_while_once_the_rules_are_unconfirmed() {
    let fleet = EntryFleet::start("unconfirmed", 1).await;
    let path = "/late/00000000000002f0";
    let job = fleet::job(50, &[1]).to_string();
    let (status, ..) = fleet.call(0, Method::POST, path, job.clone()).await;
    assert_eq!(status, 404);
    fleet.ports[0].set_mode(PortMode::Silent);
    let queues = [("bulk", 2), ("late", 1), ("urgent", 0)];
    fleet.store.put_rules(2, &queues);
    // A poll that was answered may have been sent just before.
    tokio::time::sleep(RULES_BOUND + time::Duration::from_millis(1_100)).await;
    for method in [Method::POST, Method::GET] {
        let (status, _, after) = fleet.call(0, method, path, job.clone()).await;
        assert_eq!((status, after.as_deref()), (503, Some("1")));
    }
    // Queues that the rules have are still served.
    let (status, ..) = fleet.call(0, Method::GET, "/bulk/", String::new()).await;
    assert_ne!(status, 404);
    fleet.ports[0].set_mode(PortMode::Serving);
    fleet
        .until("the new queue is served", async |fleet| {
            let (status, ..) = fleet.call(0, Method::POST, path, job.clone()).await;
            status == 200
        })
        .await;
    let (status, ..) = fleet
        .call(0, Method::POST, "/none/00000000000002f1", job.clone())
        .await;
    assert_eq!(status, 404);
}

/// Most reads of the rules that a VM may send in [`CONTACT_SPAN`]: ten a second.
const MAX_STALE_READS: u64 = 30;

/// Guards against reads that are behind and count as proof of what the rules don't have.
#[tokio::test(flavor = "multi_thread")]
async fn a_read_that_is_behind_does_not_confirm_the_rules() {
    let fleet = EntryFleet::start("behind", 1).await;
    let path = "/late/00000000000002f0";
    let job = fleet::job(50, &[1]).to_string();
    fleet.store.set_stale_reads(true);
    fleet.store.compact_history();
    let queues = [("bulk", 2), ("late", 1), ("urgent", 0)];
    fleet.store.put_rules(2, &queues);
    let reads_before = fleet.store.read_count("op");
    tokio::time::sleep(CONTACT_SPAN).await;
    let reads = fleet.store.read_count("op") - reads_before;
    let (status, ..) = fleet.call(0, Method::POST, path, job.clone()).await;
    assert_eq!(status, 503);
    assert!(reads <= MAX_STALE_READS, "{reads} reads");
    fleet.store.set_stale_reads(false);
    fleet
        .until("the new queue is served", async |fleet| {
            let (status, ..) = fleet.call(0, Method::POST, path, job.clone()).await;
            status == 200
        })
        .await;
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_accepted_while_each_part_of_the_store_is_slow() {
    let fleet = EntryFleet::start("slow", 2).await;
    assert_eq!(fleet.submit(0, 500, 100, &[1]).await, 200);
    // 60 times the usual 5 ms. Callers submit 20 jobs a second for 2 s, while each partition of the
    // store completes only about three transactions a second.
    fleet
        .store
        .slow_transactions(std::time::Duration::from_millis(300));
    let submitted = (0..40u64).map(|number| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(std::time::Duration::from_millis(number * 50)).await;
            // Spreads the identifiers over the whole range, as random ones of callers.
            let id = (number + 1).wrapping_mul(0x9E37_79B9_7F4A_7C15);
            fleet.submit(number as usize % 2, id, 100, &[1]).await
        }
    });
    let answers = futures::future::join_all(submitted).await;
    let accepted = answers.iter().filter(|status| **status == 200).count();
    assert!(accepted >= 38, "{accepted} of 40 accepted: {answers:?}");
    fleet.store.slow_transactions(std::time::Duration::ZERO);
    fleet.assert_no_duplicate_runs();
}

/// Bytes that the store takes per transaction in a trial: a few rows of progress.
const SMALL_CALL_BYTES: usize = 1_600;
/// Duration of a transaction for which the changes of many jobs wait for one batch.
const WAITING_TIME: time::Duration = time::Duration::from_millis(300);

/// Guards against a leader that repeats a batch for ever which the store refuses for good.
#[tokio::test(flavor = "multi_thread")]
async fn a_batch_that_the_store_refuses_for_good_stops_no_job() {
    let fleet = EntryFleet::start("refused_batch", 2).await;
    fleet.store.slow_transactions(WAITING_TIME);
    let submissions = (0..24).map(|number| {
        let fleet = &fleet;
        async move { fleet.submit(0, 1_000 + number, 50, &[1, 1]).await }
    });
    let statuses = futures::future::join_all(submissions).await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
    fleet.store.limit_calls(SMALL_CALL_BYTES);
    fleet.store.slow_transactions(time::Duration::ZERO);
    for number in 0..24 {
        fleet.until_state(1, 1_000 + number, "completed").await;
        assert_eq!(fleet.starts(1_000 + number), 2, "job {number}");
    }
    fleet.assert_no_duplicate_runs();
    let logs = (0..2).map(|number| fleet.entries[number].log());
    let refused = logs
        .filter(|log| log.contains("event=batch_refused"))
        .count();
    assert!(refused > 0, "no batch was refused");
}
