//! The role of a witness: votes, voids, call records and recovery pages.

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
            Message::RequestVote {
                set_id,
                claim,
                key,
                body,
                abandoned,
            } if claim.executor == *from => {
                if set_id != self.set_id {
                    return self.send_set(from, out);
                }
                let verdict = self.decide_vote(now, &claim, key, body, &abandoned);
                let reply = Message::Vote {
                    set_id,
                    voter: self.me.clone(),
                    claim,
                    key,
                    verdict,
                };
                self.send(&from.vm, reply, out);
            }
            Message::RecordVoid {
                set_id,
                claim,
                round,
                key,
                body,
            } if claim.executor == *from => {
                if set_id != self.set_id {
                    return self.send_set(from, out);
                }
                if self.record_void(now, &claim, key, body) {
                    let reply = Message::Voided {
                        set_id,
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
                self.record_result(now, key, body, record);
                self.send(&from.vm, Message::Stored { claim, key }, out);
            }
            Message::FetchEntries { set_id, after } => {
                if set_id != self.set_id {
                    return self.send_set(from, out);
                }
                self.send_entries(now, from, after, out);
            }
            _ => {}
        }
    }

    fn send_set(&mut self, to: &Incarnation, out: &mut Vec<Action>) {
        let set = self.set.clone();
        self.send(&to.vm, Message::Sync { set }, out);
    }

    /// Decides on a claim that was made in exactly this node's witness set.
    fn decide_vote(
        &mut self,
        now: Time,
        claim: &Claim,
        key: Key,
        body: Digest,
        abandoned: &[Claim],
    ) -> Verdict {
        if let Some(verdict) = self.ended_verdict(&key) {
            return verdict;
        }
        if !self.voting {
            return Verdict::NotRecovered;
        }
        match key.ticket_lineage() {
            Some(lineage) if lineage == self.set.lineage() => {}
            Some(_) => return Verdict::OtherLineage,
            None if now < self.quarantine_until => {
                let remaining = self.quarantine_until - now;
                return Verdict::Quarantined { remaining };
            }
            None if self
                .list_read_at
                .is_none_or(|at| now - at > self.config.max_list_age) =>
            {
                return Verdict::Fenced;
            }
            None => {}
        }
        let expires = now + self.config.retention();
        let is_new = self
            .ledger
            .get(&key)
            .is_none_or(|entry| entry.claims != [claim.clone()]);
        let kept_until = if is_new { expires } else { Time::ZERO };
        let entry = self.ledger.entry(key, body, kept_until);
        entry
            .claims
            .retain(|held| held == claim || !abandoned.contains(held));
        let free = entry.claims.iter().all(|held| held == claim);
        if entry.body != body || !free {
            return Verdict::Held {
                claims: entry.claims.clone(),
                body: entry.body,
            };
        }
        entry.claims = vec![claim.clone()];
        let void_age = entry.voided_at.map(|at| now.saturating_sub(at));
        Verdict::Granted { void_age }
    }

    fn ended_verdict(&self, key: &Key) -> Option<Verdict> {
        let entry = self.ledger.get(key)?;
        let record = entry.record.clone()?;
        let body = entry.body;
        Some(Verdict::Ended { record, body })
    }

    /// Records a void of `key` and drops `claim`. Returns whether the void may be confirmed, which
    /// requires that the witness holds no other claim: a vote that it has already cast for another
    /// claim would not show the void.
    fn record_void(&mut self, now: Time, claim: &Claim, key: Key, body: Digest) -> bool {
        if !self.voting {
            return false;
        }
        let entry = self.ledger.entry(key, body, now + self.config.retention());
        if entry.record.is_some() || entry.claims.iter().any(|held| held != claim) {
            return false;
        }
        entry.claims.clear();
        entry.voided_at = Some(now);
        true
    }

    /// Stores the first result recorded for a key.
    pub(super) fn record_result(&mut self, now: Time, key: Key, body: Digest, record: CallRecord) {
        let expires = now + self.config.retention();
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

    fn send_entries(
        &mut self,
        now: Time,
        to: &Incarnation,
        after: Option<Key>,
        out: &mut Vec<Action>,
    ) {
        if !self.voting {
            return;
        }
        let message = Message::Entries {
            set_id: self.set_id,
            voter: self.me.clone(),
            after,
            quarantine: self.quarantine_until.saturating_sub(now),
            page: self.ledger.page(now, after),
        };
        self.send(&to.vm, message, out);
    }
}
