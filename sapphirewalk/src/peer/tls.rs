//! QUIC configuration with mutual TLS, from the certificate files of the settings.

use std::path;
use std::sync::Arc;
use std::time;

use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::CertificateDer;
use rustls_pki_types::PrivateKeyDer;
use rustls_pki_types::pem::PemObject;

use crate::config::TlsSettings;
use crate::peer::PeerError;

/// Name and version of the protocol, negotiated in the TLS handshake.
const ALPN: &[u8] = b"sapphirewalk/1";
/// Interval between keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Time without packets after which a connection is closed, in milliseconds. It outlasts a few
/// lost keep-alive packets.
const IDLE_TIMEOUT_MS: u32 = 4_000;
/// Maximum number of concurrent calls on one connection.
const CALLS_PER_CONNECTION_MAX: u32 = 4_096;

/// QUIC configurations of a process, which accepts and opens connections.
pub struct QuicSettings {
    /// Configuration for incoming connections.
    pub server: quinn::ServerConfig,
    /// Configuration for outgoing connections.
    pub client: quinn::ClientConfig,
}

/// Reads the certificate files and builds the configurations.
///
/// # Errors
///
/// [`PeerError::Setup`] if a file can't be read or holds no valid certificate or key.
pub fn load(tls: &TlsSettings) -> Result<QuicSettings, PeerError> {
    let roots = Arc::new(load_roots(&tls.ca_file)?);
    let chain = load_chain(&tls.certificate_file, "tls.certificate_file")?;
    let key = PrivateKeyDer::from_pem_file(&tls.key_file)
        .map_err(|error| setup_error("tls.key_file", &error))?;
    let transport = Arc::new(transport_settings());
    let server = server_settings(&roots, chain.clone(), key.clone_key(), &transport)?;
    let client = client_settings(&roots, chain, key, &transport)?;
    Ok(QuicSettings { server, client })
}

fn load_roots(ca_file: &path::Path) -> Result<RootCertStore, PeerError> {
    let mut roots = RootCertStore::empty();
    for certificate in load_chain(ca_file, "tls.ca_file")? {
        roots
            .add(certificate)
            .map_err(|error| setup_error("tls.ca_file", &error))?;
    }
    Ok(roots)
}

fn load_chain(
    file: &path::Path,
    setting: &'static str,
) -> Result<Vec<CertificateDer<'static>>, PeerError> {
    let certificates =
        CertificateDer::pem_file_iter(file).map_err(|error| setup_error(setting, &error))?;
    certificates
        .collect::<Result<Vec<_>, _>>()
        .map_err(|error| setup_error(setting, &error))
}

fn server_settings(
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: &Arc<quinn::TransportConfig>,
) -> Result<quinn::ServerConfig, PeerError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier =
        WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), Arc::clone(&provider))
            .build()
            .map_err(|error| setup_error("tls.ca_file", &error))?;
    let mut server = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| setup_error("tls", &error))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|error| setup_error("tls.key_file", &error))?;
    server.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicServerConfig::try_from(server).map_err(|error| setup_error("tls", &error))?;
    let mut settings = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    settings.transport_config(Arc::clone(transport));
    Ok(settings)
}

fn client_settings(
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: &Arc<quinn::TransportConfig>,
) -> Result<quinn::ClientConfig, PeerError> {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut client = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| setup_error("tls", &error))?
        .with_root_certificates(Arc::clone(roots))
        .with_client_auth_cert(chain, key)
        .map_err(|error| setup_error("tls.key_file", &error))?;
    client.alpn_protocols = vec![ALPN.to_vec()];
    let crypto = QuicClientConfig::try_from(client).map_err(|error| setup_error("tls", &error))?;
    let mut settings = quinn::ClientConfig::new(Arc::new(crypto));
    settings.transport_config(Arc::clone(transport));
    Ok(settings)
}

fn transport_settings() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    transport.max_idle_timeout(Some(quinn::VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    transport.max_concurrent_bidi_streams(quinn::VarInt::from_u32(CALLS_PER_CONNECTION_MAX));
    transport
}

fn setup_error(setting: &'static str, cause: &impl ToString) -> PeerError {
    PeerError::Setup {
        setting,
        cause: cause.to_string(),
    }
}
