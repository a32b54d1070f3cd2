//! Digests and ed25519 signatures of bundles and rollouts.

use std::fmt;

use ed25519_dalek::Signature;
use ed25519_dalek::Signer;
use ed25519_dalek::SigningKey;
use ed25519_dalek::VerifyingKey;
use sha2::Digest;
use sha2::Sha256;

use crate::bundle::SignatureEntry;
use crate::bundle::SignedRollout;

/// Reason why a key or a signature is invalid; each variant holds the name of the operator.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SignatureError {
    /// The key is not 32 bytes in hexadecimal, or not a valid public key.
    BadKey(String),
    /// The signature is not 64 bytes in hexadecimal.
    BadSignature(String),
    /// The signature belongs to another text or another key.
    Mismatch(String),
}

impl fmt::Display for SignatureError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadKey(operator) => {
                write!(
                    formatter,
                    "the key of {operator} is malformed; create one with `keygen`"
                )
            }
            Self::BadSignature(operator) => {
                write!(
                    formatter,
                    "the signature of {operator} is malformed; sign again"
                )
            }
            Self::Mismatch(operator) => {
                write!(
                    formatter,
                    "the signature of {operator} does not match; sign this text again"
                )
            }
        }
    }
}

/// SHA-256 of a bundle's document, in hexadecimal; identifies the bundle.
pub fn bundle_digest(document: &str) -> String {
    hex::encode(Sha256::digest(document.as_bytes()))
}

/// Signs the digest of a bundle in the name of an operator.
pub fn sign_bundle(digest: &str, operator: &str, key: &SigningKey) -> SignatureEntry {
    sign(&bundle_text(digest), operator, key)
}

/// Verifies the signature of a bundle's digest with the operator's public key in hexadecimal.
///
/// # Errors
///
/// If the key or the signature is malformed, or the signature does not match.
pub fn verify_bundle(
    digest: &str,
    entry: &SignatureEntry,
    public_key: &str,
) -> Result<(), SignatureError> {
    verify(&bundle_text(digest), entry, public_key)
}

/// Signs a rollout and stores the signature in it; all other fields must be final.
pub fn sign_rollout(rollout: &mut SignedRollout, operator: &str, key: &SigningKey) {
    rollout.signature = sign(&rollout_text(rollout), operator, key);
}

/// Verifies the signature of a rollout with the operator's public key in hexadecimal.
///
/// # Errors
///
/// If the key or the signature is malformed, or the signature does not match.
pub fn verify_rollout(rollout: &SignedRollout, public_key: &str) -> Result<(), SignatureError> {
    verify(&rollout_text(rollout), &rollout.signature, public_key)
}

/// Parses a signing key of 32 bytes in hexadecimal; white space around it is ignored.
///
/// # Errors
///
/// [`SignatureError::BadKey`] if the text has any other form.
pub fn parse_signing_key(operator: &str, text: &str) -> Result<SigningKey, SignatureError> {
    let bytes = decode_key(operator, text.trim())?;
    Ok(SigningKey::from_bytes(&bytes))
}

fn bundle_text(digest: &str) -> String {
    format!("sapphirewalk bundle\n{digest}")
}

fn rollout_text(rollout: &SignedRollout) -> String {
    format!(
        "sapphirewalk rollout\n{}\n{}\n{}\n{}",
        rollout.sequence, rollout.digest, rollout.signed_at_ms, rollout.reason
    )
}

fn sign(text: &str, operator: &str, key: &SigningKey) -> SignatureEntry {
    let signature = key.sign(text.as_bytes());
    SignatureEntry {
        operator: operator.to_owned(),
        signature: hex::encode(signature.to_bytes()),
    }
}

fn verify(text: &str, entry: &SignatureEntry, public_key: &str) -> Result<(), SignatureError> {
    let operator = &entry.operator;
    let key = VerifyingKey::from_bytes(&decode_key(operator, public_key)?)
        .map_err(|_| SignatureError::BadKey(operator.clone()))?;
    let bytes = hex::decode(&entry.signature)
        .map_err(|_| SignatureError::BadSignature(operator.clone()))?;
    let signature = Signature::from_slice(&bytes)
        .map_err(|_| SignatureError::BadSignature(operator.clone()))?;
    key.verify_strict(text.as_bytes(), &signature)
        .map_err(|_| SignatureError::Mismatch(operator.clone()))
}

fn decode_key(operator: &str, text: &str) -> Result<[u8; 32], SignatureError> {
    let bytes = hex::decode(text).map_err(|_| SignatureError::BadKey(operator.to_owned()))?;
    bytes
        .try_into()
        .map_err(|_| SignatureError::BadKey(operator.to_owned()))
}
