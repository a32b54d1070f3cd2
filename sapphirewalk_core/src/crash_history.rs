//! Workers that crashed under a task, and the decision to give the task up.
//!
//! It answers loads in which a task crashes each worker that starts it, and the work beside it is
//! lost each time. That a worker crashed under a task proves little, since the tasks beside the
//! cause lose their runs as well, and workers crash for other causes. So tasks that have lost a run
//! are kept apart from each other, and those that are likely to be the cause get a trial: nothing
//! else may start on the worker meanwhile. Only a crash for which no other new run can be the cause
//! is blamed on a task, and none if many workers crash at the same time.

use serde::Deserialize;
use serde::Serialize;

use crate::time::TimeSpan;

/// Time that a run must have survived before it is no longer new, and crashes of its worker have
/// other causes. Starting takes some milliseconds, and answers of the worker show how long ago it
/// was.
pub const NEW_SPAN: TimeSpan = TimeSpan::from_millis(250);
/// Time for which a run must have been alive before its task is cleared of earlier crashes.
const CLEARED_SPAN: TimeSpan = TimeSpan::from_millis(5_000);
/// Crashes in a row after which the next run is a trial, blamed or not. The run counts as new until
/// its task is cleared, since the cause may take its time.
const TRIAL_CRASHES: u8 = 2;
/// Fewest crashes in a row after which a task is given up.
const MIN_CRASHES: u8 = 3;
/// Crashes blamed on a task after which it is given up.
const BLAME_LIMIT: u8 = 2;
/// Crashes in a row after which a task is given up, blamed or not.
const MAX_CRASHES: u8 = 5;

/// The crashes of workers under the last runs of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashHistory {
    /// Crashes since a run was last alive for [`CLEARED_SPAN`].
    crashes: u8,
    /// How many of these only the task can have caused, as far as new runs can be the cause.
    blamed: u8,
}

/// What is known about the crash of a worker under a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Time from the start of the run to the last answer of the worker.
    pub survived: TimeSpan,
    /// Number of other new runs on the worker.
    pub new_beside: usize,
    /// Whether many workers were lost at the same time without a task that may be the cause.
    pub common: bool,
}

/// Whether a task whose worker crashed may run again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The task runs again.
    Retry,
    /// The task would crash the next worker too; its job fails.
    GiveUp,
}

impl CrashHistory {
    /// Crashes in a row.
    pub const fn crashes(self) -> u8 {
        self.crashes
    }

    /// Crashes in a row that only the task can have caused.
    pub const fn blamed(self) -> u8 {
        self.blamed
    }

    /// Whether the task may be the cause of a crash, and is kept apart from others of which that is
    /// true.
    pub const fn is_suspect(self) -> bool {
        self.crashes > 0
    }

    /// Whether the next run of the task is a trial: nothing else may start on its worker while the
    /// run is new.
    pub const fn needs_trial(self) -> bool {
        self.crashes >= TRIAL_CRASHES || self.blamed > 0
    }

    /// Whether a run that has survived for some time may still be the cause of a crash.
    pub fn is_new(self, survived: TimeSpan) -> bool {
        survived < NEW_SPAN || (self.crashes >= TRIAL_CRASHES && survived < CLEARED_SPAN)
    }

    /// Records that the worker of the present run crashed.
    pub fn record_crash(&mut self, report: CrashReport) -> CrashVerdict {
        if report.common && report.survived >= NEW_SPAN {
            self.crashes = self.crashes.max(1);
            return CrashVerdict::Retry;
        }
        if !report.common && report.new_beside == 0 && self.is_new(report.survived) {
            self.blamed = self.blamed.saturating_add(1);
        }
        self.crashes = self.crashes.saturating_add(1);
        let is_cause = self.crashes >= MIN_CRASHES && self.blamed >= BLAME_LIMIT;
        if is_cause || self.crashes >= MAX_CRASHES {
            CrashVerdict::GiveUp
        } else {
            CrashVerdict::Retry
        }
    }

    /// Records for how long the present run has been alive. Returns whether that clears the task of
    /// crashes that were recorded.
    pub fn record_alive(&mut self, alive: TimeSpan) -> bool {
        if alive < CLEARED_SPAN || *self == Self::default() {
            return false;
        }
        *self = Self::default();
        true
    }
}
