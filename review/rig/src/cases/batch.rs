//! A worker crashes while many tasks of large jobs run.

use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::rig::Rig;
use crate::rig::Step;
use crate::worker::Kind;
use crate::worker::Need;

const FIRST_JOB: u64 = 0x1000_0000_0000_0000;
const SMALL_JOB: u64 = 0x2000_0000_0000_0000;
const WORKERS: usize = 16;
/// Large jobs, and the long and short tasks of each.
const JOBS: u64 = 84;
const LONG_TASKS: u64 = 392;
const SHORT_TASKS: u64 = 8;
/// Interval between two large jobs.
const JOB_INTERVAL: Duration = Duration::from_millis(300);
/// Time that the last jobs get to start, at least and at most.
const SETTLE: Duration = Duration::from_secs(8);
const LONGEST_SETTLE: Duration = Duration::from_secs(15);
/// Time for which the worker is down.
const DOWN: Duration = Duration::from_millis(4_500);
/// From the crash until the first small job is handed in: the worker is back by then, and all has
/// been calm for over 4 s.
const SMALL_AFTER: Duration = Duration::from_secs(10);
/// Small jobs, one a second.
const SMALL_JOBS: u64 = 16;
/// Longest time for which a job may have nothing running while there is room.
const LONGEST_IDLE: Duration = Duration::from_secs(3);

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let kind = Kind {
        cpu: 16_000,
        mem_mb: 62_500,
        labels: vec!["a".to_owned(), "r1-1".to_owned()],
        guards: true,
    };
    let rig = Rig::start(folder, 3, vec![kind.clone(); WORKERS])?;
    let need = |work_ms, checkpoints| Need {
        cpu: 3,
        mem_mb: 8,
        label: String::new(),
        work_ms,
        checkpoints,
    };
    let steps = [
        Step {
            count: LONG_TASKS,
            need: need(95_000, true),
            parallel: true,
        },
        Step {
            count: SHORT_TASKS,
            need: need(5_000, false),
            parallel: true,
        },
    ];
    for job in 0..JOBS {
        if !rig.submit(FIRST_JOB + job, &steps) {
            return Err("a job was not accepted".to_owned());
        }
        thread::sleep(JOB_INTERVAL);
    }
    let total = (JOBS * LONG_TASKS) as usize;
    // The short tasks are done, and the rows that record it contain the checkpoints.
    thread::sleep(SETTLE);
    let settled = rig.until(LONGEST_SETTLE, |rig| rig.running() == total);
    rig.note(format!("{} tasks run, {total} of them long", rig.running()));
    if !settled {
        return Err("not all tasks started".to_owned());
    }
    note_store(&rig, "before the crash");
    let crashed = Instant::now();
    if trouble {
        rig.note(format!(
            "{} crashes for {DOWN:?} with {} runs",
            rig.workers[0].id,
            rig.workers[0].running()
        ));
        rig.workers[0].crash();
        thread::sleep(DOWN);
        rig.workers[0].be_born(2, kind);
        rig.note("it is back");
    }
    thread::sleep((crashed + SMALL_AFTER).saturating_duration_since(Instant::now()));
    let mut accepted = Vec::new();
    let small = Step {
        count: 1,
        need: Need {
            cpu: 100,
            mem_mb: 64,
            label: String::new(),
            work_ms: 500,
            checkpoints: false,
        },
        parallel: true,
    };
    for job in 0..SMALL_JOBS {
        let next = Instant::now() + Duration::from_secs(1);
        if rig.submit(SMALL_JOB + job, std::slice::from_ref(&small)) {
            accepted.push((SMALL_JOB + job, Instant::now()));
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
    thread::sleep(LONGEST_IDLE);
    let used: u64 = rig.workers.iter().map(|worker| worker.used_cpu()).sum();
    rig.note(format!(
        "of 256 cores {:.1} are in use, {} tasks run",
        used as f64 / 1000.0,
        rig.running()
    ));
    note_store(&rig, "at the end");
    // LOST: for 3 s, a job has nothing running while a task's turn has come, there is capacity for it
    // twice over, and under half of the service's capacity is in use.
    let mut idle = 0;
    for (job, at) in accepted {
        let started = rig
            .runs(job)
            .first()
            .map(|run| run.started.saturating_duration_since(at));
        let waited = started.unwrap_or_else(|| at.elapsed());
        idle += u32::from(waited >= LONGEST_IDLE);
        rig.note(format!("job {job:016x}, accepted at {:.3}, had nothing running for {waited:.3?}, started: {}, shown as {}",
            rig.at(at), started.is_some(), rig.state(job)));
    }
    rig.note(format!(
        "{idle} of the small jobs had nothing running for 3 s"
    ));
    Ok(idle == 0)
}

fn note_store(rig: &Rig, when: &str) {
    let (writes, largest, last) = *rig.store.leader_writes.lock().unwrap();
    let refused = rig.store.refused.lock().unwrap();
    let last = last.map_or(0.0, |at| at.elapsed().as_secs_f64());
    rig.note(format!("{when}: {writes} writes of leaders, the largest of {largest} bytes, the last {last:.1} s ago; {} calls over 1 MB or 100 entries refused", refused.len()));
    for call in refused.iter().take(3).chain(refused.last()) {
        rig.note(format!(
            "refused at {:.3}: {} bytes, {} entries",
            rig.at(call.at),
            call.bytes,
            call.entries
        ));
    }
}
