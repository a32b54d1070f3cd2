//! Structured logging to standard output that doesn't block the process, unless a line is longer
//! than [`CHUNK_BYTES`].
//!
//! Lines are queued in a bounded buffer. A local task writes them in chunks small enough for a pipe
//! to accept whole, and only while standard output is ready.

use std::collections;
use std::io;
use std::io::Write;
use std::sync;
use std::time;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use sapphirewalk_core::time::TimeSpan;
use slog::Drain;

/// Capacity of the buffer in bytes. Lines that don't fit are dropped and counted. This is under 1%
/// of the smallest VM's memory.
const BUFFER_BYTES: usize = 1_048_576;
/// Prefixes of the events needed to explain a failed request. Such events and all warnings may fill
/// the whole buffer, other events half of it.
const ESSENTIAL_EVENT_PREFIXES: [&str; 8] = [
    "cancel_", "job_", "leader", "process_", "queue_", "request_", "rules_", "store_",
];
/// Maximum length of a chunk in bytes, which a pipe reported as ready accepts without blocking. A
/// longer line is a chunk of its own and may block.
const CHUNK_BYTES: usize = 4_096;
/// Interval between flushes of the buffer.
pub const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Maximum number of chunks in one flush, so that a backlog doesn't delay other tasks.
const CHUNKS_PER_FLUSH: usize = 16;

/// Most keys of rows in one line.
const MAX_SHOWN_KEYS: usize = 20;
/// Most characters of a text from outside in one line.
const MAX_SHOWN_CHARS: usize = 100;

/// Keys of unreadable rows for a log line, and the number of those that are left out of it.
pub fn show_keys(keys: &[String]) -> String {
    let shown: Vec<String> = keys
        .iter()
        .take(MAX_SHOWN_KEYS)
        .map(|key| key.escape_debug().to_string())
        .collect();
    let mut text = shown.join(",");
    if keys.len() > MAX_SHOWN_KEYS {
        text.push_str(&format!(",+{}", keys.len() - MAX_SHOWN_KEYS));
    }
    text
}

/// Text of an age in log lines: `never` if there is none.
pub fn show_age(age: Option<TimeSpan>) -> String {
    age.map_or_else(|| "never".to_owned(), |age| age.to_string())
}

/// Text from outside in log lines: without control characters, and cut off where it is long.
pub fn show_text(text: &str) -> String {
    let shown: String = text.chars().take(MAX_SHOWN_CHARS).collect();
    shown.escape_debug().to_string()
}

/// Lines that are queued for writing.
#[derive(Debug, Default)]
struct LineBuffer {
    lines: collections::VecDeque<Vec<u8>>,
    /// Total length of the lines.
    bytes: usize,
    /// Lines dropped since the last notice of dropped lines was written.
    dropped_lines: u64,
}

/// The process's log buffer. Clones share it.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    shared: sync::Arc<sync::Mutex<LineBuffer>>,
}

/// A `slog` drain that formats each record as one line of key=value pairs.
struct LineDrain {
    buffer: LogBuffer,
}

impl LogBuffer {
    /// Builds a logger that writes to this buffer and adds the VM's name to each line.
    pub fn logger(&self, vm: &str) -> slog::Logger {
        let drain = LineDrain {
            buffer: self.clone(),
        };
        slog::Logger::root(drain.fuse(), slog::o!("vm" => vm.to_owned()))
    }

    fn push(&self, line: Vec<u8>, essential: bool) {
        let mut buffer = self.lock();
        let limit = if essential {
            BUFFER_BYTES
        } else {
            BUFFER_BYTES / 2
        };
        if buffer.bytes + line.len() > limit {
            buffer.dropped_lines += 1;
            return;
        }
        buffer.bytes += line.len();
        buffer.lines.push_back(line);
    }

