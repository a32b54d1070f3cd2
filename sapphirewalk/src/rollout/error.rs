//! Errors of validating bundles and rollouts.

use std::fmt;

use sapphirewalk_wire::signature::SignatureError;

/// Error for which a bundle or rollout is rejected.
#[derive(Debug)]
pub enum RolloutError {
    /// Two rollouts with this sequence number have different digests.
    ConflictingDigests(u64),
    /// The digest of the bundle differs from the digest in the rollout.
    DigestMismatch,
    /// The settings have no operator with this name.
    UnknownOperator(String),
    /// A signature or key is malformed, or a signature does not match.
    Signature(SignatureError),
    /// Fewer operators signed the bundle off than the settings require.
    TooFewSignatures {
        /// Number of distinct operators with a valid signature.
        valid: usize,
        /// Value of `signatures_required` in the settings.
        required: usize,
    },
    /// The document of the bundle is not JSON of the expected structure.
    Parse(String),
    /// A field of the document is out of range or conflicts with another field.
    InvalidValue {
        /// Path of the field in the document.
        path: String,
        /// Description of the error and how to correct it.
        remedy: String,
    },
}

impl fmt::Display for RolloutError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ConflictingDigests(sequence) => {
                write!(
                    formatter,
                    "rollout {sequence} exists with two digests; keep both as evidence"
                )
            }
            Self::DigestMismatch => {
                write!(
                    formatter,
                    "the bundle does not match the digest in the rollout; sign the bundle again"
                )
            }
            Self::UnknownOperator(name) => {
                write!(
                    formatter,
                    "operator {name} is unknown; add the public key to the settings"
                )
            }
            Self::Signature(source) => source.fmt(formatter),
            Self::TooFewSignatures { valid, required } => {
                write!(
                    formatter,
                    "the bundle has {valid} of {required} signatures; have more operators sign it"
                )
            }
            Self::Parse(cause) => {
                write!(
                    formatter,
                    "the bundle is malformed: {cause}; correct the document"
                )
            }
            Self::InvalidValue { path, remedy } => {
                write!(formatter, "the bundle is invalid: {path}: {remedy}")
            }
        }
    }
}
