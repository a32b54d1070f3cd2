//! Command `dump`: prints the state dumps of processes.

use std::net;

use crate::cli;
use crate::command::CommandError;
use crate::command::http;

const STATE_PATH: &str = crate::admin::STATE_PATH;
/// Spaces of indentation for each level of the readable format.
const INDENT: usize = 2;

/// Prints the state dump of each process, as JSON or in a readable format.
///
/// If a process does not answer, its address is printed and the others follow.
///
/// # Errors
///
/// [`CommandError::NoAnswer`] if any process did not answer, or [`CommandError::BadValue`] for the
/// first answer that is not JSON.
pub async fn dump(options: &cli::DumpOptions) -> Result<(), CommandError> {
    let mut unreachable = Vec::new();
    for address in &options.address {
        match http::get(*address, STATE_PATH).await {
            Ok(body) => print_state(*address, &body, options.json)?,
            Err(error) => {
                println!("{address}: no answer: {error}");
                unreachable.push(address.to_string());
            }
        }
    }
    if unreachable.is_empty() {
        Ok(())
    } else {
        Err(CommandError::NoAnswer(unreachable))
    }
}

fn print_state(address: net::SocketAddr, body: &[u8], json: bool) -> Result<(), CommandError> {
    let state: serde_json::Value =
        serde_json::from_slice(body).map_err(|error| CommandError::BadValue(error.to_string()))?;
    if json {
        println!("{state}");
        return Ok(());
    }
    println!("== {address}");
    print_value(&state, 0);
    Ok(())
}

fn print_value(value: &serde_json::Value, level: usize) {
    match value {
        serde_json::Value::Object(fields) => {
            for (name, field) in fields {
                print_entry(&format!("{name}:"), field, level);
            }
        }
        serde_json::Value::Array(items) => {
            for item in items {
                print_entry("-", item, level);
            }
        }
        scalar => println!("{}{}", " ".repeat(level * INDENT), scalar_text(scalar)),
    }
}

fn print_entry(name: &str, value: &serde_json::Value, level: usize) {
    let indent = " ".repeat(level * INDENT);
    match flat_text(value) {
        Some(text) => println!("{indent}{name} {text}"),
        None => {
            println!("{indent}{name}");
            print_value(value, level + 1);
        }
    }
}

/// Text on one line for a scalar, an empty list or an object of scalars; otherwise `None`.
fn flat_text(value: &serde_json::Value) -> Option<String> {
    match value {
        serde_json::Value::Object(fields) => {
            let is_flat = fields
                .values()
                .all(|field| !field.is_object() && !field.is_array());
            let texts = fields
                .iter()
                .map(|(name, field)| format!("{name}={}", scalar_text(field)));
            is_flat.then(|| texts.collect::<Vec<_>>().join(" "))
        }
        serde_json::Value::Array(items) => items.is_empty().then(|| "none".to_owned()),
        scalar => Some(scalar_text(scalar)),
    }
}

fn scalar_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_owned(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
