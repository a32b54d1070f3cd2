//! Computes the measures of a replay from the records of its runs.

use hdrhistogram::Histogram;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::urgency::TaskUrgency;

use crate::replay::batch::run::RunRecord;
use crate::replay::batch::run::TaskRecord;
use crate::replay::batch::trace::BatchTrace;
use crate::replay::batch::trace::TraceKind;
use crate::replay::batch::trace::TraceTask;
use crate::replay::table::BaselineFigure;
use crate::replay::table::MeasureRow;

const HOUR_SECS: f64 = 3_600.0;
const CORE_MILLIS: f64 = 1_000.0;
/// Significant digits of the histograms that quantiles come from.
const HISTOGRAM_DIGITS: u8 = 3;

/// Runs of the same trace: one with the first-come scheduler, and one per seed with each policy.
#[derive(Debug)]
pub struct RunSet {
    /// The scheduler's policy with all features.
    pub ours: Vec<RunRecord>,
    /// First come, first served, by declared sizes.
    pub first_come: Vec<RunRecord>,
    /// The policy without the interference model.
    pub no_pairs: Vec<RunRecord>,
    /// The policy without floors and weights of kinds.
    pub no_shares: Vec<RunRecord>,
}

/// Which of several runs' figures is reported.
#[derive(Clone, Copy, Debug)]
enum FigureChoice {
    /// The middle one; the upper middle one of an even number.
    Median,
    /// The largest, for figures that have to hold in every run.
    Largest,
}

impl FigureChoice {
    fn choose(self, mut figures: Vec<f64>) -> f64 {
        figures.sort_by(f64::total_cmp);
        let position = match self {
            Self::Median => figures.len() / 2,
            Self::Largest => figures.len().saturating_sub(1),
        };
        figures.get(position).copied().unwrap_or(f64::NAN)
    }
}

/// A task of the trace with its record in a run.
type RecordedTask<'a> = (&'a TraceTask, &'a TaskRecord);

/// Returns the measures of a trace; `unflooded` are the runs without its flood, if it has one.
pub fn rows(trace: &BatchTrace, runs: &RunSet, unflooded: Option<&RunSet>) -> Vec<MeasureRow> {
    let urgent =
        |traced: &TraceTask| trace.urgency(traced.kind) == TaskUrgency::Urgent && !traced.flood;
    let mut rows = vec![
        median_row("throughput [core-h/h]", runs, |run| throughput(trace, run)),
        ratio_row(trace, runs, "throughput against fcfs [ratio]", |set| {
            &set.first_come
        }),
        ratio_row(
            trace,
            runs,
            "throughput against no pair model [ratio]",
            |set| &set.no_pairs,
        ),
        median_row("processor time granted [%]", runs, |run| {
            run.mean_cpu_use.granted * 100.0
        }),
        median_row("processor time used [%]", runs, |run| {
            run.mean_cpu_use.used * 100.0
        }),
        median_row("processor time of progress [%]", runs, |run| {
            run.mean_cpu_use.progress * 100.0
        }),
        median_row("wait p50 [s]", runs, |run| wait(trace, run, 0.5, |_| true)),
        median_row("wait p99 [s]", runs, |run| wait(trace, run, 0.99, |_| true)),
        median_row("urgent start p99 [s]", runs, |run| {
            wait(trace, run, 0.99, urgent)
        }),
        median_row("urgent slowdown p99 [ratio]", runs, |run| {
            slowdown(trace, run, urgent)
        }),
        median_row("slowdown p99 [ratio]", runs, |run| {
            slowdown(trace, run, |_| true)
        }),
        median_row("evictions per finished task", runs, |run| {
            per_finished(run, |record| record.evictions)
        }),
        median_row("failed attempts per finished task", runs, |run| {
            per_finished(run, |record| record.failures)
        }),
        median_row("throttles", runs, |run| f64::from(run.throttles)),
        largest_row("over-commit at most [%]", runs, |run| {
            run.peak_over_commit * 100.0
        }),
        largest_row("tasks finished twice", runs, |run| {
            count(trace, run, |(_, record)| record.finishes > 1)
        }),
        largest_row("tasks lost", runs, |run| count(trace, run, is_lost)),
        median_row("impossible tasks parked [%]", runs, |run| {
            parked_impossible(trace, run)
        }),
        largest_row("possible tasks parked", runs, |run| {
            count(trace, run, |(traced, record)| {
                record.parked && trace.is_possible(traced)
            })
        }),
        largest_row("good workers quarantined at most", runs, |run| {
            run.healthy_quarantined as f64
        }),
        largest_row("starts after cancellation", runs, |run| {
            run.tasks
                .iter()
                .map(|record| f64::from(record.starts_after_cancel))
                .sum()
        }),
    ];
    if let Some(unflooded) = unflooded {
        rows.push(kept_row(trace, runs, unflooded));
    }
    rows
}

