//! The configuration in force, and its transfer between nodes.

use std::sync::atomic::Ordering;
use std::sync::{Arc, MutexGuard, PoisonError};

use bytes::Bytes;
use exchange::config_transfer::{Message, Step, Transfer};
use exchange::route::Config;
use log::info;
use node::journal::DECISION;
use wire::{Revision, Vm};

use super::Hub;
use crate::datagram;
use crate::dialect::Dialect;

/// Peers that a node which has just started asks for their revision.
const QUERIED_PEERS: usize = 3;

impl<D: Dialect> Hub<D> {
    /// Tells whether a peer has told of a newer configuration.
    pub fn lacks_config(&self) -> bool {
        self.newest.load(Ordering::Relaxed) > self.revision()
    }

    /// Returns the revision of the configuration in force, or 0.
    pub fn revision(&self) -> Revision {
        let config = self.config.load();
        config.as_ref().map_or(0, |config| config.revision)
    }

    /// Puts a configuration in force, unless a newer one is. Returns whether it is news.
    pub fn adopt(&self, config: Config, document: Bytes, source: &'static str) -> bool {
        // Held until the end, so that of two configurations the newer one stays.
        let mut transfer = self.transfer();
        if self.revision() >= config.revision {
            return false;
        }
        let revision = config.revision;
        info!(target: DECISION, revision, routes = config.routes().len(), source; "config");
        self.metrics
            .revision
            .set(i64::try_from(revision).unwrap_or(i64::MAX));
        let now = self.clock.now();
        {
            let mut desk = self.desk();
            desk.fleet.configure(&config);
            desk.origins.routes_changed(now);
        }
        self.config.store(Some(Arc::new(config)));
        transfer.adopted(revision, document);
        let peers = self.peers.load();
        let others = peers.live.iter().filter(|vm| **vm != self.me.vm);
        let (others, offer) = transfer.offer_to(&self.me.vm, others.cloned());
        drop(transfer);
        for vm in &others {
            self.send_transfer(vm, offer.clone());
        }
        true
    }

    /// Tells whether a newer configuration arrives from a peer.
    pub fn receives_config(&self) -> bool {
        let now = self.clock.now();
        self.transfer().is_active(now)
    }

    /// Asks some peers for the revision of their configuration.
    pub fn query_config(&self) {
        let revision = self.revision();
        let peers = self.peers.load();
        let others = peers.live.iter().filter(|vm| **vm != self.me.vm);
        for vm in others.take(QUERIED_PEERS) {
            self.send_transfer(vm, Message::Query { revision });
        }
    }

    /// Tells whether a peer has told the revision of its configuration, and none has a newer one.
    pub fn has_newest_config(&self) -> bool {
        self.transfer().is_answered() && !self.lacks_config()
    }

    /// Takes over that `from` has a configuration of that revision.
    pub(super) fn take_revision(&self, from: &Vm, revision: Revision) {
        self.newest.fetch_max(revision, Ordering::Relaxed);
        let now = self.clock.now();
        let follows = self.transfer().announced(now, from, revision);
        if let Some(message) = follows {
            self.send_transfer(from, message);
        }
    }

    /// Takes in a message about a configuration.
    pub fn take_transfer(&self, from: &Vm, message: Message) {
        if let Message::Query { revision } | Message::Offer { revision } = &message {
            self.newest.fetch_max(*revision, Ordering::Relaxed);
        }
        let now = self.clock.now();
        let step = {
            let mut transfer = self.transfer();
            let step = transfer.receive(now, from, message);
            if transfer.has_requests() {
                self.parts_wanted.notify_one();
            }
            step
        };
        match step {
            Step::Reply(messages) => {
                for message in messages {
                    self.send_transfer(from, message);
                }
            }
            Step::Adopt(document) => match self.dialect.config(&document) {
                Ok(config) => {
                    self.adopt(config, document.into(), "peer");
                }
                Err(cause) => {
                    log::warn!(target: DECISION, peer:% = from, cause:%; "config-unreadable");
                }
            },
        }
    }

    /// Asks again for parts of a configuration that have not arrived.
    pub fn tick_transfer(&self) {
        let now = self.clock.now();
        let request = self.transfer().tick(now);
        if let Some((vm, message)) = request {
            self.send_transfer(&vm, message);
        }
    }

    fn take_part(&self) -> Option<(Vm, Message)> {
        let now = self.clock.now();
        self.transfer().take_part(now)
    }

    fn send_transfer(&self, vm: &Vm, message: Message) {
        if let Some(record) = self.peers.load().record(vm) {
            let message = datagram::Message::Config(message);
            self.post.send(&record.vm, record.peers, &message);
        }
    }

    fn transfer(&self) -> MutexGuard<'_, Transfer> {
        self.transfer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends parts of the configuration to the peers that ask for them, for as long as the process lives.
pub async fn send_parts<D: Dialect>(hub: Arc<Hub<D>>) {
    loop {
        hub.parts_wanted.notified().await;
        while let Some((vm, part)) = hub.take_part() {
            let address = hub.peers.load().record(&vm).map(|record| record.peers);
            if let Some(address) = address {
                let message = datagram::Message::Config(part);
                hub.post.send_bulk(&vm, address, &message).await;
            }
        }
    }
}
