//! The payload that describes a simulated task, and the IDs of tasks and checkpoints.

use serde::Deserialize;
use serde::Serialize;

/// When a task fails although it has enough memory.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FailMode {
    /// No attempt fails.
    #[default]
    Never,
    /// Every attempt fails after half of the work.
    Always,
    /// Attempts fail after half of the work until the ledger has a failed attempt of the task;
    /// later ones succeed.
    Once,
}

/// The payload of a task that the worker simulates, as JSON. Absent fields have their defaults.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
#[serde(default)]
pub struct TaskPayload {
    /// The run time at full speed, in milliseconds.
    pub run_ms: u64,
    /// The processor time that the task uses when it can, in thousandths of a core. The declared
    /// resources of the task may differ.
    pub cpu_millis: u64,
    /// The memory that the task needs, in MiB; an attempt with a smaller grant runs out of memory.
    pub memory_mib: u64,
    /// Which attempts fail although they have enough memory.
    pub fail: FailMode,
    /// The work between two checkpoints, in milliseconds; with zero, checkpoints are written only
    /// on command.
    pub checkpoint_every_ms: u64,
}

impl Default for TaskPayload {
    fn default() -> Self {
        Self {
            run_ms: 200,
            cpu_millis: 100,
            memory_mib: 16,
            fail: FailMode::Never,
            checkpoint_every_ms: 1_000,
        }
    }
}

impl TaskPayload {
    /// Parses a payload; invalid text gives the default payload.
    pub fn parse(text: &str) -> Self {
        serde_json::from_str(text).unwrap_or_default()
    }

    /// The payload as JSON, for [`parse`](Self::parse).
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }
}

/// The part of a task's ID that stays the same when the task moves to another shard. For the form
/// `DOMAIN.SHARD.KEY` it is `KEY`, which the caller chose, without the suffix `~N` that a move
/// adds. For any other form it is the whole ID without such a suffix.
pub(super) fn submission_key(task: &str) -> &str {
    let key = task.splitn(3, '.').nth(2).unwrap_or(task);
    key.split('~').next().unwrap_or(key)
}

/// The ID of a checkpoint: the task and attempt that wrote it, and the work done in milliseconds.
pub(super) fn checkpoint_id(task: &str, attempt: u64, done_ms: u64) -> String {
    format!("{task}@{attempt}@{done_ms}")
}

/// The work that a checkpoint covers, in milliseconds; `None` for an invalid ID or a checkpoint of
/// another task.
pub(super) fn checkpoint_done_ms(task: &str, id: &str) -> Option<u64> {
    let mut parts = id.rsplitn(3, '@');
    let done_ms = parts.next()?.parse().ok()?;
    let _attempt = parts.next()?;
    let owner = parts.next()?;
    (submission_key(owner) == submission_key(task)).then_some(done_ms)
}
