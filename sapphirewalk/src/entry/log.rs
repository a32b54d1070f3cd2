//! Structured logs on standard output that never block a decision.
//!
//! Lines wait in a bounded buffer. A local task writes them in pieces that a pipe takes whole, and
//! only when standard output is ready for one.

use std::collections;
use std::io;
use std::io::Write;
use std::sync;
use std::time;

use rustix::event::PollFd;
use rustix::event::PollFlags;
use slog::Drain;

/// Bytes that wait to be written; lines beyond are left out and counted. Under 1% of the smallest
/// VM's memory.
const BUFFER_BYTES: usize = 1_048_576;
/// Events that explain a failed request first begin so; they may use the whole buffer, others half.
const ESSENTIAL_EVENTS: [&str; 6] = [
    "cancel_", "job_", "leader", "process_", "request_", "store_",
];
/// A pipe that is ready takes this much without blocking.
const PIECE_BYTES: usize = 4_096;
/// Time between writes.
pub const FLUSH_INTERVAL: time::Duration = time::Duration::from_millis(50);
/// Pieces written at once, so that a backlog doesn't hold up decisions.
const FLUSH_PIECES: usize = 16;

/// Lines that wait to be written.
#[derive(Debug, Default)]
struct LineBuffer {
    lines: collections::VecDeque<Vec<u8>>,
    bytes: usize,
    left_out: u64,
}

/// The process's log.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    shared: sync::Arc<sync::Mutex<LineBuffer>>,
}

/// Writes one record as one line of key=value pairs.
struct LineDrain {
    buffer: LogBuffer,
}

impl LogBuffer {
    /// Builds a logger that fills this buffer.
    pub fn logger(&self, vm: &str) -> slog::Logger {
        let drain = LineDrain {
            buffer: self.clone(),
        };
        slog::Logger::root(drain.fuse(), slog::o!("vm" => vm.to_owned()))
    }

    fn push(&self, line: Vec<u8>, essential: bool) {
        let mut buffer = self.lock();
        let room = if essential {
            BUFFER_BYTES
        } else {
            BUFFER_BYTES / 2
        };
        if buffer.bytes + line.len() > room {
            buffer.left_out += 1;
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

    /// Writes what waits, as far as standard output takes it now; whether all is written.
    pub fn flush(&self) -> bool {
        for _ in 0..FLUSH_PIECES {
            let Some(piece) = self.next_piece() else {
                return true;
            };
            if !output_is_ready() {
                self.put_back(piece);
                return false;
            }
            let mut output = io::stdout().lock();
            if output.write_all(&piece).is_err() || output.flush().is_err() {
                // Nobody reads any more; there is no other place to say so.
                return true;
            }
        }
        false
    }

    fn next_piece(&self) -> Option<Vec<u8>> {
        let mut buffer = self.lock();
        let mut piece = Vec::with_capacity(PIECE_BYTES);
        if buffer.left_out > 0 {
            let note = format!("event=lines_left_out count={}\n", buffer.left_out);
            buffer.left_out = 0;
            piece.extend_from_slice(note.as_bytes());
        }
        while let Some(line) = buffer.lines.front() {
            if !piece.is_empty() && piece.len() + line.len() > PIECE_BYTES {
                break;
            }
            if let Some(line) = buffer.lines.pop_front() {
                buffer.bytes -= line.len();
                piece.extend_from_slice(&line);
            }
        }
        (!piece.is_empty()).then_some(piece)
    }

    fn put_back(&self, piece: Vec<u8>) {
        let mut buffer = self.lock();
        buffer.bytes += piece.len();
        buffer.lines.push_front(piece);
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
            "at_ms={} level={} event={}",
            since_epoch.as_millis(),
            record.level().as_str().to_ascii_lowercase(),
            record.msg()
        )?;
        let mut pairs = PairWriter { line: &mut line };
        let kv = record.kv();
        slog::KV::serialize(&kv, record, &mut pairs).map_err(io::Error::other)?;
        slog::KV::serialize(values, record, &mut pairs).map_err(io::Error::other)?;
        line.push(b'\n');
        let event = record.msg().to_string();
        let named = |prefix: &&str| event.starts_with(*prefix);
        let essential =
            record.level().is_at_least(slog::Level::Warning) || ESSENTIAL_EVENTS.iter().any(named);
        self.buffer.push(line, essential);
        Ok(())
    }
}

/// Appends pairs of key and value to a line.
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

fn output_is_ready() -> bool {
    let output = io::stdout();
    let mut polled = [PollFd::new(&output, PollFlags::OUT)];
    let now = rustix::event::Timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // A file or a terminal that can't be polled takes whole pieces.
    rustix::event::poll(&mut polled, Some(&now)).map_or(true, |ready| ready > 0)
}
