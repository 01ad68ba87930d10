//! The cache of prompt prefixes, and its events: late and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;
use upstream::engine::{CacheEvent, Change, Events, Instance};
use wire::rank;

/// Bytes of a prompt that make its prefix.
const PREFIX_BYTES: usize = 64;

/// Events that are kept for readers.
const EVENTS_KEPT: usize = 10_000;

/// The cache.
#[derive(Debug)]
pub(super) struct Cache {
    capacity: usize,
    lag: Duration,
    loss: u32,
    random: StdRng,
    /// Least recently used first.
    prefixes: VecDeque<(Instance, u64)>,
    sequence: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl Cache {
    pub(super) fn new(config: &super::Config) -> Self {
        Self {
            capacity: config.prefixes,
            lag: config.event_lag,
            loss: config.event_loss,
            random: StdRng::seed_from_u64(config.seed),
            prefixes: VecDeque::new(),
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Uses `prompt`'s prefix and tells whether it was cached.
    pub(super) fn touch(&mut self, instance: &Instance, prompt: &str) -> bool {
        let bytes = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let entry = (instance.clone(), rank::hash(bytes));
        let known = self.prefixes.iter().position(|known| *known == entry);
        if let Some(index) = known {
            self.prefixes.remove(index);
        } else {
            self.publish(stored(&entry));
        }
        self.prefixes.push_back(entry);
        if self.prefixes.len() > self.capacity
            && let Some(oldest) = self.prefixes.pop_front()
        {
            self.publish(removed(&oldest));
        }
        known.is_some()
    }

    /// Forgets the prefixes of one instance.
    pub(super) fn forget(&mut self, instance: &str) {
        let kept = std::mem::take(&mut self.prefixes);
        let (gone, kept) = kept
            .into_iter()
            .partition::<VecDeque<_>, _>(|(known, _)| &**known == instance);
        self.prefixes = kept;
        for entry in &gone {
            self.publish(removed(entry));
        }
    }

    /// Forgets everything, as a restart does.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
        self.sequence = 0;
        self.publish(Change::Cleared);
    }

    /// Returns the published events above `after`.
    pub(super) fn events(&self, after: u64, start: u64) -> Events {
        let now = Instant::now();
        let published = self.events.iter().filter(|(from, _)| *from <= now);
        let events = published
            .filter(|(_, event)| event.sequence > after)
            .map(|(_, event)| event.clone())
            .collect();
        Events { start, events }
    }

    fn publish(&mut self, change: Change) {
        self.sequence += 1;
        if self.loss > 0 && self.random.random_range(0..self.loss) == 0 {
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            change,
        };
        self.events.push_back((Instant::now() + self.lag, event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}

fn stored((instance, prefix): &(Instance, u64)) -> Change {
    Change::Stored {
        instance: instance.clone(),
        prefix: *prefix,
    }
}

fn removed((instance, prefix): &(Instance, u64)) -> Change {
    Change::Removed {
        instance: instance.clone(),
        prefix: *prefix,
    }
}
