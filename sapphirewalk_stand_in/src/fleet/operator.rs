//! The operator's actions on a fleet: bundles, rollouts and state dumps.

use std::path;

use serde::Deserialize;

use sapphirewalk_wire::signature;

use crate::client;
use crate::client::HttpAnswer;
use crate::fleet::Fleet;
use crate::fleet::STATE_PATH;
use crate::fleet::command;
use crate::fleet::command::DaemonKind;
use crate::fleet::command::OperatorCommand;
use crate::fleet::entry::DaemonKey;
use crate::fleet::error::FleetError;

/// The part of a state dump that [`Fleet::rollout_in_force`] needs.
#[derive(Debug)]
#[derive(Deserialize)]
struct DaemonState {
    rollout: Option<ReportedRollout>,
}

/// The rollout in force at a daemon, as in its state dump.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize)]
pub struct ReportedRollout {
    /// The number of the rollout; rises with each rollout.
    pub sequence: u64,
    /// The digest of the bundle's text, in hexadecimal.
    pub digest: String,
    /// The bundle's own `version` text, which operators choose.
    pub version: String,
}

impl Fleet {
    /// Gets a path of a daemon's admin interface.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer completely.
    pub async fn admin(&self, key: DaemonKey, path: &str) -> Result<HttpAnswer, FleetError> {
        Ok(client::get(self.admin_address(key), path).await?)
    }

    /// Gets the state dump of a daemon.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer completely, or not with JSON.
    pub async fn state(&self, key: DaemonKey) -> Result<serde_json::Value, FleetError> {
        Ok(self.admin(key, STATE_PATH).await?.json()?)
    }

    /// The rollout in force at a daemon, from its state dump; `None` before the first rollout.
    ///
    /// # Errors
    ///
    /// When the daemon does not answer completely, or not with JSON.
    pub async fn rollout_in_force(
        &self,
        key: DaemonKey,
    ) -> Result<Option<ReportedRollout>, FleetError> {
        let state: DaemonState = self.admin(key, STATE_PATH).await?.json()?;
        Ok(state.rollout)
    }

    /// Signs a bundle with `sapphirewalk sign` and rolls it out; returns its digest.
    ///
    /// # Errors
    ///
    /// When a command of the binary fails.
    pub async fn roll_out_bundle(&self, bundle: &str, reason: &str) -> Result<String, FleetError> {
        let digest = self.sign_bundle(bundle).await?;
        self.roll_out(&digest, reason).await?;
        Ok(digest)
    }

    /// Signs a bundle with `sapphirewalk sign`, which stores it on the platform; returns its
    /// digest.
    ///
    /// # Errors
    ///
    /// When the command fails.
    pub async fn sign_bundle(&self, bundle: &str) -> Result<String, FleetError> {
        let digest = signature::bundle_digest(bundle);
        let bundle_file = self.write_bundle(&digest, bundle)?;
        let command = OperatorCommand::Sign {
            bundle_file: &bundle_file,
        };
        self.run_command(command).await?;
        Ok(digest)
    }

    /// Rolls out the signed bundle with this digest with `sapphirewalk rollout`; returns the
    /// command's output.
    ///
    /// # Errors
    ///
    /// When the command fails.
    pub async fn roll_out(&self, digest: &str, reason: &str) -> Result<String, FleetError> {
        let command = OperatorCommand::RollOut { digest, reason };
        self.run_command(command).await
    }

    /// Writes a bundle to the file `NAME.bundle.json` in the fleet's directory; returns its path.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn write_bundle(&self, name: &str, bundle: &str) -> Result<path::PathBuf, FleetError> {
        let name = format!("{name}.bundle.json");
        self.directory.write(&name, bundle)
    }

    async fn run_command(&self, command: OperatorCommand<'_>) -> Result<String, FleetError> {
        command::run_operator_command(
            &self.plan.binary,
            &self.directory,
            &self.operator_vm.daemon(DaemonKind::Gateway).settings_file,
            &self.operator,
            command,
        )
        .await
    }
}
