//! A worker crashes and starts again as another kind of worker, at the same address.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::rig::Rig;
use crate::rig::Step;
use crate::worker::Kind;
use crate::worker::Need;

const JOB: u64 = 0x4000_0000_0000_0001;
const DOWN: Duration = Duration::from_millis(1_000);

pub fn run(folder: &Path, trouble: bool) -> Result<bool, String> {
    let kind = |label: &str| Kind {
        cpu: 16_000,
        mem_mb: 62_500,
        labels: vec![label.to_owned(), "r1-1".to_owned()],
        guards: true,
    };
    let mut kinds = vec![kind("a"); 6];
    kinds.push(kind("b"));
    kinds.push(kind("b"));
    let rig = Rig::start(folder, 3, kinds)?;
    let need = Need {
        cpu: 1_000,
        mem_mb: 1_000,
        label: "b".to_owned(),
        work_ms: 2_000,
        checkpoints: false,
    };
    if !rig.submit(
        JOB,
        &[Step {
            count: 200,
            need,
            parallel: true,
        }],
    ) {
        return Err("the job was not accepted".to_owned());
    }
    thread::sleep(Duration::from_secs(6));
    if trouble {
        let worker = rig.workers[7].clone();
        rig.note(format!(
            "{} crashes for {DOWN:?} with {} runs, and starts again as kind a",
            worker.id,
            worker.running()
        ));
        worker.crash();
        thread::sleep(DOWN);
        worker.be_born(2, kind("a"));
    }
    rig.until(Duration::from_secs(60), |rig| rig.state(JOB) == "completed");
    rig.note(format!("the job is shown as {}", rig.state(JOB)));
    rig.note_runs(JOB);
    // ROUTE: a start on a minion without the label in `required_label`.
    let runs = rig.runs(JOB);
    let astray: Vec<_> = runs
        .iter()
        .filter(|run| !run.labels.iter().any(|label| label == "b"))
        .collect();
    for run in astray.iter().take(10) {
        rig.note(format!(
            "ROUTE {} attempt {} started at {:.3} on {}, whose labels are {:?}",
            run.task,
            run.attempt,
            rig.at(run.started),
            run.worker,
            run.labels
        ));
    }
    rig.note(format!(
        "{} runs, {} on a worker without the label",
        runs.len(),
        astray.len()
    ));
    Ok(astray.is_empty())
}
