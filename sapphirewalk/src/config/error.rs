//! Errors of loading the settings file.

use std::fmt;
use std::io;
use std::path;

/// Error for which settings are rejected.
#[derive(Debug)]
pub enum ConfigError {
    /// The file can't be read.
    Read {
        /// Path of the file, as given on the command line.
        path: path::PathBuf,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A field is missing or has a value of the wrong type, or the file is not JSON.
    Parse {
        /// Path of the field.
        path: String,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// The file has keys that are not settings; contains their paths.
    UnknownKeys(Vec<String>),
    /// A field is out of range or conflicts with another field.
    InvalidValue {
        /// Path of the field.
        path: String,
        /// Description of the error and how to correct it.
        remedy: String,
    },
}

impl fmt::Display for ConfigError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read { path, source } => {
                write!(
                    formatter,
                    "can't read the settings file {}: {source}; check --settings",
                    path.display()
                )
            }
            Self::Parse { path, source } => {
                write!(
                    formatter,
                    "{path}: {source}; see docs/SETTINGS.md for the field"
                )
            }
            Self::UnknownKeys(paths) => {
                write!(
                    formatter,
                    "unknown keys: {}; remove or correct them",
                    paths.join(", ")
                )
            }
            Self::InvalidValue { path, remedy } => write!(formatter, "{path}: {remedy}"),
        }
    }
}
