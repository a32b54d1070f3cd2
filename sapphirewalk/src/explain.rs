//! The `explain` command: prints the history of a job from the collected logs of entry VMs.

use std::fmt;
use std::fs;
use std::io;
use std::io::Read;
use std::path;

/// Time before the job's first log line from which worker and shared events are printed too, in
/// milliseconds. Decisions about the job may depend on events shortly before it.
const CONTEXT_BEFORE_JOB_MS: u64 = 2_000;
/// Events of a worker, printed if they occur in the job's period and a line of the job names that
/// worker.
const WORKER_EVENTS: [&str; 6] = [
    "worker_heard",
    "worker_leaving",
    "worker_listed",
    "worker_lost",
    "worker_reborn",
    "worker_quarantined",
];
/// Events that concern all jobs, printed if they occur in the job's period.
const SHARED_EVENTS: [&str; 10] = [
    "feed_forgotten",
    "fenced",
    "lines_left_out",
    "leader_suspected",
    "leadership_released",
    "leadership_lost",
    "leadership_started",
    "rules_in_force",
    "store_lost",
    "store_regained",
];

/// Events of evacuations of failure domains, printed if they occur in the job's period. A request
/// before it is printed too, unless the evacuation had ended by then.
const EVACUATION_EVENTS: [&str; 3] = [EVACUATION_REQUESTED, EVACUATION_ENDED, "evacuation_unknown"];
const EVACUATION_REQUESTED: &str = "evacuation_requested";
const EVACUATION_ENDED: &str = "evacuation_ended";

/// A parsed log line. Lines sort by time first.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LogLine {
    /// Unix time in ms, by the clock of the VM that wrote the line.
    at_ms: u64,
    event: String,
    /// The whole line without a collector's prefix.
    text: String,
}

/// The log lines that concern a job, by time, and the parts of its history that no line covers.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobHistory {
    lines: Vec<LogLine>,
    missing: Vec<&'static str>,
}

/// Why a job can't be explained.
#[derive(Debug)]
pub enum ExplainError {
    /// A log file or standard input can't be read.
    Unreadable(path::PathBuf, io::Error),
    /// The identifier isn't 16 hexadecimal digits.
    BadId(String),
    /// No log line names the job.
    Unknown(String),
}

impl LogLine {
    fn parse(line: &str) -> Option<Self> {
        // Log collectors may add a prefix to each line.
        let start = line.find("at_ms=")?;
        let text = line[start..].trim_end();
        Some(Self {
            at_ms: value_of(text, "at_ms")?.parse().ok()?,
            event: value_of(text, "event")?.to_owned(),
            text: text.to_owned(),
        })
    }

    fn value_of(&self, key: &str) -> Option<&str> {
        value_of(&self.text, key)
    }

    fn names_job(&self, id: &str) -> bool {
        self.value_of("job") == Some(id)
    }
}

/// The value of a key in a text of key=value pairs.
fn value_of<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut words = text.split(' ').filter_map(|word| word.split_once('='));
    words.find(|(name, _)| *name == key).map(|(_, value)| value)
}

