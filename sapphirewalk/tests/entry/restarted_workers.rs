//! Workers that restart under their identifiers, with clocks that are behind their former ones.

use std::collections;
use std::time;

use hyper::Method;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use sapphirewalk_platform::stand_in::WorkerStandIn;

use crate::fleet::EntryFleet;

const FIRST_JOB: u64 = 640;
const ROUNDS: u64 = 3;
const TASKS: u32 = 24;
/// Seeds of the soak, from the first; the variable sets another number for longer runs.
const SOAK_SEEDS: u64 = 4;
const SOAK_SEEDS_VARIABLE: &str = "SAPPHIREWALK_SOAK_SEEDS";
/// Duration of a run that the soak's jobs outlast, in milliseconds.
const LONG_RUN_MS: u64 = 600_000;
const SOAK_JOBS: u64 = 16;
/// Interval between the soak's jobs, in milliseconds.
const SUBMIT_INTERVAL_MS: u64 = 60;
/// Time for which the soak cuts workers off, in milliseconds. It exceeds the longest lease.
const CUT_SPAN_MS: u64 = 11_000;
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(10);
/// Clock reading after the first restart, in milliseconds. The stand-in's runs take less time than
/// the clock loses at each further restart.
const CLOCK_MS: u64 = 50_000_000;
const CLOCK_STEP_MS: u64 = 10_000_000;

/// Guards against leases, and runs of other incarnations, that a start gives to a worker which has
/// restarted since its clock was read.
#[tokio::test(flavor = "multi_thread")]
async fn calls_for_a_former_incarnation_do_not_reach_the_next_one() {
    let fleet = EntryFleet::start("restarted", 1).await;
    for round in 0..ROUNDS {
        for worker in &fleet.workers {
            worker.restart(CLOCK_MS - round * CLOCK_STEP_MS);
        }
        let job = FIRST_JOB + round;
        assert_eq!(fleet.submit(0, job, 300, &[TASKS]).await, 200);
        fleet.until_state(0, job, "completed").await;
    }
    let foreign_deadlines = fleet.workers.iter().map(WorkerStandIn::foreign_deadlines);
    assert_eq!(foreign_deadlines.sum::<usize>(), 0);
    let foreign = fleet.workers.iter();
    let foreign = foreign.map(WorkerStandIn::foreign_acknowledgements);
    assert_eq!(foreign.sum::<usize>(), 0);
}

/// A fault of the soak.
#[derive(Clone, Copy, Debug)]
enum SoakFault {
    /// Restarts the workers with even numbers.
    Restart,
    /// Kills the leader; another entry VM takes over.
    KillLeader,
    /// Cuts the restarted workers off.
    CutOff,
    /// Ends the cut.
    Reconnect,
}

/// Tasks that run on more than one worker.
fn duplicates(fleet: &EntryFleet) -> Vec<String> {
    let mut seen = collections::BTreeSet::new();
    let running = fleet.workers.iter().flat_map(WorkerStandIn::running);
    running.filter(|task| !seen.insert(task.clone())).collect()
}

/// The faults of one round, each with its time in milliseconds, in their order.
fn draw_faults(rng: &mut ChaCha8Rng) -> Vec<(u64, SoakFault)> {
    let restart_ms = rng.random_range(1_500..2_500);
    let cut_ms = restart_ms + rng.random_range(300..2_600);
    let mut faults = vec![
        (restart_ms, SoakFault::Restart),
        (cut_ms, SoakFault::CutOff),
        (cut_ms + CUT_SPAN_MS, SoakFault::Reconnect),
    ];
    if rng.random_bool(0.3) {
        // The restart before it is then never noticed.
        faults.push((restart_ms + 100, SoakFault::Restart));
    }
    if rng.random_bool(0.7) {
        // The next leader has only one connection to each worker when that restarts.
        faults.push((rng.random_range(0..500), SoakFault::KillLeader));
    }
    if rng.random_bool(0.4) {
        let kill_ms = rng.random_range(restart_ms..cut_ms + 300);
        faults.push((kill_ms, SoakFault::KillLeader));
    }
    faults.sort_by_key(|(at_ms, _)| *at_ms);
    faults
}

/// Guards against tasks that have two runs at once after their workers restarted and were cut off.
#[tokio::test(flavor = "multi_thread")]
async fn tasks_of_restarted_workers_that_are_cut_off_run_once_at_a_time() {
    let seeds = std::env::var(SOAK_SEEDS_VARIABLE);
    let seeds = seeds.map_or(SOAK_SEEDS, |seeds| {
        seeds.parse().expect("a number of seeds")
    });
    let mut fleet = EntryFleet::start("soak", 3).await;
    let mut clock_ms = CLOCK_MS;
    for seed in 0..seeds {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults = draw_faults(&mut rng);
        let restarts = faults.iter();
        let mut restarts = restarts.filter(|(_, fault)| matches!(fault, SoakFault::Restart));
        let mut next_submission_ms = restarts.next().map_or(0, |(at_ms, _)| *at_ms);
        let mut faults = faults.into_iter().peekable();
        let first_job = FIRST_JOB + 100 + seed * SOAK_JOBS;
        let mut jobs = first_job..first_job + SOAK_JOBS;
        let begun_at = time::Instant::now();
        while let Some((at_ms, fault)) = faults.peek().copied() {
            let elapsed_ms = u64::try_from(begun_at.elapsed().as_millis()).expect("a short time");
            assert_eq!(duplicates(&fleet), Vec::<String>::new(), "seed {seed}");
            if elapsed_ms >= next_submission_ms
                && let Some(job) = jobs.next()
            {
                next_submission_ms += SUBMIT_INTERVAL_MS;
                // The entry VM may be one that was just killed; the job is then left out.
                let number = usize::try_from(job).expect("a small number") % 3;
                let _answer = fleet.submit(number, job, LONG_RUN_MS, &[1]).await;
            }
            if elapsed_ms < at_ms {
                tokio::time::sleep(SAMPLE_INTERVAL).await;
                continue;
            }
            faults.next();
            match fault {
                SoakFault::Restart => {
                    clock_ms -= LONG_RUN_MS;
                    for worker in fleet.workers.iter().step_by(2) {
                        worker.restart(clock_ms);
                    }
                }
                SoakFault::KillLeader => {
                    let leader = fleet.leader().expect("an entry VM is the leader");
                    fleet.entries[leader].restart();
                }
                SoakFault::CutOff | SoakFault::Reconnect => {
                    let is_cut_off = matches!(fault, SoakFault::CutOff);
                    for worker in fleet.workers.iter().step_by(2) {
                        worker.set_cut_off(is_cut_off);
                    }
                }
            }
        }
        for job in first_job..first_job + SOAK_JOBS {
            let path = format!("/bulk/{job:016x}");
            fleet.call(0, Method::DELETE, &path, String::new()).await;
        }
        fleet
            .until("no task runs", async |fleet| {
                fleet
                    .workers
                    .iter()
                    .all(|worker| worker.running().is_empty())
            })
            .await;
    }
}
