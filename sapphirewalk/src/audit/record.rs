//! A record of the trail and its place in the process's hash chain.

use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;

use sapphirewalk_core::time::TimePoint;

use crate::audit::AuditDecision;

/// A record of the trail, one JSON line.
#[derive(Clone, Debug, PartialEq)]
#[derive(Deserialize, Serialize)]
pub struct AuditRecord {
    /// The record's number in its chain, from 1.
    pub number: u64,
    /// When the decision was taken, in Unix microseconds.
    pub at_us: u64,
    /// The hash of the record before, in hexadecimal; empty for the first.
    pub previous: String,
    /// The decision.
    pub decision: AuditDecision,
    /// The SHA-256 of the fields above, in hexadecimal.
    pub hash: String,
}

impl AuditRecord {
    /// Builds the next record of a chain.
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

    /// The task that the decision is about, if any.
    pub fn task(&self) -> Option<&str> {
        match &self.decision {
            AuditDecision::TaskSubmitted { task, .. }
            | AuditDecision::TaskPlaced { task, .. }
            | AuditDecision::TaskChanged { task, .. } => Some(task),
            _ => None,
        }
    }

    /// The request that the decision is about, if any.
    pub fn request(&self) -> Option<&str> {
        match &self.decision {
            AuditDecision::RequestEnded { request_id, .. } => Some(request_id),
            _ => None,
        }
    }

    /// The hash that the record's other fields give.
    pub fn compute_hash(&self) -> String {
        let decision = serde_json::to_string(&self.decision).unwrap_or_default();
        let text = format!(
            "{}\n{}\n{}\n{decision}",
            self.number, self.at_us, self.previous
        );
        hex::encode(Sha256::digest(text.as_bytes()))
    }
}
