//! Best-effort tasks beside service tasks: placement, pacing and eviction.
//!
//! It handles bursts of best-effort work on workers that service tasks nearly fill. A best-effort
//! task is placed where it does not interfere with the service tasks. If the tail latency of a
//! service task on its worker exceeds the target, the best-effort task is paced down, and evicted
//! if that does not help.
//!
//! It also answers service loads that swing by half every 10 to 14 s: where the cycle of a load is
//! known, tasks are placed by the highest load within their run, paces are lowered before the load
//! rises, and raised as far as the next seconds allow.
//!
//! A tail is the tail latency that a worker reports for a service task. A log ratio is the natural
//! logarithm of a tail divided by its target: 0 at the target, negative below.

use std::cmp::Ordering;

use crate::coordinator::Effect;
use crate::coordinator::JobCoordinator;
use crate::coordinator::OrderAnswer;
use crate::coordinator::stall;
use crate::image_interference::ImageKey;
use crate::image_interference::ImageLoad;
use crate::job_registry::TaskPhase;
use crate::job_registry::TaskSlot;
use crate::job_spec::RunName;
use crate::job_spec::StepSpec;
use crate::load_cycle::LoadCycle;
use crate::load_cycle::LoadForecast;
use crate::tail_violation;
use crate::tail_violation::ViolationChange;
use crate::time::TimePoint;
use crate::time::TimeSpan;
use crate::worker_registry;
use crate::worker_registry::TaskGauge;
use crate::worker_registry::WorkerEntry;
use crate::worker_registry::WorkerSlot;

/// Minimum interval between samples of a worker. Its figures cover the last half second, so samples
/// closer together would repeat the same data. During a violation, polls make it the maximum too.
pub(super) const SAMPLE_INTERVAL: TimeSpan = TimeSpan::from_millis(450);
/// Duration of a violation after which one best-effort task is evicted per sample if no pace is
/// being lowered: the model then doesn't explain the violation. With a tolerance of 4 s, which is a
/// setting, this is more than a quarter of the tolerated time.
const UNEXPLAINED_SPAN: TimeSpan = TimeSpan::from_millis(1_400);
/// Duration of a violation after which any tail above its target is enough to pace tasks down.
/// Before, only a tail above [`PACE_DOWN_LOG`] is, since loads fluctuate on their own.
const SUSTAINED_SPAN: TimeSpan = TimeSpan::from_millis(900);
/// Share of the tolerated time of a violation after which all best-effort tasks that interfere are
/// evicted, unless pacing has had less than [`SUSTAINED_SPAN`] to help.
const INTERFERING_EVICTION_SHARE: f64 = 0.45;
/// Share of the tolerated time of a violation after which all best-effort tasks are evicted. The rest
/// is for the half second that figures cover, for the next sample, and for the order to take effect.
const FULL_EVICTION_SHARE: f64 = 0.65;
/// Log ratio above which best-effort tasks are paced down at once: 1.2 times the target. Pacing at
/// lower values would keep tasks, and their memory, on workers where they hardly make progress.
const PACE_DOWN_LOG: f64 = 0.2;
/// Log ratio that pacing down aims for: the target itself, or [`tail_violation::END_LOG`] once a
/// violation has lasted for [`SUSTAINED_SPAN`].
const PACE_TARGET_LOG: f64 = 0.0;
/// Log ratio of the worst tail below which paces are raised again.
const PACE_UP_LOG: f64 = 0.0;
/// Increase of a speed limit per sample, in percentage points.
const PACE_UP_STEP: u32 = 50;
/// How far ahead paces are lowered: until the sample after the next one.
const PACE_DOWN_SPAN: TimeSpan = TimeSpan::from_millis(1_000);
/// For how long a raised pace must be allowed by the forecast.
const PACE_UP_SPAN: TimeSpan = TimeSpan::from_millis(2_000);
/// Least increase of a speed limit that is worth an order, in percentage points, unless it reaches
/// full speed.
const LEAST_PACE_UP: u32 = 20;
/// Longest run for which a task is placed by the highest load. Estimates of longer runs are often
/// wrong, and each cycle has times of high load.
const LONGEST_PLACEMENT_SPAN: TimeSpan = TimeSpan::from_millis(4_000);
/// Share of the work of a run that is lost by a stop if its task saves checkpoints.
const CHECKPOINT_LOSS: f64 = 0.1;
/// Substitute for a reported tail of 0 ms: tails are whole milliseconds, so 0 means less than one.
const MIN_TAIL_MS: f64 = 0.5;
/// Highest expected log ratio at which a best-effort task is still added: 0.7 of the target, which
/// leaves room for fluctuations of the load.
const MAX_PLACEMENT_LOG: f64 = -0.35;
/// Like [`MAX_PLACEMENT_LOG`], where the cycle of the load is known: the forecast then is the highest
/// load of the run, and less room for fluctuations is needed.
const MAX_CYCLIC_LOG: f64 = -0.25;
/// Interference of a best-effort task with a service task, as an increase of the log ratio, up to
/// which it may share the worker even if the tail is already near or above its target. When tails
/// are too long, tasks above half of it are paced down and, later, evicted; none is paced down for
/// a tail on which all tasks together stay below it.
const NEGLIGIBLE_INTERFERENCE: f64 = 0.03;
/// Weight of service tasks of the same image in the score of a worker for a service task.
const SAME_IMAGE_WEIGHT: f64 = 1.0;

