//! The settings of an entry VM.

use std::fmt;
use std::fs;
use std::io;
use std::net;
use std::path;

use sapphirewalk_core::coordinator::CoordinatorLimits;
use sapphirewalk_core::time::TimeSpan;
use serde::Deserialize;

/// Settings of the process that serves callers and runs jobs on one entry VM.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// The VM's name.
    pub vm: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Where callers are served.
    pub caller_address: net::SocketAddr,
    /// Where the balancer asks whether the VM is ready.
    pub ready_address: net::SocketAddr,
    /// Where other entry VMs connect.
    pub peer_address: net::SocketAddr,
    /// Where metrics are served.
    pub metrics_address: net::SocketAddr,
    /// The platform's store.
    pub store_address: net::SocketAddr,
    /// The VM's share of a core; VMs with a larger one are quicker to take the leadership.
    pub cpu_share: f64,
    /// Bounds that the platform states.
    pub bounds: EntryBounds,
}

/// Bounds that the platform states.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntryBounds {
    /// Longest lease that a worker grants.
    pub longest_lease_ms: u64,
    /// How long callers may ask for a job after it ended, in seconds.
    pub retention_s: f64,
    /// A service task may be over its target for this long.
    pub harm_tolerance_ms: u64,
    /// From the request to stop until the process is killed, in seconds.
    pub stop_grace_s: f64,
}

/// Why settings can't be used.
#[derive(Debug)]
pub enum SettingsFault {
    /// No file is named.
    Unnamed,
    /// The file can't be read.
    Unreadable(path::PathBuf, io::Error),
    /// It isn't what it should be.
    Malformed(path::PathBuf, serde_json::Error),
    /// A value makes no sense.
    OutOfRange(&'static str, &'static str),
}

impl EntrySettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// When it can't be read, or a value makes no sense.
    pub fn read(path: &path::Path) -> Result<Self, SettingsFault> {
        let text = fs::read_to_string(path)
            .map_err(|error| SettingsFault::Unreadable(path.to_owned(), error))?;
        let settings: Self = serde_json::from_str(&text)
            .map_err(|error| SettingsFault::Malformed(path.to_owned(), error))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), SettingsFault> {
        if self.vm.is_empty() {
            return Err(SettingsFault::OutOfRange("vm", "give the VM a name"));
        }
        if self.cpu_share <= 0.0 {
            return Err(SettingsFault::OutOfRange(
                "cpu_share",
                "give a share above 0",
            ));
        }
        if self.bounds.longest_lease_ms < 1_000 {
            return Err(SettingsFault::OutOfRange(
                "bounds.longest_lease_ms",
                "give 1000 or more: shorter leases lapse between two looks",
            ));
        }
        if self.bounds.retention_s <= 0.0 {
            return Err(SettingsFault::OutOfRange(
                "bounds.retention_s",
                "give a span above 0",
            ));
        }
        if self.bounds.stop_grace_s < 1.0 {
            return Err(SettingsFault::OutOfRange(
                "bounds.stop_grace_s",
                "give 1 or more: requests in flight need time to end",
            ));
        }
        Ok(())
    }

    /// What the coordinator needs of them.
    pub fn coordinator_limits(&self) -> CoordinatorLimits {
        CoordinatorLimits {
            longest_lease: TimeSpan::from_millis(self.bounds.longest_lease_ms),
            retention: TimeSpan::from_secs(1).scale(self.bounds.retention_s),
            harm_tolerance: TimeSpan::from_millis(self.bounds.harm_tolerance_ms),
        }
    }
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unnamed => formatter.write_str(
                "no settings file is named; use --settings FILE or set SAPPHIREWALK_SETTINGS",
            ),
            Self::Unreadable(path, error) => write!(
                formatter,
                "can't read the settings {}: {error}; check the path",
                path.display()
            ),
            Self::Malformed(path, error) => write!(
                formatter,
                "the settings {} are malformed: {error}; see docs/ENTRY-SETTINGS.md",
                path.display()
            ),
            Self::OutOfRange(field, remedy) => {
                write!(formatter, "the setting {field} is out of range: {remedy}")
            }
        }
    }
}

impl std::error::Error for SettingsFault {}
