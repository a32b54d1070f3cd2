//! Command `sign`: validates a bundle, signs it off and stores it.

use std::fs;
use std::path;

use ed25519_dalek::SigningKey;

use sapphirewalk_wire::bundle;
use sapphirewalk_wire::bundle::SignatureEntry;
use sapphirewalk_wire::bundle::SignedBundle;
use sapphirewalk_wire::signature;

use crate::cli;
use crate::command::CommandError;
use crate::config::Settings;
use crate::platform::PlatformClient;
use crate::platform::PlatformError;
use crate::rollout;

/// Validates and signs a bundle, stores it under its digest, and prints the digest.
///
/// Stored objects can't be changed, so a bundle is stored only with all required signatures. If
/// several are required, each operator adds one to the file given by `--signatures`, and the last
/// operator stores the bundle.
///
/// # Errors
///
/// If the bundle, the key or the signature file is invalid, a file can't be accessed, or the
/// platform does not answer.
pub async fn sign(options: &cli::SignOptions) -> Result<(), CommandError> {
    let settings = Settings::load(&options.settings)?;
    let document = read_file(&options.bundle)?;
    rollout::parse_document(&document)?;
    let digest = signature::bundle_digest(&document);
    let key = read_key(&options.operator, &options.key_file)?;
    let mut signatures = read_signatures(options)?;
    signatures.retain(|entry| entry.operator != options.operator);
    signatures.push(signature::sign_bundle(&digest, &options.operator, &key));
    write_signatures(options, &signatures)?;
    if signatures.len() < settings.signatures_required as usize {
        println!(
            "{digest} signed by {} of {}",
            signatures.len(),
            settings.signatures_required
        );
        return Ok(());
    }
    let client = PlatformClient::new(settings.platform, &settings.vm.name);
    store(
        &client,
        &digest,
        &SignedBundle {
            document,
            signatures,
        },
    )
    .await?;
    println!("{digest}");
    Ok(())
}

/// Reads the signing key of an operator, as written by `keygen`.
///
/// # Errors
///
/// If the file can't be read or its content is not a key.
pub fn read_key(operator: &str, file: &path::Path) -> Result<SigningKey, CommandError> {
    Ok(signature::parse_signing_key(operator, &read_file(file)?)?)
}

async fn store(
    client: &PlatformClient,
    digest: &str,
    bundle: &SignedBundle,
) -> Result<(), CommandError> {
    let body = serde_json::to_vec(bundle).map_err(|error| bad_value(&error))?;
    let name = bundle::bundle_object_name(digest);
    match client.put_object(&name, body.into()).await {
        // The same document was stored before, and keeps the signatures stored then.
        Ok(()) | Err(PlatformError::ObjectExists) => Ok(()),
        Err(error) => Err(error.into()),
    }
}

/// Signatures of the file given by `--signatures`; empty if the file does not exist yet.
fn read_signatures(options: &cli::SignOptions) -> Result<Vec<SignatureEntry>, CommandError> {
    match &options.signatures {
        Some(file) if file.exists() => {
            serde_json::from_str(&read_file(file)?).map_err(|error| bad_value(&error))
        }
        _ => Ok(Vec::new()),
    }
}

fn write_signatures(
    options: &cli::SignOptions,
    signatures: &[SignatureEntry],
) -> Result<(), CommandError> {
    let Some(file) = &options.signatures else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(signatures).map_err(|error| bad_value(&error))?;
    fs::write(file, text).map_err(|source| CommandError::File {
        path: file.clone(),
        source,
    })
}

fn read_file(path: &path::Path) -> Result<String, CommandError> {
    fs::read_to_string(path).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

fn bad_value(error: &serde_json::Error) -> CommandError {
    CommandError::BadValue(error.to_string())
}
