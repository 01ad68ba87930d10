//! Load queue of one upstream: the models that wait to be loaded and the holders that wait for
//! them.

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
    /// Number of its last lease request.
    pub number: RequestNumber,
    /// Highest priority among its waiting requests.
    pub priority: Priority,
    /// Number of its waiting requests.
    pub waiting: u32,
    /// Time at which its oldest request began to wait, on this upstream or an earlier one.
    pub since: Time,
    /// Time at which it entered this queue with its current priority.
    pub enqueued_at: Time,
    /// Time at which it stops waiting.
    pub until: Time,
}

/// One model that waits for a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// The model.
    pub model: Model,
    /// Path of its weights.
    pub path: WeightsPath,
    /// Holders that wait for it; never empty.
    pub waiters: Vec<Waiter>,
}

impl Entry {
    /// Returns the combined demand of its waiters.
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

    /// Returns the time at which the first of its waiters entered the queue.
    pub fn first_enqueued_at(&self) -> Time {
        let first = self.waiters.iter().map(|waiter| waiter.enqueued_at).min();
        first.unwrap_or_default()
    }

    /// Returns whether the load may start, or is still delayed to gather more requests.
    pub fn may_load(&self, now: Time, settings: &Settings) -> bool {
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
    /// Returns all entries, in no particular order.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Returns whether any holder waits for `model`.
    pub fn contains(&self, model: &Model) -> bool {
        self.entries.iter().any(|entry| entry.model == *model)
    }

    /// Adds or updates a waiter. Returns the number of requests that this adds to the queue.
    pub fn upsert(
        &mut self,
        now: Time,
        from: &Incarnation,
        request: &LeaseRequest,
        path: WeightsPath,
    ) -> u32 {
        let waiter = Waiter {
            holder: from.clone(),
            number: request.number,
            priority: request.priority,
            waiting: request.waiting,
            since: now.saturating_sub(request.age),
            enqueued_at: now,
            until: now + request.remaining,
        };
        let Some(entry) = self.entries.iter_mut().find(|e| e.model == request.model) else {
            self.entries.push(Entry {
                model: request.model.clone(),
                path,
                waiters: vec![waiter],
            });
            return request.waiting;
        };
        let Some(old) = entry.waiters.iter_mut().find(|w| w.holder == *from) else {
            entry.waiters.push(waiter);
            return request.waiting;
        };
        if old.number >= request.number {
            return 0;
        }
        let added = request.waiting.saturating_sub(old.waiting);
        let raised = request.priority < old.priority;
        *old = Waiter {
            enqueued_at: if raised { now } else { old.enqueued_at },
            ..waiter
        };
        added
    }

    /// Removes a waiter, unless its last lease request is newer than `number`.
    pub fn withdraw(&mut self, model: &Model, from: &Incarnation, number: RequestNumber) {
        for entry in self.entries.iter_mut().filter(|e| e.model == *model) {
            entry
                .waiters
                .retain(|waiter| waiter.holder != *from || waiter.number > number);
        }
        self.remove_empty();
    }

    /// Removes `model` and returns its entry.
    pub fn remove(&mut self, model: &Model) -> Option<Entry> {
        let index = self.entries.iter().position(|e| e.model == *model)?;
        Some(self.entries.swap_remove(index))
    }

    /// Removes waiters that have waited until their time limit.
    pub fn expire(&mut self, now: Time) {
        for entry in &mut self.entries {
            entry.waiters.retain(|waiter| waiter.until > now);
        }
        self.remove_empty();
    }

    fn remove_empty(&mut self) {
        self.entries.retain(|entry| !entry.waiters.is_empty());
    }

    /// Returns the entry to load next, among those whose load may start.
    pub fn next(&self, now: Time, settings: &Settings) -> Option<&Entry> {
        let ready = self.entries.iter().filter(|e| e.may_load(now, settings));
        ready.min_by(|a, b| {
            let (a, b) = (a.want(), b.want());
            let (a, b) = (a.sort_key(now, settings), b.sort_key(now, settings));
            a.partial_cmp(&b).unwrap_or(std::cmp::Ordering::Equal)
        })
    }

    /// Returns the number of entries that would be loaded before a new one of `priority`.
    pub fn count_ahead(&self, priority: Priority) -> usize {
        let ahead = |e: &&Entry| e.want().priority.is_some_and(|other| other <= priority);
        self.entries.iter().filter(ahead).count()
    }
}
