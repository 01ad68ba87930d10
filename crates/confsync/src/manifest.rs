//! The manifest of a revision, which lists its parts.
//!
//! The published form is TOML. Contents follow one another in the listed order:
//!
//! ```toml
//! revision = 17
//!
//! [[part]]
//! key = "rules/17/0"
//! sha256 = "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"
//! bytes = 0
//! ```

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use wire::Revision;

/// Maximum size of a part in bytes; a platform value is limited to one megabyte.
pub const PART_BYTES_MAX: usize = (1 << 20) - 1;

/// Maximum number of parts in a revision.
pub const PARTS_MAX: usize = 4096;

/// SHA-256 of a part's content (FIPS 180-4).
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: impl AsRef<[u8]>) -> Self {
        Self(Sha256::digest(bytes.as_ref()).into())
    }

    /// Parses 64 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Self> {
        if text.len() != 64 || !text.is_ascii() {
            return None;
        }
        let mut digest = [0; 32];
        for (index, byte) in digest.iter_mut().enumerate() {
            let digits = text.get(2 * index..2 * index + 2)?;
            *byte = u8::from_str_radix(digits, 16).ok()?;
        }
        Some(Self(digest))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A revision number with a fingerprint of its manifest, which distinguishes two manifests with
/// the same number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id {
    /// The number.
    pub revision: Revision,
    /// The first eight bytes of the manifest's SHA-256.
    pub fingerprint: u64,
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.revision, self.fingerprint)
    }
}

/// One part of a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The platform key that holds its content.
    pub key: Arc<str>,
    /// Digest of its content.
    pub digest: Digest,
    /// Size of its content.
    pub bytes: u32,
}

/// The parts of a revision, in order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The number; a higher one is newer.
    pub revision: Revision,
    /// The parts.
    pub parts: Vec<Part>,
}

/// Why a value is not a valid manifest.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The value is not UTF-8.
    #[error("manifest is not UTF-8; publish it again with the operator client")]
    Text,
    /// The value is not TOML in the published form.
    #[error("failed to parse the manifest ({0}); publish it again with the operator client")]
    Form(String),
    /// A digest is malformed.
    #[error("sha256 of part {0} is not 64 hexadecimal digits; publish the manifest again")]
    Digest(String),
    /// A part is too large.
    #[error("part {0} is larger than {PART_BYTES_MAX} bytes; split it")]
    Large(String),
    /// There are no parts, or too many.
    #[error("manifest has {0} parts; use 1 to {PARTS_MAX}")]
    Count(usize),
    /// The revision number is 0, which is reserved.
    #[error("revision 0 is reserved; revisions start at 1")]
    Zero,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Published {
    revision: Revision,
    part: Vec<PublishedPart>,
}

#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct PublishedPart {
    key: Arc<str>,
    sha256: String,
    bytes: u32,
}

impl Manifest {
    /// Builds the manifest of `contents`, given as pairs of key and content.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the number or the contents.
    pub fn of<'a>(
        revision: Revision,
        contents: impl IntoIterator<Item = (&'a str, &'a [u8])>,
    ) -> Result<Self, Error> {
        let mut parts = Vec::new();
        for (key, content) in contents {
            let bytes = u32::try_from(content.len()).map_err(|_| Error::Large(key.to_owned()))?;
            parts.push(Part {
                key: key.into(),
                digest: Digest::of(content),
                bytes,
            });
        }
        Self { revision, parts }.checked()
    }

    /// Parses the published form.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the form, the number or a part.
    pub fn parse(value: impl AsRef<[u8]>) -> Result<Self, Error> {
        let text = std::str::from_utf8(value.as_ref()).map_err(|_| Error::Text)?;
        let form = |e: toml::de::Error| Error::Form(e.message().to_owned());
        let published: Published = toml::from_str(text).map_err(form)?;
        let mut parts = Vec::with_capacity(published.part.len());
        for part in published.part {
            let digest = Digest::parse(&part.sha256);
            let digest = digest.ok_or_else(|| Error::Digest(part.key.to_string()))?;
            parts.push(Part {
                key: part.key,
                digest,
                bytes: part.bytes,
            });
        }
        let revision = published.revision;
        Self { revision, parts }.checked()
    }

    /// Writes the published form.
    pub fn render(&self) -> String {
        use fmt::Write as _;
        let mut text = format!("revision = {}\n", self.revision);
        for part in &self.parts {
            let key = toml::Value::String(part.key.to_string());
            let (digest, bytes) = (part.digest, part.bytes);
            // Writing to a string never fails.
            let _ = write!(
                text,
                "\n[[part]]\nkey = {key}\nsha256 = \"{digest}\"\nbytes = {bytes}\n"
            );
        }
        text
    }

    /// Returns the revision number with the fingerprint of the manifest.
    pub fn id(&self) -> Id {
        let mut hash = Sha256::new();
        hash.update(self.revision.to_le_bytes());
        for part in &self.parts {
            hash.update((part.key.len() as u64).to_le_bytes());
            hash.update(part.key.as_bytes());
            hash.update(part.digest.0);
            hash.update(part.bytes.to_le_bytes());
        }
        let hash: [u8; 32] = hash.finalize().into();
        let (first, _) = hash.split_first_chunk::<8>().expect("a digest is longer");
        Id {
            revision: self.revision,
            fingerprint: u64::from_le_bytes(*first),
        }
    }

    /// Validates the revision number, the number of parts and their sizes.
    ///
    /// # Errors
    ///
    /// Returns what is wrong.
    pub fn checked(self) -> Result<Self, Error> {
        if self.revision == 0 {
            return Err(Error::Zero);
        }
        if self.parts.is_empty() || self.parts.len() > PARTS_MAX {
            return Err(Error::Count(self.parts.len()));
        }
        let large = |part: &&Part| part.bytes as usize > PART_BYTES_MAX;
        match self.parts.iter().find(large) {
            Some(part) => Err(Error::Large(part.key.to_string())),
            None => Ok(self),
        }
    }
}
