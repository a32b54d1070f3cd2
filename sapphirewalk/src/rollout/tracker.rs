//! Holds the rollout in force and takes only a valid one with a higher number.

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

/// Where a rollout was learned from.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RolloutSource {
    /// The platform's table service and object store.
    Platform,
    /// A peer, by VM name.
    Peer(String),
}

/// The bundle in force.
#[derive(Clone, Debug)]
pub struct BundleInForce {
    /// The rollout.
    pub rollout: SignedRollout,
    /// The bundle as signed.
    pub bundle: SignedBundle,
    /// The bundle's document.
    pub document: BundleDocument,
    /// Where it was learned from.
    pub source: RolloutSource,
    /// When it came in force here.
    pub applied_at: TimePoint,
}

/// Holds the rollout in force. Its number never falls.
#[derive(Debug)]
pub struct RolloutTracker {
    operators: Vec<OperatorSettings>,
    signatures_required: usize,
    in_force: watch::Sender<Option<Arc<BundleInForce>>>,
    state: Mutex<TrackerState>,
    logger: Logger,
}

/// The order of rollouts, and the best one before the process has settled.
#[derive(Debug, Default)]
struct TrackerState {
    order: RolloutOrder,
    pending: Option<Arc<BundleInForce>>,
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
    /// Builds a keeper with nothing in force.
    pub fn new(settings: &Settings, logger: Logger) -> Self {
        Self {
            operators: settings.operators.clone(),
            signatures_required: settings.signatures_required as usize,
            in_force: watch::channel(None).0,
            state: Mutex::default(),
            logger,
        }
    }

    /// Watches the bundle in force.
    pub fn watch(&self) -> watch::Receiver<Option<Arc<BundleInForce>>> {
        self.in_force.subscribe()
    }

    /// The bundle in force.
    pub fn current(&self) -> Option<Arc<BundleInForce>> {
        self.in_force.borrow().clone()
    }

    /// The number in force; zero when nothing is.
    pub fn sequence(&self) -> u64 {
        self.in_force
            .borrow()
            .as_ref()
            .map_or(0, |bundle| bundle.rollout.sequence)
    }

    /// Whether a rollout with this number would be new here.
    pub fn is_newer(&self, sequence: u64) -> bool {
        self.lock().order.is_newer(sequence)
    }

    /// Takes a rollout if it is valid and newer than what is known. Before the process has settled
    /// the best one is only held.
    ///
    /// # Errors
    ///
    /// When it is not valid or not newer; the one in force stays.
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
        let candidate = Arc::new(BundleInForce {
            rollout,
            bundle,
            document,
            source,
            applied_at: now,
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

    /// Notes that the platform, or every peer that could be reached, has been asked.
    pub fn end_startup(&self) -> StartupStep {
        let mut state = self.lock();
        let step = state.order.end_startup();
        if let Some(pending) = state.pending.take() {
            self.apply(pending);
        }
        step
    }

    fn apply(&self, candidate: Arc<BundleInForce>) {
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

    fn verify_sign_off(&self, digest: &str, bundle: &SignedBundle) -> Result<(), RolloutError> {
        let mut signers: Vec<&str> = Vec::new();
        for entry in &bundle.signatures {
            let key = self.public_key(&entry.operator)?;
            signature::verify_bundle(digest, entry, key).map_err(RolloutError::Signature)?;
            if let Err(place) = signers.binary_search(&entry.operator.as_str()) {
                signers.insert(place, &entry.operator);
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
