//! All holders together never write more rows in any second than the table accepts.

use bolero::TypeGenerator;
use bolero::check;

use sapphirewalk_core::time::TimePoint;
use sapphirewalk_core::time::TimeSpan;
use sapphirewalk_core::write_pace::PaceStep;
use sapphirewalk_core::write_pace::WritePace;

const ROWS_PER_SECOND: u32 = 400;
const HOLDERS: usize = 4;

#[derive(Clone, Copy, Debug)]
#[derive(TypeGenerator)]
struct HolderStep {
    holder: u8,
    waiting: u16,
    /// Time until the next step.
    pause_ms: u8,
    /// The table does not answer.
    fails: bool,
}

#[test]
fn holders_together_stay_within_the_budget_in_any_second() {
    check!().with_type::<Vec<HolderStep>>().for_each(|steps| {
        let mut now = TimePoint::from_millis(1_000);
        let new_pace = |_| WritePace::new(ROWS_PER_SECOND, HOLDERS as u32, now);
        let mut paces: Vec<WritePace> = (0..HOLDERS).map(new_pace).collect();
        let mut written: Vec<(TimePoint, usize)> = Vec::new();
        for step in steps {
            let pace = &mut paces[step.holder as usize % HOLDERS];
            if step.fails {
                pace.drain(now);
            } else if let PaceStep::Write(limit) = pace.decide(step.waiting as usize, now) {
                let rows = limit.min(step.waiting as usize);
                pace.spend(rows);
                written.push((now, rows));
            }
            now = now + TimeSpan::from_millis(u64::from(step.pause_ms));
        }
        for (from, _) in &written {
            let until = *from + TimeSpan::from_secs(1);
            let in_second = written.iter().filter(|(at, _)| at >= from && *at < until);
            let rows: usize = in_second.map(|(_, rows)| rows).sum();
            assert!(
                rows <= ROWS_PER_SECOND as usize,
                "{rows} rows in the second from {from:?}"
            );
        }
    });
}

#[test]
fn a_backlog_is_written_at_the_steady_rate() {
    let mut now = TimePoint::from_millis(1_000);
    let mut pace = WritePace::new(ROWS_PER_SECOND, 1, now);
    pace.drain(now);
    let mut queued = 1_000_usize;
    let started_at = now;
    while queued > 0 {
        match pace.decide(queued, now) {
            PaceStep::Write(limit) => {
                let rows = limit.min(queued);
                pace.spend(rows);
                queued -= rows;
            }
            PaceStep::WaitUntil(due) => now = due,
        }
    }
    let seconds = now.since(started_at).as_secs_f64();
    assert!(
        (3.0..4.0).contains(&seconds),
        "{seconds} s for 1,000 rows at 320 a second"
    );
}
