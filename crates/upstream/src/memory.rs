//! Memory for bodies that are held as a whole.
//!
//! One body is bounded by its own limit. What counts for a process is the sum: an [`Account`] is asked before
//! bytes are kept, and gets them back when the last reader has dropped them. A child account bounds what one
//! source of bytes takes, so that a faulty one costs itself and not others.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// No room is left in an [`Account`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("all memory for bodies is taken; try again once some have been passed on")]
pub struct Full;

/// Bytes that may be held at once.
#[derive(Debug)]
pub struct Account {
    limit: usize,
    held: AtomicUsize,
    parent: Option<Arc<Self>>,
}

impl Account {
    /// Creates an account of at most `limit` bytes.
    pub fn new(limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicUsize::new(0),
            parent: None,
        })
    }

    /// Creates an account of at most `limit` bytes, which count in this one as well.
    pub fn child(self: &Arc<Self>, limit: usize) -> Arc<Self> {
        Arc::new(Self {
            limit,
            held: AtomicUsize::new(0),
            parent: Some(self.clone()),
        })
    }

    /// Returns the limit in bytes.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Returns how many bytes are held.
    pub fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Returns a hold of no bytes.
    pub fn hold(self: &Arc<Self>) -> Hold {
        Hold {
            account: self.clone(),
            bytes: 0,
        }
    }

    fn add(&self, bytes: usize) -> Result<(), Full> {
        let added = self
            .held
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |held| {
                held.checked_add(bytes).filter(|sum| *sum <= self.limit)
            });
        added.map_err(|_| Full)?;
        let parent = self
            .parent
            .as_ref()
            .map_or(Ok(()), |parent| parent.add(bytes));
        parent.inspect_err(|_| {
            self.held.fetch_sub(bytes, Ordering::Relaxed);
        })
    }

    fn remove(&self, bytes: usize) {
        self.held.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(parent) = &self.parent {
            parent.remove(bytes);
        }
    }
}

/// Bytes that count in an [`Account`] until the hold is dropped.
#[derive(Debug)]
pub struct Hold {
    account: Arc<Account>,
    bytes: usize,
}

impl Hold {
    /// Returns how many bytes it holds.
    pub const fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes how many bytes it holds.
    ///
    /// # Errors
    ///
    /// Returns [`Full`], and holds as many as before, where the account has no room.
    pub fn resize(&mut self, bytes: usize) -> Result<(), Full> {
        if bytes > self.bytes {
            self.account.add(bytes - self.bytes)?;
        } else if bytes < self.bytes {
            self.account.remove(self.bytes - bytes);
        }
        self.bytes = bytes;
        Ok(())
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.account.remove(self.bytes);
    }
}

/// A body that grows part by part. Its capacity counts.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    hold: Hold,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(account: &Arc<Account>) -> Self {
        Self {
            bytes: Vec::new(),
            hold: account.hold(),
        }
    }

    /// Returns its length in bytes.
    pub const fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether it is empty.
    pub const fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Makes room for `bytes` in all.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] where the account has none.
    pub fn reserve(&mut self, bytes: usize) -> Result<(), Full> {
        if bytes > self.bytes.capacity() {
            self.hold.resize(bytes)?;
            self.bytes.reserve_exact(bytes - self.bytes.len());
        }
        Ok(())
    }

    /// Appends a part.
    ///
    /// # Errors
    ///
    /// Returns [`Full`] where the account has no room for it.
    pub fn push(&mut self, part: &[u8]) -> Result<(), Full> {
        let length = self.bytes.len() + part.len();
        if length > self.bytes.capacity() {
            // As a vector grows, unless only the exact size has room.
            let grown = length.max(self.bytes.capacity() * 2);
            self.reserve(grown).or_else(|_| self.reserve(length))?;
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    /// Returns the whole body, which counts until its last clone is dropped.
    pub fn freeze(self) -> Bytes {
        if self.is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
