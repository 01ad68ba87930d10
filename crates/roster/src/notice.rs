//! Tracks leaving upstreams, which get no new work from the first observation by any source on.
//!
//! A notice expires [`LIFETIME`] after its last observation, so that an upstream that returns under
//! the same name gets work again without an explicit observation. The lifetime exceeds the lag of
//! the platform's list. Ages are sent as durations because clocks of different nodes are not
//! comparable.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use wire::{Time, Upstream, rank};

/// Time after its last observation at which a notice expires.
pub const LIFETIME: Duration = Duration::from_secs(45);

/// Minimum age at which a repeated observation renews the notice.
const RENEW_AGE: Duration = Duration::from_secs(15);

/// Source of an observation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The platform's list.
    List,
    /// The upstream refused work.
    Refusal,
    /// The upstream's own report.
    Report,
    /// Gossip from a peer.
    Peer,
}

impl Source {
    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::List => "list",
            Self::Refusal => "refusal",
            Self::Report => "report",
            Self::Peer => "peer",
        }
    }
}

/// Update about one upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// The upstream.
    pub upstream: Upstream,
    /// Number of changes so far; the higher number wins.
    pub mark: u32,
    /// Whether the upstream is leaving; otherwise it has returned.
    pub leaving: bool,
    /// Milliseconds since the last observation.
    pub age_ms: u32,
}

/// Effect of an observation or a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// No change.
    Known,
    /// The lifetime of the notice was extended.
    Renewed,
    /// The upstream is now leaving.
    Leaving,
    /// The upstream has returned.
    Back,
}

#[derive(Clone, Debug)]
struct Entry {
    upstream: Upstream,
    mark: u32,
    leaving: bool,
    observed_at: Time,
    // Whether this node made the observation itself; if so, it overrides an older return.
    own: bool,
}

/// Notices that have not expired, sorted by upstream.
#[derive(Clone, Debug, Default)]
pub struct NoticeTable {
    entries: Vec<Entry>,
}

impl NoticeTable {
    /// Returns the upstreams that get no new work.
    pub fn leaving(&self) -> impl Iterator<Item = &Upstream> {
        let leaving = self.entries.iter().filter(|entry| entry.leaving);
        leaving.map(|entry| &entry.upstream)
    }

    /// Records an observation by this node: the upstream is leaving or has returned.
    pub fn observe(&mut self, now: Time, upstream: &Upstream, leaving: bool) -> Change {
        match self.find(upstream) {
            Ok(index) => self.entries[index].observe(now, leaving),
            Err(_) if !leaving => Change::Known,
            Err(index) => {
                self.entries.insert(
                    index,
                    Entry {
                        upstream: upstream.clone(),
                        mark: 1,
                        leaving: true,
                        observed_at: now,
                        own: true,
                    },
                );
                Change::Leaving
            }
        }
    }

    /// Merges a peer's notice. The flag says whether the peer's notice is outdated and needs a
    /// reply.
    pub fn merge(&mut self, now: Time, notice: &Notice) -> (Change, bool) {
        let age = Duration::from_millis(notice.age_ms.into());
        if age >= LIFETIME {
            return (Change::Known, false);
        }
        let observed_at = now.saturating_sub(age);
        match self.find(&notice.upstream) {
            Ok(index) => self.entries[index].merge(observed_at, notice),
            Err(index) => {
                self.entries.insert(
                    index,
                    Entry {
                        upstream: notice.upstream.clone(),
                        mark: notice.mark,
                        leaving: notice.leaving,
                        observed_at,
                        own: false,
                    },
                );
                let change = if notice.leaving {
                    Change::Leaving
                } else {
                    Change::Known
                };
                (change, false)
            }
        }
    }

    /// Drops notices older than [`LIFETIME`] and returns the upstreams that may get work again.
    pub fn expire(&mut self, now: Time) -> Vec<Upstream> {
        let mut back = Vec::new();
        self.entries.retain(|entry| {
            let holds = now < entry.observed_at + LIFETIME;
            if !holds && entry.leaving {
                back.push(entry.upstream.clone());
            }
            holds
        });
        back
    }

    /// Returns the time at which the next notice expires.
    pub fn wake(&self) -> Option<Time> {
        let ends = self
            .entries
            .iter()
            .map(|entry| entry.observed_at + LIFETIME);
        ends.min()
    }

    /// Returns the notice on `upstream` in the form sent to peers.
    pub fn notice(&self, now: Time, upstream: &Upstream) -> Option<Notice> {
        let index = self.find(upstream).ok()?;
        Some(self.entries[index].notice(now))
    }

    /// Returns all notices in the form sent to peers.
    pub fn notices(&self, now: Time) -> Vec<Notice> {
        self.entries.iter().map(|entry| entry.notice(now)).collect()
    }

    /// Returns a digest of the notices, excluding their ages.
    pub fn digest(&self) -> u64 {
        let hashes = self.entries.iter().map(|entry| {
            let key = u64::from(entry.mark) << 1 | u64::from(entry.leaving);
            rank::weight(key, &entry.upstream)
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    fn find(&self, upstream: &Upstream) -> Result<usize, usize> {
        let order = |entry: &Entry| entry.upstream.cmp(upstream);
        self.entries.binary_search_by(order)
    }
}

impl Entry {
    fn observe(&mut self, now: Time, leaving: bool) -> Change {
        if self.leaving != leaving {
            self.mark += 1;
            self.leaving = leaving;
            self.observed_at = now;
            self.own = true;
            return if leaving {
                Change::Leaving
            } else {
                Change::Back
            };
        }
        if leaving && now >= self.observed_at + RENEW_AGE {
            self.mark += 1;
            self.observed_at = now;
            self.own = true;
            return Change::Renewed;
        }
        Change::Known
    }

    fn merge(&mut self, observed_at: Time, notice: &Notice) -> (Change, bool) {
        let newer = notice.mark > self.mark;
        let tie = notice.mark == self.mark && notice.leaving && !self.leaving;
        if !newer && !tie {
            let older = notice.mark < self.mark || notice.leaving != self.leaving;
            return (Change::Known, older);
        }
        if self.own && self.leaving && !notice.leaving && observed_at < self.observed_at {
            self.mark = notice.mark + 1;
            return (Change::Renewed, true);
        }
        let turned = self.leaving != notice.leaving;
        self.mark = notice.mark;
        self.leaving = notice.leaving;
        self.observed_at = observed_at;
        self.own = false;
        match (turned, notice.leaving) {
            (false, _) => (Change::Renewed, false),
            (true, true) => (Change::Leaving, false),
            (true, false) => (Change::Back, false),
        }
    }

    fn notice(&self, now: Time) -> Notice {
        let age = now.saturating_sub(self.observed_at).as_millis();
        Notice {
            upstream: self.upstream.clone(),
            mark: self.mark,
            leaving: self.leaving,
            age_ms: u32::try_from(age).unwrap_or(u32::MAX),
        }
    }
}
