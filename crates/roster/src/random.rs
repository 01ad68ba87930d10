//! A reproducible stream of numbers from a seed that the driver gives.

use wire::rank;

/// The stream: the hash of a counter under the seed.
#[derive(Clone, Debug)]
pub struct Random {
    seed: u64,
    count: u64,
}

impl Random {
    /// Starts the stream of `seed`.
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

    /// Returns a number below `bound`, 0 where `bound` is 0.
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

    /// Returns up to `count` different items.
    pub fn pick<T>(&mut self, mut items: Vec<T>, count: usize) -> Vec<T> {
        self.shuffle(&mut items);
        items.truncate(count);
        items
    }
}
