//! Errors in a trace file, which prevent its replay.

use std::fmt;
use std::io;

/// Reason why a trace cannot be replayed.
#[derive(Debug)]
pub enum ReplayError {
    /// The file is missing, unreadable or not UTF-8.
    Read(io::Error),
    /// The file has no line break, hence no header line followed by event lines.
    NoHeader,
    /// A line violates the trace format.
    Line {
        /// Line number in the file, from 1.
        line: usize,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// Each line is well-formed, but lines contradict each other; the text names the cause.
    Content(String),
    /// The header states an outcome for this measure, which the replay does not compute.
    UnknownMeasure(String),
}

impl fmt::Display for ReplayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(source) => {
                write!(formatter, "can't read the trace: {source}; check the path")
            }
            Self::NoHeader => write!(
                formatter,
                "the header line is missing; see docs/TRACES.md for the format"
            ),
            Self::Line { line, source } => {
                write!(
                    formatter,
                    "line {line} is malformed: {source}; see docs/TRACES.md for the format"
                )
            }
            Self::Content(cause) => {
                write!(formatter, "{cause}; see docs/TRACES.md for the format")
            }
            Self::UnknownMeasure(measure) => {
                write!(
                    formatter,
                    "the measure {measure:?} is unknown; correct the header's outcomes"
                )
            }
        }
    }
}