/// Score of a worker for a best-effort task; higher is better.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum BestEffortScore {
    /// The task may be placed there.
    Suits(f64),
    /// The expected log ratio of a tail would exceed [`MAX_PLACEMENT_LOG`], or the task would get
    /// little processor time.
    Interferes(f64),
    /// Best-effort tasks are being evicted there, so the task would be next.
    Closed,
}

/// A sample of the tail latency of one service task.
#[derive(Clone, Copy, Debug)]
struct MeasuredTail {
    image: ImageKey,
    /// Natural logarithm of the tail divided by its target.
    log_ratio: f64,
    /// Predicted deviation of `log_ratio` from what the image and its neighbours explain.
    forecast: LoadForecast,
    /// Expected increase of `log_ratio` by the load within the next seconds; none if the load has no
    /// known cycle.
    rise: Option<LoadRise>,
}

/// Expected increase of a load over its present value, as a logarithm; 0 or more.
#[derive(Clone, Copy, Debug)]
struct LoadRise {
    /// Highest within [`PACE_DOWN_SPAN`].
    soon: f64,
    /// Highest within [`PACE_UP_SPAN`].
    later: f64,
}

/// Current and new speed limit of a best-effort task, in percent of full speed.
#[derive(Clone, Copy, Debug)]
struct BestEffortPace {
    slot: TaskSlot,
    image: ImageKey,
    /// Share of the worker's processor that the task uses, 0 to 1.
    share: f64,
    /// Largest increase that the task causes in the logarithm of any service task's tail on the
    /// worker.
    interference: f64,
    /// Share of the worker's processor that the task may use at full speed, 0 to 1.
    full_share: f64,
    /// Time in seconds for which the run's work would have to be repeated after a stop.
    loss: f64,
    current_percent: u32,
    percent: u32,
}

/// What a review of a worker's best-effort tasks has found and done.
#[derive(Clone, Copy, Debug)]
struct PaceReview {
    change: ViolationChange,
    /// Log ratio of the worst tail.
    worst: f64,
    /// Time since the sample before.
    sample_age: Option<TimeSpan>,
    /// Best-effort tasks that could be paced or evicted: running ones without a stop order.
    considered: usize,
    evicted: usize,
    /// Tasks whose eviction was due and not allowed.
    withheld: usize,
}

