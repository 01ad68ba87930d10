//! Reference implementations: a naive one to compare with, and faulty ones that the checks must
//! detect.
#![allow(dead_code, missing_docs)]

use std::sync::Arc;
use std::time::Duration;

use confsync::{Action, Event, Manifest, PartContent, Replicator, Value};
use wire::{Incarnation, Machine, Time, Zone};

use super::{KEY, TestReplicator};

const POLL: Duration = Duration::from_secs(1);

/// Polls the platform and accepts any revision it returns; does not use peers.
pub struct Naive {
    next: Time,
    manifest: Option<Manifest>,
    parts: Vec<Option<PartContent>>,
    in_force: u64,
}

impl TestReplicator for Naive {
    fn create(_: Incarnation, _: Zone, _: u64) -> Self {
        Self {
            next: Time::ZERO,
            manifest: None,
            parts: Vec::new(),
            in_force: 0,
        }
    }
}

impl Naive {
    fn manifest(&mut self, manifest: Manifest, out: &mut impl Extend<Action>) {
        let keys = manifest.parts.iter().map(|part| part.key.clone());
        if manifest.revision != self.in_force {
            out.extend(keys.map(|key| Action::Read { key }));
        }
        self.parts = vec![None; manifest.parts.len()];
        self.manifest = Some(manifest);
    }

    fn part(&mut self, key: Arc<str>, bytes: bytes::Bytes, out: &mut impl Extend<Action>) {
        let Some(manifest) = &self.manifest else {
            return;
        };
        let index = manifest.parts.iter().position(|part| part.key == key);
        let Some(index) = index else { return };
        if confsync::Digest::of(&bytes) == manifest.parts[index].digest {
            self.parts[index] = Some(PartContent { key, bytes });
        }
        if self.parts.iter().all(Option::is_some) {
            let revision = manifest.revision;
            let parts = self.parts.iter().flatten().cloned().collect();
            out.extend([Action::Check { revision, parts }]);
            self.manifest = None;
        }
    }
}

impl Machine for Naive {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        match event {
            Event::ReadDone { key, value } if *key == *KEY => {
                if let Ok(manifest) = Manifest::parse(&value.body) {
                    self.manifest(manifest, out);
                }
            }
            Event::ReadDone { key, value } => self.part(key, value.body, out),
            Event::Checked { revision, result } if result.is_ok() => {
                self.in_force = revision;
                let parts = self.parts.iter().flatten().cloned().collect();
                out.extend([Action::Adopt { revision, parts }, Action::Ready]);
            }
            _ => {}
        }
        if now >= self.next {
            self.next = now + POLL;
            out.extend([Action::Read { key: KEY.into() }]);
        }
    }

    fn wake(&self) -> Option<Time> {
        Some(self.next)
    }
}

/// Discards its state when the platform returns an older revision.
pub struct StateDiscarding {
    inner: Replicator,
    create_args: (Incarnation, Zone, u64),
    view: wire::View,
}

impl TestReplicator for StateDiscarding {
    fn create(me: Incarnation, zone: Zone, seed: u64) -> Self {
        Self {
            inner: Replicator::create(me.clone(), zone.clone(), seed),
            create_args: (me, zone, seed),
            view: wire::View::default(),
        }
    }
}

impl Machine for StateDiscarding {
    type Event = Event;
    type Action = Action;

    fn step(&mut self, now: Time, event: Event, out: &mut impl Extend<Action>) {
        if let Event::View(view) = &event {
            self.view = view.clone();
        }
        let newest = self.inner.newest().map_or(0, |id| id.revision);
        let older = |value: &Value| {
            Manifest::parse(&value.body).is_ok_and(|manifest| manifest.revision < newest)
        };
        let answer = match &event {
            Event::ReadDone { value, .. } => Some(value),
            Event::Watched { value } => value.as_ref(),
            _ => None,
        };
        if answer.is_some_and(older) {
            let (me, zone, seed) = self.create_args.clone();
            self.inner = Replicator::create(me, zone, seed);
            self.inner.step(now, Event::View(self.view.clone()), out);
        }
        self.inner.step(now, event, out);
    }

    fn wake(&self) -> Option<Time> {
        self.inner.wake()
    }
}
