//! TLS for listeners and for connections to upstreams, from files that the settings name.

use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use rustls::ClientConfig;
use rustls::RootCertStore;
use rustls::ServerConfig;
use rustls::crypto::ring;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem;
use rustls::pki_types::pem::PemObject as _;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::settings;

/// Error of setting up TLS.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A file cannot be read or does not contain PEM of the expected kind.
    #[snafu(display("cannot read {}: {source}", path.display()))]
    Read {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: pem::Error,
    },
    /// The certificates or the key cannot be used.
    #[snafu(display("cannot use {}: {source}", path.display()))]
    Use {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: rustls::Error,
    },
    /// A file contains no certificate.
    #[snafu(display("{} contains no certificate", path.display()))]
    Empty {
        /// The file.
        path: PathBuf,
    },
}

/// Returns the configuration of the listener.
pub fn server(tls: &settings::Tls) -> Result<ServerConfig, Error> {
    let chain = certificates(&tls.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&tls.key).context(ReadSnafu { path: &tls.key })?;
    let path = &tls.certificate;
    let builder = ServerConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .context(UseSnafu { path })?;
    let config = builder.with_no_client_auth().with_single_cert(chain, key);
    config.context(UseSnafu { path })
}

/// Returns the configuration of connections to upstreams, whose certificates must be signed by an
/// authority in the file.
pub fn client(authority: &Path) -> Result<ClientConfig, Error> {
    let mut roots = RootCertStore::empty();
    for certificate in certificates(authority)? {
        let added = roots.add(certificate);
        added.context(UseSnafu { path: authority })?;
    }
    let builder = ClientConfig::builder_with_provider(Arc::new(ring::default_provider()))
        .with_safe_default_protocol_versions()
        .context(UseSnafu { path: authority })?;
    Ok(builder.with_root_certificates(roots).with_no_client_auth())
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Error> {
    let read = CertificateDer::pem_file_iter(path).context(ReadSnafu { path })?;
    let chain: Vec<_> = read.collect::<Result<_, _>>().context(ReadSnafu { path })?;
    if chain.is_empty() {
        return EmptySnafu { path }.fail();
    }
    Ok(chain)
}
