//! Fingerprints of requests.

use sha2::{Digest, Sha256};

/// Hash of a request's work. Nobody can make another request that has the same one.
pub type Fingerprint = u64;

/// Returns the fingerprint of a request that is made of `parts`, in this order.
pub fn fingerprint<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Fingerprint {
    let mut hash = Sha256::new();
    for part in parts {
        // The lengths keep a part's end from being taken for the next one's beginning.
        hash.update((part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    digest
        .iter()
        .take(size_of::<Fingerprint>())
        .fold(0, |fingerprint, byte| {
            fingerprint << 8 | Fingerprint::from(*byte)
        })
}
