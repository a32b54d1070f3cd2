//! The cases: each plays its load and disruption, and judges one rule.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use crate::fleet::Fleet;
use crate::fleet::Job;
use crate::record::Record;
use crate::store::Store;
use crate::worker::EventKind;
use crate::worker::Kind;
use crate::worker::Step;
use crate::worker::Worker;
use crate::worker::World;

const ENTRIES: usize = 4;
/// Bounds of the deployment.
const CONTACT_MS: u64 = 3_000;
const FINISH: Duration = Duration::from_secs(14);
const IDLE_MS: u64 = 3_000;
/// A minion of the deployment: 16 cores and 62.5 GB.
const PLAIN: Kind = Kind {
    label: "a",
    cpu: 16_000,
    mem_mb: 62_500,
};
const OTHER: Kind = Kind {
    label: "b",
    ..PLAIN
};

/// Plays a case. Returns whether the rule was broken, none if there is no such case.
pub async fn play(case: &str, trouble: bool, record: &Arc<Record>) -> Option<bool> {
    match case {
        "images" => Some(images(trouble, record).await),
        "memory" => Some(memory(trouble, record).await),
        "gang" => Some(gang(trouble, record).await),
        "kind" => Some(kind(trouble, record).await),
        _ => None,
    }
}

async fn start(record: &Arc<Record>, kinds: &[Kind]) -> (Fleet, Vec<Arc<Worker>>) {
    let world = World::new(record.clone());
    let (store, address) = Store::start(record.clone()).await;
    let mut workers = Vec::new();
    for (number, kind) in kinds.iter().enumerate() {
        let (id, rack) = (format!("m-{number:02}"), format!("r1-{}", number / 8));
        workers.push(Worker::start(&id, &rack, kind.clone(), &world, &store).await);
    }
    let fleet = Fleet::start(ENTRIES, &world, &store, address).await;
    (fleet, workers)
}

fn job_id(group: u64, number: u64) -> String {
    let mixed = (group << 32 | number).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    format!("{mixed:016x}")
}

/// Tasks that last, of five images, beside tasks that fill. Each job of these has an image of its
/// own, named by its digest; without the trouble they share nine.
async fn images(trouble: bool, record: &Arc<Record>) -> bool {
    let (fleet, workers) = start(record, &vec![PLAIN; 16]).await;
    let image = |number: u64| {
        let digest = format!(
            "{}{}{}{}",
            job_id(8, number),
            job_id(9, number),
            job_id(10, number),
            job_id(11, number)
        );
        format!("registry.kerlann.example/foundry/casting-run@sha256:{digest}")
    };
    for number in 0..5 {
        let step = Step {
            long_running: true,
            image: image(1_000 + number),
            target_ms: 40,
            ..Step::plain(16, 1_000, 400)
        };
        fleet
            .submit(&job_id(7, number), "anneal-watch", vec![step])
            .await;
    }
    let mut jobs = Vec::new();
    for number in 0..300 {
        let step = Step {
            image: image(if trouble { number } else { number % 9 }),
            fills: true,
            ..Step::plain(16, 300, 2_000)
        };
        jobs.push(
            fleet
                .submit(&job_id(12, number), "casting-run", vec![step])
                .await,
        );
        if number % 7 == 0 {
            let step = Step::plain(6, 1_600, 1_000);
            jobs.push(
                fleet
                    .submit(&job_id(13, number), "mould-preview", vec![step])
                    .await,
            );
        }
        sleep(Duration::from_millis(200)).await;
    }
    record.say("the traffic has ended");
    sleep(FINISH).await;
    let idle = find_idle(&fleet, &workers, &jobs).await;
    let states = fleet.states(&jobs).await;
    for (state, ids) in &states {
        record.say(&format!("{} jobs are {state}", ids.len()));
    }
    record.say(&format!(
        "{} accepted jobs have nothing running in an idle pool",
        idle.len()
    ));
    record.say(&format!(
        "the store refused {} writes for their size",
        fleet.store.refused()
    ));
    fleet.copy_log(&["store_lost", "leadership_"], 40);
    !idle.is_empty()
}

/// Accepted jobs that aren't completed and that have nothing running for 3 s, while under half of
/// the pool is in use.
async fn find_idle(fleet: &Fleet, workers: &[Arc<Worker>], jobs: &[Job]) -> Vec<Job> {
    let states = fleet.states(jobs).await;
    let is_open = |job: &&Job| {
        let shown = |state: &str| states.get(state).is_some_and(|ids| ids.contains(&job.id));
        job.accepted_ms.is_some() && !shown("completed") && !shown("failed") && !shown("cancelled")
    };
    let mut idle: Vec<Job> = jobs.iter().filter(is_open).cloned().collect();
    let from = fleet.world.record.now_ms();
    while fleet.world.record.now_ms() < from + IDLE_MS {
        let running: Vec<String> = workers.iter().flat_map(|worker| worker.running()).collect();
        idle.retain(|job| !running.iter().any(|task| task.starts_with(&job.id)));
        let used: u64 = workers.iter().map(|worker| worker.used_cpu()).sum();
        if used * 2 >= workers.len() as u64 * PLAIN.cpu {
            return Vec::new();
        }
        sleep(Duration::from_millis(50)).await;
    }
    idle
}

