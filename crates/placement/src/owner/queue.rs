//! Models that wait to be loaded on one upstream, with those who wait for them.

use wire::{Incarnation, Model, Priority, Time};

use crate::budget::LoadDemand;
use crate::event::WeightsPath;
use crate::message::{LeaseRequest, RequestNumber};
use crate::settings::Settings;

/// One holder that waits for a model.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiter {
    /// The holder.
    pub holder: Incarnation,
    /// Its last ask.
    pub number: RequestNumber,
    /// Highest priority among its requests.
    pub priority: Priority,
    /// Its requests that wait.
    pub waiting: u32,
    /// Time at which its oldest request began to wait, here or elsewhere.
    pub since: Time,
    /// Time at which it first asked here with its present priority.
    pub enqueued_at: Time,
    /// Time after which it waits no more.
    pub until: Time,
}

/// One model that waits for a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The model.
    pub model: Model,
    /// Where its weights are.
    pub path: WeightsPath,
    /// Who waits, never empty.
    pub waiters: Vec<Waiter>,
}

impl Entry {
    /// Sums its waiters up.
    pub fn want(&self) -> LoadDemand {
        let priority = self.waiters.iter().map(|waiter| waiter.priority).min();
        let waiting = self.waiters.iter().map(|waiter| waiter.waiting).sum();
        let since = self.waiters.iter().map(|waiter| waiter.since).min();
        LoadDemand {
            priority,
            waiting,
            since: since.unwrap_or_default(),
        }
    }

    /// Returns the time at which the first of its waiters asked here.
    pub fn asked(&self) -> Time {
        let asked = self.waiters.iter().map(|waiter| waiter.enqueued_at).min();
        asked.unwrap_or_default()
    }

    /// Tells whether the load may begin, or has to wait for further requests.
    pub fn ripe(&self, now: Time, settings: &Settings) -> bool {
        let want = self.want();
        want.priority == Some(Priority::Urgent) || now >= want.since + settings.gather
    }
}

/// The load queue of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    entries: Vec<Entry>,
}

impl Queue {
    /// Returns every entry.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Tells whether somebody waits for `model`.
    pub fn contains(&self, model: &Model) -> bool {
        self.entries.iter().any(|entry| entry.model == *model)
    }

    /// Adds or renews a waiter; returns the requests that it adds.
    pub fn push(
        &mut self,
        now: Time,
        from: &Incarnation,
        ask: &LeaseRequest,
        path: WeightsPath,
    ) -> u32 {
        let waiter = Waiter {
            holder: from.clone(),
            number: ask.number,
            priority: ask.priority,
            waiting: ask.waiting,
            since: now.saturating_sub(ask.age),
            enqueued_at: now,
            until: now + ask.remaining,
        };
        let Some(entry) = self.entries.iter_mut().find(|e| e.model == ask.model) else {
            self.entries.push(Entry {
                model: ask.model.clone(),
                path,
                waiters: vec![waiter],
            });
            return ask.waiting;
        };
        let Some(old) = entry.waiters.iter_mut().find(|w| w.holder == *from) else {
            entry.waiters.push(waiter);
            return ask.waiting;
        };
        if old.number >= ask.number {
            return 0;
        }
        let added = ask.waiting.saturating_sub(old.waiting);
        let raised = ask.priority < old.priority;
        *old = Waiter {
            enqueued_at: if raised { now } else { old.enqueued_at },
            ..waiter
        };
        added
    }

    /// Takes a waiter off, unless it has asked again since `number`.
    pub fn withdraw(&mut self, model: &Model, from: &Incarnation, number: RequestNumber) {
        for entry in self.entries.iter_mut().filter(|e| e.model == *model) {
            entry
                .waiters
                .retain(|waiter| waiter.holder != *from || waiter.number > number);
        }
        self.tidy();
    }

    /// Takes `model` off and returns its entry.
    pub fn take(&mut self, model: &Model) -> Option<Entry> {
        let index = self.entries.iter().position(|e| e.model == *model)?;
        Some(self.entries.swap_remove(index))
    }

    /// Takes off those whose time is up.
    pub fn expire(&mut self, now: Time) {
        for entry in &mut self.entries {
            entry.waiters.retain(|waiter| waiter.until > now);
        }
        self.tidy();
    }

    fn tidy(&mut self) {
        self.entries.retain(|entry| !entry.waiters.is_empty());
    }

    /// Returns the entry to load next among those that may begin.
    pub fn best(&self, now: Time, settings: &Settings) -> Option<&Entry> {
        let ripe = self.entries.iter().filter(|e| e.ripe(now, settings));
        ripe.min_by(|a, b| {
            let (a, b) = (a.want(), b.want());
            let (a, b) = (a.sort_key(now, settings), b.sort_key(now, settings));
            a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal)
        })
    }

    /// Returns the entries that would be loaded before a new one of `priority`.
    pub fn ahead(&self, priority: Priority) -> usize {
        let before = |e: &&Entry| e.want().priority.is_some_and(|other| other <= priority);
        self.entries.iter().filter(before).count()
    }
}
