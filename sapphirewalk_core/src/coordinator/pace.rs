//! Best-effort tasks beside service tasks: where they go, and which of them have to leave.
//!
//! Answers bursts of best-effort work on workers that are nearly full of service tasks: a best-effort
//! task goes where nothing that it interferes with runs, and leaves a worker on which a tail has passed
//! its target.

use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::coordinator::OrderAnswer;
use crate::image_interference::ImageKey;
use crate::image_interference::ImageLoad;
use crate::job_book::TaskPhase;
use crate::job_book::TaskSlot;
use crate::job_spec::RunName;
use crate::job_spec::StepSpec;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_book;
use crate::worker_book::TaskGauge;
use crate::worker_book::WorkerEntry;
use crate::worker_book::WorkerSlot;

/// Share of its processor claim that a service task uses.
const SERVICE_LOAD: f64 = 0.5;
/// Workers' figures are of the last half second; samples closer together are the same ones.
const SAMPLE_INTERVAL: TimeSpan = TimeSpan::from_millis(450);
/// A tail over its target without a known cause makes some best-effort task leave after this long, a
/// quarter of the time for which harm is tolerated at the least.
const UNEXPLAINED_SPAN: TimeSpan = TimeSpan::from_millis(1_400);
/// Best-effort tasks that interfere are paced down at once where a tail is far over its target; where it
/// is a little over, after this long, since loads swing by themselves.
const SUSTAINED_SPAN: TimeSpan = TimeSpan::from_millis(900);
/// Share of the tolerated time of harm after which every best-effort task that interferes leaves,
const INTERFERING_EVICTION_SHARE: f64 = 0.45;
/// and every best-effort task: a stop takes up to 0.9 s of the 4 s that are tolerated.
const FULL_EVICTION_SHARE: f64 = 0.65;
/// Logarithm of a tail over its target at which a violation begins: 0.97 of it.
const VIOLATION_START_LOG: f64 = -0.03;
/// Logarithm below which a violation is over: 0.88 of the target.
const VIOLATION_END_LOG: f64 = -0.13;
/// Logarithm of a tail over its target above which best-effort tasks are paced down: 1.2 times the
/// target. Pacing at less holds tasks, and their memory, on workers where they hardly get on.
const PACE_DOWN_LOG: f64 = 0.2;
/// Logarithm that pacing aims at: the target itself.
const PACE_TARGET_LOG: f64 = 0.0;
/// Logarithm below which paces rise again.
const PACE_UP_LOG: f64 = 0.0;
/// By how much paces rise at each sample, in percent.
const PACE_UP_STEP: u32 = 50;
/// Tails are whole milliseconds; 0 stands for less than one.
const MIN_TAIL_MS: f64 = 0.5;
/// Expected logarithm of the tail over its target beyond which no best-effort task is added: 0.7 of
/// the target, for the swing of loads.
const MAX_PLACEMENT_LOG: f64 = -0.35;
/// Share of a worker's processor by which best-effort tasks may claim more than is expected to be
/// left. With more they hold memory for longer without getting more done.
const OVERBOOKING: f64 = 0.05;
/// A best-effort task that interferes less than this with a service task (as a logarithm) may join it even
/// where its tail is long already.
const NEGLIGIBLE_INTERFERENCE: f64 = 0.03;
/// Weight of a worker's service tasks of the same image in the choice of a worker.
const SAME_IMAGE_WEIGHT: f64 = 1.0;

/// How well a worker suits a best-effort task; more is better.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BestEffortScore {
    /// It may go there.
    Suits(f64),
    /// It would press a tail over its target, or get little of the worker.
    Interferes(f64),
}

/// The tail of a service task.
#[derive(Clone, Copy, Debug)]
struct MeasuredTail {
    image: ImageKey,
    /// Logarithm of the tail over its target.
    log_ratio: f64,
    /// How far it will stand from what its image and neighbours explain, as a logarithm.
    forecast: f64,
}

