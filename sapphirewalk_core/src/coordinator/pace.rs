//! Filling tasks beside lasting ones: where they go, and which of them have to leave.
//!
//! Answers bursts of filling bulk work on workers that are nearly full of lasting tasks: a filling
//! task goes where nothing that it presses on runs, and leaves a worker on which a tail has passed
//! its target.

use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::coordinator::OrderAnswer;
use crate::fill_pace::ImageLoad;
use crate::job_book::TaskPhase;
use crate::job_book::TaskSlot;
use crate::job_spec::RunName;
use crate::job_spec::StepSpec;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_book::TaskGauge;
use crate::worker_book::WorkerSlot;

/// Share of its processor claim that a lasting task uses.
const LASTING_LOAD: f64 = 0.5;
/// Workers' figures are of the last half second; samples closer together are the same ones.
const SAMPLE_INTERVAL: TimeSpan = TimeSpan::from_millis(450);
/// A tail over its target without a known cause makes some filling task leave after this long, a
/// quarter of the time for which harm is tolerated at the least.
const UNEXPLAINED_SPAN: TimeSpan = TimeSpan::from_millis(900);
/// A tail over its target makes every filling task leave after this long.
const CLEARING_SPAN: TimeSpan = TimeSpan::from_millis(2_000);
/// A filling task that raises a tail by this much (as a logarithm) explains that it is too long.
const EXPLAINING_PRESSURE: f64 = 0.1;
/// Expected logarithm of the tail over its target beyond which no filling task is added: 0.75 of
/// the target, for the swing of loads.
const PLACE_CEILING: f64 = -0.29;
/// A filling task that presses less than this on a lasting one (as a logarithm) may join it even
/// where its tail is long already.
const HARMLESS_PRESSURE: f64 = 0.03;
/// Weight of a worker's lasting tasks of the same image in the choice of a worker.
const SAME_IMAGE_WEIGHT: f64 = 1.0;

