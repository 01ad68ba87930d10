//! Keys that identify calls, and digests of request bodies.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Length to which SHA-256 digests are truncated, in bytes.
pub const DIGEST_BYTES: usize = 16;

/// Prefix of an idempotency key that carries a ticket.
const TICKET_PREFIX: &str = "hs-";

/// Number of hexadecimal digits in a ticket's lineage.
const TICKET_DIGITS: usize = 16;

/// Truncated SHA-256 digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Digest([u8; DIGEST_BYTES]);

impl Digest {
    /// Computes the digest of `parts`. Each part is hashed with its length, so that different lists
    /// of parts with the same concatenation have different digests.
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

/// Identifies a call by the digest of caller, service and idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    digest: Digest,
    ticket_lineage: Option<u64>,
}

impl Key {
    /// Returns the key of the call that `caller` makes to `service` with `idempotency_key`.
    pub fn new(caller: &str, service: &str, idempotency_key: &str) -> Self {
        Self {
            digest: Digest::new([caller, service, idempotency_key]),
            ticket_lineage: parse_ticket(idempotency_key),
        }
    }

    /// Returns the lineage of the ticket in the key, if any. Such a key was created after that
    /// lineage was founded.
    pub fn ticket_lineage(&self) -> Option<u64> {
        self.ticket_lineage
    }
}

/// Returns the ticket of `lineage`, a prefix that callers put before their idempotency keys.
pub fn format_ticket(lineage: u64) -> String {
    format!("{TICKET_PREFIX}{lineage:016x}-")
}

fn parse_ticket(idempotency_key: &str) -> Option<u64> {
    let rest = idempotency_key.strip_prefix(TICKET_PREFIX)?;
    let (digits, _) = rest.split_once('-')?;
    let valid = digits.len() == TICKET_DIGITS && digits.bytes().all(|b| b.is_ascii_hexdigit());
    valid.then(|| u64::from_str_radix(digits, 16).ok())?
}
