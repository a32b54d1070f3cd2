//! Command `settings`: prints example settings with all fields.

use crate::command::CommandError;
use crate::config::Settings;

/// Example with the fields that have no default.
const EXAMPLE: &str = include_str!("../../../extra/example/settings.json");

/// Prints the example with the defaults of all other fields.
///
/// # Errors
///
/// If the example is invalid, which a test rules out.
pub fn settings() -> Result<(), CommandError> {
    let settings = Settings::parse(EXAMPLE)?;
    let text = serde_json::to_string_pretty(&settings)
        .map_err(|error| CommandError::BadValue(error.to_string()))?;
    println!("{text}");
    Ok(())
}
