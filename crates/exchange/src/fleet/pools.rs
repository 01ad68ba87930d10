//! What is known of the silence of each pool.

use std::time::Duration;

use dispatch::silence::PoolSilence;
use wire::Time;

use super::Fleet;
use crate::route::PoolName;

/// The pools, sorted by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools(Vec<(PoolName, PoolSilence)>);

impl Pools {
    fn get(&self, name: &str) -> PoolSilence {
        let found = self.0.binary_search_by(|(known, _)| (**known).cmp(name));
        found.map_or_else(|_| PoolSilence::default(), |index| self.0[index].1)
    }

    fn get_mut(&mut self, name: &PoolName) -> &mut PoolSilence {
        let index = match self.0.binary_search_by(|(known, _)| known.cmp(name)) {
            Ok(index) => index,
            Err(index) => {
                self.0.insert(index, (name.clone(), PoolSilence::default()));
                index
            }
        };
        &mut self.0[index].1
    }
}

impl Fleet {
    /// Returns what is known of the silence of `pool`.
    pub fn silence_of(&self, pool: &str) -> PoolSilence {
        self.pools.get(pool)
    }

    /// Records that a byte was received from `id`.
    pub fn byte_received(&mut self, now: Time, id: &str) {
        if let Ok(index) = self.position(id) {
            let upstream = &mut self.upstreams[index];
            upstream.byte_received(now);
            self.pools.get_mut(&upstream.listing.pool).heard(now);
        }
    }

    /// Records how long the first byte of an answer of `pool` took, without the prefill of its prompt.
    pub fn record_first_byte(&mut self, pool: &PoolName, took: Duration) {
        self.pools.get_mut(pool).first.record(took);
    }

    /// Records the time between two events of a stream of `pool`.
    pub fn record_event(&mut self, pool: &PoolName, gap: Duration) {
        self.pools.get_mut(pool).next.record(gap);
    }

    /// Returns whether a request may leave an upstream that has been silent for `silence` for `to`.
    /// See [`PoolSilence::may_leave`].
    pub fn may_leave(&self, now: Time, pool: &str, silence: Duration, to: &str) -> bool {
        let silent_since = now.saturating_sub(silence);
        let heard_at = self.upstream(to).and_then(|to| to.heard_at());
        self.pools.get(pool).may_leave(silent_since, heard_at)
    }

    /// Records that a request leaves an upstream that has been silent for `silence` for `to`.
    pub fn record_leave(&mut self, now: Time, pool: &PoolName, silence: Duration, to: &str) {
        let silent_since = now.saturating_sub(silence);
        let heard_at = self.upstream(to).and_then(|to| to.heard_at());
        self.pools.get_mut(pool).left(now, silent_since, heard_at);
    }
}
