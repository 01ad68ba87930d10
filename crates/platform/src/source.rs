//! The interface through which the system reads the platform.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use wire::Revision;

use crate::member::List;

/// A configuration value with its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Revision of this key; a higher one is newer.
    pub revision: Revision,
    /// The value as published.
    pub body: Bytes,
}

/// Reason why the platform gave no usable answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No address of the platform could be reached, or each broke off.
    #[error("platform at {tried} cannot be reached ({cause}); check platform.addresses")]
    Unreachable {
        /// The addresses tried, separated by commas.
        tried: String,
        /// What the last one gave.
        cause: String,
    },
    /// The platform took too long.
    #[error("platform gave no answer within {0:?}; check its health or raise platform.timeout")]
    Timeout(Duration),
    /// The platform answered with an error status.
    #[error("platform answered {status} to {path}; check the key's name and the platform's log")]
    Status {
        /// The HTTP status code.
        status: u16,
        /// The path asked for.
        path: String,
    },
    /// The answer exceeds a size limit.
    #[error("platform's answer to {path} exceeds {limit} bytes; split the value over keys")]
    Large {
        /// The path asked for.
        path: String,
        /// The limit in bytes.
        limit: usize,
    },
    /// The answer is not of the expected form.
    #[error("platform's answer to {path} is malformed ({cause}); check platform.addresses")]
    Malformed {
        /// The path asked for.
        path: String,
        /// What is wrong with it.
        cause: String,
    },
}

/// A platform that can be read and watched.
pub trait Source: Send + Sync + 'static {
    /// Reads the value of `key`; `None` where there is none.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the platform gave no usable answer.
    fn read(&self, key: &str) -> impl Future<Output = Result<Option<Value>, Error>> + Send;

    /// Waits up to `wait` for a value of `key` with a revision above `after`; `None` where none
    /// came. The platform counts the call once, however long it waits.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the platform gave no usable answer.
    fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Option<Value>, Error>> + Send;

    /// Reads the list of VMs.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] where the platform gave no usable answer.
    fn members(&self) -> impl Future<Output = Result<List, Error>> + Send;
}