impl JobCoordinator {
    /// Reviews the best-effort tasks of a worker after it has reported new gauges: learns from the
    /// tails of its service tasks, then paces or evicts best-effort tasks.
    pub(super) fn pace_worker(&mut self, worker: WorkerSlot, now: TimePoint) {
        let entry = self.workers.get_mut(worker);
        let sample_age = entry.violation.sample_age(now);
        if sample_age.is_some_and(|age| age < SAMPLE_INTERVAL) {
            return;
        }
        let gauges = entry.gauges.clone();
        let capacity = entry.listing.capacity.cpu_millis.max(1) as f64;
        let loads = self.best_effort_loads(&gauges, capacity);
        let tails = self.observe_tails(&gauges, &loads, now);
        let worst = worst_tail(&tails);
        let entry = self.workers.get_mut(worker);
        let change = entry.violation.observe(worst, now);
        entry.load_forecasts = highest_forecasts(&tails);
        let span = change.lasting();
        let threshold = if span.seen >= SUSTAINED_SPAN {
            tail_violation::END_LOG
        } else {
            PACE_DOWN_LOG
        };
        let paces = self.best_effort_paces(&gauges, capacity, &tails, threshold, now);
        let lowered = paces.iter().any(|pace| pace.percent < pace.current_percent);
        let tolerance = self.limits.harm_tolerance;
        let interfering_eviction_span = tolerance.scale(INTERFERING_EVICTION_SHARE);
        let full_eviction_span = tolerance.scale(FULL_EVICTION_SHARE);
        let evicts_interfering = change.is_over()
            && span.possible >= interfering_eviction_span
            && span.seen >= SUSTAINED_SPAN;
        let evicts_all = change.is_over() && span.possible >= full_eviction_span;
        let mut unexplained = change.is_over() && span.seen >= UNEXPLAINED_SPAN && !lowered;
        let entry = self.workers.get_mut(worker);
        entry.closed_to_best_effort = entry.violation.is_active()
            && (entry.closed_to_best_effort || evicts_interfering || evicts_all || unexplained);
        let mut review = PaceReview {
            change,
            worst,
            sample_age,
            considered: paces.len(),
            evicted: 0,
            withheld: 0,
        };
        for pace in paces {
            let interferes = pace.interference > NEGLIGIBLE_INTERFERENCE / 2.0;
            let due = (evicts_interfering && interferes) || evicts_all || unexplained;
            let evicts = due && self.may_interrupt(pace.slot, "harm", now);
            review.withheld += usize::from(due && !evicts);
            if evicts {
                unexplained = false;
                review.evicted += 1;
                self.evict(worker, &pace, worst, span.possible);
            } else if pace.percent != pace.current_percent {
                self.change_pace(worker, &pace, worst);
            }
        }
        self.report_violation(worker, &review);
    }

    /// Logs the begin, course and end of a violation on a worker with best-effort tasks.
    fn report_violation(&mut self, worker: WorkerSlot, review: &PaceReview) {
        let entry = self.workers.get(worker);
        let tasks = entry.tasks.iter();
        let best_effort = tasks
            .filter(|slot| self.jobs.step(**slot).is_some_and(|step| step.best_effort))
            .count();
        let (event, duration, worst) = match review.change {
            ViolationChange::Begun => ("violation_begun", TimeSpan::ZERO, review.worst),
            ViolationChange::Lasts { span, .. } if span.possible >= SUSTAINED_SPAN => {
                ("violation_lasts", span.possible, review.worst)
            }
            ViolationChange::Ended { duration, peak } => {
                self.load_report.violations.push(duration);
                ("violation_ended", duration, peak)
            }
            ViolationChange::Calm | ViolationChange::Lasts { .. } | ViolationChange::Fades => {
                return;
            }
        };
        if best_effort == 0 && event != "violation_ended" {
            return;
        }
        let detail = format!(
            "worker={} for={duration} worst_tail={:.2} sample_gap={} best_effort={best_effort} \
             left_out={} evicted={} withheld={}",
            entry.listing.id,
            worst.exp(),
            review.sample_age.unwrap_or(TimeSpan::ZERO),
            best_effort.saturating_sub(review.considered),
            review.evicted,
            review.withheld
        );
        self.log(event, None, detail);
    }

