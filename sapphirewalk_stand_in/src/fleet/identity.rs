//! Test certificates of entry VMs, and the operator's signing key.

use std::path;

use ed25519_dalek::SigningKey;

use crate::fleet::directory::TempDirectory;
use crate::fleet::error::FleetError;

/// The certificate authority of one fleet.
#[derive(Debug)]
pub(super) struct TestAuthority {
    issuer: rcgen::CertifiedIssuer<'static, rcgen::KeyPair>,
    ca_file: path::PathBuf,
}

/// The files with a VM's certificate and private key, and the certificate of its authority.
#[derive(Clone, Debug)]
pub(super) struct IdentityFiles {
    pub ca_file: path::PathBuf,
    pub certificate_file: path::PathBuf,
    pub key_file: path::PathBuf,
}

/// The name and signing key of an operator.
#[derive(Clone, Debug)]
pub struct OperatorIdentity {
    /// The operator's name, as in the settings files.
    pub name: String,
    /// The ed25519 public key in hexadecimal.
    pub public_key: String,
    /// The file with the ed25519 seed, 32 bytes in hexadecimal.
    pub key_file: path::PathBuf,
}

impl TestAuthority {
    /// Creates a self-signed certificate and writes it to `ca.pem`.
    pub fn create(directory: &TempDirectory) -> Result<Self, FleetError> {
        let key = rcgen::KeyPair::generate().map_err(FleetError::Certificate)?;
        let mut params = rcgen::CertificateParams::default();
        params.is_ca = rcgen::IsCa::Ca(rcgen::BasicConstraints::Unconstrained);
        let issuer = rcgen::CertifiedIssuer::self_signed(params, key);
        let issuer = issuer.map_err(FleetError::Certificate)?;
        let ca_file = directory.write("ca.pem", &issuer.pem())?;
        Ok(Self { issuer, ca_file })
    }

    /// Issues a certificate with the VM's name as its subject alternative name.
    pub fn issue(&self, directory: &TempDirectory, vm: &str) -> Result<IdentityFiles, FleetError> {
        let key = rcgen::KeyPair::generate().map_err(FleetError::Certificate)?;
        let certificate = rcgen::CertificateParams::new(vec![vm.to_owned()])
            .and_then(|params| params.signed_by(&key, &self.issuer))
            .map_err(FleetError::Certificate)?;
        Ok(IdentityFiles {
            ca_file: self.ca_file.clone(),
            certificate_file: directory.write(&format!("{vm}.pem"), &certificate.pem())?,
            key_file: directory.write(&format!("{vm}.key.pem"), &key.serialize_pem())?,
        })
    }
}

impl OperatorIdentity {
    /// Generates a random key and writes it to the file `NAME.key`.
    ///
    /// # Errors
    ///
    /// When the file cannot be written.
    pub fn create(directory: &TempDirectory, name: &str) -> Result<Self, FleetError> {
        let seed: [u8; 32] = rand::random();
        let key = SigningKey::from_bytes(&seed);
        Ok(Self {
            name: name.to_owned(),
            public_key: hex::encode(key.verifying_key().to_bytes()),
            key_file: directory.write(&format!("{name}.key"), &hex::encode(seed))?,
        })
    }
}
