//! A worker is cut off while more of its runs end than one answer lists.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::rig::Rig;
use crate::rig::Step;
use crate::worker::Kind;
use crate::worker::Need;

const JOB: u64 = 0x5c0e_7a21_d94b_36fe;
/// Tasks of the job.
const TASKS: u64 = 700;
/// Work of each task in ms.
const WORK_MS: u64 = 8_000;
/// From the first start until the cut begins.
const CUT_AFTER: Duration = Duration::from_millis(6_500);
/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_400);

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let kind = |label: &str| Kind {
        cpu: 16_000,
        mem_mb: 62_500,
        labels: vec![label.to_owned(), "r1-1".to_owned()],
        guards: true,
    };
    let mut kinds = vec![kind("a"); 7];
    kinds.push(kind("b"));
    let rig = Rig::start(folder, 3, kinds)?;
    let need = Need {
        cpu: 20,
        mem_mb: 64,
        label: "b".to_owned(),
        work_ms: WORK_MS,
        checkpoints: false,
    };
    if !rig.submit(
        JOB,
        &[Step {
            count: TASKS,
            need,
            parallel: true,
        }],
    ) {
        return Err("the job was not accepted".to_owned());
    }
    if !rig.until(Duration::from_secs(10), |rig| !rig.runs(JOB).is_empty()) {
        return Err("no task started".to_owned());
    }
    let first = rig.runs(JOB)[0].started;
    thread::sleep((first + CUT_AFTER).saturating_duration_since(Instant::now()));
    let worker = rig.workers[7].clone();
    rig.note(format!("{} tasks run on {}", worker.running(), worker.id));
    if trouble {
        rig.note(format!("{} is cut off for {CUT:?}", worker.id));
        worker.set_cut(true);
        thread::sleep(CUT);
        worker.set_cut(false);
        rig.note("the cut is over");
    }
    let ended = rig.until(Duration::from_secs(50), |rig| rig.state(JOB) == "completed");
    rig.note(format!("the job is shown as {}", rig.state(JOB)));
    thread::sleep(Duration::from_secs(3));
    rig.note_runs(JOB);
    // TWICE: a start after a run has ended `done`, if that end is taken note of then or later, with no
    // lapse of the worker's lease between the two.
    let mut done: HashMap<String, Instant> = HashMap::new();
    for run in rig.runs(JOB) {
        if let Some((at, "done", _)) = run.end
            && run.seen.is_some()
        {
            let known = done.entry(run.task).or_insert(at);
            *known = (*known).min(at);
        }
    }
    let runs = rig.runs(JOB);
    let again: Vec<_> = runs
        .iter()
        .filter(|run| done.get(&run.task).is_some_and(|at| run.started > *at))
        .collect();
    let lapsed = runs
        .iter()
        .filter(|run| run.end.is_some_and(|end| end.1 == "lapsed"))
        .count();
    rig.note(format!("{} runs, {lapsed} lapsed; {} started after a run of the task had ended done; completed: {ended}", runs.len(), again.len()));
    for run in again.iter().take(10) {
        rig.note(format!(
            "TWICE {} attempt {} started at {:.3}, after a run that was done at {:.3}",
            run.task,
            run.attempt,
            rig.at(run.started),
            rig.at(done[&run.task])
        ));
    }
    Ok(again.is_empty())
}