/// Creates a row that reports the median over the runs.
fn median_row(measure: &str, runs: &RunSet, figure: impl Fn(&RunRecord) -> f64) -> MeasureRow {
    chosen_row(measure, runs, FigureChoice::Median, figure)
}

/// Creates a row that reports the largest figure over the runs.
fn largest_row(measure: &str, runs: &RunSet, figure: impl Fn(&RunRecord) -> f64) -> MeasureRow {
    chosen_row(measure, runs, FigureChoice::Largest, figure)
}

fn chosen_row(
    measure: &str,
    runs: &RunSet,
    choice: FigureChoice,
    figure: impl Fn(&RunRecord) -> f64,
) -> MeasureRow {
    let chosen = |runs: &[RunRecord]| choice.choose(runs.iter().map(&figure).collect());
    MeasureRow {
        measure: measure.to_owned(),
        ours: chosen(&runs.ours),
        baselines: vec![
            baseline("fcfs", chosen(&runs.first_come)),
            baseline("no_pairs", chosen(&runs.no_pairs)),
            baseline("no_shares", chosen(&runs.no_shares)),
        ],
    }
}

fn ratio_row(
    trace: &BatchTrace,
    runs: &RunSet,
    measure: &str,
    other: impl Fn(&RunSet) -> &[RunRecord],
) -> MeasureRow {
    let median = |runs: &[RunRecord]| {
        FigureChoice::Median.choose(runs.iter().map(|run| throughput(trace, run)).collect())
    };
    MeasureRow {
        measure: measure.to_owned(),
        ours: median(&runs.ours) / median(other(runs)),
        baselines: Vec::new(),
    }
}

const fn baseline(name: &'static str, value: f64) -> BaselineFigure {
    BaselineFigure { name, value }
}

/// Core-hours of finished tasks per hour, by their actual size and run time.
fn throughput(trace: &BatchTrace, run: &RunRecord) -> f64 {
    let hours = trace.settings.end_ms as f64 / 1_000.0 / HOUR_SECS;
    finished_work(trace, run, TimePoint::EPOCH, |_| true) / hours
}

/// Core-hours of tasks that finished at `from` or later.
fn finished_work(
    trace: &BatchTrace,
    run: &RunRecord,
    from: TimePoint,
    includes: impl Fn(&TraceTask) -> bool,
) -> f64 {
    recorded_tasks(trace, run)
        .filter(|(traced, record)| includes(traced) && record.finished_at >= Some(from))
        .map(|(traced, _)| {
            let cores = traced.actual.cpu_millis as f64 / CORE_MILLIS;
            cores * traced.actual_run.as_secs_f64() / HOUR_SECS
        })
        .sum()
}

/// A quantile of the time from submission to the first start, in seconds.
///
/// A task that never started counts as waiting until the end of the trace; cancelled and parked
/// tasks are left out.
fn wait(
    trace: &BatchTrace,
    run: &RunRecord,
    quantile: f64,
    includes: impl Fn(&TraceTask) -> bool,
) -> f64 {
    let end = TimePoint::from_millis(trace.settings.end_ms);
    let spans = recorded_tasks(trace, run)
        .filter(|(traced, record)| includes(traced) && !record.cancelled && !record.parked)
        .map(|(traced, record)| record.started_at.unwrap_or(end).since(traced.submitted_at));
    quantile_secs(spans, quantile)
}

/// The 99th percentile of slowdown over finished tasks.
///
/// Slowdown is the time from the first start to the finish, divided by the run time alone. Each
/// ratio is recorded as a span of that many seconds, so that it shares the histogram of times.
fn slowdown(trace: &BatchTrace, run: &RunRecord, includes: impl Fn(&TraceTask) -> bool) -> f64 {
    let ratios = recorded_tasks(trace, run)
        .filter(|(traced, _)| includes(traced))
        .filter_map(|(traced, record)| {
            let elapsed = record.finished_at?.since(record.started_at?).as_secs_f64();
            let alone = traced.actual_run.as_secs_f64().max(1.0);
            Some(TimeSpan::from_micros((elapsed / alone * 1e6) as u64))
        });
    quantile_secs(ratios, 0.99)
}

fn quantile_secs(spans: impl Iterator<Item = TimeSpan>, quantile: f64) -> f64 {
    let Ok(mut histogram) = Histogram::<u64>::new(HISTOGRAM_DIGITS) else {
        return f64::NAN;
    };
    for span in spans {
        if histogram.record(span.as_millis()).is_err() {
            return f64::NAN;
        }
    }
    histogram.value_at_quantile(quantile) as f64 / 1_000.0
}