/// The pace that a best-effort task should have.
#[derive(Clone, Copy, Debug)]
struct BestEffortPace {
    slot: TaskSlot,
    image: ImageKey,
    /// Share of the worker's processor that it uses.
    share: f64,
    /// By how much it raises the logarithm of the tail on which it interferes most.
    interference: f64,
    current_percent: u32,
    percent: u32,
}

impl JobCoordinator {
    /// Reviews the best-effort tasks on a worker that has just shown how its tasks do.
    pub(super) fn pace_worker(&mut self, worker: WorkerSlot, now: TimePoint) {
        let entry = self.workers.get_mut(worker);
        if now.since(entry.sampled_at) < SAMPLE_INTERVAL {
            return;
        }
        entry.sampled_at = now;
        let gauges = entry.gauges.clone();
        let capacity = entry.report.capacity.cpu_millis.max(1) as f64;
        let loads = self.best_effort_loads(&gauges, capacity);
        let tails = self.observe_tails(&gauges, &loads, now);
        let worst = worst_tail(&tails);
        let entry = self.workers.get_mut(worker);
        entry.violating_since = match entry.violating_since {
            // Figures are rough: a violation is over only well below the target.
            Some(since) if worst > VIOLATION_END_LOG => Some(since),
            None if worst > VIOLATION_START_LOG => Some(now),
            _ => None,
        };
        entry.swings = highest_swings(&tails);
        let violating_for = entry
            .violating_since
            .map_or(TimeSpan::ZERO, |since| now.since(since));
        let threshold = if violating_for >= SUSTAINED_SPAN {
            VIOLATION_END_LOG
        } else {
            PACE_DOWN_LOG
        };
        let paces = self.best_effort_paces(&gauges, capacity, &tails, threshold);
        let lowered = paces.iter().any(|pace| pace.percent < pace.current_percent);
        let tolerance = self.limits.harm_tolerance;
        let interfering_eviction_span = tolerance.scale(INTERFERING_EVICTION_SHARE);
        let full_eviction_span = tolerance.scale(FULL_EVICTION_SHARE);
        self.workers.get_mut(worker).closed = violating_for >= full_eviction_span;
        let mut unexplained = violating_for >= UNEXPLAINED_SPAN && !lowered;
        for pace in paces {
            let interferes = pace.interference > NEGLIGIBLE_INTERFERENCE / 2.0;
            let evict_interfering = violating_for >= interfering_eviction_span && interferes;
            if evict_interfering || violating_for >= full_eviction_span || unexplained {
                unexplained = false;
                self.evict(worker, &pace, worst, violating_for);
            } else if pace.percent != pace.current_percent {
                self.change_pace(worker, &pace, worst);
            }
        }
    }

    /// Learns from the tails of service tasks at work; returns these.
    fn observe_tails(
        &mut self,
        gauges: &[TaskGauge],
        loads: &[ImageLoad],
        now: TimePoint,
    ) -> Vec<MeasuredTail> {
        let mut tails = Vec::new();
        for gauge in gauges {
            let Some(step) = self.jobs.step(gauge.slot) else {
                continue;
            };
            let target = step.tail_target.as_millis() as f64;
            if !step.service || target <= 0.0 || !self.is_serving(gauge.slot) {
                continue;
            }
            let Some(image) = self.jobs.image(gauge.slot) else {
                continue;
            };
            let ratio = gauge.value.max(MIN_TAIL_MS) / target;
            let log_ratio = ratio.ln();
            let explained = self.interference.expect(image, loads.iter().copied());
            let Some(job) = self.jobs.get_mut(gauge.slot.job) else {
                continue;
            };
            job.swing.observe(log_ratio - explained, now);
            tails.push(MeasuredTail {
                image,
                log_ratio,
                forecast: job.swing.outlook(),
            });
            self.interference.observe(image, loads, log_ratio, now);
        }
        tails
    }