/// Bulk jobs of one step that wait for room. They have as many tasks as the program accepts; without
/// the trouble, as many as the site's mean.
async fn memory(trouble: bool, record: &Arc<Record>) -> bool {
    let (fleet, _workers) = start(record, &vec![PLAIN; 66]).await;
    let fleet = Arc::new(fleet);
    let count = if trouble { 1_500 } else { 8 };
    let clients = {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            for number in 0..1_200 {
                let fleet = fleet.clone();
                tokio::spawn(async move {
                    let step = Step::plain(count, 1_800, 2_200);
                    fleet
                        .submit(&job_id(14, number), "casting-run", vec![step])
                        .await
                });
                sleep(Duration::from_millis(56)).await;
            }
        })
    };
    let kills = fleet.enforce_memory(Duration::from_secs(95)).await;
    clients.abort();
    record.say(&format!("kills of each process for its memory: {kills:?}"));
    fleet.copy_log(&["leadership_", "process_started"], 40);
    kills.iter().filter(|kills| **kills >= 3).count() >= 2
}

/// Gangs whose tasks save checkpoints. One minion drains and leaves under each.
async fn gang(trouble: bool, record: &Arc<Record>) -> bool {
    let (fleet, workers) = start(record, &vec![PLAIN; 16]).await;
    let step = Step {
        checkpointing: true,
        gang: true,
        ..Step::plain(4, 1_800, 12_000)
    };
    let job = fleet.submit(&job_id(3, 0), "casting-run", vec![step]).await;
    sleep(Duration::from_millis(5_400)).await;
    let mut calm_from = record.now_ms();
    if trouble {
        let host = workers.iter().find(|worker| !worker.running().is_empty());
        if let Some(worker) = host {
            worker.drain(Duration::from_secs(3)).await;
        }
        calm_from = record.now_ms();
        record.say("one of 16 minions has been emptied and taken away");
    }
    sleep(Duration::from_secs(45)).await;
    let alone_from = calm_from + CONTACT_MS + crate::worker::GANG_TIMEOUT_MS;
    let events = fleet.world.events();
    let alone = events
        .iter()
        .filter(|event| event.kind == EventKind::Ended("alone") && event.at_ms > alone_from);
    let alone = alone.count();
    let state = fleet.state(&job).await;
    record.say(&format!(
        "{alone} runs ended alone over 6 s after the disruption"
    ));
    record.say(&format!("the gang's job is {state}"));
    alone > 0
}

/// Tasks that need label "a". Minions crash one at a time and start again as the other kind.
async fn kind(trouble: bool, record: &Arc<Record>) -> bool {
    let kinds: Vec<Kind> = (0..16)
        .map(|n| if n % 2 == 0 { PLAIN } else { OTHER })
        .collect();
    let (fleet, workers) = start(record, &kinds).await;
    let fleet = Arc::new(fleet);
    let clients = {
        let fleet = fleet.clone();
        tokio::spawn(async move {
            for number in 0..400 {
                let step = Step {
                    label: Some("a"),
                    ..Step::plain(6, 1_600, 1_000)
                };
                fleet
                    .submit(&job_id(4, number), "mould-preview", vec![step])
                    .await;
                sleep(Duration::from_millis(100)).await;
            }
        })
    };
    for round in 0..8 {
        sleep(Duration::from_secs(4)).await;
        if trouble {
            let worker = &workers[round * 2];
            worker.crash();
            sleep(Duration::from_millis(800)).await;
            worker.restart(Some(OTHER)).await;
            sleep(Duration::from_secs(2)).await;
            // As many minions of each kind as before.
            let worker = &workers[round * 2 + 1];
            worker.crash();
            sleep(Duration::from_millis(800)).await;
            worker.restart(Some(PLAIN)).await;
        }
    }
    clients.abort();
    let events = fleet.world.events();
    let wrong = events
        .iter()
        .filter(|event| matches!(event.kind, EventKind::Started(_)) && event.label != "a");
    let wrong: Vec<_> = wrong.collect();
    for event in &wrong {
        record.line(&format!(
            "{} ms: a start on a minion of kind {}",
            event.at_ms, event.label
        ));
    }
    record.say(&format!(
        "{} starts on minions without the label",
        wrong.len()
    ));
    !wrong.is_empty()
}
