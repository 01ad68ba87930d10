//! Fingerprints of requests.

use sha2::{Digest, Sha256};

/// Hash of the work that a request asks for. Callers cannot craft another request with the same
/// fingerprint.
pub type Fingerprint = u64;

/// Returns the fingerprint of a request that consists of `parts`, in this order.
pub fn fingerprint<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in parts {
        // Hashing the length keeps the end of a part distinct from the start of the next one.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    digest
        .iter()
        .take(size_of::<Fingerprint>())
        .fold(0, |value, byte| value << 8 | Fingerprint::from(*byte))
}
