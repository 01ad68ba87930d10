//! Names of calls and digests of their bodies.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Bytes kept of a SHA-256 digest.
pub const DIGEST_BYTES: usize = 16;

/// Start of an idempotency key that carries a ticket.
const TICKET_PREFIX: &str = "hs-";

/// Hex digits of a ticket's lineage.
const TICKET_DIGITS: usize = 16;

/// Digest of a request body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Digests `parts`, each with its length, so that no two lists of parts run together.
    pub fn new<T: AsRef<[u8]>>(parts: impl IntoIterator<Item = T>) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            let part = part.as_ref();
            hasher.update((part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        let full = hasher.finalize();
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&full[..DIGEST_BYTES]);
        Self(bytes)
    }
}

/// A call's name: the digest of caller, service and the caller's idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    digest: Digest,
    ticket: Option<u64>,
}

impl Key {
    /// Names the call that `caller` makes to `service` under its idempotency key `text`.
    pub fn new(caller: &str, service: &str, text: &str) -> Self {
        Self {
            digest: Digest::new([caller, service, text]),
            ticket: parse_ticket(text),
        }
    }

    /// Returns the lineage whose ticket the key carries. The key is younger than that lineage.
    pub fn ticket(&self) -> Option<u64> {
        self.ticket
    }
}

/// Returns the prefix that a caller puts before its own idempotency keys.
pub fn ticket(lineage: u64) -> String {
    format!("{TICKET_PREFIX}{lineage:016x}-")
}

fn parse_ticket(text: &str) -> Option<u64> {
    let rest = text.strip_prefix(TICKET_PREFIX)?;
    let (digits, _) = rest.split_once('-')?;
    let plain = digits.len() == TICKET_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    plain.then(|| u64::from_str_radix(digits, 16).ok())?
}