impl JobCoordinator {
    /// Reviews the filling tasks on a worker that has just shown how its tasks do.
    pub(super) fn pace_worker(&mut self, worker: WorkerSlot, now: TimePoint) {
        let entry = self.workers.get_mut(worker);
        if now.since(entry.sampled_at) < SAMPLE_INTERVAL {
            return;
        }
        entry.sampled_at = now;
        let gauges = entry.gauges.clone();
        let capacity = entry.report.capacity.cpu_millis.max(1) as f64;
        let loads = self.filler_loads(&gauges, capacity);
        let mut strained = Vec::new();
        for gauge in &gauges {
            let Some(step) = self.jobs.step(gauge.slot) else {
                continue;
            };
            let target = step.tail_target.as_millis() as f64;
            let at_work = self
                .jobs
                .task(gauge.slot)
                .is_some_and(|task| task.percent >= 100);
            if !step.lasting || target <= 0.0 || !at_work {
                continue;
            }
            let image = self.pressure.intern(&step.image);
            let ratio = gauge.value / target;
            self.pressure.observe(image, &loads, ratio, now);
            if ratio > 1.0 {
                strained.push((image, ratio));
            }
        }
        if strained.is_empty() {
            self.workers.get_mut(worker).strained_since = None;
            return;
        }
        let entry = self.workers.get_mut(worker);
        let since = *entry.strained_since.get_or_insert(now);
        let span = now.since(since);
        let mut fillers = Vec::new();
        for gauge in &gauges {
            let Some(step) = self.jobs.step(gauge.slot) else {
                continue;
            };
            let leaving = self.jobs.task(gauge.slot).is_none_or(|task| task.stopping);
            if !step.filler || leaving {
                continue;
            }
            let image = self.pressure.intern(&step.image);
            let share = gauge.value.max(0.0) / capacity;
            let pressure: f64 = strained
                .iter()
                .map(|(lasting, _)| self.pressure.weight(*lasting, image) * share)
                .sum();
            fillers.push((pressure, share, gauge.slot));
        }
        fillers.sort_unstable_by(|one, other| {
            let key = (other.0, other.1);
            key.partial_cmp(&(one.0, one.1))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        let worst = strained.iter().map(|(_, ratio)| *ratio).fold(0.0, f64::max);
        for (pressure, share, slot) in fillers {
            let explained = pressure > EXPLAINING_PRESSURE;
            if span < CLEARING_SPAN && !explained && span < UNEXPLAINED_SPAN {
                break;
            }
            self.expel(slot, worker, pressure, share, worst, span);
            if span < CLEARING_SPAN && !explained {
                break;
            }
        }
    }

    /// Makes a filling task leave its worker: it is paced down at once, and stopped.
    fn expel(
        &mut self,
        slot: TaskSlot,
        worker: WorkerSlot,
        pressure: f64,
        share: f64,
        worst: f64,
        span: TimeSpan,
    ) {
        let Some(run) = self.jobs.run_name(slot) else {
            return;
        };
        let target = self.target(worker);
        self.log(
            "filler_expelled",
            Some(run.task.job),
            format!(
                "run={run} worker={} pressure={pressure:.2} share={share:.2} tail_ratio={worst:.1} \
                 strained_for={span}",
                target.id
            ),
        );
        if let Some(task) = self.jobs.task_mut(slot) {
            task.avoid = Some(worker);
        }
        self.effects.push(Effect::Pace {
            target,
            run,
            percent: 0,
        });
        self.order_stop(slot, "harm");
    }

    /// What filling images use of a worker's processor, as it last said.
    fn filler_loads(&mut self, gauges: &[TaskGauge], capacity: f64) -> Vec<ImageLoad> {
        let mut loads: Vec<ImageLoad> = Vec::new();
        for gauge in gauges {
            let Some(step) = self.jobs.step(gauge.slot) else {
                continue;
            };
            if step.filler {
                let image = self.pressure.intern(&step.image);
                add_load(&mut loads, image, gauge.value.max(0.0) / capacity);
            }
        }
        loads
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

    /// How well a worker suits a filling task; none where it would press a tail over its target.
    pub(super) fn filler_score(&self, worker: WorkerSlot, step: &StepSpec) -> Option<f64> {
        let entry = self.workers.get(worker);
        if entry.strained_since.is_some() {
            return None;
        }
        let capacity = entry.report.capacity.cpu_millis.max(1) as f64;
        let mut left = 1.0;
        let mut loads: Vec<ImageLoad> = Vec::new();
        let mut lasting = Vec::new();
        for slot in &entry.tasks {
            let Some(other) = self.jobs.step(*slot) else {
                continue;
            };
            let claim = other.demand.cpu_millis as f64 / capacity;
            if other.lasting {
                left -= claim * LASTING_LOAD;
                lasting.extend(self.pressure.find(&other.image));
            } else {
                left -= claim;
            }
            if other.filler
                && let Some(image) = self.pressure.find(&other.image)
            {
                add_load(&mut loads, image, claim);
            }
        }
        let share = step.demand.cpu_millis as f64 / capacity;
        let mut total = 0.0;
        if let Some(image) = self.pressure.find(&step.image) {
            lasting.sort_unstable();
            lasting.dedup();
            add_load(&mut loads, image, share);
            for kind in lasting {
                let added = self.pressure.weight(kind, image) * share;
                if added > HARMLESS_PRESSURE && self.pressure.expect(kind, &loads) > PLACE_CEILING {
                    return None;
                }
                total += added;
            }
        }
        Some(left - share - total)
    }

    /// How well a worker suits a lasting task: beside tasks of its own image, so that filling
    /// tasks find workers where nothing that they press on runs.
    pub(super) fn lasting_score(&self, worker: WorkerSlot, step: &StepSpec) -> f64 {
        let entry = self.workers.get(worker);
        let mut same = 0.0;
        let mut total = 0.0;
        for slot in &entry.tasks {
            let lasting = self.jobs.step(*slot).filter(|other| other.lasting);
            let Some(other) = lasting else {
                continue;
            };
            total += 1.0;
            if other.image == step.image {
                same += 1.0;
            }
        }
        let alike = if total > 0.0 {
            same / total
        } else {
            EMPTY_ALIKE
        };
        let free = entry.free().cpu_millis as f64;
        alike * SAME_IMAGE_WEIGHT + free / entry.report.capacity.cpu_millis.max(1) as f64
    }

    /// Whether a lasting task is at work.
    pub fn is_at_work(&self, slot: TaskSlot) -> bool {
        self.jobs
            .task(slot)
            .is_some_and(|task| task.phase == TaskPhase::Running && task.percent >= 100)
    }
}

/// How alike an empty worker counts: better than a mix, worse than its own image.
const EMPTY_ALIKE: f64 = 0.6;

fn add_load(loads: &mut Vec<ImageLoad>, image: crate::fill_pace::ImageKey, share: f64) {
    match loads.iter_mut().find(|load| load.image == image) {
        Some(load) => load.share += share,
        None => loads.push(ImageLoad { image, share }),
    }
}