/// The sum of a counter over all tasks, divided by the number of finished tasks.
fn per_finished(run: &RunRecord, counter: impl Fn(&TaskRecord) -> u32) -> f64 {
    let sum: u32 = run.tasks.iter().map(counter).sum();
    let finished = run
        .tasks
        .iter()
        .filter(|record| record.finishes > 0)
        .count();
    f64::from(sum) / finished.max(1) as f64
}

fn count(trace: &BatchTrace, run: &RunRecord, includes: impl Fn(RecordedTask<'_>) -> bool) -> f64 {
    recorded_tasks(trace, run)
        .filter(|recorded| includes(*recorded))
        .count() as f64
}

/// Whether a submitted task neither ended, nor runs, nor waits: the scheduler lost it.
const fn is_lost((_, record): RecordedTask<'_>) -> bool {
    record.submitted
        && record.finishes == 0
        && !record.parked
        && !record.cancelled
        && !record.waiting
        && record.running_on.is_none()
}

/// The percentage of impossible tasks that were parked, of those started or parked.
///
/// It is 100 if there were none.
fn parked_impossible(trace: &BatchTrace, run: &RunRecord) -> f64 {
    let impossible = |recorded: &RecordedTask<'_>| !trace.is_possible(recorded.0);
    let all = recorded_tasks(trace, run)
        .filter(impossible)
        .filter(|(_, record)| record.attempts > 0 || record.parked)
        .count();
    let parked = recorded_tasks(trace, run)
        .filter(impossible)
        .filter(|(_, record)| record.parked)
        .count();
    if all == 0 {
        100.0
    } else {
        100.0 * parked as f64 / all as f64
    }
}

/// Creates the row for how well floors protect other kinds in a flood.
///
/// The figure of a run is the lowest [`kept_share`] of the kinds that have a floor and no part in
/// the flood.
fn kept_row(trace: &BatchTrace, runs: &RunSet, unflooded: &RunSet) -> MeasureRow {
    let unflooded_trace = trace.without_flood();
    let least = |run: &RunRecord, unflooded_run: &RunRecord| {
        trace
            .kinds
            .iter()
            .filter(|entry| entry.share.floor_permille > 0 && !trace.has_flood_of(entry.kind))
            .map(|entry| kept_share(trace, run, &unflooded_trace, unflooded_run, entry))
            .fold(f64::INFINITY, f64::min)
    };
    let kept = |runs: &[RunRecord], unflooded_runs: &[RunRecord]| {
        let figures = runs
            .iter()
            .zip(unflooded_runs)
            .map(|(run, unflooded_run)| least(run, unflooded_run))
            .collect();
        FigureChoice::Median.choose(figures)
    };
    MeasureRow {
        measure: "work kept by other kinds in the flood [%]".to_owned(),
        ours: kept(&runs.ours, &unflooded.ours),
        baselines: vec![
            baseline("fcfs", kept(&runs.first_come, &unflooded.first_come)),
            baseline("no_pairs", kept(&runs.no_pairs, &unflooded.no_pairs)),
            baseline("no_shares", kept(&runs.no_shares, &unflooded.no_shares)),
        ],
    }
}

/// A kind's finished work from the flood's start on, as a percentage of what it may expect.
///
/// It may expect the work that it finishes without the flood, but no more than its floor allows.
/// A floor reserves granted processor time, of which only a part becomes progress, so the floor
/// is scaled by that part in the unflooded run.
fn kept_share(
    trace: &BatchTrace,
    run: &RunRecord,
    unflooded_trace: &BatchTrace,
    unflooded_run: &RunRecord,
    entry: &TraceKind,
) -> f64 {
    let from = trace.flood_start().unwrap_or_default();
    let of_kind = |task: &TraceTask| task.kind == entry.kind;
    let end = TimePoint::from_millis(trace.settings.end_ms);
    let hours = end.since(from).as_secs_f64() / HOUR_SECS;
    let floor = f64::from(entry.share.floor_permille) / 1_000.0;
    let efficiency = unflooded_run.mean_cpu_use.progress / unflooded_run.mean_cpu_use.granted;
    let floor_work = trace.total_cores() * floor * hours * efficiency;
    let expected = finished_work(unflooded_trace, unflooded_run, from, of_kind).min(floor_work);
    let work = finished_work(trace, run, from, of_kind);
    100.0 * (work / expected.max(f64::MIN_POSITIVE)).min(1.0)
}

fn recorded_tasks<'a>(
    trace: &'a BatchTrace,
    run: &'a RunRecord,
) -> impl Iterator<Item = RecordedTask<'a>> {
    trace.tasks.iter().zip(&run.tasks)
}
