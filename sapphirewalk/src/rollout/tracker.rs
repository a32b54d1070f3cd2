//! Tracks the rollout in force and replaces it only by a valid one with a higher sequence number.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use slog::Logger;
use slog::info;
use tokio::sync::watch;

use sapphirewalk_core::rollout_order::OfferStep;
use sapphirewalk_core::rollout_order::RolloutName;
use sapphirewalk_core::rollout_order::RolloutOrder;
use sapphirewalk_core::rollout_order::StartupStep;
use sapphirewalk_core::time::TimePoint;
use sapphirewalk_wire::bundle::BundleDocument;
use sapphirewalk_wire::bundle::SignedBundle;
use sapphirewalk_wire::bundle::SignedRollout;
use sapphirewalk_wire::signature;

use crate::config::OperatorSettings;
use crate::config::Settings;
use crate::event::EventName;
use crate::peer::RolloutPackage;
use crate::rollout::RolloutError;
use crate::rollout::parse_document;

/// Source from which this process received a rollout.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutSource {
    /// Table service and object store of the platform.
    Platform,
    /// Peer with this VM name.
    Peer(String),
}

/// Rollout that passed verification, with its bundle and parsed document.
#[derive(Clone, Debug)]
pub struct VerifiedRollout {
    /// Signed rollout with the sequence number and the digest of the bundle.
    pub rollout: SignedRollout,
    /// Document text of the bundle and the signatures of the operators.
    pub bundle: SignedBundle,
    /// Parsed and validated document of `bundle`.
    pub document: BundleDocument,
    /// Source from which this process received the rollout.
    pub source: RolloutSource,
    /// Time at which this process received it. The audit trail and the state dump report it as the
    /// time of application, although a rollout received during startup is applied when startup
    /// ends.
    pub received_at: TimePoint,
}

/// Validates offered rollouts and publishes the one in force.
///
/// The sequence number of the rollout in force never decreases.
#[derive(Debug)]
pub struct RolloutTracker {
    operators: Vec<OperatorSettings>,
    signatures_required: usize,
    in_force: watch::Sender<Option<Arc<VerifiedRollout>>>,
    state: Mutex<TrackerState>,
    logger: Logger,
}

/// Latest rollout known, and the rollout that is applied when startup ends.
#[derive(Debug, Default)]
struct TrackerState {
    order: RolloutOrder,
    pending: Option<Arc<VerifiedRollout>>,
}

impl fmt::Display for RolloutSource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Platform => formatter.write_str("platform"),
            Self::Peer(name) => write!(formatter, "peer:{name}"),
        }
    }
}

impl RolloutTracker {
    /// Tracker with no rollout in force and startup not ended.
    pub fn new(settings: &Settings, logger: Logger) -> Self {
        Self {
            operators: settings.operators.clone(),
            signatures_required: settings.signatures_required as usize,
            in_force: watch::channel(None).0,
            state: Mutex::default(),
            logger,
        }
    }

    /// Receiver of each change of the rollout in force; `None` until the first is applied.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<VerifiedRollout>>> {
        self.in_force.subscribe()
    }

    /// Rollout in force; `None` until the first is applied.
    pub fn current(&self) -> Option<Arc<VerifiedRollout>> {
        self.in_force.borrow().clone()
    }

    /// Sequence number of the rollout in force; zero if there is none.
    pub fn sequence(&self) -> u64 {
        self.in_force
            .borrow()
            .as_ref()
            .map_or(0, |current| current.rollout.sequence)
    }

    /// Whether the sequence number is higher than that of every valid rollout offered so far.
    pub fn is_newer(&self, sequence: u64) -> bool {
        self.lock().order.is_newer(sequence)
    }

    /// Validates a rollout and applies it if it is newer than every rollout known so far.
    ///
    /// Before startup has ended, the rollout is kept and applied by [`Self::end_startup`].
    ///
    /// # Errors
    ///
    /// If the rollout or its bundle is invalid, or its sequence number is known with another
    /// digest. The rollout in force does not change.
    pub fn offer(
        &self,
        package: RolloutPackage,
        source: RolloutSource,
        now: TimePoint,
    ) -> Result<OfferStep, RolloutError> {
        let document = self.verify(&package)?;
        let RolloutPackage { rollout, bundle } = package;
        let name = RolloutName {
            sequence: rollout.sequence,
            digest: rollout.digest.clone(),
        };
        let candidate = Arc::new(VerifiedRollout {
            rollout,
            bundle,
            document,
            source,
            received_at: now,
        });
        let mut state = self.lock();
        let step = state.order.offer(&name);
        match step {
            OfferStep::Apply => self.apply(candidate),
            OfferStep::Hold => state.pending = Some(candidate),
            OfferStep::Ignore => {}
            OfferStep::Conflict => return Err(RolloutError::ConflictingDigests(name.sequence)),
        }
        Ok(step)
    }

    /// Ends startup and applies the latest rollout, if any.
    ///
    /// Called once the platform or all reachable peers have been queried.
    pub fn end_startup(&self) -> StartupStep {
        let mut state = self.lock();
        let step = state.order.end_startup();
        if let Some(pending) = state.pending.take() {
            self.apply(pending);
        }
        step
    }

    fn apply(&self, candidate: Arc<VerifiedRollout>) {
        info!(self.logger, "{}", EventName::RolloutApplied;
            "sequence" => candidate.rollout.sequence, "digest" => &candidate.rollout.digest,
            "version" => &candidate.document.version, "source" => %candidate.source);
        self.in_force.send_replace(Some(candidate));
    }

    fn lock(&self) -> MutexGuard<'_, TrackerState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn verify(&self, package: &RolloutPackage) -> Result<BundleDocument, RolloutError> {
        let digest = signature::bundle_digest(&package.bundle.document);
        if digest != package.rollout.digest {
            return Err(RolloutError::DigestMismatch);
        }
        let key = self.public_key(&package.rollout.signature.operator)?;
        signature::verify_rollout(&package.rollout, key).map_err(RolloutError::Signature)?;
        self.verify_sign_off(&digest, &package.bundle)?;
        parse_document(&package.bundle.document)
    }

    /// Requires valid signatures of enough distinct operators. One invalid signature rejects all.
    fn verify_sign_off(&self, digest: &str, bundle: &SignedBundle) -> Result<(), RolloutError> {
        let mut signers: Vec<&str> = Vec::new();
        for entry in &bundle.signatures {
            let key = self.public_key(&entry.operator)?;
            signature::verify_bundle(digest, entry, key).map_err(RolloutError::Signature)?;
            if let Err(position) = signers.binary_search(&entry.operator.as_str()) {
                signers.insert(position, &entry.operator);
            }
        }
        let required = self.signatures_required;
        if signers.len() < required {
            return Err(RolloutError::TooFewSignatures {
                valid: signers.len(),
                required,
            });
        }
        Ok(())
    }

    fn public_key(&self, operator: &str) -> Result<&str, RolloutError> {
        let found = self.operators.iter().find(|entry| entry.name == operator);
        let entry = found.ok_or_else(|| RolloutError::UnknownOperator(operator.to_owned()))?;
        Ok(&entry.public_key)
    }
}
