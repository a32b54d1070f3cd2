//! Filling tasks beside lasting ones: where they go, and how much of a worker they use.

use std::fmt::Write;

use crate::coordinator::JobCoordinator;
use crate::coordinator::OrderAnswer;
use crate::job_spec::RunName;
use crate::job_spec::StepSpec;
use crate::time::TimePoint;
use crate::worker_book::WorkerSlot;

/// Share of its processor claim that a lasting task uses, until its worker shows otherwise.
const LASTING_LOAD: f64 = 0.5;

impl JobCoordinator {
    /// Reviews the paces on a worker that has just shown how its tasks do.
    pub(super) fn pace_worker(&mut self, worker: WorkerSlot, _now: TimePoint) {
        let entry = self.workers.get(worker);
        let mut detail = format!("worker={}", entry.report.id);
        let mut lasting = false;
        for gauge in &entry.gauges {
            let Some(step) = self.jobs.step(gauge.slot) else {
                continue;
            };
            let percent = self.jobs.task(gauge.slot).map_or(0, |task| task.percent);
            if step.lasting {
                lasting = true;
                let _ = write!(
                    detail,
                    " lasting={}:{}:{}:{}:{percent}",
                    step.image,
                    gauge.value,
                    step.tail_target.as_millis(),
                    step.demand.cpu_millis
                );
            } else {
                let _ = write!(
                    detail,
                    " other={}:{}:{}:{}:{percent}",
                    step.image, gauge.value, step.filler, step.demand.cpu_millis
                );
            }
        }
        if lasting {
            self.log("worker_gauges", None, detail);
        }
    }

    pub(super) fn on_paced(
        &mut self,
        worker: WorkerSlot,
        run: RunName,
        percent: u32,
        answer: OrderAnswer,
    ) {
        if answer == OrderAnswer::Fenced {
            self.step_down("pace", worker);
            return;
        }
        if let OrderAnswer::Accepted { .. } = answer
            && let Some(slot) = self.placed_run(worker, run)
            && let Some(task) = self.jobs.task_mut(slot)
        {
            task.pace = percent;
        }
    }

    /// How well a worker suits a filling task.
    pub(super) fn filler_score(&self, worker: WorkerSlot, step: &StepSpec) -> f64 {
        let entry = self.workers.get(worker);
        let mut left = entry.report.capacity.cpu_millis as f64;
        for slot in &entry.tasks {
            let Some(other) = self.jobs.step(*slot) else {
                continue;
            };
            let claim = other.demand.cpu_millis as f64;
            left -= if other.lasting {
                claim * LASTING_LOAD
            } else {
                claim
            };
        }
        (left - step.demand.cpu_millis as f64) / entry.report.capacity.cpu_millis.max(1) as f64
    }

    /// How well a worker suits a lasting task.
    pub(super) fn lasting_score(&self, worker: WorkerSlot, _step: &StepSpec) -> f64 {
        let entry = self.workers.get(worker);
        let free = entry.free();
        let capacity = entry.report.capacity;
        free.cpu_millis as f64 / capacity.cpu_millis.max(1) as f64
    }
}
