//! Errors of bundles and rollouts.

use std::fmt;

use sapphirewalk_wire::signature::SignatureError;

/// Why a bundle or rollout was not taken.
#[derive(Debug)]
pub enum RolloutError {
    /// This number was seen with two digests.
    ConflictingDigests(u64),
    /// The bundle is not the one that the rollout points at.
    DigestMismatch,
    /// The operator is not in the settings.
    UnknownOperator(String),
    /// A signature is in error.
    Signature(SignatureError),
    /// Too few operators signed the bundle off.
    TooFewSignatures {
        /// Valid signatures of distinct operators.
        valid: usize,
        /// Signatures demanded.
        required: usize,
    },
    /// The bundle's document is not JSON of the right shape.
    Document(String),
    /// A field of the bundle contradicts others or is out of range.
    Field {
        /// The field's path.
        path: String,
        /// What is wrong and how to correct it.
        remedy: String,
    },
}

impl fmt::Display for RolloutError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConflictingDigests(sequence) => {
                write!(
                    formatter,
                    "rollout {sequence} has two digests; keep both as evidence"
                )
            }
            Self::DigestMismatch => {
                write!(formatter, "bundle and digest differ; sign the bundle again")
            }
            Self::UnknownOperator(name) => {
                write!(
                    formatter,
                    "operator {name} unknown; add the key to the settings"
                )
            }
            Self::Signature(source) => source.fmt(formatter),
            Self::TooFewSignatures { valid, required } => {
                write!(
                    formatter,
                    "{valid} of {required} signatures; have more operators sign"
                )
            }
            Self::Document(cause) => write!(formatter, "bundle: {cause}; correct the document"),
            Self::Field { path, remedy } => write!(formatter, "bundle: {path}: {remedy}"),
        }
    }
}
