//! The silence of the upstreams of one pool towards all requests of one node.

use std::time::Duration;

use wire::{Time, Upstream};

use super::{PoolSilence, Wait};

#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    in_flight: u32,
    awaiting_since: Option<Time>,
    heard_at: Option<Time>,
}

impl Entry {
    fn silence(&self, now: Time) -> Duration {
        let since = |since: Time| since.max(self.heard_at.unwrap_or_default());
        self.awaiting_since
            .map_or(Duration::ZERO, |at| now.saturating_sub(since(at)))
    }
}

/// The upstreams of a pool that were sent requests.
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    pool: PoolSilence,
    /// Sorted by upstream.
    entries: Vec<Entry>,
}

impl Tracker {
    /// Forgets upstreams that are not among `members`.
    pub fn retain(&mut self, members: &[Upstream]) {
        self.entries
            .retain(|entry| members.contains(&entry.upstream));
    }

    /// Records that a request was sent.
    pub fn started(&mut self, now: Time, upstream: &Upstream) {
        let entry = self.entry_mut(upstream);
        entry.in_flight += 1;
        entry.awaiting_since.get_or_insert(now);
    }

    /// Records that an answer began `took` after its request.
    pub fn heard(&mut self, now: Time, upstream: &Upstream, took: Duration) {
        self.entry_mut(upstream).heard_at = Some(now);
        self.pool.heard(now);
        self.pool.first.record(took);
    }

    /// Records that a request has ended.
    pub fn ended(&mut self, upstream: &Upstream) {
        let entry = self.entry_mut(upstream);
        entry.in_flight = entry.in_flight.saturating_sub(1);
        if entry.in_flight == 0 {
            entry.awaiting_since = None;
        }
    }

    /// Returns the wait of a request that was sent at `since` and is useful until `until`.
    pub fn wait(&self, since: Time, until: Time) -> Wait {
        Wait {
            since,
            on_time: Time::ZERO,
            useful: until,
            mean: self.pool.first.mean(),
            usual: self.pool.first.bound(),
        }
    }

    /// Returns whether a request should leave `from` for `to`.
    pub fn leaves(&self, now: Time, wait: &Wait, from: &Upstream, to: &Upstream) -> bool {
        let silence = self
            .entry(from)
            .map_or(Duration::ZERO, |from| from.silence(now));
        let heard_at = self.entry(to).and_then(|to| to.heard_at);
        let silent_since = now.saturating_sub(silence);
        wait.is_over(now, silence) && self.pool.may_leave(silent_since, heard_at)
    }

    /// Records that a request leaves `from` for `to`.
    pub fn left(&mut self, now: Time, from: &Upstream, to: &Upstream) {
        let silence = self
            .entry(from)
            .map_or(Duration::ZERO, |from| from.silence(now));
        let heard_at = self.entry(to).and_then(|to| to.heard_at);
        self.pool.left(now, now.saturating_sub(silence), heard_at);
    }

    fn entry(&self, upstream: &Upstream) -> Option<&Entry> {
        self.find(upstream).ok().map(|index| &self.entries[index])
    }

    fn entry_mut(&mut self, upstream: &Upstream) -> &mut Entry {
        let index = self.find(upstream).unwrap_or_else(|index| {
            let entry = Entry {
                upstream: upstream.clone(),
                in_flight: 0,
                awaiting_since: None,
                heard_at: None,
            };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.upstream.cmp(upstream))
    }
}
