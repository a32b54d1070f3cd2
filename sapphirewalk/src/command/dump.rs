//! Gathers the state of processes.

use std::net;

use crate::cli;
use crate::command::CommandError;
use crate::command::http;

/// Path of the state dump on the admin address.
const STATE_PATH: &str = crate::admin::STATE_PATH;
/// Spaces of each level of the readable form.
const INDENT: usize = 2;

/// Prints the state of each process, as JSON or for reading. A process that gives no answer is
/// named, and the others' state is still printed.
///
/// # Errors
///
/// When any process gave no answer.
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
        plain => println!("{}{}", " ".repeat(level * INDENT), plain_text(plain)),
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

/// One line for a plain value, an empty one, or an object of plain values.
fn flat_text(value: &serde_json::Value) -> Option<String> {
    match value {
        serde_json::Value::Object(fields) => {
            let is_flat = fields
                .values()
                .all(|field| !field.is_object() && !field.is_array());
            let texts = fields
                .iter()
                .map(|(name, field)| format!("{name}={}", plain_text(field)));
            is_flat.then(|| texts.collect::<Vec<_>>().join(" "))
        }
        serde_json::Value::Array(items) => items.is_empty().then(|| "none".to_owned()),
        plain => Some(plain_text(plain)),
    }
}

fn plain_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_owned(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
