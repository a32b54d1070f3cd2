//! Urgency classes of batch tasks.

use serde::Deserialize;
use serde::Serialize;

/// Urgency of a task, set by its kind; tasks of a later variant start first.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
#[derive(Deserialize, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum TaskUrgency {
    /// Work that can be deferred.
    #[default]
    Batch,
    /// Work that tolerates a short delay.
    Normal,
    /// Work whose result someone is waiting for.
    Urgent,
}
