//! Authentication of bytes between nodes with keys shared through the settings (HMAC-SHA-256,
//! RFC 2104 and FIPS 180-4).
//!
//! Two keys may be valid at once: the first one signs, both verify. That allows a rotation
//! without a moment at which a node refuses its peers.

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Bytes of a tag.
pub const TAG_BYTES: usize = 16;

/// Bytes that a key needs at least.
pub const KEY_BYTES_MIN: usize = 16;

/// Reason why sealed bytes or a key are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The bytes end before the tag does.
    #[error("sealed bytes are shorter than a tag; check that the sender is a node of this system")]
    Short,
    /// No valid key made the tag.
    #[error("tag matches no key; list the same peer keys in the settings of every VM")]
    Tag,
    /// The key is too short.
    #[error("peer key is shorter than {KEY_BYTES_MIN} bytes; generate a longer one")]
    Key,
}

/// The keys that are valid now.
#[derive(Clone)]
pub struct Seal {
    sign: Vec<u8>,
    also: Option<Vec<u8>>,
}

impl Seal {
    /// Makes a seal that signs with `sign` and also verifies tags by `also`.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Key`] where a key has fewer than [`KEY_BYTES_MIN`] bytes.
    pub fn new(sign: impl Into<Vec<u8>>, also: Option<Vec<u8>>) -> Result<Self, Error> {
        let sign = sign.into();
        let short = |key: &Vec<u8>| key.len() < KEY_BYTES_MIN;
        if short(&sign) || also.as_ref().is_some_and(short) {
            return Err(Error::Key);
        }
        Ok(Self { sign, also })
    }

    /// Returns `bytes` preceded by their tag.
    pub fn close(&self, bytes: impl AsRef<[u8]>) -> Vec<u8> {
        let bytes = bytes.as_ref();
        let tag = mac(&self.sign, bytes).finalize().into_bytes();
        let mut sealed = Vec::with_capacity(TAG_BYTES + bytes.len());
        sealed.extend_from_slice(&tag[..TAG_BYTES]);
        sealed.extend_from_slice(bytes);
        sealed
    }

    /// Returns the bytes behind the tag, checked in constant time.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Short`] where no whole tag is there and [`Error::Tag`] where no valid key
    /// made it.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Result<&'a [u8], Error> {
        let (tag, bytes) = sealed.split_at_checked(TAG_BYTES).ok_or(Error::Short)?;
        let valid = |key: &Vec<u8>| mac(key, bytes).verify_truncated_left(tag).is_ok();
        if valid(&self.sign) || self.also.as_ref().is_some_and(valid) {
            Ok(bytes)
        } else {
            Err(Error::Tag)
        }
    }
}

fn mac(key: &[u8], bytes: &[u8]) -> Hmac<Sha256> {
    let mut mac = <Hmac<Sha256> as Mac>::new_from_slice(key).expect("HMAC takes keys of any size");
    mac.update(bytes);
    mac
}
