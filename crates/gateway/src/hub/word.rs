//! What upstreams say of themselves in their answers.

use exchange::fleet::Listing;
use log::info;
use node::journal::DECISION;
use serde::{Deserialize, Serialize};
use wire::Upstream;

use super::Hub;
use crate::datagram::Message;
use crate::dialect::{Dialect, Word};

/// A process that has said that it leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaver {
    /// The upstream.
    pub upstream: Upstream,
    /// Start of its process, as its listing gives it.
    pub born: Option<u64>,
}

impl<D: Dialect> Hub<D> {
    /// Takes over what an answer says of its upstream.
    pub fn take_word(&self, upstream: &Upstream, word: Word) {
        if word.leaving {
            let born = self.listed(upstream, |listing| listing.born).flatten();
            let leaver = Leaver {
                upstream: upstream.clone(),
                born,
            };
            if self.see_off(&leaver, "answer") {
                self.pass_on(&leaver);
            }
        }
        if word.rate.is_some() {
            self.record_rate(upstream, self.clock.now(), word.rate);
        }
        if word.tolerance.is_some() {
            self.record_brittleness(upstream, self.clock.now(), word.tolerance);
        }
        if let Some(pause) = word.pause {
            let now = self.clock.now();
            self.desk().fleet.set_pause(now, upstream, pause);
            info!(target: DECISION, upstream:%, pause_ms = pause.as_millis() as u64; "pause");
        }
    }

    /// Takes over that another node was told that an upstream leaves.
    pub fn take_leaver(&self, leaver: &Leaver) {
        let born = self.listed(&leaver.upstream, |listing| listing.born);
        if born == Some(leaver.born) {
            self.see_off(leaver, "peer");
        }
    }

    /// Tells whether an upstream takes requests now.
    pub fn takes(&self, upstream: &str) -> bool {
        let now = self.clock.now();
        let desk = self.desk();
        let known = desk.fleet.upstream(upstream);
        known.is_some_and(|runner| runner.accepts_requests(now))
    }

    pub(super) fn listed<T>(&self, upstream: &str, read: impl FnOnce(&Listing) -> T) -> Option<T> {
        let desk = self.desk();
        let known = desk.fleet.upstream(upstream);
        known.map(|runner| read(&runner.listing))
    }

    /// Sends nothing more to a process that leaves. Returns whether that is news.
    fn see_off(&self, leaver: &Leaver, source: &'static str) -> bool {
        let news = self.desk().fleet.mark_leaving(&leaver.upstream);
        if news {
            info!(target: DECISION, upstream:% = leaver.upstream, source; "leaves");
            self.unlink(&leaver.upstream);
        }
        news
    }

    fn pass_on(&self, leaver: &Leaver) {
        let peers = self.peers.load();
        let message = Message::Leaver(leaver.clone());
        let others = peers.live.iter().filter(|vm| **vm != self.me.vm);
        for record in others.filter_map(|vm| peers.record(vm)) {
            self.post.send(&record.vm, record.peers, &message);
        }
    }
}