    /// The pace that each best-effort task on a worker should have, those that interfere most first.
    fn best_effort_paces(
        &mut self,
        gauges: &[TaskGauge],
        capacity: f64,
        tails: &[MeasuredTail],
        threshold: f64,
    ) -> Vec<BestEffortPace> {
        let mut paces = Vec::new();
        for gauge in gauges {
            let Some(step) = self.jobs.step(gauge.slot) else {
                continue;
            };
            if !step.best_effort {
                continue;
            }
            let (Some(task), Some(image)) =
                (self.jobs.task(gauge.slot), self.jobs.image(gauge.slot))
            else {
                continue;
            };
            if task.stopping || task.phase != TaskPhase::Running {
                continue;
            }
            paces.push(BestEffortPace {
                slot: gauge.slot,
                image,
                share: gauge.value.max(0.0) / capacity,
                interference: 0.0,
                current_percent: task.pace,
                percent: task.pace,
            });
        }
        for pace in &mut paces {
            let interferences = tails
                .iter()
                .map(|tail| self.interference.weight(tail.image, pace.image) * pace.share);
            pace.interference = interferences.fold(0.0, f64::max);
        }
        for tail in tails {
            let weights: Vec<f64> = paces
                .iter()
                .map(|pace| self.interference.weight(tail.image, pace.image) * pace.share)
                .collect();
            let total: f64 = weights.iter().sum();
            let excess = tail.log_ratio - PACE_TARGET_LOG.min(threshold);
            if tail.log_ratio <= threshold || total < NEGLIGIBLE_INTERFERENCE {
                continue;
            }
            let factor = (1.0 - excess / total).clamp(0.0, 1.0);
            for (pace, weight) in paces.iter_mut().zip(weights) {
                if weight > NEGLIGIBLE_INTERFERENCE / 2.0 {
                    let lowered = (f64::from(pace.current_percent) * factor) as u32;
                    pace.percent = pace.percent.min(lowered);
                }
            }
        }
        if worst_tail(tails) < PACE_UP_LOG {
            for pace in &mut paces {
                let raised = (pace.current_percent + PACE_UP_STEP).min(worker_book::FULL_PACE);
                pace.percent = pace.percent.max(raised);
            }
        }
        paces.sort_unstable_by(|one, other| {
            let key = (other.interference, other.share);
            key.partial_cmp(&(one.interference, one.share))
                .unwrap_or(std::cmp::Ordering::Equal)
        });
        paces
    }

    fn change_pace(&mut self, worker: WorkerSlot, pace: &BestEffortPace, worst: f64) {
        let Some(run) = self.jobs.run_name(pace.slot) else {
            return;
        };
        let target = self.order_target(worker);
        let percent = pace.percent;
        self.log(
            "best_effort_paced",
            Some(run.task.job),
            format!(
                "run={run} worker={} percent={percent} before={} interference={:.2} worst_tail={:.2}",
                target.id,
                pace.current_percent,
                pace.interference,
                worst.exp()
            ),
        );
        if let Some(task) = self.jobs.task_mut(pace.slot) {
            task.pace = percent;
        }
        self.effects.push(Effect::Pace {
            target,
            run,
            percent,
        });
    }

    /// Makes a best-effort task leave its worker: it is paced down at once, and stopped.
    fn evict(
        &mut self,
        worker: WorkerSlot,
        pace: &BestEffortPace,
        worst: f64,
        violating_for: TimeSpan,
    ) {
        let Some(run) = self.jobs.run_name(pace.slot) else {
            return;
        };
        let target = self.order_target(worker);
        self.log(
            "best_effort_evicted",
            Some(run.task.job),
            format!(
                "run={run} worker={} pace={} interference={:.2} share={:.2} worst_tail={:.2} \
                 violating_for={violating_for}",
                target.id,
                pace.current_percent,
                pace.interference,
                pace.share,
                worst.exp()
            ),
        );
        if let Some(task) = self.jobs.task_mut(pace.slot) {
            task.avoid = Some(worker);
        }
        self.effects.push(Effect::Pace {
            target,
            run,
            percent: 0,
        });
        self.order_stop(pace.slot, "harm");
    }

