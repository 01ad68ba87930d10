//! Access to the platform: one watch per availability zone and as few reads as possible.

use std::sync::Arc;
use std::time::Duration;

use wire::{Revision, Time};

use super::{Action, Replicator, Value};
use crate::manifest::{Digest, Manifest};
use crate::message::Selector;
use crate::note::{Note, Reason};

/// Minimum interval between two watches that returned nothing new.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Initial and maximum wait after a failed watch.
const WATCH_RETRY: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(5));

/// Initial and maximum wait after a failed read of the manifest by a node that does not watch and has
/// nothing in force.
const READ_RETRY: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(30));

/// Watches without a new value after which the manifest is read, because the platform's own
/// revision may have been reset to a lower one.
const WATCHES_PER_READ: u32 = 4;

/// Interval between manifest reads over the whole region, beside the watches. Platform replicas may
/// differ, and the watchers may be connected to stale ones. A platform that was restored from a copy
/// gives revisions out again, and a watch from a higher one learns nothing until it has caught up.
const PERIODIC_READ_INTERVAL: Duration = Duration::from_secs(1);

/// State of the platform calls.
#[derive(Clone, Debug, Default)]
pub(super) struct Platform {
    calls: u64,
    watches: bool,
    watching: bool,
    reading: bool,
    watch_started: Time,
    next: Time,
    after: Revision,
    failures: u32,
    empty_watches: u32,
    read_again: bool,
    /// When this node next reads the manifest beside watches.
    next_periodic_read: Time,
    malformed: Option<Digest>,
}

impl Platform {
    pub(super) fn calls(&self) -> u64 {
        self.calls
    }

    pub(super) fn count(&mut self) {
        self.calls += 1;
    }

    pub(super) fn watches(&self) -> bool {
        self.watches
    }

    /// Sets whether this node watches. Returns whether this changed.
    pub(super) fn set_watches(&mut self, watches: bool) -> bool {
        std::mem::replace(&mut self.watches, watches) != watches
    }

    pub(super) fn wake(&self) -> Option<Time> {
        let due = (self.watches || self.read_again).then_some(self.next);
        let due = due.filter(|_| !self.watching);
        let due = due.into_iter().chain([self.next_periodic_read]).min();
        due.filter(|_| !self.reading)
    }
}

impl Replicator {
    /// Starts a watch or reads the manifest if one is due.
    pub(super) fn call_platform(&mut self, now: Time, out: &mut impl Extend<Action>) {
        let due = self.platform.wake().is_some_and(|due| due <= now);
        if !due {
            return;
        }
        let periodic_read_due = self.platform.next_periodic_read <= now;
        if periodic_read_due {
            self.platform.next_periodic_read = now + self.periodic_read_wait();
        }
        if periodic_read_due
            || self.platform.read_again
            || self.platform.empty_watches >= WATCHES_PER_READ
        {
            self.platform.empty_watches = 0;
            return self.read_manifest(out);
        }
        self.platform.watching = true;
        self.platform.watch_started = now;
        self.platform.count();
        out.extend([Action::Watch {
            key: self.key.clone(),
            after: self.platform.after,
        }]);
    }

    /// Returns a wait such that about one node of the region reads the manifest per interval.
    fn periodic_read_wait(&mut self) -> Duration {
        let nodes = u32::try_from(self.view.peers().len())
            .unwrap_or(u32::MAX)
            .max(1);
        let wait = PERIODIC_READ_INTERVAL.saturating_mul(nodes);
        self.backoff(wait, 0, wait)
    }

    pub(super) fn read_manifest(&mut self, out: &mut impl Extend<Action>) {
        if self.platform.reading {
            return;
        }
        self.platform.reading = true;
        self.platform.read_again = false;
        self.platform.count();
        out.extend([Action::Read {
            key: self.key.clone(),
        }]);
    }

    pub(super) fn watched(
        &mut self,
        now: Time,
        value: Option<Value>,
        out: &mut impl Extend<Action>,
    ) {
        self.platform.watching = false;
        self.platform.failures = 0;
        let before = self.newest_known();
        match value {
            Some(value) => {
                self.platform.empty_watches = 0;
                self.manifest_read(now, &value, out);
            }
            None => self.platform.empty_watches += 1,
        }
        self.platform.next = if self.newest_known() > before {
            now
        } else {
            now.max(self.platform.watch_started + WATCH_INTERVAL)
        };
    }

    pub(super) fn watch_failed(&mut self, now: Time, cause: String, out: &mut impl Extend<Action>) {
        self.platform.watching = false;
        self.platform_failed(now, WATCH_RETRY, cause, out);
    }

    fn platform_failed(
        &mut self,
        now: Time,
        (first, last): (Duration, Duration),
        cause: String,
        out: &mut impl Extend<Action>,
    ) {
        if self.platform.failures == 0 {
            out.extend([Action::Note(Note::Unreachable(cause))]);
        }
        let wait = self.backoff(first, self.platform.failures, last);
        self.platform.failures += 1;
        self.platform.next = now + wait;
    }

    pub(super) fn read_done(
        &mut self,
        now: Time,
        key: Arc<str>,
        value: Value,
        out: &mut impl Extend<Action>,
    ) {
        if key == self.key {
            self.platform.reading = false;
            self.platform.failures = 0;
            self.manifest_read(now, &value, out);
            self.platform_answered();
        } else if self.part_read(now, &key, &value.body, out) {
            // The manifest may have changed together with the part.
            self.platform.read_again = true;
        }
    }

    pub(super) fn read_failed(
        &mut self,
        now: Time,
        key: Arc<str>,
        cause: String,
        out: &mut impl Extend<Action>,
    ) {
        if key != self.key {
            return self.part_failed(now, &key);
        }
        self.platform.reading = false;
        self.platform_answered();
        let retry = if self.platform.watches {
            WATCH_RETRY
        } else {
            READ_RETRY
        };
        self.platform_failed(now, retry, cause, out);
        self.platform.read_again = self.store.in_force().is_none();
    }

    fn manifest_read(&mut self, now: Time, value: &Value, out: &mut impl Extend<Action>) {
        self.platform.after = value.revision;
        match Manifest::parse(&value.body) {
            Ok(manifest) => self.handle_manifest(now, manifest, None, Selector::Newest, out),
            Err(e) => {
                let digest = Some(Digest::of(&value.body));
                if self.platform.malformed != digest {
                    self.platform.malformed = digest;
                    let reason = Reason::Manifest(e.to_string());
                    let revision = 0;
                    out.extend([Action::Refused { revision, reason }]);
                }
            }
        }
    }
}
