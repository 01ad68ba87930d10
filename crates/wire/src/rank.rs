//! Rendezvous hashing (Thaler and Ravishankar, 1998): each key has a stable order of candidates,
//! and a candidate that joins or leaves moves only the keys that it heads.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Returns the 64-bit hash of `bytes`, the same on every node.
pub fn hash(bytes: impl AsRef<[u8]>) -> u64 {
    xxh3_64(bytes.as_ref())
}

/// Returns the weight of `candidate` for a key that hashes to `key`; the highest weight wins.
pub fn weight(key: u64, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), key)
}

/// Returns the candidate with the highest weight for `key`.
pub fn first<T: AsRef<str>>(key: u64, candidates: impl IntoIterator<Item = T>) -> Option<T> {
    let weighted = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate.as_ref()), candidate));
    let first = weighted.max_by(|(a, x), (b, y)| a.cmp(b).then_with(|| x.as_ref().cmp(y.as_ref())));
    first.map(|(_, candidate)| candidate)
}

/// Returns the `count` candidates with the highest weights for `key`, best first.
pub fn top<T: AsRef<str>>(
    key: u64,
    candidates: impl IntoIterator<Item = T>,
    count: usize,
) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = candidates
        .into_iter()
        .map(|candidate| (weight(key, candidate.as_ref()), candidate))
        .collect();
    ranked.sort_unstable_by(|(a, x), (b, y)| b.cmp(a).then_with(|| y.as_ref().cmp(x.as_ref())));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}
