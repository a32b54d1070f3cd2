//! Tells the history of a job from gathered logs of entry VMs.

use std::fmt;
use std::fs;
use std::io;
use std::io::Read;
use std::path;

/// Beliefs that bear on a job count from this long before its first line, in ms.
const MARGIN_MS: u64 = 2_000;
/// Events of workers that bear on runs there.
const WORKER_EVENTS: [&str; 6] = [
    "worker_heard",
    "worker_leaving",
    "worker_listed",
    "worker_lost",
    "worker_reborn",
    "worker_quarantined",
];
/// Events that bear on every job.
const COMMON_EVENTS: [&str; 10] = [
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

/// One line of a log.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct LogLine {
    at_ms: u64,
    event: String,
    text: String,
}

/// What bears on a job, in order, and what is missing to tell it all.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobStory {
    lines: Vec<LogLine>,
    missing: Vec<&'static str>,
}

/// Why a job can't be explained.
#[derive(Debug)]
pub enum ExplainError {
    /// A file can't be read.
    Unreadable(path::PathBuf, io::Error),
    /// The identifier isn't 16 hexadecimal digits.
    BadId(String),
    /// No line names the job.
    Unknown(String),
}

impl LogLine {
    fn parse(line: &str) -> Option<Self> {
        // Tools that gather logs may put words of their own before a line.
        let start = line.find("at_ms=")?;
        let text = line[start..].trim_end();
        Some(Self {
            at_ms: pair(text, "at_ms")?.parse().ok()?,
            event: pair(text, "event")?.to_owned(),
            text: text.to_owned(),
        })
    }

    fn pair(&self, key: &str) -> Option<&str> {
        pair(&self.text, key)
    }

    fn is_of(&self, id: &str) -> bool {
        self.pair("job") == Some(id)
    }
}

/// The value of a key among pairs of key=value.
fn pair<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let mut words = text.split(' ').filter_map(|word| word.split_once('='));
    words
        .find(|(known, _)| *known == key)
        .map(|(_, value)| value)
}

/// Finds what bears on a job in the text of logs.
///
/// # Errors
///
/// When no line names the job.
pub fn tell(id: &str, text: &str) -> Result<JobStory, ExplainError> {
    let sound = id.len() == 16 && id.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !sound {
        return Err(ExplainError::BadId(id.to_owned()));
    }
    let lines: Vec<LogLine> = text.lines().filter_map(LogLine::parse).collect();
    let own: Vec<&LogLine> = lines.iter().filter(|line| line.is_of(id)).collect();
    let first = own.iter().map(|line| line.at_ms).min();
    let last = own.iter().map(|line| line.at_ms).max();
    let (Some(first), Some(last)) = (first, last) else {
        return Err(ExplainError::Unknown(id.to_owned()));
    };
    let mut workers: Vec<&str> = own.iter().filter_map(|line| line.pair("worker")).collect();
    workers.sort_unstable();
    workers.dedup();
    let span = first.saturating_sub(MARGIN_MS)..=last;
    let bears = |line: &LogLine| {
        let event = line.event.as_str();
        let worker = line.pair("worker");
        let of_worker = WORKER_EVENTS.contains(&event)
            && worker.is_some_and(|worker| workers.binary_search(&worker).is_ok());
        let common = COMMON_EVENTS.contains(&event);
        line.is_of(id) || (span.contains(&line.at_ms) && (of_worker || common))
    };
    let missing = missing(&own);
    let mut lines: Vec<LogLine> = lines.iter().filter(|line| bears(line)).cloned().collect();
    lines.sort();
    lines.dedup();
    Ok(JobStory { lines, missing })
}

fn missing(own: &[&LogLine]) -> Vec<&'static str> {
    let has = |event: &str| own.iter().any(|line| line.event == event);
    let mut missing = Vec::new();
    if !has("job_accepted") && !has("request_unavailable") && !has("job_unknown") {
        missing.push("its hand-in: the log of the entry VM that the caller reached");
    }
    if has("job_accepted") && !has("job_known") {
        missing.push("its coordination: the log of the entry VM in leader then");
    }
    let over = ["job_completed", "job_failed", "job_cancelled"];
    if has("job_known") && !over.iter().any(|event| has(event)) {
        missing.push("its end: it had not ended, or another entry VM took leader later");
    }
    missing
}

/// Prints the story of a job from files, or from standard input without any.
///
/// # Errors
///
/// When a file can't be read or no line names the job.
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
    print!("{}", tell(id, &text)?);
    Ok(())
}

impl fmt::Display for JobStory {
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
                    "can't read {}: {error}; check the path",
                    file.display()
                )
            }
            Self::BadId(id) => {
                write!(formatter, "{id} is no job: give its 16 hexadecimal digits")
            }
            Self::Unknown(id) => write!(
                formatter,
                "no line names the job {id}; gather the logs of all entry VMs of that time"
            ),
        }
    }
}

impl std::error::Error for ExplainError {}
