//! What readers of the platform tell, and what follows from it.

use std::net::SocketAddr;
use std::time::Duration;

use dispatch::culprit;
use exchange::Fleet;
use exchange::demand::Target;
use exchange::fleet::{self, Listing, Version};
use exchange::history::Era;
use exchange::platform_reader::{self, ReaderUpdate};
use log::info;
use node::journal::DECISION;
use wire::machine::millis;
use wire::{Time, Upstream, Vm};

use super::Hub;
use super::aftermath::Absence;
use crate::datagram::Message;
use crate::dialect::Dialect;

/// Changes in one pulse: about 2,000 bytes, which one datagram carries.
const PULSE_CHANGES: usize = 12;

impl<D: Dialect> Hub<D> {
    /// Tells the other nodes what this one has read, where that is its part.
    pub fn pulse(&self, changes: Vec<platform_reader::PlatformChange>) {
        let age = self.store_age();
        if age < platform_reader::FRESH_AGE_MAX {
            self.tell(age, changes);
        }
    }

    /// Tells the other nodes that this one has lost the platform.
    pub fn pulse_lost(&self) {
        self.tell(Duration::MAX, Vec::new());
    }

    fn tell(&self, age: Duration, changes: Vec<platform_reader::PlatformChange>) {
        let now = self.clock.now();
        let config = self.revision();
        let (tells, era, digest) = {
            let desk = self.desk();
            let tells = desk.mirror.is_publisher() && desk.mirror.is_reader(now);
            (tells, desk.history.current(), desk.fleet.digest())
        };
        let Some(era) = era.filter(|_| tells && config != 0) else {
            return;
        };
        let message = |changes| {
            Message::Update(ReaderUpdate {
                era,
                age: millis(age),
                config,
                digest,
                changes,
            })
        };
        let peers = self.peers.load();
        let others = peers.live.iter().filter(|vm| **vm != self.me.vm);
        let others = others.filter_map(|vm| peers.record(vm));
        if changes.is_empty() {
            let message = message(Vec::new());
            others.for_each(|record| {
                self.post.send(&record.vm, record.peers, &message);
            });
            return;
        }
        let recipients: Vec<(Vm, SocketAddr)> = others
            .map(|record| (record.vm.clone(), record.peers))
            .collect();
        let parts = changes.chunks(PULSE_CHANGES).map(<[_]>::to_vec);
        let messages: Vec<Message> = parts.map(message).collect();
        let post = self.post.clone();
        tokio::spawn(async move {
            for message in &messages {
                for (vm, address) in &recipients {
                    post.send_bulk(vm, *address, message).await;
                }
            }
        });
    }

    /// Takes over what a reader tells. What it knows of an era that has ended is out of date.
    pub fn take_update(&self, from: &Vm, update: ReaderUpdate) {
        let now = self.clock.now();
        self.take_revision(from, update.config);
        if !self.follow_era(now, update.era) {
            return;
        }
        let age = Duration::from_millis(update.age.into());
        let fresh = age < platform_reader::FRESH_AGE_MAX;
        if fresh {
            self.record_store_answer(age, "peer");
        }
        self.desk().mirror.update_received(now, age);
        for change in update.changes {
            match change {
                platform_reader::PlatformChange::Listed(listing) => {
                    self.take_listing(listing, Fleet::apply_summary);
                }
                platform_reader::PlatformChange::Delisted(id) => {
                    self.delist(&id, "peer");
                }
                platform_reader::PlatformChange::Version(target, version) => {
                    self.announce(target, version);
                }
            }
        }
        let mut desk = self.desk();
        if fresh {
            let same = desk.fleet.digest() == update.digest;
            desk.mirror.set_in_sync(now, same);
        }
        drop(desk);
        if self.lacks_config() {
            self.news.notify_one();
        }
    }

    /// Takes over the era that a reader follows. Returns whether it is the latest one.
    fn follow_era(&self, now: Time, era: Era) -> bool {
        let mut desk = self.desk();
        if desk.history.begin(now, era) {
            info!(target: DECISION, era, source = "peer"; "platform-era");
            // This node's own cursor is of an era that has ended.
            self.news.notify_one();
        }
        desk.history.current() == Some(era)
    }

    /// Takes a listing over by `take`. Returns whether the upstream's absence was held back.
    pub fn take_listing(
        &self,
        listing: Listing,
        take: impl FnOnce(&mut Fleet, Time, Listing) -> fleet::ListingChange,
    ) -> bool {
        let now = self.clock.now();
        let (id, release) = (listing.id.clone(), listing.release);
        let (change, was_absent) = {
            let mut desk = self.desk();
            let was_absent = desk.aftermath.present(&id);
            let change = take(&mut desk.fleet, now, listing);
            if let (fleet::ListingChange::Appeared, Some(config)) = (change, &*self.config.load()) {
                desk.fleet.configure_upstream(&id, config);
            }
            (change, was_absent)
        };
        if change != fleet::ListingChange::Same {
            info!(target: DECISION, upstream:% = id, change:?, release; "upstream");
        }
        if change == fleet::ListingChange::Restarted {
            self.unlink(&id);
            self.track(culprit::Event::Restarted { upstream: id });
        }
        was_absent
    }

    /// Takes over that an upstream has no entry any more, as `source` tells. Returns whether it was known
    /// and is forgotten now.
    pub fn delist(&self, id: &Upstream, source: &'static str) -> bool {
        let now = self.clock.now();
        let absence = self.desk().aftermath.absent(now, id);
        match absence {
            Absence::Believed => return self.forget(id, source),
            Absence::Held(until) => {
                let held_ms = until.saturating_sub(now).as_millis() as u64;
                info!(target: DECISION, upstream:% = id, source, held_ms; "upstream-absent");
            }
            Absence::Known => {}
        }
        false
    }

    /// Forgets the upstreams whose absence was held back for long enough. Returns those that were known.
    pub fn forget_absent(&self) -> Vec<Upstream> {
        let now = self.clock.now();
        let mut due = self.desk().aftermath.take_absent(now);
        due.retain(|id| self.forget(id, "held"));
        due
    }

    /// Forgets an upstream that is gone, as `source` tells. Returns whether it was known.
    fn forget(&self, id: &Upstream, source: &'static str) -> bool {
        let (known, leaves) = {
            let mut desk = self.desk();
            let upstream = desk.fleet.upstream(id);
            let leaves = upstream.is_some_and(|upstream| !upstream.is_eligible());
            (desk.fleet.remove(id), leaves)
        };
        if !known {
            return false;
        }
        self.unlink(id);
        info!(target: DECISION, upstream:% = id, source; "upstream-gone");
        if !leaves {
            self.track(culprit::Event::Gone {
                upstream: id.clone(),
            });
        }
        true
    }

    /// Takes over that an adapter has a new version.
    pub fn announce(&self, target: Target, version: Version) {
        if self.desk().fleet.announce_version(target.clone(), version) {
            info!(target: DECISION, model:% = target, version; "version");
        }
    }
}
