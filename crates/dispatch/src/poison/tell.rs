//! Which nodes are told of charges.

use wire::{Incarnation, Time, View, Vm, rank};

use super::{Action, CrashReport, Fingerprint, KEEPERS, Message, PoisonDetector};

/// Times that a node tells a charge of its own.
const TELLINGS: u8 = 3;

impl PoisonDetector {
    /// Returns the nodes that keep the charges of a fingerprint.
    fn keepers(view: &View, fingerprint: Fingerprint) -> Vec<&Vm> {
        let live = view.live().map(|peer| &peer.incarnation.vm);
        rank::top(rank::hash(fingerprint.to_le_bytes()), live, KEEPERS)
    }

    /// Tells whether every node is told of a fingerprint's charges.
    fn concerns_all(&self, fingerprint: Fingerprint) -> bool {
        self.book.open(fingerprint).len() >= self.config.told
    }

    /// Returns the other nodes that are told of a fingerprint's charges.
    pub(super) fn audience(&self, fingerprint: Fingerprint) -> Vec<Vm> {
        let told: Vec<&Vm> = if self.concerns_all(fingerprint) {
            let peers = self.view.peers().iter();
            peers.map(|peer| &peer.incarnation.vm).collect()
        } else {
            Self::keepers(&self.view, fingerprint)
        };
        let others = told.into_iter().filter(|vm| **vm != self.me.vm);
        others.cloned().collect()
    }

    /// Tells what is held against a fingerprint.
    pub(super) fn tell(&self, now: Time, fingerprint: Fingerprint, out: &mut Vec<Action>) {
        for to in self.audience(fingerprint) {
            out.extend(
                self.book
                    .charges(now, fingerprint)
                    .map(|charge| Action::Send {
                        to: to.clone(),
                        message: Message::Charge(charge),
                    }),
            );
        }
    }

    /// Takes over what another node tells; a keeper passes on what everybody has to know.
    pub(super) fn take_charge(&mut self, now: Time, charge: CrashReport, out: &mut Vec<Action>) {
        let fingerprint = charge.fingerprint;
        let news = self.charge(now, charge, out);
        let keeps = Self::keepers(&self.view, fingerprint).contains(&&self.me.vm);
        // Where the first charge goes to all nodes, its witness tells them.
        let passes = self.config.told > 1 && self.concerns_all(fingerprint);
        if news && keeps && passes {
            self.tell(now, fingerprint, out);
        }
    }

    /// Tells this node's own charges again, since messages are lost.
    pub(super) fn tell_again(&mut self, now: Time, out: &mut Vec<Action>) {
        let resend = self.config.resend;
        let mut due = Vec::new();
        for (charge, times, at) in &mut self.telling {
            if now >= *at + resend {
                *times += 1;
                charge.age += now - *at;
                *at = now;
                due.push(charge.clone());
            }
        }
        self.telling.retain(|(_, times, _)| *times < TELLINGS);
        for charge in due {
            for to in self.audience(charge.fingerprint) {
                let message = Message::Charge(charge.clone());
                out.push(Action::Send { to, message });
            }
        }
    }

    /// Tells a node that is new what it has to know of the charges that this one has seen or keeps.
    pub(super) fn take_view(&mut self, now: Time, view: View, out: &mut Vec<Action>) {
        let peers = view.peers().iter().map(|p| &p.incarnation);
        let new = peers.filter(|i| **i != self.me && !self.view.knows(i));
        let new: Vec<Incarnation> = new.cloned().collect();
        self.view = view;
        for incarnation in new {
            let charges = self.book.all(now);
            let due = charges.filter(|charge| self.owes(&incarnation.vm, charge));
            out.extend(due.map(|charge| Action::Send {
                to: incarnation.vm.clone(),
                message: Message::Charge(charge),
            }));
        }
    }

    /// Tells whether this node has to tell `vm` of a charge.
    fn owes(&self, vm: &Vm, charge: &CrashReport) -> bool {
        let keepers = Self::keepers(&self.view, charge.fingerprint);
        let knows = charge.id.reporter == self.me || keepers.contains(&&self.me.vm);
        knows && (self.concerns_all(charge.fingerprint) || keepers.contains(&vm))
    }
}