/// Collects the lines that concern a job from the text of logs.
///
/// # Errors
///
/// If the identifier is malformed or no line names the job.
pub fn collect_history(id: &str, text: &str) -> Result<JobHistory, ExplainError> {
    let is_valid = id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_valid {
        return Err(ExplainError::BadId(id.to_owned()));
    }
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let job_lines: Vec<&LogLine> = lines.iter().filter(|line| line.names_job(id)).collect();
    let first = job_lines.iter().map(|line| line.at_ms).min();
    let last = job_lines.iter().map(|line| line.at_ms).max();
    let (Some(first), Some(last)) = (first, last) else {
        return Err(ExplainError::Unknown(id.to_owned()));
    };
    let mut workers: Vec<&str> = job_lines
        .iter()
        .filter_map(|line| line.value_of("worker"))
        .collect();
    workers.sort_unstable();
    workers.dedup();
    let span = first.saturating_sub(CONTEXT_BEFORE_JOB_MS)..=last;
    let is_relevant = |line: &LogLine| {
        let event = line.event.as_str();
        let worker = line.value_of("worker");
        let is_worker_event = WORKER_EVENTS.contains(&event)
            && worker.is_some_and(|worker| workers.binary_search(&worker).is_ok());
        let is_shared_event = SHARED_EVENTS.contains(&event) || EVACUATION_EVENTS.contains(&event);
        let is_earlier_request =
            line.at_ms < *span.start() && is_in_force(line, &lines, *span.start());
        line.names_job(id)
            || is_earlier_request
            || (span.contains(&line.at_ms) && (is_worker_event || is_shared_event))
    };
    let missing = missing_parts(&job_lines);
    let mut lines: Vec<LogLine> = lines
        .iter()
        .filter(|line| is_relevant(line))
        .cloned()
        .collect();
    lines.sort();
    lines.dedup();
    Ok(JobHistory { lines, missing })
}

/// Whether a line reports the request of an evacuation that hasn't ended before `at_ms`.
fn is_in_force(line: &LogLine, lines: &[LogLine], at_ms: u64) -> bool {
    let domain = line.value_of("domain");
    line.event == EVACUATION_REQUESTED
        && !lines.iter().any(|other| {
            other.event == EVACUATION_ENDED
                && other.value_of("domain") == domain
                && (line.at_ms..at_ms).contains(&other.at_ms)
        })
}

/// Lists the parts of a job's history that its lines don't cover, each with the log to add.
fn missing_parts(job_lines: &[&LogLine]) -> Vec<&'static str> {
    let has = |event: &str| job_lines.iter().any(|line| line.event == event);
    let mut missing = Vec::new();
    if !has("job_accepted") && !has("request_unavailable") && !has("job_unknown") {
        missing.push("its acceptance: the log of the entry VM that received the request");
    }
    if has("job_accepted") && !has("job_known") {
        missing.push("its coordination: the log of the entry VM that was the leader then");
    }
    let end_events = ["job_completed", "job_failed", "job_cancelled"];
    if has("job_known") && !end_events.iter().any(|event| has(event)) {
        missing
            .push("its end: the job was still active, or another entry VM became the leader later");
    }
    missing
}

/// Prints the history of a job from log files, or from standard input if there are none.
///
/// # Errors
///
/// If a file can't be read, the identifier is malformed or no line names the job.
pub fn run(id: &str, files: &[path::PathBuf]) -> Result<(), ExplainError> {
    let mut text = String::new();
    for file in files {
        let unreadable = |error| ExplainError::Unreadable(file.clone(), error);
        text.push_str(&fs::read_to_string(file).map_err(unreadable)?);
        text.push('\n');
    }
    if files.is_empty() {
        io::stdin()
            .read_to_string(&mut text)
            .map_err(|error| ExplainError::Unreadable("standard input".into(), error))?;
    }
    print!("{}", collect_history(id, &text)?);
    Ok(())
}

impl fmt::Display for JobHistory {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let first = self.lines.first().map_or(0, |line| line.at_ms);
        for line in &self.lines {
            let rest = line
                .text
                .split(' ')
                .skip(3)
                .collect::<Vec<&str>>()
                .join(" ");
            let offset = line.at_ms - first;
            writeln!(formatter, "{offset:>8} ms  {:<20} {rest}", line.event)?;
        }
        for missing in &self.missing {
            writeln!(formatter, "missing: {missing}")?;
        }
        Ok(())
    }
}

impl fmt::Display for ExplainError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(file, error) => {
                write!(
                    formatter,
                    "can't read the log {}: {error}; check the path",
                    file.display()
                )
            }
            Self::BadId(id) => {
                write!(
                    formatter,
                    "the job ID {id} is malformed; give all 16 hexadecimal digits"
                )
            }
            Self::Unknown(id) => write!(
                formatter,
                "no log line names the job {id}; gather the logs of all entry VMs for that time"
            ),
        }
    }
}

impl std::error::Error for ExplainError {}