    /// Feeds the tails of serving service tasks into the interference model and returns them.
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
            let explained = self.interference.predict(image, loads.iter().copied());
            let Some(job) = self.jobs.get_mut(gauge.slot.job) else {
                continue;
            };
            job.load_trend.observe(log_ratio - explained, now);
            let trend = job.load_trend.forecast();
            let mut forecast = LoadForecast::steady(trend);
            let mut rise = None;
            if self.limits.service_lookahead {
                let cycle = &mut job.load_cycle;
                let cycle = cycle.get_or_insert_with(|| Box::new(LoadCycle::new(now)));
                cycle.observe(log_ratio - explained, trend, now);
                forecast = cycle.forecast(now).unwrap_or(forecast);
                rise = load_rise(cycle, now);
            }
            tails.push(MeasuredTail {
                image,
                log_ratio,
                forecast,
                rise,
            });
            self.interference.observe(image, loads, log_ratio, now);
        }
        tails
    }

    /// Computes the new speed limit of each best-effort task on a worker, the most interfering
    /// first.
    fn best_effort_paces(
        &mut self,
        gauges: &[TaskGauge],
        capacity: f64,
        tails: &[MeasuredTail],
        threshold: f64,
        now: TimePoint,
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
            if task.stop_ordered || task.phase != TaskPhase::Running {
                continue;
            }
            let loss_share = if step.checkpoints {
                CHECKPOINT_LOSS
            } else {
                1.0
            };
            paces.push(BestEffortPace {
                slot: gauge.slot,
                image,
                share: gauge.value.max(0.0) / capacity,
                interference: 0.0,
                full_share: step.demand.cpu_millis as f64 / capacity,
                loss: now.since(task.phase_since).as_secs_f64() * loss_share,
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
            let expected = tail.log_ratio + tail.rise.map_or(0.0, |rise| rise.soon);
            let is_rising = tail.rise.is_some() && expected > PACE_TARGET_LOG;
            let is_above = tail.log_ratio > threshold || is_rising;
            let excess = expected - PACE_TARGET_LOG.min(threshold);
            if !is_above || total < NEGLIGIBLE_INTERFERENCE {
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
        let looks_ahead = tails.iter().any(|tail| tail.rise.is_some());
        if looks_ahead {
            let step = self.allowed_increase(tails, &paces);
            for pace in &mut paces {
                let raised = (pace.current_percent + step).min(worker_registry::FULL_PACE);
                let is_worthwhile = step >= LEAST_PACE_UP || raised == worker_registry::FULL_PACE;
                if pace.percent == pace.current_percent && is_worthwhile {
                    pace.percent = raised;
                }
            }
        } else if worst_tail(tails) < PACE_UP_LOG {
            for pace in &mut paces {
                let raised = (pace.current_percent + PACE_UP_STEP).min(worker_registry::FULL_PACE);
                pace.percent = pace.percent.max(raised);
            }
        }
        if self.limits.service_lookahead {
            paces.sort_unstable_by(eviction_order);
        } else {
            paces.sort_unstable_by(interference_order);
        }
        paces
    }

    /// By how many percentage points the speed limits on a worker can be raised at once so that no
    /// tail is expected to exceed its target within [`PACE_UP_SPAN`].
    fn allowed_increase(&self, tails: &[MeasuredTail], paces: &[BestEffortPace]) -> u32 {
        let mut allowed = f64::from(worker_registry::FULL_PACE);
        for tail in tails {
            let headroom = PACE_UP_LOG - tail.log_ratio - tail.rise.map_or(0.0, |rise| rise.later);
            if headroom <= 0.0 {
                return 0;
            }
            let raised = paces
                .iter()
                .filter(|pace| pace.current_percent < worker_registry::FULL_PACE);
            let added: f64 = raised
                .map(|pace| self.interference.weight(tail.image, pace.image) * pace.full_share)
                .sum();
            if added > NEGLIGIBLE_INTERFERENCE {
                allowed = allowed.min(headroom / added * f64::from(worker_registry::FULL_PACE));
            }
        }
        allowed as u32
    }

    /// Sets a best-effort task's speed limit and orders its worker to apply it.
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
            if task.pace < stall::MIN_JUDGED_PACE {
                task.progress.restart_measurement();
            }
            task.pace = percent;
        }
        self.effects.push(Effect::Pace {
            target,
            run,
            percent,
        });
    }

    /// Evicts a best-effort task: paces it down to 0 at once and orders it to stop.
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
            task.avoided_worker = Some(worker);
        }
        self.effects.push(Effect::Pace {
            target,
            run,
            percent: 0,
        });
        self.order_stop(pace.slot, "harm");
    }

    /// Processor share that each best-effort image uses on a worker, from its last gauges.
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

    /// Handles the answer to a change of speed limit.
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
            // The speed limit is unknown and counts as full speed; the next sample lowers it
            // again if needed.
            task.pace = worker_registry::FULL_PACE;
        }
    }

    /// Scores a worker for a best-effort task of a step; `has_room` states whether enough processor
    /// time is expected to be left.
    pub(super) fn best_effort_score(
        &self,
        entry: &WorkerEntry,
        step: &StepSpec,
        image: ImageKey,
        has_room: bool,
    ) -> BestEffortScore {
        if entry.closed_to_best_effort {
            return BestEffortScore::Closed;
        }
        let capacity = entry.listing.capacity.cpu_millis.max(1) as f64;
        let demands = &entry.demands;
        let share = step.demand.cpu_millis as f64 / capacity;
        let service = demands.service_cpu_millis as f64 * worker_registry::SERVICE_LOAD;
        let unused = 1.0 - (service + demands.other_cpu_millis as f64) / capacity - share;
        let mut interferes = !has_room;
        let mut total = 0.0;
        for (service_image, _) in &demands.service_images {
            let added = self.interference.weight(*service_image, image) * share;
            total += added;
            if added <= NEGLIGIBLE_INTERFERENCE || interferes {
                continue;
            }
            let loads = demands.best_effort_images.iter();
            let loads = loads.map(|(image, cpu_millis)| ImageLoad {
                image: *image,
                share: *cpu_millis as f64 / capacity,
            });
            let expected = self.interference.predict(*service_image, loads) + added;
            let span = step.estimate.min(LONGEST_PLACEMENT_SPAN);
            let forecast = entry.load_forecast(*service_image);
            let ceiling = if forecast.cyclic {
                MAX_CYCLIC_LOG
            } else {
                MAX_PLACEMENT_LOG
            };
            interferes = expected + forecast.within(span) > ceiling;
        }
        let score = unused - total;
        if interferes {
            BestEffortScore::Interferes(score)
        } else {
            BestEffortScore::Suits(score)
        }
    }

    /// Whether a service task has started and is ready to serve.
    pub(super) fn is_serving(&self, slot: TaskSlot) -> bool {
        self.jobs
            .task(slot)
            .is_some_and(|task| task.phase == TaskPhase::Running && task.progress.percent() >= 100)
    }
}