    fn lock(&self) -> sync::MutexGuard<'_, LineBuffer> {
        self.shared
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Writes queued lines until standard output would block or the limit of one flush is reached.
    /// Returns true if nothing is left to write.
    pub fn flush(&self) -> bool {
        for _ in 0..CHUNKS_PER_FLUSH {
            let Some(chunk) = self.next_chunk() else {
                return true;
            };
            if !output_is_ready() {
                self.put_back(chunk);
                return false;
            }
            let mut output = io::stdout().lock();
            if output.write_all(&chunk).is_err() || output.flush().is_err() {
                // The reader has closed standard output, so the error can't be reported.
                return true;
            }
        }
        false
    }

    fn next_chunk(&self) -> Option<Vec<u8>> {
        let mut buffer = self.lock();
        let mut chunk = Vec::with_capacity(CHUNK_BYTES);
        if buffer.dropped_lines > 0 {
            let notice = format!("event=lines_left_out count={}\n", buffer.dropped_lines);
            buffer.dropped_lines = 0;
            chunk.extend_from_slice(notice.as_bytes());
        }
        while let Some(line) = buffer.lines.front() {
            if !chunk.is_empty() && chunk.len() + line.len() > CHUNK_BYTES {
                break;
            }
            if let Some(line) = buffer.lines.pop_front() {
                buffer.bytes -= line.len();
                chunk.extend_from_slice(&line);
            }
        }
        (!chunk.is_empty()).then_some(chunk)
    }

    fn put_back(&self, chunk: Vec<u8>) {
        let mut buffer = self.lock();
        buffer.bytes += chunk.len();
        buffer.lines.push_front(chunk);
    }
}

impl Drain for LineDrain {
    type Err = io::Error;
    type Ok = ();

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<Self::Ok, Self::Err> {
        let mut line = Vec::with_capacity(256);
        let since_epoch = time::SystemTime::now()
            .duration_since(time::UNIX_EPOCH)
            .unwrap_or_default();
        write!(
            line,
            "at_ms={} level={} event=",
            since_epoch.as_millis(),
            level_name(record.level())
        )?;
        let event_start = line.len();
        write!(line, "{}", record.msg())?;
        let event = &line[event_start..];
        let has_prefix = |prefix: &&str| event.starts_with(prefix.as_bytes());
        let essential = record.level().is_at_least(slog::Level::Warning)
            || ESSENTIAL_EVENT_PREFIXES.iter().any(has_prefix);
        let mut pairs = PairWriter { line: &mut line };
        let kv = record.kv();
        slog::KV::serialize(&kv, record, &mut pairs).map_err(io::Error::other)?;
        slog::KV::serialize(values, record, &mut pairs).map_err(io::Error::other)?;
        line.push(b'\n');
        self.buffer.push(line, essential);
        Ok(())
    }
}

/// Appends key=value pairs to a line.
struct PairWriter<'a> {
    line: &'a mut Vec<u8>,
}

impl slog::Serializer for PairWriter<'_> {
    fn emit_arguments(&mut self, key: slog::Key, value: &std::fmt::Arguments<'_>) -> slog::Result {
        let text = value.to_string();
        if text.contains([' ', '"', '=']) {
            write!(self.line, " {key}={text:?}")?;
        } else {
            write!(self.line, " {key}={text}")?;
        }
        Ok(())
    }
}

const fn level_name(level: slog::Level) -> &'static str {
    match level {
        slog::Level::Critical => "critical",
        slog::Level::Error => "error",
        slog::Level::Warning => "warning",
        slog::Level::Info => "info",
        slog::Level::Debug => "debug",
        slog::Level::Trace => "trace",
    }
}

fn output_is_ready() -> bool {
    let output = io::stdout();
    let mut polled = [PollFd::new(&output, PollFlags::OUT)];
    let now = rustix::event::Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // A file or terminal that can't be polled accepts whole chunks.
    rustix::event::poll(&mut polled, Some(&now)).map_or(true, |ready| ready > 0)
}
