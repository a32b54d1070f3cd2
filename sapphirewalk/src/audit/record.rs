//! Record of a decision, linked to the previous record by its hash.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use sapphirewalk_core::time::TimePoint;

use crate::audit::AuditDecision;

/// Record of the trail, stored as one JSON line.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AuditRecord {
    /// Number of the record in its chain, from 1 without gaps.
    pub number: u64,
    /// Time of the decision, in Unix microseconds.
    pub at_us: u64,
    /// Hash of the previous record, in hexadecimal; empty for the first record.
    pub previous: String,
    /// Recorded decision with its inputs.
    pub decision: AuditDecision,
    /// SHA-256 hash of the fields above, in hexadecimal.
    pub hash: String,
}

impl AuditRecord {
    /// Record with its hash. `previous` is the hash of the previous record; empty for the first.
    pub fn new(number: u64, at: TimePoint, previous: &str, decision: AuditDecision) -> Self {
        let mut record = Self {
            number,
            at_us: at.as_micros(),
            previous: previous.to_owned(),
            decision,
            hash: String::new(),
        };
        record.hash = record.compute_hash();
        record
    }

    /// ID of the task that the decision concerns, if any.
    pub fn task(&self) -> Option<&str> {
        match &self.decision {
            AuditDecision::TaskSubmitted { task, .. }
            | AuditDecision::TaskPlaced { task, .. }
            | AuditDecision::TaskChanged { task, .. } => Some(task),
            _ => None,
        }
    }

    /// ID of the request that the decision concerns, if any.
    pub fn request(&self) -> Option<&str> {
        match &self.decision {
            AuditDecision::RequestEnded { request_id, .. } => Some(request_id),
            _ => None,
        }
    }

    /// Computes the hash from the other fields. It differs from `hash` if the record was changed.
    pub fn compute_hash(&self) -> String {
        let decision = serde_json::to_string(&self.decision).unwrap_or_default();
        let text = format!(
            "{}\n{}\n{}\n{decision}",
            self.number, self.at_us, self.previous
        );
        hex::encode(Sha256::digest(text.as_bytes()))
    }
}