/// Scores a worker for a service task. Tasks of one image are placed together, which leaves workers
/// without images that best-effort tasks interfere with.
pub(super) fn service_score(entry: &WorkerEntry, image: ImageKey) -> f64 {
    let mut same_image = 0;
    let mut total = 0;
    for (service_image, count) in &entry.demands.service_images {
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
    similarity * SAME_IMAGE_WEIGHT + free / entry.listing.capacity.cpu_millis.max(1) as f64
}

/// Similarity that an empty worker counts with: higher than a mix of images, lower than the same
/// image alone.
const EMPTY_WORKER_SIMILARITY: f64 = 0.6;

/// Adds a processor share to the load of an image.
fn add_load(loads: &mut Vec<ImageLoad>, image: ImageKey, share: f64) {
    match loads.iter_mut().find(|load| load.image == image) {
        Some(load) => load.share += share,
        None => loads.push(ImageLoad { image, share }),
    }
}

/// Log ratio of the worst tail; `f64::MIN` if there is none.
fn worst_tail(tails: &[MeasuredTail]) -> f64 {
    let ratios = tails.iter().map(|tail| tail.log_ratio);
    ratios.fold(f64::MIN, f64::max)
}

/// Highest load forecast of the service tasks of each image, sorted by image.
fn highest_forecasts(tails: &[MeasuredTail]) -> Vec<(ImageKey, LoadForecast)> {
    let mut forecasts: Vec<(ImageKey, LoadForecast)> = Vec::new();
    for tail in tails {
        match forecasts.binary_search_by_key(&tail.image, |(image, _)| *image) {
            Ok(found) => forecasts[found].1 = forecasts[found].1.max(tail.forecast),
            Err(index) => forecasts.insert(index, (tail.image, tail.forecast)),
        }
    }
    forecasts
}

/// Expected rise of a job's load; none if its cycle is not known.
fn load_rise(cycle: &LoadCycle, now: TimePoint) -> Option<LoadRise> {
    let load = cycle.forecast_at(now)?;
    Some(LoadRise {
        soon: cycle.highest_within(PACE_DOWN_SPAN, now)? - load,
        later: cycle.highest_within(PACE_UP_SPAN, now)? - load,
    })
}

/// The most interfering task first.
fn interference_order(one: &BestEffortPace, other: &BestEffortPace) -> Ordering {
    let key = (other.interference, other.share);
    let order = key.partial_cmp(&(one.interference, one.share));
    order.unwrap_or(Ordering::Equal)
}

/// Tasks that interfere first; among them the one first whose stop loses the least work.
fn eviction_order(one: &BestEffortPace, other: &BestEffortPace) -> Ordering {
    let key = |pace: &BestEffortPace| pace.interference <= NEGLIGIBLE_INTERFERENCE / 2.0;
    key(one)
        .cmp(&key(other))
        .then(one.loss.total_cmp(&other.loss))
        .then_with(|| interference_order(one, other))
}
