//! Workers that crashed under a task, and the decision to give the task up.
//!
//! It answers loads in which a task crashes each worker that starts it, and the work beside it is
//! lost each time. That a worker crashed under a task proves little, since the tasks beside the
//! cause lose their runs as well, and workers crash for other causes. So tasks that have lost a run
//! are kept apart from each other, and those that are likely to be the cause get a trial: nothing
//! else may start on the worker meanwhile. Only a crash for which no other new run can be the cause
//! is blamed on a task, and none if many workers crash at the same time.
//!
//! A worker that is cut off for longer than its leases looks like one that crashed and isn't back.
//! So only a loss that is proven to be a crash counts, by an answer of the worker's next life or of
//! another worker at its address. Nor does a crash count of a worker that had crashed shortly
//! before: it crashes by itself.

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

/// Time for which a worker must have been up before a run began there, so that the run may be the
/// cause if it crashes.
pub const PROBATION_SPAN: TimeSpan = TimeSpan::from_millis(3_000);

/// The crashes of workers under the last runs of a task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct CrashHistory {
    /// Crashes since a run was last alive for [`CLEARED_SPAN`].
    crashes: u8,
    /// How many of these only the task can have caused, as far as new runs can be the cause.
    blamed: u8,
}

/// What is known about the loss of a worker under a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashReport {
    /// Time from the start of the run to the last answer of the worker; none if the run was a former
    /// coordinator's and the worker hasn't answered since.
    pub survived: Option<TimeSpan>,
    /// Number of other new runs on the worker.
    pub new_beside: usize,
    /// Whether many workers were lost at the same time without a task that may be the cause.
    pub common: bool,
    /// Whether the worker has ended for certain. Otherwise it may be cut off.
    pub proven: bool,
    /// Whether the worker had been up for [`PROBATION_SPAN`] when the run began, as far as it is
    /// known.
    pub settled: bool,
    /// Whether the task is one of a service, which may be restarted without limit.
    pub service: bool,
}

/// Whether a task whose worker crashed may run again.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The task runs again.
    Retry,
    /// The task would crash the next worker too; its job fails.
    GiveUp,
}

/// What the loss of a worker says about a task on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CrashWeight {
    /// Nothing.
    None,
    /// The task may be the cause, and starts apart from others of which that is true.
    Suspicion,
    /// The worker crashed, and others may be the cause as well.
    Counted,
    /// The worker crashed, and only the task can be the cause.
    Blamed,
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

    /// Records that the worker of the present run was lost.
    pub fn record_crash(&mut self, report: CrashReport) -> CrashVerdict {
        match self.weight(report) {
            CrashWeight::None => return CrashVerdict::Retry,
            CrashWeight::Suspicion => {
                self.crashes = self.crashes.max(1);
                return CrashVerdict::Retry;
            }
            CrashWeight::Counted => {}
            CrashWeight::Blamed => self.blamed = self.blamed.saturating_add(1),
        }
        self.crashes = self.crashes.saturating_add(1);
        let is_cause = self.crashes >= MIN_CRASHES && self.blamed >= BLAME_LIMIT;
        if is_cause || (!report.service && self.crashes >= MAX_CRASHES) {
            CrashVerdict::GiveUp
        } else {
            CrashVerdict::Retry
        }
    }

    /// What the loss of a worker says about the task.
    fn weight(self, report: CrashReport) -> CrashWeight {
        let is_new = report.survived.is_some_and(|span| self.is_new(span));
        let may_be_young = report.survived.is_none_or(|span| span < NEW_SPAN);
        if !report.proven {
            return if may_be_young {
                CrashWeight::Suspicion
            } else {
                CrashWeight::None
            };
        }
        if !report.settled || (report.common && !may_be_young) {
            CrashWeight::Suspicion
        } else if is_new && !report.common && report.new_beside == 0 {
            CrashWeight::Blamed
        } else {
            CrashWeight::Counted
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
