//! The witness: votes, voids, answers and recovery pages.

use wire::{Incarnation, Time};

use super::{Action, Participant};
use crate::key::{Digest, Key};
use crate::ledger::CallRecord;
use crate::message::{Claim, Message, Verdict};

impl Participant {
    pub(super) fn receive_witness(
        &mut self,
        now: Time,
        from: &Incarnation,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Ask {
                set,
                claim,
                key,
                body,
                over,
            } if claim.executor == *from => {
                if set != self.id {
                    return self.send_set(from, out);
                }
                let verdict = self.judge(now, &claim, key, body, &over);
                let reply = Message::Vote {
                    set,
                    voter: self.me.clone(),
                    claim,
                    key,
                    verdict,
                };
                self.send(&from.vm, reply, out);
            }
            Message::Void {
                set,
                claim,
                round,
                key,
                body,
            } if claim.executor == *from => {
                if set != self.id {
                    return self.send_set(from, out);
                }
                if self.record_void(now, &claim, key, body) {
                    let reply = Message::Voided {
                        set,
                        voter: self.me.clone(),
                        claim,
                        round,
                        key,
                    };
                    self.send(&from.vm, reply, out);
                }
            }
            Message::Release { claim, key } if claim.executor == *from => {
                self.ledger.release(&key, &claim);
            }
            Message::Store {
                claim,
                key,
                body,
                record,
            } if claim.executor == *from => {
                self.record_answer(now, key, body, record);
                self.send(&from.vm, Message::Stored { claim, key }, out);
            }
            Message::Recover { set, after } => {
                if set != self.id {
                    return self.send_set(from, out);
                }
                self.send_page(now, from, after, out);
            }
            _ => {}
        }
    }

    fn send_set(&mut self, to: &Incarnation, out: &mut Vec<Action>) {
        let set = self.set.clone();
        self.send(&to.vm, Message::Sync { set }, out);
    }

    /// Votes on a claim at exactly this node's set.
    fn judge(
        &mut self,
        now: Time,
        claim: &Claim,
        key: Key,
        body: Digest,
        over: &[Claim],
    ) -> Verdict {
        if let Some(verdict) = self.ended(&key) {
            return verdict;
        }
        if !self.holder {
            return Verdict::Fresh;
        }
        match key.ticket() {
            Some(lineage) if lineage == self.set.lineage() => {}
            Some(_) => return Verdict::Foreign,
            None if now < self.quarantine => {
                let left = self.quarantine - now;
                return Verdict::Quarantined { left };
            }
            None if self.listed.is_none_or(|at| now - at > self.config.fence) => {
                return Verdict::Fenced;
            }
            None => {}
        }
        let expires = now + self.config.keep();
        let new = self
            .ledger
            .get(&key)
            .is_none_or(|entry| entry.claims != [claim.clone()]);
        let kept = if new { expires } else { Time::ZERO };
        let entry = self.ledger.entry(key, body, kept);
        entry
            .claims
            .retain(|held| held == claim || !over.contains(held));
        let free = entry.claims.iter().all(|held| held == claim);
        if entry.body != body || !free {
            return Verdict::Held {
                claims: entry.claims.clone(),
                body: entry.body,
            };
        }
        entry.claims = vec![claim.clone()];
        let void = entry.void.map(|at| now.saturating_sub(at));
        Verdict::Granted { void }
    }

    fn ended(&self, key: &Key) -> Option<Verdict> {
        let entry = self.ledger.get(key)?;
        let record = entry.record.clone()?;
        let body = entry.body;
        Some(Verdict::Ended { record, body })
    }

    /// Records `key` as void and `claim` as given up. Only a witness that holds no other claim
    /// may confirm it: a vote that it gave another one before would not show the void.
    fn record_void(&mut self, now: Time, claim: &Claim, key: Key, body: Digest) -> bool {
        if !self.holder {
            return false;
        }
        let entry = self.ledger.entry(key, body, now + self.config.keep());
        if entry.record.is_some() || entry.claims.iter().any(|held| held != claim) {
            return false;
        }
        entry.claims.clear();
        entry.void = Some(now);
        true
    }

    /// Keeps the first answer of a key.
    pub(super) fn record_answer(&mut self, now: Time, key: Key, body: Digest, record: CallRecord) {
        let expires = now + self.config.keep();
        if self
            .ledger
            .get(&key)
            .is_some_and(|entry| entry.record.is_some())
        {
            return;
        }
        let entry = self.ledger.entry(key, body, expires);
        entry.body = body;
        entry.record = Some(record);
    }

    fn send_page(
        &mut self,
        now: Time,
        to: &Incarnation,
        after: Option<Key>,
        out: &mut Vec<Action>,
    ) {
        if !self.holder {
            return;
        }
        let message = Message::Page {
            set: self.id,
            voter: self.me.clone(),
            after,
            quarantine: self.quarantine.saturating_sub(now),
            page: self.ledger.page(now, after),
        };
        self.send(&to.vm, message, out);
    }
}
