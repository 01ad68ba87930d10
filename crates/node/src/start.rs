//! What every kind of node does at its start.

use std::net::SocketAddr;

use settings::Settings;
use tokio::net::TcpListener;
use wire::seal::Seal;

use crate::front::tls;

/// Reason why a node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An address cannot be bound.
    #[error("cannot listen on {address} ({cause}); free the address or change `listen`")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        cause: std::io::Error,
    },
    /// An address of the platform does not parse.
    #[error("platform address {0} is not IP:PORT; correct `platform.addresses`")]
    Platform(String),
    /// The peers' keys are unusable.
    #[error(transparent)]
    Keys(#[from] wire::seal::Error),
    /// The certificate towards callers is unusable.
    #[error(transparent)]
    Tls(#[from] tls::Error),
    /// The metrics cannot be registered.
    #[error("metrics cannot be registered ({0}); report this")]
    Metrics(#[from] prometheus::Error),
    /// The actor that decides does not start.
    #[error("the node's actor does not start ({0}); report this")]
    Actor(#[from] ractor::SpawnErr),
}

/// Returns the seal of messages between nodes.
///
/// # Errors
///
/// Returns [`Error::Keys`] where a key is unusable.
pub fn seal(settings: &Settings) -> Result<Seal, Error> {
    let mut keys = settings
        .peers
        .keys
        .iter()
        .map(|key| key.0.clone().into_bytes());
    let sign = keys.next().unwrap_or_default();
    Ok(Seal::new(sign, keys.next())?)
}

/// Returns the addresses of the platform.
///
/// # Errors
///
/// Returns [`Error::Platform`] for one that does not parse.
pub fn platform(settings: &Settings) -> Result<Vec<SocketAddr>, Error> {
    let parse = |address: &String| {
        address
            .parse()
            .map_err(|_| Error::Platform(address.clone()))
    };
    settings.platform.addresses.iter().map(parse).collect()
}

/// Listens on `address`.
///
/// # Errors
///
/// Returns [`Error::Listen`] where it cannot be bound.
pub async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| Error::Listen { address, cause })
}
