//! A deterministic pseudorandom number generator, seeded by the driver.

use wire::rank;

/// Generator that hashes the seed and a counter.
#[derive(Clone, Debug)]
pub struct Random {
    seed: u64,
    count: u64,
}

impl Random {
    /// Creates a generator from `seed`.
    pub const fn new(seed: u64) -> Self {
        Self { seed, count: 0 }
    }

    /// Returns the next number.
    pub fn number(&mut self) -> u64 {
        self.count += 1;
        let mut bytes = [0; 16];
        bytes[..8].copy_from_slice(&self.seed.to_le_bytes());
        bytes[8..].copy_from_slice(&self.count.to_le_bytes());
        rank::hash(bytes)
    }

    /// Returns a number below `bound`, or 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        let bound = bound.max(1) as u64;
        usize::try_from(self.number() % bound).unwrap_or(0)
    }

    /// Shuffles `items` in place (Fisher and Yates, 1938).
    pub fn shuffle<T>(&mut self, items: &mut [T]) {
        for end in (1..items.len()).rev() {
            let other = self.below(end + 1);
            items.swap(end, other);
        }
    }

    /// Returns up to `count` randomly selected items, each at most once.
    pub fn pick<T>(&mut self, mut items: Vec<T>, count: usize) -> Vec<T> {
        self.shuffle(&mut items);
        items.truncate(count);
        items
    }
}
