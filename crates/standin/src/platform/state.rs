//! What the platform's stand-in holds and serves.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use ::platform::{List, Member, Value};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;
use wire::Revision;

use crate::lock;

/// How the platform behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    /// Serves what was published last.
    #[default]
    Normal,
    /// Serves what was there when the mode began.
    Stale,
    /// Closes each connection without an answer.
    Down,
    /// Takes requests and never answers.
    Hang,
}

/// Calls counted; a waiting watch is one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of a value.
    pub reads: u64,
    /// Watches of a value.
    pub watches: u64,
    /// Reads of the VM list.
    pub members: u64,
    /// Most calls begun within one second.
    pub peak_per_second: u64,
}

/// A kind of call.
#[derive(Clone, Copy, Debug)]
pub(super) enum Counted {
    Read,
    Watch,
    Members,
}

type Values = BTreeMap<String, Value>;

#[derive(Debug)]
struct Inner {
    mode: Mode,
    values: Values,
    /// What the stale mode serves.
    snapshot: Values,
    revision: Revision,
    lag: Duration,
    /// Lists with the time from which each shows, oldest first.
    lists: Vec<(Instant, List)>,
    calls: Calls,
    second: (u64, u64),
}

/// State of the platform's stand-in.
#[derive(Debug)]
pub struct State {
    inner: Mutex<Inner>,
    changes: watch::Sender<u64>,
    origin: Instant,
}

impl State {
    pub(super) fn new(lag: Duration) -> Self {
        let origin = Instant::now();
        Self {
            inner: Mutex::new(Inner {
                mode: Mode::Normal,
                values: Values::new(),
                snapshot: Values::new(),
                revision: 0,
                lag,
                lists: vec![(origin, List::default())],
                calls: Calls::default(),
                second: (0, 0),
            }),
            changes: watch::Sender::new(0),
            origin,
        }
    }

    /// Returns the mode.
    pub fn mode(&self) -> Mode {
        lock(&self.inner).mode
    }

    /// Sets the mode; the stale one keeps serving what is published now.
    pub fn set_mode(&self, mode: Mode) {
        let mut inner = lock(&self.inner);
        if mode == Mode::Stale {
            inner.snapshot = inner.values.clone();
        }
        inner.mode = mode;
        drop(inner);
        self.wake();
    }

    /// Publishes a value and returns its revision, one above the highest unless it is given.
    pub fn publish(
        &self,
        key: impl Into<String>,
        body: impl Into<Bytes>,
        revision: Option<Revision>,
    ) -> Revision {
        let mut inner = lock(&self.inner);
        let revision = revision.unwrap_or(inner.revision + 1);
        inner.revision = inner.revision.max(revision);
        let body = body.into();
        inner.values.insert(key.into(), Value { revision, body });
        drop(inner);
        self.wake();
        revision
    }

    /// Removes a value.
    pub fn remove(&self, key: &str) {
        lock(&self.inner).values.remove(key);
    }

    /// Returns the value of `key` as the mode shows it.
    pub fn value(&self, key: &str) -> Option<Value> {
        let inner = lock(&self.inner);
        let values = match inner.mode {
            Mode::Stale => &inner.snapshot,
            Mode::Normal | Mode::Down | Mode::Hang => &inner.values,
        };
        values.get(key).cloned()
    }

    /// Waits for a value of `key` with a revision above `after`.
    pub async fn newer(&self, key: &str, after: Revision) -> Value {
        let mut changes = self.changes.subscribe();
        loop {
            if let Some(value) = self.value(key).filter(|value| value.revision > after) {
                return value;
            }
            if changes.changed().await.is_err() {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Sets the time until a change of the VM list shows.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.inner).lag = lag;
    }

    /// Replaces the VM list; it shows after the lag.
    pub fn set_members(&self, members: impl IntoIterator<Item = Member>) {
        self.change_members(|list| *list = members.into_iter().collect());
    }

    /// Adds VMs to the list, or replaces those with the same id.
    pub fn merge_members(&self, members: impl IntoIterator<Item = Member>) {
        self.change_members(|list| {
            for member in members {
                list.retain(|known| known.vm != member.vm);
                list.push(member);
            }
        });
    }

    /// Removes a VM from the list.
    pub fn remove_member(&self, vm: &str) {
        self.change_members(|list| list.retain(|known| &*known.vm != vm));
    }

    /// Returns the VM list as it shows now.
    pub fn members(&self) -> List {
        let now = Instant::now();
        let inner = lock(&self.inner);
        let shown = inner.lists.iter().rfind(|(from, _)| *from <= now);
        shown.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Returns the calls counted so far.
    pub fn calls(&self) -> Calls {
        lock(&self.inner).calls
    }

    pub(super) fn count(&self, call: Counted) {
        let second = self.origin.elapsed().as_secs();
        let mut inner = lock(&self.inner);
        match call {
            Counted::Read => inner.calls.reads += 1,
            Counted::Watch => inner.calls.watches += 1,
            Counted::Members => inner.calls.members += 1,
        }
        if inner.second.0 != second {
            inner.second = (second, 0);
        }
        inner.second.1 += 1;
        inner.calls.peak_per_second = inner.calls.peak_per_second.max(inner.second.1);
    }

    fn change_members(&self, change: impl FnOnce(&mut Vec<Member>)) {
        let mut inner = lock(&self.inner);
        let mut list = inner
            .lists
            .last()
            .map(|(_, list)| list.clone())
            .unwrap_or_default();
        change(&mut list.members);
        list.members.sort_by(|a, b| a.vm.cmp(&b.vm));
        list.revision = Some(list.revision.unwrap_or(0) + 1);
        let now = Instant::now();
        // Of the lists that show already only the newest is needed.
        let shown = inner.lists.iter().filter(|(from, _)| *from <= now).count();
        inner.lists.drain(..shown.saturating_sub(1));
        let from = now + inner.lag;
        inner.lists.push((from, list));
    }

    fn wake(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }
}
