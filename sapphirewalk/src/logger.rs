//! Structured logs on standard error: one line of `key=value` pairs for each event.

use std::io;
use std::time;

use slog::Drain;

use crate::config::LogLevel;
use crate::config::VmSettings;

/// Maximum number of events that wait for the writer. Further ones are dropped, and the log states
/// how many.
const QUEUE_EVENTS: usize = 4_096;

/// Logger of the process, and a guard that writes all waiting events when it is dropped.
pub fn build(
    level: LogLevel,
    vm: &VmSettings,
    role: &'static str,
) -> (slog::Logger, slog_async::AsyncGuard) {
    let logfmt = slog_logfmt::Logfmt::new(io::stderr())
        .set_prefix(write_prefix)
        .build()
        .fuse();
    let filtered = slog::LevelFilter::new(logfmt, level.into()).fuse();
    let (drain, guard) = slog_async::Async::new(filtered)
        .chan_size(QUEUE_EVENTS)
        .build_with_guard();
    let context =
        slog::o!("vm" => vm.name.clone(), "incarnation" => vm.incarnation, "role" => role);
    (slog::Logger::root(drain.fuse(), context), guard)
}

/// Writes the first pairs of a line: time in Unix milliseconds, level and event.
fn write_prefix(output: &mut dyn io::Write, record: &slog::Record<'_>) -> slog::Result {
    let since_epoch = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    write!(
        output,
        "at_ms={} level={} event={} ",
        since_epoch.as_millis(),
        record.level().as_str().to_ascii_lowercase(),
        record.msg()
    )?;
    Ok(())
}