    /// What best-effort images use of a worker's processor, as it last said.
    fn best_effort_loads(&mut self, gauges: &[TaskGauge], capacity: f64) -> Vec<ImageLoad> {
        let mut loads: Vec<ImageLoad> = Vec::new();
        for gauge in gauges {
            let (Some(step), Some(image)) =
                (self.jobs.step(gauge.slot), self.jobs.image(gauge.slot))
            else {
                continue;
            };
            if step.best_effort {
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
        if !matches!(answer, OrderAnswer::Accepted { .. })
            && let Some(slot) = self.placed_run(worker, run)
            && let Some(task) = self.jobs.task_mut(slot)
            && task.pace == percent
        {
            // Asked again at the next sample that calls for it.
            task.pace = worker_book::FULL_PACE;
        }
    }

    /// How well a worker suits a best-effort task.
    pub(super) fn best_effort_score(
        &self,
        entry: &WorkerEntry,
        step: &StepSpec,
        image: ImageKey,
    ) -> BestEffortScore {
        let capacity = entry.report.capacity.cpu_millis.max(1) as f64;
        let claims = &entry.claims;
        let share = step.demand.cpu_millis as f64 / capacity;
        let service = claims.service_cpu_millis as f64 * SERVICE_LOAD;
        let unclaimed = 1.0 - (service + claims.other_cpu_millis as f64) / capacity - share;
        let mut interferes = unclaimed < -OVERBOOKING || entry.closed;
        let mut total = 0.0;
        for (service_image, _) in &claims.service_images {
            let added = self.interference.weight(*service_image, image) * share;
            total += added;
            if added <= NEGLIGIBLE_INTERFERENCE || interferes {
                continue;
            }
            let loads = claims.best_effort_images.iter();
            let loads = loads.map(|(image, cpu_millis)| ImageLoad {
                image: *image,
                share: *cpu_millis as f64 / capacity,
            });
            let expected = self.interference.expect(*service_image, loads) + added;
            interferes = expected + entry.swing(*service_image) > MAX_PLACEMENT_LOG;
        }
        let score = unclaimed - total;
        if interferes {
            BestEffortScore::Interferes(score)
        } else {
            BestEffortScore::Suits(score)
        }
    }

    /// Whether a service task is at work.
    fn is_serving(&self, slot: TaskSlot) -> bool {
        self.jobs
            .task(slot)
            .is_some_and(|task| task.phase == TaskPhase::Running && task.percent >= 100)
    }
}

/// How well a worker suits a service task: beside tasks of its own image, so that best-effort tasks
/// find workers where nothing that they interfere with runs.
pub(super) fn service_score(entry: &WorkerEntry, image: ImageKey) -> f64 {
    let mut same_image = 0;
    let mut total = 0;
    for (service_image, count) in &entry.claims.service_images {
        total += count;
        if *service_image == image {
            same_image = *count;
        }
    }
    let similarity = if total > 0 {
        same_image as f64 / total as f64
    } else {
        EMPTY_WORKER_SIMILARITY
    };
    let free = entry.free().cpu_millis as f64;
    similarity * SAME_IMAGE_WEIGHT + free / entry.report.capacity.cpu_millis.max(1) as f64
}

/// How alike an empty worker counts: better than a mix, worse than its own image.
const EMPTY_WORKER_SIMILARITY: f64 = 0.6;

fn add_load(loads: &mut Vec<ImageLoad>, image: ImageKey, share: f64) {
    match loads.iter_mut().find(|load| load.image == image) {
        Some(load) => load.share += share,
        None => loads.push(ImageLoad { image, share }),
    }
}

/// The worst of the tails, as the logarithm over its target.
fn worst_tail(tails: &[MeasuredTail]) -> f64 {
    let ratios = tails.iter().map(|tail| tail.log_ratio);
    ratios.fold(f64::MIN, f64::max)
}

/// The highest outlook of the service tasks of each image.
fn highest_swings(tails: &[MeasuredTail]) -> Vec<(ImageKey, f64)> {
    let mut swings: Vec<(ImageKey, f64)> = Vec::new();
    for tail in tails {
        match swings.binary_search_by_key(&tail.image, |(image, _)| *image) {
            Ok(found) => swings[found].1 = swings[found].1.max(tail.forecast),
            Err(index) => swings.insert(index, (tail.image, tail.forecast)),
        }
    }
    swings
}
