//! The issuers of one node.

use std::time::Duration;

use wire::{Time, Upstream, Vm};

use super::issuer::View;
use super::{Action, Ask, End, Issuer, Message, Reply, Report, Ticket};

/// Maximum number of issuers kept.
const ISSUERS_MAX: usize = 256;

/// Time after which an issuer is dropped that nobody has asked.
const UNUSED_TIME: Duration = Duration::from_secs(30);

/// Time without an event, of which there is one in each turn of a node, after which it has stood still:
/// another node may have issued permits meanwhile.
const STANDSTILL: Duration = Duration::from_millis(600);

/// Pause of a node that asks for a process which has been replaced.
const REPLACED_PAUSE_MS: u32 = 100;

/// The issuers of one node.
#[derive(Clone, Debug, Default)]
pub struct Issuers {
    /// Sorted by upstream.
    issuers: Vec<Issuer>,
    /// When the last event came.
    stepped: Time,
}

impl Issuers {
    fn step(&mut self, now: Time) {
        if now >= self.stepped + STANDSTILL {
            self.issuers.clear();
        }
        self.stepped = now;
    }

    /// Handles a question. The upstream turns away no more requests than before within `notice`.
    pub fn ask(
        &mut self,
        now: Time,
        view: View<'_>,
        from: &Vm,
        (ask, notice): (&Ask, Duration),
        out: &mut Vec<Action>,
    ) {
        self.step(now);
        let found = self.position(&ask.upstream);
        let index = match found {
            Ok(index) if ask.born < self.issuers[index].born() => {
                out.push(Action {
                    to: from.clone(),
                    message: Message::Reply {
                        ticket: ask.ticket,
                        reply: Reply::Over(REPLACED_PAUSE_MS),
                    },
                });
                return;
            }
            Ok(index) if ask.born > self.issuers[index].born() => {
                self.issuers[index] = Issuer::new(now, ask, notice);
                index
            }
            Ok(index) => index,
            Err(_) => self.insert(now, ask, notice),
        };
        self.issuers[index].ask(now, view, from, ask, out);
    }

    fn insert(&mut self, now: Time, ask: &Ask, notice: Duration) -> usize {
        if self.issuers.len() >= ISSUERS_MAX {
            let issuers = self.issuers.iter().enumerate();
            if let Some((oldest, _)) = issuers.min_by_key(|(_, issuer)| issuer.used_at) {
                self.issuers.remove(oldest);
            }
        }
        let index = self
            .issuers
            .partition_point(|known| *known.upstream() < ask.upstream);
        self.issuers.insert(index, Issuer::new(now, ask, notice));
        index
    }

    /// Handles the end of a request.
    pub fn end(
        &mut self,
        now: Time,
        view: View<'_>,
        from: &Vm,
        upstream: &Upstream,
        ended: (Ticket, End),
        out: &mut Vec<Action>,
    ) {
        self.step(now);
        if let Ok(index) = self.position(upstream) {
            self.issuers[index].end(now, view, from, ended, out);
        }
    }

    /// Takes over what a node has under way at a process.
    pub fn report(
        &mut self,
        now: Time,
        view: View<'_>,
        from: &Vm,
        (upstream, born): (&Upstream, Option<u64>),
        report: &Report,
        out: &mut Vec<Action>,
    ) {
        self.step(now);
        if let Ok(index) = self.position(upstream)
            && self.issuers[index].born() == born
        {
            self.issuers[index].report(now, view, from, report, out);
        }
    }

    /// Tells a node that sees this one from now on which upstreams are brittle.
    pub fn greet(&mut self, now: Time, vm: &Vm, out: &mut Vec<Action>) {
        self.step(now);
        for issuer in &mut self.issuers {
            issuer.greet(now, vm, out);
        }
    }

    /// Lets time pass. `issues` tells whether this node still issues the permits of an upstream.
    pub fn advance(
        &mut self,
        now: Time,
        view: View<'_>,
        issues: impl Fn(&Upstream) -> bool,
        out: &mut Vec<Action>,
    ) {
        self.step(now);
        self.issuers.retain_mut(|issuer| {
            let stays = now < issuer.used_at + UNUSED_TIME && issues(issuer.upstream());
            if !stays {
                issuer.abandon(out);
            }
            stays
        });
        for issuer in &mut self.issuers {
            issuer.advance(now, view, out);
        }
    }

    /// Returns whether requests wait at any upstream.
    pub fn has_queue(&self) -> bool {
        self.issuers.iter().any(Issuer::has_queue)
    }

    /// Returns the issuer of an upstream.
    pub fn issuer(&self, upstream: &Upstream) -> Option<&Issuer> {
        let index = self.position(upstream).ok()?;
        self.issuers.get(index)
    }

    fn position(&self, upstream: &Upstream) -> Result<usize, usize> {
        self.issuers
            .binary_search_by(|issuer| issuer.upstream().cmp(upstream))
    }
}
