//! TLS towards callers: the certificate and key in force, read again when their files change.

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::pki_types::pem::{self, PemObject};
use tokio_rustls::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio_rustls::rustls::{self, ServerConfig};

use crate::journal::DECISION;

/// Time between two looks at the files.
pub const PERIOD: Duration = Duration::from_secs(2);

/// The protocol that the listener speaks, as offered to callers.
const PROTOCOL: &[u8] = b"http/1.1";

/// Reason why a certificate and key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read.
    #[error("cannot read {path} ({cause}); check `tls.certificate`, `tls.key` and permissions")]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        cause: io::Error,
    },
    /// A file holds no usable PEM.
    #[error("{path} holds no usable PEM ({cause}); write the certificate chain or key as PEM")]
    Pem {
        /// The file.
        path: PathBuf,
        /// The library's error.
        cause: pem::Error,
    },
    /// The certificate and the key are not usable together.
    #[error("the certificate and key cannot be used ({0}); replace both files by a matching pair")]
    Pair(#[from] rustls::Error),
}

/// What the files held when they were read.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Content {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

/// The certificate and key in force.
pub struct Tls {
    settings: settings::Tls,
    config: ArcSwap<ServerConfig>,
    /// What was looked at last, whether it could be used or not.
    seen: ArcSwap<Content>,
}

impl Tls {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where a file cannot be read or the pair cannot be used.
    pub fn open(settings: settings::Tls) -> Result<Self, Error> {
        let content = read(&settings)?;
        let config = parse(&settings, &content)?;
        Ok(Self {
            settings,
            config: ArcSwap::from_pointee(config),
            seen: ArcSwap::from_pointee(content),
        })
    }

    /// Returns what accepts connections with the present certificate.
    pub fn acceptor(&self) -> TlsAcceptor {
        TlsAcceptor::from(self.config.load_full())
    }

    /// Reads the files again; tells whether they have changed and are in force now. What was in
    /// force stays so on an error, which is returned once for each change.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where a file cannot be read or the changed pair cannot be used.
    pub fn reload(&self) -> Result<bool, Error> {
        let content = read(&self.settings)?;
        if content == **self.seen.load() {
            return Ok(false);
        }
        let parsed = parse(&self.settings, &content);
        self.seen.store(Arc::new(content));
        self.config.store(Arc::new(parsed?));
        Ok(true)
    }
}

/// Looks at the files again and again.
pub async fn watch(tls: Arc<Tls>, period: Duration) {
    let mut unreadable = false;
    loop {
        tokio::time::sleep(period).await;
        let read = tls.clone();
        let Ok(result) = tokio::task::spawn_blocking(move || read.reload()).await else {
            // The runtime shuts down.
            return;
        };
        let missing = matches!(result, Err(Error::File { .. }));
        match result {
            Ok(true) => {
                let path = &tls.settings.certificate;
                log::info!(target: DECISION, path:?; "certificate-in-force");
            }
            Ok(false) => {}
            // A file that is missing is looked for at every turn, and reported once.
            Err(Error::File { .. }) if unreadable => {}
            Err(error) => log::warn!(target: DECISION, reason:% = error; "certificate-refused"),
        }
        unreadable = missing;
    }
}

fn read(settings: &settings::Tls) -> Result<Content, Error> {
    let read = |path: &PathBuf| {
        std::fs::read(path).map_err(|cause| Error::File {
            path: path.clone(),
            cause,
        })
    };
    Ok(Content {
        certificate: read(&settings.certificate)?,
        key: read(&settings.key)?,
    })
}

fn parse(settings: &settings::Tls, content: &Content) -> Result<ServerConfig, Error> {
    let faulty = |path: &PathBuf, cause| Error::Pem {
        path: path.clone(),
        cause,
    };
    let chain: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&content.certificate).collect();
    let chain = chain.map_err(|cause| faulty(&settings.certificate, cause))?;
    let key = PrivateKeyDer::from_pem_slice(&content.key);
    let key = key.map_err(|cause| faulty(&settings.key, cause))?;
    let provider = Arc::new(ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)?;
    config.alpn_protocols = vec![PROTOCOL.to_vec()];
    Ok(config)
}
