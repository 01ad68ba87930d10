//! Waits until an upstream can serve a request.

use std::time::Duration;

use exchange::demand::Target;
use exchange::fleet::Presence;
use exchange::owner::{self, AdmissionRequest};
use exchange::prefill_limit::STEP_TIME;
use exchange::selection::{Selection, Unavailable};
use node::journal::DECISION;
use wire::Upstream;

use super::job::{Job, Return};
use crate::dialect::Dialect;

/// Time without news of a load after which its owner is asked again: two round trips and an order.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Pause before an engine without a base model is looked at again.
const WEIGHTS_PAUSE: Duration = Duration::from_millis(100);

/// Part of its time that a request waits for engines that hold nothing yet.
const WEIGHTS_PART: u32 = 3;

/// Pause that a caller is told while no upstream is there.
const EMPTY_PAUSE: Duration = Duration::from_millis(800);

/// Full engines that a request leaves for others: each costs a round trip.
const MOVES_MAX: u32 = 2;

/// What whoever orders at an engine says of a request.
enum Entry {
    /// It may be sent after that time.
    Open(Duration),
    /// Its model is not there, after all.
    Absent,
    /// It may be sent after that time, but all places are taken.
    Full(Duration),
}

/// Where a request goes.
pub(super) enum Placed {
    /// To this upstream, now.
    At(Upstream),
    /// Nowhere, for this reason.
    Refused(&'static str, Return),
}

impl<D: Dialect> Job<D> {
    /// Waits until an upstream can serve the request.
    pub(super) async fn place(&mut self) -> Placed {
        let target = self.target();
        let started = self.hub.clock.now();
        let whole = self.left();
        loop {
            if self.left().is_zero() || self.patience().is_zero() {
                return Placed::Refused("no-time", Return::Soon);
            }
            let pick = self.hub.pick(&self.need(target.as_ref()));
            match pick {
                Selection::Send(runner) => {
                    let waited = self.hub.clock.now().saturating_sub(started);
                    let wait = match self.let_in(&runner).await {
                        Entry::Absent => continue,
                        Entry::Full(_) if self.moves(&runner, target.as_ref()) => continue,
                        Entry::Open(wait) | Entry::Full(wait) => wait,
                    };
                    self.stalled += waited;
                    self.queued += wait;
                    tokio::time::sleep(wait.min(self.left())).await;
                    if target.is_some() {
                        self.hub.metrics.stalled(&self.service.name, waited);
                    }
                    return Placed::At(runner);
                }
                Selection::Wait(runner, at) => {
                    let wait = at.saturating_sub(self.hub.clock.now()).min(self.patience());
                    self.news(&runner, target.as_ref(), wait).await;
                }
                Selection::Load(runner) => {
                    if let Some(target) = &target {
                        let runner = self.home(runner, target);
                        self.want(&runner, target).await;
                    }
                }
                Selection::None(lack @ Unavailable::AllPaused(pause)) => {
                    return Placed::Refused(lack.name(), Return::After(pause));
                }
                Selection::None(lack) => {
                    let waited = self.hub.clock.now().saturating_sub(started);
                    if lack != Unavailable::NoWeights || waited > whole / WEIGHTS_PART {
                        return Placed::Refused(lack.name(), Return::About(EMPTY_PAUSE));
                    }
                    tokio::time::sleep(WEIGHTS_PAUSE).await;
                }
            }
        }
    }

    /// Leaves a full engine for another one, where what was learnt of it shows a better one.
    fn moves(&mut self, runner: &Upstream, target: Option<&Target>) -> bool {
        if self.moved >= MOVES_MAX {
            return false;
        }
        let other = match self.hub.pick(&self.need(target)) {
            Selection::Send(other) if other != *runner => other,
            _ => return false,
        };
        self.moved += 1;
        if let Some(target) = target {
            self.hub.over(runner, target);
        }
        log::info!(target: DECISION, request = &*self.ask.attempt, full:% = runner, other:%; "move");
        true
    }

    /// Asks whoever orders at the engine when it may be given the prompt.
    async fn let_in(&mut self, runner: &Upstream) -> Entry {
        let Some(target) = self.target() else {
            return Entry::Open(Duration::ZERO);
        };
        let tokens = self.ask.answer.unwrap_or_default();
        let visit = AdmissionRequest {
            target,
            prefill: self.reading(),
            decode: self.hub.exchange.step * tokens,
            rank: self.terms.rank,
        };
        self.alone = false;
        let Some(grant) = self.hub.grant(runner, visit).await else {
            return Entry::Open(Duration::ZERO);
        };
        self.alone = grant.wait.is_zero() && grant.prefill_backlog <= self.reading() + STEP_TIME;
        if !matches!(grant.presence, Presence::Held(_)) {
            return Entry::Absent;
        }
        self.hub.crowded(
            &self.need(self.target().as_ref()),
            self.terms.rank,
            grant.wait,
        );
        let slots = {
            let desk = self.hub.desk();
            let known = desk.fleet.upstream(runner);
            known.map_or(0, |known| known.listing.slots)
        };
        if grant.running > slots {
            Entry::Full(grant.wait)
        } else {
            Entry::Open(grant.wait)
        }
    }

    /// Waits for news of the target, for no longer than `wait`.
    async fn news(&self, runner: &Upstream, target: Option<&Target>, wait: Duration) {
        match target {
            Some(target) => {
                let news = self.hub.await_news(runner, target);
                // Without news the upstreams are looked at again all the same.
                let _ = tokio::time::timeout(wait, news).await;
            }
            None => tokio::time::sleep(wait).await,
        }
    }

    /// Returns the engine at which the request's load is asked for: the one where it was asked for
    /// already, as long as that takes requests, since a second load would take the place of another
    /// adapter's; or else `runner`, which also takes the place of one that has none free.
    fn home(&mut self, runner: Upstream, target: &Target) -> Upstream {
        let desk = self.hub.desk();
        let open = |id: &Upstream| {
            let known = desk.fleet.upstream(id);
            known.is_some_and(|known| known.is_eligible() && desk.owner.holder(id).is_some())
        };
        let kept = self.home.as_ref().filter(|id| open(id)).cloned();
        drop(desk);
        let leaves = kept.as_ref().is_some_and(|kept| *kept != runner) && self.moved < MOVES_MAX;
        let home = match kept {
            Some(kept) if leaves => {
                self.moved += 1;
                log::info!(target: DECISION, request = &*self.ask.attempt, full:% = kept, other:% = runner; "move");
                self.hub.drive(owner::Event::CancelLoadRequest {
                    engine: kept,
                    target: target.clone(),
                });
                runner
            }
            Some(kept) => kept,
            None => runner,
        };
        self.home = Some(home.clone());
        home
    }

    /// Asks the engine's owner for a load and waits for its answer.
    async fn want(&self, runner: &Upstream, target: &Target) {
        let news = self.hub.await_news(runner, target);
        self.hub.drive(owner::Event::RequestLoad {
            engine: runner.clone(),
            target: target.clone(),
            rank: self.terms.rank,
        });
        let _ = tokio::time::timeout(ASK_AGAIN.min(self.left()), news).await;
    }
}
