//! Command `keygen`: creates the signing key of an operator.

use std::fs;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;

use ed25519_dalek::SigningKey;

use crate::cli;
use crate::command::CommandError;

/// Permissions of the key file: only its owner may read or write it.
const KEY_FILE_MODE: u32 = 0o600;

/// Writes a new signing key to a new file and prints the public key, both in hexadecimal.
///
/// # Errors
///
/// If the file exists or can't be written. An existing key is never overwritten.
pub fn keygen(options: &cli::KeygenOptions) -> Result<(), CommandError> {
    let key = SigningKey::from_bytes(&rand::random::<[u8; 32]>());
    let file_error = |source| CommandError::File {
        path: options.key_file.clone(),
        source,
    };
    let mut file = fs::OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(KEY_FILE_MODE)
        .open(&options.key_file)
        .map_err(file_error)?;
    writeln!(file, "{}", hex::encode(key.to_bytes())).map_err(file_error)?;
    println!("{}", hex::encode(key.verifying_key().to_bytes()));
    Ok(())
}
